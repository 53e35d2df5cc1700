/* Makes cancellations known to a majority of controllers before they are confirmed to users.
 *
 * Safety invariant 7: in an outage of the state service only controllers that know every
 * cancellation that was confirmed to a user renew workers' leases. So a user is answered
 * "cancelled" only once a majority knows the cancellation; and a controller that answers workers in
 * an outage first asks a majority which cancellations they know (election.h). This suffices because
 * any two majorities have a controller in common.
 *
 * A controller knows a cancellation when its replica has reached the cancellation's revision, or
 * when a peer has sent it. Each controller publishes the cancellations that it is about to confirm
 * to the others by POST /cancelled. If these messages do not arrive although the state service is
 * available, the other controllers still read the cancellations there, and acknowledge them by a
 * key:
 *
 * Key:  p/seen/CONTROLLER  the store revision that this controller's replica has reached. Written
 *                          only when it has read a cancellation that no peer has published.
 *
 * Owns the cancellations whose users are waiting, and the revisions that the peers' replicas have
 * reached. Called by the API and the controller, in the event-loop thread under
 * struct pm_controller.lock; its own timer and response callbacks run in the same thread under the
 * same lock. */
#ifndef PM_LEADERSHIP_CANCELLATION_QUORUM_H
#define PM_LEADERSHIP_CANCELLATION_QUORUM_H

#include "base/http.h"
#include "base/settings.h"
#include "store/store.h"

#include <stdbool.h>
#include <stdint.h>

struct ev_loop;
struct pm_cancel_quorum;

struct pm_cancel_quorum_hooks {
    /* A peer has published that the cancellation of job `id` is durable, at this revision of the
     * job's key. `id` is borrowed and not yet validated. */
    void (*cancelled)(void *arg, const char *id, uint64_t revision);
    void *arg;
};

/* Creates a cancellation quorum. `hooks` is copied; all other pointers are borrowed and must
 * outlive it. Never returns NULL; the caller frees the result with pm_cancel_quorum_free. */
struct pm_cancel_quorum *pm_cancel_quorum_new(struct ev_loop *loop, struct pm_store *store,
                                              struct pm_http_client *http,
                                              const struct pm_settings *settings,
                                              const struct pm_cancel_quorum_hooks *hooks);
/* Stops the timer and frees the quorum. No request of it may be in flight. The callbacks of pending
 * cancellations are not called. */
void pm_cancel_quorum_free(struct pm_cancel_quorum *quorum);

/* Whether the replicas of a majority of controllers are known to have reached this revision. This
 * controller's own always counts. */
bool pm_cancel_quorum_is_acked(const struct pm_cancel_quorum *quorum, uint64_t revision);
/* Called with the outcome of pm_cancel_quorum_publish. `ok` tells whether a majority knows the
 * cancellation. */
typedef void pm_cancel_quorum_done(void *arg, bool ok);
/* Publishes to the peers that the cancellation of job `id` is durable, at this revision of its key,
 * and calls `done` once: with `ok` when a majority knows the cancellation, possibly before this
 * returns; without `ok` when that has not happened after about a second, or as soon as too few
 * peers are left that may still respond. `id` is copied. */
void pm_cancel_quorum_publish(struct pm_cancel_quorum *quorum, const char *id, uint64_t revision,
                              pm_cancel_quorum_done *done, void *arg);

/* Records that the replica of the peer with this index has reached this store revision. */
void pm_cancel_quorum_note_peer_revision(struct pm_cancel_quorum *quorum, int peer,
                                         uint64_t store_revision);
/* Records that our replica has read a cancellation at this revision. Unless a peer publishes it
 * soon, this controller acknowledges it through the state service. */
void pm_cancel_quorum_note_cancellation_read(struct pm_cancel_quorum *quorum, uint64_t revision);
/* Applies a put of p/seen/CONTROLLER from the replica's feed. Ignores other keys, and values that
 * can't be decoded. */
void pm_cancel_quorum_apply_put(struct pm_cancel_quorum *quorum, const char *key,
                                const cbor_item_t *value);
/* Handles POST /cancelled on the peers' listen address. Responds to `request` before it returns:
 * with 200, or with 400 if the request can't be decoded or its sender is not in the settings. */
void pm_cancel_quorum_handle_peer_request(struct pm_cancel_quorum *quorum,
                                          struct pm_http_request *request);

#endif
