#include "jobs/dependencies.h"
#include "base/log.h"
#include "base/protocol.h"

#include <ctype.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { TEXT_MAX = 120 };
/* Of a chunk's value, in bytes of JSON: a place in it, and the rest. */
enum { PLACE_SIZE = 28, VALUE_SIZE = 140 };
#define EPS 1e-6

struct pm_jobs {
    struct pm_books *books;
    GHashTable *by_id; /* owns the jobs */
    GPtrArray *active;
    struct pm_dependency_graph *dependencies;
    bool away;
    GArray *cancelled;   /* of struct pm_cancelled */
    GHashTable *lists;   /* id to GPtrArray of GPtrArray of ids: the p/n values, by K */
    bool unsorted;       /* it is not by stamp, as it should be */
    GHashTable *unknown; /* id to stamp: cancelled, though the job is not known yet */
};

static const char *const form_names[] = {"array", "group", "standing"};
static const char *const priority_names[] = {"best_effort", "normal", "urgent", "production"};
static const char *const state_names[] = {"live", "cancelled", "done"};

static int name_index(const char *const *names, int n, const char *text)
{
    for (int i = 0; i < n; i++)
        if (!strcmp(names[i], text))
            return i;
    return -1;
}

static void chunk_free(struct pm_chunk *chunk)
{
    if (!chunk)
        return;
    for (int half = -1; half < 2; half++)
        if (pm_chunk_value(chunk, half)->spots)
            g_array_free(pm_chunk_value(chunk, half)->spots, TRUE);
    if (chunk->spots)
        g_array_free(chunk->spots, TRUE);
    g_free(chunk->task);
    g_free(chunk);
}

static void chunks_free(struct pm_job *job)
{
    for (int k = 0; job->chunk && k < job->nchunks; k++)
        chunk_free(job->chunk[k]);
    g_free(job->chunk);
    job->chunk = NULL;
    job->nchunks = 0;
}

void pm_spec_free(struct pm_spec *spec)
{
    if (spec)
        g_free(spec->dependencies);
    g_free(spec);
}

static void job_free(gpointer data)
{
    struct pm_job *job = data;

    chunks_free(job);
    pm_spec_free(job->spec);
    g_free(job);
}

struct pm_jobs *pm_jobs_new(struct pm_books *books)
{
    struct pm_jobs *jobs = g_new0(struct pm_jobs, 1);

    jobs->books = books;
    jobs->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
    jobs->active = g_ptr_array_new();
    jobs->dependencies = pm_dependencies_new(books);
    jobs->cancelled = g_array_new(FALSE, FALSE, sizeof(struct pm_cancelled));
    jobs->lists =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    jobs->unknown = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return jobs;
}

void pm_jobs_free(struct pm_jobs *jobs)
{
    g_hash_table_destroy(jobs->by_id);
    g_ptr_array_free(jobs->active, TRUE);
    pm_dependencies_free(jobs->dependencies);
    g_array_free(jobs->cancelled, TRUE);
    g_hash_table_destroy(jobs->unknown);
    g_hash_table_destroy(jobs->lists);
    g_free(jobs);
}

/* ---- cancellations ---- */

static void note_cancelled(struct pm_jobs *jobs, const char *id, uint64_t stamp)
{
    struct pm_cancelled entry = {.stamp = stamp};
    GArray *list = jobs->cancelled;

    g_strlcpy(entry.id, id, sizeof entry.id);
    /* A listing goes by key, and peers tell in their own order: sorted when next asked for. */
    if (list->len && g_array_index(list, struct pm_cancelled, list->len - 1).stamp > stamp)
        jobs->unsorted = true;
    g_array_append_val(list, entry);
}

/* A job that needs a cancelled one. Peers infer it as we do, so it is not told them. */
static void infer_cancelled(void *arg, struct pm_job *job)
{
    if (job->cancelled)
        return;
    job->cancelled = *(const uint64_t *)arg;
    job->state = PM_CANCELLED;
    job->inferred = true;
}

bool pm_jobs_cancel(struct pm_jobs *jobs, const char *id, uint64_t stamp)
{
    struct pm_job *job = g_hash_table_lookup(jobs->by_id, id);

    if (!pm_jobs_id_valid(id) || !stamp || pm_jobs_cancelled(jobs, id) ||
        (job && job->state == PM_DONE))
        return false;
    if (job) {
        job->cancelled = stamp;
        job->state = PM_CANCELLED;
    } else {
        g_hash_table_insert(jobs->unknown, g_strdup(id), g_memdup2(&stamp, sizeof stamp));
    }
    note_cancelled(jobs, id, stamp);
    pm_dependencies_cancelled(jobs->dependencies, id, infer_cancelled, &stamp);
    return true;
}

uint64_t pm_jobs_cancelled(const struct pm_jobs *jobs, const char *id)
{
    const struct pm_job *job = g_hash_table_lookup(jobs->by_id, id);
    const uint64_t *stamp = job ? &job->cancelled : g_hash_table_lookup(jobs->unknown, id);

    return stamp ? *stamp : 0;
}

static gint by_stamp(gconstpointer a, gconstpointer b)
{
    const struct pm_cancelled *x = a;
    const struct pm_cancelled *y = b;

    return (x->stamp > y->stamp) - (x->stamp < y->stamp);
}

