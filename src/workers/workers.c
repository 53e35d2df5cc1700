#include "workers/faults.h"
#include "base/clock.h"
#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { ORDERS_MAX = 400 }; /* keeps an answer well below 64 KiB */
/* A worker that finds no controller tries each of them; one with a new leader finds it in time. */
#define MUTE_REPORTS 2
#define MUTE_S 4.0
#define DEAF_S 1.5 /* messages lost within less than this may have one cause */

struct pm_workers {
    struct pm_name_tables *tables;
    struct pm_jobs *jobs;
    struct pm_workers_hooks hooks;
    GPtrArray *all;   /* by machine index of the replica */
    uint64_t ignored; /* entries of jobs that the replica does not know */
    uint64_t directs; /* /do begun so far, over all resets */
};

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
    int index = pm_names_add(w->tables->machines, name);
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
    m->state = PM_BOOTING;
    m->places = g_ptr_array_new_with_free_func(g_free);
    m->ended = g_array_new(FALSE, FALSE, sizeof(struct pm_entry));
    m->strays = g_array_new(FALSE, FALSE, sizeof(struct pm_entry));
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

struct pm_place *pm_workers_place(struct pm_workers *w, struct pm_job *job, uint32_t index,
                                  struct pm_machine *m, uint32_t attempt, uint64_t session,
                                  enum pm_place_state state, double now)
{
    struct pm_place *place = g_new0(struct pm_place, 1);

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
    pm_job_count_place(job, index, 1);
    return place;
}

/* The place holds nothing any more: its room and its task are free again. */
static void release(struct pm_place *place)
{
    struct pm_task *task = pm_job_task(place->job, place->index);

    take_room(place->machine, place->job->spec, -1);
    place->state = PM_ENDED;
    if (task->place == place)
        task->place = NULL;
    pm_job_count_place(place->job, place->index, -1);
    if (place->index < place->job->hint)
        place->job->hint = place->index;
}

void pm_workers_unplace(struct pm_workers *w, struct pm_place *place)
{
    (void)w;
    if (place->state != PM_ENDED)
        release(place);
    g_ptr_array_remove_fast(place->machine->places, place);
}

static void end_place(struct pm_workers *w, struct pm_place *place, enum pm_end end, bool saved,
                      double now)
{
    struct pm_job *job = place->job;
    uint32_t index = place->index;

    if (end == PM_END_DONE) {
        struct pm_task *task = pm_job_task(job, index);
        if (!task->done) {
            task->done = true;
            job->ndone++;
        }
    }
    release(place);
    pm_job_touch(job, index);
    pm_fault_note_end(place, end, now);
    w->hooks.ended(w->hooks.arg, place, end, saved, now);
    pm_workers_unplace(w, place);
}

void pm_workers_stop(struct pm_place *place, double leave_s)
{
    if (place->stop && place->leave_s <= leave_s)
        return;
    place->stop = true;
    place->stop_sent = false;
    place->leave_s = leave_s;
}

