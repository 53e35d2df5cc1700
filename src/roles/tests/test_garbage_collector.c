/* The garbage collector deletes obsolete stored keys, and no others. */
#include "roles/garbage_collector.h"
#include "roles/roles.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define DELETE_AFTER_S 100.0

enum { JOBS = 100000, MAX_DELETES = 12 };

static struct pm_settings settings;
static struct pm_gc *collector;

static int set_up(void **state)
{
    (void)state;
    memset(&settings, 0, sizeof settings);
    strcpy(settings.name, "node-0");
    strcpy(settings.peers[0].name, "node-1");
    settings.peer_count = 1;
    collector = pm_gc_new(&settings, DELETE_AFTER_S);
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    pm_gc_free(collector);
    return 0;
}

static void put(const char *key, uint64_t token, uint64_t revision, double now)
{
    struct pm_buffer buf = {0};
    cbor_item_t *value;

    pm_cbor_put_map(&buf);
    pm_cbor_put_pair_uint(&buf, "token", token);
    pm_cbor_put_end(&buf);
    value = pm_cbor_parse(buf.data, buf.size);
    pm_gc_apply_put(collector, key, value, revision, now);
    pm_cbor_free(value);
    pm_buffer_free(&buf);
}

/* Returns how many keys a collection at `now` would delete. Asserts that `key` is one of them,
 * unless it is NULL. */
static int count_due(double now, const char *key)
{
    struct pm_txn txn = {0};
    int count = pm_gc_add_due_deletes(collector, &txn, MAX_DELETES, now);

    assert_int_equal(count, txn.write_count);
    assert_int_equal(count, txn.compare_count); /* the revision of each key is compared */
    if (key)
        assert_non_null(memmem(txn.writes.data, txn.writes.size, key, strlen(key)));
    pm_txn_free(&txn);
    return count;
}

static void view_of_unknown_controller_is_deleted(void **state)
{
    (void)state;
    put("p/links/node-9", 0, 5, 0);
    assert_int_equal(count_due(DELETE_AFTER_S - 1, NULL), 0);
    assert_int_equal(count_due(DELETE_AFTER_S, "p/links/node-9"), 1);
    put("p/links/node-9", 0, 6, DELETE_AFTER_S); /* the key has changed, so the time starts over */
    assert_int_equal(count_due(DELETE_AFTER_S + 1, NULL), 0);
    pm_gc_apply_delete(collector, "p/links/node-9", 7);
    assert_int_equal(count_due(10 * DELETE_AFTER_S, NULL), 0);
}

static void keys_of_known_controllers_are_kept(void **state)
{
    static const char *const kept[] = {
        "p/links/node-0", "p/links/node-1", "p/seen/node-1",       "p/speaks/node-9", "p/epoch",
        "p/b/node-9",     "p/types",        "p/intent/return-1-1", "p/duty/rent"};

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(kept); i++)
        put(kept[i], 0, i + 1, 0);
    assert_int_equal(count_due(1e6, NULL), 0);
    put("p/seen/node-9", 0, 100, 0);
    assert_int_equal(count_due(1e6, "p/seen/node-9"), 1);
}

static void drain_request_is_deleted_after_holder_change(void **state)
{
    (void)state;
    put("p/duty/clean", 0, 7, 0);
    put("p/drain/clean", 7, 8, 0);
    assert_int_equal(count_due(1e6, NULL), 0); /* the holder has not released the role yet */
    put("p/duty/clean", 0, 9, 50);
    assert_int_equal(count_due(50 + DELETE_AFTER_S - 1, NULL), 0);
    assert_int_equal(count_due(50 + DELETE_AFTER_S, "p/drain/clean"), 1);
    put("p/drain/nonsense", 1, 10, 0);
    assert_int_equal(count_due(50 + DELETE_AFTER_S, "p/drain/nonsense"), 2);
}

/* In a large state with many obsolete keys, these are deleted in small batches, but no jobs are. */
static void jobs_are_kept_in_a_large_state(void **state)
{
    char key[64];
    int deleted = 0;

    (void)state;
    pm_gc_snapshot_begin(collector);
    for (int i = 0; i < JOBS; i++) {
        snprintf(key, sizeof key, "p/j/job-%06d", i);
        put(key, 0, (uint64_t)i + 1, 0);
        snprintf(key, sizeof key, "p/t/job-%06d/0", i);
        put(key, 0, (uint64_t)i + 1, 0);
    }
    for (int i = 0; i < 3 * MAX_DELETES; i++) {
        snprintf(key, sizeof key, "p/links/gone-%d", i);
        put(key, 0, (uint64_t)JOBS + 1, 0);
    }
    assert_int_equal(count_due(1e6, NULL), 0); /* the snapshot is not complete */
    pm_gc_snapshot_end(collector);
    while (count_due(1e6, "p/links/gone-")) {
        deleted += MAX_DELETES;
        for (int i = deleted - MAX_DELETES; i < deleted; i++) {
            struct pm_buffer before = {0};
            struct pm_buffer after = {0};
            pm_gc_encode_status(collector, &before, 1e6);
            snprintf(key, sizeof key, "p/links/gone-%d", i);
            pm_gc_apply_delete(collector, key, (uint64_t)JOBS + 2);
            pm_gc_encode_status(collector, &after, 1e6);
            assert_true(after.size < before.size);
            pm_buffer_free(&before);
            pm_buffer_free(&after);
        }
        if (deleted == 3 * MAX_DELETES)
            break;
    }
    assert_int_equal(count_due(1e6, NULL), 0);
}

static void candidates_absent_from_snapshot_are_forgotten(void **state)
{
    (void)state;
    put("p/links/node-8", 0, 1, 0);
    put("p/links/node-9", 0, 2, 0);
    pm_gc_snapshot_begin(collector);
    put("p/links/node-9", 0, 2, 10); /* put again with the same revision */
    pm_gc_snapshot_end(collector);
    assert_int_equal(count_due(DELETE_AFTER_S, "p/links/node-9"), 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(view_of_unknown_controller_is_deleted, set_up, tear_down),
        cmocka_unit_test_setup_teardown(keys_of_known_controllers_are_kept, set_up, tear_down),
        cmocka_unit_test_setup_teardown(drain_request_is_deleted_after_holder_change, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(jobs_are_kept_in_a_large_state, set_up, tear_down),
        cmocka_unit_test_setup_teardown(candidates_absent_from_snapshot_are_forgotten, set_up,
                                        tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
