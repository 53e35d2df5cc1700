/* What the files of the cluster share; nobody else includes it. */
#ifndef PM_TESTING_CLUSTER_INTERNAL_H
#define PM_TESTING_CLUSTER_INTERNAL_H

#include "base/http.h"
#include "testing/cluster.h"

#include <ev.h>
#include <glib.h>

/* Of all clusters; workers' intervals and the users' expectations follow from these. */
#define CLUSTER_LEASE_S 4.0
#define CLUSTER_HEARTBEAT_S 0.5
#define CLUSTER_GANG_WAIT_S 10.0
#define CLUSTER_GANG_PEER_S 1.0
#define CLUSTER_CANCEL_LEASES 3.0 /* within so many leases a cancelled job has ended */

enum { CLUSTER_ADDR_SIZE = 64, CLUSTER_NAME_SIZE = 16, CLUSTER_PATH_SIZE = 128 };

/* One controller's place in the network. Its process is in cluster.controllers. */
struct cluster_node {
    char name[CLUSTER_NAME_SIZE];
    char worker_addr[CLUSTER_ADDR_SIZE]; /* where it serves workers and users */
    char peer_addr[CLUSTER_ADDR_SIZE];   /* where it serves peers, behind the relay */
    struct relay *peer_relay;
    char settings_path[CLUSTER_PATH_SIZE];
};

/* The users and their jobs. Written by cluster_users.c. */
struct cluster_users {
    struct pm_http_client *client;
    GPtrArray *jobs; /* of struct user_job */
    ev_timer tick;
    double submit_every_s, next_submission_at; /* 0: no load */
    double unknown_job_requested_at;           /* a job that nobody submitted */
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
    /* The nodes' texts by index, as the provider needs them. */
    const char *worker_addrs[CLUSTER_CONTROLLERS_MAX], *names[CLUSTER_CONTROLLERS_MAX];
    char directory[64], operator_path[CLUSTER_PATH_SIZE];
    char leader_name[64]; /* who wrote the last epoch */
    struct cluster_users users;
    fake_store_observer *observer;
    void *observer_arg;
};

/* ---- cluster.c ---- */

/* Within how many seconds a cancelled job has ended everywhere. */
double cluster_cancel_limit_s(const struct cluster *cluster);

/* ---- cluster_files.c ---- */

/* Makes the directory of settings files, and writes them. */
void cluster_write_files(struct cluster *cluster);
/* Removes them. */
void cluster_remove_files(struct cluster *cluster);

/* ---- cluster_users.c ---- */

/* The team of jobs that name no other; borrowed for ever. */
const struct cluster_team *cluster_default_team(void);
/* Starts the users. */
void cluster_users_start(struct cluster *cluster);
/* Stops the users; answers to them may still arrive. */
void cluster_users_stop(struct cluster *cluster);

#endif
