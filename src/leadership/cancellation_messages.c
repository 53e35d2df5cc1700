/* Publishing cancellations to the peers by POST /cancelled, and handling the requests of peers. */
#include "base/clock.h"
#include "base/log.h"
#include "leadership/cancellation_internal.h"
#include "peer.pb-c.h"

#include <glib.h>
#include <string.h>

enum {
    CANCELLATIONS_PER_REQUEST = 400,
    RECEIVED_RESPONSE_SIZE_MAX = 4096,
    SENT_RESPONSE_SIZE_MAX = 512
};
#define RESPONSE_TIMEOUT_S 0.5

/* The cancellations of a request in flight. The request's callback frees it. */
struct publication {
    struct pm_cancel_quorum *quorum;
    int peer;
    size_t count;
    struct published_cancellation {
        char id[PM_CANCELLATION_ID_SIZE];
        uint64_t revision;
    } cancellations[];
};

/* ---- publishing ---- */

static bool needs_sending(const struct pm_cancel_quorum *quorum,
                          const struct pm_pending_cancellation *pending, int peer)
{
    return !pm_pending_cancellation_is_known_to(quorum, pending, peer) &&
           pending->attempts[peer] < PM_CANCELLATION_ATTEMPTS_MAX;
}

/* Returns the pending cancellations that must be sent to the peer, at most
 * CANCELLATIONS_PER_REQUEST. NULL if there are none; the caller frees the result. */
static struct publication *collect_unsent(struct pm_cancel_quorum *quorum, int peer)
{
    struct publication *publication = g_malloc0(
        sizeof *publication + CANCELLATIONS_PER_REQUEST * sizeof publication->cancellations[0]);

    publication->quorum = quorum;
    publication->peer = peer;
    for (guint i = 0; i < quorum->pending->len; i++) {
        const struct pm_pending_cancellation *pending = g_ptr_array_index(quorum->pending, i);
        struct published_cancellation *cancellation;
        if (publication->count >= CANCELLATIONS_PER_REQUEST)
            break;
        if (!needs_sending(quorum, pending, peer))
            continue;
        cancellation = &publication->cancellations[publication->count++];
        g_strlcpy(cancellation->id, pending->id, sizeof cancellation->id);
        cancellation->revision = pending->revision;
    }
    if (publication->count)
        return publication;
    g_free(publication);
    return NULL;
}

/* Encodes the body of the request, of `size` bytes; the caller frees it. */
static unsigned char *encode_request(struct publication *publication, size_t *size)
{
    const struct pm_cancel_quorum *quorum = publication->quorum;
    Pm__CancellationRequest request = PM__CANCELLATION_REQUEST__INIT;
    Pm__Cancellation entries[CANCELLATIONS_PER_REQUEST];
    Pm__Cancellation *list[CANCELLATIONS_PER_REQUEST];
    unsigned char *data;

    for (size_t i = 0; i < publication->count; i++) {
        pm__cancellation__init(&entries[i]);
        entries[i].id = publication->cancellations[i].id;
        entries[i].revision = publication->cancellations[i].revision;
        list[i] = &entries[i];
    }
    request.from = (char *)quorum->settings->name;
    request.store_revision = pm_store_revision(quorum->store);
    request.cancelled = list;
    request.n_cancelled = publication->count;
    *size = pm__cancellation_request__get_packed_size(&request);
    data = g_malloc(*size);
    pm__cancellation_request__pack(&request, data);
    return data;
}

/* Records, in every pending entry of the cancellation, that the peer has responded to the request
 * that included it, or that the request failed. There are several entries if several users wait for
 * the same cancellation. */
static void note_outcome(struct pm_cancel_quorum *quorum, int peer,
                         const struct published_cancellation *cancellation, bool has_responded)
{
    for (guint i = 0; i < quorum->pending->len; i++) {
        struct pm_pending_cancellation *pending = g_ptr_array_index(quorum->pending, i);
        if (pending->revision != cancellation->revision || strcmp(pending->id, cancellation->id))
            continue;
        if (has_responded)
            pending->has_acked[peer] = true;
        else
            pending->attempts[peer]++;
    }
}

