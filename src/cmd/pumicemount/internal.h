/* Declarations shared by the files of the daemon, and included by no other program. All functions
 * run in the event-loop thread, with `pm_controller.lock` held, unless their comment says
 * otherwise. */
#ifndef PM_CMD_PUMICEMOUNT_INTERNAL_H
#define PM_CMD_PUMICEMOUNT_INTERNAL_H

#include "base/http.h"
#include "shards/shards.h"
#include "roles/garbage_collector.h"
#include "roles/roles.h"
#include "roles/audit_log.h"
#include "autoscaler/autoscaler.h"
#include "api/api.h"
#include "jobs/commit.h"
#include "leadership/cancellation_quorum.h"
#include "leadership/election.h"
#include "links/links.h"
#include "links/trace.h"
#include "controller.h"
#include "scheduler/scheduler.h"
#include "store/store.h"
#include "workers/workers.h"

#include <ev.h>
#include <glib.h>

/* Interval of the timer in reconciliation.c. */
#define PM_CONTROLLER_RECONCILE_INTERVAL_S 0.5

/* The stored ledger (p/ledger), which the leader writes for its successor: the teams' usage, which
 * zones are silent, the cached images and the failing jobs. */
struct pm_controller_ledger {
    struct pm_buffer value; /* the last value read as a follower, applied on election */
    uint64_t revision;      /* of the key, 0: not stored */
    bool write_in_flight;
    double written_at; /* monotonic: when this controller last sent a write */
};

/* The stored machine types (p/types). */
struct pm_controller_machine_types {
    uint64_t revision; /* of the key, 0: not stored */
    bool write_in_flight;
};

/* Garbage collection of stored keys. */
struct pm_controller_gc_run {
    double last_run_at; /* monotonic: when a run last searched for keys to delete */
    bool write_in_flight;
};

/* The planner's thread, and the schedule of its plans. */
struct pm_controller_planning {
    GThread *thread;
    /* Guards `is_due` alone. A thread that needs both locks takes `pm_controller.lock` first. */
    GMutex wake_lock;
    GCond wake;             /* signalled when `is_due` becomes true */
    bool is_due;            /* the planner's thread is to make a plan */
    ev_async done;          /* sent by the planner after each plan */
    ev_timer timer;         /* active while a plan is requested and not yet due */
    double woken_at;        /* monotonic: when the planner's thread was last woken for a plan */
    double mean_duration_s; /* of a plan, as a moving average */
    double longest_s;       /* the longest plan since controller.state was last logged */
};

/* The schedule of write-backs, which commit changes of the working state to the state service
 * (pm_commit_run). The longer they take, the longer the pause between two of them. */
struct pm_controller_commit_schedule {
    ev_timer timer;         /* active while the next write-back waits for its time */
    double ended_at;        /* monotonic: when the last write-back ended */
    double mean_duration_s; /* of a write-back, as a moving average */
};

/* The schedule of the autoscaler's runs: the longer the last run took, the longer the pause after
 * it. */
struct pm_controller_autoscaler_schedule {
    double ended_at;        /* monotonic: when the last run ended */
    double last_duration_s; /* of the last run */
    double longest_s;       /* the longest run since controller.state was last logged */
};

