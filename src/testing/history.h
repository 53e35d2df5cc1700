/* The history of a test run: the commands that workers received, what the workers did, and the
 * answers that users got. Each event is checked against the safety rules when it is recorded.
 *
 * The rules:
 * - No attempt starts twice. No task starts while it is still on another machine.
 * - Every accepted job ends as done or cancelled, and is not reported as done before all its tasks
 *   have completed. No answer contradicts an earlier final status.
 * - Once the cancel limit has passed after a job was first reported as cancelled, none of its tasks
 *   starts or is still on a machine.
 * - A launch carries a fencing token whose epoch the sending controller wrote, or its sender has
 *   been assigned a shard.
 * - No team uses more than its quota. No task starts on a type, in a zone or on a kind of machine
 *   that its job does not allow, given the job's other tasks at that moment.
 * - No controller reports a job that was never submitted.
 * - No controller's process ends by itself.
 *
 * The fake provider and the simulated users (fake_provider.h, cluster.h) record the events in the
 * thread that runs the event loop; there is no lock. All strings are copied. Times are monotonic
 * seconds. */
#ifndef PM_TESTING_HISTORY_H
#define PM_TESTING_HISTORY_H

#include "base/fencing.h"

#include <stdbool.h>
#include <stdint.h>

struct history;

/* A job as its user submitted it. */
struct history_job {
    const char *team;
    double cpus, accelerators; /* of each task */
    int zone;                  /* the only allowed zone; -1: any zone */
    const char *machine_type;  /* the only allowed type; NULL: any type */
    bool ordinary_only;        /* not allowed on spot machines */
    bool same_zone;            /* all tasks have to be in one zone */
    unsigned zone_tasks_max;   /* at most this many tasks in one zone; 0: any number */
};

/* Creates an empty history, owned by the caller. `cancel_limit_s` is the time within which all
 * tasks of a job must have ended after the job is first reported as cancelled. */
struct history *history_new(double cancel_limit_s);
/* Frees the history. */
void history_free(struct history *history);

/* ---- teams, machines and jobs ---- */

/* Records a team's quota: the CPUs and accelerators that its tasks may use at the same time. With
 * `accelerators_max` 0, accelerators are not limited. */
void history_add_team(struct history *history, const char *name, double cpus_max,
                      double accelerators_max);
/* Records a machine's zone. */
void history_add_machine(struct history *history, const char *machine, int zone);
/* Records the type of a machine, and whether it is a spot machine. A machine that was not described
 * has any type and is ordinary. */
void history_describe_machine(struct history *history, const char *machine, const char *type,
                              bool is_spot);
/* Records a submitted job. A job that was not recorded counts towards no quota and may run in any
 * zone. */
void history_job_submitted(struct history *history, const char *id, struct history_job job);

/* ---- events of controllers ---- */

/* Records that a controller wrote the epoch that owns these fencing tokens. */
void history_epoch_advanced(struct history *history, struct pm_fencing_range tokens,
                            const char *controller);
/* Records that a controller was assigned a shard. */
void history_shard_assigned(struct history *history, const char *controller);
/* Records that a controller's process has ended although nobody ended it, which is a violation.
 * `cause` is its exit status or the signal that ended it. */
void history_controller_ended(struct history *history, const char *controller, const char *cause);
/* Records that a worker received a launch command from a controller. The fencing token
 * belongs to the epoch in which the command was sent. */
void history_launch_received(struct history *history, uint64_t fencing_token,
                             const char *controller);

/* ---- events of workers ---- */

/* Records that a worker started an attempt of a task. */
void history_task_started(struct history *history, const char *machine, const char *task,
                          unsigned attempt, double now);
/* Records that a task ended on a machine; `done` if it completed. */
void history_task_ended(struct history *history, const char *machine, const char *task, bool done);

/* ---- answers to users ---- */

/* Records the status that a controller reported to a user for a job with `tasks` tasks. `status` is
 * a status of the API, such as "queued" or "cancelled", or "unknown" if the controller answered
 * 404. */
void history_status_reported(struct history *history, const char *id, unsigned tasks,
                             const char *status, double now);
/* Records that a controller answered a request for a job that nobody submitted as if it existed. */
void history_unknown_job_reported(struct history *history, const char *id);

/* ---- checks ---- */

/* Checks for tasks that are still on a machine although the cancel limit has passed. Called at
 * short intervals. */
void history_check_cancellations(struct history *history, double now);
/* Reports a violation if jobs are still open (see history_open_job_count). Called once, at the end
 * of a run. */
void history_report_open_jobs(struct history *history);
/* The number of accepted jobs that no answer has reported as done or cancelled. */
unsigned history_open_job_count(const struct history *history);
/* The number of attempts that workers have started. */
unsigned history_start_count(const struct history *history);
/* One line for each violation, "" if there is none. Valid until the next call that records an event
 * or checks. */
const char *history_violations(const struct history *history);

#endif
