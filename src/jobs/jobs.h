/* Jobs and their tasks: the replica of what the state service holds, and, on the leader, the
 * working state that is written back to it.
 *
 * Keys:
 *
 * - p/j/ID: the job: its description while it lives, its final state for ever after
 *
 * - p/n/ID/K: {awaits}: more of the jobs that the job needs than its own value holds; written
 * before that value, which says how many such lists there are
 *
 * - p/t/ID/K: tasks 128*K to 128*K+127: which are done, and where the others are placed
 *
 * - p/t/ID/K/H: the same of the first (H 0) or second half alone, in place of what p/t/ID/K says of
 * it
 *
 * Only users' submissions and cancellations, and the final states of whoever places the job, write
 * p/j; only the latter (the leader, or a block's holder) writes p/t, on the condition of the
 * epoch's key, the job's key, the chunk's own and, for a holder, the block's. */
#ifndef PM_JOBS_JOBS_H
#define PM_JOBS_JOBS_H

#include "base/cbor.h"
#include "base/names.h"
#include "base/settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    PM_CHUNK_TASKS = 128,
    PM_HALF_CHUNK_TASKS = 64,
    PM_JOB_TASKS_MAX = 100000,
    PM_TYPES_MAX = 64,
    PM_ID_MAX = 32
};

enum pm_workload_kind { PM_WORKLOAD_ARRAY, PM_WORKLOAD_GANG, PM_WORKLOAD_SERVICE };
enum pm_priority {
    PM_PRIORITY_BEST_EFFORT,
    PM_PRIORITY_NORMAL,
    PM_PRIORITY_URGENT,
    PM_PRIORITY_PRODUCTION
};
enum pm_job_state { PM_JOB_LIVE, PM_JOB_CANCELLED, PM_JOB_DONE };

/* The dense indices of all names that jobs and machines speak of. */
struct pm_name_tables {
    const struct pm_settings *settings;
    struct pm_names *class_names, *image_names, *type_names, *machine_names;
    struct pm_names *dependency_ids; /* of jobs that others need */
    unsigned protocol_version;       /* what every controller reads (base/protocol.h) */
    int type_count; /* machine types that the cloud has told of; 0: not known yet */
    struct pm_type {
        double cpus, gpus, ram_gb, local_gb, pull_gb_per_s, price, spot_price, ready_s;
        uint32_t zones; /* bit i: offered in zone i of the settings */
    } types[PM_TYPES_MAX];
};

struct pm_spec {
    int class_index, team, image, zone; /* zone -1: any */
    enum pm_workload_kind kind;
    enum pm_priority priority;
    uint32_t task_count;
    double cpus, gpus, ram_gb, image_gb;
    uint64_t allowed_types; /* bit i: allowed on type i */
    bool same_zone, spread_zones, spot;
    double estimated_run_s, checkpoint_interval_s, checkpoint_duration_s,
        deadline_s;            /* due_s below 0: no deadline */
    double submitted_wall;     /* time of day */
    uint32_t dependency_count; /* jobs that have to be done before */
    int *dependencies;         /* indices of `dependency_ids`; owned */
    uint32_t overflow_lists;   /* p/n values that name them, 0: the job's own value does */
};

/* A task's place as the state service knows it. */
struct pm_stored_placement {
    uint16_t task_in_chunk; /* within the chunk */
    uint32_t attempt, incarnation;
    int machine;
};

struct pm_machine; /* workers slice */

enum pm_placement_state {
    PM_PLACEMENT_PROPOSED, /* not durable yet: nothing may be sent */
    PM_PLACEMENT_DURABLE,  /* may be launched; its worker has not reported it yet */
    PM_PLACEMENT_FETCHING,
    PM_PLACEMENT_WAITING,
    PM_PLACEMENT_RUNNING,
    PM_PLACEMENT_CHECKPOINTING,
    PM_PLACEMENT_ENDED /* proven: it holds nothing any more */
};

/* Where a task is, or may be. */
struct pm_placement {
    struct pm_job *job;
    struct pm_machine *machine;
    int machine_index;
    uint32_t task_index, attempt, incarnation;
    enum pm_placement_state state;
    bool should_stop;     /* to be killed */
    bool stop_acked;      /* a /do with the kill was answered */
    bool seen_in_message; /* in the message being read */
    double grace_s;
    double placed_at;     /* steady: placed, or found again */
    double running_since; /* steady: first seen running, 0: not yet */
    uint64_t
        launch_push; /* number of the last /do with the launch, until one is answered; 0: none */
    bool launch_outcome_unknown;    /* a /do with the launch has no answer: see `doubtful` of the
                                       machine */
    uint64_t launch_reply_sequence; /* sequence number of the report whose answer carried the
                                       launch, 0: none */
};