static void on_response(void *arg, int status, const unsigned char *body, size_t size)
{
    struct publication *publication = arg;
    struct pm_cancel_quorum *quorum = publication->quorum;
    int peer = publication->peer;
    Pm__CancellationResponse *response =
        status == 200 ? pm__cancellation_response__unpack(NULL, size, body) : NULL;

    quorum->peers.is_request_in_flight[peer] = false;
    for (size_t i = 0; i < publication->count; i++)
        note_outcome(quorum, peer, &publication->cancellations[i], response != NULL);
    if (response) {
        pm_cancel_quorum_note_peer_revision(quorum, peer, response->store_revision);
        pm__cancellation_response__free_unpacked(response, NULL);
    }
    g_free(publication);
    pm_cancel_quorum_complete_settled(quorum, pm_clock_monotonic());
    pm_cancel_quorum_send_to_peers(quorum);
}

/* Sends the peer one request at a time: cancellations that become pending while it is in flight go
 * into the next. */
static void send_to_peer(struct pm_cancel_quorum *quorum, int peer)
{
    struct publication *publication;
    unsigned char *data;
    size_t size;

    if (quorum->peers.is_request_in_flight[peer])
        return;
    publication = collect_unsent(quorum, peer);
    if (!publication)
        return;
    quorum->peers.is_request_in_flight[peer] = true;
    data = encode_request(publication, &size);
    pm_http_call(quorum->http, quorum->settings->peers[peer].addr, "POST", "/cancelled", data, size,
                 RESPONSE_TIMEOUT_S, RECEIVED_RESPONSE_SIZE_MAX, on_response, publication);
    g_free(data);
}

void pm_cancel_quorum_send_to_peers(struct pm_cancel_quorum *quorum)
{
    for (int i = 0; quorum->pending->len && i < quorum->settings->peer_count; i++)
        send_to_peer(quorum, i);
}

/* ---- handling requests ---- */

static void apply_request(struct pm_cancel_quorum *quorum, int peer,
                          const Pm__CancellationRequest *message)
{
    for (size_t i = 0; i < message->n_cancelled; i++) {
        const Pm__Cancellation *cancellation = message->cancelled[i];
        quorum->hooks.cancelled(quorum->hooks.arg, cancellation->id, cancellation->revision);
        pm_cancel_quorum_note_published(quorum, cancellation->revision);
    }
    pm_cancel_quorum_note_peer_revision(quorum, peer, message->store_revision);
}

static void reply(const struct pm_cancel_quorum *quorum, struct pm_http_request *request)
{
    Pm__CancellationResponse response = PM__CANCELLATION_RESPONSE__INIT;
    unsigned char data[SENT_RESPONSE_SIZE_MAX];
    size_t size = 0;

    response.from = (char *)quorum->settings->name;
    response.store_revision = pm_store_revision(quorum->store);
    if (pm__cancellation_response__get_packed_size(&response) <= sizeof data)
        size = pm__cancellation_response__pack(&response, data);
    pm_http_reply(request, 200, data, size, 0);
}

void pm_cancel_quorum_handle_peer_request(struct pm_cancel_quorum *quorum,
                                          struct pm_http_request *request)
{
    Pm__CancellationRequest *message =
        pm__cancellation_request__unpack(NULL, request->body_size, request->body);
    int peer = message ? pm_settings_find_peer(quorum->settings, message->from) : -1;

    if (peer < 0) {
        pm_error("cancellation.bad_message", "rejected a POST /cancelled request: it is malformed, "
                                             "or its sender is not a configured peer");
        pm_http_reply(request, 400, NULL, 0, 0);
    } else {
        apply_request(quorum, peer, message);
        reply(quorum, request);
        pm_cancel_quorum_complete_settled(quorum, pm_clock_monotonic());
    }
    if (message)
        pm__cancellation_request__free_unpacked(message, NULL);
}
