/* Gang scheduling: all tasks of a gang start together, and capacity is freed or reserved for all of
 * them or for none. */
#include "scheduler/internal.h"

/* Adds `count` times what a task requests to the machine's free capacity. */
static void adjust_free(struct pm_machine *machine, const struct pm_spec *spec, int count)
{
    machine->free.cpus += count * spec->cpus;
    machine->free.gpus += count * spec->gpus;
    machine->free.ram_gb += count * spec->ram_gb;
}

/* Finds a machine for each task, and returns whether all were found. During the search, the
 * capacity of the tasks already assigned is deducted from their machines. */
static bool choose_machines(struct pm_scheduler *scheduler, const struct pm_job *job, int only_zone,
                            struct pm_machine **chosen, struct pm_zone_spread *spread, double now)
{
    uint32_t found;

    for (found = 0; found < job->task_count; found++) {
        chosen[found] = pm_scheduler_best_machine(scheduler, job, spread, only_zone, now);
        if (!chosen[found])
            break;
        adjust_free(chosen[found], job->spec, -1);
        pm_scheduler_add_to_spread(spread, chosen[found]);
    }
    for (uint32_t i = 0; i < found; i++)
        adjust_free(chosen[i], job->spec, 1);
    return found == job->task_count;
}

bool pm_scheduler_place_gang(struct pm_scheduler *scheduler, struct pm_job *job, int only_zone,
                             bool within_guarantee, double now)
{
    struct pm_zone_spread spread = {0};
    struct pm_machine **chosen;
    bool is_complete;

    if (!pm_scheduler_may_start(scheduler, job, job->task_count, within_guarantee))
        return false;
    chosen = g_new0(struct pm_machine *, job->task_count);
    is_complete = choose_machines(scheduler, job, only_zone, chosen, &spread, now);
    if (is_complete) {
        job->work.last_attempt++;
        for (uint32_t i = 0; i < job->task_count; i++)
            pm_scheduler_place_task(scheduler, job, i, chosen[i], job->work.last_attempt, &spread,
                                    now);
    }
    g_free(chosen);
    return is_complete;
}

/* How many tasks of the gang will fit on the machine once its array tasks, and the tasks that are
 * being stopped, have ended. */
static uint32_t count_future_fit(struct pm_scheduler *scheduler, const struct pm_machine *machine,
                                 const struct pm_job *job, int only_zone, double now)
{
    struct pm_machine_capacity future = machine->free;

    if (!pm_scheduler_is_machine_usable(scheduler, machine, now) ||
        (only_zone >= 0 && machine->zone != only_zone) ||
        pm_scheduler_is_reserved_for_other_gang(machine, job, now) ||
        !pm_scheduler_is_machine_allowed(scheduler->tables, job, machine->type, machine->zone,
                                         machine->spot))
        return 0;
    for (guint i = 0; i < machine->placements->len; i++) {
        const struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        const struct pm_spec *spec = placement->job->spec;
        if (placement->state == PM_PLACEMENT_ENDED ||
            (spec->kind != PM_WORKLOAD_ARRAY && !placement->should_stop))
            continue;
        future.cpus += spec->cpus;
        future.gpus += spec->gpus;
        future.ram_gb += spec->ram_gb;
    }
    return pm_spec_tasks_that_fit(job->spec, future.cpus, future.gpus, future.ram_gb);
}

bool pm_scheduler_reserve_for_gang(struct pm_scheduler *scheduler, struct pm_job *job,
                                   int only_zone, double now)
{
    GPtrArray *machines = pm_workers_all(scheduler->workers);
    uint32_t fitting = 0;

    for (guint i = 0; i < machines->len && fitting < job->task_count; i++)
        if (g_ptr_array_index(machines, i))
            fitting +=
                count_future_fit(scheduler, g_ptr_array_index(machines, i), job, only_zone, now);
    if (fitting < job->task_count)
        return false;
    fitting = 0;
    for (guint i = 0; i < machines->len && fitting < job->task_count; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        uint32_t fitting_here =
            machine ? count_future_fit(scheduler, machine, job, only_zone, now) : 0;
        if (!fitting_here)
            continue;
        machine->reservation.gang = job;
        fitting += fitting_here;
    }
    job->scheduling.reservation_until = now + PM_GANG_RESERVATION_S;
    return true;
}

/* Whether preemption can free capacity for all tasks of the gang. Searches with a copy of
 * `reserved`. */
static bool can_preempt_for_gang(struct pm_scheduler *scheduler,
                                 struct pm_preemption_request request,
                                 const struct pm_machine_capacity *reserved, double now)
{
    size_t size =
        sizeof(struct pm_machine_capacity) * (pm_workers_all(scheduler->workers)->len + 1);
    struct pm_machine_capacity *trial = g_memdup2(reserved, size);
    struct pm_zone_spread spread = {0};
    uint32_t fitting = 0;

    request.dry_run = true;
    while (fitting < request.job->task_count &&
           pm_scheduler_preempt_for_task(scheduler, &request, trial, &spread, now))
        fitting++;
    g_free(trial);
    return fitting == request.job->task_count;
}

void pm_scheduler_preempt_for_gang(struct pm_scheduler *scheduler, struct pm_job *job,
                                   struct pm_machine_capacity *reserved, double now)
{
    struct pm_preemption_request request = {.job = job, .only_zone = -1};
    struct pm_zone_spread spread = {0};
    int zones = job->spec->same_zone ? scheduler->tables->settings->zone_count : 1;
    int zone = 0;

    if (job->priority < PM_PRIORITY_URGENT || now < job->scheduling.reservation_until)
        return;
    for (; zone < zones; zone++) {
        request.only_zone = job->spec->same_zone ? zone : -1;
        if (can_preempt_for_gang(scheduler, request, reserved, now))
            break;
    }
    if (zone == zones)
        return;
    job->scheduling.reservation_until = now + PM_GANG_RESERVATION_S;
    for (uint32_t i = 0; i < job->task_count; i++) {
        struct pm_machine *machine =
            pm_scheduler_preempt_for_task(scheduler, &request, reserved, &spread, now);
        if (!machine)
            break;
        machine->reservation.gang = job;
    }
}
