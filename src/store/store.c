#include "store/store.h"
#include "base/clock.h"
#include "base/log.h"

#include <ev.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define CALL_S 2.0 /* a request with no answer by then counts as lost */
#define WATCH_WAIT_MS 5000
#define LEAST_PACE_S 0.03 /* watches opened and freshness reads count as requests: see set_pace */
#define GAP_S 8.0         /* longer than a quiet watch stays open */
#define OTHERS_S 3.0      /* over which the others' writes are measured */
#define FRESH_S 1.6       /* users wait 2 s for a poll's answer */
#define ANSWER_MAX (4u << 20)

struct waiter {
    uint64_t store_revision;
    double until;
    pm_fresh_done *done;
    void *arg;
};

struct pm_store {
    struct ev_loop *loop;
    struct pm_http_client *http;
    char addr[64];
    struct pm_store_feed feed;
    bool ready, refusing;
    bool listing;     /* a listing is under way, or due */
    double caught_at; /* steady: the replica last caught up with something */
    double served, refused;
    uint64_t store_revision;
    /* The round of listing and watching in force: an answer of an earlier one is ignored. */
    uint64_t round;
    char since[256];
    uint64_t list_store_revision;
    double watch_opened;
    ev_timer retry, tick;
    /* Freshness: those waiting for the next read, those whose read is under way, those who wait
     * for the watch. */
    GArray *next, *reading, *waiting;
    bool fresh_busy;
    double fresh_sent;
    /* Write budget: a bucket of one second's worth. */
    double write_rps, share, most, tokens, filled;
    double others, others_at; /* changes told that were not ours, fading over OTHERS_S */
    double pace;
    double answer_s; /* see pm_store_answer_s */
};

struct step {
    struct pm_store *store;
    uint64_t round;
};

static void list_next(struct pm_store *s);
static void watch_next(struct pm_store *s);

static bool note(struct pm_store *s, int status)
{
    if (status == 503 && !s->refusing)
        pm_info("store.refusing", "the state service answers 503");
    if (status > 0)
        s->refusing = status == 503;
    if (status == 503)
        s->refused = pm_clock_steady();
    if (status > 0 && status != 503)
        s->served = pm_clock_steady();
    return status == 200;
}

static void note_time(struct pm_store *s, double sent)
{
    s->answer_s += (pm_clock_steady() - sent - s->answer_s) * 0.1;
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
        watch_next(s);
}

static void wake(struct pm_store *s)
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

static void caught_up(struct pm_store *s, uint64_t store_revision)
{
    if (store_revision > s->store_revision)
        s->store_revision = store_revision;
    s->caught_at = pm_clock_steady();
    s->feed.caught_up(s->feed.arg, s->store_revision);
    wake(s);
}

static int tell_put(struct pm_store *s, const cbor_item_t *item, const char *name_of_key)
{
    char key[256];
    uint64_t revision;

    if (pm_cbor_text(pm_cbor_get(item, name_of_key), key, sizeof key) ||
        pm_cbor_count(pm_cbor_get(item, "stamp"), &revision))
        return -1;
    s->feed.put(s->feed.arg, key, pm_cbor_get(item, "data"), revision);
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
    answer = note(s, status) ? pm_cbor_parse(body, size) : NULL;
    items = pm_cbor_get(answer, "items");
    if (!answer || pm_cbor_count(pm_cbor_get(answer, "edition"), &store_revision)) {
        pm_cbor_free(answer);
        again_in(s, 0.2);
        return;
    }
    if (!s->since[0]) {
        s->ready = false; /* what was known is thrown away only now that there is something new */
        s->list_store_revision = store_revision;
        s->feed.begin(s->feed.arg);
    }
    for (size_t i = 0; i < pm_cbor_length(items); i++)
        tell_put(s, pm_cbor_at(items, i), "key");
    pm_cbor_flag(pm_cbor_get(answer, "has_next"), &more);
    pm_cbor_free(answer);
    if (more) {
        list_next(s);
        return;
    }
    s->ready = true;
    s->listing = false;
    s->feed.listed(s->feed.arg);
    /* Later pages may be newer than the first: the watch from its store revision tells the rest. */
    caught_up(s, s->list_store_revision);
    watch_next(s);
}

