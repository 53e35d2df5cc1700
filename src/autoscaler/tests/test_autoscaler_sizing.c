/* Tests which machines the sizing requests for waiting work: the cheapest kinds that fit, enough of
 * them to meet deadlines, and none for work that existing machines can do. */
#include "autoscaler_fixtures.h"

#include <math.h>

static void no_demand_rents_nothing(void **state)
{
    int total;

    (void)state;
    count_requested(SMALL_TYPE, true, &total);
    assert_int_equal(total, 0);
}

static void array_job_gets_cheapest_spot_machines(void **state)
{
    int total;

    (void)state;
    /* The deadline leaves little more time than a boot and one run take, with their margins. */
    add_waiting_job("job-1", PM_WORKLOAD_ARRAY, 8, 4, 60, 120);
    /* Two tasks fit on each machine. */
    assert_int_equal(count_requested(SMALL_TYPE, true, &total), 4);
    assert_int_equal(total, 4);
}

static void later_deadline_rents_fewer_machines(void **state)
{
    int total;
    int with_early_deadline;
    int with_late_deadline;

    (void)state;
    add_waiting_job("job-1", PM_WORKLOAD_ARRAY, 8, 4, 20, 60);
    with_early_deadline = count_requested(SMALL_TYPE, true, &total);
    tear_down(state);
    set_up(state);
    add_waiting_job("job-1", PM_WORKLOAD_ARRAY, 8, 4, 20, 600);
    with_late_deadline = count_requested(SMALL_TYPE, true, &total);
    assert_true(with_late_deadline >= 1); /* the tasks run there one after the other */
    assert_true(with_late_deadline < with_early_deadline);
}

/* ---- best-effort jobs ---- */

/* Adds a best-effort array job without a deadline. */
static void add_best_effort_job(const char *id, uint32_t task_count)
{
    struct pm_spec spec = {.zone = -1,
                           .allowed_types = ~(uint64_t)0,
                           .priority = PM_PRIORITY_BEST_EFFORT,
                           .task_count = task_count,
                           .cpus = 1,
                           .ram_gb = 1,
                           .spot = true,
                           .estimated_run_s = 300,
                           .deadline_s = -1,
                           .submitted_wall = NOW};

    feed_live_job(&tables, jobs, id, &spec, ++revision);
}

/* Best-effort jobs use idle capacity. Machines are rented for them only if a service-level
 * objective says how soon jobs of their class must begin or end. */
static void best_effort_job_rents_only_with_an_objective(void **state)
{
    int total;

    (void)state;
    add_booting_machine("i-000001", SMALL_TYPE, true, 5);
    add_best_effort_job("job-1", 2000);
    count_requested(SMALL_TYPE, true, &total);
    assert_int_equal(total, 0);
    settings.objective_count = 1;
    strcpy(settings.objectives[0].kind, "finished");
    strcpy(settings.objectives[0].class_name, "train");
    settings.objectives[0].within_s = 400;
    count_requested(SMALL_TYPE, true, &total);
    assert_true(total > 0);
}

/* In a deployment without any machine, one is rented for a best-effort job, which would otherwise
 * never start. */
static void best_effort_job_gets_the_first_machine(void **state)
{
    int total;

    (void)state;
    add_best_effort_job("job-1", 2000);
    count_requested(SMALL_TYPE, true, &total);
    assert_int_equal(total, 1);
}

/* ---- services ---- */

/* In a newly started cluster no replica runs yet. The headroom for services is rented together with
 * the machines for their replicas, rather than after those are up. */
static void headroom_counts_waiting_replicas(void **state)
{
    int total;

    (void)state;
    add_waiting_job("job-1", PM_WORKLOAD_SERVICE, 100, 2, 0, -1);
    assert_int_equal(count_requested(SMALL_TYPE, false, &total), (int)ceil((200 + 0.3 * 200) / 8));
}

static void services_get_ordinary_machines(void **state)
{
    int total;

    (void)state;
    add_waiting_job("job-1", PM_WORKLOAD_SERVICE, 4, 2, 0, -1);
    assert_true(count_requested(SMALL_TYPE, false, &total) >= 1);
    assert_int_equal(count_requested(SMALL_TYPE, true, &total), 0);
    assert_int_equal(count_requested(LARGE_TYPE, true, &total), 0);
}

/* ---- existing machines ---- */

/* All existing capacity is in another zone than the one that the job is bound to. A machine in the
 * job's zone must be rented, or the job would have to wait until some machine there is free. */
static void job_bound_to_a_zone_gets_a_machine_there(void **state)
{
    struct pm_job *job;
    int total;

    (void)state;
    settings.zone_count = 2;
    strcpy(settings.zone_names[0], "zone-0");
    strcpy(settings.zone_names[1], "zone-1");
    tables.types[SMALL_TYPE].zones = tables.types[LARGE_TYPE].zones = 3;
    add_machines("i-a", 8, SMALL_TYPE, true, 60, true);
    add_machines("i-b", 8, SMALL_TYPE, true, 5, false);
    add_waiting_job("job-1", PM_WORKLOAD_ARRAY, 2, 2, 1, -1);
    job = pm_jobs_find(jobs, "job-1");
    count_requested(SMALL_TYPE, true, &total);
    assert_int_equal(total, 0); /* it may run in any zone */
    ((struct pm_spec *)job->spec)->zone = 1;
    assert_int_equal(count_requested(SMALL_TYPE, true, &total), 1);
    assert_int_equal(total, 1);
    /* With capacity in the job's zone, no further machine is rented. */
    for (guint i = 0; i < 8; i++)
        ((struct pm_machine *)g_ptr_array_index(pm_workers_all(workers), 8 + i))->zone = 1;
    count_requested(SMALL_TYPE, true, &total);
    assert_int_equal(total, 0);
}

static void booting_machines_count_as_capacity(void **state)
{
    int total;

    (void)state;
    add_waiting_job("job-1", PM_WORKLOAD_ARRAY, 8, 4, 60, 120);
    for (int i = 0; i < 4; i++) {
        char name[16];
        snprintf(name, sizeof name, "i-%06d", i);
        add_booting_machine(name, SMALL_TYPE, true, 5);
    }
    count_requested(SMALL_TYPE, true, &total);
    assert_int_equal(total, 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(no_demand_rents_nothing, set_up, tear_down),
        cmocka_unit_test_setup_teardown(array_job_gets_cheapest_spot_machines, set_up, tear_down),
        cmocka_unit_test_setup_teardown(later_deadline_rents_fewer_machines, set_up, tear_down),
        cmocka_unit_test_setup_teardown(best_effort_job_rents_only_with_an_objective, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(best_effort_job_gets_the_first_machine, set_up, tear_down),
        cmocka_unit_test_setup_teardown(headroom_counts_waiting_replicas, set_up, tear_down),
        cmocka_unit_test_setup_teardown(job_bound_to_a_zone_gets_a_machine_there, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(booting_machines_count_as_capacity, set_up, tear_down),
        cmocka_unit_test_setup_teardown(services_get_ordinary_machines, set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
