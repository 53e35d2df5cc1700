/* Tests the client of the state service against a fake service in this process: results, the
 * replica, linearizable reads, leases and the write budget. */
#include "store/internal.h"
#include "base/clock.h"
#include "testing/fake_store.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define WRITES_PER_S 1000

/* The arguments of the latest callback. Reset before each request. */
struct outcome {
    bool is_done;
    bool ok;
    enum pm_store_result result;
    uint64_t store_revision;
    uint64_t lease_id;
    size_t conflicting_key_count;
};

static struct ev_loop *loop;
static struct fake_store *service;
static struct pm_http_client *http;
static struct pm_store *store;
static struct outcome outcome;
static int put_count, snapshot_count;

static void on_put(void *arg, const char *key, const cbor_item_t *value, uint64_t revision)
{
    (void)arg;
    (void)key;
    (void)value;
    (void)revision;
    put_count++;
}

static void on_delete(void *arg, const char *key, uint64_t revision)
{
    (void)arg;
    (void)key;
    (void)revision;
}

static void on_snapshot_begin(void *arg)
{
    (void)arg;
    snapshot_count++;
}

static void on_snapshot_end(void *arg)
{
    (void)arg;
}

static void on_caught_up(void *arg, uint64_t store_revision)
{
    (void)arg;
    (void)store_revision;
}

static bool is_ready(void *arg)
{
    (void)arg;
    return pm_store_is_ready(store);
}

static void connect_store(const char *address)
{
    struct pm_store_observer observer = {on_put,          on_delete,    on_snapshot_begin,
                                         on_snapshot_end, on_caught_up, NULL};

    store = pm_store_new(loop, http, address, WRITES_PER_S, &observer);
    assert_true(event_loop_run_until(loop, is_ready, NULL));
}

static int set_up(void **arg)
{
    (void)arg;
    loop = ev_loop_new(EVFLAG_AUTO);
    service = fake_store_new(loop);
    http = pm_http_client_new(loop, 16);
    store = NULL;
    put_count = 0;
    snapshot_count = 0;
    memset(&outcome, 0, sizeof outcome);
    return 0;
}

static int tear_down(void **arg)
{
    (void)arg;
    pm_http_client_free(http);
    pm_store_free(store);
    fake_store_free(service);
    ev_loop_destroy(loop);
    return 0;
}

static bool is_done(void *arg)
{
    (void)arg;
    return outcome.is_done;
}

static void run_until_done(void)
{
    assert_true(event_loop_run_until(loop, is_done, NULL));
}

static bool has_passed(void *arg)
{
    return pm_clock_monotonic() > *(const double *)arg;
}

static void run_for(double seconds)
{
    double end_at = pm_clock_monotonic() + seconds;

    assert_true(event_loop_run_until(loop, has_passed, &end_at));
}

static void on_wait_done(void *arg, bool ok)
{
    (void)arg;
    assert_false(outcome.is_done);
    outcome.is_done = true;
    outcome.ok = ok;
}

static void on_txn_done(void *arg, enum pm_store_result result, uint64_t store_revision,
                        const cbor_item_t *conflicting_keys)
{
    (void)arg;
    assert_false(outcome.is_done);
    outcome.is_done = true;
    outcome.result = result;
    outcome.store_revision = store_revision;
    outcome.conflicting_key_count = pm_cbor_length(conflicting_keys);
}

static void on_lease_done(void *arg, enum pm_store_result result, uint64_t lease_id)
{
    (void)arg;
    assert_false(outcome.is_done);
    outcome.is_done = true;
    outcome.result = result;
    outcome.lease_id = lease_id;
}

/* Writes one key on the condition that it has this revision (0: that it does not exist), and waits
 * for the result. */
static void commit_put(const char *key, uint64_t revision)
{
    struct pm_txn txn = {0};

    memset(&outcome, 0, sizeof outcome);
    pm_txn_compare(&txn, key, revision);
    pm_txn_put_begin(&txn, key);
    pm_cbor_put_uint(&txn.writes, 1);
    pm_txn_put_end(&txn, 0);
    pm_store_commit(store, &txn, on_txn_done, NULL);
    run_until_done();
}

/* ---- results ---- */

