/* The order of what waits. */
#include "scheduler/internal.h"

#include <math.h>
#include <string.h>

#define BEGIN_S                                                                                    \
    215.0 /* within which every job is to have begun whole: see pm_scheduler_mark_starving         \
           */
#define OLD_S 150.0            /* what has waited for less is not looked at for that */
#define STARVING_SHARE 0.75    /* of the machines that may go to what would be late for that */
#define BEST_EFFORT_SHARE 0.25 /* the same, for best-effort work */
#define BEGUN_KEEP_S                                                                               \
    40.0                 /* a start counts if nothing stops it within 30 s; fetches come before    \
                          */
#define GANG_ROOM_S 45.0 /* a gang's room takes so long to come free */
#define SURE_SHARE 0.7   /* of the machines' time, to be counted on for that */
#define NO_DUE 1e12      /* more than any work */

static struct pm_scheduler *ranking; /* qsort has no argument for its comparison */

/* What waits for others does not wait for room: its times count from when it may start. The ends of
 * what it needs are in the state service, so that a new leader counts from the same moment. */
double pm_scheduler_since(const struct pm_job *job)
{
    return job->spec->dependency_count ? job->scheduling.waiting_since_wall
                                       : job->spec->submitted_wall;
}

/* Where the end of what it needs was recorded without its time, its wait counts from now. */
static double ready_since(const struct pm_job *job, double day)
{
    if (job->dependencies.met_wall <= 0 || isinf(job->dependencies.met_wall))
        return day;
    return MIN(MAX(job->dependencies.met_wall, job->spec->submitted_wall), day);
}

static int by_age(const void *a, const void *b)
{
    const struct pm_job *x = *(struct pm_job *const *)a;
    const struct pm_job *y = *(struct pm_job *const *)b;

    if (pm_scheduler_since(x) != pm_scheduler_since(y))
        return pm_scheduler_since(x) < pm_scheduler_since(y) ? -1 : 1;
    return strcmp(x->id, y->id);
}

static int by_rank(const void *a, const void *b)
{
    const struct pm_job *x = *(struct pm_job *const *)a;
    const struct pm_job *y = *(struct pm_job *const *)b;
    double rx;
    double ry;

    /* Production first, whatever the ratios: the rules let it preempt the rest, so ranking it lower
     * would only start work in order to stop it. Unallocated work takes what is left. */
    if ((x->priority == PM_PRIORITY_PRODUCTION) != (y->priority == PM_PRIORITY_PRODUCTION))
        return x->priority == PM_PRIORITY_PRODUCTION ? -1 : 1;
    /* Urgent work next, for the same reason: it may stop lower work, whichever team's that is. */
    if ((x->priority >= PM_PRIORITY_URGENT) != (y->priority >= PM_PRIORITY_URGENT))
        return x->priority >= PM_PRIORITY_URGENT ? -1 : 1;
    if (pm_scheduler_is_unallocated(x) != pm_scheduler_is_unallocated(y))
        return pm_scheduler_is_unallocated(x) ? 1 : -1;
    if (x->scheduling.is_starving != y->scheduling.is_starving)
        return x->scheduling.is_starving ? -1 : 1;
    if (x->scheduling.is_starving && pm_scheduler_since(x) != pm_scheduler_since(y))
        return pm_scheduler_since(x) < pm_scheduler_since(y) ? -1 : 1;
    rx = ranking->ratio[x->spec->team];
    ry = ranking->ratio[y->spec->team];
    if (rx != ry)
        return rx < ry ? -1 : 1;
    if (x->priority != y->priority)
        return x->priority > y->priority ? -1 : 1;
    if (x->scheduling.remaining_cpu_s != y->scheduling.remaining_cpu_s)
        return x->scheduling.remaining_cpu_s < y->scheduling.remaining_cpu_s ? -1 : 1;
    return by_age(a, b);
}

void pm_scheduler_rank(struct pm_scheduler *p, GPtrArray *jobs)
{
    ranking = p;
    g_ptr_array_sort(jobs, by_rank);
}

/* The work of each array job that is left: what has least goes first within its team and priority.
 * When there is more than the machines can do, that keeps most jobs in time, whichever time the
 * users reckon by, and needs no estimate of what the machines will do, which a few late jobs would
 * upset for all behind them. Without any time to keep, a job goes after those that have one. */
