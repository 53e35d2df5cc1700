/* The dependencies of the replica's jobs: reads them from p/j and p/n values, and updates the
 * dependency graph. */
#include "jobs/internal.h"
#include "base/log.h"

static struct pm_dependency_outcome find_outcome(void *arg, const char *id)
{
    struct pm_jobs *jobs = arg;

    return (struct pm_dependency_outcome){.job = pm_jobs_find(jobs, id),
                                          .cancellation_revision =
                                              pm_jobs_cancellation_revision(jobs, id)};
}

/* Adds a live job whose dependencies are all known to the graph, and cancels it if one of them is
 * cancelled. */
static void add_to_graph(struct pm_jobs *jobs, struct pm_job *job)
{
    const struct pm_spec *spec = job->spec;
    uint64_t revision;

    job->priority = MAX(job->priority, spec->priority);
    if (spec->deadline_s >= 0)
        job->deadline_wall = MIN(job->deadline_wall, spec->submitted_wall + spec->deadline_s);
    revision = pm_dependencies_add(jobs->dependencies, job, find_outcome, jobs);
    if (revision)
        pm_jobs_cancel_dependent(&revision, job);
}

void pm_jobs_update_graph(struct pm_jobs *jobs, struct pm_job *job)
{
    if (job->state == PM_JOB_DONE) {
        pm_dependencies_mark_done(jobs->dependencies, job->id, job->ended_wall);
        return;
    }
    if (job->state == PM_JOB_LIVE && job->spec && !job->dependencies.incomplete)
        add_to_graph(jobs, job);
    if (job->state == PM_JOB_CANCELLED) {
        uint64_t revision = job->cancellation_revision;
        pm_dependencies_mark_cancelled(jobs->dependencies, job->id, pm_jobs_cancel_dependent,
                                       &revision);
    }
}

void pm_jobs_read_dependencies(struct pm_jobs *jobs, struct pm_job *job, const cbor_item_t *value)
{
    struct pm_spec *spec = job->spec;
    GPtrArray *ids = NULL;
    uint64_t lists = 0;
    bool is_readable = pm_dependency_ids_decode(value, &ids);

    is_readable &= pm_overflow_list_count_decode(value, &lists);
    if (!is_readable)
        pm_error("jobs.unreadable_value", "malformed dependencies of job %s, which will not start",
                 job->id);
    if (!is_readable || lists) {
        spec->overflow_list_count = (uint32_t)MIN(lists, PM_JOB_TASKS_MAX);
        job->dependencies.incomplete = true;
        job->dependencies.unmet_count++; /* stands in for all dependencies that are not known yet */
    }
    if (ids) {
        pm_spec_set_dependencies(jobs->tables, spec, ids);
        g_ptr_array_free(ids, TRUE);
    }
}

static bool has_all_lists(const GPtrArray *lists, uint32_t count)
{
    if (!lists || lists->len < count)
        return false;
    for (uint32_t i = 0; i < count; i++)
        if (!g_ptr_array_index(lists, i))
            return false;
    return true;
}

/* Returns an array, owned by the caller, of the ids in the first `count` lists; the ids are
 * borrowed from the lists. */
static GPtrArray *join_lists(const GPtrArray *lists, uint32_t count)
{
    GPtrArray *ids = g_ptr_array_new();

    for (uint32_t k = 0; k < count; k++) {
        const GPtrArray *list = g_ptr_array_index(lists, k);
        for (guint i = 0; i < list->len; i++)
            g_ptr_array_add(ids, g_ptr_array_index(list, i));
    }
    return ids;
}

void pm_jobs_complete_dependencies(struct pm_jobs *jobs, struct pm_job *job)
{
    const GPtrArray *lists = g_hash_table_lookup(jobs->overflow_lists, job->id);
    uint32_t count = job->spec ? job->spec->overflow_list_count : 0;
    GPtrArray *ids;

    if (!job->dependencies.incomplete || !count || !has_all_lists(lists, count))
        return;
    ids = join_lists(lists, count);
    pm_spec_set_dependencies(jobs->tables, job->spec, ids);
    g_ptr_array_free(ids, TRUE);
    g_hash_table_remove(jobs->overflow_lists, job->id);
    job->dependencies.incomplete = false;
    job->dependencies.unmet_count--;
    pm_jobs_update_graph(jobs, job);
}

static void list_free(gpointer list)
{
    if (list)
        g_ptr_array_free(list, TRUE);
}

/* Stores the list, and frees an earlier one with the same index. */
static void store_list(struct pm_jobs *jobs, const char *id, int list_index, GPtrArray *ids)
{
    GPtrArray *lists = g_hash_table_lookup(jobs->overflow_lists, id);

    if (!lists) {
        lists = g_ptr_array_new_with_free_func(list_free);
        g_hash_table_insert(jobs->overflow_lists, g_strdup(id), lists);
    }
    if ((int)lists->len <= list_index)
        g_ptr_array_set_size(lists, list_index + 1);
    list_free(g_ptr_array_index(lists, list_index));
    g_ptr_array_index(lists, list_index) = ids;
}

struct pm_job *pm_jobs_apply_dependency_list(struct pm_jobs *jobs, const char *suffix,
                                             const cbor_item_t *value)
{
    char id[PM_ID_MAX];
    GPtrArray *ids;
    struct pm_job *job;
    int list_index;
    int half;

    if (!pm_chunk_key_parse(suffix, id, &list_index, &half) || half != PM_CHUNK_WHOLE ||
        !pm_job_id_is_valid(id))
        return NULL;
    job = pm_jobs_find(jobs, id);
    if (job && !job->dependencies.incomplete)
        return NULL; /* the dependencies are all known, or the job has ended */
    if (!pm_dependency_ids_decode(value, &ids) || !ids) {
        pm_error("jobs.unreadable_value", "malformed dependency list p/n/%s, ignored", suffix);
        return NULL;
    }
    store_list(jobs, id, list_index, ids);
    if (job)
        pm_jobs_complete_dependencies(jobs, job);
    return job;
}

uint64_t pm_jobs_dependency_edges_visited(const struct pm_jobs *jobs)
{
    return pm_dependencies_edges_visited(jobs->dependencies);
}
