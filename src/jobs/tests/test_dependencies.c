/* The dependency graph as the replica tells it: safety invariant 8. */
#include "job_fixtures.h"
#include "recorded_values.h"
#include "base/protocol.h"
#include "jobs/jobs.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

static struct pm_settings settings;
static struct pm_name_tables tables;
static struct pm_jobs *jobs;
static uint64_t revision;
#define USUAL_SECONDS 10.0
static double task_seconds = USUAL_SECONDS; /* of the jobs told */

static int set_up(void **state)
{
    (void)state;
    memset(&settings, 0, sizeof settings);
    fixture_begin(&tables, &settings);
    jobs = pm_jobs_new(&tables);
    revision = 0;
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    pm_jobs_free(jobs);
    fixture_end(&tables);
    return 0;
}

/* The state service tells this value of the key. Returns the job that it changed. */
static struct pm_job *put_value(const char *key, uint64_t at, const unsigned char *bytes,
                                size_t size)
{
    cbor_item_t *value = pm_cbor_parse(bytes, size);
    struct pm_job *job;

    assert_non_null(value);
    job = pm_jobs_apply_put(jobs, key, value, at);
    pm_cbor_free(value);
    return job;
}

static void put_job_value(const char *id, uint64_t at, struct pm_buf *buf)
{
    char key[64];

    snprintf(key, sizeof key, "p/j/%s", id);
    put_value(key, at, buf->data, buf->size);
    pm_buf_free(buf);
}

/* The value of a job, told at `at`: live, with what it awaits, or its final state. */
static struct pm_job *tell_at(uint64_t at, const char *id, const char *awaits,
                              enum pm_priority priority, double due_s, enum pm_job_state state)
{
    struct pm_spec spec = {.zone = -1,
                           .allowed_types = ~(uint64_t)0,
                           .task_count = 2,
                           .cpus = 1,
                           .estimated_run_s = task_seconds,
                           .deadline_s = due_s,
                           .submitted_wall = 1000,
                           .priority = priority};
    GPtrArray *ids = g_ptr_array_new();
    char **each = g_strsplit(awaits, " ", -1);
    struct pm_buf buf = {0};

    for (char **one = each; *one && **one; one++)
        g_ptr_array_add(ids, *one);
    if (ids->len)
        pm_spec_set_dependencies(&tables, &spec, ids);
    spec.class_index = pm_names_intern(tables.class_names, "train");
    spec.image = pm_names_intern(tables.image_names, "img");
    pm_job_encode(&tables, &spec, 2, state, state == PM_JOB_LIVE, &buf);
    put_job_value(id, at, &buf);
    g_free(spec.dependencies);
    g_strfreev(each);
    g_ptr_array_free(ids, TRUE);
    return pm_jobs_find(jobs, id);
}

/* A live job that was accepted at `at` and takes `seconds`. */
static struct pm_job *live_for(uint64_t at, const char *id, const char *awaits, double seconds)
{
    task_seconds = seconds;
    tell_at(at, id, awaits, PM_PRIORITY_NORMAL, -1, PM_JOB_LIVE);
    task_seconds = USUAL_SECONDS;
    return pm_jobs_find(jobs, id);
}

static struct pm_job *live(const char *id, const char *awaits)
{
    return tell_at(++revision, id, awaits, PM_PRIORITY_NORMAL, -1, PM_JOB_LIVE);
}

static void end(const char *id, enum pm_job_state state)
{
    tell_at(++revision, id, "", PM_PRIORITY_NORMAL, -1, state);
}

/* Done at that time of day, as this version records it. */
static void end_at(const char *id, double day)
{
    const struct pm_job done = {.task_count = 2, .ended_wall = day};
    struct pm_buf buf = {0};

    pm_job_encode_done(&tables, &done, false, &buf);
    put_job_value(id, ++revision, &buf);
}

static struct pm_job *put_earlier(const char *key, const char *digits)
{
    size_t size;
    unsigned char *bytes = recorded_bytes(digits, &size);
    struct pm_job *job = put_value(key, ++revision, bytes, size);

    g_free(bytes);
    return job;
}

static void assert_earlier(struct pm_buf *buf, const char *digits)
{
    size_t size;
    unsigned char *bytes = recorded_bytes(digits, &size);

    assert_int_equal(buf->size, size);
    assert_memory_equal(buf->data, bytes, size);
    g_free(bytes);
    pm_buf_free(buf);
}

