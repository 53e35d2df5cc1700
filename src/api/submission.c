/* Submissions: decoding, the checks that need the replica, and the overflow lists, which name the
 * needed jobs that the job's own value has no room for. */
#include "api/internal.h"
#include "base/clock.h"

#include <stdio.h>
#include <string.h>

enum { BYTES_PER_KB = 1024 };

/* ---- decoding ---- */

/* Whether the submission is a repeat for a job that is known. What was accepted once is never
 * checked again: settings and machine types may have changed since. */
static bool is_known_job(const struct pm_api *api, const cbor_item_t *body, char *id)
{
    return pm_cbor_read_text(pm_cbor_get(body, "name_id"), id, PM_ID_MAX) &&
           pm_jobs_find(api->jobs, id);
}

static enum pm_api_status status_of(enum pm_submission_result result)
{
    switch (result) {
    case PM_SUBMISSION_VALID:
        return PM_API_OK;
    case PM_SUBMISSION_MALFORMED:
        return PM_API_BAD_REQUEST;
    case PM_SUBMISSION_REFUSED:
        return PM_API_UNPROCESSABLE;
    case PM_SUBMISSION_UNDECIDED:
        break;
    }
    return PM_API_UNAVAILABLE;
}

/* PM_API_OK, or the status of the answer and its reason. `*dependency_ids` is owned by the caller
 * for PM_API_OK, and NULL when the job needs no others. */
static enum pm_api_status decode(const struct pm_api *api, const cbor_item_t *body, char *id,
                                 struct pm_spec *spec, GPtrArray **dependency_ids,
                                 const char **reason)
{
    enum pm_submission_result result = pm_submission_decode(api->tables, body, id, spec, reason);

    if (result != PM_SUBMISSION_VALID)
        return status_of(result);
    if (!pm_dependency_ids_decode(body, dependency_ids)) {
        *reason = "awaits";
        return PM_API_BAD_REQUEST;
    }
    return PM_API_OK;
}

/* NULL when the submission was answered. */
static struct pm_api_request *admit_new_job(struct pm_api *api, struct pm_http_request *http,
                                            const cbor_item_t *body)
{
    struct pm_api_request *request;
    GPtrArray *dependency_ids = NULL;
    char id[PM_ID_MAX] = "";
    struct pm_spec spec;
    const char *reason = "";
    enum pm_api_status status = decode(api, body, id, &spec, &dependency_ids, &reason);

    if (status != PM_API_OK) {
        pm_api_reply_error(http, status, reason);
        return NULL;
    }
    request = pm_api_request_new(api, http, PM_API_SUBMIT, id);
    if (!request) {
        if (dependency_ids)
            g_ptr_array_free(dependency_ids, TRUE);
        return NULL;
    }
    spec.submitted_wall = pm_clock_wall();
    request->submission.spec = g_new(struct pm_spec, 1);
    *request->submission.spec = spec;
    request->submission.dependency_ids = dependency_ids;
    return request;
}

void pm_api_handle_submission(struct pm_api *api, struct pm_http_request *http)
{
    cbor_item_t *body = pm_cbor_parse(http->body, http->body_size);
    struct pm_api_request *request;
    char id[PM_ID_MAX];

    if (!body) {
        pm_api_reply_error(http, PM_API_BAD_REQUEST, "not CBOR");
        return;
    }
    if (is_known_job(api, body, id))
        request = pm_api_request_new(api, http, PM_API_SUBMIT, id);
    else
        request = admit_new_job(api, http, body);
    pm_cbor_free(body);
    if (request)
        pm_api_request_process(request);
}

void pm_api_submission_clear(struct pm_api_submission *submission)
{
    pm_spec_free(submission->spec);
    if (submission->dependency_ids)
        g_ptr_array_free(submission->dependency_ids, TRUE);
}

void pm_api_encode_new_job(const struct pm_api_request *request, struct pm_buffer *out)
{
    const struct pm_spec *spec = request->submission.spec;

    pm_job_encode(request->api->tables, spec, spec->task_count, PM_JOB_LIVE, true, out);
}

/* ---- checks ---- */

/* The size, in the form that the state service limits, of the job's value without what it needs. */
static size_t value_size(const struct pm_api_request *request)
{
    struct pm_buffer encoded = {0};
    cbor_item_t *value;
    size_t size;

    pm_api_encode_new_job(request, &encoded);
    value = pm_cbor_parse(encoded.data, encoded.size);
    size = pm_cbor_json_size(value);
    pm_cbor_free(value);
    pm_buffer_free(&encoded);
    return size;
}