static void every_status_has_its_result(void **arg)
{
    static const struct {
        int status;
        enum pm_store_result result;
        const char *name;
    } rows[] = {
        {200, PM_STORE_OK, "ok"},
        {400, PM_STORE_REJECTED, "rejected"},
        {404, PM_STORE_NOT_FOUND, "not found"},
        {409, PM_STORE_CONFLICT, "conflict"},
        {429, PM_STORE_THROTTLED, "throttled"},
        {500, PM_STORE_UNAVAILABLE, "unavailable"}, /* a status that has no result of its own */
        {503, PM_STORE_UNAVAILABLE, "unavailable"},
        {PM_HTTP_NO_RESPONSE, PM_STORE_UNKNOWN_OUTCOME, "unknown outcome"},
        {PM_HTTP_NOT_SENT, PM_STORE_NOT_SENT, "not sent"},
    };

    (void)arg;
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        assert_int_equal(pm_store_result_from_status(rows[i].status), rows[i].result);
        assert_string_equal(pm_store_result_name(rows[i].result), rows[i].name);
    }
}

static void a_conflict_names_the_conflicting_keys(void **arg)
{
    (void)arg;
    connect_store(fake_store_addr(service));
    commit_put("p/test", 0);
    assert_int_equal(outcome.result, PM_STORE_OK);
    assert_int_equal(outcome.store_revision, fake_store_revision(service, "p/test"));
    commit_put("p/test", 0);
    assert_int_equal(outcome.result, PM_STORE_CONFLICT);
    assert_int_equal(outcome.conflicting_key_count, 1);
    assert_int_equal(outcome.store_revision, fake_store_revision(service, "p/test"));
}

static void an_unreadable_answer_is_an_unknown_outcome(void **arg)
{
    (void)arg;
    connect_store(fake_store_addr(service));
    fake_store_lose_next_answer(service);
    commit_put("p/test", 0);
    assert_int_equal(outcome.result, PM_STORE_UNKNOWN_OUTCOME);
    assert_int_equal(outcome.store_revision, 0);
    assert_true(fake_store_revision(service, "p/test") > 0); /* the transaction was executed */
}

static void a_refusal_is_noted_until_the_next_answer(void **arg)
{
    (void)arg;
    connect_store(fake_store_addr(service));
    assert_false(pm_store_is_refusing(store));
    fake_store_set_outage(service, true);
    commit_put("p/test", 0);
    assert_int_equal(outcome.result, PM_STORE_UNAVAILABLE);
    assert_true(pm_store_is_refusing(store));
    assert_true(pm_store_last_refused_at(store) >= pm_store_last_served_at(store));
    fake_store_set_outage(service, false);
    commit_put("p/test", 0);
    assert_int_equal(outcome.result, PM_STORE_OK);
    assert_false(pm_store_is_refusing(store));
    assert_true(pm_store_last_served_at(store) >= pm_store_last_refused_at(store));
}

/* ---- replica ---- */

static void a_listing_of_several_pages_is_one_snapshot(void **arg)
{
    enum { KEY_COUNT = 450 }; /* three pages */
    char key[32];

    (void)arg;
    for (int i = 0; i < KEY_COUNT; i++) {
        snprintf(key, sizeof key, "p/test/%03d", i);
        fake_store_put_number(service, key, "n", 1);
    }
    connect_store(fake_store_addr(service));
    assert_int_equal(snapshot_count, 1);
    assert_int_equal(put_count, KEY_COUNT);
    assert_int_equal(pm_store_revision(store), KEY_COUNT);
}

static bool has_listed_twice(void *arg)
{
    return snapshot_count == 2 && is_ready(arg);
}

static void a_watch_that_is_too_old_lists_again(void **arg)
{
    (void)arg;
    connect_store(fake_store_addr(service));
    fake_store_reject_next_watch(service);
    fake_store_put_number(service, "p/test", "n", 1); /* ends the open watch */
    assert_true(event_loop_run_until(loop, has_listed_twice, NULL));
    assert_int_equal(pm_store_revision(store), fake_store_revision(service, "p/test"));
}

/* ---- linearizable reads ---- */

static void a_linearizable_read_waits_for_the_replica(void **arg)
{
    (void)arg;
    connect_store(fake_store_second_addr(service));
    fake_store_set_second_addr_mode(service, FAKE_STORE_ADDR_HOLDS_WATCHES);
    fake_store_put_number(service, "p/test", "n", 1);
    pm_store_linearizable_read(store, on_wait_done, NULL);
    run_for(0.2);
    assert_false(outcome.is_done); /* the service is newer than the replica */
    assert_int_equal(put_count, 0);
    fake_store_set_second_addr_mode(service, FAKE_STORE_ADDR_SERVES);
    run_until_done();
    assert_true(outcome.ok);
    assert_int_equal(put_count, 1);
    assert_int_equal(pm_store_revision(store), fake_store_revision(service, "p/test"));
}

