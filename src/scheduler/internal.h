/* The functions that the files of the scheduler slice share; nobody else includes it. Each group
 * names the file that defines it. The state that they work on is in state.h. */
#ifndef PM_SCHEDULER_INTERNAL_H
#define PM_SCHEDULER_INTERNAL_H

#include "scheduler/state.h"
#include "workers/failures.h"

/* ---- requirements.c ---- */

/* Where the job's tasks are, until they are proven to be over. */
struct pm_zone_spread {
    uint32_t zone[PM_ZONES_MAX];
    uint32_t unknown; /* on machines whose zone a new leader does not know yet: in any zone */
    uint32_t total;
};

/* What decides whether a task fits anywhere, as far as jobs share it. */
struct pm_requirements {
    uint64_t types; /* bit i: may run on type i */
    uint32_t zones; /* bit i: may start in zone i */
    int team;       /* -1: whichever */
    enum pm_priority priority;
    bool spot;
    double cpus, gpus, ram_gb;
};

/* Counts the job's placements by zone; all zero for a job without zone constraints. */
void pm_scheduler_count_zones(const struct pm_job *job, struct pm_zone_spread *out);
/* Counts one more task in the machine's zone. */
void pm_scheduler_add_to_spread(struct pm_zone_spread *spread, const struct pm_machine *machine);
/* The requirements of the job's next task. `team`: whose guarantee matters, -1: none does. */
struct pm_requirements pm_scheduler_requirements(const struct pm_scheduler *scheduler,
                                                 const struct pm_job *job,
                                                 const struct pm_zone_spread *spread, int team);
/* Whether the plan under way has found already that nothing fits these requirements. */
bool pm_scheduler_is_unschedulable(const struct pm_scheduler *scheduler,
                                   const struct pm_requirements *requirements);
/* Notes that nothing fits these requirements for the rest of the plan. */
void pm_scheduler_mark_unschedulable(struct pm_scheduler *scheduler,
                                     const struct pm_requirements *requirements);

/* ---- bin_packing.c ---- */

/* The machine where the job's next task runs best, NULL: it fits nowhere. `only_zone`: -1 for any
 * zone that the job allows. */
struct pm_machine *pm_scheduler_best_machine(struct pm_scheduler *scheduler,
                                             const struct pm_job *job,
                                             const struct pm_zone_spread *spread, int only_zone,
                                             double now);
/* Whether this controller may start tasks on the machine: it is up, its own, trusted, and has sent
 * heartbeats as lately as on a quiet day. One that misses a heartbeat may be dead. */
bool pm_scheduler_is_machine_usable(const struct pm_scheduler *scheduler,
                                    const struct pm_machine *machine, double now);
/* Whether the job's zone constraints allow one more task in the zone. */
bool pm_scheduler_is_zone_allowed(const struct pm_job *job, const struct pm_zone_spread *spread,
                                  int zone);
/* Whether a task fits into what is free on the machine. */
bool pm_scheduler_has_free_capacity(const struct pm_machine *machine, const struct pm_spec *spec);
/* Whether the machine caches the image. */
bool pm_scheduler_has_image(const struct pm_machine *machine, int image);
/* How many of the job's tasks the machine has. */
uint32_t pm_scheduler_count_tasks_of(const struct pm_machine *machine, const struct pm_job *job);
/* Whether the machine's capacity is reserved for a gang that goes before the job. */
bool pm_scheduler_is_reserved_for_other_gang(const struct pm_machine *machine,
                                             const struct pm_job *job, double now);
/* Whether a production task should rather wait until another machine that caches its image is
 * cleared of lower work, than fetch the image on this one: that starts it within the second. */
bool pm_scheduler_should_preempt_elsewhere(struct pm_scheduler *scheduler,
                                           const struct pm_machine *machine,
                                           const struct pm_job *job,
                                           const struct pm_zone_spread *spread, double now);

/* ---- capacity.c ---- */

/* Processors on the machine that a production task could have at once: free or preemptible. */
double pm_scheduler_preemptible_cpus(const struct pm_machine *machine);
/* Seconds until the machine has fetched the images that it must fetch before this one. */
double pm_scheduler_fetch_backlog_s(const struct pm_scheduler *scheduler,
                                    const struct pm_machine *machine, const struct pm_spec *spec);

