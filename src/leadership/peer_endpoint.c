/* Handling POST /peer: responds with what this controller knows about epochs, cancellations and
 * links. */
#include "base/clock.h"
#include "base/log.h"
#include "base/protocol.h"
#include "jobs/jobs.h"
#include "leadership/internal.h"
#include "peer.pb-c.h"

#include <glib.h>

/* The approximate maximum of cancellations in a response. All cancellations of one revision go into
 * the same response, so the last revision may exceed the maximum. */
enum { CANCELLATIONS_PER_RESPONSE = 300 };
/* For this long after its last response the state service counts as serving this controller. While
 * nothing changes, the responses to the watch are at most this far apart. */
#define SERVED_MAX_AGE_S 6.0

/* The cancellations of a response. `list` holds pointers to `entries`, whose ids are borrowed from
 * the jobs. */
struct cancellation_page {
    Pm__Cancellation *entries;
    Pm__Cancellation **list;
    size_t count;
    bool has_more;
};

static struct cancellation_page list_cancellations(const struct pm_election *election,
                                                   uint64_t after)
{
    struct cancellation_page page = {0};
    const struct pm_cancellation *known = election->hooks.list_cancellations(
        election->hooks.arg, after, CANCELLATIONS_PER_RESPONSE, &page.count, &page.has_more);

    page.entries = g_new0(Pm__Cancellation, page.count + 1);
    page.list = g_new0(Pm__Cancellation *, page.count + 1);
    for (size_t i = 0; i < page.count; i++) {
        pm__cancellation__init(&page.entries[i]);
        page.entries[i].id = (char *)known[i].id;
        page.entries[i].revision = known[i].revision;
        page.list[i] = &page.entries[i];
    }
    return page;
}

static bool is_store_serving(const struct pm_election *election, double now)
{
    return !pm_store_is_refusing(election->store) &&
           now - pm_store_last_served_at(election->store) < SERVED_MAX_AGE_S;
}

static void reply(const struct pm_election *election, struct pm_http_request *request,
                  const Pm__PeerRequest *message)
{
    Pm__PeerResponse response = PM__PEER_RESPONSE__INIT;
    struct cancellation_page page =
        list_cancellations(election, MAX(message->store_revision, message->after));
    double now = pm_clock_monotonic();
    unsigned char *data;

    response.from = (char *)election->settings->name;
    response.highest_epoch = MAX(election->replica.epoch, election->poll.highest_epoch);
    response.has_state = pm_store_is_ready(election->store);
    response.store_serving = is_store_serving(election, now);
    response.store_refusing = pm_election_is_refused_now(election, now);
    response.store_revision = pm_store_revision(election->store);
    response.has_cancellations = true;
    response.cancelled = page.list;
    response.n_cancelled = page.count;
    response.has_more = page.has_more;
    response.protocol_version = PM_PROTOCOL_VERSION;
    if (election->links.encode_views)
        response.views.data =
            election->links.encode_views(election->links.arg, &response.views.len);
    data = g_malloc(pm__peer_response__get_packed_size(&response));
    pm_http_reply(request, 200, data, pm__peer_response__pack(&response, data), 0);
    g_free(response.views.data);
    g_free(data);
    g_free(page.list);
    g_free(page.entries);
}

static void apply_request(struct pm_election *election, int peer, const Pm__PeerRequest *message)
{
    if (election->links.peer_request_received)
        election->links.peer_request_received(election->links.arg, peer);
    pm_election_note_peer_version(election, peer, message->protocol_version);
    election->poll.highest_epoch = MAX(election->poll.highest_epoch, message->epoch);
    if (election->term.is_leader && message->epoch > election->term.epoch)
        pm_election_recheck_epoch(election);
}

void pm_election_handle_peer_request(struct pm_election *election, struct pm_http_request *request)
{
    Pm__PeerRequest *message = pm__peer_request__unpack(NULL, request->body_size, request->body);
    int peer = message ? pm_settings_find_peer(election->settings, message->from) : -1;

    if (peer < 0) {
        pm_error("election.bad_message", "rejected a POST /peer request: it is malformed, or its "
                                         "sender is not a configured peer");
        pm_http_reply(request, 400, NULL, 0, 0);
    } else {
        apply_request(election, peer, message);
        reply(election, request, message);
    }
    if (message)
        pm__peer_request__free_unpacked(message, NULL);
}