const struct pm_cancelled *pm_jobs_cancelled_after(struct pm_jobs *jobs, uint64_t stamp,
                                                   size_t most, size_t *n, bool *more)
{
    struct pm_cancelled *all;
    size_t from = 0;
    size_t to = jobs->cancelled->len;
    size_t end;

    if (jobs->unsorted)
        g_array_sort(jobs->cancelled, by_stamp);
    jobs->unsorted = false;
    all = (struct pm_cancelled *)(void *)jobs->cancelled->data;
    while (from < to) { /* the first with a later stamp */
        size_t middle = from + (to - from) / 2;
        if (all[middle].stamp > stamp)
            to = middle;
        else
            from = middle + 1;
    }
    end = MIN(from + most, jobs->cancelled->len);
    while (end > from && end < jobs->cancelled->len && all[end].stamp == all[end - 1].stamp)
        end++;
    *n = end - from;
    *more = end < jobs->cancelled->len;
    return all + from;
}

struct pm_job *pm_jobs_find(const struct pm_jobs *jobs, const char *id)
{
    return g_hash_table_lookup(jobs->by_id, id);
}

GPtrArray *pm_jobs_active(struct pm_jobs *jobs)
{
    return jobs->active;
}

bool pm_jobs_id_valid(const char *id)
{
    size_t n = strlen(id);

    if (n < 5 || n >= PM_ID_MAX || strncmp(id, "job-", 4))
        return false;
    for (const char *c = id + 4; *c; c++)
        if (!isdigit((unsigned char)*c))
            return false;
    return true;
}

/* ---- reading a job's fields, from a user or from the state service ---- */

static int read_name(const cbor_item_t *body, const char *key, char *out, const char **why)
{
    if (pm_cbor_text(pm_cbor_get(body, key), out, TEXT_MAX) || !out[0]) {
        *why = key;
        return -1;
    }
    return 0;
}

static int read_amount(const cbor_item_t *body, const char *key, double *out, const char **why)
{
    if (pm_cbor_number(pm_cbor_get(body, key), out) || *out < 0 || *out > 1e12) {
        *why = key;
        return -1;
    }
    return 0;
}

static int read_flag(const cbor_item_t *body, const char *key, bool *out, const char **why)
{
    *out = false;
    if (pm_cbor_has(body, key) && pm_cbor_flag(pm_cbor_get(body, key), out)) {
        *why = key;
        return -1;
    }
    return 0;
}

static int read_types(const struct pm_books *books, const cbor_item_t *list, uint64_t *out)
{
    char name[TEXT_MAX];

    if (!list) {
        *out = ~(uint64_t)0;
        return 0;
    }
    if (!cbor_isa_array(list))
        return -1;
    *out = 0;
    for (size_t i = 0; i < pm_cbor_length(list); i++) {
        int type;
        if (pm_cbor_text(pm_cbor_at(list, i), name, sizeof name))
            return -1;
        type = pm_names_find(books->types, name);
        if (type >= 0 && type < PM_TYPES_MAX)
            *out |= (uint64_t)1 << type;
    }
    return 0;
}

static int find_team(const struct pm_settings *settings, const char *name)
{
    for (int i = 0; i < settings->teams; i++)
        if (!strcmp(settings->team[i].name, name))
            return i;
    return -1;
}

struct raw_names {
    char class_name[TEXT_MAX], team[TEXT_MAX], image[TEXT_MAX], zone[TEXT_MAX];
};

/* 0, or -1 with the field at fault in `why`. Names are left for the caller to judge. */
static int read_fields(const struct pm_books *books, const cbor_item_t *body, struct pm_spec *spec,
                       struct raw_names *names, const char **why)
{
    char text[TEXT_MAX];
    uint64_t entries;
    int found;

    *why = "not a map";
    if (!body || !cbor_isa_map(body))
        return -1;
    if (read_name(body, "ledger", names->class_name, why) ||
        read_name(body, "desk", names->team, why) || read_name(body, "bundle", names->image, why) ||
        read_name(body, "form", text, why))
        return -1;
    *why = "form";
    if ((found = name_index(form_names, 3, text)) < 0)
        return -1;
    spec->form = (enum pm_form)found;
    if (read_name(body, "urgency", text, why))
        return -1;
    *why = "urgency";
    if ((found = name_index(priority_names, 4, text)) < 0)
        return -1;
    spec->priority = (enum pm_priority)found;
    *why = "entries";
    if (pm_cbor_count(pm_cbor_get(body, "entries"), &entries) || entries < 1 ||
        entries > PM_ENTRIES_MAX)
        return -1;
    spec->entries = (uint32_t)entries;
    if (read_amount(body, "cpus", &spec->cpus, why) ||
        read_amount(body, "accelerators", &spec->gpus, why) ||
        read_amount(body, "ram_gb", &spec->ram_gb, why) ||
        read_amount(body, "size_gb", &spec->image_gb, why) ||
        read_amount(body, "expected_s", &spec->expected_s, why) ||
        read_amount(body, "bookmark_s", &spec->bookmark_s, why) ||
        read_amount(body, "filing_s", &spec->filing_s, why))
        return -1;
    spec->due_s = -1;
    if (pm_cbor_has(body, "due_s") && read_amount(body, "due_s", &spec->due_s, why))
        return -1;
    if (read_flag(body, "same_place", &spec->same_place, why) ||
        read_flag(body, "spread", &spec->spread, why) ||
        read_flag(body, "borrowed", &spec->spot, why))
        return -1;
    *why = "models";
    if (read_types(books, pm_cbor_get(body, "models"), &spec->types))
        return -1;
    names->zone[0] = 0;
    if (pm_cbor_has(body, "room") && read_name(body, "room", names->zone, why))
        return -1;
    return 0;
}

