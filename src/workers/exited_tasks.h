/* The exited tasks that a worker still lists. It lists each one until it is told to forget it.
 *
 * A worker that has forgotten an attempt starts it anew when a late copy of the launch arrives with
 * the worker's token and incarnation. So the list also keeps the token of each launch: the worker
 * may forget the attempt once it refuses that token. Part of a machine's state, and guarded like
 * it. */
#ifndef PM_WORKERS_EXITED_TASKS_H
#define PM_WORKERS_EXITED_TASKS_H

#include "jobs/job.h"

#include <glib.h>
#include <stdint.h>

/* One attempt of a task, as a worker identifies it. */
struct pm_task_ref {
    struct pm_job *job;
    uint32_t task_index, attempt;
};

/* An attempt that has exited. */
struct pm_exited_task {
    struct pm_task_ref task;
    uint64_t launch_token; /* no copy of its launch has a higher fencing token */
};

/* The exited tasks of the latest message, and those of the message before. */
struct pm_exited_tasks {
    GArray *listed, *listed_before; /* of struct pm_exited_task, owned */
    guint next;                     /* where the next entry is expected in `listed_before` */
};

/* Allocates the empty lists. */
void pm_exited_tasks_init(struct pm_exited_tasks *exited);
/* Frees the lists. */
void pm_exited_tasks_free(struct pm_exited_tasks *exited);
/* Empties the lists: the worker's tasks are gone. */
void pm_exited_tasks_clear(struct pm_exited_tasks *exited);
/* Begins the list of a new message. */
void pm_exited_tasks_begin(struct pm_exited_tasks *exited);
/* Adds an exited task of the message. `launch_token` counts only if the message before did not list
 * the attempt as exited, because its launch cannot be later than that message. Returns the token
 * that counts. */
uint64_t pm_exited_tasks_add(struct pm_exited_tasks *exited, const struct pm_task_ref *task,
                             uint64_t launch_token);

#endif
