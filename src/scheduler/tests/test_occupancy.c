/* The stored value of the occupancy ledger, also as earlier versions write it. */
#include "../../jobs/tests/recorded_values.h"
#include "scheduler_fixtures.h"
#include "workers/failures.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

/* Adds the teams and zones of the recorded ledger, and one of its machines, which is returned. */
static struct pm_machine *set_up_recorded_deployment(struct scheduler_fixture *fixture, double now)
{
    struct pm_settings *settings = &fixture->settings;
    struct pm_machine *machine;

    settings->team_count = 2;
    g_strlcpy(settings->teams[0].name, "vision", sizeof settings->teams[0].name);
    g_strlcpy(settings->teams[1].name, "speech", sizeof settings->teams[1].name);
    settings->zone_count = 2;
    g_strlcpy(settings->zone_names[0], "a", sizeof settings->zone_names[0]);
    g_strlcpy(settings->zone_names[1], "b", sizeof settings->zone_names[1]);
    machine = pm_workers_find_or_add(fixture->workers, "i-000231");
    pm_workers_set_type(fixture->workers, machine, 0);
    machine->zone = 1;
    machine->heartbeat.has_reported = true;
    machine->heartbeat.last_message_at = now - 10;
    machine->state = PM_MACHINE_UP;
    return machine;
}

/* The teams' occupied time and the cached images are restored from a value that the previous
 * version wrote. At the same time of day, the same value is written again, byte for byte. */
static void ledger_of_previous_version_is_read_and_written_unchanged(void **state)
{
    const double now = 100;
    const double wall = 1700000010.5;
    struct scheduler_fixture fixture;
    struct pm_machine *machine;
    struct pm_buffer out = {0};
    size_t size;
    unsigned char *bytes = recorded_bytes(RECORDED_V1_LEDGER, &size);
    cbor_item_t *value = pm_cbor_parse(bytes, size);

    (void)state;
    assert_non_null(value);
    scheduler_fixture_init(&fixture);
    machine = set_up_recorded_deployment(&fixture, now);
    pm_scheduler_decode_ledger(fixture.scheduler, value);
    pm_scheduler_decode_cached_images(fixture.scheduler, value);
    assert_int_equal(machine->images.count, 2);
    assert_string_equal(pm_names_text(fixture.tables.image_names, machine->images.cached[0].image),
                        "img-07");
    assert_true(machine->images.cached[0].gb == 6.2);
    assert_true(pm_scheduler_usage_ratio(fixture.scheduler, 0) >
                pm_scheduler_usage_ratio(fixture.scheduler, 1));
    pm_scheduler_encode_ledger(fixture.scheduler, now, wall, &out);
    assert_int_equal(out.size, size);
    assert_memory_equal(out.data, bytes, size);
    pm_cbor_free(value);
    g_free(bytes);
    pm_buffer_free(&out);
    scheduler_fixture_clear(&fixture);
}

/* The ledger's value lists the failing jobs, and a new leader restores the list. Earlier versions
 * ignore it. */
static void new_leader_reads_which_jobs_are_failing(void **state)
{
    struct scheduler_fixture fixture;
    struct pm_spec spec = {
        .zone = -1, .allowed_types = 1, .task_count = 9, .cpus = 1, .deadline_s = -1};
    struct pm_job *failing;
    const struct pm_job *healthy;
    struct pm_buffer out = {0};
    cbor_item_t *value;

    (void)state;
    scheduler_fixture_init(&fixture);
    failing = feed_live_job(&fixture.tables, fixture.jobs, "job-1", &spec, 1);
    healthy = feed_live_job(&fixture.tables, fixture.jobs, "job-2", &spec, 2);
    pm_failures_mark_job_failing(failing, 100);
    pm_scheduler_encode_ledger(fixture.scheduler, 100, 1700000010, &out);
    value = pm_cbor_parse(out.data, out.size);
    failing->failures = (struct pm_job_failures){0}; /* another controller becomes the leader */
    pm_scheduler_decode_failing_jobs(fixture.scheduler, value, 200);
    assert_true(pm_failures_is_job_failing(failing));
    assert_false(pm_failures_may_retry(failing, 200));
    assert_true(pm_failures_may_retry(failing, 203)); /* the job may be retried soon */
    assert_false(pm_failures_is_job_failing(healthy));
    pm_scheduler_decode_ledger(fixture.scheduler, value);
    pm_cbor_free(value);
    pm_buffer_free(&out);
    scheduler_fixture_clear(&fixture);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(ledger_of_previous_version_is_read_and_written_unchanged),
        cmocka_unit_test(new_leader_reads_which_jobs_are_failing),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
