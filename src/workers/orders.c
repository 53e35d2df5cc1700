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
    return place->state == PM_PLACEMENT_DURABLE && !place->stop && place->session == m->session &&
           m->state == PM_MACHINE_UP && (!direct || (!place->direct && !place->replied));
}

static bool kill_due(const struct pm_placement *place, const struct pm_machine *m, bool direct)
{
    return place->stop && place->state >= PM_PLACEMENT_DURABLE &&
           place->state < PM_PLACEMENT_ENDED && place->session == m->session &&
           (!direct || !place->stop_sent);
}

bool pm_worker_push_is_due(const struct pm_machine *m)
{
    for (guint i = 0; i < m->places->len; i++) {
        const struct pm_placement *place = g_ptr_array_index(m->places, i);
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

    if (m->direct_open || m->doubtful || m->token < epoch)
        return false;
    if (!entry->job->chunk)
        return true; /* over, durably */
    chunk = entry->job->chunk[entry->index / PM_CHUNK_TASKS];
    return !chunk || (!chunk->dirty && !chunk->in_flight);
}

int pm_workers_encode_commands(struct pm_machine *m, bool direct, uint64_t epoch,
                               struct pm_buf *out)
{
    int n = 0;

    pm_put_list(out);
    for (guint i = 0; i < m->places->len && n < ORDERS_MAX; i++) {
        struct pm_placement *place = g_ptr_array_index(m->places, i);
        if (launch_due(place, m, direct)) {
            put_order(out, "launch", place->job->id, place->index, place->attempt, -1);
            if (direct)
                place->direct = m->direct_open, m->direct_launches = true;
            else
                place->replied = m->sequence;
            n++;
        } else if (kill_due(place, m, direct)) {
            put_order(out, "kill", place->job->id, place->index, place->attempt, place->leave_s);
            if (direct)
                place->stop_sent = true;
            n++;
        }
    }
    for (guint i = 0; !direct && i < m->strays->len && n < ORDERS_MAX; i++, n++) {
        struct pm_task_ref *entry = &g_array_index(m->strays, struct pm_task_ref, i);
        put_order(out, "kill", entry->job->id, entry->index, entry->attempt, 0);
    }
    for (guint i = 0; !direct && i < m->ended->len && n < ORDERS_MAX; i++) {
        struct pm_task_ref *entry = &g_array_index(m->ended, struct pm_task_ref, i);
        if (!may_forget(m, entry, epoch))
            continue;
        put_order(out, "forget", entry->job->id, entry->index, entry->attempt, -1);
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
        pm_cbor_text(pm_cbor_get(item, "status"), status, sizeof status);
        if (pm_cbor_text(pm_cbor_get(item, "entry"), text, sizeof text) ||
            !pm_task_name_parse(text, id, &index) ||
            pm_cbor_count(pm_cbor_get(item, "try"), &attempt) ||
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
    m->direct_open = ++w->directs;
    m->direct_launches = false;
    return m->direct_open;
}

/* What the end of a /do tells of one place. */
static void note_direct_end(struct pm_placement *place, uint64_t number, int status)
{
    if (status == PM_HTTP_NO_ANSWER) {
        place->in_doubt |= place->direct == number;
    } else if (status == PM_HTTP_NOT_SENT) {
        if (place->direct == number)
            place->direct = 0;
    } else if (place->direct <= number) {
        /* The machine answers: what is still not there is sent anew. That says nothing of an
         * earlier /do that had no answer: its launch may be carried out yet. */
        place->direct = 0;
    }
    if (status != 200)
        place->stop_sent = false;
}

bool pm_worker_push_done(struct pm_machine *m, uint64_t number, uint64_t epoch, int status)
{
    if (m->direct_open != number)
        return false;
    m->direct_open = 0;
    for (guint i = 0; i < m->places->len; i++)
        note_direct_end(g_ptr_array_index(m->places, i), number, status);
    /* Whatever became of the launches it carried, a copy may still arrive minutes late. */
    if (status == PM_HTTP_NO_ANSWER && m->direct_launches) {
        m->doubtful = epoch;
        m->doubtful_session = m->session;
    }
    return true;
}
