/* Four real controller processes, the stand-ins, a running workload, and links that are cut. What
 * must hold is checked by the history of what workers did and users heard; times are bounds that a
 * busy machine keeps as well. */
#include "testing/cluster.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define SOON_S 60.0 /* within this what is to come about does, on a busy machine too */
#define SHORT_S 2.0 /* less than every lease */
#define LONG_S 6.0  /* longer than every lease */

enum { CONTROLLERS = 4 };

static const char deciding[] = "links:\n  observe: true\n  decide: true\n  probe_s: 0.5\n"
                               "  down_s: 1\n  expire_s: 4\n"
                               "duties:\n  fence: true\n  ttl_s: 2\n"; /* as in deploy/ */

static const struct cut black_hole = {.from_controller = true, .to_controller = true};
static const struct cut refused = {.reset = true};
static const struct cut deafened = {.from_controller = true}; /* its packets are lost */
static const struct cut muted = {.to_controller = true};      /* it hears nothing */

static bool has_begun(struct cluster *c)
{
    return history_starts(cluster_history(c)) >= 4;
}

static bool has_leader(struct cluster *c)
{
    return cluster_leader(c) >= 0;
}

static struct cluster *begin(void)
{
    struct cluster *c = cluster_new(&(struct cluster_settings){.controllers = CONTROLLERS,
                                                               .daemon = PM_DAEMON,
                                                               .operator= deciding,
                                                               .quiet = !g_getenv("PM_TEST_LOG")});

    cluster_load(c, 0.5);
    assert_true(cluster_until(c, has_begun, SOON_S));
    return c;
}

/* The workload ends, and with it every job; no rule was broken. */
static void finish(struct cluster *c)
{
    cluster_load(c, 0);
    cluster_heal(c);
    cluster_until(c, cluster_is_idle, SOON_S);
    history_close(cluster_history(c));
    cluster_free(c);
    assert_string_equal(history_violations(cluster_history(c)), "");
    assert_true(history_starts(cluster_history(c)) > 10);
}

static void each_link_of_the_leader_in_turn(const struct cut *cut, double seconds)
{
    struct cluster *c = begin();

    for (int link = CLUSTER_STATE; link <= CLUSTER_CLOUD; link++) {
        int leader = cluster_leader(c);
        int to = link == CLUSTER_PEER ? (leader + 1) % CONTROLLERS : 0;
        if (leader < 0)
            continue;
        cluster_cut(c, leader, (enum cluster_link)link, to, *cut);
        cluster_run(c, seconds);
        cluster_heal(c);
        cluster_run(c, SHORT_S);
    }
    finish(c);
}

static void links_black_holed_for_less_than_a_lease(void **arg)
{
    (void)arg;
    each_link_of_the_leader_in_turn(&black_hole, SHORT_S);
}

static void links_black_holed_for_longer(void **arg)
{
    (void)arg;
    each_link_of_the_leader_in_turn(&black_hole, LONG_S);
}

static void links_refused(void **arg)
{
    (void)arg;
    each_link_of_the_leader_in_turn(&refused, LONG_S);
}

static int cut_leader; /* who led when the cut began */

static bool another_leads(struct cluster *c)
{
    int leader = cluster_leader(c);

    return leader >= 0 && leader != cut_leader;
}

/* The leader's packets do not arrive, or it hears nothing: the lead passes to another one, and back
 * to nobody while that goes on. */
static void cut_the_leader_one_way(enum cluster_link link, const struct cut *cut)
{
    struct cluster *c = begin();
    unsigned starts;

    cut_leader = cluster_leader(c);
    for (int to = 0; to < (link == CLUSTER_ZONE ? CLUSTER_ZONES : 1); to++)
        cluster_cut(c, cut_leader, link, to, *cut);
    assert_true(cluster_until(c, another_leads, SOON_S));
    starts = history_starts(cluster_history(c));
    cluster_run(c, LONG_S);
    assert_int_not_equal(cluster_leader(c), cut_leader);
    assert_true(history_starts(cluster_history(c)) > starts); /* work goes on */
    finish(c);
}

