/* Four controller processes, simulated outside systems, a running workload, and links that are cut.
 * The history of what workers did and what users were answered shows whether a rule was broken;
 * deadlines are such that a busy machine keeps them too. */
#include "testing/cluster.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define DEADLINE_S 60.0    /* for what is to happen, on a busy machine too */
#define BELOW_LEASE_S 2.0  /* less than every lease */
#define BEYOND_LEASE_S 6.0 /* longer than every lease */

enum { CONTROLLERS = 4 };

static const char operator_settings[] = "links:\n  observe: true\n  decide: true\n  probe_s: 0.5\n"
                                        "  down_s: 1\n  expire_s: 4\n"
                                        "duties:\n  fence: true\n  ttl_s: 2\n"; /* as in deploy/ */

static const struct relay_fault both_ways = {.from_controller = true, .to_controller = true};
static const struct relay_fault connection_reset = {.reset = true};
static const struct relay_fault outgoing_lost = {.from_controller =
                                                     true}; /* its packets are lost */
static const struct relay_fault incoming_lost = {.to_controller =
                                                     true}; /* packets to it are lost */

static bool has_begun(struct cluster *cluster)
{
    return history_start_count(cluster_history(cluster)) >= 4;
}

static bool has_leader(struct cluster *cluster)
{
    return cluster_leader(cluster) >= 0;
}

static struct cluster *start_cluster(void)
{
    struct cluster *cluster =
        cluster_new(&(struct cluster_settings){.controller_count = CONTROLLERS,
                                               .daemon = PM_DAEMON,
                                               .operator_yaml = operator_settings,
                                               .quiet = !g_getenv("PM_TEST_LOG")});

    cluster_set_load(cluster, 0.5);
    assert_true(cluster_run_until(cluster, has_begun, DEADLINE_S));
    return cluster;
}

/* Ends the workload, waits until every job is over, and checks that no rule was broken. */
static void finish_cluster(struct cluster *cluster)
{
    cluster_set_load(cluster, 0);
    cluster_clear_link_faults(cluster);
    cluster_run_until(cluster, cluster_is_idle, DEADLINE_S);
    history_close(cluster_history(cluster));
    cluster_free(cluster);
    assert_string_equal(history_violations(cluster_history(cluster)), "");
    assert_true(history_start_count(cluster_history(cluster)) > 10);
}

static void cut_each_link_of_the_leader(const struct relay_fault *cut, double seconds)
{
    struct cluster *cluster = start_cluster();

    for (int link = CLUSTER_LINK_STORE; link <= CLUSTER_LINK_PROVIDER; link++) {
        int leader = cluster_leader(cluster);
        int target = link == CLUSTER_LINK_PEER ? (leader + 1) % CONTROLLERS : 0;
        if (leader < 0)
            continue;
        cluster_set_link_fault(cluster, leader, (enum cluster_link)link, target, *cut);
        cluster_run(cluster, seconds);
        cluster_clear_link_faults(cluster);
        cluster_run(cluster, BELOW_LEASE_S);
    }
    finish_cluster(cluster);
}

static void links_cut_for_less_than_a_lease(void **arg)
{
    (void)arg;
    cut_each_link_of_the_leader(&both_ways, BELOW_LEASE_S);
}

static void links_cut_for_longer_than_a_lease(void **arg)
{
    (void)arg;
    cut_each_link_of_the_leader(&both_ways, BEYOND_LEASE_S);
}

static void links_reset_for_longer_than_a_lease(void **arg)
{
    (void)arg;
    cut_each_link_of_the_leader(&connection_reset, BEYOND_LEASE_S);
}

static int cut_leader; /* the controller that led when the cut began */

static bool has_another_leader(struct cluster *cluster)
{
    int leader = cluster_leader(cluster);

    return leader >= 0 && leader != cut_leader;
}

/* A link of the leader is cut, in one direction or both: another controller is elected, and the one
 * that is cut off is not elected again meanwhile. */
static void cut_the_leader_until_it_yields(enum cluster_link link, const struct relay_fault *cut)
{
    struct cluster *cluster = start_cluster();
    int target_count = link == CLUSTER_LINK_ZONE ? CLUSTER_ZONES : 1;
    unsigned starts;

    cut_leader = cluster_leader(cluster);
    for (int i = 0; i < target_count; i++)
        cluster_set_link_fault(cluster, cut_leader, link, i, *cut);
    assert_true(cluster_run_until(cluster, has_another_leader, DEADLINE_S));
    starts = history_start_count(cluster_history(cluster));
    cluster_run(cluster, BEYOND_LEASE_S);
    assert_int_not_equal(cluster_leader(cluster), cut_leader);
    assert_true(history_start_count(cluster_history(cluster)) > starts); /* work goes on */
    finish_cluster(cluster);
}

