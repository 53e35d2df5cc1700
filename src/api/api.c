/* Routing of users' requests by path and method, and the life cycle of the API. */
#include "api/internal.h"

#include <string.h>

#define JOBS_PATH "/work"
#define CANCEL_ACTION "/abort"

/* Copies `length` bytes of `text` as a job's id. Returns false if they are not a valid id. */
static bool copy_job_id(char *id, const char *text, size_t length)
{
    if (length >= PM_ID_MAX)
        return false;
    memcpy(id, text, length);
    id[length] = 0;
    return pm_job_id_is_valid(id);
}

/* `path` is the part of the request's path after JOBS_PATH and a slash: ID, or ID followed by
 * CANCEL_ACTION. */
static void handle_poll_or_cancellation(struct pm_api *api, struct pm_http_request *http,
                                        const char *path)
{
    const char *action = strchr(path, '/');
    size_t id_length = action ? (size_t)(action - path) : strlen(path);
    enum pm_api_request_kind kind = action ? PM_API_CANCEL : PM_API_POLL;
    struct pm_api_request *request;
    char id[PM_ID_MAX];

    if (action && strcmp(action, CANCEL_ACTION)) {
        pm_api_reply_error(http, PM_API_NOT_FOUND, "path");
        return;
    }
    if (http->method != (action ? PM_HTTP_POST : PM_HTTP_GET)) {
        pm_api_reply_error(http, PM_API_METHOD_NOT_ALLOWED, "method");
        return;
    }
    if (!copy_job_id(id, path, id_length)) {
        pm_api_reply_error(http, PM_API_NOT_FOUND, "no such job");
        return;
    }
    request = pm_api_request_new(api, http, kind, id);
    if (request)
        pm_api_request_process(request);
}

void pm_api_handle_job_request(struct pm_api *api, struct pm_http_request *http)
{
    const char *rest = http->path + strlen(JOBS_PATH);

    if (*rest)
        handle_poll_or_cancellation(api, http, rest + 1);
    else if (http->method == PM_HTTP_POST)
        pm_api_handle_submission(api, http);
    else
        pm_api_reply_error(http, PM_API_METHOD_NOT_ALLOWED, "method");
}

struct pm_api *pm_api_new(struct ev_loop *loop, struct pm_store *store, struct pm_jobs *jobs,
                          struct pm_name_tables *tables, struct pm_cancel_quorum *cancel_quorum,
                          const struct pm_operator_settings *operator_settings)
{
    struct pm_api *api = g_new0(struct pm_api, 1);

    api->loop = loop;
    api->store = store;
    api->jobs = jobs;
    api->tables = tables;
    api->cancel_quorum = cancel_quorum;
    api->limit =
        pm_concurrency_limit_new(operator_settings->admit_min, operator_settings->admit_max);
    pm_api_write_queue_init(api);
    return api;
}

void pm_api_enable_dependencies(struct pm_api *api, bool enabled)
{
    api->dependencies_enabled = enabled;
}

void pm_api_set_cut_off(struct pm_api *api, bool cut_off)
{
    api->is_cut_off = cut_off;
}
