/* What the files of the daemon share; nobody else includes it. All functions run in the event-loop
 * thread, with `pm_controller.lock` held, unless their comment says otherwise. */
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

#define PM_CONTROLLER_RECONCILE_S 0.5 /* see reconciliation.c */

/* The stored ledger (p/ledger): what a new leader reads of teams' use, cached images and failures.
 */
struct pm_controller_ledger {
    struct pm_buffer value; /* as last read, for when this controller is elected */
    uint64_t revision;
    bool write_in_flight;
    double written_at; /* monotonic */
};

/* The stored machine types (p/types). */
struct pm_controller_machine_types {
    uint64_t revision; /* 0: not stored */
    bool write_in_flight;
};

/* Runs of garbage collection. */
struct pm_controller_gc_run {
    double checked_at; /* monotonic: stored keys were last looked through */
    bool in_flight;
};

/* The planner's thread, and when the next plan is due. */
struct pm_controller_planning {
    GThread *thread;
    GMutex wake_lock; /* guards `is_due` alone; taken after `pm_controller.lock`, never before */
    GCond wake;
    bool is_due;
    ev_async done;     /* sent by the planner after each plan */
    ev_timer timer;    /* runs while a plan is due soon */
    double started_at; /* monotonic: the last plan was due */
    double cost_s;     /* how long plans take, lately */
};

/* Writing the working state back, as often as its cost allows. */
struct pm_controller_committing {
    ev_timer timer;
    double ended_at; /* monotonic */
    double cost_s;   /* lately */
};

/* Sizing the fleet, as often as its cost allows. */
struct pm_controller_sizing {
    double ended_at; /* monotonic */
    double cost_s;   /* of the last one */
};

struct pm_controller {
    struct ev_loop *loop;
    const struct pm_settings *settings;
    const struct pm_operator_settings *operator_settings;
    /* Guards everything but `planning.wake_lock` and what it guards. The event-loop thread holds it
     * except while it waits; the planner's thread takes it for one plan. */
    GMutex lock;
    struct pm_name_tables tables;
    struct pm_http_client *http;
    struct pm_http_server *user_server, *peer_server;
    /* The slices. */
    struct pm_store *store;
    struct pm_election *election;
    struct pm_cancel_quorum *cancel_quorum;
    struct pm_links *links;
    struct pm_links_trace *trace; /* NULL: none is written */
    struct pm_roles *roles;
    struct pm_gc *gc;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    struct pm_scheduler *scheduler;
    struct pm_commit *commit;
    struct pm_autoscaler *autoscaler;
    struct pm_api *api;
    struct pm_shards *shards;
    /* What this controller is. */
    bool is_active; /* it leads, or owns a shard, and its working state is rebuilt */
    bool is_leader;
    double elected_at;        /* monotonic */
    double epoch_advanced_at; /* monotonic: to end unknown outcomes of launches */
    char own_shard_key[PM_NAME_MAX + 8];
    bool shards_changed; /* a shard's value has come since the replica last caught up */
    /* Work of its own. */
    struct pm_controller_ledger ledger;
    struct pm_controller_machine_types machine_types;
    struct pm_controller_gc_run gc_run;
    struct pm_controller_planning planning;
    struct pm_controller_committing committing;
    struct pm_controller_sizing sizing;
    ev_timer reconcile_timer;
    double
        last_heartbeat_at;  /* monotonic: any worker's heartbeat, whether or not it was answered */
    double state_logged_at; /* monotonic */
    int pushes_in_flight;
    bool view_write_in_flight; /* p/links is being written */
};

/* ---- planner.c: the planner's thread, and what follows from a plan ---- */

/* Whether the state service has answered lately, so that placements can be written. */
bool pm_controller_is_store_writable(const struct pm_controller *controller, double now);
/* Something has changed that the planner ought to see; several changes make one plan. Does nothing
 * on a controller that is not active. */
void pm_controller_plan_soon(struct pm_controller *controller);
/* Writes back what is due, or sets a timer for when it may be written. */
void pm_controller_commit(struct pm_controller *controller);
/* Makes the timers and watchers of planning and committing. */
void pm_controller_init_planner(struct pm_controller *controller);
/* Starts the planner's thread, which never ends. */
void pm_controller_start_planner(struct pm_controller *controller);

