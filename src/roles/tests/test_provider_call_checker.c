/* The checker of calls to the machine provider reports each kind of violation, and reports nothing
 * for calls that are allowed. */
#include "base/keys.h"
#include "provider_call_checker.h"
#include "roles/roles.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define LOST_AFTER_S 2.0

enum { SCALE_OUT_TOKEN = 5, SCALE_IN_TOKEN = 6 };

static struct call_checker *checker;
static double now;

static void put_holder(enum pm_role role, uint64_t revision)
{
    cbor_item_t *value = cbor_new_indefinite_map();
    char key[64];

    snprintf(key, sizeof key, PM_KEY_ROLE_PREFIX "%s", pm_role_name(role));
    call_checker_on_state_change(checker, key, value, revision, now);
    cbor_decref(&value);
}

static void put_intent(enum pm_role role, uint64_t token, uint64_t number, const char *machine)
{
    struct pm_intent_rental rental = {.type = "m8", .zone = "zone-0", .count = 1};
    struct pm_intent *intent = pm_intent_new(role);
    struct pm_buffer buf = {0};
    cbor_item_t *value;
    char key[128];

    pm_intent_set_name(intent, token, number);
    if (role == PM_ROLE_SCALE_OUT)
        g_array_append_val(intent->rentals, rental);
    if (machine)
        g_ptr_array_add(intent->machines, g_strdup(machine));
    pm_intent_encode(intent, &buf);
    value = pm_cbor_parse(buf.data, buf.size);
    snprintf(key, sizeof key, PM_KEY_INTENT_PREFIX "%s", intent->name);
    call_checker_on_state_change(checker, key, value, 100 + number, now);
    pm_cbor_free(value);
    pm_buffer_free(&buf);
    pm_intent_free(intent);
}

static void delete_key(const char *key)
{
    call_checker_on_state_change(checker, key, NULL, 200, now);
}

static void report_rental(const char *booking, const char *machine)
{
    call_checker_on_call(
        checker, &(struct fake_provider_call){.idempotency_key = booking, .machine = machine});
}

static void report_termination(const char *machine, const char *task, double task_began_at,
                               double silent_s)
{
    call_checker_on_call(checker, &(struct fake_provider_call){.machine = machine,
                                                               .task = task,
                                                               .task_started_at = task_began_at,
                                                               .unanswered_s = silent_s});
}

static int set_up(void **state)
{
    (void)state;
    now = 10;
    checker = call_checker_new(LOST_AFTER_S);
    put_holder(PM_ROLE_SCALE_OUT, SCALE_OUT_TOKEN);
    put_holder(PM_ROLE_SCALE_IN, SCALE_IN_TOKEN);
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    call_checker_free(checker);
    return 0;
}

static void assert_found(const char *violation)
{
    assert_non_null(strstr(call_checker_violations(checker), violation));
}

static void allowed_calls_are_not_reported(void **state)
{
    (void)state;
    put_intent(PM_ROLE_SCALE_OUT, SCALE_OUT_TOKEN, 1, NULL);
    report_rental("rent-5-1-0", "i-1");
    delete_key(PM_KEY_INTENT_PREFIX "rent-5-1");
    put_intent(PM_ROLE_SCALE_IN, SCALE_IN_TOKEN, 2, "i-1");
    /* No heartbeat of the machine was answered for long enough. */
    report_termination("i-1", "job/0", 1, LOST_AFTER_S + 1);
    assert_string_equal(call_checker_violations(checker), "");
    assert_int_equal(call_checker_open_intents(checker), 1);
    assert_int_equal(call_checker_rented(checker), 1);
    assert_int_equal(call_checker_terminated(checker), 1);
}

static void finds_intent_of_stale_holder(void **state)
{
    (void)state;
    put_holder(PM_ROLE_SCALE_OUT, SCALE_OUT_TOKEN + 10);
    put_intent(PM_ROLE_SCALE_OUT, SCALE_OUT_TOKEN, 1, NULL);
    assert_found("the current fencing token is 15");
}

static void finds_decreasing_token(void **state)
{
    (void)state;
    put_holder(PM_ROLE_SCALE_IN, SCALE_IN_TOKEN - 1);
    assert_found("no higher than the one before");
}

static void finds_rental_without_intent(void **state)
{
    (void)state;
    report_rental("rent-5-1-0", "i-1");
    assert_found("which no intent contains");
}

static void finds_rental_after_intent_is_closed(void **state)
{
    (void)state;
    put_intent(PM_ROLE_SCALE_OUT, SCALE_OUT_TOKEN, 1, NULL);
    delete_key(PM_KEY_INTENT_PREFIX "rent-5-1");
    report_rental("rent-5-1-0", "i-1");
    assert_found("whose intent is closed");
}

static void finds_more_machines_than_intended(void **state)
{
    (void)state;
    put_intent(PM_ROLE_SCALE_OUT, SCALE_OUT_TOKEN, 1, NULL);
    report_rental("rent-5-1-0", "i-1");
    report_rental("rent-5-1-0", "i-2");
    assert_found("one more than");
    report_rental("rent-5-1-1", "i-3"); /* the intent has only one rental */
    assert_found("rent-5-1-1, which no intent contains");
}

static void finds_termination_without_intent(void **state)
{
    (void)state;
    report_termination("i-1", NULL, 0, 0);
    assert_found("terminated without an open intent");
}

static void finds_task_started_after_intent(void **state)
{
    (void)state;
    put_intent(PM_ROLE_SCALE_IN, SCALE_IN_TOKEN, 1, "i-1");
    report_termination("i-1", "job/0", now + 1, LOST_AFTER_S + 1);
    assert_found("after the intent to terminate it");
}

static void finds_termination_of_busy_machine(void **state)
{
    (void)state;
    put_intent(PM_ROLE_SCALE_IN, SCALE_IN_TOKEN, 1, "i-1");
    report_termination("i-1", "job/0", now - 1, LOST_AFTER_S / 2);
    assert_found("while task job/0 runs on it");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(allowed_calls_are_not_reported, set_up, tear_down),
        cmocka_unit_test_setup_teardown(finds_intent_of_stale_holder, set_up, tear_down),
        cmocka_unit_test_setup_teardown(finds_decreasing_token, set_up, tear_down),
        cmocka_unit_test_setup_teardown(finds_rental_without_intent, set_up, tear_down),
        cmocka_unit_test_setup_teardown(finds_rental_after_intent_is_closed, set_up, tear_down),
        cmocka_unit_test_setup_teardown(finds_more_machines_than_intended, set_up, tear_down),
        cmocka_unit_test_setup_teardown(finds_termination_without_intent, set_up, tear_down),
        cmocka_unit_test_setup_teardown(finds_task_started_after_intent, set_up, tear_down),
        cmocka_unit_test_setup_teardown(finds_termination_of_busy_machine, set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
