/* Builds transactions: adds the compares and writes for changes of jobs and chunks. */
#include "base/keys.h"
#include "jobs/commit_internal.h"
#include "jobs/internal.h"

/* The state service limits a request to 64 KiB. It also limits a transaction's compares to four
 * times the number of writes that a transaction may have. */
enum {
    BODY_SIZE_FULL = 48 * 1024, /* bytes of writes beyond which no more changes are added */
    COMPARES_PER_WRITE = 4,
    COMPARES_PER_CHUNK_MAX = 4 /* the keys of the job, the whole chunk and both halves */
};

struct commit_transaction *pm_commit_transaction_new(struct pm_commit *commit,
                                                     const struct pm_commit_conditions *conditions,
                                                     double now, int max_writes)
{
    struct commit_transaction *transaction = g_new0(struct commit_transaction, 1);

    transaction->commit = commit;
    transaction->generation = commit->generation;
    transaction->sent_at = now;
    transaction->max_writes = max_writes;
    transaction->placements = g_array_new(FALSE, FALSE, sizeof(struct proposed_placement));
    transaction->changes = g_array_new(FALSE, FALSE, sizeof(struct commit_change));
    pm_txn_compare(&transaction->txn, PM_KEY_EPOCH, conditions->epoch_revision);
    if (conditions->shard_key)
        pm_txn_compare(&transaction->txn, conditions->shard_key, conditions->shard_revision);
    return transaction;
}

void pm_commit_transaction_free(struct commit_transaction *transaction)
{
    g_array_free(transaction->placements, TRUE);
    g_array_free(transaction->changes, TRUE);
    pm_txn_free(&transaction->txn);
    g_free(transaction);
}

bool pm_commit_transaction_is_full(const struct commit_transaction *transaction)
{
    const struct pm_txn *txn = &transaction->txn;

    return transaction->is_closed || txn->write_count >= transaction->max_writes ||
           txn->writes.size > BODY_SIZE_FULL ||
           txn->compare_count + COMPARES_PER_CHUNK_MAX >
               COMPARES_PER_WRITE * transaction->max_writes;
}

static int writes_left(const struct commit_transaction *transaction)
{
    return transaction->max_writes - transaction->txn.write_count;
}

static void record_change(struct commit_transaction *transaction, struct commit_change change)
{
    g_array_append_val(transaction->changes, change);
}

static void compare_job(struct commit_transaction *transaction, const struct pm_job *job)
{
    char key[PM_JOBS_KEY_MAX];

    for (guint i = 0; i < transaction->changes->len; i++)
        if (g_array_index(transaction->changes, struct commit_change, i).job == job)
            return; /* compared already */
    pm_job_key_write(job, key);
    pm_txn_compare(&transaction->txn, key, job->revision);
}

static void compare_chunk(struct commit_transaction *transaction, const struct pm_job *job,
                          int chunk_index, int half)
{
    char key[PM_JOBS_KEY_MAX];

    pm_chunk_key_write(job, chunk_index, half, key);
    pm_txn_compare(&transaction->txn, key,
                   pm_stored_chunk_revision(pm_chunk_stored_value(job->chunks[chunk_index], half)));
}

/* Records the chunk's proposed placements, or those of one half, which become durable when the
 * transaction writes the chunk or half. */
static void add_proposed_placements(struct commit_transaction *transaction, struct pm_job *job,
                                    const struct pm_chunk *chunk, int half)
{
    for (int i = 0; i < PM_CHUNK_TASKS; i++) {
        const struct pm_placement *placement = chunk->tasks[i].placement;
        struct proposed_placement proposed;
        if (!placement || placement->state != PM_PLACEMENT_PROPOSED)
            continue;
        if (half != PM_CHUNK_WHOLE && i / PM_HALF_CHUNK_TASKS != half)
            continue;
        proposed = (struct proposed_placement){job, placement->task_index, placement->attempt};
        g_array_append_val(transaction->placements, proposed);
    }
}

static void put_chunk(struct commit_transaction *transaction, struct pm_job *job, int chunk_index,
                      int half)
{
    struct pm_chunk *chunk = job->chunks[chunk_index];
    char key[PM_JOBS_KEY_MAX];

    pm_chunk_key_write(job, chunk_index, half, key);
    pm_txn_put_begin(&transaction->txn, key);
    pm_chunk_encode(transaction->commit->tables, job, chunk_index, half, &transaction->txn.writes);
    pm_txn_put_end(&transaction->txn, 0);
    add_proposed_placements(transaction, job, chunk, half);
    chunk->write_back.dirty &= ~pm_chunk_dirty_bits(half);
    chunk->write_back.in_flight = true;
    job->write_back.chunk_write_attempted = true;
    record_change(transaction, (struct commit_change){job, CHANGE_CHUNK, chunk_index, half, false});
}

static void delete_chunk(struct commit_transaction *transaction, struct pm_job *job,
                         int chunk_index, int half)
{
    char key[PM_JOBS_KEY_MAX];

    pm_chunk_key_write(job, chunk_index, half, key);
    pm_txn_delete(&transaction->txn, key);
    job->chunks[chunk_index]->write_back.in_flight = true;
    record_change(transaction, (struct commit_change){job, CHANGE_CHUNK, chunk_index, half, true});
}

/* Adds writes of the chunk's halves. A chunk that is stored as one value, and has become too large
 * for that, is split in steps: each half that is written takes precedence over the whole for its
 * tasks, and once both halves are stored, the whole is deleted. No data is lost if this is
 * interrupted between any two steps. */
