/* Garbage collection of stored keys: which keys are of no use, since when, and their deletion.
 *
 * Only what is known to be of no use is a candidate, and it is deleted only after it has stayed
 * unchanged for long: the view, or the acknowledged revision, of a controller that is not in the
 * settings; a request to drain a role that does not exist, or whose holder has changed since. Jobs
 * are never candidates: their users may ask about them at any time. What can't be read is kept.
 *
 * Owns the candidates. Called by the controller in the event-loop thread, under
 * `struct pm_controller.lock`. It does no I/O: the controller commits the transaction, if it has
 * the role PM_ROLE_GARBAGE_COLLECTION.
 *
 * Keys read: p/duty/, p/drain/, p/links/, p/seen/. Keys deleted: of the last three. */
#ifndef PM_ROLES_GARBAGE_COLLECTOR_H
#define PM_ROLES_GARBAGE_COLLECTOR_H

#include "base/settings.h"
#include "store/store.h"

#include <stdbool.h>
#include <stdint.h>

struct pm_gc;

/* A collector without candidates; the caller owns it. `settings` is borrowed and outlives it. A key
 * may be deleted once it was a candidate, and unchanged, for `after_s` seconds. */
struct pm_gc *pm_gc_new(const struct pm_settings *settings, double after_s);
/* Frees the collector. */
void pm_gc_free(struct pm_gc *collector);

/* ---- the replica's feed ---- */

/* Applies a put at `now` (monotonic seconds); keys that are never candidates are ignored. */
void pm_gc_apply_put(struct pm_gc *collector, const char *key, const cbor_item_t *value,
                     uint64_t revision, double now);
/* Applies a delete. */
void pm_gc_apply_delete(struct pm_gc *collector, const char *key, uint64_t revision);
/* A snapshot begins: nothing is due until it is complete. */
void pm_gc_snapshot_begin(struct pm_gc *collector);
/* The snapshot is complete: forgets candidates that were not in it. */
void pm_gc_snapshot_end(struct pm_gc *collector);

/* ---- collection ---- */

/* Adds deletes of at most `max_count` keys that are due at `now` (monotonic seconds) to the
 * transaction, each compared with its revision. Returns how many. They stay candidates until the
 * replica shows that they are deleted. */
int pm_gc_add_due_deletes(struct pm_gc *collector, struct pm_txn *txn, int max_count, double now);
/* Appends all candidates, with the reason and for how long, to `out` as a list of CBOR maps: what a
 * collection at `now` (monotonic seconds) would do. */
void pm_gc_encode_status(const struct pm_gc *collector, struct pm_buffer *out, double now);

#endif
