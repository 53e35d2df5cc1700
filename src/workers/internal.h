/* What the files of the workers slice share; nobody else includes it. */
#ifndef PM_WORKERS_INTERNAL_H
#define PM_WORKERS_INTERNAL_H

#include "workers/workers.h"

struct pm_workers {
    struct pm_name_tables *tables;
    struct pm_jobs *jobs;
    struct pm_workers_hooks hooks;
    GPtrArray *machines;    /* of struct pm_machine, owned, by index; entries may be NULL */
    uint64_t ignored_tasks; /* reported tasks of jobs that the replica does not know */
    uint64_t push_count;    /* pushes begun so far, over all resets */
};

/* ---- placements.c ---- */

/* The placement's task has ended, or is proven gone: frees its capacity, calls the hook, and then
 * frees the placement. `saved`: its progress was checkpointed. */
void pm_workers_end_placement(struct pm_workers *workers, struct pm_placement *placement,
                              enum pm_task_exit end, bool saved, double now);

/* ---- heartbeat_codec.c ---- */

/* A task's state as its worker reports it. */
enum pm_worker_task_state {
    PM_WORKER_TASK_FETCHING, /* waits for its image */
    PM_WORKER_TASK_WAITING,  /* of a gang: waits for the other tasks */
    PM_WORKER_TASK_RUNNING,
    PM_WORKER_TASK_CHECKPOINTING, /* was told to stop, and saves its progress */
    PM_WORKER_TASK_ENDED,
    PM_WORKER_TASK_UNKNOWN /* a name that is not known here */
};

/* One entry of a report. */
struct pm_reported_task {
    char name[64]; /* "job-000412/3" */
    char job_id[PM_ID_MAX];
    uint32_t task_index, attempt;
    bool has_state;
    enum pm_worker_task_state state;
    const cbor_item_t *item; /* the entry itself, borrowed */
};

/* What a report says of its worker. */
struct pm_report_header {
    char machine[PM_NAME_MAX];
    uint64_t incarnation, sequence, fencing_token;
    bool has_interruption_notice;
    double interruption_in_s;
    const cbor_item_t *tasks; /* the list of entries, borrowed; NULL: none */
};

/* Splits "job-000412/3" into a job's id (of PM_ID_MAX bytes) and a task's index. False: another
 * form. */
bool pm_task_name_parse(const char *text, char *id, uint32_t *task_index);
/* Decodes an entry. False when its name or attempt is missing or malformed. */
bool pm_reported_task_decode(const cbor_item_t *item, struct pm_reported_task *out);
/* Why a task that has ended did so; `checkpointed` says whether its progress was saved. */
enum pm_task_exit pm_reported_task_exit(const struct pm_reported_task *task, bool *checkpointed);
/* Decodes a report's header. False when it is malformed. */
bool pm_report_decode(const cbor_item_t *item, struct pm_report_header *out);
/* Applies the machine's address, type, zone and market, as the report has them. False when one is
 * missing or malformed. */
bool pm_report_decode_identity(struct pm_workers *workers, const cbor_item_t *item,
                               struct pm_machine *machine);

#endif
