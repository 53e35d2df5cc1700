#include "shards/internal.h"
#include "base/clock.h"
#include "base/log.h"

#include <stdio.h>
#include <string.h>

static struct block *by_key(struct pm_shards *b, const char *key)
{
    for (int i = 0; i < b->n; i++)
        if (!strcmp(b->block[i].key, key))
            return &b->block[i];
    return NULL;
}

struct pm_shards *pm_shards_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                struct pm_workers *workers, struct pm_scheduler *plan,
                                struct pm_store *store, struct pm_http_client *http,
                                struct pm_election *lead, const struct pm_shards_hooks *hooks)
{
    struct pm_shards *b = g_new0(struct pm_shards, 1);

    b->tables = tables;
    b->jobs = jobs;
    b->workers = workers;
    b->plan = plan;
    b->store = store;
    b->http = http;
    b->lead = lead;
    b->hooks = *hooks;
    g_strlcpy(b->boot, pm_election_incarnation_id(lead), sizeof b->boot);
    b->n = tables->settings->peer_count + 1;
    for (int i = 0; i < b->n; i++) {
        struct block *k = &b->block[i];
        k->name = i < b->n - 1 ? tables->settings->peers[i].name : tables->settings->name;
        snprintf(k->key, sizeof k->key, "p/b/%s", k->name);
        k->machines = g_array_new(FALSE, FALSE, sizeof(int));
        k->jobs = g_array_new(FALSE, FALSE, sizeof(struct seen_job));
        k->entries = g_array_new(FALSE, FALSE, sizeof(struct entry));
        k->given = g_ptr_array_new();
    }
    return b;
}

void pm_shards_free(struct pm_shards *b)
{
    for (int i = 0; i < b->n; i++) {
        g_array_free(b->block[i].machines, TRUE);
        g_array_free(b->block[i].jobs, TRUE);
        g_array_free(b->block[i].entries, TRUE);
        g_ptr_array_free(b->block[i].given, TRUE);
    }
    g_free(b);
}

const char *pm_shards_owner_of(const struct pm_shards *b, const char *machine)
{
    int index = pm_names_find(b->tables->machine_names, machine);

    for (int i = 0; index >= 0 && i < b->n; i++)
        for (guint j = 0; j < b->block[i].machines->len; j++)
            if (g_array_index(b->block[i].machines, int, j) == index)
                return b->block[i].name;
    return NULL;
}

/* ---- feed ---- */

void pm_shards_apply_put(struct pm_shards *b, const char *key, const cbor_item_t *value,
                         uint64_t revision)
{
    struct block *k = by_key(b, key);
    cbor_item_t *hosts = pm_cbor_get(value, "hosts");
    cbor_item_t *jobs = pm_cbor_get(value, "jobs");
    char name[PM_NAME_MAX];
    uint64_t width;

    if (!k || revision <= k->revision)
        return;
    k->revision = revision;
    k->boot_seen[0] = 0;
    pm_cbor_read_text(pm_cbor_get(value, "boot"), k->boot_seen, sizeof k->boot_seen);
    pm_cbor_read_count(pm_cbor_get(value, "serial"), &k->serial_seen);
    g_array_set_size(k->machines, 0);
    for (size_t i = 0; i < pm_cbor_length(hosts); i++) {
        if (!pm_cbor_read_text(pm_cbor_get(pm_cbor_at(hosts, i), "host"), name, sizeof name))
            continue;
        g_array_append_vals(k->machines, (int[]){pm_names_intern(b->tables->machine_names, name)},
                            1);
    }
    g_array_set_size(k->jobs, 0);
    for (size_t i = 0; i < pm_cbor_length(jobs); i++) {
        const cbor_item_t *job = pm_cbor_at(jobs, i);
        struct seen_job seen = {0};
        if (!pm_cbor_read_text(pm_cbor_get(job, "id"), seen.id, sizeof seen.id) ||
            !pm_cbor_read_count(pm_cbor_get(job, "width"), &width))
            continue;
        seen.parallelism = (uint32_t)width;
        g_array_append_val(k->jobs, seen);
    }
    if (k != pm_shards_own(b) || b->leading)
        return;
    /* A block that was leased to a predecessor of this process, or of its working state, is not
     * ours to use: what that one had under way is unknown. The leader sees the new boot name and
     * takes the block back. */
    if (!strcmp(k->boot_seen, b->boot))
        pm_shards_join(b, value, pm_clock_monotonic());
    else
        pm_shards_leave_all(b);
}

void pm_shards_apply_delete(struct pm_shards *b, const char *key, uint64_t revision)
{
    struct block *k = by_key(b, key);

    if (!k || revision < k->revision)
        return;
    k->revision = 0;
    if (revision >= k->wrote)
        k->wrote = 0;
    g_array_set_size(k->machines, 0);
    g_array_set_size(k->jobs, 0);
    if (k == pm_shards_own(b) && !b->leading)
        pm_shards_leave_all(b);
    if (b->leading && k->losing)
        k->lost = true;
}

