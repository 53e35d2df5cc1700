/* What controllers tell one another: epochs, votes in an outage, cancellations. */
#include "base/clock.h"
#include "base/log.h"
#include "base/protocol.h"
#include "jobs/jobs.h"
#include "leadership/internal.h"
#include "peer.pb-c.h"

#include <string.h>

#define SERVED_S 6.0 /* a quiet watch answers within this */
#define PEER_S 1.0   /* a peer's answer counts only within this */
/* An outage has to last this long: by then its leader has noticed it. */
#define RENEWAL_AFTER_S 2.5
#define PAGE 300 /* cancellations in one message */
#define TELL_MAX (64 * 1024)

/* A question to one peer, which may take several messages. */
struct ask {
    struct pm_election *lead;
    int peer, round;
    double sent;   /* of the first page */
    uint64_t from; /* our replica's store revision by then */
};

static void ask_peer(struct pm_election *l, struct ask *ask, uint64_t after);

/* What the peer knows cancelled is known here now. False while it has more to tell. */
static bool take_cancelled(struct pm_election *l, struct ask *ask, const Pm__PeerResponse *tell)
{
    uint64_t last = 0;

    for (size_t i = 0; i < tell->n_cancelled; i++) {
        l->hooks.cancelled(l->hooks.arg, tell->cancelled[i]->id, tell->cancelled[i]->revision);
        last = MAX(last, tell->cancelled[i]->revision);
    }
    l->hooks.peer_reached_revision(l->hooks.arg, ask->peer, tell->store_revision);
    if (!tell->has_more || !last)
        return true;
    ask_peer(l, ask, last);
    return false;
}

static void on_acknowledged(struct pm_election *l, int peer)
{
    int acks = 1;

    l->acked[peer] = true;
    for (int i = 0; i < l->settings->peer_count; i++)
        acks += l->acked[i];
    if (l->ack_at || acks < pm_election_quorum(l))
        return;
    l->ack_at = pm_clock_monotonic();
    if (!l->first_ack_at)
        l->first_ack_at = l->ack_at;
}

/* A vote in an outage of the state service: the peer has read the state, knows no higher epoch,
 * and has told all that was cancelled after our replica ends (safety invariant 7). A majority of
 * such votes confirms the epoch. We are one of it: what we were told of counts as much as what the
 * others were. */
static void on_vote(struct pm_election *l, const struct ask *ask, const Pm__PeerResponse *tell)
{
    if (!tell->has_state || !tell->has_cancellations || ask->round != l->ask_round ||
        l->heard > pm_election_acting_epoch(l) ||
        tell->highest_epoch > pm_election_acting_epoch(l) ||
        l->ask_epoch != pm_election_acting_epoch(l))
        return;
    if (pm_election_may_act(l) && ++l->ask_yes >= pm_election_quorum(l) &&
        pm_store_is_refusing(l->store)) {
        pm_election_note_confirmed(l, ask->sent);
        l->caught_up_at = MAX(l->caught_up_at, ask->sent);
    }
    if (!l->leads && tell->store_refusing && ++l->renewal_votes >= pm_election_quorum(l) &&
        l->refused_since && ask->sent - l->refused_since > RENEWAL_AFTER_S)
        l->renewal_confirmed = MAX(l->renewal_confirmed, ask->sent);
}

static void on_peer(void *arg, int status, const unsigned char *body, size_t size)
{
    struct ask *ask = arg;
    struct pm_election *l = ask->lead;
    Pm__PeerResponse *tell = status == 200 ? pm__peer_response__unpack(NULL, size, body) : NULL;

    if (!tell) {
        g_free(ask);
        return;
    }
    l->peer_version[ask->peer] = MAX(l->peer_version[ask->peer], tell->protocol_version);
    if (tell->store_serving)
        l->peer_served = pm_clock_monotonic();
    if (tell->highest_epoch > l->heard)
        l->heard = tell->highest_epoch;
    if (l->leads && tell->highest_epoch >= l->mine) {
        if (tell->highest_epoch > l->mine && !l->raising)
            pm_election_recheck_epoch(l);
        on_acknowledged(l, ask->peer);
    }
    if (!strcmp(tell->from, l->holder))
        l->leader_heard = pm_clock_monotonic();
    if (l->links.decode_views && tell->views.len)
        l->links.decode_views(l->links.arg, ask->peer, tell->views.data, tell->views.len,
                              ask->sent);
    if (take_cancelled(l, ask, tell)) {
        on_vote(l, ask, tell);
        g_free(ask);
    }
    pm__peer_response__free_unpacked(tell, NULL);
}

