/* Failure attribution: tells faulty machines from failing jobs.
 *
 * A task that fails counts against its machine and against its job alike. Over several jobs and
 * machines the two come apart: a job that fails wherever it runs, without any success between, is
 * failing, and its failures do not count against the machines; a machine on which several jobs fail
 * that do not fail elsewhere is faulty, and is put in quarantine. Both are judged anew with each
 * exit, and one success clears a job, or a machine, at once.
 *
 * Called with the controller's lock held. No I/O; the time is an argument. The state is in
 * `pm_job.failures` and `pm_machine.failures`. */
#ifndef PM_WORKERS_FAILURES_H
#define PM_WORKERS_FAILURES_H

#include "workers/workers.h"

/* Notes how the placement's task exited. A task that failed, or whose launch was refused, backs
 * off. */
void pm_failures_note_exit(struct pm_placement *placement, enum pm_task_exit end, double now);
/* Notes that the placement's task is running. A replica that has run for a while has succeeded, as
 * far as a service's task ever does. */
void pm_failures_note_running(const struct pm_placement *placement, double now);
/* Another controller found the job failing: the owner of its shard, or the leader before. */
void pm_failures_report_job(struct pm_job *job, double now);
/* The owner of the job's shard no longer finds it failing. */
void pm_failures_clear_job(struct pm_job *job);
/* The owner of the machine's shard found it faulty. */
void pm_failures_quarantine_machine(struct pm_machine *machine);

/* Whether the job keeps failing: it is then tried with one task at a time, more and more rarely,
 * and nothing is preempted or rented for it. */
bool pm_failures_is_job_failing(const struct pm_job *job);
/* Whether a failing job may be tried again. */
bool pm_failures_may_retry(const struct pm_job *job, double now);
/* Whether the machine is faulty, and to be replaced. */
bool pm_failures_is_machine_faulty(const struct pm_machine *machine);
/* How much counts against the machine; 0: nothing. */
unsigned pm_failures_machine_score(const struct pm_machine *machine);
/* Whether a task of the job failed on the machine, and none has succeeded anywhere since. */
bool pm_failures_has_failed_on(const struct pm_job *job, const struct pm_machine *machine);

#endif
