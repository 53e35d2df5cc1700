#include "leadership/cancellation_quorum.h"
#include "base/clock.h"
#include "base/log.h"
#include "peer.pb-c.h"

#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

enum { CALL_MAX = 400, TRIES_MAX = 2, BODY_MAX = 64 * 1024 };
#define ANSWER_S 0.5  /* a peer's answer counts only within this */
#define GIVE_UP_S 1.1 /* users wait 2 s for a poll's answer */
#define TICK_S 0.1
#define UNTOLD_S 0.6 /* a message that tells of a cancellation comes within this of reading it */
#define SEEN_PACE_S 1.5

struct waiter { /* a cancellation whose user waits */
    char id[32];
    uint64_t revision;
    double until;
    bool acked[PM_PEERS_MAX];
    uint8_t tries[PM_PEERS_MAX];
    pm_cancel_quorum_done *done;
    void *arg;
};

struct pm_cancel_quorum {
    struct ev_loop *loop;
    struct pm_store *store;
    struct pm_http_client *http;
    const struct pm_settings *settings;
    struct pm_cancel_quorum_hooks hooks;
    uint64_t store_revision[PM_PEERS_MAX]; /* the peers' replicas have reached this */
    bool busy[PM_PEERS_MAX];
    GPtrArray *waiting; /* of struct waiter */
    ev_timer tick;
    /* Read, and no controller told of it yet. */
    uint64_t untold;
    double untold_since, seen_at;
    bool seen_busy;
};

struct call {
    struct pm_cancel_quorum *cancels;
    int peer;
    size_t n;
    struct pm_cancel_quorum_item {
        char id[32];
        uint64_t revision;
    } item[];
};

static int majority(const struct pm_cancel_quorum *c)
{
    return c->settings->cluster_size / 2 + 1;
}

bool pm_cancel_quorum_is_acked(const struct pm_cancel_quorum *c, uint64_t revision)
{
    int n = 1; /* ourselves */

    for (int i = 0; i < c->settings->peer_count; i++)
        n += c->store_revision[i] >= revision;
    return n >= majority(c);
}

/* Answers those whose majority is there, whose time is over, or who can't have one any more. */
static void settle(struct pm_cancel_quorum *c, double now)
{
    for (guint i = 0; i < c->waiting->len;) {
        struct waiter *w = g_ptr_array_index(c->waiting, i);
        int known = 1;
        int hopeful = 0;
        bool ok;
        for (int j = 0; j < c->settings->peer_count; j++) {
            bool knows = w->acked[j] || c->store_revision[j] >= w->revision;
            known += knows;
            hopeful += !knows && w->tries[j] < TRIES_MAX;
        }
        ok = known >= majority(c);
        if (!ok && now < w->until && known + hopeful >= majority(c)) {
            i++;
            continue;
        }
        g_ptr_array_remove_index_fast(c->waiting, i);
        if (!ok)
            pm_debug("cancellation.not_acked", "%s: known to %d of %d", w->id, known,
                     c->settings->cluster_size);
        w->done(w->arg, ok);
        g_free(w);
        i = 0; /* the callback may have added some */
    }
    if (!c->waiting->len)
        ev_timer_stop(c->loop, &c->tick);
}

static void send_all(struct pm_cancel_quorum *c);

static void on_told(void *arg, int status, const unsigned char *body, size_t size)
{
    struct call *call = arg;
    struct pm_cancel_quorum *c = call->cancels;
    Pm__CancellationResponse *tell =
        status == 200 ? pm__cancellation_response__unpack(NULL, size, body) : NULL;

    c->busy[call->peer] = false;
    for (size_t i = 0; i < call->n; i++)
        for (guint j = 0; j < c->waiting->len; j++) {
            struct waiter *w = g_ptr_array_index(c->waiting, j);
            if (w->revision != call->item[i].revision || strcmp(w->id, call->item[i].id))
                continue;
            if (tell)
                w->acked[call->peer] = true;
            else
                w->tries[call->peer]++;
        }
    if (tell) {
        pm_cancel_quorum_note_peer_revision(c, call->peer, tell->store_revision);
        pm__cancellation_response__free_unpacked(tell, NULL);
    }
    g_free(call);
    settle(c, pm_clock_monotonic());
    send_all(c);
}

