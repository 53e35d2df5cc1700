/* The replica of all jobs: a copy of the jobs' values in the state service, together with the
 * working state of the controller that places the jobs.
 *
 * Owned by the controller and guarded by `struct pm_controller.lock`. The event-loop thread applies
 * the state service's feed; the planner thread reads and changes the working state during a plan.
 * Nothing here does I/O or reads a clock.
 *
 * The state service's feed is a full listing of the keys, followed by a watch that shows each later
 * change. After a loss of the connection the feed may begin again with a listing.
 *
 * The replica reads these keys:
 *
 * - p/j/ID has the job's description until the job ends, and its final state afterwards. This key
 * is never deleted.
 *
 * - p/n/ID/K has a list of the job's dependencies, if they do not fit into p/j/ID. These lists are
 * written before p/j/ID, which states how many lists there are.
 *
 * - p/t/ID/K has tasks 128*K to 128*K+127 (a chunk): which of them are done, and where the others
 * are placed.
 *
 * - p/t/ID/K/H has the first (H = 0) or second (H = 1) half of that chunk, and takes precedence
 * over p/t/ID/K.
 *
 * p/j is written by users' submissions and cancellations; the final state is written by the
 * controller that places the job, which is the leader or the owner of a shard. Only that controller
 * writes p/t, in transactions that compare the revisions of the epoch's key, the job's key, the
 * chunk's key and, on a shard's owner, the shard's key. */
#ifndef PM_JOBS_JOBS_H
#define PM_JOBS_JOBS_H

#include "base/cbor.h"
#include "jobs/codec.h"
#include "jobs/job.h"
#include "jobs/name_tables.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct pm_jobs;

/* Returns an empty replica, owned by the caller (pm_jobs_free). Borrows the tables. Never fails. */
struct pm_jobs *pm_jobs_new(struct pm_name_tables *tables);

/* Frees the replica with all jobs, their chunks and their descriptions. */
void pm_jobs_free(struct pm_jobs *jobs);

/* Returns the job with that id, borrowed; NULL if it is not known. Jobs are never removed. */
struct pm_job *pm_jobs_find(const struct pm_jobs *jobs, const char *id);

/* Returns the active jobs (struct pm_job) in no particular order: those that have not ended, and
 * those with tasks that are not yet proven to have ended. Borrowed; valid until the feed is applied
 * again. */
GPtrArray *pm_jobs_active(struct pm_jobs *jobs);

/* ---- applying the feed of the state service ---- */

/* Applies the value that was written to `key` at `revision`. Keys of other modules and values older
 * than the known one are ignored. Returns the job that changed, or NULL if none did. A malformed
 * value is logged; if it is the first value of a job, the job becomes known, but is not run. */
struct pm_job *pm_jobs_apply_put(struct pm_jobs *jobs, const char *key, const cbor_item_t *value,
                                 uint64_t revision);

/* Applies the deletion of `key` at `revision`. Returns the job that changed; NULL if none did. */
struct pm_job *pm_jobs_apply_delete(struct pm_jobs *jobs, const char *key, uint64_t revision);

/* Called before a full listing is applied: marks all chunks as not stored, until the listing or the
 * watch after it shows them. */
void pm_jobs_snapshot_begin(struct pm_jobs *jobs);

/* Lets jobs use the machine types that they name and that the tables did not have when the jobs
 * were read. Called whenever the tables have learned types. Returns how many jobs gained any. */
unsigned pm_jobs_resolve_types(struct pm_jobs *jobs);

/* ---- cancellations ----
 *
 * A controller may learn of a durable cancellation before the feed shows it, from its own write or
 * from a peer. It treats the job as cancelled from then on, though it still has the old revision of
 * the job's key. A write that compares this old revision fails, so it cannot overwrite the
 * cancellation. */

struct pm_cancellation {
    uint64_t revision;
    char id[PM_ID_MAX];
};

/* Records that job `id` was durably cancelled at `revision`, and returns true. Does nothing and
 * returns false if the cancellation is known already, the job is done, the id is malformed, or
 * `revision` is 0. */
bool pm_jobs_apply_cancellation(struct pm_jobs *jobs, const char *id, uint64_t revision);

/* Returns the revision of the job's cancellation, or 0 if none is known. The job itself need not be
 * known. */
uint64_t pm_jobs_cancellation_revision(const struct pm_jobs *jobs, const char *id);

/* Returns the cancellations after `revision`, in order of revision, and sets `*count` to their
 * number. At most `limit` are returned, but cancellations of one revision are never split, since
 * the caller continues after the last revision; the count may therefore exceed `limit`. `*has_more`
 * is set to whether later ones were left out. Borrowed; valid until another cancellation is
 * recorded. */
const struct pm_cancellation *pm_jobs_list_cancellations(struct pm_jobs *jobs, uint64_t revision,
                                                         size_t limit, size_t *count,
                                                         bool *has_more);

/* ---- dependencies ---- */

/* Returns how many edges of the dependency graph have been visited so far, as a measure of the cost
 * of its traversals. */
uint64_t pm_jobs_dependency_edges_visited(const struct pm_jobs *jobs);

/* ---- the working state ---- */

/* Sets whether another controller (the owner of a shard) places the jobs, for all active jobs and
 * for those that become active later. */
void pm_jobs_set_delegated(struct pm_jobs *jobs, bool delegated);

/* Drops the working state of all active jobs and rebuilds their counts from the replica, when this
 * controller begins or ceases to place jobs. The placements must have been removed before. */
void pm_jobs_reset_working_state(struct pm_jobs *jobs);

#endif
