/* Elections, and advancing and confirming the epoch, against a fake state service. Steps wait for
 * the condition that they expect, so that they do not depend on how fast the test runs. */
#include "controller_fixtures.h"

/* A controller leads until the lease of the leader's lock expires. Its successor has a higher
 * epoch. */
static void successor_has_a_higher_epoch(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 2);
    uint64_t first_epoch;

    (void)arg;
    configure_cluster(cluster, 2);
    start_controller(&cluster[0]);
    assert_true(event_loop_run_until(loop, is_elected, &cluster[0]));
    assert_true(is_confirmed(&cluster[0]));
    first_epoch = pm_election_epoch(cluster[0].election);
    /* One of two controllers is no majority, so the epoch is not acknowledged yet. */
    assert_false(is_epoch_acked(&cluster[0]));
    start_controller(&cluster[1]);
    assert_true(event_loop_run_until(loop, is_epoch_acked, &cluster[0]));
    assert_int_equal(cluster[1].elected_epoch, 0); /* the lock is not free */
    assert_string_equal(pm_election_other_leader(cluster[1].election), "n0");
    /* The lease of the lock expires: a successor is elected, in a higher epoch. */
    cluster[0].elected_epoch = 0;
    fake_store_revoke_all_leases(state_service);
    for (int i = 0; !cluster[0].elected_epoch && !cluster[1].elected_epoch && i < 4000; i++)
        event_loop_run_until(loop, is_elected, &cluster[1]);
    assert_true(cluster[1].elected_epoch > first_epoch);
    assert_true(pm_election_epoch(cluster[1].election) > first_epoch);
}

static unsigned count_elected(const struct controller *cluster, int count)
{
    unsigned elected = 0;

    for (int i = 0; i < count; i++)
        elected += cluster[i].elected_epoch > 0;
    return elected;
}

static bool has_elected_one(void *arg)
{
    return count_elected(arg, 3) > 0;
}

/* Two controllers campaign for a free lock. One of them is granted its lease only after its replica
 * shows that the other was elected. It must give up: its transaction would compare the revisions
 * that it has just read, succeed, and replace the new leader. */
static void campaign_ends_when_another_was_elected(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);

    (void)arg;
    configure_cluster(cluster, 3);
    for (int i = 0; i < 3; i++)
        start_controller(&cluster[i]);
    assert_true(event_loop_run_until(loop, has_elected_one, cluster));
    for (int i = 0; i < 3; i++)
        assert_true(event_loop_run_until(loop, has_replica, &cluster[i]));
    for (int i = 0; i < 3; i++)
        cluster[i].elected_epoch = 0;
    fake_store_delay_next_grant(state_service); /* of whichever follower asks first */
    fake_store_revoke_all_leases(state_service);
    assert_true(event_loop_run_until(loop, has_elected_one, cluster));
    run_for(1);
    assert_int_equal(count_elected(cluster, 3), 1);
}

static bool has_advanced(void *arg)
{
    return ((struct controller *)arg)->advanced_epoch > 0;
}

/* The transaction that advances the epoch is executed, but its response is lost. The watch then
 * reports an epoch that this controller wrote, so it continues its term in that epoch. */
static void advance_whose_answer_was_lost_is_adopted(void **arg)
{
    struct controller *controller = g_new0(struct controller, 1);
    uint64_t first_epoch;
    uint64_t revision;

    (void)arg;
    configure_cluster(controller, 1);
    start_controller(controller);
    assert_true(event_loop_run_until(loop, is_elected, controller));
    first_epoch = pm_election_epoch(controller->election);
    revision = fake_store_revision(state_service, "p/epoch");
    fake_store_lose_next_answer(state_service);
    pm_election_advance_epoch(controller->election, NULL, 0);
    assert_true(event_loop_run_until(loop, has_advanced, controller));
    assert_int_equal(controller->step_down_count, 0);
    assert_true(pm_election_epoch(controller->election) > first_epoch);
    assert_true(pm_election_epoch_revision(controller->election) > revision);
    assert_int_equal(pm_election_epoch_revision(controller->election),
                     fake_store_revision(state_service, "p/epoch"));
}

