/* The platform's settings, read from TOML. */
#include "base/settings.h"
#include "base/toml.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    CLUSTER_SIZE_MAX = 64,
    CAMPAIGN_OPS = 3 /* changes in the transaction that wins an election */
};

/* Reads fields one after the other, and keeps the first that is at fault. */
struct reader {
    struct pm_toml *doc;
    char *err;
    size_t err_size;
    bool has_failed;
};

static void note_error(struct reader *reader, const char *field, const char *what)
{
    if (!reader->has_failed)
        snprintf(reader->err, reader->err_size, "%s: %s", field, what);
    reader->has_failed = true;
}

static void require_text(struct reader *reader, const char *field, char *out, size_t size)
{
    if (!pm_toml_text(reader->doc, field, out, size) || !out[0])
        note_error(reader, field, "missing or not a text of fitting length");
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
        note_error(reader, field, "not an address of the form IP:PORT");
}

static double require_number(struct reader *reader, const char *field, double least, double most)
{
    double value = 0;

    if (!pm_toml_number(reader->doc, field, &value))
        note_error(reader, field, "missing or not a number");
    else if (!isfinite(value) || value < least || value > most)
        note_error(reader, field, "outside its range");
    return value;
}

static int require_count(struct reader *reader, const char *field, int least, int most)
{
    int count = pm_toml_count(reader->doc, field);

    if (count < 0 && least > 0)
        note_error(reader, field, "missing or not a list");
    else if (count > most || (count >= 0 && count < least))
        note_error(reader, field, "too many or too few entries");
    return reader->has_failed || count < 0 ? 0 : count;
}

/* The path of a field of a list's entry. Valid until the next call: settings are read by one
 * thread, before others start. */
static const char *path_of(const char *list, int index, const char *field)
{
    static char path[160];

    snprintf(path, sizeof path, "%s[%d]%s%s", list, index, *field ? "." : "", field);
    return path;
}

/* A limit, and the one to come, if the file tells of one. */
static double require_limit(struct reader *reader, const char *name, double least, double most)
{
    char field[64];
    char next[64];
    double limit;

    snprintf(field, sizeof field, "settings.state.%s", name);
    snprintf(next, sizeof next, "settings.state.next.%s", name);
    limit = require_number(reader, field, least, most);
    return pm_toml_has(reader->doc, next) ? fmin(limit, require_number(reader, next, least, most))
                                          : limit;
}

/* The file's 0 means that there is no maximum. */
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
        require_text(reader, path_of("settings.teams", i, "name"), team->name, sizeof team->name);
        team->cpus = require_number(reader, path_of("settings.teams", i, "cpus"), 0, 1e9);
        team->cpus_max = read_maximum(reader, path_of("settings.teams", i, "cpus_max"));
        team->gpus = require_number(reader, path_of("settings.teams", i, "gpus"), 0, 1e9);
        team->gpus_max = read_maximum(reader, path_of("settings.teams", i, "gpus_max"));
    }
}

/* A field that may be missing, or of another type: kinds of objectives that are not known here may
 * come in any form. */
static void read_objective(const struct pm_toml *doc, int index, struct pm_objective_setting *out)
{
    static const char list[] = "settings.objectives";

    if (!pm_toml_text(doc, path_of(list, index, "kind"), out->kind, sizeof out->kind))
        out->kind[0] = 0;
    pm_toml_text(doc, path_of(list, index, "class"), out->class_name, sizeof out->class_name);
    pm_toml_number(doc, path_of(list, index, "within_s"), &out->within_s);
    pm_toml_number(doc, path_of(list, index, "share"), &out->share);
    pm_toml_number(doc, path_of(list, index, "times"), &out->times);
}

static void read_objectives(struct reader *reader, struct pm_settings *out)
{
    out->objective_count = require_count(reader, "settings.objectives", 0, PM_OBJECTIVES_MAX);
    for (int i = 0; i < out->objective_count; i++)
        read_objective(reader->doc, i, &out->objectives[i]);
}

static void read_own_addresses(struct reader *reader, struct pm_settings *out)
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
        require_text(reader, path_of("peers", i, "host_name"), peer->name, sizeof peer->name);
        require_text(reader, path_of("peers", i, "domain"), peer->zone, sizeof peer->zone);
        require_addr(reader, path_of("peers", i, "peer_addr"), peer->addr, sizeof peer->addr);
    }
}

static void read_zones(struct reader *reader, struct pm_settings *out)
{
    out->zone_count = require_count(reader, "settings.zones", 1, PM_ZONES_MAX);
    for (int i = 0; i < out->zone_count; i++)
        require_text(reader, path_of("settings.zones", i, ""), out->zone_names[i], PM_NAME_MAX);
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
    out->store_txn_ops = (int)require_limit(reader, "txn_ops", CAMPAIGN_OPS, 1e6);
}

static void read_own_limits(struct reader *reader, struct pm_settings *out)
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
    /* In the order of the file: the first field at fault is the one that is reported. */
    read_own_addresses(&reader, out);
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
    read_own_limits(&reader, out);
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
