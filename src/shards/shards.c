/* The set of shards, and how changes of the replica are applied to them. */
#include "base/keys.h"
#include "shards/shards.h"
#include "base/clock.h"
#include "base/log.h"
#include "shards/internal.h"

#include <stdio.h>
#include <string.h>

static struct pm_shard *find_by_key(struct pm_shards *shards, const char *key)
{
    for (int i = 0; i <= shards->peer_count; i++)
        if (!strcmp(shards->shard[i].key, key))
            return &shards->shard[i];
    return NULL;
}

static void init_shard(struct pm_shard *shard, const char *owner_name)
{
    shard->owner_name = owner_name;
    snprintf(shard->key, sizeof shard->key, PM_KEY_SHARD_PREFIX "%s", owner_name);
    shard->stored.machines = g_array_new(FALSE, FALSE, sizeof(int));
    shard->stored.jobs = g_array_new(FALSE, FALSE, sizeof(struct pm_shard_stored_job));
    shard->target.machines = g_array_new(FALSE, FALSE, sizeof(struct pm_shard_machine));
    shard->target.jobs = g_ptr_array_new();
}

struct pm_shards *pm_shards_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                struct pm_workers *workers, struct pm_scheduler *scheduler,
                                struct pm_store *store, struct pm_http_client *http,
                                struct pm_election *election, const struct pm_shards_hooks *hooks)
{
    struct pm_shards *shards = g_new0(struct pm_shards, 1);
    const struct pm_settings *settings = tables->settings;

    shards->tables = tables;
    shards->jobs = jobs;
    shards->workers = workers;
    shards->scheduler = scheduler;
    shards->store = store;
    shards->http = http;
    shards->election = election;
    shards->hooks = *hooks;
    g_strlcpy(shards->incarnation_id, pm_election_incarnation_id(election),
              sizeof shards->incarnation_id);
    shards->peer_count = settings->peer_count;
    for (int i = 0; i < shards->peer_count; i++)
        init_shard(&shards->shard[i], settings->peers[i].name);
    init_shard(pm_shards_own_shard(shards), settings->name);
    return shards;
}

void pm_shards_free(struct pm_shards *shards)
{
    for (int i = 0; i <= shards->peer_count; i++) {
        struct pm_shard *shard = &shards->shard[i];
        g_array_free(shard->stored.machines, TRUE);
        g_array_free(shard->stored.jobs, TRUE);
        g_array_free(shard->target.machines, TRUE);
        g_ptr_array_free(shard->target.jobs, TRUE);
    }
    g_free(shards);
}

const char *pm_shards_owner_of(const struct pm_shards *shards, const char *machine)
{
    int index = pm_names_find(shards->tables->machine_names, machine);

    if (index < 0)
        return NULL;
    for (int i = 0; i <= shards->peer_count; i++) {
        const GArray *machines = shards->shard[i].stored.machines;
        for (guint j = 0; j < machines->len; j++)
            if (g_array_index(machines, int, j) == index)
                return shards->shard[i].owner_name;
    }
    return NULL;
}

/* ---- Changes of the replica ---- */

static void clear_stored(struct pm_shard *shard)
{
    shard->stored.revision = 0;
    g_array_set_size(shard->stored.machines, 0);
    g_array_set_size(shard->stored.jobs, 0);
}

void pm_shards_apply_put(struct pm_shards *shards, const char *key, const cbor_item_t *value,
                         uint64_t revision)
{
    struct pm_shard *shard = find_by_key(shards, key);

    if (!shard || revision <= shard->stored.revision)
        return;
    shard->stored.revision = revision;
    pm_shard_value_decode(shards->tables, value, &shard->stored);
    if (shard != pm_shards_own_shard(shards) || shards->is_leader)
        return;
    /* This controller must not use a shard that was assigned to an earlier incarnation of it,
     * because it does not know which tasks that incarnation placed and which of its commands are in
     * flight. The leader sees the new incarnation's id in the next response and revokes the shard.
     */
    if (!strcmp(shard->stored.incarnation_id, shards->incarnation_id))
        pm_shards_apply_ownership(shards, value, pm_clock_monotonic());
    else
        pm_shards_end_ownership(shards);
}

void pm_shards_apply_delete(struct pm_shards *shards, const char *key, uint64_t revision)
{
    struct pm_shard *shard = find_by_key(shards, key);

    if (!shard || revision < shard->stored.revision)
        return;
    clear_stored(shard);
    if (revision >= shard->write.revision)
        shard->write.revision = 0;
    if (shard == pm_shards_own_shard(shards) && !shards->is_leader)
        pm_shards_end_ownership(shards);
    if (shards->is_leader && shard->revocation.in_progress)
        shard->revocation.deleted = true;
}

/* An owner that drops its replica no longer knows which tasks it placed and which commands it has
 * in flight. It continues as a new incarnation, so that the leader revokes the shard that was
 * assigned to the old one. */
static void start_new_incarnation(struct pm_shards *shards)
{
    if (!shards->is_owner)
        return;
    snprintf(shards->incarnation_id, sizeof shards->incarnation_id, "%08x%08x", g_random_int(),
             g_random_int());
    pm_info("shard.forgotten",
            "the replica is being resynchronized, so this controller gives up its shard");
    pm_shards_end_ownership(shards);
}

void pm_shards_snapshot_begin(struct pm_shards *shards)
{
    for (int i = 0; i <= shards->peer_count; i++)
        clear_stored(&shards->shard[i]);
    if (!shards->is_leader)
        start_new_incarnation(shards);
}

void pm_shards_caught_up(struct pm_shards *shards)
{
    if (!shards->is_leader && shards->is_owner)
        pm_shards_apply_owned_jobs(shards);
    if (shards->is_leader)
        pm_shards_reclaim_revoked(shards);
}
