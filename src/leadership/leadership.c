#include "leadership/leadership.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/protocol.h"
#include "jobs/jobs.h"
#include "peer.pb-c.h"

#include <ev.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define TICK_S 0.1
/* The token is raised this often, in leases. A command that was carried out may be repeated later
 * than a lease after it: for a task that has ended and was forgotten since, a launch would start it
 * anew. By then its worker has taken a later token, or is in a later session. */
#define TOKEN_LEASES 0.7
#define RAISE_PACE_S 1.0
#define STAND_BACK_S 15.0 /* who stepped down leaves the lead to the others for so long */
#define SERVED_S 6.0      /* a quiet watch answers within this */
#define PEER_S 1.0        /* a peer's answer counts only within this */
#define RENEWAL_AFTER_S                                                                            \
    2.5                 /* an outage has to last this long: by then its leader has noticed it      \
                         */
#define REFUSED_S 1.0   /* how old a refusal may be to speak of an outage */
#define LEADER_S 1.5    /* a leader silent for this long is not reached */
#define STALENESS_S 6.0 /* how old the replica may be of who answers workers, at most */
#define PAGE 300        /* cancellations in one message */
#define TELL_MAX (64 * 1024)
#define ANNOUNCE_S 0.7 /* until all are known to run this version, they are asked so often */

struct pm_leader {
    struct ev_loop *loop;
    struct pm_store *store;
    struct pm_http_client *http;
    const struct pm_settings *settings;
    const struct pm_operator *op;
    struct pm_leader_hooks hooks;
    char boot[24]; /* tells this process from its predecessors of the same name */
    ev_timer tick;
    /* From the replica. */
    uint64_t epoch, epoch_revision;
    uint64_t lead_revision; /* 0: nobody holds p/lead */
    char holder[PM_NAME_MAX], holder_boot[24];
    uint64_t heard; /* the highest epoch a peer spoke of */
    /* Trying, leading. */
    bool candidate, leads, raising;
    uint64_t lease_id, mine, mine_revision;
    uint64_t reach; /* store revision of the transaction that made us leader */
    double vacant_since, renewed, checked, confirmed, asked;
    bool renew_busy, check_busy;
    /* Peers' words on our epoch: for the acknowledgement, and for confirmation in an outage. */
    bool acked[PM_PEERS_MAX];
    double ack_at, first_ack_at; /* of the epoch in force; of the term's first */
    uint64_t ack_epoch;
    /* Holding a block instead of leading. */
    char block_key[PM_NAME_MAX + 8];
    uint64_t block_revision;
    double standing_back_until;
    double peer_served; /* steady: a peer last said that the state service answers it */
    int ask_round, ask_yes;
    uint64_t ask_epoch;
    /* Renewing the leases of workers in an outage whose leader is not reached; see
     * pm_leader_may_renew_in_outage. */
    int renewal_votes;
    double refused_since, renewal_confirmed, leader_heard;
    double sure_since; /* see pm_leader_sure_since */
    /* Our replica holds every cancellation that was confirmed to a user before `caught_up_at`. */
    /* Protocol versions: of each peer as far as it said so, and of all controllers (p/speaks). */
    unsigned peer_version[PM_PEERS_MAX], common_version;
    bool version_busy;
    bool version_announced; /* our own is in the state service */
    double announced_at;
    double caught_up_at, reaching_sent;
    uint64_t reaching; /* the store revision that they have to reach for a later one, 0: none */
    struct pm_leader_links links; /* no functions: none are carried */
    double epoch_at, raise_at;    /* steady: our epoch is that old; a raise was last tried */
};

struct ask {
    struct pm_leader *lead;
    int peer, round;
    double sent;   /* of the first page */
    uint64_t from; /* our replica' store revision by then */
};

/* Whether this controller has any say over workers, and in which epoch. */
static bool acts(const struct pm_leader *l)
{
    return l->leads || l->block_revision;
}

static uint64_t acting(const struct pm_leader *l)
{
    return l->leads ? l->mine : l->epoch;
}

static int majority(const struct pm_leader *l)
{
    return l->settings->size / 2 + 1;
}