static void leader_without_answers_of_the_state_service(void **arg)
{
    (void)arg;
    cut_the_leader_until_it_yields(CLUSTER_LINK_STORE, &incoming_lost);
}

static void leader_whose_packets_do_not_reach_its_workers(void **arg)
{
    (void)arg;
    cut_the_leader_until_it_yields(CLUSTER_LINK_ZONE, &outgoing_lost);
}

/* The leader reaches the state service and no worker. */
static void leader_with_state_service_and_no_worker(void **arg)
{
    (void)arg;
    cut_the_leader_until_it_yields(CLUSTER_LINK_ZONE, &both_ways);
}

/* Two links that flap in opposite phase: the leader's to the state service, and its workers'. */
static void links_flap_in_opposite_phase(void **arg)
{
    static const double periods[] = {0.5, 2, 4};
    struct cluster *cluster = start_cluster();

    (void)arg;
    for (size_t i = 0; i < G_N_ELEMENTS(periods); i++) {
        int leader = cluster_leader(cluster);
        for (int turn = 0; leader >= 0 && turn < 4; turn++) {
            bool even = turn % 2 == 0;
            cluster_set_link_fault(cluster, leader, CLUSTER_LINK_STORE, 0,
                                   even ? both_ways : (struct relay_fault){0});
            cluster_set_link_fault(cluster, leader, CLUSTER_LINK_ZONE, 0,
                                   even ? (struct relay_fault){0} : both_ways);
            cluster_set_link_fault(cluster, leader, CLUSTER_LINK_ZONE, 1,
                                   even ? (struct relay_fault){0} : both_ways);
            cluster_run(cluster, periods[i]);
        }
        cluster_clear_link_faults(cluster);
    }
    finish_cluster(cluster);
}

/* Each controller reaches only the next one; users cancel a job meanwhile. */
static void peers_in_a_ring(void **arg)
{
    struct cluster *cluster = start_cluster();
    const char *job;

    (void)arg;
    for (int i = 0; i < CONTROLLERS; i++)
        cluster_set_link_fault(cluster, i, CLUSTER_LINK_PEER, (i + 2) % CONTROLLERS, both_ways);
    job = cluster_submit_array(cluster, 4, 9.9);
    cluster_run(cluster, BELOW_LEASE_S);
    cluster_cancel(cluster, job);
    cluster_run(cluster, BEYOND_LEASE_S);
    finish_cluster(cluster);
}

/* A leader that is cut off, killed, and back at once; and one that stands still for longer than
 * every lease, wakes, and has its links cut as it does. */
static void leader_is_cut_off_killed_and_paused(void **arg)
{
    struct cluster *cluster = start_cluster();
    int leader = cluster_leader(cluster);

    (void)arg;
    cluster_set_link_fault(cluster, leader, CLUSTER_LINK_STORE, 0, both_ways);
    cluster_run(cluster, BELOW_LEASE_S);
    cluster_kill(cluster, leader);
    cluster_start(cluster, leader);
    cluster_clear_link_faults(cluster);
    cluster_run(cluster, BELOW_LEASE_S);
    assert_true(cluster_run_until(cluster, has_leader, DEADLINE_S));
    leader = cluster_leader(cluster);
    cluster_pause(cluster, leader, true);
    cluster_run(cluster, BEYOND_LEASE_S);
    cluster_set_link_fault(cluster, leader, CLUSTER_LINK_STORE, 0, connection_reset);
    cluster_pause(cluster, leader, false);
    cluster_run(cluster, BELOW_LEASE_S);
    finish_cluster(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(links_cut_for_less_than_a_lease),
        cmocka_unit_test(links_cut_for_longer_than_a_lease),
        cmocka_unit_test(links_reset_for_longer_than_a_lease),
        cmocka_unit_test(leader_without_answers_of_the_state_service),
        cmocka_unit_test(leader_whose_packets_do_not_reach_its_workers),
        cmocka_unit_test(leader_with_state_service_and_no_worker),
        cmocka_unit_test(links_flap_in_opposite_phase),
        cmocka_unit_test(peers_in_a_ring),
        cmocka_unit_test(leader_is_cut_off_killed_and_paused),
    };

    cmocka_set_test_filter(g_getenv("PM_TEST_FILTER"));
    return cmocka_run_group_tests(tests, NULL, NULL);
}
