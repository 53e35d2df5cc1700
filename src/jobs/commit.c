#include "jobs/commit.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/protocol.h"

#include <stdio.h>
#include <string.h>

enum { IN_FLIGHT_MAX = 4, BODY_MAX = 48 * 1024 };
#define REFUSED_S 3.0
#define BATCH_S 0.15 /* what no launch waits for is written together with what follows soon */

struct pm_commit {
    struct pm_name_tables *tables;
    struct pm_jobs *jobs;
    struct pm_store *store;
    struct pm_commit_hooks hooks;
    uint64_t round;
    int in_flight;
    double lazy_since; /* the oldest change that no launch waits for, 0: none */
    double day;        /* time of day of the run under way */
};

struct mark { /* an intent that the transaction makes durable */
    struct pm_job *job;
    uint32_t index, attempt;
};

enum { LISTS = -2 };

struct part {
    struct pm_job *job;
    int k;    /* -1: the job's own key; LISTS: what it needs, from list `half` on */
    int half; /* -1: the whole chunk */
    bool drop;
};

struct flight {
    struct pm_commit *commit;
    uint64_t round;
    double sent;
    GArray *marks, *parts;
    bool closed; /* holds what goes alone */
    struct pm_txn txn;
};

struct pm_commit *pm_commit_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                struct pm_store *store, const struct pm_commit_hooks *hooks)
{
    struct pm_commit *c = g_new0(struct pm_commit, 1);

    c->tables = tables;
    c->jobs = jobs;
    c->store = store;
    c->hooks = *hooks;
    return c;
}

void pm_commit_free(struct pm_commit *c)
{
    g_free(c);
}

void pm_commit_reset(struct pm_commit *c)
{
    c->round++;
    c->in_flight = 0;
    c->lazy_since = 0;
}

static void flight_free(struct flight *f)
{
    g_array_free(f->marks, TRUE);
    g_array_free(f->parts, TRUE);
    pm_txn_free(&f->txn);
    g_free(f);
}

/* Tells what would be written of a chunk apart from what would be at another time. */
static guint content_of(struct pm_commit *c, struct pm_job *job, int k)
{
    struct pm_buf buf = {0};
    guint hash = pm_job_is_chunk_split(c->tables, job, k);

    pm_chunk_encode(c->tables, job, k, -1, &buf);
    for (size_t i = 0; i < buf.size; i++)
        hash = hash * 33 + buf.data[i];
    pm_buf_free(&buf);
    return hash ? hash : 1;
}

static void settle_value(struct pm_commit *c, const struct part *part, enum pm_store_result result,
                         uint64_t store_revision, double now, double pause)
{
    struct pm_chunk *chunk = part->job->chunks[part->k];
    struct pm_stored_chunk *value = pm_chunk_stored(chunk, part->half);

    chunk->in_flight = false;
    chunk->failures = result == PM_STORE_OK ? 0 : chunk->failures + 1;
    if (result == PM_STORE_OK && part->drop) {
        value->revision = value->written_revision = 0;
        return;
    }
    if (result == PM_STORE_OK) {
        value->written_revision = store_revision;
        chunk->rejected = 0;
        chunk->write_alone = false;
        if (part->half >= 0 && pm_stored_chunk_revision(&chunk->whole) &&
            pm_stored_chunk_revision(&chunk->half[!part->half]))
            chunk->dirty |= PM_DIRTY_WHOLE;
        return;
    }
    if (result == PM_STORE_REJECTED) { /* too large, most likely: not to be sent again unchanged */
        pm_error("commit.rejected", "the state service refuses p/t/%s/%d", part->job->id, part->k);
        chunk->write_in_halves |= part->half < 0;
        /* Of several in one transaction it is not known which: each goes alone next time. */
        if (chunk->write_alone)
            chunk->rejected = content_of(c, part->job, part->k);
        chunk->write_alone = true;
    }
    /* Unknown or failed: written again on the revision that the watch tells by then. If this copy
     * is applied late after all, its own revisions no longer match, or ours don't. */
    if (part->drop && part->half < 0)
        chunk->dirty |= PM_DIRTY_WHOLE;
    else if (!part->drop)
        chunk->dirty |= part->half < 0 ? 3 : 1u << part->half;
    chunk->retry_at = now + pause * (1 << MIN(chunk->failures / 4, 6));
}

