/* The stored form of intents. Guards against a change of the bytes that would keep versions of the
 * controller from reading each other's intents, and against accepting malformed values. */
#include "base/keys.h"
#include "../../jobs/tests/recorded_values.h"
#include "roles/intent.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

/* Values that the first version with intents wrote. They must never be replaced by the output of a
 * later version. */
#define STORED_SCALE_OUT                                                                           \
    "bf64647574796472656e7465746f6b656e19071b6772656e74616c739fbf6474797065626d38"                 \
    "647a6f6e65667a6f6e652d306473706f74f565636f756e741832ffbf6474797065626738647a"                 \
    "6f6e65667a6f6e652d316473706f74f465636f756e7401ffffff"
#define STORED_SCALE_IN                                                                            \
    "bf64647574796672657475726e65746f6b656e19071c686d616368696e65739f68692d30303030303168692d3030" \
    "30303032ffff"

static struct pm_intent *make_scale_out(void)
{
    struct pm_intent *intent = pm_intent_new(PM_ROLE_SCALE_OUT);
    struct pm_intent_rental first = {.type = "m8", .zone = "zone-0", .spot = true, .count = 50};
    struct pm_intent_rental second = {.type = "g8", .zone = "zone-1", .count = 1};

    pm_intent_set_name(intent, 1819, 3);
    g_array_append_val(intent->rentals, first);
    g_array_append_val(intent->rentals, second);
    return intent;
}

static struct pm_intent *make_scale_in(void)
{
    struct pm_intent *intent = pm_intent_new(PM_ROLE_SCALE_IN);

    pm_intent_set_name(intent, 1820, 4);
    g_ptr_array_add(intent->machines, g_strdup("i-000001"));
    g_ptr_array_add(intent->machines, g_strdup("i-000002"));
    return intent;
}

static char *encode_hex(struct pm_intent *intent)
{
    struct pm_buffer buf = {0};
    GString *text = g_string_new(NULL);

    pm_intent_encode(intent, &buf);
    for (size_t i = 0; i < buf.size; i++)
        g_string_append_printf(text, "%02x", buf.data[i]);
    pm_buffer_free(&buf);
    pm_intent_free(intent);
    return g_string_free(text, FALSE);
}

static struct pm_intent *decode_hex(const char *key, const char *digits)
{
    size_t size;
    unsigned char *bytes = recorded_bytes(digits, &size);
    cbor_item_t *value = pm_cbor_parse(bytes, size);
    struct pm_intent *intent = pm_intent_decode(key, value, 7);

    pm_cbor_free(value);
    g_free(bytes);
    return intent;
}

static void intents_are_encoded_as_recorded(void **state)
{
    char *scale_out = encode_hex(make_scale_out());
    char *scale_in = encode_hex(make_scale_in());

    (void)state;
    assert_string_equal(scale_out, STORED_SCALE_OUT);
    assert_string_equal(scale_in, STORED_SCALE_IN);
    g_free(scale_out);
    g_free(scale_in);
}

static void recorded_intents_are_decoded(void **state)
{
    struct pm_intent *intent = decode_hex(PM_KEY_INTENT_PREFIX "rent-1819-3", STORED_SCALE_OUT);
    const struct pm_intent_rental *rental;
    char idempotency_key[PM_INTENT_NAME_SIZE + 8];

    (void)state;
    assert_non_null(intent);
    assert_int_equal(intent->token, 1819);
    assert_int_equal(intent->revision, 7);
    assert_int_equal(intent->rentals->len, 2);
    rental = &g_array_index(intent->rentals, struct pm_intent_rental, 0);
    assert_string_equal(rental->type, "m8");
    assert_string_equal(rental->zone, "zone-0");
    assert_true(rental->spot);
    assert_int_equal(rental->count, 50);
    pm_intent_format_idempotency_key(intent, 1, idempotency_key, sizeof idempotency_key);
    assert_string_equal(idempotency_key, "rent-1819-3-1");
    pm_intent_free(intent);
    intent = decode_hex(PM_KEY_INTENT_PREFIX "return-1820-4", STORED_SCALE_IN);
    assert_non_null(intent);
    assert_int_equal(intent->machines->len, 2);
    assert_string_equal(g_ptr_array_index(intent->machines, 1), "i-000002");
    pm_intent_free(intent);
}

/* The key has another token or role, or a name that is empty or too long; or the value is
 * truncated. */
static void malformed_intents_are_rejected(void **state)
{
    static const char *const keys[] = {
        PM_KEY_INTENT_PREFIX "rent-1818-3", PM_KEY_INTENT_PREFIX "return-1819-3",
        PM_KEY_INTENT_PREFIX "",
        PM_KEY_INTENT_PREFIX "rent-1819-"
                             "3333333333333333333333333333333333333333333333333333333333333333"};

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
        assert_null(decode_hex(keys[i], STORED_SCALE_OUT));
    for (size_t length = strlen(STORED_SCALE_OUT) - 2; length > 0; length -= 2) {
        char *truncated = g_strndup(STORED_SCALE_OUT, length);
        assert_null(decode_hex(PM_KEY_INTENT_PREFIX "rent-1819-3", truncated));
        g_free(truncated);
    }
}

/* More rentals or instances than any version writes, or no machines at all. */
static void out_of_bounds_intents_are_rejected(void **state)
{
    struct pm_intent *too_many_rentals = make_scale_out();
    struct pm_intent *no_machines = pm_intent_new(PM_ROLE_SCALE_IN);
    struct pm_intent *too_many_instances = make_scale_out();
    char *digits;

    (void)state;
    g_array_set_size(too_many_rentals->rentals, PM_INTENT_RENTALS_MAX + 1);
    for (guint i = 0; i < too_many_rentals->rentals->len; i++)
        g_array_index(too_many_rentals->rentals, struct pm_intent_rental, i) =
            g_array_index(too_many_rentals->rentals, struct pm_intent_rental, 0);
    digits = encode_hex(too_many_rentals);
    assert_null(decode_hex(PM_KEY_INTENT_PREFIX "rent-1819-3", digits));
    g_free(digits);
    pm_intent_set_name(no_machines, 1820, 4);
    digits = encode_hex(no_machines);
    assert_null(decode_hex(PM_KEY_INTENT_PREFIX "return-1820-4", digits));
    g_free(digits);
    g_array_index(too_many_instances->rentals, struct pm_intent_rental, 1).count =
        PM_INTENT_INSTANCES_MAX + 1;
    digits = encode_hex(too_many_instances);
    assert_null(decode_hex(PM_KEY_INTENT_PREFIX "rent-1819-3", digits));
    g_free(digits);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(intents_are_encoded_as_recorded),
        cmocka_unit_test(recorded_intents_are_decoded),
        cmocka_unit_test(malformed_intents_are_rejected),
        cmocka_unit_test(out_of_bounds_intents_are_rejected),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
