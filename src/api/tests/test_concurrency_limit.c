/* Tests how the limit on requests in progress follows the measured durations within its bounds. */
#include "api/concurrency_limit.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

/* Runs up to `request_count` concurrent requests of `duration_s` each, while the latency of the
 * state service is `store_latency_s`. */
static void run_requests_with_latency(struct pm_concurrency_limit *limit, unsigned request_count,
                                      double duration_s, double store_latency_s)
{
    unsigned in_progress = 0;

    while (in_progress < request_count && pm_concurrency_limit_acquire(limit, false))
        in_progress++;
    while (in_progress--)
        pm_concurrency_limit_release(limit, duration_s, store_latency_s);
}

/* Runs the requests with a fast state service. */
static void run_requests(struct pm_concurrency_limit *limit, unsigned request_count,
                         double duration_s)
{
    run_requests_with_latency(limit, request_count, duration_s, 0.004);
}

/* Guards against refusing requests while only the state service is slow, which would not make it
 * any faster. */
static void a_slow_state_service_does_not_lower_the_limit(void **state)
{
    struct pm_concurrency_limit *limit = pm_concurrency_limit_new(8, 256);

    (void)state;
    for (int i = 0; i < 50; i++)
        run_requests(limit, 1000, 0.01);
    for (int i = 0; i < 50; i++)
        run_requests_with_latency(limit, 1000, 0.2, 0.07);
    assert_int_equal(pm_concurrency_limit_current(limit), 256);
    for (int i = 0; i < 50; i++)
        run_requests_with_latency(limit, 1000, 2.0, 0.07); /* longer than the latency explains */
    assert_int_equal(pm_concurrency_limit_current(limit), 8);
    pm_concurrency_limit_free(limit);
}

static void priority_requests_may_exceed_the_limit(void **state)
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

static void follows_measured_durations(void **state)
{
    struct pm_concurrency_limit *limit = pm_concurrency_limit_new(8, 256);
    unsigned limit_when_fast;
    unsigned limit_when_slow;

    (void)state;
    for (int i = 0; i < 50; i++)
        run_requests(limit, 1000, 0.01);
    limit_when_fast = pm_concurrency_limit_current(limit);
    assert_int_equal(limit_when_fast, 256); /* fast, and fully used: rises to the maximum */
    for (int i = 0; i < 50; i++)
        run_requests(limit, 1000, 2.0);
    limit_when_slow = pm_concurrency_limit_current(limit);
    assert_int_equal(limit_when_slow, 8); /* much slower than usual: falls to the minimum */
    for (int i = 0; i < 200; i++)
        run_requests(limit, 1000, 0.01);
    assert_true(pm_concurrency_limit_current(limit) > limit_when_slow);
    pm_concurrency_limit_free(limit);
}

static void refuses_requests_beyond_the_limit(void **state)
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

static void does_not_grow_while_less_than_half_used(void **state)
{
    struct pm_concurrency_limit *limit = pm_concurrency_limit_new(8, 256);
    unsigned before = pm_concurrency_limit_current(limit);

    (void)state;
    for (int i = 0; i < 100; i++)
        run_requests(limit, 1, 0.01);
    assert_int_equal(pm_concurrency_limit_current(limit), before);
    pm_concurrency_limit_free(limit);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(follows_measured_durations),
        cmocka_unit_test(a_slow_state_service_does_not_lower_the_limit),
        cmocka_unit_test(priority_requests_may_exceed_the_limit),
        cmocka_unit_test(refuses_requests_beyond_the_limit),
        cmocka_unit_test(does_not_grow_while_less_than_half_used),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
