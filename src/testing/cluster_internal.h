/* Types and functions shared by the cluster's source files; not included elsewhere. */
#ifndef PM_TESTING_CLUSTER_INTERNAL_H
#define PM_TESTING_CLUSTER_INTERNAL_H

#include "base/http.h"
#include "testing/cluster.h"

#include <ev.h>
#include <glib.h>

/* The duration of workers' leases if the settings give none. */
#define CLUSTER_LEASE_S 4.0
/* Settings of the workers in every cluster: the heartbeat interval, how long a task waits for the
 * rest of its gang, and how long tasks of a running gang may be missing. */
#define CLUSTER_HEARTBEAT_S 0.5
#define CLUSTER_GANG_WAIT_S 10.0
#define CLUSTER_GANG_PEER_S 1.0
/* A cancelled job must have ended on all machines within this many lease durations. */
#define CLUSTER_CANCEL_LEASES 3.0

enum { CLUSTER_ADDR_SIZE = 64, CLUSTER_NAME_SIZE = 16, CLUSTER_PATH_SIZE = 128 };

/* One controller's name, addresses and settings file. Its process id is in cluster.controllers. */
struct cluster_node {
    char name[CLUSTER_NAME_SIZE];
    char worker_addr[CLUSTER_ADDR_SIZE]; /* where the controller serves workers and users */
    char peer_addr[CLUSTER_ADDR_SIZE];   /* where it serves peers, who connect through peer_relay */
    struct relay *peer_relay;
    char settings_path[CLUSTER_PATH_SIZE];
};

/* The simulated users and their jobs. Written by cluster_users.c. */
struct cluster_users {
    struct pm_http_client *client;
    GPtrArray *jobs; /* of struct user_job */
    ev_timer tick;
    /* The interval between the jobs of cluster_set_load (0: none), and when the next one is due. */
    double submit_every_s, next_submission_at;
    double unknown_job_requested_at; /* when users last asked for a job that nobody submitted */
};

struct cluster {
    struct cluster_settings settings;
    struct ev_loop *loop;
    struct history *history;
    struct fake_store *store;
    struct fake_provider *provider;
    struct relay *store_relay;
    struct relay_controllers controllers; /* the processes (cluster_processes.c) */
    struct cluster_node nodes[CLUSTER_CONTROLLERS_MAX];
    /* Each node's worker_addr and name, in the form that fake_provider_settings needs. */
    ev_timer process_timer; /* checks for processes that have ended by themselves */
    /* Monotonic: when a process that has ended by itself is started again; 0: not at all. */
    double restart_at[CLUSTER_CONTROLLERS_MAX];
    const char *worker_addrs[CLUSTER_CONTROLLERS_MAX], *node_names[CLUSTER_CONTROLLERS_MAX];
    char directory[64], operator_path[CLUSTER_PATH_SIZE];
    char leader_name[64]; /* the controller that wrote the current epoch */
    struct cluster_users users;
    fake_store_observer *observer;
    void *observer_arg;
};

/* ---- cluster.c ---- */

/* The number of seconds within which a cancelled job must have ended on all machines. */
double cluster_cancel_limit_s(const struct cluster *cluster);

/* ---- cluster_files.c ---- */

/* Creates a temporary directory and writes the settings files to it. */
void cluster_write_files(struct cluster *cluster);
/* Removes the settings files and their directory. */
void cluster_remove_files(struct cluster *cluster);

/* ---- cluster_processes.c ---- */

/* Starts the processes of all controllers, and watches for those that end by themselves. */
void cluster_processes_start(struct cluster *cluster);
/* Kills the processes of all controllers, and stops watching them. */
void cluster_processes_stop(struct cluster *cluster);

/* ---- cluster_users.c ---- */

/* The team of clusters whose settings have no teams, and of cluster_submit_array; it is never
 * freed. */
const struct cluster_team *cluster_default_team(void);
/* Starts the simulated users. */
void cluster_users_start(struct cluster *cluster);
/* Stops the simulated users; answers to their requests may still arrive. */
void cluster_users_stop(struct cluster *cluster);

#endif
