/* The leader's exchange with the owners. For each shard in turn, the leader sends the owner a
 * request if one is due, and then revokes the shard if its owner is lost, or else writes the shard
 * if a write is due. */
#include "shards/internal.h"

#define OWNER_TIMEOUT_S 2.4 /* the shard of an owner that is silent for this long is revoked */

/* Marks those machines of the shard for removal that this controller no longer knows, because they
 * were terminated or are missing from the replica. */
static void remove_missing_machines(struct pm_shards *shards, struct pm_shard *shard)
{
    for (guint i = 0; i < shard->target.machines->len; i++) {
        struct pm_shard_machine *entry = pm_shard_machine_at(shard, i);
        if (pm_workers_at(shards->workers, entry->index) ||
            entry->state == PM_SHARD_MACHINE_REMOVING)
            continue;
        entry->state = PM_SHARD_MACHINE_REMOVING;
        entry->write_serial = 0;
        shard->target.needs_write = true;
    }
}

static void revoke_or_write(struct pm_shards *shards, struct pm_shard *shard, double now)
{
    bool is_in_use = shard->target.machines->len || shard->target.jobs->len;
    bool is_timed_out = now - shard->owner.last_response_at > OWNER_TIMEOUT_S;

    /* Retries a revocation that has begun until the key is known to be deleted, even if the owner
     * responds again, because an attempt with an unknown outcome may still be applied. */
    if (shard->revocation.in_progress)
        pm_shard_revoke(shards, shard, "", now);
    else if (pm_shard_is_owner_replaced(shard))
        pm_shard_revoke(
            shards, shard,
            "the owner restarted or resynchronized its replica, and is a new incarnation", now);
    else if (is_in_use && is_timed_out)
        pm_shard_revoke_unresponsive(shards, shard, now);
    else
        pm_shard_write_if_due(shards, shard, now);
}

void pm_shards_exchange(struct pm_shards *shards, double now)
{
    if (!shards->is_leader || !pm_election_is_confirmed(shards->election, now))
        return;
    for (int i = 0; i < shards->peer_count; i++) {
        struct pm_shard *shard = &shards->shard[i];
        remove_missing_machines(shards, shard);
        pm_shard_request_if_due(shards, shard, now);
        revoke_or_write(shards, shard, now);
    }
    if (shards->has_unknown_launch_outcome) {
        shards->has_unknown_launch_outcome = false;
        pm_election_advance_epoch(shards->election, NULL, 0);
    }
}