/* A diamond: the last starts once both of its sides are done, whichever is first, and not before;
 * that the first one's tasks were all reported done is not enough. */
static void a_diamond(void **state)
{
    struct pm_job *top = live("job-1", "");
    struct pm_job *left = live("job-2", "job-1");
    struct pm_job *right = live("job-3", "job-1");
    struct pm_job *bottom = live("job-4", "job-2 job-3");

    (void)state;
    assert_int_equal(pm_job_waiting_tasks(top), 2);
    assert_int_equal(pm_job_waiting_tasks(left), 0);
    top->work.done_count = 2; /* by reports alone */
    assert_int_equal(pm_job_waiting_tasks(left), 0);
    end("job-1", PM_JOB_DONE);
    assert_int_equal(pm_job_waiting_tasks(left), 2);
    assert_int_equal(pm_job_waiting_tasks(right), 2);
    assert_int_equal(pm_job_waiting_tasks(bottom), 0);
    end("job-3", PM_JOB_DONE);
    assert_int_equal(pm_job_waiting_tasks(bottom), 0);
    end("job-2", PM_JOB_DONE);
    assert_int_equal(pm_job_waiting_tasks(bottom), 2);
}

/* After a restart the pages tell jobs in the order of their keys, whatever needs what; some are
 * over by then, and a value may be told again. */
static void told_in_any_order(void **state)
{
    struct pm_job *last = live("job-10", "job-5 job-7 job-9");
    struct pm_job *seven;

    (void)state;
    assert_int_equal(last->dependencies.unmet, 3);
    end("job-5", PM_JOB_DONE);
    assert_int_equal(last->dependencies.unmet, 2);
    seven = live("job-7", "job-8");
    assert_int_equal(seven->dependencies.unmet, 1);
    end("job-8", PM_JOB_DONE);
    assert_int_equal(seven->dependencies.unmet, 0);
    live("job-10", "job-5 job-7 job-9"); /* told anew */
    assert_int_equal(last->dependencies.unmet, 2);
    live("job-9", "");
    end("job-9", PM_JOB_DONE);
    end("job-7", PM_JOB_DONE);
    assert_int_equal(last->dependencies.unmet, 0);
    /* Named when it is over already. */
    assert_int_equal(live("job-11", "job-5 job-7")->dependencies.unmet, 0);
}

/* What a job needs may be told in lists beside it, and these after it and in any order: until all
 * are there nobody knows what it waits for, so it waits. */
static void told_in_lists(void **state)
{
    struct pm_spec spec = {.zone = -1,
                           .allowed_types = ~(uint64_t)0,
                           .task_count = 2,
                           .deadline_s = -1,
                           .overflow_lists = 2,
                           .cpus = 1};
    struct pm_job *job = fixture_feed(&tables, jobs, "job-9", &spec, ++revision);
    GPtrArray *ids = g_ptr_array_new();
    char names[100][16];

    (void)state;
    settings.store_value_kb = 2;
    for (int i = 0; i < 100; i++) {
        snprintf(names[i], sizeof names[i], "job-%d", 1000 + i);
        g_ptr_array_add(ids, names[i]);
        if (i % 2)
            end(names[i], PM_JOB_DONE);
    }
    pm_spec_set_dependencies(&tables, &spec, ids);
    assert_true(pm_spec_overflow_lists(&tables, &spec, 1000) == 2);
    assert_int_equal(pm_job_waiting_tasks(job), 0);
    for (int k = 1; k >= 0; k--) {
        struct pm_buf buf = {0};
        char key[32];
        cbor_item_t *value;
        assert_true(job->dependencies.incomplete);
        pm_dependency_list_encode(&tables, &spec, (uint32_t)k, &buf);
        value = pm_cbor_parse(buf.data, buf.size);
        assert_true(pm_cbor_json_size(value) <= 2048);
        snprintf(key, sizeof key, "p/n/job-9/%d", k);
        pm_jobs_apply_put(jobs, key, value, ++revision);
        pm_cbor_free(value);
        pm_buf_free(&buf);
    }
    assert_false(job->dependencies.incomplete);
    assert_int_equal(job->dependencies.unmet, 50);
    for (int i = 0; i < 100; i += 2) {
        assert_int_equal(pm_job_waiting_tasks(job), 0);
        end(names[i], PM_JOB_DONE);
    }
    assert_int_equal(pm_job_waiting_tasks(job), 2);
    g_free(spec.dependencies);
    g_ptr_array_free(ids, TRUE);
}

