/* Failure attribution: distinguishes faulty machines from failing jobs.
 *
 * Each failure of a task counts against its machine and against its job. Failures on several
 * machines and of several jobs show which of the two is at fault. A job that fails wherever it
 * runs, without a success in between, is failing; its failures do not count against the machines. A
 * machine is faulty, and is quarantined, if several jobs fail there that do not fail elsewhere.
 * Both are evaluated again at each exit of a task, and one success clears the job and the machine
 * at once.
 *
 * Called with the controller's lock held. Does no I/O; the time is an argument. The state is in
 * `pm_job.failures` and `pm_machine.failures`. */
#ifndef PM_WORKERS_FAILURES_H
#define PM_WORKERS_FAILURES_H

#include "workers/workers.h"

/* Records how the placement's task exited. A task that failed, or whose launch was refused, is
 * started again only after a back-off delay. */
void pm_failures_note_exit(struct pm_placement *placement, enum pm_task_exit end, double now);
/* Records that the placement's task is running. A service's tasks do not complete, so a replica
 * that has run for a while counts as a success. */
void pm_failures_note_running(const struct pm_placement *placement, double now);
/* Marks the job as failing because another controller reported it: the owner of the job's shard, or
 * the previous leader. */
void pm_failures_mark_job_failing(struct pm_job *job, double now);
/* Clears the mark that another controller's report has set, because the owner of the job's shard no
 * longer reports the job as failing. */
void pm_failures_clear_job_mark(struct pm_job *job);
/* Marks the machine as faulty because the owner of its shard reported it. */
void pm_failures_quarantine_machine(struct pm_machine *machine);

/* Whether the job is failing. A failing job is retried with one task at a time and increasing
 * delays, and no tasks are preempted and no machines rented for it. */
bool pm_failures_is_job_failing(const struct pm_job *job);
/* Whether the retry delay of a failing job has passed, so that one of its tasks may start. */
bool pm_failures_may_retry(const struct pm_job *job, double now);
/* Whether the machine is faulty and has to be replaced. */
bool pm_failures_is_machine_faulty(const struct pm_machine *machine);
/* Returns the number of failures that are attributed to the machine. */
unsigned pm_failures_machine_score(const struct pm_machine *machine);
/* Whether a task of the job has failed on the machine since a task of the job last succeeded. */
bool pm_failures_has_failed_on(const struct pm_job *job, const struct pm_machine *machine);

#endif