struct pm_controller {
    struct ev_loop *loop;
    const struct pm_settings *settings;
    const struct pm_operator_settings *operator_settings;
    /* Guards everything except `planning.wake_lock` and `planning.is_due`. The event-loop thread
     * holds it except while it waits for events; the planner's thread holds it during a plan. */
    GMutex lock;
    struct pm_name_tables tables; /* the interned names, and the machine types with their CPUs */
    struct pm_http_client *http;
    struct pm_http_server *user_server, *peer_server;
    /* The slices: modules with their own state, each in a folder of src/. */
    struct pm_store *store;
    struct pm_election *election;
    struct pm_cancel_quorum *cancel_quorum;
    struct pm_links *links;
    struct pm_links_trace *trace; /* NULL if no trace is written */
    struct pm_roles *roles;
    struct pm_gc *gc;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    struct pm_scheduler *scheduler;
    struct pm_commit *commit;
    struct pm_autoscaler *autoscaler;
    struct pm_api *api;
    struct pm_shards *shards;
    /* This controller's position in the cluster. */
    bool is_active; /* it is the leader or owns a shard, and its working state has been rebuilt */
    bool is_leader;
    double elected_at; /* monotonic: when this controller was last elected */
    /* Monotonic: when this controller last advanced the epoch so that workers refuse launches of
     * unknown outcome. */
    double epoch_advanced_at;
    char own_shard_key[PM_NAME_MAX + 8]; /* of the shard that this controller may own */
    bool shards_changed; /* a shard's value has arrived since the replica last caught up */
    /* Work that the controller does itself. */
    struct pm_controller_ledger ledger;
    struct pm_controller_machine_types machine_types;
    struct pm_controller_gc_run gc_run;
    struct pm_controller_planning planning;
    struct pm_controller_commit_schedule commit_schedule;
    struct pm_controller_autoscaler_schedule autoscaler_schedule;
    ev_timer reconcile_timer;
    /* Monotonic: when a heartbeat of any worker last arrived, even if it was not answered. */
    double last_worker_heartbeat_at;
    double state_logged_at;    /* monotonic: when controller.state was last logged */
    int pushes_in_flight;      /* to all machines together */
    bool view_write_in_flight; /* a write of this controller's own p/links/NAME is in flight */
};

/* ---- planner.c: the planner's thread, and the work after each plan ---- */

/* Whether placements can be written: the state service has answered recently and is not refusing
 * requests. */
bool pm_controller_is_store_writable(const struct pm_controller *controller, double now);
/* Requests a plan because something that the planner considers has changed. Requests made before
 * the plan begins share one plan. Does nothing on a controller that is not active. */
void pm_controller_plan_soon(struct pm_controller *controller);
/* Writes back the changes that are due, or sets a timer for the time when they may be written. Does
 * nothing on a controller that is not active. */
void pm_controller_commit(struct pm_controller *controller);
/* Initializes the timers and watchers of planning and write-back. */
void pm_controller_init_planner(struct pm_controller *controller);
/* Starts the planner's thread, which never ends. */
void pm_controller_start_planner(struct pm_controller *controller);

/* ---- worker_endpoint.c: heartbeats, and commands pushed to workers ---- */

/* Pushes the commands that are due to the worker with POST /do. With `probe`, pushes even if no
 * command is due: the worker's answer carries its report, and the worker learns our fencing token.
 * Does nothing if the worker's address is unknown, if a push to the worker is in flight or failed
 * just now, if pushes use all the sockets that they may, or if the epoch is not confirmed. */
void pm_controller_push_commands(struct pm_controller *controller, struct pm_machine *machine,
                                 bool probe);
/* Pushes the commands that are due to all machines on which this controller places tasks. */
void pm_controller_push_all_commands(struct pm_controller *controller);
/* Handles POST /v1/report, a worker's heartbeat, and replies to it. */
void pm_controller_handle_heartbeat(struct pm_controller *controller,
                                    struct pm_http_request *request);

/* ---- replica_feed.c: dispatches the replica's changes to the slices ---- */

/* Returns the observer for the state service's client. */
struct pm_store_observer pm_controller_store_observer(struct pm_controller *controller);

/* ---- leadership_events.c: elections, step-downs, epochs and shard ownership ---- */

/* Returns the hooks for the election. */
struct pm_election_hooks pm_controller_election_hooks(struct pm_controller *controller);
/* Returns the hooks for the cancellation quorum. */
struct pm_cancel_quorum_hooks pm_controller_cancel_quorum_hooks(struct pm_controller *controller);
/* Returns the hooks for the shards slice. */
struct pm_shards_hooks pm_controller_shards_hooks(struct pm_controller *controller);
/* Sets this controller's share of the state service's write budget to that of a follower. */
void pm_controller_set_follower_write_share(struct pm_controller *controller);

/* ---- placement_events.c: changes of placements and machines ---- */