/* Answered 503 so lately that it counts as a word on the present. Who is cut off says nothing. */
static bool refused_now(const struct pm_leader *l, double now)
{
    return pm_store_refusing(l->store) && now - pm_store_refused(l->store) < REFUSED_S;
}

/* The epoch held at `sent`. */
static void confirm(struct pm_leader *l, double sent)
{
    if (sent > l->confirmed + l->op->confirm_s * (1 - PM_DRIFT))
        l->sure_since = sent;
    l->confirmed = MAX(l->confirmed, sent);
}

/* ---- knowing what was cancelled ---- */

/* Half of what a cancellation leaves when a lease is taken off, if that is less. */
static double most_staleness(const struct pm_settings *settings)
{
    double spare = (settings->cancel_s - settings->lease_s) / 2;

    return settings->cancel_s > 0 && spare > 0 ? MIN(STALENESS_S, spare) : STALENESS_S;
}

double pm_leader_blind_s(const struct pm_settings *settings, const struct pm_operator *op)
{
    return MAX(most_staleness(settings), op->confirm_s);
}

static void on_caught_up_to(void *arg, bool ok)
{
    struct pm_leader *l = arg;

    if (ok)
        l->caught_up_at = MAX(l->caught_up_at, l->reaching_sent);
    l->reaching = 0;
}

/* The state service was at `store_revision` when it answered what was sent at `sent`. Served, we
 * could still be following it through a watch that hangs: the replica has to get there as well. */
static void follow(struct pm_leader *l, double sent, uint64_t store_revision)
{
    if (pm_store_ready(l->store) && pm_store_revision(l->store) >= store_revision) {
        l->caught_up_at = MAX(l->caught_up_at, sent);
    } else if (!l->reaching) {
        l->reaching = store_revision;
        l->reaching_sent = sent;
        pm_store_reach(l->store, store_revision, on_caught_up_to, l);
    }
}

static void step_down(struct pm_leader *l, const char *why)
{
    if (!l->leads)
        return;
    pm_info("lead.lost", "epoch %llu: %s", (unsigned long long)l->mine, why);
    l->leads = false;
    l->confirmed = 0;
    l->vacant_since = 0;
    l->hooks.lost(l->hooks.arg);
}

/* ---- taking the lead ---- */

static void put_epoch(struct pm_leader *l, struct pm_txn *txn, uint64_t epoch)
{
    pm_txn_put(txn, "p/epoch");
    pm_put_map(&txn->writes);
    pm_put_pair_count(&txn->writes, "epoch", epoch);
    pm_put_pair_text(&txn->writes, "leader", l->settings->name);
    pm_put_pair_text(&txn->writes, "boot", l->boot);
    pm_put_end(&txn->writes);
    pm_txn_put_end(txn, 0);
}

static void on_reached(void *arg, bool ok)
{
    struct pm_leader *l = arg;

    if (!l->leads || !l->reach)
        return;
    if (!ok) { /* the watch is slow: keep waiting */
        pm_store_reach(l->store, l->reach, on_reached, l);
        return;
    }
    l->reach = 0;
    l->hooks.took(l->hooks.arg, l->mine);
}

struct attempt {
    struct pm_leader *lead;
    uint64_t epoch, lease_id;
    double sent;
    bool leads;
};

static void on_taken(void *arg, int status, uint64_t store_revision, const cbor_item_t *failed)
{
    struct attempt *attempt = arg;
    struct pm_leader *l = attempt->lead;
    double now = pm_clock_steady();

    (void)failed;
    l->candidate = false;
    l->vacant_since = now; /* the next try waits its turn again */
    if (status == 200) {
        l->leads = true;
        l->mine = l->epoch = attempt->epoch;
        l->mine_revision = l->epoch_revision = store_revision;
        l->lease_id = attempt->lease_id;
        l->renewed = l->checked = l->epoch_at = now;
        l->confirmed = l->sure_since = l->caught_up_at = attempt->sent; /* no say before `reach` */
        l->ack_at = l->first_ack_at = majority(l) <= 1 ? now : 0;
        l->ack_epoch = l->mine;
        l->block_revision = 0;
        l->asked = 0;
        memset(l->acked, 0, sizeof l->acked);
        l->reach = store_revision;
        pm_info("lead.taken", "epoch %llu", (unsigned long long)l->mine);
        pm_store_reach(l->store, store_revision, on_reached, l);
    } else {
        pm_debug("lead.try", "status %d", status);
    }
    g_free(attempt);
}

