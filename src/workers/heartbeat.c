/* Takes in what a worker reports: its tasks, and what their absence proves. */
#include "base/log.h"
#include "workers/failures.h"
#include "workers/internal.h"

#include <stdlib.h>
#include <string.h>

const char *const pm_task_states[PM_TASK_STATES] = {"fetching", "waiting", "running", "saving",
                                                    "ended"};

bool pm_task_name_parse(const char *text, char *id, uint32_t *index)
{
    const char *slash = strchr(text, '/');
    char *end;
    unsigned long value;

    if (!slash || (size_t)(slash - text) >= PM_ID_MAX)
        return false;
    memcpy(id, text, (size_t)(slash - text));
    id[slash - text] = 0;
    value = strtoul(slash + 1, &end, 10);
    if (end == slash + 1 || *end || value >= PM_JOB_TASKS_MAX)
        return false;
    *index = (uint32_t)value;
    return true;
}

static enum pm_task_exit read_end(const cbor_item_t *entry)
{
    char cause[32];

    if (!pm_cbor_read_text(pm_cbor_get(entry, "cause"), cause, sizeof cause))
        return PM_TASK_EXIT_ERROR;
    if (!strcmp(cause, "done"))
        return PM_TASK_EXIT_DONE;
    if (!strcmp(cause, "stopped"))
        return PM_TASK_EXIT_STOPPED;
    if (!strcmp(cause, "mates_gone") || !strcmp(cause, "incomplete"))
        return PM_TASK_EXIT_GANG;
    if (!strcmp(cause, "error"))
        return PM_TASK_EXIT_ERROR;
    return PM_TASK_EXIT_REFUSED;
}

static void note_image(struct pm_workers *w, struct pm_machine *m, const struct pm_spec *spec)
{
    struct pm_cached_image entry = {spec->image, spec->image_gb};
    double room = m->type >= 0 ? w->tables->types[m->type].local_gb : 0;
    int i;

    for (i = 0; i < m->images.count && m->images.cached[i].image != spec->image; i++)
        ;
    if (i == 0 && m->images.count)
        return;
    if (i == m->images.count && m->images.count < PM_CACHED_IMAGES_MAX)
        m->images.count++;
    if (i == PM_CACHED_IMAGES_MAX)
        i--;
    memmove(m->images.cached + 1, m->images.cached, (size_t)i * sizeof m->images.cached[0]);
    m->images.cached[0] = entry;
    for (i = 0; i < m->images.count; i++) { /* the least recently used give way */
        room -= m->images.cached[i].gb;
        if (i > 0 && room < 0)
            m->images.count = i;
    }
}

static void read_task(struct pm_workers *w, struct pm_machine *m, const cbor_item_t *item,
                      double now)
{
    char text[64];
    char id[PM_ID_MAX];
    char status[16];
    struct pm_task_ref entry;
    struct pm_placement *place = NULL;
    uint64_t attempt;
    bool saved = false;
    int state;

    if (!pm_cbor_read_text(pm_cbor_get(item, "entry"), text, sizeof text) ||
        !pm_task_name_parse(text, id, &entry.task_index) ||
        !pm_cbor_read_count(pm_cbor_get(item, "try"), &attempt) ||
        !pm_cbor_read_text(pm_cbor_get(item, "status"), status, sizeof status)) {
        pm_error("worker.bad_task", "unreadable entry from %s", m->name);
        return;
    }
    for (state = 0; state < PM_TASK_STATES && strcmp(pm_task_states[state], status); state++)
        ;
    entry.job = pm_jobs_find(w->jobs, id);
    entry.attempt = (uint32_t)attempt;
    if (!entry.job || state == PM_TASK_STATES || entry.task_index >= entry.job->task_count) {
        if (w->ignored_tasks++ == 0)
            pm_error("worker.bad_task", "%s reports %s, unknown here", m->name, text);
        return;
    }
    if (entry.job->spec && entry.job->chunks) {
        const struct pm_task *task = pm_job_find_task(entry.job, entry.task_index);
        if (task && task->placement && task->placement->machine == m &&
            task->placement->attempt == entry.attempt &&
            task->placement->incarnation == m->heartbeat.incarnation)
            place = task->placement;
    }
    if (!place) {
        g_array_append_val(*(state == 4 ? &m->heartbeat.exited_tasks : &m->heartbeat.orphan_tasks),
                           entry);
        if (state != 4)
            pm_info("worker.orphan_task", "%s has %s try %u, not in the books", m->name, text,
                    entry.attempt);
        return;
    }
    place->seen_in_message = true;
    if (state >= 1 && state <= 3)
        note_image(w, m, entry.job->spec);
    if (state == 4) {
        pm_cbor_read_flag(pm_cbor_get(item, "stored"), &saved);
        g_array_append_val(m->heartbeat.exited_tasks, entry);
        pm_workers_end_placement(w, place, read_end(item), saved, now);
        return;
    }
    place->state = (enum pm_placement_state)(PM_PLACEMENT_FETCHING + state);
    if (place->state == PM_PLACEMENT_RUNNING && !place->running_since) {
        place->running_since = now;
        w->hooks.placement_running(w->hooks.arg, place, now);
    }
    if (place->state == PM_PLACEMENT_RUNNING)
        pm_failures_note_running(place, now);
}

