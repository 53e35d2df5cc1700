/* The limit on requests in progress follows the times that are measured, within its bounds. */
#include "api/api.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

/* `n` requests at a time, each taking that long. */
static void load_slow(struct pm_concurrency_limit *limit, unsigned n, double seconds,
                      double state_s)
{
    unsigned inside = 0;

    while (inside < n && pm_concurrency_limit_acquire(limit, false))
        inside++;
    while (inside--)
        pm_concurrency_limit_release(limit, seconds, state_s);
}

static void load(struct pm_concurrency_limit *limit, unsigned n, double seconds)
{
    load_slow(limit, n, seconds, 0.004);
}

/* Seen on a day when the state service took fifteen times as long: every user was turned away for
 * it, 12,000 times in a minute, though nothing here was busy. */
static void a_slow_state_service_is_no_reason(void **state)
{
    struct pm_concurrency_limit *limit = pm_concurrency_limit_new(8, 256);

    (void)state;
    for (int i = 0; i < 50; i++)
        load(limit, 1000, 0.01);
    for (int i = 0; i < 50; i++)
        load_slow(limit, 1000, 0.2, 0.07);
    assert_int_equal(pm_concurrency_limit_current(limit), 256);
    for (int i = 0; i < 50; i++)
        load_slow(limit, 1000, 2.0, 0.07); /* longer than that explains */
    assert_int_equal(pm_concurrency_limit_current(limit), 8);
    pm_concurrency_limit_free(limit);
}

static void submissions_come_before_polls(void **state)
{
    struct pm_concurrency_limit *limit = pm_concurrency_limit_new(4, 4);

    (void)state;
    for (int i = 0; i < 4; i++)
        assert_true(pm_concurrency_limit_acquire(limit, false));
    assert_false(pm_concurrency_limit_acquire(limit, false));
    assert_true(pm_concurrency_limit_acquire(limit, true));
    assert_true(pm_concurrency_limit_acquire(limit, true));
    assert_false(pm_concurrency_limit_acquire(limit, true));
    pm_concurrency_limit_free(limit);
}

static void follows_measured_times(void **state)
{
    struct pm_concurrency_limit *limit = pm_concurrency_limit_new(8, 256);
    unsigned usual;
    unsigned slow;

    (void)state;
    for (int i = 0; i < 50; i++)
        load(limit, 1000, 0.01);
    usual = pm_concurrency_limit_current(limit);
    assert_int_equal(usual, 256); /* quick answers, as many as asked for: up to the bound */
    for (int i = 0; i < 50; i++)
        load(limit, 1000, 2.0);
    slow = pm_concurrency_limit_current(limit);
    assert_int_equal(slow, 8); /* much slower than usual: down to the other bound */
    for (int i = 0; i < 200; i++)
        load(limit, 1000, 0.01);
    assert_true(pm_concurrency_limit_current(limit) > slow);
    pm_concurrency_limit_free(limit);
}

static void turns_away_beyond_it(void **state)
{
    struct pm_concurrency_limit *limit = pm_concurrency_limit_new(2, 2);

    (void)state;
    assert_true(pm_concurrency_limit_acquire(limit, false));
    assert_true(pm_concurrency_limit_acquire(limit, false));
    assert_false(pm_concurrency_limit_acquire(limit, false));
    pm_concurrency_limit_release(limit, 0.01, 0.004);
    assert_true(pm_concurrency_limit_acquire(limit, false));
    pm_concurrency_limit_free(limit);
}

static void does_not_grow_while_hardly_used(void **state)
{
    struct pm_concurrency_limit *limit = pm_concurrency_limit_new(8, 256);
    unsigned before = pm_concurrency_limit_current(limit);

    (void)state;
    for (int i = 0; i < 100; i++)
        load(limit, 1, 0.01);
    assert_int_equal(pm_concurrency_limit_current(limit), before);
    pm_concurrency_limit_free(limit);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(follows_measured_times),
        cmocka_unit_test(a_slow_state_service_is_no_reason),
        cmocka_unit_test(submissions_come_before_polls),
        cmocka_unit_test(turns_away_beyond_it),
        cmocka_unit_test(does_not_grow_while_hardly_used),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
