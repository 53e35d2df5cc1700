/* The platform's settings (the deploy file, in TOML) and the operators' settings (YAML).
 *
 * Both are read once, at start, before other threads exist, and never change afterwards, so any
 * code may keep a pointer to them. The keys of the files are those of the platform's and operators'
 * documentation; only settings.c and operator_settings.c use them. */
#ifndef PM_BASE_SETTINGS_H
#define PM_BASE_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>

enum {
    PM_NAME_MAX = 128,
    PM_PEERS_MAX = 64,
    PM_TEAMS_MAX = 1024,
    PM_ZONES_MAX = 32, /* the number of bits in a set of zones */
    PM_OBJECTIVES_MAX = 1024
};

/* The maximum of a team that has no limit. */
#define PM_NO_MAXIMUM 1e12

/* Another controller. */
struct pm_peer_setting {
    char name[PM_NAME_MAX];
    char zone[PM_NAME_MAX];
    char addr[64];
};

/* A team's quota, in processors and accelerators. */
struct pm_team_setting {
    char name[PM_NAME_MAX];
    double cpus, gpus;         /* guaranteed to the team; may be 0 */
    double cpus_max, gpus_max; /* PM_NO_MAXIMUM if there is no limit */
};

/* A service-level objective for a class of jobs. */
struct pm_objective_setting {
    char kind[32];
    char class_name[PM_NAME_MAX];
    /* `within_s` is the time within which jobs of the class must begin (if `kind` is "wait") or end
     * (for other kinds, such as "finished"); 0 if the objective has none. `share` and `times` are
     * read from the file, but not used. */
    double within_s, share, times;
};

struct pm_settings {
    /* This controller. */
    char name[PM_NAME_MAX];
    char zone[PM_NAME_MAX];
    char listen_addr[64], peer_listen_addr[64];
    int peer_count;
    struct pm_peer_setting peers[PM_PEERS_MAX];
    /* The cloud provider and the state service. */
    char cloud_addr[64], store_addr[64];
    int cluster_size; /* number of controllers */
    int zone_count;
    char zone_names[PM_ZONES_MAX][PM_NAME_MAX];
    int team_count;
    struct pm_team_setting teams[PM_TEAMS_MAX];
    int objective_count;
    struct pm_objective_setting objectives[PM_OBJECTIVES_MAX];
    /* `heartbeat_s` and `lease_s` are a worker's heartbeat interval and lease duration. Workers end
     * a gang whose tasks are not all present within `gang_wait_s` of its start, or if one of them
     * is absent for `gang_peer_s` afterwards. A cancelled job must have stopped within
     * `cancel_deadline_s`. */
    double heartbeat_s, lease_s, gang_wait_s, gang_peer_s, cancel_deadline_s;
    /* Limits of the state service. Each is the lower of the current limit and of the upcoming one,
     * which the file may announce in `state.next` and which may take effect without notice. */
    double store_rps, store_write_rps, store_value_kb;
    int store_txn_ops;
    double store_value_kb_initial; /* the limit that is in effect when the process starts */
    /* The limit of requests to the provider per second, and how far the provider's list of machines
     * may be out of date. */
    double cloud_rps, inventory_lag_s;
    /* The quota of this process. */
    double cores, memory_mb;
    int sockets;
};

/* How the state of links is determined and used (docs/operators/links.md). */
struct pm_links_setting {
    bool observe;       /* determine the state of links, and send it to the other controllers */
    bool decide;        /* use it to decide on leadership and admission */
    double probe_s;     /* interval of probes on a link without traffic */
    double down_s;      /* a link that fails for this long is down */
    double recover_s;   /* a link that was down is up after working for this long */
    double half_life_s; /* of the flapping penalty, which decays exponentially */
    double expire_s;    /* a controller's view that is older than this is ignored */
    /* Directory of the traces of changes of state. If empty, none are written. */
    char trace_dir[256];
    unsigned trace_mb; /* older traces are deleted above this total size */
};

/* Singleton roles (docs/operators/roles.md). */
struct pm_roles_setting {
    /* Machines are rented and returned only by the holder of a role's lease, with a fencing token
     * and an intent that is written before the call to the provider. */
    bool enabled;
    double ttl_s;              /* of the lease */
    double gc_after_s;         /* an unused stored key is deleted this long after its last change */
    char audit_log_dir[256];   /* directory of the audit log; if empty, none is written */
    double audit_log_period_s; /* a new file is begun for each period of this length */
    unsigned audit_log_mb;     /* older files are deleted above this total size */
};

/* The operators' settings. Every value has a default (see docs/operations.md). */
struct pm_operator_settings {
    double window_h; /* sliding window over which a team's usage is summed */
    /* How long after its placement a task that is charged to its team can't be preempted by a team
     * with a lower usage ratio. */
    double min_runtime_s;
    double leader_ttl_s; /* lease of the leader's key at the state service */
    double confirm_s;    /* how long a leader may act on one confirmation of its epoch */
    unsigned admit_min;  /* bounds of the limit on concurrent user requests */
    unsigned admit_max;
    double idle_return_s; /* a machine that is idle for this long is returned */
    /* A replica of a service should run within this time after it began to wait. */
    double replica_due_s;
    /* A backlog of array work that has no deadline, or has missed it, should be done within this.
     */
    double backlog_s;
    double warm_share; /* capacity kept free for services, as a fraction of what they use */
    struct pm_links_setting links;
    struct pm_roles_setting roles;
};

/* Reads the platform's settings. Returns false if the file can't be read, or a field is missing or
 * invalid; `err` then names the first such field with its path. */
bool pm_settings_load(struct pm_settings *out, const char *path, char *err, size_t err_size);
/* Returns the index in `peers` of the controller with that name, or -1 if there is none. */
int pm_settings_find_peer(const struct pm_settings *settings, const char *name);
/* Returns the index in `zone_names` of the zone with that name, or -1 if there is none. */
int pm_settings_find_zone(const struct pm_settings *settings, const char *name);
/* Sets the defaults, which apply if a controller is started without an operators' file. */
void pm_operator_settings_defaults(struct pm_operator_settings *out);
/* Sets the defaults and overrides them with the operators' file. Returns false if the file can't be
 * read, has an unknown key, or a value outside its range; `err` then names the key. */
bool pm_operator_settings_load(struct pm_operator_settings *out, const char *path, char *err,
                               size_t err_size);

#endif
