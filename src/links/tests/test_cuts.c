/* Cuts links of four controller processes, which run against simulated outside systems under a
 * workload. The history of what the workers did and what the users were answered is checked for
 * violations of the rules. Deadlines are long enough for a busy machine. */
#include "testing/cluster.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define DEADLINE_S 60.0           /* for events that must happen, even on a busy machine */
#define SHORTER_THAN_LEASES_S 2.0 /* shorter than the shortest lease */
#define LONGER_THAN_LEASES_S 6.0  /* longer than the longest lease */

enum { CONTROLLERS = 4 };

/* The same values as in deploy/. */
static const char operator_settings[] = "links:\n  observe: true\n  decide: true\n  probe_s: 0.5\n"
                                        "  down_s: 1\n  expire_s: 4\n"
                                        "duties:\n  fence: true\n  ttl_s: 2\n";

static const struct relay_fault both_ways = {.from_controller = true, .to_controller = true};
static const struct relay_fault connection_reset = {.reset = true};
/* Only the packets that the controller sends are lost. */
static const struct relay_fault outgoing_lost = {.from_controller = true};
/* Only the packets sent to the controller are lost. */
static const struct relay_fault incoming_lost = {.to_controller = true};

static bool have_tasks_started(struct cluster *cluster)
{
    return history_start_count(cluster_history(cluster)) >= 4;
}

static struct cluster *start_cluster(void)
{
    struct cluster *cluster =
        cluster_new(&(struct cluster_settings){.controller_count = CONTROLLERS,
                                               .daemon = PM_DAEMON,
                                               .operator_yaml = operator_settings,
                                               .quiet = !g_getenv("PM_TEST_LOG")});

    cluster_set_load(cluster, 0.5);
    assert_true(cluster_run_until(cluster, have_tasks_started, DEADLINE_S));
    return cluster;
}

/* Stops the workload, waits until every job has ended, and checks that no rule was violated. */
static void finish_cluster(struct cluster *cluster)
{
    cluster_set_load(cluster, 0);
    cluster_clear_link_faults(cluster);
    cluster_run_until(cluster, cluster_is_idle, DEADLINE_S);
    history_report_open_jobs(cluster_history(cluster));
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
        cluster_run(cluster, SHORTER_THAN_LEASES_S);
    }
    finish_cluster(cluster);
}

static void links_cut_for_less_than_a_lease(void **arg)
{
    (void)arg;
    cut_each_link_of_the_leader(&both_ways, SHORTER_THAN_LEASES_S);
}

static void links_cut_for_longer_than_a_lease(void **arg)
{
    (void)arg;
    cut_each_link_of_the_leader(&both_ways, LONGER_THAN_LEASES_S);
}

static void links_reset_for_longer_than_a_lease(void **arg)
{
    (void)arg;
    cut_each_link_of_the_leader(&connection_reset, LONGER_THAN_LEASES_S);
}

static int cut_leader; /* the controller that led when its link was cut */

static bool has_another_leader(struct cluster *cluster)
{
    int leader = cluster_leader(cluster);

    return leader >= 0 && leader != cut_leader;
}

/* Cuts a link of the leader, in one direction or both. Another controller must be elected, and the
 * former leader must not be elected again while its link is cut. */
static void cut_leader_until_it_steps_down(enum cluster_link link, const struct relay_fault *cut)
{
    struct cluster *cluster = start_cluster();
    int target_count = link == CLUSTER_LINK_ZONE ? CLUSTER_ZONES : 1;
    unsigned starts;

    cut_leader = cluster_leader(cluster);
    for (int i = 0; i < target_count; i++)
        cluster_set_link_fault(cluster, cut_leader, link, i, *cut);
    assert_true(cluster_run_until(cluster, has_another_leader, DEADLINE_S));
    starts = history_start_count(cluster_history(cluster));
    cluster_run(cluster, LONGER_THAN_LEASES_S);
    assert_int_not_equal(cluster_leader(cluster), cut_leader);
    /* The new leader starts tasks. */
    assert_true(history_start_count(cluster_history(cluster)) > starts);
    finish_cluster(cluster);
}

static void leader_without_answers_of_the_state_service(void **arg)
{
    (void)arg;
    cut_leader_until_it_steps_down(CLUSTER_LINK_STORE, &incoming_lost);
}

static void leader_whose_packets_do_not_reach_its_workers(void **arg)
{
    (void)arg;
    cut_leader_until_it_steps_down(CLUSTER_LINK_ZONE, &outgoing_lost);
}

/* The leader reaches the state service, but no worker. */
static void leader_that_reaches_no_worker(void **arg)
{
    (void)arg;
    cut_leader_until_it_steps_down(CLUSTER_LINK_ZONE, &both_ways);
}

/* The leader's link to the state service and its links to the workers flap in opposite phase. */
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

/* Cuts each controller's link to the peer two places further, so that the four controllers form a
 * ring, and cancels a job while the links are cut. */
static void peers_in_a_ring(void **arg)
{
    struct cluster *cluster = start_cluster();
    const char *job;

    (void)arg;
    for (int i = 0; i < CONTROLLERS; i++)
        cluster_set_link_fault(cluster, i, CLUSTER_LINK_PEER, (i + 2) % CONTROLLERS, both_ways);
    job = cluster_submit_array(cluster, 4, 9.9);
    cluster_run(cluster, SHORTER_THAN_LEASES_S);
    cluster_cancel_job(cluster, job);
    cluster_run(cluster, LONGER_THAN_LEASES_S);
    finish_cluster(cluster);
}

/* First the leader is cut off, killed and restarted at once. Then the leader is paused for longer
 * than the longest lease, and its connections to the state service are reset when it resumes. */
static void leader_is_cut_off_killed_and_paused(void **arg)
{
    struct cluster *cluster = start_cluster();
    int leader = cluster_leader(cluster);

    (void)arg;
    cluster_set_link_fault(cluster, leader, CLUSTER_LINK_STORE, 0, both_ways);
    cluster_run(cluster, SHORTER_THAN_LEASES_S);
    cluster_kill_controller(cluster, leader);
    cluster_start_controller(cluster, leader);
    cluster_clear_link_faults(cluster);
    cluster_run(cluster, SHORTER_THAN_LEASES_S);
    assert_true(cluster_run_until(cluster, cluster_has_leader, DEADLINE_S));
    leader = cluster_leader(cluster);
    cluster_pause_controller(cluster, leader, true);
    cluster_run(cluster, LONGER_THAN_LEASES_S);
    cluster_set_link_fault(cluster, leader, CLUSTER_LINK_STORE, 0, connection_reset);
    cluster_pause_controller(cluster, leader, false);
    cluster_run(cluster, SHORTER_THAN_LEASES_S);
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
        cmocka_unit_test(leader_that_reaches_no_worker),
        cmocka_unit_test(links_flap_in_opposite_phase),
        cmocka_unit_test(peers_in_a_ring),
        cmocka_unit_test(leader_is_cut_off_killed_and_paused),
    };

    cmocka_set_test_filter(g_getenv("PM_TEST_FILTER"));
    return cmocka_run_group_tests(tests, NULL, NULL);
}
