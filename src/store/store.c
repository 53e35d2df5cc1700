#include "store/internal.h"
#include "base/clock.h"
#include "base/log.h"

#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define WATCH_WAIT_MS 5000
#define GAP_S 8.0 /* longer than a quiet watch stays open */
#define ANSWER_MAX (4u << 20)

struct step {
    struct pm_store *store;
    uint64_t round;
};

static void list_next(struct pm_store *s);

bool pm_store_note_status(struct pm_store *s, int status)
{
    if (status == 503 && !s->refusing)
        pm_info("store.refusing", "the state service answers 503");
    if (status > 0)
        s->refusing = status == 503;
    if (status == 503)
        s->refused = pm_clock_monotonic();
    if (status > 0 && status != 503)
        s->served = pm_clock_monotonic();
    return status == 200;
}

void pm_store_note_latency(struct pm_store *s, double sent)
{
    s->answer_s += (pm_clock_monotonic() - sent - s->answer_s) * 0.1;
}

static struct step *step_new(struct pm_store *s)
{
    struct step *step = g_new(struct step, 1);

    step->store = s;
    step->round = s->round;
    return step;
}

static void again_in(struct pm_store *s, double seconds)
{
    ev_timer_stop(s->loop, &s->retry);
    ev_timer_set(&s->retry, seconds, 0.);
    ev_timer_start(s->loop, &s->retry);
}

static void on_retry(struct ev_loop *loop, ev_timer *w, int events)
{
    struct pm_store *s = w->data;

    (void)loop;
    (void)events;
    if (s->listing)
        list_next(s);
    else
        pm_store_open_watch(s);
}

static void caught_up(struct pm_store *s, uint64_t store_revision)
{
    if (store_revision > s->store_revision)
        s->store_revision = store_revision;
    s->caught_at = pm_clock_monotonic();
    s->observer.caught_up(s->observer.arg, s->store_revision);
    pm_store_wake_waiters(s);
}

static int tell_put(struct pm_store *s, const cbor_item_t *item, const char *name_of_key)
{
    char key[256];
    uint64_t revision;

    if (!pm_cbor_read_text(pm_cbor_get(item, name_of_key), key, sizeof key) ||
        !pm_cbor_read_count(pm_cbor_get(item, "stamp"), &revision))
        return -1;
    s->observer.put(s->observer.arg, key, pm_cbor_get(item, "data"), revision);
    snprintf(s->since, sizeof s->since, "%s", key);
    return 0;
}

static void on_list(void *arg, int status, const unsigned char *body, size_t size)
{
    struct step *step = arg;
    struct pm_store *s = step->store;
    cbor_item_t *answer;
    cbor_item_t *items;
    uint64_t store_revision;
    bool more = false, current = step->round == s->round;

    g_free(step);
    if (!current)
        return;
    answer = pm_store_note_status(s, status) ? pm_cbor_parse(body, size) : NULL;
    items = pm_cbor_get(answer, "items");
    if (!answer || !pm_cbor_read_count(pm_cbor_get(answer, "edition"), &store_revision)) {
        pm_cbor_free(answer);
        again_in(s, 0.2);
        return;
    }
    if (!s->since[0]) {
        s->ready = false; /* what was known is thrown away only now that there is something new */
        s->list_store_revision = store_revision;
        s->observer.snapshot_begin(s->observer.arg);
    }
    for (size_t i = 0; i < pm_cbor_length(items); i++)
        tell_put(s, pm_cbor_at(items, i), "key");
    pm_cbor_read_flag(pm_cbor_get(answer, "has_next"), &more);
    pm_cbor_free(answer);
    if (more) {
        list_next(s);
        return;
    }
    s->ready = true;
    s->listing = false;
    s->observer.snapshot_end(s->observer.arg);
    /* Later pages may be newer than the first: the watch from its store revision tells the rest. */
    caught_up(s, s->list_store_revision);
    pm_store_open_watch(s);
}

static void list_next(struct pm_store *s)
{
    char target[512];

    snprintf(target, sizeof target, "/kv?under=" PM_STORE_ROOT "%s%s&page=200",
             s->since[0] ? "&since=" : "", s->since);
    pm_http_call(s->http, s->addr, "GET", target, NULL, 0, PM_STORE_REQUEST_TIMEOUT_S, ANSWER_MAX,
                 on_list, step_new(s));
}

void pm_store_resync(struct pm_store *s)
{
    s->round++;
    s->listing = true;
    s->since[0] = 0;
    list_next(s);
}

