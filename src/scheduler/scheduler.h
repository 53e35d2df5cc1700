/* The scheduler: decides which task runs on which machine, and what is preempted for it.
 *
 * A plan ranks the waiting jobs by their teams' ratio of occupied to budgeted time, places tasks
 * where they fit within quota, and preempts where the rules allow it. The leader plans over the
 * whole fleet; a shard's owner plans over the machines and jobs of its shard.
 *
 * Owns the occupancy ledgers, the quota usage and the unmet demand of the last plan; placements and
 * machines belong to the workers slice. Called by the planner thread for a plan, and by the
 * event-loop thread for everything else, always with the controller's lock. No I/O, and the time is
 * an argument, so that a recorded trace replays identically. The stored ledger (key "p/ledger") is
 * read and written by the caller; its value is encoded and decoded here. */
#ifndef PM_SCHEDULER_SCHEDULER_H
#define PM_SCHEDULER_SCHEDULER_H

#include "workers/workers.h"

struct pm_scheduler;

/* ---- Life cycle and settings ---- */

/* Makes a scheduler; pm_scheduler_free() frees it. All arguments are borrowed, and must outlive it.
 * Never NULL. */
struct pm_scheduler *pm_scheduler_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                      struct pm_workers *workers,
                                      const struct pm_operator_settings *operator_settings);
/* Frees the scheduler, and nothing that it borrowed. */
void pm_scheduler_free(struct pm_scheduler *scheduler);
/* Forgets what belongs to one term as leader: the unmet demand, and the time up to which occupied
 * time has been charged. */
void pm_scheduler_reset(struct pm_scheduler *scheduler);
/* Sets how many processors on ordinary machines are kept free for services. */
void pm_scheduler_set_reserve(struct pm_scheduler *scheduler, double cpus);
/* Sets whether this controller sees the usage of all teams. A shard's owner does not, and leaves
 * preemption for guarantees to the leader. */
void pm_scheduler_set_full_view(struct pm_scheduler *scheduler, bool has_full_view);
/* Sets whether placements can be written now. While they cannot, nothing is preempted or moved,
 * since its successor could not be started. */
void pm_scheduler_set_writable(struct pm_scheduler *scheduler, bool is_writable);

/* ---- Plans ---- */

/* Runs a whole plan: pm_scheduler_begin(), pm_scheduler_place() and pm_scheduler_preempt(). `now`:
 * monotonic seconds; `wall`: time of day in seconds. Returns how many placements were made or
 * stopped. */
int pm_scheduler_run(struct pm_scheduler *scheduler, double now, double wall);
/* First step of a plan: charges occupied time, counts usage, and stops what must not run on. */
void pm_scheduler_begin(struct pm_scheduler *scheduler, double now, double wall);
/* Second step: places waiting tasks in rank order, and records the demand that stays unmet. Returns
 * how many placements were made or stopped since the plan began. */
int pm_scheduler_place(struct pm_scheduler *scheduler, double now);
/* Third step: preempts work for the unmet demand. Demand of delegated jobs is skipped: the leader
 * revokes machines for it. */
void pm_scheduler_preempt(struct pm_scheduler *scheduler, double now);
/* Stops a placement with its grace period, unless it is stopping already or has ended. */
void pm_scheduler_preempt_placement(struct pm_placement *placement);

/* A job that waits for capacity. */
struct pm_unmet_demand {
    struct pm_job *job; /* borrowed from the jobs slice */
    uint32_t tasks;     /* that wait for capacity, within the team's quota */
};
/* The unmet demand of the last plan: struct pm_unmet_demand in rank order. Borrowed until the next
 * plan or reset. */
const GArray *pm_scheduler_unmet_demand(const struct pm_scheduler *scheduler);
/* Adds to the unmet demand of the last plan. */
void pm_scheduler_add_unmet_demand(struct pm_scheduler *scheduler, struct pm_job *job,
                                   uint32_t tasks);
/* Sorts an array of struct pm_job, all with a spec, into the order in which they are placed. */
void pm_scheduler_rank(struct pm_scheduler *scheduler, GPtrArray *jobs);

/* ---- Quota and occupied time ---- */

/* Checks quota once more before placements are written: proposed placements that would take a team
 * over its quota, by what is known by now, are withdrawn and logged as an error. */
void pm_scheduler_recheck_quota(struct pm_scheduler *scheduler, double now);
/* How often a team was seen over its quota, or a start was withdrawn, since the scheduler was made.
 */
uint64_t pm_scheduler_quota_violations(const struct pm_scheduler *scheduler);
/* Logs the usage, by its parts, of each team that is near its quota. */
void pm_scheduler_log_quota_usage(const struct pm_scheduler *scheduler);
/* The team's occupied machine-seconds within the window, over its share of all budgets. `team`: an
 * index into the settings' teams. */