static void leader_is_not_answered_by_the_state_service(void **arg)
{
    (void)arg;
    cut_the_leader_one_way(CLUSTER_STATE, &muted);
}

static void leader_is_not_heard_by_its_workers(void **arg)
{
    (void)arg;
    cut_the_leader_one_way(CLUSTER_ZONE, &deafened);
}

/* The cut-off leader reaches the state service and no worker. */
static void leader_with_state_service_and_no_worker(void **arg)
{
    (void)arg;
    cut_the_leader_one_way(CLUSTER_ZONE, &black_hole);
}

/* Two links that flap in opposite phase: the leader's to the state service, and its workers'. */
static void links_flap_in_opposite_phase(void **arg)
{
    static const double periods[] = {0.5, 2, 4};
    struct cluster *c = begin();

    (void)arg;
    for (size_t i = 0; i < G_N_ELEMENTS(periods); i++) {
        int leader = cluster_leader(c);
        for (int turn = 0; leader >= 0 && turn < 4; turn++) {
            bool even = turn % 2 == 0;
            cluster_cut(c, leader, CLUSTER_STATE, 0, even ? black_hole : (struct cut){0});
            cluster_cut(c, leader, CLUSTER_ZONE, 0, even ? (struct cut){0} : black_hole);
            cluster_cut(c, leader, CLUSTER_ZONE, 1, even ? (struct cut){0} : black_hole);
            cluster_run(c, periods[i]);
        }
        cluster_heal(c);
    }
    finish(c);
}

/* Each controller reaches only the next one; users cancel a job meanwhile. */
static void peers_in_a_ring(void **arg)
{
    struct cluster *c = begin();
    const char *job;

    (void)arg;
    for (int i = 0; i < CONTROLLERS; i++)
        cluster_cut(c, i, CLUSTER_PEER, (i + 2) % CONTROLLERS, black_hole);
    job = cluster_submit(c, 4, 9.9);
    cluster_run(c, SHORT_S);
    cluster_abort(c, job);
    cluster_run(c, LONG_S);
    finish(c);
}

/* A leader that is cut off, killed, and back at once; and one that stands still for longer than
 * every lease, wakes, and has its links cut as it does. */
static void cut_killed_and_paused(void **arg)
{
    struct cluster *c = begin();
    int leader = cluster_leader(c);

    (void)arg;
    cluster_cut(c, leader, CLUSTER_STATE, 0, black_hole);
    cluster_run(c, SHORT_S);
    cluster_kill(c, leader);
    cluster_start(c, leader);
    cluster_heal(c);
    cluster_run(c, SHORT_S);
    assert_true(cluster_until(c, has_leader, SOON_S));
    leader = cluster_leader(c);
    cluster_pause(c, leader, true);
    cluster_run(c, LONG_S);
    cluster_cut(c, leader, CLUSTER_STATE, 0, refused);
    cluster_pause(c, leader, false);
    cluster_run(c, SHORT_S);
    finish(c);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(links_black_holed_for_less_than_a_lease),
        cmocka_unit_test(links_black_holed_for_longer),
        cmocka_unit_test(links_refused),
        cmocka_unit_test(leader_is_not_answered_by_the_state_service),
        cmocka_unit_test(leader_is_not_heard_by_its_workers),
        cmocka_unit_test(leader_with_state_service_and_no_worker),
        cmocka_unit_test(links_flap_in_opposite_phase),
        cmocka_unit_test(peers_in_a_ring),
        cmocka_unit_test(cut_killed_and_paused),
    };

    cmocka_set_test_filter(g_getenv("PM_TEST_FILTER"));
    return cmocka_run_group_tests(tests, NULL, NULL);
}
