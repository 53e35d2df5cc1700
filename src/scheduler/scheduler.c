#include "scheduler/internal.h"
#include "base/log.h"

#include <math.h>
#include <string.h>

#define RETRY_WAITS_S 30.0 /* a failing job's try waits so long for room before it is a want */

struct pm_scheduler *pm_scheduler_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                      struct pm_workers *workers,
                                      const struct pm_operator_settings *op)
{
    struct pm_scheduler *p = g_new0(struct pm_scheduler, 1);

    p->tables = tables;
    p->jobs = jobs;
    p->workers = workers;
    p->op = op;
    p->sees_all = p->writable = true;
    p->wants = g_array_new(FALSE, FALSE, sizeof(struct pm_unmet_demand));
    p->queue = g_ptr_array_new();
    p->room = g_ptr_array_new();
    p->whole = g_ptr_array_new();
    pm_scheduler_preempt_begin(p);
    p->hopeless = g_array_new(FALSE, TRUE, sizeof(struct need));
    return p;
}

void pm_scheduler_free(struct pm_scheduler *p)
{
    g_array_free(p->wants, TRUE);
    g_ptr_array_free(p->queue, TRUE);
    g_ptr_array_free(p->room, TRUE);
    g_ptr_array_free(p->whole, TRUE);
    pm_scheduler_preempt_end(p);
    g_array_free(p->hopeless, TRUE);
    g_free(p);
}

void pm_scheduler_reset(struct pm_scheduler *p)
{
    p->charged_at = 0;
    g_array_set_size(p->wants, 0);
}

const GArray *pm_scheduler_unmet_demand(const struct pm_scheduler *p)
{
    return p->wants;
}

void pm_scheduler_set_reserve(struct pm_scheduler *p, double cpus)
{
    p->reserve = cpus;
}

void pm_scheduler_set_full_view(struct pm_scheduler *p, bool sees_all)
{
    p->sees_all = sees_all;
}

void pm_scheduler_set_writable(struct pm_scheduler *p, bool writable)
{
    p->writable = writable;
}

/* Within the team's limit, and, if asked, its guarantee. */
bool pm_scheduler_within(const struct pm_scheduler *p, const struct pm_job *job, uint32_t tasks,
                         bool guarantee)
{
    const struct pm_team_setting *team = &p->tables->settings->teams[job->spec->team];

    if (job->work.placed_count + tasks > job->parallelism)
        return false; /* the block's lease allows no more at once */
    if (job->spec->kind == PM_WORKLOAD_ARRAY && job->work.placed_count &&
        pm_failures_is_job_failing(job))
        return false; /* one at a time */
    if (guarantee &&
        (p->actual[job->spec->team] + tasks * job->spec->cpus > team->cpus + EPS ||
         pm_quota_total(p, job->spec->team).gpus + tasks * job->spec->gpus > team->gpus + EPS))
        return false;
    /* Always the limit too: leases out count for it, though they are not in use yet. */
    return pm_quota_allows(p, job->spec, tasks);
}

void pm_scheduler_place_task(struct pm_scheduler *p, struct pm_job *job, uint32_t index,
                             struct pm_machine *m, uint32_t attempt, struct spread *at, double now)
{
    pm_workers_add_placement(p->workers, job, index, m, attempt, m->heartbeat.incarnation,
                             PM_PLACEMENT_PROPOSED, now);
    pm_job_mark_dirty(job, index);
    pm_quota_add_own(p, job->spec, 1);
    p->actual[job->spec->team] += job->spec->cpus;
    at->zone[m->zone]++;
    at->total++;
    p->steps++;
    if (m->free.cpus < EPS)
        g_ptr_array_remove(p->room, m);
    pm_debug("scheduler.placed",
             "%s/%u try %u on %s, %s uses %g of %g: own %g, leased %g, stray %g", job->id, index,
             attempt, m->name, p->tables->settings->teams[job->spec->team].name,
             pm_quota_total(p, job->spec->team).cpus,
             p->tables->settings->teams[job->spec->team].cpus_max, p->use[job->spec->team].own.cpus,
             p->use[job->spec->team].leased.cpus, p->use[job->spec->team].stray.cpus);
}

