/* Tests that the history reports each kind of violation, and none in a correct run. */
#include "testing/history.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define CANCEL_LIMIT_S 10

static struct history *history;

/* Creates a correct history: the leader of epoch 1 launches the only task of job-1. When that
 * attempt has ended, the leader of epoch 2 launches the task again, and that attempt still runs. */
static int set_up(void **arg)
{
    (void)arg;
    history = history_new(CANCEL_LIMIT_S);
    history_epoch_advanced(history, (struct pm_fencing_range){1, 1}, "node-0");
    history_status_reported(history, "job-1", 1, "queued", 1);
    history_launch_received(history, 1, "node-0");
    history_task_started(history, "i-1", "job-1/0", 1, 2);
    history_task_ended(history, "i-1", "job-1/0", false);
    history_epoch_advanced(history, (struct pm_fencing_range){2, 2}, "node-1");
    history_launch_received(history, 2, "node-1");
    history_task_started(history, "i-2", "job-1/0", 2, 5);
    return 0;
}

static int tear_down(void **arg)
{
    (void)arg;
    history_free(history);
    return 0;
}

static void assert_violation(const char *text)
{
    assert_non_null(strstr(history_violations(history), text));
}

static void correct_history_has_no_violation(void **arg)
{
    (void)arg;
    history_task_ended(history, "i-2", "job-1/0", true);
    history_status_reported(history, "job-1", 1, "done", 8);
    history_check_cancellations(history, 100);
    history_report_open_jobs(history);
    assert_string_equal(history_violations(history), "");
}

static void task_on_two_machines_is_found(void **arg)
{
    (void)arg;
    history_task_started(history, "i-3", "job-1/0", 3, 6);
    assert_violation("task job-1/0 started on i-3 while it was still on i-2");
}

static void cpus_over_quota_are_found(void **arg)
{
    (void)arg;
    history_add_team(history, "team-a", 3, 0);
    history_job_submitted(
        history, "job-2",
        (struct history_job){.team = "team-a", .cpus = 2, .accelerators = 0, .zone = -1});
    history_task_started(history, "i-3", "job-2/0", 1, 6);
    history_task_ended(history, "i-3", "job-2/0", false);
    history_task_started(history, "i-3", "job-2/0", 2, 6);
    assert_string_equal(history_violations(history), "");
    history_task_started(history, "i-4", "job-2/1", 3, 6);
    assert_violation("over quota: after task job-2/1 started, its team uses 4 of 3 cpus");
}

static void accelerators_over_quota_are_found(void **arg)
{
    (void)arg;
    history_add_team(history, "team-a", 100, 1);
    history_job_submitted(
        history, "job-2",
        (struct history_job){.team = "team-a", .cpus = 2, .accelerators = 1, .zone = -1});
    history_task_started(history, "i-3", "job-2/0", 1, 6);
    assert_string_equal(history_violations(history), "");
    history_task_started(history, "i-4", "job-2/1", 2, 6);
    assert_violation("2 of 1 accelerators");
}

static void start_in_another_zone_is_found(void **arg)
{
    (void)arg;
    history_add_machine(history, "i-3", 1);
    history_job_submitted(
        history, "job-2",
        (struct history_job){.team = "team-a", .cpus = 2, .accelerators = 0, .zone = 0});
    history_task_started(history, "i-3", "job-2/0", 1, 6);
    assert_violation("task job-2/0 started in zone 1, but its job allows only zone 0");
    history_unknown_job_reported(history, "job-9");
    assert_violation("job job-9 was never submitted, but a controller reports it");
}

static void start_on_another_type_or_kind_is_found(void **arg)
{
    (void)arg;
    history_describe_machine(history, "i-3", "m4", true);
    history_job_submitted(
        history, "job-2",
        (struct history_job){
            .team = "team-a", .zone = -1, .machine_type = "m8", .ordinary_only = true});
    history_task_started(history, "i-3", "job-2/0", 1, 6);
    assert_violation("task job-2/0 started on type m4, but its job allows only m8");
    assert_violation("task job-2/0 started on a spot machine, but its job allows none");
}

