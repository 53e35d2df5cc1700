/* Outages of the state service: who may answer workers meanwhile, and by whose votes. */
#include "controller_fixtures.h"

/* Three controllers: the first leads, the second has its replica, the third is not running. Then
 * the state service refuses everybody. */
static void begin_outage(struct controller *all)
{
    configure_cluster(all, 3);
    start_controller(&all[0]);
    assert_true(event_loop_run_until(loop, is_elected, &all[0]));
    start_controller(&all[1]);
    assert_true(event_loop_run_until(loop, has_replica, &all[1]));
    assert_true(event_loop_run_until(loop, has_lease_lower_bound, &all[0]));
    fake_store_set_outage(state, true);
}

/* A leader that the state service refuses, and that knows the epoch of a successor, does not vote
 * for its own epoch, though another controller does not know of the successor yet. */
static void later_epoch_of_a_peer_prevents_confirmation(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    Pm__PeerRequest message = PM__PEER_REQUEST__INIT;
    unsigned char data[64];
    int status = 0;

    (void)arg;
    begin_outage(all);
    message.from = "n2";
    message.epoch = pm_election_epoch(all[0].election) + 1;
    pm_http_call(all[1].http, all[0].settings.peer_listen_addr, "POST", "/peer", data,
                 pm__peer_request__pack(&message, data), 30, 4096, on_status, &status);
    assert_true(event_loop_run_until(loop, has_status, &status));
    assert_int_equal(status, 200);
    assert_true(event_loop_run_until(loop, is_unconfirmed, &all[0]));
    for (int i = 0; i < 40; i++) { /* and so it stays, although n1 votes for it */
        double deadline = pm_clock_monotonic() + 0.05;
        assert_true(event_loop_run_until(loop, is_past, &deadline));
        assert_false(is_confirmed(&all[0]));
    }
}

/* In an outage a majority of those that have a replica confirms the epoch. */
static void outage_confirmation_needs_a_majority(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    double deadline;

    (void)arg;
    begin_outage(all);
    /* Two of three confirm it for longer than one confirmation lasts. */
    deadline = pm_clock_monotonic() + 2 * all[0].operator_settings.confirm_s;
    assert_true(event_loop_run_until(loop, is_past, &deadline));
    assert_true(event_loop_run_until(loop, is_confirmed, &all[0]));
    /* The third was started in the outage: it has no replica, so it has no vote. */
    pm_http_server_free(all[1].peer_server);
    all[1].peer_server = NULL;
    start_controller(&all[2]);
    assert_true(event_loop_run_until(loop, is_unconfirmed, &all[0]));
    assert_int_equal(all[2].elected_epoch, 0);
}

/* A leader that is cut off from the state service and from its peers, but not from the workers:
 * after confirm_s it is not confirmed any more, so it answers no worker, and so it stays. */
static void partitioned_leader_is_not_confirmed(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    double deadline;

    (void)arg;
    configure_cluster(all, 3);
    start_controller(&all[0]);
    assert_true(event_loop_run_until(loop, is_elected, &all[0]));
    start_controller(&all[1]);
    assert_true(event_loop_run_until(loop, has_lease_lower_bound, &all[0]));
    fake_store_set_hanging(state, true);
    pm_http_server_free(all[1].peer_server);
    deadline = pm_clock_monotonic() + all[0].operator_settings.confirm_s + 0.5;
    assert_true(event_loop_run_until(loop, is_past, &deadline));
    assert_false(is_confirmed(&all[0]));
    deadline = pm_clock_monotonic() + 1;
    assert_true(event_loop_run_until(loop, is_past, &deadline));
    assert_false(is_confirmed(&all[0]));
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

/* An outage of the state service in which the leader does not answer: a majority that is refused,
 * has a replica and knows no later epoch may answer workers, so that their leases do not expire. A
 * leader that comes back after all does not judge leases by what it answered before. */
static void followers_renew_leases_in_an_outage_without_leader(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    double deadline;
    double outage_ended_at;

    (void)arg;
    configure_cluster(all, 3);
    start_controller(&all[0]);
    assert_true(event_loop_run_until(loop, is_elected, &all[0]));
    start_controller(&all[1]);
    start_controller(&all[2]);
    assert_true(event_loop_run_until(loop, has_replica, &all[1]));
    assert_true(event_loop_run_until(loop, has_replica, &all[2]));
    fake_store_set_outage(state, true);
    assert_true(event_loop_run_until(loop, is_refused, &all[1]));
    assert_true(event_loop_run_until(loop, is_refused, &all[2]));
    deadline = pm_clock_monotonic() + 4;
    assert_true(event_loop_run_until(loop, is_past, &deadline));
    assert_false(may_renew(&all[1])); /* the leader answers its peers */
    pm_http_server_free(all[0].peer_server);
    assert_true(event_loop_run_until(loop, may_renew, &all[1]));
    assert_true(event_loop_run_until(loop, may_renew, &all[2]));
    assert_int_equal(pm_election_epoch(all[1].election), pm_election_epoch(all[0].election));
    outage_ended_at = pm_clock_monotonic();
    fake_store_set_outage(state, false);
    assert_true(event_loop_run_until(loop, may_not_renew, &all[1]));
    assert_true(event_loop_run_until(loop, is_confirmed, &all[0]));
    assert_true(pm_election_exclusive_since(all[0].election) >=
                outage_ended_at + all[0].operator_settings.confirm_s);
}

/* Without a majority of votes nobody answers workers in the leader's stead. */
static void follower_without_a_majority_renews_no_lease(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    double deadline;

    (void)arg;
    begin_outage(all); /* the third is not running: without the leader no majority is left */
    pm_http_server_free(all[0].peer_server);
    assert_true(event_loop_run_until(loop, is_refused, &all[1]));
    deadline = pm_clock_monotonic() + 5;
    assert_true(event_loop_run_until(loop, is_past, &deadline));
    assert_false(may_renew(&all[1]));
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
