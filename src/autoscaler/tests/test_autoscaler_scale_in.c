/* Tests which machines are marked for termination: those in silent zones, lost machines and idle
 * machines. */
#include "autoscaler_fixtures.h"

#include <math.h>

/* ---- zones that were silent before this leader was elected ---- */

enum { LEDGER_WALL_NOW = 9000 }; /* time of day in the tests with a ledger */
enum { ELECTED_AGE_S = 5 };      /* time since the election of this leader */

/* What this leader knows of zone "a", which has the machine under test, and of another zone. */
struct zone_knowledge {
    double message_ago_s;         /* time since the previous leader's last message from "a" */
    double written_ago_s;         /* time since the previous leader's ledger was written */
    bool zone_a_has_reported;     /* this leader has received a heartbeat from "a" */
    bool other_zone_has_reported; /* this leader has received a heartbeat from the other zone */
};

static cbor_item_t *make_ledger(const struct zone_knowledge *knowledge)
{
    struct pm_buffer buf = {0};
    cbor_item_t *ledger;

    pm_cbor_put_map(&buf);
    pm_cbor_put_pair_number(&buf, "day", LEDGER_WALL_NOW - knowledge->written_ago_s);
    pm_cbor_put_text(&buf, "heard");
    pm_cbor_put_map(&buf);
    pm_cbor_put_pair_number(&buf, "a", LEDGER_WALL_NOW - knowledge->message_ago_s);
    pm_cbor_put_end(&buf);
    pm_cbor_put_end(&buf);
    ledger = pm_cbor_parse(buf.data, buf.size);
    pm_buffer_free(&buf);
    return ledger;
}

static struct pm_machine *add_machine_in_zone(const char *name, int zone, bool machine_has_reported,
                                              double age_s)
{
    struct pm_machine *machine = pm_workers_find_or_add(workers, name);

    pm_workers_set_type(workers, machine, SMALL_TYPE);
    machine->zone = zone;
    machine->state = PM_MACHINE_UP;
    machine->heartbeat.has_reported = machine_has_reported;
    machine->heartbeat.last_message_at = machine->provider.rented_at = NOW - age_s;
    return machine;
}

/* Marks the machines to terminate. Returns the state of a machine in "a" that has a placement. */
static enum pm_machine_state mark_silent_zone(const struct zone_knowledge *knowledge)
{
    struct pm_spec spec = {
        .zone = -1, .allowed_types = 1, .task_count = 1, .cpus = 1, .deadline_s = -1};
    struct pm_machine *machine;
    struct pm_job *job;
    cbor_item_t *ledger;

    settings.lease_s = 44;
    settings.zone_count = 2;
    strcpy(settings.zone_names[1], "b");
    machine = add_machine_in_zone("i-000001", 0, knowledge->zone_a_has_reported, 10);
    add_machine_in_zone("i-000002", 1, knowledge->other_zone_has_reported, 0);
    job = feed_live_job(&tables, jobs, "job-1", &spec, ++revision);
    pm_workers_add_placement(workers, job, 0, machine, 1, 1, PM_PLACEMENT_DURABLE, NOW);
    ledger = make_ledger(knowledge);
    pm_autoscaler_decode_silent_zones(autoscaler, ledger, NOW - ELECTED_AGE_S,
                                      LEDGER_WALL_NOW - ELECTED_AGE_S);
    pm_cbor_free(ledger);
    pm_autoscaler_set_writable(autoscaler, true, NOW);
    pm_autoscaler_mark_scale_in(autoscaler, NOW);
    return machine->state;
}

/* A leader that is elected while a zone is partitioned does not wait for a whole lease after its
 * own election, during which half of all replicas would be missing. */
static void zone_silent_for_a_lease_is_terminated(void **state)
{
    (void)state;
    assert_int_equal(mark_silent_zone(&(struct zone_knowledge){46, 20, false, true}),
                     PM_MACHINE_TERMINATING);
}

static void zone_silent_for_less_is_kept(void **state)
{
    (void)state;
    assert_int_equal(mark_silent_zone(&(struct zone_knowledge){30, 10, false, true}),
                     PM_MACHINE_UP);
}

