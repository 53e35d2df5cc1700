/* Real controller processes over loopback, with the stand-ins, users and a record of all that
 * matters, for tests and measurements that cut links. */
#ifndef PM_TESTING_CLUSTER_H
#define PM_TESTING_CLUSTER_H

#include "testing/fake_store.h"
#include "testing/fake_provider.h"
#include "testing/history.h"
#include "testing/relay.h"

#include <stdbool.h>

enum { CLUSTER_CONTROLLERS_MAX = 8, CLUSTER_ZONES = 2 };

struct cluster;

struct cluster_team {
    const char *name;
    double cpus, cpus_max;   /* its guarantee, and its limit */
    double accelerators_max; /* 0: no limit */
};

struct cluster_settings {
    int controllers;
    const char *daemon;               /* the program that each controller runs */
    const char *operator;             /* the operators' settings, as YAML; NULL: none */
    const char *old_daemon;           /* what controller 0 runs in its place, NULL: the same */
    bool quiet;                       /* the processes' logs are thrown away */
    const char *log_file;             /* where else they go; NULL: to standard error */
    int machines_most;                /* 0: a few */
    double lease_s;                   /* of the workers; 0: a short one */
    const struct cluster_team *teams; /* NULL: one, with all that there is */
    int team_count;
    /* Users ask another controller each time, repeat submissions and ask for jobs that nobody
     * submitted; messages to workers arrive late. NULL: none of that. Borrowed. */
    GRand *random;
};

/* A job as its user describes it. */
struct cluster_job {
    const char *team;
    const char *form;    /* "array", "group" or "standing" */
    const char *urgency; /* "normal" and so on */
    unsigned tasks;
    double cpus, run_s;  /* of each task; run_s 0: until the job is cancelled */
    double accelerators; /* of each task */
    int zone;            /* the only allowed one, -1: any */
    const char *awaits;  /* a job that has to be done before, NULL: none */
};

enum cluster_link {
    CLUSTER_LINK_STORE,
    CLUSTER_LINK_PEER,
    CLUSTER_LINK_ZONE,
    CLUSTER_LINK_PROVIDER
};

struct cluster *cluster_new(const struct cluster_settings *settings);
/* Ends all processes. */
void cluster_free(struct cluster *cluster);
struct history *cluster_history(struct cluster *cluster);
struct fake_store *cluster_store(struct cluster *cluster);
struct fake_provider *cluster_provider(struct cluster *cluster);
struct ev_loop *cluster_loop(struct cluster *cluster);
/* A controller's settings file. */
const char *cluster_settings_path(const struct cluster *cluster, int controller);

/* Cuts one link of a controller; `to` is the peer or the zone. */
void cluster_set_link_fault(struct cluster *cluster, int controller, enum cluster_link link, int to,
                            struct relay_fault cut);
/* Everything is well again. */
void cluster_clear_link_faults(struct cluster *cluster);
void cluster_kill(struct cluster *cluster, int controller);
void cluster_start(struct cluster *cluster, int controller);
/* Controller 0, which ran the old program, is ended and started with the new one. */
void cluster_upgrade(struct cluster *cluster);
void cluster_pause(struct cluster *cluster, int controller, bool paused);

/* Tells of every key that is put or dropped in the state service, before that is answered. */
void cluster_observe(struct cluster *cluster, fake_store_observer *observer, void *arg);
/* An array job, each of whose tasks runs for that long; its id. */
const char *cluster_submit_array(struct cluster *cluster, unsigned tasks, double run_s);
/* Any job; its id. */
const char *cluster_submit_job(struct cluster *cluster, const struct cluster_job *wanted);
/* Users cancel one of the jobs that they wait for, chosen by number. */
void cluster_cancel_any(struct cluster *cluster, unsigned choice);
/* Users cancel every job that runs until it is stopped. */
void cluster_cancel_services(struct cluster *cluster);
/* How many jobs were submitted, and of those how many users still wait for. */
unsigned cluster_job_count(const struct cluster *cluster);
unsigned cluster_open_job_count(const struct cluster *cluster);
/* The state service answers that controller alone with 503, from now on or no more. */
void cluster_set_refused(struct cluster *cluster, int controller, bool refused);
/* A controller that holds a block, -1: none does. */
int cluster_shard_owner(const struct cluster *cluster);
/* Users cancel the job, from now on until they hear that it is over. */
void cluster_cancel(struct cluster *cluster, const char *id);
/* Users submit a small job every so often, from now on; 0: no more. */
void cluster_set_load(struct cluster *cluster, double every_s);

/* Runs the loop for that long. */
void cluster_run(struct cluster *cluster, double seconds);
/* Runs it until that holds; false: not within `seconds`. */
bool cluster_run_until(struct cluster *cluster, bool (*holds)(struct cluster *cluster),
                       double seconds);
/* The controller whose epoch is in force and that holds the lead's key, -1: none. */
int cluster_leader(const struct cluster *cluster);
/* Nothing is open, a leader is there. */
bool cluster_is_idle(struct cluster *cluster);
/* What the program prints when it is run with these arguments, and its exit status, with the loop
 * running meanwhile. */
char *cluster_run_tool(struct cluster *cluster, const char *const *argv, int *exit_status);

#endif