/* Consumes `ask`, or leaves it to the answer. */
static void ask_peer(struct pm_election *l, struct ask *ask, uint64_t after)
{
    Pm__PeerRequest message = PM__PEER_REQUEST__INIT;
    unsigned char data[256];

    message.from = (char *)l->settings->name;
    message.epoch = l->ask_epoch;
    message.store_revision = ask->from;
    message.after = after;
    message.protocol_version = PM_PROTOCOL_VERSION;
    if (pm__peer_request__get_packed_size(&message) > sizeof data) {
        g_free(ask);
        return;
    }
    pm_http_call(l->http, l->settings->peers[ask->peer].addr, "POST", "/peer", data,
                 pm__peer_request__pack(&message, data), PEER_S, TELL_MAX, on_peer, ask);
}

void pm_election_poll_peers(struct pm_election *l, double now)
{
    l->asked = now;
    l->ask_round++;
    l->ask_epoch = pm_election_acting_epoch(l);
    l->ask_yes = 1; /* ourselves: who leads, or holds a block, has read the state */
    l->renewal_votes = pm_store_is_ready(l->store) && pm_election_is_refused_now(l, now);
    for (int i = 0; i < l->settings->peer_count; i++) {
        struct ask *ask = g_new0(struct ask, 1);
        *ask = (struct ask){l, i, l->ask_round, now, pm_store_revision(l->store)};
        ask_peer(l, ask, 0);
    }
}

static void answer_peer(struct pm_election *l, struct pm_http_request *req,
                        const Pm__PeerRequest *ask)
{
    Pm__PeerResponse tell = PM__PEER_RESPONSE__INIT;
    Pm__Cancellation *entry;
    Pm__Cancellation **list;
    const struct pm_cancellation *known;
    unsigned char *data;
    size_t n = 0;
    bool more = false;

    known = l->hooks.list_cancellations(l->hooks.arg, MAX(ask->store_revision, ask->after), PAGE,
                                        &n, &more);
    entry = g_new0(Pm__Cancellation, n + 1);
    list = g_new0(Pm__Cancellation *, n + 1);
    for (size_t i = 0; i < n; i++) {
        pm__cancellation__init(&entry[i]);
        entry[i].id = (char *)known[i].id;
        entry[i].revision = known[i].revision;
        list[i] = &entry[i];
    }
    tell.from = (char *)l->settings->name;
    tell.highest_epoch = MAX(l->epoch, l->heard);
    tell.has_state = pm_store_is_ready(l->store);
    tell.store_serving = !pm_store_is_refusing(l->store) &&
                         pm_clock_monotonic() - pm_store_last_served_at(l->store) < SERVED_S;
    tell.store_refusing = pm_election_is_refused_now(l, pm_clock_monotonic());
    tell.store_revision = pm_store_revision(l->store);
    tell.has_cancellations = true;
    tell.cancelled = list;
    tell.n_cancelled = n;
    tell.has_more = more;
    tell.protocol_version = PM_PROTOCOL_VERSION;
    if (l->links.encode_views)
        tell.views.data = l->links.encode_views(l->links.arg, &tell.views.len);
    data = g_malloc(pm__peer_response__get_packed_size(&tell));
    pm_http_reply(req, 200, data, pm__peer_response__pack(&tell, data), 0);
    g_free(tell.views.data);
    g_free(data);
    g_free(list);
    g_free(entry);
}

void pm_election_handle_peer_request(struct pm_election *l, struct pm_http_request *req)
{
    Pm__PeerRequest *ask = pm__peer_request__unpack(NULL, req->body_size, req->body);
    int peer = ask ? pm_settings_find_peer(l->settings, ask->from) : -1;

    if (peer < 0) {
        pm_error("election.bad_message", "malformed, or from a controller that is not known");
        if (ask)
            pm__peer_request__free_unpacked(ask, NULL);
        pm_http_reply(req, 400, NULL, 0, 0);
        return;
    }
    if (l->links.peer_heard)
        l->links.peer_heard(l->links.arg, peer);
    l->peer_version[peer] = MAX(l->peer_version[peer], ask->protocol_version);
    if (ask->epoch > l->heard)
        l->heard = ask->epoch;
    if (l->leads && ask->epoch > l->mine)
        pm_election_recheck_epoch(l);
    answer_peer(l, req, ask);
    pm__peer_request__free_unpacked(ask, NULL);
}