static void on_watch(void *arg, int status, const unsigned char *body, size_t size)
{
    struct step *step = arg;
    struct pm_store *s = step->store;
    cbor_item_t *answer;
    cbor_item_t *events;
    uint64_t store_revision;
    uint64_t revision;
    uint64_t round = step->round;
    char key[256];
    size_t n;

    g_free(step);
    if (round != s->round)
        return;
    if (status == 410) {
        pm_info("store.resync", "the watch is too old at %llu",
                (unsigned long long)s->store_revision);
        pm_store_resync(s);
        return;
    }
    answer = pm_store_note_status(s, status) ? pm_cbor_parse(body, size) : NULL;
    if (!answer || !pm_cbor_read_count(pm_cbor_get(answer, "edition"), &store_revision)) {
        pm_cbor_free(answer);
        /* After a while out of reach, all that has changed since would come in one answer of any
         * size; a listing comes by pages. In an outage nothing changes. */
        if (!s->refusing && pm_clock_monotonic() - s->caught_at > GAP_S) {
            pm_info("store.resync", "out of reach since %llu",
                    (unsigned long long)s->store_revision);
            pm_store_resync(s);
        } else {
            again_in(s, 0.15);
        }
        return;
    }
    events = pm_cbor_get(answer, "events");
    n = pm_cbor_length(events);
    pm_store_note_foreign_writes(s, (double)n);
    for (size_t i = 0; i < n; i++) {
        const cbor_item_t *event = pm_cbor_at(events, i);
        if (pm_cbor_has(event, "put"))
            tell_put(s, event, "put");
        else if (pm_cbor_read_text(pm_cbor_get(event, "drop"), key, sizeof key) &&
                 pm_cbor_read_count(pm_cbor_get(event, "stamp"), &revision))
            s->observer.delete(s->observer.arg, key, revision);
    }
    pm_cbor_free(answer);
    caught_up(s, store_revision);
    if (round == s->round) { /* no new listing was asked for meanwhile */
        double left = s->watch_opened + s->pace - pm_clock_monotonic();
        if (left > 0.001)
            again_in(s, left);
        else
            pm_store_open_watch(s);
    }
}

void pm_store_open_watch(struct pm_store *s)
{
    char target[128];

    s->watch_opened = pm_clock_monotonic();
    snprintf(target, sizeof target, "/watch?under=" PM_STORE_ROOT "&since=%llu&wait_ms=%d",
             (unsigned long long)s->store_revision, WATCH_WAIT_MS);
    pm_http_call(s->http, s->addr, "GET", target, NULL, 0,
                 WATCH_WAIT_MS / 1000. + PM_STORE_REQUEST_TIMEOUT_S, ANSWER_MAX, on_watch,
                 step_new(s));
}

bool pm_store_is_ready(const struct pm_store *s)
{
    return s->ready;
}

uint64_t pm_store_revision(const struct pm_store *s)
{
    return s->store_revision;
}

double pm_store_latency_s(const struct pm_store *s)
{
    return s->answer_s;
}

double pm_store_last_served_at(const struct pm_store *s)
{
    return s->served;
}

double pm_store_last_refused_at(const struct pm_store *s)
{
    return s->refused;
}

bool pm_store_is_refusing(const struct pm_store *s)
{
    return s->refusing;
}

struct pm_store *pm_store_new(struct ev_loop *loop, struct pm_http_client *http, const char *addr,
                              double write_rps, const struct pm_store_observer *feed)
{
    struct pm_store *s = g_new0(struct pm_store, 1);

    s->loop = loop;
    s->http = http;
    snprintf(s->addr, sizeof s->addr, "%s", addr);
    s->observer = *feed;
    s->write_rps = write_rps;
    s->share = s->most = 0.5;
    s->pace = PM_STORE_MIN_REQUEST_INTERVAL_S;
    s->listing = true;
    s->tokens = write_rps * s->share;
    s->filled = pm_clock_monotonic();
    s->next = g_array_new(FALSE, FALSE, sizeof(struct waiter));
    s->reading = g_array_new(FALSE, FALSE, sizeof(struct waiter));
    s->waiting = g_array_new(FALSE, FALSE, sizeof(struct waiter));
    ev_init(&s->retry, on_retry);
    s->retry.data = s;
    ev_timer_init(&s->tick, pm_store_on_tick, 0., PM_STORE_MIN_REQUEST_INTERVAL_S);
    s->tick.data = s;
    list_next(s);
    return s;
}

void pm_store_free(struct pm_store *s)
{
    ev_timer_stop(s->loop, &s->retry);
    ev_timer_stop(s->loop, &s->tick);
    g_array_free(s->next, TRUE);
    g_array_free(s->reading, TRUE);
    g_array_free(s->waiting, TRUE);
    g_free(s);
}
