/* The dependency graph in the replica. Safety invariant 8: a job starts only once its dependencies
 * are done, and is cancelled with any of them. */
#include "dependency_fixture.h"
#include "base/protocol.h"

#include <math.h>

/* Four jobs form a diamond: the last may start once both jobs between it and the first are done, in
 * either order. A job counts as done once its end is stored, not when its tasks are reported. */
static void a_diamond_waits_for_both_sides(void **state)
{
    struct pm_job *top = put_live("job-1", "");
    struct pm_job *left = put_live("job-2", "job-1");
    struct pm_job *right = put_live("job-3", "job-1");
    struct pm_job *bottom = put_live("job-4", "job-2 job-3");

    (void)state;
    assert_int_equal(pm_job_waiting_tasks(top), 2);
    assert_int_equal(pm_job_waiting_tasks(left), 0);
    top->work.done_count = 2; /* reported by heartbeats, not yet stored */
    assert_int_equal(pm_job_waiting_tasks(left), 0);
    put_final("job-1", PM_JOB_DONE);
    assert_int_equal(pm_job_waiting_tasks(left), 2);
    assert_int_equal(pm_job_waiting_tasks(right), 2);
    assert_int_equal(pm_job_waiting_tasks(bottom), 0);
    put_final("job-3", PM_JOB_DONE);
    assert_int_equal(pm_job_waiting_tasks(bottom), 0);
    put_final("job-2", PM_JOB_DONE);
    assert_int_equal(pm_job_waiting_tasks(bottom), 2);
}

/* After a restart, a listing has the jobs in the order of their keys, which need not follow the
 * dependencies. Some jobs may have ended by then, and a value may arrive more than once. */
static void jobs_arrive_in_any_order(void **state)
{
    struct pm_job *last = put_live("job-10", "job-5 job-7 job-9");
    struct pm_job *seven;

    (void)state;
    assert_int_equal(last->dependencies.unmet_count, 3);
    put_final("job-5", PM_JOB_DONE);
    assert_int_equal(last->dependencies.unmet_count, 2);
    seven = put_live("job-7", "job-8");
    assert_int_equal(seven->dependencies.unmet_count, 1);
    put_final("job-8", PM_JOB_DONE);
    assert_int_equal(seven->dependencies.unmet_count, 0);
    put_live("job-10", "job-5 job-7 job-9"); /* its value arrives again */
    assert_int_equal(last->dependencies.unmet_count, 2);
    put_live("job-9", "");
    put_final("job-9", PM_JOB_DONE);
    put_final("job-7", PM_JOB_DONE);
    assert_int_equal(last->dependencies.unmet_count, 0);
    /* The dependencies of job-11 are done before it arrives. */
    assert_int_equal(put_live("job-11", "job-5 job-7")->dependencies.unmet_count, 0);
}

/* The dependencies of a job may be stored in separate lists, which arrive after the job and in any
 * order. Until all lists have arrived, not all dependencies are known, so the job waits. */
static void dependencies_arrive_in_lists(void **state)
{
    struct pm_spec spec = {.zone = -1,
                           .allowed_types = ~(uint64_t)0,
                           .task_count = 2,
                           .deadline_s = -1,
                           .overflow_list_count = 2,
                           .cpus = 1};
    struct pm_job *job = feed_live_job(&tables, jobs, "job-9", &spec, ++revision);
    GPtrArray *ids = g_ptr_array_new();
    char names[100][16];

    (void)state;
    settings.store_value_kb = 2;
    for (int i = 0; i < 100; i++) {
        snprintf(names[i], sizeof names[i], "job-%d", 1000 + i);
        g_ptr_array_add(ids, names[i]);
        if (i % 2)
            put_final(names[i], PM_JOB_DONE);
    }
    pm_spec_set_dependencies(&tables, &spec, ids);
    assert_true(pm_spec_overflow_list_count(&tables, &spec, 1000) == 2);
    assert_int_equal(pm_job_waiting_tasks(job), 0);
    for (int k = 1; k >= 0; k--) {
        struct pm_buffer buf = {0};
        char key[32];
        cbor_item_t *value;
        assert_true(job->dependencies.incomplete);
        pm_dependency_list_encode(&tables, &spec, (uint32_t)k, &buf);
        value = pm_cbor_parse(buf.data, buf.size);
        assert_true(pm_cbor_json_size(value) <= 2048);
        snprintf(key, sizeof key, "p/n/job-9/%d", k);
        pm_jobs_apply_put(jobs, key, value, ++revision);
        pm_cbor_free(value);
        pm_buffer_free(&buf);
    }
    assert_false(job->dependencies.incomplete);
    assert_int_equal(job->dependencies.unmet_count, 50);
    for (int i = 0; i < 100; i += 2) {
        assert_int_equal(pm_job_waiting_tasks(job), 0);
        put_final(names[i], PM_JOB_DONE);
    }
    assert_int_equal(pm_job_waiting_tasks(job), 2);
    g_free(spec.dependencies);
    g_ptr_array_free(ids, TRUE);
}

