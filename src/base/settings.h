/* The platform's settings (TOML, the deploy file's form) and the operators' own (YAML).
 *
 * Both are read once, at start, before other threads exist, and never change afterwards: every
 * slice may keep a pointer to them. Names of fields in the files are those of the pages; they stand
 * in settings.c and operator_settings.c alone. */
#ifndef PM_BASE_SETTINGS_H
#define PM_BASE_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>

enum {
    PM_NAME_MAX = 128,
    PM_PEERS_MAX = 64,
    PM_TEAMS_MAX = 1024,
    PM_ZONES_MAX = 32, /* as many as there are bits in a set of zones */
    PM_OBJECTIVES_MAX = 1024
};

/* A team without a limit of that kind has this. */
#define PM_NO_MAXIMUM 1e12

/* Another controller. */
struct pm_peer_setting {
    char name[PM_NAME_MAX];
    char zone[PM_NAME_MAX];
    char addr[64];
};

/* A team's guarantee and limit, in processors and accelerators. */
struct pm_team_setting {
    char name[PM_NAME_MAX];
    double cpus, gpus;         /* guaranteed; 0: nothing */
    double cpus_max, gpus_max; /* PM_NO_MAXIMUM: there is no limit */
};

/* A service-level objective for a class of jobs. */
struct pm_objective_setting {
    char kind[32];
    char class_name[PM_NAME_MAX];
    double within_s, share, times;
};

struct pm_settings {
    char name[PM_NAME_MAX];
    char zone[PM_NAME_MAX];
    char listen_addr[64], peer_listen_addr[64];
    int peer_count;
    struct pm_peer_setting peers[PM_PEERS_MAX];
    char cloud_addr[64], store_addr[64];
    int cluster_size;
    int zone_count;
    char zone_names[PM_ZONES_MAX][PM_NAME_MAX];
    int team_count;
    struct pm_team_setting teams[PM_TEAMS_MAX];
    int objective_count;
    struct pm_objective_setting objectives[PM_OBJECTIVES_MAX];
    double heartbeat_s, lease_s, gang_wait_s, gang_peer_s, cancel_deadline_s;
    /* The limits of the state service that are kept to: the smaller of those in force and those
     * that `state.next` tells to come without notice. */
    double store_rps, store_write_rps, store_value_kb;
    int store_txn_ops;
    double store_value_kb_initial; /* in force as the process starts */
    double cloud_rps, inventory_lag_s;
    double cores, memory_mb;
    int sockets;
};

/* How links are judged, and what follows (docs/operators/links.md). */
struct pm_links_setting {
    bool observe;        /* judge links, and tell the other controllers */
    bool decide;         /* let leadership and admission follow from it */
    double probe_s;      /* a link without traffic is probed so often */
    double down_s;       /* failing for this long, a link is down */
    double recover_s;    /* one that was down has to work for this long */
    double half_life_s;  /* of the penalty for changing */
    double expire_s;     /* a controller's view counts for this long */
    char trace_dir[256]; /* where traces are written; "": none are */
    unsigned trace_mb;   /* how much of them is kept */
};

/* Singleton roles (docs/operators/roles.md). */
struct pm_roles_setting {
    bool enabled;              /* rent and return under a lease, a token and durable intents */
    double ttl_s;              /* of the lease */
    double gc_after_s;         /* a stored key of no use goes after this long without a change */
    char audit_log_dir[256];   /* where the record of actions is kept; "": nowhere */
    double audit_log_period_s; /* one file for each such period */
    unsigned audit_log_mb;     /* how much of it is kept */
};

/* The operators' settings; every value has a default (see docs/operations.md). */
struct pm_operator_settings {
    double window_h;      /* span over which a team's occupied time is summed */
    double min_runtime_s; /* default protection of a charged task */
    double leader_ttl_s;  /* lease of the leader's key at the state service */
    double confirm_s;     /* how old a confirmation of the epoch may be */
    unsigned admit_min;   /* bounds of the limit on users' requests in progress */
    unsigned admit_max;
    double idle_return_s; /* an idle machine is returned after this long */
    double replica_due_s; /* a service's replica that runs within this is not missed yet */
    double backlog_s;     /* array work that is late anyway is worked off within this */
    double warm_share;    /* spare room kept for services, as a share of what they use */
    struct pm_links_setting links;
    struct pm_roles_setting roles;
};

/* Reads the platform's settings. False when the file can't be read, or a field is missing or wrong;
 * `err` then names the first such field with its path. */
bool pm_settings_load(struct pm_settings *out, const char *path, char *err, size_t err_size);
/* The index in `peers` of the controller of that name, -1: there is none. */
int pm_settings_find_peer(const struct pm_settings *settings, const char *name);
/* The index in `zone_names` of the zone of that name, -1: there is none. */
int pm_settings_find_zone(const struct pm_settings *settings, const char *name);
/* The settings of a controller that is given no operators' file. */
void pm_operator_settings_defaults(struct pm_operator_settings *out);
/* Reads the operators' settings over the defaults. False when the file can't be read, has an
 * unknown key, or a value outside its range; `err` then names it. */
bool pm_operator_settings_load(struct pm_operator_settings *out, const char *path, char *err,
                               size_t err_size);

#endif
