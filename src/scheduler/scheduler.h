/* Decides what runs where: the ratio ledger, ranking, fit, preemption, gangs. No I/O; the time is
 * an argument, so that a kept trace replays identically. */
#ifndef PM_SCHEDULER_SCHEDULER_H
#define PM_SCHEDULER_SCHEDULER_H

#include "workers/workers.h"

struct pm_scheduler;

struct pm_scheduler *pm_scheduler_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                      struct pm_workers *workers,
                                      const struct pm_operator_settings *op);
void pm_scheduler_free(struct pm_scheduler *plan);
void pm_scheduler_reset(struct pm_scheduler *plan);
/* Places what fits and stops what must yield. Returns how many places were made or stopped. */
int pm_scheduler_run(struct pm_scheduler *plan, double now, double day);
/* The same in two steps: the accounts and what must be stopped first; then what is placed. */
void pm_scheduler_begin(struct pm_scheduler *plan, double now, double day);
int pm_scheduler_place(struct pm_scheduler *plan, double now);
/* To be called before placements are written: starts that would take a team over its limit, by what
 * is known by now, are withdrawn and told of as an error. */
void pm_scheduler_recheck_quota(struct pm_scheduler *plan, double now);
/* How often a limit was seen broken, or a start was refused at the last moment. */
uint64_t pm_scheduler_quota_violations(const struct pm_scheduler *plan);
/* Logs the use of the teams that are near their limits, by its parts. */
void pm_scheduler_log_quota_usage(const struct pm_scheduler *plan);
/* Stops what must yield to the wants that are not away. */
void pm_scheduler_preempt(struct pm_scheduler *plan, double now);
/* For the leasing of blocks: how many such tasks fit below the team's limits, less the share `kept`
 * of them; and counting some as leased. */
uint32_t pm_scheduler_leasable_tasks(const struct pm_scheduler *plan, const struct pm_spec *spec,
                                     double kept);
void pm_scheduler_charge_lease(struct pm_scheduler *plan, const struct pm_spec *spec,
                               uint32_t tasks);
/* How many more of the job's tasks are within its team's guarantee; counts those as used. */
uint32_t pm_scheduler_tasks_within_guarantee(struct pm_scheduler *plan, const struct pm_job *job);
void pm_scheduler_rank(struct pm_scheduler *plan, GPtrArray *jobs);
void pm_scheduler_add_unmet_demand(struct pm_scheduler *plan, struct pm_job *job, uint32_t tasks);
/* The machines that are empty, with nothing to them under way: kept until the next call or run. */
GPtrArray *pm_scheduler_find_idle_machines(struct pm_scheduler *plan, uint64_t epoch, double now);
/* Whether one of those may be leased out whole for the job. */
bool pm_scheduler_is_machine_leasable(struct pm_scheduler *plan, const struct pm_machine *machine,
                                      const struct pm_job *job, double now);
/* The best of them to lease out for the job, NULL: none. */
struct pm_machine *pm_scheduler_pick_idle_machine(struct pm_scheduler *plan,
                                                  const struct pm_job *job, uint32_t tasks,
                                                  double now);
/* Whether all that the replica says runs on a lent machine is beyond its team's guarantee. */
bool pm_scheduler_may_preempt_machine(struct pm_scheduler *plan, const struct pm_job *job,
                                      int machine);
/* Stops a place in an orderly way. */
void pm_scheduler_preempt_placement(struct pm_placement *place);
/* Occupied time of a team within the window, in machine-seconds, and its ratio to its budget. */
double pm_scheduler_usage_ratio(struct pm_scheduler *plan, int team);

/* Jobs with waiting tasks in the order of the last run; for the fleet's sizing. */
struct pm_unmet_demand {
    struct pm_job *job;
    uint32_t tasks; /* that wait for room, within the team's limit */
};
const GArray *pm_scheduler_unmet_demand(const struct pm_scheduler *plan);
/* Whether a task of the job may run on such a machine, room aside. */
bool pm_scheduler_is_machine_allowed(const struct pm_name_tables *tables, const struct pm_job *job,
                                     int type, int zone, bool spot);
/* How much of its run a task probably has left, from the class's measured times. */
double pm_scheduler_estimate_remaining_s(const struct pm_scheduler *plan, const struct pm_job *job);
/* A task was seen to run for that long from start to end. */
void pm_scheduler_record_run_time(struct pm_scheduler *plan, struct pm_job *job, double seconds);
/* Room on ordinary machines that is kept for services, in processors (the fleet sets it). */
void pm_scheduler_set_reserve(struct pm_scheduler *plan, double cpus);

/* Whether this controller sees all of the teams' use: a holder of a block does not, and leaves what
 * the guarantees demand to the leader. */
void pm_scheduler_set_full_view(struct pm_scheduler *plan, bool sees_all);

/* Empties an ordinary machine that does little, by moving its replicas; the fleet returns it. */
void pm_scheduler_consolidate(struct pm_scheduler *plan, double now);
/* Whether a booting machine is to be counted on: most are up by then. */
bool pm_scheduler_boots_soon(const struct pm_name_tables *tables, const struct pm_machine *machine,
                             double now);
/* Processors on the ordinary machines that services could have at once. */
double pm_scheduler_headroom_cpus(struct pm_scheduler *plan, double now);

/* Whether placements can be written now. While they can't, nothing is stopped in order to run it,
 * or something else, elsewhere. */
void pm_scheduler_set_writable(struct pm_scheduler *plan, bool writable);

/* Processors of the services on the ordinary machine that runs most of them. */
double pm_scheduler_largest_service_cpus(struct pm_scheduler *plan, double now);
/* Processors that array work has, or will have once they have booted. */
double pm_scheduler_batch_capacity_cpus(struct pm_scheduler *plan, double now);

/* The ledger's value for the state service, and back; with it goes which machine holds which image,
 * so that a new leader need not guess. */
void pm_scheduler_encode_ledger(const struct pm_scheduler *plan, double now, double day,
                                struct pm_buf *out);
void pm_scheduler_decode_cached_images(struct pm_scheduler *plan, const cbor_item_t *value);
/* Which jobs the leader before found failing. */
void pm_scheduler_decode_failing_jobs(struct pm_scheduler *plan, const cbor_item_t *value,
                                      double now);
void pm_scheduler_decode_ledger(struct pm_scheduler *plan, const cbor_item_t *value);

#endif
