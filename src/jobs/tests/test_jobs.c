/* Submissions are accepted or rejected as the protocol requires, and stored values are read back
 * unchanged. */
#include "job_fixtures.h"
#include "jobs/jobs.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

enum { DEPENDENCIES = 200, SMALL_VALUE_BYTES = 2048 };

static struct pm_settings settings;
static struct pm_name_tables tables;
static struct pm_jobs *jobs;

static int set_up(void **state)
{
    (void)state;
    memset(&settings, 0, sizeof settings);
    deployment_fixture_init(&tables, &settings);
    settings.teams[0].cpus_max = 32;
    strcpy(settings.zone_names[settings.zone_count++], "b");
    jobs = pm_jobs_new(&tables);
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    pm_jobs_free(jobs);
    deployment_fixture_clear(&tables);
    return 0;
}

/* The fields in which the tested submissions differ. */
struct submission {
    const char *id, *team, *kind;
    uint64_t task_count;
    double cpus, ram_gb;
    const char *missing_flag; /* a required flag to leave out, or NULL */
    const char *zone;         /* the zone to which the job is bound, or NULL */
};

static void put_flag_unless_missing(struct pm_buffer *buf, const struct submission *submission,
                                    const char *key)
{
    if (!submission->missing_flag || strcmp(submission->missing_flag, key))
        pm_cbor_put_pair_flag(buf, key, false);
}

static void encode_submission(const struct submission *submission, struct pm_buffer *buf)
{
    pm_cbor_put_map(buf);
    pm_cbor_put_pair_text(buf, "name_id", submission->id);
    pm_cbor_put_pair_text(buf, "ledger", "train");
    pm_cbor_put_pair_text(buf, "desk", submission->team);
    pm_cbor_put_pair_text(buf, "bundle", "img");
    pm_cbor_put_pair_text(buf, "form", submission->kind);
    pm_cbor_put_pair_text(buf, "urgency", "normal");
    pm_cbor_put_pair_uint(buf, "entries", submission->task_count);
    pm_cbor_put_pair_number(buf, "cpus", submission->cpus);
    pm_cbor_put_pair_number(buf, "accelerators", 0);
    pm_cbor_put_pair_number(buf, "ram_gb", submission->ram_gb);
    pm_cbor_put_pair_number(buf, "size_gb", 1);
    pm_cbor_put_pair_number(buf, "expected_s", 10);
    pm_cbor_put_pair_number(buf, "bookmark_s", 0);
    pm_cbor_put_pair_number(buf, "filing_s", 0);
    put_flag_unless_missing(buf, submission, "same_place");
    put_flag_unless_missing(buf, submission, "spread");
    put_flag_unless_missing(buf, submission, "borrowed");
    if (submission->zone)
        pm_cbor_put_pair_text(buf, "room", submission->zone);
    pm_cbor_put_end(buf);
}

/* Decodes a submission with these fields. Returns the result as an HTTP status. */
static int decode_submission(struct submission submission)
{
    struct pm_buffer buf = {0};
    struct pm_spec spec;
    char id[PM_ID_MAX];
    const char *why;
    cbor_item_t *item;
    enum pm_submission_result result;

    encode_submission(&submission, &buf);
    item = pm_cbor_parse(buf.data, buf.size);
    result = pm_submission_decode(&tables, item, id, &spec, &why);
    pm_cbor_free(item);
    pm_buffer_free(&buf);
    return result;
}

static void submissions_are_validated(void **state)
{
    const struct submission good = {"job-000412", "vision", "array", 4, 8, 16, NULL, NULL};
    static const char *const flags[] = {"same_place", "spread", "borrowed"};
    struct submission changed;

    (void)state;
    assert_int_equal(decode_submission(good), 200);
    changed = good, changed.id = "jab-1";
    assert_int_equal(decode_submission(changed), 400);
    changed = good, changed.task_count = 0;
    assert_int_equal(decode_submission(changed), 400);
    changed = good, changed.task_count = PM_JOB_TASKS_MAX + 1;
    assert_int_equal(decode_submission(changed), 400);
    changed = good, changed.cpus = -1;
    assert_int_equal(decode_submission(changed), 400);
    changed = good, changed.kind = "herd";
    assert_int_equal(decode_submission(changed), 400);
    changed = good, changed.team = "nobody";
    assert_int_equal(decode_submission(changed), 422);
    changed = good, changed.ram_gb = 65; /* more than any machine type has */
    assert_int_equal(decode_submission(changed), 422);
    for (int i = 0; i < 3; i++) {
        changed = good, changed.missing_flag = flags[i];
        assert_int_equal(decode_submission(changed), 400);
    }
    changed = good, changed.zone = "a";
    assert_int_equal(decode_submission(changed), 200);
    changed.zone = "b"; /* no machine type is offered there */
    assert_int_equal(decode_submission(changed), 422);
    changed.zone = "nowhere";
    assert_int_equal(decode_submission(changed), 422);
    changed = good, changed.task_count = 100; /* an array above its team's quota runs in parts */
    assert_int_equal(decode_submission(changed), 200);
    changed.kind = "group"; /* a gang above the quota can never run */
    assert_int_equal(decode_submission(changed), 422);
    changed.kind = "standing";
    assert_int_equal(decode_submission(changed), 422);
    tables.type_count = 0; /* the machine types are not known yet */
    assert_int_equal(decode_submission(good), 503);
}

