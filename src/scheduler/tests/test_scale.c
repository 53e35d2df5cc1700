/* Half as many machines again as the largest deployment has: what grows with the fleet stays below
 * its limit, and a plan's work is bounded. Sizes are as JSON, as the protocol counts them. */
#include "../../jobs/tests/job_fixtures.h"
#include "scheduler/scheduler.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

enum { MACHINES = 6000, VALUE = 4096, ANSWER = 64 * 1024, NOW = 500 };

static struct pm_settings settings;
static struct pm_operator_settings op;
static struct pm_name_tables tables;
static struct pm_jobs *jobs;
static struct pm_workers *workers;
static struct pm_scheduler *plan;

static size_t json_of(struct pm_buf *buf)
{
    cbor_item_t *item = pm_cbor_parse(buf->data, buf->size);
    size_t n;

    assert_non_null(item);
    n = pm_cbor_json_size(item);
    pm_cbor_free(item);
    pm_buf_free(buf);
    return n;
}

static int set_up(void **state)
{
    (void)state;
    memset(&settings, 0, sizeof settings);
    pm_operator_settings_defaults(&op);
    fixture_begin(&tables, &settings);
    settings.store_value_kb = 4;
    tables.types[0].local_gb = 40;
    jobs = pm_jobs_new(&tables);
    workers = pm_workers_new(&tables, jobs, FIXTURE_HOOKS);
    plan = pm_scheduler_new(&tables, jobs, workers, &op);
    for (int i = 0; i < MACHINES; i++) {
        char name[32];
        struct pm_machine *m;
        snprintf(name, sizeof name, "i-%06d", 100000 + i);
        m = pm_workers_add(workers, name);
        pm_workers_set_type(workers, m, 0);
        m->zone = 0;
        m->state = PM_MACHINE_UP;
        m->spot = i % 2;
        m->heartbeat.is_known = m->provider.is_listed = true;
        m->heartbeat.incarnation = 1;
        m->heartbeat.last_message_at = m->heartbeat.last_at = NOW;
        for (int k = 0; k < 12; k++) {
            char image[32];
            snprintf(image, sizeof image, "img-%02d", (i + k) % 26);
            m->images.cached[m->images.count].image = pm_names_intern(tables.image_names, image);
            m->images.cached[m->images.count++].gb = 1.8372645182736455 + k / 3.0;
        }
    }
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    pm_scheduler_free(plan);
    pm_workers_free(workers);
    pm_jobs_free(jobs);
    fixture_end(&tables);
    return 0;
}

static struct pm_job *wait_for(const char *id, uint32_t entries)
{
    struct pm_spec spec = {.zone = -1,
                           .allowed_types = ~(uint64_t)0,
                           .priority = PM_PRIORITY_NORMAL,
                           .task_count = entries,
                           .cpus = 4,
                           .ram_gb = 8,
                           .spot = true,
                           .estimated_run_s = 15,
                           .deadline_s = 60,
                           .submitted_wall = NOW};

    return fixture_feed(&tables, jobs, id, &spec, 1);
}

static void the_ledger_fits_its_value(void **state)
{
    struct pm_buf buf = {0};
    cbor_item_t *item;
    struct pm_machine *first;

    (void)state;
    pm_scheduler_encode_ledger(plan, 1e9, 1e9, &buf);
    item = pm_cbor_parse(buf.data, buf.size);
    assert_true(json_of(&buf) <= VALUE);
    /* What fits is read back, by a leader that knows nothing yet. */
    first = pm_workers_find(workers, "i-100000");
    first->images.count = 0;
    pm_scheduler_decode_cached_images(plan, item);
    assert_true(first->images.count > 0);
    assert_int_equal(first->images.cached[0].image, pm_names_find(tables.image_names, "img-00"));
    pm_cbor_free(item);
}

/* An array of the largest size is placed bit by bit, and others beside it; every chunk's value fits
 * however its tasks lie, and so do the orders to any machine. */
