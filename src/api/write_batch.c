/* Batched writes within the write budget. One transaction holds several submissions and
 * cancellations, and has a condition on the key of each of their jobs. */
#include "base/keys.h"
#include "api/internal.h"
#include "base/clock.h"

#include <stdio.h>
#include <string.h>

enum { BATCHES_IN_FLIGHT_MAX = 4, JOB_KEY_SIZE = 64 };
/* A queued request that is older is answered 503, before its client times out after 5 s. */
#define QUEUED_MAX_S 3.0
#define NO_BUDGET_DELAY_S 0.05   /* until the next attempt while the write budget is used up */
#define NEXT_BATCH_DELAY_S 0.001 /* after a batch was executed, or rejected with a conflict */
#define FAILURE_DELAY_S 0.1      /* after a batch with any other result */

/* A transaction under construction or in flight, with the requests that it writes. */
struct write_batch {
    struct pm_api *api;
    GPtrArray *requests; /* of struct pm_api_request; not owned */
};

static struct write_batch *batch_new(struct pm_api *api)
{
    struct write_batch *batch = g_new0(struct write_batch, 1);

    batch->api = api;
    batch->requests = g_ptr_array_new();
    return batch;
}

static void batch_free(struct write_batch *batch)
{
    g_ptr_array_free(batch->requests, TRUE);
    g_free(batch);
}

static void format_job_key(char *key, const char *id)
{
    snprintf(key, JOB_KEY_SIZE, PM_KEY_JOB_PREFIX "%s", id);
}

/* Starts the timer that sends the queue, unless the queue is empty or the timer is running. */
static void schedule_flush(struct pm_api *api, double delay_s)
{
    ev_timer *timer = &api->writes.timer;

    if (!api->writes.requests.length || ev_is_active(timer))
        return;
    ev_timer_set(timer, delay_s, 0.);
    ev_timer_start(api->loop, timer);
}

/* ---- results ---- */

static void on_replica_caught_up(void *arg, bool ok)
{
    struct pm_api_request *request = arg;

    if (!ok || ++request->attempts > PM_API_ATTEMPTS_MAX) {
        pm_api_reply_unavailable(request, PM_API_RETRY_SOON_S);
        return;
    }
    request->is_replica_current = true;
    pm_api_request_process(request);
}

static bool is_job_conflicting(const cbor_item_t *conflicting_keys, const char *id)
{
    char job_key[JOB_KEY_SIZE];
    char key[256];

    format_job_key(job_key, id);
    for (size_t i = 0; i < pm_cbor_length(conflicting_keys); i++)
        if (pm_cbor_read_text(pm_cbor_at(conflicting_keys, i), key, sizeof key) &&
            !strcmp(key, job_key))
            return true;
    return false;
}

/* Whether a batch with this result was certainly not executed, and another attempt may succeed. */
static bool may_retry(enum pm_store_result result)
{
    return result == PM_STORE_CONFLICT || result == PM_STORE_THROTTLED ||
           result == PM_STORE_NOT_SENT;
}

static void complete_request(struct pm_api_request *request, uint64_t store_revision)
{
    if (request->kind == PM_API_SUBMIT)
        pm_api_reply_accepted(request);
    else
        pm_api_complete_cancellation(request, store_revision);
}

static void handle_result(struct pm_api_request *request, enum pm_store_result result,
                          uint64_t store_revision, const cbor_item_t *conflicting_keys)
{
    struct pm_api *api = request->api;

    if (result == PM_STORE_OK) {
        complete_request(request, store_revision);
        return;
    }
    if (result == PM_STORE_CONFLICT && is_job_conflicting(conflicting_keys, request->id)) {
        pm_store_wait_for_revision(api->store, store_revision, on_replica_caught_up, request);
        return;
    }
    if (may_retry(result) && ++request->attempts <= PM_API_ATTEMPTS_MAX)
        g_queue_push_tail(&api->writes.requests, request);
    else
        pm_api_reply_unavailable(request, PM_API_RETRY_SOON_S);
}

