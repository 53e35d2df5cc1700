/* The machine types that a stored job names stay allowed, whichever becomes known first, the job or
 * the types. */
#include "dependency_fixture.h"
#include "autoscaler/autoscaler.h"

/* Forgets the machine types, as a controller that has just started. */
static int set_up_without_types(void **state)
{
    set_up(state);
    pm_names_free(tables.type_names);
    tables.type_names = pm_names_new();
    tables.type_count = 0;
    return 0;
}

/* Applies a list with this machine type, as the provider answers it or p/types stores it. */
static void learn_type(const char *name)
{
    struct pm_buffer buf = {0};
    cbor_item_t *models;

    pm_cbor_put_list(&buf);
    pm_cbor_put_map(&buf);
    pm_cbor_put_pair_text(&buf, "sku", name);
    pm_cbor_put_pair_number(&buf, "cpus", 16);
    pm_cbor_put_pair_number(&buf, "ram_gb", 64);
    pm_cbor_put_pair_number(&buf, "price", 1);
    pm_cbor_put_end(&buf);
    pm_cbor_put_end(&buf);
    models = pm_cbor_parse(buf.data, buf.size);
    assert_true(pm_machine_types_decode(&tables, models));
    pm_cbor_free(models);
    pm_buffer_free(&buf);
}

static bool is_type_allowed(const struct pm_job *job, const char *name)
{
    int type = pm_names_find(tables.type_names, name);

    return type >= 0 && job->spec->allowed_types >> type & 1;
}

/* A job that was read before its machine types could run nowhere, even once they were known. The
 * value is one that protocol version 1 wrote: it names the type "g8". */
static void a_job_read_before_its_types_may_use_them(void **state)
{
    struct pm_job *job = put_recorded("p/j/job-1", RECORDED_V1_LIVE);

    (void)state;
    assert_int_equal(job->spec->allowed_types, 0);
    assert_int_equal(pm_jobs_resolve_types(jobs), 0);
    learn_type("kassaskap");
    assert_int_equal(pm_jobs_resolve_types(jobs), 0);
    assert_false(is_type_allowed(job, "kassaskap"));
    learn_type("g8");
    assert_int_equal(pm_jobs_resolve_types(jobs), 1);
    assert_true(is_type_allowed(job, "g8"));
    assert_false(is_type_allowed(job, "kassaskap"));
    assert_null(job->spec->unknown_types);
    assert_int_equal(pm_jobs_resolve_types(jobs), 0);
}

/* A job that was read before its machine types lost their names when its value was written again,
 * for example by a cancellation. */
static void names_of_unknown_types_are_written_again(void **state)
{
    struct pm_job *job = put_recorded("p/j/job-1", RECORDED_V1_LIVE);
    struct pm_buffer buf = {0};

    (void)state;
    pm_job_encode(&tables, job->spec, 200, PM_JOB_LIVE, true, &buf);
    assert_recorded(&buf, RECORDED_V1_LIVE);
    pm_job_encode(&tables, job->spec, 200, PM_JOB_CANCELLED, true, &buf);
    assert_recorded(&buf, RECORDED_V1_CANCELLED);
    learn_type("g8");
    pm_jobs_resolve_types(jobs);
    pm_job_encode(&tables, job->spec, 200, PM_JOB_LIVE, true, &buf);
    assert_recorded(&buf, RECORDED_V1_LIVE);
}

/* A value that is applied again, as after a new listing, does not name a type twice. */
static void a_value_that_is_read_again_names_each_type_once(void **state)
{
    struct pm_job *job = put_recorded("p/j/job-1", RECORDED_V1_LIVE);
    struct pm_buffer buf = {0};

    (void)state;
    assert_ptr_equal(put_recorded("p/j/job-1", RECORDED_V1_LIVE), job);
    assert_int_equal(job->spec->unknown_types->len, 1);
    learn_type("g8");
    assert_ptr_equal(put_recorded("p/j/job-1", RECORDED_V1_LIVE), job);
    assert_null(job->spec->unknown_types);
    pm_job_encode(&tables, job->spec, 200, PM_JOB_LIVE, true, &buf);
    assert_recorded(&buf, RECORDED_V1_LIVE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(a_job_read_before_its_types_may_use_them,
                                        set_up_without_types, tear_down),
        cmocka_unit_test_setup_teardown(names_of_unknown_types_are_written_again,
                                        set_up_without_types, tear_down),
        cmocka_unit_test_setup_teardown(a_value_that_is_read_again_names_each_type_once,
                                        set_up_without_types, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