/* The leader's view of one task. */
struct pm_task {
    struct pm_placement *placement; /* whatever is not proven gone */
    uint16_t failures;
    bool done;
    bool was_resumed;     /* ran before: its next run may be shorter than a whole one */
    double backoff_until; /* steady: the next try, after errors */
};

/* One value of a chunk: of all its tasks, or of half of them. */
struct pm_stored_chunk {
    uint64_t revision;         /* 0: not in the state service */
    uint64_t written_revision; /* of our own last write: the watch may not have told it yet */
    uint64_t done[PM_CHUNK_TASKS / PM_HALF_CHUNK_TASKS];
    uint32_t last_attempt;
    GArray *stored_placements; /* of struct pm_spot */
};

enum { PM_DIRTY_WHOLE = 4 }; /* the value of the whole chunk is to go: both halves are there */

/* 128 tasks. In the state service they are one value, or two halves where the limits are low; while
 * only one half has a value of its own, that of the whole chunk tells of the other. */
struct pm_chunk {
    struct pm_stored_chunk whole, half[2];
    /* What these say together. */
    bool stored; /* any of them is there */
    uint64_t done[PM_CHUNK_TASKS / PM_HALF_CHUNK_TASKS];
    uint32_t last_attempt;
    GArray *stored_placements; /* of struct pm_spot, as written; NULL when none */
    /* Leader only. */
    struct pm_task *task;         /* PM_CHUNK_TASKS of them, or NULL: none was ever touched */
    unsigned dirty;               /* bit h: half h needs writing; and PM_DIRTY_WHOLE */
    uint16_t placement_counts[2]; /* places in each half */
    bool in_flight;
    double retry_at;
    uint32_t failures;    /* of its writes, in a row */
    bool write_in_halves; /* refused as one value: to be written in halves */
    bool write_alone;     /* refused together with others: to be written alone */
    unsigned rejected;    /* what was refused alone, see commit.c; 0: nothing */
};

/* What the outcomes of a job's tasks say of it (workers/faults.h). */
struct pm_job_failures {
    int machines[4]; /* distinct ones on which its tasks failed since the last that succeeded */
    unsigned machine_count;
    unsigned consecutive; /* failures since the last success */
    unsigned
        retry_rounds; /* tries since it was found failing, as far as they make the pause longer */
    bool reported_failing; /* found failing by its holder, or by the leader before */
    bool has_succeeded;    /* a task of it completed */
    double retry_at;       /* steady: no task of it starts before, while it is failing */
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
    bool final_in_flight; /* a write of its final state has no answer yet */
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
    struct pm_spec *spec;      /* NULL once only the final state is kept, or if it can't be read */
    int chunk_count;
    struct pm_chunk **chunks;
    bool is_active; /* listed by pm_jobs_active */
    /* Whoever places the job: the leader, or the owner of a shard. */
    bool delegated;       /* on the leader: the owner of a shard places it */
    uint32_t parallelism; /* tasks at a time that the shard's lease allows */
    struct pm_job_work work;
    struct pm_job_write_back write_back;
    struct pm_job_scheduling scheduling;
    struct pm_job_failures failures;
};

struct pm_jobs;

struct pm_jobs *pm_jobs_new(struct pm_name_tables *tables);
void pm_jobs_free(struct pm_jobs *jobs);
struct pm_job *pm_jobs_find(const struct pm_jobs *jobs, const char *id);
/* Jobs that are not over, or whose tasks are not all proven gone; in no set order. */
GPtrArray *pm_jobs_active(struct pm_jobs *jobs);

/* The replica's feed; each returns the job that changed, or NULL. */
struct pm_job *pm_jobs_apply_put(struct pm_jobs *jobs, const char *key, const cbor_item_t *value,
                                 uint64_t revision);
struct pm_job *pm_jobs_apply_delete(struct pm_jobs *jobs, const char *key, uint64_t revision);
void pm_jobs_snapshot_begin(struct pm_jobs *jobs);

/* ---- cancellations ----
 *
 * A durable cancellation may be known before the replica tells it: from this controller's own
 * write, or from a peer. From then on the job is cancelled here, though its key's revision is still
 * the old one: what is written on that revision fails, as it should. */

struct pm_cancellation {
    uint64_t revision;
    char id[PM_ID_MAX];
};

/* `id` was cancelled at `revision`, durably. True if that is news. */
bool pm_jobs_apply_cancellation(struct pm_jobs *jobs, const char *id, uint64_t revision);
/* The revision of its cancellation, also if nothing else is known of the job; 0: none is known. */
uint64_t pm_jobs_cancellation_revision(const struct pm_jobs *jobs, const char *id);
/* Jobs cancelled after that revision, by revision: at most about `most`, but all of one revision
 * together. Returns where in the borrowed array they begin; `n` is how many, `more` whether there
 * are others behind them. */
