/* Write-back: writes changes of the jobs' working state to the state service.
 *
 * The controller owns one write-back for its lifetime, guarded by `struct pm_controller.lock`. Its
 * event-loop thread calls pm_commit_run after each plan, and again at the time that the last run
 * returned; the results of transactions arrive on the same thread.
 *
 * The write-back reads no keys; it writes and deletes p/j, p/t and p/n (see jobs.h). Every
 * transaction compares the revisions of p/epoch, of the shard's key if a shard's owner sends it,
 * and of the keys of all jobs and chunks that it changes (safety invariants 1 and 2). A placement
 * may be launched only after the transaction that contains it has succeeded. */
#ifndef PM_JOBS_COMMIT_H
#define PM_JOBS_COMMIT_H

#include "jobs/jobs.h"
#include "store/store.h"

struct pm_commit;

/* Called for the results of transactions, on the event-loop thread, with the controller's lock
 * held. */
struct pm_commit_hooks {
    /* The placement is durable: its task may be launched now. */
    void (*placement_durable)(void *arg, struct pm_placement *placement);
    /* A transaction that was sent at the monotonic time `sent` succeeded, so this controller still
     * held the epoch then. `store_revision` is the state service's revision after it. */
    void (*epoch_confirmed)(void *arg, double sent, uint64_t store_revision);
    /* A transaction failed because the revision of p/epoch was not the one that it compared. */
    void (*epoch_conflict)(void *arg);
    void *arg;
};

/* The revisions that every transaction of one run compares. */
struct pm_commit_conditions {
    uint64_t epoch_revision; /* of p/epoch */
    const char *shard_key; /* on a shard's owner, the shard's key; NULL on the leader, which places
                            * all jobs that it has not leased to shards */
    uint64_t shard_revision; /* of `shard_key` */
};

/* Creates a write-back, owned by the caller (pm_commit_free). Borrows the tables, the jobs and the
 * store, which must outlive it; copies the hooks. Never fails. */
struct pm_commit *pm_commit_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                struct pm_store *store, const struct pm_commit_hooks *hooks);

/* Frees the write-back. No transaction may be in flight. */
void pm_commit_free(struct pm_commit *commit);

/* Sends the changes that are due, as far as the write budget allows. `now` is the monotonic time;
 * `wall` is the time of day, which is recorded as the end of jobs that are done. Returns the
 * monotonic time at which to call this again, or 0 if nothing waits to be written. */
double pm_commit_run(struct pm_commit *commit, const struct pm_commit_conditions *conditions,
                     double now, double wall);

/* Called when this controller no longer places the jobs: the results of the transactions in flight
 * will be ignored. */
void pm_commit_reset(struct pm_commit *commit);

#endif
