/* The scheduler decides which task runs on which machine, and which tasks are preempted for it.
 *
 * A plan ranks the waiting jobs by their teams' ratio of occupied to budgeted time, places tasks
 * where they fit within quota, and preempts where the rules allow it. The leader plans over the
 * whole fleet; a shard's owner plans over the machines and jobs of its shard.
 *
 * Owns the occupancy ledgers, the quota usage and the unmet demand of the last plan; placements and
 * machines belong to the workers slice. Called by the planner thread for a plan, and by the
 * event-loop thread for everything else, always with the controller's lock held. Does no I/O and
 * takes the time as an argument, so that a recorded trace replays identically. The caller reads and
 * writes the stored ledger (key "p/ledger"); its value is encoded and decoded here. */
#ifndef PM_SCHEDULER_SCHEDULER_H
#define PM_SCHEDULER_SCHEDULER_H

#include "workers/workers.h"

struct pm_scheduler;

/* ---- Lifecycle and settings ---- */

/* Creates a scheduler, to be freed with pm_scheduler_free(). The arguments are borrowed and must
 * outlive the scheduler. Never returns NULL. */
struct pm_scheduler *pm_scheduler_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                      struct pm_workers *workers,
                                      const struct pm_operator_settings *operator_settings);
/* Frees the scheduler, but none of the objects that it borrowed. */
void pm_scheduler_free(struct pm_scheduler *scheduler);
/* Clears the state of one term as leader: the unmet demand, and the time up to which occupancy has
 * been charged. */
void pm_scheduler_reset(struct pm_scheduler *scheduler);
/* Sets how many processors on ordinary (not spot) machines are kept free for services. */
void pm_scheduler_set_reserve(struct pm_scheduler *scheduler, double cpus);
/* Sets whether this controller sees the usage of all teams. A shard's owner does not, and leaves
 * preemption for guarantees to the leader. */
void pm_scheduler_set_sees_all_teams(struct pm_scheduler *scheduler, bool sees_all_teams);
/* Sets whether placements can be written to the store now. While they cannot, nothing is preempted
 * or moved, because no replacement could be started. */
void pm_scheduler_set_writable(struct pm_scheduler *scheduler, bool is_writable);

/* ---- Plans ---- */

/* Runs a whole plan: pm_scheduler_begin_plan(), pm_scheduler_place() and pm_scheduler_preempt().
 * `now` is in monotonic seconds, `wall` is the time of day in seconds. Returns how many placements
 * were made or stopped. */
int pm_scheduler_run_plan(struct pm_scheduler *scheduler, double now, double wall);
/* First step of a plan: charges occupied time, counts usage, and stops tasks that must not
 * continue. */
void pm_scheduler_begin_plan(struct pm_scheduler *scheduler, double now, double wall);
/* Second step: places waiting tasks in rank order, and records the unmet demand. Returns
 * how many placements were made or stopped since the plan began. */
int pm_scheduler_place(struct pm_scheduler *scheduler, double now);
/* Third step: preempts work for the unmet demand. Skips the demand of delegated jobs, for which the
 * leader revokes machines. */
void pm_scheduler_preempt(struct pm_scheduler *scheduler, double now);
/* Stops a placement with its grace period, unless it is already stopping or has ended. */
void pm_scheduler_preempt_placement(struct pm_placement *placement);

/* A job that waits for capacity. */
struct pm_unmet_demand {
    struct pm_job *job; /* borrowed from the jobs slice */
    uint32_t tasks;     /* waiting for capacity, within the team's quota */
};
/* The unmet demand of the last plan, as struct pm_unmet_demand in rank order. Borrowed; valid until
 * the next plan or reset. */
const GArray *pm_scheduler_unmet_demand(const struct pm_scheduler *scheduler);
/* Adds to the unmet demand of the last plan. */
void pm_scheduler_add_unmet_demand(struct pm_scheduler *scheduler, struct pm_job *job,
                                   uint32_t tasks);
/* Sorts an array of struct pm_job, each with a spec, into placement order. */
void pm_scheduler_rank(struct pm_scheduler *scheduler, GPtrArray *jobs);

/* ---- Quota and occupied time ---- */

/* Checks quota again with the latest usage, before placements are written. Proposed placements that
 * would take a team over its quota are withdrawn and logged as an error. */
void pm_scheduler_recheck_quota(struct pm_scheduler *scheduler, double now);
/* How often a team was found over its quota, or proposed starts were withdrawn for quota, since the
 * scheduler was created. */
uint64_t pm_scheduler_quota_violations(const struct pm_scheduler *scheduler);
/* Logs the usage of each team that is near its quota: placed, leased and orphaned. */
void pm_scheduler_log_quota_usage(const struct pm_scheduler *scheduler);
/* The team's occupied machine-seconds within the window, divided by its share of all budgets.
 * `team` is an index into the settings' teams. */
