/* Submissions with dependencies, against a state service in this process. Safety invariant 8: one
 * durable write cancels a job and all jobs that depend on it. */
#include "api_fixture.h"

/* Submits a job; `dependencies` is the CBOR value of its dependencies field. */
static struct answer submit_with_dependencies(const char *id, const char *dependencies, size_t size)
{
    struct pm_buffer buf = {0};
    cbor_item_t *value = pm_cbor_parse((const unsigned char *)dependencies, size);

    assert_non_null(value);
    begin_submission(&buf, id, "array");
    pm_cbor_put_text(&buf, "awaits");
    pm_cbor_put_item(&buf, value);
    pm_cbor_free(value);
    return send_submission(&buf);
}

static void dependencies_are_checked_at_submission(void **arg)
{
    (void)arg;
    assert_int_equal(submit("job-1").status, 201);
    /* Not every controller is known to support dependencies yet. */
    assert_int_equal(submit_after("job-2", "job-1").status, 503);
    assert_int_equal(submit_after("job-3", "").status, 201); /* an empty list */
    pm_api_enable_dependencies(api, true);
    assert_int_equal(submit_after("job-2", "job-1 job-1 job-3").status, 201);
    assert_int_equal(submit_after("job-4", "job-9").status, 422); /* job-9 was never accepted */
    assert_int_equal(submit_after("job-9", "job-9").status, 422);
    assert_int_equal(submit_after("job-4", "nonsense").status, 400);
    /* A repeated submission is answered with the job's state, whichever dependencies it names. */
    assert_int_equal(submit_after("job-2", "job-9").status, 200);
    assert_int_equal(submit_after("job-2", "job-1").status, 200);
    /* In an outage it is not known which jobs are accepted, so there is no final answer. */
    fake_store_set_outage(state_service, true);
    assert_int_equal(submit_after("job-4", "job-9").status, 503);
    assert_int_equal(submit_after("job-4", "job-1").status, 503);
}

/* A null or absent field is the same as an empty list. Any other value that is not a list of valid
 * ids is malformed, whether or not dependencies are enabled. No job can depend on a service,
 * because a service never ends. */
static void malformed_dependencies_are_refused(void **arg)
{
    static const struct {
        const char *cbor;
        size_t size;
    } malformed[] = {
        {"\x65job-1", 6},         /* a text */
        {"\xa0", 1},              /* a map */
        {"\x01", 1},              /* a number */
        {"\x81\x01", 2},          /* a list with a number */
        {"\x81\x80", 2},          /* a list with a list */
        {"\x81\x64job-", 6},      /* no digits */
        {"\x81\x65JOB-1", 7},     /* not a valid id */
        {"\x82\x65job-1\x60", 8}, /* the second id is empty */
    };
    struct pm_buffer service = {0};

    (void)arg;
    assert_int_equal(submit("job-1").status, 201);
    /* Null, while dependencies are not enabled. */
    assert_int_equal(submit_with_dependencies("job-2", "\xf6", 1).status, 201);
    for (int enabled = 0; enabled < 2; enabled++) {
        pm_api_enable_dependencies(api, enabled);
        for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
            assert_int_equal(
                submit_with_dependencies("job-3", malformed[i].cbor, malformed[i].size).status,
                400);
    }
    assert_int_equal(submit_with_dependencies("job-3", "\xf6", 1).status, 201);
    assert_int_equal(pm_job_waiting_tasks(pm_jobs_find(jobs, "job-2")), 2);
    begin_submission(&service, "job-4", "standing");
    assert_int_equal(send_submission(&service).status, 201);
    assert_int_equal(submit_after("job-5", "job-4").status, 422);
    assert_int_equal(submit_after("job-5", "job-1 job-4").status, 422);
    assert_int_equal(request("GET", "/work/job-5", NULL).status, 404);
}

/* A job id that is listed many times counts as one dependency. */
static void repeated_dependencies_count_once(void **arg)
{
    GString *names = g_string_new("job-1");

    (void)arg;
    pm_api_enable_dependencies(api, true);
    assert_int_equal(submit("job-1").status, 201);
    for (int i = 0; i < 2000; i++)
        g_string_append(names, " job-1");
    assert_int_equal(submit_after("job-2", names->str).status, 201);
    assert_true(event_loop_run_until(loop, is_known, "job-2"));
    assert_int_equal(pm_jobs_find(jobs, "job-2")->dependencies.unmet_count, 1);
    g_string_free(names, TRUE);
}

