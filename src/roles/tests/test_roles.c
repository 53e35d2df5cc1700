/* Duties of two controllers in one process, over one stand-in state service: who holds them, until
 * when, and what of a holder that was replaced is refused. */
#include "testing/fake_state.h"
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
    struct pm_roles *duties;
    struct pm_roles_conditions grounds;
    uint64_t epoch_revision; /* of p/epoch, as the replica has it */
    int taken, drained[PM_ROLE_COUNT];
    int intended, refused;
    char intent[PM_INTENT_NAME];
};

static struct ev_loop *loop;
static struct fake_state *state;
static struct pm_http_client *http;
static struct controller first, second;
static uint64_t put_revision; /* of the last transaction of a test's own */

static void on_put(void *arg, const char *key, const cbor_item_t *value, uint64_t revision)
{
    struct controller *c = arg;

    if (!strcmp(key, "p/epoch"))
        c->epoch_revision = revision;
    else
        pm_roles_apply_put(c->duties, key, value, revision);
}

static void on_drop(void *arg, const char *key, uint64_t revision)
{
    pm_roles_apply_delete(((struct controller *)arg)->duties, key, revision);
}

static void on_begin(void *arg)
{
    pm_roles_snapshot_begin(((struct controller *)arg)->duties);
}

static void on_listed(void *arg)
{
    pm_roles_snapshot_end(((struct controller *)arg)->duties);
}

static void on_caught_up(void *arg, uint64_t store_revision)
{
    (void)arg;
    (void)store_revision;
}

static void on_taken(void *arg)
{
    ((struct controller *)arg)->taken++;
}

static void on_drained(void *arg, enum pm_role duty)
{
    ((struct controller *)arg)->drained[duty]++;
}

static void start(struct controller *c, const char *name, const char *boot, const char *addr)
{
    memset(c, 0, sizeof *c);
    snprintf(c->settings.name, sizeof c->settings.name, "%s", name);
    c->settings.store_txn_ops = 12;
    c->setting = (struct pm_roles_setting){.enabled = true, .ttl_s = TTL_S};
    c->store = pm_store_new(
        loop, http, addr, 1000,
        &(struct pm_store_observer){on_put, on_drop, on_begin, on_listed, on_caught_up, c});
    c->duties = pm_roles_new(c->store, &c->settings, &c->setting, boot, NULL, NULL,
                             &(struct pm_roles_hooks){on_taken, on_drained, c});
    c->grounds.is_supported = true;
}

static bool never(void *arg)
{
    return pm_clock_monotonic() > *(double *)arg;
}

static void run_for(double seconds)
{
    double until = pm_clock_monotonic() + seconds;

    fake_run_until(loop, never, &until);
}

static void tick(struct controller *c)
{
    c->grounds.epoch_revision = c->epoch_revision;
    pm_roles_tick(c->duties, &c->grounds, pm_clock_monotonic());
}

static bool holds(struct controller *c, enum pm_role duty)
{
    return pm_roles_holds(c->duties, duty, pm_clock_monotonic());
}

static bool first_holds_return(void *arg)
{
    (void)arg;
    tick(&first);
    return holds(&first, PM_ROLE_SCALE_IN);
}

static bool second_holds_return(void *arg)
{
    (void)arg;
    tick(&second);
    return holds(&second, PM_ROLE_SCALE_IN);
}

static bool first_cleans(void *arg)
{
    (void)arg;
    tick(&first);
    return holds(&first, PM_ROLE_GARBAGE_COLLECTION);
}

static void on_put_done(void *arg, enum pm_store_result result, uint64_t store_revision,
                        const cbor_item_t *failed)
{
    (void)arg;
    (void)failed;
    put_revision = result == PM_STORE_OK ? store_revision : 0;
}

static bool is_put(void *arg)
{
    (void)arg;
    return put_revision > 0;
}

/* Puts a map of one number under the key, past the duties. */
static void put_number(const char *key, const char *name, uint64_t number)
{
    struct pm_txn txn = {0};

    put_revision = 0;
    pm_txn_put(&txn, key);
    pm_put_map(&txn.writes);
    pm_put_pair_count(&txn.writes, name, number);
    pm_put_end(&txn.writes);
    pm_txn_put_end(&txn, 0);
    pm_store_commit(first.store, &txn, on_put_done, NULL);
    assert_true(fake_run_until(loop, is_put, NULL));
}

