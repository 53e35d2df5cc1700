/* Write-back: what the jobs' working state has changed is written to the state service.
 *
 * Owned by the controller, one for its lifetime; guarded by `struct pm_controller.lock`. The
 * controller's event-loop thread calls pm_commit_run after each plan and whenever the time comes
 * that the last run returned; the answers to transactions arrive on the same thread.
 *
 * Keys: reads none; writes and deletes p/j, p/t and p/n (see jobs.h). Every transaction compares
 * the revision of p/epoch, of the shard's key if a shard's owner sends it, of every job's key and
 * of every chunk's key that it touches (safety invariants 1 and 2). A placement may be launched
 * only after the transaction that contains it has succeeded. */
#ifndef PM_JOBS_COMMIT_H
#define PM_JOBS_COMMIT_H

#include "jobs/jobs.h"
#include "store/store.h"

struct pm_commit;

/* Called for the results of transactions, on the event-loop thread, with the
 * controller's lock held. */
struct pm_commit_hooks {
    /* The placement is durable: its task may be launched now. */
    void (*placement_durable)(void *arg, struct pm_placement *placement);
    /* A transaction that was sent at `sent` (monotonic) succeeded, so the epoch was still ours
     * then; `store_revision` is the state service's revision after it. */
    void (*epoch_confirmed)(void *arg, double sent, uint64_t store_revision);
    /* The epoch's key has another revision than the transaction was conditioned on. */
    void (*epoch_conflict)(void *arg);
    void *arg;
};

/* What every transaction of one run is conditioned on. */
struct pm_commit_conditions {
    uint64_t epoch_revision; /* of p/epoch */
    const char *shard_key;   /* the key of the shard whose owner sends it; NULL: the leader, which
                              * places all that it has not leased out */
    uint64_t shard_revision; /* of `shard_key` */
};

/* Makes the write-back, owned by the caller (pm_commit_free). Borrows the tables, the jobs and the
 * store, which must outlive it; copies the hooks. Never fails. */
struct pm_commit *pm_commit_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                struct pm_store *store, const struct pm_commit_hooks *hooks);

/* Frees it. No transaction may be in flight. */
void pm_commit_free(struct pm_commit *commit);

/* Sends what is due and what the write budget allows. `now` is monotonic, `wall` the time of day,
 * which is recorded as the end of jobs that are done. Returns the monotonic time at which to call
 * again, 0: nothing waits. */
double pm_commit_run(struct pm_commit *commit, const struct pm_commit_conditions *conditions,
                     double now, double wall);

/* Answers to transactions in flight are ignored from now on: called when this controller no longer
 * places the jobs. */
void pm_commit_reset(struct pm_commit *commit);

#endif
