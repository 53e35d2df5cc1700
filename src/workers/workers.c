/* Machines, and what is proven of them. */
#include "base/clock.h"
#include "base/log.h"
#include "workers/failures.h"
#include "workers/internal.h"

#include <string.h>

/* A worker that finds no controller tries each of them; one with a new leader finds it in time. */
#define MUTE_REPORTS 2
#define MUTE_S 4.0
#define DEAF_S 1.5 /* messages lost within less than this may have one cause */

struct pm_workers *pm_workers_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                  const struct pm_workers_hooks *hooks)
{
    struct pm_workers *w = g_new0(struct pm_workers, 1);

    w->tables = tables;
    w->jobs = jobs;
    w->hooks = *hooks;
    w->machines = g_ptr_array_new();
    return w;
}

GPtrArray *pm_workers_all(struct pm_workers *w)
{
    return w->machines;
}

struct pm_machine *pm_workers_at(struct pm_workers *w, int index)
{
    return index >= 0 && index < (int)w->machines->len ? g_ptr_array_index(w->machines, index)
                                                       : NULL;
}

struct pm_machine *pm_workers_find(struct pm_workers *w, const char *name)
{
    return pm_workers_at(w, pm_names_find(w->tables->machine_names, name));
}

struct pm_machine *pm_workers_add(struct pm_workers *w, const char *name)
{
    int index = pm_names_intern(w->tables->machine_names, name);
    struct pm_machine *m;

    if (index >= (int)w->machines->len)
        g_ptr_array_set_size(w->machines, index + 1);
    m = g_ptr_array_index(w->machines, index);
    if (m)
        return m;
    m = g_new0(struct pm_machine, 1);
    g_strlcpy(m->name, name, sizeof m->name);
    m->index = index;
    m->type = m->zone = -1;
    m->state = PM_MACHINE_BOOTING;
    m->placements = g_ptr_array_new_with_free_func(g_free);
    m->heartbeat.exited_tasks = g_array_new(FALSE, FALSE, sizeof(struct pm_task_ref));
    m->heartbeat.orphan_tasks = g_array_new(FALSE, FALSE, sizeof(struct pm_task_ref));
    g_ptr_array_index(w->machines, index) = m;
    return m;
}

static void machine_free(struct pm_machine *m)
{
    g_ptr_array_free(m->placements, TRUE);
    g_array_free(m->heartbeat.exited_tasks, TRUE);
    g_array_free(m->heartbeat.orphan_tasks, TRUE);
    if (m->failures.records)
        g_array_free(m->failures.records, TRUE);
    g_free(m);
}

void pm_workers_remove(struct pm_workers *w, struct pm_machine *m)
{
    g_ptr_array_index(w->machines, m->index) = NULL;
    machine_free(m);
}

void pm_workers_free(struct pm_workers *w)
{
    for (guint i = 0; i < w->machines->len; i++)
        if (g_ptr_array_index(w->machines, i))
            machine_free(g_ptr_array_index(w->machines, i));
    g_ptr_array_free(w->machines, TRUE);
    g_free(w);
}

void pm_workers_reset(struct pm_workers *w)
{
    for (guint i = 0; i < w->machines->len; i++) {
        struct pm_machine *m = g_ptr_array_index(w->machines, i);
        if (m)
            machine_free(m);
        g_ptr_array_index(w->machines, i) = NULL;
    }
}

/* ---- places ---- */

static void take_room(struct pm_machine *m, const struct pm_spec *spec, double sign)
{
    m->free.cpus -= sign * spec->cpus;
    m->free.gpus -= sign * spec->gpus;
    m->free.ram_gb -= sign * spec->ram_gb;
}

struct pm_placement *pm_workers_add_placement(struct pm_workers *w, struct pm_job *job,
                                              uint32_t index, struct pm_machine *m,
                                              uint32_t attempt, uint64_t session,
                                              enum pm_placement_state state, double now)
{
    struct pm_placement *place = g_new0(struct pm_placement, 1);

    (void)w;
    place->job = job;
    place->machine = m;
    place->machine_index = m->index;
    place->task_index = index;
    place->attempt = attempt;
    place->incarnation = (uint32_t)session;
    place->state = state;
    place->placed_at = now;
    g_ptr_array_add(m->placements, place);
    take_room(m, job->spec, 1);
    m->provider.idle_since = 0;
    pm_job_task(job, index)->placement = place;
    pm_job_count_placement(job, index, 1);
    return place;
}

/* The place holds nothing any more: its room and its task are free again. */
static void release(struct pm_placement *place)
{
    struct pm_task *task = pm_job_task(place->job, place->task_index);

    take_room(place->machine, place->job->spec, -1);
    place->state = PM_PLACEMENT_ENDED;
    if (task->placement == place)
        task->placement = NULL;
    pm_job_count_placement(place->job, place->task_index, -1);
    if (place->task_index < place->job->work.first_waiting_hint)
        place->job->work.first_waiting_hint = place->task_index;
}