/* Whether nobody leads: p/lead is free, or its holder is a dead predecessor of this process. */
static bool vacant(const struct pm_leader *l)
{
    return !l->lead_revision ||
           (!strcmp(l->holder, l->settings->name) && strcmp(l->holder_boot, l->boot));
}

static void on_lease_id(void *arg, int status, uint64_t lease_id)
{
    struct pm_leader *l = arg;
    struct pm_txn txn = {0};
    struct attempt *attempt;
    char key[PM_NAME_MAX + 8];

    /* Somebody else may have taken it while this was under way, and the replica know it by now: the
     * transaction below, on what the replica knows, would take it away again. */
    if (status != 200 || !vacant(l)) {
        l->candidate = false;
        l->vacant_since = pm_clock_steady();
        if (status == 200)
            pm_store_unhold(l->store, lease_id);
        return;
    }
    attempt = g_new0(struct attempt, 1);
    attempt->lead = l;
    attempt->epoch = MAX(l->epoch, l->heard) + 1;
    attempt->lease_id = lease_id;
    attempt->sent = pm_clock_steady();
    pm_txn_if(&txn, "p/epoch", l->epoch_revision);
    pm_txn_if(&txn, "p/lead", l->lead_revision);
    put_epoch(l, &txn, attempt->epoch);
    pm_txn_put(&txn, "p/lead");
    pm_put_map(&txn.writes);
    pm_put_pair_text(&txn.writes, "leader", l->settings->name);
    pm_put_pair_text(&txn.writes, "boot", l->boot);
    pm_put_end(&txn.writes);
    pm_txn_put_end(&txn, lease_id);
    /* A leader holds no block: whatever it held becomes the leader's with the same stroke. */
    snprintf(key, sizeof key, "p/b/%s", l->settings->name);
    pm_txn_drop(&txn, key);
    pm_store_commit(l->store, &txn, on_taken, attempt);
}

/* ---- raising the epoch while leading ---- */

static void adopt(struct pm_leader *l, uint64_t epoch, uint64_t revision)
{
    l->mine = l->epoch = epoch;
    l->mine_revision = l->epoch_revision = revision;
    l->epoch_at = pm_clock_steady();
    /* Acknowledged anew: a holder that lost its block with the old epoch may answer its workers
     * until a majority knows this one. */
    memset(l->acked, 0, sizeof l->acked);
    l->ack_at = majority(l) <= 1 ? pm_clock_steady() : 0;
    l->ack_epoch = epoch;
    l->asked = 0;
    pm_info("lead.raised", "epoch %llu", (unsigned long long)epoch);
    l->hooks.raised(l->hooks.arg, epoch);
}

static void on_raised(void *arg, int status, uint64_t store_revision, const cbor_item_t *failed)
{
    struct attempt *attempt = arg;
    struct pm_leader *l = attempt->lead;

    (void)failed;
    l->raising = false;
    if (l->leads && status == 200 && l->mine < attempt->epoch) {
        adopt(l, attempt->epoch, store_revision);
        pm_leader_confirm(l, attempt->sent, store_revision);
    } else if (l->leads && status == 409) {
        pm_leader_suspect(l);
    }
    g_free(attempt);
}

void pm_leader_raise(struct pm_leader *l, const char *key, uint64_t revision)
{
    struct pm_txn txn = {0};
    struct attempt *attempt;

    if (!l->leads || l->raising || l->reach)
        return;
    l->raising = true;
    attempt = g_new0(struct attempt, 1);
    attempt->lead = l;
    attempt->epoch = MAX(l->mine, l->heard) + 1;
    attempt->sent = pm_clock_steady();
    pm_txn_if(&txn, "p/epoch", l->mine_revision);
    put_epoch(l, &txn, attempt->epoch);
    if (key) {
        pm_txn_if(&txn, key, revision);
        pm_txn_drop(&txn, key);
    }
    pm_store_commit(l->store, &txn, on_raised, attempt);
}

/* ---- confirming it ---- */

