/* Applies the results of transactions to the working state: updates revisions, schedules retries,
 * and reports which placements may be launched. */
#include "base/keys.h"
#include "jobs/commit_internal.h"
#include "jobs/internal.h"
#include "base/clock.h"
#include "base/log.h"

#include <string.h>

/* Delays before a chunk or a final state is written again, by the result of the failed write. */
#define CONFLICT_RETRY_S 0.06
#define THROTTLED_RETRY_S 0.15
#define REJECTED_RETRY_S 3.0
#define DEFAULT_RETRY_S 0.3

enum {
    /* A chunk's retry delay doubles each time that this many writes in a row have failed. */
    FAILURES_PER_DOUBLING = 4,
    DOUBLINGS_MAX = 6,
    HASH_FACTOR = 33,
    STORE_KEY_MAX = 256 /* size of a conflicting key in bytes, with its NUL */
};

static double retry_delay_s(enum pm_store_result result)
{
    switch (result) {
    case PM_STORE_CONFLICT:
        return CONFLICT_RETRY_S;
    case PM_STORE_THROTTLED:
        return THROTTLED_RETRY_S;
    case PM_STORE_REJECTED:
        return REJECTED_RETRY_S;
    default:
        return DEFAULT_RETRY_S;
    }
}

guint pm_commit_chunk_hash(const struct pm_commit *commit, const struct pm_job *job,
                           int chunk_index)
{
    struct pm_buffer buf = {0};
    guint hash = pm_job_is_chunk_split(commit->tables, job, chunk_index);

    pm_chunk_encode(commit->tables, job, chunk_index, PM_CHUNK_WHOLE, &buf);
    for (size_t i = 0; i < buf.size; i++)
        hash = hash * HASH_FACTOR + buf.data[i];
    pm_buffer_free(&buf);
    return hash ? hash : 1;
}

static bool is_any_value_stored(struct pm_chunk *chunk)
{
    for (int half = PM_CHUNK_WHOLE; half < PM_CHUNK_HALVES; half++)
        if (pm_stored_chunk_revision(pm_chunk_stored_value(chunk, half)))
            return true;
    return false;
}

static void chunk_succeeded(struct pm_chunk *chunk, const struct commit_change *change,
                            uint64_t store_revision)
{
    struct pm_stored_chunk *stored = pm_chunk_stored_value(chunk, change->half);

    chunk->write_back.failures = 0;
    if (change->is_delete) {
        stored->revision = stored->written_revision = 0;
        if (!is_any_value_stored(chunk))
            chunk->write_back.dirty = 0; /* deleted with the job's final state */
        return;
    }
    stored->written_revision = store_revision;
    chunk->write_back.rejected_hash = 0;
    chunk->write_back.write_alone = false;
    if (change->half != PM_CHUNK_WHOLE && pm_stored_chunk_revision(&chunk->whole) &&
        pm_stored_chunk_revision(&chunk->halves[!change->half]))
        /* Both halves are stored, so the value of the whole has to be deleted. */
        chunk->write_back.dirty |= PM_DIRTY_WHOLE;
}

/* A rejected value is most likely too large. If a transaction with several values is rejected, the
 * cause could be any of them, so each is written in a transaction of its own next time. A value
 * that is rejected there too is sent again only after it has changed. */
static void chunk_rejected(const struct pm_commit *commit, struct pm_chunk *chunk,
                           const struct commit_change *change)
{
    pm_error("commit.rejected",
             "the state service rejected a transaction that changes p/t/%s/%d or a half of it",
             change->job->id, change->index);
    if (change->half == PM_CHUNK_WHOLE)
        chunk->write_back.write_in_halves = true;
    if (chunk->write_back.write_alone)
        chunk->write_back.rejected_hash = pm_commit_chunk_hash(commit, change->job, change->index);
    chunk->write_back.write_alone = true;
}

/* Schedules another write of the chunk, which will compare the revision that the watch shows at
 * that time. A transaction that failed without an answer may still be executed, even after the new
 * one was sent. Whichever of the two is executed second then has no effect, since a revision that
 * it compares has changed. */
static void chunk_failed(const struct pm_commit *commit, struct pm_chunk *chunk,
                         const struct commit_change *change, enum pm_store_result result,
                         double now)
{
    chunk->write_back.failures++;
    if (result == PM_STORE_REJECTED)
        chunk_rejected(commit, chunk, change);
    if (!change->is_delete)
        chunk->write_back.dirty |= pm_chunk_dirty_bits(change->half);
    else if (change->half == PM_CHUNK_WHOLE)
        chunk->write_back.dirty |= PM_DIRTY_WHOLE;
    /* Halves are deleted only with the job's final state, which is retried until it succeeds. */
    chunk->write_back.retry_at =
        now + retry_delay_s(result) *
                  (1 << MIN(chunk->write_back.failures / FAILURES_PER_DOUBLING, DOUBLINGS_MAX));
}

static void apply_to_chunk(const struct pm_commit *commit, const struct commit_change *change,
                           enum pm_store_result result, uint64_t store_revision, double now)
{
    struct pm_job *job = change->job;
    struct pm_chunk *chunk = change->index < job->chunk_count ? job->chunks[change->index] : NULL;

