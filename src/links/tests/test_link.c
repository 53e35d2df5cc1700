/* The state machine of one link: evidence at set times, and what it is judged to be. */
#include "links/link.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

static const struct pm_link_limits limits = {.down_s = 1.5, .recover_s = 1, .half_life_s = 30};

#define STEP_S 0.25

/* Calls are answered, or fail, every quarter of a second for that long; returns when. */
static double go_on(struct pm_link *link, double now, double seconds, bool answered)
{
    for (int steps = (int)(seconds / STEP_S); steps > 0; steps--) {
        if (answered)
            pm_link_worked(link, PM_LINK_OUTWARD, now);
        else
            pm_link_failed(link, PM_LINK_OUTWARD, now - STEP_S, now);
        pm_link_judge(link, &limits, now);
        now += STEP_S;
    }
    return now;
}

static void is_unknown_until_there_is_evidence(void **arg)
{
    struct pm_link link = {0};

    (void)arg;
    assert_false(pm_link_judge(&link, &limits, 100));
    assert_int_equal(link.state, PM_LINK_UNKNOWN);
    pm_link_worked(&link, PM_LINK_OUTWARD, 101);
    assert_true(pm_link_judge(&link, &limits, 101));
    assert_int_equal(link.state, PM_LINK_UP);
}

static void one_lost_call_is_not_the_end(void **arg)
{
    struct pm_link link = {0};
    double now = go_on(&link, 100, 5, true);

    (void)arg;
    pm_link_failed(&link, PM_LINK_OUTWARD, now - 4, now); /* lost, after four seconds */
    pm_link_judge(&link, &limits, now + 5);
    assert_int_equal(link.state, PM_LINK_DEGRADED);
    go_on(&link, now + 5, 1, true);
    assert_int_equal(link.state, PM_LINK_UP);
}

static void goes_down_and_recovers_with_hysteresis(void **arg)
{
    struct pm_link link = {0};
    double now = go_on(&link, 100, 5, true);

    (void)arg;
    now = go_on(&link, now, 1, false);
    assert_int_equal(link.state, PM_LINK_DEGRADED);
    now = go_on(&link, now, 2, false);
    assert_int_equal(link.state, PM_LINK_DOWN);
    now = go_on(&link, now, 0.5, true);
    assert_int_equal(link.state, PM_LINK_DEGRADED); /* not trusted at once */
    go_on(&link, now, 1, true);
    assert_int_equal(link.state, PM_LINK_UP);
}

static void tells_which_way_is_cut(void **arg)
{
    struct pm_link link = {0};
    double now = 100;

    (void)arg;
    pm_link_await(&link, true, now);
    for (int i = 0; i < 40; i++) { /* it is heard, and answers nothing */
        now += STEP_S;
        pm_link_worked(&link, PM_LINK_INWARD, now);
        pm_link_failed(&link, PM_LINK_OUTWARD, now - STEP_S, now);
        pm_link_judge(&link, &limits, now);
    }
    assert_int_equal(link.state, PM_LINK_ONE_WAY);
    assert_int_equal(link.failed_direction, PM_LINK_OUTWARD);
    memset(&link, 0, sizeof link);
    pm_link_await(&link, true, now);
    for (int i = 0; i < 40; i++) { /* it answers, and is not heard */
        now += STEP_S;
        pm_link_worked(&link, PM_LINK_OUTWARD, now);
        pm_link_judge(&link, &limits, now);
    }
    assert_int_equal(link.state, PM_LINK_ONE_WAY);
    assert_int_equal(link.failed_direction, PM_LINK_INWARD);
}

static void a_refusal_is_an_answer(void **arg)
{
    struct pm_link link = {0};
    double now = go_on(&link, 100, 5, true);

    (void)arg;
    pm_link_was_refused(&link, now);
    pm_link_judge(&link, &limits, now);
    assert_int_equal(link.state, PM_LINK_REFUSED);
    go_on(&link, now, 1, true);
    assert_int_equal(link.state, PM_LINK_UP);
}

/* Neither trusted at each recovery nor given up at each failure, whatever the period; forgiven once
 * it has been well for long. */