/* When a job in the middle of a chain is cancelled, all jobs that depend on it are cancelled in
 * memory at once. A job that is done stays done, and a job that does not depend on it stays
 * live. */
static void a_cancellation_passes_to_all_dependents(void **state)
{
    struct pm_job *first = put_live("job-1", "");
    struct pm_job *second = put_live("job-2", "job-1");
    struct pm_job *third = put_live("job-3", "job-2");
    struct pm_job *beside = put_live("job-4", "job-1");
    size_t count;
    bool more;

    (void)state;
    put_final("job-1", PM_JOB_DONE);
    /* A peer reports the cancellation before the store's watch does. */
    assert_true(pm_jobs_apply_cancellation(jobs, "job-2", 77));
    assert_int_equal(first->state, PM_JOB_DONE);
    assert_int_equal(second->state, PM_JOB_CANCELLED);
    assert_int_equal(third->state, PM_JOB_CANCELLED);
    assert_int_equal(third->cancellation_revision, 77);
    assert_int_equal(beside->state, PM_JOB_LIVE);
    /* Peers are sent only this cancellation: they derive the others as this controller does. */
    assert_string_equal(pm_jobs_list_cancellations(jobs, 0, 10, &count, &more)->id, "job-2");
    assert_int_equal(count, 1);
    /* The state of job-3 stays when its old value arrives again, and when its final one does. */
    put_live("job-3", "job-2");
    assert_int_equal(third->state, PM_JOB_CANCELLED);
    put_final("job-3", PM_JOB_CANCELLED);
    assert_int_equal(third->state, PM_JOB_CANCELLED);
    assert_null(third->spec);
}

/* A job that is accepted while another controller cancels its dependency is cancelled, in whichever
 * order the two arrive, even if the cancelled job itself is not known yet. */
static void a_submission_races_a_cancellation(void **state)
{
    (void)state;
    put_live("job-1", "");
    put_final("job-1", PM_JOB_CANCELLED);
    assert_int_equal(put_live("job-2", "job-1")->state, PM_JOB_CANCELLED);
    /* job-3 depends on job-1 through job-2. */
    assert_int_equal(put_live("job-3", "job-2")->state, PM_JOB_CANCELLED);
    assert_int_equal(put_live("job-5", "job-4")->state, PM_JOB_LIVE);
    assert_int_equal(put_live("job-6", "job-5")->state, PM_JOB_LIVE);
    assert_true(pm_jobs_apply_cancellation(jobs, "job-4", 50)); /* job-4 itself is not known */
    assert_int_equal(pm_jobs_find(jobs, "job-5")->state, PM_JOB_CANCELLED);
    assert_int_equal(pm_jobs_find(jobs, "job-6")->state, PM_JOB_CANCELLED);
    assert_int_equal(put_live("job-7", "job-4")->state, PM_JOB_CANCELLED);
}

/* All jobs of a chain inherit the priority and the deadline of its last job, the deadline less the
 * run times in between, whether the last job arrives first or last. */
static void priority_and_deadline_pass_to_dependencies(void **state)
{
    struct pm_job *first = put_live("job-1", "");
    struct pm_job *second = put_live("job-2", "job-1");
    struct pm_job *third;

    (void)state;
    assert_true(isinf(first->deadline_wall));
    third = put_job_at(++revision, "job-3", "job-2", PM_PRIORITY_URGENT, 100, PM_JOB_LIVE);
    assert_int_equal(first->priority, PM_PRIORITY_URGENT);
    assert_true(third->deadline_wall == 1100);
    assert_true(second->deadline_wall == 1090);
    assert_true(first->deadline_wall == 1080);
    /* The last job arrives before its dependencies, although they were accepted earlier. */
    put_job_at(30, "job-9", "job-8", PM_PRIORITY_URGENT, 100, PM_JOB_LIVE);
    assert_int_equal(
        put_job_at(20, "job-8", "job-7", PM_PRIORITY_NORMAL, -1, PM_JOB_LIVE)->priority,
        PM_PRIORITY_URGENT);
    assert_int_equal(put_job_at(10, "job-7", "", PM_PRIORITY_NORMAL, -1, PM_JOB_LIVE)->priority,
                     PM_PRIORITY_URGENT);
    assert_true(pm_jobs_find(jobs, "job-7")->deadline_wall == 1080);
    /* A job that is not in the chain inherits nothing. */
    assert_int_equal(put_live("job-6", "")->priority, PM_PRIORITY_NORMAL);
}

