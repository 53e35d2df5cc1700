/* The history of a run: what workers were commanded and did, and what users were answered, checked
 * against the safety rules as it is recorded.
 *
 * Rules: no attempt starts twice, and no task while it is on another machine; no accepted job is
 * abandoned, none is called done early, no answer contradicts an earlier final one; no task of a
 * job runs on once its cancellation was confirmed and the limit has passed; nobody launches under a
 * fencing token but the controller that wrote that epoch, or one that owns a shard; no team uses
 * more than its quota, no task starts in a zone that its job does not allow, and no user is
 * answered about a job that was never submitted.
 *
 * Written by the stand-ins and the users (fake_provider.h, cluster.h), in the thread that runs the
 * event loop; there is no lock. All texts are copied. Times are monotonic seconds. */
#ifndef PM_TESTING_HISTORY_H
#define PM_TESTING_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

struct history;

/* A job as its user submitted it. */
struct history_job {
    const char *team;
    double cpus, accelerators; /* of each task */
    int zone;                  /* the only allowed one; -1: any */
};

/* An empty history; the caller owns it. A cancelled job's tasks have ended everywhere within
 * `cancel_limit_s`. */
struct history *history_new(double cancel_limit_s);
/* Frees the history. */
void history_free(struct history *history);

/* ---- what is known beforehand ---- */

/* A team's tasks may use that many processors, and accelerators (0: any number), at once. */
void history_add_team(struct history *history, const char *name, double cpus_max,
                      double accelerators_max);
/* Records the zone of a machine. */
void history_add_machine(struct history *history, const char *machine, int zone);
/* Records what a job may use. One without this counts for no team, and may run in any zone. */
void history_job_submitted(struct history *history, const char *id, struct history_job job);

/* ---- what the controllers do ---- */

/* A controller wrote this epoch. */
void history_epoch_advanced(struct history *history, uint64_t epoch, const char *controller);
/* A controller was assigned a shard. */
void history_shard_assigned(struct history *history, const char *controller);
/* A worker received the command to launch a task, under this fencing token. */
void history_launch_received(struct history *history, uint64_t token, const char *controller);

/* ---- what the workers do ---- */

/* A worker started an attempt of a task. */
void history_task_started(struct history *history, const char *machine, const char *task,
                          unsigned attempt, double now);
/* The task is on the machine no more; `done`: it completed. */
void history_task_ended(struct history *history, const char *machine, const char *task, bool done);

/* ---- what the users are answered ---- */

/* A user was answered about a job: a status of the protocol, "queued" to "cancelled". */
void history_status_reported(struct history *history, const char *id, unsigned tasks,
                             const char *status, double now);
/* A user asked for a job that nobody submitted, and was answered with one. */
void history_unknown_job_reported(struct history *history, const char *id);

/* ---- checks ---- */

/* Checks which tasks may not be on a machine any more; called at short intervals. */
void history_check_cancellations(struct history *history, double now);
/* Records the open jobs as abandoned; called at the end of a run. */
void history_close(struct history *history);
/* How many accepted jobs are neither done nor cancelled, as far as users were answered. */
unsigned history_open_job_count(const struct history *history);
/* How many attempts were started. */
unsigned history_start_count(const struct history *history);
/* One line for each broken rule, "" if there is none; borrowed until the next call. */
const char *history_violations(const struct history *history);

#endif