/* ---- cold_start.c ---- */

/* Decides whether the plan under way belongs to a cold start: no service has run until lately. */
void pm_scheduler_update_cold_start(struct pm_scheduler *scheduler, double now);
/* Within how many seconds the job's class should start, by its service-level objective. */
double pm_scheduler_start_objective_s(const struct pm_scheduler *scheduler,
                                      const struct pm_job *job);
/* Whether the job has waited so long that one more image fetch does not matter, and yet not so long
 * that its replicas are overdue: the time to bring its image to another machine. */
bool pm_scheduler_may_fetch(const struct pm_scheduler *scheduler, const struct pm_machine *machine,
                            const struct pm_job *job);
/* Whether the task would use some of the last share of the machine. That share is left to services
 * that can still start in time, and limits what is lost when the machine ends. */
bool pm_scheduler_uses_service_share(const struct pm_scheduler *scheduler,
                                     const struct pm_machine *machine, const struct pm_spec *spec);
/* Whether a replica waits, on a cold start, for a machine that boots. */
bool pm_scheduler_awaits_boot(const struct pm_scheduler *scheduler, const struct pm_job *job);
/* Whether a replica that is late already should wait, on a cold start, for a machine that boots,
 * instead of starting on this one: the first machines would take all replicas, and most machines
 * would never cache most images. */
bool pm_scheduler_should_await_boot(const struct pm_scheduler *scheduler,
                                    const struct pm_machine *machine, const struct pm_job *job);

/* ---- occupancy.c ---- */

/* Charges what ran since the last plan to the teams' ledgers, and counts what they use now. */
void pm_scheduler_charge_occupancy(struct pm_scheduler *scheduler, double now, double wall);
/* Whether the job's time is not charged: best-effort work, until it is overdue to start. */
bool pm_scheduler_is_unallocated(const struct pm_job *job);
/* The bucket of a time of day. */
long pm_occupancy_bucket_at(const struct pm_scheduler *scheduler, double wall);

/* ---- quota.c ---- */

/* Counts the usage of all teams anew, and logs those that are over quota. */
void pm_quota_count(struct pm_scheduler *scheduler, double now);
/* All that counts against the team's quota. */
struct pm_quota_amount pm_quota_total(const struct pm_scheduler *scheduler, int team);
/* Counts so many new placements. */
void pm_quota_add_placed(struct pm_scheduler *scheduler, const struct pm_spec *spec,
                         uint32_t tasks);
/* Whether so many more tasks are within the team's quota. */
bool pm_quota_allows(const struct pm_scheduler *scheduler, const struct pm_spec *spec,
                     uint32_t tasks);

/* ---- gang_scheduling.c ---- */

/* Places every task of the gang, or none. Returns whether they are placed. `only_zone`: -1 for
 * any. */
bool pm_scheduler_place_gang(struct pm_scheduler *scheduler, struct pm_job *job, int only_zone,
                             bool within_guarantee, double now);
/* For a gang that may preempt nothing: reserves machines where it fits once their array tasks have
 * ended. Returns whether there were enough; else nothing is reserved. */
bool pm_scheduler_reserve_for_gang(struct pm_scheduler *scheduler, struct pm_job *job,
                                   int only_zone, double now);
/* Preempts, and reserves machines, for all tasks of an urgent gang, or for none: a part of a gang's
 * capacity would be of use to nobody. `reserved`: see pm_scheduler_clear_machine(). */
void pm_scheduler_preempt_for_gang(struct pm_scheduler *scheduler, struct pm_job *job,
                                   struct pm_machine_capacity *reserved, double now);

/* ---- preemption_rules.c ---- */

/* Whether the team uses more than its guarantee, apart from what is being stopped. */
bool pm_scheduler_is_beyond_guarantee(const struct pm_scheduler *scheduler, int team);
/* Whether a task of the job, were it placed now, would be one that `other` may preempt. */
bool pm_scheduler_yields_to(const struct pm_scheduler *scheduler, const struct pm_job *job,
                            const struct pm_job *other);
