/* Where a task may run, and where it runs best. */
#include "scheduler/internal.h"

#include <math.h>
#include <string.h>

#define LATE_S 1.0              /* where no objective says how soon a class is to start */
#define BLAME_WEIGHT 2.0        /* in a machine's score: each failure that speaks against it, */
#define FAILED_THERE_WEIGHT 4.0 /* and that the job itself failed there */
#define FETCH_WEIGHT 0.3        /* of a second of fetching in a service's score */

bool pm_scheduler_is_machine_allowed(const struct pm_name_tables *tables, const struct pm_job *job,
                                     int type, int zone, bool spot)
{
    const struct pm_spec *spec = job->spec;

    return type >= 0 && type < tables->type_count && zone >= 0 &&
           (spec->allowed_types >> type & 1) && (spec->zone < 0 || spec->zone == zone) &&
           (!spot || spec->spot);
}

/* Heard as lately as reports come on a quiet day: a machine that misses one may be dead. */
bool pm_scheduler_is_machine_usable(const struct pm_scheduler *p, const struct pm_machine *m,
                                    double now)
{
    return m->state == PM_MACHINE_UP && m->heartbeat.is_known && !m->shard.owner &&
           !m->shard.revoking && !m->reservation.draining && !m->heartbeat.spot_interruption_at &&
           !pm_failures_is_machine_faulty(m) && !m->delivery.failures &&
           pm_machine_is_verified(m) && m->heartbeat.orphan_tasks->len == 0 &&
           !pm_machine_missed_heartbeat(m, p->tables->settings, now) &&
           !pm_machine_is_not_reporting(m, p->tables->settings, now);
}

bool pm_scheduler_has_free_capacity(const struct pm_machine *m, const struct pm_spec *spec)
{
    return m->free.cpus + EPS >= spec->cpus && m->free.gpus + EPS >= spec->gpus &&
           m->free.ram_gb + EPS >= spec->ram_gb;
}

bool pm_scheduler_has_image(const struct pm_machine *m, int image)
{
    for (int i = 0; i < m->images.count; i++)
        if (m->images.cached[i].image == image)
            return true;
    return false;
}

