/* Fixture: two controllers, one of which leads, and a fake state service, all in this process. */
#ifndef PM_SHARDS_TESTS_SHARD_FIXTURES_H
#define PM_SHARDS_TESTS_SHARD_FIXTURES_H

#include "../../jobs/tests/job_fixtures.h"
#include "base/clock.h"
#include "shards/shards.h"
#include "testing/fake_store.h"

#include <ev.h>
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

/* A controller with the slices that shards need, and a record of what their hooks reported. */
struct controller {
    struct pm_settings settings;
    struct pm_operator_settings operator_settings;
    struct pm_name_tables tables;
    struct pm_http_client *http;
    struct pm_http_server *peer_server;
    struct pm_store *store;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    struct pm_scheduler *scheduler;
    struct pm_election *election;
    struct pm_shards *shards;
    uint64_t elected_epoch; /* epoch of its last election; 0 if it was never elected */
    bool is_owner;          /* it owns a shard */
    int returned_job_count, lost_ownership_count;
};

static struct ev_loop *loop;
static struct fake_store *state_service;

static void on_put(void *arg, const char *key, const cbor_item_t *value, uint64_t revision)
{
    struct controller *controller = arg;

    pm_election_apply_put(controller->election, key, value, revision);
    pm_shards_apply_put(controller->shards, key, value, revision);
    pm_jobs_apply_put(controller->jobs, key, value, revision);
}

static void on_delete(void *arg, const char *key, uint64_t revision)
{
    struct controller *controller = arg;

    pm_election_apply_delete(controller->election, key, revision);
    pm_shards_apply_delete(controller->shards, key, revision);
    pm_jobs_apply_delete(controller->jobs, key, revision);
}

static void on_snapshot_begin(void *arg)
{
    struct controller *controller = arg;

    pm_election_snapshot_begin(controller->election);
    pm_shards_snapshot_begin(controller->shards);
}

static void on_nothing(void *arg)
{
    (void)arg;
}

static void on_caught_up(void *arg, uint64_t store_revision)
{
    (void)store_revision;
    pm_shards_caught_up(((struct controller *)arg)->shards);
}

static void on_elected(void *arg, uint64_t epoch)
{
    struct controller *controller = arg;

    controller->elected_epoch = epoch;
    pm_shards_adopt(controller->shards, pm_clock_monotonic());
}

static void on_epoch_advanced(void *arg, uint64_t epoch)
{
    (void)arg;
    (void)epoch;
}

static void on_job_returned(void *arg, struct pm_job *job)
{
    (void)job;
    ((struct controller *)arg)->returned_job_count++;
}

static void on_machine_quarantined(void *arg, struct pm_machine *machine)
{
    (void)arg;
    (void)machine;
}

static void on_ownership_changed(void *arg, bool has_shard)
{
    struct controller *controller = arg;

    controller->is_owner = has_shard;
    controller->lost_ownership_count += !has_shard;
}

static void on_peer(void *arg, struct pm_http_request *req)
{
    struct controller *controller = arg;

    if (!strcmp(req->path, "/block"))
        pm_shards_handle_peer_request(controller->shards, req);
    else
        pm_election_handle_peer_request(controller->election, req);
}

static void on_cancelled(void *arg, const char *id, uint64_t revision)
{
    pm_jobs_apply_cancellation(((struct controller *)arg)->jobs, id, revision);
}

static const struct pm_cancellation *
on_list_cancellations(void *arg, uint64_t revision, size_t max_count, size_t *count, bool *has_more)
{
    return pm_jobs_list_cancellations(((struct controller *)arg)->jobs, revision, max_count, count,
                                      has_more);
}

static void on_peer_reached(void *arg, int peer, uint64_t store_revision)
{
    (void)arg;
    (void)peer;
    (void)store_revision;
}

static void init_settings(struct controller *controller, const char *name, int port,
                          const char *peer, int peer_port)
{
    memset(controller, 0, sizeof *controller);
    pm_operator_settings_defaults(&controller->operator_settings);
    controller->settings.cluster_size = 2;
    controller->settings.peer_count = 1;
    deployment_fixture_init(&controller->tables, &controller->settings);
    controller->settings.heartbeat_s = 1000; /* the tests' worker sends a single heartbeat */
    g_strlcpy(controller->settings.name, name, PM_NAME_MAX);
    snprintf(controller->settings.peer_listen_addr, 64, "127.0.0.1:%d", port);
    g_strlcpy(controller->settings.peers[0].name, peer, PM_NAME_MAX);
    snprintf(controller->settings.peers[0].addr, 64, "127.0.0.1:%d", peer_port);
}

