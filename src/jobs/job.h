/* A job: its state as replicated from the state service, and the working state of the controller
 * that places it, which is the leader or, for a delegated job, the owner of its shard.
 *
 * The fields are grouped by the part that writes them. Jobs belong to `struct pm_jobs` (jobs.h) and
 * are guarded by `struct pm_controller.lock`. Times named `*_wall` are times of day (seconds since
 * 1970), all other times are monotonic seconds. */
#ifndef PM_JOBS_JOB_H
#define PM_JOBS_JOB_H

#include "jobs/chunk.h"
#include "jobs/spec.h"
#include "jobs/task.h"

#include <stdbool.h>
#include <stdint.h>

enum pm_job_state { PM_JOB_LIVE, PM_JOB_CANCELLED, PM_JOB_DONE };

/* The outcomes of a job's tasks (workers/failures.h). */
struct pm_job_failures {
    int machines[4]; /* distinct machines on which its tasks failed since the last success */
    unsigned machine_count;
    unsigned consecutive;     /* failures since the last success */
    unsigned retry_doublings; /* how often the retry delay has been doubled since the job was found
                               * failing */
    bool reported_failing;    /* found failing by the owner of its shard or by an earlier leader */
    bool has_succeeded;       /* at least one of its tasks completed */
    double retry_at;          /* while the job is failing, none of its tasks starts before this */
};

/* What a job waits for (dependencies.h). */
struct pm_job_dependencies {
    bool incomplete; /* the ids of its dependencies are not all known yet */
    /* Dependencies that are not durably done, plus one while `incomplete`. The job may start only
     * once this is 0. */
    uint32_t unmet_count;
    double last_ended_wall;       /* when the last dependency ended; 0 if none has, INFINITY if an
                                   * earlier version recorded an end without its time */
    bool cancelled_by_dependency; /* cancelled because a dependency was cancelled */
};

/* The scheduler's view of a job: how long it has waited, and how it has run. */
struct pm_job_scheduling {
    double waiting_since_wall; /* when it began to wait for capacity; 0 if not determined yet */
    double reservation_until;  /* gang: capacity is being freed for it until this time */
    bool is_starving;          /* has waited too long to start and is placed first */
    bool is_overdue_start;     /* its running tasks were started because it was starving */
    bool has_fully_started;    /* at some moment, each of its tasks was either placed or done */
    double fully_started_at; /* when that was first so; 0 if before this controller became active */
    double remaining_cpu_s;  /* array: processor-seconds of work left, for its rank */
    double run_time_sum_s;   /* measured run times of its tasks, used to correct the submitted
                              * estimate, which may be far off */
    uint32_t run_time_samples; /* number of measurements in `run_time_sum_s` */
    bool counted_in_demand;    /* counted in the autoscaler's measured rate of array work */
    double backoff_until;      /* the latest `backoff_until` of its tasks (struct pm_task) */
};

/* Counts over the job's tasks, kept by the controller that places it. */
struct pm_job_work {
    uint32_t done_count, placed_count;
    uint32_t last_attempt;       /* the highest attempt number used so far */
    uint32_t first_waiting_hint; /* every task below this index is placed or done */
};

/* Write-back of the job's state to the state service (commit.h). */
struct pm_job_write_back {
    bool final_in_flight;       /* a write of its final state has no result yet */
    bool chunk_write_attempted; /* a chunk has been stored, or its write was sent */
    double retry_at;            /* the final state is not written before this time */
};

struct pm_job {
    char id[PM_ID_MAX];
    uint64_t revision; /* of its p/j key */
    enum pm_job_state state;
    uint64_t cancellation_revision; /* revision of its durable cancellation; 0 if none is known */
    uint32_t task_count;
    double ended_wall; /* when the job was found done; 0 if not known */
    struct pm_job_dependencies dependencies;
    enum pm_priority priority; /* the highest of its own priority and those of its dependents */
    double deadline_wall;      /* the earliest of its own deadline and the latest ends that its
                                * dependents' deadlines leave it; INFINITY if there is none */
    struct pm_spec *spec;      /* owned; NULL if only the final state is kept, or if the description
                                * can't be read */
    int chunk_count;
    struct pm_chunk **chunks; /* owned; an entry is NULL if nothing is known of its tasks */
    bool is_active;           /* listed by pm_jobs_active */
    /* The working state of the controller that places the job. */
    bool delegated;       /* set on the leader: the owner of a shard places the job */
    uint32_t parallelism; /* how many tasks the shard's lease allows at a time; UINT32_MAX if the
                           * job is not leased */
    struct pm_job_work work;
    struct pm_job_write_back write_back;
    struct pm_job_scheduling scheduling;
    struct pm_job_failures failures;
};

/* Counts, from the replica and for display, the tasks that are done and those that have a stored
 * placement. */
void pm_job_count_tasks(const struct pm_job *job, uint32_t *done, uint32_t *running);

/* Returns the working state of the task, which is created if it does not exist; borrowed from the
 * job. `task_index` must be below the job's `task_count`. */
struct pm_task *pm_job_ensure_task(struct pm_job *job, uint32_t task_index);

/* Returns the working state of the task, borrowed from the job; NULL if it was never created. */
const struct pm_task *pm_job_find_task(const struct pm_job *job, uint32_t task_index);

/* Marks the half of the chunk that contains the task as changed, so that it is written back. */
void pm_job_mark_dirty(struct pm_job *job, uint32_t task_index);

/* Records that the task is done, and marks what has to be written back. The tasks of a gang
 * complete together, so when one is done, all are. Does nothing if the task is known to be done.
 * The job must have a description. */
void pm_job_complete_task(struct pm_job *job, uint32_t task_index);

/* Keeps the task from being started before the monotonic time `until`. */
void pm_job_back_off(struct pm_job *job, uint32_t task_index, double until);

/* Adds `change` to the placement counts of the job and of the task's chunk: 1 after a placement of
 * the task was made, -1 after one was removed. */
void pm_job_adjust_placement_count(struct pm_job *job, uint32_t task_index, int change);

/* Returns how many tasks are neither done nor placed; 0 if the job is not live, has no readable
 * description, or has unmet dependencies. */
uint32_t pm_job_waiting_tasks(const struct pm_job *job);

/* Returns how many of the waiting tasks do not back off at the monotonic time `now`. */
uint32_t pm_job_startable_tasks(const struct pm_job *job, double now);

/* Drops the job's working state and rebuilds its counts from the replica. The placements must have
 * been removed before. */
void pm_job_reset_working_state(struct pm_job *job);

#endif
