/* Adoption of the stored shards by a new leader, and the reset when a leader steps down. */
#include "base/log.h"
#include "shards/internal.h"

static void adopt_machine(struct pm_shards *shards, struct pm_shard *shard, int index, double now)
{
    struct pm_shard_machine entry = {.index = index, .state = PM_SHARD_MACHINE_OWNED};
    struct pm_machine *machine = pm_workers_find_or_add(
        shards->workers, pm_names_text(shards->tables->machine_names, index));

    machine->shard.assigned_to = (int)(shard - shards->shard) + 1;
    machine->state = PM_MACHINE_UP;
    machine->heartbeat.last_message_at = now;
    g_array_append_val(shard->target.machines, entry);
}

static void adopt_job(struct pm_shards *shards, struct pm_shard *shard,
                      const struct pm_shard_stored_job *stored)
{
    struct pm_job *job = pm_jobs_find(shards->jobs, stored->id);

    if (!job || !job->spec)
        return;
    pm_debug("shard.adopted", "adopted job %s of owner %s: at most %u tasks at once", job->id,
             shard->owner_name, stored->parallelism);
    job->delegated = true;
    job->parallelism = stored->parallelism;
    g_ptr_array_add(shard->target.jobs, job);
}

static void adopt_shard(struct pm_shards *shards, struct pm_shard *shard, double now)
{
    const struct pm_shard_stored *stored = &shard->stored;

    pm_shard_reset(shard);
    shard->owner.request_in_flight = false;
    shard->owner.last_response_at = now; /* starts the usual timeout for its next response */
    shard->owner.requested_at = 0;
    shard->write.serial = stored->serial;
    g_strlcpy(shard->owner.incarnation_id, stored->incarnation_id,
              sizeof shard->owner.incarnation_id);
    for (guint i = 0; i < stored->machines->len; i++)
        adopt_machine(shards, shard, g_array_index(stored->machines, int, i), now);
    if (stored->revision)
        pm_info("shard.adopted", "adopted the shard of %s at revision %llu: %u machines, %u jobs",
                shard->owner_name, (unsigned long long)stored->revision, stored->machines->len,
                stored->jobs->len);
    for (guint i = 0; i < stored->jobs->len; i++)
        adopt_job(shards, shard, &g_array_index(stored->jobs, struct pm_shard_stored_job, i));
}

void pm_shards_adopt(struct pm_shards *shards, double now)
{
    shards->is_leader = true;
    shards->is_owner = false;
    shards->term++;
    for (int i = 0; i < shards->peer_count; i++)
        adopt_shard(shards, &shards->shard[i], now);
}

void pm_shards_step_down(struct pm_shards *shards)
{
    shards->is_leader = false;
    shards->term++;
    for (int i = 0; i <= shards->peer_count; i++)
        pm_shard_reset(&shards->shard[i]);
}
