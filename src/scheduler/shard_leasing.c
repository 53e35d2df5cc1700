/* Selects the idle machines and the tasks within a guarantee that may be leased to shards, and
 * decides which leased machines may be revoked. Called by the shards slice on the leader, after
 * pm_scheduler_begin_plan(). */
#include "scheduler/internal.h"

#include <math.h>

/* The terms of an idle machine's score. */
#define IMAGE_BONUS 3.0            /* the image is cached */
#define SPOT_BONUS 5.0             /* ordinary machines are kept for services */
#define UNUSED_CAPACITY_WEIGHT 2.0 /* times the share of the machine that the job would not use */

uint32_t pm_scheduler_claim_guaranteed_tasks(struct pm_scheduler *scheduler,
                                             const struct pm_job *job)
{
    const struct pm_spec *spec = job->spec;
    double *used_cpus = &scheduler->guarantee.used_cpus[spec->team];
    double left_cpus = scheduler->tables->settings->teams[spec->team].cpus - *used_cpus;
    uint32_t done;
    uint32_t placed;
    uint32_t tasks;

    pm_job_count_tasks(job, &done, &placed);
    if (left_cpus <= 0 || spec->cpus <= 0)
        return 0;
    tasks = (uint32_t)MIN(floor((left_cpus + PM_EPSILON) / spec->cpus),
                          job->task_count - MIN(done + placed, job->task_count));
    *used_cpus += tasks * spec->cpus;
    return tasks;
}

GPtrArray *pm_scheduler_find_idle_machines(struct pm_scheduler *scheduler,
                                           struct pm_fencing_range tokens, double now)
{
    GPtrArray *machines = pm_workers_all(scheduler->workers);
    GPtrArray *idle = scheduler->leasing.idle_machines;

    g_ptr_array_set_size(idle, 0);
    scheduler->leasing.headroom_cpus = -1;
    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (machine && machine->type >= 0 && machine->zone >= 0 && !machine->placements->len &&
            pm_scheduler_is_machine_usable(scheduler, machine, now) &&
            pm_machine_is_drained(machine, tokens))
            g_ptr_array_add(idle, machine);
    }
    return idle;
}

bool pm_scheduler_is_machine_leasable(struct pm_scheduler *scheduler,
                                      const struct pm_machine *machine, const struct pm_job *job,
                                      double now)
{
    struct pm_machine_leasing *leasing = &scheduler->leasing;

    if (machine->shard.assigned_to ||
        !pm_scheduler_is_machine_allowed(scheduler->tables, job, machine->type, machine->zone,
                                         machine->spot) ||
        !pm_scheduler_has_free_capacity(machine, job->spec))
        return false;
    if (machine->spot)
        return true;
    if (leasing->headroom_cpus < 0) {
        scheduler->totals.counted_at = -1; /* recount, since this plan may have placed tasks */
        leasing->headroom_cpus = pm_scheduler_headroom_cpus(scheduler, now);
    }
    return leasing->headroom_cpus - machine->free.cpus >= scheduler->reserve_cpus;
}

static double score_idle_machine(const struct pm_machine *machine, const struct pm_spec *spec,
                                 uint32_t tasks)
{
    double unused_cpus = MAX(0, machine->free.cpus - tasks * spec->cpus);

    return (pm_scheduler_has_image(machine, spec->image) ? IMAGE_BONUS : 0) +
           (machine->spot ? SPOT_BONUS : 0) -
           UNUSED_CAPACITY_WEIGHT * unused_cpus / MAX(machine->free.cpus, PM_EPSILON);
}

struct pm_machine *pm_scheduler_pick_idle_machine(struct pm_scheduler *scheduler,
                                                  const struct pm_job *job, uint32_t tasks,
                                                  double now)
{
    const GPtrArray *idle = scheduler->leasing.idle_machines;
    struct pm_machine *best = NULL;
    double best_score = -INFINITY;

    for (guint i = 0; i < idle->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(idle, i);
        double score;
        if (!pm_scheduler_is_machine_leasable(scheduler, machine, job, now))
            continue;
        score = score_idle_machine(machine, job->spec, tasks);
        if (score > best_score) {
            best_score = score;
            best = machine;
        }
    }
    if (best && !best->spot)
        scheduler->leasing.headroom_cpus -= best->free.cpus;
    return best;
}

/* Whether the job has a stored placement on the machine. */
static bool has_stored_placement_on(const struct pm_job *job, int machine)
{
    for (int i = 0; i < job->chunk_count; i++) {
        const GArray *stored = job->chunks[i] ? job->chunks[i]->stored_placements : NULL;
        for (guint k = 0; stored && k < stored->len; k++)
            if (g_array_index(stored, struct pm_stored_placement, k).machine_index == machine)
                return true;
    }
    return false;
}

bool pm_scheduler_may_preempt_machine(struct pm_scheduler *scheduler, const struct pm_job *job,
                                      int machine)
{
    GPtrArray *active = pm_jobs_active(scheduler->jobs);

    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *other = g_ptr_array_index(active, i);
        if (!other->delegated || !other->spec || !has_stored_placement_on(other, machine))
            continue;
        if (other->spec->team == job->spec->team || other->priority == PM_PRIORITY_PRODUCTION ||
            !pm_scheduler_is_beyond_guarantee(scheduler, other->spec->team))
            return false;
        scheduler->guarantee.stopping_cpus[other->spec->team] += other->spec->cpus;
    }
    return true;
}
