/* The replica: jobs as the state service tells them, and their places in the dependency graph. */
#include "jobs/internal.h"
#include "base/log.h"

#include <math.h>
#include <string.h>

static void chunks_free(struct pm_job *job)
{
    for (int k = 0; job->chunks && k < job->chunk_count; k++)
        pm_chunk_free(job->chunks[k]);
    g_free(job->chunks);
    job->chunks = NULL;
    job->chunk_count = 0;
}

static void job_free(gpointer data)
{
    struct pm_job *job = data;

    chunks_free(job);
    pm_spec_free(job->spec);
    g_free(job);
}

struct pm_jobs *pm_jobs_new(struct pm_name_tables *tables)
{
    struct pm_jobs *jobs = g_new0(struct pm_jobs, 1);

    jobs->tables = tables;
    jobs->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
    jobs->active = g_ptr_array_new();
    jobs->dependencies = pm_dependencies_new(tables);
    jobs->cancellations = g_array_new(FALSE, FALSE, sizeof(struct pm_cancellation));
    jobs->overflow_lists =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    jobs->unknown_cancelled = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return jobs;
}

void pm_jobs_free(struct pm_jobs *jobs)
{
    g_hash_table_destroy(jobs->by_id);
    g_ptr_array_free(jobs->active, TRUE);
    pm_dependencies_free(jobs->dependencies);
    g_array_free(jobs->cancellations, TRUE);
    g_hash_table_destroy(jobs->unknown_cancelled);
    g_hash_table_destroy(jobs->overflow_lists);
    g_free(jobs);
}

struct pm_job *pm_jobs_find(const struct pm_jobs *jobs, const char *id)
{
    return g_hash_table_lookup(jobs->by_id, id);
}

GPtrArray *pm_jobs_active(struct pm_jobs *jobs)
{
    return jobs->active;
}

static void activate(struct pm_jobs *jobs, struct pm_job *job)
{
    if (!job->is_active) {
        job->is_active = true;
        job->delegated = jobs->delegated;
        job->parallelism = UINT32_MAX;
        g_ptr_array_add(jobs->active, job);
    }
}

static void deactivate(struct pm_jobs *jobs, struct pm_job *job)
{
    if (job->is_active) {
        job->is_active = false;
        g_ptr_array_remove_fast(jobs->active, job);
    }
}

static void job_size(struct pm_job *job)
{
    if (!job->chunks) {
        job->chunk_count = (int)((job->task_count + PM_CHUNK_TASKS - 1) / PM_CHUNK_TASKS);
        job->chunks = g_new0(struct pm_chunk *, job->chunk_count);
    }
}

/* The revision of a cancellation that was told before the job itself. */
static uint64_t take_unknown(struct pm_jobs *jobs, const char *id)
{
    const uint64_t *found = g_hash_table_lookup(jobs->unknown_cancelled, id);
    uint64_t revision = found ? *found : 0;

    g_hash_table_remove(jobs->unknown_cancelled, id);
    return revision;
}

static struct pm_dependency_outcome find_outcome(void *arg, const char *id)
{
    struct pm_jobs *jobs = arg;

    return (struct pm_dependency_outcome){pm_jobs_find(jobs, id),
                                          pm_jobs_cancellation_revision(jobs, id)};
}

/* The job as the replica tells it, in the dependency graph. */
static void update_graph(struct pm_jobs *jobs, struct pm_job *job)
{
    uint64_t revision;

    if (job->state == PM_JOB_DONE) {
        pm_dependencies_mark_done(jobs->dependencies, job->id, job->ended_wall);
        return;
    }
    if (job->state == PM_JOB_LIVE && job->spec && !job->dependencies.incomplete) {
        const struct pm_spec *spec = job->spec;
        job->priority = MAX(job->priority, spec->priority);
        if (spec->deadline_s >= 0)
            job->deadline_wall = MIN(job->deadline_wall, spec->submitted_wall + spec->deadline_s);
        revision = pm_dependencies_add(jobs->dependencies, job, find_outcome, jobs);
        if (revision)
            pm_jobs_cancel_dependent(&revision, job);
    }
    if (job->state == PM_JOB_CANCELLED) {
        revision = job->cancellation_revision;
        pm_dependencies_mark_cancelled(jobs->dependencies, job->id, pm_jobs_cancel_dependent,
                                       &revision);
    }
}

/* Once the job and all of its lists are known, in whatever order, it joins the graph; until then
 * it may not start. */
