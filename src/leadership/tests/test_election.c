/* Elections, advances of the epoch and its confirmation, against a fake state service. Nothing here
 * depends on how fast it runs: every step waits for what it expects. */
#include "controller_fixtures.h"

/* One controller leads until the lease of its lock expires. */
static void successor_has_a_higher_epoch(void **arg)
{
    struct controller *all = g_new0(struct controller, 2);
    uint64_t first;

    (void)arg;
    configure_cluster(all, 2);
    start_controller(&all[0]);
    assert_true(event_loop_run_until(loop, is_elected, &all[0]));
    assert_true(is_confirmed(&all[0]));
    first = pm_election_epoch(all[0].election);
    /* Of two controllers one is no majority: the epoch is not acknowledged yet. */
    assert_false(has_lease_lower_bound(&all[0]));
    start_controller(&all[1]);
    assert_true(event_loop_run_until(loop, has_lease_lower_bound, &all[0]));
    assert_int_equal(all[1].elected_epoch, 0); /* the lock is not free */
    assert_string_equal(pm_election_other_leader(all[1].election), "n0");
    /* The lease of the lock expires: a successor is elected, in a higher epoch. */
    all[0].elected_epoch = 0;
    fake_store_revoke_all_leases(state);
    for (int i = 0; !all[0].elected_epoch && !all[1].elected_epoch && i < 4000; i++)
        event_loop_run_until(loop, is_elected, &all[1]);
    assert_true(all[1].elected_epoch > first);
    assert_true(pm_election_epoch(all[1].election) > first);
}

static unsigned count_elected(const struct controller *all, int count)
{
    unsigned elected = 0;

    for (int i = 0; i < count; i++)
        elected += all[i].elected_epoch > 0;
    return elected;
}

static bool has_elected_one(void *arg)
{
    return count_elected(arg, 3) > 0;
}

/* Two candidates for a free lock: one is granted its lease only after its replica has learned that
 * the other was elected. It must not replace the other by a transaction on the revision that it has
 * just read. */
static void campaign_ends_when_another_was_elected(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);

    (void)arg;
    configure_cluster(all, 3);
    for (int i = 0; i < 3; i++)
        start_controller(&all[i]);
    assert_true(event_loop_run_until(loop, has_elected_one, all));
    for (int i = 0; i < 3; i++)
        assert_true(event_loop_run_until(loop, has_replica, &all[i]));
    for (int i = 0; i < 3; i++)
        all[i].elected_epoch = 0;
    fake_store_delay_next_grant(state); /* for the first of the two followers to ask */
    fake_store_revoke_all_leases(state);
    assert_true(event_loop_run_until(loop, has_elected_one, all));
    run_for(1);
    assert_int_equal(count_elected(all, 3), 1);
}

static bool has_advanced(void *arg)
{
    return ((struct controller *)arg)->advanced_epoch > 0;
}

/* The transaction is executed, but its answer is lost: the watch reports that the epoch is ours. */
static void advance_whose_answer_was_lost_is_adopted(void **arg)
{
    struct controller *controller = g_new0(struct controller, 1);
    uint64_t first;
    uint64_t revision;

    (void)arg;
    configure_cluster(controller, 1);
    start_controller(controller);
    assert_true(event_loop_run_until(loop, is_elected, controller));
    first = pm_election_epoch(controller->election);
    revision = fake_store_revision(state, "p/epoch");
    fake_store_lose_next_answer(state);
    pm_election_advance_epoch(controller->election, NULL, 0);
    assert_true(event_loop_run_until(loop, has_advanced, controller));
    assert_int_equal(controller->step_down_count, 0);
    assert_true(pm_election_epoch(controller->election) > first);
    assert_true(pm_election_epoch_revision(controller->election) > revision);
    assert_int_equal(pm_election_epoch_revision(controller->election),
                     fake_store_revision(state, "p/epoch"));
}

/* A command that was carried out may arrive again, later than a lease after it: by then its fencing
 * token must be an old one, although no election took place. */
static void epoch_advances_within_a_worker_lease(void **arg)
{
    struct controller *controller = g_new0(struct controller, 1);
    uint64_t first;
    double started_at;

    (void)arg;
    configure_cluster(controller, 1);
    controller->settings.lease_s = 0.5;
    start_controller(controller);
    assert_true(event_loop_run_until(loop, is_elected, controller));
    first = pm_election_epoch(controller->election);
    started_at = pm_clock_monotonic();
    assert_true(event_loop_run_until(loop, has_advanced, controller));
    assert_true(pm_election_epoch(controller->election) > first);
    assert_true(pm_clock_monotonic() - started_at >= 0.7 * 0.5 - 0.1); /* but not continuously */
    assert_int_equal(controller->step_down_count, 0);
    /* It does not advance while the state service refuses it, and does so again afterwards. */
    fake_store_set_outage(state, true);
    assert_true(event_loop_run_until(loop, is_refused, controller));
    first = pm_election_epoch(controller->election);
    fake_store_set_outage(state, false);
    controller->advanced_epoch = 0;
    assert_true(event_loop_run_until(loop, has_advanced, controller));
    assert_true(pm_election_epoch(controller->election) > first);
}