    if (!chunk)
        return; /* the feed has shown the job's final state, and the chunks were freed */
    chunk->write_back.in_flight = false;
    if (result == PM_STORE_OK)
        chunk_succeeded(chunk, change, store_revision);
    else
        chunk_failed(commit, chunk, change, result, now);
}

static void apply_to_final_state(struct pm_job *job, enum pm_store_result result, double now)
{
    job->write_back.final_in_flight = false;
    pm_debug("commit.final_state",
             "the write of the final state of %s, or of deletions after it: %s", job->id,
             pm_store_result_name(result));
    if (result != PM_STORE_OK)
        job->write_back.retry_at = now + retry_delay_s(result);
}

/* Records that the dependency list was deleted. Lists are deleted from the last to the first, so
 * those before `list_index` remain. */
static void apply_to_dependency_list(struct pm_job *job, int list_index,
                                     enum pm_store_result result)
{
    if (result == PM_STORE_OK && job->spec)
        job->spec->overflow_list_count = MIN(job->spec->overflow_list_count, (uint32_t)list_index);
}

static void apply_change_result(const struct pm_commit *commit, const struct commit_change *change,
                                enum pm_store_result result, uint64_t store_revision, double now)
{
    switch (change->kind) {
    case CHANGE_FINAL_STATE:
        apply_to_final_state(change->job, result, now);
        break;
    case CHANGE_CHUNK:
        apply_to_chunk(commit, change, result, store_revision, now);
        break;
    case CHANGE_DEPENDENCY_LIST:
        apply_to_dependency_list(change->job, change->index, result);
        break;
    }
}

/* Marks the placement as durable, unless it was removed or replaced in the meantime. */
static void mark_durable(const struct pm_commit *commit, const struct proposed_placement *proposed)
{
    const struct pm_task *task =
        proposed->job->chunks ? pm_job_find_task(proposed->job, proposed->task_index) : NULL;
    struct pm_placement *placement = task ? task->placement : NULL;

    if (!placement || placement->attempt != proposed->attempt ||
        placement->state != PM_PLACEMENT_PROPOSED)
        return;
    placement->state = PM_PLACEMENT_DURABLE;
    commit->hooks.placement_durable(commit->hooks.arg, placement);
}

static bool is_key_in(const cbor_item_t *keys, const char *key)
{
    char listed[STORE_KEY_MAX];

    for (size_t i = 0; i < pm_cbor_length(keys); i++)
        if (pm_cbor_read_text(pm_cbor_at(keys, i), listed, sizeof listed) && !strcmp(listed, key))
            return true;
    return false;
}

/* Drops the revisions of this controller's own writes that the state service has refuted: the keys
 * were deleted or written since, by transactions whose answers were lost. From now on the replica
 * tells their revisions. */
static void drop_refuted_revisions(const struct commit_change *change,
                                   const cbor_item_t *conflicting_keys)
{
    struct pm_job *job = change->job;
    struct pm_chunk *chunk = change->index < job->chunk_count ? job->chunks[change->index] : NULL;
    char key[PM_JOBS_KEY_MAX];

    for (int half = PM_CHUNK_WHOLE; chunk && half < PM_CHUNK_HALVES; half++) {
        pm_chunk_key_write(job, change->index, half, key);
        if (is_key_in(conflicting_keys, key))
            pm_chunk_stored_value(chunk, half)->written_revision = 0;
    }
}

static void apply_conflict(const struct commit_transaction *transaction,
                           const cbor_item_t *conflicting_keys)
{
    for (guint i = 0; i < transaction->changes->len; i++) {
        const struct commit_change *change =
            &g_array_index(transaction->changes, struct commit_change, i);
        if (change->kind == CHANGE_CHUNK)
            drop_refuted_revisions(change, conflicting_keys);
    }
    if (is_key_in(conflicting_keys, PM_KEY_EPOCH))
        transaction->commit->hooks.epoch_conflict(transaction->commit->hooks.arg);
}

static void apply_result(const struct commit_transaction *transaction, enum pm_store_result result,
                         uint64_t store_revision)
{
    const struct pm_commit *commit = transaction->commit;
    double now = pm_clock_monotonic();

    for (guint i = 0; i < transaction->changes->len; i++)
        apply_change_result(commit, &g_array_index(transaction->changes, struct commit_change, i),
                            result, store_revision, now);
    for (guint i = 0; result == PM_STORE_OK && i < transaction->placements->len; i++)
        mark_durable(commit, &g_array_index(transaction->placements, struct proposed_placement, i));
}

void pm_commit_on_result(void *arg, enum pm_store_result result, uint64_t store_revision,
                         const cbor_item_t *conflicting_keys)
{
    struct commit_transaction *transaction = arg;
    struct pm_commit *commit = transaction->commit;

    /* The result of a transaction that was sent before the last reset is ignored. */
    if (transaction->generation == commit->generation) {
        commit->in_flight--;
        apply_result(transaction, result, store_revision);
        if (result == PM_STORE_OK)
            commit->hooks.epoch_confirmed(commit->hooks.arg, transaction->sent_at, store_revision);
        else
            pm_debug("commit.failed",
                     "a transaction with changes of jobs failed with result %d (%s)", result,
                     pm_store_result_name(result));
        apply_conflict(transaction, conflicting_keys);
    }
    pm_commit_transaction_free(transaction);
}