static bool knows_epoch(void *arg)
{
    const struct controller *c = arg;

    return c->epoch_revision == put_revision;
}

/* One of them leads from now on, the other does not know better than before. */
static void lead(struct controller *c, uint64_t epoch)
{
    put_number("p/epoch", "epoch", epoch);
    assert_true(fake_run_until(loop, knows_epoch, c));
    c->grounds.is_leader = true;
}

static int set_up(void **arg)
{
    (void)arg;
    loop = ev_loop_new(EVFLAG_AUTO);
    state = fake_state_new(loop);
    fake_state_expire_holds(state);
    http = pm_http_client_new(loop, 16);
    start(&first, "node-0", "boot-a", fake_state_side(state));
    start(&second, "node-1", "boot-b", fake_state_addr(state));
    lead(&first, 1);
    assert_true(fake_run_until(loop, first_holds_return, NULL));
    return 0;
}

/* Calls are under way in them: they last as long as the process. */
static int tear_down(void **arg)
{
    static GPtrArray *kept;

    (void)arg;
    if (!kept)
        kept = g_ptr_array_new();
    g_ptr_array_add(kept, loop);
    g_ptr_array_add(kept, http);
    g_ptr_array_add(kept, state);
    pm_roles_free(first.duties);
    pm_roles_free(second.duties);
    return 0;
}

static void on_intended(void *arg, const char *name)
{
    struct controller *c = arg;

    c->intended += name != NULL;
    c->refused += name == NULL;
    if (name)
        g_strlcpy(c->intent, name, sizeof c->intent);
}

static bool intend(struct controller *c, const char *machine)
{
    struct pm_intent *intent = pm_intent_new(PM_ROLE_SCALE_IN);

    g_ptr_array_add(intent->machines, g_strdup(machine));
    return pm_roles_write_intent(c->duties, intent, on_intended, c, pm_clock_monotonic());
}

static bool is_settled(void *arg)
{
    const struct controller *c = arg;

    return c->intended + c->refused > 0;
}

static guint count_open(const struct controller *c)
{
    GPtrArray *open = pm_roles_open_intents(c->duties, PM_ROLE_SCALE_IN);
    guint count = open->len;

    g_ptr_array_free(open, TRUE);
    return count;
}

/* ---- holding ---- */

static void the_leader_holds_what_follows_the_lead(void **arg)
{
    (void)arg;
    assert_true(holds(&first, PM_ROLE_SCALE_OUT));
    assert_int_equal(pm_roles_token(first.duties, PM_ROLE_SCALE_OUT),
                     fake_state_revision(state, "p/duty/rent"));
    assert_false(holds(&second, PM_ROLE_SCALE_OUT));
}

/* Byte for byte as protocol version 5 writes it: {holder: "node-0", boot: "boot-a", lease: 1}. */
static void a_duty_is_written_as_recorded(void **arg)
{
    char *written = fake_state_hex(state, "p/duty/rent");

    (void)arg;
    assert_string_equal(written,
                        "bf66686f6c646572666e6f64652d3064626f6f7466626f6f742d61656c6561736501ff");
    g_free(written);
}

/* The next leader does not wait for the lease of the one before, and has a higher token. */
static void the_next_leader_takes_them_at_once(void **arg)
{
    uint64_t before = pm_roles_token(first.duties, PM_ROLE_SCALE_IN);
    double began = pm_clock_monotonic();

    (void)arg;
    lead(&second, 2);
    assert_true(fake_run_until(loop, second_holds_return, NULL));
    assert_true(pm_clock_monotonic() - began < TTL_S * 0.8);
    assert_true(pm_roles_token(second.duties, PM_ROLE_SCALE_IN) > before);
    run_for(0.1); /* the watch tells the first */
    assert_false(holds(&first, PM_ROLE_SCALE_IN));
}

/* Counted from when the renewal left, less the drift: without one it ends here before it does in
 * the state service. */
static void a_hold_ends_by_the_steady_clock(void **arg)
{
    double now = pm_clock_monotonic();
    double until = pm_roles_valid_until(first.duties, PM_ROLE_SCALE_OUT);

    (void)arg;
    assert_true(until <= now + TTL_S * (1 - 2 * PM_CLOCK_DRIFT_MAX));
    assert_true(pm_roles_holds(first.duties, PM_ROLE_SCALE_OUT, until - 0.001));
    assert_false(pm_roles_holds(first.duties, PM_ROLE_SCALE_OUT, until));
}

