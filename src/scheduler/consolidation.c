/* Emptying machines, so that they can go back, and evening out how many replicas each has. */
#include "scheduler/internal.h"
#include "base/log.h"

#include <math.h>
#include <string.h>

enum {
    DRAINING_MAX = 3, /* machines that are being emptied at a time, */
    BATCH_OF = 100    /* for each so many ordinary ones */
};
#define YOUNG_S 35.0 /* a replica is not moved within this of its start */

/* Whether all that runs on the machine are array tasks and replicas that may move: a start counts
 * only if nothing stops it for a while, so young ones stay. */
static bool movable(const struct pm_machine *m, double now)
{
    for (guint j = 0; j < m->placements->len; j++) {
        const struct pm_placement *place = g_ptr_array_index(m->placements, j);
        if (place->job->spec->kind == PM_WORKLOAD_ARRAY)
            continue; /* ends by itself */
        if (place->job->spec->kind != PM_WORKLOAD_SERVICE || place->state != PM_PLACEMENT_RUNNING ||
            place->should_stop || now - place->running_since < YOUNG_S ||
            now - place->placed_at < YOUNG_S)
            return false;
    }
    return true;
}

/* Whether another machine with the image has room for the place; takes it in `room`. */
static bool takes(struct pm_scheduler *p, const struct pm_machine *from,
                  const struct pm_placement *place, double (*room)[2], double now)
{
    GPtrArray *all = pm_workers_all(p->workers);
    const struct pm_spec *spec = place->job->spec;
    struct spread at;

    pm_scheduler_count_zones(place->job, &at);
    at.zone[from->zone]--;
    at.total--;
    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m || m == from || m->spot || !m->placements->len ||
            !pm_scheduler_has_image(m, spec->image) || !pm_scheduler_is_machine_usable(p, m, now) ||
            spec->gpus > 0 ||
            room[i][0] - spec->cpus < CROWDED * p->tables->types[m->type].cpus - EPS ||
            room[i][1] + EPS < spec->ram_gb || !pm_scheduler_zone_ok(place->job, &at, m->zone) ||
            !pm_scheduler_is_machine_allowed(p->tables, place->job, m->type, m->zone, m->spot))
            continue;
        room[i][0] -= spec->cpus;
        room[i][1] -= spec->ram_gb;
        return true;
    }
    return false;
}

/* Moves one replica from the machine with most of them to one with the image and much more room, so
 * that no machine's end takes more than the reserve can hold. */
static void balance(struct pm_scheduler *p, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);
    struct pm_placement *best = NULL;
    double best_gain = 0;
    double *room = g_new(double, all->len + 1); /* NAN: not to be used */

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        room[i] = m && !m->spot && pm_scheduler_is_machine_usable(p, m, now)
                      ? pm_scheduler_yielding_room(m)
                      : NAN;
    }
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *from = g_ptr_array_index(all, i);
        double here;
        if (isnan(room[i]))
            continue;
        here = room[i];
        for (guint j = 0; j < from->placements->len; j++) {
            struct pm_placement *place = g_ptr_array_index(from->placements, j);
            const struct pm_spec *spec = place->job->spec;
            if (spec->kind != PM_WORKLOAD_SERVICE || place->state != PM_PLACEMENT_RUNNING ||
                place->should_stop || now - place->running_since < YOUNG_S || spec->spread_zones ||
                spec->same_zone)
                continue;
            for (guint k = 0; k < all->len; k++) {
                const struct pm_machine *to = g_ptr_array_index(all, k);
                double gain;
                gain = room[k] - here - 2 * spec->cpus - p->tables->types[from->type].cpus * 0.25;
                if (!(gain > best_gain) || !pm_scheduler_has_image(to, spec->image) ||
                    !pm_scheduler_has_free_capacity(to, spec) ||
                    !pm_scheduler_is_machine_allowed(p->tables, place->job, to->type, to->zone,
                                                     to->spot) ||
                    pm_scheduler_of_job(to, place->job) >= pm_scheduler_of_job(from, place->job))
                    continue;
                best_gain = gain;
                best = place;
            }
        }
    }
    g_free(room);
    if (!best)
        return;
    pm_debug("scheduler.balance", "%s/%u leaves %s", best->job->id, best->task_index,
             best->machine->name);
    pm_placement_stop(best, 0);
}

