/* Which stored keys are taken away, and that nothing else ever is. */
#include "roles/garbage_collector.h"
#include "roles/roles.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define AFTER_S 100.0

enum { JOBS = 100000, MOST = 12 };

static struct pm_settings settings;
static struct pm_gc *cleaner;

static int set_up(void **state)
{
    (void)state;
    memset(&settings, 0, sizeof settings);
    strcpy(settings.name, "node-0");
    strcpy(settings.peers[0].name, "node-1");
    settings.peer_count = 1;
    cleaner = pm_gc_new(&settings, AFTER_S);
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    pm_gc_free(cleaner);
    return 0;
}

static void put(const char *key, uint64_t token, uint64_t revision, double now)
{
    struct pm_buf buf = {0};
    cbor_item_t *value;

    pm_put_map(&buf);
    pm_put_pair_count(&buf, "token", token);
    pm_put_end(&buf);
    value = pm_cbor_parse(buf.data, buf.size);
    pm_gc_apply_put(cleaner, key, value, revision, now);
    pm_cbor_free(value);
    pm_buf_free(&buf);
}

/* How many keys a run would take away; `key` is one of them, NULL: does not matter. */
static int due(double now, const char *key)
{
    struct pm_txn txn = {0};
    int count = pm_gc_add_due_deletes(cleaner, &txn, MOST, now);

    assert_int_equal(count, txn.write_count);
    assert_int_equal(count, txn.compare_count); /* each on its revision */
    if (key)
        assert_non_null(memmem(txn.writes.data, txn.writes.size, key, strlen(key)));
    pm_txn_free(&txn);
    return count;
}

static void a_view_of_nobody_goes_once_unchanged_for_long(void **state)
{
    (void)state;
    put("p/links/node-9", 0, 5, 0);
    assert_int_equal(due(AFTER_S - 1, NULL), 0);
    assert_int_equal(due(AFTER_S, "p/links/node-9"), 1);
    put("p/links/node-9", 0, 6, AFTER_S); /* it is written after all */
    assert_int_equal(due(AFTER_S + 1, NULL), 0);
    pm_gc_apply_delete(cleaner, "p/links/node-9", 7);
    assert_int_equal(due(10 * AFTER_S, NULL), 0);
}

static void what_controllers_of_the_settings_say_stays(void **state)
{
    static const char *const kept[] = {
        "p/links/node-0", "p/links/node-1", "p/seen/node-1",       "p/speaks/node-9", "p/epoch",
        "p/b/node-9",     "p/types",        "p/intent/return-1-1", "p/duty/rent"};

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(kept); i++)
        put(kept[i], 0, i + 1, 0);
    assert_int_equal(due(1e6, NULL), 0);
    put("p/seen/node-9", 0, 100, 0);
    assert_int_equal(due(1e6, "p/seen/node-9"), 1);
}

static void a_request_to_drain_goes_with_its_holder(void **state)
{
    (void)state;
    put("p/duty/clean", 0, 7, 0);
    put("p/drain/clean", 7, 8, 0);
    assert_int_equal(due(1e6, NULL), 0); /* its holder has yet to obey */
    put("p/duty/clean", 0, 9, 50);
    assert_int_equal(due(50 + AFTER_S - 1, NULL), 0);
    assert_int_equal(due(50 + AFTER_S, "p/drain/clean"), 1);
    put("p/drain/nonsense", 1, 10, 0);
    assert_int_equal(due(50 + AFTER_S, "p/drain/nonsense"), 2);
}

/* The first run on a large state: in small batches, and not one job. */
static void a_large_state_keeps_its_jobs(void **state)
{
    char key[64];
    int taken = 0;

    (void)state;
    pm_gc_snapshot_begin(cleaner);
    for (int i = 0; i < JOBS; i++) {
        snprintf(key, sizeof key, "p/j/job-%06d", i);
        put(key, 0, (uint64_t)i + 1, 0);
        snprintf(key, sizeof key, "p/t/job-%06d/0", i);
        put(key, 0, (uint64_t)i + 1, 0);
    }
    for (int i = 0; i < 3 * MOST; i++) {
        snprintf(key, sizeof key, "p/links/gone-%d", i);
        put(key, 0, (uint64_t)JOBS + 1, 0);
    }
    assert_int_equal(due(1e6, NULL), 0); /* not before the listing is whole */
    pm_gc_snapshot_end(cleaner);
    while (due(1e6, "p/links/gone-")) {
        taken += MOST;
        for (int i = taken - MOST; i < taken; i++) {
            struct pm_buf before = {0};
            struct pm_buf after = {0};
            pm_gc_encode_status(cleaner, &before, 1e6);
            snprintf(key, sizeof key, "p/links/gone-%d", i);
            pm_gc_apply_delete(cleaner, key, (uint64_t)JOBS + 2);
            pm_gc_encode_status(cleaner, &after, 1e6);
            assert_true(after.size < before.size);
            pm_buf_free(&before);
            pm_buf_free(&after);
        }
        if (taken == 3 * MOST)
            break;
    }
    assert_int_equal(due(1e6, NULL), 0);
}

static void a_new_listing_forgets_what_is_gone(void **state)
{
    (void)state;
    put("p/links/node-8", 0, 1, 0);
    put("p/links/node-9", 0, 2, 0);
    pm_gc_snapshot_begin(cleaner);
    put("p/links/node-9", 0, 2, 10); /* told again, and unchanged since before */
    pm_gc_snapshot_end(cleaner);
    assert_int_equal(due(AFTER_S, "p/links/node-9"), 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(a_view_of_nobody_goes_once_unchanged_for_long, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(what_controllers_of_the_settings_say_stays, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_request_to_drain_goes_with_its_holder, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_large_state_keeps_its_jobs, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_new_listing_forgets_what_is_gone, set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
