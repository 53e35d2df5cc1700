/* The platform's settings, read from TOML. */
#include "base/settings.h"
#include "base/toml.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    CLUSTER_SIZE_MAX = 64,
    CAMPAIGN_TXN_OPS = 3 /* operations in the transaction that wins an election */
};

/* The document, and where the error of its first invalid field is written. */
struct reader {
    struct pm_toml *doc;
    char *err;
    size_t err_size;
    bool has_failed;
};

static void set_error(struct reader *reader, const char *field, const char *problem)
{
    if (!reader->has_failed)
        snprintf(reader->err, reader->err_size, "%s: %s", field, problem);
    reader->has_failed = true;
}

static void require_text(struct reader *reader, const char *field, char *out, size_t size)
{
    if (!pm_toml_text(reader->doc, field, out, size) || !out[0])
        set_error(reader, field, "missing, empty, too long, or not a string");
}

static void require_addr(struct reader *reader, const char *field, char *out, size_t size)
{
    const char *colon;
    char *end;
    long port;

    require_text(reader, field, out, size);
    if (reader->has_failed)
        return;
    colon = strrchr(out, ':');
    port = colon ? strtol(colon + 1, &end, 10) : 0;
    if (!colon || *end || port < 1 || port > 65535)
        set_error(reader, field, "not an address of the form IP:PORT");
}

static double require_number(struct reader *reader, const char *field, double minimum,
                             double maximum)
{
    double value = 0;

    if (!pm_toml_number(reader->doc, field, &value))
        set_error(reader, field, "missing or not a number");
    else if (!isfinite(value) || value < minimum || value > maximum)
        set_error(reader, field, "outside the allowed range");
    return value;
}

static int require_count(struct reader *reader, const char *field, int minimum, int maximum)
{
    int count = pm_toml_count(reader->doc, field);

    if (count < 0 && minimum > 0)
        set_error(reader, field, "missing or not a list");
    else if (count > maximum || (count >= 0 && count < minimum))
        set_error(reader, field, "too many or too few entries in the list");
    return reader->has_failed || count < 0 ? 0 : count;
}

/* Returns the path of a field of a list's entry, or of the entry itself if `field` is empty. The
 * path is valid until the next call: one thread reads the settings, before others start. */
static const char *entry_path(const char *list, int index, const char *field)
{
    static char path[160];

    snprintf(path, sizeof path, "%s[%d]%s%s", list, index, *field ? "." : "", field);
    return path;
}

/* Returns a limit of the state service: the current limit, or the upcoming one in `state.next` if
 * the file has it and it is lower. */
static double require_limit(struct reader *reader, const char *name, double minimum, double maximum)
{
    char field[64];
    char next[64];
    double limit;

    snprintf(field, sizeof field, "settings.state.%s", name);
    snprintf(next, sizeof next, "settings.state.next.%s", name);
    limit = require_number(reader, field, minimum, maximum);
    return pm_toml_has(reader->doc, next)
               ? fmin(limit, require_number(reader, next, minimum, maximum))
               : limit;
}

/* Reads a maximum. In the file, 0 means that there is none. */
static double read_maximum(struct reader *reader, const char *field)
{
    double maximum = require_number(reader, field, 0, 1e9);

    return maximum > 0 ? maximum : PM_NO_MAXIMUM;
}

static void read_teams(struct reader *reader, struct pm_settings *out)
{
    out->team_count = require_count(reader, "settings.teams", 1, PM_TEAMS_MAX);
    for (int i = 0; i < out->team_count; i++) {
        struct pm_team_setting *team = &out->teams[i];
        require_text(reader, entry_path("settings.teams", i, "name"), team->name,
                     sizeof team->name);
        team->cpus = require_number(reader, entry_path("settings.teams", i, "cpus"), 0, 1e9);
        team->cpus_max = read_maximum(reader, entry_path("settings.teams", i, "cpus_max"));
        team->gpus = require_number(reader, entry_path("settings.teams", i, "gpus"), 0, 1e9);
        team->gpus_max = read_maximum(reader, entry_path("settings.teams", i, "gpus_max"));
    }
}

/* Any field may be missing or of another type, because objectives of a kind that this program does
 * not know may have other fields. */
static void read_objective(const struct pm_toml *doc, int index, struct pm_objective_setting *out)
{
    static const char list[] = "settings.objectives";

    if (!pm_toml_text(doc, entry_path(list, index, "kind"), out->kind, sizeof out->kind))
        out->kind[0] = 0;
    pm_toml_text(doc, entry_path(list, index, "class"), out->class_name, sizeof out->class_name);
    pm_toml_number(doc, entry_path(list, index, "within_s"), &out->within_s);
    pm_toml_number(doc, entry_path(list, index, "share"), &out->share);
    pm_toml_number(doc, entry_path(list, index, "times"), &out->times);
}