static void list_next(struct pm_store *s)
{
    char target[512];

    snprintf(target, sizeof target, "/kv?under=" PM_STORE_ROOT "%s%s&page=200",
             s->since[0] ? "&since=" : "", s->since);
    pm_http_call(s->http, s->addr, "GET", target, NULL, 0, CALL_S, ANSWER_MAX, on_list,
                 step_new(s));
}

void pm_store_relist(struct pm_store *s)
{
    s->round++;
    s->listing = true;
    s->since[0] = 0;
    list_next(s);
}

static void note_others(struct pm_store *s, double changes)
{
    double now = pm_clock_steady();

    s->others = s->others * exp((s->others_at - now) / OTHERS_S) + changes;
    s->others_at = now;
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
        pm_info("store.relist", "the watch is too old at %llu",
                (unsigned long long)s->store_revision);
        pm_store_relist(s);
        return;
    }
    answer = note(s, status) ? pm_cbor_parse(body, size) : NULL;
    if (!answer || pm_cbor_count(pm_cbor_get(answer, "edition"), &store_revision)) {
        pm_cbor_free(answer);
        /* After a while out of reach, all that has changed since would come in one answer of any
         * size; a listing comes by pages. In an outage nothing changes. */
        if (!s->refusing && pm_clock_steady() - s->caught_at > GAP_S) {
            pm_info("store.relist", "out of reach since %llu",
                    (unsigned long long)s->store_revision);
            pm_store_relist(s);
        } else {
            again_in(s, 0.15);
        }
        return;
    }
    events = pm_cbor_get(answer, "events");
    n = pm_cbor_length(events);
    note_others(s, (double)n);
    for (size_t i = 0; i < n; i++) {
        const cbor_item_t *event = pm_cbor_at(events, i);
        if (pm_cbor_has(event, "put"))
            tell_put(s, event, "put");
        else if (!pm_cbor_text(pm_cbor_get(event, "drop"), key, sizeof key) &&
                 !pm_cbor_count(pm_cbor_get(event, "stamp"), &revision))
            s->feed.drop(s->feed.arg, key, revision);
    }
    pm_cbor_free(answer);
    caught_up(s, store_revision);
    if (round == s->round) { /* no new listing was asked for meanwhile */
        double left = s->watch_opened + s->pace - pm_clock_steady();
        if (left > 0.001)
            again_in(s, left);
        else
            watch_next(s);
    }
}

static void watch_next(struct pm_store *s)
{
    char target[128];

    s->watch_opened = pm_clock_steady();
    snprintf(target, sizeof target, "/watch?under=" PM_STORE_ROOT "&since=%llu&wait_ms=%d",
             (unsigned long long)s->store_revision, WATCH_WAIT_MS);
    pm_http_call(s->http, s->addr, "GET", target, NULL, 0, WATCH_WAIT_MS / 1000. + CALL_S,
                 ANSWER_MAX, on_watch, step_new(s));
}

/* ---- freshness ---- */

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
    note(s, status);
    note_time(s, s->fresh_sent);
    answer = status == 404 ? pm_cbor_parse(body, size) : NULL;
    ok = answer && !pm_cbor_count(pm_cbor_get(answer, "edition"), &store_revision);
    pm_cbor_free(answer);
    if (ok) {
        for (guint i = 0; i < s->reading->len; i++)
            g_array_index(s->reading, struct waiter, i).store_revision = store_revision;
        g_array_append_vals(s->waiting, s->reading->data, s->reading->len);
        g_array_set_size(s->reading, 0);
        if (s->ready)
            wake(s);
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
    s->fresh_sent = pm_clock_steady();
    s->reading = s->next;
    s->next = spare;
    /* A key that never exists: its 404 tells the store revision. */
    pm_http_call(s->http, s->addr, "GET", "/kv/" PM_STORE_ROOT "none", NULL, 0, FRESH_S, 4096,
                 on_fresh, s);
}

void pm_store_fresh(struct pm_store *s, pm_fresh_done *done, void *arg)
{
    struct waiter w = {0, pm_clock_steady() + FRESH_S, done, arg};

    g_array_append_val(s->next, w);
    ev_timer_again(s->loop, &s->tick); /* runs only while somebody waits */
    if (w.until - FRESH_S - s->fresh_sent > s->pace)
        fresh_start(s);
}

