/* Keeps the replica up to date: lists all keys in pages, then opens watches, each from the store
 * revision that the one before it reached.
 *
 * At any time either one request (a page or a watch) is in flight, or the timer runs that sends the
 * next one. Incrementing the generation abandons the request in flight: its answer is ignored. */
#include "base/keys.h"
#include "store/internal.h"
#include "base/clock.h"
#include "base/log.h"

#include <stdio.h>

/* The service ends a watch without events after this time. */
#define WATCH_WAIT_MS 5000
#define LIST_PAGE_KEYS 200 /* keys per page of a listing */
/* If a watch fails and the replica has not caught up for longer than this, all keys are listed
 * again. The limit exceeds WATCH_WAIT_MS, so that the failure of a single watch without events does
 * not cause a listing. */
#define MAX_WATCH_GAP_S 8.0
#define LIST_RETRY_S 0.2         /* delay after a page without a readable answer */
#define WATCH_RETRY_S 0.15       /* delay after a watch without a readable answer */
#define NEGLIGIBLE_DELAY_S 0.001 /* a delay up to this is skipped rather than timed */
#define REPLICA_ANSWER_MAX_BYTES (4u << 20)

/* A page of a listing, or a watch, in flight. */
struct replica_request {
    struct pm_store *store;
    uint64_t generation;
};

static struct replica_request *replica_request_new(struct pm_store *store)
{
    struct replica_request *request = g_new(struct replica_request, 1);

    request->store = store;
    request->generation = store->replica.generation;
    return request;
}

/* Frees a request that has ended. Returns its store, or NULL if the request had been abandoned. */
static struct pm_store *replica_request_end(struct replica_request *request)
{
    struct pm_store *store = request->store;
    bool is_current = request->generation == store->replica.generation;

    g_free(request);
    return is_current ? store : NULL;
}

/* Records the status. Returns the answer, owned by the caller, and its store revision. Returns NULL
 * if the request failed (any status but 200) or the answer can't be read. */
static cbor_item_t *parse_replica_answer(struct pm_store *store, int status,
                                         const unsigned char *body, size_t size,
                                         uint64_t *store_revision)
{
    cbor_item_t *answer = pm_store_record_status(store, status) ? pm_cbor_parse(body, size) : NULL;

    if (pm_store_decode_revision(answer, store_revision))
        return answer;
    pm_cbor_free(answer);
    return NULL;
}

static void schedule_next_request(struct pm_store *store, double delay_s)
{
    ev_timer *request_timer = &store->replica.request_timer;

    ev_timer_stop(store->loop, request_timer);
    ev_timer_set(request_timer, delay_s, 0.);
    ev_timer_start(store->loop, request_timer);
}

static void mark_caught_up(struct pm_store *store, uint64_t store_revision)
{
    struct pm_store_replica *replica = &store->replica;

    if (store_revision > replica->store_revision)
        replica->store_revision = store_revision;
    replica->caught_up_at = pm_clock_monotonic();
    store->observer.caught_up(store->observer.arg, replica->store_revision);
    pm_store_complete_reads(store);
}

/* ---- watching ---- */

static void apply_event(struct pm_store *store, const cbor_item_t *event)
{
    const struct pm_store_observer *observer = &store->observer;
    struct pm_store_change change;

    if (!pm_store_decode_watch_event(event, &change))
        return;
    if (change.is_delete)
        observer->delete (observer->arg, change.key, change.revision);
    else
        observer->put(observer->arg, change.key, change.value, change.revision);
}

static void open_watch(struct pm_store *store);

static void open_watch_after_interval(struct pm_store *store)
{
    double next_at = store->replica.watch_opened_at + store->min_request_interval_s;
    double delay_s = next_at - pm_clock_monotonic();

    if (delay_s > NEGLIGIBLE_DELAY_S)
        schedule_next_request(store, delay_s);
    else
        open_watch(store);
}

/* Retries a failed watch, or lists all keys again if no watch has succeeded for MAX_WATCH_GAP_S: a
 * watch would report all changes since then in one answer of unbounded size, whereas a listing
 * comes in pages. A service that refuses requests (503) executes no writes either, so there are no
 * missed changes and the watch is just retried. */
static void recover_watch(struct pm_store *store)
{
    const struct pm_store_replica *replica = &store->replica;

    if (!store->health.is_refusing &&
        pm_clock_monotonic() - replica->caught_up_at > MAX_WATCH_GAP_S) {
        pm_info("store.resync",
                "watches of the state service have failed since store revision %llu was reached; "
                "listing all keys again",
                (unsigned long long)replica->store_revision);
        pm_store_resync(store);
    } else {
        schedule_next_request(store, WATCH_RETRY_S);
    }
}