/* A duplicate of a command may arrive more than a lease after the command was carried out. By then
 * its fencing token must be outdated, even if no election took place. */
static void epoch_advances_within_a_worker_lease(void **arg)
{
    struct controller *controller = g_new0(struct controller, 1);
    uint64_t first_epoch;
    double started_at;

    (void)arg;
    configure_cluster(controller, 1);
    controller->settings.lease_s = 0.5;
    start_controller(controller);
    assert_true(event_loop_run_until(loop, is_elected, controller));
    first_epoch = pm_election_epoch(controller->election);
    started_at = pm_clock_monotonic();
    assert_true(event_loop_run_until(loop, has_advanced, controller));
    assert_true(pm_election_epoch(controller->election) > first_epoch);
    /* The epoch does not advance much sooner than after 0.7 leases (LEASES_PER_EPOCH). */
    assert_true(pm_clock_monotonic() - started_at >= 0.7 * 0.5 - 0.1);
    assert_int_equal(controller->step_down_count, 0);
    /* The leader does not advance the epoch while the state service refuses it, and does so again
     * after the outage. */
    fake_store_set_outage(state_service, true);
    assert_true(event_loop_run_until(loop, is_refused, controller));
    first_epoch = pm_election_epoch(controller->election);
    fake_store_set_outage(state_service, false);
    controller->advanced_epoch = 0;
    assert_true(event_loop_run_until(loop, has_advanced, controller));
    assert_true(pm_election_epoch(controller->election) > first_epoch);
}

/* A process is suspended while its clocks run on. A confirmation counts from when it was requested,
 * so the resumed process is not confirmed until a new request has succeeded. */
static void suspended_process_is_not_confirmed(void **arg)
{
    struct controller *controller = g_new0(struct controller, 1);
    double resumed_at;

    (void)arg;
    configure_cluster(controller, 1);
    controller->operator_settings.confirm_s = 0.3;
    start_controller(controller);
    assert_true(event_loop_run_until(loop, is_elected, controller));
    assert_true(event_loop_run_until(loop, is_confirmed, controller));
    g_usleep(400 * 1000); /* the event loop does not run */
    resumed_at = pm_clock_monotonic();
    assert_false(pm_election_is_confirmed(controller->election, resumed_at));
    /* A late response to a request from before the suspension confirms nothing. */
    pm_election_confirm_epoch(controller->election, resumed_at - 0.35, 0);
    assert_false(pm_election_is_confirmed(controller->election, resumed_at));
    /* Other controllers may have answered workers during the suspension. */
    assert_true(pm_election_exclusive_since(controller->election) > resumed_at);
    assert_true(event_loop_run_until(loop, is_confirmed, controller));
}

static void on_committed(void *arg, enum pm_store_result result, uint64_t store_revision,
                         const cbor_item_t *conflicting_keys)
{
    (void)store_revision;
    (void)conflicting_keys;
    *(int *)arg = result;
}

static void ignore_put(void *arg, const char *key, const cbor_item_t *value, uint64_t revision)
{
    (void)arg;
    (void)key;
    (void)value;
    (void)revision;
}

static void ignore_delete(void *arg, const char *key, uint64_t revision)
{
    (void)arg;
    (void)key;
    (void)revision;
}

/* Adds a put of p/epoch or p/lead to `txn`, as an earlier process of the controller n0 would. */
static void put_epoch_record(struct pm_txn *txn, const char *key, uint64_t epoch)
{
    pm_txn_put_begin(txn, key);
    pm_cbor_put_map(&txn->writes);
    pm_cbor_put_pair_uint(&txn->writes, "epoch", epoch);
    pm_cbor_put_pair_text(&txn->writes, "leader", "n0");
    pm_cbor_put_pair_text(&txn->writes, "boot", "predecessor");
    pm_cbor_put_end(&txn->writes);
    pm_txn_put_end(txn, 0);
}

/* A leader is restarted during an outage. The new process does not know what the previous process
 * had read and confirmed, so it must not act before it has read the state. Once it has read the
 * state, it is elected at once, in a later epoch, although the previous process's lease of the lock
 * has not expired. */
