/* The protocol version that all controllers run, through upgrades. */
#include "controller_fixtures.h"

/* What the previous version would misread is used once every controller named in the settings is
 * known to run this one: a controller that has sent no message counts as old, and so does one whose
 * messages name no version. Once known, this outlives the processes that knew it. */
static void common_version_needs_every_controller(void **arg)
{
    struct controller *all = g_new0(struct controller, 4);
    Pm__PeerRequest message = PM__PEER_REQUEST__INIT;
    unsigned char data[64];
    int status = 0;

    (void)arg;
    configure_cluster(all, 3);
    start_controller(&all[0]);
    start_controller(&all[1]);
    assert_true(event_loop_run_until(loop, has_replica, &all[0]));
    assert_true(event_loop_run_until(loop, has_replica, &all[1]));
    message.from = "n2"; /* as the previous version asks */
    pm_http_call(all[1].http, all[0].settings.peer_listen_addr, "POST", "/peer", data,
                 pm__peer_request__pack(&message, data), 30, 4096, on_status, &status);
    assert_true(event_loop_run_until(loop, has_status, &status));
    assert_int_equal(status, 200);
    run_for(2);
    assert_false(has_common_version(&all[0]));
    assert_int_equal(fake_store_revision(state, "p/speaks"), 0);
    /* It is upgraded. Its messages do not arrive, but its version in the state service does. */
    start_controller(&all[2]);
    for (int i = 0; i < 3; i++)
        pm_http_server_free(all[i].peer_server);
    assert_true(event_loop_run_until(loop, has_common_version, &all[0]));
    assert_true(event_loop_run_until(loop, has_common_version, &all[2]));
    /* A new process reads the common version. */
    all[3].settings = all[1].settings;
    all[3].operator_settings = all[1].operator_settings;
    fixture_begin(&all[3].tables, &all[3].settings);
    start_controller(&all[3]);
    assert_true(event_loop_run_until(loop, has_common_version, &all[3]));
}

/* A controller of the previous version: it answers as that one does, and never names a version. */
static void on_old_version_request(void *arg, struct pm_http_request *request)
{
    Pm__PeerResponse response = PM__PEER_RESPONSE__INIT;
    Pm__PeerRequest *message = pm__peer_request__unpack(NULL, request->body_size, request->body);
    unsigned char data[128];

    (void)arg;
    assert_non_null(message); /* it reads what this version sends */
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

/* The third controller asks as the previous version does. */
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

/* Two run this version, the third the previous one. The first uses the second address of the state
 * service, so that a test can cut off that one alone. Returns the server of the third. */
static struct pm_http_server *start_mixed_versions(struct controller *all)
{
    struct pm_http_server *old_version;

    configure_cluster(all, 3);
    old_version = start_old_version(&all[2]);
    all[0].store_addr = fake_store_second_addr(state);
    start_controller(&all[0]);
    assert_true(event_loop_run_until(loop, is_elected, &all[0]));
    start_controller(&all[1]);
    assert_true(event_loop_run_until(loop, has_replica, &all[1]));
    run_for(2);
    assert_int_equal(fake_store_revision(state, "p/speaks"), 0);
    return old_version;
}

/* How soon all have to know the common version after they can: well within the 60 s that users
 * wait. The fake state service and the loopback answer at once. */
#define COMMON_VERSION_MAX_S 3.0

static void assert_common_version_soon(struct controller *controller, double since)
{
    assert_true(event_loop_run_until(loop, has_common_version, controller));
    assert_true(pm_clock_monotonic() - since < COMMON_VERSION_MAX_S);
}

/* The last controller is upgraded during an outage: nothing can be written then, and at its end all
 * know the common version. */
static void last_upgrade_during_an_outage(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    struct pm_http_server *old_version = start_mixed_versions(all);
    double outage_ended_at;

    (void)arg;
    fake_store_set_outage(state, true);
    assert_true(event_loop_run_until(loop, is_refused, &all[0]));
    pm_http_server_free(old_version);
    start_controller(&all[2]);
    run_for(1.5);
    assert_false(has_common_version(&all[0]));
    outage_ended_at = pm_clock_monotonic();
    fake_store_set_outage(state, false);
    for (int i = 0; i < 3; i++)
        assert_common_version_soon(&all[i], outage_ended_at);
}

/* The last controller does not reach the state service: its messages name its version to the
 * others. */
static void last_upgrade_without_the_state_service(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    struct pm_http_server *old_version = start_mixed_versions(all);
    double since;

    (void)arg;
    all[2].store_addr = "127.0.0.1:9"; /* nobody listens there */
    pm_http_server_free(old_version);
    start_controller(&all[2]);
    since = pm_clock_monotonic();
    assert_common_version_soon(&all[0], since);
    assert_common_version_soon(&all[1], since);
    assert_false(has_common_version(&all[2]));
    assert_false(has_replica(&all[2]));
}

/* The last controller restarts in the old version while the others are being upgraded. */
static void restart_in_the_old_version(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    struct pm_http_server *old_version = start_mixed_versions(all);
    double since;

    (void)arg;
    pm_http_server_free(old_version);
    run_for(1);
    old_version = start_old_version(&all[2]);
    ask_as_old_version(&all[1], &all[0]);
    run_for(2);
    assert_false(has_common_version(&all[0]));
    pm_http_server_free(old_version);
    start_controller(&all[2]);
    since = pm_clock_monotonic();
    assert_common_version_soon(&all[0], since);
    /* A delayed message of the old version does not lower what is known. */
    ask_as_old_version(&all[1], &all[0]);
    ask_as_old_version(&all[0], &all[1]);
    run_for(1);
    assert_true(has_common_version(&all[0]));
    assert_true(has_common_version(&all[1]));
}

/* The leader is lost when half are upgraded: its successor knows which version each runs, and
 * writes the common one. */
static void leader_lost_in_the_middle_of_an_upgrade(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    struct pm_http_server *old_version = start_mixed_versions(all);
    double since;

    (void)arg;
    pm_http_server_free(all[0].peer_server); /* its peers get no answer any more */
    fake_store_set_second_access(state, FAKE_STORE_REFUSES);
    fake_store_revoke_all_leases(state);
    assert_true(event_loop_run_until(loop, is_elected, &all[1]));
    assert_false(has_common_version(&all[1]));
    pm_http_server_free(old_version);
    start_controller(&all[2]);
    since = pm_clock_monotonic();
    assert_common_version_soon(&all[1], since);
}

/* With mixed versions an outage is survived as ever: a controller of the previous version counts
 * for a majority. */
static void old_version_votes_in_an_outage(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);

    (void)arg;
    start_mixed_versions(all);
    fake_store_set_outage(state, true);
    assert_true(event_loop_run_until(loop, is_refused, &all[0]));
    pm_http_server_free(all[1].peer_server);
    run_for(2 * all[0].operator_settings.confirm_s);
    assert_true(event_loop_run_until(loop, is_confirmed, &all[0]));
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
    };

    cmocka_set_test_filter(g_getenv("PM_TEST_FILTER"));
    return cmocka_run_group_tests(tests, NULL, NULL);
}
