/* Unmet demand: the tasks that wait only for capacity. To meet it, other tasks are preempted and
 * machines are rented. */
#include "scheduler/internal.h"

#include <math.h>

/* How long a failing job's retry must have waited for capacity before it counts as demand. */
#define FAILING_JOB_DEMAND_DELAY_S 30.0

const GArray *pm_scheduler_unmet_demand(const struct pm_scheduler *scheduler)
{
    return scheduler->unmet_demand;
}

void pm_scheduler_add_unmet_demand(struct pm_scheduler *scheduler, struct pm_job *job,
                                   uint32_t tasks)
{
    g_array_append_vals(scheduler->unmet_demand, &(struct pm_unmet_demand){job, tasks}, 1);
}

/* How many tasks of the job wait only for capacity. Tasks in back-off would not use the capacity,
 * nor would a failing job's tasks beyond the one (or the gang) that is retried. A failing job
 * counts only when its retry has found no capacity for FAILING_JOB_DEMAND_DELAY_S. If it never
 * counted, a job that was wrongly found failing would never run on a deployment that has no machine
 * for it. */
static uint32_t count_tasks_in_demand(const struct pm_job *job, double now)
{
    if (!pm_failures_is_job_failing(job))
        return pm_job_startable_tasks(job, now);
    if (job->work.placed_count || now < job->failures.retry_at + FAILING_JOB_DEMAND_DELAY_S)
        return 0;
    return MIN(pm_job_startable_tasks(job, now),
               job->spec->kind == PM_WORKLOAD_GANG ? job->task_count : 1);
}

/* How many of `tasks` fit within the quota of the job's team, after `counted_cpus` of other demand.
 */
static uint32_t limit_to_quota(const struct pm_scheduler *scheduler, const struct pm_job *job,
                               uint32_t tasks, double counted_cpus)
{
    const struct pm_spec *spec = job->spec;
    const struct pm_team_setting *team = &scheduler->tables->settings->teams[spec->team];
    double remaining_cpus;

    if (spec->cpus <= 0)
        return tasks;
    remaining_cpus = team->cpus_max - pm_quota_total(scheduler, spec->team).cpus - counted_cpus;
    return (uint32_t)MIN((double)tasks, MAX(0, floor((remaining_cpus + PM_EPSILON) / spec->cpus)));
}

void pm_scheduler_record_demand(struct pm_scheduler *scheduler, struct pm_job *job,
                                double *counted_cpus, double now)
{
    const struct pm_spec *spec = job->spec;
    bool is_gang = spec->kind == PM_WORKLOAD_GANG;
    uint32_t tasks = count_tasks_in_demand(job, now);

    if (!tasks || (is_gang && job->work.placed_count))
        return;
    tasks = limit_to_quota(scheduler, job, tasks, counted_cpus[spec->team]);
    if (!tasks || (is_gang && tasks < job->task_count))
        return;
    counted_cpus[spec->team] += tasks * spec->cpus;
    pm_scheduler_add_unmet_demand(scheduler, job, tasks);
}