static void settle(struct flight *f, enum pm_store_result result, uint64_t store_revision)
{
    struct pm_commit *c = f->commit;
    double now = pm_clock_monotonic();
    double pause = result == PM_STORE_CONFLICT    ? 0.06
                   : result == PM_STORE_THROTTLED ? 0.15
                   : result == PM_STORE_REJECTED  ? REFUSED_S
                                                  : 0.3;

    for (guint i = 0; i < f->parts->len; i++) {
        struct part *part = &g_array_index(f->parts, struct part, i);
        struct pm_job *job = part->job;
        if (part->k == LISTS) {
            if (result == PM_STORE_OK && job->spec)
                job->spec->overflow_lists = MIN(job->spec->overflow_lists, (uint32_t)part->half);
            continue;
        }
        if (part->k < 0) {
            job->write_back.final_in_flight = false;
            if (result != PM_STORE_OK)
                job->write_back.retry_at = now + pause;
            continue;
        }
        if (part->k >= job->chunk_count || !job->chunks[part->k])
            continue; /* over meanwhile */
        settle_value(c, part, result, store_revision, now, pause);
    }
    for (guint i = 0; result == PM_STORE_OK && i < f->marks->len; i++) {
        struct mark *mark = &g_array_index(f->marks, struct mark, i);
        const struct pm_task *task;
        if (!mark->job->chunks)
            continue;
        task = pm_job_find_task(mark->job, mark->index);
        if (task && task->placement && task->placement->attempt == mark->attempt &&
            task->placement->state == PM_PLACEMENT_PROPOSED) {
            task->placement->state = PM_PLACEMENT_DURABLE;
            c->hooks.placement_durable(c->hooks.arg, task->placement);
        }
    }
}

static void on_done(void *arg, enum pm_store_result result, uint64_t store_revision,
                    const cbor_item_t *failed)
{
    struct flight *f = arg;
    struct pm_commit *c = f->commit;
    char key[256];

    if (f->round == c->round) {
        c->in_flight--;
        settle(f, result, store_revision);
        if (result == PM_STORE_OK)
            c->hooks.epoch_confirmed(c->hooks.arg, f->sent, store_revision);
        else
            pm_debug("commit.failed", "status %d", result);
        for (size_t i = 0; i < pm_cbor_length(failed); i++)
            if (pm_cbor_read_text(pm_cbor_at(failed, i), key, sizeof key) &&
                !strcmp(key, "p/epoch"))
                c->hooks.epoch_conflict(c->hooks.arg);
    }
    flight_free(f);
}

static void job_key(const struct pm_job *job, char *key, size_t size)
{
    snprintf(key, size, "p/j/%s", job->id);
}

static void value_key(const struct pm_job *job, int k, int half, char *key, size_t size)
{
    if (half < 0)
        snprintf(key, size, "p/t/%s/%d", job->id, k);
    else
        snprintf(key, size, "p/t/%s/%d/%d", job->id, k, half);
}

static void condition_job(struct flight *f, const struct pm_job *job)
{
    char key[64];

    for (guint i = 0; i < f->parts->len; i++)
        if (g_array_index(f->parts, struct part, i).job == job)
            return;
    job_key(job, key, sizeof key);
    pm_txn_compare(&f->txn, key, job->revision);
}

static void condition_value(struct flight *f, struct pm_job *job, int k, int half)
{
    char key[64];

    value_key(job, k, half, key, sizeof key);
    pm_txn_compare(&f->txn, key, pm_stored_chunk_revision(pm_chunk_stored(job->chunks[k], half)));
}

