/* The state of the cancellation quorum, grouped by the part that writes it, and what its files call
 * in one another. No other slice includes this header.
 *
 * Guarded by struct pm_controller.lock; used in the event-loop thread. Times are monotonic
 * seconds. */
#ifndef PM_LEADERSHIP_CANCELLATION_INTERNAL_H
#define PM_LEADERSHIP_CANCELLATION_INTERNAL_H

#include "leadership/cancellation_quorum.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { PM_CANCELLATION_ID_SIZE = 32, PM_CANCELLATION_ATTEMPTS_MAX = 2 };

/* A cancellation whose user waits. */
struct pm_pending_cancellation {
    char id[PM_CANCELLATION_ID_SIZE];
    uint64_t revision;
    double deadline;
    bool has_acked[PM_PEERS_MAX];   /* the peer has answered the message that has it */
    uint8_t attempts[PM_PEERS_MAX]; /* messages to the peer that have failed */
    pm_cancel_quorum_done *done;
    void *done_arg;
};

/* What the peers know. Written by cancellation_quorum.c; `is_request_in_flight` by
 * cancellation_messages.c. */
struct pm_cancel_peers {
    uint64_t store_revision[PM_PEERS_MAX]; /* the peer's replica has reached this */
    bool is_request_in_flight[PM_PEERS_MAX];
};

/* Acknowledging by way of the state service. Written by replica_acknowledgement.c. */
struct pm_replica_acknowledgement {
    uint64_t unpublished_revision; /* the latest cancellation that was read and that no peer has
                                      published; 0: none */
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
    GPtrArray *pending; /* of struct pm_pending_cancellation, which it owns */
    ev_timer timer;     /* runs while there is something to wait for */
    struct pm_cancel_peers peers;
    struct pm_replica_acknowledgement acknowledgement;
};

/* ---- cancellation_quorum.c ---- */

/* Whether the peer with this index is known to know of the cancellation. */
bool pm_pending_cancellation_is_known_to(const struct pm_cancel_quorum *quorum,
                                         const struct pm_pending_cancellation *pending, int peer);
/* Ends those cancellations that a majority knows, that are past their deadline, or that no majority
 * can know any more. */
void pm_cancel_quorum_end_settled(struct pm_cancel_quorum *quorum, double now);

/* ---- cancellation_messages.c ---- */

/* Sends each peer that has no request in flight what it does not know yet. */
void pm_cancel_quorum_send_to_peers(struct pm_cancel_quorum *quorum);

/* ---- replica_acknowledgement.c ---- */

/* A peer has published the cancellation at this revision: those up to it need no acknowledgement by
 * way of the state service. */
void pm_cancel_quorum_note_published(struct pm_cancel_quorum *quorum, uint64_t revision);
/* Writes p/seen of this controller if that is due; by the timer. */
void pm_cancel_quorum_acknowledge_if_due(struct pm_cancel_quorum *quorum, double now);
/* Whether a write of p/seen is to come, or in flight. */
bool pm_cancel_quorum_has_acknowledgement_due(const struct pm_cancel_quorum *quorum);

#endif
