/* Declarations that the files of the workers slice share. No other slice includes this header. */
#ifndef PM_WORKERS_INTERNAL_H
#define PM_WORKERS_INTERNAL_H

#include "workers/workers.h"

struct pm_workers {
    struct pm_name_tables *tables;
    struct pm_jobs *jobs;
    struct pm_workers_hooks hooks;
    GPtrArray *machines;    /* of struct pm_machine, owned, by index; entries may be NULL */
    uint64_t ignored_tasks; /* reported tasks that were ignored as unknown to this controller */
    uint64_t push_count;    /* pushes begun so far; not reset */
};

/* ---- placements.c ---- */

/* Ends a placement whose task has ended, or provably no longer runs: releases its capacity, calls
 * the hook, and then frees the placement. `checkpointed` tells whether the task's progress was
 * saved by a checkpoint. */
void pm_workers_end_placement(struct pm_workers *workers, struct pm_placement *placement,
                              enum pm_task_exit end, bool checkpointed, double now);

/* ---- heartbeat_codec.c ---- */

/* A task's state as its worker reports it. */
enum pm_worker_task_state {
    PM_WORKER_TASK_FETCHING, /* its image is being fetched */
    PM_WORKER_TASK_WAITING,  /* the task waits for the other tasks of its gang */
    PM_WORKER_TASK_RUNNING,
    PM_WORKER_TASK_CHECKPOINTING, /* the task was told to stop, and saves its progress */
    PM_WORKER_TASK_ENDED,
    PM_WORKER_TASK_UNKNOWN /* the report has a state that this version does not know */
};

/* One entry of a report: a task on the worker. */
struct pm_reported_task {
    char name[64]; /* "job-000412/3" */
    char job_id[PM_ID_MAX];
    uint32_t task_index, attempt;
    bool has_state;
    enum pm_worker_task_state state;
    const cbor_item_t *item; /* the encoded entry, borrowed */
};

/* The part of a report that describes the worker. */
struct pm_report_header {
    char machine[PM_NAME_MAX];
    uint64_t incarnation, sequence, fencing_token;
    bool has_interruption_notice;
    double interruption_in_s;
    const cbor_item_t *tasks; /* the list of entries, borrowed; NULL if the report has none */
};

/* Splits a task name such as "job-000412/3" into the job's id, which is written to PM_ID_MAX bytes,
 * and the task's index. Returns false if the text does not have this form. */
bool pm_task_name_parse(const char *text, char *id, uint32_t *task_index);
/* Decodes an entry. Returns false if its name or attempt is missing or malformed. */
bool pm_reported_task_decode(const cbor_item_t *item, struct pm_reported_task *out);
/* Returns why the task has ended, and sets `*checkpointed` to whether its progress was
 * saved by a checkpoint. */
enum pm_task_exit pm_reported_task_exit(const struct pm_reported_task *task, bool *checkpointed);
/* Decodes a report's header. Returns false if it is malformed. */
bool pm_report_decode(const cbor_item_t *item, struct pm_report_header *out);
/* Sets the machine's endpoint, type, zone and spot flag from the report. Returns false if the
 * endpoint, the type or the zone is missing or malformed. */
bool pm_report_decode_identity(struct pm_workers *workers, const cbor_item_t *item,
                               struct pm_machine *machine);

#endif
