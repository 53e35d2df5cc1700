/* Machines, and what is proven of them. */
#include "base/clock.h"
#include "base/log.h"
#include "workers/faults.h"
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
    w->all = g_ptr_array_new();
    return w;
}

GPtrArray *pm_workers_all(struct pm_workers *w)
{
    return w->all;
}

struct pm_machine *pm_workers_at(struct pm_workers *w, int index)
{
    return index >= 0 && index < (int)w->all->len ? g_ptr_array_index(w->all, index) : NULL;
}

struct pm_machine *pm_workers_find(struct pm_workers *w, const char *name)
{
    return pm_workers_at(w, pm_names_find(w->tables->machines, name));
}

struct pm_machine *pm_workers_add(struct pm_workers *w, const char *name)
{
    int index = pm_names_intern(w->tables->machines, name);
    struct pm_machine *m;

    if (index >= (int)w->all->len)
        g_ptr_array_set_size(w->all, index + 1);
    m = g_ptr_array_index(w->all, index);
    if (m)
        return m;
    m = g_new0(struct pm_machine, 1);
    g_strlcpy(m->name, name, sizeof m->name);
    m->index = index;
    m->type = m->zone = -1;
    m->state = PM_MACHINE_BOOTING;
    m->places = g_ptr_array_new_with_free_func(g_free);
    m->ended = g_array_new(FALSE, FALSE, sizeof(struct pm_task_ref));
    m->strays = g_array_new(FALSE, FALSE, sizeof(struct pm_task_ref));
    g_ptr_array_index(w->all, index) = m;
    return m;
}

static void machine_free(struct pm_machine *m)
{
    g_ptr_array_free(m->places, TRUE);
    g_array_free(m->ended, TRUE);
    g_array_free(m->strays, TRUE);
    if (m->fault_records)
        g_array_free(m->fault_records, TRUE);
    g_free(m);
}

void pm_workers_remove(struct pm_workers *w, struct pm_machine *m)
{
    g_ptr_array_index(w->all, m->index) = NULL;
    machine_free(m);
}

void pm_workers_free(struct pm_workers *w)
{
    for (guint i = 0; i < w->all->len; i++)
        if (g_ptr_array_index(w->all, i))
            machine_free(g_ptr_array_index(w->all, i));
    g_ptr_array_free(w->all, TRUE);
    g_free(w);
}

void pm_workers_reset(struct pm_workers *w)
{
    for (guint i = 0; i < w->all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(w->all, i);
        if (m)
            machine_free(m);
        g_ptr_array_index(w->all, i) = NULL;
    }
}

/* ---- places ---- */

static void take_room(struct pm_machine *m, const struct pm_spec *spec, double sign)
{
    m->cpus -= sign * spec->cpus;
    m->gpus -= sign * spec->gpus;
    m->ram_gb -= sign * spec->ram_gb;
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
    place->index = index;
    place->attempt = attempt;
    place->session = (uint32_t)session;
    place->state = state;
    place->since = now;
    g_ptr_array_add(m->places, place);
    take_room(m, job->spec, 1);
    m->idle_since = 0;
    pm_job_task(job, index)->place = place;
    pm_job_count_placement(job, index, 1);
    return place;
}

/* The place holds nothing any more: its room and its task are free again. */
static void release(struct pm_placement *place)
{
    struct pm_task *task = pm_job_task(place->job, place->index);

    take_room(place->machine, place->job->spec, -1);
    place->state = PM_PLACEMENT_ENDED;
    if (task->place == place)
        task->place = NULL;
    pm_job_count_placement(place->job, place->index, -1);
    if (place->index < place->job->hint)
        place->job->hint = place->index;
}

void pm_workers_remove_placement(struct pm_workers *w, struct pm_placement *place)
{
    (void)w;
    if (place->state != PM_PLACEMENT_ENDED)
        release(place);
    g_ptr_array_remove_fast(place->machine->places, place);
}

void pm_workers_end_placement(struct pm_workers *w, struct pm_placement *place,
                              enum pm_task_exit end, bool saved, double now)
{
    struct pm_job *job = place->job;
    uint32_t index = place->index;

    if (end == PM_TASK_EXIT_DONE) {
        struct pm_task *task = pm_job_task(job, index);
        if (!task->done) {
            task->done = true;
            job->ndone++;
        }
    }
    release(place);
    pm_job_mark_dirty(job, index);
    pm_failures_note_exit(place, end, now);
    w->hooks.ended(w->hooks.arg, place, end, saved, now);
    pm_workers_remove_placement(w, place);
}

void pm_placement_stop(struct pm_placement *place, double leave_s)
{
    if (place->stop && place->leave_s <= leave_s)
        return;
    place->stop = true;
    place->stop_sent = false;
    place->leave_s = leave_s;
}

void pm_workers_mark_lost(struct pm_workers *w, struct pm_machine *m, double now)
{
    while (m->places->len)
        pm_workers_end_placement(w, g_ptr_array_index(m->places, m->places->len - 1),
                                 PM_TASK_EXIT_LOST, false, now);
    g_array_set_size(m->ended, 0);
    g_array_set_size(m->strays, 0);
    m->least_session = m->session + 1;
    m->doubtful = 0;
}

void pm_workers_set_type(struct pm_workers *w, struct pm_machine *m, int type)
{
    const struct pm_type *t = &w->tables->type[type < 0 ? 0 : type];

    if (m->type >= 0 || type < 0 || type >= w->tables->ntypes)
        return;
    m->type = type;
    m->cpus += t->cpus; /* places found before are taken off already */
    m->gpus += t->gpus;
    m->ram_gb += t->ram_gb;
}

bool pm_machine_missed_heartbeat(const struct pm_machine *m, const struct pm_settings *settings,
                                 double now)
{
    return now - m->heard >= 1.6 * settings->report_s + 1;
}

bool pm_machine_is_not_reporting(const struct pm_machine *m, const struct pm_settings *settings,
                                 double now)
{
    return m->reported && m->heard > m->report_at &&
           now - m->report_at >= MUTE_REPORTS * settings->report_s + MUTE_S;
}

bool pm_machine_is_verified(const struct pm_machine *m)
{
    return m->listed || m->rented != 0 || m->reached;
}

bool pm_machine_is_unreachable(const struct pm_machine *m, double now)
{
    /* Of one that does not report either, silence is what tells. */
    return m->unheard >= 2 && m->heard >= m->unheard_at && now - m->unheard_since > DEAF_S;
}

void pm_machine_note_delivery_failure(struct pm_machine *m, const char *why, double now)
{
    pm_debug("workers.unheard", "%s: %s", m->name, why);
    if (!m->unheard++)
        m->unheard_since = now;
    m->unheard_at = now;
}

void pm_machine_note_ack(struct pm_machine *m, uint64_t epoch, double now)
{
    m->answered = now;
    m->told = epoch;
    m->told_sequence = m->sequence;
}

bool pm_machine_is_drained(const struct pm_machine *m, uint64_t epoch)
{
    return !m->places->len && !m->direct_open && !m->doubtful && !m->ended->len &&
           !m->strays->len && m->reported && m->token >= epoch;
}

/* A worker's lease runs from its last answered report, or, in a session that none was answered in,
 * from that session's begin: a machine that was only reached by /do so far is not a silent one. */
bool pm_workers_is_lease_expired(const struct pm_machine *m, double floor, double lease_s,
                                 double now)
{
    double base = MAX(MAX(m->answered, m->session_heard), floor);

    return now > base + lease_s * (1 + 2 * PM_CLOCK_DRIFT_MAX) + 0.2;
}