/* Cancelled between two links: what comes after goes with it, in memory and at once; what is done
 * stays done, what is beside it goes on. */
static void cancelled_in_the_middle(void **state)
{
    struct pm_job *first = live("job-1", "");
    struct pm_job *second = live("job-2", "job-1");
    struct pm_job *third = live("job-3", "job-2");
    struct pm_job *beside = live("job-4", "job-1");
    size_t n;
    bool more;

    (void)state;
    end("job-1", PM_JOB_DONE);
    assert_true(
        pm_jobs_apply_cancellation(jobs, "job-2", 77)); /* by a peer's word, before the replica */
    assert_int_equal(first->state, PM_JOB_DONE);
    assert_int_equal(second->state, PM_JOB_CANCELLED);
    assert_int_equal(third->state, PM_JOB_CANCELLED);
    assert_int_equal(third->cancellation_revision, 77);
    assert_int_equal(beside->state, PM_JOB_LIVE);
    /* Peers are told of one; the rest follows for them as for us. */
    assert_string_equal(pm_jobs_list_cancellations(jobs, 0, 10, &n, &more)->id, "job-2");
    assert_int_equal(n, 1);
    /* Its own old value, told again, changes nothing, nor does its final one. */
    live("job-3", "job-2");
    assert_int_equal(third->state, PM_JOB_CANCELLED);
    end("job-3", PM_JOB_CANCELLED);
    assert_int_equal(third->state, PM_JOB_CANCELLED);
    assert_null(third->spec);
}

/* Accepted just when what it names is cancelled, by another controller: told in either order, and
 * also if the cancelled job is told last of all, it is cancelled. */
static void a_submission_races_a_cancellation(void **state)
{
    (void)state;
    live("job-1", "");
    end("job-1", PM_JOB_CANCELLED);
    assert_int_equal(live("job-2", "job-1")->state, PM_JOB_CANCELLED);
    assert_int_equal(live("job-3", "job-2")->state, PM_JOB_CANCELLED); /* through the other */
    assert_int_equal(live("job-5", "job-4")->state, PM_JOB_LIVE);
    assert_int_equal(live("job-6", "job-5")->state, PM_JOB_LIVE);
    assert_true(pm_jobs_apply_cancellation(jobs, "job-4", 50)); /* not known itself */
    assert_int_equal(pm_jobs_find(jobs, "job-5")->state, PM_JOB_CANCELLED);
    assert_int_equal(pm_jobs_find(jobs, "job-6")->state, PM_JOB_CANCELLED);
    assert_int_equal(live("job-7", "job-4")->state, PM_JOB_CANCELLED);
}

/* The priority and the deadline of the last count for all before it, less what lies between; told
 * first or last. */
static void the_end_counts_for_all(void **state)
{
    struct pm_job *first = live("job-1", "");
    struct pm_job *second = live("job-2", "job-1");
    struct pm_job *third;

    (void)state;
    assert_true(isinf(first->deadline_wall));
    third = tell_at(++revision, "job-3", "job-2", PM_PRIORITY_URGENT, 100, PM_JOB_LIVE);
    assert_int_equal(first->priority, PM_PRIORITY_URGENT);
    assert_true(third->deadline_wall == 1100);
    assert_true(second->deadline_wall == 1090);
    assert_true(first->deadline_wall == 1080);
    /* The other way round: the end is told before what it needs, which was accepted before it. */
    tell_at(30, "job-9", "job-8", PM_PRIORITY_URGENT, 100, PM_JOB_LIVE);
    assert_int_equal(tell_at(20, "job-8", "job-7", PM_PRIORITY_NORMAL, -1, PM_JOB_LIVE)->priority,
                     PM_PRIORITY_URGENT);
    assert_int_equal(tell_at(10, "job-7", "", PM_PRIORITY_NORMAL, -1, PM_JOB_LIVE)->priority,
                     PM_PRIORITY_URGENT);
    assert_true(pm_jobs_find(jobs, "job-7")->deadline_wall == 1080);
    /* A job beside is as it was. */
    assert_int_equal(live("job-6", "")->priority, PM_PRIORITY_NORMAL);
}

