/* Starting, running and stopping a cluster, and observing it through the state service. */
#include "testing/cluster_internal.h"
#include "testing/event_loop.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CONDITION_POLL_S 0.02
#define LEADER_KEY "p/lead"
#define EPOCH_KEY "p/epoch"
#define SHARD_PREFIX "p/b/"

#define DEFAULT_VALUE_KB 16.0

enum { DEFAULT_MAX_MACHINES = 8, DEFAULT_TXN_OPS = 12, ADDR_OCTET_VALUES = 250 };

/* All clusters of this process. They are never freed, because the callbacks of HTTP calls in flight
 * still read a cluster after cluster_free. */
static GPtrArray *all_clusters;

double cluster_cancel_limit_s(const struct cluster *cluster)
{
    return CLUSTER_CANCEL_LEASES * cluster->settings.lease_s;
}

/* ---- observation ---- */

static void on_store_change(void *arg, const char *key, const cbor_item_t *data, uint64_t revision)
{
    struct cluster *cluster = arg;
    char name[64] = "";
    struct pm_fencing_range tokens;
    uint64_t token_count = 1;

    if (cluster->observer)
        cluster->observer(cluster->observer_arg, key, data, revision);
    if (!data)
        return;
    pm_cbor_read_text(pm_cbor_get(data, "leader"), name, sizeof name);
    if (!strcmp(key, EPOCH_KEY) && pm_cbor_read_uint(pm_cbor_get(data, "epoch"), &tokens.last)) {
        pm_cbor_read_uint(pm_cbor_get(data, "tokens"), &token_count);
        tokens.first = tokens.last - token_count + 1;
        history_epoch_advanced(cluster->history, tokens, name);
        g_strlcpy(cluster->leader_name, name, sizeof cluster->leader_name);
    }
    if (g_str_has_prefix(key, SHARD_PREFIX))
        history_shard_assigned(cluster->history, key + strlen(SHARD_PREFIX));
}

void cluster_observe(struct cluster *cluster, fake_store_observer *observer, void *arg)
{
    cluster->observer = observer;
    cluster->observer_arg = arg;
}

int cluster_leader(const struct cluster *cluster)
{
    if (!fake_store_revision(cluster->store, LEADER_KEY))
        return -1;
    for (int i = 0; i < cluster->settings.controller_count; i++)
        if (!strcmp(cluster->nodes[i].name, cluster->leader_name))
            return i;
    return -1;
}

bool cluster_has_leader(struct cluster *cluster)
{
    return cluster_leader(cluster) >= 0;
}

int cluster_first_shard_owner(const struct cluster *cluster)
{
    char key[32];

    for (int i = 0; i < cluster->settings.controller_count; i++) {
        snprintf(key, sizeof key, SHARD_PREFIX "%s", cluster->nodes[i].name);
        if (fake_store_revision(cluster->store, key))
            return i;
    }
    return -1;
}

bool cluster_is_idle(struct cluster *cluster)
{
    return !cluster_open_job_count(cluster) && cluster_leader(cluster) >= 0;
}

/* ---- set-up ---- */

static void apply_defaults(struct cluster_settings *settings)
{
    if (!settings->teams) {
        settings->teams = cluster_default_team();
        settings->team_count = 1;
    }
    if (!settings->max_machines)
        settings->max_machines = DEFAULT_MAX_MACHINES;
    if (!settings->zone_count)
        settings->zone_count = CLUSTER_ZONES;
    if (settings->store_value_kb <= 0)
        settings->store_value_kb = DEFAULT_VALUE_KB;
    if (!settings->store_txn_ops)
        settings->store_txn_ops = DEFAULT_TXN_OPS;
    if (settings->lease_s <= 0)
        settings->lease_s = CLUSTER_LEASE_S;
}

static void start_history(struct cluster *cluster)
{
    cluster->history = history_new(cluster_cancel_limit_s(cluster));
    for (int i = 0; i < cluster->settings.team_count; i++) {
        const struct cluster_team *team = &cluster->settings.teams[i];
        history_add_team(cluster->history, team->name, team->cpus_max, team->accelerators_max);
    }
}

/* A relay that forwards the connections of all controllers to one address. */
static struct relay *start_relay(const struct cluster *cluster, const char *addr)
{
    const char *targets[RELAY_CONTROLLERS_MAX];

    for (int i = 0; i < RELAY_CONTROLLERS_MAX; i++)
        targets[i] = addr;
    return relay_new(cluster->loop, targets, &cluster->controllers);
}

static void start_store(struct cluster *cluster)
{
    cluster->store = fake_store_new(cluster->loop);
    fake_store_expire_leases(cluster->store);
    fake_store_observe(cluster->store, on_store_change, cluster);
    cluster->store_relay = start_relay(cluster, fake_store_addr(cluster->store));
}

