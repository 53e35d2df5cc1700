/* Places the waiting tasks of one job. */
#include "scheduler/internal.h"
#include "base/log.h"

bool pm_scheduler_may_start(const struct pm_scheduler *scheduler, const struct pm_job *job,
                            uint32_t tasks, bool within_guarantee)
{
    const struct pm_spec *spec = job->spec;
    const struct pm_team_setting *team = &scheduler->tables->settings->teams[spec->team];

    if (job->work.placed_count + tasks > job->parallelism)
        return false; /* the shard's lease allows no more tasks at once */
    if (spec->kind == PM_WORKLOAD_ARRAY && job->work.placed_count &&
        pm_failures_is_job_failing(job))
        return false; /* a failing job runs one task at a time */
    if (within_guarantee &&
        (scheduler->guarantee.used_cpus[spec->team] + tasks * spec->cpus >
             team->cpus + PM_EPSILON ||
         pm_quota_total(scheduler, spec->team).gpus + tasks * spec->gpus > team->gpus + PM_EPSILON))
        return false;
    /* The quota may be used up even if the guarantee is not: leases count against the quota before
     * their tasks run. */
    return pm_quota_allows(scheduler, spec, tasks);
}

static void log_placement(const struct pm_scheduler *scheduler, const struct pm_job *job,
                          uint32_t index, uint32_t attempt, const struct pm_machine *machine)
{
    const struct pm_team_setting *team = &scheduler->tables->settings->teams[job->spec->team];
    const struct pm_team_usage *usage = &scheduler->quota.team[job->spec->team];

    pm_debug("scheduler.placed",
             "task %s/%u attempt %u on machine %s; team %s uses %g of %g cpus: "
             "placed %g, leased %g, orphaned %g",
             job->id, index, attempt, machine->name, team->name,
             pm_quota_total(scheduler, job->spec->team).cpus, team->cpus_max, usage->placed.cpus,
             usage->leased.cpus, usage->orphaned.cpus);
}

void pm_scheduler_place_task(struct pm_scheduler *scheduler, struct pm_job *job, uint32_t index,
                             struct pm_machine *machine, uint32_t attempt,
                             struct pm_zone_spread *spread, double now)
{
    pm_workers_add_placement(scheduler->workers, job, index, machine, attempt,
                             machine->heartbeat.incarnation, PM_PLACEMENT_PROPOSED, now);
    pm_job_mark_dirty(job, index);
    pm_quota_add_placed(scheduler, job->spec, 1);
    scheduler->guarantee.used_cpus[job->spec->team] += job->spec->cpus;
    pm_scheduler_add_to_spread(spread, machine);
    scheduler->run.actions++;
    if (machine->free.cpus < PM_EPSILON)
        g_ptr_array_remove(scheduler->cache.available_machines, machine);
    log_placement(scheduler, job, index, attempt, machine);
}

/* Returns the first task at or after `from` that is waiting, is not in back-off, and whose
 * placement can be stored (not checked for gangs), or the job's task count if there is none. */
static uint32_t next_waiting_task(const struct pm_name_tables *tables, struct pm_job *job,
                                  uint32_t from, double now)
{
    for (uint32_t i = from; i < job->task_count; i++) {
        const struct pm_task *task = pm_job_find_task(job, i);
        if (task && (task->done || task->placement || task->backoff_until > now))
            continue;
        if (job->spec->kind == PM_WORKLOAD_GANG || pm_job_can_store_placement(tables, job, i))
            return i;
        /* The stored value has no room for another placement: skip the other tasks of this half
         * chunk too. */
        i |= PM_HALF_CHUNK_TASKS - 1;
    }
    return job->task_count;
}

/* Advances the job's `first_waiting_hint` past tasks that are placed or done, and returns it. */
static uint32_t advance_waiting_hint(struct pm_job *job)
{
    while (job->work.first_waiting_hint < job->task_count) {
        const struct pm_task *task = pm_job_find_task(job, job->work.first_waiting_hint);
        if (!task || !(task->done || task->placement))
            break;
        job->work.first_waiting_hint++;
    }
    return job->work.first_waiting_hint;
}

