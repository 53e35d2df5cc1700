/* Protection from starvation.
 *
 * Ratio and size rank what waits, and each could hold a job back for ever: a team with a high
 * ratio, the job with most work while others keep coming, a gang that never finds its capacity at
 * one time. What would not start whole within a bound otherwise goes first until it has, the oldest
 * before the others: as late as the machines, with what else is as old, can still do it in time.
 * Never on all of the machines: when there is more work than they can do, all jobs would end up
 * waiting for that bound, and hardly anything would be in time. */
#include "scheduler/internal.h"

#define START_BOUND_S 215.0    /* within which every job is to have started whole */
#define CHECK_AFTER_S 150.0    /* what has waited for less is not starving yet */
#define STARVING_SHARE 0.75    /* of the batch capacity that may go to overdue starts */
#define BEST_EFFORT_SHARE 0.25 /* the same, for best-effort work */
/* A start counts if nothing stops it within 30 s; image fetches come before that */
#define STARTED_PROTECTION_S 40.0
#define GANG_CLEARING_S 45.0 /* a gang's capacity takes so long to come free */
#define DEPENDABLE_SHARE 0.7 /* of the machines' time that can be counted on */

/* Notes that the job has started whole. Best-effort work that went first until then yields at once
 * again, a while after. */
static void note_full_start(struct pm_job *job, double now)
{
    struct pm_job_scheduling *scheduling = &job->scheduling;

    if (!scheduling->has_fully_started && !pm_job_waiting_tasks(job) &&
        job->work.placed_count + job->work.done_count > 0) {
        scheduling->has_fully_started = true;
        scheduling->fully_started_at = now;
    }
    if (scheduling->is_overdue_start && scheduling->has_fully_started &&
        job->priority == PM_PRIORITY_BEST_EFFORT &&
        now - scheduling->fully_started_at >= STARTED_PROTECTION_S)
        scheduling->is_overdue_start = false;
}

/* Whether the job may yet come to go first for its age. */
static bool may_starve(const struct pm_job *job)
{
    return !job->delegated && pm_job_waiting_tasks(job) && !pm_failures_is_job_failing(job) &&
           !(job->scheduling.has_fully_started && job->priority == PM_PRIORITY_BEST_EFFORT);
}

/* Appends the jobs that have waited for long to `old`, oldest first. Returns how many processors
 * overdue starts use already. */
static double find_old_jobs(struct pm_scheduler *scheduler, GPtrArray *old, double now)
{
    GPtrArray *active = pm_jobs_active(scheduler->jobs);
    double overdue_cpus = 0;

    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        job->scheduling.is_starving = false;
        if (!job->spec || job->state != PM_JOB_LIVE)
            continue;
        note_full_start(job, now);
        if (job->scheduling.is_overdue_start)
            overdue_cpus += job->work.placed_count * job->spec->cpus;
        if (may_starve(job) &&
            scheduler->run.wall - pm_scheduler_waiting_since(job) > CHECK_AFTER_S)
            g_ptr_array_add(old, job);
    }
    g_ptr_array_sort(old, pm_scheduler_compare_by_age);
    return overdue_cpus;
}

/* How many of the oldest jobs have to go first now, if the last of them is to start in time behind
 * the others. */
static guint count_overdue(const struct pm_scheduler *scheduler, const GPtrArray *old,
                           double batch_cpus)
{
    double work_cpu_s = 0;
    guint overdue = 0;

    for (guint i = 0; i < old->len; i++) {
        const struct pm_job *job = g_ptr_array_index(old, i);
        double left_s = START_BOUND_S - (scheduler->run.wall - pm_scheduler_waiting_since(job));
        if (job->spec->kind == PM_WORKLOAD_GANG)
            left_s -= GANG_CLEARING_S; /* needs its capacity at one time, or keeps waiting */
        else if (job->spec->kind == PM_WORKLOAD_ARRAY)
            work_cpu_s += pm_job_waiting_tasks(job) *
                          (pm_scheduler_estimate_run_s(scheduler, job) + 1) * job->spec->cpus;
        if (work_cpu_s >= left_s * batch_cpus * DEPENDABLE_SHARE)
            overdue = i + 1;
    }
    return overdue;
}

void pm_scheduler_mark_starving(struct pm_scheduler *scheduler, double now)
{
    GPtrArray *old = g_ptr_array_new();
    double batch_cpus = MAX(pm_scheduler_batch_capacity_cpus(scheduler, now), 1);
    double cpus = find_old_jobs(scheduler, old, now);
    guint overdue = count_overdue(scheduler, old, batch_cpus);

    for (guint i = 0; i < overdue && cpus < STARVING_SHARE * batch_cpus; i++) {
        struct pm_job *job = g_ptr_array_index(old, i);
        if (job->priority == PM_PRIORITY_BEST_EFFORT && cpus >= BEST_EFFORT_SHARE * batch_cpus)
            continue;
        job->scheduling.is_starving = true;
        job->scheduling.is_overdue_start = true;
        cpus += pm_job_waiting_tasks(job) * job->spec->cpus;
    }
    g_ptr_array_free(old, TRUE);
}
