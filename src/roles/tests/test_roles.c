/* Two instances of the roles module in one process, as two controllers, share one fake state
 * service. Guards against a role that two controllers use at the same time, and against writes of a
 * replaced holder that take effect. */
#include "base/keys.h"
#include "testing/fake_store.h"
#include "base/clock.h"
#include "roles/roles.h"

#include <ev.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define TTL_S 2.0

struct controller {
    struct pm_settings settings;
    struct pm_roles_setting setting;
    struct pm_store *store;
    struct pm_roles *roles;
    struct pm_roles_conditions conditions;
    uint64_t epoch_revision; /* revision of p/epoch in the replica */
    int acquired_count, drained_count[PM_ROLE_COUNT];
    int written_count, refused_count;
    char last_intent[PM_INTENT_NAME_SIZE];
};

static struct ev_loop *loop;
static struct fake_store *state_service;
static struct pm_http_client *http_client;
static struct controller first, second;
static uint64_t put_revision; /* revision of the last put_number */

static void on_put(void *arg, const char *key, const cbor_item_t *value, uint64_t revision)
{
    struct controller *controller = arg;

    if (!strcmp(key, "p/epoch"))
        controller->epoch_revision = revision;
    else
        pm_roles_apply_put(controller->roles, key, value, revision);
}

static void on_delete(void *arg, const char *key, uint64_t revision)
{
    pm_roles_apply_delete(((struct controller *)arg)->roles, key, revision);
}

static void on_snapshot_begin(void *arg)
{
    pm_roles_snapshot_begin(((struct controller *)arg)->roles);
}

static void on_snapshot_end(void *arg)
{
    pm_roles_snapshot_end(((struct controller *)arg)->roles);
}

static void on_caught_up(void *arg, uint64_t store_revision)
{
    (void)arg;
    (void)store_revision;
}

static void on_acquired(void *arg)
{
    ((struct controller *)arg)->acquired_count++;
}

static void on_drained(void *arg, enum pm_role role)
{
    ((struct controller *)arg)->drained_count[role]++;
}

static void start_controller(struct controller *controller, const char *name, const char *boot,
                             const char *addr)
{
    memset(controller, 0, sizeof *controller);
    snprintf(controller->settings.name, sizeof controller->settings.name, "%s", name);
    controller->settings.store_txn_ops = 12;
    controller->setting = (struct pm_roles_setting){.enabled = true, .ttl_s = TTL_S};
    controller->store =
        pm_store_new(loop, http_client, addr, 1000,
                     &(struct pm_store_observer){on_put, on_delete, on_snapshot_begin,
                                                 on_snapshot_end, on_caught_up, controller});
    controller->roles =
        pm_roles_new(controller->store, &controller->settings, &controller->setting, boot, NULL,
                     NULL, &(struct pm_roles_hooks){on_acquired, on_drained, controller});
    controller->conditions.is_supported = true;
}

static bool is_past(void *arg)
{
    return pm_clock_monotonic() > *(double *)arg;
}

static void run_for(double seconds)
{
    double end_at = pm_clock_monotonic() + seconds;

    event_loop_run_until(loop, is_past, &end_at);
}

static void tick(struct controller *controller)
{
    controller->conditions.epoch_revision = controller->epoch_revision;
    pm_roles_tick(controller->roles, &controller->conditions, pm_clock_monotonic());
}

static bool has_role(struct controller *controller, enum pm_role role)
{
    return pm_roles_is_holder(controller->roles, role, pm_clock_monotonic());
}

static bool first_has_scale_in(void *arg)
{
    (void)arg;
    tick(&first);
    return has_role(&first, PM_ROLE_SCALE_IN);
}

static bool second_has_scale_in(void *arg)
{
    (void)arg;
    tick(&second);
    return has_role(&second, PM_ROLE_SCALE_IN);
}

static bool first_has_garbage_collection(void *arg)
{
    (void)arg;
    tick(&first);
    return has_role(&first, PM_ROLE_GARBAGE_COLLECTION);
}

