/* Revocation of the shards of lost owners: the leader deletes their keys, and then reclaims their
 * machines and jobs. */
#include "base/clock.h"
#include "base/log.h"
#include "shards/internal.h"

#define DELETE_RETRY_S 1.0 /* between two attempts to delete a shard's key */

/* Advances the epoch in the transaction that deletes the key. Workers then refuse the owner's
 * commands, which carry the old fencing token, and the owner's placement writes conflict on the
 * shard's key. */
void pm_shard_revoke(struct pm_shards *shards, struct pm_shard *shard, const char *reason,
                     double now)
{
    struct pm_shard_revocation *revocation = &shard->revocation;

    if (shard->write.in_flight || !pm_shard_revision(shard))
        return;
    if (revocation->in_progress && now - revocation->requested_at < DELETE_RETRY_S)
        return;
    if (!revocation->in_progress)
        pm_info("shard.revoked", "revoking the shard of %s: %s", shard->owner_name, reason);
    revocation->in_progress = true;
    revocation->requested_at = now;
    pm_election_advance_epoch(shards->election, shard->key, pm_shard_revision(shard));
}

/* Whether no write of the shard has been applied, and none can be applied later. Advances the epoch
 * if that is needed to rule out a later one; the result is then false for now. It is not enough
 * that the replica lacks the key: a write of the key may have an unknown outcome. If such a write
 * were applied later, the owner would place jobs that the leader has already begun to place itself.
 * The write compares the epoch's key, so it can't be applied after the epoch has advanced; if it
 * was applied before, the replica shows it once the replica has the revision of the new epoch. */
static bool is_never_written(struct pm_shards *shards, const struct pm_shard *shard)
{
    uint64_t unknown_outcome_epoch = shard->write.unknown_outcome_epoch;

    if (shard->write.in_flight || pm_shard_revision(shard))
        return false;
    if (!unknown_outcome_epoch)
        return true;
    if (pm_election_epoch(shards->election) <= unknown_outcome_epoch) {
        pm_election_advance_epoch(shards->election, NULL, 0);
        return false;
    }
    return pm_store_revision(shards->store) >= pm_election_epoch_revision(shards->election);
}

void pm_shard_revoke_unresponsive(struct pm_shards *shards, struct pm_shard *shard, double now)
{
    if (pm_shard_revision(shard)) {
        pm_shard_revoke(shards, shard, "the owner stopped responding", now);
        return;
    }
    if (!is_never_written(shards, shard))
        return;
    shard->revocation.in_progress = true;
    shard->revocation.deleted = true;
    pm_shards_reclaim_revoked(shards);
}

/* Whether the replica shows that the key is deleted: the watch reported the deletion, or a snapshot
 * that is recent enough does not list the key. */
static bool is_deleted(const struct pm_shards *shards, const struct pm_shard *shard)
{
    if (shard->revocation.deleted)
        return true;
    return shard->revocation.in_progress && !shard->stored.revision &&
           pm_store_revision(shards->store) >= shard->write.revision;
}

static void reclaim_machine(struct pm_shards *shards, int index)
{
    struct pm_machine *machine = pm_workers_at(shards->workers, index);

    if (!machine)
        return;
    machine->shard.assigned_to = 0;
    machine->heartbeat.has_reported = false;
    machine->heartbeat.last_message_at = pm_clock_monotonic();
    /* Unknown until a majority has acknowledged the new epoch. */
    machine->lease.exclusive_since = 0;
    machine->lease.reclaimed_epoch = pm_election_epoch(shards->election);
}

static void reclaim_jobs(struct pm_shards *shards, GPtrArray *jobs)
{
    for (guint i = 0; i < jobs->len; i++) {
        struct pm_job *job = g_ptr_array_index(jobs, i);
        job->delegated = false;
        job->parallelism = UINT32_MAX;
        shards->hooks.job_returned(shards->hooks.arg, job);
    }
}

/* Returns the shard's machines and jobs to the leader. The replica has all of the owner's writes by
 * now, so the leader recovers the placements of the returned jobs from the replica. */
static void reclaim_shard(struct pm_shards *shards, struct pm_shard *shard)
{
    GPtrArray *jobs = shard->target.jobs;

    for (guint i = 0; i < shard->target.machines->len; i++)
        reclaim_machine(shards, pm_shard_machine_at(shard, i)->index);
    shard->target.jobs = g_ptr_array_new();
    pm_shard_reset(shard);
    reclaim_jobs(shards, jobs);
    g_ptr_array_free(jobs, TRUE);
    shards->hooks.plan_due(shards->hooks.arg);
}

void pm_shards_reclaim_revoked(struct pm_shards *shards)
{
    for (int i = 0; shards->is_leader && i < shards->peer_count; i++)
        if (is_deleted(shards, &shards->shard[i]))
            reclaim_shard(shards, &shards->shard[i]);
}

void pm_shard_reset(struct pm_shard *shard)
{
    g_array_set_size(shard->target.machines, 0);
    g_ptr_array_set_size(shard->target.jobs, 0);
    shard->target.needs_write = false;
    shard->write.in_flight = false;
    shard->write.unknown_outcome_epoch = 0;
    shard->write.sent_at = 0;
    shard->write.revision = 0;
    shard->revocation = (struct pm_shard_revocation){0};
}