/* Applies this value of the key, and frees the buffer. Returns the job that it changed. */
static struct pm_job *put_value(const char *key, struct pm_buffer *buf, uint64_t revision)
{
    cbor_item_t *item = pm_cbor_parse(buf->data, buf->size);
    struct pm_job *job = pm_jobs_apply_put(jobs, key, item, revision);

    assert_non_null(item);
    pm_cbor_free(item);
    pm_buffer_free(buf);
    return job;
}

/* Applies the live job-1 with 300 tasks. Returns the job. */
static struct pm_job *put_live(uint64_t revision)
{
    struct pm_spec spec = {
        .zone = -1, .allowed_types = ~(uint64_t)0, .task_count = 300, .deadline_s = 9};
    struct pm_buffer buf = {0};

    spec.class_index = pm_names_intern(tables.class_names, "train");
    spec.image = pm_names_intern(tables.image_names, "img");
    pm_job_encode(&tables, &spec, spec.task_count, PM_JOB_LIVE, true, &buf);
    return put_value("p/j/job-1", &buf, revision);
}

static void chunks_survive_a_new_leader(void **state)
{
    struct pm_buffer buf = {0};
    struct pm_placement placement = {
        .task_index = 130, .attempt = 7, .incarnation = 3, .state = PM_PLACEMENT_RUNNING};
    struct pm_job *job = put_live(5);
    struct pm_stored_placement *stored;

    (void)state;
    assert_int_equal(job->chunk_count, 3);
    placement.machine_index = pm_names_intern(tables.machine_names, "i-000001");
    pm_job_ensure_task(job, 130)->placement = &placement;
    for (uint32_t i = 128; i < 256; i += 2)
        /* the value is longest if every other task is done */
        pm_job_ensure_task(job, i + (i == 130))->done = true;
    job->work.last_attempt = 7;
    pm_chunk_encode(&tables, job, 1, -1, &buf);
    assert_true(buf.size < 4096);
    put_value("p/t/job-1/1", &buf, 6);
    pm_jobs_reset_working_state(jobs);
    assert_int_equal(job->work.done_count, 64);
    assert_int_equal(job->work.last_attempt, 7);
    assert_true(pm_job_find_task(job, 131)->done);
    assert_false(pm_job_find_task(job, 130)->done);
    assert_int_equal(job->chunks[1]->stored_placements->len, 1);
    stored = &g_array_index(job->chunks[1]->stored_placements, struct pm_stored_placement, 0);
    assert_int_equal(stored->task_in_chunk, 2);
    assert_int_equal(stored->attempt, 7);
    assert_int_equal(stored->incarnation, 3);
    assert_string_equal(pm_names_text(tables.machine_names, stored->machine_index), "i-000001");
}

static void final_states_stay(void **state)
{
    struct pm_buffer buf = {0};
    struct pm_job *job = put_live(5);

    (void)state;
    pm_job_encode(&tables, job->spec, job->task_count, PM_JOB_CANCELLED, false, &buf);
    assert_ptr_equal(put_value("p/j/job-1", &buf, 9), job);
    assert_int_equal(job->state, PM_JOB_CANCELLED);
    assert_null(job->spec);
    assert_null(put_live(5)); /* an older value that arrives late */
    assert_int_equal(job->state, PM_JOB_CANCELLED);
    pm_jobs_snapshot_begin(jobs); /* a new listing does not undo a final state */
    assert_int_equal(pm_jobs_find(jobs, "job-1")->state, PM_JOB_CANCELLED);
}

/* A cancellation that a peer reports before the store's watch does is kept, whichever older value
 * arrives, even if the job itself becomes known only later. */
static void a_reported_cancellation_stays(void **state)
{
    struct pm_job *job = put_live(5);
    size_t count;
    bool more;

    (void)state;
    assert_true(pm_jobs_apply_cancellation(jobs, "job-1", 9));
    assert_false(pm_jobs_apply_cancellation(jobs, "job-1", 9));
    assert_int_equal(job->state, PM_JOB_CANCELLED);
    assert_int_equal(job->revision, 5); /* so writes that depend on the revision fail */
    put_live(7);
    assert_int_equal(job->state, PM_JOB_CANCELLED);
    assert_int_equal(pm_jobs_cancellation_revision(jobs, "job-2"), 0);
    assert_true(pm_jobs_apply_cancellation(jobs, "job-2", 8));
    assert_int_equal(pm_jobs_cancellation_revision(jobs, "job-2"), 8);
    assert_false(pm_jobs_apply_cancellation(jobs, "nonsense", 8));
    /* Cancellations are listed by revision, in whichever order they became known. Those of the same
     * revision are listed together, even beyond the maximum count. */
    assert_true(pm_jobs_apply_cancellation(jobs, "job-3", 8));
    assert_string_equal(pm_jobs_list_cancellations(jobs, 0, 1, &count, &more)[0].id, "job-2");
    assert_int_equal(count, 2);
    assert_true(more);
    assert_string_equal(pm_jobs_list_cancellations(jobs, 8, 1, &count, &more)[0].id, "job-1");
    assert_int_equal(count, 1);
    assert_false(more);
    pm_jobs_list_cancellations(jobs, 9, 1, &count, &more);
    assert_int_equal(count, 0);
}

