/* Applies the state service's feed to the replica: puts of p/j, p/n, p/t, and deletions of p/t. */
#include "base/keys.h"
#include "jobs/internal.h"
#include "base/log.h"

#include <string.h>

/* ---- p/j ---- */

static void set_state(struct pm_jobs *jobs, struct pm_job *job, enum pm_job_state state)
{
    if (state == PM_JOB_CANCELLED)
        job->dependencies.cancelled_by_dependency = false; /* the job's own value records it */
    /* A job whose cancellation is known stays cancelled: a value with another state is older. */
    job->state = job->cancellation_revision ? PM_JOB_CANCELLED : state;
    if (job->state == PM_JOB_CANCELLED && !job->cancellation_revision) {
        job->cancellation_revision = job->revision;
        pm_jobs_record_cancellation(jobs, job->id, job->revision);
    }
}

/* Reads the description from the job's value. Returns false if it is malformed. */
static bool read_description(struct pm_jobs *jobs, struct pm_job *job, const cbor_item_t *value)
{
    bool is_new = !job->spec;
    struct pm_spec *spec = is_new ? g_new0(struct pm_spec, 1) : job->spec;

    if (!pm_stored_spec_decode(jobs->tables, value, spec)) {
        pm_error("jobs.unreadable_value", "malformed description of job %s", job->id);
        if (is_new)
            pm_spec_free(spec);
        return false;
    }
    if (is_new) {
        job->spec = spec;
        pm_jobs_read_dependencies(jobs, job, value);
    }
    return true;
}

/* Applies a well-formed value, except for the job's state, which the caller has applied. */
static void apply_job_value(struct pm_jobs *jobs, struct pm_job *job, const cbor_item_t *value,
                            uint32_t task_count)
{
    if (!job->chunks)
        job->task_count = task_count;
    if (pm_job_value_has_description(value)) {
        if (!read_description(jobs, job, value))
            return;
        pm_job_allocate_chunks(job);
        pm_jobs_activate(jobs, job);
    } else if (!job->work.placed_count) {
        pm_jobs_keep_final_state_only(jobs, job);
    }
    pm_jobs_update_graph(jobs, job);
    pm_jobs_complete_dependencies(jobs, job);
}

static struct pm_job *apply_job_put(struct pm_jobs *jobs, const char *id, const cbor_item_t *value,
                                    uint64_t revision)
{
    struct pm_job *job = pm_jobs_find(jobs, id);
    struct pm_job_summary summary = {.state = PM_JOB_LIVE, .task_count = 1};
    bool is_readable;

    if ((job && job->revision >= revision) || !pm_job_id_is_valid(id))
        return NULL;
    is_readable = pm_job_summary_decode(value, &summary);
    if (!is_readable) {
        pm_error("jobs.unreadable_value", "malformed state or task count of job %s", id);
        if (job)
            return NULL;
        /* The job was accepted, so it is added to the known jobs all the same. */
    }
    if (!job)
        job = pm_jobs_add(jobs, id, summary.task_count);
    job->revision = revision;
    set_state(jobs, job, summary.state);
    if (summary.state == PM_JOB_DONE)
        pm_job_end_time_decode(value, &job->ended_wall);
    /* A job with a malformed value is not run, since it may have been cancelled. */
    if (is_readable)
        apply_job_value(jobs, job, value, summary.task_count);
    return job;
}

/* ---- p/t ---- */

static struct pm_job *apply_chunk_put(struct pm_jobs *jobs, const char *suffix,
                                      const cbor_item_t *value, uint64_t revision)
{
    char id[PM_ID_MAX];
    struct pm_job *job;
    struct pm_chunk *chunk;
    struct pm_stored_chunk *stored;
    int chunk_index;
    int half;

    if (!pm_chunk_key_parse(suffix, id, &chunk_index, &half))
        return NULL;
    job = pm_jobs_find(jobs, id);
    chunk = job ? pm_job_ensure_chunk(job, chunk_index) : NULL;
    stored = chunk ? pm_chunk_stored_value(chunk, half) : NULL;
    if (!stored || stored->revision >= revision)
        return NULL;
    if (!pm_chunk_decode(jobs->tables, value, stored)) {
        pm_error("jobs.unreadable_value", "malformed value of p/t/%s, ignored", suffix);
        return NULL;
    }
    stored->revision = revision;
    pm_chunk_merge(chunk);
    return job;
}

static struct pm_job *apply_chunk_delete(struct pm_jobs *jobs, const char *suffix,
                                         uint64_t revision)
{
    char id[PM_ID_MAX];
    struct pm_job *job;
    struct pm_chunk *chunk;
    struct pm_stored_chunk *stored;
    int chunk_index;
    int half;

    if (!pm_chunk_key_parse(suffix, id, &chunk_index, &half))
        return NULL;
    job = pm_jobs_find(jobs, id);
    chunk = job && chunk_index < job->chunk_count ? job->chunks[chunk_index] : NULL;
    stored = chunk ? pm_chunk_stored_value(chunk, half) : NULL;
    if (!stored || stored->revision > revision)
        return NULL;
    stored->revision = 0;
    if (stored->written_revision <= revision)
        stored->written_revision = 0; /* the deletion came after that write */
    pm_chunk_merge(chunk);
    return job;
}

/* ---- any key ---- */

struct pm_job *pm_jobs_apply_put(struct pm_jobs *jobs, const char *key, const cbor_item_t *value,
                                 uint64_t revision)
{
    const char *suffix;

    if ((suffix = pm_key_without_prefix(key, PM_KEY_JOB_PREFIX)))
        return apply_job_put(jobs, suffix, value, revision);
    if ((suffix = pm_key_without_prefix(key, PM_KEY_DEPENDENCY_LIST_PREFIX)))
        return pm_jobs_apply_dependency_list(jobs, suffix, value);
    if ((suffix = pm_key_without_prefix(key, PM_KEY_CHUNK_PREFIX)))
        return apply_chunk_put(jobs, suffix, value, revision);
    return NULL;
}

struct pm_job *pm_jobs_apply_delete(struct pm_jobs *jobs, const char *key, uint64_t revision)
{
    const char *suffix = pm_key_without_prefix(key, PM_KEY_CHUNK_PREFIX);

    return suffix ? apply_chunk_delete(jobs, suffix, revision) : NULL;
}

void pm_jobs_snapshot_begin(struct pm_jobs *jobs)
{
    GHashTableIter iter;
    gpointer value;

    /* p/j keys are never deleted, so only chunks can have been deleted while no watch was open. The
     * listing shows those that still exist, after their jobs, since it is in order of keys. */
    g_hash_table_iter_init(&iter, jobs->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct pm_job *job = value;
        for (int k = 0; k < job->chunk_count; k++)
            if (job->chunks[k])
                pm_chunk_mark_not_stored(job->chunks[k]);
    }
}
