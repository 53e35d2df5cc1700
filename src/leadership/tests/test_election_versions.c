/* The common protocol version of all controllers during upgrades. */
#include "controller_fixtures.h"

/* Formats that the previous version would misread are used only once every controller named in the
 * settings is known to run this version. A controller that has sent no message, or whose messages
 * name no version, counts as running an old version. The common version is stored, so that
 * processes started later can read it. */
static void common_version_needs_every_controller(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 4);
    Pm__PeerRequest message = PM__PEER_REQUEST__INIT;
    unsigned char data[64];
    int status = 0;

    (void)arg;
    configure_cluster(cluster, 3);
    start_controller(&cluster[0]);
    start_controller(&cluster[1]);
    assert_true(event_loop_run_until(loop, has_replica, &cluster[0]));
    assert_true(event_loop_run_until(loop, has_replica, &cluster[1]));
    message.from = "n2"; /* a request of the previous version names no version */
    pm_http_call(cluster[1].http, cluster[0].settings.peer_listen_addr, "POST", "/peer", data,
                 pm__peer_request__pack(&message, data), 30, 4096, on_status, &status);
    assert_true(event_loop_run_until(loop, has_status, &status));
    assert_int_equal(status, 200);
    run_for(2);
    assert_false(has_common_version(&cluster[0]));
    assert_int_equal(fake_store_revision(state_service, "p/speaks"), 0);
    /* n2 is upgraded. No messages arrive any more, but the others read its version in the state
     * service. */
    start_controller(&cluster[2]);
    for (int i = 0; i < 3; i++)
        pm_http_server_free(cluster[i].peer_server);
    assert_true(event_loop_run_until(loop, has_common_version, &cluster[0]));
    assert_true(event_loop_run_until(loop, has_common_version, &cluster[2]));
    /* A new process reads the common version. */
    cluster[3].settings = cluster[1].settings;
    cluster[3].operator_settings = cluster[1].operator_settings;
    deployment_fixture_init(&cluster[3].tables, &cluster[3].settings);
    start_controller(&cluster[3]);
    assert_true(event_loop_run_until(loop, has_common_version, &cluster[3]));
}

/* Responds as a controller of the previous version does, which never names a version. */
static void on_old_version_request(void *arg, struct pm_http_request *request)
{
    Pm__PeerResponse response = PM__PEER_RESPONSE__INIT;
    Pm__PeerRequest *message = pm__peer_request__unpack(NULL, request->body_size, request->body);
    unsigned char data[128];

    (void)arg;
    assert_non_null(message); /* the previous version can decode what this one sends */
    response.from = "n2";
    response.highest_epoch = message->epoch;
    response.has_state = true;
    response.store_refusing = true;
    response.store_revision = message->store_revision;
    response.has_cancellations = true;
    pm_http_reply(request, 200, data, pm__peer_response__pack(&response, data), 0);
    pm__peer_request__free_unpacked(message, NULL);
}

static struct pm_http_server *start_old_version(const struct controller *controller)
{
    struct pm_http_server *server = pm_http_server_new(loop, controller->settings.peer_listen_addr,
                                                       16, on_old_version_request, NULL);

    assert_non_null(server);
    return server;
}

/* Sends a request from the third controller to `receiver`, as the previous version would. */
static void ask_as_old_version(struct controller *sender, const struct controller *receiver)
{
    Pm__PeerRequest message = PM__PEER_REQUEST__INIT;
    unsigned char data[64];
    int status = 0;

    message.from = "n2";
    pm_http_call(sender->http, receiver->settings.peer_listen_addr, "POST", "/peer", data,
                 pm__peer_request__pack(&message, data), 30, 4096, on_status, &status);
    assert_true(event_loop_run_until(loop, has_status, &status));
    assert_int_equal(status, 200);
}

/* Starts two controllers of this version and one, the third, of the previous version. The first
 * uses the second address of the state service, so that a test can cut it off alone. Returns the
 * server of the third. */
static struct pm_http_server *start_mixed_versions(struct controller *cluster)
{
    struct pm_http_server *old_version;

    configure_cluster(cluster, 3);
    old_version = start_old_version(&cluster[2]);
    cluster[0].store_addr = fake_store_second_addr(state_service);
    start_controller(&cluster[0]);
    assert_true(event_loop_run_until(loop, is_elected, &cluster[0]));
    start_controller(&cluster[1]);
    assert_true(event_loop_run_until(loop, has_replica, &cluster[1]));
    run_for(2);
    assert_int_equal(fake_store_revision(state_service, "p/speaks"), 0);
    return old_version;
}