static bool fits_some_type(const struct pm_books *books, const struct pm_spec *spec)
{
    for (int i = 0; i < books->ntypes; i++) {
        const struct pm_type *type = &books->type[i];
        bool offered = spec->zone < 0 || (type->zones >> spec->zone & 1);
        if (offered && spec->types >> i & 1 && type->cpus >= spec->cpus &&
            type->gpus >= spec->gpus && type->ram_gb >= spec->ram_gb)
            return true;
    }
    return false;
}

int pm_jobs_read_dependencies(const cbor_item_t *body, GPtrArray **out)
{
    const cbor_item_t *list = pm_cbor_get(body, "awaits");
    GHashTable *seen;
    char id[TEXT_MAX];

    *out = NULL;
    if (!list)
        return 0;
    if (!cbor_isa_array(list))
        return -1;
    for (size_t i = 0; i < pm_cbor_length(list); i++)
        if (pm_cbor_text(pm_cbor_at(list, i), id, sizeof id) || !pm_jobs_id_valid(id))
            return -1;
    if (!pm_cbor_length(list))
        return 0;
    *out = g_ptr_array_new_with_free_func(g_free);
    seen = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < pm_cbor_length(list); i++) {
        pm_cbor_text(pm_cbor_at(list, i), id, sizeof id);
        if (g_hash_table_contains(seen, id))
            continue;
        g_ptr_array_add(*out, g_strdup(id));
        g_hash_table_add(seen, g_ptr_array_index(*out, (*out)->len - 1));
    }
    g_hash_table_destroy(seen);
    return 0;
}

void pm_spec_set_dependencies(struct pm_books *books, struct pm_spec *spec, const GPtrArray *ids)
{
    spec->dependencies = g_new(int, ids->len);
    spec->ndependencies = ids->len;
    for (guint i = 0; i < ids->len; i++)
        spec->dependencies[i] = pm_names_add(books->dependency_ids, g_ptr_array_index(ids, i));
}

int pm_jobs_read(struct pm_books *books, const cbor_item_t *body, char *id, struct pm_spec *spec,
                 const char **why)
{
    static const char *const flags[] = {"same_place", "spread", "borrowed"};
    const struct pm_settings *settings = books->settings;
    struct raw_names names;
    const struct pm_team_setting *team;
    double tasks;

    memset(spec, 0, sizeof *spec);
    *why = "name_id";
    if (pm_cbor_text(pm_cbor_get(body, "name_id"), id, PM_ID_MAX) || !pm_jobs_id_valid(id))
        return 400;
    /* Users say whether or not; what was accepted before they had to is still read. */
    for (size_t i = 0; i < G_N_ELEMENTS(flags); i++) {
        *why = flags[i];
        if (!pm_cbor_has(body, flags[i]))
            return 400;
    }
    if (read_fields(books, body, spec, &names, why))
        return 400;
    if (!books->ntypes) {
        *why = "machine types not known yet";
        return 503;
    }
    spec->team = find_team(settings, names.team);
    spec->zone = names.zone[0] ? pm_settings_zone(settings, names.zone) : -1;
    *why = "unknown team or room";
    if (spec->team < 0 || (names.zone[0] && spec->zone < 0))
        return 422;
    *why = "fits no allowed machine type";
    if (!fits_some_type(books, spec))
        return 422;
    team = &settings->team[spec->team];
    tasks = spec->form == PM_ARRAY ? 1 : spec->entries;
    *why = "above the team's limit";
    if (tasks * spec->cpus > team->cpus_max + EPS || tasks * spec->gpus > team->gpus_max + EPS)
        return 422;
    spec->class_index = pm_names_add(books->classes, names.class_name);
    spec->image = pm_names_add(books->images, names.image);
    return 200;
}

/* ---- values of p/j ---- */

/* `ended`: the time of day at which it was done, 0: not to be written. */
static void write_value(const struct pm_books *books, const struct pm_spec *spec, uint32_t entries,
                        enum pm_job_state state, bool full, double ended, struct pm_buf *out)
{
    pm_put_map(out);
    pm_put_pair_text(out, "now", state_names[state]);
    pm_put_pair_count(out, "entries", entries);
    if (ended > 0)
        pm_put_pair_number(out, "ended", ended);
    if (full) {
        pm_put_pair_text(out, "ledger", pm_names_text(books->classes, spec->class_index));
        pm_put_pair_text(out, "desk", books->settings->team[spec->team].name);
        pm_put_pair_text(out, "bundle", pm_names_text(books->images, spec->image));
        pm_put_pair_text(out, "form", form_names[spec->form]);
        pm_put_pair_text(out, "urgency", priority_names[spec->priority]);
        pm_put_pair_number(out, "cpus", spec->cpus);
        pm_put_pair_number(out, "accelerators", spec->gpus);
        pm_put_pair_number(out, "ram_gb", spec->ram_gb);
        pm_put_pair_number(out, "size_gb", spec->image_gb);
        pm_put_pair_number(out, "expected_s", spec->expected_s);
        pm_put_pair_number(out, "bookmark_s", spec->bookmark_s);
        pm_put_pair_number(out, "filing_s", spec->filing_s);
        if (spec->due_s >= 0)
            pm_put_pair_number(out, "due_s", spec->due_s);
        pm_put_pair_flag(out, "same_place", spec->same_place);
        pm_put_pair_flag(out, "spread", spec->spread);
        pm_put_pair_flag(out, "borrowed", spec->spot);
        if (spec->types != ~(uint64_t)0) {
            pm_put_text(out, "models");
            pm_put_list(out);
            for (int i = 0; i < books->ntypes; i++)
                if (spec->types >> i & 1)
                    pm_put_text(out, pm_names_text(books->types, i));
            pm_put_end(out);
        }
        if (spec->zone >= 0)
            pm_put_pair_text(out, "room", books->settings->zone_name[spec->zone]);
        if (spec->overflow_lists)
            pm_put_pair_count(out, "lists", spec->overflow_lists);
        else if (spec->ndependencies) {
            pm_put_text(out, "awaits");
            pm_put_list(out);
            for (uint32_t i = 0; i < spec->ndependencies; i++)
                pm_put_text(out, pm_names_text(books->dependency_ids, spec->dependencies[i]));
            pm_put_end(out);
        }
        pm_put_pair_number(out, "at", spec->submitted);
    }
    pm_put_end(out);
}

