/* What workers were told and did, and what users heard, checked by rule as it happens.
 *
 * Rules: no attempt starts twice, and no task while it is on another machine; no accepted job is
 * abandoned, none is called done early, no answer goes back; no task of a job runs on after its
 * cancellation was confirmed and had its time; nobody launches under a token but the controller
 * that raised it, or one that holds a block; no team uses more than its limit, no task starts in a
 * zone that its job does not allow, and nobody is told of a job that was never submitted. */
#ifndef PM_TESTING_HISTORY_H
#define PM_TESTING_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

struct history;

/* A job as its user submitted it. */
struct history_job {
    const char *team;
    double cpus, accelerators; /* of each task */
    int zone;                  /* the only allowed one, -1: any */
};

struct history *history_new(double cancel_s);
void history_free(struct history *history);
/* A team's tasks may use that many processors, and accelerators (0: any number), at once. */
void history_add_team(struct history *history, const char *name, double cpus_max,
                      double accelerators_max);
/* Jobs that this was not called for count for no team, and may run in any zone. */
void history_job_submitted(struct history *history, const char *id, struct history_job job);
void history_add_machine(struct history *history, const char *machine, int zone);
/* A user asked for a job that nobody submitted, and was told of one. */
void history_unknown_job_reported(struct history *history, const char *id);
/* A controller raised the epoch to this. */
void history_epoch_advanced(struct history *history, uint64_t epoch, const char *controller);
/* A controller was given a block. */
void history_shard_assigned(struct history *history, const char *controller);
void history_launch_received(struct history *history, uint64_t token, const char *controller);
void history_task_started(struct history *history, const char *machine, const char *task,
                          unsigned attempt, double now);
/* The task is on the machine no more. */
void history_task_ended(struct history *history, const char *machine, const char *task, bool done);
/* What a user heard of a job, as a status of the protocol: "queued" to "cancelled". */
void history_status_reported(struct history *history, const char *id, unsigned tasks,
                             const char *status, double now);
/* To be called from time to time: what may not be on a machine any more. */
void history_check_cancellations(struct history *history, double now);
/* Jobs accepted, but neither done nor cancelled, as users heard. */
unsigned history_open_job_count(const struct history *history);
/* Counts the open jobs as abandoned. */
void history_close(struct history *history);
unsigned history_start_count(const struct history *history);
/* One line for each broken rule, "" if there is none. */
const char *history_violations(const struct history *history);

#endif
