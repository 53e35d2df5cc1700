/* Checks that no copy of a start command starts a task again, whenever it arrives: every push that
 * a worker has executed is repeated to it, again and again, while tasks end, move and are
 * cancelled, and while controllers and machines are gone for less than a second. Runs real
 * controller processes.
 *
 * PM_TEST_LOG in the environment shows the controllers' logs. PM_TEST_DAEMON names another program
 * to run, such as an earlier version's. */
#include "testing/cluster.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <cmocka.h>

#define DEADLINE_S 60.0     /* limit of each wait, ample even on a busy machine */
#define CANCEL_LIMIT_S 13.0 /* longer than the cluster's limit of three leases of 4 s */
#define SHORT_RUN_S 1.0
#define LONG_RUN_S 6.0
#define BACK_AFTER_S 0.3 /* how long a controller or a machine is away */
#define SETTLE_S 1.5     /* a few heartbeats, so that ended tasks are forgotten */
#define FORGET_S 5.0     /* the same while an epoch still owns a single token */
#define TASK_CPUS 8.0    /* a task fills its machine */

enum { CONTROLLERS = 3, TASKS = 4, GANG_TASKS = 3, MACHINES_MAX = 16, ROUNDS = 3, NAME_SIZE = 64 };

static struct cluster *cluster;

static int set_up(void **state)
{
    const char *daemon = getenv("PM_TEST_DAEMON");

    (void)state;
    cluster = cluster_new(&(struct cluster_settings){
        .controller_count = CONTROLLERS,
        .daemon = daemon ? daemon : PM_DAEMON,
        .quiet = !getenv("PM_TEST_LOG"),
        .max_machines = MACHINES_MAX,
    });
    fake_provider_repeat_pushes(cluster_provider(cluster), true);
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    cluster_free(cluster);
    return 0;
}

static bool has_shard_owner(struct cluster *tested_cluster)
{
    return cluster_first_shard_owner(tested_cluster) >= 0;
}

static unsigned awaited_starts;

static bool has_started(struct cluster *tested_cluster)
{
    return history_start_count(cluster_history(tested_cluster)) >= awaited_starts;
}

static void await_starts(unsigned count)
{
    awaited_starts = history_start_count(cluster_history(cluster)) + count;
    assert_true(cluster_run_until(cluster, has_started, DEADLINE_S));
}

static const char *submit(const char *kind, unsigned tasks, double cpus, double run_s)
{
    return cluster_submit_job(cluster, &(struct cluster_job){.team = "team",
                                                             .kind = kind,
                                                             .priority = "normal",
                                                             .task_count = tasks,
                                                             .cpus = cpus,
                                                             .run_s = run_s,
                                                             .zone = -1});
}

/* Runs a gang of twice as many tasks as the tests use, so that half of the machines are idle, and
 * copies of launches are about. */
static void warm_up(void)
{
    assert_true(cluster_run_until(cluster, cluster_has_leader, DEADLINE_S));
    submit("group", 2 * TASKS, TASK_CPUS, SHORT_RUN_S);
    assert_true(cluster_run_until(cluster, cluster_is_idle, DEADLINE_S));
}

static void bounce_controller(int controller)
{
    if (controller < 0)
        return;
    cluster_kill_controller(cluster, controller);
    cluster_run(cluster, BACK_AFTER_S);
    cluster_start_controller(cluster, controller);
}

static void bounce_all_controllers(void)
{
    for (int i = 0; i < CONTROLLERS; i++)
        cluster_kill_controller(cluster, i);
    cluster_run(cluster, BACK_AFTER_S);
    for (int i = 0; i < CONTROLLERS; i++)
        cluster_start_controller(cluster, i);
}

/* All machines hang, or lose the network, for less than a second. */
static void bounce_machines(bool (*set_fault)(struct fake_provider *provider, unsigned choice,
                                              bool is_set))
{
    for (unsigned i = 0; i < MACHINES_MAX; i++)
        set_fault(cluster_provider(cluster), i, true);
    cluster_run(cluster, BACK_AFTER_S);
    for (unsigned i = 0; i < MACHINES_MAX; i++)
        set_fault(cluster_provider(cluster), i, false);
}

static void fail_tasks(const char *id, unsigned tasks)
{
    char task[NAME_SIZE];

    for (unsigned i = 0; i < tasks; i++) {
        snprintf(task, sizeof task, "%s/%u", id, i);
        fake_provider_fail_task(cluster_provider(cluster), task);
    }
}

/* Waits until all jobs have ended, and for longer than copies might still do harm. */
static void finish(void)
{
    assert_true(cluster_run_until(cluster, cluster_is_idle, DEADLINE_S));
    cluster_run(cluster, SETTLE_S);
    assert_true(fake_provider_repeated_push_count(cluster_provider(cluster)) > 0);
    assert_string_equal(history_violations(cluster_history(cluster)), "");
}

static void no_copy_starts_a_task_that_has_ended(void **state)
{
    (void)state;
    warm_up();
    for (int i = 0; i < ROUNDS; i++) {
        submit("array", TASKS, TASK_CPUS, SHORT_RUN_S);
        assert_true(cluster_run_until(cluster, cluster_is_idle, DEADLINE_S));
        bounce_controller(cluster_leader(cluster));
    }
    finish();
}