void pm_jobs_write(const struct pm_books *books, const struct pm_spec *spec, uint32_t entries,
                   enum pm_job_state state, bool full, struct pm_buf *out)
{
    write_value(books, spec, entries, state, full, 0, out);
}

void pm_jobs_write_done(const struct pm_books *books, const struct pm_job *job, bool full,
                        struct pm_buf *out)
{
    bool says_when = books->protocol_version >= PM_PROTOCOL_END_TIMES;

    write_value(books, job->spec, job->entries, PM_DONE, full, says_when ? job->ended : 0, out);
}

static void activate(struct pm_jobs *jobs, struct pm_job *job)
{
    if (!job->listed) {
        job->listed = true;
        job->away = jobs->away;
        job->width = UINT32_MAX;
        g_ptr_array_add(jobs->active, job);
    }
}

static void deactivate(struct pm_jobs *jobs, struct pm_job *job)
{
    if (job->listed) {
        job->listed = false;
        g_ptr_array_remove_fast(jobs->active, job);
    }
}

static void job_size(struct pm_job *job)
{
    if (!job->chunk) {
        job->nchunks = (int)((job->entries + PM_CHUNK - 1) / PM_CHUNK);
        job->chunk = g_new0(struct pm_chunk *, job->nchunks);
    }
}

/* The stamp of a cancellation that was told before the job itself. */
static uint64_t take_unknown(struct pm_jobs *jobs, const char *id)
{
    const uint64_t *found = g_hash_table_lookup(jobs->unknown, id);
    uint64_t stamp = found ? *found : 0;

    g_hash_table_remove(jobs->unknown, id);
    return stamp;
}

static struct pm_dependency_outcome find_outcome(void *arg, const char *id)
{
    struct pm_jobs *jobs = arg;

    return (struct pm_dependency_outcome){pm_jobs_find(jobs, id), pm_jobs_cancelled(jobs, id)};
}

/* The job as the replica tells it, in the dependency graph. */
static void update_graph(struct pm_jobs *jobs, struct pm_job *job)
{
    uint64_t stamp;

    if (job->state == PM_DONE) {
        pm_dependencies_done(jobs->dependencies, job->id, job->ended);
        return;
    }
    if (job->state == PM_LIVE && job->spec && !job->incomplete) {
        const struct pm_spec *spec = job->spec;
        job->priority = MAX(job->priority, spec->priority);
        if (spec->due_s >= 0)
            job->due = MIN(job->due, spec->submitted + spec->due_s);
        stamp = pm_dependencies_add(jobs->dependencies, job, find_outcome, jobs);
        if (stamp)
            infer_cancelled(&stamp, job);
    }
    if (job->state == PM_CANCELLED) {
        stamp = job->cancelled;
        pm_dependencies_cancelled(jobs->dependencies, job->id, infer_cancelled, &stamp);
    }
}

static bool split_chunk_key(const char *rest, char *id, int *k, int *half);

/* ---- what a job needs, where its own value does not name it ---- */

static uint32_t ids_in_list(const struct pm_books *books)
{
    return (uint32_t)MAX(1, (books->settings->value_kb * 1024 - 64) / (PM_ID_MAX + 3));
}

uint32_t pm_spec_overflow_lists(const struct pm_books *books, const struct pm_spec *spec,
                                size_t size)
{
    uint32_t per = ids_in_list(books);

    for (uint32_t i = 0; i < spec->ndependencies; i++)
        size += strlen(pm_names_text(books->dependency_ids, spec->dependencies[i])) + 3;
    return (double)size + 32 <= books->settings->value_kb * 1024
               ? 0
               : (spec->ndependencies + per - 1) / per;
}

void pm_jobs_write_overflow_list(const struct pm_books *books, const struct pm_spec *spec,
                                 uint32_t k, struct pm_buf *out)
{
    uint32_t per = ids_in_list(books);

    pm_put_map(out);
    pm_put_text(out, "awaits");
    pm_put_list(out);
    for (uint32_t i = k * per; i < MIN((k + 1) * per, spec->ndependencies); i++)
        pm_put_text(out, pm_names_text(books->dependency_ids, spec->dependencies[i]));
    pm_put_end(out);
    pm_put_end(out);
}

/* Once the job and all of its lists are known, in whatever order, it joins the graph; until then
 * it may not start. */
