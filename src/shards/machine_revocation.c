/* Choice of single machines that the leader revokes from their owners. Does no I/O; the time is an
 * argument. */
#include "base/log.h"
#include "shards/internal.h"

#define IDLE_MACHINE_TIMEOUT_S 2.0 /* a machine that is idle for this long is revoked */

bool pm_shards_has_preempting_revocation(const struct pm_shards *shards)
{
    for (int i = 0; i < shards->peer_count; i++)
        for (guint j = 0; j < shards->shard[i].target.machines->len; j++) {
            const struct pm_shard_machine *entry = pm_shard_machine_at(&shards->shard[i], j);
            if (entry->state >= PM_SHARD_MACHINE_REVOKING && entry->preempt)
                return true;
        }
    return false;
}

/* Returns how many of the job's tasks fit on the machine once it is drained, or 0 if the machine
 * may not be revoked for the job. */
static uint32_t tasks_gained(struct pm_shards *shards, const struct pm_job *job,
                             const struct pm_shard_machine *entry, const bool *is_reserved)
{
    const struct pm_machine *machine = pm_workers_at(shards->workers, entry->index);
    struct pm_machine_capacity capacity;
    const struct pm_machine_type *type;

    if (!machine || machine->type < 0 || entry->state != PM_SHARD_MACHINE_OWNED ||
        is_reserved[entry->index])
        return 0;
    if (!pm_scheduler_is_machine_allowed(shards->tables, job, machine->type, machine->zone,
                                         machine->spot) ||
        !pm_scheduler_may_preempt_machine(shards->scheduler, job, entry->index))
        return 0;
    type = &shards->tables->types[machine->type];
    capacity = (struct pm_machine_capacity){type->cpus, type->gpus, type->ram_gb};
    return pm_shard_tasks_that_fit(&capacity, job->spec);
}

/* Revokes machines of one shard until `task_count` tasks of the job have capacity. Returns how many
 * of these tasks still lack capacity. */
static uint32_t revoke_from_shard(struct pm_shards *shards, struct pm_shard *shard,
                                  const struct pm_job *job, uint32_t task_count,
                                  const bool *is_reserved)
{
    for (guint i = 0; task_count && i < shard->target.machines->len; i++) {
        struct pm_shard_machine *entry = pm_shard_machine_at(shard, i);
        uint32_t gained = tasks_gained(shards, job, entry, is_reserved);
        if (!gained)
            continue;
        entry->state = PM_SHARD_MACHINE_REVOKING;
        entry->preempt = true;
        shard->owner.requested_at = 0;
        task_count -= MIN(gained, task_count);
        pm_info("shard.machine_revoked",
                "revoking machine %s from owner %s to place guaranteed tasks of job %s",
                pm_workers_at(shards->workers, entry->index)->name, shard->owner_name, job->id);
    }
    return task_count;
}

void pm_shards_revoke_for_guarantee(struct pm_shards *shards, const struct pm_job *job,
                                    uint32_t task_count, const bool *is_reserved)
{
    for (int i = 0; task_count && i < shards->peer_count; i++)
        task_count = revoke_from_shard(shards, &shards->shard[i], job, task_count, is_reserved);
}

static void revoke_if_idle(struct pm_shard_machine *entry, bool is_busy, double now)
{
    if (entry->state != PM_SHARD_MACHINE_OWNED || is_busy) {
        entry->idle_since = 0;
        return;
    }
    if (!entry->idle_since)
        entry->idle_since = now;
    if (now - entry->idle_since >= IDLE_MACHINE_TIMEOUT_S)
        entry->state = PM_SHARD_MACHINE_REVOKING;
}

void pm_shards_revoke_idle_machines(struct pm_shards *shards, const uint32_t *task_counts,
                                    const bool *is_reserved, double now)
{
    for (int i = 0; i < shards->peer_count; i++)
        for (guint j = 0; j < shards->shard[i].target.machines->len; j++) {
            struct pm_shard_machine *entry = pm_shard_machine_at(&shards->shard[i], j);
            bool is_busy = task_counts[entry->index] || is_reserved[entry->index];
            revoke_if_idle(entry, is_busy, now);
        }
}
