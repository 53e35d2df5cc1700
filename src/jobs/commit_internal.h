/* Declarations shared by the source files of the write-back; no other file may include it. commit.c
 * decides when transactions are sent, commit_due.c selects the changes that are due,
 * commit_transaction.c builds a transaction, and commit_results.c applies its result to the working
 * state. */
#ifndef PM_JOBS_COMMIT_INTERNAL_H
#define PM_JOBS_COMMIT_INTERNAL_H

#include "jobs/commit.h"

struct pm_commit {
    struct pm_name_tables *tables;
    struct pm_jobs *jobs;
    struct pm_store *store;
    struct pm_commit_hooks hooks;
    uint64_t generation;     /* number of resets; results of transactions from before the last one
                              * are ignored */
    int in_flight;           /* transactions without a result */
    double deferrable_since; /* monotonic: when deferrable changes began to wait; 0 if none wait */
    double wall;             /* time of day of the latest run */
};

/* A placement that the transaction makes durable, unless it is removed or replaced before the
 * result arrives. */
struct proposed_placement {
    struct pm_job *job;
    uint32_t task_index;
    uint32_t attempt;
};

enum change_kind { CHANGE_FINAL_STATE, CHANGE_CHUNK, CHANGE_DEPENDENCY_LIST };

/* A key that the transaction writes or deletes. */
struct commit_change {
    struct pm_job *job;
    enum change_kind kind;
    int index;      /* of the chunk, or of the dependency list */
    int half;       /* of a chunk: the number of the half, or PM_CHUNK_WHOLE */
    bool is_delete; /* the key is deleted, not written */
};

/* A transaction under construction, or in flight. */
struct commit_transaction {
    struct pm_commit *commit;
    uint64_t generation;
    double sent_at;
    int max_writes;     /* the smaller of the write budget and the limit of one transaction */
    GArray *placements; /* of struct proposed_placement */
    GArray *changes;    /* of struct commit_change */
    bool is_closed;     /* contains a chunk that has to be written alone; nothing may be added */
    struct pm_txn txn;
};

/* ---- commit_transaction.c ---- */

/* Returns a transaction with these conditions and no changes, owned by the caller. */
struct commit_transaction *pm_commit_transaction_new(struct pm_commit *commit,
                                                     const struct pm_commit_conditions *conditions,
                                                     double now, int max_writes);

/* Frees the transaction with all that it owns. */
void pm_commit_transaction_free(struct commit_transaction *transaction);

/* Whether no more changes may be added. */
bool pm_commit_transaction_is_full(const struct commit_transaction *transaction);

/* Adds as many of the chunk's dirty values as the limits allow, and marks the chunk in flight. */
void pm_commit_transaction_add_chunk(struct commit_transaction *transaction, struct pm_job *job,
                                     int chunk_index);

/* Adds the job's final state, and as many deletions of its chunks and dependency lists as the
 * limits allow. Adds nothing while one of its chunks is in flight, or if all this does not fit into
 * the rest of a transaction that already has changes. */
void pm_commit_transaction_add_final(struct commit_transaction *transaction, struct pm_job *job);

/* ---- commit_due.c ---- */

/* Adds the changes that are due at `now`, most urgent first, as far as the limits allow. Lowers
 * `*next_at` (monotonic; 0 if not set) to the earliest time at which a change that waits for a
 * retry becomes due. */
void pm_commit_add_due(struct commit_transaction *transaction, double now, double *next_at);

/* Returns the monotonic time at which the waiting deferrable changes are to be written, or 0 if
 * none waits. */
double pm_commit_deferred_until(const struct pm_commit *commit);

/* Sets `*next_at` to `at` if that is earlier, or if `*next_at` is 0 (not set). */
void pm_commit_lower_next_at(double *next_at, double at);

/* ---- commit_results.c ---- */

/* Returns a hash, never 0, of the value that would be written for the chunk now, so that a rejected
 * value is not sent again unchanged. */
guint pm_commit_chunk_hash(const struct pm_commit *commit, const struct pm_job *job,
                           int chunk_index);

/* Called with the result of a transaction (`arg` is its struct commit_transaction): applies the
 * result, calls the hooks, and frees the transaction. */
void pm_commit_on_result(void *arg, enum pm_store_result result, uint64_t store_revision,
                         const cbor_item_t *conflicting_keys);

#endif
