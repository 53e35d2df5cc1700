/* The tasks of a job in chunks of 128: what the state service has of them, and the working state.
 *
 * A chunk's value lists which tasks are done, and where the others are placed. It is stored as one
 * value, p/t/ID/K, or, where the limits are low, as two halves, p/t/ID/K/0 and /1. A half that is
 * stored takes precedence over the whole for its tasks.
 *
 * Chunks belong to their job and are guarded by `struct pm_controller.lock`. The replica's feed
 * writes what is stored; whoever places the job (the leader, or a shard's owner) keeps the working
 * state, which the write-back (commit.h) stores. */
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
    PM_CHUNK_WHOLE = -1 /* stands for the whole chunk where a half is counted from 0 */
};

/* A placement as the state service has it. */
struct pm_stored_placement {
    uint16_t task_in_chunk;
    uint32_t attempt, incarnation;
    int machine_index; /* index of the tables' machine names */
};

/* One stored value: of the whole chunk, or of a half. */
struct pm_stored_chunk {
    uint64_t revision;              /* as the replica has it; 0: not stored */
    uint64_t written_revision;      /* of our own last write, which the watch may not show yet */
    uint64_t done[PM_CHUNK_HALVES]; /* bit i of half h: its task i is done */
    uint32_t last_attempt;
    GArray *placements; /* of struct pm_stored_placement; owned */
};

/* Bits of `struct pm_chunk_write_back.dirty`. */
enum {
    PM_DIRTY_FIRST_HALF = 1, /* has to be written */
    PM_DIRTY_SECOND_HALF = 2,
    PM_DIRTY_HALVES = PM_DIRTY_FIRST_HALF | PM_DIRTY_SECOND_HALF,
    PM_DIRTY_WHOLE = 4 /* both halves are stored: the value of the whole is to be deleted */
};

/* Writing the chunk's working state back to the state service (commit.h). */
struct pm_chunk_write_back {
    unsigned dirty;         /* PM_DIRTY_... */
    bool in_flight;         /* a write has no result yet */
    double retry_at;        /* monotonic: not written before */
    uint32_t failures;      /* of its writes, in a row */
    bool write_in_halves;   /* rejected as one value */
    bool write_alone;       /* rejected together with others */
    unsigned rejected_hash; /* of the value that was rejected alone; 0: none was */
};

struct pm_chunk {
    /* The replica: the stored values, */
    struct pm_stored_chunk whole, halves[PM_CHUNK_HALVES];
    /* and their contents together. */
    bool is_stored; /* any of them is there */
    uint64_t done[PM_CHUNK_HALVES];
    uint32_t last_attempt;
    GArray *stored_placements; /* of struct pm_stored_placement; NULL: never stored; owned */
    /* The working state of whoever places the job. */
    struct pm_task *tasks; /* PM_CHUNK_TASKS of them, owned; NULL: none was ever touched */
    uint16_t placement_counts[PM_CHUNK_HALVES];
    struct pm_chunk_write_back write_back;
};

/* The value of that half of the chunk, or, for PM_CHUNK_WHOLE, of the whole. Borrowed from it. */
struct pm_stored_chunk *pm_chunk_stored(struct pm_chunk *chunk, int half);

/* The revision that a write of the value has to compare; 0: it is not stored. */
uint64_t pm_stored_chunk_revision(const struct pm_stored_chunk *value);

/* Writes the value of p/t/ID/`chunk_index`, or of one half of it (PM_CHUNK_WHOLE: of the whole),
 * from the working state, which the chunk must have. */
void pm_chunk_encode(const struct pm_name_tables *tables, const struct pm_job *job, int chunk_index,
                     int half, struct pm_buffer *out);

/* Whether the chunk is written in halves: it is already, or it could grow too large for one value.
 * Every further value costs one more change of the state service's budget, the scarcest of all. */
bool pm_job_is_chunk_split(const struct pm_name_tables *tables, const struct pm_job *job,
                           int chunk_index);

/* Whether the value that the task's placement is stored in may grow by one more placement. */
bool pm_job_value_has_room(const struct pm_name_tables *tables, const struct pm_job *job,
                           uint32_t task_index);

#endif
