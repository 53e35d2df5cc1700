/* Preempts work for a plan's unmet demand. */
#include "scheduler/internal.h"

enum { TASKS_PER_JOB_MAX = 16 }; /* one plan preempts for at most this many tasks of a job */

/* The lowest priority of any placement. */
static enum pm_priority find_lowest_priority(struct pm_scheduler *scheduler)
{
    GPtrArray *machines = pm_workers_all(scheduler->workers);
    enum pm_priority lowest = PM_PRIORITY_PRODUCTION;

    for (guint i = 0; i < machines->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(machines, i);
        for (guint j = 0; machine && j < machine->placements->len; j++) {
            const struct pm_placement *placement = g_ptr_array_index(machine->placements, j);
            lowest = MIN(lowest, placement->job->priority);
        }
    }
    return lowest;
}

/* Whether any other team uses more than its guarantee. */
static bool is_other_team_beyond_guarantee(const struct pm_scheduler *scheduler, int team)
{
    for (int other = 0; other < scheduler->tables->settings->team_count; other++)
        if (other != team && pm_scheduler_is_beyond_guarantee(scheduler, other))
            return true;
    return false;
}

/* Whether any placement may be preempted for the job. If not, no machine needs to be searched. */
static bool may_preempt_anything(const struct pm_scheduler *scheduler, const struct pm_job *job,
                                 enum pm_priority lowest)
{
    return job->priority > lowest || (scheduler->sees_all_teams &&
                                      is_other_team_beyond_guarantee(scheduler, job->spec->team));
}

static void preempt_for_tasks(struct pm_scheduler *scheduler, struct pm_job *job, uint32_t tasks,
                              struct pm_machine_capacity *reserved, double now)
{
    const struct pm_preemption_request request = {.job = job, .only_zone = -1};
    struct pm_zone_spread spread;

    pm_scheduler_count_zones(job, &spread);
    for (uint32_t i = 0; i < MIN(tasks, TASKS_PER_JOB_MAX); i++) {
        struct pm_requirements requirements =
            pm_scheduler_requirements(scheduler, job, &spread, job->spec->team);
        if (pm_scheduler_is_unschedulable(scheduler, &requirements))
            return;
        if (!pm_scheduler_preempt_for_task(scheduler, &request, reserved, &spread, now)) {
            pm_scheduler_mark_unschedulable(scheduler, &requirements);
            return;
        }
    }
}

static void preempt_for(struct pm_scheduler *scheduler, const struct pm_unmet_demand *demand,
                        enum pm_priority lowest, struct pm_machine_capacity *reserved, double now)
{
    struct pm_job *job = demand->job;

    /* A replica that waits for a booting machine would not use the capacity. The preempted work
     * would be placed there again, and preempted again, without end. */
    if (pm_scheduler_may_await_boot(scheduler, job))
        return;
    if (job->delegated)
        return; /* the leader revokes machines for it */
    if (job->spec->kind == PM_WORKLOAD_GANG)
        pm_scheduler_preempt_for_gang(scheduler, job, reserved, now);
    else if (may_preempt_anything(scheduler, job, lowest))
        preempt_for_tasks(scheduler, job, demand->tasks, reserved, now);
}

void pm_scheduler_preempt(struct pm_scheduler *scheduler, double now)
{
    const GArray *unmet = scheduler->unmet_demand;
    struct pm_machine_capacity *reserved; /* by machine index */
    enum pm_priority lowest;

    if (!scheduler->is_writable)
        return;
    lowest = find_lowest_priority(scheduler);
    pm_scheduler_find_preemption_candidates(scheduler, now);
    reserved = g_new0(struct pm_machine_capacity, pm_workers_all(scheduler->workers)->len + 1);
    for (guint i = 0; i < unmet->len && scheduler->run.actions < PM_PLAN_ACTIONS_MAX; i++)
        preempt_for(scheduler, &g_array_index(unmet, struct pm_unmet_demand, i), lowest, reserved,
                    now);
    g_free(reserved);
}
