/* Tests how machines are handled that boot late or never come up: what is rented in their place,
 * and when they are terminated. */
#include "autoscaler_fixtures.h"

/* When all booting machines of a kind are late, further ones would be up no sooner, so machines of
 * another kind are rented. */
static void late_kind_is_replaced_by_another(void **state)
{
    int total;

    (void)state;
    add_machines("i-a", 40, SMALL_TYPE, true, 60, false);
    add_waiting_job("job-1", PM_WORKLOAD_ARRAY, 80, 4, 60, 120);
    assert_true(count_requested(LARGE_TYPE, true, &total) >= 8);
    assert_true(count_requested(SMALL_TYPE, true, &total) <= 1 + 0.15 * 40);
}

/* If only the late kind is available, the sizing waits for the late machines and rents a few more
 * as probes. If all late machines were replaced each time a boot time has passed, far too many
 * machines would come up in the end. */
static void late_kind_without_alternative_is_probed(void **state)
{
    int total;
    int probes;

    (void)state;
    tables.type_count = 1;
    tables.types[SMALL_TYPE].spot_price = tables.types[SMALL_TYPE].price;
    add_machines("i-a", 80, SMALL_TYPE, true, 60, false);
    add_machines("i-b", 1, SMALL_TYPE, false, 60, false);
    add_waiting_job("job-1", PM_WORKLOAD_ARRAY, 150, 4, 60, 120);
    count_requested(SMALL_TYPE, true, &probes);
    assert_in_range(probes, 1, 2 + (int)(0.15 * 80));
    count_requested(SMALL_TYPE, true, &total); /* no further probes within one boot time */
    assert_int_equal(total, 0);
}

/* A single machine that is still booting while later ones of its kind are up does not count as
 * capacity, and another machine of its kind is rented. */
static void stuck_machine_is_replaced_and_terminated(void **state)
{
    struct pm_machine *stuck;
    int total;

    (void)state;
    add_machines("i-a", 3, SMALL_TYPE, true, 60, true);
    add_machines("i-b", 1, SMALL_TYPE, true, 60, false);
    add_waiting_job("job-1", PM_WORKLOAD_ARRAY, 2, 4, 60, 120);
    assert_int_equal(count_requested(SMALL_TYPE, true, &total), 1);
    /* The stuck machine is paid for, and is terminated long before one of a late kind would be. */
    stuck = pm_workers_find(workers, "i-b000");
    pm_autoscaler_mark_scale_in(autoscaler, NOW);
    assert_int_equal(stuck->state, PM_MACHINE_BOOTING);
    pm_autoscaler_mark_scale_in(autoscaler, NOW + 15);
    assert_int_equal(stuck->state, PM_MACHINE_TERMINATING);
}

static void machine_of_a_late_kind_times_out_later(void **state)
{
    int total;
    const struct pm_machine *late;

    (void)state;
    add_machines("i-a", 10, SMALL_TYPE, true, 60, false);
    add_waiting_job("job-1", PM_WORKLOAD_ARRAY, 20, 4, 60, 120);
    count_requested(SMALL_TYPE, true, &total);
    late = pm_workers_find(workers, "i-a000");
    pm_autoscaler_mark_scale_in(autoscaler, NOW + 200);
    assert_int_equal(late->state, PM_MACHINE_BOOTING);
    pm_autoscaler_mark_scale_in(autoscaler, NOW + 300);
    assert_int_equal(late->state, PM_MACHINE_TERMINATING);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(late_kind_is_replaced_by_another, set_up, tear_down),
        cmocka_unit_test_setup_teardown(late_kind_without_alternative_is_probed, set_up, tear_down),
        cmocka_unit_test_setup_teardown(stuck_machine_is_replaced_and_terminated, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(machine_of_a_late_kind_times_out_later, set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
