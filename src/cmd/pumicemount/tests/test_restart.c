/* Guards against jobs that are lost when controllers restart. Runs real controller processes.
 *
 * PM_TEST_LOG in the environment shows the controllers' logs. */
#include "testing/cluster.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <cmocka.h>

#define DEADLINE_S 60.0 /* limit of each wait, ample even on a busy machine */
#define DOWNTIME_S 0.5
#define TASK_RUN_S 1.0

enum { CONTROLLERS = 3, TASKS = 4 };

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

static bool has_accepted_jobs(struct cluster *tested_cluster)
{
    return history_open_job_count(cluster_history(tested_cluster)) > 0;
}

static void restart_all_controllers(void)
{
    for (int i = 0; i < CONTROLLERS; i++)
        cluster_kill_controller(cluster, i);
    cluster_run(cluster, DOWNTIME_S);
    for (int i = 0; i < CONTROLLERS; i++)
        cluster_start_controller(cluster, i);
}

/* An accepted job that names its machine types was called queued for ever, after all controllers
 * had read it before they knew the types. */
static void a_job_that_names_machine_types_runs_after_a_restart_of_all(void **state)
{
    struct cluster_job job = {.team = "team",
                              .kind = "array",
                              .priority = "normal",
                              .task_count = TASKS,
                              .cpus = 2,
                              .run_s = TASK_RUN_S,
                              .zone = -1,
                              .machine_type = FAKE_PROVIDER_MACHINE_TYPE};

    (void)state;
    assert_true(cluster_run_until(cluster, cluster_has_leader, DEADLINE_S));
    cluster_submit_job(cluster, &job);
    assert_true(cluster_run_until(cluster, has_accepted_jobs, DEADLINE_S));
    restart_all_controllers();
    assert_true(cluster_run_until(cluster, cluster_is_idle, DEADLINE_S));
    assert_string_equal(history_violations(cluster_history(cluster)), "");
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test_setup_teardown(
        a_job_that_names_machine_types_runs_after_a_restart_of_all, set_up, tear_down)};

    return cmocka_run_group_tests(tests, NULL, NULL);
}
