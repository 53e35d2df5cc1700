/* The leader's exchange with the owners: for each shard in turn, the request that is due, and then
 * either its revocation or the write that is due. */
#include "shards/internal.h"

#define OWNER_TIMEOUT_S 2.4 /* an owner that does not respond for this long loses its shard */

/* A machine that is terminated, or that vanished from the replica, leaves its shard. */
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

    /* A revocation that has begun is retried until the key is known to be deleted, even if the
     * owner responds again: an attempt with an unknown outcome may yet be applied. */
    if (shard->revocation.in_progress)
        pm_shard_revoke(shards, shard, "", now);
    else if (pm_shard_is_owner_replaced(shard))
        pm_shard_revoke(shards, shard,
                        "the owner restarted or resynchronized: it is a new incarnation", now);
    else if (is_in_use && is_timed_out)
        pm_shard_revoke_unresponsive(shards, shard, now);
    else
        pm_shard_write_if_due(shards, shard, now);
}

void pm_shards_exchange(struct pm_shards *shards, double now)
{
    if (!shards->is_leading || !pm_election_is_confirmed(shards->election, now))
        return;
    for (int i = 0; i < shards->peer_count; i++) {
        struct pm_shard *shard = &shards->shard[i];
        remove_missing_machines(shards, shard);
        pm_shard_request_if_due(shards, shard, now);
        revoke_or_write(shards, shard, now);
    }
    if (shards->has_unknown_launch) {
        shards->has_unknown_launch = false;
        pm_election_advance_epoch(shards->election, NULL, 0);
    }
}