/* A transaction failed on our revision, and the replica has caught up with that: it is another's
 * epoch, or our own that was raised by a transaction whose answer we never saw (pm_leader_put
 * adopts it). */
static void on_judged(void *arg, bool ok)
{
    struct pm_leader *l = arg;

    if (ok && l->leads && l->epoch > l->mine)
        step_down(l, "the epoch has moved on");
}

static void on_checked(void *arg, int status, uint64_t store_revision, const cbor_item_t *failed)
{
    struct attempt *attempt = arg;
    struct pm_leader *l = attempt->lead;

    (void)failed;
    l->check_busy = false;
    if (acts(l) && acting(l) == attempt->epoch && l->leads == attempt->leads) {
        if (status == 200) {
            bool first = !l->confirmed;
            pm_leader_confirm(l, attempt->sent, store_revision);
            if (first)
                l->hooks.confirmed(l->hooks.arg);
        } else if (status == 409 && l->leads)
            pm_store_reach(l->store, store_revision, on_judged, l);
        else if (status == 409)
            l->checked = 0; /* a holder: the watch tells what became of its block */
    }
    g_free(attempt);
}

static void check(struct pm_leader *l, double now)
{
    struct pm_txn txn = {0};
    struct attempt *attempt = g_new0(struct attempt, 1);

    l->check_busy = true;
    l->checked = now;
    attempt->lead = l;
    attempt->epoch = acting(l);
    attempt->leads = l->leads;
    attempt->sent = now;
    pm_txn_if(&txn, "p/epoch", l->leads ? l->mine_revision : l->epoch_revision);
    if (!l->leads)
        pm_txn_if(&txn, l->block_key, l->block_revision);
    pm_store_commit(l->store, &txn, on_checked, attempt);
}

void pm_leader_suspect(struct pm_leader *l)
{
    if (l->leads && !l->check_busy && !l->raising)
        check(l, pm_clock_steady());
}

static void on_renewed(void *arg, int status, uint64_t lease_id)
{
    struct pm_leader *l = arg;

    l->renew_busy = false;
    if (status == 404 && l->leads && lease_id == l->lease_id)
        step_down(l, "the hold has lapsed");
}

static void ask_peer(struct pm_leader *l, struct ask *ask, uint64_t after);

/* What the peer knows cancelled is known here now. False while it has more to tell. */
static bool take_cancelled(struct pm_leader *l, struct ask *ask, const Pm__PeerTell *tell)
{
    uint64_t last = 0;

    for (size_t i = 0; i < tell->n_cancelled; i++) {
        l->hooks.cancelled(l->hooks.arg, tell->cancelled[i]->id, tell->cancelled[i]->revision);
        last = MAX(last, tell->cancelled[i]->revision);
    }
    l->hooks.reached(l->hooks.arg, ask->peer, tell->store_revision);
    if (!tell->more || !last)
        return true;
    ask_peer(l, ask, last);
    return false;
}

static void on_acknowledged(struct pm_leader *l, int peer)
{
    int acks = 1;

    l->acked[peer] = true;
    for (int i = 0; i < l->settings->peers; i++)
        acks += l->acked[i];
    if (l->ack_at || acks < majority(l))
        return;
    l->ack_at = pm_clock_steady();
    if (!l->first_ack_at)
        l->first_ack_at = l->ack_at;
}

/* A vote in an outage of the state service: the peer has read the state, knows no higher epoch,
 * and has told all that was cancelled after our replica ends (safety invariant 7). A majority of
 * such votes confirms the epoch. We are one of it: what we were told of counts as much as what the
 * others were. */
static void on_vote(struct pm_leader *l, const struct ask *ask, const Pm__PeerTell *tell)
{
    if (!tell->ready || !tell->lists || ask->round != l->ask_round || l->heard > acting(l) ||
        tell->known > acting(l) || l->ask_epoch != acting(l))
        return;
    if (acts(l) && ++l->ask_yes >= majority(l) && pm_store_refusing(l->store)) {
        confirm(l, ask->sent);
        l->caught_up_at = MAX(l->caught_up_at, ask->sent);
    }
    if (!l->leads && tell->refused && ++l->renewal_votes >= majority(l) && l->refused_since &&
        ask->sent - l->refused_since > RENEWAL_AFTER_S)
        l->renewal_confirmed = MAX(l->renewal_confirmed, ask->sent);
}