/* How soon all controllers must know the common version once nothing prevents it. It is well below
 * the 60 s that users wait, since the fake state service responds at once over the loopback. */
#define COMMON_VERSION_MAX_S 3.0

static void assert_common_version_soon(struct controller *controller, double since)
{
    assert_true(event_loop_run_until(loop, has_common_version, controller));
    assert_true(pm_clock_monotonic() - since < COMMON_VERSION_MAX_S);
}

/* The last controller is upgraded during an outage, when nothing can be written. Soon after the
 * outage all controllers know the common version. */
static void last_upgrade_during_an_outage(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);
    struct pm_http_server *old_version = start_mixed_versions(cluster);
    double outage_ended_at;

    (void)arg;
    fake_store_set_outage(state_service, true);
    assert_true(event_loop_run_until(loop, is_refused, &cluster[0]));
    pm_http_server_free(old_version);
    start_controller(&cluster[2]);
    run_for(1.5);
    assert_false(has_common_version(&cluster[0]));
    outage_ended_at = pm_clock_monotonic();
    fake_store_set_outage(state_service, false);
    for (int i = 0; i < 3; i++)
        assert_common_version_soon(&cluster[i], outage_ended_at);
}

/* The last controller that is upgraded cannot connect to the state service. The others learn its
 * version from its messages. */
static void last_upgrade_without_the_state_service(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);
    struct pm_http_server *old_version = start_mixed_versions(cluster);
    double since;

    (void)arg;
    cluster[2].store_addr = "127.0.0.1:9"; /* nobody listens there */
    pm_http_server_free(old_version);
    start_controller(&cluster[2]);
    since = pm_clock_monotonic();
    assert_common_version_soon(&cluster[0], since);
    assert_common_version_soon(&cluster[1], since);
    assert_false(has_common_version(&cluster[2]));
    assert_false(has_replica(&cluster[2]));
}

/* The last controller restarts in the old version before it is upgraded. */
static void restart_in_the_old_version(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);
    struct pm_http_server *old_version = start_mixed_versions(cluster);
    double since;

    (void)arg;
    pm_http_server_free(old_version);
    run_for(1);
    old_version = start_old_version(&cluster[2]);
    ask_as_old_version(&cluster[1], &cluster[0]);
    run_for(2);
    assert_false(has_common_version(&cluster[0]));
    pm_http_server_free(old_version);
    start_controller(&cluster[2]);
    since = pm_clock_monotonic();
    assert_common_version_soon(&cluster[0], since);
    /* A delayed message of the old version does not lower the known version. */
    ask_as_old_version(&cluster[1], &cluster[0]);
    ask_as_old_version(&cluster[0], &cluster[1]);
    run_for(1);
    assert_true(has_common_version(&cluster[0]));
    assert_true(has_common_version(&cluster[1]));
}

/* The leader fails in the middle of an upgrade. Its successor learns which version each controller
 * runs, and writes the common version. */
static void leader_lost_in_the_middle_of_an_upgrade(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);
    struct pm_http_server *old_version = start_mixed_versions(cluster);
    double since;

    (void)arg;
    pm_http_server_free(cluster[0].peer_server); /* its peers get no response any more */
    fake_store_set_second_addr_mode(state_service, FAKE_STORE_ADDR_REFUSES);
    fake_store_revoke_all_leases(state_service);
    assert_true(event_loop_run_until(loop, is_elected, &cluster[1]));
    assert_false(has_common_version(&cluster[1]));
    pm_http_server_free(old_version);
    start_controller(&cluster[2]);
    since = pm_clock_monotonic();
    assert_common_version_soon(&cluster[1], since);
}

/* With mixed versions, the vote of a controller of the previous version counts towards a majority
 * in an outage. */
static void old_version_votes_in_an_outage(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);

    (void)arg;
    start_mixed_versions(cluster);
    fake_store_set_outage(state_service, true);
    assert_true(event_loop_run_until(loop, is_refused, &cluster[0]));
    pm_http_server_free(cluster[1].peer_server);
    run_for(2 * cluster[0].operator_settings.confirm_s);
    assert_true(event_loop_run_until(loop, is_confirmed, &cluster[0]));
}