enum { LEVELS = 200, WIDE = 300 };

/* A ladder of diamonds: each level's join needs both sides, which need the join below. What the
 * sides take differs twice as much from level to level: whoever followed every path would find an
 * earlier deadline on most of them, and there are 2^20 and more. */
static double longer_side(int level)
{
    return 1 + (1 << level % 20);
}

static void put_ladder(bool last_first)
{
    for (int i = 0; i < LEVELS; i++) {
        int level = last_first ? LEVELS - 1 - i : i;
        char join[16];
        char left[16];
        char right[16];
        char below[16];
        char sides[40];
        uint64_t at = 1 + 3 * (uint64_t)level;
        snprintf(join, sizeof join, "job-%d", 1000 + 10 * level);
        snprintf(left, sizeof left, "job-%d", 1000 + 10 * level - 2);
        snprintf(right, sizeof right, "job-%d", 1000 + 10 * level - 1);
        snprintf(below, sizeof below, "job-%d", 1000 + 10 * (level - 1));
        snprintf(sides, sizeof sides, "%s %s", left, right);
        if (!level) {
            live_for(at, join, "", 1);
            continue;
        }
        if (last_first)
            live_for(at + 2, join, sides, 1);
        live_for(at, left, below, level % 2 ? longer_side(level) : 1);
        live_for(at + 1, right, below, level % 2 ? 1 : longer_side(level));
        if (!last_first)
            live_for(at + 2, join, sides, 1);
    }
}

/* The deadline of the end goes down the ladder, along the longer side at each level, at a cost that
 * grows with the edges and not with the paths; told from either end. */
static void assert_ladder(bool last_first)
{
    const uint64_t edges = 4 * LEVELS;
    double due = 1000 + 1e9 - USUAL_SECONDS; /* what the end leaves the top of the ladder */
    char top[16];
    uint64_t before;

    snprintf(top, sizeof top, "job-%d", 1000 + 10 * (LEVELS - 1));
    if (last_first)
        tell_at(10000, "job-9", top, PM_PRIORITY_URGENT, 1e9, PM_JOB_LIVE);
    put_ladder(last_first);
    before = pm_jobs_dependency_steps(jobs);
    if (!last_first)
        tell_at(10000, "job-9", top, PM_PRIORITY_URGENT, 1e9, PM_JOB_LIVE);
    assert_int_equal(pm_jobs_find(jobs, "job-1000")->priority, PM_PRIORITY_URGENT);
    for (int level = 1; level < LEVELS; level++)
        due -= 1 + longer_side(level);
    assert_true(pm_jobs_find(jobs, "job-1000")->deadline_wall == due);
    if (!last_first)
        assert_true(pm_jobs_dependency_steps(jobs) - before <= 2 * edges);
    assert_true(pm_jobs_dependency_steps(jobs) <= 8 * edges);
    /* Nothing changes any more: a second end that asks for less is not carried down. */
    before = pm_jobs_dependency_steps(jobs);
    tell_at(10001, "job-8", top, PM_PRIORITY_NORMAL, 2e9, PM_JOB_LIVE);
    assert_true(pm_jobs_dependency_steps(jobs) - before <= 4);
    /* The whole of it is cancelled at the cost of its edges. */
    before = pm_jobs_dependency_steps(jobs);
    assert_true(pm_jobs_apply_cancellation(jobs, "job-1000", 20000));
    assert_int_equal(pm_jobs_find(jobs, "job-9")->state, PM_JOB_CANCELLED);
    assert_true(pm_jobs_dependency_steps(jobs) - before <= 4 * edges);
}

static void a_ladder_of_diamonds_costs_its_edges(void **state)
{
    (void)state;
    assert_ladder(false);
}

/* As a listing tells them after a restart: by key, which may be the last first. */
static void a_ladder_told_from_its_end_costs_its_edges(void **state)
{
    (void)state;
    assert_ladder(true);
}