void pm_store_reach(struct pm_store *s, uint64_t store_revision, pm_fresh_done *done, void *arg)
{
    struct waiter w = {store_revision, pm_clock_steady() + FRESH_S, done, arg};

    g_array_append_val(s->waiting, w);
    ev_timer_again(s->loop, &s->tick);
    if (s->ready)
        wake(s);
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

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
    struct pm_store *s = w->data;
    double now = pm_clock_steady();

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
                watch_next(s);
                break;
            }
        }
    }
    expire(s->next, now);
    expire(s->waiting, now);
    if (!s->next->len && !s->waiting->len)
        ev_timer_stop(loop, w);
}

/* ---- transactions ---- */

void pm_txn_if(struct pm_txn *t, const char *key, uint64_t revision)
{
    pm_put_map(&t->conditions);
    pm_put_pair_text(&t->conditions, "key", key);
    pm_put_pair_count(&t->conditions, "stamp", revision);
    pm_put_end(&t->conditions);
    t->nconditions++;
}

void pm_txn_put(struct pm_txn *t, const char *key)
{
    pm_put_map(&t->writes);
    pm_put_pair_text(&t->writes, "put", key);
    pm_put_text(&t->writes, "data");
    t->nwrites++;
}

void pm_txn_put_end(struct pm_txn *t, uint64_t lease_id)
{
    if (lease_id)
        pm_put_pair_count(&t->writes, "tenure", lease_id);
    pm_put_end(&t->writes);
}

void pm_txn_drop(struct pm_txn *t, const char *key)
{
    pm_put_map(&t->writes);
    pm_put_pair_text(&t->writes, "drop", key);
    pm_put_end(&t->writes);
    t->nwrites++;
}

void pm_txn_write(const struct pm_txn *t, struct pm_buf *out)
{
    pm_put_map(out);
    pm_put_text(out, "if");
    pm_put_list(out);
    pm_buf_add(out, t->conditions.data, t->conditions.size);
    pm_put_end(out);
    pm_put_text(out, "writes");
    pm_put_list(out);
    pm_buf_add(out, t->writes.data, t->writes.size);
    pm_put_end(out);
    pm_put_end(out);
}

void pm_txn_free(struct pm_txn *t)
{
    pm_buf_free(&t->conditions);
    pm_buf_free(&t->writes);
    t->nconditions = t->nwrites = 0;
}

struct commit {
    struct pm_store *store;
    int nwrites;
    double sent;
    pm_txn_done *done;
    void *arg;
};

static void on_commit(void *arg, int status, const unsigned char *body, size_t size)
{
    struct commit *commit = arg;
    cbor_item_t *answer = NULL;
    uint64_t store_revision = 0;

    note(commit->store, status);
    note_time(commit->store, commit->sent);
    if (status == 200 || status == 409) {
        answer = pm_cbor_parse(body, size);
        if (!answer || pm_cbor_count(pm_cbor_get(answer, "edition"), &store_revision))
            status = PM_HTTP_LOST; /* a malformed answer counts as none */
    }
    if (status == 200)
        note_others(commit->store, -commit->nwrites); /* the watch tells these too */
    if (status == 429)
        commit->store->tokens = MIN(commit->store->tokens, 0);
    commit->done(commit->arg, status, store_revision, pm_cbor_get(answer, "failed"));
    pm_cbor_free(answer);
    g_free(commit);
}

void pm_store_commit(struct pm_store *s, struct pm_txn *t, pm_txn_done *done, void *arg)
{
    struct commit *commit = g_new(struct commit, 1);
    struct pm_buf body = {0};

    *commit = (struct commit){s, t->nwrites, pm_clock_steady(), done, arg};
    pm_txn_write(t, &body);
    s->tokens -= t->nwrites;
    pm_http_call(s->http, s->addr, "POST", "/txn", body.data, body.size, CALL_S, 64 * 1024,
                 on_commit, commit);
    pm_buf_free(&body);
    pm_txn_free(t);
}

int pm_store_room(struct pm_store *s, double now)
{
    double others = MAX(0, s->others) * exp((s->others_at - now) / OTHERS_S) / OTHERS_S;
    double share = MAX(s->share, MIN(s->most, 0.95 - others / s->write_rps));
    double rate = s->write_rps * share;

    /* However small the share: a transaction of some changes has to fit sometime. */
    s->tokens = MIN(s->tokens + (now - s->filled) * rate, MAX(rate, 0.4 * s->write_rps));
    s->filled = now;
    return s->tokens < 1 ? 0 : (int)s->tokens;
}