static void read_objectives(struct reader *reader, struct pm_settings *out)
{
    out->objective_count = require_count(reader, "settings.objectives", 0, PM_OBJECTIVES_MAX);
    for (int i = 0; i < out->objective_count; i++)
        read_objective(reader->doc, i, &out->objectives[i]);
}

static void read_own_identity(struct reader *reader, struct pm_settings *out)
{
    require_text(reader, "host_name", out->name, sizeof out->name);
    require_text(reader, "domain", out->zone, sizeof out->zone);
    require_addr(reader, "serve_on", out->listen_addr, sizeof out->listen_addr);
    require_addr(reader, "back", out->peer_listen_addr, sizeof out->peer_listen_addr);
}

static void read_peers(struct reader *reader, struct pm_settings *out)
{
    out->peer_count = require_count(reader, "peers", 0, PM_PEERS_MAX);
    for (int i = 0; i < out->peer_count; i++) {
        struct pm_peer_setting *peer = &out->peers[i];
        require_text(reader, entry_path("peers", i, "host_name"), peer->name, sizeof peer->name);
        require_text(reader, entry_path("peers", i, "domain"), peer->zone, sizeof peer->zone);
        require_addr(reader, entry_path("peers", i, "peer_addr"), peer->addr, sizeof peer->addr);
    }
}

static void read_zones(struct reader *reader, struct pm_settings *out)
{
    out->zone_count = require_count(reader, "settings.zones", 1, PM_ZONES_MAX);
    for (int i = 0; i < out->zone_count; i++)
        require_text(reader, entry_path("settings.zones", i, ""), out->zone_names[i], PM_NAME_MAX);
}

static void read_worker_times(struct reader *reader, struct pm_settings *out)
{
    out->heartbeat_s = require_number(reader, "settings.workers.report_s", 0.01, 1e5);
    out->lease_s = require_number(reader, "settings.workers.lease_s", 0.1, 1e6);
    out->gang_wait_s = require_number(reader, "settings.workers.gang_wait_s", 0, 1e6);
    out->gang_peer_s = require_number(reader, "settings.workers.gang_peer_s", 0, 1e6);
    out->cancel_deadline_s = require_number(reader, "settings.workers.cancel_s", 0, 1e6);
}

static void read_store_limits(struct reader *reader, struct pm_settings *out)
{
    out->store_rps = require_limit(reader, "rps", 1, 1e9);
    out->store_write_rps = require_limit(reader, "write_rps", 1, 1e9);
    out->store_value_kb = require_limit(reader, "value_kb", 1, 1e6);
    out->store_value_kb_initial = require_number(reader, "settings.state.value_kb", 1, 1e6);
    out->store_txn_ops = (int)require_limit(reader, "txn_ops", CAMPAIGN_TXN_OPS, 1e6);
}

static void read_process_quota(struct reader *reader, struct pm_settings *out)
{
    out->cores = require_number(reader, "settings.quota.cores", 0.001, 1e6);
    out->memory_mb = require_number(reader, "settings.quota.mem_mb", 1, 1e9);
    out->sockets = (int)require_number(reader, "settings.quota.sockets", 16, 1e9);
}

bool pm_settings_load(struct pm_settings *out, const char *path, char *err, size_t err_size)
{
    struct reader reader = {.err = err, .err_size = err_size};

    memset(out, 0, sizeof *out);
    reader.doc = pm_toml_load(path, err, err_size);
    if (!reader.doc)
        return false;
    /* In the order of the file, because the first invalid field is the one that is reported. */
    read_own_identity(&reader, out);
    read_peers(&reader, out);
    require_addr(&reader, "outside.cloud", out->cloud_addr, sizeof out->cloud_addr);
    require_addr(&reader, "outside.state", out->store_addr, sizeof out->store_addr);
    out->cluster_size = (int)require_number(&reader, "settings.size", 1, CLUSTER_SIZE_MAX);
    read_zones(&reader, out);
    read_teams(&reader, out);
    read_objectives(&reader, out);
    read_worker_times(&reader, out);
    read_store_limits(&reader, out);
    out->cloud_rps = require_number(&reader, "settings.cloud.rps", 0.01, 1e9);
    out->inventory_lag_s = require_number(&reader, "settings.cloud.list_lag_s", 0, 1e6);
    read_process_quota(&reader, out);
    pm_toml_free(reader.doc);
    return !reader.has_failed;
}

int pm_settings_find_peer(const struct pm_settings *settings, const char *name)
{
    for (int i = 0; i < settings->peer_count; i++)
        if (!strcmp(settings->peers[i].name, name))
            return i;
    return -1;
}

int pm_settings_find_zone(const struct pm_settings *settings, const char *name)
{
    for (int i = 0; i < settings->zone_count; i++)
        if (!strcmp(settings->zone_names[i], name))
            return i;
    return -1;
}
