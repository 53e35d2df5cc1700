/* Fixture of the leadership tests: a cluster of controllers in this process, against a fake state
 * service. Each controller consists of an election, a cancellation quorum, a store client and the
 * jobs only. Each test has its own event loop and state service. Controllers are never freed. */
#ifndef PM_LEADERSHIP_TESTS_CONTROLLER_FIXTURES_H
#define PM_LEADERSHIP_TESTS_CONTROLLER_FIXTURES_H

#include "../../jobs/tests/job_fixtures.h"
#include "testing/fake_store.h"
#include "base/clock.h"
#include "base/protocol.h"
#include "leadership/cancellation_quorum.h"
#include "leadership/election.h"
#include "peer.pb-c.h"

#include <ev.h>
#include <glib.h>
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

static struct ev_loop *loop;
static struct fake_store *state_service;

struct controller {
    struct pm_settings settings;
    struct pm_operator_settings operator_settings;
    struct pm_http_client *http;
    struct pm_http_server *peer_server;
    struct pm_store *store;
    struct pm_election *election;
    struct pm_cancel_quorum *cancel_quorum;
    struct pm_name_tables tables;
    struct pm_jobs *jobs;
    const char *store_addr; /* NULL means the first address of the state service */
    /* The epochs that the hooks `elected` and `epoch_advanced` were last called with; 0 before the
     * first call. */
    uint64_t elected_epoch, advanced_epoch;
    int step_down_count;
};

/* ---- set-up ---- */

static inline int set_up(void **arg)
{
    (void)arg;
    loop = ev_loop_new(EVFLAG_AUTO);
    state_service = fake_store_new(loop);
    return 0;
}

static inline void on_key_put(void *arg, const char *key, const cbor_item_t *value,
                              uint64_t revision)
{
    struct controller *controller = arg;

    pm_election_apply_put(controller->election, key, value, revision);
    pm_cancel_quorum_apply_put(controller->cancel_quorum, key, value);
    if (pm_jobs_apply_put(controller->jobs, key, value, revision) &&
        pm_store_is_ready(controller->store))
        pm_cancel_quorum_note_cancellation_read(controller->cancel_quorum, revision);
}

static inline void on_key_deleted(void *arg, const char *key, uint64_t revision)
{
    pm_election_apply_delete(((struct controller *)arg)->election, key, revision);
}

static inline void on_snapshot_begin(void *arg)
{
    pm_election_snapshot_begin(((struct controller *)arg)->election);
}

static inline void on_snapshot_end(void *arg)
{
    (void)arg;
}

static inline void on_caught_up(void *arg, uint64_t store_revision)
{
    (void)arg;
    (void)store_revision;
}

static inline void on_elected(void *arg, uint64_t epoch)
{
    ((struct controller *)arg)->elected_epoch = epoch;
}

static inline void on_stepped_down(void *arg)
{
    ((struct controller *)arg)->step_down_count++;
}

static inline void on_epoch_advanced(void *arg, uint64_t epoch)
{
    ((struct controller *)arg)->advanced_epoch = epoch;
}

static inline void on_epoch_confirmed(void *arg)
{
    (void)arg;
}

static inline void on_cancelled(void *arg, const char *id, uint64_t revision)
{
    pm_jobs_apply_cancellation(((struct controller *)arg)->jobs, id, revision);
}

static inline const struct pm_cancellation *
on_list_cancellations(void *arg, uint64_t revision, size_t limit, size_t *count, bool *has_more)
{
    return pm_jobs_list_cancellations(((struct controller *)arg)->jobs, revision, limit, count,
                                      has_more);
}

static inline void on_peer_reached_revision(void *arg, int peer, uint64_t store_revision)
{
    pm_cancel_quorum_note_peer_revision(((struct controller *)arg)->cancel_quorum, peer,
                                        store_revision);
}

static inline void on_peer_request(void *arg, struct pm_http_request *request)
{
    struct controller *controller = arg;

    if (!strcmp(request->path, "/cancelled"))
        pm_cancel_quorum_handle_peer_request(controller->cancel_quorum, request);
    else
        pm_election_handle_peer_request(controller->election, request);
}

