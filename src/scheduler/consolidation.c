/* Consolidation: drains lightly used ordinary machines, so that they can be terminated.
 *
 * A moved replica is unavailable only while it restarts. On a large fleet several machines are
 * drained at a time: at one machine per second, hundreds would stay half empty for minutes. */
#include "scheduler/internal.h"
#include "base/log.h"

#include <string.h>

enum {
    DRAINING_PER_GROUP_MAX = 3, /* machines being drained at a time, per group */
    MACHINES_PER_GROUP = 100    /* ordinary machines in a group */
};
#define RENTAL_MIN_AGE_S 60.0 /* a machine rented for less time is not drained */

/* Free capacity of a machine. Accelerators are left out, since replicas that use them are not
 * moved. Arrays of this struct are indexed by machine. */
struct free_capacity {
    double cpus, ram_gb;
};

/* The machines that consolidation may drain or fill. */
struct fleet_state {
    struct free_capacity *free; /* owned; zero for machines that no replica may move to */
    double headroom_cpus;
    int draining, ordinary;
};

/* Whether the machine runs only array tasks, which will end, and replicas that may be moved. */
static bool is_movable(const struct pm_machine *machine, double now)
{
    for (guint i = 0; i < machine->placements->len; i++) {
        const struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        if (placement->job->spec->kind == PM_WORKLOAD_ARRAY)
            continue;
        if (!pm_scheduler_is_settled_replica(placement, now) ||
            now - placement->placed_at < PM_REPLICA_SETTLED_S)
            return false;
    }
    return true;
}

/* Whether another machine that caches the image has capacity for the replica. If so, deducts the
 * capacity from `free`. */
static bool fits_elsewhere(struct pm_scheduler *scheduler, const struct pm_machine *from,
                           const struct pm_placement *placement, struct free_capacity *free,
                           double now)
{
    GPtrArray *machines = pm_workers_all(scheduler->workers);
    const struct pm_spec *spec = placement->job->spec;
    struct pm_zone_spread spread;

    pm_scheduler_count_zones(placement->job, &spread);
    spread.zone[from->zone]--;
    spread.total--;
    for (guint i = 0; i < machines->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (!machine || machine == from || machine->spot || !machine->placements->len ||
            !pm_scheduler_has_image(machine, spec->image) ||
            !pm_scheduler_is_machine_usable(scheduler, machine, now) || spec->gpus > 0 ||
            free[i].cpus - spec->cpus <
                PM_SERVICE_SHARE * scheduler->tables->types[machine->type].cpus - PM_EPSILON ||
            free[i].ram_gb + PM_EPSILON < spec->ram_gb ||
            !pm_scheduler_is_zone_allowed(placement->job, &spread, machine->zone) ||
            !pm_scheduler_is_machine_allowed(scheduler->tables, placement->job, machine->type,
                                             machine->zone, machine->spot))
            continue;
        free[i].cpus -= spec->cpus;
        free[i].ram_gb -= spec->ram_gb;
        return true;
    }
    return false;
}

static bool do_all_fit_elsewhere(struct pm_scheduler *scheduler, const struct pm_machine *machine,
                                 struct free_capacity *free, double now)
{
    for (guint i = 0; i < machine->placements->len; i++) {
        const struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        if (placement->job->spec->kind != PM_WORKLOAD_ARRAY &&
            !fits_elsewhere(scheduler, machine, placement, free, now))
            return false;
    }
    return true;
}

static bool is_drainable(const struct pm_scheduler *scheduler, const struct pm_machine *machine,
                         double now)
{
    return !machine->spot && pm_scheduler_is_machine_usable(scheduler, machine, now) &&
           machine->type >= 0 && machine->placements->len &&
           now - machine->provider.rented_at >= RENTAL_MIN_AGE_S && is_movable(machine, now);
}