/* Two jobs that depend on one another, which no controller would write, cause no endless traversal:
 * both wait, and cancelling one cancels the other. */
static void a_cycle_causes_no_endless_traversal(void **state)
{
    struct pm_job *first = put_job_at(5, "job-1", "job-2", PM_PRIORITY_NORMAL, 100, PM_JOB_LIVE);
    struct pm_job *second = put_job_at(6, "job-2", "job-1", PM_PRIORITY_URGENT, 50, PM_JOB_LIVE);

    (void)state;
    assert_int_equal(pm_job_waiting_tasks(first), 0);
    assert_int_equal(pm_job_waiting_tasks(second), 0);
    assert_true(pm_jobs_apply_cancellation(jobs, "job-1", 7));
    assert_int_equal(second->state, PM_JOB_CANCELLED);
}

/* A job whose dependencies cannot be read, for example because a later version wrote them, is known
 * and can be cancelled but is not started, even if its separate dependency lists arrive. */
static void a_job_with_unreadable_dependencies_waits(void **state)
{
    struct pm_job *job;
    size_t size;
    unsigned char *bytes = recorded_bytes(RECORDED_V2_JOB, &size);
    unsigned char *name = memmem(bytes, size, "job-000398", strlen("job-000398"));

    (void)state;
    assert_non_null(name);
    name[0] = 'J'; /* no longer a valid id */
    job = put_value("p/j/job-1", ++revision, bytes, size);
    g_free(bytes);
    assert_non_null(job);
    assert_int_equal(pm_job_waiting_tasks(job), 0);
    put_recorded("p/n/job-1/0", RECORDED_V2_LIST);
    assert_int_equal(pm_job_waiting_tasks(job), 0);
    assert_true(pm_jobs_apply_cancellation(jobs, "job-1", 77));
}

/* The wait of a job counts from the time at which its last dependency ended. That time is stored,
 * so every controller counts from the same time, whenever and in whichever order it reads the
 * values. For a job whose end an earlier version recorded, the time is not known. */
static void the_wait_counts_from_the_last_end_of_a_dependency(void **state)
{
    struct pm_job *job;
    struct pm_job *early;

    (void)state;
    tables.protocol_version = PM_PROTOCOL_END_TIMES;
    job = put_live("job-9", "job-1 job-2 job-3");
    assert_true(job->dependencies.last_ended_wall == 0);
    put_done_at("job-2", 5000);
    put_done_at("job-1", 4000);
    assert_int_equal(pm_job_waiting_tasks(job), 0);
    put_done_at("job-3", 3000);
    assert_int_equal(pm_job_waiting_tasks(job), 2);
    assert_true(job->dependencies.last_ended_wall == 5000);
    /* All ends arrive before the job, as on a controller that reads the values later. */
    assert_true(put_live("job-10", "job-3 job-1 job-2")->dependencies.last_ended_wall == 5000);
    early = put_live("job-11", "job-1 job-4");
    put_final("job-4", PM_JOB_DONE); /* as an earlier version records it, without the time */
    assert_int_equal(pm_job_waiting_tasks(early), 2);
    assert_true(isinf(early->dependencies.last_ended_wall));
    /* An end that arrives again, as in a new listing, does not change the time. */
    put_done_at("job-3", 9000);
    assert_true(job->dependencies.last_ended_wall == 5000);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(a_diamond_waits_for_both_sides, set_up, tear_down),
        cmocka_unit_test_setup_teardown(jobs_arrive_in_any_order, set_up, tear_down),
        cmocka_unit_test_setup_teardown(dependencies_arrive_in_lists, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_cancellation_passes_to_all_dependents, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_submission_races_a_cancellation, set_up, tear_down),
        cmocka_unit_test_setup_teardown(priority_and_deadline_pass_to_dependencies, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_cycle_causes_no_endless_traversal, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_job_with_unreadable_dependencies_waits, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(the_wait_counts_from_the_last_end_of_a_dependency, set_up,
                                        tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
