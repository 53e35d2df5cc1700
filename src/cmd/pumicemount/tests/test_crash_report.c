/* Checks that a controller that ends by a fatal signal reports it, and that the test cluster
 * detects the end. Runs real controller processes. */
#include "testing/cluster.h"

#include <glib/gstdio.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#define DEADLINE_S 60.0 /* limit of each wait, ample even on a busy machine */

enum { CONTROLLERS = 3 };

static struct cluster *cluster;
static char *log_path;

static void start_cluster(const char *daemon)
{
    log_path = g_strdup_printf("%s/pumicemount-test-crash-%d.log", g_get_tmp_dir(), (int)getpid());
    cluster = cluster_new(&(struct cluster_settings){
        .controller_count = CONTROLLERS, .daemon = daemon, .log_file = log_path});
}

static int tear_down(void **state)
{
    (void)state;
    cluster_free(cluster);
    g_unlink(log_path);
    g_free(log_path);
    return 0;
}

static char *read_log(void)
{
    char *text = NULL;

    return g_file_get_contents(log_path, &text, NULL, NULL) ? text : g_strdup("");
}

static bool has_log(const char *text)
{
    char *log = read_log();
    bool is_found = strstr(log, text) != NULL;

    g_free(log);
    return is_found;
}

static bool has_active_leader(struct cluster *tested_cluster)
{
    return cluster_leader(tested_cluster) >= 0 && has_log("controller.active");
}

static bool has_ended_process(struct cluster *tested_cluster)
{
    return strstr(history_violations(cluster_history(tested_cluster)), "ended by itself") != NULL;
}

/* The report consists of its line and of at least one frame in the program. */
static void assert_reported(int controller, const char *signal_name, const char *role)
{
    char *log = read_log();
    char *line =
        g_strdup_printf("error node-%d controller.crashed SIG%s sent by process %d, version ",
                        controller, signal_name, (int)getpid());
    char *cause = g_strdup_printf("controller node-%d ended by itself: signal SIG%s\n", controller,
                                  signal_name);
    const char *report = strstr(log, line);

    assert_non_null(report);
    assert_non_null(strstr(report, role));
    assert_non_null(strstr(report, "backtrace:\n"));
    assert_non_null(strstr(strstr(report, "backtrace:\n"), "/pumicemount("));
    assert_non_null(strstr(history_violations(cluster_history(cluster)), cause));
    g_free(cause);
    g_free(line);
    g_free(log);
}

/* Sends the signal to the leader, or to another controller. */
static void check_signal(int number, bool to_leader)
{
    int controller;

    start_cluster(PM_DAEMON);
    assert_true(cluster_run_until(cluster, has_active_leader, DEADLINE_S));
    controller = cluster_leader(cluster);
    if (!to_leader)
        controller = (controller + 1) % CONTROLLERS;
    cluster_signal_controller(cluster, controller, number);
    assert_true(cluster_run_until(cluster, has_ended_process, DEADLINE_S));
    assert_reported(controller, sigabbrev_np(number),
                    to_leader ? ", leading in epoch " : ", not leading");
}

static void sigsegv_of_a_leader_is_reported(void **state)
{
    (void)state;
    check_signal(SIGSEGV, true);
}

static void sigbus_of_a_leader_is_reported(void **state)
{
    (void)state;
    check_signal(SIGBUS, true);
}

static void sigill_of_a_follower_is_reported(void **state)
{
    (void)state;
    check_signal(SIGILL, false);
}

static void sigfpe_of_a_follower_is_reported(void **state)
{
    (void)state;
    check_signal(SIGFPE, false);
}

static void sigabrt_of_a_leader_is_reported(void **state)
{
    (void)state;
    check_signal(SIGABRT, true);
}

/* Returns the set of signals that the process handles, as a bit mask. */
static guint64 handled_signals(pid_t pid)
{
    char *path = g_strdup_printf("/proc/%d/status", (int)pid);
    char *status = NULL;
    const char *mask;
    guint64 handled;

    assert_true(g_file_get_contents(path, &status, NULL, NULL));
    mask = strstr(status, "SigCgt:");
    assert_non_null(mask);
    handled = g_ascii_strtoull(mask + strlen("SigCgt:"), NULL, 16);
    g_free(status);
    g_free(path);
    return handled;
}

static void other_signals_keep_their_action(void **state)
{
    static const int untouched[] = {SIGSYS, SIGTRAP, SIGTERM, SIGINT, SIGHUP, SIGUSR1, 62};
    guint64 handled;

    (void)state;
    start_cluster(PM_DAEMON);
    assert_true(cluster_run_until(cluster, has_active_leader, DEADLINE_S));
    handled = handled_signals(cluster_controller_pid(cluster, 0));
    for (size_t i = 0; i < G_N_ELEMENTS(untouched); i++)
        assert_false(handled >> (untouched[i] - 1) & 1);
    cluster_signal_controller(cluster, 0, SIGTERM);
    assert_true(cluster_run_until(cluster, has_ended_process, DEADLINE_S));
    assert_non_null(strstr(history_violations(cluster_history(cluster)), "signal SIGTERM"));
    assert_false(has_log("controller.crashed"));
}

static bool has_restarted_process(struct cluster *tested_cluster)
{
    (void)tested_cluster;
    return has_log("controller.crashed") && cluster_controller_pid(cluster, 0) &&
           cluster_controller_pid(cluster, 1) && cluster_controller_pid(cluster, 2);
}

/* The planner's thread has no stack left for a handler, so that the alternate stack is needed. */
static void stack_overflow_of_the_planner_is_reported(void **state)
{
    (void)state;
    start_cluster(PM_ENDING_DAEMON);
    assert_true(cluster_run_until(cluster, has_active_leader, DEADLINE_S));
    assert_true(cluster_run_until(cluster, has_ended_process, DEADLINE_S));
    assert_non_null(strstr(history_violations(cluster_history(cluster)), "signal SIGSEGV"));
    assert_true(has_log("controller.crashed SIGSEGV at address 0x"));
    assert_true(has_log(", leading in epoch "));
    assert_true(cluster_run_until(cluster, has_restarted_process, DEADLINE_S));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_teardown(sigsegv_of_a_leader_is_reported, tear_down),
        cmocka_unit_test_teardown(sigbus_of_a_leader_is_reported, tear_down),
        cmocka_unit_test_teardown(sigill_of_a_follower_is_reported, tear_down),
        cmocka_unit_test_teardown(sigfpe_of_a_follower_is_reported, tear_down),
        cmocka_unit_test_teardown(sigabrt_of_a_leader_is_reported, tear_down),
        cmocka_unit_test_teardown(other_signals_keep_their_action, tear_down),
        cmocka_unit_test_teardown(stack_overflow_of_the_planner_is_reported, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Disables leak detection: a cluster's memory is kept until the process ends, because calls in
 * flight outlive the cluster. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}
