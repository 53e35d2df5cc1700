/* A gang's tasks complete together, but its end is stored in parts: a value for each chunk or half
 * chunk. Checks that a part is enough to know that all tasks are done, and that the other parts are
 * written. */
#include "base/keys.h"
#include "job_fixtures.h"
#include "jobs/jobs.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

enum { GANG_TASKS = PM_CHUNK_TASKS + 8, ATTEMPT = 3 };

static struct pm_settings settings;
static struct pm_name_tables tables;
static struct pm_jobs *jobs;
static struct pm_workers *workers;
static uint64_t revision;

static int set_up(void **state)
{
    (void)state;
    memset(&settings, 0, sizeof settings);
    deployment_fixture_init(&tables, &settings);
    jobs = pm_jobs_new(&tables);
    workers = pm_workers_new(&tables, jobs, NO_OP_WORKERS_HOOKS);
    revision = 1;
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    pm_workers_free(workers);
    pm_jobs_free(jobs);
    deployment_fixture_clear(&tables);
    return 0;
}

static struct pm_job *put_job(enum pm_workload_kind kind)
{
    struct pm_spec spec = {.kind = kind,
                           .zone = -1,
                           .allowed_types = ~(uint64_t)0,
                           .task_count = GANG_TASKS,
                           .deadline_s = -1};

    return feed_live_job(&tables, jobs, "job-1", &spec, ++revision);
}

/* Applies a p/t value as earlier versions store it: ranges of tasks that are done, and a placement
 * of one other task, unless `placed` is negative. */
static void put_chunk(const char *key, const char *done, int placed)
{
    struct pm_buffer buf = {0};
    cbor_item_t *value;

    pm_cbor_put_map(&buf);
    pm_cbor_put_pair_text(&buf, "done", done);
    pm_cbor_put_pair_uint(&buf, "try", ATTEMPT);
    pm_cbor_put_text(&buf, "at");
    pm_cbor_put_list(&buf);
    if (placed >= 0) {
        pm_cbor_put_list(&buf);
        pm_cbor_put_uint(&buf, (uint64_t)placed);
        pm_cbor_put_uint(&buf, ATTEMPT);
        pm_cbor_put_text(&buf, "i-000017");
        pm_cbor_put_uint(&buf, 1);
        pm_cbor_put_end(&buf);
    }
    pm_cbor_put_end(&buf);
    pm_cbor_put_end(&buf);
    value = pm_cbor_parse(buf.data, buf.size);
    assert_non_null(pm_jobs_apply_put(jobs, key, value, ++revision));
    pm_cbor_free(value);
    pm_buffer_free(&buf);
}

static void assert_all_done(const struct pm_job *job)
{
    assert_int_equal(job->work.done_count, GANG_TASKS);
    for (uint32_t i = 0; i < GANG_TASKS; i++)
        assert_true(pm_job_find_task(job, i)->done);
    assert_int_equal(pm_job_waiting_tasks(job), 0);
}

static unsigned dirty_bits(const struct pm_job *job, int chunk_index)
{
    return job->chunks[chunk_index]->write_back.dirty;
}

/* Guards against a completed gang that stays queued for ever: a leader stored the end of the first
 * chunk and then ended, and its successors found the gang neither done nor ready to start. */
static void a_gang_stored_as_done_in_one_chunk_is_done(void **state)
{
    struct pm_job *job = put_job(PM_WORKLOAD_GANG);

    (void)state;
    put_chunk("p/t/job-1/0", "0-127", -1);
    put_chunk("p/t/job-1/1", "", 7);
    pm_jobs_reset_working_state(jobs);
    assert_all_done(job);
    assert_int_equal(dirty_bits(job, 0), 0);
    assert_int_equal(dirty_bits(job, 1), PM_DIRTY_FIRST_HALF);
}

/* The same where a chunk was never stored, or was deleted before its leader ended. */
static void a_gang_with_a_chunk_that_is_not_stored_is_done(void **state)
{
    struct pm_job *job = put_job(PM_WORKLOAD_GANG);

    (void)state;
    put_chunk("p/t/job-1/1", "3", -1);
    pm_jobs_reset_working_state(jobs);
    assert_all_done(job);
    assert_int_equal(dirty_bits(job, 0), PM_DIRTY_HALVES);
}

/* The same where the chunk is stored in halves, one of which takes precedence over the whole. */
static void a_gang_stored_as_done_in_one_half_is_done(void **state)
{
    struct pm_job *job = put_job(PM_WORKLOAD_GANG);

    (void)state;
    put_chunk("p/t/job-1/0", "", 70);
    put_chunk("p/t/job-1/0/0", "0-63", -1);
    put_chunk("p/t/job-1/1/0", "", 7);
    pm_jobs_reset_working_state(jobs);
    assert_all_done(job);
    assert_int_equal(dirty_bits(job, 0), PM_DIRTY_SECOND_HALF);
    assert_int_equal(dirty_bits(job, 1), PM_DIRTY_FIRST_HALF);
}

/* Tasks of an array and replicas of a service end one by one. */
static void tasks_of_other_jobs_are_done_one_by_one(void **state)
{
    const enum pm_workload_kind kinds[] = {PM_WORKLOAD_ARRAY, PM_WORKLOAD_SERVICE};

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        struct pm_job *job = put_job(kinds[i]);
        put_chunk("p/t/job-1/0", "0-126", 127);
        pm_jobs_reset_working_state(jobs);
        assert_int_equal(job->work.done_count, PM_CHUNK_TASKS - 1);
        assert_int_equal(dirty_bits(job, 0), 0);
    }
}

/* Guards against the cause: the controller that hears of the first end stores it for that chunk
 * alone. */
static void the_end_of_one_task_is_written_for_all_chunks(void **state)
{
    struct pm_job *job = put_job(PM_WORKLOAD_GANG);

    (void)state;
    put_chunk("p/t/job-1/0", "", 5);
    put_chunk("p/t/job-1/1", "", 7);
    pm_jobs_reset_working_state(jobs);
    assert_int_equal(dirty_bits(job, 0) | dirty_bits(job, 1), 0);
    pm_job_complete_task(job, 5);
    assert_all_done(job);
    assert_int_equal(dirty_bits(job, 0), PM_DIRTY_HALVES);
    assert_int_equal(dirty_bits(job, 1), PM_DIRTY_FIRST_HALF);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(a_gang_stored_as_done_in_one_chunk_is_done, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_gang_with_a_chunk_that_is_not_stored_is_done, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_gang_stored_as_done_in_one_half_is_done, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(tasks_of_other_jobs_are_done_one_by_one, set_up, tear_down),
        cmocka_unit_test_setup_teardown(the_end_of_one_task_is_written_for_all_chunks, set_up,
                                        tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
