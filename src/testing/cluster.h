/* Real controller processes over loopback, with the stand-ins, with users who submit and cancel
 * jobs, and with a history of all that is checked.
 *
 * For tests and measurements that inject faults. All functions are called in the thread that runs
 * the cluster's event loop, and only there; there is no lock. Memory of a cluster is kept until the
 * test's process ends, because calls in flight outlive it. */
#ifndef PM_TESTING_CLUSTER_H
#define PM_TESTING_CLUSTER_H

#include "testing/fake_provider.h"
#include "testing/fake_store.h"
#include "testing/history.h"
#include "testing/relay.h"

#include <stdbool.h>

enum { CLUSTER_CONTROLLERS_MAX = 8, CLUSTER_ZONES = 2 };

struct cluster;

/* A team and its quota. */
struct cluster_team {
    const char *name;
    double cpus, cpus_max;   /* its guarantee, and its limit */
    double accelerators_max; /* 0: no limit */
};

/* All pointers are borrowed and outlive the cluster. */
struct cluster_settings {
    int controller_count;
    const char *daemon;               /* the program that each controller runs */
    const char *operator_yaml;        /* the operators' settings; NULL: none */
    const char *old_daemon;           /* what controller 0 runs in its place; NULL: the same */
    bool quiet;                       /* the processes' logs are thrown away */
    const char *log_file;             /* where else they go; NULL: to standard error */
    int max_machines;                 /* 0: a few */
    double lease_s;                   /* of the workers; 0: a short one */
    const struct cluster_team *teams; /* NULL: one, with all that there is */
    int team_count;
    /* Users ask another controller each time, repeat submissions and ask for jobs that nobody
     * submitted; messages to workers are delayed. NULL: none of that. */
    GRand *random;
};

/* A job as its user describes it. */
struct cluster_job {
    const char *team;
    const char *kind;     /* "array", "group" or "standing" */
    const char *priority; /* "normal" and so on */
    unsigned task_count;
    double cpus, run_s;     /* of each task; run_s 0: until the job is cancelled */
    double accelerators;    /* of each task */
    int zone;               /* the only allowed one; -1: any */
    const char *dependency; /* a job that has to be done before; NULL: none */
};

/* The links of a controller. */
enum cluster_link {
    CLUSTER_LINK_STORE,
    CLUSTER_LINK_PEER,
    CLUSTER_LINK_ZONE, /* to the workers of a zone */
    CLUSTER_LINK_PROVIDER
};

/* Starts a cluster; the caller owns it. `settings` is copied, what it points to is borrowed. */
struct cluster *cluster_new(const struct cluster_settings *settings);
/* Ends all processes and stops the stand-ins. The history can still be read. */
void cluster_free(struct cluster *cluster);
/* What happened so far; borrowed from the cluster. */
struct history *cluster_history(struct cluster *cluster);
/* The stand-in for the state service; borrowed from the cluster. */
struct fake_store *cluster_store(struct cluster *cluster);
/* The stand-in for the provider and its workers; borrowed from the cluster. */
struct fake_provider *cluster_provider(struct cluster *cluster);
/* The loop that all stand-ins run in; borrowed from the cluster. */
struct ev_loop *cluster_loop(struct cluster *cluster);
/* The path of a controller's settings file; borrowed from the cluster. */
const char *cluster_settings_path(const struct cluster *cluster, int controller);
/* Calls `observer` for every key that is written or deleted in the state service, before that is
 * answered. */
void cluster_observe(struct cluster *cluster, fake_store_observer *observer, void *arg);

/* ---- time ---- */

/* Runs the loop for that long. */
void cluster_run(struct cluster *cluster, double seconds);
/* Runs the loop until `is_done` returns true. False: it did not within `seconds`. */
bool cluster_run_until(struct cluster *cluster, bool (*is_done)(struct cluster *cluster),
                       double seconds);
/* The controller that wrote the epoch in force, while there is a leader's key; -1: none. */
int cluster_leader(const struct cluster *cluster);
/* A controller that owns a shard; -1: none does. */
int cluster_shard_owner(const struct cluster *cluster);
/* Whether users wait for no job, and there is a leader. */
bool cluster_is_idle(struct cluster *cluster);

/* ---- processes ---- */

/* Kills a controller's process; does nothing if it does not run. */
void cluster_kill(struct cluster *cluster, int controller);
/* Starts a controller's process; it does not run. */
void cluster_start(struct cluster *cluster, int controller);
/* Ends controller 0, which ran the old program, and starts it with the new one. */
void cluster_upgrade(struct cluster *cluster);
/* Suspends or resumes a controller's process; does nothing if it does not run. */
void cluster_pause(struct cluster *cluster, int controller, bool paused);
/* Runs a program with these arguments (the first is its path), and the loop meanwhile. Returns what
 * it prints, owned by the caller. `exit_status` is -1 if it was ended by a signal. */
char *cluster_run_tool(struct cluster *cluster, const char *const *argv, int *exit_status);

/* ---- faults ---- */

/* Sets the fault of one link of a controller; `target` is the peer or the zone. */
void cluster_set_link_fault(struct cluster *cluster, int controller, enum cluster_link link,
                            int target, struct relay_fault fault);
/* Ends all faults of links. */
void cluster_clear_link_faults(struct cluster *cluster);
/* Begins or ends that the state service answers that controller alone with 503. */
void cluster_set_refused(struct cluster *cluster, int controller, bool refused);

/* ---- users ---- */

/* Users submit an array job of the default team, each of whose tasks runs for that long. Returns
 * its id, borrowed from the cluster. */
const char *cluster_submit_array(struct cluster *cluster, unsigned tasks, double run_s);
/* Users submit that job; its kind and priority are borrowed for as long as the process lives, the
 * rest is copied. Returns its id, borrowed from the cluster. */
const char *cluster_submit_job(struct cluster *cluster, const struct cluster_job *wanted);
/* Users submit a small job every so often from now on; 0: no more. */
void cluster_set_load(struct cluster *cluster, double every_s);
/* Users cancel the job, and repeat that until its end is confirmed. */
void cluster_cancel(struct cluster *cluster, const char *id);
/* Users cancel one of the jobs that they wait for, chosen by number. */
void cluster_cancel_any(struct cluster *cluster, unsigned choice);
/* Users cancel every job that runs until it is stopped. */
void cluster_cancel_services(struct cluster *cluster);
/* How many jobs were submitted. */
unsigned cluster_job_count(const struct cluster *cluster);
/* How many of them users still wait for. */
unsigned cluster_open_job_count(const struct cluster *cluster);

#endif