static void on_watch(void *arg, int status, const unsigned char *body, size_t size)
{
    struct pm_store *store = replica_request_end(arg);
    uint64_t generation;
    uint64_t store_revision;
    cbor_item_t *answer;
    const cbor_item_t *events;
    size_t event_count;

    if (!store)
        return;
    generation = store->replica.generation;
    if (status == PM_STORE_HTTP_GONE) {
        pm_info("store.resync",
                "store revision %llu is too old to watch from; listing all keys again",
                (unsigned long long)store->replica.store_revision);
        pm_store_resync(store);
        return;
    }
    answer = parse_replica_answer(store, status, body, size, &store_revision);
    if (!answer) {
        recover_watch(store);
        return;
    }
    events = pm_store_decode_watch_events(answer);
    event_count = pm_cbor_length(events);
    pm_store_add_peer_writes(store, (double)event_count);
    for (size_t i = 0; i < event_count; i++)
        apply_event(store, pm_cbor_at(events, i));
    pm_cbor_free(answer);
    mark_caught_up(store, store_revision);
    /* If an observer has called pm_store_resync, a page of the new listing is in flight instead. */
    if (generation == store->replica.generation)
        open_watch_after_interval(store);
}

static void open_watch(struct pm_store *store)
{
    struct pm_store_replica *replica = &store->replica;
    char target[128];

    replica->watch_opened_at = pm_clock_monotonic();
    snprintf(target, sizeof target, "/watch?under=" PM_KEY_ROOT "&since=%llu&wait_ms=%d",
             (unsigned long long)replica->store_revision, WATCH_WAIT_MS);
    pm_http_call(store->http, store->address, "GET", target, NULL, 0,
                 WATCH_WAIT_MS / 1000. + PM_STORE_REQUEST_TIMEOUT_S, REPLICA_ANSWER_MAX_BYTES,
                 on_watch, replica_request_new(store));
}

void pm_store_reopen_watch(struct pm_store *store)
{
    store->replica.generation++;
    ev_timer_stop(store->loop, &store->replica.request_timer);
    open_watch(store);
}

/* ---- listing ---- */

static void list_next_page(struct pm_store *store);

static void begin_snapshot(struct pm_store *store, uint64_t store_revision)
{
    store->replica.is_ready = false;
    store->replica.snapshot_revision = store_revision;
    store->observer.snapshot_begin(store->observer.arg);
}

static void end_snapshot(struct pm_store *store)
{
    store->replica.is_ready = true;
    store->replica.is_listing = false;
    store->observer.snapshot_end(store->observer.arg);
    /* Later pages may include changes made after the first page was read. The watch therefore
     * starts at the first page's revision, and reports some of those changes a second time. */
    mark_caught_up(store, store->replica.snapshot_revision);
    open_watch(store);
}

static void apply_list_item(struct pm_store *store, const cbor_item_t *item)
{
    struct pm_store_change change;

    if (!pm_store_decode_list_item(item, &change))
        return;
    store->observer.put(store->observer.arg, change.key, change.value, change.revision);
    g_strlcpy(store->replica.last_listed_key, change.key, sizeof store->replica.last_listed_key);
}

static void on_list(void *arg, int status, const unsigned char *body, size_t size)
{
    struct pm_store *store = replica_request_end(arg);
    cbor_item_t *answer;
    const cbor_item_t *items;
    uint64_t store_revision;
    bool has_more;

    if (!store)
        return;
    answer = parse_replica_answer(store, status, body, size, &store_revision);
    if (!answer) {
        schedule_next_request(store, LIST_RETRY_S);
        return;
    }
    /* The old replica stays in use until the first page of the new listing has arrived. */
    if (!store->replica.last_listed_key[0])
        begin_snapshot(store, store_revision);
    items = pm_store_decode_list(answer, &has_more);
    for (size_t i = 0; i < pm_cbor_length(items); i++)
        apply_list_item(store, pm_cbor_at(items, i));
    pm_cbor_free(answer);
    if (has_more)
        list_next_page(store);
    else
        end_snapshot(store);
}

static void list_next_page(struct pm_store *store)
{
    const char *last_key = store->replica.last_listed_key;
    char target[512];

    snprintf(target, sizeof target, "/kv?under=" PM_KEY_ROOT "%s%s&page=%d",
             last_key[0] ? "&since=" : "", last_key, LIST_PAGE_KEYS);
    pm_http_call(store->http, store->address, "GET", target, NULL, 0, PM_STORE_REQUEST_TIMEOUT_S,
                 REPLICA_ANSWER_MAX_BYTES, on_list, replica_request_new(store));
}

void pm_store_resync(struct pm_store *store)
{
    store->replica.generation++;
    store->replica.is_listing = true;
    store->replica.last_listed_key[0] = 0;
    list_next_page(store);
}

/* ---- life cycle ---- */

static void on_request_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct pm_store *store = timer->data;

    (void)loop;
    (void)events;
    if (store->replica.is_listing)
        list_next_page(store);
    else
        open_watch(store);
}

void pm_store_replica_start(struct pm_store *store)
{
    ev_init(&store->replica.request_timer, on_request_timer);
    store->replica.request_timer.data = store;
    store->replica.is_listing = true;
    list_next_page(store);
}

void pm_store_replica_stop(struct pm_store *store)
{
    ev_timer_stop(store->loop, &store->replica.request_timer);
}

bool pm_store_is_ready(const struct pm_store *store)
{
    return store->replica.is_ready;
}

uint64_t pm_store_revision(const struct pm_store *store)
{
    return store->replica.store_revision;
}