/* One message to a peer at a time: what comes meanwhile goes with the next. */
static void send_to(struct pm_cancel_quorum *c, int peer)
{
    Pm__CancellationRequest message = PM__CANCELLATION_REQUEST__INIT;
    Pm__Cancellation entry[CALL_MAX];
    Pm__Cancellation *list[CALL_MAX];
    struct call *call;
    unsigned char *data;
    size_t size;

    if (c->busy[peer])
        return;
    call = g_malloc0(sizeof *call + CALL_MAX * sizeof call->item[0]);
    call->cancels = c;
    call->peer = peer;
    for (guint i = 0; i < c->waiting->len && call->n < CALL_MAX; i++) {
        const struct waiter *w = g_ptr_array_index(c->waiting, i);
        struct pm_cancel_quorum_item *item = &call->item[call->n];
        if (w->acked[peer] || c->store_revision[peer] >= w->revision || w->tries[peer] >= TRIES_MAX)
            continue;
        g_strlcpy(item->id, w->id, sizeof item->id);
        item->revision = w->revision;
        pm__cancellation__init(&entry[call->n]);
        entry[call->n].id = item->id;
        entry[call->n].revision = item->revision;
        list[call->n] = &entry[call->n];
        call->n++;
    }
    if (!call->n) {
        g_free(call);
        return;
    }
    c->busy[peer] = true;
    message.from = (char *)c->settings->name;
    message.store_revision = pm_store_revision(c->store);
    message.cancelled = list;
    message.n_cancelled = call->n;
    size = pm__cancellation_request__get_packed_size(&message);
    data = g_malloc(size);
    pm__cancellation_request__pack(&message, data);
    pm_http_call(c->http, c->settings->peers[peer].addr, "POST", "/cancelled", data, size, ANSWER_S,
                 4096, on_told, call);
    g_free(data);
}

static void send_all(struct pm_cancel_quorum *c)
{
    for (int i = 0; c->waiting->len && i < c->settings->peer_count; i++)
        send_to(c, i);
}

void pm_cancel_quorum_publish(struct pm_cancel_quorum *c, const char *id, uint64_t revision,
                              pm_cancel_quorum_done *done, void *arg)
{
    struct waiter *w;

    if (pm_cancel_quorum_is_acked(c, revision)) {
        done(arg, true);
        return;
    }
    w = g_new0(struct waiter, 1);
    g_strlcpy(w->id, id, sizeof w->id);
    w->revision = revision;
    w->until = pm_clock_monotonic() + GIVE_UP_S;
    w->done = done;
    w->arg = arg;
    g_ptr_array_add(c->waiting, w);
    ev_timer_again(c->loop, &c->tick);
    send_all(c);
}

void pm_cancel_quorum_note_peer_revision(struct pm_cancel_quorum *c, int peer,
                                         uint64_t store_revision)
{
    c->store_revision[peer] = MAX(c->store_revision[peer], store_revision);
}

void pm_cancel_quorum_apply_put(struct pm_cancel_quorum *c, const char *key,
                                const cbor_item_t *value)
{
    uint64_t store_revision;
    int peer;

    if (strncmp(key, "p/seen/", 7) || (peer = pm_settings_find_peer(c->settings, key + 7)) < 0 ||
        !pm_cbor_read_count(pm_cbor_get(value, "edition"), &store_revision))
        return;
    pm_cancel_quorum_note_peer_revision(c, peer, store_revision);
    settle(c, pm_clock_monotonic());
}

