/* Tests the scheduler with one and a half times as many machines as the largest deployment has. The
 * sizes of stored values and messages, and the number of actions in one plan, stay within their
 * limits. Values are encoded as CBOR, but the protocol's size limits apply to their JSON form. */
#include "scheduler_fixtures.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

enum {
    MACHINES = 6000,
    FIRST_MACHINE_NUMBER = 100000,
    CACHED_IMAGES = 12,           /* on each machine */
    VALUE_BYTES_MAX = 4096,       /* of a stored value */
    ANSWER_BYTES_MAX = 64 * 1024, /* of an answer to a heartbeat */
    /* Placements that one plan may add, remove or stop. A plan holds the controller's lock
     * throughout. */
    PLAN_ACTIONS_MAX = 400,
    NOW = 500 /* in seconds, both monotonic and as the time of day */
};

static struct scheduler_fixture fixture;

/* Returns the size of a CBOR value in its JSON form, and frees the buffer. */
static size_t json_size(struct pm_buffer *buf)
{
    cbor_item_t *item = pm_cbor_parse(buf->data, buf->size);
    size_t size;

    assert_non_null(item);
    size = pm_cbor_json_size(item);
    pm_cbor_free(item);
    pm_buffer_free(buf);
    return size;
}

static void add_cached_images(struct pm_machine *machine, int first)
{
    for (int i = 0; i < CACHED_IMAGES; i++) {
        struct pm_cached_image *cached = &machine->images.cached[machine->images.count++];
        char name[32];
        snprintf(name, sizeof name, "img-%02d", (first + i) % 26);
        cached->image = pm_names_intern(fixture.tables.image_names, name);
        cached->gb = 1.8372645182736455 + i / 3.0;
    }
}

static void add_machine(int index)
{
    char name[32];
    struct pm_machine *machine;

    snprintf(name, sizeof name, "i-%06d", FIRST_MACHINE_NUMBER + index);
    machine = pm_workers_find_or_add(fixture.workers, name);
    pm_workers_set_type(fixture.workers, machine, 0);
    machine->zone = 0;
    machine->state = PM_MACHINE_UP;
    machine->spot = index % 2;
    machine->heartbeat.has_reported = machine->provider.is_listed = true;
    machine->heartbeat.incarnation = 1;
    machine->heartbeat.last_message_at = machine->heartbeat.last_heartbeat_at = NOW;
    add_cached_images(machine, index);
}

static int set_up(void **state)
{
    (void)state;
    scheduler_fixture_init(&fixture);
    fixture.tables.types[0].local_gb = 40;
    for (int i = 0; i < MACHINES; i++)
        add_machine(i);
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    scheduler_fixture_clear(&fixture);
    return 0;
}

static struct pm_placement *placement_at(const struct pm_machine *machine, guint index)
{
    return g_ptr_array_index(machine->placements, index);
}

static struct pm_job *feed_array(const char *id, uint32_t tasks)
{
    struct pm_spec spec = {.zone = -1,
                           .allowed_types = ~(uint64_t)0,
                           .priority = PM_PRIORITY_NORMAL,
                           .task_count = tasks,
                           .cpus = 4,
                           .ram_gb = 8,
                           .spot = true,
                           .estimated_run_s = 15,
                           .deadline_s = 60,
                           .submitted_wall = NOW};

    return feed_live_job(&fixture.tables, fixture.jobs, id, &spec, 1);
}

static void ledger_fits_into_its_value(void **state)
{
    struct pm_buffer buf = {0};
    cbor_item_t *item;
    struct pm_machine *first;

    (void)state;
    pm_scheduler_encode_ledger(fixture.scheduler, 1e9, 1e9, &buf);
    item = pm_cbor_parse(buf.data, buf.size);
    assert_true(json_size(&buf) <= VALUE_BYTES_MAX);
    /* A new leader, which knows no cached images, restores those that fit into the value. */
    first = pm_workers_find(fixture.workers, "i-100000");
    first->images.count = 0;
    pm_scheduler_decode_cached_images(fixture.scheduler, item);
    assert_true(first->images.count > 0);
    assert_int_equal(first->images.cached[0].image,
                     pm_names_find(fixture.tables.image_names, "img-00"));
    pm_cbor_free(item);
}

/* Asserts that the value of the whole chunk is at most VALUE_BYTES_MAX long, and that of each half
 * of the chunk at most half as long. */
static void assert_chunk_fits(const struct pm_job *job, int chunk)
{
    struct pm_buffer buf = {0};

    pm_chunk_encode(&fixture.tables, job, chunk, -1, &buf);
    assert_true(json_size(&buf) <= VALUE_BYTES_MAX);
    for (int half = 0; half < 2; half++) {
        pm_buffer_free(&buf);
        pm_chunk_encode(&fixture.tables, job, chunk, half, &buf);
        assert_true(json_size(&buf) <= VALUE_BYTES_MAX / 2);
    }
}

static void assert_commands_fit(struct pm_machine *machine)
{
    struct pm_buffer buf = {0};

    for (guint i = 0; i < machine->placements->len; i++)
        placement_at(machine, i)->state = PM_PLACEMENT_DURABLE;
    assert_int_equal(pm_workers_encode_commands(machine, PM_COMMAND_PUSH,
                                                (struct pm_fencing_range){1, 1}, 1, &buf),
                     4);
    assert_true(json_size(&buf) <= ANSWER_BYTES_MAX);
}

