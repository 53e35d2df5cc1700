/* Asking the peers, by POST /peer, which epochs they know and which jobs were cancelled. Their
 * responses acknowledge the current epoch of the term, and are votes in an outage. */
#include "base/clock.h"
#include "base/protocol.h"
#include "leadership/internal.h"
#include "peer.pb-c.h"

#include <glib.h>
#include <string.h>

enum { REQUEST_SIZE_MAX = 256, RESPONSE_SIZE_MAX = 64 * 1024 };
#define RESPONSE_TIMEOUT_S 1.0

/* A query to one peer. It may take several requests, since the cancellations come in pages. Owned
 * by the request in flight, whose callback frees it or passes it on to the request for the next
 * page. */
struct peer_query {
    struct pm_election *election;
    int peer;
    int round;
    double sent_at;          /* of the request for the first page */
    uint64_t store_revision; /* of our replica at that time */
};

static void on_response(void *arg, int status, const unsigned char *body, size_t size);

/* Sends a request for the page of cancellations after the revision `after`, 0 for the first page.
 * Takes ownership of `query`. */
static void send_request(struct peer_query *query, uint64_t after)
{
    struct pm_election *election = query->election;
    Pm__PeerRequest request = PM__PEER_REQUEST__INIT;
    unsigned char data[REQUEST_SIZE_MAX];

    request.from = (char *)election->settings->name;
    request.epoch = election->poll.epoch;
    request.store_revision = query->store_revision;
    request.after = after;
    request.protocol_version = PM_PROTOCOL_VERSION;
    if (pm__peer_request__get_packed_size(&request) > sizeof data) {
        g_free(query);
        return;
    }
    pm_http_call(election->http, election->settings->peers[query->peer].addr, "POST", "/peer", data,
                 pm__peer_request__pack(&request, data), RESPONSE_TIMEOUT_S, RESPONSE_SIZE_MAX,
                 on_response, query);
}

static void apply_epochs(struct pm_election *election, int peer, const Pm__PeerResponse *response)
{
    const struct pm_election_term *term = &election->term;

    election->poll.highest_epoch = MAX(election->poll.highest_epoch, response->highest_epoch);
    if (!term->is_leader || response->highest_epoch < term->epoch)
        return;
    /* The later epoch may be our own: the peer may have read the result of an advance whose
     * response is still in flight. The callback of the advance then handles either outcome. */
    if (response->highest_epoch > term->epoch && !term->advance_in_flight)
        pm_election_recheck_epoch(election);
    pm_election_note_epoch_acked(election, peer);
}

/* Applies the cancellations and the revision that the peer's replica has reached. Returns the
 * revision after which the next page begins, 0 if this was the last page. */
static uint64_t apply_cancellations(struct pm_election *election, int peer,
                                    const Pm__PeerResponse *response)
{
    uint64_t last = 0;

    for (size_t i = 0; i < response->n_cancelled; i++) {
        const Pm__Cancellation *cancellation = response->cancelled[i];
        election->hooks.cancelled(election->hooks.arg, cancellation->id, cancellation->revision);
        last = MAX(last, cancellation->revision);
    }
    election->hooks.peer_reached_revision(election->hooks.arg, peer, response->store_revision);
    return response->has_more ? last : 0;
}

static void count_vote(const struct peer_query *query, const Pm__PeerResponse *response)
{
    const struct pm_election_vote vote = {.round = query->round,
                                          .sent_at = query->sent_at,
                                          .highest_epoch = response->highest_epoch,
                                          .has_replica = response->has_state,
                                          .has_cancellations = response->has_cancellations,
                                          .is_refused = response->store_refusing};

    pm_election_count_vote(query->election, &vote);
}

/* Requests the next page, or counts the vote after the last one. Takes ownership of `query`. */
static void apply_response(struct peer_query *query, const Pm__PeerResponse *response)
{
    struct pm_election *election = query->election;
    uint64_t next_after;

    pm_election_note_peer_version(election, query->peer, response->protocol_version);
    if (response->store_serving)
        election->poll.store_served_peer_at = pm_clock_monotonic();
    apply_epochs(election, query->peer, response);
    if (!strcmp(response->from, election->replica.lock_holder))
        election->poll.leader_answered_at = pm_clock_monotonic();
    if (election->links.decode_views && response->views.len)
        election->links.decode_views(election->links.arg, query->peer, response->views.data,
                                     response->views.len, query->sent_at);
    next_after = apply_cancellations(election, query->peer, response);
    if (next_after) {
        send_request(query, next_after);
        return;
    }
    count_vote(query, response);
    g_free(query);
}

static void on_response(void *arg, int status, const unsigned char *body, size_t size)
{
    struct peer_query *query = arg;
    Pm__PeerResponse *response = status == 200 ? pm__peer_response__unpack(NULL, size, body) : NULL;

    if (!response) {
        g_free(query);
        return;
    }
    apply_response(query, response);
    pm__peer_response__free_unpacked(response, NULL);
}

void pm_election_poll_peers(struct pm_election *election, double now)
{
    struct pm_election_poll *poll = &election->poll;

    poll->sent_at = now;
    poll->round++;
    poll->epoch = pm_election_epoch(election);
    pm_election_reset_votes(election, now);
    for (int i = 0; i < election->settings->peer_count; i++) {
        struct peer_query *query = g_new0(struct peer_query, 1);
        query->election = election;
        query->peer = i;
        query->round = poll->round;
        query->sent_at = now;
        query->store_revision = pm_store_revision(election->store);
        send_request(query, 0);
    }
}
