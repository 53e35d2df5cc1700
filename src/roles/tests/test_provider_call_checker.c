/* The checker of the cloud's calls finds each kind of violation that is planted, and nothing in
 * what is as it should be. */
#include "provider_call_checker.h"
#include "roles/roles.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define SILENT_S 2.0

enum { RENT_TOKEN = 5, RETURN_TOKEN = 6 };

static struct call_checker *calls;
static double now;

static void put_duty(enum pm_role duty, uint64_t revision)
{
    cbor_item_t *value = cbor_new_indefinite_map();
    char key[64];

    snprintf(key, sizeof key, PM_ROLE_KEY_PREFIX "%s", pm_role_name(duty));
    call_checker_on_state_change(calls, key, value, revision, now);
    cbor_decref(&value);
}

static void put_intent(enum pm_role duty, uint64_t token, uint64_t number, const char *machine)
{
    struct pm_intent_rental rental = {.type = "m8", .zone = "zone-0", .count = 1};
    struct pm_intent *intent = pm_intent_new(duty);
    struct pm_buf buf = {0};
    cbor_item_t *value;
    char key[128];

    pm_intent_set_name(intent, token, number);
    if (duty == PM_ROLE_SCALE_OUT)
        g_array_append_val(intent->rentals, rental);
    if (machine)
        g_ptr_array_add(intent->machines, g_strdup(machine));
    pm_intent_encode(intent, &buf);
    value = pm_cbor_parse(buf.data, buf.size);
    snprintf(key, sizeof key, PM_INTENT_KEY_PREFIX "%s", intent->name);
    call_checker_on_state_change(calls, key, value, 100 + number, now);
    pm_cbor_free(value);
    pm_buf_free(&buf);
    pm_intent_free(intent);
}

static void drop(const char *key)
{
    call_checker_on_state_change(calls, key, NULL, 200, now);
}

static void rent(const char *booking, const char *machine)
{
    call_checker_on_call(calls, &(struct fleet_call){.booking = booking, .machine = machine});
}

static void return_machine(const char *machine, const char *task, double began, double silent)
{
    call_checker_on_call(
        calls, &(struct fleet_call){
                   .machine = machine, .task = task, .task_began = began, .heard_ago_s = silent});
}

static int set_up(void **state)
{
    (void)state;
    now = 10;
    calls = call_checker_new(SILENT_S);
    put_duty(PM_ROLE_SCALE_OUT, RENT_TOKEN);
    put_duty(PM_ROLE_SCALE_IN, RETURN_TOKEN);
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    call_checker_free(calls);
    return 0;
}

static void assert_found(const char *violation)
{
    assert_non_null(strstr(call_checker_violations(calls), violation));
}

static void what_is_well_is_no_violation(void **state)
{
    (void)state;
    put_intent(PM_ROLE_SCALE_OUT, RENT_TOKEN, 1, NULL);
    rent("rent-5-1-0", "i-1");
    drop(PM_INTENT_KEY_PREFIX "rent-5-1");
    put_intent(PM_ROLE_SCALE_IN, RETURN_TOKEN, 2, "i-1");
    return_machine("i-1", "job/0", 1, SILENT_S + 1); /* silent: its return proves it gone */
    assert_string_equal(call_checker_violations(calls), "");
    assert_int_equal(call_checker_open_intents(calls), 1);
    assert_int_equal(call_checker_rented(calls), 1);
    assert_int_equal(call_checker_terminated(calls), 1);
}

static void finds_a_stale_holders_intent(void **state)
{
    (void)state;
    put_duty(PM_ROLE_SCALE_OUT, RENT_TOKEN + 10);
    put_intent(PM_ROLE_SCALE_OUT, RENT_TOKEN, 1, NULL);
    assert_found("while token 15 is in force");
}

static void finds_a_token_that_falls(void **state)
{
    (void)state;
    put_duty(PM_ROLE_SCALE_IN, RETURN_TOKEN - 1);
    assert_found("no higher than one before");
}

static void finds_a_rental_without_an_intent(void **state)
{
    (void)state;
    rent("rent-5-1-0", "i-1");
    assert_found("which nobody intended");
}

static void finds_a_rental_after_its_intent(void **state)
{
    (void)state;
    put_intent(PM_ROLE_SCALE_OUT, RENT_TOKEN, 1, NULL);
    drop(PM_INTENT_KEY_PREFIX "rent-5-1");
    rent("rent-5-1-0", "i-1");
    assert_found("which is closed");
}

static void finds_a_machine_rented_twice(void **state)
{
    (void)state;
    put_intent(PM_ROLE_SCALE_OUT, RENT_TOKEN, 1, NULL);
    rent("rent-5-1-0", "i-1");
    rent("rent-5-1-0", "i-2");
    assert_found("one more than");
    rent("rent-5-1-1", "i-3"); /* the intent has one rental only */
    assert_found("rent-5-1-1, which nobody intended");
}

static void finds_a_return_without_an_intent(void **state)
{
    (void)state;
    return_machine("i-1", NULL, 0, 0);
    assert_found("no open intent says so");
}

static void finds_work_given_after_the_intent(void **state)
{
    (void)state;
    put_intent(PM_ROLE_SCALE_IN, RETURN_TOKEN, 1, "i-1");
    return_machine("i-1", "job/0", now + 1, SILENT_S + 1);
    assert_found("after its return was intended");
}

static void finds_a_return_without_proof(void **state)
{
    (void)state;
    put_intent(PM_ROLE_SCALE_IN, RETURN_TOKEN, 1, "i-1");
    return_machine("i-1", "job/0", now - 1, SILENT_S / 2);
    assert_found("while job/0 runs there");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(what_is_well_is_no_violation, set_up, tear_down),
        cmocka_unit_test_setup_teardown(finds_a_stale_holders_intent, set_up, tear_down),
        cmocka_unit_test_setup_teardown(finds_a_token_that_falls, set_up, tear_down),
        cmocka_unit_test_setup_teardown(finds_a_rental_without_an_intent, set_up, tear_down),
        cmocka_unit_test_setup_teardown(finds_a_rental_after_its_intent, set_up, tear_down),
        cmocka_unit_test_setup_teardown(finds_a_machine_rented_twice, set_up, tear_down),
        cmocka_unit_test_setup_teardown(finds_a_return_without_an_intent, set_up, tear_down),
        cmocka_unit_test_setup_teardown(finds_work_given_after_the_intent, set_up, tear_down),
        cmocka_unit_test_setup_teardown(finds_a_return_without_proof, set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