static void on_put_done(void *arg, enum pm_store_result result, uint64_t store_revision,
                        const cbor_item_t *conflicting_keys)
{
    (void)arg;
    (void)conflicting_keys;
    put_revision = result == PM_STORE_OK ? store_revision : 0;
}

static bool is_put(void *arg)
{
    (void)arg;
    return put_revision > 0;
}

/* Puts a map of one number under the key, bypassing the roles module. */
static void put_number(const char *key, const char *name, uint64_t number)
{
    struct pm_txn txn = {0};

    put_revision = 0;
    pm_txn_put_begin(&txn, key);
    pm_cbor_put_map(&txn.writes);
    pm_cbor_put_pair_uint(&txn.writes, name, number);
    pm_cbor_put_end(&txn.writes);
    pm_txn_put_end(&txn, 0);
    pm_store_commit(first.store, &txn, on_put_done, NULL);
    assert_true(event_loop_run_until(loop, is_put, NULL));
}

static bool has_put_epoch(void *arg)
{
    const struct controller *controller = arg;

    return controller->epoch_revision == put_revision;
}

/* Makes the controller the leader. The other one is told only by its watch, which shows the new
 * epoch. */
static void make_leader(struct controller *controller, uint64_t epoch)
{
    put_number("p/epoch", "epoch", epoch);
    assert_true(event_loop_run_until(loop, has_put_epoch, controller));
    controller->conditions.is_leader = true;
}

static int set_up(void **arg)
{
    (void)arg;
    loop = ev_loop_new(EVFLAG_AUTO);
    state_service = fake_store_new(loop);
    fake_store_expire_leases(state_service);
    http_client = pm_http_client_new(loop, 16);
    start_controller(&first, "node-0", "boot-a", fake_store_second_addr(state_service));
    start_controller(&second, "node-1", "boot-b", fake_store_addr(state_service));
    make_leader(&first, 1);
    assert_true(event_loop_run_until(loop, first_has_scale_in, NULL));
    return 0;
}

/* The loop, the client and the service still have requests in flight, so they are not freed until
 * the process ends. */
static int tear_down(void **arg)
{
    static GPtrArray *kept;

    (void)arg;
    if (!kept)
        kept = g_ptr_array_new();
    g_ptr_array_add(kept, loop);
    g_ptr_array_add(kept, http_client);
    g_ptr_array_add(kept, state_service);
    pm_roles_free(first.roles);
    pm_roles_free(second.roles);
    return 0;
}

static void on_intent_written(void *arg, const char *name)
{
    struct controller *controller = arg;

    controller->written_count += name != NULL;
    controller->refused_count += name == NULL;
    if (name)
        g_strlcpy(controller->last_intent, name, sizeof controller->last_intent);
}

static bool write_intent(struct controller *controller, const char *machine)
{
    struct pm_intent *intent = pm_intent_new(PM_ROLE_SCALE_IN);

    g_ptr_array_add(intent->machines, g_strdup(machine));
    return pm_roles_write_intent(controller->roles, intent, on_intent_written, controller,
                                 pm_clock_monotonic());
}

static bool has_write_result(void *arg)
{
    const struct controller *controller = arg;

    return controller->written_count + controller->refused_count > 0;
}

static guint count_open_intents(const struct controller *controller)
{
    GPtrArray *open = pm_roles_open_intents(controller->roles, PM_ROLE_SCALE_IN);
    guint count = open->len;

    g_ptr_array_free(open, TRUE);
    return count;
}

/* ---- leases and fencing tokens ---- */

static void leader_has_the_roles_bound_to_it(void **arg)
{
    (void)arg;
    assert_true(has_role(&first, PM_ROLE_SCALE_OUT));
    assert_int_equal(pm_roles_token(first.roles, PM_ROLE_SCALE_OUT),
                     fake_store_revision(state_service, "p/duty/rent"));
    assert_false(has_role(&second, PM_ROLE_SCALE_OUT));
}

