/* Replies to users, with the encoding of their bodies. */
#include "api/internal.h"

/* Answers the request with `body`, which is freed and may be NULL, and ends the request. */
static void reply(struct pm_api_request *request, enum pm_api_status status, struct pm_buffer *body,
                  int retry_after_s)
{
    if (body) {
        pm_http_reply(request->http, status, body->data, body->size, retry_after_s);
        pm_buffer_free(body);
    } else {
        pm_http_reply(request->http, status, NULL, 0, retry_after_s);
    }
    pm_api_request_end(request);
}

void pm_api_reply_error(struct pm_http_request *http, enum pm_api_status status, const char *reason)
{
    int retry_after_s = status == PM_API_UNAVAILABLE ? PM_API_RETRY_SOON_S : 0;
    struct pm_buffer body = {0};

    pm_cbor_put_map(&body);
    pm_cbor_put_pair_text(&body, "error", reason);
    pm_cbor_put_end(&body);
    pm_http_reply(http, status, body.data, body.size, retry_after_s);
    pm_buffer_free(&body);
}

void pm_api_reply_rejected(struct pm_api_request *request, const char *reason)
{
    pm_api_reply_error(request->http, PM_API_UNPROCESSABLE, reason);
    pm_api_request_end(request);
}

void pm_api_reply_unavailable(struct pm_api_request *request, int retry_after_s)
{
    reply(request, PM_API_UNAVAILABLE, NULL, retry_after_s);
}

void pm_api_reply_unknown_job(struct pm_api_request *request)
{
    reply(request, PM_API_NOT_FOUND, NULL, 0);
}

void pm_api_reply_accepted(struct pm_api_request *request)
{
    struct pm_buffer body = {0};

    pm_cbor_put_map(&body);
    pm_cbor_put_pair_text(&body, "name_id", request->id);
    pm_cbor_put_pair_text(&body, "status", "queued");
    pm_cbor_put_end(&body);
    reply(request, PM_API_CREATED, &body, 0);
}

static const char *status_name(enum pm_job_state state, uint32_t running_count)
{
    if (state == PM_JOB_DONE)
        return "done";
    if (state == PM_JOB_CANCELLED)
        return "cancelled";
    return running_count ? "running" : "queued";
}

void pm_api_reply_status(struct pm_api_request *request, const struct pm_job *job)
{
    struct pm_buffer body = {0};
    uint32_t done_count;
    uint32_t running_count;

    pm_job_count_tasks(job, &done_count, &running_count);
    pm_cbor_put_map(&body);
    pm_cbor_put_pair_text(&body, "name_id", job->id);
    pm_cbor_put_pair_text(&body, "status", status_name(job->state, running_count));
    pm_cbor_put_pair_uint(&body, "done", done_count);
    pm_cbor_put_pair_uint(&body, "running", job->state == PM_JOB_LIVE ? running_count : 0);
    pm_cbor_put_end(&body);
    reply(request, PM_API_OK, &body, 0);
}