static void start(struct controller *controller)
{
    controller->http = pm_http_client_new(loop, 64);
    controller->jobs = pm_jobs_new(&controller->tables);
    controller->workers =
        pm_workers_new(&controller->tables, controller->jobs, NO_OP_WORKERS_HOOKS);
    controller->scheduler = pm_scheduler_new(&controller->tables, controller->jobs,
                                             controller->workers, &controller->operator_settings);
    controller->store =
        pm_store_new(loop, controller->http, fake_store_addr(state_service), 1000,
                     &(struct pm_store_observer){on_put, on_delete, on_snapshot_begin, on_nothing,
                                                 on_caught_up, controller});
    controller->election =
        pm_election_new(loop, controller->store, controller->http, &controller->settings,
                        &controller->operator_settings,
                        &(struct pm_election_hooks){on_elected, on_nothing, on_epoch_advanced,
                                                    on_nothing, on_cancelled, on_list_cancellations,
                                                    on_peer_reached, controller});
    controller->shards = pm_shards_new(
        &controller->tables, controller->jobs, controller->workers, controller->scheduler,
        controller->store, controller->http, controller->election,
        &(struct pm_shards_hooks){on_nothing, on_job_returned, on_machine_quarantined,
                                  on_ownership_changed, controller});
    controller->peer_server =
        pm_http_server_new(loop, controller->settings.peer_listen_addr, 16, on_peer, controller);
    assert_non_null(controller->peer_server);
}

static bool is_elected(void *arg)
{
    return ((struct controller *)arg)->elected_epoch > 0;
}

/* Applies a heartbeat of the worker on machine i-000001, as its first incarnation. */
static void apply_heartbeat(struct controller *controller, uint64_t sequence)
{
    struct pm_buffer buf = {0};
    struct pm_machine *machine;
    cbor_item_t *item;
    bool is_new;

    pm_cbor_put_map(&buf);
    pm_cbor_put_pair_text(&buf, "host", "i-000001");
    pm_cbor_put_pair_text(&buf, "endpoint", "127.0.0.1:9");
    pm_cbor_put_pair_text(&buf, "model", "g8");
    pm_cbor_put_pair_text(&buf, "room", "a");
    pm_cbor_put_pair_flag(&buf, "borrowed", true);
    pm_cbor_put_pair_uint(&buf, "shift", 1);
    pm_cbor_put_pair_uint(&buf, "tally", sequence);
    pm_cbor_put_pair_uint(&buf, "mandate", pm_election_epoch(controller->election));
    pm_cbor_put_end(&buf);
    item = pm_cbor_parse(buf.data, buf.size);
    machine = pm_workers_apply_report(controller->workers, item, PM_REPORT_HEARTBEAT,
                                      pm_election_tokens(controller->election),
                                      pm_clock_monotonic(), &is_new);
    assert_non_null(machine);
    machine->provider.is_listed = true;
    pm_cbor_free(item);
    pm_buffer_free(&buf);
}

static void on_written(void *arg, enum pm_store_result result, uint64_t store_revision,
                       const cbor_item_t *conflicting_keys)
{
    (void)store_revision;
    (void)conflicting_keys;
    *(int *)arg = result;
}

/* A job that a test expects in a controller's replica. */
struct awaited_job {
    struct controller *controller;
    const char *id;
};

static bool has_job(void *arg)
{
    const struct awaited_job *awaited = arg;

    return pm_jobs_find(awaited->controller->jobs, awaited->id) != NULL;
}

/* Submits a job of two tasks and waits until the controller's replica has it. The leader does not
 * assign a job with `spread`, whose tasks are spread over zones, to an owner. */
static void write_job(struct controller *controller, const char *id, bool spread)
{
    struct awaited_job awaited = {controller, id};
    char key[64];
    struct pm_spec spec = {.zone = -1,
                           .allowed_types = ~(uint64_t)0,
                           .task_count = 2,
                           .cpus = 4,
                           .ram_gb = 4,
                           .spot = true,
                           .spread_zones = spread,
                           .priority = PM_PRIORITY_NORMAL,
                           .deadline_s = -1};
    static int result; /* static, because the commit may complete after this call */
    struct pm_txn txn = {0};

    spec.class_index = pm_names_intern(controller->tables.class_names, "train");
    spec.image = pm_names_intern(controller->tables.image_names, "img");
    snprintf(key, sizeof key, "p/j/%s", id);
    pm_txn_put_begin(&txn, key);
    pm_job_encode(&controller->tables, &spec, 2, PM_JOB_LIVE, true, &txn.writes);
    pm_txn_put_end(&txn, 0);
    pm_store_commit(controller->store, &txn, on_written, &result);
    assert_true(event_loop_run_until(loop, has_job, &awaited));
}

static struct controller leader, owner;

/* Starts both controllers. `leader` has been elected and has one machine, whose worker has sent a
 * heartbeat. `owner`, which will own a shard, is about to read its first snapshot. */
static int set_up(void **arg)
{
    int leader_port = event_loop_free_port();
    int owner_port = event_loop_free_port();

    (void)arg;
    loop = ev_loop_new(EVFLAG_AUTO);
    state_service = fake_store_new(loop);
    init_settings(&leader, "n0", leader_port, "n1", owner_port);
    init_settings(&owner, "n1", owner_port, "n0", leader_port);
    start(&leader);
    assert_true(event_loop_run_until(loop, is_elected, &leader));
    start(&owner);
    apply_heartbeat(&leader, 1);
    return 0;
}

#endif