/* The next waiting task from `from` on, or `entries`. Those that rest after errors are skipped. */
static uint32_t next_waiting(const struct pm_name_tables *tables, struct pm_job *job, uint32_t from,
                             double now)
{
    for (uint32_t i = from; i < job->task_count; i++) {
        const struct pm_task *task = pm_job_find_task(job, i);
        if (!task || (!task->done && !task->placement && task->backoff_until <= now)) {
            if (job->spec->kind == PM_WORKLOAD_GANG || pm_job_value_has_room(tables, job, i))
                return i;
            i |= PM_HALF_CHUNK_TASKS -
                 1; /* the others of this half, too, wait until a place there is free */
        }
    }
    return job->task_count;
}

static uint32_t place_tasks(struct pm_scheduler *p, struct pm_job *job, bool guarantee, double now)
{
    struct pm_machine *m = NULL;
    struct spread at;
    uint32_t placed = 0;
    uint32_t i;
    const struct pm_task *task;

    while (job->work.first_waiting_hint < job->task_count &&
           (task = pm_job_find_task(job, job->work.first_waiting_hint)) &&
           (task->done || task->placement))
        job->work.first_waiting_hint++;
    i = job->work.first_waiting_hint;
    pm_scheduler_count_zones(job, &at);
    while (p->steps < STEPS_MAX) {
        i = next_waiting(p->tables, job, i, now);
        if (i >= job->task_count || !pm_scheduler_within(p, job, 1, guarantee))
            break;
        /* Array tasks fill a machine before the next one is looked for. */
        if (!m || job->spec->kind != PM_WORKLOAD_ARRAY || job->spec->spread_zones ||
            !pm_scheduler_has_free_capacity(m, job->spec)) {
            struct need need = pm_scheduler_need_of(p, job, &at, -1);
            if (pm_scheduler_is_unschedulable(p, &need))
                break;
            m = pm_scheduler_best_machine(p, job, &at, -1, now);
            if (!m)
                g_array_append_val(p->hopeless, need);
        }
        if (!m || pm_scheduler_better_cleared(p, m, job, &at, now) ||
            pm_scheduler_rather_waits(p, m, job))
            break;
        pm_scheduler_place_task(p, job, i, m, ++job->work.last_attempt, &at, now);
        placed++;
        i++;
    }
    return placed;
}

static uint32_t place_job(struct pm_scheduler *p, struct pm_job *job, bool guarantee, double now)
{
    int zones;

    if (pm_failures_is_job_failing(job) && !pm_failures_may_retry(job, now))
        return 0;
    if (job->spec->kind != PM_WORKLOAD_GANG)
        return place_tasks(p, job, guarantee, now);
    /* The old attempt's tasks hold their machines, and their zones, until they are gone. */
    if (job->work.placed_count || job->work.done_count || next_waiting(p->tables, job, 0, now) > 0)
        return 0;
    for (uint32_t i = 0; i < job->task_count; i++) {
        const struct pm_task *task = pm_job_find_task(job, i);
        if (task && task->backoff_until > now)
            return 0;
    }
    zones = job->spec->same_zone ? p->tables->settings->zone_count : 1;
    for (int zone = 0; zone < zones; zone++)
        if (pm_scheduler_place_gang(p, job, job->spec->same_zone ? zone : -1, guarantee, now))
            return job->task_count;
    for (int zone = 0; zone < zones; zone++)
        if (job->scheduling.is_starving && now > job->scheduling.reservation_until - CLAIM_S / 2 &&
            pm_scheduler_await_room(p, job, job->spec->same_zone ? zone : -1, now))
            break;
    return 0;
}

static void note_cold_start(struct pm_scheduler *p, double now)
{
    GPtrArray *active = pm_jobs_active(p->jobs);

    p->cold = now < p->cold_until;
    if (p->cold)
        return;
    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *job = g_ptr_array_index(active, i);
        if (job->spec && job->spec->kind == PM_WORKLOAD_SERVICE && job->work.placed_count)
            return;
    }
    p->cold_until = now + 2 * p->op->replica_due_s;
    p->cold = true;
}

