/* Intents as they are stored: bytes that later versions go on reading, and what is malformed. */
#include "../../jobs/tests/recorded_values.h"
#include "roles/intent.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

/* As the first version with intents writes them; not to be made anew from later code. */
#define STORED_RENT                                                                                \
    "bf64647574796472656e7465746f6b656e19071b6772656e74616c739fbf6474797065626d38"                 \
    "647a6f6e65667a6f6e652d306473706f74f565636f756e741832ffbf6474797065626738647a"                 \
    "6f6e65667a6f6e652d316473706f74f465636f756e7401ffffff"
#define STORED_RETURN                                                                              \
    "bf64647574796672657475726e65746f6b656e19071c686d616368696e65739f68692d30303030303168692d3030" \
    "30303032ffff"

static struct pm_intent *make_rent(void)
{
    struct pm_intent *intent = pm_intent_new(PM_ROLE_SCALE_OUT);
    struct pm_intent_rental first = {.type = "m8", .zone = "zone-0", .spot = true, .count = 50};
    struct pm_intent_rental second = {.type = "g8", .zone = "zone-1", .count = 1};

    pm_intent_set_name(intent, 1819, 3);
    g_array_append_val(intent->rentals, first);
    g_array_append_val(intent->rentals, second);
    return intent;
}

static struct pm_intent *make_return(void)
{
    struct pm_intent *intent = pm_intent_new(PM_ROLE_SCALE_IN);

    pm_intent_set_name(intent, 1820, 4);
    g_ptr_array_add(intent->machines, g_strdup("i-000001"));
    g_ptr_array_add(intent->machines, g_strdup("i-000002"));
    return intent;
}

static char *write_hex(struct pm_intent *intent)
{
    struct pm_buf buf = {0};
    GString *text = g_string_new(NULL);

    pm_intent_encode(intent, &buf);
    for (size_t i = 0; i < buf.size; i++)
        g_string_append_printf(text, "%02x", buf.data[i]);
    pm_buf_free(&buf);
    pm_intent_free(intent);
    return g_string_free(text, FALSE);
}

static struct pm_intent *read_hex(const char *key, const char *digits)
{
    size_t size;
    unsigned char *bytes = recorded_bytes(digits, &size);
    cbor_item_t *value = pm_cbor_parse(bytes, size);
    struct pm_intent *intent = pm_intent_decode(key, value, 7);

    pm_cbor_free(value);
    g_free(bytes);
    return intent;
}

static void is_written_as_ever(void **state)
{
    char *rent = write_hex(make_rent());
    char *back = write_hex(make_return());

    (void)state;
    assert_string_equal(rent, STORED_RENT);
    assert_string_equal(back, STORED_RETURN);
    g_free(rent);
    g_free(back);
}

static void what_was_stored_is_read(void **state)
{
    struct pm_intent *intent = read_hex(PM_INTENT_KEY_PREFIX "rent-1819-3", STORED_RENT);
    const struct pm_intent_rental *rental;
    char booking[PM_INTENT_NAME + 8];

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
    pm_intent_booking(intent, 1, booking, sizeof booking);
    assert_string_equal(booking, "rent-1819-3-1");
    pm_intent_free(intent);
    intent = read_hex(PM_INTENT_KEY_PREFIX "return-1820-4", STORED_RETURN);
    assert_non_null(intent);
    assert_int_equal(intent->machines->len, 2);
    assert_string_equal(g_ptr_array_index(intent->machines, 1), "i-000002");
    pm_intent_free(intent);
}

/* A key that another token or duty wrote, and every value that ends early. */
static void what_is_malformed_is_not_read(void **state)
{
    static const char *const keys[] = {
        PM_INTENT_KEY_PREFIX "rent-1818-3", PM_INTENT_KEY_PREFIX "return-1819-3",
        PM_INTENT_KEY_PREFIX "",
        PM_INTENT_KEY_PREFIX "rent-1819-"
                             "3333333333333333333333333333333333333333333333333333333333333333"};

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
        assert_null(read_hex(keys[i], STORED_RENT));
    for (size_t length = strlen(STORED_RENT) - 2; length > 0; length -= 2) {
        char *part = g_strndup(STORED_RENT, length);
        assert_null(read_hex(PM_INTENT_KEY_PREFIX "rent-1819-3", part));
        g_free(part);
    }
}

/* More than any version writes, or nothing at all. */
static void what_is_out_of_bounds_is_not_read(void **state)
{
    struct pm_intent *many = make_rent();
    struct pm_intent *none = pm_intent_new(PM_ROLE_SCALE_IN);
    struct pm_intent *large = make_rent();
    char *digits;

    (void)state;
    g_array_set_size(many->rentals, PM_INTENT_RENTALS + 1);
    for (guint i = 0; i < many->rentals->len; i++)
        g_array_index(many->rentals, struct pm_intent_rental, i) =
            g_array_index(many->rentals, struct pm_intent_rental, 0);
    digits = write_hex(many);
    assert_null(read_hex(PM_INTENT_KEY_PREFIX "rent-1819-3", digits));
    g_free(digits);
    pm_intent_set_name(none, 1820, 4);
    digits = write_hex(none);
    assert_null(read_hex(PM_INTENT_KEY_PREFIX "return-1820-4", digits));
    g_free(digits);
    g_array_index(large->rentals, struct pm_intent_rental, 1).count = PM_INTENT_RENTED + 1;
    digits = write_hex(large);
    assert_null(read_hex(PM_INTENT_KEY_PREFIX "rent-1819-3", digits));
    g_free(digits);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(is_written_as_ever),
        cmocka_unit_test(what_was_stored_is_read),
        cmocka_unit_test(what_is_malformed_is_not_read),
        cmocka_unit_test(what_is_out_of_bounds_is_not_read),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
