/* The working state that the controller that places a job keeps of it: its tasks, the counts over
 * them, and which chunks have to be written. */
#include "base/log.h"
#include "jobs/internal.h"

#include <string.h>

enum { WORD_BITS = 64 };

/* ---- tasks ---- */

struct pm_task *pm_job_ensure_task(struct pm_job *job, uint32_t task_index)
{
    struct pm_chunk *chunk = pm_job_ensure_chunk(job, (int)(task_index / PM_CHUNK_TASKS));

    if (!chunk->tasks)
        chunk->tasks = g_new0(struct pm_task, PM_CHUNK_TASKS);
    return &chunk->tasks[task_index % PM_CHUNK_TASKS];
}

const struct pm_task *pm_job_find_task(const struct pm_job *job, uint32_t task_index)
{
    const struct pm_chunk *chunk = job->chunks[task_index / PM_CHUNK_TASKS];

    return chunk && chunk->tasks ? &chunk->tasks[task_index % PM_CHUNK_TASKS] : NULL;
}

/* Returns the number of the half of its chunk that the task is in. */
static int half_index(uint32_t task_index)
{
    return (int)(task_index % PM_CHUNK_TASKS / PM_HALF_CHUNK_TASKS);
}

void pm_job_mark_dirty(struct pm_job *job, uint32_t task_index)
{
    pm_job_ensure_task(job, task_index);
    job->chunks[task_index / PM_CHUNK_TASKS]->write_back.dirty |=
        pm_chunk_dirty_bits(half_index(task_index));
}

/* Marks the task as done, and its half of the chunk to be written. */
static void complete_task(struct pm_job *job, uint32_t task_index)
{
    struct pm_task *task = pm_job_ensure_task(job, task_index);

    if (task->done)
        return;
    task->done = true;
    job->work.done_count++;
    pm_job_mark_dirty(job, task_index);
}

static void complete_gang(struct pm_job *job)
{
    for (uint32_t i = 0; i < job->task_count; i++)
        complete_task(job, i);
}

void pm_job_complete_task(struct pm_job *job, uint32_t task_index)
{
    if (job->spec->kind != PM_WORKLOAD_GANG) {
        complete_task(job, task_index);
        return;
    }
    if (job->work.done_count == job->task_count)
        return;
    pm_debug("gang.completed", "%s: task %u is done, so all %u are; %u are still placed", job->id,
             task_index, job->task_count, job->work.placed_count);
    complete_gang(job);
}

void pm_job_back_off(struct pm_job *job, uint32_t task_index, double until)
{
    pm_job_ensure_task(job, task_index)->backoff_until = until;
    job->scheduling.backoff_until = MAX(job->scheduling.backoff_until, until);
}

/* ---- counts ---- */

void pm_job_adjust_placement_count(struct pm_job *job, uint32_t task_index, int change)
{
    struct pm_chunk *chunk = pm_job_ensure_chunk(job, (int)(task_index / PM_CHUNK_TASKS));
    uint16_t *count = &chunk->placement_counts[half_index(task_index)];

    *count = (uint16_t)(*count + change);
    job->work.placed_count += (uint32_t)change;
}

uint32_t pm_job_waiting_tasks(const struct pm_job *job)
{
    uint32_t ended_or_placed;

    /* When one task of a gang is done, all count as done, though the workers of the others have yet
     * to report them: until then they are both done and placed. */
    if (job->state != PM_JOB_LIVE || !job->spec || job->dependencies.unmet_count)
        return 0;
    ended_or_placed = job->work.done_count + job->work.placed_count;
    return job->task_count - MIN(job->task_count, ended_or_placed);
}

/* Returns how many waiting tasks of the chunk back off. */
static uint32_t count_backing_off(const struct pm_chunk *chunk, double now)
{
    uint32_t count = 0;

    for (int i = 0; i < PM_CHUNK_TASKS; i++) {
        const struct pm_task *task = &chunk->tasks[i];
        count += !task->done && !task->placement && task->backoff_until > now;
    }
    return count;
}

uint32_t pm_job_startable_tasks(const struct pm_job *job, double now)
{
    uint32_t waiting = pm_job_waiting_tasks(job);
    uint32_t backing_off = 0;

    if (!waiting || job->scheduling.backoff_until <= now)
        return waiting;
    for (int k = 0; k < job->chunk_count; k++)
        if (job->chunks[k] && job->chunks[k]->tasks)
            backing_off += count_backing_off(job->chunks[k], now);
    return waiting - MIN(waiting, backing_off);
}

void pm_job_count_tasks(const struct pm_job *job, uint32_t *done, uint32_t *running)
{
    *done = *running = 0;
    if (job->state == PM_JOB_DONE) {
        *done = job->task_count;
        return;
    }
    for (int k = 0; k < job->chunk_count; k++) {
        const struct pm_chunk *chunk = job->chunks[k];
        if (!chunk)
            continue;
        for (int half = 0; half < PM_CHUNK_HALVES; half++)
            *done += (uint32_t)__builtin_popcountll(chunk->done[half]);
        if (chunk->stored_placements)
            *running += chunk->stored_placements->len;
    }
}

/* ---- rebuilding the working state from the replica ---- */

static void clear_chunk_work(struct pm_chunk *chunk)
{
    g_free(chunk->tasks);
    chunk->tasks = NULL;
    chunk->write_back.dirty = 0;
    memset(chunk->placement_counts, 0, sizeof chunk->placement_counts);
    chunk->write_back.in_flight = false;
    chunk->write_back.retry_at = 0;
    for (int half = PM_CHUNK_WHOLE; half < PM_CHUNK_HALVES; half++)
        pm_chunk_stored_value(chunk, half)->written_revision = 0;
}

static void restore_chunk_work(struct pm_job *job, struct pm_chunk *chunk)
{
    chunk->tasks = g_new0(struct pm_task, PM_CHUNK_TASKS);
    job->write_back.chunk_write_attempted = true;
    job->work.last_attempt = MAX(job->work.last_attempt, chunk->last_attempt);
    for (int i = 0; i < PM_CHUNK_TASKS; i++) {
        if (!(chunk->done[i / WORD_BITS] >> (i % WORD_BITS) & 1))
            continue;
        chunk->tasks[i].done = true;
        job->work.done_count++;
    }
}

/* Whether the replica shows only some tasks of a gang as done. Their values are written one by one,
 * by a leader that may end in between; and earlier versions wrote only those of tasks whose workers
 * had reported them. */
static bool is_gang_stored_as_done_in_part(const struct pm_job *job)
{
    return job->spec && job->spec->kind == PM_WORKLOAD_GANG && job->work.done_count &&
           job->work.done_count < job->task_count;
}

void pm_job_reset_working_state(struct pm_job *job)
{
    job->work = (struct pm_job_work){0};
    job->write_back = (struct pm_job_write_back){0};
    job->scheduling.counted_in_demand = false;
    job->scheduling.backoff_until = 0;
    job->scheduling.fully_started_at = 0;
    for (int k = 0; k < job->chunk_count; k++) {
        struct pm_chunk *chunk = job->chunks[k];
        if (!chunk)
            continue;
        clear_chunk_work(chunk);
        if (chunk->is_stored)
            restore_chunk_work(job, chunk);
    }
    if (is_gang_stored_as_done_in_part(job))
        complete_gang(job);
    /* The replica does not record whether all tasks were placed at some moment. This is inferred
     * from the number of attempts, which by then is at least the number of tasks. */
    job->scheduling.has_fully_started = job->work.last_attempt >= job->task_count;
}
