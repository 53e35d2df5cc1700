/* The checker of histories finds each kind of violation, and nothing where there is none. */
#include "testing/history.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define CANCEL_LIMIT_S 10

static struct history *history;

/* Two attempts of a job's only task, one after the other, each by the leader of that time. */
static int set_up(void **arg)
{
    (void)arg;
    history = history_new(CANCEL_LIMIT_S);
    history_epoch_advanced(history, 1, "node-0");
    history_status_reported(history, "job-1", 1, "queued", 1);
    history_launch_received(history, 1, "node-0");
    history_task_started(history, "i-1", "job-1/0", 1, 2);
    history_task_ended(history, "i-1", "job-1/0", false);
    history_epoch_advanced(history, 2, "node-1");
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
    history_close(history);
    assert_string_equal(history_violations(history), "");
}

static void task_on_two_machines_is_found(void **arg)
{
    (void)arg;
    history_task_started(history, "i-3", "job-1/0", 3, 6);
    assert_violation("job-1/0 starts on i-3 while it is on i-2");
}

static void cpus_over_quota_are_found(void **arg)
{
    (void)arg;
    history_add_team(history, "team-a", 3, 0);
    history_job_submitted(history, "job-2", (struct history_job){"team-a", 2, 0, -1});
    history_task_started(history, "i-3", "job-2/0", 1, 6);
    history_task_ended(history, "i-3", "job-2/0", false);
    history_task_started(history, "i-3", "job-2/0", 2, 6);
    assert_string_equal(history_violations(history), "");
    history_task_started(history, "i-4", "job-2/1", 3, 6);
    assert_violation("quota: with job-2/1 its team uses 4 of 3 cpus");
}

static void accelerators_over_quota_are_found(void **arg)
{
    (void)arg;
    history_add_team(history, "team-a", 100, 1);
    history_job_submitted(history, "job-2", (struct history_job){"team-a", 2, 1, -1});
    history_task_started(history, "i-3", "job-2/0", 1, 6);
    assert_string_equal(history_violations(history), "");
    history_task_started(history, "i-4", "job-2/1", 2, 6);
    assert_violation("2 of 1 accelerators");
}

static void start_in_another_zone_is_found(void **arg)
{
    (void)arg;
    history_add_machine(history, "i-3", 1);
    history_job_submitted(history, "job-2", (struct history_job){"team-a", 2, 0, 0});
    history_task_started(history, "i-3", "job-2/0", 1, 6);
    assert_violation("job-2/0 starts in zone 1, its job is for 0");
    history_unknown_job_reported(history, "job-9");
    assert_violation("job-9 was never submitted and is known");
}

static void repeated_attempt_is_found(void **arg)
{
    (void)arg;
    history_task_started(history, "i-2", "job-1/0", 2, 6);
    assert_violation("attempt job-1/0 2 started twice");
}

static void early_and_contradicted_completion_is_found(void **arg)
{
    (void)arg;
    history_status_reported(history, "job-1", 1, "done", 6);
    assert_violation("done after 0 of 1 tasks");
    history_status_reported(history, "job-1", 1, "running", 7);
    assert_violation("was done and is called running");
}

static void task_after_its_cancellation_is_found(void **arg)
{
    (void)arg;
    history_status_reported(history, "job-1", 1, "cancelled", 6);
    history_check_cancellations(history, 15);
    assert_string_equal(history_violations(history), "");
    history_check_cancellations(history, 17);
    assert_violation("on i-2 after its cancellation");
}

static void launch_under_a_foreign_token_is_found(void **arg)
{
    (void)arg;
    history_launch_received(history, 2, "node-0");
    assert_violation("node-0 launches under token 2, which is node-1's");
}

static void epoch_of_two_writers_is_found(void **arg)
{
    (void)arg;
    history_epoch_advanced(history, 2, "node-2");
    assert_violation("epoch 2 was raised by node-1 and by node-2");
}

static void abandoned_job_is_found(void **arg)
{
    (void)arg;
    history_close(history);
    assert_violation("1 accepted jobs were abandoned");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(correct_history_has_no_violation, set_up, tear_down),
        cmocka_unit_test_setup_teardown(task_on_two_machines_is_found, set_up, tear_down),
        cmocka_unit_test_setup_teardown(cpus_over_quota_are_found, set_up, tear_down),
        cmocka_unit_test_setup_teardown(accelerators_over_quota_are_found, set_up, tear_down),
        cmocka_unit_test_setup_teardown(start_in_another_zone_is_found, set_up, tear_down),
        cmocka_unit_test_setup_teardown(repeated_attempt_is_found, set_up, tear_down),
        cmocka_unit_test_setup_teardown(early_and_contradicted_completion_is_found, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(task_after_its_cancellation_is_found, set_up, tear_down),
        cmocka_unit_test_setup_teardown(launch_under_a_foreign_token_is_found, set_up, tear_down),
        cmocka_unit_test_setup_teardown(epoch_of_two_writers_is_found, set_up, tear_down),
        cmocka_unit_test_setup_teardown(abandoned_job_is_found, set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
