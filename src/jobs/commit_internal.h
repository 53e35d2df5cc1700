/* What the parts of the write-back share; nobody else includes it. commit.c decides when to send,
 * commit_due.c what is due, commit_transaction.c builds a transaction, commit_results.c applies its
 * result to the working state. */
#ifndef PM_JOBS_COMMIT_INTERNAL_H
#define PM_JOBS_COMMIT_INTERNAL_H

#include "jobs/commit.h"

struct pm_commit {
    struct pm_name_tables *tables;
    struct pm_jobs *jobs;
    struct pm_store *store;
    struct pm_commit_hooks hooks;
    uint64_t generation;     /* a transaction of an earlier one is not ours any more */
    int in_flight;           /* transactions without a result */
    double deferrable_since; /* monotonic: since when a deferrable change waits, 0: none does */
    double wall;             /* time of day of the run under way */
};

/* A placement that the transaction makes durable, if it still stands by then. */
struct proposed_placement {
    struct pm_job *job;
    uint32_t task_index;
    uint32_t attempt;
};

enum written_kind { WRITTEN_FINAL_STATE, WRITTEN_CHUNK, WRITTEN_DEPENDENCY_LIST };

/* A part of the working state that the transaction writes. */
struct written_value {
    struct pm_job *job;
    enum written_kind kind;
    int index;      /* of the chunk, or of the dependency list */
    int half;       /* of a chunk: PM_CHUNK_WHOLE, or which half */
    bool is_delete; /* the key is deleted */
};

/* A transaction under construction, or in flight. */
struct commit_transaction {
    struct pm_commit *commit;
    uint64_t generation;
    double sent_at;
    int max_writes;     /* what the write budget and the state service's limit allow */
    GArray *placements; /* of struct proposed_placement */
    GArray *values;     /* of struct written_value */
    bool is_closed;     /* has a chunk that is to be written alone */
    struct pm_txn txn;
};

/* ---- commit_transaction.c ---- */

/* An empty transaction under these conditions, owned by the caller. */
struct commit_transaction *pm_commit_transaction_new(struct pm_commit *commit,
                                                     const struct pm_commit_conditions *conditions,
                                                     double now, int max_writes);

/* Frees it with all it owns. */
void pm_commit_transaction_free(struct commit_transaction *transaction);

/* Whether nothing more may be added. */
bool pm_commit_transaction_is_full(const struct commit_transaction *transaction);

/* Adds as many of the chunk's dirty values as the limits allow, and marks them in flight. */
void pm_commit_transaction_add_chunk(struct commit_transaction *transaction, struct pm_job *job,
                                     int chunk_index);

/* Adds the job's final state, and the deletion of its chunks and dependency lists as far as the
 * limits allow. Adds nothing while one of its chunks is in flight, or if it does not fit beside
 * what the transaction already has. */
void pm_commit_transaction_add_final(struct commit_transaction *transaction, struct pm_job *job);

/* ---- commit_due.c ---- */

/* Adds what is due at `now` in the order of its urgency, as far as the limits allow. Lowers
 * `*next_at` (monotonic, 0: none) to the earliest time at which something else becomes due. */
void pm_commit_add_due(struct commit_transaction *transaction, double now, double *next_at);

/* When deferrable changes that wait are to be written; 0: none waits. */
double pm_commit_deferred_until(const struct pm_commit *commit);

/* `*next_at` becomes the earlier of itself and `at`; 0 stands for no time. */
void pm_commit_note_time(double *next_at, double at);

/* ---- commit_results.c ---- */

/* Identifies what would be written of the chunk now, so that a value that was rejected is not sent
 * again unchanged; never 0. */
guint pm_commit_chunk_hash(const struct pm_commit *commit, const struct pm_job *job,
                           int chunk_index);

/* The end of a transaction, whose `arg` is a struct commit_transaction: applies the result, calls
 * the hooks, frees the transaction. */
void pm_commit_on_result(void *arg, enum pm_store_result result, uint64_t store_revision,
                         const cbor_item_t *conflicting_keys);

#endif
