/* Stored keys that nobody needs any more: which, since when, and taking them away.
 *
 * Only what is known to be of no use is a candidate, and only once it has stayed as it is for long:
 * the view, or the reading position, of a controller that is not in the settings; a request to
 * drain a duty whose holder has changed since, or that does not exist. Jobs are never candidates:
 * their users may ask about them at any time. What can't be read is kept. */
#ifndef PM_ROLES_GARBAGE_COLLECTOR_H
#define PM_ROLES_GARBAGE_COLLECTOR_H

#include "base/settings.h"
#include "store/store.h"

#include <stdbool.h>
#include <stdint.h>

struct pm_gc;

/* A key goes once it was a candidate, and unchanged, for `after_s`. */
struct pm_gc *pm_gc_new(const struct pm_settings *settings, double after_s);
void pm_gc_free(struct pm_gc *clean);

/* The replica's feed. */
void pm_gc_apply_put(struct pm_gc *clean, const char *key, const cbor_item_t *value,
                     uint64_t revision, double now);
void pm_gc_apply_delete(struct pm_gc *clean, const char *key, uint64_t revision);
void pm_gc_snapshot_begin(struct pm_gc *clean);
void pm_gc_snapshot_end(struct pm_gc *clean);

/* Adds at most `most` keys that are due to the transaction, each on the condition of its revision;
 * how many. What a transaction did not take away is due again. */
int pm_gc_add_due_deletes(struct pm_gc *clean, struct pm_txn *txn, int most, double now);
/* All candidates with why and for how long, as a list of CBOR maps: what a run would do. */
void pm_gc_encode_status(const struct pm_gc *clean, struct pm_buf *out, double now);

#endif
