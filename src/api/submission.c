/* Submissions: decoding, the checks that need the replica, and the overflow lists, which hold the
 * dependencies that do not fit into the job's own value. */
#include "api/internal.h"
#include "base/clock.h"

#include <stdio.h>
#include <string.h>

enum { BYTES_PER_KB = 1024 };

/* ---- decoding ---- */

/* Whether the submission repeats that of a known job. An accepted submission is not validated
 * again, since settings and machine types may have changed in the meantime. */
static bool is_known_job(const struct pm_api *api, const cbor_item_t *body, char *id)
{
    return pm_cbor_read_text(pm_cbor_get(body, "name_id"), id, PM_ID_MAX) &&
           pm_jobs_find(api->jobs, id);
}

static enum pm_api_status status_for_result(enum pm_submission_result result)
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

/* Decodes a submission. Returns PM_API_OK, or the status of the answer with the reason in
 * `*reason`. For PM_API_OK the caller owns `*dependency_ids`, which is NULL if the job has no
 * dependencies. */
static enum pm_api_status decode_submission(const struct pm_api *api, const cbor_item_t *body,
                                            char *id, struct pm_spec *spec,
                                            GPtrArray **dependency_ids, const char **reason)
{
    enum pm_submission_result result = pm_submission_decode(api->tables, body, id, spec, reason);

    if (result != PM_SUBMISSION_VALID)
        return status_for_result(result);
    if (!pm_dependency_ids_decode(body, dependency_ids)) {
        *reason = "awaits";
        return PM_API_BAD_REQUEST;
    }
    return PM_API_OK;
}

/* Decodes and admits the submission of an unknown job. Returns NULL if the submission is invalid or
 * not admitted, and was therefore answered already. */
static struct pm_api_request *admit_new_job(struct pm_api *api, struct pm_http_request *http,
                                            const cbor_item_t *body)
{
    struct pm_api_request *request;
    GPtrArray *dependency_ids = NULL;
    char id[PM_ID_MAX] = "";
    struct pm_spec spec;
    const char *reason = "";
    enum pm_api_status status = decode_submission(api, body, id, &spec, &dependency_ids, &reason);

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

/* Returns the size of the job's value without its dependencies, measured as JSON, the form to which
 * the limit of the state service applies. */
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

/* Returns why the new job must not depend on the job `id` according to the replica, or NULL if it
 * may. */
static const char *find_dependency_error(const struct pm_api_request *request, const char *id)
{
    const struct pm_job *job = pm_jobs_find(request->api->jobs, id);

    if (!strcmp(id, request->id))
        return "it needs itself";
    if (!job)
        return "it needs a job that was never accepted";
    if (job->spec && job->spec->kind == PM_WORKLOAD_SERVICE)
        return "it needs a service"; /* a service does not end unless it is cancelled */
    return NULL;
}

/* Returns why the new job cannot be stored or can never run according to the replica, or NULL if
 * there is no reason. */
static const char *find_submission_error(struct pm_api_request *request)
{
    struct pm_api_submission *submission = &request->submission;
    const GPtrArray *ids = submission->dependency_ids;
    const char *error = NULL;

    if (!submission->value_size)
        submission->value_size = value_size(request);
    /* The state service rejects a whole transaction if one of its values is above the limit. */
    if ((double)submission->value_size >
        request->api->tables->settings->store_value_kb * BYTES_PER_KB)
        return "too large to be kept";
    for (guint i = 0; ids && !error && i < ids->len; i++)
        error = find_dependency_error(request, g_ptr_array_index(ids, i));
    return error;
}

/* Rejects the submission, but only once the replica is as new as the request: other controllers may
 * just have accepted the job's dependencies, or the job itself under other settings. */
static void reject_when_current(struct pm_api_request *request, const char *error)
{
    if (request->is_replica_current)
        pm_api_reply_rejected(request, error);
    else
        pm_api_request_await_replica(request);
}

/* Interns the ids of the dependencies. This happens only after the ids are known to be jobs, since
 * an interned name is never freed. */
static void intern_dependencies(struct pm_api_request *request)
{
    struct pm_api_submission *submission = &request->submission;
    struct pm_spec *spec = submission->spec;
    struct pm_name_tables *tables = request->api->tables;

    if (!submission->dependency_ids || spec->dependencies)
        return;
    pm_spec_set_dependencies(tables, spec, submission->dependency_ids);
    spec->overflow_list_count = pm_spec_overflow_list_count(tables, spec, submission->value_size);
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

/* Writes the next overflow lists. They are written before the job's own value and have no effect
 * until that exists. A repeated submission writes the same values again. */
static void write_overflow_lists(struct pm_api_request *request)
{
    struct pm_api_submission *submission = &request->submission;
    const struct pm_spec *spec = submission->spec;
    const struct pm_name_tables *tables = request->api->tables;
    uint32_t index = submission->overflow_lists_written;
    struct pm_txn txn = {0};
    char key[64];

    while (index < spec->overflow_list_count && txn.write_count < tables->settings->store_txn_ops &&
           txn.writes.size < PM_API_TXN_BYTES_MAX) {
        snprintf(key, sizeof key, "p/n/%s/%u", request->id, index);
        pm_txn_put_begin(&txn, key);
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
    const char *error;

    if (submission->dependency_ids && !request->api->dependencies_enabled) {
        pm_api_reply_unavailable(request, PM_API_RETRY_LATER_S);
        return;
    }
    error = find_submission_error(request);
    if (error) {
        reject_when_current(request, error);
        return;
    }
    intern_dependencies(request);
    if (submission->overflow_lists_written < submission->spec->overflow_list_count)
        write_overflow_lists(request);
    else /* the write is conditional on the key not existing, so no linearizable read is needed */
        pm_api_enqueue_write(request);
}