static void a_linearizable_read_fails_while_the_watches_hang(void **arg)
{
    (void)arg;
    connect_store(fake_store_second_addr(service));
    fake_store_set_second_addr_mode(service, FAKE_STORE_ADDR_HOLDS_WATCHES);
    fake_store_put_number(service, "p/test", "n", 1);
    pm_store_linearizable_read(store, on_wait_done, NULL);
    run_until_done();
    assert_false(outcome.ok);
    assert_int_equal(put_count, 0);
}

static void a_revision_that_is_reached_is_not_waited_for(void **arg)
{
    (void)arg;
    connect_store(fake_store_addr(service));
    pm_store_wait_for_revision(store, pm_store_revision(store), on_wait_done, NULL);
    assert_true(outcome.is_done);
    assert_true(outcome.ok);
}

/* ---- leases ---- */

static void a_lease_is_kept_alive_until_it_is_revoked(void **arg)
{
    uint64_t lease_id;

    (void)arg;
    fake_store_expire_leases(service);
    connect_store(fake_store_addr(service));
    pm_store_lease_grant(store, 60, on_lease_done, NULL);
    run_until_done();
    assert_int_equal(outcome.result, PM_STORE_OK);
    lease_id = outcome.lease_id;
    assert_true(lease_id > 0);

    memset(&outcome, 0, sizeof outcome);
    pm_store_lease_keep_alive(store, lease_id, on_lease_done, NULL);
    run_until_done();
    assert_int_equal(outcome.result, PM_STORE_OK);
    assert_int_equal(outcome.lease_id, lease_id);

    pm_store_lease_revoke(store, lease_id);
    run_for(0.1);
    memset(&outcome, 0, sizeof outcome);
    pm_store_lease_keep_alive(store, lease_id, on_lease_done, NULL);
    run_until_done();
    assert_int_equal(outcome.result, PM_STORE_NOT_FOUND);
}

/* ---- write budget ---- */

static void a_commit_is_charged_to_the_write_budget(void **arg)
{
    struct pm_txn txn = {0};
    double now;
    int before;

    (void)arg;
    connect_store(fake_store_addr(service));
    now = pm_clock_monotonic();
    before = pm_store_write_budget(store, now);
    assert_true(before > 0 && before <= WRITES_PER_S / 2);
    pm_txn_delete(&txn, "p/test/a");
    pm_txn_delete(&txn, "p/test/b");
    pm_store_commit(store, &txn, on_txn_done, NULL);
    assert_int_equal(pm_store_write_budget(store, now), before - 2);
    pm_store_budget_exhaust(store);
    assert_int_equal(pm_store_write_budget(store, now), 0);
}

static void the_share_grows_while_the_others_write_little(void **arg)
{
    double later;

    (void)arg;
    connect_store(fake_store_addr(service));
    pm_store_set_write_share(store, 0.5, 0.9);
    later = pm_clock_monotonic() + 10;
    assert_int_equal(pm_store_write_budget(store, later), 900);
    pm_store_add_peer_writes(store, 1e6);
    assert_int_equal(pm_store_write_budget(store, later), 500);
    pm_store_set_write_share(store, 0.1, 0.1); /* the bucket's minimum capacity still applies */
    assert_int_equal(pm_store_write_budget(store, later), 400);
}

/* Turns off leak detection: a request in flight when the HTTP client is freed gets no callback, so
 * its memory is never freed. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(every_status_has_its_result),
        cmocka_unit_test_setup_teardown(a_conflict_names_the_conflicting_keys, set_up, tear_down),
        cmocka_unit_test_setup_teardown(an_unreadable_answer_is_an_unknown_outcome, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_refusal_is_noted_until_the_next_answer, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_listing_of_several_pages_is_one_snapshot, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_watch_that_is_too_old_lists_again, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_linearizable_read_waits_for_the_replica, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_linearizable_read_fails_while_the_watches_hang, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_revision_that_is_reached_is_not_waited_for, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_lease_is_kept_alive_until_it_is_revoked, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_commit_is_charged_to_the_write_budget, set_up, tear_down),
        cmocka_unit_test_setup_teardown(the_share_grows_while_the_others_write_little, set_up,
                                        tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
