/* The state of the cancellation quorum, grouped by the file that writes it, and the functions that
 * its files share. No other slice includes this header.
 *
 * Everything here is guarded by struct pm_controller.lock and used in the event-loop thread. All
 * times are monotonic seconds. */
#ifndef PM_LEADERSHIP_CANCELLATION_INTERNAL_H
#define PM_LEADERSHIP_CANCELLATION_INTERNAL_H

#include "leadership/cancellation_quorum.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { PM_CANCELLATION_ID_SIZE = 32, PM_CANCELLATION_ATTEMPTS_MAX = 2 };

/* A durable cancellation that has not yet been confirmed to the waiting user. */
struct pm_pending_cancellation {
    char id[PM_CANCELLATION_ID_SIZE];
    uint64_t revision;
    double deadline;
    bool has_acked[PM_PEERS_MAX]; /* the peer has responded to a request that included it */
    /* Failed requests to the peer. After PM_CANCELLATION_ATTEMPTS_MAX of them the cancellation is
     * not sent to that peer again. */
    uint8_t attempts[PM_PEERS_MAX];
    pm_cancel_quorum_done *done;
    void *done_arg;
};

/* What the peers know. `store_revision` is written by cancellation_quorum.c,
 * `is_request_in_flight` by cancellation_messages.c. */
struct pm_cancel_peers {
    uint64_t store_revision[PM_PEERS_MAX]; /* that the peer's replica has reached */
    bool is_request_in_flight[PM_PEERS_MAX];
};

/* Acknowledging cancellations through the state service. Written by replica_acknowledgement.c. */
struct pm_replica_acknowledgement {
    /* The revision of the latest cancellation that the replica has read but no peer has published;
     * 0 if there is none. */
    uint64_t unpublished_revision;
    double unpublished_since;
    double written_at;
    bool write_in_flight;
};

struct pm_cancel_quorum {
    struct ev_loop *loop;
    struct pm_store *store;
    struct pm_http_client *http;
    const struct pm_settings *settings;
    struct pm_cancel_quorum_hooks hooks;
    GPtrArray *pending; /* of struct pm_pending_cancellation, owned */
    ev_timer timer;     /* runs while cancellations or acknowledgements are pending */
    struct pm_cancel_peers peers;
    struct pm_replica_acknowledgement acknowledgement;
};

/* ---- cancellation_quorum.c ---- */

/* Whether the peer with this index is known to know the cancellation: it has responded to a request
 * that included it, or its replica has reached the cancellation's revision. */
bool pm_pending_cancellation_is_known_to(const struct pm_cancel_quorum *quorum,
                                         const struct pm_pending_cancellation *pending, int peer);
/* Completes the pending cancellations that are settled: a majority knows them, their deadline has
 * passed, or too few peers are left that may still acknowledge them. */
void pm_cancel_quorum_complete_settled(struct pm_cancel_quorum *quorum, double now);

/* ---- cancellation_messages.c ---- */

/* Sends each peer the pending cancellations that it does not know, unless a request to that peer is
 * in flight. */
void pm_cancel_quorum_send_to_peers(struct pm_cancel_quorum *quorum);

/* ---- replica_acknowledgement.c ---- */

/* Records that a peer has published the cancellation at this revision. Cancellations up to it need
 * no acknowledgement through the state service. */
void pm_cancel_quorum_note_published(struct pm_cancel_quorum *quorum, uint64_t revision);
/* Writes this controller's p/seen key if that is due. Called by the timer. */
void pm_cancel_quorum_acknowledge_if_due(struct pm_cancel_quorum *quorum, double now);
/* Whether a write of this controller's p/seen key is pending or in flight. */
bool pm_cancel_quorum_has_pending_acknowledgement(const struct pm_cancel_quorum *quorum);

#endif
