/* Tests the state machine of one link: records evidence at given times and checks the state. */
#include "links/link.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

static const struct pm_link_limits limits = {.down_s = 1.5, .recover_s = 1, .half_life_s = 30};

#define STEP_S 0.25

/* Records a call every STEP_S for `seconds`, all answered or all failed. Returns the end time. */
static double run_calls(struct pm_link *link, double now, double seconds, bool answered)
{
    for (int steps = (int)(seconds / STEP_S); steps > 0; steps--) {
        if (answered)
            pm_link_record_success(link, PM_LINK_OUTBOUND, now);
        else
            pm_link_record_failure(link, PM_LINK_OUTBOUND, now - STEP_S, now);
        pm_link_evaluate(link, &limits, now);
        now += STEP_S;
    }
    return now;
}

static void link_without_evidence_is_unknown(void **arg)
{
    struct pm_link link = {0};

    (void)arg;
    assert_false(pm_link_evaluate(&link, &limits, 100));
    assert_int_equal(link.state, PM_LINK_UNKNOWN);
    pm_link_record_success(&link, PM_LINK_OUTBOUND, 101);
    assert_true(pm_link_evaluate(&link, &limits, 101));
    assert_int_equal(link.state, PM_LINK_UP);
}

static void one_failed_call_does_not_take_a_link_down(void **arg)
{
    struct pm_link link = {0};
    double now = run_calls(&link, 100, 5, true);

    (void)arg;
    /* A call that began four seconds ago is lost. */
    pm_link_record_failure(&link, PM_LINK_OUTBOUND, now - 4, now);
    pm_link_evaluate(&link, &limits, now + 5);
    assert_int_equal(link.state, PM_LINK_DEGRADED);
    run_calls(&link, now + 5, 1, true);
    assert_int_equal(link.state, PM_LINK_UP);
}

static void link_goes_down_and_recovers_with_hysteresis(void **arg)
{
    struct pm_link link = {0};
    double now = run_calls(&link, 100, 5, true);

    (void)arg;
    now = run_calls(&link, now, 1, false);
    assert_int_equal(link.state, PM_LINK_DEGRADED);
    now = run_calls(&link, now, 2, false);
    assert_int_equal(link.state, PM_LINK_DOWN);
    now = run_calls(&link, now, 0.5, true);
    assert_int_equal(link.state, PM_LINK_DEGRADED); /* not up before `recover_s` has passed */
    run_calls(&link, now, 1, true);
    assert_int_equal(link.state, PM_LINK_UP);
}

static void one_way_link_names_its_failed_direction(void **arg)
{
    struct pm_link link = {0};
    double now = 100;

    (void)arg;
    pm_link_set_inbound_expected(&link, true, now);
    for (int i = 0; i < 40; i++) { /* the peer's requests arrive; it answers none of ours */
        now += STEP_S;
        pm_link_record_success(&link, PM_LINK_INBOUND, now);
        pm_link_record_failure(&link, PM_LINK_OUTBOUND, now - STEP_S, now);
        pm_link_evaluate(&link, &limits, now);
    }
    assert_int_equal(link.state, PM_LINK_ONE_WAY);
    assert_int_equal(link.failed_direction, PM_LINK_OUTBOUND);
    memset(&link, 0, sizeof link);
    pm_link_set_inbound_expected(&link, true, now);
    for (int i = 0; i < 40; i++) { /* the peer answers; its requests do not arrive */
        now += STEP_S;
        pm_link_record_success(&link, PM_LINK_OUTBOUND, now);
        pm_link_evaluate(&link, &limits, now);
    }
    assert_int_equal(link.state, PM_LINK_ONE_WAY);
    assert_int_equal(link.failed_direction, PM_LINK_INBOUND);
}

static void refusing_service_is_reached(void **arg)
{
    struct pm_link link = {0};
    double now = run_calls(&link, 100, 5, true);

    (void)arg;
    pm_link_record_refusal(&link, now);
    pm_link_evaluate(&link, &limits, now);
    assert_int_equal(link.state, PM_LINK_REFUSED);
    run_calls(&link, now, 1, true);
    assert_int_equal(link.state, PM_LINK_UP);
}

/* A link that flaps with any period stays in the state flapping through each recovery and failure.
 * It is up again after it has worked for a long time. */
