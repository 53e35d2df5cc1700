/* Checks that no task runs that no controller knows of or wants: after a command that was held up
 * for longer than a cancellation may take, after workers that restart at once without what they
 * knew, and on machines that were rented or terminated late. Runs real controller processes.
 *
 * PM_TEST_LOG in the environment shows the controllers' logs. */
#include "testing/cluster.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <cmocka.h>

#define DEADLINE_S 60.0     /* limit of each wait, ample even on a busy machine */
#define CANCEL_LIMIT_S 13.0 /* longer than the cluster's limit of three leases of 4 s */
#define HOLD_S 0.3          /* a launch is pushed within this */
#define OBSERVED_S 3.0
#define LATE_S 3.0
#define SERVED_WITHIN_S 2.0 /* a few heartbeat intervals */
#define LONG_RUN_S 8.0

enum { CONTROLLERS = 3, TASKS = 8 };

static struct cluster *cluster;

static int set_up(void **state)
{
    (void)state;
    cluster = cluster_new(&(struct cluster_settings){
        .controller_count = CONTROLLERS, .daemon = PM_DAEMON, .quiet = !getenv("PM_TEST_LOG")});
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    cluster_free(cluster);
    return 0;
}

static bool has_machines(struct cluster *tested_cluster)
{
    return fake_provider_machine_count(cluster_provider(tested_cluster)) > 0;
}

static bool are_all_machines_served(struct cluster *tested_cluster)
{
    struct fake_provider *provider = cluster_provider(tested_cluster);

    return has_machines(tested_cluster) &&
           fake_provider_unserved_machine_count(provider, SERVED_WITHIN_S) == 0;
}

static void assert_no_violation(void)
{
    assert_string_equal(history_violations(cluster_history(cluster)), "");
}

/* Runs a job, so that machines are up. */
static void warm_up(void)
{
    assert_true(cluster_run_until(cluster, cluster_has_leader, DEADLINE_S));
    cluster_submit_array(cluster, TASKS, 1);
    assert_true(cluster_run_until(cluster, cluster_is_idle, DEADLINE_S));
}

static void restart_all_controllers(void)
{
    for (int i = 0; i < CONTROLLERS; i++)
        cluster_kill_controller(cluster, i);
    for (int i = 0; i < CONTROLLERS; i++)
        cluster_start_controller(cluster, i);
}

static void launch_held_beyond_the_cancel_limit_starts_nothing(bool with_restart)
{
    struct fake_provider *provider = cluster_provider(cluster);
    const char *id;
    unsigned starts;

    warm_up();
    fake_provider_hold_commands(provider);
    id = cluster_submit_array(cluster, TASKS, LONG_RUN_S);
    cluster_run(cluster, HOLD_S);
    cluster_cancel_job(cluster, id);
    assert_true(cluster_run_until(cluster, cluster_is_idle, DEADLINE_S));
    if (with_restart)
        restart_all_controllers();
    cluster_run(cluster, CANCEL_LIMIT_S);
    starts = history_start_count(cluster_history(cluster));
    assert_true(fake_provider_release_commands(provider) > 0);
    cluster_run(cluster, OBSERVED_S);
    assert_int_equal(history_start_count(cluster_history(cluster)), starts);
    assert_no_violation();
}

static void held_launch_of_a_cancelled_job_starts_nothing(void **state)
{
    (void)state;
    launch_held_beyond_the_cancel_limit_starts_nothing(false);
}

static void held_launch_starts_nothing_after_a_restart_of_all(void **state)
{
    (void)state;
    launch_held_beyond_the_cancel_limit_starts_nothing(true);
}

/* The workers are back before any controller can have missed them. */
static void check_restarted_workers(bool keeps_tasks)
{
    warm_up();
    cluster_submit_array(cluster, TASKS, LONG_RUN_S);
    cluster_run(cluster, OBSERVED_S);
    fake_provider_restart_workers(cluster_provider(cluster), keeps_tasks);
    assert_true(cluster_run_until(cluster, cluster_is_idle, DEADLINE_S));
    assert_no_violation();
}

static void workers_back_at_once_without_tasks_lose_no_job(void **state)
{
    (void)state;
    check_restarted_workers(false);
}

static void workers_back_at_once_with_old_tasks_start_none_twice(void **state)
{
    (void)state;
    check_restarted_workers(true);
}

/* The leader that asked for the machines ends before they are rented. */
static void machines_rented_late_are_taken_over(void **state)
{
    struct fake_provider *provider = cluster_provider(cluster);

    (void)state;
    assert_true(cluster_run_until(cluster, cluster_has_leader, DEADLINE_S));
    fake_provider_delay_next_rental(provider, LATE_S);
    cluster_submit_array(cluster, TASKS, 1);
    cluster_run(cluster, LATE_S / 2);
    cluster_kill_controller(cluster, cluster_leader(cluster));
    cluster_run(cluster, LATE_S);
    assert_true(cluster_run_until(cluster, cluster_is_idle, DEADLINE_S));
    assert_true(cluster_run_until(cluster, are_all_machines_served, DEADLINE_S));
    assert_no_violation();
}

/* The termination of a failed machine is carried out late and not answered, while the leader
 * changes. */
static void late_termination_loses_no_job(void **state)
{
    struct fake_provider *provider = cluster_provider(cluster);

    (void)state;
    warm_up();
    fake_provider_delay_next_termination(provider, LATE_S);
    cluster_submit_array(cluster, TASKS, LONG_RUN_S);
    cluster_run(cluster, 1);
    assert_true(fake_provider_fail_machine(provider));
    cluster_run(cluster, LATE_S / 2);
    cluster_kill_controller(cluster, cluster_leader(cluster));
    assert_true(cluster_run_until(cluster, cluster_is_idle, DEADLINE_S));
    assert_no_violation();
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(held_launch_of_a_cancelled_job_starts_nothing, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(held_launch_starts_nothing_after_a_restart_of_all, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(workers_back_at_once_without_tasks_lose_no_job, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(workers_back_at_once_with_old_tasks_start_none_twice,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(machines_rented_late_are_taken_over, set_up, tear_down),
        cmocka_unit_test_setup_teardown(late_termination_loses_no_job, set_up, tear_down),
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
