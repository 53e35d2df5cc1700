/* The checker of histories finds each kind of violation, and nothing where there is none. */
#include "testing/history.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

/* Two attempts of a job's only task, one after the other, by the leader of that time. */
static struct history *good_history(void)
{
    struct history *h = history_new(10);

    history_epoch_advanced(h, 1, "node-0");
    history_status_reported(h, "job-1", 1, "queued", 1);
    history_launch_received(h, 1, "node-0");
    history_task_started(h, "i-1", "job-1/0", 1, 2);
    history_task_ended(h, "i-1", "job-1/0", false);
    history_epoch_advanced(h, 2, "node-1");
    history_launch_received(h, 2, "node-1");
    history_task_started(h, "i-2", "job-1/0", 2, 5);
    return h;
}

static void a_good_history_is_well(void **arg)
{
    struct history *h = good_history();

    (void)arg;
    history_task_ended(h, "i-2", "job-1/0", true);
    history_status_reported(h, "job-1", 1, "done", 8);
    history_check_cancellations(h, 100);
    history_close(h);
    assert_string_equal(history_violations(h), "");
    history_free(h);
}

static void expect(const struct history *h, const char *text)
{
    assert_non_null(strstr(history_violations(h), text));
}

static void planted_violations_are_found(void **arg)
{
    struct history *h = good_history();

    (void)arg;
    history_task_started(h, "i-3", "job-1/0", 3, 6);
    expect(h, "job-1/0 starts on i-3 while it is on i-2");
    history_free(h);
    h = good_history();
    history_add_team(h, "team-a", 3, 0);
    history_job_submitted(h, "job-2", (struct history_job){"team-a", 2, 0, -1});
    history_task_started(h, "i-3", "job-2/0", 1, 6);
    history_task_ended(h, "i-3", "job-2/0", false);
    history_task_started(h, "i-3", "job-2/0", 2, 6);
    assert_string_equal(history_violations(h), "");
    history_task_started(h, "i-4", "job-2/1", 3, 6);
    expect(h, "quota: with job-2/1 its team uses 4 of 3 cpus");
    history_free(h);
    h = good_history();
    history_add_team(h, "team-a", 100, 1);
    history_job_submitted(h, "job-2", (struct history_job){"team-a", 2, 1, -1});
    history_task_started(h, "i-3", "job-2/0", 1, 6);
    assert_string_equal(history_violations(h), "");
    history_task_started(h, "i-4", "job-2/1", 2, 6);
    expect(h, "2 of 1 accelerators");
    history_free(h);
    h = good_history();
    history_add_machine(h, "i-3", 1);
    history_job_submitted(h, "job-2", (struct history_job){"team-a", 2, 0, 0});
    history_task_started(h, "i-3", "job-2/0", 1, 6);
    expect(h, "job-2/0 starts in zone 1, its job is for 0");
    history_unknown_job_reported(h, "job-9");
    expect(h, "job-9 was never submitted and is known");
    history_free(h);
    h = good_history();
    history_task_started(h, "i-2", "job-1/0", 2, 6);
    expect(h, "attempt job-1/0 2 started twice");
    history_free(h);
    h = good_history();
    history_status_reported(h, "job-1", 1, "done", 6);
    expect(h, "done after 0 of 1 tasks");
    history_status_reported(h, "job-1", 1, "running", 7);
    expect(h, "was done and is called running");
    history_free(h);
    h = good_history();
    history_status_reported(h, "job-1", 1, "cancelled", 6);
    history_check_cancellations(h, 15);
    assert_string_equal(history_violations(h), "");
    history_check_cancellations(h, 17);
    expect(h, "on i-2 after its cancellation");
    history_free(h);
    h = good_history();
    history_launch_received(h, 2, "node-0");
    expect(h, "node-0 launches under token 2, which is node-1's");
    history_free(h);
    h = good_history();
    history_epoch_advanced(h, 2, "node-2");
    expect(h, "epoch 2 was raised by node-1 and by node-2");
    history_free(h);
    h = good_history();
    history_close(h);
    expect(h, "1 accepted jobs were abandoned");
    history_free(h);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_good_history_is_well),
        cmocka_unit_test(planted_violations_are_found),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
