/* Rebalancing: evens out the number of replicas on the ordinary machines. */
#include "scheduler/internal.h"
#include "base/log.h"

#include <math.h>

/* The least gain that justifies a move, as a share of the machine's processors. */
#define GAIN_MIN_SHARE 0.25

/* The best move found so far. */
struct move {
    struct pm_placement *placement; /* NULL: none yet */
    double gain;
};

bool pm_scheduler_is_settled_replica(const struct pm_placement *placement, double now)
{
    return placement->job->spec->kind == PM_WORKLOAD_SERVICE &&
           placement->state == PM_PLACEMENT_RUNNING && !placement->should_stop &&
           now - placement->running_since >= PM_REPLICA_SETTLED_S;
}

/* The processors that are free or preemptible on each machine. Both arrays are indexed by machine.
 */
struct fleet_cpus {
    GPtrArray *machines; /* borrowed */
    double *cpus;        /* owned; NAN if the machine must not be used */
    guint count;
};

static struct fleet_cpus measure_fleet(struct pm_scheduler *scheduler, double now)
{
    GPtrArray *machines = pm_workers_all(scheduler->workers);
    struct fleet_cpus fleet = {machines, g_new(double, machines->len + 1), machines->len};

    for (guint i = 0; i < fleet.count; i++) {
        const struct pm_machine *machine = g_ptr_array_index(machines, i);
        bool is_candidate =
            machine && !machine->spot && pm_scheduler_is_machine_usable(scheduler, machine, now);
        fleet.cpus[i] = is_candidate ? pm_scheduler_free_or_preemptible_cpus(machine) : NAN;
    }
    return fleet;
}

/* Looks for a machine where the replica leaves more processors free or preemptible than on its own,
 * which has `cpus_here` of them. Updates `best` if the gain is greater than that of `best`. */
static void consider_moves(const struct pm_scheduler *scheduler, struct pm_placement *placement,
                           const struct fleet_cpus *fleet, double cpus_here, struct move *best)
{
    const struct pm_machine *from = placement->machine;
    const struct pm_job *job = placement->job;
    double threshold = scheduler->tables->types[from->type].cpus * GAIN_MIN_SHARE;

    for (guint i = 0; i < fleet->count; i++) {
        const struct pm_machine *target = g_ptr_array_index(fleet->machines, i);
        double gain = fleet->cpus[i] - cpus_here - 2 * job->spec->cpus - threshold;
        if (!(gain > best->gain)) /* also skips machines with NAN */
            continue;
        if (!pm_scheduler_has_image(target, job->spec->image) ||
            !pm_scheduler_has_free_capacity(target, job->spec) ||
            !pm_scheduler_is_machine_allowed(scheduler->tables, job, target->type, target->zone,
                                             target->spot) ||
            pm_scheduler_count_tasks_of(target, job) >= pm_scheduler_count_tasks_of(from, job))
            continue;
        best->gain = gain;
        best->placement = placement;
    }
}

static void consider_machine(const struct pm_scheduler *scheduler, const struct pm_machine *machine,
                             const struct fleet_cpus *fleet, double cpus_here, struct move *best,
                             double now)
{
    for (guint i = 0; i < machine->placements->len; i++) {
        struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        const struct pm_spec *spec = placement->job->spec;
        if (pm_scheduler_is_settled_replica(placement, now) && !spec->spread_zones &&
            !spec->same_zone)
            consider_moves(scheduler, placement, fleet, cpus_here, best);
    }
}

void pm_scheduler_rebalance(struct pm_scheduler *scheduler, double now)
{
    struct fleet_cpus fleet = measure_fleet(scheduler, now);
    struct move best = {0};

    for (guint i = 0; i < fleet.count; i++) {
        const struct pm_machine *machine = g_ptr_array_index(fleet.machines, i);
        if (machine && !isnan(fleet.cpus[i]))
            consider_machine(scheduler, machine, &fleet, fleet.cpus[i], &best, now);
    }
    g_free(fleet.cpus);
    if (!best.placement)
        return;
    pm_debug("scheduler.balance", "moving replica %s/%u off machine %s", best.placement->job->id,
             best.placement->task_index, best.placement->machine->name);
    pm_placement_stop(best.placement, 0);
}