/* The tasks fail and run elsewhere, while the leader is back within a second. */
static void no_copy_starts_a_task_that_has_moved(void **state)
{
    const char *id;

    (void)state;
    warm_up();
    id = submit("array", TASKS, TASK_CPUS, LONG_RUN_S);
    await_starts(TASKS);
    for (int i = 0; i < ROUNDS; i++) {
        fail_tasks(id, TASKS);
        bounce_controller(cluster_leader(cluster));
        await_starts(1);
        cluster_run(cluster, SETTLE_S);
    }
    finish();
}

/* The same for gangs, which move as a whole. */
static void no_copy_starts_a_gang_that_has_moved(void **state)
{
    const char *id;

    (void)state;
    warm_up();
    id = submit("group", GANG_TASKS, TASK_CPUS, LONG_RUN_S);
    await_starts(GANG_TASKS);
    for (int i = 0; i < 2; i++) {
        fail_tasks(id, 1);
        bounce_controller(cluster_leader(cluster));
        await_starts(GANG_TASKS);
        cluster_run(cluster, SETTLE_S);
    }
    finish();
}

/* The tasks move off machines that are cut off for longer than a lease, and then return. */
static void no_copy_starts_a_task_whose_machine_was_away(void **state)
{
    char task[NAME_SIZE];

    (void)state;
    warm_up();
    snprintf(task, sizeof task, "%s/0", submit("array", TASKS, TASK_CPUS, LONG_RUN_S));
    await_starts(TASKS);
    fake_provider_partition_task_machine(cluster_provider(cluster), task, true);
    await_starts(1);
    bounce_controller(cluster_leader(cluster));
    fake_provider_restore_machines(cluster_provider(cluster));
    finish();
}

static void no_copy_starts_a_cancelled_task(void **state)
{
    (void)state;
    warm_up();
    for (int i = 0; i < 2; i++) {
        const char *id = submit("array", TASKS, TASK_CPUS, LONG_RUN_S);
        await_starts(TASKS);
        cluster_cancel_job(cluster, id);
        bounce_controller(cluster_leader(cluster));
        assert_true(cluster_run_until(cluster, cluster_is_idle, DEADLINE_S));
        bounce_all_controllers();
    }
    cluster_run(cluster, CANCEL_LIMIT_S);
    finish();
}

static void no_copy_starts_a_task_after_all_controllers_were_back_at_once(void **state)
{
    const char *id;

    (void)state;
    warm_up();
    id = submit("array", TASKS, TASK_CPUS, LONG_RUN_S);
    await_starts(TASKS);
    for (int i = 0; i < ROUNDS; i++) {
        fail_tasks(id, TASKS);
        bounce_all_controllers();
        await_starts(1);
    }
    finish();
}

/* The machines hang, or are cut off, for less than a second, while tasks fail and are cancelled. */
static void no_copy_starts_a_task_after_machines_were_back_at_once(void **state)
{
    const char *id;

    (void)state;
    warm_up();
    id = submit("array", TASKS, TASK_CPUS, LONG_RUN_S);
    await_starts(TASKS);
    for (int i = 0; i < ROUNDS; i++) {
        fail_tasks(id, TASKS);
        bounce_machines(i % 2 ? fake_provider_suspend_machine : fake_provider_partition_machine);
        await_starts(1);
    }
    cluster_cancel_job(cluster, id);
    bounce_machines(fake_provider_partition_machine);
    cluster_run(cluster, CANCEL_LIMIT_S);
    finish();
}

/* Machines pass between the leader and the owner of a shard within an epoch, and both are back
 * within a second. */
static void no_copy_starts_a_task_on_a_leased_machine(void **state)
{
    (void)state;
    warm_up();
    for (int i = 0; i < ROUNDS; i++) {
        const char *id;
        cluster_run(cluster, FORGET_S); /* only machines whose tasks are forgotten are leased */
        id = submit("array", TASKS, TASK_CPUS, LONG_RUN_S / 2);
        assert_true(cluster_run_until(cluster, has_shard_owner, DEADLINE_S));
        cluster_run(cluster, SHORT_RUN_S);
        fail_tasks(id, TASKS);
        bounce_controller(i % 2 ? cluster_leader(cluster) : cluster_first_shard_owner(cluster));
        assert_true(cluster_run_until(cluster, cluster_is_idle, DEADLINE_S));
    }
    finish();
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(no_copy_starts_a_task_that_has_ended, set_up, tear_down),
        cmocka_unit_test_setup_teardown(no_copy_starts_a_task_that_has_moved, set_up, tear_down),
        cmocka_unit_test_setup_teardown(no_copy_starts_a_gang_that_has_moved, set_up, tear_down),
        cmocka_unit_test_setup_teardown(no_copy_starts_a_task_whose_machine_was_away, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(no_copy_starts_a_cancelled_task, set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            no_copy_starts_a_task_after_all_controllers_were_back_at_once, set_up, tear_down),
        cmocka_unit_test_setup_teardown(no_copy_starts_a_task_after_machines_were_back_at_once,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(no_copy_starts_a_task_on_a_leased_machine, set_up,
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