static void on_peer(void *arg, int status, const unsigned char *body, size_t size)
{
    struct ask *ask = arg;
    struct pm_leader *l = ask->lead;
    Pm__PeerTell *tell = status == 200 ? pm__peer_tell__unpack(NULL, size, body) : NULL;

    if (!tell) {
        g_free(ask);
        return;
    }
    l->peer_version[ask->peer] = MAX(l->peer_version[ask->peer], tell->protocol_version);
    if (tell->served)
        l->peer_served = pm_clock_steady();
    if (tell->known > l->heard)
        l->heard = tell->known;
    if (l->leads && tell->known >= l->mine) {
        if (tell->known > l->mine && !l->raising)
            pm_leader_suspect(l);
        on_acknowledged(l, ask->peer);
    }
    if (!strcmp(tell->from, l->holder))
        l->leader_heard = pm_clock_steady();
    if (l->links.unpack && tell->views.len)
        l->links.unpack(l->links.arg, ask->peer, tell->views.data, tell->views.len, ask->sent);
    if (take_cancelled(l, ask, tell)) {
        on_vote(l, ask, tell);
        g_free(ask);
    }
    pm__peer_tell__free_unpacked(tell, NULL);
}

/* Consumes `ask`, or leaves it to the answer. */
static void ask_peer(struct pm_leader *l, struct ask *ask, uint64_t after)
{
    Pm__PeerAsk message = PM__PEER_ASK__INIT;
    unsigned char data[256];

    message.from = (char *)l->settings->name;
    message.epoch = l->ask_epoch;
    message.store_revision = ask->from;
    message.after = after;
    message.protocol_version = PM_PROTOCOL_VERSION;
    if (pm__peer_ask__get_packed_size(&message) > sizeof data) {
        g_free(ask);
        return;
    }
    pm_http_call(l->http, l->settings->peer[ask->peer].addr, "POST", "/peer", data,
                 pm__peer_ask__pack(&message, data), PEER_S, TELL_MAX, on_peer, ask);
}

static void ask_peers(struct pm_leader *l, double now)
{
    l->asked = now;
    l->ask_round++;
    l->ask_epoch = acting(l);
    l->ask_yes = 1; /* ourselves: who leads, or holds a block, has read the state */
    l->renewal_votes = pm_store_ready(l->store) && refused_now(l, now);
    for (int i = 0; i < l->settings->peers; i++) {
        struct ask *ask = g_new0(struct ask, 1);
        *ask = (struct ask){l, i, l->ask_round, now, pm_store_revision(l->store)};
        ask_peer(l, ask, 0);
    }
}

static void answer_peer(struct pm_leader *l, struct pm_http_request *req, const Pm__PeerAsk *ask)
{
    Pm__PeerTell tell = PM__PEER_TELL__INIT;
    Pm__Cancelled *entry;
    Pm__Cancelled **list;
    const struct pm_cancelled *known;
    unsigned char *data;
    size_t n = 0;
    bool more = false;

    known = l->hooks.list_cancelled(l->hooks.arg, MAX(ask->store_revision, ask->after), PAGE, &n,
                                    &more);
    entry = g_new0(Pm__Cancelled, n + 1);
    list = g_new0(Pm__Cancelled *, n + 1);
    for (size_t i = 0; i < n; i++) {
        pm__cancelled__init(&entry[i]);
        entry[i].id = (char *)known[i].id;
        entry[i].revision = known[i].revision;
        list[i] = &entry[i];
    }
    tell.from = (char *)l->settings->name;
    tell.known = MAX(l->epoch, l->heard);
    tell.ready = pm_store_ready(l->store);
    tell.served =
        !pm_store_refusing(l->store) && pm_clock_steady() - pm_store_served(l->store) < SERVED_S;
    tell.refused = refused_now(l, pm_clock_steady());
    tell.store_revision = pm_store_revision(l->store);
    tell.lists = true;
    tell.cancelled = list;
    tell.n_cancelled = n;
    tell.more = more;
    tell.protocol_version = PM_PROTOCOL_VERSION;
    if (l->links.pack)
        tell.views.data = l->links.pack(l->links.arg, &tell.views.len);
    data = g_malloc(pm__peer_tell__get_packed_size(&tell));
    pm_http_reply(req, 200, data, pm__peer_tell__pack(&tell, data), 0);
    g_free(tell.views.data);
    g_free(data);
    g_free(list);
    g_free(entry);
}