/* Returns the hooks for the workers slice. */
struct pm_workers_hooks pm_controller_workers_hooks(struct pm_controller *controller);
/* Returns the hooks for the write-back. */
struct pm_commit_hooks pm_controller_commit_hooks(struct pm_controller *controller);
/* Returns the hooks for the autoscaler. */
struct pm_autoscaler_hooks pm_controller_autoscaler_hooks(struct pm_controller *controller);

/* ---- machine_types.c: the machine types of the provider ---- */

/* Applies the provider's list of machine types, and stores it if no list is stored yet. The
 * autoscaler's hook; `arg` is the controller. */
void pm_controller_apply_provider_types(void *arg, const cbor_item_t *models);
/* Applies the value of p/types that was written at `revision`, unless the types are known. */
void pm_controller_apply_stored_types(struct pm_controller *controller, const cbor_item_t *models,
                                      uint64_t revision);

/* ---- link_monitor.c: evidence and probes for the links slice, and decisions based on it ---- */

/* Creates the links slice and its trace. */
void pm_controller_init_links(struct pm_controller *controller);
/* Makes the election's messages to peers carry each controller's view: the states of its links, as
 * that controller observes them. Called once the election exists. */
void pm_controller_attach_links(struct pm_controller *controller);
/* Evaluates the links, probes those without traffic, and writes this controller's view when it is
 * due. */
void pm_controller_tick_links(struct pm_controller *controller, double now);
/* On the leader: steps down if another controller has better links, or if this controller and its
 * workers no longer reach each other and another controller may reach them. */
void pm_controller_step_down_if_unfit(struct pm_controller *controller, double now);

/* ---- singleton_roles.c: roles under a lease, and garbage collection ---- */

/* Creates the roles slice, its audit log and the garbage collector. */
void pm_controller_init_roles(struct pm_controller *controller);
/* Acquires, renews and releases roles, and runs garbage collection when it is due. */
void pm_controller_tick_roles(struct pm_controller *controller, double now);

/* ---- admin.c: requests of operators' tools ---- */

/* Handles GET /toolbox/... on the peers' address. Returns false, without having replied, if the
 * path is unknown. */
bool pm_controller_handle_admin_request(struct pm_controller *controller,
                                        struct pm_http_request *request);

/* Encodes the fields that begin every answer to an operators' tool: the name of this controller,
 * whether it leads, and whether its epoch is confirmed. */
void pm_controller_encode_source(struct pm_controller *controller, struct pm_buffer *out,
                                 double now);

/* ---- job_reasons.c: why a job does not run ---- */

/* Encodes the answer to GET /toolbox/job/ID: the job's state, and why it does not run. `id` is a
 * valid job id; the job need not be known. */
void pm_controller_encode_job_reasons(struct pm_controller *controller, const char *id,
                                      struct pm_buffer *out, double now);

/* ---- reconciliation.c: periodic work ---- */

struct pm_controller_counts {
    int machines_up,       /* machines that are up, without those assigned to owners of shards */
        machines_silent,   /* those of `machines_up` that missed a heartbeat */
        machines_assigned, /* machines assigned to other controllers, the owners of shards */
        machines_booting;
    unsigned jobs; /* jobs that have not ended, and ended jobs with tasks that may still run */
    /* Delegated tasks are those that the owner of a shard has yet to place. */
    unsigned tasks_placed, tasks_waiting, tasks_delegated;
    double cpus,   /* of all machines that are up, also of those assigned to owners of shards */
        idle_cpus; /* free on machines that are up and not assigned to owners of shards */
};

/* Counts machines, jobs and tasks, for the log and the operators' tool. */
struct pm_controller_counts pm_controller_count(struct pm_controller *controller, double now);
/* Probes workers that have not reported to this controller, workers whose heartbeats are late, and
 * workers that possibly do not receive this controller's messages. On the leader, advances the
 * epoch if a push of launches got no answer, so that the worker refuses them if they arrive. */
void pm_controller_probe_workers(struct pm_controller *controller, double now);
/* Callback of the reconcile timer. */
void pm_controller_on_reconcile_timer(struct ev_loop *loop, ev_timer *watcher, int events);

#endif