/* Guards against a change of the stored bytes, which are those of protocol version 5 for {holder:
 * "node-0", boot: "boot-a", lease: 1}. */
static void holder_is_encoded_as_recorded(void **arg)
{
    char *written = fake_store_value_hex(state_service, "p/duty/rent");

    (void)arg;
    assert_string_equal(written,
                        "bf66686f6c646572666e6f64652d3064626f6f7466626f6f742d61656c6561736501ff");
    g_free(written);
}

/* The next leader does not wait for the lease of the previous one to expire, and gets a higher
 * fencing token. */
static void next_leader_acquires_roles_at_once(void **arg)
{
    uint64_t token_before = pm_roles_token(first.roles, PM_ROLE_SCALE_IN);
    double started_at = pm_clock_monotonic();

    (void)arg;
    make_leader(&second, 2);
    assert_true(event_loop_run_until(loop, second_has_scale_in, NULL));
    assert_true(pm_clock_monotonic() - started_at < TTL_S * 0.8);
    assert_true(pm_roles_token(second.roles, PM_ROLE_SCALE_IN) > token_before);
    run_for(0.1); /* until the first controller's watch shows the change */
    assert_false(has_role(&first, PM_ROLE_SCALE_IN));
}

/* A holder counts the TTL from when it sent the keep-alive, less the clock drift, so that the lease
 * expires for the holder before it expires in the state service. */
static void lease_expires_by_the_monotonic_clock(void **arg)
{
    double now = pm_clock_monotonic();
    double valid_until = pm_roles_valid_until(first.roles, PM_ROLE_SCALE_OUT);

    (void)arg;
    assert_true(valid_until <= now + TTL_S * (1 - 2 * PM_CLOCK_DRIFT_MAX));
    assert_true(pm_roles_is_holder(first.roles, PM_ROLE_SCALE_OUT, valid_until - 0.001));
    assert_false(pm_roles_is_holder(first.roles, PM_ROLE_SCALE_OUT, valid_until));
}

static void role_is_lost_without_keep_alives(void **arg)
{
    (void)arg;
    run_for(TTL_S + 0.3); /* no tick, so no keep-alive is sent */
    assert_int_equal(fake_store_revision(state_service, "p/duty/rent"), 0);
    assert_false(has_role(&first, PM_ROLE_SCALE_OUT));
    assert_false(write_intent(&first, "i-1"));
}

static void role_outlasts_the_ttl_with_keep_alives(void **arg)
{
    uint64_t token = pm_roles_token(first.roles, PM_ROLE_SCALE_OUT);

    (void)arg;
    for (int i = 0; i < 20; i++) {
        run_for(TTL_S / 10);
        tick(&first);
    }
    assert_true(has_role(&first, PM_ROLE_SCALE_OUT));
    assert_int_equal(pm_roles_token(first.roles, PM_ROLE_SCALE_OUT), token);
}

static void roles_are_inactive_until_all_support_them(void **arg)
{
    (void)arg;
    second.conditions.is_supported = false;
    second.conditions.is_leader = true;
    tick(&second);
    assert_false(pm_roles_is_active(second.roles));
    assert_true(pm_roles_is_active(first.roles));
}

/* A controller whose settings disable roles is active as long as intents of other controllers are
 * open, so that it can complete them. */
static void disabled_controller_is_active_while_intents_are_open(void **arg)
{
    (void)arg;
    second.setting.enabled = false;
    tick(&second);
    assert_false(pm_roles_is_active(second.roles));
    assert_true(write_intent(&first, "i-1"));
    assert_true(event_loop_run_until(loop, has_write_result, &first));
    run_for(0.1);
    assert_true(pm_roles_is_active(second.roles));
    pm_roles_close_intent(first.roles, first.last_intent, pm_clock_monotonic());
    tick(&first);
    run_for(0.1);
    assert_false(pm_roles_is_active(second.roles));
}