static void put_value(struct pm_commit *c, struct flight *f, struct pm_job *job, int k, int half)
{
    struct pm_chunk *chunk = job->chunks[k];
    char key[64];

    value_key(job, k, half, key, sizeof key);
    pm_txn_put(&f->txn, key);
    pm_chunk_encode(c->tables, job, k, half, &f->txn.writes);
    pm_txn_put_end(&f->txn, 0);
    for (int i = 0; i < PM_CHUNK_TASKS; i++) {
        const struct pm_placement *place = chunk->task[i].placement;
        if (place && place->state == PM_PLACEMENT_PROPOSED &&
            (half < 0 || i / PM_HALF_CHUNK_TASKS == half))
            g_array_append_vals(f->marks, &(struct mark){job, place->task_index, place->attempt},
                                1);
    }
    chunk->dirty &= half < 0 ? ~3u : ~(1u << half);
    chunk->in_flight = true;
    job->write_back.attempted = true;
    g_array_append_vals(f->parts, &(struct part){job, k, half, false}, 1);
}

static void drop_value(struct flight *f, struct pm_job *job, int k, int half)
{
    char key[64];

    value_key(job, k, half, key, sizeof key);
    pm_txn_delete(&f->txn, key);
    job->chunks[k]->in_flight = true;
    g_array_append_vals(f->parts, &(struct part){job, k, half, true}, 1);
}

/* At most `room` changes. A chunk that is stored whole and is too large for that goes over to
 * halves in steps: each half that is written counts instead of what the whole says of it, and once
 * both are there the whole goes. Cut off between any two of them, nothing is lost. */
static void add_chunk(struct pm_commit *c, struct flight *f, struct pm_job *job, int k, int room)
{
    struct pm_chunk *chunk = job->chunks[k];
    bool whole = pm_stored_chunk_revision(&chunk->whole) != 0;

    condition_job(f, job);
    condition_value(f, job, k, -1);
    if (!pm_job_is_chunk_split(c->tables, job, k)) {
        put_value(c, f, job, k, -1);
        return;
    }
    for (int h = 0; h < 2 && room > 0; h++) {
        if (!(chunk->dirty >> h & 1) && !(whole && !pm_stored_chunk_revision(&chunk->half[h])))
            continue;
        condition_value(f, job, k, h);
        put_value(c, f, job, k, h);
        room--;
    }
    if (chunk->dirty & PM_DIRTY_WHOLE && room > 0) {
        chunk->dirty &= ~(unsigned)PM_DIRTY_WHOLE;
        if (whole)
            drop_value(f, job, k, -1);
    }
}

/* Whether the job has come to its end and nothing of it is left on any machine. */
static bool over(const struct pm_job *job)
{
    if (!job->spec || job->work.placed_count)
        return false;
    return job->state != PM_JOB_LIVE ||
           (job->spec->kind != PM_WORKLOAD_SERVICE && job->work.done_count == job->task_count);
}

/* How many values its chunks have. */
static int values_written(const struct pm_job *job, bool *busy)
{
    int n = 0;

    *busy = false;
    for (int k = 0; k < job->chunk_count; k++) {
        if (!job->chunks[k])
            continue;
        for (int half = -1; half < 2; half++)
            n += pm_stored_chunk_revision(pm_chunk_stored(job->chunks[k], half)) != 0;
        *busy |= job->chunks[k]->in_flight;
    }
    return n;
}

/* The final state, and the chunks go. A job with more chunks than a transaction takes is first
 * called done with its description kept, then its chunks go, then the description. */