/* Returns the machine for the job's next task, or NULL if the task fits nowhere. `previous` is the
 * machine chosen for the job's previous task in this plan, or NULL. Array tasks fill that
 * machine before another is chosen. */
static struct pm_machine *choose_machine(struct pm_scheduler *scheduler, const struct pm_job *job,
                                         struct pm_machine *previous,
                                         const struct pm_zone_spread *spread, double now)
{
    struct pm_requirements requirements;
    struct pm_machine *machine;

    if (previous && job->spec->kind == PM_WORKLOAD_ARRAY && !job->spec->spread_zones &&
        pm_scheduler_has_free_capacity(previous, job->spec))
        return previous;
    requirements = pm_scheduler_requirements(scheduler, job, spread, -1);
    if (pm_scheduler_is_unschedulable(scheduler, &requirements))
        return NULL;
    machine = pm_scheduler_best_machine(scheduler, job, spread, -1, now);
    if (!machine)
        pm_scheduler_mark_unschedulable(scheduler, &requirements);
    return machine;
}

static void place_tasks(struct pm_scheduler *scheduler, struct pm_job *job, bool within_guarantee,
                        double now)
{
    struct pm_machine *machine = NULL;
    struct pm_zone_spread spread;
    uint32_t index = advance_waiting_hint(job);

    pm_scheduler_count_zones(job, &spread);
    for (; scheduler->run.actions < PM_PLAN_ACTIONS_MAX; index++) {
        index = next_waiting_task(scheduler->tables, job, index, now);
        if (index >= job->task_count ||
            !pm_scheduler_may_start(scheduler, job, 1, within_guarantee))
            return;
        machine = choose_machine(scheduler, job, machine, &spread, now);
        if (!machine ||
            pm_scheduler_should_await_preemption(scheduler, machine, job, &spread, now) ||
            pm_scheduler_should_await_boot(scheduler, machine, job))
            return;
        pm_scheduler_place_task(scheduler, job, index, machine, ++job->work.last_attempt, &spread,
                                now);
    }
}

/* Whether a whole gang may start: none of its tasks is in back-off, and all tasks of its last
 * attempt have ended. Tasks that have not ended occupy their machines, and restrict the gang to
 * their zone. */
static bool is_gang_ready(const struct pm_scheduler *scheduler, struct pm_job *job, double now)
{
    if (job->work.placed_count || job->work.done_count ||
        next_waiting_task(scheduler->tables, job, 0, now) > 0)
        return false;
    for (uint32_t i = 0; i < job->task_count; i++) {
        const struct pm_task *task = pm_job_find_task(job, i);
        if (task && task->backoff_until > now)
            return false;
    }
    return true;
}

static void place_or_reserve_gang(struct pm_scheduler *scheduler, struct pm_job *job,
                                  bool within_guarantee, double now)
{
    bool same_zone = job->spec->same_zone;
    int zones = same_zone ? scheduler->tables->settings->zone_count : 1;

    if (!is_gang_ready(scheduler, job, now))
        return;
    for (int zone = 0; zone < zones; zone++)
        if (pm_scheduler_place_gang(scheduler, job, same_zone ? zone : -1, within_guarantee, now))
            return;
    if (!job->scheduling.is_starving ||
        now <= job->scheduling.reservation_until - PM_GANG_RESERVATION_S / 2)
        return;
    for (int zone = 0; zone < zones; zone++)
        if (pm_scheduler_reserve_for_gang(scheduler, job, same_zone ? zone : -1, now))
            return;
}

void pm_scheduler_place_job(struct pm_scheduler *scheduler, struct pm_job *job,
                            bool within_guarantee, double now)
{
    if (pm_failures_is_job_failing(job) && !pm_failures_may_retry(job, now))
        return;
    if (job->spec->kind == PM_WORKLOAD_GANG)
        place_or_reserve_gang(scheduler, job, within_guarantee, now);
    else
        place_tasks(scheduler, job, within_guarantee, now);
}
