/* Functions that the files of the scheduler slice share; no other slice includes this header. Each
 * group names the file that defines it. The scheduler's state is declared in state.h.
 *
 * A team's guarantee (struct pm_team_setting: cpus, gpus) is how much it may claim: while it uses
 * less, it may preempt work below production of teams that use more than their guarantee. A team's
 * quota (cpus_max, gpus_max) is the limit that it never exceeds.
 *
 * `now` is a monotonic time, `wall` a time of day, both in seconds. */
#ifndef PM_SCHEDULER_INTERNAL_H
#define PM_SCHEDULER_INTERNAL_H

#include "scheduler/state.h"
#include "workers/failures.h"

/* ---- requirements.c ---- */

/* How many of the job's tasks are in each zone. A task counts until it is proven to have ended. */
struct pm_zone_spread {
    uint32_t zone[PM_ZONES_MAX];
    uint32_t unknown; /* tasks on machines whose zone is not known yet; count in every zone */
    uint32_t total;
};

/* The properties of a task that decide where it may be placed. If no machine meets them for one
 * job, none does for another job with equal requirements. */
struct pm_requirements {
    uint64_t types; /* bit i: may run on type i */
    uint32_t zones; /* bit i: may start in zone i */
    int team;       /* whose guarantee allows preemption; -1 if no guarantee applies */
    enum pm_priority priority;
    bool spot;
    double cpus, gpus, ram_gb;
};

/* Counts the job's placements by zone; all zero for a job without zone constraints. */
void pm_scheduler_count_zones(const struct pm_job *job, struct pm_zone_spread *out);
/* Counts one more task in the machine's zone. */
void pm_scheduler_add_to_spread(struct pm_zone_spread *spread, const struct pm_machine *machine);
/* The requirements of the job's next task. `team` becomes the requirements' `team`. */
struct pm_requirements pm_scheduler_requirements(const struct pm_scheduler *scheduler,
                                                 const struct pm_job *job,
                                                 const struct pm_zone_spread *spread, int team);
/* Whether the current plan has already found that no machine meets these requirements. */
bool pm_scheduler_is_unschedulable(const struct pm_scheduler *scheduler,
                                   const struct pm_requirements *requirements);
/* Records that no machine meets these requirements for the rest of the plan. */
void pm_scheduler_mark_unschedulable(struct pm_scheduler *scheduler,
                                     const struct pm_requirements *requirements);

/* ---- bin_packing.c ---- */

/* Returns the best machine for the job's next task, or NULL if the task fits nowhere. `only_zone`
 * limits the search to one zone; -1 searches all zones that the job allows. */
struct pm_machine *pm_scheduler_best_machine(struct pm_scheduler *scheduler,
                                             const struct pm_job *job,
                                             const struct pm_zone_spread *spread, int only_zone,
                                             double now);
/* Whether this controller may start tasks on the machine: it is up, is known to exist, is neither
 * delegated nor draining nor about to be interrupted, has not failed too often, runs no orphan
 * tasks, receives our commands, and its heartbeats arrive on time. A machine that has missed a
 * heartbeat may be dead. */
bool pm_scheduler_is_machine_usable(const struct pm_scheduler *scheduler,
                                    const struct pm_machine *machine, double now);
/* Whether the job's zone constraints allow one more task in the zone. */
bool pm_scheduler_is_zone_allowed(const struct pm_job *job, const struct pm_zone_spread *spread,
                                  int zone);
/* Whether the machine has enough free capacity for a task. */
bool pm_scheduler_has_free_capacity(const struct pm_machine *machine, const struct pm_spec *spec);
/* Whether the machine caches the image. */
bool pm_scheduler_has_image(const struct pm_machine *machine, int image);
/* How many of the job's tasks are placed on the machine. */
uint32_t pm_scheduler_count_tasks_of(const struct pm_machine *machine, const struct pm_job *job);
/* Whether the machine is reserved for another gang, whose priority is not below the job's. */
bool pm_scheduler_is_reserved_for_other_gang(const struct pm_machine *machine,
                                             const struct pm_job *job, double now);
/* Whether a production task should wait until work of lower priority is preempted on another
 * machine that caches its image, instead of fetching the image on this machine. A task whose image
 * is cached starts within a second. */
bool pm_scheduler_should_await_preemption(struct pm_scheduler *scheduler,
                                          const struct pm_machine *machine,
                                          const struct pm_job *job,
                                          const struct pm_zone_spread *spread, double now);

/* ---- capacity.c ---- */

/* Processors on the machine that a production task could use immediately: those that are free, and
 * those used by work below production, which can be preempted. */
