/* Cancellations: the value that is written, and the answer once a majority of controllers knows the
 * cancellation. */
#include "api/internal.h"

void pm_api_encode_cancelled_job(const struct pm_api *api, const struct pm_job *job,
                                 struct pm_buffer *out)
{
    pm_job_encode(api->tables, job->spec, job->task_count, PM_JOB_CANCELLED, job->spec != NULL,
                  out);
}

static void on_quorum(void *arg, bool ok)
{
    struct pm_api_request *request = arg;

    /* Without a majority the job stays cancelled, and a repeated request only waits for the
     * majority. */
    if (ok)
        pm_api_reply_status(request, pm_jobs_find(request->api->jobs, request->id));
    else
        pm_api_reply_unavailable(request, PM_API_RETRY_SOON_S);
}

void pm_api_reply_final_status(struct pm_api_request *request, const struct pm_job *job)
{
    if (job->state == PM_JOB_CANCELLED)
        pm_cancel_quorum_publish(request->api->cancel_quorum, job->id, job->cancellation_revision,
                                 on_quorum, request);
    else
        pm_api_reply_status(request, job);
}

void pm_api_complete_cancellation(struct pm_api_request *request, uint64_t store_revision)
{
    struct pm_jobs *jobs = request->api->jobs;

    pm_jobs_apply_cancellation(jobs, request->id, store_revision);
    pm_api_reply_final_status(request, pm_jobs_find(jobs, request->id));
}
