/* Creates the controller's slices and servers, and dispatches requests to them.
 *
 * The event-loop thread does all I/O; the planner's thread decides which task runs on which
 * machine. The event-loop thread holds the controller's lock while it handles events, and releases
 * it whenever it waits for new ones. All sockets are non-blocking, so no thread waits for I/O while
 * it holds the lock. */
#include "base/keys.h"
#include "base/clock.h"
#include "base/log.h"
#include "internal.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

/* How the limit on open sockets is divided. A divisor of 5 means one socket in 5. Connections of
 * users and workers get what the other uses leave. */
enum {
    CLIENT_SOCKETS_DIVISOR = 5, /* for requests that this controller sends */
    /* Kept free: one socket in SPARE_SOCKETS_DIVISOR, and SPARE_SOCKETS more. */
    SPARE_SOCKETS_DIVISOR = 20,
    SPARE_SOCKETS = 8,
    /* For peers' connections: the smaller of one socket in PEER_SOCKETS_DIVISOR and
     * SOCKETS_PER_PEER for each peer, but at least PEER_SOCKETS_MIN. */
    PEER_SOCKETS_DIVISOR = 16,
    SOCKETS_PER_PEER = 8,
    PEER_SOCKETS_MIN = 16,
    USER_SOCKETS_MIN = 8
};

/* The part of the state service's request rate that all controllers together may use for watches
 * and linearizable reads. */
#define STORE_REQUEST_SHARE 0.36
#define FIRST_RECONCILE_DELAY_S 0.05 /* after the start */

/* ---- requests ---- */

static void handle_readiness_probe(struct pm_controller *controller,
                                   struct pm_http_request *request)
{
    bool is_refused_alone =
        pm_election_is_refused_alone(controller->election, pm_clock_monotonic()) ||
        pm_links_is_cut_off(controller->links);

    pm_api_handle_readiness_probe(controller->api, request, is_refused_alone);
}

static void on_user_request(void *arg, struct pm_http_request *request)
{
    struct pm_controller *controller = arg;
    const char *path = request->path;

    if (!strcmp(path, "/v1/report") && request->method == PM_HTTP_POST)
        pm_controller_handle_heartbeat(controller, request);
    else if (!strcmp(path, "/v1/report"))
        pm_http_reply(request, 405, NULL, 0, 0);
    else if (!strcmp(path, "/ready"))
        handle_readiness_probe(controller, request);
    else if (!strcmp(path, "/work") || !strncmp(path, "/work/", 6))
        pm_api_handle_job_request(controller->api, request);
    else
        pm_http_reply(request, 404, NULL, 0, 0);
}

static void on_peer_request(void *arg, struct pm_http_request *request)
{
    struct pm_controller *controller = arg;
    const char *path = request->path;
    bool is_post = request->method == PM_HTTP_POST;

    if (is_post && !strcmp(path, "/peer"))
        pm_election_handle_peer_request(controller->election, request);
    else if (is_post && !strcmp(path, "/cancelled"))
        pm_cancel_quorum_handle_peer_request(controller->cancel_quorum, request);
    else if (is_post && !strcmp(path, "/block"))
        pm_shards_handle_peer_request(controller->shards, request);
    else if (!pm_controller_handle_admin_request(controller, request))
        pm_http_reply(request, 404, NULL, 0, 0);
}

static struct pm_http_server *listen_on(struct pm_controller *controller, const char *addr,
                                        int connections, pm_http_handler *handler)
{
    struct pm_http_server *server =
        pm_http_server_new(controller->loop, addr, connections, handler, controller);

    if (!server)
        pm_error("controller.listen", "can't listen on %s: %s", addr, strerror(errno));
    return server;
}

static bool start_servers(struct pm_controller *controller)
{
    const struct pm_settings *settings = controller->settings;
    int sockets = settings->sockets;
    int wanted_by_peers =
        MIN(sockets / PEER_SOCKETS_DIVISOR, SOCKETS_PER_PEER * settings->peer_count);
    int peer_sockets = MAX(PEER_SOCKETS_MIN, wanted_by_peers);
    int user_sockets = sockets - sockets / CLIENT_SOCKETS_DIVISOR - peer_sockets -
                       sockets / SPARE_SOCKETS_DIVISOR - SPARE_SOCKETS;

    controller->user_server = listen_on(controller, settings->listen_addr,
                                        MAX(USER_SOCKETS_MIN, user_sockets), on_user_request);
    if (!controller->user_server)
        return false;
    controller->peer_server =
        listen_on(controller, settings->peer_listen_addr, peer_sockets, on_peer_request);
    return controller->peer_server != NULL;
}

/* ---- construction ---- */

static void unlock_before_wait(struct ev_loop *loop)
{
    struct pm_controller *controller = ev_userdata(loop);

    g_mutex_unlock(&controller->lock);
}