void pm_scheduler_count_zones(const struct pm_job *job, struct spread *out)
{
    memset(out, 0, sizeof *out);
    if (!job->work.placed_count || !(job->spec->spread_zones || job->spec->same_zone))
        return; /* nobody asks */
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

bool pm_scheduler_zone_ok(const struct pm_job *job, const struct spread *at, int zone)
{
    const struct pm_spec *spec = job->spec;

    if (spec->same_zone && at->total && at->zone[zone] < at->total)
        return false;
    return !spec->spread_zones || at->zone[zone] + at->unknown < (spec->task_count + 1) / 2;
}

struct need pm_scheduler_need_of(const struct pm_scheduler *p, const struct pm_job *job,
                                 const struct spread *at, int team)
{
    const struct pm_spec *spec = job->spec;
    struct need need = {0};

    need.types = spec->allowed_types;
    need.team = team;
    need.priority = job->priority;
    need.spot = spec->spot;
    need.cpus = spec->cpus;
    need.gpus = spec->gpus;
    need.ram_gb = spec->ram_gb;
    for (int z = 0; z < p->tables->settings->zone_count; z++)
        if ((spec->zone < 0 || spec->zone == z) && pm_scheduler_zone_ok(job, at, z))
            need.zones |= 1u << z;
    return need;
}

static bool same_need(const struct need *a, const struct need *b)
{
    return a->types == b->types && a->zones == b->zones && a->team == b->team &&
           a->priority == b->priority && a->spot == b->spot && a->cpus == b->cpus &&
           a->gpus == b->gpus && a->ram_gb == b->ram_gb;
}

bool pm_scheduler_is_unschedulable(const struct pm_scheduler *p, const struct need *need)
{
    for (guint i = 0; i < p->hopeless->len; i++)
        if (same_need(&g_array_index(p->hopeless, struct need, i), need))
            return true;
    return false;
}

uint32_t pm_scheduler_of_job(const struct pm_machine *m, const struct pm_job *job)
{
    uint32_t n = 0;

    for (guint j = 0; j < m->placements->len; j++) {
        const struct pm_placement *place = g_ptr_array_index(m->placements, j);
        n += place->job == job && place->state != PM_PLACEMENT_ENDED;
    }
    return n;
}

/* Processors on the machine that a production task could have at once: free, or yielding. */
double pm_scheduler_yielding_room(const struct pm_machine *m)
{
    double room = m->free.cpus;

    for (guint j = 0; j < m->placements->len; j++) {
        const struct pm_placement *place = g_ptr_array_index(m->placements, j);
        if (place->state != PM_PLACEMENT_ENDED && place->job->priority < PM_PRIORITY_PRODUCTION)
            room += place->job->spec->cpus;
    }
    return room;
}

/* How soon the users want the class to start. */
static double promise(const struct pm_scheduler *p, const struct pm_job *job)
{
    const struct pm_settings *s = p->tables->settings;
    const char *name = pm_names_text(p->tables->class_names, job->spec->class_index);

    for (int i = 0; i < s->objective_count; i++)
        if (!strcmp(s->objectives[i].kind, "wait") && !strcmp(s->objectives[i].class_name, name) &&
            s->objectives[i].within_s > 0)
            return s->objectives[i].within_s;
    return LATE_S;
}

/* Whether the job has waited so long that a fetch more or less is no matter, and yet not so long
 * that its replicas are missed: the time to bring its image to one more machine. */
static bool may_fetch(const struct pm_scheduler *p, const struct pm_machine *m,
                      const struct pm_job *job)
{
    const struct pm_type *t = &p->tables->types[m->type];
    double waited = p->day - pm_scheduler_since(job);

    return waited > promise(p, job) &&
           waited + 1.5 * job->spec->image_gb / MAX(t->pull_gb_per_s, EPS) < p->op->replica_due_s;
}

/* Whether the task would take of the last part of the machine, which is left for services that can
 * still start in time, and keeps the loss small should the machine end. */
static bool crowded(const struct pm_scheduler *p, const struct pm_machine *m,
                    const struct pm_spec *spec)
{
    return pm_scheduler_yielding_room(m) - spec->cpus <
           CROWDED * p->tables->types[m->type].cpus - EPS;
}

bool pm_scheduler_boots_soon(const struct pm_name_tables *tables, const struct pm_machine *m,
                             double now)
{
    return now - m->provider.rented_at < 1.4 * tables->types[m->type].ready_s + 3;
}

/* Whether a machine that the job may run on is to come up soon. */
bool pm_scheduler_boot_expected(const struct pm_scheduler *p, const struct pm_job *job)
{
    for (int type = 0; type < p->tables->type_count; type++)
        for (int zone = 0; zone < p->tables->settings->zone_count; zone++)
            for (int spot = 0; spot < 2; spot++)
                if (p->soon[type][zone][spot] &&
                    pm_scheduler_is_machine_allowed(p->tables, job, type, zone, spot))
                    return true;
    return false;
}

bool pm_scheduler_awaits_boot(const struct pm_scheduler *p, const struct pm_job *job)
{
    double waited = p->day - pm_scheduler_since(job);

    return job->spec->kind == PM_WORKLOAD_SERVICE && p->cold && waited < p->op->replica_due_s &&
           pm_scheduler_boot_expected(p, job);
}

/* On a cold start a replica, late already, rather waits for a machine that boots than crowds the
 * first ones that are up: they would take all, and most machines would never hold most images. Not
 * for longer than until it is missed. */
bool pm_scheduler_rather_waits(const struct pm_scheduler *p, const struct pm_machine *m,
                               const struct pm_job *job)
{
    return pm_scheduler_awaits_boot(p, job) && crowded(p, m, job->spec) &&
           p->day - pm_scheduler_since(job) >= promise(p, job);
}

/* Seconds that the machine's fetches of other images take, which an image has to wait for there. */
double pm_scheduler_fetches_before(const struct pm_scheduler *p, const struct pm_machine *m,
                                   const struct pm_spec *spec)
{
    double gb = 0;

    for (guint j = 0; j < m->placements->len; j++) {
        const struct pm_placement *place = g_ptr_array_index(m->placements, j);
        const struct pm_spec *other = place->job->spec;
        if (place->state <= PM_PLACEMENT_FETCHING && other->image != spec->image &&
            !pm_scheduler_has_image(m, other->image))
            gb += other->image_gb;
    }
    return gb / MAX(p->tables->types[m->type].pull_gb_per_s, EPS);
}

static double score(struct pm_scheduler *p, const struct pm_machine *m, const struct pm_job *job)
{
    const struct pm_spec *spec = job->spec;
    const struct pm_type *t = &p->tables->types[m->type];
    bool image = pm_scheduler_has_image(m, spec->image);
    double value = -BLAME_WEIGHT * pm_failures_machine_score(m);

    if (pm_failures_has_failed_on(job, m))
        value -= FAILED_THERE_WEIGHT;
    if (spec->kind == PM_WORKLOAD_SERVICE) {
        /* Spread: then every machine comes to hold every image, and has some room to start the next
         * service at once. Array tasks use that room meanwhile. */
        if (may_fetch(p, m, job))
            value += image ? 0 : 4;
        else
            value += image ? 10 : -MIN(FETCH_WEIGHT * pm_scheduler_fetches_before(p, m, spec), 10);
        if (p->cold && crowded(p, m, spec) && p->day - pm_scheduler_since(job) > promise(p, job))
            value -= 8;
        return value - 2.0 * pm_scheduler_of_job(m, job) +
               3 * pm_scheduler_yielding_room(m) / MAX(t->cpus, EPS);
    }
    value += image ? 3 : 0;
    value += m->spot == spec->spot ? 5 : 0; /* ordinary room is dearer, and services' */
    /* Fill what is fullest, so that others come free and can go back. */
    return value - 2 * (m->free.cpus - spec->cpus) / MAX(t->cpus, EPS);
}

/* One walk over the machines counts them all: whoever sizes the fleet asks for each of them. */
static const struct totals *count_totals(struct pm_scheduler *p, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);
    struct totals *t = &p->totals;

    if (t->at == now)
        return t;
    *t = (struct totals){.at = now};
    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        const struct pm_type *type = m && m->type >= 0 ? &p->tables->types[m->type] : NULL;
        double room;
        if (!type || m->state == PM_MACHINE_RELEASING)
            continue;
        if (m->shard.owner ||
            (m->state == PM_MACHINE_BOOTING && pm_scheduler_boots_soon(p->tables, m, now)))
            t->pool += type->cpus;
        if (!pm_scheduler_is_machine_usable(p, m, now))
            continue;
        room = pm_scheduler_yielding_room(m);
        t->pool += room;
        if (m->spot)
            continue;
        t->spare += room;
        t->largest = MAX(t->largest, type->cpus - room);
    }
    return t;
}