void pm_scheduler_measure_left(struct pm_scheduler *p)
{
    GPtrArray *active = pm_jobs_active(p->jobs);

    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        uint32_t done = job->work.done_count;
        uint32_t placed = job->work.placed_count;
        if (job->spec && !job->dependencies.unmet && !job->scheduling.waiting_since_wall)
            job->scheduling.waiting_since_wall = ready_since(job, p->day);
        job->scheduling.remaining_cpu_s = 0;
        if (!job->spec || job->spec->kind != PM_WORKLOAD_ARRAY)
            continue;
        if (job->delegated) /* the leader knows of these what their holders wrote down */
            pm_job_count_tasks(job, &done, &placed);
        job->scheduling.remaining_cpu_s =
            (job->task_count - MIN(done, job->task_count) - 0.5 * placed) * job->spec->cpus *
            (pm_scheduler_estimate_remaining_s(p, job) + 1);
        if (isinf(job->deadline_wall))
            job->scheduling.remaining_cpu_s += NO_DUE;
    }
}

/* Best-effort work that went first in order to begin has begun: it yields at once again. */
static void note_begun(struct pm_job *job, double now)
{
    if (!job->scheduling.has_fully_started && !pm_job_waiting_tasks(job) &&
        job->work.placed_count + job->work.done_count > 0) {
        job->scheduling.has_fully_started = true;
        job->scheduling.fully_started_at = now;
    }
    if (job->scheduling.is_overdue_start && job->scheduling.has_fully_started &&
        job->priority == PM_PRIORITY_BEST_EFFORT &&
        now - job->scheduling.fully_started_at >= BEGUN_KEEP_S)
        job->scheduling.is_overdue_start = false;
}

/* Whether the job may yet come to go first for its age. */
static bool may_starve(const struct pm_job *job)
{
    return !job->delegated && pm_job_waiting_tasks(job) && !pm_failures_is_job_failing(job) &&
           !(job->scheduling.has_fully_started && job->priority == PM_PRIORITY_BEST_EFFORT);
}

/* Ratio and size order what waits, and each could hold a job back for ever: a team with a high
 * ratio, the job with most work while others keep coming, a gang that never finds its room in one
 * piece. What would else not begin whole within a bound goes first until it has, the oldest before
 * the others: as late as the machines, with what else is as old, can still do it in time. Never on
 * all of the machines: when there is more than they can do, all would end up waiting for that
 * bound, and hardly anything would be in time. */
void pm_scheduler_mark_starving(struct pm_scheduler *p, double now)
{
    GPtrArray *active = pm_jobs_active(p->jobs);
    GPtrArray *old = g_ptr_array_new();
    double pool = MAX(pm_scheduler_batch_capacity_cpus(p, now), 1);
    double work = 0;
    double cpus = 0;
    guint overdue = 0;

    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        job->scheduling.is_starving = false;
        if (!job->spec || job->state != PM_JOB_LIVE)
            continue;
        note_begun(job, now);
        if (job->scheduling.is_overdue_start)
            cpus += job->work.placed_count * job->spec->cpus;
        if (may_starve(job) && p->day - pm_scheduler_since(job) > OLD_S)
            g_ptr_array_add(old, job);
    }
    g_ptr_array_sort(old, by_age);
    for (guint i = 0; i < old->len; i++) {
        const struct pm_job *job = g_ptr_array_index(old, i);
        double left = BEGIN_S - (p->day - pm_scheduler_since(job));
        if (job->spec->kind == PM_WORKLOAD_GANG) /* finds its room in one piece, or waits on */
            left -= GANG_ROOM_S;
        else if (job->spec->kind == PM_WORKLOAD_ARRAY)
            work += pm_job_waiting_tasks(job) * (pm_scheduler_estimate_remaining_s(p, job) + 1) *
                    job->spec->cpus;
        if (work >= left * pool * SURE_SHARE)
            overdue = i + 1;
    }
    for (guint i = 0; i < overdue && cpus < STARVING_SHARE * pool; i++) {
        struct pm_job *job = g_ptr_array_index(old, i);
        if (job->priority == PM_PRIORITY_BEST_EFFORT && cpus >= BEST_EFFORT_SHARE * pool)
            continue;
        job->scheduling.is_starving = job->scheduling.is_overdue_start = true;
        cpus += pm_job_waiting_tasks(job) * job->spec->cpus;
    }
    g_ptr_array_free(old, TRUE);
}