/* Hundreds need hundreds: all ends together cost the edges, whichever side is told first. */
static void wide_on_both_sides(bool last_first)
{
    const uint64_t edges = (uint64_t)WIDE * WIDE;
    GString *all = g_string_new("");
    char id[16];

    for (int i = 0; i < WIDE; i++)
        g_string_append_printf(all, "%sjob-%d", i ? " " : "", 1000 + i);
    for (int i = 0; i < 2 * WIDE; i++) {
        bool first = last_first ? i >= WIDE : i < WIDE;
        snprintf(id, sizeof id, "job-%d", (first ? 1000 : 5000) + i % WIDE);
        tell_at((first ? 1 : 1000) + (uint64_t)i, id, first ? "" : all->str,
                first ? PM_PRIORITY_NORMAL : PM_PRIORITY_URGENT, first ? -1 : 1e6 - i, PM_JOB_LIVE);
    }
    assert_int_equal(pm_jobs_find(jobs, "job-1000")->priority, PM_PRIORITY_URGENT);
    for (int i = 0; i < WIDE; i++) {
        assert_int_equal(pm_job_waiting_tasks(pm_jobs_find(jobs, "job-5007")), 0);
        snprintf(id, sizeof id, "job-%d", 1000 + i);
        tell_at(5000 + (uint64_t)i, id, "", PM_PRIORITY_NORMAL, -1, PM_JOB_DONE);
    }
    assert_int_equal(pm_job_waiting_tasks(pm_jobs_find(jobs, "job-5007")), 2);
    assert_true(pm_jobs_dependency_steps(jobs) <= 6 * edges);
    g_string_free(all, TRUE);
}

static void hundreds_need_hundreds(void **state)
{
    (void)state;
    wide_on_both_sides(false);
}

static void hundreds_need_hundreds_told_last_first(void **state)
{
    (void)state;
    wide_on_both_sides(true);
}

/* A value that no controller would write, with jobs that need one another, ends no walk in circles:
 * they wait, and one that is cancelled takes the other along. */
static void needing_one_another_ends_no_walk(void **state)
{
    struct pm_job *first = tell_at(5, "job-1", "job-2", PM_PRIORITY_NORMAL, 100, PM_JOB_LIVE);
    struct pm_job *second = tell_at(6, "job-2", "job-1", PM_PRIORITY_URGENT, 50, PM_JOB_LIVE);

    (void)state;
    assert_int_equal(pm_job_waiting_tasks(first), 0);
    assert_int_equal(pm_job_waiting_tasks(second), 0);
    assert_true(pm_jobs_apply_cancellation(jobs, "job-1", 7));
    assert_int_equal(second->state, PM_JOB_CANCELLED);
}

/* A value whose needs can't be read, say of a later version: the job is known and may be cancelled,
 * but not started, and lists beside it don't change that. */
static void with_unreadable_needs_it_waits(void **state)
{
    struct pm_job *job;
    size_t size;
    unsigned char *bytes = recorded_bytes(RECORDED_V2_JOB, &size);
    unsigned char *name = memmem(bytes, size, "job-000398", strlen("job-000398"));

    (void)state;
    assert_non_null(name);
    name[0] = 'J'; /* no id of the known form */
    job = put_value("p/j/job-1", ++revision, bytes, size);
    g_free(bytes);
    assert_non_null(job);
    assert_int_equal(pm_job_waiting_tasks(job), 0);
    put_earlier("p/n/job-1/0", RECORDED_V2_LIST);
    assert_int_equal(pm_job_waiting_tasks(job), 0);
    assert_true(pm_jobs_apply_cancellation(jobs, "job-1", 77));
}

/* A job waits from the end of the last job that it needs, which the state service keeps: a
 * controller that reads it later, in whatever order, counts from the same moment. Where the version
 * before recorded an end, its time is not known. */
static void the_wait_counts_from_the_last_end(void **state)
{
    struct pm_job *job;
    struct pm_job *early;

    (void)state;
    tables.protocol_version = PM_PROTOCOL_END_TIMES;
    job = live("job-9", "job-1 job-2 job-3");
    assert_true(job->dependencies.met_wall == 0);
    end_at("job-2", 5000);
    end_at("job-1", 4000);
    assert_int_equal(pm_job_waiting_tasks(job), 0);
    end_at("job-3", 3000);
    assert_int_equal(pm_job_waiting_tasks(job), 2);
    assert_true(job->dependencies.met_wall == 5000);
    /* Read later: all ends are told before the job. */
    assert_true(live("job-10", "job-3 job-1 job-2")->dependencies.met_wall == 5000);
    early = live("job-11", "job-1 job-4");
    end("job-4", PM_JOB_DONE); /* by the version before */
    assert_int_equal(pm_job_waiting_tasks(early), 2);
    assert_true(isinf(early->dependencies.met_wall));
    /* Told again, as after a relisting, nothing moves. */
    end_at("job-3", 9000);
    assert_true(job->dependencies.met_wall == 5000);
}

