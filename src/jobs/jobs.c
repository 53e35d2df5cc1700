/* The set of jobs that the replica has. */
#include "jobs/internal.h"

#include <math.h>

static void job_free(gpointer data)
{
    struct pm_job *job = data;

    pm_job_free_chunks(job);
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
    jobs->cancelled_before_known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return jobs;
}

void pm_jobs_free(struct pm_jobs *jobs)
{
    g_hash_table_destroy(jobs->by_id);
    g_ptr_array_free(jobs->active, TRUE);
    pm_dependencies_free(jobs->dependencies);
    g_array_free(jobs->cancellations, TRUE);
    g_hash_table_destroy(jobs->cancelled_before_known);
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

/* Removes the cancellation that became known before the job itself, and returns its revision; 0 if
 * there is none. */
static uint64_t pop_early_cancellation(struct pm_jobs *jobs, const char *id)
{
    const uint64_t *found = g_hash_table_lookup(jobs->cancelled_before_known, id);
    uint64_t revision = found ? *found : 0;

    g_hash_table_remove(jobs->cancelled_before_known, id);
    return revision;
}

struct pm_job *pm_jobs_add(struct pm_jobs *jobs, const char *id, uint32_t task_count)
{
    struct pm_job *job = g_new0(struct pm_job, 1);

    g_strlcpy(job->id, id, sizeof job->id);
    job->task_count = task_count;
    g_hash_table_insert(jobs->by_id, job->id, job);
    job->cancellation_revision = pop_early_cancellation(jobs, id);
    job->deadline_wall = INFINITY;
    return job;
}

void pm_jobs_activate(struct pm_jobs *jobs, struct pm_job *job)
{
    if (job->is_active)
        return;
    job->is_active = true;
    job->delegated = jobs->delegated;
    job->parallelism = UINT32_MAX; /* not limited: the job is not leased to this controller */
    g_ptr_array_add(jobs->active, job);
}

static void deactivate(struct pm_jobs *jobs, struct pm_job *job)
{
    if (!job->is_active)
        return;
    job->is_active = false;
    g_ptr_array_remove_fast(jobs->active, job);
}

void pm_jobs_keep_final_state_only(struct pm_jobs *jobs, struct pm_job *job)
{
    pm_spec_free(job->spec);
    job->spec = NULL;
    pm_job_free_chunks(job);
    deactivate(jobs, job);
}

void pm_jobs_set_delegated(struct pm_jobs *jobs, bool delegated)
{
    jobs->delegated = delegated;
    for (guint i = 0; i < jobs->active->len; i++) {
        struct pm_job *job = g_ptr_array_index(jobs->active, i);
        job->delegated = delegated;
        job->parallelism = UINT32_MAX; /* not limited, as in pm_jobs_activate */
    }
}

void pm_jobs_reset_working_state(struct pm_jobs *jobs)
{
    for (guint i = 0; i < jobs->active->len; i++)
        pm_job_reset_working_state(g_ptr_array_index(jobs->active, i));
}
