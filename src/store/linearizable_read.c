/* Linearizable reads: callers wait until the replica is as new as the state service was when they
 * asked. One read of the store revision serves all callers who asked before it was sent. */
#include "base/keys.h"
#include "store/internal.h"
#include "base/clock.h"

#define READ_TIMEOUT_S 1.6 /* below the 2 s for which a user waits for a status */
/* A watch is taken to hang on a dead connection if it has been open for longer than
 * STALLED_WATCH_MIN_AGE_S, and a caller has waited for longer than STALLED_READ_MIN_WAIT_S for a
 * change that it should report. */
#define STALLED_WATCH_MIN_AGE_S 0.8
#define STALLED_READ_MIN_WAIT_S 0.6

static struct pm_store_pending_read *pending_read_at(GArray *list, guint index)
{
    return &g_array_index(list, struct pm_store_pending_read, index);
}

/* A callback may append to the list, so the length and the elements are read again after each
 * call. */
void pm_store_complete_reads(struct pm_store *store)
{
    GArray *waiting = store->reads.waiting;

    for (guint i = 0; i < waiting->len;) {
        struct pm_store_pending_read read = *pending_read_at(waiting, i);
        if (read.store_revision > store->replica.store_revision) {
            i++;
            continue;
        }
        g_array_remove_index_fast(waiting, i);
        read.done(read.arg, true);
    }
}

static void fail_all(GArray *list)
{
    while (list->len) {
        struct pm_store_pending_read read = *pending_read_at(list, list->len - 1);
        g_array_set_size(list, list->len - 1);
        read.done(read.arg, false);
    }
}

static void fail_expired(GArray *list, double now)
{
    for (guint i = 0; i < list->len;) {
        struct pm_store_pending_read read = *pending_read_at(list, i);
        if (read.deadline > now) {
            i++;
            continue;
        }
        g_array_remove_index_fast(list, i);
        read.done(read.arg, false);
    }
}

/* The read in flight has returned this store revision: its callers now wait until the replica
 * reaches that revision. */
static void wait_for_replica(struct pm_store *store, uint64_t store_revision)
{
    struct pm_store_reads *reads = &store->reads;

    for (guint i = 0; i < reads->in_flight->len; i++)
        pending_read_at(reads->in_flight, i)->store_revision = store_revision;
    g_array_append_vals(reads->waiting, reads->in_flight->data, reads->in_flight->len);
    g_array_set_size(reads->in_flight, 0);
    if (store->replica.is_ready)
        pm_store_complete_reads(store);
}

static void on_revision_read(void *arg, int status, const unsigned char *body, size_t size)
{
    struct pm_store *store = arg;
    cbor_item_t *answer = NULL;
    uint64_t store_revision;
    bool is_read;

    store->reads.is_read_in_flight = false;
    pm_store_record_status(store, status);
    pm_store_record_latency(store, store->reads.read_sent_at);
    if (status == PM_STORE_NOT_FOUND)
        answer = pm_cbor_parse(body, size);
    is_read = pm_store_decode_revision(answer, &store_revision);
    pm_cbor_free(answer);
    if (is_read)
        wait_for_replica(store, store_revision);
    else
        fail_all(store->reads.in_flight);
}

static void send_revision_read(struct pm_store *store, double now)
{
    struct pm_store_reads *reads = &store->reads;
    GArray *empty = reads->in_flight;

    if (reads->is_read_in_flight || !reads->queued->len)
        return;
    reads->is_read_in_flight = true;
    reads->read_sent_at = now;
    reads->in_flight = reads->queued;
    reads->queued = empty;
    /* This key never exists; the 404 carries the store revision. */
    pm_http_call(store->http, store->address, "GET", "/kv/" PM_KEY_ROOT "none", NULL, 0,
                 READ_TIMEOUT_S, PM_STORE_SMALL_ANSWER_MAX_BYTES, on_revision_read, store);
}

static bool may_send_revision_read(const struct pm_store *store, double now)
{
    return now - store->reads.read_sent_at > store->min_request_interval_s;
}

void pm_store_linearizable_read(struct pm_store *store, pm_store_wait_done *done, void *arg)
{
    double now = pm_clock_monotonic();
    struct pm_store_pending_read read = {0, now + READ_TIMEOUT_S, done, arg};

    g_array_append_val(store->reads.queued, read);
    ev_timer_again(store->loop, &store->reads.timer);
    if (may_send_revision_read(store, now))
        send_revision_read(store, now);
}

void pm_store_wait_for_revision(struct pm_store *store, uint64_t store_revision,
                                pm_store_wait_done *done, void *arg)
{
    double deadline = pm_clock_monotonic() + READ_TIMEOUT_S;
    struct pm_store_pending_read read = {store_revision, deadline, done, arg};

    g_array_append_val(store->reads.waiting, read);
    ev_timer_again(store->loop, &store->reads.timer);
    if (store->replica.is_ready)
        pm_store_complete_reads(store);
}

/* Whether a caller waits for a change that the open watch should already have reported. */
static bool is_watch_stalled(const struct pm_store *store, double now)
{
    GArray *waiting = store->reads.waiting;

    if (store->replica.is_listing ||
        now - store->replica.watch_opened_at <= STALLED_WATCH_MIN_AGE_S)
        return false;
    for (guint i = 0; i < waiting->len; i++)
        if (pending_read_at(waiting, i)->deadline - now < READ_TIMEOUT_S - STALLED_READ_MIN_WAIT_S)
            return true;
    return false;
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct pm_store *store = timer->data;
    struct pm_store_reads *reads = &store->reads;
    double now = pm_clock_monotonic();

    (void)loop;
    (void)events;
    if (may_send_revision_read(store, now))
        send_revision_read(store, now);
    if (is_watch_stalled(store, now))
        pm_store_reopen_watch(store); /* costs only one request if the watch was not stalled */
    fail_expired(reads->queued, now);
    fail_expired(reads->waiting, now);
    if (!reads->queued->len && !reads->waiting->len)
        ev_timer_stop(store->loop, timer);
}

void pm_store_reads_init(struct pm_store *store)
{
    struct pm_store_reads *reads = &store->reads;

    reads->queued = g_array_new(FALSE, FALSE, sizeof(struct pm_store_pending_read));
    reads->in_flight = g_array_new(FALSE, FALSE, sizeof(struct pm_store_pending_read));
    reads->waiting = g_array_new(FALSE, FALSE, sizeof(struct pm_store_pending_read));
    ev_timer_init(&reads->timer, on_tick, 0., PM_STORE_MIN_REQUEST_INTERVAL_S);
    reads->timer.data = store;
}

void pm_store_reads_clear(struct pm_store *store)
{
    struct pm_store_reads *reads = &store->reads;

    ev_timer_stop(store->loop, &reads->timer);
    g_array_free(reads->queued, TRUE);
    g_array_free(reads->in_flight, TRUE);
    g_array_free(reads->waiting, TRUE);
}