/* Until every controller reads it, the value of a job that is done is written as before. */
static void the_end_is_written_once_all_read_it(void **state)
{
    struct pm_job *job = live("job-1", "");
    struct pm_buf buf = {0};

    (void)state;
    job->ended_wall = 5000;
    job->task_count = 200;
    for (unsigned version = PM_PROTOCOL_FIRST; version < PM_PROTOCOL_END_TIMES; version++) {
        tables.protocol_version = version;
        pm_job_encode_done(&tables, job, false, &buf);
        assert_earlier(&buf, RECORDED_V1_DONE);
    }
}

/* A chain of thousands, and hundreds that need one: no walk is by recursion. */
static void long_and_wide(void **state)
{
    char id[32];
    char before[32];

    (void)state;
    live("job-0", "");
    for (int i = 1; i < 5000; i++) {
        snprintf(id, sizeof id, "job-%d", i);
        snprintf(before, sizeof before, "job-%d", i - 1);
        live(id, before);
    }
    for (int i = 5000; i < 5500; i++) {
        snprintf(id, sizeof id, "job-%d", i);
        live(id, "job-4999");
    }
    tell_at(++revision, "job-6000", "job-5400", PM_PRIORITY_URGENT, 1e6, PM_JOB_LIVE);
    assert_int_equal(pm_jobs_find(jobs, "job-0")->priority, PM_PRIORITY_URGENT);
    assert_int_equal(pm_jobs_find(jobs, "job-5001")->priority, PM_PRIORITY_NORMAL);
    assert_true(pm_jobs_apply_cancellation(jobs, "job-0", 9999));
    for (int i = 0; i < 5500; i += 11) {
        snprintf(id, sizeof id, "job-%d", i);
        assert_int_equal(pm_jobs_find(jobs, id)->state, PM_JOB_CANCELLED);
    }
    assert_int_equal(pm_jobs_find(jobs, "job-6000")->state, PM_JOB_CANCELLED);
}

/* The version before wrote it, this one reads it as it was meant, and writes the same, byte for
 * byte, of a job in no chain and of a chunk that is not in halves: what it does in mixed company.
 */
static void reads_and_writes_as_the_version_before(void **state)
{
    struct pm_job *job = put_earlier("p/j/job-1", RECORDED_V1_LIVE);
    struct pm_placement place = {.job = job, .task_index = 130, .attempt = 7, .incarnation = 3};
    struct pm_buf buf = {0};
    const struct pm_stored_placement *spot;

    (void)state;
    assert_int_equal(job->task_count, 200);
    assert_int_equal(job->priority, PM_PRIORITY_URGENT);
    assert_int_equal(job->dependencies.unmet, 0);
    assert_true(job->spec->spot && job->spec->deadline_s == 90 && job->spec->zone == 0);
    assert_true(job->deadline_wall == 1700000090.5);
    pm_job_encode(&tables, job->spec, 200, PM_JOB_LIVE, true, &buf);
    assert_earlier(&buf, RECORDED_V1_LIVE);
    assert_ptr_equal(put_earlier("p/t/job-1/1", RECORDED_V1_CHUNK), job);
    pm_jobs_reset_work(jobs);
    assert_int_equal(job->work.done_count, 2);
    assert_int_equal(job->work.last_attempt, 9);
    assert_true(pm_job_find_task(job, 128)->done && pm_job_find_task(job, 199)->done);
    spot = &g_array_index(job->chunks[1]->stored_placements, struct pm_stored_placement, 0);
    assert_int_equal(spot->task_in_chunk, 2);
    assert_int_equal(spot->attempt, 7);
    assert_int_equal(spot->incarnation, 3);
    place.machine_index = spot->machine;
    place.state = PM_PLACEMENT_RUNNING;
    pm_job_task(job, 130)->placement = &place;
    pm_chunk_encode(&tables, job, 1, -1, &buf);
    assert_earlier(&buf, RECORDED_V1_CHUNK);
    pm_job_encode(&tables, job->spec, 200, PM_JOB_CANCELLED, true, &buf);
    assert_earlier(&buf, RECORDED_V1_CANCELLED);
    put_earlier("p/j/job-1", RECORDED_V1_DONE);
    assert_int_equal(job->state, PM_JOB_DONE);
}

