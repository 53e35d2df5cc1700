/* Chunks: the tasks of a job in groups of 128, as stored in the state service and as working state.
 *
 * A chunk's value lists which tasks are done, and where the others are placed. It is stored as one
 * value, p/t/ID/K, or, if that could exceed the state service's limit, as two halves, p/t/ID/K/0
 * and p/t/ID/K/1. A stored half takes precedence over the whole for its tasks.
 *
 * Chunks belong to their job and are guarded by `struct pm_controller.lock`. The state service's
 * feed updates the stored values; the controller that places the job (the leader, or a shard's
 * owner) keeps the working state, which the write-back (commit.h) stores. Times are monotonic. */
#ifndef PM_JOBS_CHUNK_H
#define PM_JOBS_CHUNK_H

#include "base/cbor.h"
#include "jobs/name_tables.h"
#include "jobs/task.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    PM_CHUNK_TASKS = 128,
    PM_HALF_CHUNK_TASKS = 64,
    PM_CHUNK_HALVES = PM_CHUNK_TASKS / PM_HALF_CHUNK_TASKS,
    PM_CHUNK_WHOLE = -1 /* passed in place of the number of a half (0 or 1) */
};

/* A placement as stored in the state service. */
struct pm_stored_placement {
    uint16_t task_in_chunk;
    uint32_t attempt, incarnation;
    int machine_index; /* index in the tables' machine names */
};

/* One stored value, which is that of a whole chunk or of a half. */
struct pm_stored_chunk {
    uint64_t revision;         /* as shown by the feed; 0 if the value is not stored */
    uint64_t written_revision; /* of this controller's last write; the watch may not show it yet */
    uint64_t done[PM_CHUNK_HALVES]; /* bit i of entry h is set if task i of half h is done */
    uint32_t last_attempt;
    GArray *placements; /* of struct pm_stored_placement; owned */
};

/* Bits of `struct pm_chunk_write_back.dirty`. */
enum {
    PM_DIRTY_FIRST_HALF = 1,  /* the first half has to be written */
    PM_DIRTY_SECOND_HALF = 2, /* the second half has to be written */
    PM_DIRTY_HALVES = PM_DIRTY_FIRST_HALF | PM_DIRTY_SECOND_HALF,
    PM_DIRTY_WHOLE = 4 /* both halves are stored, so the value of the whole has to be deleted */
};

/* Write-back of the chunk's working state to the state service (commit.h). */
struct pm_chunk_write_back {
    unsigned dirty;         /* bits PM_DIRTY_... */
    bool in_flight;         /* a write has no result yet */
    double retry_at;        /* the chunk is not written before this time */
    uint32_t failures;      /* consecutive failed writes */
    bool write_in_halves;   /* the chunk was rejected as one value; its halves are written */
    bool write_alone;       /* a write was rejected; the next is a transaction of its own */
    unsigned rejected_hash; /* of the value that was rejected when written alone; 0 if none was */
};

struct pm_chunk {
    /* The replica: the stored values. */
    struct pm_stored_chunk whole, halves[PM_CHUNK_HALVES];
    /* The replica: the contents of the stored values, merged. */
    bool is_stored; /* at least one of the values is stored */
    uint64_t done[PM_CHUNK_HALVES];
    uint32_t last_attempt;
    GArray *stored_placements; /* of struct pm_stored_placement; NULL if no value was stored yet;
                                * owned */
    /* The working state of the controller that places the job. */
    struct pm_task *tasks; /* PM_CHUNK_TASKS of them, owned; NULL if none was accessed yet */
    uint16_t placement_counts[PM_CHUNK_HALVES];
    struct pm_chunk_write_back write_back;
};

/* Returns the stored value of a half of the chunk, or, for PM_CHUNK_WHOLE, of the whole; borrowed
 * from the chunk. */
struct pm_stored_chunk *pm_chunk_stored_value(struct pm_chunk *chunk, int half);

/* Returns the revision that a write of the value has to compare; 0 if the value is not stored. */
uint64_t pm_stored_chunk_revision(const struct pm_stored_chunk *value);

/* Encodes the working state of the chunk (`half` is PM_CHUNK_WHOLE) or of one of its halves as a
 * p/t value. The chunk must have working state. */
void pm_chunk_encode(const struct pm_name_tables *tables, const struct pm_job *job, int chunk_index,
                     int half, struct pm_buffer *out);

/* Whether the chunk is written in halves: it already is stored in halves, it was rejected as one
 * value, or it could grow too large for one. Other chunks are written whole, since each value costs
 * one change of the write budget, which is the scarcest resource. */
bool pm_job_is_chunk_split(const struct pm_name_tables *tables, const struct pm_job *job,
                           int chunk_index);

/* Whether one more placement fits into the value in which the task's placement would be stored. */
bool pm_job_can_store_placement(const struct pm_name_tables *tables, const struct pm_job *job,
                                uint32_t task_index);

#endif
