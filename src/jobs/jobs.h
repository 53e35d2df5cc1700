/* The replica of all jobs: what the state service has of them, and the working state beside it.
 *
 * Owned by the controller and guarded by `struct pm_controller.lock`. The event-loop thread applies
 * the state service's feed; the planner thread reads and changes the working state during a plan.
 * Nothing here does I/O or reads a clock.
 *
 * Keys that it reads (the write-back, commit.h, writes them):
 *
 * - p/j/ID: the job: its description while it lives, its final state for ever after
 *
 * - p/n/ID/K: more of the job's dependencies than fit into its own value; written before that
 * value, which has the number of such lists
 *
 * - p/t/ID/K: tasks 128*K to 128*K+127: which are done, and where the others are placed
 *
 * - p/t/ID/K/H: the same of the first (H 0) or second half alone; takes precedence over p/t/ID/K
 *
 * p/j is written by users' submissions and cancellations, and, for the final state, by whoever
 * places the job: the leader, or the owner of a shard. Only the latter writes p/t, on the condition
 * of the epoch's key, the job's key, the chunk's own and, for an owner, the shard's. */
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

/* An empty replica, owned by the caller (pm_jobs_free). Borrows the tables. Never fails. */
struct pm_jobs *pm_jobs_new(struct pm_name_tables *tables);

/* Frees it with all jobs, their chunks and their descriptions. */
void pm_jobs_free(struct pm_jobs *jobs);

/* The job of that id, borrowed; NULL if it is not known. Jobs are never removed. */
struct pm_job *pm_jobs_find(const struct pm_jobs *jobs, const char *id);

/* Jobs that are not over, or whose tasks are not all proven ended (struct pm_job), in no set order.
 * Borrowed; valid until the feed is applied next. */
GPtrArray *pm_jobs_active(struct pm_jobs *jobs);

/* ---- the feed of the state service ---- */

/* Applies a key's value at that revision. Keys of others are ignored, and so are values that are
 * older than what is known. Returns the job that changed, NULL if none did. A value that can't be
 * read is logged; its job stays known, and is not run. */
struct pm_job *pm_jobs_apply_put(struct pm_jobs *jobs, const char *key, const cbor_item_t *value,
                                 uint64_t revision);

/* Applies the deletion of a key at that revision. Returns the job that changed, NULL if none did.
 */
struct pm_job *pm_jobs_apply_delete(struct pm_jobs *jobs, const char *key, uint64_t revision);

/* A full listing begins: chunks count as not stored until it, or the watch, puts them again. */
void pm_jobs_snapshot_begin(struct pm_jobs *jobs);

/* ---- cancellations ----
 *
 * A durable cancellation may be known before the feed shows it: from this controller's own write,
 * or from a peer. From then on the job is cancelled here, though its key's revision is still the
 * old one: what is written on that revision fails, as it should. */

struct pm_cancellation {
    uint64_t revision;
    char id[PM_ID_MAX];
};

/* `id` was durably cancelled at `revision`, not 0. Returns whether that is news. */
bool pm_jobs_apply_cancellation(struct pm_jobs *jobs, const char *id, uint64_t revision);

/* The revision of the job's cancellation, also if nothing else is known of the job; 0: none is
 * known. */
uint64_t pm_jobs_cancellation_revision(const struct pm_jobs *jobs, const char *id);

/* The cancellations after `revision`, in the order of their revisions: about `most` of them, but
 * all of one revision together. `*count` is how many, `*more` whether there are others after them.
 * Borrowed; valid until the next cancellation becomes known. */
const struct pm_cancellation *pm_jobs_list_cancellations(struct pm_jobs *jobs, uint64_t revision,
                                                         size_t most, size_t *count, bool *more);

/* ---- dependencies ---- */

/* How many edges of the dependency graph have been looked at so far, the measure of its cost. */
uint64_t pm_jobs_dependency_steps(const struct pm_jobs *jobs);

/* ---- the working state ---- */

/* Whether another controller, the owner of a shard, places the jobs: sets it for all active ones
 * and for those to come. */
void pm_jobs_set_delegated(struct pm_jobs *jobs, bool delegated);

/* pm_job_reset_work for all active jobs. */
void pm_jobs_reset_work(struct pm_jobs *jobs);

#endif
