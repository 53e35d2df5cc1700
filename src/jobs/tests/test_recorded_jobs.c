/* Values of jobs and chunks that earlier versions wrote are read correctly, and written again byte
 * for byte, so that versions can run side by side. */
#include "dependency_fixture.h"
#include "base/protocol.h"

/* The value of a done job has the time of its end only once every controller can read that. */
static void end_times_are_written_once_all_read_them(void **state)
{
    struct pm_job *job = put_live("job-1", "");
    struct pm_buffer buf = {0};

    (void)state;
    job->ended_wall = 5000;
    job->task_count = 200;
    for (unsigned version = PM_PROTOCOL_FIRST; version < PM_PROTOCOL_END_TIMES; version++) {
        tables.protocol_version = version;
        pm_job_encode_done(&tables, job, false, &buf);
        assert_recorded(&buf, RECORDED_V1_DONE);
    }
}

/* Protocol version 1: a job without dependencies, and a chunk that is stored whole. */
static void reads_and_writes_as_protocol_version_1(void **state)
{
    struct pm_job *job = put_recorded("p/j/job-1", RECORDED_V1_LIVE);
    struct pm_placement placement = {.job = job, .task_index = 130, .attempt = 7, .incarnation = 3};
    struct pm_buffer buf = {0};
    const struct pm_stored_placement *stored;

    (void)state;
    assert_int_equal(job->task_count, 200);
    assert_int_equal(job->priority, PM_PRIORITY_URGENT);
    assert_int_equal(job->dependencies.unmet_count, 0);
    assert_true(job->spec->spot && job->spec->deadline_s == 90 && job->spec->zone == 0);
    assert_true(job->deadline_wall == 1700000090.5);
    pm_job_encode(&tables, job->spec, 200, PM_JOB_LIVE, true, &buf);
    assert_recorded(&buf, RECORDED_V1_LIVE);
    assert_ptr_equal(put_recorded("p/t/job-1/1", RECORDED_V1_CHUNK), job);
    pm_jobs_reset_working_state(jobs);
    assert_int_equal(job->work.done_count, 2);
    assert_int_equal(job->work.last_attempt, 9);
    assert_true(pm_job_find_task(job, 128)->done && pm_job_find_task(job, 199)->done);
    stored = &g_array_index(job->chunks[1]->stored_placements, struct pm_stored_placement, 0);
    assert_int_equal(stored->task_in_chunk, 2);
    assert_int_equal(stored->attempt, 7);
    assert_int_equal(stored->incarnation, 3);
    placement.machine_index = stored->machine_index;
    placement.state = PM_PLACEMENT_RUNNING;
    pm_job_ensure_task(job, 130)->placement = &placement;
    pm_chunk_encode(&tables, job, 1, -1, &buf);
    assert_recorded(&buf, RECORDED_V1_CHUNK);
    pm_job_encode(&tables, job->spec, 200, PM_JOB_CANCELLED, true, &buf);
    assert_recorded(&buf, RECORDED_V1_CANCELLED);
    put_recorded("p/j/job-1", RECORDED_V1_DONE);
    assert_int_equal(job->state, PM_JOB_DONE);
}

/* A job that is bound to a zone which the settings do not list was allowed to run in any zone. */
static void a_job_of_an_unlisted_zone_is_not_run(void **state)
{
    const struct pm_job *job;

    (void)state;
    strcpy(settings.zone_names[0], "b");
    job = put_recorded("p/j/job-1", RECORDED_V1_LIVE); /* bound to zone "a" */
    assert_int_equal(job->state, PM_JOB_LIVE);
    assert_null(job->spec);
    assert_int_equal(pm_jobs_active(jobs)->len, 0);
}

/* Protocol version 2: jobs with dependencies, dependency lists, and a half of a chunk. */
static void reads_and_writes_as_protocol_version_2(void **state)
{
    struct pm_job *job;
    struct pm_job *listed;
    struct pm_placement placement = {
        .task_index = 130, .attempt = 7, .incarnation = 3, .state = PM_PLACEMENT_RUNNING};
    struct pm_buffer buf = {0};

    (void)state;
    settings.store_value_kb = 1;
    job = put_recorded("p/j/job-1", RECORDED_V2_JOB);
    assert_int_equal(job->dependencies.unmet_count, 2);
    assert_string_equal(pm_names_text(tables.dependency_ids, job->spec->dependencies[1]),
                        "job-000405");
    pm_job_encode(&tables, job->spec, 200, PM_JOB_LIVE, true, &buf);
    assert_recorded(&buf, RECORDED_V2_JOB);
    listed = put_recorded("p/j/job-2", RECORDED_V2_JOB_LISTS);
    assert_true(listed->dependencies.incomplete && pm_job_waiting_tasks(listed) == 0);
    pm_job_encode(&tables, listed->spec, 200, PM_JOB_LIVE, true, &buf);
    assert_recorded(&buf, RECORDED_V2_JOB_LISTS);
    pm_dependency_list_encode(&tables, job->spec, 0, &buf);
    assert_recorded(&buf, RECORDED_V2_LIST);
    put_recorded("p/n/job-2/1", RECORDED_V2_LIST);
    assert_true(listed->dependencies.incomplete);
    put_recorded("p/n/job-2/0", RECORDED_V2_LIST);
    assert_false(listed->dependencies.incomplete);
    assert_true(listed->dependencies.unmet_count >= 2);
    assert_ptr_equal(put_recorded("p/t/job-1/1/0", RECORDED_V2_HALF), job);
    pm_jobs_reset_working_state(jobs);
    assert_int_equal(job->work.done_count, 2); /* the half has only its own tasks */
    placement.job = job;
    placement.machine_index = pm_names_find(tables.machine_names, "i-000231");
    pm_job_ensure_task(job, 130)->placement = &placement;
    pm_job_ensure_task(job, 199)->done = true;
    pm_chunk_encode(&tables, job, 1, 0, &buf);
    assert_recorded(&buf, RECORDED_V2_HALF);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(end_times_are_written_once_all_read_them, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(reads_and_writes_as_protocol_version_1, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_job_of_an_unlisted_zone_is_not_run, set_up, tear_down),
        cmocka_unit_test_setup_teardown(reads_and_writes_as_protocol_version_2, set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