/* The price of the machine's unused capacity. */
static double unused_price(const struct pm_machine_type *type, const struct pm_machine *machine)
{
    double used_cpus = type->cpus - pm_scheduler_free_or_preemptible_cpus(machine);

    return type->price * (1 - used_cpus / MAX(type->cpus, PM_EPSILON));
}

/* Among the ordinary machines whose replicas all fit on other machines that cache their images,
 * without using the processors kept free for services, returns the one with the highest price of
 * unused capacity. Deducts the capacity that the replicas need elsewhere from `fleet->free`.
 * Returns NULL if there is no such machine. */
static struct pm_machine *choose_machine_to_drain(struct pm_scheduler *scheduler,
                                                  struct fleet_state *fleet, double now)
{
    GPtrArray *machines = pm_workers_all(scheduler->workers);
    size_t size = sizeof(struct free_capacity) * (machines->len + 1);
    struct free_capacity *trial = g_malloc(size);
    struct free_capacity *best_free = g_malloc(size);
    struct pm_machine *best = NULL;
    double best_unused = 0;

    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        const struct pm_machine_type *type;
        double unused;
        if (!machine || !is_drainable(scheduler, machine, now))
            continue;
        type = &scheduler->tables->types[machine->type];
        unused = unused_price(type, machine);
        if (unused <= best_unused ||
            fleet->headroom_cpus - type->cpus < MAX(scheduler->reserve_cpus, PM_EPSILON))
            continue;
        memcpy(trial, fleet->free, size);
        if (!do_all_fit_elsewhere(scheduler, machine, trial, now))
            continue;
        best = machine;
        best_unused = unused;
        memcpy(best_free, trial, size);
    }
    if (best) {
        memcpy(fleet->free, best_free, size);
        fleet->free[best->index] = (struct free_capacity){0};
    }
    g_free(trial);
    g_free(best_free);
    return best;
}

static void drain(struct pm_machine *machine)
{
    pm_info("scheduler.consolidate", "draining machine %s with %u placements", machine->name,
            machine->placements->len);
    machine->reservation.draining = true;
    for (guint i = 0; i < machine->placements->len; i++) {
        struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        if (placement->job->spec->kind == PM_WORKLOAD_SERVICE)
            pm_placement_stop(placement, 0);
    }
}

static void measure_fleet(struct pm_scheduler *scheduler, struct fleet_state *fleet, double now)
{
    GPtrArray *machines = pm_workers_all(scheduler->workers);

    *fleet = (struct fleet_state){.free = g_new0(struct free_capacity, machines->len + 1)};
    for (guint i = 0; i < machines->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (!machine || machine->state != PM_MACHINE_UP || machine->shard.assigned_to)
            continue;
        fleet->draining += machine->reservation.draining && machine->placements->len;
        if (machine->spot || !pm_scheduler_is_machine_usable(scheduler, machine, now))
            continue;
        fleet->ordinary++;
        fleet->headroom_cpus += pm_scheduler_free_or_preemptible_cpus(machine);
        fleet->free[i] = (struct free_capacity){machine->free.cpus, machine->free.ram_gb};
    }
}

void pm_scheduler_consolidate(struct pm_scheduler *scheduler, double now)
{
    struct fleet_state fleet;
    int groups;
    int to_drain;
    int drained = 0;

    if (!scheduler->is_writable)
        return;
    measure_fleet(scheduler, &fleet, now);
    groups = 1 + fleet.ordinary / MACHINES_PER_GROUP;
    to_drain = MIN(groups, DRAINING_PER_GROUP_MAX * groups - fleet.draining);
    while (drained < to_drain) {
        struct pm_machine *machine = choose_machine_to_drain(scheduler, &fleet, now);
        if (!machine)
            break;
        drained++;
        fleet.headroom_cpus -= scheduler->tables->types[machine->type].cpus;
        drain(machine);
    }
    if (!drained && to_drain > 0)
        pm_scheduler_rebalance(scheduler, now);
    g_free(fleet.free);
}
