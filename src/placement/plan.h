/* Decides what runs where: the ratio ledger, ranking, fit, preemption, gangs. No I/O; the time is
 * an argument, so that a kept trace replays identically. */
#ifndef PM_PLACEMENT_PLAN_H
#define PM_PLACEMENT_PLAN_H

#include "workers/workers.h"

struct pm_plan;

struct pm_plan *pm_plan_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                            struct pm_workers *workers, const struct pm_operator *op);
void pm_plan_free(struct pm_plan *plan);
void pm_plan_reset(struct pm_plan *plan);
/* Places what fits and stops what must yield. Returns how many places were made or stopped. */
int pm_plan_run(struct pm_plan *plan, double now, double day);
/* The same in two steps: the accounts and what must be stopped first; then what is placed. */
void pm_plan_begin(struct pm_plan *plan, double now, double day);
int pm_plan_place(struct pm_plan *plan, double now);
/* To be called before placements are written: starts that would take a team over its limit, by what
 * is known by now, are withdrawn and told of as an error. */
void pm_plan_check_starts(struct pm_plan *plan, double now);
/* How often a limit was seen broken, or a start was refused at the last moment. */
uint64_t pm_plan_violations(const struct pm_plan *plan);
/* Logs the use of the teams that are near their limits, by its parts. */
void pm_plan_tell_use(const struct pm_plan *plan);
/* Stops what must yield to the wants that are not away. */
void pm_plan_preempt(struct pm_plan *plan, double now);
/* For the leasing of blocks: how many such tasks fit below the team's limits, less the share `kept`
 * of them; and counting some as leased. */
uint32_t pm_plan_lease_tasks(const struct pm_plan *plan, const struct pm_spec *spec, double kept);
void pm_plan_lease(struct pm_plan *plan, const struct pm_spec *spec, uint32_t tasks);
/* How many more of the job's tasks are within its team's guarantee; counts those as used. */
uint32_t pm_plan_within_guarantee(struct pm_plan *plan, const struct pm_job *job);
void pm_plan_rank(struct pm_plan *plan, GPtrArray *jobs);
void pm_plan_add_want(struct pm_plan *plan, struct pm_job *job, uint32_t tasks);
/* The machines that are empty, with nothing to them under way: kept until the next call or run. */
GPtrArray *pm_plan_find_whole(struct pm_plan *plan, uint64_t epoch, double now);
/* Whether one of those may be leased out whole for the job. */
bool pm_plan_whole(struct pm_plan *plan, const struct pm_machine *machine, const struct pm_job *job,
                   double now);
/* The best of them to lease out for the job, NULL: none. */
struct pm_machine *pm_plan_whole_machine(struct pm_plan *plan, const struct pm_job *job,
                                         uint32_t tasks, double now);
/* Whether all that the replica says runs on a lent machine is beyond its team's guarantee. */
bool pm_plan_may_clear(struct pm_plan *plan, const struct pm_job *job, int machine);
/* Stops a place in an orderly way. */
void pm_plan_yield(struct pm_place *place);
/* Occupied time of a team within the window, in machine-seconds, and its ratio to its budget. */
double pm_plan_ratio(struct pm_plan *plan, int team);

/* Jobs with waiting tasks in the order of the last run; for the fleet's sizing. */
struct pm_want {
    struct pm_job *job;
    uint32_t tasks; /* that wait for room, within the team's limit */
};
const GArray *pm_plan_wants(const struct pm_plan *plan);
/* Whether a task of the job may run on such a machine, room aside. */
bool pm_plan_allows(const struct pm_name_tables *tables, const struct pm_job *job, int type,
                    int zone, bool spot);
/* How much of its run a task probably has left, from the class's measured times. */
double pm_plan_expected(const struct pm_plan *plan, const struct pm_job *job);
/* A task was seen to run for that long from start to end. */
void pm_plan_learn(struct pm_plan *plan, struct pm_job *job, double seconds);
/* Room on ordinary machines that is kept for services, in processors (the fleet sets it). */
void pm_plan_set_reserve(struct pm_plan *plan, double cpus);

/* Whether this controller sees all of the teams' use: a holder of a block does not, and leaves what
 * the guarantees demand to the leader. */
void pm_plan_set_sees_all(struct pm_plan *plan, bool sees_all);

/* Empties an ordinary machine that does little, by moving its replicas; the fleet returns it. */
void pm_plan_consolidate(struct pm_plan *plan, double now);
/* Whether a booting machine is to be counted on: most are up by then. */
bool pm_plan_boots_soon(const struct pm_name_tables *tables, const struct pm_machine *machine,
                        double now);
/* Processors on the ordinary machines that services could have at once. */
double pm_plan_spare(struct pm_plan *plan, double now);

/* Whether placements can be written now. While they can't, nothing is stopped in order to run it,
 * or something else, elsewhere. */
void pm_plan_set_writable(struct pm_plan *plan, bool writable);

/* Processors of the services on the ordinary machine that runs most of them. */
double pm_plan_largest(struct pm_plan *plan, double now);
/* Processors that array work has, or will have once they have booted. */
double pm_plan_pool(struct pm_plan *plan, double now);

/* The ledger's value for the state service, and back; with it goes which machine holds which image,
 * so that a new leader need not guess. */
void pm_plan_write_ledger(const struct pm_plan *plan, double now, double day, struct pm_buf *out);
void pm_plan_read_images(struct pm_plan *plan, const cbor_item_t *value);
/* Which jobs the leader before found failing. */
void pm_plan_read_failing(struct pm_plan *plan, const cbor_item_t *value, double now);
void pm_plan_read_ledger(struct pm_plan *plan, const cbor_item_t *value);

#endif