/* What a fresh message does not list. Absence proves nothing while a copy of the launch may still
 * arrive: one in a /do without an answer (until the worker has seen a later token, or a later
 * session), or one in an answer to a report (until the next report, for the worker has one report
 * in flight and drops late answers). */
static void read_absence(struct pm_workers *w, struct pm_machine *m, enum pm_task_list_source kind,
                         uint64_t epoch, double now)
{
    for (guint i = 0; i < m->placements->len;) {
        struct pm_placement *place = g_ptr_array_index(m->placements, i);
        bool in_answer =
            place->launch_reply_sequence &&
            (kind != PM_SOURCE_HEARTBEAT || m->heartbeat.sequence <= place->launch_reply_sequence);
        bool in_direct = (place->launch_push && m->push.in_flight) ||
                         (place->launch_outcome_unknown && m->push.unknown_outcome_epoch);

        if (place->seen_in_message || place->state == PM_PLACEMENT_PROPOSED ||
            m->heartbeat.fencing_token < epoch || in_answer || in_direct) {
            i++;
            continue;
        }
        place->launch_reply_sequence = place->launch_push = 0; /* no copy is under way any more */
        place->launch_outcome_unknown = false;
        if (place->should_stop || place->state > PM_PLACEMENT_DURABLE) {
            /* Not there, and nothing can bring it. */
            pm_workers_end_placement(w, place, PM_TASK_EXIT_LOST, false, now);
            i = 0;
            continue;
        }
        i++; /* never arrived: launched anew, as the same attempt */
    }
}

/* Signs that the answer to an earlier report never arrived. Any of them may come of one lost
 * message: a /do then asks the worker, and its answer clears the doubt. */
static void read_unheard(struct pm_machine *m, bool risen, double lease_s, double now)
{
    if (risen && m->delivery.acked_epoch && now - m->lease.last_acked_at < lease_s) {
        pm_machine_note_delivery_failure(m, "its lease ran out though we answered", now);
        return;
    }
    if (m->delivery.acked_epoch && m->heartbeat.sequence > m->delivery.acked_sequence &&
        m->heartbeat.fencing_token < m->delivery.acked_epoch) {
        pm_machine_note_delivery_failure(m, "it has not taken our token", now);
        return;
    }
    for (guint i = 0; i < m->placements->len; i++) {
        const struct pm_placement *place = g_ptr_array_index(m->placements, i);
        if (place->state == PM_PLACEMENT_DURABLE && place->launch_reply_sequence &&
            m->heartbeat.sequence > place->launch_reply_sequence) {
            pm_machine_note_delivery_failure(m, "it shows no trace of an order", now);
            return;
        }
    }
}