void pm_workers_remove_placement(struct pm_workers *w, struct pm_placement *place)
{
    (void)w;
    if (place->state != PM_PLACEMENT_ENDED)
        release(place);
    g_ptr_array_remove_fast(place->machine->placements, place);
}

void pm_workers_end_placement(struct pm_workers *w, struct pm_placement *place,
                              enum pm_task_exit end, bool saved, double now)
{
    struct pm_job *job = place->job;
    uint32_t index = place->task_index;

    if (end == PM_TASK_EXIT_DONE) {
        struct pm_task *task = pm_job_task(job, index);
        if (!task->done) {
            task->done = true;
            job->work.done_count++;
        }
    }
    release(place);
    pm_job_mark_dirty(job, index);
    pm_failures_note_exit(place, end, now);
    w->hooks.placement_ended(w->hooks.arg, place, end, saved, now);
    pm_workers_remove_placement(w, place);
}

void pm_placement_stop(struct pm_placement *place, double leave_s)
{
    if (place->should_stop && place->grace_s <= leave_s)
        return;
    place->should_stop = true;
    place->stop_acked = false;
    place->grace_s = leave_s;
}

void pm_workers_mark_lost(struct pm_workers *w, struct pm_machine *m, double now)
{
    while (m->placements->len)
        pm_workers_end_placement(w, g_ptr_array_index(m->placements, m->placements->len - 1),
                                 PM_TASK_EXIT_LOST, false, now);
    g_array_set_size(m->heartbeat.exited_tasks, 0);
    g_array_set_size(m->heartbeat.orphan_tasks, 0);
    m->heartbeat.min_incarnation = m->heartbeat.incarnation + 1;
    m->push.unknown_outcome_epoch = 0;
}

void pm_workers_set_type(struct pm_workers *w, struct pm_machine *m, int type)
{
    const struct pm_type *t = &w->tables->types[type < 0 ? 0 : type];

    if (m->type >= 0 || type < 0 || type >= w->tables->type_count)
        return;
    m->type = type;
    m->free.cpus += t->cpus; /* places found before are taken off already */
    m->free.gpus += t->gpus;
    m->free.ram_gb += t->ram_gb;
}

bool pm_machine_missed_heartbeat(const struct pm_machine *m, const struct pm_settings *settings,
                                 double now)
{
    return now - m->heartbeat.last_message_at >= 1.6 * settings->heartbeat_s + 1;
}

bool pm_machine_is_not_reporting(const struct pm_machine *m, const struct pm_settings *settings,
                                 double now)
{
    return m->heartbeat.is_known && m->heartbeat.last_message_at > m->heartbeat.last_at &&
           now - m->heartbeat.last_at >= MUTE_REPORTS * settings->heartbeat_s + MUTE_S;
}

bool pm_machine_is_verified(const struct pm_machine *m)
{
    return m->provider.is_listed || m->provider.rented_at != 0 || m->push.has_answered;
}

bool pm_machine_is_unreachable(const struct pm_machine *m, double now)
{
    /* Of one that does not report either, silence is what tells. */
    return m->delivery.failures >= 2 && m->heartbeat.last_message_at >= m->delivery.failed_at &&
           now - m->delivery.failing_since > DEAF_S;
}

void pm_machine_note_delivery_failure(struct pm_machine *m, const char *why, double now)
{
    pm_debug("worker.delivery_failure", "%s: %s", m->name, why);
    if (!m->delivery.failures++)
        m->delivery.failing_since = now;
    m->delivery.failed_at = now;
}

void pm_machine_note_ack(struct pm_machine *m, uint64_t epoch, double now)
{
    m->lease.last_acked_at = now;
    m->delivery.acked_epoch = epoch;
    m->delivery.acked_sequence = m->heartbeat.sequence;
}

bool pm_machine_is_drained(const struct pm_machine *m, uint64_t epoch)
{
    return !m->placements->len && !m->push.in_flight && !m->push.unknown_outcome_epoch &&
           !m->heartbeat.exited_tasks->len && !m->heartbeat.orphan_tasks->len &&
           m->heartbeat.is_known && m->heartbeat.fencing_token >= epoch;
}

/* A worker's lease runs from its last answered report, or, in a session that none was answered in,
 * from that session's begin: a machine that was only reached by /do so far is not a silent one. */
bool pm_workers_is_lease_expired(const struct pm_machine *m, double floor, double lease_s,
                                 double now)
{
    double base = MAX(MAX(m->lease.last_acked_at, m->lease.incarnation_seen_at), floor);

    return now > base + lease_s * (1 + 2 * PM_CLOCK_DRIFT_MAX) + 0.2;
}
