/* Cancellations that a majority of controllers knows.
 *
 * Safety invariant 7: in an outage of the state service nobody renews a worker's lease without
 * knowing every cancellation that was confirmed to a user. So a user is answered "cancelled" only
 * once a majority knows of it; and whoever answers workers in an outage first asks a majority what
 * it knows (election.h). Any two majorities have a controller in common.
 *
 * A controller knows a cancellation when its replica has reached the revision, or when a peer has
 * sent it. Each controller publishes to the others, by POST /cancelled, those that it is about to
 * confirm. Where these messages do not arrive though the state service is well, the replicas of the
 * others have the cancellations all the same, and acknowledge them there:
 *
 * Key:  p/seen/CONTROLLER  how far that controller's replica has come. Written only when it has
 *                          read a cancellation that no peer has published.
 *
 * Owns the cancellations whose users wait, and the revisions that the peers' replicas have reached.
 * Called by the API and the controller, in the event-loop thread under struct pm_controller.lock;
 * so do its own timer and its answers run. */
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
    /* A peer has published that this job's cancellation is durable, at that revision of its key;
     * `id` is borrowed, and not yet checked. */
    void (*cancelled)(void *arg, const char *id, uint64_t revision);
    void *arg;
};

/* All pointers but `hooks`, which is copied, are borrowed and must outlive it. Never NULL; the
 * caller frees it with pm_cancel_quorum_free. */
struct pm_cancel_quorum *pm_cancel_quorum_new(struct ev_loop *loop, struct pm_store *store,
                                              struct pm_http_client *http,
                                              const struct pm_settings *settings,
                                              const struct pm_cancel_quorum_hooks *hooks);
/* Stops the timer and frees it. No request of it may be in flight. Pending cancellations are not
 * called back. */
void pm_cancel_quorum_free(struct pm_cancel_quorum *quorum);

/* Whether the replicas of a majority, this controller's included, are known to have reached this
 * revision. */
bool pm_cancel_quorum_is_acked(const struct pm_cancel_quorum *quorum, uint64_t revision);
/* Whether a majority knows of a published cancellation. */
typedef void pm_cancel_quorum_done(void *arg, bool ok);
/* Publishes that the cancellation of job `id` is durable, at that revision of its key, and calls
 * `done` once: `ok` when a majority knows of it, which may be before this returns; not `ok` when
 * that did not come about within about a second, or as soon as too few peers are left that may
 * still answer. `id` is copied. */
void pm_cancel_quorum_publish(struct pm_cancel_quorum *quorum, const char *id, uint64_t revision,
                              pm_cancel_quorum_done *done, void *arg);

/* The replica of the peer with that index has reached this store revision. */
void pm_cancel_quorum_note_peer_revision(struct pm_cancel_quorum *quorum, int peer,
                                         uint64_t store_revision);
/* Our replica has reported a cancellation at that revision: unless a peer publishes it soon, this
 * controller acknowledges it by way of the state service. */
void pm_cancel_quorum_note_cancellation_read(struct pm_cancel_quorum *quorum, uint64_t revision);
/* The replica's feed: a put of p/seen/CONTROLLER; other keys, and values that can't be read, change
 * nothing. */
void pm_cancel_quorum_apply_put(struct pm_cancel_quorum *quorum, const char *key,
                                const cbor_item_t *value);
/* POST /cancelled on the peers' listen address. Answers `request` before it returns: 200, or 400
 * when it can't be read or its sender is not in the settings. */
void pm_cancel_quorum_handle_peer_request(struct pm_cancel_quorum *quorum,
                                          struct pm_http_request *request);

#endif