/* ---- worker_endpoint.c: heartbeats, and commands pushed to workers ---- */

/* Pushes the commands that are due to the worker with POST /do, unless a push is in flight; with
 * `probe` also when none are due: the answer is a heartbeat's content, and the worker learns our
 * token. */
void pm_controller_push_commands(struct pm_controller *controller, struct pm_machine *machine,
                                 bool probe);
/* The same for all machines that this controller places tasks on. */
void pm_controller_push_all_commands(struct pm_controller *controller);
/* POST /v1/report: a worker's heartbeat. Replies to the request. */
void pm_controller_handle_heartbeat(struct pm_controller *controller,
                                    struct pm_http_request *request);

/* ---- replica_feed.c: dispatches the replica's changes to the slices ---- */

/* The observer to give to the state service's client. */
struct pm_store_observer pm_controller_store_observer(struct pm_controller *controller);

/* ---- leadership_events.c: what follows from being elected, deposed, or given a shard ---- */

/* The hooks to give to the election. */
struct pm_election_hooks pm_controller_election_hooks(struct pm_controller *controller);
/* The hooks to give to the quorum of cancellations. */
struct pm_cancel_quorum_hooks pm_controller_cancel_quorum_hooks(struct pm_controller *controller);
/* The hooks to give to the shards slice. */
struct pm_shards_hooks pm_controller_shards_hooks(struct pm_controller *controller);
/* Sets the share of the write budget of a controller that does not lead. */
void pm_controller_set_follower_write_share(struct pm_controller *controller);

/* ---- placement_events.c: what becomes of placements and machines ---- */

/* The hooks to give to the workers slice. */
struct pm_workers_hooks pm_controller_workers_hooks(struct pm_controller *controller);
/* The hooks to give to the write-back. */
struct pm_commit_hooks pm_controller_commit_hooks(struct pm_controller *controller);
/* The hooks to give to the autoscaler. */
struct pm_autoscaler_hooks pm_controller_autoscaler_hooks(struct pm_controller *controller);

/* ---- link_monitor.c: evidence for the links slice, its probes, and what follows ---- */

/* Makes the links slice and its trace. */
void pm_controller_init_links(struct pm_controller *controller);
/* Lets views travel with the election's messages; called once the election is there. */
void pm_controller_attach_links(struct pm_controller *controller);
/* Judges the links, probes those without traffic, and writes this controller's view when it is due.
 */
void pm_controller_tick_links(struct pm_controller *controller, double now);
/* Leader: steps down if another controller is better placed to lead. */
void pm_controller_yield_lead_if_unfit(struct pm_controller *controller, double now);

/* ---- singleton_roles.c: roles under a lease, and garbage collection ---- */

/* Makes the roles slice, its audit log and the garbage collector. */
void pm_controller_init_roles(struct pm_controller *controller);
/* Acquires, renews and releases roles, and collects garbage when it is due. */
void pm_controller_tick_roles(struct pm_controller *controller, double now);

/* ---- admin.c: what operators' tools ask ---- */

/* GET /toolbox/... on the peers' address. False: no such path, and no reply was made. */
bool pm_controller_handle_admin_request(struct pm_controller *controller,
                                        struct pm_http_request *request);

/* ---- reconciliation.c: what is looked after by the clock ---- */

struct pm_controller_counts {
    int machines_up, machines_silent, machines_leased, machines_booting;
    unsigned jobs; /* that are neither done nor cancelled, or whose tasks are not all proven gone */
    unsigned tasks_placed, tasks_waiting, tasks_delegated;
    double cpus, idle_cpus;
};

/* What there is and what waits, for the log and the operators' tool. */
struct pm_controller_counts pm_controller_count(struct pm_controller *controller, double now);
/* Asks workers that have not reported to this controller, or whose heartbeats are missed. */
void pm_controller_probe_workers(struct pm_controller *controller, double now);
/* The reconcile timer's callback. */
void pm_controller_on_reconcile_timer(struct ev_loop *loop, ev_timer *watcher, int events);

#endif
