/* A test cluster: real controller processes that communicate over loopback with a fake state
 * service, a fake machine provider and fake workers. Simulated users submit and cancel jobs. A
 * history records what happens and checks it against the safety rules.
 *
 * For tests and measurements that inject faults. All functions are called only in the thread that
 * runs the cluster's event loop; there is no lock. A cluster's memory is kept until the test's
 * process ends, because HTTP calls in flight outlive the cluster. */
#ifndef PM_TESTING_CLUSTER_H
#define PM_TESTING_CLUSTER_H

#include "testing/fake_provider.h"
#include "testing/fake_store.h"
#include "testing/history.h"
#include "testing/relay.h"

#include <stdbool.h>

enum { CLUSTER_CONTROLLERS_MAX = 8, CLUSTER_ZONES = 2, CLUSTER_ZONES_MAX = 3 };

struct cluster;

/* A team and its quota. */
struct cluster_team {
    const char *name;
    double cpus, cpus_max;   /* the guaranteed share, and the limit */
    double accelerators_max; /* 0: no limit */
};

/* All pointers are borrowed and outlive the cluster. */
struct cluster_settings {
    int controller_count;
    const char *daemon;        /* path of the program that each controller runs */
    const char *operator_yaml; /* content of the operators' settings file; NULL: no file */
    const char *old_daemon;    /* an older program for controller 0; NULL: `daemon` */
    bool quiet;                /* discard the controllers' logs, unless log_file is set; if
                                * PM_TEST_LOG_DIR is set, they go to files in that directory */
    const char *log_file;      /* the logs are appended to this file; NULL: no file */
    int max_machines;          /* 0: a small default */
    double lease_s;            /* duration of the workers' leases; 0: a short default */
    int zone_count;            /* 0: CLUSTER_ZONES */
    int type_count;            /* number of machine types; 0: one, without spot machines */
    double boot_s;             /* see struct fake_provider_settings */
    bool boots_together;       /* see struct fake_provider_settings */
    /* Limits that the controllers are told: the size of a value of the state service, and the
     * changes in one transaction. 0: ample defaults. */
    double store_value_kb;
    int store_txn_ops;
    const struct cluster_team *teams; /* NULL: one team, whose quota is the whole cluster */
    int team_count;
    /* If set, each request of a user goes to a random controller, some submissions are repeated,
     * users ask for a job that nobody submitted, and messages to and from workers can be delayed.
     * NULL: none of these. */
    GRand *random;
    bool copies_pushes; /* workers receive a late copy of each push that they have executed */
};

/* A job as its user submits it. */
struct cluster_job {
    const char *team;
    const char *kind;     /* "array", "group" or "standing" */
    const char *priority; /* a priority of the API, such as "normal" */
    unsigned task_count;
    double cpus, run_s;     /* of each task; run_s 0: it runs until the job is cancelled */
    double estimated_run_s; /* the user's estimate of `run_s`; 0: the same */
    double accelerators;    /* of each task */
    double ram_gb;          /* of each task; 0: a small default */
    double image_gb;        /* size of the image; 0: a small default */
    int image;              /* number of the image */
    double deadline_s;      /* 0: none */
    double checkpoint_interval_s, checkpoint_duration_s;
    bool same_zone, spread_zones;
    bool ordinary_only;       /* it may not use spot machines */
    int zone;                 /* the only zone it may run in; -1: any zone */
    const char *dependency;   /* id of a job that must be done first; NULL: none */
    const char *machine_type; /* the only allowed machine type; NULL: any type */
};

/* The network links of a controller, in which faults can be injected. */
enum cluster_link {
    CLUSTER_LINK_STORE,
    CLUSTER_LINK_PEER,
    CLUSTER_LINK_ZONE, /* to the workers of a zone */
    CLUSTER_LINK_PROVIDER
};

/* Starts a cluster; the caller owns it. `settings` is copied, what it points to is borrowed. */
struct cluster *cluster_new(const struct cluster_settings *settings);
/* Kills all controllers and stops the fake services. The history can still be read. */
void cluster_free(struct cluster *cluster);
/* The record of what has happened in the cluster; borrowed from the cluster. */
struct history *cluster_history(struct cluster *cluster);
/* The fake state service; borrowed from the cluster. */
struct fake_store *cluster_store(struct cluster *cluster);
/* The fake machine provider, which also runs the fake workers; borrowed from the cluster. */
struct fake_provider *cluster_provider(struct cluster *cluster);
/* The event loop that runs the fake services; borrowed from the cluster. */
struct ev_loop *cluster_loop(struct cluster *cluster);
/* The addresses, as "IP:PORT", where a controller serves users and workers, and where it serves its
 * peers, without the relay in between; borrowed from the cluster. */