static int read_identity(struct pm_workers *w, struct pm_machine *m, const cbor_item_t *report)
{
    char type[PM_NAME_MAX];
    char zone[PM_NAME_MAX];

    if (!pm_cbor_read_text(pm_cbor_get(report, "endpoint"), m->endpoint, sizeof m->endpoint) ||
        !pm_cbor_read_text(pm_cbor_get(report, "model"), type, sizeof type) ||
        !pm_cbor_read_text(pm_cbor_get(report, "room"), zone, sizeof zone))
        return -1;
    m->zone = pm_settings_find_zone(w->tables->settings, zone);
    m->spot = false;
    pm_cbor_read_flag(pm_cbor_get(report, "borrowed"), &m->spot);
    pm_workers_set_type(w, m, pm_names_find(w->tables->type_names, type));
    return 0;
}

struct pm_machine *pm_workers_apply_heartbeat(struct pm_workers *w, const cbor_item_t *report,
                                              enum pm_task_list_source kind, uint64_t epoch,
                                              double now, bool *fresh)
{
    char name[PM_NAME_MAX];
    uint64_t session;
    uint64_t sequence;
    uint64_t token;
    struct pm_machine *m;
    cbor_item_t *entries = pm_cbor_get(report, "entries");
    double recall;
    bool risen;

    *fresh = false;
    if (!pm_cbor_read_text(pm_cbor_get(report, "host"), name, sizeof name) || !name[0] ||
        !pm_cbor_read_count(pm_cbor_get(report, "shift"), &session) ||
        !pm_cbor_read_count(pm_cbor_get(report, "tally"), &sequence) ||
        !pm_cbor_read_count(pm_cbor_get(report, "mandate"), &token) ||
        (entries && !cbor_isa_array(entries)))
        return NULL;
    m = pm_workers_add(w, name);
    if (read_identity(w, m, report))
        return NULL;
    if (session < m->heartbeat.incarnation || session < m->heartbeat.min_incarnation ||
        (session == m->heartbeat.incarnation && sequence <= m->heartbeat.sequence)) {
        m->heartbeat.last_stale_at = now;
        return m; /* late: its list is as old as itself */
    }
    *fresh = true;
    risen = m->heartbeat.is_known && session > m->heartbeat.incarnation;
    if (session > m->heartbeat.incarnation) {
        /* A later session: what an earlier one held was killed. Places found in the state service
         * may be of this session already: those stay. */
        for (guint i = 0; i < m->placements->len;) {
            struct pm_placement *place = g_ptr_array_index(m->placements, i);
            if (place->incarnation < session) {
                pm_workers_end_placement(w, place, PM_TASK_EXIT_LOST, false, now);
                i = 0;
            } else {
                i++;
            }
        }
        if (m->heartbeat.incarnation)
            m->images.count = 0;
    }
    if (session > m->heartbeat.incarnation || !m->heartbeat.is_known)
        m->lease.incarnation_seen_at = now;
    m->heartbeat.incarnation = session;
    m->heartbeat.sequence = sequence;
    m->heartbeat.fencing_token = token;
    m->heartbeat.last_message_at = now;
    if (kind == PM_SOURCE_HEARTBEAT || !m->heartbeat.is_known)
        m->heartbeat.last_at = now;
    m->heartbeat.is_known = true;
    m->provider.absent_since = 0;
    if (m->state == PM_MACHINE_BOOTING) {
        m->state = PM_MACHINE_UP;
        pm_debug("worker.up", "%s", m->name);
    }
    if (m->push.unknown_outcome_epoch &&
        (token > m->push.unknown_outcome_epoch || session > m->push.unknown_outcome_incarnation))
        m->push.unknown_outcome_epoch = 0;
    m->heartbeat.spot_interruption_at =
        !pm_cbor_read_number(pm_cbor_get(report, "recall_s"), &recall) ? 0 : now + recall;
    for (guint i = 0; i < m->placements->len; i++)
        ((struct pm_placement *)g_ptr_array_index(m->placements, i))->seen_in_message = false;
    g_array_set_size(m->heartbeat.exited_tasks, 0);
    g_array_set_size(m->heartbeat.orphan_tasks, 0);
    for (size_t i = 0; i < pm_cbor_length(entries); i++)
        read_task(w, m, pm_cbor_at(entries, i), now);
    if (kind == PM_SOURCE_HEARTBEAT)
        read_unheard(m, risen, w->tables->settings->lease_s, now);
    else
        m->push.has_answered = true, m->delivery.failures = 0;
    read_absence(w, m, kind, epoch, now);
    return m;
}