/* A process that was suspended while its clocks ran on: a confirmation counts from when it was
 * asked for, so on resuming the process has none until it has asked again. */
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
    g_usleep(400 * 1000); /* its loop does not run */
    resumed_at = pm_clock_monotonic();
    assert_false(pm_election_is_confirmed(controller->election, resumed_at));
    /* A late answer to what was asked before the suspension confirms nothing now. */
    pm_election_confirm_epoch(controller->election, resumed_at - 0.35, 0);
    assert_false(pm_election_is_confirmed(controller->election, resumed_at));
    assert_true(pm_election_exclusive_since(controller->election) >
                resumed_at); /* others may have answered workers meanwhile */
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

/* Puts p/epoch or p/lead as an earlier process of the controller n0 would. */
static void put_epoch_record(struct pm_txn *txn, const char *key, uint64_t epoch)
{
    pm_txn_put(txn, key);
    pm_cbor_put_map(&txn->writes);
    pm_cbor_put_pair_count(&txn->writes, "epoch", epoch);
    pm_cbor_put_pair_text(&txn->writes, "leader", "n0");
    pm_cbor_put_pair_text(&txn->writes, "boot", "predecessor");
    pm_cbor_put_end(&txn->writes);
    pm_txn_put_end(txn, 0);
}

/* A leader that is restarted at once, in an outage, has nothing of what its predecessor had read
 * and confirmed. It may not act before it has read the state; then it is elected at once, in a
 * later epoch, although its predecessor's lease of the lock has not expired. */
static void restarted_leader_reads_the_state_first(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    struct pm_http_client *http = pm_http_client_new(loop, 8);
    struct pm_store *writer =
        pm_store_new(loop, http, fake_store_addr(state), 1000,
                     &(struct pm_store_observer){ignore_put, ignore_delete, on_snapshot_end,
                                                 on_snapshot_end, on_caught_up, NULL});
    struct pm_txn txn = {0};
    int status = 0;
    double deadline;

    (void)arg;
    configure_cluster(all, 3);
    put_epoch_record(&txn, "p/epoch", 5);
    put_epoch_record(&txn, "p/lead", 5);
    pm_store_commit(writer, &txn, on_committed, &status);
    assert_true(event_loop_run_until(loop, has_status, &status));
    start_controller(&all[1]);
    assert_true(event_loop_run_until(loop, has_replica, &all[1]));
    fake_store_set_outage(state, true);
    start_controller(&all[0]);
    deadline = pm_clock_monotonic() + 1;
    assert_true(event_loop_run_until(loop, is_past, &deadline));
    assert_false(is_confirmed(&all[0]));
    assert_int_equal(all[0].elected_epoch, 0);
    fake_store_set_outage(state, false);
    assert_true(event_loop_run_until(loop, is_elected, &all[0]));
    assert_true(pm_election_epoch(all[0].election) > 5);
    assert_int_equal(all[1].elected_epoch, 0);
}

static bool has_successor(void *arg)
{
    struct controller *all = arg;
    uint64_t latest = 0;

    for (int i = 1; i < 4; i++)
        latest = MAX(latest, all[i].elected_epoch);
    return latest > all[0].elected_epoch;
}

/* Ten leaders in a row, one of them elected after an outage: each in a later epoch than the one
 * before, never two confirmed in one epoch, and the elections leave the write budget to others. */
static void ten_consecutive_elections(void **arg)
{
    struct controller *all = g_new0(struct controller, 4); /* all[0]: the latest epoch so far */
    uint64_t first;

    (void)arg;
    configure_cluster(all + 1, 3);
    for (int i = 1; i < 4; i++)
        start_controller(&all[i]);
    assert_true(event_loop_run_until(loop, has_successor, all));
    first = fake_store_revision(state, "p/epoch");
    for (int i = 0; i < 10; i++) {
        int confirmed = 0;
        for (int j = 1; j < 4; j++)
            all[0].elected_epoch = MAX(all[0].elected_epoch, all[j].elected_epoch);
        if (i == 5)
            fake_store_set_outage(state, true);
        fake_store_revoke_all_leases(state);
        if (i == 5) {
            run_for(0.5);
            fake_store_set_outage(state, false);
        }
        assert_true(event_loop_run_until(loop, has_successor, all));
        for (int j = 1; j < 4; j++)
            confirmed += pm_election_epoch(all[j].election) >= all[0].elected_epoch + 1 &&
                         is_confirmed(&all[j]);
        assert_true(confirmed <= 1);
    }
    assert_true(fake_store_revision(state, "p/epoch") - first <= 4 * 10);
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