double pm_scheduler_usage_ratio(struct pm_scheduler *scheduler, int team);
/* The estimated run time of one task of the job, from start to end, in seconds: the owner's
 * estimate, scaled by how far estimates of the job's class were off, and averaged with the run
 * times measured for the job itself. */
double pm_scheduler_estimate_run_s(const struct pm_scheduler *scheduler, const struct pm_job *job);
/* Records that a task of the job ran for `seconds` from start to end. */
void pm_scheduler_record_run_time(struct pm_scheduler *scheduler, struct pm_job *job,
                                  double seconds);

/* ---- Leasing jobs and machines to shards ---- */

/* How many tasks of this spec may still be leased within their team's quota. The share
 * `reserved_share` (0 to 1) of the quota is not available to leases. */
uint32_t pm_scheduler_leasable_tasks(const struct pm_scheduler *scheduler,
                                     const struct pm_spec *spec, double reserved_share);
/* Counts `tasks` more tasks as leased. Valid until the next recount, which counts the leases
 * themselves. */
void pm_scheduler_charge_lease(struct pm_scheduler *scheduler, const struct pm_spec *spec,
                               uint32_t tasks);
/* Returns how many more of the job's tasks are within its team's guarantee, and counts them as
 * used. */
uint32_t pm_scheduler_claim_guaranteed_tasks(struct pm_scheduler *scheduler,
                                             const struct pm_job *job);
/* Finds the usable machines that run nothing and are proven to be drained under the epoch with
 * these tokens. The scheduler owns the array, which is valid until the next call. */
GPtrArray *pm_scheduler_find_idle_machines(struct pm_scheduler *scheduler,
                                           struct pm_fencing_range tokens, double now);
/* Whether an idle machine may be leased for the job without using the reserve for services. */
bool pm_scheduler_is_machine_leasable(struct pm_scheduler *scheduler,
                                      const struct pm_machine *machine, const struct pm_job *job,
                                      double now);
/* Returns the best idle machine to lease for `tasks` tasks of the job, or NULL if none may be
 * leased. The processors of an ordinary machine are deducted from the headroom that leases may use.
 */
struct pm_machine *pm_scheduler_pick_idle_machine(struct pm_scheduler *scheduler,
                                                  const struct pm_job *job, uint32_t tasks,
                                                  double now);
/* Whether a delegated machine may be revoked for the job: according to the replica, every task
 * there has a priority below production and belongs to another team, which uses more than its
 * guarantee. Adds one task of each such job to the team's processors that are being stopped.
 * `machine` is an index of the workers slice. */
bool pm_scheduler_may_preempt_machine(struct pm_scheduler *scheduler, const struct pm_job *job,
                                      int machine);

/* ---- For the autoscaler ---- */

/* Whether the job's constraints allow its tasks on such a machine, regardless of free capacity. */
bool pm_scheduler_is_machine_allowed(const struct pm_name_tables *tables, const struct pm_job *job,
                                     int type, int zone, bool spot);
/* Whether a booting machine is still within the time in which most machines of its type boot. */
bool pm_scheduler_is_boot_expected(const struct pm_name_tables *tables,
                                   const struct pm_machine *machine, double now);
/* Processors on usable ordinary machines that services could use immediately: free or preemptible.
 */
double pm_scheduler_headroom_cpus(struct pm_scheduler *scheduler, double now);
/* How many processors production work occupies on the ordinary machine where it occupies most. */
double pm_scheduler_largest_service_cpus(struct pm_scheduler *scheduler, double now);
/* Processors that array jobs use or could use, including those of delegated machines and of
 * machines that are expected to boot soon. */
double pm_scheduler_batch_capacity_cpus(struct pm_scheduler *scheduler, double now);
/* Drains ordinary machines whose services fit elsewhere, so that the autoscaler can terminate them.
 * If there are none, moves one replica from a machine with many to one with much more capacity. */
void pm_scheduler_consolidate(struct pm_scheduler *scheduler, double now);

/* ---- The stored ledger (ledger_codec.c) ---- */

/* Appends the ledger's value to `out`: occupied time, heartbeats, failing jobs and cached images.
 */
void pm_scheduler_encode_ledger(const struct pm_scheduler *scheduler, double now, double wall,
                                struct pm_buffer *out);
/* Restores the teams' occupied time from a stored value. A value without a time is ignored; a team
 * that the value does not name starts at zero. */
void pm_scheduler_decode_ledger(struct pm_scheduler *scheduler, const cbor_item_t *value);
/* Restores which machine caches which image, for machines that have not reported yet. Malformed
 * entries are skipped. */
void pm_scheduler_decode_cached_images(struct pm_scheduler *scheduler, const cbor_item_t *value);
/* Restores which live jobs the previous leader found failing. Malformed entries are skipped. */
void pm_scheduler_decode_failing_jobs(struct pm_scheduler *scheduler, const cbor_item_t *value,
                                      double now);

#endif
