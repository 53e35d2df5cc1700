/* The order in which waiting jobs are placed. */
#include "scheduler/internal.h"

#include <math.h>
#include <string.h>

/* Added to the remaining work of jobs without a deadline; more than any job's remaining work. */
#define NO_DEADLINE_CPU_S 1e12
/* The share of its work that a placed task has done, on average. */
#define PLACED_TASK_DONE_SHARE 0.5

/* A job does not wait for capacity until its dependencies are met. The time at which they were met
 * is stored, so that a new leader counts from the same time. */
double pm_scheduler_waiting_since(const struct pm_job *job)
{
    return job->spec->dependency_count ? job->scheduling.waiting_since_wall
                                       : job->spec->submitted_wall;
}

/* The time of day when the job's dependencies were met, or `wall` if the store does not tell it. */
static double dependencies_met_wall(const struct pm_job *job, double wall)
{
    if (job->dependencies.last_ended_wall <= 0 || isinf(job->dependencies.last_ended_wall))
        return wall;
    return MIN(MAX(job->dependencies.last_ended_wall, job->spec->submitted_wall), wall);
}

int pm_scheduler_compare_by_age(const void *first, const void *second)
{
    const struct pm_job *left = *(struct pm_job *const *)first;
    const struct pm_job *right = *(struct pm_job *const *)second;

    if (pm_scheduler_waiting_since(left) != pm_scheduler_waiting_since(right))
        return pm_scheduler_waiting_since(left) < pm_scheduler_waiting_since(right) ? -1 : 1;
    return strcmp(left->id, right->id);
}

/* Compares by the precedence that the preemption rules imply; returns 0 if both rank equally.
 * Production work goes first, regardless of the ratios: it may preempt the rest, so if it ranked
 * lower, other work would be started only to be preempted. Urgent work follows for the same reason.
 * Uncharged work comes last. */
static int compare_by_precedence(const struct pm_job *left, const struct pm_job *right)
{
    if ((left->priority == PM_PRIORITY_PRODUCTION) != (right->priority == PM_PRIORITY_PRODUCTION))
        return left->priority == PM_PRIORITY_PRODUCTION ? -1 : 1;
    if ((left->priority >= PM_PRIORITY_URGENT) != (right->priority >= PM_PRIORITY_URGENT))
        return left->priority >= PM_PRIORITY_URGENT ? -1 : 1;
    if (pm_scheduler_is_uncharged(left) != pm_scheduler_is_uncharged(right))
        return pm_scheduler_is_uncharged(left) ? 1 : -1;
    return 0;
}

/* Puts starving jobs first, those that have waited longest before the others. Returns 0 if neither
 * job goes first. */
static int compare_by_starvation(const struct pm_job *left, const struct pm_job *right)
{
    if (left->scheduling.is_starving != right->scheduling.is_starving)
        return left->scheduling.is_starving ? -1 : 1;
    if (left->scheduling.is_starving &&
        pm_scheduler_waiting_since(left) != pm_scheduler_waiting_since(right))
        return pm_scheduler_waiting_since(left) < pm_scheduler_waiting_since(right) ? -1 : 1;
    return 0;
}

static int compare_by_rank(const void *first, const void *second, void *arg)
{
    const struct pm_scheduler *scheduler = arg;
    const struct pm_job *left = *(struct pm_job *const *)first;
    const struct pm_job *right = *(struct pm_job *const *)second;
    double left_ratio;
    double right_ratio;
    int order = compare_by_precedence(left, right);

    if (!order)
        order = compare_by_starvation(left, right);
    if (order)
        return order;
    left_ratio = scheduler->run.usage_ratio[left->spec->team];
    right_ratio = scheduler->run.usage_ratio[right->spec->team];
    if (left_ratio != right_ratio)
        return left_ratio < right_ratio ? -1 : 1;
    if (left->priority != right->priority)
        return left->priority > right->priority ? -1 : 1;
    if (left->scheduling.remaining_cpu_s != right->scheduling.remaining_cpu_s)
        return left->scheduling.remaining_cpu_s < right->scheduling.remaining_cpu_s ? -1 : 1;
    return pm_scheduler_compare_by_age(first, second);
}

void pm_scheduler_rank(struct pm_scheduler *scheduler, GPtrArray *jobs)
{
    g_ptr_array_sort_with_data(jobs, compare_by_rank, scheduler);
}

static double remaining_cpu_s(const struct pm_scheduler *scheduler, const struct pm_job *job)
{
    uint32_t done = job->work.done_count;
    uint32_t placed = job->work.placed_count;
    double remaining;

    if (job->delegated) /* the leader knows only what the shard's owner has stored */
        pm_job_count_tasks(job, &done, &placed);
    remaining = (job->task_count - MIN(done, job->task_count) - PLACED_TASK_DONE_SHARE * placed) *
                job->spec->cpus * (pm_scheduler_estimate_run_s(scheduler, job) + 1);
    return isinf(job->deadline_wall) ? remaining + NO_DEADLINE_CPU_S : remaining;
}

/* Within its team and priority, the job with the least remaining work goes first. When there is
 * more work than the machines can do, this lets the most jobs end on time, however users measure
 * that. It needs no forecast of the machines' throughput, which a few late jobs would falsify for
 * all jobs behind them. A job without a deadline goes after the jobs with one. */
void pm_scheduler_update_remaining_work(struct pm_scheduler *scheduler)
{
    GPtrArray *active = pm_jobs_active(scheduler->jobs);

    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        job->scheduling.remaining_cpu_s = 0;
        if (!job->spec)
            continue;
        if (!job->dependencies.unmet_count && !job->scheduling.waiting_since_wall)
            job->scheduling.waiting_since_wall = dependencies_met_wall(job, scheduler->run.wall);
        if (job->spec->kind == PM_WORKLOAD_ARRAY)
            job->scheduling.remaining_cpu_s = remaining_cpu_s(scheduler, job);
    }
}