static void complete(struct pm_jobs *jobs, struct pm_job *job)
{
    GPtrArray *lists = g_hash_table_lookup(jobs->lists, job->id);
    GPtrArray *ids;

    if (!job->incomplete || !job->spec || !job->spec->overflow_lists || !lists ||
        lists->len < job->spec->overflow_lists)
        return;
    for (uint32_t k = 0; k < job->spec->overflow_lists; k++)
        if (!g_ptr_array_index(lists, k))
            return;
    ids = g_ptr_array_new();
    for (uint32_t k = 0; k < job->spec->overflow_lists; k++) {
        const GPtrArray *list = g_ptr_array_index(lists, k);
        for (guint i = 0; i < list->len; i++)
            g_ptr_array_add(ids, g_ptr_array_index(list, i));
    }
    pm_spec_set_dependencies(jobs->books, job->spec, ids);
    g_ptr_array_free(ids, TRUE);
    g_hash_table_remove(jobs->lists, job->id);
    job->incomplete = false;
    job->unmet--;
    update_graph(jobs, job);
}

static void list_free(gpointer list)
{
    if (list)
        g_ptr_array_free(list, TRUE);
}

static struct pm_job *put_list(struct pm_jobs *jobs, const char *rest, const cbor_item_t *value)
{
    char id[PM_ID_MAX];
    GPtrArray *lists;
    GPtrArray *ids;
    struct pm_job *job;
    int k;
    int half;

    if (!split_chunk_key(rest, id, &k, &half) || half >= 0 || !pm_jobs_id_valid(id))
        return NULL;
    job = pm_jobs_find(jobs, id);
    if (job && !job->incomplete)
        return NULL; /* known, or over */
    if (pm_jobs_read_dependencies(value, &ids) || !ids) {
        pm_error("jobs.value", "unreadable list %s", rest);
        return NULL;
    }
    lists = g_hash_table_lookup(jobs->lists, id);
    if (!lists) {
        lists = g_ptr_array_new_with_free_func(list_free);
        g_hash_table_insert(jobs->lists, g_strdup(id), lists);
    }
    if ((int)lists->len <= k)
        g_ptr_array_set_size(lists, k + 1);
    list_free(g_ptr_array_index(lists, k));
    g_ptr_array_index(lists, k) = ids;
    if (job)
        complete(jobs, job);
    return job;
}

/* A job's state and number of tasks, which every value of it has. False: unreadable. */
static bool read_summary(const cbor_item_t *value, enum pm_job_state *state, uint32_t *entries)
{
    char now[16];
    uint64_t count;
    int index;

    if (pm_cbor_text(pm_cbor_get(value, "now"), now, sizeof now))
        return false;
    index = name_index(state_names, 3, now);
    if (index < 0 || pm_cbor_count(pm_cbor_get(value, "entries"), &count))
        return false;
    if (count < 1 || count > PM_ENTRIES_MAX)
        return false;
    *state = (enum pm_job_state)index;
    *entries = (uint32_t)count;
    return true;
}

static struct pm_job *job_new(struct pm_jobs *jobs, const char *id, uint32_t entries)
{
    struct pm_job *job = g_new0(struct pm_job, 1);

    g_strlcpy(job->id, id, sizeof job->id);
    job->entries = entries;
    g_hash_table_insert(jobs->by_id, job->id, job);
    job->cancelled = take_unknown(jobs, id);
    job->due = INFINITY;
    return job;
}

static void set_state(struct pm_jobs *jobs, struct pm_job *job, enum pm_job_state state)
{
    if (state == PM_CANCELLED)
        job->inferred = false; /* its own value says so */
    /* What is known cancelled stays so: this value is an older one then. */
    job->state = job->cancelled ? PM_CANCELLED : state;
    if (job->state == PM_CANCELLED && !job->cancelled) {
        job->cancelled = job->stamp;
        note_cancelled(jobs, job->id, job->stamp);
    }
}

/* What the job needs, from its value. Where that can't be told, or not yet, it may not start. */
static void read_needs(struct pm_jobs *jobs, struct pm_job *job, struct pm_spec *spec,
                       const cbor_item_t *value)
{
    GPtrArray *dependencies = NULL;
    uint64_t lists = 0;
    bool readable = !pm_jobs_read_dependencies(value, &dependencies);

    if (pm_cbor_has(value, "lists"))
        readable &= !pm_cbor_count(pm_cbor_get(value, "lists"), &lists);
    if (!readable)
        pm_error("jobs.value", "unreadable dependencies of job %s", job->id);
    if (!readable || lists) {
        spec->overflow_lists = (uint32_t)MIN(lists, PM_ENTRIES_MAX);
        job->incomplete = true;
        job->unmet++;
    }
    if (dependencies) {
        pm_spec_set_dependencies(jobs->books, spec, dependencies);
        g_ptr_array_free(dependencies, TRUE);
    }
}

/* Reads the description from the job's value. False: unreadable. */
static bool read_spec(struct pm_jobs *jobs, struct pm_job *job, const cbor_item_t *value)
{
    const struct pm_settings *settings = jobs->books->settings;
    bool known = job->spec != NULL;
    struct pm_spec *spec = known ? job->spec : g_new0(struct pm_spec, 1);
    struct raw_names names;
    const char *why;

    if (read_fields(jobs->books, value, spec, &names, &why) ||
        (spec->team = find_team(settings, names.team)) < 0) {
        pm_error("jobs.value", "unreadable description of job %s", job->id);
        if (!known)
            pm_spec_free(spec);
        return false;
    }
    spec->zone = names.zone[0] ? pm_settings_zone(settings, names.zone) : -1;
    spec->class_index = pm_names_add(jobs->books->classes, names.class_name);
    spec->image = pm_names_add(jobs->books->images, names.image);
    pm_cbor_number(pm_cbor_get(value, "at"), &spec->submitted);
    if (!known) {
        job->spec = spec;
        read_needs(jobs, job, spec, value);
    }
    return true;
}

