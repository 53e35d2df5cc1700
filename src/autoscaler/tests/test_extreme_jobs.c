/* Guards against a leader that is ended by a job of extreme but valid size, and then each of its
 * successors, which read the stored job. Runs real controller processes, whose memory is limited.
 *
 * PM_TEST_LOG in the environment shows the controllers' logs. */
#include "testing/cluster.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <cmocka.h>

#define DEADLINE_S 60.0 /* limit of each wait, ample even on a busy machine */
#define OBSERVED_S 6.0  /* covers several sizings */

enum { CONTROLLERS = 3, ORDINARY_JOBS = 4 };

static const struct cluster_job ordinary_job = {.team = "team",
                                                .kind = "array",
                                                .priority = "normal",
                                                .task_count = 2,
                                                .cpus = 2,
                                                .run_s = 1,
                                                .zone = -1};

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

/* Submits the job among ordinary ones, and checks that the ordinary ones end and no controller
 * does. */
static void check_beside_ordinary_jobs(struct cluster_job extreme)
{
    const char *id;

    assert_true(cluster_run_until(cluster, cluster_has_leader, DEADLINE_S));
    id = cluster_submit_job(cluster, &extreme);
    for (int i = 0; i < ORDINARY_JOBS; i++)
        cluster_submit_job(cluster, &ordinary_job);
    cluster_run(cluster, OBSERVED_S);
    assert_string_equal(history_violations(cluster_history(cluster)), "");
    assert_true(cluster_open_job_count(cluster) <= 1);
    cluster_cancel_job(cluster, id);
    assert_true(cluster_run_until(cluster, cluster_is_idle, DEADLINE_S));
    assert_string_equal(history_violations(cluster_history(cluster)), "");
}

static void huge_estimate_does_not_end_the_leader(void **state)
{
    struct cluster_job extreme = ordinary_job;

    (void)state;
    extreme.estimated_run_s = 1e9;
    check_beside_ordinary_jobs(extreme);
}

static void job_of_100000_long_tasks_does_not_end_the_leader(void **state)
{
    struct cluster_job extreme = ordinary_job;

    (void)state;
    extreme.task_count = 100000;
    extreme.estimated_run_s = 86400;
    check_beside_ordinary_jobs(extreme);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(huge_estimate_does_not_end_the_leader, set_up, tear_down),
        cmocka_unit_test_setup_teardown(job_of_100000_long_tasks_does_not_end_the_leader, set_up,
                                        tear_down),
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
