/* Decides what runs where: the ratio ledger, ranking, fit, preemption, gangs. No I/O; the time is
 * an argument, so that a kept trace replays identically. */
#ifndef PM_PLACEMENT_PLAN_H
#define PM_PLACEMENT_PLAN_H

#include "workers/workers.h"

struct pm_plan;

struct pm_plan *pm_plan_new(struct pm_books *books, struct pm_jobs *jobs,
                            struct pm_workers *workers, const struct pm_operator *op);
void pm_plan_free(struct pm_plan *plan);
void pm_plan_reset(struct pm_plan *plan);
/* Places what fits and stops what must yield. Returns how many places were made or stopped. */
int pm_plan_run(struct pm_plan *plan, double now, double day);
/* What the team uses, counting all that is not proven gone. */
void pm_plan_usage(struct pm_plan *plan, int team, double *cpus, double *gpus);
/* Occupied time of a team within the window, in machine-seconds, and its ratio to its budget. */
double pm_plan_ratio(struct pm_plan *plan, int team);

/* Jobs with waiting tasks in the order of the last run; for the fleet's sizing. */
struct pm_want {
    struct pm_job *job;
    uint32_t tasks; /* that wait for room, within the team's limit */
};
const GArray *pm_plan_wants(const struct pm_plan *plan);
/* Whether a task of the job may run on such a machine, room aside. */
bool pm_plan_allows(const struct pm_books *books, const struct pm_job *job, int type, int zone,
                    bool spot);
/* How much of its run a task probably has left, from the class's measured times. */
double pm_plan_expected(const struct pm_plan *plan, const struct pm_job *job);
/* A task was seen to run for that long from start to end. */
void pm_plan_learn(struct pm_plan *plan, const struct pm_job *job, double seconds);
/* Room on ordinary machines that is kept for services, in processors (the fleet sets it). */
void pm_plan_set_reserve(struct pm_plan *plan, double cpus);

/* The ledger's value for the state service, and back. */
void pm_plan_write_ledger(const struct pm_plan *plan, double day, struct pm_buf *out);
void pm_plan_read_ledger(struct pm_plan *plan, const cbor_item_t *value);

#endif