/* What this holder placed, and which commands it has under way, is forgotten: it is another holder
 * from now on, and a block that was leased to it before comes back to the leader. */
static void forget_working_state(struct pm_shards *b)
{
    if (!b->mine_granted)
        return;
    snprintf(b->boot, sizeof b->boot, "%08x%08x", g_random_int(), g_random_int());
    pm_info("shard.forgotten", "the state is read anew: the block is given up");
    pm_shards_leave_all(b);
}

void pm_shards_snapshot_begin(struct pm_shards *b)
{
    for (int i = 0; i < b->n; i++) {
        b->block[i].revision = 0;
        g_array_set_size(b->block[i].machines, 0);
        g_array_set_size(b->block[i].jobs, 0);
    }
    if (!b->leading)
        forget_working_state(b);
}

/* ---- leader: adopting, losing ---- */

static void forget_block(struct block *k)
{
    g_array_set_size(k->entries, 0);
    g_ptr_array_set_size(k->given, 0);
    k->dirty = k->in_flight = k->losing = k->lost = false;
    k->unsure = 0;
    k->written = k->losing_at = 0;
    k->wrote = 0;
}

void pm_shards_adopt(struct pm_shards *b, double now)
{
    b->leading = true;
    b->mine_granted = false;
    b->round++;
    for (int i = 0; i < b->n - 1; i++) {
        struct block *k = &b->block[i];
        forget_block(k);
        k->asking = false;
        k->alive = now; /* has its time to answer, as any holder */
        k->asked = 0;
        k->serial = k->serial_seen;
        g_strlcpy(k->boot, k->boot_seen, sizeof k->boot);
        for (guint j = 0; j < k->machines->len; j++) {
            struct entry entry = {.machine = g_array_index(k->machines, int, j), .state = HELD};
            struct pm_machine *m =
                pm_workers_add(b->workers, pm_names_text(b->tables->machine_names, entry.machine));
            m->shard.owner = i + 1;
            m->state = PM_MACHINE_UP;
            m->heartbeat.last_message_at = now;
            g_array_append_val(k->entries, entry);
        }
        if (k->revision)
            pm_info("shard.adopted", "%s as of revision %llu: %u machines, %u jobs", k->name,
                    (unsigned long long)k->revision, k->machines->len, k->jobs->len);
        for (guint j = 0; j < k->jobs->len; j++) {
            struct seen_job *seen = &g_array_index(k->jobs, struct seen_job, j);
            struct pm_job *job = pm_jobs_find(b->jobs, seen->id);
            if (!job || !job->spec)
                continue;
            pm_debug("shard.adopted", "%s at %s, %u at once", job->id, k->name, seen->parallelism);
            job->delegated = true;
            job->parallelism = seen->parallelism;
            g_ptr_array_add(k->given, job);
        }
    }
}

void pm_shards_step_down(struct pm_shards *b)
{
    b->leading = false;
    b->round++;
    for (int i = 0; i < b->n; i++)
        forget_block(&b->block[i]);
}

/* Whether the key of a block that is being taken back is gone by what the replica has read. A
 * listing tells of no drop: it does not have the key. */
static bool is_dropped(const struct pm_shards *b, const struct block *k)
{
    return k->losing && !k->revision && pm_store_revision(b->store) >= k->wrote;
}

void pm_shards_caught_up(struct pm_shards *b)
{
    if (!b->leading && b->mine_granted)
        pm_shards_join_jobs(b);
    for (int i = 0; b->leading && i < b->n - 1; i++) {
        struct block *k = &b->block[i];
        GPtrArray *given;
        if (!k->lost && !is_dropped(b, k))
            continue;
        /* The holder's last writes are all in the replica: its jobs are found again from it. */
        for (guint j = 0; j < k->entries->len; j++) {
            struct pm_machine *m =
                pm_workers_at(b->workers, g_array_index(k->entries, struct entry, j).machine);
            if (!m)
                continue;
            m->shard.owner = 0;
            m->heartbeat.is_known = false;
            m->heartbeat.last_message_at = pm_clock_monotonic();
            m->lease.lower_bound = 0; /* until a majority knows the raised epoch */
            m->lease.reclaimed_epoch = pm_election_epoch(b->lead);
        }
        given = k->given;
        k->given = g_ptr_array_new();
        forget_block(k);
        for (guint j = 0; j < given->len; j++) {
            struct pm_job *job = g_ptr_array_index(given, j);
            job->delegated = false;
            job->parallelism = UINT32_MAX;
            b->hooks.job_returned(b->hooks.arg, job);
        }
        g_ptr_array_free(given, TRUE);
        b->hooks.changed(b->hooks.arg);
    }
}