static void start_in_the_wrong_zone_beside_others_is_found(void **arg)
{
    (void)arg;
    for (int i = 0; i < 3; i++) {
        char *machine = g_strdup_printf("i-%d", i + 3);
        history_add_machine(history, machine, i / 2);
        history_describe_machine(history, machine, "m8", false);
        g_free(machine);
    }
    history_job_submitted(history, "job-2",
                          (struct history_job){.team = "team-a", .zone = -1, .zone_tasks_max = 1});
    history_job_submitted(history, "job-3",
                          (struct history_job){.team = "team-a", .zone = -1, .same_zone = true});
    history_task_started(history, "i-3", "job-2/0", 1, 6);
    history_task_started(history, "i-3", "job-3/0", 1, 6);
    assert_string_equal(history_violations(history), "");
    history_task_started(history, "i-4", "job-2/1", 2, 6);
    assert_violation("where 2 tasks of its job are now, but at most 1 may be");
    history_task_started(history, "i-5", "job-3/1", 2, 6);
    assert_violation("but 1 tasks of its job, which have to be in one zone, are in others");
}

static void repeated_attempt_is_found(void **arg)
{
    (void)arg;
    history_task_started(history, "i-2", "job-1/0", 2, 6);
    assert_violation("started twice: task and attempt job-1/0 2\n");
}

static void early_and_contradicted_completion_is_found(void **arg)
{
    (void)arg;
    history_status_reported(history, "job-1", 1, "done", 6);
    assert_violation("job job-1 was reported as done when 0 of 1 tasks had completed");
    history_status_reported(history, "job-1", 1, "running", 7);
    assert_violation("job job-1 was reported as done and later as running");
}

static void task_on_machine_after_cancel_limit_is_found(void **arg)
{
    (void)arg;
    history_status_reported(history, "job-1", 1, "cancelled", 6);
    history_check_cancellations(history, 15);
    assert_string_equal(history_violations(history), "");
    history_check_cancellations(history, 17);
    assert_violation(
        "task job-1/0 is still on i-2 too long after its job was reported as cancelled");
}

static void launch_with_another_epochs_token_is_found(void **arg)
{
    (void)arg;
    history_launch_received(history, 2, "node-0");
    assert_violation(
        "controller node-0 sent a launch with fencing token 2; that epoch was written by node-1");
}

static void epoch_written_by_two_controllers_is_found(void **arg)
{
    (void)arg;
    history_epoch_advanced(history, (struct pm_fencing_range){2, 2}, "node-2");
    assert_violation("epoch 2 was written by both node-1 and node-2");
}

static void open_job_is_found(void **arg)
{
    (void)arg;
    history_report_open_jobs(history);
    assert_violation("accepted jobs never reported as done or cancelled: 1\n");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(correct_history_has_no_violation, set_up, tear_down),
        cmocka_unit_test_setup_teardown(task_on_two_machines_is_found, set_up, tear_down),
        cmocka_unit_test_setup_teardown(cpus_over_quota_are_found, set_up, tear_down),
        cmocka_unit_test_setup_teardown(accelerators_over_quota_are_found, set_up, tear_down),
        cmocka_unit_test_setup_teardown(start_in_another_zone_is_found, set_up, tear_down),
        cmocka_unit_test_setup_teardown(start_on_another_type_or_kind_is_found, set_up, tear_down),
        cmocka_unit_test_setup_teardown(start_in_the_wrong_zone_beside_others_is_found, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(repeated_attempt_is_found, set_up, tear_down),
        cmocka_unit_test_setup_teardown(early_and_contradicted_completion_is_found, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(task_on_machine_after_cancel_limit_is_found, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(launch_with_another_epochs_token_is_found, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(epoch_written_by_two_controllers_is_found, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(open_job_is_found, set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