static void complete(struct pm_jobs *jobs, struct pm_job *job)
{
    GPtrArray *lists = g_hash_table_lookup(jobs->overflow_lists, job->id);
    GPtrArray *ids;

    if (!job->dependencies.incomplete || !job->spec || !job->spec->overflow_lists || !lists ||
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
    pm_spec_set_dependencies(jobs->tables, job->spec, ids);
    g_ptr_array_free(ids, TRUE);
    g_hash_table_remove(jobs->overflow_lists, job->id);
    job->dependencies.incomplete = false;
    job->dependencies.unmet--;
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

    if (!pm_chunk_key_parse(rest, id, &k, &half) || half >= 0 || !pm_job_id_is_valid(id))
        return NULL;
    job = pm_jobs_find(jobs, id);
    if (job && !job->dependencies.incomplete)
        return NULL; /* known, or over */
    if (pm_submission_decode_dependencies(value, &ids) || !ids) {
        pm_error("jobs.unreadable_value", "unreadable list %s", rest);
        return NULL;
    }
    lists = g_hash_table_lookup(jobs->overflow_lists, id);
    if (!lists) {
        lists = g_ptr_array_new_with_free_func(list_free);
        g_hash_table_insert(jobs->overflow_lists, g_strdup(id), lists);
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

    if (!pm_cbor_read_text(pm_cbor_get(value, "now"), now, sizeof now))
        return false;
    index = pm_name_index(pm_job_state_names, 3, now);
    if (index < 0 || !pm_cbor_read_count(pm_cbor_get(value, "entries"), &count))
        return false;
    if (count < 1 || count > PM_JOB_TASKS_MAX)
        return false;
    *state = (enum pm_job_state)index;
    *entries = (uint32_t)count;
    return true;
}

static struct pm_job *job_new(struct pm_jobs *jobs, const char *id, uint32_t entries)
{
    struct pm_job *job = g_new0(struct pm_job, 1);

    g_strlcpy(job->id, id, sizeof job->id);
    job->task_count = entries;
    g_hash_table_insert(jobs->by_id, job->id, job);
    job->cancellation_revision = take_unknown(jobs, id);
    job->deadline_wall = INFINITY;
    return job;
}

static void set_state(struct pm_jobs *jobs, struct pm_job *job, enum pm_job_state state)
{
    if (state == PM_JOB_CANCELLED)
        job->dependencies.cancelled_by_one = false; /* its own value says so */
    /* What is known cancelled stays so: this value is an older one then. */
    job->state = job->cancellation_revision ? PM_JOB_CANCELLED : state;
    if (job->state == PM_JOB_CANCELLED && !job->cancellation_revision) {
        job->cancellation_revision = job->revision;
        pm_jobs_note_cancellation(jobs, job->id, job->revision);
    }
}

/* What the job needs, from its value. Where that can't be told, or not yet, it may not start. */
static void read_needs(struct pm_jobs *jobs, struct pm_job *job, struct pm_spec *spec,
                       const cbor_item_t *value)
{
    GPtrArray *dependencies = NULL;
    uint64_t lists = 0;
    bool readable = !pm_submission_decode_dependencies(value, &dependencies);

    if (pm_cbor_has(value, "lists"))
        readable &= pm_cbor_read_count(pm_cbor_get(value, "lists"), &lists);
    if (!readable)
        pm_error("jobs.unreadable_value", "unreadable dependencies of job %s", job->id);
    if (!readable || lists) {
        spec->overflow_lists = (uint32_t)MIN(lists, PM_JOB_TASKS_MAX);
        job->dependencies.incomplete = true;
        job->dependencies.unmet++;
    }
    if (dependencies) {
        pm_spec_set_dependencies(jobs->tables, spec, dependencies);
        g_ptr_array_free(dependencies, TRUE);
    }
}

/* Reads the description from the job's value. False: unreadable. */
static bool read_spec(struct pm_jobs *jobs, struct pm_job *job, const cbor_item_t *value)
{
    const struct pm_settings *settings = jobs->tables->settings;
    bool known = job->spec != NULL;
    struct pm_spec *spec = known ? job->spec : g_new0(struct pm_spec, 1);
    struct pm_submitted_names names;
    const char *why;

    if (pm_spec_decode(jobs->tables, value, spec, &names, &why) ||
        (spec->team = pm_spec_find_team(settings, names.team)) < 0) {
        pm_error("jobs.unreadable_value", "unreadable description of job %s", job->id);
        if (!known)
            pm_spec_free(spec);
        return false;
    }
    spec->zone = names.zone[0] ? pm_settings_find_zone(settings, names.zone) : -1;
    spec->class_index = pm_names_intern(jobs->tables->class_names, names.class_name);
    spec->image = pm_names_intern(jobs->tables->image_names, names.image);
    pm_cbor_read_number(pm_cbor_get(value, "at"), &spec->submitted_wall);
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
                              uint64_t revision)
{
    struct pm_job *job = pm_jobs_find(jobs, id);
    enum pm_job_state state = PM_JOB_LIVE;
    uint32_t entries = 1;
    bool readable;

    if ((job && job->revision >= revision) || !pm_job_id_is_valid(id))
        return NULL;
    readable = read_summary(value, &state, &entries);
    if (!readable) {
        pm_error("jobs.unreadable_value", "unreadable value of job %s", id);
        if (job)
            return NULL;
        /* It was accepted once, so it stays known, whatever became of its value. */
    }
    if (!job)
        job = job_new(jobs, id, entries);
    job->revision = revision;
    set_state(jobs, job, state);
    if (state == PM_JOB_DONE)
        pm_cbor_read_number(pm_cbor_get(value, "ended"), &job->ended_wall);
    if (!readable)
        return job; /* not to be run: it may have been cancelled */
    if (!job->chunks)
        job->task_count = entries;
    if (pm_cbor_has(value, "form")) {
        if (!read_spec(jobs, job, value))
            return job;
        job_size(job);
        activate(jobs, job);
    } else if (!job->work.placed_count) {
        keep_final_state_only(jobs, job);
    }
    update_graph(jobs, job);
    complete(jobs, job);
    return job;
}

static struct pm_job *put_chunk(struct pm_jobs *jobs, const char *rest, const cbor_item_t *value,
                                uint64_t revision)
{
    char id[PM_ID_MAX];
    struct pm_job *job;
    struct pm_chunk *chunk;
    struct pm_stored_chunk *stored;
    int k;
    int half;

    if (!pm_chunk_key_parse(rest, id, &k, &half))
        return NULL;
    job = pm_jobs_find(jobs, id);
    chunk = job ? pm_job_chunk(job, k) : NULL;
    stored = chunk ? pm_chunk_stored(chunk, half) : NULL;
    if (!stored || stored->revision >= revision)
        return NULL;
    if (!pm_chunk_decode(jobs->tables, value, stored)) {
        pm_error("jobs.unreadable_value", "unreadable chunk %s", rest);
        return NULL;
    }
    stored->revision = revision;
    pm_chunk_merge(chunk);
    return job;
}

/* ---- feed ---- */

struct pm_job *pm_jobs_apply_put(struct pm_jobs *jobs, const char *key, const cbor_item_t *value,
                                 uint64_t revision)
{
    if (!strncmp(key, "p/j/", 4))
        return put_job(jobs, key + 4, value, revision);
    if (!strncmp(key, "p/n/", 4))
        return put_list(jobs, key + 4, value);
    if (!strncmp(key, "p/t/", 4))
        return put_chunk(jobs, key + 4, value, revision);
    return NULL;
}

struct pm_job *pm_jobs_apply_delete(struct pm_jobs *jobs, const char *key, uint64_t revision)
{
    char id[PM_ID_MAX];
    struct pm_job *job;
    struct pm_stored_chunk *value;
    int k;
    int half;

    if (strncmp(key, "p/t/", 4) || !pm_chunk_key_parse(key + 4, id, &k, &half) ||
        !(job = pm_jobs_find(jobs, id)) || k >= job->chunk_count || !job->chunks[k])
        return NULL;
    value = pm_chunk_stored(job->chunks[k], half);
    if (value->revision > revision)
        return NULL;
    value->revision = 0;
    pm_chunk_merge(job->chunks[k]);
    return job;
}

void pm_jobs_snapshot_begin(struct pm_jobs *jobs)
{
    GHashTableIter iter;
    gpointer value;

    /* p/j keys are never dropped, so only chunks can have vanished unseen: they are told anew, and
     * after their jobs, since a listing goes by key. */
    g_hash_table_iter_init(&iter, jobs->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pm_job *job = value;
        for (int k = 0; k < job->chunk_count; k++) {
            if (!job->chunks[k])
                continue;
            for (int half = -1; half < 2; half++)
                pm_chunk_stored(job->chunks[k], half)->revision = 0;
            pm_chunk_merge(job->chunks[k]);
        }
    }
}

void pm_job_count_tasks(const struct pm_job *job, uint32_t *done, uint32_t *running)
{
    *done = *running = 0;
    if (job->state == PM_JOB_DONE) {
        *done = job->task_count;
        return;
    }
    for (int k = 0; k < job->chunk_count; k++) {
        if (!job->chunks[k])
            continue;
        for (int i = 0; i < PM_CHUNK_TASKS / 64; i++)
            *done += (uint32_t)__builtin_popcountll(job->chunks[k]->done[i]);
        if (job->chunks[k]->stored_placements)
            *running += job->chunks[k]->stored_placements->len;
    }
}

uint64_t pm_jobs_dependency_steps(const struct pm_jobs *jobs)
{
    return pm_dependencies_steps(jobs->dependencies);
}
