/* What the parts of the daemon share; nobody else includes it. */
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

#define DIRECT_S 3.0 /* a /do with no answer by then is in doubt */
#define ROUND_S 0.5  /* see round.c */

struct pm_controller {
    struct ev_loop *loop;
    const struct pm_settings *settings;
    const struct pm_operator_settings *op;
    struct pm_name_tables tables;
    struct pm_http_client *http;
    struct pm_http_server *front, *back;
    struct pm_store *store;
    struct pm_election *lead;
    struct pm_cancel_quorum *cancels;
    struct pm_links *links;
    struct pm_links_trace *trace; /* NULL: none is written */
    struct pm_roles *duties;
    struct pm_gc *clean;
    double clean_at; /* stored keys were last looked through */
    bool clean_busy;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    struct pm_scheduler *plan;
    struct pm_commit *commit;
    struct pm_autoscaler *fleet;
    struct pm_api *intake;
    struct pm_shards *blocks;
    GMutex lock;  /* all of the above */
    bool ruling;  /* leads, or holds a block, and the working state is rebuilt */
    bool leading; /* leads */
    struct pm_buf ledger;
    char block_key[PM_NAME_MAX + 8];
    uint64_t types_revision, ledger_revision;
    bool ledger_busy, types_busy, blocks_changed;
    double ledger_at, raised_at, took_at, report_at, told_at;
    /* The planner's thread. */
    GThread *planner;
    GMutex wake_lock;
    GCond wake;
    bool due;
    ev_async planned;
    ev_timer pace, round, commit_timer;
    double plan_at, plan_cost;        /* when the last one was due, how long they take */
    double fleet_at, fleet_cost;      /* when the last sizing ended, how long it took */
    double commit_ended, commit_cost; /* the same of the last look for what is to be written */
    int directs;                      /* /do under way */
    bool links_busy;                  /* p/links is being written */
};

/* planning.c: the planner's thread, and what follows from a plan */
bool pm_controller_is_store_writable(const struct pm_controller *n, double now);
/* Something changed that the planner ought to see; several changes make one plan. */
void pm_controller_plan_soon(struct pm_controller *n);
void pm_controller_commit(struct pm_controller *n);
gpointer pm_controller_planner(gpointer data);
void pm_controller_on_pace(struct ev_loop *loop, ev_timer *w, int events);
void pm_controller_on_commit_timer(struct ev_loop *loop, ev_timer *w, int events);
void pm_controller_on_planned(struct ev_loop *loop, ev_async *w, int events);

/* workers.c: commands to workers, and their reports */
/* Sends what is due straight to the worker; with `probe`, also when nothing is: its answer is a
 * report, and brings our token. */
void pm_controller_push_commands(struct pm_controller *n, struct pm_machine *m, bool probe);
void pm_controller_push_all_commands(struct pm_controller *n);
void pm_controller_handle_heartbeat(struct pm_controller *n, struct pm_http_request *req);

/* links.c: evidence for the links slice, its probes, and what follows from it */
void pm_controller_init_links(struct pm_controller *n);
/* The rest of it: once there is a leader slice to carry the views. */
void pm_controller_attach_links(struct pm_controller *n);
void pm_controller_tick_links(struct pm_controller *n, double now);
/* Steps down from the lead if another controller is better placed to have it. */
void pm_controller_yield_lead_if_unfit(struct pm_controller *n, double now);

/* duties.c: duties that one controller holds */
void pm_controller_init_roles(struct pm_controller *n);
void pm_controller_tick_roles(struct pm_controller *n, double now);

/* toolbox.c: what operators' tools ask */
/* GET /toolbox/... on the back address; false: no such path. */
bool pm_controller_handle_admin_request(struct pm_controller *n, struct pm_http_request *req);

/* round.c: what is looked after by the clock */
struct pm_controller_counts {
    int up, silent, lent, booting;       /* machines */
    unsigned live;                       /* jobs */
    unsigned placed, waiting, delegated; /* tasks */
    double cpus, idle;
};
struct pm_controller_counts pm_controller_count(struct pm_controller *n, double now);
void pm_controller_probe_workers(struct pm_controller *n, double now);
void pm_controller_on_reconcile_timer(struct ev_loop *loop, ev_timer *w, int events);

#endif