void pm_leader_peer(struct pm_leader *l, struct pm_http_request *req)
{
    Pm__PeerAsk *ask = pm__peer_ask__unpack(NULL, req->body_size, req->body);
    int peer = ask ? pm_settings_peer(l->settings, ask->from) : -1;

    if (peer < 0) {
        pm_error("lead.message", "malformed, or from a controller that is not known");
        if (ask)
            pm__peer_ask__free_unpacked(ask, NULL);
        pm_http_reply(req, 400, NULL, 0, 0);
        return;
    }
    if (l->links.heard)
        l->links.heard(l->links.arg, peer);
    l->peer_version[peer] = MAX(l->peer_version[peer], ask->protocol_version);
    if (ask->epoch > l->heard)
        l->heard = ask->epoch;
    if (l->leads && ask->epoch > l->mine)
        pm_leader_suspect(l);
    answer_peer(l, req, ask);
    pm__peer_ask__free_unpacked(ask, NULL);
}

/* ---- protocol versions ---- */

static void on_version_written(void *arg, int status, uint64_t store_revision,
                               const cbor_item_t *failed)
{
    (void)status;
    (void)store_revision;
    (void)failed;
    ((struct pm_leader *)arg)->version_busy = false;
}

static void put_version(struct pm_leader *l, struct pm_txn *txn, const char *key, unsigned version,
                        double now)
{
    l->version_busy = true;
    l->announced_at = now;
    pm_txn_put(txn, key);
    pm_put_map(&txn->writes);
    pm_put_pair_count(&txn->writes, "version", version);
    pm_put_end(&txn->writes);
    pm_txn_put_end(txn, 0);
    pm_store_commit(l->store, txn, on_version_written, l);
}

/* The lowest version of all controllers. */
static unsigned lowest_version(const struct pm_leader *l)
{
    unsigned lowest = PM_PROTOCOL_VERSION;

    for (int i = 0; i < l->settings->peers; i++)
        lowest = MIN(lowest, l->peer_version[i]);
    return lowest;
}

/* Writes our own version, for those whom our messages do not reach; and, as the leader, the one
 * that all controllers are known to run, for good. */
static void announce_version(struct pm_leader *l, double now)
{
    struct pm_txn txn = {0};
    unsigned version;
    char key[PM_NAME_MAX + 16];

    if (l->version_busy || now - l->announced_at < ANNOUNCE_S || !pm_store_ready(l->store) ||
        pm_store_refusing(l->store))
        return;
    if (!l->version_announced) {
        snprintf(key, sizeof key, "p/speaks/%s", l->settings->name);
        put_version(l, &txn, key, PM_PROTOCOL_VERSION, now);
        return;
    }
    version = lowest_version(l);
    if (!l->leads || l->reach || version <= pm_leader_protocol_version(l))
        return;
    pm_txn_if(&txn, "p/epoch", l->mine_revision);
    put_version(l, &txn, "p/speaks", version, now);
}

unsigned pm_leader_protocol_version(const struct pm_leader *l)
{
    return MAX(l->common_version, PM_PROTOCOL_FIRST);
}