/* Over, and nothing of it is left anywhere: the final state alone is kept. */
static void keep_final_state_only(struct pm_jobs *jobs, struct pm_job *job)
{
    pm_spec_free(job->spec);
    job->spec = NULL;
    chunks_free(job);
    deactivate(jobs, job);
}

static struct pm_job *put_job(struct pm_jobs *jobs, const char *id, const cbor_item_t *value,
                              uint64_t stamp)
{
    struct pm_job *job = pm_jobs_find(jobs, id);
    enum pm_job_state state = PM_LIVE;
    uint32_t entries = 1;
    bool readable;

    if ((job && job->stamp >= stamp) || !pm_jobs_id_valid(id))
        return NULL;
    readable = read_summary(value, &state, &entries);
    if (!readable) {
        pm_error("jobs.value", "unreadable value of job %s", id);
        if (job)
            return NULL;
        /* It was accepted once, so it stays known, whatever became of its value. */
    }
    if (!job)
        job = job_new(jobs, id, entries);
    job->stamp = stamp;
    set_state(jobs, job, state);
    if (state == PM_DONE)
        pm_cbor_number(pm_cbor_get(value, "ended"), &job->ended);
    if (!readable)
        return job; /* not to be run: it may have been cancelled */
    if (!job->chunk)
        job->entries = entries;
    if (pm_cbor_has(value, "form")) {
        if (!read_spec(jobs, job, value))
            return job;
        job_size(job);
        activate(jobs, job);
    } else if (!job->nplaced) {
        keep_final_state_only(jobs, job);
    }
    update_graph(jobs, job);
    complete(jobs, job);
    return job;
}

/* ---- values of p/t ---- */

static void read_ranges(const char *text, uint64_t done[PM_CHUNK / 64])
{
    memset(done, 0, PM_CHUNK / 8);
    while (*text) {
        char *end;
        unsigned long from = strtoul(text, &end, 10);
        unsigned long to = from;
        if (end == text)
            return;
        if (*end == '-')
            to = strtoul(end + 1, &end, 10);
        for (; from <= to && from < PM_CHUNK; from++)
            done[from / 64] |= (uint64_t)1 << (from % 64);
        text = *end == ',' ? end + 1 : end;
    }
}

static void write_ranges(const struct pm_task *task, int first, int end, char *out, size_t size)
{
    size_t used = 0;

    out[0] = 0;
    for (int i = first; i < end; i++) {
        int from = i;
        if (!task[i].done)
            continue;
        while (i + 1 < end && task[i + 1].done)
            i++;
        used += (size_t)snprintf(out + used, size - used, i > from ? "%s%d-%d" : "%s%d",
                                 used ? "," : "", from, i);
    }
}

/* ID/K, or ID/K/H: `half` is -1 for the whole chunk. */
static bool split_chunk_key(const char *rest, char *id, int *k, int *half)
{
    const char *slash = strchr(rest, '/');
    char *end;
    unsigned long number;

    if (!slash || (size_t)(slash - rest) >= PM_ID_MAX)
        return false;
    memcpy(id, rest, (size_t)(slash - rest));
    id[slash - rest] = 0;
    number = strtoul(slash + 1, &end, 10);
    if (end == slash + 1 || number > PM_ENTRIES_MAX / PM_CHUNK)
        return false;
    *k = (int)number;
    *half = -1;
    if (*end == '/' && (end[1] == '0' || end[1] == '1') && !end[2])
        *half = end[1] - '0';
    else if (*end)
        return false;
    return true;
}

static struct pm_chunk *chunk_at(struct pm_job *job, int k)
{
    if (k < 0 || k >= job->nchunks)
        return NULL;
    if (!job->chunk[k])
        job->chunk[k] = g_new0(struct pm_chunk, 1);
    return job->chunk[k];
}

struct pm_value *pm_chunk_value(struct pm_chunk *chunk, int half)
{
    return half < 0 ? &chunk->whole : &chunk->half[half];
}

/* What the chunk's values say together. */
static void merge(struct pm_chunk *chunk)
{
    if (!chunk->spots)
        chunk->spots = g_array_new(FALSE, FALSE, sizeof(struct pm_spot));
    g_array_set_size(chunk->spots, 0);
    chunk->stored = false;
    chunk->last_try = 0;
    for (int h = 0; h < 2; h++) {
        const struct pm_value *value = chunk->half[h].stamp ? &chunk->half[h] : &chunk->whole;
        chunk->done[h] = value->stamp ? value->done[h] : 0;
        if (!value->stamp)
            continue;
        chunk->stored = true;
        chunk->last_try = MAX(chunk->last_try, value->last_try);
        for (guint i = 0; i < value->spots->len; i++) {
            const struct pm_spot *spot = &g_array_index(value->spots, struct pm_spot, i);
            if (spot->task / PM_HALF == h)
                g_array_append_vals(chunk->spots, spot, 1);
        }
    }
    if (chunk->whole.stamp)
        chunk->last_try = MAX(chunk->last_try, chunk->whole.last_try);
}

