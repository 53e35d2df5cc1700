/* One job: what the replica has of it, and the working state of whoever places it.
 *
 * The fields are grouped by the part that writes them. Jobs belong to `struct pm_jobs` (jobs.h) and
 * are guarded by `struct pm_controller.lock`. */
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
    int machines[4]; /* distinct ones on which its tasks failed since the last that succeeded */
    unsigned machine_count;
    unsigned consecutive;  /* failures since the last success */
    unsigned retry_rounds; /* attempts since it was found failing, as far as they lengthen the
                            * delay */
    bool reported_failing; /* found failing by the owner of its shard, or by the leader before */
    bool has_succeeded;    /* a task of it completed */
    double retry_at;       /* monotonic: no task of it starts before, while it is failing */
};

/* What a job waits for (dependencies.h). */
struct pm_job_dependencies {
    bool incomplete; /* the jobs that it depends on are not all known yet */
    uint32_t unmet;  /* jobs that it depends on and that are not durably done: it may not start */
    double met_wall; /* time of day at which the last of them ended; 0: none has; INFINITY: one
                      * ended whose time an earlier version did not record */
    bool cancelled_by_one; /* cancelled because a job that it depends on is */
};

/* The scheduler's view of a job: how long it has waited, and how it has run. */
struct pm_job_scheduling {
    double waiting_since_wall; /* time of day at which its wait began, as far as seen here */
    double reservation_until;  /* monotonic, gang: capacity is being freed for it until then */
    bool is_starving;          /* has waited too long to begin */
    bool is_overdue_start;     /* was starving: what runs of it was started for that */
    bool has_fully_started;    /* all of its tasks were placed at one time, or are done */
    double fully_started_at;   /* monotonic: when; 0: before this controller became active */
    double remaining_cpu_s;    /* of an array: processor-seconds that are left */
    double run_time_sum_s;     /* measured run times of its tasks: the estimate may be far off */
    uint32_t run_time_samples;
    bool counted_in_demand; /* counted in the measured rate of array work (autoscaler) */
    double backoff_until;   /* monotonic: some tasks back off until then, see struct pm_task */
};

/* Counts over the job's tasks, on whoever places it. */
struct pm_job_work {
    uint32_t done_count, placed_count;
    uint32_t last_attempt;
    uint32_t first_waiting_hint; /* no task below this index waits */
};

/* Writing the job's state back to the state service (commit.h). */
struct pm_job_write_back {
    bool final_in_flight; /* a write of its final state has no result yet */
    bool attempted;       /* a chunk was written, or is being written, from here */
    double retry_at;      /* monotonic: the final state is not written before */
};

struct pm_job {
    char id[PM_ID_MAX];
    uint64_t revision; /* of its key */
    enum pm_job_state state;
    uint64_t cancellation_revision; /* of its durable cancellation, 0: none is known */
    uint32_t task_count;
    double ended_wall; /* time of day at which it was found done, 0: not known */
    struct pm_job_dependencies dependencies;
    enum pm_priority priority; /* its own, or that of a job that depends on it if that is higher */
    double deadline_wall;      /* time of day: its own deadline, or what one that depends on it
                                * leaves; INFINITY: none */
    struct pm_spec *spec;      /* NULL once only the final state is kept, or if it can't be read;
                                * owned */
    int chunk_count;
    struct pm_chunk **chunks; /* owned; NULL entries: nothing is known of these tasks */
    bool is_active;           /* listed by pm_jobs_active */
    /* Whoever places the job: the leader, or the owner of a shard. */
    bool delegated;       /* on the leader: the owner of a shard places it */
    uint32_t parallelism; /* tasks at a time that the shard's lease allows */
    struct pm_job_work work;
    struct pm_job_write_back write_back;
    struct pm_job_scheduling scheduling;
    struct pm_job_failures failures;
};

/* Display counts from the replica: tasks that are done, and tasks with a stored placement. */
void pm_job_count_tasks(const struct pm_job *job, uint32_t *done, uint32_t *running);

/* The working state of the task, made if it is missing. `task_index` is below the job's
 * `task_count`. Borrowed from the job. */
struct pm_task *pm_job_task(struct pm_job *job, uint32_t task_index);

/* The same, NULL if it was never made. */
const struct pm_task *pm_job_find_task(const struct pm_job *job, uint32_t task_index);

/* The task's state has changed, so its half of the chunk has to be written. */
void pm_job_mark_dirty(struct pm_job *job, uint32_t task_index);

/* The task is not to be started before `until` (monotonic). */
void pm_job_back_off(struct pm_job *job, uint32_t task_index, double until);

/* Counts a placement of the task that was made (`change` 1) or removed (-1). */
void pm_job_count_placement(struct pm_job *job, uint32_t task_index, int change);

/* How many tasks are neither done nor placed, and may start as far as the job's state and its
 * dependencies go. */
uint32_t pm_job_waiting_tasks(const struct pm_job *job);

/* How many of the waiting tasks may start at `now` (monotonic): those that back off are left out.
 */
uint32_t pm_job_startable_tasks(const struct pm_job *job, double now);

/* Drops the job's working state and rebuilds its counts from the replica. The placements must have
 * been removed before. */
void pm_job_reset_work(struct pm_job *job);

#endif