/* Initializes `count` controllers with names and addresses, and makes them peers of one another. */
static inline void configure_cluster(struct controller *cluster, int count)
{
    for (int i = 0; i < count; i++) {
        memset(&cluster[i], 0, sizeof cluster[i]);
        pm_operator_settings_defaults(&cluster[i].operator_settings);
        deployment_fixture_init(&cluster[i].tables, &cluster[i].settings);
        cluster[i].settings.cluster_size = count;
        snprintf(cluster[i].settings.name, PM_NAME_MAX, "n%d", i);
        snprintf(cluster[i].settings.peer_listen_addr, 64, "127.0.0.1:%d", event_loop_free_port());
    }
    for (int i = 0; i < count; i++)
        for (int j = 0; j < count; j++) {
            struct pm_peer_setting *peer;
            if (i == j)
                continue;
            peer = &cluster[i].settings.peers[cluster[i].settings.peer_count++];
            g_strlcpy(peer->name, cluster[j].settings.name, sizeof peer->name);
            g_strlcpy(peer->addr, cluster[j].settings.peer_listen_addr, sizeof peer->addr);
        }
}

/* Starts to listen for requests of the peers. Tests also use it to reopen an endpoint. */
static inline void open_peer_endpoint(struct controller *controller)
{
    controller->peer_server = pm_http_server_new(loop, controller->settings.peer_listen_addr, 16,
                                                 on_peer_request, controller);
    assert_non_null(controller->peer_server);
}

static inline void start_controller(struct controller *controller)
{
    controller->http = pm_http_client_new(loop, 64);
    controller->jobs = pm_jobs_new(&controller->tables);
    controller->store = pm_store_new(
        loop, controller->http,
        controller->store_addr ? controller->store_addr : fake_store_addr(state_service), 1000,
        &(struct pm_store_observer){on_key_put, on_key_deleted, on_snapshot_begin, on_snapshot_end,
                                    on_caught_up, controller});
    controller->election = pm_election_new(
        loop, controller->store, controller->http, &controller->settings,
        &controller->operator_settings,
        &(struct pm_election_hooks){on_elected, on_stepped_down, on_epoch_advanced,
                                    on_epoch_confirmed, on_cancelled, on_list_cancellations,
                                    on_peer_reached_revision, controller});
    controller->cancel_quorum =
        pm_cancel_quorum_new(loop, controller->store, controller->http, &controller->settings,
                             &(struct pm_cancel_quorum_hooks){on_cancelled, controller});
    open_peer_endpoint(controller);
}

/* ---- conditions for event_loop_run_until ---- */

static inline bool is_elected(void *arg)
{
    return ((struct controller *)arg)->elected_epoch > 0;
}

static inline bool is_confirmed(void *arg)
{
    return pm_election_is_confirmed(((struct controller *)arg)->election, pm_clock_monotonic());
}

static inline bool is_unconfirmed(void *arg)
{
    return !is_confirmed(arg);
}

static inline bool has_replica(void *arg)
{
    return pm_store_is_ready(((struct controller *)arg)->store);
}

static inline bool is_refused(void *arg)
{
    return pm_store_is_refusing(((struct controller *)arg)->store);
}

static inline bool has_common_version(void *arg)
{
    return pm_election_protocol_version(((struct controller *)arg)->election) >=
           PM_PROTOCOL_DEPENDENCIES;
}

static inline bool is_deadline_past(void *arg)
{
    return pm_clock_monotonic() > *(double *)arg;
}

/* Whether the controller leads and a majority has acknowledged an epoch of its term. */
static inline bool is_epoch_acked(void *arg)
{
    return isfinite(pm_election_epoch_exclusive_since(((struct controller *)arg)->election, 0));
}

/* Runs the event loop for this many seconds. */
static inline void run_for(double seconds)
{
    double deadline = pm_clock_monotonic() + seconds;

    assert_true(event_loop_run_until(loop, is_deadline_past, &deadline));
}

/* ---- requests ---- */

/* Callback for requests of which only the status is checked. `arg` is an int, 0 before the
 * response. */
static inline void on_status(void *arg, int status, const unsigned char *body, size_t size)
{
    (void)body;
    (void)size;
    *(int *)arg = status;
}

static inline bool has_status(void *arg)
{
    return *(int *)arg != 0;
}

/* Turns leak detection off: the controllers of a test are not freed, as in the daemon. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

#endif