/* Whether the job may preempt the placement. */
bool pm_scheduler_may_preempt(const struct pm_scheduler *scheduler, const struct pm_job *job,
                              const struct pm_placement *placement, double now);
/* The priority below which the job may preempt work, whatever else has to hold. */
enum pm_priority pm_scheduler_preemptible_below(const struct pm_scheduler *scheduler,
                                                const struct pm_job *job);
/* The grace period of a stop, in seconds: the time to checkpoint, or 0 for a task that cannot, or
 * when the stop is `urgent`. */
double pm_scheduler_grace_s(const struct pm_placement *placement, bool urgent);

/* ---- preemption_search.c ---- */

/* Makes the arrays that preemption reuses. */
void pm_preemption_scratch_init(struct pm_preemption_scratch *scratch);
/* Frees them. */
void pm_preemption_scratch_clear(struct pm_preemption_scratch *scratch);
/* Finds the machines where something may be preempted; once a plan, before clear_machine. */
void pm_scheduler_find_preemption_candidates(struct pm_scheduler *scheduler, double now);
/* What a search for capacity is for. */
struct pm_clear_request {
    struct pm_job *job;
    int only_zone; /* -1: any */
    bool dry_run;  /* reserve in `reserved` and `spread` alone, and preempt nothing */
};
/* Makes capacity for one task of the job where that loses least, and reserves it there; a machine
 * where enough is being stopped already serves without more. `reserved`: by machine index, what
 * this plan has reserved so far. Returns the machine, NULL: there is none. */
struct pm_machine *pm_scheduler_clear_machine(struct pm_scheduler *scheduler,
                                              const struct pm_clear_request *request,
                                              struct pm_machine_capacity *reserved,
                                              struct pm_zone_spread *spread, double now);

/* ---- mandatory_stops.c ---- */

/* Stops what must not run on: tasks of jobs that are over, gangs that lost a task, and tasks on a
 * machine with a spot interruption notice. */
void pm_scheduler_stop_disallowed_tasks(struct pm_scheduler *scheduler, double now);

/* ---- rebalancing.c ---- */

/* Moves one replica from the machine with most of them to one with much more capacity, so that the
 * end of one machine does not exceed the reserve. */
void pm_scheduler_rebalance(struct pm_scheduler *scheduler, double now);
/* Whether the placement is a replica that runs, and has run for PM_REPLICA_SETTLED_S. */
bool pm_scheduler_is_settled_replica(const struct pm_placement *placement, double now);

/* ---- ranking.c ---- */

/* Since when the job waits for capacity, time of day in seconds: since it was submitted, or since
 * its dependencies were met. */
double pm_scheduler_waiting_since(const struct pm_job *job);
/* Compares two struct pm_job * by how long they have waited, oldest first. */
int pm_scheduler_compare_by_age(const void *first, const void *second);
/* Measures the remaining work of each array job, which ranks it within its team and priority. */
void pm_scheduler_measure_remaining(struct pm_scheduler *scheduler);

/* ---- starvation.c ---- */

/* Marks the jobs that go first so that they start whole within a bound. */
void pm_scheduler_mark_starving(struct pm_scheduler *scheduler, double now);

/* ---- task_placement.c ---- */

/* Proposes a placement, and counts it everywhere. */
void pm_scheduler_place_task(struct pm_scheduler *scheduler, struct pm_job *job, uint32_t index,
                             struct pm_machine *machine, uint32_t attempt,
                             struct pm_zone_spread *spread, double now);
/* Whether so many more tasks of the job may start: within its lease, its team's quota, and, if
 * asked, its team's guarantee. */
bool pm_scheduler_may_start(const struct pm_scheduler *scheduler, const struct pm_job *job,
                            uint32_t tasks, bool within_guarantee);
/* Places what fits of the job. */
void pm_scheduler_place_job(struct pm_scheduler *scheduler, struct pm_job *job,
                            bool within_guarantee, double now);

/* ---- demand.c ---- */

/* Adds the job's waiting tasks to the unmet demand, as far as its team's quota allows them.
 * `counted_cpus`: per team, processors of the demand that this plan has added so far. */
void pm_scheduler_note_demand(struct pm_scheduler *scheduler, struct pm_job *job,
                              double *counted_cpus, double now);

#endif