/* ---- time ---- */

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
    struct pm_leader *l = w->data;
    double now = pm_clock_steady();
    double wait;

    (void)loop;
    (void)events;
    if (!pm_store_refusing(l->store))
        l->refused_since = 0;
    else if (!l->refused_since)
        l->refused_since = now;
    if (l->refused_since)
        l->sure_since = now;
    if (l->leads && now - l->confirmed > 2 * l->op->leader_ttl_s + l->op->confirm_s) {
        step_down(l, "not confirmed for long");
        return;
    }
    if (l->leads && l->settings->lease_s > 0 && !pm_store_refusing(l->store) &&
        now - l->epoch_at > TOKEN_LEASES * l->settings->lease_s &&
        now - l->raise_at > RAISE_PACE_S) {
        l->raise_at = now;
        pm_leader_raise(l, NULL, 0);
    }
    if (acts(l) && !l->check_busy && !l->raising &&
        now - MAX(l->confirmed, l->checked) > l->op->confirm_s / 3)
        check(l, now);
    /* In an outage everybody asks: to confirm the epoch, or to tell it from being refused alone. */
    if (((l->leads && !l->ack_at) || pm_store_refusing(l->store)) &&
        now - l->asked > l->op->confirm_s / 4)
        ask_peers(l, now);
    if (l->common_version < PM_PROTOCOL_VERSION) {
        announce_version(l, now);
        if (now - l->asked > ANNOUNCE_S)
            ask_peers(l, now);
    }
    if (l->links.pack && now - l->asked > l->links.ask_every_s)
        ask_peers(l, now);
    if (l->leads) {
        if (!l->renew_busy && now - l->renewed > l->op->leader_ttl_s / 3.5) {
            l->renew_busy = true;
            l->renewed = now;
            pm_store_renew(l->store, l->lease_id, on_renewed, l);
        }
        return;
    }
    if (l->candidate || !pm_store_ready(l->store) || !vacant(l)) {
        l->vacant_since = 0;
        return;
    }
    if (!l->vacant_since)
        l->vacant_since = now;
    if (now < l->standing_back_until && now - l->vacant_since < 4)
        return;
    /* A little apart by name, so that two that see it free at once seldom collide. */
    wait = 0.02 + 0.15 * (g_str_hash(l->settings->name) % 3);
    if (l->links.candidate_wait_s)
        wait += l->links.candidate_wait_s(l->links.arg);
    if (now - l->vacant_since < wait)
        return;
    l->candidate = true;
    pm_store_hold(l->store, l->op->leader_ttl_s, on_lease_id, l);
}

void pm_leader_put(struct pm_leader *l, const char *key, const cbor_item_t *value,
                   uint64_t revision)
{
    char leader[PM_NAME_MAX] = "";
    char boot[24] = "";
    uint64_t epoch;
    int peer;

    if (!strncmp(key, "p/speaks/", 9)) {
        if (pm_cbor_count(pm_cbor_get(value, "version"), &epoch))
            return;
        l->version_announced |= !strcmp(key + 9, l->settings->name) && epoch >= PM_PROTOCOL_VERSION;
        peer = pm_settings_peer(l->settings, key + 9);
        if (peer >= 0)
            l->peer_version[peer] =
                (unsigned)MAX(l->peer_version[peer], MIN(epoch, PM_PROTOCOL_VERSION));
        return;
    }
    if (!strcmp(key, "p/speaks")) {
        if (!pm_cbor_count(pm_cbor_get(value, "version"), &epoch) && epoch > l->common_version) {
            l->common_version = (unsigned)MIN(epoch, PM_PROTOCOL_VERSION);
            pm_info("lead.version", "every controller runs protocol version %u", l->common_version);
        }
        return;
    }
    pm_cbor_text(pm_cbor_get(value, "leader"), leader, sizeof leader);
    pm_cbor_text(pm_cbor_get(value, "boot"), boot, sizeof boot);
    if (!strcmp(key, "p/epoch")) {
        if (revision < l->epoch_revision || pm_cbor_count(pm_cbor_get(value, "epoch"), &epoch))
            return;
        l->epoch = epoch;
        l->epoch_revision = revision;
        if (l->leads && epoch > l->mine && strcmp(boot, l->boot)) {
            step_down(l, "another one leads");
        } else if (l->leads && epoch > l->mine) {
            adopt(l, epoch, revision);
        } else if (!l->leads && l->block_revision && !l->check_busy) {
            check(l, pm_clock_steady());
        }
    } else if (!strcmp(key, "p/lead") && revision >= l->lead_revision) {
        l->lead_revision = revision;
        g_strlcpy(l->holder, leader, sizeof l->holder);
        g_strlcpy(l->holder_boot, boot, sizeof l->holder_boot);
    }
}

void pm_leader_drop(struct pm_leader *l, const char *key, uint64_t revision)
{
    if (!strcmp(key, "p/lead") && revision >= l->lead_revision) {
        l->lead_revision = 0;
        l->holder[0] = 0;
    }
}