static void lock_after_wait(struct ev_loop *loop)
{
    struct pm_controller *controller = ev_userdata(loop);

    g_mutex_lock(&controller->lock);
}

static void init_lock(struct pm_controller *controller)
{
    g_mutex_init(&controller->lock);
    ev_set_userdata(controller->loop, controller);
    ev_set_loop_release_cb(controller->loop, unlock_before_wait, lock_after_wait);
}

/* Creates the slices that make decisions. They do no I/O, except for the autoscaler's requests to
 * the provider. */
static void init_planning(struct pm_controller *controller)
{
    const struct pm_operator_settings *operator_settings = controller->operator_settings;
    struct pm_name_tables *tables = &controller->tables;
    struct pm_workers_hooks workers_hooks = pm_controller_workers_hooks(controller);
    struct pm_autoscaler_hooks autoscaler_hooks = pm_controller_autoscaler_hooks(controller);

    controller->jobs = pm_jobs_new(tables);
    controller->workers = pm_workers_new(tables, controller->jobs, &workers_hooks);
    controller->scheduler =
        pm_scheduler_new(tables, controller->jobs, controller->workers, operator_settings);
    controller->autoscaler =
        pm_autoscaler_new(controller->http, tables, controller->jobs, controller->workers,
                          controller->scheduler, operator_settings, &autoscaler_hooks);
}

static void init_store(struct pm_controller *controller)
{
    const struct pm_settings *settings = controller->settings;
    struct pm_store_observer observer = pm_controller_store_observer(controller);

    controller->store = pm_store_new(controller->loop, controller->http, settings->store_addr,
                                     settings->store_write_rps, &observer);
    pm_controller_set_follower_write_share(controller);
    pm_store_set_request_rate(controller->store,
                              STORE_REQUEST_SHARE * settings->store_rps / settings->cluster_size);
}

static void init_leadership(struct pm_controller *controller)
{
    const struct pm_settings *settings = controller->settings;
    struct pm_election_hooks election_hooks = pm_controller_election_hooks(controller);
    struct pm_cancel_quorum_hooks quorum_hooks = pm_controller_cancel_quorum_hooks(controller);

    controller->election =
        pm_election_new(controller->loop, controller->store, controller->http, settings,
                        controller->operator_settings, &election_hooks);
    controller->cancel_quorum = pm_cancel_quorum_new(controller->loop, controller->store,
                                                     controller->http, settings, &quorum_hooks);
}

static void init_shards(struct pm_controller *controller)
{
    struct pm_shards_hooks hooks = pm_controller_shards_hooks(controller);

    snprintf(controller->own_shard_key, sizeof controller->own_shard_key, PM_KEY_SHARD_PREFIX "%s",
             controller->settings->name);
    controller->shards = pm_shards_new(&controller->tables, controller->jobs, controller->workers,
                                       controller->scheduler, controller->store, controller->http,
                                       controller->election, &hooks);
}

/* Creates the state service's client and the slices that need it. */
static void init_replication(struct pm_controller *controller)
{
    struct pm_commit_hooks commit_hooks = pm_controller_commit_hooks(controller);

    init_store(controller);
    init_leadership(controller);
    controller->commit =
        pm_commit_new(&controller->tables, controller->jobs, controller->store, &commit_hooks);
    init_shards(controller);
    controller->api =
        pm_api_new(controller->loop, controller->store, controller->jobs, &controller->tables,
                   controller->cancel_quorum, controller->operator_settings);
}

static void start_reconcile_timer(struct pm_controller *controller)
{
    ev_timer_init(&controller->reconcile_timer, pm_controller_on_reconcile_timer,
                  FIRST_RECONCILE_DELAY_S, PM_CONTROLLER_RECONCILE_INTERVAL_S);
    controller->reconcile_timer.data = controller;
    ev_timer_start(controller->loop, &controller->reconcile_timer);
}

struct pm_controller *pm_controller_new(struct ev_loop *loop, const struct pm_settings *settings,
                                        const struct pm_operator_settings *operator_settings)
{
    struct pm_controller *controller = g_new0(struct pm_controller, 1);

    controller->loop = loop;
    controller->settings = settings;
    controller->operator_settings = operator_settings;
    pm_name_tables_init(&controller->tables, settings);
    init_lock(controller);
    controller->http = pm_http_client_new(loop, settings->sockets / CLIENT_SOCKETS_DIVISOR);
    pm_controller_init_links(controller);
    init_planning(controller);
    init_replication(controller);
    pm_controller_attach_links(controller);
    pm_controller_init_roles(controller);
    pm_controller_init_planner(controller);
    start_reconcile_timer(controller);
    if (!start_servers(controller))
        return NULL; /* nothing is freed: main ends the process */
    /* The event loop releases the lock when it first waits. */
    g_mutex_lock(&controller->lock);
    pm_controller_start_planner(controller);
    return controller;
}