/* A malformed value of a holder's key is kept, and the controller does not acquire that role. Other
 * roles are not affected. */
static void unreadable_holder_is_left_in_place(void **arg)
{
    (void)arg;
    put_number("p/duty/clean", "nonsense", 1);
    for (int i = 0; i < 12; i++) {
        run_for(0.5);
        tick(&first);
    }
    assert_int_equal(fake_store_revision(state_service, "p/duty/clean"), put_revision);
    assert_false(has_role(&first, PM_ROLE_GARBAGE_COLLECTION));
    assert_true(has_role(&first, PM_ROLE_SCALE_OUT));
}

/* ---- draining ---- */

static void drained_role_is_released_once(void **arg)
{
    (void)arg;
    assert_true(event_loop_run_until(loop, first_has_garbage_collection, NULL));
    put_number("p/drain/clean", "token", pm_roles_token(first.roles, PM_ROLE_GARBAGE_COLLECTION));
    run_for(0.1);
    tick(&first);
    run_for(0.2);
    assert_int_equal(first.drained_count[PM_ROLE_GARBAGE_COLLECTION], 1);
    assert_int_equal(fake_store_revision(state_service, "p/drain/clean"), 0);
    tick(&first);
    run_for(0.8);
    tick(&first); /* in back-off, so it does not acquire the role again */
    assert_false(has_role(&first, PM_ROLE_GARBAGE_COLLECTION));
    assert_true(has_role(&first, PM_ROLE_SCALE_OUT));
}

/* The drain request names the fencing token of an earlier holder. */
static void stale_drain_request_is_ignored(void **arg)
{
    (void)arg;
    put_number("p/drain/rent", "token", pm_roles_token(first.roles, PM_ROLE_SCALE_OUT) - 1);
    run_for(0.1);
    tick(&first);
    run_for(0.1);
    assert_true(has_role(&first, PM_ROLE_SCALE_OUT));
    assert_int_equal(first.drained_count[PM_ROLE_SCALE_OUT], 0);
}

/* ---- intents ---- */

static void intent_reaches_all_replicas_and_is_closed(void **arg)
{
    (void)arg;
    assert_true(write_intent(&first, "i-1"));
    assert_true(event_loop_run_until(loop, has_write_result, &first));
    assert_int_equal(first.written_count, 1);
    run_for(0.1);
    assert_int_equal(count_open_intents(&second), 1);
    pm_roles_close_intent(first.roles, first.last_intent, pm_clock_monotonic());
    tick(&first);
    run_for(0.1);
    assert_int_equal(count_open_intents(&first), 0);
    assert_int_equal(count_open_intents(&second), 0);
}

/* A holder that does not know yet that it was replaced can't make an intent durable. The first
 * controller's watches hang, so it does not see its successor. */
static void intent_of_a_stale_holder_is_refused(void **arg)
{
    (void)arg;
    fake_store_set_second_addr_mode(state_service, FAKE_STORE_ADDR_HOLDS_WATCHES);
    make_leader(&second, 2);
    assert_true(event_loop_run_until(loop, second_has_scale_in, NULL));
    first.epoch_revision = put_revision; /* so that only the fencing token conflicts */
    tick(&first);
    assert_true(has_role(&first, PM_ROLE_SCALE_IN)); /* by its own, outdated knowledge */
    assert_true(write_intent(&first, "i-1"));
    assert_true(event_loop_run_until(loop, has_write_result, &first));
    assert_int_equal(first.refused_count, 1);
    assert_int_equal(count_open_intents(&second), 0);
    fake_store_set_second_addr_mode(state_service, FAKE_STORE_ADDR_SERVES);
}

/* The delayed write of an intent is executed after the role has another holder, and conflicts. */
static void late_intent_conflicts(void **arg)
{
    (void)arg;
    fake_store_delay_next_txn(state_service, PM_KEY_INTENT_PREFIX);
    assert_true(write_intent(&first, "i-1"));
    assert_true(event_loop_run_until(loop, has_write_result, &first));
    assert_int_equal(first.refused_count, 1);
    make_leader(&second, 2);
    assert_true(event_loop_run_until(loop, second_has_scale_in, NULL));
    fake_store_execute_delayed_txn(state_service);
    run_for(0.1);
    assert_int_equal(count_open_intents(&second), 0);
}