double pm_scheduler_headroom_cpus(struct pm_scheduler *p, double now)
{
    return count_totals(p, now)->spare;
}

double pm_scheduler_largest_service_cpus(struct pm_scheduler *p, double now)
{
    return count_totals(p, now)->largest;
}

double pm_scheduler_batch_capacity_cpus(struct pm_scheduler *p, double now)
{
    return count_totals(p, now)->pool;
}

/* Whether the machine's room is being cleared for a gang that comes before the job. */
bool pm_scheduler_claimed_by_other(const struct pm_machine *m, const struct pm_job *job, double now)
{
    return m->reservation.gang && m->reservation.gang != job &&
           m->reservation.gang->state == PM_JOB_LIVE && m->reservation.gang->spec &&
           !m->reservation.gang->work.placed_count &&
           now < m->reservation.gang->scheduling.reservation_until &&
           job->priority <= m->reservation.gang->priority;
}

static bool is_stopping(const struct pm_machine *m)
{
    for (guint j = 0; j < m->placements->len; j++) {
        const struct pm_placement *place = g_ptr_array_index(m->placements, j);
        if (place->should_stop && place->state != PM_PLACEMENT_ENDED)
            return true;
    }
    return false;
}

/* Whether the machine is being cleared, task by task, for a job that the task would have to yield
 * to: it would take the part of the room that is free already, only to be stopped again. */
static bool cleared_for_other(struct pm_scheduler *p, const struct pm_machine *m,
                              const struct pm_job *job, double now)
{
    const struct pm_job *other = m->reservation.job;

    if (!other || other == job || now >= m->reservation.until || other->state != PM_JOB_LIVE ||
        !pm_job_waiting_tasks(other) || !pm_scheduler_yields_to(p, job, other))
        return false;
    return is_stopping(m);
}

/* In any zone that the job allows, or in `only_zone` (-1: any). */
struct pm_machine *pm_scheduler_best_machine(struct pm_scheduler *p, const struct pm_job *job,
                                             const struct spread *at, int only_zone, double now)
{
    struct pm_machine *best = NULL;
    double best_score = -INFINITY;

    for (guint i = 0; i < p->room->len; i++) {
        struct pm_machine *m = g_ptr_array_index(p->room, i);
        double value;
        if (!pm_scheduler_has_free_capacity(m, job->spec) ||
            (only_zone >= 0 && m->zone != only_zone) ||
            !pm_scheduler_is_machine_allowed(p->tables, job, m->type, m->zone, m->spot) ||
            !pm_scheduler_zone_ok(job, at, m->zone) || pm_scheduler_claimed_by_other(m, job, now) ||
            cleared_for_other(p, m, job, now))
            continue;
        value = score(p, m, job);
        if (value > best_score) {
            best_score = value;
            best = m;
        }
    }
    return best;
}

/* A production task that would have to fetch its image here, though elsewhere a machine holds it
 * and only lower work has to yield: that one starts it within the second. */
bool pm_scheduler_better_cleared(struct pm_scheduler *p, const struct pm_machine *m,
                                 const struct pm_job *job, const struct spread *at, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);

    if (job->priority != PM_PRIORITY_PRODUCTION || pm_scheduler_has_image(m, job->spec->image) ||
        may_fetch(p, m, job) || p->day - pm_scheduler_since(job) > 3 * promise(p, job))
        return false;
    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *other = g_ptr_array_index(all, i);
        if (other && other->images.count && pm_scheduler_has_image(other, job->spec->image) &&
            pm_scheduler_is_machine_usable(p, other, now) &&
            pm_scheduler_is_machine_allowed(p->tables, job, other->type, other->zone,
                                            other->spot) &&
            pm_scheduler_zone_ok(job, at, other->zone) &&
            pm_scheduler_yielding_room(other) + EPS >= job->spec->cpus)
            return true;
    }
    return false;
}