void pm_cancel_quorum_handle_peer_request(struct pm_cancel_quorum *c, struct pm_http_request *req)
{
    Pm__CancellationRequest *call =
        pm__cancellation_request__unpack(NULL, req->body_size, req->body);
    Pm__CancellationResponse tell = PM__CANCELLATION_RESPONSE__INIT;
    unsigned char data[512];
    int peer = call ? pm_settings_find_peer(c->settings, call->from) : -1;

    if (peer < 0) {
        pm_error("cancellation.bad_message", "malformed, or from a controller that is not known");
        if (call)
            pm__cancellation_request__free_unpacked(call, NULL);
        pm_http_reply(req, 400, NULL, 0, 0);
        return;
    }
    for (size_t i = 0; i < call->n_cancelled; i++) {
        c->hooks.cancelled(c->hooks.arg, call->cancelled[i]->id, call->cancelled[i]->revision);
        if (call->cancelled[i]->revision >= c->untold)
            c->untold = 0;
    }
    pm_cancel_quorum_note_peer_revision(c, peer, call->store_revision);
    pm__cancellation_request__free_unpacked(call, NULL);
    tell.from = (char *)c->settings->name;
    tell.store_revision = pm_store_revision(c->store);
    pm_http_reply(req, 200, data,
                  pm__cancellation_response__get_packed_size(&tell) <= sizeof data
                      ? pm__cancellation_response__pack(&tell, data)
                      : 0,
                  0);
    settle(c, pm_clock_monotonic());
}

/* ---- saying by way of the state service how far our replica goes ---- */

void pm_cancel_quorum_note_read(struct pm_cancel_quorum *c, uint64_t revision)
{
    if (!c->settings->peer_count || revision <= c->untold)
        return;
    if (!c->untold)
        c->untold_since = pm_clock_monotonic();
    c->untold = revision;
    ev_timer_again(c->loop, &c->tick);
}

static void on_seen(void *arg, enum pm_store_result result, uint64_t store_revision,
                    const cbor_item_t *failed)
{
    struct pm_cancel_quorum *c = arg;

    (void)store_revision;
    (void)failed;
    c->seen_busy = false;
    if (result != PM_STORE_OK)
        c->untold = MAX(c->untold, 1); /* once more */
}

static void say_seen(struct pm_cancel_quorum *c, double now)
{
    struct pm_txn txn = {0};
    char key[PM_NAME_MAX + 8];

    if (!c->untold || c->seen_busy || now - c->untold_since < UNTOLD_S ||
        now - c->seen_at < SEEN_PACE_S || !pm_store_is_ready(c->store) ||
        pm_store_is_refusing(c->store) || pm_store_write_budget(c->store, now) < 1)
        return;
    c->untold = 0;
    c->seen_busy = true;
    c->seen_at = now;
    snprintf(key, sizeof key, "p/seen/%s", c->settings->name);
    pm_txn_put(&txn, key);
    pm_put_map(&txn.writes);
    pm_put_pair_count(&txn.writes, "edition", pm_store_revision(c->store));
    pm_put_end(&txn.writes);
    pm_txn_put_end(&txn, 0);
    pm_store_commit(c->store, &txn, on_seen, c);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
    struct pm_cancel_quorum *c = w->data;
    double now = pm_clock_monotonic();

    (void)events;
    say_seen(c, now);
    settle(c, now);
    if (c->untold || c->seen_busy)
        ev_timer_again(loop, w);
}

struct pm_cancel_quorum *pm_cancel_quorum_new(struct ev_loop *loop, struct pm_store *store,
                                              struct pm_http_client *http,
                                              const struct pm_settings *settings,
                                              const struct pm_cancel_quorum_hooks *hooks)
{
    struct pm_cancel_quorum *c = g_new0(struct pm_cancel_quorum, 1);

    c->loop = loop;
    c->store = store;
    c->http = http;
    c->settings = settings;
    c->hooks = *hooks;
    c->waiting = g_ptr_array_new();
    ev_timer_init(&c->tick, on_tick, 0., TICK_S);
    c->tick.data = c;
    return c;
}

void pm_cancel_quorum_free(struct pm_cancel_quorum *c)
{
    ev_timer_stop(c->loop, &c->tick);
    g_ptr_array_free(c->waiting, TRUE);
    g_free(c);
}