/* The write of an intent is executed but its answer is lost. The watch shows the intent, which is
 * open on both controllers and can be completed. */
static void intent_with_a_lost_answer_is_open(void **arg)
{
    (void)arg;
    fake_store_lose_next_answer(state_service);
    assert_true(write_intent(&first, "i-1"));
    assert_true(event_loop_run_until(loop, has_write_result, &first));
    run_for(0.2);
    assert_int_equal(count_open_intents(&first), 1);
    assert_int_equal(count_open_intents(&second), 1);
}

/* A malformed intent is logged and not open, and its key is kept. Other intents are unaffected. */
static void malformed_intent_is_left_in_place(void **arg)
{
    (void)arg;
    put_number(PM_KEY_INTENT_PREFIX "return-1-1", "token", 1);
    run_for(0.1);
    assert_int_equal(count_open_intents(&first), 0);
    assert_true(write_intent(&first, "i-1"));
    assert_true(event_loop_run_until(loop, has_write_result, &first));
    assert_int_equal(count_open_intents(&first), 1);
    assert_int_equal(fake_store_revision(state_service, PM_KEY_INTENT_PREFIX "return-1-1"),
                     put_revision);
}

static void resync_keeps_what_is_still_stored(void **arg)
{
    (void)arg;
    assert_true(write_intent(&first, "i-1"));
    assert_true(event_loop_run_until(loop, has_write_result, &first));
    run_for(0.1);
    pm_store_resync(second.store);
    run_for(0.2);
    assert_int_equal(count_open_intents(&second), 1);
    assert_true(first_has_scale_in(NULL));
    pm_store_resync(first.store);
    run_for(0.2);
    assert_true(has_role(&first, PM_ROLE_SCALE_IN)); /* the snapshot contained its own key */
    assert_int_equal(count_open_intents(&first), 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(leader_has_the_roles_bound_to_it, set_up, tear_down),
        cmocka_unit_test_setup_teardown(holder_is_encoded_as_recorded, set_up, tear_down),
        cmocka_unit_test_setup_teardown(next_leader_acquires_roles_at_once, set_up, tear_down),
        cmocka_unit_test_setup_teardown(lease_expires_by_the_monotonic_clock, set_up, tear_down),
        cmocka_unit_test_setup_teardown(role_is_lost_without_keep_alives, set_up, tear_down),
        cmocka_unit_test_setup_teardown(role_outlasts_the_ttl_with_keep_alives, set_up, tear_down),
        cmocka_unit_test_setup_teardown(roles_are_inactive_until_all_support_them, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(disabled_controller_is_active_while_intents_are_open,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(unreadable_holder_is_left_in_place, set_up, tear_down),
        cmocka_unit_test_setup_teardown(drained_role_is_released_once, set_up, tear_down),
        cmocka_unit_test_setup_teardown(stale_drain_request_is_ignored, set_up, tear_down),
        cmocka_unit_test_setup_teardown(intent_reaches_all_replicas_and_is_closed, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(intent_of_a_stale_holder_is_refused, set_up, tear_down),
        cmocka_unit_test_setup_teardown(late_intent_conflicts, set_up, tear_down),
        cmocka_unit_test_setup_teardown(intent_with_a_lost_answer_is_open, set_up, tear_down),
        cmocka_unit_test_setup_teardown(malformed_intent_is_left_in_place, set_up, tear_down),
        cmocka_unit_test_setup_teardown(resync_keeps_what_is_still_stored, set_up, tear_down),
    };

    cmocka_set_test_filter(g_getenv("PM_TEST_FILTER"));
    return cmocka_run_group_tests(tests, NULL, NULL);
}
