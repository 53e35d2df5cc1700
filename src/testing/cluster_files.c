/* The controllers' settings files, in a temporary directory that is removed with the cluster. */
#include "testing/cluster_internal.h"

#include <glib/gstdio.h>
#include <stdio.h>

static void append_identity(const struct cluster *cluster, int controller, GString *text)
{
    const struct cluster_node *node = &cluster->nodes[controller];

    g_string_append_printf(text,
                           "host_name = \"%s\"\ndomain = \"zone-%d\"\nserve_on = \"%s\"\n"
                           "back = \"%s\"\n",
                           node->name, controller % cluster->settings.zone_count, node->worker_addr,
                           node->peer_addr);
}

static void append_peers(const struct cluster *cluster, int controller, GString *text)
{
    for (int i = 0; i < cluster->settings.controller_count; i++) {
        const struct cluster_node *peer = &cluster->nodes[i];
        if (i == controller)
            continue;
        g_string_append_printf(
            text, "[[peers]]\nhost_name = \"%s\"\ndomain = \"zone-%d\"\npeer_addr = \"%s\"\n",
            peer->name, i % cluster->settings.zone_count, relay_addr(peer->peer_relay));
    }
}

static void append_zones(const struct cluster *cluster, GString *text)
{
    g_string_append(text, "zones = [");
    for (int i = 0; i < cluster->settings.zone_count; i++)
        g_string_append_printf(text, "%s\"zone-%d\"", i ? ", " : "", i);
    g_string_append(text, "]\n");
}

static void append_shared_settings(const struct cluster *cluster, GString *text)
{
    g_string_append_printf(text,
                           "[outside]\ncloud = \"%s\"\nstate = \"%s\"\n"
                           "[settings]\nsize = %d\ntime_bound_ms = 5.0\n",
                           fake_provider_addr(cluster->provider), relay_addr(cluster->store_relay),
                           cluster->settings.controller_count);
    append_zones(cluster, text);
    g_string_append_printf(
        text,
        "[[settings.objectives]]\nkind = \"wait\"\nclass = \"batch\"\nwithin_s = 2.0\n"
        "share = 0.9\n"
        "[settings.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = %g\n"
        "gang_peer_s = %g\ncancel_s = %g\n"
        "[settings.state]\nrps = 1000.0\nwrite_rps = 200.0\nvalue_kb = %g\ntxn_ops = %d\n"
        "[settings.cloud]\nrps = 10.0\nlist_lag_s = 0.5\n"
        "[settings.quota]\ncores = 1.0\nmem_mb = 512.0\nsockets = 900\n",
        CLUSTER_HEARTBEAT_S, cluster->settings.lease_s, CLUSTER_GANG_WAIT_S, CLUSTER_GANG_PEER_S,
        cluster_cancel_limit_s(cluster), cluster->settings.store_value_kb,
        cluster->settings.store_txn_ops);
}

static void append_teams(const struct cluster *cluster, GString *text)
{
    for (int i = 0; i < cluster->settings.team_count; i++) {
        const struct cluster_team *team = &cluster->settings.teams[i];
        g_string_append_printf(text,
                               "[[settings.teams]]\nname = \"%s\"\ncpus = %.1f\n"
                               "cpus_max = %.1f\ngpus = 0.0\ngpus_max = %.1f\n",
                               team->name, team->cpus, team->cpus_max, team->accelerators_max);
    }
}

static void write_settings(struct cluster *cluster, int controller)
{
    struct cluster_node *node = &cluster->nodes[controller];
    GString *text = g_string_new(NULL);
    char path[CLUSTER_PATH_SIZE];

    append_identity(cluster, controller, text);
    append_peers(cluster, controller, text);
    append_shared_settings(cluster, text);
    append_teams(cluster, text);
    snprintf(path, sizeof path, "%s/%s.toml", cluster->directory, node->name);
    g_strlcpy(node->settings_path, path, sizeof node->settings_path);
    g_file_set_contents(node->settings_path, text->str, (gssize)text->len, NULL);
    g_string_free(text, TRUE);
}

void cluster_write_files(struct cluster *cluster)
{
    g_strlcpy(cluster->directory, "/tmp/pumicemount-cluster-XXXXXX", sizeof cluster->directory);
    if (!g_mkdtemp(cluster->directory))
        g_error("cannot create a directory for the controllers' settings files");
    snprintf(cluster->operator_path, sizeof cluster->operator_path, "%s/operators.yaml",
             cluster->directory);
    if (cluster->settings.operator_yaml)
        g_file_set_contents(cluster->operator_path, cluster->settings.operator_yaml, -1, NULL);
    for (int i = 0; i < cluster->settings.controller_count; i++)
        write_settings(cluster, i);
}

void cluster_remove_files(struct cluster *cluster)
{
    for (int i = 0; i < cluster->settings.controller_count; i++)
        g_unlink(cluster->nodes[i].settings_path);
    g_unlink(cluster->operator_path);
    g_rmdir(cluster->directory);
}
