/* Writes the leader's working state back, in transactions that each carry the epoch's revision,
 * every job's revision and every chunk's (safety invariants 1 and 2). */
#ifndef PM_JOBS_COMMIT_H
#define PM_JOBS_COMMIT_H

#include "jobs/jobs.h"
#include "store/store.h"

struct pm_commit;

struct pm_commit_hooks {
    void (*placement_durable)(void *arg,
                              struct pm_placement *place); /* an intent may be launched now */
    void (*epoch_confirmed)(void *arg, double sent,
                            uint64_t store_revision); /* the epoch held at that time */
    void (*epoch_conflict)(void *arg);                /* the epoch's revision did not match */
    void *arg;
};

struct pm_commit *pm_commit_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                struct pm_store *store, const struct pm_commit_hooks *hooks);
void pm_commit_free(struct pm_commit *commit);
/* What every transaction is conditioned on. */
struct pm_commit_conditions {
    uint64_t epoch_revision;
    const char *shard_key; /* NULL for the leader, whose block is what it has not leased out */
    uint64_t shard_revision;
};
/* Sends what is due and what the write budget has room for; `day` is the time of day. Returns the
 * steady time at which to call again, 0 when nothing waits. */
double pm_commit_run(struct pm_commit *commit, const struct pm_commit_conditions *grounds,
                     double now, double day);
/* Answers to transactions under way are no longer ours to read: on losing the lead. */
void pm_commit_reset(struct pm_commit *commit);

#endif