static void the_largest_array_is_placed_in_bounded_steps(void **state)
{
    struct pm_job *large = wait_for("job-000000000000000000000001", PM_JOB_TASKS_MAX);
    struct pm_job *small = wait_for("job-2", 8);
    uint32_t before = 0;
    int rounds = 0;

    (void)state;
    do {
        uint32_t placed;
        pm_scheduler_run(plan, NOW, NOW);
        placed = large->work.placed_count + small->work.placed_count;
        assert_true(placed - before <= 400); /* the lock is held for one plan */
        before = placed;
    } while (++rounds < 200 && large->work.placed_count < 4 * MACHINES - 8);
    assert_int_equal(small->work.placed_count, 8);
    assert_int_equal(large->work.placed_count, 4 * MACHINES - 8);
    large->work.last_attempt = 9999999;
    for (int k = 0; k < large->chunk_count; k++) {
        struct pm_buf buf = {0};
        if (!large->chunks[k] || !large->chunks[k]->task)
            continue;
        pm_chunk_encode(&tables, large, k, -1, &buf);
        assert_true(json_of(&buf) <= VALUE);
        for (int half = 0; half < 2; half++) {
            pm_buf_free(&buf);
            pm_chunk_encode(&tables, large, k, half, &buf);
            assert_true(json_of(&buf) <= VALUE / 2);
        }
    }
    for (int i = 0; i < MACHINES; i += 61) {
        struct pm_machine *m = pm_workers_at(workers, i);
        struct pm_buf buf = {0};
        for (guint j = 0; j < m->placements->len; j++)
            ((struct pm_placement *)g_ptr_array_index(m->placements, j))->state =
                PM_PLACEMENT_DURABLE;
        assert_int_equal(pm_workers_encode_commands(m, true, 1, &buf), 4);
        assert_true(json_of(&buf) <= ANSWER);
    }
}

/* A replica on each of 400 ordinary machines, and their image on all: emptied at one a second, most
 * of them stood half empty for minutes, for a tenth of what the day cost. No two go for the same
 * room. */
static void a_large_fleet_is_emptied_several_machines_at_a_time(void **state)
{
    enum { HOMES = 400 };
    struct pm_spec spec = {.zone = -1,
                           .allowed_types = ~(uint64_t)0,
                           .kind = PM_WORKLOAD_SERVICE,
                           .priority = PM_PRIORITY_PRODUCTION,
                           .task_count = HOMES,
                           .cpus = 2,
                           .ram_gb = 4,
                           .deadline_s = -1,
                           .submitted_wall = NOW - 200};
    struct pm_job *job = fixture_feed(&tables, jobs, "job-1", &spec, 1);
    int draining = 0;

    (void)state;
    tables.types[0].price = 1;
    for (int i = 0; i < MACHINES; i++) {
        struct pm_machine *m = pm_workers_at(workers, i);
        struct pm_placement *place;
        m->spot = i >= HOMES;
        m->provider.rented_at = NOW - 200;
        m->images.count = 1;
        m->images.cached[0].image = spec.image;
        if (i >= HOMES)
            continue;
        place = pm_workers_add_placement(workers, job, (uint32_t)i, m, 1, 1, PM_PLACEMENT_RUNNING,
                                         NOW - 100);
        place->running_since = NOW - 100;
    }
    pm_scheduler_begin(plan, NOW, NOW);
    pm_scheduler_consolidate(plan, NOW);
    for (int i = 0; i < HOMES; i++) {
        const struct pm_machine *m = pm_workers_at(workers, i);
        draining += m->reservation.draining;
        for (guint k = 0; m->reservation.draining && k < m->placements->len; k++)
            assert_true(((struct pm_placement *)g_ptr_array_index(m->placements, k))->should_stop);
    }
    assert_in_range(draining, 4, HOMES / 20);
}

/* A machine full of small tasks is cleared whole for a large one, however many they are. */
static void a_machine_full_of_small_tasks_is_cleared(void **state)
{
    enum { TASKS = 128 };
    struct pm_spec spec = {.zone = -1,
                           .allowed_types = ~(uint64_t)0,
                           .priority = PM_PRIORITY_BEST_EFFORT,
                           .task_count = TASKS,
                           .cpus = 16. / TASKS,
                           .ram_gb = 0.5,
                           .spot = true,
                           .estimated_run_s = 100,
                           .deadline_s = -1,
                           .submitted_wall = NOW};
    struct pm_job *small = fixture_feed(&tables, jobs, "job-1", &spec, 1);
    struct pm_machine *m = pm_workers_at(workers, 0);
    uint32_t stopped = 0;

    (void)state;
    for (int i = 1; i < MACHINES; i++)
        pm_workers_at(workers, i)->state = PM_MACHINE_BOOTING;
    for (uint32_t i = 0; i < TASKS; i++)
        pm_workers_add_placement(workers, small, i, m, 1, 1, PM_PLACEMENT_RUNNING, NOW - 50)
            ->running_since = NOW - 50;
    spec.priority = PM_PRIORITY_NORMAL;
    spec.task_count = 1;
    spec.cpus = 16;
    spec.ram_gb = 64;
    fixture_feed(&tables, jobs, "job-2", &spec, 2);
    pm_scheduler_run(plan, NOW, NOW);
    for (guint i = 0; i < m->placements->len; i++)
        stopped += ((const struct pm_placement *)g_ptr_array_index(m->placements, i))->should_stop;
    assert_int_equal(stopped, TASKS);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(a_large_fleet_is_emptied_several_machines_at_a_time, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_machine_full_of_small_tasks_is_cleared, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(the_ledger_fits_its_value, set_up, tear_down),
        cmocka_unit_test_setup_teardown(the_largest_array_is_placed_in_bounded_steps, set_up,
                                        tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