/* An array of the largest size is placed over several plans, and a small array at the same time.
 * The value of each chunk and the commands to each machine stay within their limits, also with a
 * large attempt number. */
static void largest_array_is_placed_in_bounded_plans(void **state)
{
    struct pm_job *large = feed_array("job-000000000000000000000001", PM_JOB_TASKS_MAX);
    const struct pm_job *small = feed_array("job-2", 8);
    uint32_t before = 0;
    int rounds = 0;

    (void)state;
    do {
        uint32_t placed;
        pm_scheduler_run_plan(fixture.scheduler, NOW, NOW);
        placed = large->work.placed_count + small->work.placed_count;
        assert_true(placed - before <= PLAN_ACTIONS_MAX);
        before = placed;
    } while (++rounds < 200 && large->work.placed_count < 4 * MACHINES - 8);
    assert_int_equal(small->work.placed_count, 8);
    assert_int_equal(large->work.placed_count, 4 * MACHINES - 8);
    large->work.last_attempt = 9999999;
    for (int i = 0; i < large->chunk_count; i++)
        if (large->chunks[i] && large->chunks[i]->tasks)
            assert_chunk_fits(large, i);
    for (int i = 0; i < MACHINES; i += 61)
        assert_commands_fit(pm_workers_at(fixture.workers, i));
}

/* Makes the first `count` machines on-demand machines that each run one old replica, and all others
 * spot machines. All machines cache the job's image. */
static void add_replicas(struct pm_job *job, int count)
{
    fixture.tables.types[0].price = 1;
    for (int i = 0; i < MACHINES; i++) {
        struct pm_machine *machine = pm_workers_at(fixture.workers, i);
        machine->spot = i >= count;
        machine->provider.rented_at = NOW - 200;
        machine->images.count = 1;
        machine->images.cached[0].image = job->spec->image;
        if (i < count)
            pm_workers_add_placement(fixture.workers, job, (uint32_t)i, machine, 1, 1,
                                     PM_PLACEMENT_RUNNING, NOW - 100)
                ->running_since = NOW - 100;
    }
}

/* Each of 400 on-demand machines runs one replica, and all machines cache the image. Several
 * machines are drained at a time: at one per second, most of them would stay nearly empty for
 * minutes. The free capacity of a machine is reserved for one moved replica only. */
static void large_fleet_is_drained_several_machines_at_a_time(void **state)
{
    enum { REPLICAS = 400 };
    struct pm_spec spec = {.zone = -1,
                           .allowed_types = ~(uint64_t)0,
                           .kind = PM_WORKLOAD_SERVICE,
                           .priority = PM_PRIORITY_PRODUCTION,
                           .task_count = REPLICAS,
                           .cpus = 2,
                           .ram_gb = 4,
                           .deadline_s = -1,
                           .submitted_wall = NOW - 200};
    struct pm_job *job = feed_live_job(&fixture.tables, fixture.jobs, "job-1", &spec, 1);
    int draining = 0;

    (void)state;
    add_replicas(job, REPLICAS);
    pm_scheduler_begin_plan(fixture.scheduler, NOW, NOW);
    pm_scheduler_consolidate(fixture.scheduler, NOW);
    for (int i = 0; i < REPLICAS; i++) {
        const struct pm_machine *machine = pm_workers_at(fixture.workers, i);
        draining += machine->reservation.draining;
        for (guint k = 0; machine->reservation.draining && k < machine->placements->len; k++)
            assert_true(placement_at(machine, k)->should_stop);
    }
    assert_in_range(draining, 4, REPLICAS / 20);
}

/* All tasks on a machine are preempted for one task that needs the whole machine, even if they are
 * many and small. */
static void machine_full_of_small_tasks_is_cleared(void **state)
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
    struct pm_job *small = feed_live_job(&fixture.tables, fixture.jobs, "job-1", &spec, 1);
    struct pm_machine *machine = pm_workers_at(fixture.workers, 0);
    uint32_t stopped = 0;

    (void)state;
    for (int i = 1; i < MACHINES; i++)
        pm_workers_at(fixture.workers, i)->state = PM_MACHINE_BOOTING;
    for (uint32_t i = 0; i < TASKS; i++)
        pm_workers_add_placement(fixture.workers, small, i, machine, 1, 1, PM_PLACEMENT_RUNNING,
                                 NOW - 50)
            ->running_since = NOW - 50;
    spec.priority = PM_PRIORITY_NORMAL;
    spec.task_count = 1;
    spec.cpus = 16;
    spec.ram_gb = 64;
    feed_live_job(&fixture.tables, fixture.jobs, "job-2", &spec, 2);
    pm_scheduler_run_plan(fixture.scheduler, NOW, NOW);
    for (guint i = 0; i < machine->placements->len; i++)
        stopped += placement_at(machine, i)->should_stop;
    assert_int_equal(stopped, TASKS);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(large_fleet_is_drained_several_machines_at_a_time, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(machine_full_of_small_tasks_is_cleared, set_up, tear_down),
        cmocka_unit_test_setup_teardown(ledger_fits_into_its_value, set_up, tear_down),
        cmocka_unit_test_setup_teardown(largest_array_is_placed_in_bounded_plans, set_up,
                                        tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