void pm_workers_gone(struct pm_workers *w, struct pm_machine *m, double now)
{
    while (m->places->len)
        end_place(w, g_ptr_array_index(m->places, m->places->len - 1), PM_END_GONE, false, now);
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

bool pm_workers_silent(const struct pm_machine *m, const struct pm_settings *settings, double now)
{
    return now - m->heard >= 1.6 * settings->report_s + 1;
}

bool pm_workers_mute(const struct pm_machine *m, const struct pm_settings *settings, double now)
{
    return m->reported && m->heard > m->report_at &&
           now - m->report_at >= MUTE_REPORTS * settings->report_s + MUTE_S;
}

bool pm_workers_proven(const struct pm_machine *m)
{
    return m->listed || m->rented != 0 || m->reached;
}

bool pm_workers_deaf(const struct pm_machine *m, double now)
{
    /* Of one that does not report either, silence is what tells. */
    return m->unheard >= 2 && m->heard >= m->unheard_at && now - m->unheard_since > DEAF_S;
}

void pm_workers_unheard(struct pm_machine *m, const char *why, double now)
{
    pm_debug("workers.unheard", "%s: %s", m->name, why);
    if (!m->unheard++)
        m->unheard_since = now;
    m->unheard_at = now;
}

void pm_workers_answered(struct pm_machine *m, uint64_t epoch, double now)
{
    m->answered = now;
    m->told = epoch;
    m->told_sequence = m->sequence;
}

bool pm_workers_clean(const struct pm_machine *m, uint64_t epoch)
{
    return !m->places->len && !m->direct_open && !m->doubtful && !m->ended->len &&
           !m->strays->len && m->reported && m->token >= epoch;
}

/* A worker's lease runs from its last answered report, or, in a session that none was answered in,
 * from that session's begin: a machine that was only reached by /do so far is not a silent one. */
bool pm_workers_lapsed(const struct pm_machine *m, double floor, double lease_s, double now)
{
    double base = MAX(MAX(m->answered, m->session_heard), floor);

    return now > base + lease_s * (1 + 2 * PM_DRIFT) + 0.2;
}

/* ---- reports ---- */

static const char *const states[] = {"fetching", "waiting", "running", "saving", "ended"};

static bool read_entry(const char *text, char *id, uint32_t *index)
{
    const char *slash = strchr(text, '/');
    char *end;
    unsigned long value;

    if (!slash || (size_t)(slash - text) >= PM_ID_MAX)
        return false;
    memcpy(id, text, (size_t)(slash - text));
    id[slash - text] = 0;
    value = strtoul(slash + 1, &end, 10);
    if (end == slash + 1 || *end || value >= PM_ENTRIES_MAX)
        return false;
    *index = (uint32_t)value;
    return true;
}

static enum pm_end read_end(const cbor_item_t *entry)
{
    char cause[32];

    if (pm_cbor_text(pm_cbor_get(entry, "cause"), cause, sizeof cause))
        return PM_END_ERROR;
    if (!strcmp(cause, "done"))
        return PM_END_DONE;
    if (!strcmp(cause, "stopped"))
        return PM_END_STOPPED;
    if (!strcmp(cause, "mates_gone") || !strcmp(cause, "incomplete"))
        return PM_END_GANG;
    if (!strcmp(cause, "error"))
        return PM_END_ERROR;
    return PM_END_REFUSED;
}

static void note_image(struct pm_workers *w, struct pm_machine *m, const struct pm_spec *spec)
{
    struct pm_cached entry = {spec->image, spec->image_gb};
    double room = m->type >= 0 ? w->tables->type[m->type].local_gb : 0;
    int i;

    for (i = 0; i < m->ncached && m->cached[i].image != spec->image; i++)
        ;
    if (i == 0 && m->ncached)
        return;
    if (i == m->ncached && m->ncached < PM_CACHE_MAX)
        m->ncached++;
    if (i == PM_CACHE_MAX)
        i--;
    memmove(m->cached + 1, m->cached, (size_t)i * sizeof m->cached[0]);
    m->cached[0] = entry;
    for (i = 0; i < m->ncached; i++) { /* the least recently used give way */
        room -= m->cached[i].gb;
        if (i > 0 && room < 0)
            m->ncached = i;
    }
}

static void read_task(struct pm_workers *w, struct pm_machine *m, const cbor_item_t *item,
                      double now)
{
    char text[64];
    char id[PM_ID_MAX];
    char status[16];
    struct pm_entry entry;
    struct pm_place *place = NULL;
    uint64_t attempt;
    bool saved = false;
    int state;

    if (pm_cbor_text(pm_cbor_get(item, "entry"), text, sizeof text) ||
        !read_entry(text, id, &entry.index) || pm_cbor_count(pm_cbor_get(item, "try"), &attempt) ||
        pm_cbor_text(pm_cbor_get(item, "status"), status, sizeof status)) {
        pm_error("workers.entry", "unreadable entry from %s", m->name);
        return;
    }
    for (state = 0; state < 5 && strcmp(states[state], status); state++)
        ;
    entry.job = pm_jobs_find(w->jobs, id);
    entry.attempt = (uint32_t)attempt;
    if (!entry.job || state == 5 || entry.index >= entry.job->entries) {
        if (w->ignored++ == 0)
            pm_error("workers.entry", "%s reports %s, unknown here", m->name, text);
        return;
    }
    if (entry.job->spec && entry.job->chunk) {
        const struct pm_task *task = pm_job_peek(entry.job, entry.index);
        if (task && task->place && task->place->machine == m &&
            task->place->attempt == entry.attempt && task->place->session == m->session)
            place = task->place;
    }
    if (!place) {
        g_array_append_val(*(state == 4 ? &m->ended : &m->strays), entry);
        if (state != 4)
            pm_info("workers.stray", "%s has %s try %u, not in the books", m->name, text,
                    entry.attempt);
        return;
    }
    place->seen = true;
    if (state >= 1 && state <= 3)
        note_image(w, m, entry.job->spec);
    if (state == 4) {
        pm_cbor_flag(pm_cbor_get(item, "stored"), &saved);
        g_array_append_val(m->ended, entry);
        end_place(w, place, read_end(item), saved, now);
        return;
    }
    place->state = (enum pm_place_state)(PM_FETCHING + state);
    if (place->state == PM_RUNNING && !place->ran_from) {
        place->ran_from = now;
        w->hooks.ran(w->hooks.arg, place, now);
    }
    if (place->state == PM_RUNNING)
        pm_fault_note_running(place, now);
}

/* What a fresh message does not list. Absence proves nothing while a copy of the launch may still
 * arrive: one in a /do without an answer (until the worker has seen a later token, or a later
 * session), or one in an answer to a report (until the next report, for the worker has one report
 * in flight and drops late answers). */
static void read_absence(struct pm_workers *w, struct pm_machine *m, enum pm_message kind,
                         uint64_t epoch, double now)
{
    for (guint i = 0; i < m->places->len;) {
        struct pm_place *place = g_ptr_array_index(m->places, i);
        bool in_answer = place->replied && (kind != PM_REPORT || m->sequence <= place->replied);
        bool in_direct = (place->direct && m->direct_open) || (place->in_doubt && m->doubtful);

        if (place->seen || place->state == PM_INTENT || m->token < epoch || in_answer ||
            in_direct) {
            i++;
            continue;
        }
        place->replied = place->direct = 0; /* no copy is under way any more */
        place->in_doubt = false;
        if (place->stop || place->state > PM_DURABLE) {
            /* Not there, and nothing can bring it. */
            end_place(w, place, PM_END_GONE, false, now);
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
    if (risen && m->told && now - m->answered < lease_s) {
        pm_workers_unheard(m, "its lease ran out though we answered", now);
        return;
    }
    if (m->told && m->sequence > m->told_sequence && m->token < m->told) {
        pm_workers_unheard(m, "it has not taken our token", now);
        return;
    }
    for (guint i = 0; i < m->places->len; i++) {
        const struct pm_place *place = g_ptr_array_index(m->places, i);
        if (place->state == PM_DURABLE && place->replied && m->sequence > place->replied) {
            pm_workers_unheard(m, "it shows no trace of an order", now);
            return;
        }
    }
}

static int read_identity(struct pm_workers *w, struct pm_machine *m, const cbor_item_t *report)
{
    char type[PM_NAME_MAX];
    char zone[PM_NAME_MAX];

    if (pm_cbor_text(pm_cbor_get(report, "endpoint"), m->endpoint, sizeof m->endpoint) ||
        pm_cbor_text(pm_cbor_get(report, "model"), type, sizeof type) ||
        pm_cbor_text(pm_cbor_get(report, "room"), zone, sizeof zone))
        return -1;
    m->zone = pm_settings_zone(w->tables->settings, zone);
    m->spot = false;
    pm_cbor_flag(pm_cbor_get(report, "borrowed"), &m->spot);
    pm_workers_set_type(w, m, pm_names_find(w->tables->types, type));
    return 0;
}

struct pm_machine *pm_workers_report(struct pm_workers *w, const cbor_item_t *report,
                                     enum pm_message kind, uint64_t epoch, double now, bool *fresh)
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
    if (pm_cbor_text(pm_cbor_get(report, "host"), name, sizeof name) || !name[0] ||
        pm_cbor_count(pm_cbor_get(report, "shift"), &session) ||
        pm_cbor_count(pm_cbor_get(report, "tally"), &sequence) ||
        pm_cbor_count(pm_cbor_get(report, "mandate"), &token) ||
        (entries && !cbor_isa_array(entries)))
        return NULL;
    m = pm_workers_add(w, name);
    if (read_identity(w, m, report))
        return NULL;
    if (session < m->session || session < m->least_session ||
        (session == m->session && sequence <= m->sequence)) {
        m->stale = now;
        return m; /* late: its list is as old as itself */
    }
    *fresh = true;
    risen = m->reported && session > m->session;
    if (session > m->session) {
        /* A later session: what an earlier one held was killed. Places found in the state service
         * may be of this session already: those stay. */
        for (guint i = 0; i < m->places->len;) {
            struct pm_place *place = g_ptr_array_index(m->places, i);
            if (place->session < session) {
                end_place(w, place, PM_END_GONE, false, now);
                i = 0;
            } else {
                i++;
            }
        }
        if (m->session)
            m->ncached = 0;
    }
    if (session > m->session || !m->reported)
        m->session_heard = now;
    m->session = session;
    m->sequence = sequence;
    m->token = token;
    m->heard = now;
    if (kind == PM_REPORT || !m->reported)
        m->report_at = now;
    m->reported = true;
    m->absent_since = 0;
    if (m->state == PM_BOOTING) {
        m->state = PM_UP;
        pm_debug("workers.up", "%s", m->name);
    }
    if (m->doubtful && (token > m->doubtful || session > m->doubtful_session))
        m->doubtful = 0;
    m->recall_at = pm_cbor_number(pm_cbor_get(report, "recall_s"), &recall) ? 0 : now + recall;
    for (guint i = 0; i < m->places->len; i++)
        ((struct pm_place *)g_ptr_array_index(m->places, i))->seen = false;
    g_array_set_size(m->ended, 0);
    g_array_set_size(m->strays, 0);
    for (size_t i = 0; i < pm_cbor_length(entries); i++)
        read_task(w, m, pm_cbor_at(entries, i), now);
    if (kind == PM_REPORT)
        read_unheard(m, risen, w->tables->settings->lease_s, now);
    else
        m->reached = true, m->unheard = 0;
    read_absence(w, m, kind, epoch, now);
    return m;
}

/* ---- orders ---- */

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

static bool launch_due(const struct pm_place *place, const struct pm_machine *m, bool direct)
{
    return place->state == PM_DURABLE && !place->stop && place->session == m->session &&
           m->state == PM_UP && (!direct || (!place->direct && !place->replied));
}

static bool kill_due(const struct pm_place *place, const struct pm_machine *m, bool direct)
{
    return place->stop && place->state >= PM_DURABLE && place->state < PM_ENDED &&
           place->session == m->session && (!direct || !place->stop_sent);
}

bool pm_workers_direct_due(const struct pm_machine *m)
{
    for (guint i = 0; i < m->places->len; i++) {
        const struct pm_place *place = g_ptr_array_index(m->places, i);
        if (launch_due(place, m, true) || kill_due(place, m, true))
            return true;
    }
    return false;
}

/* No forget while a copy of a launch may be under way: it would start the task anew. That is so
 * while a /do is open or in doubt, and while the worker would still obey an earlier token. Nor
 * before the end is durable: a forgotten end that nobody wrote down is lost. */
static bool may_forget(const struct pm_machine *m, const struct pm_entry *entry, uint64_t epoch)
{
    const struct pm_chunk *chunk;

    if (m->direct_open || m->doubtful || m->token < epoch)
        return false;
    if (!entry->job->chunk)
        return true; /* over, durably */
    chunk = entry->job->chunk[entry->index / PM_CHUNK];
    return !chunk || (!chunk->dirty && !chunk->in_flight);
}

int pm_workers_orders(struct pm_machine *m, bool direct, uint64_t epoch, struct pm_buf *out)
{
    int n = 0;

    pm_put_list(out);
    for (guint i = 0; i < m->places->len && n < ORDERS_MAX; i++) {
        struct pm_place *place = g_ptr_array_index(m->places, i);
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
        struct pm_entry *entry = &g_array_index(m->strays, struct pm_entry, i);
        put_order(out, "kill", entry->job->id, entry->index, entry->attempt, 0);
    }
    for (guint i = 0; !direct && i < m->ended->len && n < ORDERS_MAX; i++) {
        struct pm_entry *entry = &g_array_index(m->ended, struct pm_entry, i);
        if (!may_forget(m, entry, epoch))
            continue;
        put_order(out, "forget", entry->job->id, entry->index, entry->attempt, -1);
        n++;
    }
    pm_put_end(out);
    return n;
}

void pm_workers_kill_cancelled(struct pm_workers *w, const cbor_item_t *report, struct pm_buf *out)
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
            !read_entry(text, id, &index) || pm_cbor_count(pm_cbor_get(item, "try"), &attempt) ||
            !strcmp(status, states[4]) || !pm_jobs_cancelled(w->jobs, id))
            continue;
        put_order(out, "kill", id, index, (uint32_t)attempt, 0);
        n++;
    }
    pm_put_end(out);
}

uint64_t pm_workers_direct_begin(struct pm_workers *w, struct pm_machine *m)
{
    m->direct_open = ++w->directs;
    m->direct_launches = false;
    return m->direct_open;
}

/* What the end of a /do tells of one place. */
static void note_direct_end(struct pm_place *place, uint64_t number, int status)
{
    if (status == PM_HTTP_LOST) {
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

bool pm_workers_direct_done(struct pm_machine *m, uint64_t number, uint64_t epoch, int status)
{
    if (m->direct_open != number)
        return false;
    m->direct_open = 0;
    for (guint i = 0; i < m->places->len; i++)
        note_direct_end(g_ptr_array_index(m->places, i), number, status);
    /* Whatever became of the launches it carried, a copy may still arrive minutes late. */
    if (status == PM_HTTP_LOST && m->direct_launches) {
        m->doubtful = epoch;
        m->doubtful_session = m->session;
    }
    return true;
}