static void link_flaps_at_any_period(void **arg)
{
    static const double periods[] = {0.5, 1, 2, 4, 8};

    (void)arg;
    for (size_t i = 0; i < sizeof periods / sizeof *periods; i++) {
        struct pm_link link = {0};
        double now = run_calls(&link, 100, 5, true);
        unsigned changes = 0;
        int turns = (int)ceil(60 / (2 * periods[i])); /* at least a minute */
        for (int turn = 0; turn < turns; turn++) {    /* the penalty rises */
            now = run_calls(&link, now, periods[i], false);
            now = run_calls(&link, now, periods[i], true);
        }
        for (int turn = 0; turn < turns; turn++) {
            now = run_calls(&link, now, periods[i], false);
            changes += link.state != PM_LINK_FLAPPING;
            now = run_calls(&link, now, periods[i], true);
            changes += link.state != PM_LINK_FLAPPING;
        }
        assert_int_equal(changes, 0);
        run_calls(&link, now, 90, true);
        assert_int_equal(link.state, PM_LINK_UP);
    }
}

static void flapping_link_that_stays_down_is_down(void **arg)
{
    struct pm_link link = {0};
    double now = 100;

    (void)arg;
    for (int i = 0; i < 10; i++) {
        now = run_calls(&link, now, 2, true);
        now = run_calls(&link, now, 2, false);
    }
    assert_int_equal(link.state, PM_LINK_FLAPPING);
    run_calls(&link, now, 20, false);
    assert_int_equal(link.state, PM_LINK_DOWN);
}

static void silence_is_compared_with_measured_intervals(void **arg)
{
    struct pm_link link = {0};
    double now = 100;

    (void)arg;
    pm_link_set_inbound_expected(&link, true, now);
    for (int i = 0; i < 60; i++) { /* every 2 to 4 s, longer than `down_s` */
        now += 2 + 2 * (i % 2);
        pm_link_record_success(&link, PM_LINK_INBOUND, now);
        pm_link_evaluate(&link, &limits, now);
    }
    pm_link_evaluate(&link, &limits, now + 5);
    assert_int_equal(link.state, PM_LINK_UP); /* this silence is normal: the mean of 3 s plus four
                                                 standard deviations of 1 s */
    pm_link_evaluate(&link, &limits, now + 7.5);
    assert_int_equal(link.state, PM_LINK_DEGRADED);
    pm_link_evaluate(&link, &limits, now + 10);
    assert_int_equal(link.state, PM_LINK_DOWN);
}

/* A process receives nothing while it is paused, which is no evidence against the link. */
static void own_pauses_do_not_count_as_failure(void **arg)
{
    struct pm_link link = {0};
    double now = 100;

    (void)arg;
    pm_link_set_inbound_expected(&link, true, now);
    for (int i = 0; i < 20; i++) {
        now += 0.5;
        pm_link_record_success(&link, PM_LINK_INBOUND, now);
        pm_link_record_success(&link, PM_LINK_OUTBOUND, now);
        pm_link_evaluate(&link, &limits, now);
    }
    pm_link_record_failure(&link, PM_LINK_OUTBOUND, now, now + 30);
    pm_link_record_failure(&link, PM_LINK_OUTBOUND, now, now + 30);
    pm_link_exclude_pause(&link, now + 30);
    pm_link_evaluate(&link, &limits, now + 30.2);
    assert_int_not_equal(link.state, PM_LINK_DOWN);
    pm_link_record_success(&link, PM_LINK_OUTBOUND, now + 30.3);
    pm_link_record_success(&link, PM_LINK_INBOUND, now + 30.3);
    pm_link_evaluate(&link, &limits, now + 30.3);
    assert_int_equal(link.state, PM_LINK_UP);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(link_without_evidence_is_unknown),
        cmocka_unit_test(one_failed_call_does_not_take_a_link_down),
        cmocka_unit_test(link_goes_down_and_recovers_with_hysteresis),
        cmocka_unit_test(one_way_link_names_its_failed_direction),
        cmocka_unit_test(refusing_service_is_reached),
        cmocka_unit_test(link_flaps_at_any_period),
        cmocka_unit_test(flapping_link_that_stays_down_is_down),
        cmocka_unit_test(silence_is_compared_with_measured_intervals),
        cmocka_unit_test(own_pauses_do_not_count_as_failure),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