double pm_scheduler_free_or_preemptible_cpus(const struct pm_machine *machine);
/* Seconds until the machine has fetched the other images that its placements still need. */
double pm_scheduler_fetch_backlog_s(const struct pm_scheduler *scheduler,
                                    const struct pm_machine *machine, const struct pm_spec *spec);

/* ---- cold_start.c ---- */

/* Updates whether a cold start is in progress. A cold start begins when no service has a placement,
 * and lasts for a fixed time. */
void pm_scheduler_update_cold_start(struct pm_scheduler *scheduler, double now);
/* The time, in seconds, within which the job's class should start by its service-level objective.
 */
double pm_scheduler_start_objective_s(const struct pm_scheduler *scheduler,
                                      const struct pm_job *job);
/* Whether the job may fetch its image to one more machine instead of starting where the image is
 * cached: the job has already missed its start objective, so the fetch cannot make it miss the
 * objective, and its replicas would still start before they are overdue. */
bool pm_scheduler_may_fetch(const struct pm_scheduler *scheduler, const struct pm_machine *machine,
                            const struct pm_job *job);
/* Whether less than PM_SERVICE_SHARE of the machine's processors would remain free or preemptible
 * beside the task. That share is left to services that can still start in time, and limits what is
 * lost when the machine fails. */
bool pm_scheduler_uses_service_share(const struct pm_scheduler *scheduler,
                                     const struct pm_machine *machine, const struct pm_spec *spec);
/* Whether the job's replicas may wait for a booting machine: it is a service on a cold start, its
 * replicas are not overdue, and a machine that it may run on is expected to boot soon. */
bool pm_scheduler_may_await_boot(const struct pm_scheduler *scheduler, const struct pm_job *job);
/* Whether a replica that has missed its start objective on a cold start should wait for a booting
 * machine instead of starting on this one. Otherwise the first machines would take all replicas,
 * and most machines would never cache most images. */
bool pm_scheduler_should_await_boot(const struct pm_scheduler *scheduler,
                                    const struct pm_machine *machine, const struct pm_job *job);

/* ---- occupancy.c ---- */

/* Charges what ran since the last plan to the teams' ledgers, and counts their current usage. */
void pm_scheduler_charge_occupancy(struct pm_scheduler *scheduler, double now, double wall);
/* Whether the job's time is not charged to its team: it is best-effort work whose start is not
 * overdue. */
bool pm_scheduler_is_uncharged(const struct pm_job *job);
/* The number of the occupancy bucket that a time of day belongs to. */
long pm_occupancy_bucket_at(const struct pm_scheduler *scheduler, double wall);

/* ---- quota.c ---- */

/* Recounts the usage of all teams, and logs the teams that are over quota. */
void pm_quota_count(struct pm_scheduler *scheduler, double now);
/* The total usage that counts against the team's quota. */
struct pm_quota_amount pm_quota_total(const struct pm_scheduler *scheduler, int team);
/* Adds `tasks` new placements to the usage of the spec's team. */
void pm_quota_add_placed(struct pm_scheduler *scheduler, const struct pm_spec *spec,
                         uint32_t tasks);
/* Whether `tasks` more tasks are within the team's quota. */
bool pm_quota_allows(const struct pm_scheduler *scheduler, const struct pm_spec *spec,
                     uint32_t tasks);

/* ---- gang_scheduling.c ---- */

/* Places all tasks of the gang or none, and returns whether they were placed. `only_zone`: -1 for
 * any zone. */
bool pm_scheduler_place_gang(struct pm_scheduler *scheduler, struct pm_job *job, int only_zone,
                             bool within_guarantee, double now);
/* Reserves machines for a gang that may preempt nothing: those where its tasks fit once the array
 * tasks there have ended. Returns whether there were enough; if not, none is reserved. */
bool pm_scheduler_reserve_for_gang(struct pm_scheduler *scheduler, struct pm_job *job,
                                   int only_zone, double now);
/* Preempts work and reserves machines for all tasks of a gang of priority urgent or production, or
 * for none: capacity for only a part of the gang would be wasted. Does nothing for gangs of lower
 * priority. For `reserved` see pm_scheduler_preempt_for_task(). */
void pm_scheduler_preempt_for_gang(struct pm_scheduler *scheduler, struct pm_job *job,
                                   struct pm_machine_capacity *reserved, double now);

/* ---- preemption_rules.c ---- */

/* Whether the team uses more than its guarantee, not counting tasks that are being stopped. */
bool pm_scheduler_is_beyond_guarantee(const struct pm_scheduler *scheduler, int team);
/* Whether `other` could preempt a task of the job if the task were placed now. */
bool pm_scheduler_is_preemptible_by(const struct pm_scheduler *scheduler, const struct pm_job *job,
                                    const struct pm_job *other);
