/* Freshness: the batched read of the store's revision, and those who wait for the replica. */
#include "store/internal.h"
#include "base/clock.h"

#define FRESH_S 1.6 /* users wait 2 s for a poll's answer */

void pm_store_wake_waiters(struct pm_store *s)
{
    for (guint i = 0; i < s->waiting->len;) {
        struct waiter w = g_array_index(s->waiting, struct waiter, i);
        if (w.store_revision > s->store_revision) {
            i++;
            continue;
        }
        g_array_remove_index_fast(s->waiting, i);
        w.done(w.arg, true);
    }
}

static void fail_all(GArray *list)
{
    while (list->len) {
        struct waiter w = g_array_index(list, struct waiter, list->len - 1);
        g_array_set_size(list, list->len - 1);
        w.done(w.arg, false);
    }
}

static void fresh_start(struct pm_store *s);

static void on_fresh(void *arg, int status, const unsigned char *body, size_t size)
{
    struct pm_store *s = arg;
    cbor_item_t *answer;
    uint64_t store_revision = 0;
    bool ok;

    s->fresh_busy = false;
    pm_store_note_status(s, status);
    pm_store_note_latency(s, s->fresh_sent);
    answer = status == 404 ? pm_cbor_parse(body, size) : NULL;
    ok = answer && pm_cbor_read_count(pm_cbor_get(answer, "edition"), &store_revision);
    pm_cbor_free(answer);
    if (ok) {
        for (guint i = 0; i < s->reading->len; i++)
            g_array_index(s->reading, struct waiter, i).store_revision = store_revision;
        g_array_append_vals(s->waiting, s->reading->data, s->reading->len);
        g_array_set_size(s->reading, 0);
        if (s->ready)
            pm_store_wake_waiters(s);
    } else {
        fail_all(s->reading);
    }
}

/* One read of `store_revision` serves all who asked before it was sent. */
static void fresh_start(struct pm_store *s)
{
    GArray *spare = s->reading;

    if (s->fresh_busy || !s->next->len)
        return;
    s->fresh_busy = true;
    s->fresh_sent = pm_clock_monotonic();
    s->reading = s->next;
    s->next = spare;
    /* A key that never exists: its 404 tells the store revision. */
    pm_http_call(s->http, s->addr, "GET", "/kv/" PM_STORE_ROOT "none", NULL, 0, FRESH_S, 4096,
                 on_fresh, s);
}

void pm_store_linearizable_read(struct pm_store *s, pm_store_wait_done *done, void *arg)
{
    struct waiter w = {0, pm_clock_monotonic() + FRESH_S, done, arg};

    g_array_append_val(s->next, w);
    ev_timer_again(s->loop, &s->tick); /* runs only while somebody waits */
    if (w.until - FRESH_S - s->fresh_sent > s->pace)
        fresh_start(s);
}

void pm_store_wait_for_revision(struct pm_store *s, uint64_t store_revision,
                                pm_store_wait_done *done, void *arg)
{
    struct waiter w = {store_revision, pm_clock_monotonic() + FRESH_S, done, arg};

    g_array_append_val(s->waiting, w);
    ev_timer_again(s->loop, &s->tick);
    if (s->ready)
        pm_store_wake_waiters(s);
}

static void expire(GArray *list, double now)
{
    for (guint i = 0; i < list->len;) {
        struct waiter w = g_array_index(list, struct waiter, i);
        if (w.until > now) {
            i++;
            continue;
        }
        g_array_remove_index_fast(list, i);
        w.done(w.arg, false);
    }
}

void pm_store_on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
    struct pm_store *s = w->data;
    double now = pm_clock_monotonic();

    (void)loop;
    (void)events;
    if (s->next->len && now - s->fresh_sent > s->pace)
        fresh_start(s);
    if (s->waiting->len && !s->listing && now - s->watch_opened > 0.8) {
        /* Somebody waits for a change that the watch should have told: it may hang on a dead
         * connection. A new one costs one request. */
        for (guint i = 0; i < s->waiting->len; i++) {
            if (g_array_index(s->waiting, struct waiter, i).until - now < FRESH_S - 0.6) {
                s->round++;
                ev_timer_stop(s->loop, &s->retry);
                pm_store_open_watch(s);
                break;
            }
        }
    }
    expire(s->next, now);
    expire(s->waiting, now);
    if (!s->next->len && !s->waiting->len)
        ev_timer_stop(loop, w);
}

void pm_store_set_request_rate(struct pm_store *s, double requests_per_s)
{
    s->pace = MAX(PM_STORE_MIN_REQUEST_INTERVAL_S, 1 / MAX(requests_per_s, 0.1));
}
