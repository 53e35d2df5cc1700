/* Four real controller processes, the stand-ins, a running workload, and links that are cut. What
 * must hold is checked by the history of what workers did and users heard; times are bounds that a
 * busy machine keeps as well. */
#include "cluster.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define SOON_S 60.0 /* within this what is to come about does, on a busy machine too */
#define SHORT_S 2.0 /* less than every lease */
#define LONG_S 9.0  /* longer than every lease */

enum { CONTROLLERS = 4 };

static const char deciding[] = "links:\n  observe: true\n  decide: true\n  probe_s: 0.5\n"
                               "  down_s: 1\n  expire_s: 4\n";

static const struct cut black_hole = {.from_controller = true, .to_controller = true};
static const struct cut refused = {.reset = true};
static const struct cut deafened = {.from_controller = true}; /* its packets are lost */
static const struct cut muted = {.to_controller = true};      /* it hears nothing */

static bool has_begun(struct cluster *c)
{
    return history_starts(cluster_history(c)) >= 4;
}

static struct cluster *begin(void)
{
    struct cluster *c =
        cluster_new(&(struct cluster_settings){CONTROLLERS, PM_DAEMON, deciding, NULL, !g_getenv("PM_TEST_LOG")});

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

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(links_black_holed_for_less_than_a_lease),
        cmocka_unit_test(links_black_holed_for_longer),
        cmocka_unit_test(links_refused),
    };

    (void)deafened;
    (void)muted;
    cmocka_set_test_filter(g_getenv("PM_TEST_FILTER"));
    return cmocka_run_group_tests(tests, NULL, NULL);
}