const char *cluster_worker_addr(const struct cluster *cluster, int controller);
const char *cluster_peer_addr(const struct cluster *cluster, int controller);
/* The number of zones. */
int cluster_zone_count(const struct cluster *cluster);
/* The path of a controller's settings file; borrowed from the cluster. */
const char *cluster_settings_path(const struct cluster *cluster, int controller);
/* From now on calls `observer` for every key that is written or deleted in the state service, as
 * fake_store_observe does. Replaces an earlier observer. */
void cluster_observe(struct cluster *cluster, fake_store_observer *observer, void *arg);

/* ---- running the event loop ---- */

/* Runs the event loop for that many seconds. */
void cluster_run(struct cluster *cluster, double seconds);
/* Runs the event loop until `is_done` returns true. Returns false if that takes longer than
 * `seconds`. */
bool cluster_run_until(struct cluster *cluster, bool (*is_done)(struct cluster *cluster),
                       double seconds);
/* Returns the index of the leader: the controller that wrote the current epoch. Returns -1 if the
 * state service has no leader key. */
int cluster_leader(const struct cluster *cluster);
/* Whether the state service has a leader key. */
bool cluster_has_leader(struct cluster *cluster);
/* Returns the lowest index among the controllers that own a shard, or -1 if none does. */
int cluster_first_shard_owner(const struct cluster *cluster);
/* Whether every submitted job has ended as far as users know, and there is a leader. */
bool cluster_is_idle(struct cluster *cluster);

/* ---- processes ----
 *
 * A process that ends by itself is recorded as a violation in the history, and started again after
 * a second. */

/* Kills a controller's process with SIGKILL; does nothing if it is not running. */
void cluster_kill_controller(struct cluster *cluster, int controller);
/* Sends a signal to a controller's process; does nothing if it is not running. */
void cluster_signal_controller(struct cluster *cluster, int controller, int signal_number);
/* Returns the id of a controller's process, or 0 if it is not running. */
pid_t cluster_controller_pid(const struct cluster *cluster, int controller);
/* Starts a controller's process; does nothing if it is running. */
void cluster_start_controller(struct cluster *cluster, int controller);
/* Kills controller 0, which runs `old_daemon`, and restarts it with `daemon`. */
void cluster_upgrade_controller(struct cluster *cluster);
/* Suspends or resumes a controller's process; does nothing if it is not running. */
void cluster_pause_controller(struct cluster *cluster, int controller, bool paused);
/* Runs a program with the arguments `argv` (the first is its path), and runs the event loop until
 * the program exits. Returns its standard output and standard error, owned by the caller. Sets
 * `exit_status` to -1 if a signal ended the program. */
char *cluster_run_tool(struct cluster *cluster, const char *const *argv, int *exit_status);

/* ---- faults ---- */

/* Sets the fault of one link of a controller. `target` is the index of the peer or of the zone, and
 * is ignored for other links. */
void cluster_set_link_fault(struct cluster *cluster, int controller, enum cluster_link link,
                            int target, struct relay_fault fault);
/* Clears the faults of all links. */
void cluster_clear_link_faults(struct cluster *cluster);
/* If `refused`, the state service answers every request of this controller, and of no other, with
 * 503. */
void cluster_set_store_refusal(struct cluster *cluster, int controller, bool refused);

/* ---- users ---- */

/* Submits an array job of the default team, whose tasks run for `run_s` seconds each. Returns the
 * job's id, borrowed from the cluster. */
const char *cluster_submit_array(struct cluster *cluster, unsigned tasks, double run_s);
/* Submits a job. `kind`, `priority` and `machine_type` are borrowed and must stay valid until the
 * process ends; the rest is copied. Returns the job's id, borrowed from the cluster. */
const char *cluster_submit_job(struct cluster *cluster, const struct cluster_job *wanted);
/* From now on submits a small job every `every_s` seconds; 0 stops this. */
void cluster_set_load(struct cluster *cluster, double every_s);
/* Cancels a job. The user repeats the request until a controller confirms the job's end. */
void cluster_cancel_job(struct cluster *cluster, const char *id);
/* Cancels the open job (see cluster_open_job_count) whose index is `choice` modulo the number of
 * open jobs. Does nothing if no job is open. */
void cluster_cancel_any_job(struct cluster *cluster, unsigned choice);
/* Cancels every job whose tasks run until the job is cancelled (run_s 0). */
void cluster_cancel_endless_jobs(struct cluster *cluster);
/* The number of jobs submitted so far. */
unsigned cluster_job_count(const struct cluster *cluster);
/* The number of submitted jobs that users have not yet been told are done or cancelled. */
unsigned cluster_open_job_count(const struct cluster *cluster);

#endif