/* Writes an address that no workers or users of another cluster have called. The kernel reuses a
 * port soon after it is closed, and may name the same free port twice, so each address has a
 * loopback IP address of its own. */
static void choose_address(char *out)
{
    static unsigned address_count;
    unsigned process = (unsigned)getpid();

    snprintf(out, CLUSTER_ADDR_SIZE, "127.%u.%u.%u:%d", 1 + process % ADDR_OCTET_VALUES,
             process / ADDR_OCTET_VALUES % ADDR_OCTET_VALUES,
             address_count++ % ADDR_OCTET_VALUES + 1, event_loop_free_port());
}

static void start_nodes(struct cluster *cluster)
{
    for (int i = 0; i < cluster->settings.controller_count; i++) {
        struct cluster_node *node = &cluster->nodes[i];
        snprintf(node->name, sizeof node->name, "node-%d", i);
        choose_address(node->worker_addr);
        choose_address(node->peer_addr);
        node->peer_relay = start_relay(cluster, node->peer_addr);
        cluster->worker_addrs[i] = node->worker_addr;
        cluster->node_names[i] = node->name;
    }
}

static void start_provider(struct cluster *cluster)
{
    const struct fake_provider_settings settings = {
        .controller_count = cluster->settings.controller_count,
        .zone_count = cluster->settings.zone_count,
        .type_count = cluster->settings.type_count,
        .boot_s = cluster->settings.boot_s,
        .boots_together = cluster->settings.boots_together,
        .max_machines = cluster->settings.max_machines,
        .heartbeat_s = CLUSTER_HEARTBEAT_S,
        .lease_s = cluster->settings.lease_s,
        .gang_wait_s = CLUSTER_GANG_WAIT_S,
        .gang_peer_s = CLUSTER_GANG_PEER_S,
        .worker_addrs = cluster->worker_addrs,
        .controller_names = cluster->node_names,
        .controllers = &cluster->controllers,
        .random = cluster->settings.random,
        .copies_pushes = cluster->settings.copies_pushes};

    cluster->provider = fake_provider_new(cluster->loop, &settings, cluster->history);
}

struct cluster *cluster_new(const struct cluster_settings *settings)
{
    struct cluster *cluster = g_new0(struct cluster, 1);

    if (!all_clusters)
        all_clusters = g_ptr_array_new();
    g_ptr_array_add(all_clusters, cluster);
    cluster->settings = *settings;
    apply_defaults(&cluster->settings);
    cluster->controllers.count = settings->controller_count;
    cluster->loop = ev_loop_new(EVFLAG_AUTO);
    start_history(cluster);
    start_store(cluster);
    start_nodes(cluster);
    start_provider(cluster);
    cluster_write_files(cluster);
    cluster_processes_start(cluster);
    cluster_users_start(cluster);
    return cluster;
}

void cluster_free(struct cluster *cluster)
{
    cluster_processes_stop(cluster);
    cluster_remove_files(cluster);
    cluster_users_stop(cluster);
    fake_provider_free(cluster->provider);
    for (int i = 0; i < cluster->settings.controller_count; i++)
        relay_free(cluster->nodes[i].peer_relay);
    relay_free(cluster->store_relay);
}

/* ---- accessors ---- */

const char *cluster_worker_addr(const struct cluster *cluster, int controller)
{
    return cluster->nodes[controller].worker_addr;
}

const char *cluster_peer_addr(const struct cluster *cluster, int controller)
{
    return cluster->nodes[controller].peer_addr;
}

int cluster_zone_count(const struct cluster *cluster)
{
    return cluster->settings.zone_count;
}

struct history *cluster_history(struct cluster *cluster)
{
    return cluster->history;
}

struct fake_store *cluster_store(struct cluster *cluster)
{
    return cluster->store;
}

struct fake_provider *cluster_provider(struct cluster *cluster)
{
    return cluster->provider;
}

struct ev_loop *cluster_loop(struct cluster *cluster)
{
    return cluster->loop;
}

const char *cluster_settings_path(const struct cluster *cluster, int controller)
{
    return cluster->nodes[controller].settings_path;
}

/* ---- running the event loop ---- */

struct wait {
    struct cluster *cluster;
    bool (*is_done)(struct cluster *cluster);
};

static bool is_wait_over(void *arg)
{
    const struct wait *wait = arg;

    return wait->is_done && wait->is_done(wait->cluster);
}

bool cluster_run_until(struct cluster *cluster, bool (*is_done)(struct cluster *), double seconds)
{
    struct wait wait = {cluster, is_done};

    return event_loop_run_for(cluster->loop, is_wait_over, &wait, seconds, CONDITION_POLL_S);
}

void cluster_run(struct cluster *cluster, double seconds)
{
    event_loop_run_for(cluster->loop, NULL, NULL, seconds, CONDITION_POLL_S);
}
