/* For the leasing of blocks. */
#include "scheduler/internal.h"

#include <math.h>

void pm_scheduler_add_unmet_demand(struct pm_scheduler *p, struct pm_job *job, uint32_t tasks)
{
    g_array_append_vals(p->wants, &(struct pm_unmet_demand){job, tasks}, 1);
}

uint32_t pm_scheduler_tasks_within_guarantee(struct pm_scheduler *p, const struct pm_job *job)
{
    const struct pm_spec *spec = job->spec;
    double left = p->tables->settings->teams[spec->team].cpus - p->actual[spec->team];
    uint32_t done;
    uint32_t placed;
    uint32_t n;

    pm_job_count_tasks(job, &done, &placed);
    if (left <= 0 || spec->cpus <= 0)
        return 0;
    n = (uint32_t)MIN(floor((left + EPS) / spec->cpus),
                      job->task_count - MIN(done + placed, job->task_count));
    p->actual[spec->team] += n * spec->cpus;
    return n;
}

GPtrArray *pm_scheduler_find_idle_machines(struct pm_scheduler *p, uint64_t epoch, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);

    g_ptr_array_set_size(p->whole, 0);
    p->spare = -1;
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        if (m && m->type >= 0 && m->zone >= 0 && !m->placements->len &&
            pm_scheduler_is_machine_usable(p, m, now) && pm_machine_is_drained(m, epoch))
            g_ptr_array_add(p->whole, m);
    }
    return p->whole;
}

bool pm_scheduler_is_machine_leasable(struct pm_scheduler *p, const struct pm_machine *m,
                                      const struct pm_job *job, double now)
{
    if (m->shard.owner ||
        !pm_scheduler_is_machine_allowed(p->tables, job, m->type, m->zone, m->spot) ||
        !pm_scheduler_has_free_capacity(m, job->spec))
        return false;
    if (m->spot)
        return true;
    if (p->spare < 0) {
        p->totals.at = -1; /* counted anew: this run has placed since */
        p->spare = pm_scheduler_headroom_cpus(p, now);
    }
    return p->spare - m->free.cpus >= p->reserve;
}

struct pm_machine *pm_scheduler_pick_idle_machine(struct pm_scheduler *p, const struct pm_job *job,
                                                  uint32_t tasks, double now)
{
    struct pm_machine *best = NULL;
    double best_score = -INFINITY;

    for (guint i = 0; i < p->whole->len; i++) {
        struct pm_machine *m = g_ptr_array_index(p->whole, i);
        double value;
        if (!pm_scheduler_is_machine_leasable(p, m, job, now))
            continue;
        value = (pm_scheduler_has_image(m, job->spec->image) ? 3 : 0) + (m->spot ? 5 : 0) -
                2 * MAX(0, m->free.cpus - tasks * job->spec->cpus) / MAX(m->free.cpus, EPS);
        if (value > best_score) {
            best_score = value;
            best = m;
        }
    }
    if (best && !best->spot)
        p->spare -= best->free.cpus; /* leased from now on */
    return best;
}

bool pm_scheduler_may_preempt_machine(struct pm_scheduler *p, const struct pm_job *job, int machine)
{
    GPtrArray *active = pm_jobs_active(p->jobs);

    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *other = g_ptr_array_index(active, i);
        const struct pm_team_setting *team;
        bool there = false;
        if (!other->delegated || !other->spec)
            continue;
        for (int k = 0; k < other->chunk_count && !there; k++) {
            const GArray *stored_places =
                other->chunks[k] ? other->chunks[k]->stored_placements : NULL;
            for (guint s = 0; stored_places && s < stored_places->len && !there; s++)
                there =
                    g_array_index(stored_places, struct pm_stored_placement, s).machine == machine;
        }
        if (!there)
            continue;
        team = &p->tables->settings->teams[other->spec->team];
        if (other->spec->team == job->spec->team || other->priority == PM_PRIORITY_PRODUCTION ||
            p->actual[other->spec->team] - p->yielding[other->spec->team] <= team->cpus + EPS)
            return false;
        p->yielding[other->spec->team] += other->spec->cpus;
    }
    return true;
}

void pm_scheduler_preempt_placement(struct pm_placement *place)
{
    if (!place->should_stop && place->state != PM_PLACEMENT_ENDED)
        pm_placement_stop(place, pm_scheduler_leave_for(place, false));
}