/* A job whose state cannot be read is not run, even if its description can be read: the job may
 * have been cancelled. Once its value can be read, the job is run. */
static void a_job_with_an_unreadable_state_is_not_run(void **state)
{
    struct pm_spec spec = {
        .zone = -1, .allowed_types = ~(uint64_t)0, .task_count = 300, .deadline_s = -1};
    struct pm_buffer buf = {0};
    cbor_item_t *good;
    cbor_item_t *bad;
    struct pm_job *job;

    (void)state;
    spec.class_index = pm_names_intern(tables.class_names, "train");
    spec.image = pm_names_intern(tables.image_names, "img");
    pm_job_encode(&tables, &spec, 300, PM_JOB_LIVE, true, &buf);
    good = pm_cbor_parse(buf.data, buf.size);
    for (size_t i = 0; i + 4 < buf.size; i++)
        if (!memcmp(buf.data + i, "live", 4))
            memcpy(buf.data + i, "lieu", 4);
    bad = pm_cbor_parse(buf.data, buf.size);
    job = pm_jobs_apply_put(jobs, "p/j/job-9", bad, 1);
    assert_non_null(job);
    assert_null(job->spec);
    assert_int_equal(pm_jobs_active(jobs)->len, 0);
    assert_non_null(pm_jobs_apply_put(jobs, "p/j/job-9", good, 2));
    assert_int_equal(job->task_count, 300);
    assert_int_equal(job->chunk_count, 3);
    assert_int_equal(pm_jobs_active(jobs)->len, 1);
    pm_cbor_free(good);
    pm_cbor_free(bad);
    pm_buffer_free(&buf);
}

static size_t json_size(struct pm_buffer *buf)
{
    cbor_item_t *value = pm_cbor_parse(buf->data, buf->size);
    size_t size = pm_cbor_json_size(value);

    pm_cbor_free(value);
    pm_buffer_free(buf);
    return size;
}

static void add_dependencies(struct pm_spec *spec)
{
    GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);

    for (int i = 0; i < DEPENDENCIES; i++)
        g_ptr_array_add(ids, g_strdup_printf("job-%06d", i));
    pm_spec_set_dependencies(&tables, spec, ids);
    g_ptr_array_free(ids, TRUE);
}

/* Guards against a job that can't be cancelled, nor end: it was stored before the state service
 * lowered its limits, and its value with all the jobs that it waits for is too large since. */
static void an_ended_job_fits_into_smaller_values(void **state)
{
    struct pm_job *job = put_live(5);
    struct pm_buffer live = {0};
    struct pm_buffer cancelled = {0};
    struct pm_buffer done = {0};

    (void)state;
    add_dependencies(job->spec);
    pm_job_encode(&tables, job->spec, job->task_count, PM_JOB_LIVE, true, &live);
    pm_job_encode(&tables, job->spec, job->task_count, PM_JOB_CANCELLED, true, &cancelled);
    pm_job_encode_done(&tables, job, true, &done);
    assert_true(json_size(&live) > SMALL_VALUE_BYTES);
    assert_true(json_size(&cancelled) < SMALL_VALUE_BYTES);
    assert_true(json_size(&done) < SMALL_VALUE_BYTES);
}

/* The other tasks of a gang are both done and placed until their workers report them. */
static void gang_that_is_done_but_still_placed_does_not_wait(void **state)
{
    struct pm_spec spec = {.kind = PM_WORKLOAD_GANG, .task_count = 4};
    const struct pm_job gang = {.state = PM_JOB_LIVE,
                                .spec = &spec,
                                .task_count = 4,
                                .work = {.done_count = 4, .placed_count = 3}};

    (void)state;
    assert_int_equal(pm_job_waiting_tasks(&gang), 0);
    assert_int_equal(pm_job_startable_tasks(&gang, 0), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(gang_that_is_done_but_still_placed_does_not_wait),
        cmocka_unit_test_setup_teardown(submissions_are_validated, set_up, tear_down),
        cmocka_unit_test_setup_teardown(chunks_survive_a_new_leader, set_up, tear_down),
        cmocka_unit_test_setup_teardown(an_ended_job_fits_into_smaller_values, set_up, tear_down),
        cmocka_unit_test_setup_teardown(final_states_stay, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_reported_cancellation_stays, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_job_with_an_unreadable_state_is_not_run, set_up,
                                        tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