static void on_batch_written(void *arg, enum pm_store_result result, uint64_t store_revision,
                             const cbor_item_t *conflicting_keys)
{
    struct write_batch *batch = arg;
    struct pm_api *api = batch->api;
    bool is_served = result == PM_STORE_OK || result == PM_STORE_CONFLICT;

    api->writes.batches_in_flight--;
    for (guint i = 0; i < batch->requests->len; i++)
        handle_result(g_ptr_array_index(batch->requests, i), result, store_revision,
                      conflicting_keys);
    batch_free(batch);
    schedule_flush(api, is_served ? NEXT_BATCH_DELAY_S : FAILURE_DELAY_S);
}

/* ---- sending ---- */

static bool has_request_for(const struct write_batch *batch, const char *id)
{
    for (guint i = 0; i < batch->requests->len; i++) {
        const struct pm_api_request *request = g_ptr_array_index(batch->requests, i);
        if (!strcmp(request->id, id))
            return true;
    }
    return false;
}

static void add_write(struct write_batch *batch, struct pm_txn *txn, struct pm_api_request *request,
                      const struct pm_job *job)
{
    char key[JOB_KEY_SIZE];

    format_job_key(key, request->id);
    pm_txn_compare(txn, key, job ? job->revision : 0);
    pm_txn_put_begin(txn, key);
    if (request->kind == PM_API_SUBMIT)
        pm_api_encode_new_job(request, &txn->writes);
    else if (job) /* always true, since cancellations of unknown jobs are answered 404 */
        pm_api_encode_cancelled_job(batch->api, job, &txn->writes);
    pm_txn_put_end(txn, 0);
    g_ptr_array_add(batch->requests, request);
}

/* Adds the request to the batch. A request that has waited too long is answered 503, one that no
 * longer needs to be written is processed again, and one whose job is in the batch already goes
 * back to the queue. */
static void add_request(struct write_batch *batch, struct pm_txn *txn,
                        struct pm_api_request *request, double now)
{
    struct pm_api *api = batch->api;
    const struct pm_job *job = pm_jobs_find(api->jobs, request->id);

    if (now - request->arrived_at > QUEUED_MAX_S)
        pm_api_reply_unavailable(request, PM_API_RETRY_LATER_S);
    else if (job && (request->kind == PM_API_SUBMIT || job->state != PM_JOB_LIVE))
        pm_api_request_process(request);
    else if (has_request_for(batch, request->id))
        g_queue_push_tail(&api->writes.requests, request);
    else
        add_write(batch, txn, request, job);
}

/* Sends one batch. Returns false if the write budget is used up, or if no queued request can be
 * written. */
static bool send_batch(struct pm_api *api, double now)
{
    GQueue *queue = &api->writes.requests;
    int budget = pm_store_write_budget(api->store, now);
    int writes_max = MIN(budget, api->tables->settings->store_txn_ops);
    guint untried = queue->length;
    struct write_batch *batch;
    struct pm_txn txn = {0};

    if (writes_max < 1)
        return false;
    batch = batch_new(api);
    while (untried > 0 && txn.write_count < writes_max && txn.writes.size < PM_API_TXN_BYTES_MAX) {
        add_request(batch, &txn, g_queue_pop_head(queue), now);
        untried--;
    }
    if (!batch->requests->len) {
        pm_txn_free(&txn);
        batch_free(batch);
        return false;
    }
    api->writes.batches_in_flight++;
    pm_store_commit(api->store, &txn, on_batch_written, batch);
    return true;
}

static void flush(struct pm_api *api)
{
    double now = pm_clock_monotonic();

    while (api->writes.requests.length && api->writes.batches_in_flight < BATCHES_IN_FLIGHT_MAX)
        if (!send_batch(api, now))
            break;
    schedule_flush(api, NO_BUDGET_DELAY_S);
}

void pm_api_enqueue_write(struct pm_api_request *request)
{
    struct pm_api *api = request->api;

    if (request->kind == PM_API_CANCEL)
        g_queue_push_head(&api->writes.requests, request);
    else
        g_queue_push_tail(&api->writes.requests, request);
    flush(api);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    flush(timer->data);
}

void pm_api_write_queue_init(struct pm_api *api)
{
    g_queue_init(&api->writes.requests);
    ev_init(&api->writes.timer, on_timer);
    api->writes.timer.data = api;
}