static bool add_final(struct pm_commit *c, struct flight *f, struct pm_job *job, int room)
{
    enum pm_job_state end = job->state == PM_JOB_LIVE ? PM_JOB_DONE : job->state;
    char key[64];
    bool busy, fits;
    int values = values_written(job, &busy) + (int)job->spec->overflow_lists;

    if (busy || room < 1)
        return false;
    fits = values + 1 <= room;
    if (!fits && f->parts->len)
        return false; /* wait for a transaction of its own */
    condition_job(f, job);
    if (fits || job->state == PM_JOB_LIVE || job->dependencies.cancelled_by_one) {
        job_key(job, key, sizeof key);
        pm_txn_put(&f->txn, key);
        if (end == PM_JOB_DONE) {
            job->ended_wall = job->ended_wall > 0 ? job->ended_wall : c->day;
            pm_job_encode_done(c->tables, job, !fits, &f->txn.writes);
        } else {
            pm_job_encode(c->tables, job->spec, job->task_count, end, !fits, &f->txn.writes);
        }
        pm_txn_put_end(&f->txn, 0);
        room--;
    }
    g_array_append_vals(f->parts, &(struct part){job, -1, -1, false}, 1);
    job->write_back.final_in_flight = true;
    if (!fits && (job->state == PM_JOB_LIVE || job->dependencies.cancelled_by_one))
        return true; /* what it needs, and what ran, goes once the end itself is there */
    for (uint32_t n = job->spec->overflow_lists; n > 0 && room > 0; n--, room--) {
        snprintf(key, sizeof key, "p/n/%s/%u", job->id, n - 1);
        pm_txn_delete(&f->txn, key);
        g_array_append_vals(f->parts, &(struct part){job, LISTS, (int)n - 1, true}, 1);
    }
    for (int k = 0; k < job->chunk_count; k++)
        for (int half = -1; job->chunks[k] && half < 2 && room > 0; half++) {
            if (!pm_stored_chunk_revision(pm_chunk_stored(job->chunks[k], half)))
                continue;
            condition_value(f, job, k, half);
            drop_value(f, job, k, half);
            job->chunks[k]->dirty = 0;
            room--;
        }
    return true;
}

static struct flight *flight_new(struct pm_commit *c, const struct pm_commit_conditions *grounds,
                                 double now)
{
    struct flight *f = g_new0(struct flight, 1);

    f->commit = c;
    f->round = c->round;
    f->sent = now;
    f->marks = g_array_new(FALSE, FALSE, sizeof(struct mark));
    f->parts = g_array_new(FALSE, FALSE, sizeof(struct part));
    pm_txn_compare(&f->txn, "p/epoch", grounds->epoch_revision);
    if (grounds->shard_key)
        pm_txn_compare(&f->txn, grounds->shard_key, grounds->shard_revision);
    return f;
}

/* In this order: intents of services and finals, other intents, and what no launch waits for. */
enum pass { PASS_SERVICES, PASS_LAUNCHES, PASS_LAZY, NOT_DUE };

/* In which pass the chunk is to be written; not due: the time is in `next`. */
static enum pass chunk_rank(const struct pm_job *job, const struct pm_chunk *chunk, double now,
                            double *next)
{
    if (!chunk->dirty || chunk->in_flight)
        return NOT_DUE;
    if (chunk->retry_at > now) {
        *next = *next ? MIN(*next, chunk->retry_at) : chunk->retry_at;
        return NOT_DUE;
    }
    for (int i = 0; i < PM_CHUNK_TASKS; i++)
        if (chunk->task[i].placement && chunk->task[i].placement->state == PM_PLACEMENT_PROPOSED)
            return job->spec->priority == PM_PRIORITY_PRODUCTION ? PASS_SERVICES : PASS_LAUNCHES;
    return PASS_LAZY;
}

static bool full(const struct flight *f, int room)
{
    return f->closed || f->txn.write_count >= room || f->txn.writes.size > BODY_MAX ||
           f->txn.compare_count + 4 > 4 * room;
}

/* Of a job that is cancelled with one that it needs, nothing waits for the final state: it follows
 * from the other's. A long chain's go when there is room to spare. */