void pm_store_set_share(struct pm_store *s, double share, double most)
{
    s->share = share;
    s->most = most;
}

void pm_store_set_pace(struct pm_store *s, double requests_per_s)
{
    s->pace = MAX(LEAST_PACE_S, 1 / MAX(requests_per_s, 0.1));
}

/* ---- holds ---- */

struct hold {
    struct pm_store *store;
    pm_hold_done *done;
    void *arg;
    uint64_t lease_id;
};

static void on_hold(void *arg, int status, const unsigned char *body, size_t size)
{
    struct hold *hold = arg;
    cbor_item_t *answer = status == 200 && size ? pm_cbor_parse(body, size) : NULL;

    note(hold->store, status);
    if (status == 200 && !hold->lease_id &&
        pm_cbor_count(pm_cbor_get(answer, "tenure"), &hold->lease_id))
        status = PM_HTTP_LOST;
    pm_cbor_free(answer);
    hold->done(hold->arg, status, hold->lease_id);
    g_free(hold);
}

static void hold_call(struct pm_store *s, const char *target, const struct pm_buf *body,
                      uint64_t lease_id, pm_hold_done *done, void *arg)
{
    struct hold *hold = g_new(struct hold, 1);

    *hold = (struct hold){s, done, arg, lease_id};
    pm_http_call(s->http, s->addr, "POST", target, body->data, body->size, CALL_S, 4096, on_hold,
                 hold);
}

void pm_store_hold(struct pm_store *s, double ttl_s, pm_hold_done *done, void *arg)
{
    struct pm_buf body = {0};

    pm_put_map(&body);
    pm_put_pair_count(&body, "ttl_ms", (uint64_t)(ttl_s * 1000));
    pm_put_end(&body);
    hold_call(s, "/holds", &body, 0, done, arg);
    pm_buf_free(&body);
}

void pm_store_renew(struct pm_store *s, uint64_t lease_id, pm_hold_done *done, void *arg)
{
    struct pm_buf body = {0};
    char target[64];

    pm_put_map(&body);
    pm_put_end(&body);
    snprintf(target, sizeof target, "/holds/%llu/renew", (unsigned long long)lease_id);
    hold_call(s, target, &body, lease_id, done, arg);
    pm_buf_free(&body);
}

static void on_unheld(void *arg, int status, const unsigned char *body, size_t size)
{
    (void)body;
    (void)size;
    note(arg, status);
}

void pm_store_unhold(struct pm_store *s, uint64_t lease_id)
{
    char target[64];

    snprintf(target, sizeof target, "/holds/%llu", (unsigned long long)lease_id);
    pm_http_call(s->http, s->addr, "DELETE", target, NULL, 0, CALL_S, 4096, on_unheld, s);
}

bool pm_store_ready(const struct pm_store *s)
{
    return s->ready;
}

uint64_t pm_store_revision(const struct pm_store *s)
{
    return s->store_revision;
}

double pm_store_answer_s(const struct pm_store *s)
{
    return s->answer_s;
}

double pm_store_served(const struct pm_store *s)
{
    return s->served;
}

double pm_store_refused(const struct pm_store *s)
{
    return s->refused;
}

bool pm_store_refusing(const struct pm_store *s)
{
    return s->refusing;
}

struct pm_store *pm_store_new(struct ev_loop *loop, struct pm_http_client *http, const char *addr,
                              double write_rps, const struct pm_store_feed *feed)
{
    struct pm_store *s = g_new0(struct pm_store, 1);

    s->loop = loop;
    s->http = http;
    snprintf(s->addr, sizeof s->addr, "%s", addr);
    s->feed = *feed;
    s->write_rps = write_rps;
    s->share = s->most = 0.5;
    s->pace = LEAST_PACE_S;
    s->listing = true;
    s->tokens = write_rps * s->share;
    s->filled = pm_clock_steady();
    s->next = g_array_new(FALSE, FALSE, sizeof(struct waiter));
    s->reading = g_array_new(FALSE, FALSE, sizeof(struct waiter));
    s->waiting = g_array_new(FALSE, FALSE, sizeof(struct waiter));
    ev_init(&s->retry, on_retry);
    s->retry.data = s;
    ev_timer_init(&s->tick, on_tick, 0., LEAST_PACE_S);
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