static void a_hold_that_is_not_renewed_is_lost(void **arg)
{
    (void)arg;
    run_for(TTL_S + 0.3); /* nobody ticks */
    assert_int_equal(fake_state_revision(state, "p/duty/rent"), 0);
    assert_false(holds(&first, PM_ROLE_SCALE_OUT));
    assert_false(intend(&first, "i-1"));
}

static void a_hold_outlasts_its_time_to_live_while_renewed(void **arg)
{
    uint64_t token = pm_roles_token(first.duties, PM_ROLE_SCALE_OUT);

    (void)arg;
    for (int i = 0; i < 20; i++) {
        run_for(TTL_S / 10);
        tick(&first);
    }
    assert_true(holds(&first, PM_ROLE_SCALE_OUT));
    assert_int_equal(pm_roles_token(first.duties, PM_ROLE_SCALE_OUT), token);
}

static void nothing_is_written_while_not_all_know_duties(void **arg)
{
    (void)arg;
    second.grounds.is_supported = false;
    second.grounds.is_leader = true;
    tick(&second);
    assert_false(pm_roles_are_active(second.duties));
    assert_true(pm_roles_are_active(first.duties));
}

/* Where duties are switched off, open intents of others are finished all the same; with the last of
 * them it is as if there had been none. */
static void what_others_began_is_kept_to(void **arg)
{
    (void)arg;
    second.setting.enabled = false;
    tick(&second);
    assert_false(pm_roles_are_active(second.duties));
    assert_true(intend(&first, "i-1"));
    assert_true(fake_run_until(loop, is_settled, &first));
    run_for(0.1);
    assert_true(pm_roles_are_active(second.duties));
    pm_roles_close_intent(first.duties, first.intent, pm_clock_monotonic());
    tick(&first);
    run_for(0.1);
    assert_false(pm_roles_are_active(second.duties));
}

/* A value that can't be read is kept, and nobody takes that duty; the others go on. */
static void an_unreadable_holder_is_left_alone(void **arg)
{
    (void)arg;
    put_number("p/duty/clean", "nonsense", 1);
    for (int i = 0; i < 12; i++) {
        run_for(0.5);
        tick(&first);
    }
    assert_int_equal(fake_state_revision(state, "p/duty/clean"), put_revision);
    assert_false(holds(&first, PM_ROLE_GARBAGE_COLLECTION));
    assert_true(holds(&first, PM_ROLE_SCALE_OUT));
}

/* ---- draining ---- */

static void a_drained_duty_is_given_up_once(void **arg)
{
    (void)arg;
    assert_true(fake_run_until(loop, first_cleans, NULL));
    put_number("p/drain/clean", "token", pm_roles_token(first.duties, PM_ROLE_GARBAGE_COLLECTION));
    run_for(0.1);
    tick(&first);
    run_for(0.2);
    assert_int_equal(first.drained[PM_ROLE_GARBAGE_COLLECTION], 1);
    assert_int_equal(fake_state_revision(state, "p/drain/clean"), 0);
    tick(&first);
    run_for(0.8);
    tick(&first); /* it stands back */
    assert_false(holds(&first, PM_ROLE_GARBAGE_COLLECTION));
    assert_true(holds(&first, PM_ROLE_SCALE_OUT));
}

/* The request names a holder that is not there any more. */
static void a_late_request_to_drain_is_not_obeyed(void **arg)
{
    (void)arg;
    put_number("p/drain/rent", "token", pm_roles_token(first.duties, PM_ROLE_SCALE_OUT) - 1);
    run_for(0.1);
    tick(&first);
    run_for(0.1);
    assert_true(holds(&first, PM_ROLE_SCALE_OUT));
    assert_int_equal(first.drained[PM_ROLE_SCALE_OUT], 0);
}

/* ---- intents ---- */

static void an_intent_is_told_to_all_and_closed(void **arg)
{
    (void)arg;
    assert_true(intend(&first, "i-1"));
    assert_true(fake_run_until(loop, is_settled, &first));
    assert_int_equal(first.intended, 1);
    run_for(0.1);
    assert_int_equal(count_open(&second), 1);
    pm_roles_close_intent(first.duties, first.intent, pm_clock_monotonic());
    tick(&first);
    run_for(0.1);
    assert_int_equal(count_open(&first), 0);
    assert_int_equal(count_open(&second), 0);
}

