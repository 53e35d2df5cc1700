/* The orders that are due at a machine, and what became of the /do that carried them. */
#include "workers/internal.h"

#include <stdio.h>
#include <string.h>

enum { ORDERS_MAX = 400 }; /* keeps an answer well below 64 KiB */

static void put_order(struct pm_buf *out, const char *verb, const char *id, uint32_t index,
                      uint32_t attempt, double leave_s)
{
    char text[64];

    snprintf(text, sizeof text, "%s/%u", id, index);
    pm_put_map(out);
    pm_put_pair_text(out, "verb", verb);
    pm_put_pair_text(out, "entry", text);
    pm_put_pair_count(out, "try", attempt);
    if (leave_s >= 0)
        pm_put_pair_number(out, "leave_s", leave_s);
    pm_put_end(out);
}

static bool launch_due(const struct pm_placement *place, const struct pm_machine *m, bool direct)
{
    return place->state == PM_PLACEMENT_DURABLE && !place->should_stop &&
           place->incarnation == m->heartbeat.incarnation && m->state == PM_MACHINE_UP &&
           (!direct || (!place->launch_push && !place->launch_reply_sequence));
}

static bool kill_due(const struct pm_placement *place, const struct pm_machine *m, bool direct)
{
    return place->should_stop && place->state >= PM_PLACEMENT_DURABLE &&
           place->state < PM_PLACEMENT_ENDED && place->incarnation == m->heartbeat.incarnation &&
           (!direct || !place->stop_acked);
}

bool pm_worker_push_is_due(const struct pm_machine *m)
{
    for (guint i = 0; i < m->placements->len; i++) {
        const struct pm_placement *place = g_ptr_array_index(m->placements, i);
        if (launch_due(place, m, true) || kill_due(place, m, true))
            return true;
    }
    return false;
}

/* No forget while a copy of a launch may be under way: it would start the task anew. That is so
 * while a /do is open or in doubt, and while the worker would still obey an earlier token. Nor
 * before the end is durable: a forgotten end that nobody wrote down is lost. */
static bool may_forget(const struct pm_machine *m, const struct pm_task_ref *entry, uint64_t epoch)
{
    const struct pm_chunk *chunk;

    if (m->push.in_flight || m->push.unknown_outcome_epoch || m->heartbeat.fencing_token < epoch)
        return false;
    if (!entry->job->chunks)
        return true; /* over, durably */
    chunk = entry->job->chunks[entry->task_index / PM_CHUNK_TASKS];
    return !chunk || (!chunk->write_back.dirty && !chunk->write_back.in_flight);
}

int pm_workers_encode_commands(struct pm_machine *m, bool direct, uint64_t epoch,
                               struct pm_buf *out)
{
    int n = 0;

    pm_put_list(out);
    for (guint i = 0; i < m->placements->len && n < ORDERS_MAX; i++) {
        struct pm_placement *place = g_ptr_array_index(m->placements, i);
        if (launch_due(place, m, direct)) {
            put_order(out, "launch", place->job->id, place->task_index, place->attempt, -1);
            if (direct)
                place->launch_push = m->push.in_flight, m->push.has_launches = true;
            else
                place->launch_reply_sequence = m->heartbeat.sequence;
            n++;
        } else if (kill_due(place, m, direct)) {
            put_order(out, "kill", place->job->id, place->task_index, place->attempt,
                      place->grace_s);
            if (direct)
                place->stop_acked = true;
            n++;
        }
    }
    for (guint i = 0; !direct && i < m->heartbeat.orphan_tasks->len && n < ORDERS_MAX; i++, n++) {
        struct pm_task_ref *entry =
            &g_array_index(m->heartbeat.orphan_tasks, struct pm_task_ref, i);
        put_order(out, "kill", entry->job->id, entry->task_index, entry->attempt, 0);
    }
    for (guint i = 0; !direct && i < m->heartbeat.exited_tasks->len && n < ORDERS_MAX; i++) {
        struct pm_task_ref *entry =
            &g_array_index(m->heartbeat.exited_tasks, struct pm_task_ref, i);
        if (!may_forget(m, entry, epoch))
            continue;
        put_order(out, "forget", entry->job->id, entry->task_index, entry->attempt, -1);
        n++;
    }
    pm_put_end(out);
    return n;
}

void pm_workers_encode_cancel_kills(struct pm_workers *w, const cbor_item_t *report,
                                    struct pm_buf *out)
{
    cbor_item_t *entries = pm_cbor_get(report, "entries");
    int n = 0;

    pm_put_list(out);
    for (size_t i = 0; i < pm_cbor_length(entries) && n < ORDERS_MAX; i++) {
        const cbor_item_t *item = pm_cbor_at(entries, i);
        char text[64];
        char id[PM_ID_MAX];
        char status[16] = "";
        uint64_t attempt;
        uint32_t index;
        pm_cbor_read_text(pm_cbor_get(item, "status"), status, sizeof status);
        if (!pm_cbor_read_text(pm_cbor_get(item, "entry"), text, sizeof text) ||
            !pm_task_name_parse(text, id, &index) ||
            !pm_cbor_read_count(pm_cbor_get(item, "try"), &attempt) ||
            !strcmp(status, pm_task_states[4]) || !pm_jobs_cancellation_revision(w->jobs, id))
            continue;
        put_order(out, "kill", id, index, (uint32_t)attempt, 0);
        n++;
    }
    pm_put_end(out);
}

/* ---- direct commands ---- */

uint64_t pm_worker_push_begin(struct pm_workers *w, struct pm_machine *m)
{
    m->push.in_flight = ++w->push_count;
    m->push.has_launches = false;
    return m->push.in_flight;
}

/* What the end of a /do tells of one place. */
static void note_direct_end(struct pm_placement *place, uint64_t number, int status)
{
    if (status == PM_HTTP_NO_ANSWER) {
        place->launch_outcome_unknown |= place->launch_push == number;
    } else if (status == PM_HTTP_NOT_SENT) {
        if (place->launch_push == number)
            place->launch_push = 0;
    } else if (place->launch_push <= number) {
        /* The machine answers: what is still not there is sent anew. That says nothing of an
         * earlier /do that had no answer: its launch may be carried out yet. */
        place->launch_push = 0;
    }
    if (status != 200)
        place->stop_acked = false;
}

bool pm_worker_push_done(struct pm_machine *m, uint64_t number, uint64_t epoch, int status)
{
    if (m->push.in_flight != number)
        return false;
    m->push.in_flight = 0;
    for (guint i = 0; i < m->placements->len; i++)
        note_direct_end(g_ptr_array_index(m->placements, i), number, status);
    /* Whatever became of the launches it carried, a copy may still arrive minutes late. */
    if (status == PM_HTTP_NO_ANSWER && m->push.has_launches) {
        m->push.unknown_outcome_epoch = epoch;
        m->push.unknown_outcome_incarnation = m->heartbeat.incarnation;
    }
    return true;
}
