/* Selects the changes that are due, by urgency: first final states and new placements of production
 * jobs, then other new placements, and last the changes that no launch waits for. */
#include "jobs/commit_internal.h"

/* How long deferrable changes wait, so that later ones are written in the same transaction. */
#define DEFERRABLE_DELAY_S 0.15
/* Deferrable changes are written only while the write budget that is left is at least this share of
 * the write rate (changes per second). */
#define DEFERRABLE_BUDGET_SHARE 0.3

enum urgency {
    URGENCY_IMMEDIATE,  /* a final state, or a new placement of a production job */
    URGENCY_LAUNCH,     /* a new placement of another job: its launch waits for the write */
    URGENCY_DEFERRABLE, /* no launch waits for the write */
    URGENCY_NOT_DUE
};

void pm_commit_lower_next_at(double *next_at, double at)
{
    *next_at = *next_at ? MIN(*next_at, at) : at;
}

double pm_commit_deferred_until(const struct pm_commit *commit)
{
    return commit->deferrable_since ? commit->deferrable_since + DEFERRABLE_DELAY_S : 0;
}

/* Whether the job has ended and none of its tasks is placed any more. */
static bool has_ended(const struct pm_job *job)
{
    if (!job->spec || job->work.placed_count)
        return false;
    return job->state != PM_JOB_LIVE ||
           (job->spec->kind != PM_WORKLOAD_SERVICE && job->work.done_count == job->task_count);
}

/* Nothing waits for the final state of a job that was cancelled because of a dependency, since
 * every controller derives it from the cancellation of the dependency. The final states of a long
 * chain are therefore written only when enough of the write budget is left. */
static enum urgency final_state_urgency(const struct pm_job *job)
{
    return job->dependencies.cancelled_by_dependency ? URGENCY_DEFERRABLE : URGENCY_IMMEDIATE;
}

static bool has_proposed_placement(const struct pm_chunk *chunk)
{
    for (int i = 0; i < PM_CHUNK_TASKS; i++) {
        const struct pm_placement *placement = chunk->tasks[i].placement;
        if (placement && placement->state == PM_PLACEMENT_PROPOSED)
            return true;
    }
    return false;
}

/* Returns how urgent it is to write the chunk. If the chunk only waits for its retry, `*next_at` is
 * lowered to the time of the retry. */
static enum urgency chunk_urgency(const struct pm_job *job, const struct pm_chunk *chunk,
                                  double now, double *next_at)
{
    if (!chunk->write_back.dirty || chunk->write_back.in_flight)
        return URGENCY_NOT_DUE;
    if (chunk->write_back.retry_at > now) {
        pm_commit_lower_next_at(next_at, chunk->write_back.retry_at);
        return URGENCY_NOT_DUE;
    }
    if (!has_proposed_placement(chunk))
        return URGENCY_DEFERRABLE;
    return job->spec->priority == PM_PRIORITY_PRODUCTION ? URGENCY_IMMEDIATE : URGENCY_LAUNCH;
}

static void add_due_final_state(struct commit_transaction *transaction, struct pm_job *job,
                                enum urgency urgency, double now, double *next_at)
{
    if (job->write_back.retry_at > now) {
        pm_commit_lower_next_at(next_at, job->write_back.retry_at);
        return;
    }
    if (urgency == final_state_urgency(job) && !pm_commit_transaction_is_full(transaction))
        pm_commit_transaction_add_final(transaction, job);
}

/* Whether the chunk's current value was rejected. Such a value is sent again only once it has
 * changed. */
static bool is_rejected_value(const struct pm_commit *commit, const struct pm_job *job,
                              int chunk_index)
{
    const struct pm_chunk *chunk = job->chunks[chunk_index];

    return chunk->write_back.rejected_hash &&
           chunk->write_back.rejected_hash == pm_commit_chunk_hash(commit, job, chunk_index);
}

static void add_due_chunks(struct commit_transaction *transaction, struct pm_job *job,
                           enum urgency urgency, double now, double *next_at)
{
    for (int k = 0; k < job->chunk_count; k++) {
        const struct pm_chunk *chunk = job->chunks[k];
        if (!chunk || chunk_urgency(job, chunk, now, next_at) != urgency)
            continue;
        if (is_rejected_value(transaction->commit, job, k))
            continue;
        if (pm_commit_transaction_is_full(transaction))
            continue;
        if (chunk->write_back.write_alone && transaction->changes->len)
            continue;
        pm_commit_transaction_add_chunk(transaction, job, k);
        transaction->is_closed = chunk->write_back.write_alone;
    }
}

static void add_all_of_urgency(struct commit_transaction *transaction, enum urgency urgency,
                               double now, double *next_at)
{
    GPtrArray *active = pm_jobs_active(transaction->commit->jobs);

    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        if (!job->spec || job->delegated || job->write_back.final_in_flight)
            continue;
        if (has_ended(job))
            add_due_final_state(transaction, job, urgency, now, next_at);
        else
            add_due_chunks(transaction, job, urgency, now, next_at);
    }
}

/* Whether enough of the write budget is left for deferrable changes. Otherwise the ends of tasks
 * are written with the next launch in their chunk, or with the job's final state. */
static bool has_budget_for_deferrable(const struct pm_commit *commit, double now)
{
    return pm_store_write_budget(commit->store, now) >=
           DEFERRABLE_BUDGET_SHARE * commit->tables->settings->store_write_rps;
}

static bool has_deferrable_chunk(const struct pm_job *job, double now)
{
    double ignored = 0;

    for (int k = 0; k < job->chunk_count; k++)
        if (job->chunks[k] &&
            chunk_urgency(job, job->chunks[k], now, &ignored) == URGENCY_DEFERRABLE)
            return true;
    return false;
}

static bool has_deferrable_final_state(const struct pm_job *job, double now)
{
    return !job->write_back.final_in_flight && job->write_back.retry_at <= now &&
           final_state_urgency(job) == URGENCY_DEFERRABLE;
}

static bool has_deferrable(const struct pm_commit *commit, double now)
{
    GPtrArray *active = pm_jobs_active(commit->jobs);

    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *job = g_ptr_array_index(active, i);
        if (!job->spec || job->delegated)
            continue;
        if (has_ended(job) ? has_deferrable_final_state(job, now) : has_deferrable_chunk(job, now))
            return true;
    }
    return false;
}

/* Adds the deferrable changes, once they have waited for DEFERRABLE_DELAY_S and enough of the write
 * budget is left. */
static void add_deferrable(struct commit_transaction *transaction, double now, double *next_at)
{
    struct pm_commit *commit = transaction->commit;

    if (commit->deferrable_since && now - commit->deferrable_since >= DEFERRABLE_DELAY_S &&
        has_budget_for_deferrable(commit, now)) {
        add_all_of_urgency(transaction, URGENCY_DEFERRABLE, now, next_at);
        commit->deferrable_since = 0;
    } else if (!has_deferrable(commit, now)) {
        commit->deferrable_since = 0;
    } else if (!commit->deferrable_since) {
        commit->deferrable_since = now;
    }
}

void pm_commit_add_due(struct commit_transaction *transaction, double now, double *next_at)
{
    add_all_of_urgency(transaction, URGENCY_IMMEDIATE, now, next_at);
    add_all_of_urgency(transaction, URGENCY_LAUNCH, now, next_at);
    add_deferrable(transaction, now, next_at);
}