const struct pm_cancellation *pm_jobs_list_cancellations(struct pm_jobs *jobs, uint64_t revision,
                                                         size_t most, size_t *n, bool *more);

/* Whether `id` has the form that users' ids always have. */
bool pm_job_id_is_valid(const char *id);
/* Reads a submission: 200, or 400, 422, 503 (types not known yet) with the reason in `why`. */
int pm_submission_decode(struct pm_name_tables *tables, const cbor_item_t *body, char *id,
                         struct pm_spec *spec, const char **why);
/* The jobs that a submission, or a job's value, names as to be done before: each once, NULL for
 * none; owned by the caller. -1: not a list of ids in the known form. They become indices once they
 * are known to be jobs: a name alone costs no lasting memory. */
int pm_submission_decode_dependencies(const cbor_item_t *body, GPtrArray **out);
void pm_spec_set_dependencies(struct pm_name_tables *tables, struct pm_spec *spec,
                              const GPtrArray *ids);
/* How many p/n values the spec's needs take; 0 where the job's own value, which takes `size` bytes
 * without them, has room for all. */
uint32_t pm_spec_overflow_lists(const struct pm_name_tables *tables, const struct pm_spec *spec,
                                size_t size);
/* Writes the value of p/n/ID/K. */
void pm_dependency_list_encode(const struct pm_name_tables *tables, const struct pm_spec *spec,
                               uint32_t k, struct pm_buf *out);
/* Writes the value of p/j for a job in that state; `full` keeps the description. */
void pm_job_encode(const struct pm_name_tables *tables, const struct pm_spec *spec,
                   uint32_t entries, enum pm_job_state state, bool full, struct pm_buf *out);
/* The same for a job that is done, with the time of its end where all controllers read that. */
void pm_job_encode_done(const struct pm_name_tables *tables, const struct pm_job *job, bool full,
                        struct pm_buf *out);
void pm_spec_free(struct pm_spec *spec);
/* How many such tasks that room holds. */
uint32_t pm_spec_tasks_that_fit(const struct pm_spec *spec, double cpus, double gpus,
                                double ram_gb);
/* Display counts, from the replica. */
void pm_job_count_tasks(const struct pm_job *job, uint32_t *done, uint32_t *running);

/* The cost so far of keeping the dependency graph, in edges looked at. */
uint64_t pm_jobs_dependency_steps(const struct pm_jobs *jobs);

/* ---- the leader's working state ---- */

struct pm_task *pm_job_task(struct pm_job *job, uint32_t index); /* made when missing */
const struct pm_task *pm_job_find_task(const struct pm_job *job,
                                       uint32_t index);     /* NULL: untouched */
void pm_job_mark_dirty(struct pm_job *job, uint32_t index); /* its chunk needs writing */
/* The task is not to start before that time. */
void pm_job_back_off(struct pm_job *job, uint32_t index, double until);
/* How many of the waiting tasks may start now: those that rest are left out. */
uint32_t pm_job_startable_tasks(const struct pm_job *job, double now);
/* Whether jobs are, until told otherwise, another controller's to place: for all, and for those to
 * come. */
void pm_jobs_set_delegated(struct pm_jobs *jobs, bool delegated);
/* Rebuilds one job's counts from the replica. */
void pm_job_reset_work(struct pm_job *job);
/* Drops the working state of all jobs and rebuilds the counts from the replica. */
void pm_jobs_reset_work(struct pm_jobs *jobs);
/* Writes the value of p/t/ID/k, or of one half of it (-1: the whole), from the working state. */
void pm_chunk_encode(const struct pm_name_tables *tables, const struct pm_job *job, int k, int half,
                     struct pm_buf *out);
/* The revision to write the value on. */
uint64_t pm_stored_chunk_revision(const struct pm_stored_chunk *value);
/* The value of half h of the chunk, or, for -1, of the whole. */
struct pm_stored_chunk *pm_chunk_stored(struct pm_chunk *chunk, int half);
/* A task of the job got a place, or lost it (`by` -1). */
void pm_job_count_placement(struct pm_job *job, uint32_t index, int by);
/* Whether chunk k is written in halves: it is already, or it could grow too large for one value.
 * Every further value costs a change of the state service's, the scarcest of all. */
bool pm_job_is_chunk_split(const struct pm_name_tables *tables, const struct pm_job *job, int k);
/* Whether the value that tells of the task holds one more place. */
bool pm_job_value_has_room(const struct pm_name_tables *tables, const struct pm_job *job,
                           uint32_t index);
/* Tasks that are neither done nor placed, and may start. */
uint32_t pm_job_waiting_tasks(const struct pm_job *job);

#endif