/* The ordinary machine that costs most for what it does, if its replicas find room and their images
 * elsewhere and the reserve stays; what they take there is taken off `room`. NULL: none. */
static struct pm_machine *take_worst(struct pm_scheduler *p, double (*room)[2], double spare,
                                     double now)
{
    GPtrArray *all = pm_workers_all(p->workers);
    size_t size = sizeof(double[2]) * (all->len + 1);
    double(*left)[2] = g_malloc(size);
    double(*best)[2] = g_malloc(size);
    struct pm_machine *worst = NULL;
    double worst_value = 0;

    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        double used;
        double value;
        bool fits = true;
        if (!m || m->spot || !pm_scheduler_is_machine_usable(p, m, now) || m->type < 0 ||
            !m->placements->len || now - m->provider.rented_at < 60 || !movable(m, now))
            continue;
        used = p->tables->types[m->type].cpus - pm_scheduler_yielding_room(m);
        value =
            p->tables->types[m->type].price * (1 - used / MAX(p->tables->types[m->type].cpus, EPS));
        if (value <= worst_value || spare - p->tables->types[m->type].cpus < MAX(p->reserve, EPS))
            continue;
        memcpy(left, room, size);
        for (guint j = 0; j < m->placements->len && fits; j++)
            fits = ((struct pm_placement *)g_ptr_array_index(m->placements, j))->job->spec->kind ==
                       PM_WORKLOAD_ARRAY ||
                   takes(p, m, g_ptr_array_index(m->placements, j), left, now);
        if (!fits)
            continue;
        worst = m;
        worst_value = value;
        memcpy(best, left, size);
    }
    if (worst) {
        memcpy(room, best, size);
        room[worst->index][0] = room[worst->index][1] = 0;
    }
    g_free(left);
    g_free(best);
    return worst;
}

/* Each replica is gone for the blink of a restart. Several machines at a time on a large fleet: at
 * one a second, hundreds stood half empty for minutes. */
void pm_scheduler_consolidate(struct pm_scheduler *p, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);
    double spare = 0;
    double(*room)[2];
    int draining = 0;
    int ordinary = 0;
    int batch;
    int emptied = 0;

    if (!p->writable)
        return;
    room = g_malloc0(sizeof(double[2]) * (all->len + 1));
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m || m->state != PM_MACHINE_UP || m->shard.owner)
            continue;
        draining += m->reservation.draining && m->placements->len;
        if (m->spot || !pm_scheduler_is_machine_usable(p, m, now))
            continue;
        ordinary++;
        spare += pm_scheduler_yielding_room(m);
        room[i][0] = m->free.cpus;
        room[i][1] = m->free.ram_gb;
    }
    batch = MIN(1 + ordinary / BATCH_OF, DRAINING_MAX * (1 + ordinary / BATCH_OF) - draining);
    while (emptied < batch) {
        struct pm_machine *worst = take_worst(p, room, spare, now);
        if (!worst)
            break;
        emptied++;
        spare -= p->tables->types[worst->type].cpus;
        pm_info("scheduler.consolidate", "%s: %u tasks move or end", worst->name,
                worst->placements->len);
        worst->reservation.draining = true;
        for (guint j = 0; j < worst->placements->len; j++) {
            struct pm_placement *place = g_ptr_array_index(worst->placements, j);
            if (place->job->spec->kind == PM_WORKLOAD_SERVICE)
                pm_placement_stop(place, 0);
        }
    }
    if (!emptied && batch > 0)
        balance(p, now);
    g_free(room);
}
