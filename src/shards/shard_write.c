/* The leader's writes of shards to the state service. */
#include "base/keys.h"
#include "base/clock.h"
#include "base/log.h"
#include "shards/internal.h"

#define MIN_WRITE_INTERVAL_S 0.06 /* between two writes of the same shard */
#define REJECTED_BACKOFF_S 3.0    /* before a rejected write is retried */

/* Context of one write in flight; freed by its completion callback. */
struct write_request {
    struct pm_shards *shards;
    struct pm_shard *shard;
    uint64_t term, serial;
};

/* Returns the machine to the leader, which does not use it until its worker has sent the leader a
 * heartbeat. */
static void return_machine(struct pm_shards *shards, int index)
{
    struct pm_machine *machine = pm_workers_at(shards->workers, index);

    if (machine) {
        double now = pm_clock_monotonic();
        machine->shard.assigned_to = 0;
        machine->heartbeat.has_reported = false;
        machine->heartbeat.last_message_at = now;
        machine->lease.exclusive_since = now;
        machine->provider.idle_since = 0;
    }
    shards->hooks.plan_due(shards->hooks.arg);
}

/* Updates the target after the write with `serial` has become durable: the machines that the write
 * added are owned now, and those that it removed return to the leader. */
static void apply_written(struct pm_shards *shards, struct pm_shard *shard, uint64_t serial)
{
    GArray *machines = shard->target.machines;

    for (guint i = 0; i < machines->len;) {
        struct pm_shard_machine *entry = pm_shard_machine_at(shard, i);
        bool is_written = entry->write_serial && entry->write_serial <= serial;
        if (is_written && entry->state == PM_SHARD_MACHINE_REMOVING) {
            int index = entry->index;
            g_array_remove_index(machines, i);
            return_machine(shards, index);
            continue;
        }
        if (is_written && entry->state == PM_SHARD_MACHINE_ADDING)
            entry->state = PM_SHARD_MACHINE_OWNED;
        i++;
    }
}

static void apply_success(struct pm_shards *shards, struct pm_shard *shard, uint64_t serial,
                          uint64_t store_revision)
{
    /* An earlier write with an unknown outcome can't be applied any more: it compares a revision of
     * the key that this write has replaced. */
    shard->write.unknown_outcome_epoch = 0;
    shard->write.revision = store_revision;
    pm_election_confirm_epoch(shards->election, shard->write.sent_at, store_revision);
    apply_written(shards, shard, serial);
}

/* Schedules a retry. A retry is always safe: a failed write that the state service still applies
 * late conflicts with its retry on the key's revision. The watch delivers the revision that the
 * next attempt must compare. */
static void apply_failure(struct pm_shards *shards, struct pm_shard *shard,
                          enum pm_store_result result)
{
    shard->target.needs_write = true;
    if (result == PM_STORE_UNKNOWN_OUTCOME)
        shard->write.unknown_outcome_epoch = pm_election_epoch(shards->election);
    if (result == PM_STORE_CONFLICT)
        pm_election_recheck_epoch(shards->election);
    if (result == PM_STORE_REJECTED) {
        pm_error("shard.write_rejected",
                 "the state service rejected the write of %s, most likely because the value is too "
                 "large; it is retried after a delay",
                 shard->key);
        shard->write.sent_at = pm_clock_monotonic() + REJECTED_BACKOFF_S;
    }
}

static void on_written(void *arg, enum pm_store_result result, uint64_t store_revision,
                       const cbor_item_t *conflicting_keys)
{
    struct write_request *request = arg;
    struct pm_shards *shards = request->shards;
    struct pm_shard *shard = request->shard;

    (void)conflicting_keys;
    if (shards->is_leader && shards->term == request->term) {
        shard->write.in_flight = false;
        if (result == PM_STORE_OK)
            apply_success(shards, shard, request->serial, store_revision);
        else
            apply_failure(shards, shard, result);
    }
    g_free(request);
}

/* Records the write's serial on each machine that no earlier write listed, and on each machine that
 * this write leaves out. */
static void set_write_serials(struct pm_shard *shard)
{
    for (guint i = 0; i < shard->target.machines->len; i++) {
        struct pm_shard_machine *entry = pm_shard_machine_at(shard, i);
        if (!entry->write_serial || entry->state == PM_SHARD_MACHINE_REMOVING)
            entry->write_serial = shard->write.serial;
    }
}

/* Removes the jobs that have ended with all of their tasks, which have no spec any more. */
static void remove_ended_jobs(GPtrArray *jobs)
{
    for (guint i = 0; i < jobs->len;) {
        const struct pm_job *job = g_ptr_array_index(jobs, i);
        if (job->spec)
            i++;
        else
            g_ptr_array_remove_index_fast(jobs, i);
    }
}

static void write_shard(struct pm_shards *shards, struct pm_shard *shard, double now)
{
    struct pm_txn txn = {0};
    struct write_request *request = g_new0(struct write_request, 1);

    shard->write.serial++;
    set_write_serials(shard);
    remove_ended_jobs(shard->target.jobs);
    pm_txn_compare(&txn, PM_KEY_EPOCH, pm_election_epoch_revision(shards->election));
    pm_txn_compare(&txn, shard->key, pm_shard_revision(shard));
    pm_txn_put_begin(&txn, shard->key);
    pm_shard_value_encode(shards, shard, &txn.writes);
    pm_txn_put_end(&txn, 0);
    shard->target.needs_write = false;
    shard->write.in_flight = true;
    shard->write.sent_at = now;
    *request = (struct write_request){shards, shard, shards->term, shard->write.serial};
    pm_store_commit(shards->store, &txn, on_written, request);
}

void pm_shard_write_if_due(struct pm_shards *shards, struct pm_shard *shard, double now)
{
    if (!shard->target.needs_write || shard->write.in_flight)
        return;
    if (now - shard->write.sent_at <= MIN_WRITE_INTERVAL_S)
        return;
    if (pm_store_write_budget(shards->store, now) >= 1)
        write_shard(shards, shard, now);
}