/* What the run at hand looks at again and again, looked at once. */
static void survey(struct pm_scheduler *p, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);

    g_ptr_array_set_size(p->room, 0);
    g_array_set_size(p->hopeless, 0);
    memset(p->soon, 0, sizeof p->soon);
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m || m->type < 0 || m->zone < 0)
            continue;
        if (m->state == PM_MACHINE_BOOTING && pm_scheduler_boots_soon(p->tables, m, now))
            p->soon[m->type][m->zone][m->spot] = true;
        else if (m->free.cpus > EPS && pm_scheduler_is_machine_usable(p, m, now))
            g_ptr_array_add(p->room, m);
    }
}

void pm_scheduler_begin(struct pm_scheduler *p, double now, double day)
{
    p->steps = 0;
    p->totals.at = -1;
    p->day = day;
    pm_scheduler_charge_occupancy(p, now, day);
    pm_scheduler_stop_disallowed_tasks(p, now);
    pm_scheduler_measure_left(p);
    pm_scheduler_mark_starving(p, now);
    note_cold_start(p, now);
    survey(p, now);
    for (int t = 0; t < p->tables->settings->team_count; t++)
        p->ratio[t] = pm_scheduler_usage_ratio(p, t);
}

/* How many tasks of the job wait for nothing but room: a reason to stop others, or to rent. What
 * rests, or what a failing job has beyond the one task it is tried with, would not take the room. A
 * failing job is no reason for either, unless its try finds no room for long: were it taken for
 * broken wrongly, it would never run on a deployment that has no machine for it. */
static uint32_t count_wanted(const struct pm_job *job, double now)
{
    if (!pm_failures_is_job_failing(job))
        return pm_job_startable_tasks(job, now);
    if (job->work.placed_count || now < job->failures.retry_at + RETRY_WAITS_S)
        return 0;
    return MIN(pm_job_startable_tasks(job, now),
               job->spec->kind == PM_WORKLOAD_GANG ? job->task_count : 1);
}

int pm_scheduler_place(struct pm_scheduler *p, double now)
{
    GPtrArray *active = pm_jobs_active(p->jobs);
    double held_cpus[PM_TEAMS_MAX] = {0};

    g_ptr_array_set_size(p->queue, 0);
    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        if (!job->delegated && pm_job_waiting_tasks(job))
            g_ptr_array_add(p->queue, job);
    }
    pm_scheduler_rank(p, p->queue);
    g_array_set_size(p->wants, 0);
    /* What is within a guarantee goes before what is beyond one; ratio order rules in both. Else
     * work that was stopped for a guarantee would be the first to take the room again. */
    for (guint i = 0; i < p->queue->len && p->steps < STEPS_MAX; i++) {
        struct pm_job *job = g_ptr_array_index(p->queue, i);
        if (!pm_scheduler_is_unallocated(job))
            place_job(p, job, job->priority != PM_PRIORITY_PRODUCTION, now);
    }
    for (guint i = 0; i < p->queue->len; i++) {
        struct pm_job *job = g_ptr_array_index(p->queue, i);
        const struct pm_team_setting *team = &p->tables->settings->teams[job->spec->team];
        uint32_t left;
        double room;
        if (p->steps < STEPS_MAX)
            place_job(p, job, false, now);
        left = count_wanted(job, now);
        if (!left || (job->spec->kind == PM_WORKLOAD_GANG && job->work.placed_count))
            continue;
        /* More than the team's limit allows is no reason to rent or to stop anything. */
        room =
            team->cpus_max - pm_quota_total(p, job->spec->team).cpus - held_cpus[job->spec->team];
        if (job->spec->cpus > 0)
            left = (uint32_t)MIN((double)left, MAX(0, floor((room + EPS) / job->spec->cpus)));
        if (job->spec->kind == PM_WORKLOAD_GANG && left < job->task_count)
            continue;
        if (!left)
            continue;
        held_cpus[job->spec->team] += left * job->spec->cpus;
        pm_scheduler_add_unmet_demand(p, job, left);
    }
    return p->steps;
}

int pm_scheduler_run(struct pm_scheduler *p, double now, double day)
{
    pm_scheduler_begin(p, now, day);
    pm_scheduler_place(p, now);
    pm_scheduler_preempt(p, now);
    return p->steps;
}
