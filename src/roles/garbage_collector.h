/* Garbage collection of stored keys: tracks which keys are obsolete and since when, and adds their
 * deletion to a transaction.
 *
 * A key is deleted only if it is known to be obsolete, and only after it has stayed obsolete and
 * unchanged for a long time. Obsolete keys are the view and the acknowledged revision of a
 * controller that is not in the settings, and a drain request for a role that does not exist or
 * whose holder has changed since. Jobs are never deleted, because users may ask about them at
 * any time. A drain request that can't be decoded is kept.
 *
 * The controller calls this module in the event-loop thread, under `struct pm_controller.lock`. The
 * module does no I/O: the controller commits the transaction if it holds the role
 * PM_ROLE_GARBAGE_COLLECTION.
 *
 * Reads keys under p/duty/, p/drain/, p/links/ and p/seen/. Deletes keys under p/drain/, p/links/
 * and p/seen/. */
#ifndef PM_ROLES_GARBAGE_COLLECTOR_H
#define PM_ROLES_GARBAGE_COLLECTOR_H

#include "base/settings.h"
#include "store/store.h"

#include <stdbool.h>
#include <stdint.h>

struct pm_gc;

/* Returns a collector without candidates, owned by the caller. `settings` is borrowed and must
 * outlive the collector. A key may be deleted once it has been obsolete and unchanged for
 * `delete_after_s` seconds. */
struct pm_gc *pm_gc_new(const struct pm_settings *settings, double delete_after_s);
/* Frees the collector. */
void pm_gc_free(struct pm_gc *collector);

/* ---- changes of the replica ---- */

/* Applies a put at `now` (monotonic seconds). Ignores keys that are never candidates. */
void pm_gc_apply_put(struct pm_gc *collector, const char *key, const cbor_item_t *value,
                     uint64_t revision, double now);
/* Applies a delete: the key is no longer a candidate for deletion. */
void pm_gc_apply_delete(struct pm_gc *collector, const char *key, uint64_t revision);
/* Called when a snapshot begins. No key is due for deletion until the snapshot is complete. */
void pm_gc_snapshot_begin(struct pm_gc *collector);
/* Called when the snapshot is complete. Removes the candidates that are not in the snapshot. */
void pm_gc_snapshot_end(struct pm_gc *collector);

/* ---- collection ---- */

/* Adds the deletion of at most `max_count` keys that are due at `now` (monotonic seconds) to the
 * transaction, together with a comparison of each key's revision. Returns the number of keys added.
 * The keys stay candidates until the replica shows that they are deleted. */
int pm_gc_add_due_deletes(struct pm_gc *collector, struct pm_txn *txn, int max_count, double now);
/* Appends a CBOR list to `out`, for the operator's tool, with one map for each obsolete key: the
 * reason why it is obsolete, for how long it has been unchanged, and whether it is due for deletion
 * at `now` (monotonic seconds). */
void pm_gc_encode_status(const struct pm_gc *collector, struct pm_buffer *out, double now);

#endif
