/* The owner's side of a shard: it may use the machines and jobs that the stored value lists. */
#include "base/clock.h"
#include "shards/internal.h"

static bool is_listed(const GArray *machines, int index)
{
    for (guint i = 0; i < machines->len; i++)
        if (g_array_index(machines, int, i) == index)
            return true;
    return false;
}

/* Removes the machines that the stored shard no longer lists. No task runs on them, because the
 * leader removes a machine from a shard only when the machine is drained or its termination was
 * confirmed. */
static void remove_unlisted_machines(struct pm_shards *shards, double now)
{
    GPtrArray *machines = pm_workers_all(shards->workers);

    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (!machine || is_listed(pm_shards_own_shard(shards)->stored.machines, machine->index))
            continue;
        pm_workers_mark_lost(shards->workers, machine, now);
        pm_workers_remove(shards->workers, machine);
    }
}

static void add_machine(struct pm_shards *shards, const cbor_item_t *item, double now)
{
    struct pm_shard_stored_machine stored;
    struct pm_machine *machine;
    char name[PM_NAME_MAX];

    if (!pm_shard_value_machine_name(item, name) || pm_workers_find(shards->workers, name))
        return;
    pm_shard_value_decode_machine(shards->tables, item, &stored);
    machine = pm_workers_find_or_add(shards->workers, name);
    machine->state = PM_MACHINE_UP;
    machine->provider.is_listed = true;
    /* Not 0, because the leader has verified that the machine exists; see
     * pm_machine_is_known_to_exist. The actual time of the rental is not known here. */
    machine->provider.rented_at = now;
    machine->heartbeat.last_message_at = now;
    machine->heartbeat.incarnation = stored.incarnation;
    /* The leader stopped renewing the worker's lease when it assigned the machine to this shard, so
     * its last renewal was before now. */
    machine->lease.exclusive_since = now;
    g_strlcpy(machine->endpoint, stored.endpoint, sizeof machine->endpoint);
    machine->spot = stored.spot;
    machine->zone = stored.zone;
    pm_workers_set_type(shards->workers, machine, stored.type);
}

void pm_shards_apply_ownership(struct pm_shards *shards, const cbor_item_t *value, double now)
{
    const struct pm_shard_stored *stored = &pm_shards_own_shard(shards)->stored;
    const cbor_item_t *machines = pm_shard_value_machines(value);
    bool has_shard = stored->machines->len || stored->jobs->len;

    /* At first all jobs count as placed by another controller. pm_shards_apply_owned_jobs then
     * clears the flag for the jobs of the shard. */
    if (has_shard && !shards->is_owner)
        pm_jobs_set_delegated(shards->jobs, true);
    remove_unlisted_machines(shards, now);
    for (size_t i = 0; i < pm_cbor_length(machines); i++)
        add_machine(shards, pm_cbor_at(machines, i), now);
    shards->is_owner = has_shard;
    shards->hooks.ownership_changed(shards->hooks.arg, has_shard);
}

/* Runs whenever the replica has caught up, because a job's own key may reach the replica after the
 * shard that lists the job. */
void pm_shards_apply_owned_jobs(struct pm_shards *shards)
{
    const GArray *jobs = pm_shards_own_shard(shards)->stored.jobs;

    for (guint i = 0; i < jobs->len; i++) {
        const struct pm_shard_stored_job *stored =
            &g_array_index(jobs, struct pm_shard_stored_job, i);
        struct pm_job *job = pm_jobs_find(shards->jobs, stored->id);
        if (!job || !job->spec)
            continue;
        job->delegated = false;
        job->parallelism = stored->parallelism;
    }
}

void pm_shards_end_ownership(struct pm_shards *shards)
{
    if (!shards->is_owner)
        return;
    shards->is_owner = false;
    shards->hooks.ownership_changed(shards->hooks.arg, false);
}

uint64_t pm_shards_owned_revision(const struct pm_shards *shards)
{
    if (!shards->is_owner || shards->is_leader)
        return 0;
    return shards->shard[shards->peer_count].stored.revision;
}
