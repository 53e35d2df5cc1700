/* What a job's next task requires of a machine, and which requirements no machine meets.
 *
 * Capacity only shrinks within a plan. Requirements that no machine met are therefore not tried
 * again in the same plan, also not for other jobs that have them. */
#include "scheduler/internal.h"

#include <string.h>

void pm_scheduler_count_zones(const struct pm_job *job, struct pm_zone_spread *out)
{
    memset(out, 0, sizeof *out);
    if (!job->work.placed_count || !(job->spec->spread_zones || job->spec->same_zone))
        return; /* the counts are not used */
    for (uint32_t i = 0; i < job->task_count; i++) {
        const struct pm_task *task = pm_job_find_task(job, i);
        if (!task || !task->placement || task->placement->state == PM_PLACEMENT_ENDED)
            continue;
        if (task->placement->machine->zone >= 0)
            out->zone[task->placement->machine->zone]++;
        else
            out->unknown++;
        out->total++;
    }
}

void pm_scheduler_add_to_spread(struct pm_zone_spread *spread, const struct pm_machine *machine)
{
    spread->zone[machine->zone]++;
    spread->total++;
}

struct pm_requirements pm_scheduler_requirements(const struct pm_scheduler *scheduler,
                                                 const struct pm_job *job,
                                                 const struct pm_zone_spread *spread, int team)
{
    const struct pm_spec *spec = job->spec;
    struct pm_requirements requirements = {
        .types = spec->allowed_types,
        .team = team,
        .priority = job->priority,
        .spot = spec->spot,
        .cpus = spec->cpus,
        .gpus = spec->gpus,
        .ram_gb = spec->ram_gb,
    };

    for (int zone = 0; zone < scheduler->tables->settings->zone_count; zone++)
        if ((spec->zone < 0 || spec->zone == zone) &&
            pm_scheduler_is_zone_allowed(job, spread, zone))
            requirements.zones |= 1u << zone;
    return requirements;
}

static bool are_equal(const struct pm_requirements *left, const struct pm_requirements *right)
{
    return left->types == right->types && left->zones == right->zones &&
           left->team == right->team && left->priority == right->priority &&
           left->spot == right->spot && left->cpus == right->cpus && left->gpus == right->gpus &&
           left->ram_gb == right->ram_gb;
}

bool pm_scheduler_is_unschedulable(const struct pm_scheduler *scheduler,
                                   const struct pm_requirements *requirements)
{
    const GArray *unschedulable = scheduler->cache.unschedulable;

    for (guint i = 0; i < unschedulable->len; i++)
        if (are_equal(&g_array_index(unschedulable, struct pm_requirements, i), requirements))
            return true;
    return false;
}

void pm_scheduler_mark_unschedulable(struct pm_scheduler *scheduler,
                                     const struct pm_requirements *requirements)
{
    g_array_append_vals(scheduler->cache.unschedulable, requirements, 1);
}