static void restarted_leader_reads_the_state_first(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);
    struct pm_http_client *http = pm_http_client_new(loop, 8);
    struct pm_store *writer =
        pm_store_new(loop, http, fake_store_addr(state_service), 1000,
                     &(struct pm_store_observer){ignore_put, ignore_delete, on_snapshot_end,
                                                 on_snapshot_end, on_caught_up, NULL});
    struct pm_txn txn = {0};
    int status = 0;
    double deadline;

    (void)arg;
    configure_cluster(cluster, 3);
    put_epoch_record(&txn, "p/epoch", 5);
    put_epoch_record(&txn, "p/lead", 5);
    pm_store_commit(writer, &txn, on_committed, &status);
    assert_true(event_loop_run_until(loop, has_status, &status));
    start_controller(&cluster[1]);
    assert_true(event_loop_run_until(loop, has_replica, &cluster[1]));
    fake_store_set_outage(state_service, true);
    start_controller(&cluster[0]);
    deadline = pm_clock_monotonic() + 1;
    assert_true(event_loop_run_until(loop, is_deadline_past, &deadline));
    assert_false(is_confirmed(&cluster[0]));
    assert_int_equal(cluster[0].elected_epoch, 0);
    fake_store_set_outage(state_service, false);
    assert_true(event_loop_run_until(loop, is_elected, &cluster[0]));
    assert_true(pm_election_epoch(cluster[0].election) > 5);
    assert_int_equal(cluster[1].elected_epoch, 0);
}

static bool has_successor(void *arg)
{
    struct controller *cluster = arg;
    uint64_t latest = 0;

    for (int i = 1; i < 4; i++)
        latest = MAX(latest, cluster[i].elected_epoch);
    return latest > cluster[0].elected_epoch;
}

/* Ten elections in a row, one of them after an outage. Each leader has a later epoch than the one
 * before, no two controllers are confirmed in the new epoch, and the elections use little of the
 * write budget. */
static void ten_consecutive_elections(void **arg)
{
    /* cluster[0] is not a running controller: it only holds the latest epoch. */
    struct controller *cluster = g_new0(struct controller, 4);
    uint64_t first_revision;

    (void)arg;
    configure_cluster(cluster + 1, 3);
    for (int i = 1; i < 4; i++)
        start_controller(&cluster[i]);
    assert_true(event_loop_run_until(loop, has_successor, cluster));
    first_revision = fake_store_revision(state_service, "p/epoch");
    for (int i = 0; i < 10; i++) {
        int confirmed = 0;
        for (int j = 1; j < 4; j++)
            cluster[0].elected_epoch = MAX(cluster[0].elected_epoch, cluster[j].elected_epoch);
        if (i == 5)
            fake_store_set_outage(state_service, true);
        fake_store_revoke_all_leases(state_service);
        if (i == 5) {
            run_for(0.5);
            fake_store_set_outage(state_service, false);
        }
        assert_true(event_loop_run_until(loop, has_successor, cluster));
        for (int j = 1; j < 4; j++)
            confirmed += pm_election_epoch(cluster[j].election) >= cluster[0].elected_epoch + 1 &&
                         is_confirmed(&cluster[j]);
        assert_true(confirmed <= 1);
    }
    assert_true(fake_store_revision(state_service, "p/epoch") - first_revision <= 4 * 10);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(campaign_ends_when_another_was_elected, set_up),
        cmocka_unit_test_setup(successor_has_a_higher_epoch, set_up),
        cmocka_unit_test_setup(advance_whose_answer_was_lost_is_adopted, set_up),
        cmocka_unit_test_setup(epoch_advances_within_a_worker_lease, set_up),
        cmocka_unit_test_setup(suspended_process_is_not_confirmed, set_up),
        cmocka_unit_test_setup(restarted_leader_reads_the_state_first, set_up),
        cmocka_unit_test_setup(ten_consecutive_elections, set_up),
    };

    cmocka_set_test_filter(g_getenv("PM_TEST_FILTER"));
    return cmocka_run_group_tests(tests, NULL, NULL);
}
