/* Protection from starvation.
 *
 * Ranking by usage ratio and by remaining work could delay a job for ever: a job of a team with a
 * high ratio, the job with the most work while smaller ones keep arriving, or a gang that never
 * finds all of its capacity free at the same time. A job that would otherwise not have all its
 * tasks started within START_BOUND_S is therefore placed first until it has, the longest waiting
 * before the others. It is marked as late as the machines, which also have the other long waiting
 * jobs to start, can still start it in time. Only a share of the capacity is used for this:
 * otherwise, when there is more work than the machines can do, all jobs would end up waiting for
 * the bound, and hardly any would end on time. */
#include "scheduler/internal.h"

#define START_BOUND_S 215.0        /* within which all tasks of a job should have started */
#define CANDIDATE_MIN_WAIT_S 150.0 /* a job that has waited for less is not starving */
#define STARVING_SHARE 0.75        /* of the batch capacity, the most for overdue starts */
#define BEST_EFFORT_SHARE 0.25     /* the lower limit that applies to best-effort jobs */
/* How long best-effort work stays protected after it has started in full. A start counts if nothing
 * stops the task within 30 s, and the image fetch comes before that. */
#define STARTED_PROTECTION_S 40.0
#define GANG_CAPACITY_DELAY_S 45.0 /* until capacity for a whole gang is free */
#define USABLE_TIME_SHARE 0.7      /* of the machines' time that can be relied on */

/* Records when all tasks of the job have started. Best-effort work that was placed first until then
 * loses its protection from preemption STARTED_PROTECTION_S later. */
static void update_full_start(struct pm_job *job, double now)
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

/* Whether the job may be marked as starving once it has waited long enough. */
static bool may_starve(const struct pm_job *job)
{
    return !job->delegated && pm_job_waiting_tasks(job) && !pm_failures_is_job_failing(job) &&
           !(job->scheduling.has_fully_started && job->priority == PM_PRIORITY_BEST_EFFORT);
}

/* Appends the jobs that have waited for longer than CANDIDATE_MIN_WAIT_S to `candidates`, longest
 * waiting first, and clears every job's starving mark. Returns how many processors overdue starts
 * already use. */
static double find_candidates(struct pm_scheduler *scheduler, GPtrArray *candidates, double now)
{
    GPtrArray *active = pm_jobs_active(scheduler->jobs);
    double overdue_cpus = 0;

    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        job->scheduling.is_starving = false;
        if (!job->spec || job->state != PM_JOB_LIVE)
            continue;
        update_full_start(job, now);
        if (job->scheduling.is_overdue_start)
            overdue_cpus += job->work.placed_count * job->spec->cpus;
        if (may_starve(job) &&
            scheduler->run.wall - pm_scheduler_waiting_since(job) > CANDIDATE_MIN_WAIT_S)
            g_ptr_array_add(candidates, job);
    }
    g_ptr_array_sort(candidates, pm_scheduler_compare_by_age);
    return overdue_cpus;
}

/* How many of the longest waiting jobs must be placed first now, so that the last of them, behind
 * the others, still starts in time. */
static guint count_overdue(const struct pm_scheduler *scheduler, const GPtrArray *candidates,
                           double batch_cpus)
{
    double work_cpu_s = 0;
    guint overdue = 0;

    for (guint i = 0; i < candidates->len; i++) {
        const struct pm_job *job = g_ptr_array_index(candidates, i);
        double left_s = START_BOUND_S - (scheduler->run.wall - pm_scheduler_waiting_since(job));
        if (job->spec->kind == PM_WORKLOAD_GANG)
            left_s -= GANG_CAPACITY_DELAY_S; /* needs all of its capacity at the same time */
        else if (job->spec->kind == PM_WORKLOAD_ARRAY)
            work_cpu_s += pm_job_waiting_tasks(job) *
                          (pm_scheduler_estimate_run_s(scheduler, job) + 1) * job->spec->cpus;
        if (work_cpu_s >= left_s * batch_cpus * USABLE_TIME_SHARE)
            overdue = i + 1;
    }
    return overdue;
}

void pm_scheduler_mark_starving(struct pm_scheduler *scheduler, double now)
{
    GPtrArray *candidates = g_ptr_array_new();
    double batch_cpus = MAX(pm_scheduler_batch_capacity_cpus(scheduler, now), 1);
    double cpus = find_candidates(scheduler, candidates, now);
    guint overdue = count_overdue(scheduler, candidates, batch_cpus);

    for (guint i = 0; i < overdue && cpus < STARVING_SHARE * batch_cpus; i++) {
        struct pm_job *job = g_ptr_array_index(candidates, i);
        if (job->priority == PM_PRIORITY_BEST_EFFORT && cpus >= BEST_EFFORT_SHARE * batch_cpus)
            continue;
        job->scheduling.is_starving = true;
        job->scheduling.is_overdue_start = true;
        cpus += pm_job_waiting_tasks(job) * job->spec->cpus;
    }
    g_ptr_array_free(candidates, TRUE);
}