static void zone_that_reports_is_kept(void **state)
{
    (void)state;
    assert_int_equal(mark_silent_zone(&(struct zone_knowledge){46, 20, true, true}), PM_MACHINE_UP);
}

/* The ledger is old: it was written just after the zone's last message. The zone was not silent
 * then, and may have sent messages long after that. */
static void stale_ledger_is_ignored(void **state)
{
    (void)state;
    assert_int_equal(mark_silent_zone(&(struct zone_knowledge){46, 45, false, true}),
                     PM_MACHINE_UP);
}

static void leader_without_any_heartbeat_terminates_nothing(void **state)
{
    (void)state;
    assert_int_equal(mark_silent_zone(&(struct zone_knowledge){46, 20, false, false}),
                     PM_MACHINE_UP);
}

/* ---- idle machines ---- */

/* In a large fleet, idle machines are an excess. In a small one, the next job often needs the
 * machine that the last job has left. */
static void idle_timeout_is_shorter_with_many_machines(void **state)
{
    (void)state;
    operator_settings.idle_return_s = 25;
    assert_true(pm_autoscaler_idle_timeout_s(&operator_settings, 0) == 25 &&
                pm_autoscaler_idle_timeout_s(&operator_settings, 50) == 25);
    assert_true(pm_autoscaler_idle_timeout_s(&operator_settings, 200) == 12.5);
    assert_true(fabs(pm_autoscaler_idle_timeout_s(&operator_settings, 2250) - 7) < 1e-9);
}

/* ---- machines in shards ---- */

/* The worker of a machine in a shard reports to the shard's owner. The leader must not terminate
 * the machine because of what the leader itself observed earlier: an answer to a push after the
 * last heartbeat, or pushes without an answer. */
static void silence_of_a_machine_in_a_shard_is_judged_by_the_owner(void **state)
{
    struct pm_machine *owned = pm_workers_find_or_add(workers, "i-000001");
    struct pm_machine *other = pm_workers_find_or_add(workers, "i-000002");

    (void)state;
    settings.heartbeat_s = 5;
    for (int i = 0; i < 2; i++) {
        struct pm_machine *machine = i ? other : owned;
        pm_workers_set_type(workers, machine, SMALL_TYPE);
        machine->zone = 0;
        machine->state = PM_MACHINE_UP;
        machine->heartbeat.has_reported = machine->provider.is_listed = true;
        machine->heartbeat.last_message_at = machine->heartbeat.last_heartbeat_at =
            machine->provider.rented_at = NOW;
    }
    owned->shard.assigned_to = 1;
    owned->heartbeat.last_heartbeat_at = NOW - 60;
    owned->heartbeat.last_message_at = NOW - 59;
    assert_true(pm_machine_only_answers_pushes(owned, &settings, NOW));
    pm_autoscaler_set_writable(autoscaler, true, NOW - 60);
    pm_autoscaler_mark_scale_in(autoscaler, NOW);
    assert_int_equal(owned->state, PM_MACHINE_UP);
    owned->heartbeat.last_heartbeat_at = owned->heartbeat.last_message_at;
    pm_machine_note_delivery_failure(owned, "a push has no answer", NOW - 62);
    pm_machine_note_delivery_failure(owned, "a push has no answer", NOW - 60);
    assert_true(pm_machine_is_unreachable(owned, NOW));
    pm_autoscaler_mark_scale_in(autoscaler, NOW);
    assert_int_equal(owned->state, PM_MACHINE_UP);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(zone_silent_for_a_lease_is_terminated, set_up, tear_down),
        cmocka_unit_test_setup_teardown(zone_silent_for_less_is_kept, set_up, tear_down),
        cmocka_unit_test_setup_teardown(zone_that_reports_is_kept, set_up, tear_down),
        cmocka_unit_test_setup_teardown(stale_ledger_is_ignored, set_up, tear_down),
        cmocka_unit_test_setup_teardown(leader_without_any_heartbeat_terminates_nothing, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(idle_timeout_is_shorter_with_many_machines, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(silence_of_a_machine_in_a_shard_is_judged_by_the_owner,
                                        set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