/* The state that wait_for_epoch() waits for. */
struct expected_epoch {
    const struct controller *controller;
    uint64_t after;
};

static bool is_epoch_after(void *arg)
{
    const struct expected_epoch *expected = arg;

    return pm_election_epoch(expected->controller->election) > expected->after;
}

/* Waits until the controller knows an epoch after `after`. Returns the tokens of its epoch. */
static struct pm_fencing_range wait_for_epoch(const struct controller *controller, uint64_t after)
{
    struct expected_epoch expected = {controller, after};

    assert_true(event_loop_run_until(loop, is_epoch_after, &expected));
    return pm_election_tokens(controller->election);
}

/* Has the leader advance its epoch. Returns the tokens of the new epoch. */
static struct pm_fencing_range advance_epoch(const struct controller *leader)
{
    uint64_t before = pm_election_epoch(leader->election);

    pm_election_advance_epoch(leader->election, NULL, 0);
    return wait_for_epoch(leader, before);
}

static void on_epoch_written(void *arg, enum pm_store_result result, uint64_t store_revision,
                             const cbor_item_t *conflicting_keys)
{
    (void)store_revision;
    (void)conflicting_keys;
    *(int *)arg = result == PM_STORE_OK ? 200 : 0;
}

/* Writes p/epoch as a leader of an earlier version does, which adds 1 to the number. */
static void advance_as_old_version(struct controller *writer, uint64_t epoch)
{
    struct pm_txn txn = {0};
    int status = 0;

    pm_txn_put_begin(&txn, "p/epoch");
    pm_cbor_put_map(&txn.writes);
    pm_cbor_put_pair_uint(&txn.writes, "epoch", epoch + 1);
    pm_cbor_put_pair_text(&txn.writes, "leader", "n2");
    pm_cbor_put_pair_text(&txn.writes, "boot", "earlier version");
    pm_cbor_put_end(&txn.writes);
    pm_txn_put_end(&txn, 0);
    pm_store_commit(writer->store, &txn, on_epoch_written, &status);
    assert_true(event_loop_run_until(loop, has_status, &status));
}

/* An epoch owns several fencing tokens only once every controller reads that. Its tokens are above
 * those of all epochs before, also of one that an earlier version has begun since, and at most its
 * number, so that an earlier version which leads next has a higher token. */
static void epochs_own_several_tokens_once_all_read_it(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);
    struct pm_http_server *old_version = start_mixed_versions(cluster);
    struct pm_fencing_range single = advance_epoch(&cluster[0]);
    struct pm_fencing_range range;
    struct pm_fencing_range next;

    (void)arg;
    assert_int_equal(single.first, single.last);
    pm_http_server_free(old_version);
    start_controller(&cluster[2]);
    for (int i = 0; i < 3; i++)
        assert_true(event_loop_run_until(loop, has_common_version, &cluster[i]));
    range = advance_epoch(&cluster[0]);
    assert_int_equal(range.first, single.last + 1);
    assert_int_equal(range.last, single.last + PM_TOKENS_PER_EPOCH);
    next = wait_for_epoch(&cluster[1], single.last); /* the followers read the same tokens */
    assert_int_equal(next.first, range.first);
    advance_as_old_version(&cluster[1], range.last);
    next = wait_for_epoch(&cluster[1], range.last);
    assert_int_equal(next.first, range.last + 1);
    assert_int_equal(next.last, range.last + 1);
    fake_store_revoke_all_leases(state_service);
    next = wait_for_epoch(&cluster[1], range.last + 1);
    assert_int_equal(next.first, range.last + 2);
    assert_int_equal(next.last, range.last + 1 + PM_TOKENS_PER_EPOCH);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(common_version_needs_every_controller, set_up),
        cmocka_unit_test_setup(last_upgrade_during_an_outage, set_up),
        cmocka_unit_test_setup(last_upgrade_without_the_state_service, set_up),
        cmocka_unit_test_setup(restart_in_the_old_version, set_up),
        cmocka_unit_test_setup(leader_lost_in_the_middle_of_an_upgrade, set_up),
        cmocka_unit_test_setup(old_version_votes_in_an_outage, set_up),
        cmocka_unit_test_setup(epochs_own_several_tokens_once_all_read_it, set_up),
    };

    cmocka_set_test_filter(g_getenv("PM_TEST_FILTER"));
    return cmocka_run_group_tests(tests, NULL, NULL);
}