static bool is_cancelled(void *arg)
{
    const struct pm_job *job = pm_jobs_find(jobs, arg);

    return job && job->state == PM_JOB_CANCELLED;
}

/* One durable write cancels a chain of dependents: every later poll of any of them is answered
 * "cancelled", also for a job that is submitted after its dependency was cancelled. */
static void one_write_cancels_a_chain(void **arg)
{
    (void)arg;
    pm_api_enable_dependencies(api, true);
    assert_int_equal(submit("job-1").status, 201);
    assert_int_equal(submit_after("job-2", "job-1").status, 201);
    assert_int_equal(submit_after("job-3", "job-2").status, 201);
    assert_string_equal(request("GET", "/work/job-3", NULL).state, "queued");
    assert_string_equal(request("POST", "/work/job-1/abort", NULL).state, "cancelled");
    assert_string_equal(request("GET", "/work/job-3", NULL).state, "cancelled");
    assert_string_equal(request("GET", "/work/job-2", NULL).state, "cancelled");
    assert_int_equal(submit_after("job-4", "job-3").status, 201);
    assert_true(event_loop_run_until(loop, is_cancelled, "job-4"));
    assert_string_equal(request("GET", "/work/job-4", NULL).state, "cancelled");
    assert_string_equal(request("POST", "/work/job-4/abort", NULL).state, "cancelled");
    /* This also holds in an outage, because nothing more has to be written for job-3. */
    fake_store_set_outage(state_service, true);
    assert_string_equal(request("GET", "/work/job-3", NULL).state, "cancelled");
}

static bool is_deleted(void *arg)
{
    run_commit();
    return !is_stored(arg);
}

static bool has_sixty_unmet_dependencies(void *arg)
{
    const struct pm_job *job = pm_jobs_find(jobs, arg);

    return job && !job->dependencies.incomplete && job->dependencies.unmet_count == 60;
}

/* Dependencies that do not fit into the job's own value are stored in separate lists, which are
 * deleted when the job ends. */
static void many_dependencies_are_stored_in_lists(void **arg)
{
    GString *names = g_string_new("");
    char id[32];

    (void)arg;
    pm_api_enable_dependencies(api, true);
    settings.store_value_kb = 1;
    settings.store_txn_ops = 3;
    for (int i = 0; i < 60; i++) {
        snprintf(id, sizeof id, "job-%06d", i);
        assert_int_equal(submit(id).status, 201);
        g_string_append_printf(names, "%s%s", i ? " " : "", id);
    }
    assert_int_equal(submit_after("job-100", names->str).status, 201);
    assert_true(is_stored("p/n/job-100/0"));
    assert_true(is_stored("p/n/job-100/2"));
    assert_true(event_loop_run_until(loop, has_sixty_unmet_dependencies, "job-100"));
    pm_store_resync(store); /* as in a new process: the lists are read after the job */
    assert_true(event_loop_run_until(loop, is_ready, NULL));
    assert_int_equal(pm_jobs_find(jobs, "job-100")->dependencies.unmet_count, 60);
    /* One dependency is cancelled: the final state of job-100 is written, then its lists are
     * deleted. */
    assert_string_equal(request("POST", "/work/job-000059/abort", NULL).state, "cancelled");
    assert_true(event_loop_run_until(loop, is_cancelled, "job-100"));
    assert_true(pm_jobs_find(jobs, "job-100")->dependencies.cancelled_by_dependency);
    assert_true(event_loop_run_until(loop, is_deleted, "p/n/job-100/0"));
    assert_true(event_loop_run_until(loop, is_deleted, "p/n/job-100/2"));
    assert_string_equal(request("GET", "/work/job-100", NULL).state, "cancelled");
    g_string_free(names, TRUE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(dependencies_are_checked_at_submission, set_up),
        cmocka_unit_test_setup(malformed_dependencies_are_refused, set_up),
        cmocka_unit_test_setup(repeated_dependencies_count_once, set_up),
        cmocka_unit_test_setup(one_write_cancels_a_chain, set_up),
        cmocka_unit_test_setup(many_dependencies_are_stored_in_lists, set_up),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
