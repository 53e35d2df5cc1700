/* Cancellations that a majority of controllers knows.
 *
 * Safety invariant 7: in an outage of the state service nobody renews a worker's lease without
 * knowing every cancellation that was confirmed to a user. So a user hears "cancelled" only once a
 * majority knows it, and who answers workers in an outage first asks a majority what it knows
 * (leadership.h): any two majorities have a controller in common.
 *
 * A controller knows a cancellation when its replica has reached the revision, or it was told.
 * Each tells the others of those that it is about to confirm. Where those messages don't arrive,
 * though the state service is well, the others' replicas have them all the same; they say so there:
 *
 * Key:  p/seen/CONTROLLER  {edition}: its replica has reached this. Written only when a
 *       cancellation was read that no controller told of. */
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
    /* Another controller says that this job's cancellation is durable. */
    void (*cancelled)(void *arg, const char *id, uint64_t revision);
    void *arg;
};

struct pm_cancel_quorum *pm_cancel_quorum_new(struct ev_loop *loop, struct pm_store *store,
                                              struct pm_http_client *http,
                                              const struct pm_settings *settings,
                                              const struct pm_cancel_quorum_hooks *hooks);
void pm_cancel_quorum_free(struct pm_cancel_quorum *cancels);
/* Whether a majority is known to have replica that reach this revision. */
bool pm_cancel_quorum_is_acked(const struct pm_cancel_quorum *cancels, uint64_t revision);
/* Calls back once a majority knows that this cancellation is durable; `ok` false when that can't be
 * had within about a second, at once when too few of the others are reached. */
typedef void pm_cancel_quorum_done(void *arg, bool ok);
void pm_cancel_quorum_publish(struct pm_cancel_quorum *cancels, const char *id, uint64_t revision,
                              pm_cancel_quorum_done *done, void *arg);
/* The replica of the peer with that index has reached this store revision. */
void pm_cancel_quorum_note_peer_revision(struct pm_cancel_quorum *cancels, int peer,
                                         uint64_t store_revision);
/* The replica told of a cancellation at that revision. */
void pm_cancel_quorum_note_read(struct pm_cancel_quorum *cancels, uint64_t revision);
/* The replica's feed, for p/seen. */
void pm_cancel_quorum_apply_put(struct pm_cancel_quorum *cancels, const char *key,
                                const cbor_item_t *value);
/* POST /cancelled on the back address. */
void pm_cancel_quorum_handle_peer_request(struct pm_cancel_quorum *cancels,
                                          struct pm_http_request *req);

#endif
