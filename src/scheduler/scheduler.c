/* The scheduler's lifecycle, and the steps of one plan. */
#include "scheduler/internal.h"

#include <string.h>

struct pm_scheduler *pm_scheduler_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                      struct pm_workers *workers,
                                      const struct pm_operator_settings *operator_settings)
{
    struct pm_scheduler *scheduler = g_new0(struct pm_scheduler, 1);

    scheduler->tables = tables;
    scheduler->jobs = jobs;
    scheduler->workers = workers;
    scheduler->operator_settings = operator_settings;
    scheduler->sees_all_teams = true;
    scheduler->is_writable = true;
    scheduler->unmet_demand = g_array_new(FALSE, FALSE, sizeof(struct pm_unmet_demand));
    scheduler->run.queue = g_ptr_array_new();
    scheduler->cache.available_machines = g_ptr_array_new();
    scheduler->cache.unschedulable = g_array_new(FALSE, TRUE, sizeof(struct pm_requirements));
    scheduler->leasing.idle_machines = g_ptr_array_new();
    pm_preemption_scratch_init(&scheduler->preemption);
    return scheduler;
}

void pm_scheduler_free(struct pm_scheduler *scheduler)
{
    g_array_free(scheduler->unmet_demand, TRUE);
    g_ptr_array_free(scheduler->run.queue, TRUE);
    g_ptr_array_free(scheduler->cache.available_machines, TRUE);
    g_array_free(scheduler->cache.unschedulable, TRUE);
    g_ptr_array_free(scheduler->leasing.idle_machines, TRUE);
    pm_preemption_scratch_clear(&scheduler->preemption);
    g_free(scheduler);
}

void pm_scheduler_reset(struct pm_scheduler *scheduler)
{
    scheduler->occupancy.charged_at = 0;
    g_array_set_size(scheduler->unmet_demand, 0);
}

void pm_scheduler_set_reserve(struct pm_scheduler *scheduler, double cpus)
{
    scheduler->reserve_cpus = cpus;
}

void pm_scheduler_set_sees_all_teams(struct pm_scheduler *scheduler, bool sees_all_teams)
{
    scheduler->sees_all_teams = sees_all_teams;
}

void pm_scheduler_set_writable(struct pm_scheduler *scheduler, bool is_writable)
{
    scheduler->is_writable = is_writable;
}

/* Computes once what the plan looks up for each task, so that the cost of a plan depends on the
 * number of machines that still have capacity rather than on the size of the fleet. */
static void fill_plan_cache(struct pm_scheduler *scheduler, double now)
{
    struct pm_plan_cache *cache = &scheduler->cache;
    GPtrArray *machines = pm_workers_all(scheduler->workers);

    g_ptr_array_set_size(cache->available_machines, 0);
    g_array_set_size(cache->unschedulable, 0);
    memset(cache->is_boot_expected, 0, sizeof cache->is_boot_expected);
    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (!machine || machine->type < 0 || machine->zone < 0)
            continue;
        if (machine->state == PM_MACHINE_BOOTING &&
            pm_scheduler_is_boot_expected(scheduler->tables, machine, now))
            cache->is_boot_expected[machine->type][machine->zone][machine->spot] = true;
        else if (machine->free.cpus > PM_EPSILON &&
                 pm_scheduler_is_machine_usable(scheduler, machine, now))
            g_ptr_array_add(cache->available_machines, machine);
    }
}

void pm_scheduler_begin_plan(struct pm_scheduler *scheduler, double now, double wall)
{
    scheduler->run.actions = 0;
    scheduler->totals.counted_at = -1;
    scheduler->run.wall = wall;
    pm_scheduler_charge_occupancy(scheduler, now, wall);
    pm_scheduler_stop_disallowed_tasks(scheduler, now);
    pm_scheduler_update_remaining_work(scheduler);
    pm_scheduler_mark_starving(scheduler, now);
    pm_scheduler_update_cold_start(scheduler, now);
    fill_plan_cache(scheduler, now);
    for (int team = 0; team < scheduler->tables->settings->team_count; team++)
        scheduler->run.usage_ratio[team] = pm_scheduler_usage_ratio(scheduler, team);
}

static void fill_queue(struct pm_scheduler *scheduler)
{
    GPtrArray *active = pm_jobs_active(scheduler->jobs);
    GPtrArray *queue = scheduler->run.queue;

    g_ptr_array_set_size(queue, 0);
    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        if (!job->delegated && pm_job_waiting_tasks(job))
            g_ptr_array_add(queue, job);
    }
    pm_scheduler_rank(scheduler, queue);
}

/* Places work within a guarantee before work beyond one, each ranked by usage ratio. Otherwise work
 * that was preempted for a guarantee would be the first to get its capacity back. */
int pm_scheduler_place(struct pm_scheduler *scheduler, double now)
{
    const GPtrArray *queue = scheduler->run.queue;
    double counted_cpus[PM_TEAMS_MAX] = {0};

    fill_queue(scheduler);
    g_array_set_size(scheduler->unmet_demand, 0);
    for (guint i = 0; i < queue->len && scheduler->run.actions < PM_PLAN_ACTIONS_MAX; i++) {
        struct pm_job *job = g_ptr_array_index(queue, i);
        if (!pm_scheduler_is_uncharged(job))
            pm_scheduler_place_job(scheduler, job, job->priority != PM_PRIORITY_PRODUCTION, now);
    }
    for (guint i = 0; i < queue->len; i++) {
        struct pm_job *job = g_ptr_array_index(queue, i);
        if (scheduler->run.actions < PM_PLAN_ACTIONS_MAX)
            pm_scheduler_place_job(scheduler, job, false, now);
        pm_scheduler_record_demand(scheduler, job, counted_cpus, now);
    }
    return scheduler->run.actions;
}

int pm_scheduler_run_plan(struct pm_scheduler *scheduler, double now, double wall)
{
    pm_scheduler_begin_plan(scheduler, now, wall);
    pm_scheduler_place(scheduler, now);
    pm_scheduler_preempt(scheduler, now);
    return scheduler->run.actions;
}