static enum pass final_pass(const struct pm_job *job)
{
    return job->dependencies.cancelled_by_one ? PASS_LAZY : PASS_SERVICES;
}

static void add_pass(struct pm_commit *c, struct flight *f, enum pass pass, int room, double now,
                     double *next)
{
    GPtrArray *active = pm_jobs_active(c->jobs);

    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        if (!job->spec || job->delegated || job->write_back.final_in_flight)
            continue;
        if (over(job)) {
            if (pass == final_pass(job) && job->write_back.retry_at <= now) {
                if (!full(f, room))
                    add_final(c, f, job, room - f->txn.write_count);
            } else if (job->write_back.retry_at > now) {
                *next = *next ? MIN(*next, job->write_back.retry_at) : job->write_back.retry_at;
            }
            continue;
        }
        for (int k = 0; k < job->chunk_count; k++) {
            if (!job->chunks[k] || chunk_rank(job, job->chunks[k], now, next) != pass)
                continue;
            if (job->chunks[k]->rejected && job->chunks[k]->rejected == content_of(c, job, k))
                continue; /* until it changes */
            if (full(f, room) || (job->chunks[k]->write_alone && f->parts->len))
                continue;
            add_chunk(c, f, job, k, room - f->txn.write_count);
            f->closed = job->chunks[k]->write_alone;
        }
    }
}

/* What no launch waits for gives way: the ends of tasks go with the next launch of their chunk, or
 * with the job's final state, unless the budget has room to spare. */
static bool room_for_lazy(struct pm_commit *c, double now)
{
    return pm_store_write_budget(c->store, now) >= 0.3 * c->tables->settings->store_write_rps;
}

/* Whether there is anything to write that no launch waits for. */
static bool has_lazy(const struct pm_commit *c, double now)
{
    GPtrArray *active = pm_jobs_active(c->jobs);
    double ignored = 0;

    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        if (!job->spec || job->delegated)
            continue;
        if (over(job)) {
            if (!job->write_back.final_in_flight && job->write_back.retry_at <= now &&
                final_pass(job) == PASS_LAZY)
                return true;
            continue;
        }
        for (int k = 0; k < job->chunk_count; k++)
            if (job->chunks[k] && chunk_rank(job, job->chunks[k], now, &ignored) == PASS_LAZY)
                return true;
    }
    return false;
}

/* Adds what no launch waits for, once it has waited for company and the budget has room to spare.
 */
static void add_lazy(struct pm_commit *c, struct flight *f, int room, double now, double *next)
{
    if (c->lazy_since && now - c->lazy_since >= BATCH_S && room_for_lazy(c, now)) {
        add_pass(c, f, PASS_LAZY, room, now, next);
        c->lazy_since = 0;
    } else if (!has_lazy(c, now)) {
        c->lazy_since = 0;
    } else if (!c->lazy_since) {
        c->lazy_since = now;
    }
}

double pm_commit_run(struct pm_commit *c, const struct pm_commit_conditions *grounds, double now,
                     double day)
{
    int txn_ops = c->tables->settings->store_txn_ops;

    c->day = day;
    for (;;) {
        int room = MIN(pm_store_write_budget(c->store, now), txn_ops);
        double next = 0;
        struct flight *f;

        if (c->in_flight >= IN_FLIGHT_MAX)
            return now + 0.02;
        if (room < MIN(4, txn_ops))
            return now + 0.05;
        f = flight_new(c, grounds, now);
        add_pass(c, f, PASS_SERVICES, room, now, &next);
        add_pass(c, f, PASS_LAUNCHES, room, now, &next);
        add_lazy(c, f, room, now, &next);
        if (!f->parts->len) {
            flight_free(f);
            if (c->lazy_since) {
                double at = MAX(c->lazy_since + BATCH_S, now + 0.05);
                next = next ? MIN(next, at) : at;
            }
            return next;
        }
        c->in_flight++;
        pm_store_commit(c->store, &f->txn, on_done, f);
    }
}