void pm_leader_step_down(struct pm_leader *l, const char *why)
{
    if (!l->leads)
        return;
    l->standing_back_until = pm_clock_steady() + STAND_BACK_S;
    pm_store_unhold(l->store, l->lease_id);
    step_down(l, why);
}

void pm_leader_relist(struct pm_leader *l)
{
    l->lead_revision = 0;
    l->holder[0] = 0;
}

uint64_t pm_leader_epoch(const struct pm_leader *l)
{
    return acting(l);
}

uint64_t pm_leader_revision(const struct pm_leader *l)
{
    return l->leads ? l->mine_revision : l->epoch_revision;
}

bool pm_leader_refused_alone(const struct pm_leader *l, double now)
{
    return pm_store_refusing(l->store) && l->peer_served > 0 && now - l->peer_served < 2.5;
}

const char *pm_leader_boot(const struct pm_leader *l)
{
    return l->boot;
}

void pm_leader_hold(struct pm_leader *l, const char *key, uint64_t revision)
{
    if (l->leads || revision == l->block_revision)
        return;
    /* A block that is written anew but stays ours keeps its confirmation: whoever takes it away has
     * to wait until our last one is old anyway. A new block needs one first. */
    if (!l->block_revision || !revision)
        l->confirmed = 0;
    l->block_revision = revision;
    if (!revision)
        return;
    g_strlcpy(l->block_key, key, sizeof l->block_key);
    if (!l->check_busy)
        check(l, pm_clock_steady());
}

double pm_leader_confirmed_until(const struct pm_leader *l)
{
    return MIN(l->confirmed + l->op->confirm_s * (1 - PM_DRIFT),
               l->caught_up_at + most_staleness(l->settings) * (1 - PM_DRIFT));
}

bool pm_leader_confirmed(const struct pm_leader *l, double now)
{
    return acts(l) && !l->reach && now < pm_leader_confirmed_until(l);
}

double pm_leader_renewal_until(const struct pm_leader *l)
{
    return l->renewal_confirmed + l->op->confirm_s * (1 - PM_DRIFT);
}

void pm_leader_confirm(struct pm_leader *l, double sent, uint64_t store_revision)
{
    if (!acts(l))
        return;
    confirm(l, sent);
    follow(l, sent, store_revision);
}

bool pm_leader_may_renew_in_outage(const struct pm_leader *l, double now)
{
    return !l->leads && l->refused_since && l->epoch && l->heard <= l->epoch &&
           now < pm_leader_renewal_until(l) && now - l->leader_heard > LEADER_S;
}

double pm_leader_sure_since(const struct pm_leader *l)
{
    return l->sure_since + (l->op->confirm_s + REFUSED_S) * (1 + PM_DRIFT) + TICK_S;
}

const char *pm_leader_other(const struct pm_leader *l)
{
    if (l->leads || !l->lead_revision || !strcmp(l->holder, l->settings->name))
        return NULL;
    return l->holder;
}

double pm_leader_floor(const struct pm_leader *l, uint64_t epoch)
{
    double at = epoch ? l->ack_at : l->first_ack_at;

    if (!l->leads || !at || epoch > l->ack_epoch)
        return INFINITY;
    return at + l->op->confirm_s * (1 + PM_DRIFT);
}

struct pm_leader *pm_leader_new(struct ev_loop *loop, struct pm_store *store,
                                struct pm_http_client *http, const struct pm_settings *settings,
                                const struct pm_operator *op, const struct pm_leader_hooks *hooks)
{
    struct pm_leader *l = g_new0(struct pm_leader, 1);

    l->loop = loop;
    l->store = store;
    l->http = http;
    l->settings = settings;
    l->op = op;
    l->hooks = *hooks;
    snprintf(l->boot, sizeof l->boot, "%08x%08x", g_random_int(), g_random_int());
    ev_timer_init(&l->tick, on_tick, 0.05, TICK_S);
    l->tick.data = l;
    ev_timer_start(loop, &l->tick);
    return l;
}

void pm_leader_carry_links(struct pm_leader *l, const struct pm_leader_links *links)
{
    l->links = *links;
}

void pm_leader_free(struct pm_leader *l)
{
    ev_timer_stop(l->loop, &l->tick);
    g_free(l);
}