double pm_scheduler_usage_ratio(struct pm_scheduler *scheduler, int team);
/* How long a task of the job probably runs from start to end, in seconds: its owner's estimate,
 * corrected by its class's measured times, averaged with the job's own. */
double pm_scheduler_estimate_run_s(const struct pm_scheduler *scheduler, const struct pm_job *job);
/* Notes that a task of the job ran for so many seconds from start to end. */
void pm_scheduler_record_run_time(struct pm_scheduler *scheduler, struct pm_job *job,
                                  double seconds);

/* ---- Leasing jobs and machines to shards ---- */

/* How many such tasks fit below their team's quota, less the share `kept_share` (0 to 1) of it. */
uint32_t pm_scheduler_leasable_tasks(const struct pm_scheduler *scheduler,
                                     const struct pm_spec *spec, double kept_share);
/* Counts so many tasks as leased, until usage is counted again. */
void pm_scheduler_charge_lease(struct pm_scheduler *scheduler, const struct pm_spec *spec,
                               uint32_t tasks);
/* How many more of the job's tasks are within its team's guarantee; counts those as used. */
uint32_t pm_scheduler_tasks_within_guarantee(struct pm_scheduler *scheduler,
                                             const struct pm_job *job);
/* The usable machines that run nothing and are proven to be drained under this epoch. The array is
 * the scheduler's own, and stays as it is until the next call. */
GPtrArray *pm_scheduler_find_idle_machines(struct pm_scheduler *scheduler, uint64_t epoch,
                                           double now);
/* Whether one of the idle machines may be leased for the job, with the services' reserve kept. */
bool pm_scheduler_is_machine_leasable(struct pm_scheduler *scheduler,
                                      const struct pm_machine *machine, const struct pm_job *job,
                                      double now);
/* The idle machine that is best to lease for so many tasks of the job, and counts its processors as
 * leased; NULL: none may be. */
struct pm_machine *pm_scheduler_pick_idle_machine(struct pm_scheduler *scheduler,
                                                  const struct pm_job *job, uint32_t tasks,
                                                  double now);
/* Whether a delegated machine may be revoked for the job: all that the replica knows to run there
 * is beyond the guarantee of its team, which is another one. Counts that as stopping. `machine`: an
 * index of the workers slice. */
bool pm_scheduler_may_preempt_machine(struct pm_scheduler *scheduler, const struct pm_job *job,
                                      int machine);

/* ---- For the autoscaler ---- */

/* Whether the job's constraints allow its tasks on such a machine, whatever is free there. */
bool pm_scheduler_is_machine_allowed(const struct pm_name_tables *tables, const struct pm_job *job,
                                     int type, int zone, bool spot);
/* Whether a booting machine is within the time in which most of its type come up. */
bool pm_scheduler_is_boot_expected(const struct pm_name_tables *tables,
                                   const struct pm_machine *machine, double now);
/* Processors on usable ordinary machines that services could have at once: free or preemptible. */
double pm_scheduler_headroom_cpus(struct pm_scheduler *scheduler, double now);
/* Processors that services occupy on the ordinary machine where they occupy most. */
double pm_scheduler_largest_service_cpus(struct pm_scheduler *scheduler, double now);
/* Processors that array work has or could have, including machines that will have booted soon. */
double pm_scheduler_batch_capacity_cpus(struct pm_scheduler *scheduler, double now);
/* Drains ordinary machines whose services fit elsewhere, so that the autoscaler can terminate them;
 * where there are none, moves a replica off the machine with most. */
void pm_scheduler_consolidate(struct pm_scheduler *scheduler, double now);

/* ---- The stored ledger (ledger_codec.c) ---- */

/* Appends the ledger's value to `out`: occupied time, heartbeats, failing jobs and cached images.
 */
void pm_scheduler_encode_ledger(const struct pm_scheduler *scheduler, double now, double wall,
                                struct pm_buffer *out);
/* Takes over the teams' occupied time from a stored value. One without a time is ignored; a team
 * that it does not name starts at zero. */
void pm_scheduler_decode_ledger(struct pm_scheduler *scheduler, const cbor_item_t *value);
/* Takes over which machine caches which image, for machines that have not reported yet. Malformed
 * entries are skipped. */
void pm_scheduler_decode_cached_images(struct pm_scheduler *scheduler, const cbor_item_t *value);
/* Takes over which live jobs the previous leader found failing. Malformed entries are skipped. */
void pm_scheduler_decode_failing_jobs(struct pm_scheduler *scheduler, const cbor_item_t *value,
                                      double now);

#endif
