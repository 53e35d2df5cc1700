/* Tells faulty machines from broken jobs.
 *
 * A task that fails speaks against its machine and against its job alike. Over several jobs and
 * machines the two come apart: a job that fails wherever it runs, without any success between, is
 * broken, and what it failed on is not held against the machines; a machine on which several jobs
 * fail that do not fail elsewhere is faulty. Both are judged anew with each outcome, and one
 * success clears a job, or a machine, at once.
 *
 * Called by the thread that holds the node's lock. No I/O; the time is an argument. */
#ifndef PM_WORKERS_FAILURES_H
#define PM_WORKERS_FAILURES_H

#include "workers/workers.h"

/* Takes note of how the place's task ended. A task that failed, or was refused, rests. */
void pm_failures_note_exit(struct pm_placement *place, enum pm_task_exit end, double now);
/* The place's task is running. A replica that runs for a while has succeeded, as far as a service's
 * task ever does. */
void pm_failures_note_running(const struct pm_placement *place, double now);
/* Somebody else found the job failing: its holder, or the leader before. */
void pm_failures_report_job(struct pm_job *job, double now);
/* Its holder finds it failing no more. */
void pm_failures_clear_job(struct pm_job *job);
/* A holder of the machine found it faulty. */
void pm_failures_quarantine_machine(struct pm_machine *machine);

/* Whether the job keeps failing: it is then tried with one task at a time, more and more rarely,
 * and nothing is stopped or rented for it. */
bool pm_failures_is_job_failing(const struct pm_job *job);
/* Whether a failing job may be tried again. */
bool pm_failures_may_retry(const struct pm_job *job, double now);
/* Whether the machine is to be given up. */
bool pm_failures_is_machine_faulty(const struct pm_machine *machine);
/* How much speaks against the machine: 0, nothing. */
unsigned pm_failures_machine_score(const struct pm_machine *machine);
/* Whether a task of the job failed on the machine, and none succeeded anywhere since. */
bool pm_failures_has_failed_on(const struct pm_job *job, const struct pm_machine *machine);

#endif
