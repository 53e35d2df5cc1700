/* The free and preemptible capacity of one machine, and capacity totals of the whole fleet. */
#include "scheduler/internal.h"

double pm_scheduler_free_or_preemptible_cpus(const struct pm_machine *machine)
{
    double cpus = machine->free.cpus;

    for (guint i = 0; i < machine->placements->len; i++) {
        const struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        if (placement->state != PM_PLACEMENT_ENDED &&
            placement->job->priority < PM_PRIORITY_PRODUCTION)
            cpus += placement->job->spec->cpus;
    }
    return cpus;
}

double pm_scheduler_fetch_backlog_s(const struct pm_scheduler *scheduler,
                                    const struct pm_machine *machine, const struct pm_spec *spec)
{
    double backlog_gb = 0;

    for (guint i = 0; i < machine->placements->len; i++) {
        const struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        const struct pm_spec *other = placement->job->spec;
        if (placement->state <= PM_PLACEMENT_FETCHING && other->image != spec->image &&
            !pm_scheduler_has_image(machine, other->image))
            backlog_gb += other->image_gb;
    }
    return backlog_gb / MAX(scheduler->tables->types[machine->type].pull_gb_per_s, PM_EPSILON);
}

static void add_machine(const struct pm_scheduler *scheduler, const struct pm_machine *machine,
                        struct pm_capacity_totals *totals, double now)
{
    double machine_cpus = scheduler->tables->types[machine->type].cpus;
    double cpus;

    if (machine->shard.assigned_to ||
        (machine->state == PM_MACHINE_BOOTING &&
         pm_scheduler_is_boot_expected(scheduler->tables, machine, now)))
        totals->batch_cpus += machine_cpus;
    if (!pm_scheduler_is_machine_usable(scheduler, machine, now))
        return;
    cpus = pm_scheduler_free_or_preemptible_cpus(machine);
    totals->batch_cpus += cpus;
    if (machine->spot)
        return;
    totals->headroom_cpus += cpus;
    totals->largest_service_cpus = MAX(totals->largest_service_cpus, machine_cpus - cpus);
}

/* Counts all totals in one pass over the machines, because the autoscaler asks for each of them at
 * the same time. */
static const struct pm_capacity_totals *count_totals(struct pm_scheduler *scheduler, double now)
{
    GPtrArray *machines = pm_workers_all(scheduler->workers);
    struct pm_capacity_totals *totals = &scheduler->totals;

    if (totals->counted_at == now)
        return totals;
    *totals = (struct pm_capacity_totals){.counted_at = now};
    for (guint i = 0; i < machines->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (machine && machine->type >= 0 && machine->state != PM_MACHINE_TERMINATING)
            add_machine(scheduler, machine, totals, now);
    }
    return totals;
}

double pm_scheduler_headroom_cpus(struct pm_scheduler *scheduler, double now)
{
    return count_totals(scheduler, now)->headroom_cpus;
}

double pm_scheduler_largest_service_cpus(struct pm_scheduler *scheduler, double now)
{
    return count_totals(scheduler, now)->largest_service_cpus;
}

double pm_scheduler_batch_capacity_cpus(struct pm_scheduler *scheduler, double now)
{
    return count_totals(scheduler, now)->batch_cpus;
}
