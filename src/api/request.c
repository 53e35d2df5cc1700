/* The life cycle of a user's request: admission, waiting for the replica, and the end. */
#include "api/internal.h"
#include "base/clock.h"

struct pm_api_request *pm_api_request_new(struct pm_api *api, struct pm_http_request *http,
                                          enum pm_api_request_kind kind, const char *id)
{
    struct pm_api_request *request;

    if (!pm_concurrency_limit_acquire(api->limit, kind != PM_API_POLL)) {
        pm_http_reply(http, PM_API_TOO_MANY_REQUESTS, NULL, 0, PM_API_RETRY_SOON_S);
        return NULL;
    }
    request = g_new0(struct pm_api_request, 1);
    request->api = api;
    request->http = http;
    request->kind = kind;
    request->arrived_at = pm_clock_monotonic();
    g_strlcpy(request->id, id, sizeof request->id);
    return request;
}

void pm_api_request_end(struct pm_api_request *request)
{
    struct pm_api *api = request->api;

    pm_concurrency_limit_release(api->limit, pm_clock_monotonic() - request->arrived_at,
                                 pm_store_latency_s(api->store));
    pm_api_submission_clear(&request->submission);
    g_free(request);
}

static void on_replica_current(void *arg, bool ok)
{
    struct pm_api_request *request = arg;

    if (!ok) {
        pm_api_reply_unavailable(request, PM_API_RETRY_SOON_S);
        return;
    }
    request->is_replica_current = true;
    pm_api_request_process(request);
}

void pm_api_request_await_replica(struct pm_api_request *request)
{
    pm_store_linearizable_read(request->api->store, on_replica_current, request);
}

void pm_api_request_process(struct pm_api_request *request)
{
    const struct pm_api *api = request->api;
    const struct pm_job *job = pm_jobs_find(api->jobs, request->id);

    if (job && job->state != PM_JOB_LIVE)
        pm_api_reply_final_status(request, job);
    else if (api->is_cut_off)
        pm_api_reply_unavailable(request, PM_API_RETRY_LATER_S);
    else if (!job && request->kind == PM_API_SUBMIT)
        pm_api_process_new_job(request);
    else if (!request->is_replica_current)
        pm_api_request_await_replica(request);
    else if (!job)
        pm_api_reply_unknown_job(request);
    else if (request->kind == PM_API_CANCEL)
        pm_api_enqueue_write(request);
    else
        pm_api_reply_status(request, job);
}