/* Who does not know yet that the duty has passed on can't make anything durable under it. */
static void a_stale_holders_intent_is_refused(void **arg)
{
    (void)arg;
    fake_state_set_side(state, FAKE_WATCHES_HANG);
    lead(&second, 2);
    assert_true(fake_run_until(loop, second_holds_return, NULL));
    first.epoch_revision = put_revision; /* the epoch is not what stops it */
    tick(&first);
    assert_true(holds(&first, PM_ROLE_SCALE_IN)); /* as far as it knows */
    assert_true(intend(&first, "i-1"));
    assert_true(fake_run_until(loop, is_settled, &first));
    assert_int_equal(first.refused, 1);
    assert_int_equal(count_open(&second), 0);
    fake_state_set_side(state, FAKE_OPEN);
}

/* Carried out after the duty has passed on: its conditions fail. */
static void a_late_intent_changes_nothing(void **arg)
{
    (void)arg;
    fake_state_put_off(state, PM_INTENT_KEY_PREFIX);
    assert_true(intend(&first, "i-1"));
    assert_true(fake_run_until(loop, is_settled, &first));
    assert_int_equal(first.refused, 1);
    lead(&second, 2);
    assert_true(fake_run_until(loop, second_holds_return, NULL));
    fake_state_deliver(state);
    run_for(0.1);
    assert_int_equal(count_open(&second), 0);
}

/* Carried out, and the answer lost: the watch tells, and it is open for whoever finishes it. */
static void an_intent_whose_answer_is_lost_is_open(void **arg)
{
    (void)arg;
    fake_state_swallow(state);
    assert_true(intend(&first, "i-1"));
    assert_true(fake_run_until(loop, is_settled, &first));
    run_for(0.2);
    assert_int_equal(count_open(&first), 1);
    assert_int_equal(count_open(&second), 1);
}

/* It is read by key, logged, and left where it is; others are carried out. */
static void a_malformed_intent_is_kept(void **arg)
{
    (void)arg;
    put_number(PM_INTENT_KEY_PREFIX "return-1-1", "token", 1);
    run_for(0.1);
    assert_int_equal(count_open(&first), 0);
    assert_true(intend(&first, "i-1"));
    assert_true(fake_run_until(loop, is_settled, &first));
    assert_int_equal(count_open(&first), 1);
    assert_int_equal(fake_state_revision(state, PM_INTENT_KEY_PREFIX "return-1-1"), put_revision);
}

static void a_new_listing_forgets_what_is_gone(void **arg)
{
    (void)arg;
    assert_true(intend(&first, "i-1"));
    assert_true(fake_run_until(loop, is_settled, &first));
    run_for(0.1);
    pm_store_resync(second.store);
    run_for(0.2);
    assert_int_equal(count_open(&second), 1);
    assert_true(first_holds_return(NULL));
    pm_store_resync(first.store);
    run_for(0.2);
    assert_true(holds(&first, PM_ROLE_SCALE_IN)); /* its own key was told again */
    assert_int_equal(count_open(&first), 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(the_leader_holds_what_follows_the_lead, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_duty_is_written_as_recorded, set_up, tear_down),
        cmocka_unit_test_setup_teardown(the_next_leader_takes_them_at_once, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_hold_ends_by_the_steady_clock, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_hold_that_is_not_renewed_is_lost, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_hold_outlasts_its_time_to_live_while_renewed, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(nothing_is_written_while_not_all_know_duties, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(what_others_began_is_kept_to, set_up, tear_down),
        cmocka_unit_test_setup_teardown(an_unreadable_holder_is_left_alone, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_drained_duty_is_given_up_once, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_late_request_to_drain_is_not_obeyed, set_up, tear_down),
        cmocka_unit_test_setup_teardown(an_intent_is_told_to_all_and_closed, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_stale_holders_intent_is_refused, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_late_intent_changes_nothing, set_up, tear_down),
        cmocka_unit_test_setup_teardown(an_intent_whose_answer_is_lost_is_open, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_malformed_intent_is_kept, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_new_listing_forgets_what_is_gone, set_up, tear_down),
    };

    cmocka_set_test_filter(g_getenv("PM_TEST_FILTER"));
    return cmocka_run_group_tests(tests, NULL, NULL);
}