/* Protocol version 2 wrote it, this one reads it as it was meant, and writes the same. */
static void reads_and_writes_as_protocol_version_2(void **state)
{
    struct pm_job *job;
    struct pm_job *listed;
    struct pm_placement place = {
        .task_index = 130, .attempt = 7, .incarnation = 3, .state = PM_PLACEMENT_RUNNING};
    struct pm_buf buf = {0};

    (void)state;
    settings.store_value_kb = 1;
    job = put_earlier("p/j/job-1", RECORDED_V2_JOB);
    assert_int_equal(job->dependencies.unmet, 2);
    assert_string_equal(pm_names_text(tables.dependency_ids, job->spec->dependencies[1]),
                        "job-000405");
    pm_job_encode(&tables, job->spec, 200, PM_JOB_LIVE, true, &buf);
    assert_earlier(&buf, RECORDED_V2_JOB);
    listed = put_earlier("p/j/job-2", RECORDED_V2_JOB_LISTS);
    assert_true(listed->dependencies.incomplete && pm_job_waiting_tasks(listed) == 0);
    pm_job_encode(&tables, listed->spec, 200, PM_JOB_LIVE, true, &buf);
    assert_earlier(&buf, RECORDED_V2_JOB_LISTS);
    pm_dependency_list_encode(&tables, job->spec, 0, &buf);
    assert_earlier(&buf, RECORDED_V2_LIST);
    put_earlier("p/n/job-2/1", RECORDED_V2_LIST);
    assert_true(listed->dependencies.incomplete);
    put_earlier("p/n/job-2/0", RECORDED_V2_LIST);
    assert_false(listed->dependencies.incomplete);
    assert_true(listed->dependencies.unmet >= 2);
    assert_ptr_equal(put_earlier("p/t/job-1/1/0", RECORDED_V2_HALF), job);
    pm_jobs_reset_work(jobs);
    assert_int_equal(job->work.done_count, 2); /* the half tells of its own tasks only */
    place.job = job;
    place.machine_index = pm_names_find(tables.machine_names, "i-000231");
    pm_job_task(job, 130)->placement = &place;
    pm_job_task(job, 199)->done = true;
    pm_chunk_encode(&tables, job, 1, 0, &buf);
    assert_earlier(&buf, RECORDED_V2_HALF);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(a_diamond, set_up, tear_down),
        cmocka_unit_test_setup_teardown(told_in_any_order, set_up, tear_down),
        cmocka_unit_test_setup_teardown(told_in_lists, set_up, tear_down),
        cmocka_unit_test_setup_teardown(cancelled_in_the_middle, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_submission_races_a_cancellation, set_up, tear_down),
        cmocka_unit_test_setup_teardown(the_end_counts_for_all, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_ladder_of_diamonds_costs_its_edges, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_ladder_told_from_its_end_costs_its_edges, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(hundreds_need_hundreds, set_up, tear_down),
        cmocka_unit_test_setup_teardown(hundreds_need_hundreds_told_last_first, set_up, tear_down),
        cmocka_unit_test_setup_teardown(needing_one_another_ends_no_walk, set_up, tear_down),
        cmocka_unit_test_setup_teardown(with_unreadable_needs_it_waits, set_up, tear_down),
        cmocka_unit_test_setup_teardown(the_wait_counts_from_the_last_end, set_up, tear_down),
        cmocka_unit_test_setup_teardown(the_end_is_written_once_all_read_it, set_up, tear_down),
        cmocka_unit_test_setup_teardown(reads_and_writes_as_protocol_version_2, set_up, tear_down),
        cmocka_unit_test_setup_teardown(long_and_wide, set_up, tear_down),
        cmocka_unit_test_setup_teardown(reads_and_writes_as_the_version_before, set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
