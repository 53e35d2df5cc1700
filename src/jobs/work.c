/* The working state of whoever places a job: its tasks, and what of them is to be written. */
#include "jobs/internal.h"

#include <string.h>

struct pm_task *pm_job_task(struct pm_job *job, uint32_t index)
{
    struct pm_chunk *chunk = pm_job_chunk(job, (int)(index / PM_CHUNK_TASKS));

    if (!chunk->task)
        chunk->task = g_new0(struct pm_task, PM_CHUNK_TASKS);
    return &chunk->task[index % PM_CHUNK_TASKS];
}

const struct pm_task *pm_job_find_task(const struct pm_job *job, uint32_t index)
{
    const struct pm_chunk *chunk = job->chunk[index / PM_CHUNK_TASKS];

    return chunk && chunk->task ? &chunk->task[index % PM_CHUNK_TASKS] : NULL;
}

void pm_job_mark_dirty(struct pm_job *job, uint32_t index)
{
    pm_job_task(job, index);
    job->chunk[index / PM_CHUNK_TASKS]->dirty |= 1u
                                                 << (index % PM_CHUNK_TASKS / PM_HALF_CHUNK_TASKS);
}

void pm_job_count_placement(struct pm_job *job, uint32_t index, int by)
{
    struct pm_chunk *chunk = pm_job_chunk(job, (int)(index / PM_CHUNK_TASKS));
    uint16_t *placed = &chunk->placed[index % PM_CHUNK_TASKS / PM_HALF_CHUNK_TASKS];

    *placed = (uint16_t)(*placed + by);
    job->nplaced += (uint32_t)by;
}

uint32_t pm_job_waiting_tasks(const struct pm_job *job)
{
    if (job->state != PM_JOB_LIVE || !job->spec || job->unmet)
        return 0;
    return job->entries - job->ndone - job->nplaced;
}

void pm_job_back_off(struct pm_job *job, uint32_t index, double until)
{
    pm_job_task(job, index)->not_before = until;
    job->rest_until = MAX(job->rest_until, until);
}

/* Waiting tasks of the chunk that rest. */
static uint32_t count_resting(const struct pm_chunk *chunk, double now)
{
    uint32_t resting = 0;

    for (int t = 0; t < PM_CHUNK_TASKS; t++) {
        const struct pm_task *task = &chunk->task[t];
        resting += !task->done && !task->place && task->not_before > now;
    }
    return resting;
}

uint32_t pm_job_startable_tasks(const struct pm_job *job, double now)
{
    uint32_t waiting = pm_job_waiting_tasks(job);
    uint32_t resting = 0;

    if (!waiting || job->rest_until <= now)
        return waiting;
    for (int k = 0; k < job->nchunks; k++)
        if (job->chunk[k] && job->chunk[k]->task)
            resting += count_resting(job->chunk[k], now);
    return waiting - MIN(waiting, resting);
}

void pm_job_reset_work(struct pm_job *job)
{
    job->ndone = job->nplaced = job->last_try = job->hint = 0;
    job->final_in_flight = job->tried = job->sized = false;
    job->retry_at = job->rest_until = job->begun_at = 0;
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
            pm_chunk_stored(chunk, half)->written = 0;
        if (!chunk->stored)
            continue;
        chunk->task = g_new0(struct pm_task, PM_CHUNK_TASKS);
        job->tried = true;
        job->last_try = MAX(job->last_try, chunk->last_try);
        for (int t = 0; t < PM_CHUNK_TASKS; t++) {
            if (chunk->done[t / 64] >> (t % 64) & 1) {
                chunk->task[t].done = true;
                job->ndone++;
            }
        }
    }
    job->begun = job->last_try >= job->entries; /* as far as the number of attempts tells */
}

void pm_jobs_reset_work(struct pm_jobs *jobs)
{
    for (guint i = 0; i < jobs->active->len; i++)
        pm_job_reset_work(g_ptr_array_index(jobs->active, i));
}

void pm_jobs_set_delegated(struct pm_jobs *jobs, bool delegated)
{
    jobs->delegated = delegated;
    for (guint i = 0; i < jobs->active->len; i++) {
        struct pm_job *job = g_ptr_array_index(jobs->active, i);
        job->delegated = delegated;
        job->parallelism = UINT32_MAX;
    }
}
