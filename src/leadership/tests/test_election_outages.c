/* Outages of the state service: which controllers may answer workers, and by whose votes. */
#include "controller_fixtures.h"

/* Configures three controllers. The first one leads, the second has read the state, the third is
 * not running. Then the state service refuses all of them. */
static void begin_outage(struct controller *cluster)
{
    configure_cluster(cluster, 3);
    start_controller(&cluster[0]);
    assert_true(event_loop_run_until(loop, is_elected, &cluster[0]));
    start_controller(&cluster[1]);
    assert_true(event_loop_run_until(loop, has_replica, &cluster[1]));
    assert_true(event_loop_run_until(loop, is_epoch_acked, &cluster[0]));
    fake_store_set_outage(state_service, true);
}

/* A leader that the state service refuses learns of a later epoch. It is not confirmed in its own
 * epoch, even if a controller that does not know the later epoch yet votes for it. */
static void later_epoch_of_a_peer_prevents_confirmation(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);
    Pm__PeerRequest message = PM__PEER_REQUEST__INIT;
    unsigned char data[64];
    int status = 0;

    (void)arg;
    begin_outage(cluster);
    message.from = "n2";
    message.epoch = pm_election_epoch(cluster[0].election) + 1;
    pm_http_call(cluster[1].http, cluster[0].settings.peer_listen_addr, "POST", "/peer", data,
                 pm__peer_request__pack(&message, data), 30, 4096, on_status, &status);
    assert_true(event_loop_run_until(loop, has_status, &status));
    assert_int_equal(status, 200);
    assert_true(event_loop_run_until(loop, is_unconfirmed, &cluster[0]));
    for (int i = 0; i < 40; i++) { /* it stays unconfirmed, although n1 votes for it */
        double deadline = pm_clock_monotonic() + 0.05;
        assert_true(event_loop_run_until(loop, is_deadline_past, &deadline));
        assert_false(is_confirmed(&cluster[0]));
    }
}

/* In an outage the epoch is confirmed by a majority of controllers that have read the state. */
static void outage_confirmation_needs_a_majority(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);
    double deadline;

    (void)arg;
    begin_outage(cluster);
    /* Two of three controllers keep the epoch confirmed for longer than one confirmation lasts. */
    deadline = pm_clock_monotonic() + 2 * cluster[0].operator_settings.confirm_s;
    assert_true(event_loop_run_until(loop, is_deadline_past, &deadline));
    assert_true(event_loop_run_until(loop, is_confirmed, &cluster[0]));
    /* The third controller starts during the outage: it has not read the state and can't vote. */
    pm_http_server_free(cluster[1].peer_server);
    cluster[1].peer_server = NULL;
    start_controller(&cluster[2]);
    assert_true(event_loop_run_until(loop, is_unconfirmed, &cluster[0]));
    assert_int_equal(cluster[2].elected_epoch, 0);
}

/* A leader is cut off from the state service and from its peers, but not from the workers. After
 * confirm_s it is no longer confirmed, so it answers no worker, and it stays unconfirmed. */
static void partitioned_leader_is_not_confirmed(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);
    double deadline;

    (void)arg;
    configure_cluster(cluster, 3);
    start_controller(&cluster[0]);
    assert_true(event_loop_run_until(loop, is_elected, &cluster[0]));
    start_controller(&cluster[1]);
    assert_true(event_loop_run_until(loop, is_epoch_acked, &cluster[0]));
    fake_store_set_hanging(state_service, true);
    pm_http_server_free(cluster[1].peer_server);
    deadline = pm_clock_monotonic() + cluster[0].operator_settings.confirm_s + 0.5;
    assert_true(event_loop_run_until(loop, is_deadline_past, &deadline));
    assert_false(is_confirmed(&cluster[0]));
    deadline = pm_clock_monotonic() + 1;
    assert_true(event_loop_run_until(loop, is_deadline_past, &deadline));
    assert_false(is_confirmed(&cluster[0]));
}

static bool may_renew(void *arg)
{
    return pm_election_may_renew_in_outage(((struct controller *)arg)->election,
                                           pm_clock_monotonic());
}

static bool may_not_renew(void *arg)
{
    return !may_renew(arg);
}

/* In an outage of the state service the leader does not respond. Followers may answer workers, so
 * that their leases do not expire, if a majority is refused, has read the state and knows no later
 * epoch. When the leader responds again, it must not use its own earlier answers to compute when
 * leases expire, since followers may have renewed the leases later. */
static void followers_renew_leases_in_an_outage_without_leader(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);
    double deadline;
    double outage_ended_at;

    (void)arg;
    configure_cluster(cluster, 3);
    start_controller(&cluster[0]);
    assert_true(event_loop_run_until(loop, is_elected, &cluster[0]));
    start_controller(&cluster[1]);
    start_controller(&cluster[2]);
    assert_true(event_loop_run_until(loop, has_replica, &cluster[1]));
    assert_true(event_loop_run_until(loop, has_replica, &cluster[2]));
    fake_store_set_outage(state_service, true);
    assert_true(event_loop_run_until(loop, is_refused, &cluster[1]));
    assert_true(event_loop_run_until(loop, is_refused, &cluster[2]));
    deadline = pm_clock_monotonic() + 4;
    assert_true(event_loop_run_until(loop, is_deadline_past, &deadline));
    assert_false(may_renew(&cluster[1])); /* the leader still responds to its peers */
    pm_http_server_free(cluster[0].peer_server);
    assert_true(event_loop_run_until(loop, may_renew, &cluster[1]));
    assert_true(event_loop_run_until(loop, may_renew, &cluster[2]));
    assert_int_equal(pm_election_epoch(cluster[1].election),
                     pm_election_epoch(cluster[0].election));
    outage_ended_at = pm_clock_monotonic();
    fake_store_set_outage(state_service, false);
    assert_true(event_loop_run_until(loop, may_not_renew, &cluster[1]));
    assert_true(event_loop_run_until(loop, is_confirmed, &cluster[0]));
    assert_true(pm_election_exclusive_since(cluster[0].election) >=
                outage_ended_at + cluster[0].operator_settings.confirm_s);
}

/* Without a majority of votes no follower answers workers in place of the leader. */
static void follower_without_a_majority_renews_no_lease(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);
    double deadline;

    (void)arg;
    /* The third controller is not running, so without the leader there is no majority. */
    begin_outage(cluster);
    pm_http_server_free(cluster[0].peer_server);
    assert_true(event_loop_run_until(loop, is_refused, &cluster[1]));
    deadline = pm_clock_monotonic() + 5;
    assert_true(event_loop_run_until(loop, is_deadline_past, &deadline));
    assert_false(may_renew(&cluster[1]));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(outage_confirmation_needs_a_majority, set_up),
        cmocka_unit_test_setup(later_epoch_of_a_peer_prevents_confirmation, set_up),
        cmocka_unit_test_setup(partitioned_leader_is_not_confirmed, set_up),
        cmocka_unit_test_setup(followers_renew_leases_in_an_outage_without_leader, set_up),
        cmocka_unit_test_setup(follower_without_a_majority_renews_no_lease, set_up),
    };

    cmocka_set_test_filter(g_getenv("PM_TEST_FILTER"));
    return cmocka_run_group_tests(tests, NULL, NULL);
}