/* Whether the job may preempt the placement. */
bool pm_scheduler_may_preempt(const struct pm_scheduler *scheduler, const struct pm_job *job,
                              const struct pm_placement *placement, double now);
/* The job may preempt work only below the priority returned; pm_scheduler_may_preempt() checks the
 * other rules. */
enum pm_priority pm_scheduler_preemption_priority_limit(const struct pm_scheduler *scheduler,
                                                        const struct pm_job *job);
/* The grace period of a stop, in seconds: the time to checkpoint, or 0 if the task cannot
 * checkpoint or `urgent` tells that its capacity is needed at once. */
double pm_scheduler_grace_s(const struct pm_placement *placement, bool urgent);

/* ---- preemption_search.c ---- */

/* Allocates the arrays that preemption reuses between plans. */
void pm_preemption_scratch_init(struct pm_preemption_scratch *scratch);
/* Frees the arrays. */
void pm_preemption_scratch_clear(struct pm_preemption_scratch *scratch);
/* Finds the machines where tasks could be made to fit. Called once per plan, before
 * pm_scheduler_preempt_for_task(). */
void pm_scheduler_find_preemption_candidates(struct pm_scheduler *scheduler, double now);
/* A request to free capacity for one task. */
struct pm_preemption_request {
    struct pm_job *job;
    int only_zone; /* -1: any */
    bool dry_run;  /* update only `reserved` and `spread`, and preempt nothing */
};
/* Makes one task of the job fit on the machine where preemption loses least work, and reserves the
 * capacity there. Preempts nothing if the capacity that is free or being freed on the machine is
 * enough. `reserved` is the capacity that this plan has reserved so far, indexed by machine.
 * Returns the machine, or NULL if the task cannot be made to fit on any. */
struct pm_machine *pm_scheduler_preempt_for_task(struct pm_scheduler *scheduler,
                                                 const struct pm_preemption_request *request,
                                                 struct pm_machine_capacity *reserved,
                                                 struct pm_zone_spread *spread, double now);

/* ---- mandatory_stops.c ---- */

/* Stops tasks that must not continue: those of jobs that have ended, of gangs that lost a task, and
 * on machines with a spot interruption notice. */
void pm_scheduler_stop_disallowed_tasks(struct pm_scheduler *scheduler, double now);

/* ---- rebalancing.c ---- */

/* Stops one replica on a machine with many, to be placed on one with much more capacity. If one
 * machine fails, its replicas must fit into the processors that are kept free for services
 * (pm_scheduler_set_reserve()). */
void pm_scheduler_rebalance(struct pm_scheduler *scheduler, double now);
/* Whether the placement is a replica that has been running for at least PM_REPLICA_SETTLED_S. */
bool pm_scheduler_is_settled_replica(const struct pm_placement *placement, double now);

/* ---- ranking.c ---- */

/* The time of day, in seconds, since which the job has waited for capacity: when it was submitted,
 * or when its dependencies were met. */
double pm_scheduler_waiting_since(const struct pm_job *job);
/* Compares two struct pm_job * by how long they have waited, longest first. */
int pm_scheduler_compare_by_age(const void *first, const void *second);
/* Updates the remaining work of each array job, which ranks it within its team and priority. */
void pm_scheduler_update_remaining_work(struct pm_scheduler *scheduler);

/* ---- starvation.c ---- */

/* Marks the starving jobs. They are placed before the others of the same precedence, so that all
 * tasks of a job start within a bounded time. */
void pm_scheduler_mark_starving(struct pm_scheduler *scheduler, double now);

/* ---- task_placement.c ---- */

/* Proposes a placement of the task on the machine, and adds the task to its team's usage and to
 * `spread`. */
void pm_scheduler_place_task(struct pm_scheduler *scheduler, struct pm_job *job, uint32_t index,
                             struct pm_machine *machine, uint32_t attempt,
                             struct pm_zone_spread *spread, double now);
/* Whether `tasks` more tasks of the job may start: the lease of the job to a shard, the quota of
 * its team and, with `within_guarantee`, the guarantee of its team allow them. A failing array job
 * runs one task at a time. */
bool pm_scheduler_may_start(const struct pm_scheduler *scheduler, const struct pm_job *job,
                            uint32_t tasks, bool within_guarantee);
/* Places as many of the job's waiting tasks as fit. */
void pm_scheduler_place_job(struct pm_scheduler *scheduler, struct pm_job *job,
                            bool within_guarantee, double now);

/* ---- demand.c ---- */

/* Adds the job's waiting tasks to the unmet demand, up to its team's quota. `counted_cpus`, indexed
 * by team, accumulates the processors of the demand that is recorded during this plan. */
void pm_scheduler_record_demand(struct pm_scheduler *scheduler, struct pm_job *job,
                                double *counted_cpus, double now);

#endif
