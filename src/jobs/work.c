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
    const struct pm_chunk *chunk = job->chunks[index / PM_CHUNK_TASKS];

    return chunk && chunk->task ? &chunk->task[index % PM_CHUNK_TASKS] : NULL;
}

void pm_job_mark_dirty(struct pm_job *job, uint32_t index)
{
    pm_job_task(job, index);
    job->chunks[index / PM_CHUNK_TASKS]->dirty |= 1u
                                                  << (index % PM_CHUNK_TASKS / PM_HALF_CHUNK_TASKS);
}

void pm_job_count_placement(struct pm_job *job, uint32_t index, int by)
{
    struct pm_chunk *chunk = pm_job_chunk(job, (int)(index / PM_CHUNK_TASKS));
    uint16_t *placed = &chunk->placement_counts[index % PM_CHUNK_TASKS / PM_HALF_CHUNK_TASKS];

    *placed = (uint16_t)(*placed + by);
    job->work.placed_count += (uint32_t)by;
}

uint32_t pm_job_waiting_tasks(const struct pm_job *job)
{
    if (job->state != PM_JOB_LIVE || !job->spec || job->dependencies.unmet)
        return 0;
    return job->task_count - job->work.done_count - job->work.placed_count;
}

void pm_job_back_off(struct pm_job *job, uint32_t index, double until)
{
    pm_job_task(job, index)->backoff_until = until;
    job->scheduling.backoff_until = MAX(job->scheduling.backoff_until, until);
}

/* Waiting tasks of the chunk that rest. */
static uint32_t count_resting(const struct pm_chunk *chunk, double now)
{
    uint32_t resting = 0;

    for (int t = 0; t < PM_CHUNK_TASKS; t++) {
        const struct pm_task *task = &chunk->task[t];
        resting += !task->done && !task->placement && task->backoff_until > now;
    }
    return resting;
}

uint32_t pm_job_startable_tasks(const struct pm_job *job, double now)
{
    uint32_t waiting = pm_job_waiting_tasks(job);
    uint32_t resting = 0;

    if (!waiting || job->scheduling.backoff_until <= now)
        return waiting;
    for (int k = 0; k < job->chunk_count; k++)
        if (job->chunks[k] && job->chunks[k]->task)
            resting += count_resting(job->chunks[k], now);
    return waiting - MIN(waiting, resting);
}

void pm_job_reset_work(struct pm_job *job)
{
    job->work.done_count = job->work.placed_count = job->work.last_attempt =
        job->work.first_waiting_hint = 0;
    job->write_back.final_in_flight = job->write_back.attempted =
        job->scheduling.counted_in_demand = false;
    job->write_back.retry_at = job->scheduling.backoff_until = job->scheduling.fully_started_at = 0;
    for (int k = 0; k < job->chunk_count; k++) {
        struct pm_chunk *chunk = job->chunks[k];
        if (!chunk)
            continue;
        g_free(chunk->task);
        chunk->task = NULL;
        chunk->dirty = 0;
        memset(chunk->placement_counts, 0, sizeof chunk->placement_counts);
        chunk->in_flight = false;
        chunk->retry_at = 0;
        for (int half = -1; half < 2; half++)
            pm_chunk_stored(chunk, half)->written_revision = 0;
        if (!chunk->stored)
            continue;
        chunk->task = g_new0(struct pm_task, PM_CHUNK_TASKS);
        job->write_back.attempted = true;
        job->work.last_attempt = MAX(job->work.last_attempt, chunk->last_attempt);
        for (int t = 0; t < PM_CHUNK_TASKS; t++) {
            if (chunk->done[t / 64] >> (t % 64) & 1) {
                chunk->task[t].done = true;
                job->work.done_count++;
            }
        }
    }
    job->scheduling.has_fully_started =
        job->work.last_attempt >= job->task_count; /* as far as the number of attempts tells */
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