static struct pm_job *put_chunk(struct pm_jobs *jobs, const char *rest, const cbor_item_t *value,
                                uint64_t stamp)
{
    char id[PM_ID_MAX];
    char text[1024];
    struct pm_job *job;
    struct pm_chunk *chunk;
    struct pm_value *v;
    uint64_t last_try = 0;
    cbor_item_t *spots;
    int k;
    int half;

    if (!split_chunk_key(rest, id, &k, &half) || !(job = pm_jobs_find(jobs, id)))
        return NULL;
    chunk = chunk_at(job, k);
    v = chunk ? pm_chunk_value(chunk, half) : NULL;
    if (!v || v->stamp >= stamp)
        return NULL;
    if (pm_cbor_text(pm_cbor_get(value, "done"), text, sizeof text) ||
        pm_cbor_count(pm_cbor_get(value, "try"), &last_try)) {
        pm_error("jobs.value", "unreadable chunk %s", rest);
        return NULL;
    }
    v->stamp = stamp;
    read_ranges(text, v->done);
    v->last_try = (uint32_t)last_try;
    if (v->spots)
        g_array_set_size(v->spots, 0);
    else
        v->spots = g_array_new(FALSE, FALSE, sizeof(struct pm_spot));
    spots = pm_cbor_get(value, "at");
    for (size_t i = 0; i < pm_cbor_length(spots); i++) {
        const cbor_item_t *item = pm_cbor_at(spots, i);
        uint64_t task;
        uint64_t attempt;
        uint64_t session;
        if (pm_cbor_length(item) != 4 || pm_cbor_count(pm_cbor_at(item, 0), &task) ||
            pm_cbor_count(pm_cbor_at(item, 1), &attempt) ||
            pm_cbor_text(pm_cbor_at(item, 2), text, sizeof text) ||
            pm_cbor_count(pm_cbor_at(item, 3), &session) || task >= PM_CHUNK)
            continue;
        g_array_append_vals(v->spots,
                            &(struct pm_spot){.task = (uint16_t)task,
                                              .attempt = (uint32_t)attempt,
                                              .session = (uint32_t)session,
                                              .machine = pm_names_add(jobs->books->machines, text)},
                            1);
    }
    merge(chunk);
    return job;
}

void pm_jobs_write_chunk(const struct pm_books *books, const struct pm_job *job, int k, int half,
                         struct pm_buf *out)
{
    const struct pm_chunk *chunk = job->chunk[k];
    int from = half < 0 ? 0 : half * PM_HALF;
    int to = half < 0 ? PM_CHUNK : from + PM_HALF;
    char text[1024];

    write_ranges(chunk->task, from, to, text, sizeof text);
    pm_put_map(out);
    pm_put_pair_text(out, "done", text);
    pm_put_pair_count(out, "try", job->last_try);
    pm_put_text(out, "at");
    pm_put_list(out);
    for (int i = from; i < to; i++) {
        const struct pm_place *place = chunk->task[i].place;
        if (!place || place->state == PM_ENDED)
            continue;
        pm_put_list(out);
        pm_put_count(out, (uint64_t)i);
        pm_put_count(out, place->attempt);
        pm_put_text(out, pm_names_text(books->machines, place->machine_index));
        pm_put_count(out, place->session);
        pm_put_end(out);
    }
    pm_put_end(out);
    pm_put_end(out);
}

/* ---- feed ---- */

struct pm_job *pm_jobs_put(struct pm_jobs *jobs, const char *key, const cbor_item_t *value,
                           uint64_t stamp)
{
    if (!strncmp(key, "p/j/", 4))
        return put_job(jobs, key + 4, value, stamp);
    if (!strncmp(key, "p/n/", 4))
        return put_list(jobs, key + 4, value);
    if (!strncmp(key, "p/t/", 4))
        return put_chunk(jobs, key + 4, value, stamp);
    return NULL;
}

struct pm_job *pm_jobs_drop(struct pm_jobs *jobs, const char *key, uint64_t stamp)
{
    char id[PM_ID_MAX];
    struct pm_job *job;
    struct pm_value *value;
    int k;
    int half;

    if (strncmp(key, "p/t/", 4) || !split_chunk_key(key + 4, id, &k, &half) ||
        !(job = pm_jobs_find(jobs, id)) || k >= job->nchunks || !job->chunk[k])
        return NULL;
    value = pm_chunk_value(job->chunk[k], half);
    if (value->stamp > stamp)
        return NULL;
    value->stamp = 0;
    merge(job->chunk[k]);
    return job;
}

void pm_jobs_sweep_begin(struct pm_jobs *jobs)
{
    GHashTableIter iter;
    gpointer value;

    /* p/j keys are never dropped, so only chunks can have vanished unseen: they are told anew, and
     * after their jobs, since a listing goes by key. */
    g_hash_table_iter_init(&iter, jobs->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pm_job *job = value;
        for (int k = 0; k < job->nchunks; k++) {
            if (!job->chunk[k])
                continue;
            for (int half = -1; half < 2; half++)
                pm_chunk_value(job->chunk[k], half)->stamp = 0;
            merge(job->chunk[k]);
        }
    }
}

uint32_t pm_spec_fit(const struct pm_spec *spec, double cpus, double gpus, double ram_gb)
{
    double n = 1e6;

    if (spec->cpus > 0)
        n = MIN(n, floor((cpus + EPS) / spec->cpus));
    if (spec->gpus > 0)
        n = MIN(n, floor((gpus + EPS) / spec->gpus));
    if (spec->ram_gb > 0)
        n = MIN(n, floor((ram_gb + EPS) / spec->ram_gb));
    return n < 0 ? 0 : (uint32_t)n;
}