static void add_halves(struct commit_transaction *transaction, struct pm_job *job, int chunk_index)
{
    struct pm_chunk *chunk = job->chunks[chunk_index];
    bool whole_is_stored = pm_stored_chunk_revision(&chunk->whole) != 0;

    for (int half = 0; half < PM_CHUNK_HALVES && writes_left(transaction) > 0; half++) {
        bool is_dirty = chunk->write_back.dirty & pm_chunk_dirty_bits(half);
        bool is_missing = whole_is_stored && !pm_stored_chunk_revision(&chunk->halves[half]);
        if (!is_dirty && !is_missing)
            continue;
        compare_chunk(transaction, job, chunk_index, half);
        put_chunk(transaction, job, chunk_index, half);
    }
    if (chunk->write_back.dirty & PM_DIRTY_WHOLE && writes_left(transaction) > 0) {
        chunk->write_back.dirty &= ~(unsigned)PM_DIRTY_WHOLE;
        if (whole_is_stored)
            delete_chunk(transaction, job, chunk_index, PM_CHUNK_WHOLE);
    }
}

void pm_commit_transaction_add_chunk(struct commit_transaction *transaction, struct pm_job *job,
                                     int chunk_index)
{
    compare_job(transaction, job);
    compare_chunk(transaction, job, chunk_index, PM_CHUNK_WHOLE);
    if (pm_job_is_chunk_split(transaction->commit->tables, job, chunk_index))
        add_halves(transaction, job, chunk_index);
    else
        put_chunk(transaction, job, chunk_index, PM_CHUNK_WHOLE);
}

/* Returns how many chunk values of the job are stored; each half counts as one. */
static int count_stored_chunks(const struct pm_job *job)
{
    int count = 0;

    for (int k = 0; k < job->chunk_count; k++)
        for (int half = PM_CHUNK_WHOLE; job->chunks[k] && half < PM_CHUNK_HALVES; half++)
            count += pm_stored_chunk_revision(pm_chunk_stored_value(job->chunks[k], half)) != 0;
    return count;
}

static bool has_chunk_in_flight(const struct pm_job *job)
{
    for (int k = 0; k < job->chunk_count; k++)
        if (job->chunks[k] && job->chunks[k]->write_back.in_flight)
            return true;
    return false;
}

static void put_final_state(struct commit_transaction *transaction, struct pm_job *job,
                            bool keep_description)
{
    struct pm_commit *commit = transaction->commit;
    struct pm_buffer *out = &transaction->txn.writes;
    char key[PM_JOBS_KEY_MAX];

    pm_job_key_write(job, key);
    pm_txn_put_begin(&transaction->txn, key);
    if (job->state == PM_JOB_LIVE || job->state == PM_JOB_DONE) {
        job->ended_wall = job->ended_wall > 0 ? job->ended_wall : commit->wall;
        pm_job_encode_done(commit->tables, job, keep_description, out);
    } else {
        pm_job_encode(commit->tables, job->spec, job->task_count, job->state, keep_description,
                      out);
    }
    pm_txn_put_end(&transaction->txn, 0);
}

static void delete_dependency_lists(struct commit_transaction *transaction, struct pm_job *job)
{
    char key[PM_JOBS_KEY_MAX];

    for (uint32_t count = job->spec->overflow_list_count; count > 0 && writes_left(transaction) > 0;
         count--) {
        int last = (int)count - 1;
        pm_dependency_list_key_write(job, last, key);
        pm_txn_delete(&transaction->txn, key);
        record_change(transaction, (struct commit_change){job, CHANGE_DEPENDENCY_LIST, last,
                                                          PM_CHUNK_WHOLE, true});
    }
}

/* The chunks stay dirty until the deletion has succeeded: their tasks' ends are not durable before.
 */
static void delete_chunks(struct commit_transaction *transaction, struct pm_job *job)
{
    for (int k = 0; k < job->chunk_count; k++) {
        struct pm_chunk *chunk = job->chunks[k];
        for (int half = PM_CHUNK_WHOLE;
             chunk && half < PM_CHUNK_HALVES && writes_left(transaction) > 0; half++) {
            if (!pm_stored_chunk_revision(pm_chunk_stored_value(chunk, half)))
                continue;
            compare_chunk(transaction, job, k, half);
            delete_chunk(transaction, job, k, half);
        }
    }
}

/* Adds the job's final state and the deletion of its chunks and dependency lists. If these changes
 * do not fit into one transaction, several are used: the first writes the final state and keeps the
 * description, the next ones delete the dependency lists and the chunks, and the last removes the
 * description. */
void pm_commit_transaction_add_final(struct commit_transaction *transaction, struct pm_job *job)
{
    /* While `cancelled_by_dependency` is set, the job's own value lacks the cancellation. */
    bool final_is_stored = job->state != PM_JOB_LIVE && !job->dependencies.cancelled_by_dependency;
    bool fits;

    if (has_chunk_in_flight(job) || writes_left(transaction) < 1)
        return;
    fits = count_stored_chunks(job) + (int)job->spec->overflow_list_count + 1 <=
           writes_left(transaction);
    if (!fits && transaction->changes->len)
        return; /* the job waits for a transaction of its own */
    compare_job(transaction, job);
    if (fits || !final_is_stored)
        put_final_state(transaction, job, !fits);
    record_change(transaction,
                  (struct commit_change){job, CHANGE_FINAL_STATE, 0, PM_CHUNK_WHOLE, false});
    job->write_back.final_in_flight = true;
    if (!fits && !final_is_stored)
        return; /* lists and chunks are deleted once the final state is durable */
    delete_dependency_lists(transaction, job);
    delete_chunks(transaction, job);
}