static void flaps_at_any_period(void **arg)
{
    static const double periods[] = {0.5, 1, 2, 4, 8};

    (void)arg;
    for (size_t i = 0; i < sizeof periods / sizeof *periods; i++) {
        struct pm_link link = {0};
        double now = go_on(&link, 100, 5, true);
        unsigned changes = 0;
        int turns = (int)ceil(60 / (2 * periods[i])); /* a minute of it, at least */
        for (int turn = 0; turn < turns; turn++) {    /* it learns what the link is like */
            now = go_on(&link, now, periods[i], false);
            now = go_on(&link, now, periods[i], true);
        }
        for (int turn = 0; turn < turns; turn++) {
            now = go_on(&link, now, periods[i], false);
            changes += link.state != PM_LINK_FLAPPING;
            now = go_on(&link, now, periods[i], true);
            changes += link.state != PM_LINK_FLAPPING;
        }
        assert_int_equal(changes, 0);
        go_on(&link, now, 90, true);
        assert_int_equal(link.state, PM_LINK_UP);
    }
}

static void a_flapping_link_that_stays_down_is_down(void **arg)
{
    struct pm_link link = {0};
    double now = 100;

    (void)arg;
    for (int i = 0; i < 10; i++) {
        now = go_on(&link, now, 2, true);
        now = go_on(&link, now, 2, false);
    }
    assert_int_equal(link.state, PM_LINK_FLAPPING);
    go_on(&link, now, 20, false);
    assert_int_equal(link.state, PM_LINK_DOWN);
}

static void silence_is_judged_by_measured_intervals(void **arg)
{
    struct pm_link link = {0};
    double now = 100;

    (void)arg;
    pm_link_await(&link, true, now);
    for (int i = 0; i < 60; i++) { /* every 2 to 4 s: more than `down_s` */
        now += 2 + 2 * (i % 2);
        pm_link_worked(&link, PM_LINK_INWARD, now);
        pm_link_judge(&link, &limits, now);
    }
    pm_link_judge(&link, &limits, now + 5);
    assert_int_equal(link.state, PM_LINK_UP); /* 3 s, and four deviations of 1 s */
    pm_link_judge(&link, &limits, now + 7.5);
    assert_int_equal(link.state, PM_LINK_DEGRADED);
    pm_link_judge(&link, &limits, now + 10);
    assert_int_equal(link.state, PM_LINK_DOWN);
}

/* Who stood still has heard nobody meanwhile: that is no evidence against the link. */
static void own_pauses_are_excused(void **arg)
{
    struct pm_link link = {0};
    double now = 100;

    (void)arg;
    pm_link_await(&link, true, now);
    for (int i = 0; i < 20; i++) {
        now += 0.5;
        pm_link_worked(&link, PM_LINK_INWARD, now);
        pm_link_worked(&link, PM_LINK_OUTWARD, now);
        pm_link_judge(&link, &limits, now);
    }
    pm_link_failed(&link, PM_LINK_OUTWARD, now, now + 30);
    pm_link_failed(&link, PM_LINK_OUTWARD, now, now + 30);
    pm_link_excuse(&link, now + 30);
    pm_link_judge(&link, &limits, now + 30.2);
    assert_int_not_equal(link.state, PM_LINK_DOWN);
    pm_link_worked(&link, PM_LINK_OUTWARD, now + 30.3);
    pm_link_worked(&link, PM_LINK_INWARD, now + 30.3);
    pm_link_judge(&link, &limits, now + 30.3);
    assert_int_equal(link.state, PM_LINK_UP);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(is_unknown_until_there_is_evidence),
        cmocka_unit_test(one_lost_call_is_not_the_end),
        cmocka_unit_test(goes_down_and_recovers_with_hysteresis),
        cmocka_unit_test(tells_which_way_is_cut),
        cmocka_unit_test(a_refusal_is_an_answer),
        cmocka_unit_test(flaps_at_any_period),
        cmocka_unit_test(a_flapping_link_that_stays_down_is_down),
        cmocka_unit_test(silence_is_judged_by_measured_intervals),
        cmocka_unit_test(own_pauses_are_excused),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