void pm_jobs_count(const struct pm_job *job, uint32_t *done, uint32_t *running)
{
    *done = *running = 0;
    if (job->state == PM_DONE) {
        *done = job->entries;
        return;
    }
    for (int k = 0; k < job->nchunks; k++) {
        if (!job->chunk[k])
            continue;
        for (int i = 0; i < PM_CHUNK / 64; i++)
            *done += (uint32_t)__builtin_popcountll(job->chunk[k]->done[i]);
        if (job->chunk[k]->spots)
            *running += job->chunk[k]->spots->len;
    }
}

uint64_t pm_jobs_dependency_steps(const struct pm_jobs *jobs)
{
    return pm_dependencies_steps(jobs->dependencies);
}

/* ---- working state ---- */

struct pm_task *pm_job_task(struct pm_job *job, uint32_t index)
{
    struct pm_chunk *chunk = chunk_at(job, (int)(index / PM_CHUNK));

    if (!chunk->task)
        chunk->task = g_new0(struct pm_task, PM_CHUNK);
    return &chunk->task[index % PM_CHUNK];
}

const struct pm_task *pm_job_peek(const struct pm_job *job, uint32_t index)
{
    const struct pm_chunk *chunk = job->chunk[index / PM_CHUNK];

    return chunk && chunk->task ? &chunk->task[index % PM_CHUNK] : NULL;
}

void pm_job_touch(struct pm_job *job, uint32_t index)
{
    pm_job_task(job, index);
    job->chunk[index / PM_CHUNK]->dirty |= 1u << (index % PM_CHUNK / PM_HALF);
}

uint64_t pm_value_stamp(const struct pm_value *value)
{
    return MAX(value->stamp, value->written);
}

void pm_job_count_place(struct pm_job *job, uint32_t index, int by)
{
    struct pm_chunk *chunk = chunk_at(job, (int)(index / PM_CHUNK));
    uint16_t *placed = &chunk->placed[index % PM_CHUNK / PM_HALF];

    *placed = (uint16_t)(*placed + by);
    job->nplaced += (uint32_t)by;
}

bool pm_job_in_halves(const struct pm_books *books, const struct pm_job *job, int k)
{
    const struct pm_chunk *chunk = job->chunk[k];
    uint32_t tasks = MIN(PM_CHUNK, job->entries - (uint32_t)k * PM_CHUNK);

    if (chunk && (pm_value_stamp(&chunk->half[0]) || pm_value_stamp(&chunk->half[1])))
        return true;
    if (books->protocol_version < PM_PROTOCOL_DEPENDENCIES)
        return false; /* an earlier version would take a half for the whole */
    return (chunk && chunk->split) ||
           tasks * PLACE_SIZE + VALUE_SIZE > books->settings->value_kb * 1024;
}

bool pm_job_has_room(const struct pm_books *books, const struct pm_job *job, uint32_t index)
{
    const struct pm_chunk *chunk = job->chunk[index / PM_CHUNK];
    const struct pm_settings *s = books->settings;
    bool early = books->protocol_version < PM_PROTOCOL_DEPENDENCIES;
    double kb = early ? MAX(s->value_kb, s->value_kb_now) : s->value_kb;
    unsigned placed;

    if (!chunk)
        return true;
    placed = pm_job_in_halves(books, job, (int)(index / PM_CHUNK))
                 ? chunk->placed[index % PM_CHUNK / PM_HALF]
                 : (unsigned)chunk->placed[0] + chunk->placed[1];
    return (placed + 1) * PLACE_SIZE + VALUE_SIZE <= kb * 1024;
}

uint32_t pm_job_waiting(const struct pm_job *job)
{
    if (job->state != PM_LIVE || !job->spec || job->unmet)
        return 0;
    return job->entries - job->ndone - job->nplaced;
}

void pm_job_reset_work(struct pm_job *job)
{
    job->ndone = job->nplaced = job->last_try = job->hint = 0;
    job->final_in_flight = job->tried = job->sized = false;
    job->retry_at = 0;
    for (int k = 0; k < job->nchunks; k++) {
        struct pm_chunk *chunk = job->chunk[k];
        if (!chunk)
            continue;
        g_free(chunk->task);
        chunk->task = NULL;
        chunk->dirty = 0;
        memset(chunk->placed, 0, sizeof chunk->placed);
        chunk->in_flight = false;
        chunk->retry_at = 0;
        for (int half = -1; half < 2; half++)
            pm_chunk_value(chunk, half)->written = 0;
        if (!chunk->stored)
            continue;
        chunk->task = g_new0(struct pm_task, PM_CHUNK);
        job->tried = true;
        job->last_try = MAX(job->last_try, chunk->last_try);
        for (int t = 0; t < PM_CHUNK; t++) {
            if (chunk->done[t / 64] >> (t % 64) & 1) {
                chunk->task[t].done = true;
                job->ndone++;
            }
        }
    }
}

void pm_jobs_reset_work(struct pm_jobs *jobs)
{
    for (guint i = 0; i < jobs->active->len; i++)
        pm_job_reset_work(g_ptr_array_index(jobs->active, i));
}

void pm_jobs_set_away(struct pm_jobs *jobs, bool away)
{
    jobs->away = away;
    for (guint i = 0; i < jobs->active->len; i++) {
        struct pm_job *job = g_ptr_array_index(jobs->active, i);
        job->away = away;
        job->width = UINT32_MAX;
    }
}
