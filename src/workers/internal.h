/* What the parts of the workers slice share; nobody else includes it. */
#ifndef PM_WORKERS_INTERNAL_H
#define PM_WORKERS_INTERNAL_H

#include "workers/workers.h"

struct pm_workers {
    struct pm_name_tables *tables;
    struct pm_jobs *jobs;
    struct pm_workers_hooks hooks;
    GPtrArray *machines;    /* by machine index of the replica */
    uint64_t ignored_tasks; /* entries of jobs that the replica does not know */
    uint64_t push_count;    /* /do begun so far, over all resets */
};

/* workers.c */
/* The place's task ended, or is proven gone: its room is free, and the place is no more. */
void pm_workers_end_placement(struct pm_workers *w, struct pm_placement *place,
                              enum pm_task_exit end, bool saved, double now);

/* report.c */
/* A task's state as workers name it; the last one is that it ended. */
enum { PM_TASK_STATES = 5 };
extern const char *const pm_task_states[PM_TASK_STATES];
/* "job-000412/3" as a job's id and a task's index. False: it is no such text. */
bool pm_task_name_parse(const char *text, char *id, uint32_t *index);

#endif
