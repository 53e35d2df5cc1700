/* Protection from starvation.
 *
 * Ranking by usage ratio and by remaining work could delay a job for ever: a job of a team with a
 * high ratio, the job with the most work while smaller ones keep arriving, or a gang that never
 * finds all of its capacity free at the same time. A job that would otherwise not have started all
 * its tasks within START_BOUND_S is therefore marked as starving: until its tasks have started, it
 * is placed before the jobs that are not marked. Of the marked jobs, the one that has waited
 * longest goes first. A job is marked as late as possible, when the machines can just start it in
 * time after the jobs that have waited longer. Starving jobs get only a share of the capacity.
 * Otherwise, when there is more work than the machines can do, all jobs would wait until the bound,
 * and hardly any would end on time. */
#include "scheduler/internal.h"

#define START_BOUND_S 215.0        /* all tasks of a job should start within this time */
#define CANDIDATE_MIN_WAIT_S 150.0 /* a job that has waited for less is not starving */
/* No job is marked once overdue starts use this share of the batch capacity, and no best-effort job
 * once they use the second, smaller share. */
#define STARVING_SHARE 0.75
#define BEST_EFFORT_SHARE 0.25
/* How long best-effort work stays protected from preemption after all its tasks have been placed. A
 * start counts as successful if the task is not stopped within 30 s, and the image fetch comes
 * before these 30 s. */
#define STARTED_PROTECTION_S 40.0
#define GANG_CAPACITY_DELAY_S 45.0 /* how long it takes until capacity for a whole gang is free */
#define USABLE_TIME_SHARE 0.7      /* the share of the machines' time that can be relied on */

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

/* Appends to `candidates` the jobs that have waited for longer than CANDIDATE_MIN_WAIT_S, those
 * that have waited longest first, and clears the starving mark of every job. Returns how many
 * processors are already used by jobs whose start was overdue. */
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

/* How many of the jobs that have waited longest must be placed first now. If they waited any
 * longer, the last of them, which starts after the others, would not start in time. */
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
