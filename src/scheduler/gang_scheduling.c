/* Gangs: they start whole, and what stands in their way is cleared, or waited for, whole. */
#include "scheduler/internal.h"

#include <string.h>

/* A gang starts whole: every task gets its machine in this run, or none does. */
bool pm_scheduler_place_gang(struct pm_scheduler *p, struct pm_job *job, int only_zone,
                             bool guarantee, double now)
{
    struct spread at = {0};
    struct pm_machine **chosen;
    bool ok = true;

    if (!pm_scheduler_within(p, job, job->task_count, guarantee))
        return false;
    chosen = g_new0(struct pm_machine *, job->task_count);
    for (uint32_t i = 0; ok && i < job->task_count; i++) {
        chosen[i] = pm_scheduler_best_machine(p, job, &at, only_zone, now);
        ok = chosen[i] != NULL;
        if (ok) { /* taken for the time being, so that the next task sees it */
            chosen[i]->free.cpus -= job->spec->cpus;
            chosen[i]->free.gpus -= job->spec->gpus;
            chosen[i]->free.ram_gb -= job->spec->ram_gb;
            at.zone[chosen[i]->zone]++;
            at.total++;
        }
    }
    for (uint32_t i = 0; i < job->task_count && chosen[i]; i++) {
        chosen[i]->free.cpus += job->spec->cpus;
        chosen[i]->free.gpus += job->spec->gpus;
        chosen[i]->free.ram_gb += job->spec->ram_gb;
    }
    if (ok) {
        job->work.last_attempt++;
        for (uint32_t i = 0; i < job->task_count; i++)
            pm_scheduler_place_task(p, job, i, chosen[i], job->work.last_attempt, &at, now);
    }
    g_free(chosen);
    return ok;
}

/* How many tasks of the gang the machine has room for once its array tasks have ended, and what is
 * being stopped is gone. */
static uint32_t room_to_come(struct pm_scheduler *p, const struct pm_machine *m,
                             const struct pm_job *job, int only_zone, double now)
{
    double room[3] = {m->free.cpus, m->free.gpus, m->free.ram_gb};

    if (!pm_scheduler_is_machine_usable(p, m, now) || (only_zone >= 0 && m->zone != only_zone) ||
        pm_scheduler_claimed_by_other(m, job, now) ||
        !pm_scheduler_is_machine_allowed(p->tables, job, m->type, m->zone, m->spot))
        return 0;
    for (guint j = 0; j < m->placements->len; j++) {
        const struct pm_placement *place = g_ptr_array_index(m->placements, j);
        const struct pm_spec *spec = place->job->spec;
        if (place->state == PM_PLACEMENT_ENDED ||
            (spec->kind != PM_WORKLOAD_ARRAY && !place->should_stop))
            continue;
        room[0] += spec->cpus;
        room[1] += spec->gpus;
        room[2] += spec->ram_gb;
    }
    return pm_spec_tasks_that_fit(job->spec, room[0], room[1], room[2]);
}

/* A gang that waited too long to begin, and may stop nothing: machines where it would fit but for
 * array tasks, which end by themselves, are kept from other work until all of it has its room. */
bool pm_scheduler_await_room(struct pm_scheduler *p, struct pm_job *job, int only_zone, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);
    uint32_t n = 0;
    uint32_t fit;

    for (guint i = 0; i < all->len && n < job->task_count; i++)
        if (g_ptr_array_index(all, i))
            n += room_to_come(p, g_ptr_array_index(all, i), job, only_zone, now);
    if (n < job->task_count)
        return false;
    n = 0;
    for (guint i = 0; i < all->len && n < job->task_count; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m || !(fit = room_to_come(p, m, job, only_zone, now)))
            continue;
        m->reservation.gang = job;
        n += fit;
    }
    job->scheduling.reservation_until = now + CLAIM_S;
    return true;
}

/* A gang of high priority gets room for all of its tasks or for none, and claims it until it is
 * there: a part of a gang's room would be of use to nobody. */
void pm_scheduler_clear_gang(struct pm_scheduler *p, struct pm_job *job, spoken *spoken_for,
                             double now)
{
    GPtrArray *all = pm_workers_all(p->workers);
    size_t size = sizeof(spoken) * (all->len + 1);
    int zones = job->spec->same_zone ? p->tables->settings->zone_count : 1;

    if (job->priority < PM_PRIORITY_URGENT || now < job->scheduling.reservation_until)
        return;
    for (int zone = 0; zone < zones; zone++) {
        int only = job->spec->same_zone ? zone : -1;
        spoken *trial = g_memdup2(spoken_for, size);
        struct spread at = {0};
        uint32_t n = 0;
        while (n < job->task_count && pm_scheduler_clear_one(p, job, trial, &at, only, true, now))
            n++;
        g_free(trial);
        if (n < job->task_count)
            continue;
        memset(&at, 0, sizeof at);
        job->scheduling.reservation_until = now + CLAIM_S;
        for (n = 0; n < job->task_count; n++) {
            struct pm_machine *m =
                pm_scheduler_clear_one(p, job, spoken_for, &at, only, false, now);
            if (!m)
                break;
            m->reservation.gang = job;
        }
        return;
    }
}