/* Why the new job must not depend on the job `id`, as far as the replica knows; NULL: it may. */
static const char *find_dependency_fault(const struct pm_api_request *request, const char *id)
{
    const struct pm_job *job = pm_jobs_find(request->api->jobs, id);

    if (!strcmp(id, request->id))
        return "it needs itself";
    if (!job)
        return "it needs a job that was never accepted";
    if (job->spec && job->spec->kind == PM_WORKLOAD_SERVICE)
        return "it needs a service"; /* which never ends by itself */
    return NULL;
}

/* Why the new job can't be stored or can never run, as far as the replica knows; NULL: no reason.
 */
static const char *find_fault(struct pm_api_request *request)
{
    struct pm_api_submission *submission = &request->submission;
    const GPtrArray *ids = submission->dependency_ids;
    const char *fault = NULL;

    if (!submission->value_size)
        submission->value_size = value_size(request);
    /* A value above the limit would have the whole transaction that writes it rejected. */
    if ((double)submission->value_size >
        request->api->tables->settings->store_value_kb * BYTES_PER_KB)
        return "too large to be kept";
    for (guint i = 0; ids && !fault && i < ids->len; i++)
        fault = find_dependency_fault(request, g_ptr_array_index(ids, i));
    return fault;
}

/* A fault is final only once the replica is as new as the request: the needed jobs may have been
 * accepted just now, and so may the job itself, by a controller with other settings. */
static void reject_when_current(struct pm_api_request *request, const char *fault)
{
    if (request->is_replica_current)
        pm_api_reply_rejected(request, fault);
    else
        pm_api_request_await_replica(request);
}

/* Ids become indices only once they are known to be jobs, since an interned name is never freed. */
static void intern_dependencies(struct pm_api_request *request)
{
    struct pm_api_submission *submission = &request->submission;
    struct pm_spec *spec = submission->spec;
    struct pm_name_tables *tables = request->api->tables;

    if (!submission->dependency_ids || spec->dependencies)
        return;
    pm_spec_set_dependencies(tables, spec, submission->dependency_ids);
    spec->overflow_lists = pm_spec_overflow_lists(tables, spec, submission->value_size);
}

/* ---- overflow lists ---- */

static void on_overflow_lists_written(void *arg, enum pm_store_result result,
                                      uint64_t store_revision, const cbor_item_t *conflicting_keys)
{
    struct pm_api_request *request = arg;
    bool may_retry = result == PM_STORE_THROTTLED && request->attempts < PM_API_ATTEMPTS_MAX;

    (void)store_revision;
    (void)conflicting_keys;
    if (result == PM_STORE_OK) {
        request->submission.overflow_lists_written = request->submission.overflow_lists_sent;
    } else if (may_retry) {
        request->attempts++;
    } else {
        pm_api_reply_unavailable(request, PM_API_RETRY_SOON_S);
        return;
    }
    pm_api_request_process(request);
}

/* They are written before the job's own value, and mean nothing until that exists. A repeat of the
 * submission writes the same values again. */
static void write_overflow_lists(struct pm_api_request *request)
{
    struct pm_api_submission *submission = &request->submission;
    const struct pm_spec *spec = submission->spec;
    const struct pm_name_tables *tables = request->api->tables;
    uint32_t index = submission->overflow_lists_written;
    struct pm_txn txn = {0};
    char key[64];

    while (index < spec->overflow_lists && txn.write_count < tables->settings->store_txn_ops &&
           txn.writes.size < PM_API_TXN_BYTES_MAX) {
        snprintf(key, sizeof key, "p/n/%s/%u", request->id, index);
        pm_txn_put(&txn, key);
        pm_dependency_list_encode(tables, spec, index, &txn.writes);
        pm_txn_put_end(&txn, 0);
        index++;
    }
    submission->overflow_lists_sent = index;
    pm_store_commit(request->api->store, &txn, on_overflow_lists_written, request);
}

void pm_api_process_new_job(struct pm_api_request *request)
{
    const struct pm_api_submission *submission = &request->submission;
    const char *fault;

    if (submission->dependency_ids && !request->api->dependencies_enabled) {
        pm_api_reply_unavailable(request, PM_API_RETRY_LATER_S);
        return;
    }
    fault = find_fault(request);
    if (fault) {
        reject_when_current(request, fault);
        return;
    }
    intern_dependencies(request);
    if (submission->overflow_lists_written < submission->spec->overflow_lists)
        write_overflow_lists(request);
    else /* the write's condition, that the key does not exist, needs no linearizable read before */
        pm_api_enqueue_write(request);
}
