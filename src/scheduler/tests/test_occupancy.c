/* The ledger's value in the state service, as earlier versions write it. */
#include "../../jobs/tests/job_fixtures.h"
#include "../../jobs/tests/recorded_values.h"
#include "scheduler/scheduler.h"
#include "workers/failures.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

/* The version before wrote it; this one takes over the teams' totals and the images from it, and,
 * asked at the same time, writes the same, byte for byte. */
static void reads_and_writes_as_the_version_before(void **state)
{
    const double now = 100;
    const double day = 1700000010.5;
    struct pm_settings settings = {0};
    struct pm_name_tables tables;
    struct pm_operator_settings op;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    struct pm_scheduler *plan;
    struct pm_machine *machine;
    struct pm_buf out = {0};
    size_t size;
    unsigned char *bytes = recorded_bytes(RECORDED_V1_LEDGER, &size);
    cbor_item_t *value = pm_cbor_parse(bytes, size);

    (void)state;
    assert_non_null(value);
    pm_operator_settings_defaults(&op);
    fixture_begin(&tables, &settings);
    settings.store_value_kb = 4;
    settings.team_count = 2;
    g_strlcpy(settings.teams[0].name, "vision", sizeof settings.teams[0].name);
    g_strlcpy(settings.teams[1].name, "speech", sizeof settings.teams[1].name);
    settings.zone_count = 2;
    g_strlcpy(settings.zone_names[0], "a", sizeof settings.zone_names[0]);
    g_strlcpy(settings.zone_names[1], "b", sizeof settings.zone_names[1]);
    jobs = pm_jobs_new(&tables);
    workers = pm_workers_new(&tables, jobs, FIXTURE_HOOKS);
    plan = pm_scheduler_new(&tables, jobs, workers, &op);
    machine = pm_workers_add(workers, "i-000231");
    pm_workers_set_type(workers, machine, 0);
    machine->zone = 1;
    machine->heartbeat.is_known = true;
    machine->heartbeat.last_message_at = now - 10;
    machine->state = PM_MACHINE_UP;
    pm_scheduler_decode_ledger(plan, value);
    pm_scheduler_decode_cached_images(plan, value);
    assert_int_equal(machine->images.count, 2);
    assert_string_equal(pm_names_text(tables.image_names, machine->images.cached[0].image),
                        "img-07");
    assert_true(machine->images.cached[0].gb == 6.2);
    assert_true(pm_scheduler_usage_ratio(plan, 0) > pm_scheduler_usage_ratio(plan, 1));
    pm_scheduler_encode_ledger(plan, now, day, &out);
    assert_int_equal(out.size, size);
    assert_memory_equal(out.data, bytes, size);
    pm_cbor_free(value);
    g_free(bytes);
    pm_buf_free(&out);
    pm_scheduler_free(plan);
    pm_workers_free(workers);
    pm_jobs_free(jobs);
    fixture_end(&tables);
}

/* A new leader reads which jobs keep failing; the versions before ignore that. */
static void a_new_leader_knows_which_jobs_fail(void **state)
{
    struct pm_settings settings = {0};
    struct pm_name_tables tables;
    struct pm_operator_settings op;
    struct pm_spec spec = {
        .zone = -1, .allowed_types = 1, .task_count = 9, .cpus = 1, .deadline_s = -1};
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    struct pm_scheduler *plan;
    struct pm_job *broken;
    const struct pm_job *sound;
    struct pm_buf out = {0};
    cbor_item_t *value;

    (void)state;
    pm_operator_settings_defaults(&op);
    fixture_begin(&tables, &settings);
    jobs = pm_jobs_new(&tables);
    workers = pm_workers_new(&tables, jobs, FIXTURE_HOOKS);
    plan = pm_scheduler_new(&tables, jobs, workers, &op);
    broken = fixture_feed(&tables, jobs, "job-1", &spec, 1);
    sound = fixture_feed(&tables, jobs, "job-2", &spec, 2);
    pm_failures_report_job(broken, 100);
    pm_scheduler_encode_ledger(plan, 100, 1700000010, &out);
    value = pm_cbor_parse(out.data, out.size);
    broken->failures = (struct pm_job_failures){0}; /* another controller takes the lead */
    pm_scheduler_decode_failing_jobs(plan, value, 200);
    assert_true(pm_failures_is_job_failing(broken));
    assert_false(pm_failures_may_retry(broken, 200));
    assert_true(pm_failures_may_retry(broken, 203)); /* and tries it soon */
    assert_false(pm_failures_is_job_failing(sound));
    pm_scheduler_decode_ledger(plan, value);
    pm_cbor_free(value);
    pm_buf_free(&out);
    pm_scheduler_free(plan);
    pm_workers_free(workers);
    pm_jobs_free(jobs);
    fixture_end(&tables);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(reads_and_writes_as_the_version_before),
        cmocka_unit_test(a_new_leader_knows_which_jobs_fail),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
