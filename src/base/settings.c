#include "base/settings.h"
#include "base/toml.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct reader {
    struct pm_toml *doc;
    char *err;
    size_t err_size;
    int failed;
};

static void fail(struct reader *r, const char *field, const char *what)
{
    if (!r->failed)
        snprintf(r->err, r->err_size, "%s: %s", field, what);
    r->failed = 1;
}

static void want_text(struct reader *r, const char *field, char *out, size_t size)
{
    if (pm_toml_text(r->doc, field, out, size) || !out[0])
        fail(r, field, "missing or not a text of fitting length");
}

static void want_addr(struct reader *r, const char *field, char *out, size_t size)
{
    const char *colon;
    char *end;
    long port;

    want_text(r, field, out, size);
    if (r->failed)
        return;
    colon = strrchr(out, ':');
    port = colon ? strtol(colon + 1, &end, 10) : 0;
    if (!colon || *end || port < 1 || port > 65535)
        fail(r, field, "not an address of the form IP:PORT");
}

static double want_number(struct reader *r, const char *field, double least, double most)
{
    double value = 0;

    if (pm_toml_number(r->doc, field, &value))
        fail(r, field, "missing or not a number");
    else if (!isfinite(value) || value < least || value > most)
        fail(r, field, "outside its range");
    return value;
}

static int want_count(struct reader *r, const char *field, int least, int most)
{
    int n = pm_toml_count(r->doc, field);

    if (n < 0 && least > 0)
        fail(r, field, "missing or not a list");
    else if (n > most || (n >= 0 && n < least))
        fail(r, field, "too many or too few entries");
    return r->failed || n < 0 ? 0 : n;
}

/* The path of a field of a list's entry; short-lived, one thread reads settings. */
static const char *at(const char *list, int i, const char *field)
{
    static char path[160];

    snprintf(path, sizeof path, "%s[%d]%s%s", list, i, *field ? "." : "", field);
    return path;
}

/* A limit, and the one to come, if the file tells of one. */
static double want_limit(struct reader *r, const char *name, double least, double most)
{
    char field[64];
    char next[64];
    double limit;

    snprintf(field, sizeof field, "settings.state.%s", name);
    snprintf(next, sizeof next, "settings.state.next.%s", name);
    limit = want_number(r, field, least, most);
    return pm_toml_has(r->doc, next) ? fmin(limit, want_number(r, next, least, most)) : limit;
}

static void read_teams(struct reader *r, struct pm_settings *out)
{
    out->team_count = want_count(r, "settings.teams", 1, PM_TEAMS_MAX);
    for (int i = 0; i < out->team_count; i++) {
        struct pm_team_setting *team = &out->teams[i];
        want_text(r, at("settings.teams", i, "name"), team->name, sizeof team->name);
        team->cpus = want_number(r, at("settings.teams", i, "cpus"), 0, 1e9);
        team->cpus_max = want_number(r, at("settings.teams", i, "cpus_max"), 0, 1e9);
        team->gpus = want_number(r, at("settings.teams", i, "gpus"), 0, 1e9);
        team->gpus_max = want_number(r, at("settings.teams", i, "gpus_max"), 0, 1e9);
        /* A maximum of 0 means that there is none. */
        if (team->cpus_max <= 0)
            team->cpus_max = 1e12;
        if (team->gpus_max <= 0)
            team->gpus_max = 1e12;
    }
}

static void read_aims(struct reader *r, struct pm_settings *out)
{
    out->objective_count = want_count(r, "settings.objectives", 0, PM_OBJECTIVES_MAX);
    for (int i = 0; i < out->objective_count; i++) {
        struct pm_objective_setting *aim = &out->objectives[i];
        /* Kinds not known here may come in any form: that keeps nothing from starting. */
        if (pm_toml_text(r->doc, at("settings.objectives", i, "kind"), aim->kind, sizeof aim->kind))
            aim->kind[0] = 0;
        pm_toml_text(r->doc, at("settings.objectives", i, "class"), aim->class_name,
                     sizeof aim->class_name);
        pm_toml_number(r->doc, at("settings.objectives", i, "within_s"), &aim->within_s);
        pm_toml_number(r->doc, at("settings.objectives", i, "share"), &aim->share);
        pm_toml_number(r->doc, at("settings.objectives", i, "times"), &aim->times);
    }
}

int pm_settings_load(struct pm_settings *out, const char *path, char *err, size_t err_size)
{
    struct reader reader = {.err = err, .err_size = err_size};
    struct reader *r = &reader;

    memset(out, 0, sizeof *out);
    r->doc = pm_toml_load(path, err, err_size);
    if (!r->doc)
        return -1;
    want_text(r, "host_name", out->name, sizeof out->name);
    want_text(r, "domain", out->zone, sizeof out->zone);
    want_addr(r, "serve_on", out->listen_addr, sizeof out->listen_addr);
    want_addr(r, "back", out->peer_listen_addr, sizeof out->peer_listen_addr);
    out->peer_count = want_count(r, "peers", 0, PM_PEERS_MAX);
    for (int i = 0; i < out->peer_count; i++) {
        struct pm_peer_setting *peer = &out->peers[i];
        want_text(r, at("peers", i, "host_name"), peer->name, sizeof peer->name);
        want_text(r, at("peers", i, "domain"), peer->zone, sizeof peer->zone);
        want_addr(r, at("peers", i, "peer_addr"), peer->addr, sizeof peer->addr);
    }
    want_addr(r, "outside.cloud", out->cloud_addr, sizeof out->cloud_addr);
    want_addr(r, "outside.state", out->store_addr, sizeof out->store_addr);
    out->cluster_size = (int)want_number(r, "settings.size", 1, 64);
    out->zone_count = want_count(r, "settings.zones", 1, PM_ZONES_MAX);
    for (int i = 0; i < out->zone_count; i++)
        want_text(r, at("settings.zones", i, ""), out->zone_names[i], PM_NAME_MAX);
    read_teams(r, out);
    read_aims(r, out);
    out->heartbeat_s = want_number(r, "settings.workers.report_s", 0.01, 1e5);
    out->lease_s = want_number(r, "settings.workers.lease_s", 0.1, 1e6);
    out->gang_wait_s = want_number(r, "settings.workers.gang_wait_s", 0, 1e6);
    out->gang_peer_s = want_number(r, "settings.workers.gang_peer_s", 0, 1e6);
    out->cancel_deadline_s = want_number(r, "settings.workers.cancel_s", 0, 1e6);
    out->store_rps = want_limit(r, "rps", 1, 1e9);
    out->store_write_rps = want_limit(r, "write_rps", 1, 1e9);
    out->store_value_kb = want_limit(r, "value_kb", 1, 1e6);
    out->store_value_kb_initial = want_number(r, "settings.state.value_kb", 1, 1e6);
    /* Taking the lead is one transaction of three changes. */
    out->store_txn_ops = (int)want_limit(r, "txn_ops", 3, 1e6);
    out->cloud_rps = want_number(r, "settings.cloud.rps", 0.01, 1e9);
    out->inventory_lag_s = want_number(r, "settings.cloud.list_lag_s", 0, 1e6);
    out->cores = want_number(r, "settings.quota.cores", 0.001, 1e6);
    out->memory_mb = want_number(r, "settings.quota.mem_mb", 1, 1e9);
    out->sockets = (int)want_number(r, "settings.quota.sockets", 16, 1e9);
    pm_toml_free(r->doc);
    return r->failed ? -1 : 0;
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
