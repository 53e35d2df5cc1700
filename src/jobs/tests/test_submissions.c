/* The users' API and the replica, against a state service in this process. Safety invariants 1, 6
 * and 7: a submission or a cancellation is durable before it is answered, and no accepted job is
 * lost. */
#include "api_fixture.h"

static void accepted_and_cancelled_are_durable(void **arg)
{
    struct answer answer;

    (void)arg;
    assert_int_equal(request("GET", "/work/job-1", NULL).status, 404);
    assert_int_equal(submit("job-1").status, 201);
    assert_true(fake_store_revision(state_service, "p/j/job-1") > 0);
    assert_int_equal(submit("job-1").status, 200); /* a repeated submission */
    answer = request("GET", "/work/job-1", NULL);
    assert_int_equal(answer.status, 200);
    assert_string_equal(answer.state, "queued");
    answer = request("POST", "/work/job-1/abort", NULL);
    assert_string_equal(answer.state, "cancelled");
    answer = request("GET", "/work/job-1", NULL);
    assert_string_equal(answer.state, "cancelled");
    /* A final state is always answered from memory, also in an outage. Requests that need a
     * linearizable read cannot be answered. */
    assert_int_equal(submit("job-2").status, 201);
    fake_store_set_outage(state_service, true);
    assert_string_equal(request("GET", "/work/job-1", NULL).state, "cancelled");
    assert_string_equal(submit("job-1").state, "cancelled");
    assert_int_equal(request("GET", "/work/job-2", NULL).status, 503);
    assert_int_equal(request("GET", "/work/job-3", NULL).status, 503);
    assert_int_equal(submit("job-3").status, 503);
    assert_int_equal(fake_store_revision(state_service, "p/j/job-3"), 0);
}

/* Safety invariant 7: even after a cancellation is durable, no request is answered "cancelled"
 * until a majority of controllers knows of it: neither the cancellation, nor a poll, nor a
 * repeated submission. */
static void cancelled_is_answered_once_a_majority_knows(void **arg)
{
    (void)arg;
    assert_int_equal(submit("job-1").status, 201);
    settings.cluster_size = 3;
    settings.peer_count = 2;
    for (int i = 0; i < 2; i++) { /* no controller listens at these addresses */
        snprintf(settings.peers[i].name, PM_NAME_MAX, "n%d", i);
        snprintf(settings.peers[i].addr, sizeof settings.peers[i].addr, "127.0.0.1:%d",
                 event_loop_free_port());
    }
    assert_int_equal(request("POST", "/work/job-1/abort", NULL).status, 503);
    assert_int_equal(pm_jobs_find(jobs, "job-1")->state, PM_JOB_CANCELLED);
    assert_int_equal(request("GET", "/work/job-1", NULL).status, 503);
    assert_int_equal(submit("job-1").status, 503);
    assert_int_equal(request("POST", "/work/job-1/abort", NULL).status, 503);
    pm_cancel_quorum_note_peer_revision(cancel_quorum, 1,
                                        fake_store_revision(state_service, "p/j/job-1"));
    assert_string_equal(request("POST", "/work/job-1/abort", NULL).state, "cancelled");
    assert_string_equal(request("GET", "/work/job-1", NULL).state, "cancelled");
    settings.cluster_size = 1;
    settings.peer_count = 0;
}

static void a_lost_answer_is_not_a_lost_job(void **arg)
{
    (void)arg;
    fake_store_lose_next_answer(state_service);
    assert_int_equal(submit("job-1").status, 503); /* the outcome is not known */
    assert_int_equal(submit("job-1").status, 200); /* the job had been accepted */
}

static void malformed_requests_are_refused(void **arg)
{
    struct pm_buffer junk = {0};

    (void)arg;
    pm_buffer_append(&junk, "\xa1\x61", 2);
    assert_int_equal(request("POST", "/work", &junk).status, 400);
    assert_int_equal(request("DELETE", "/work", NULL).status, 405);
    assert_int_equal(request("GET", "/work/job-1/else", NULL).status, 404);
    assert_int_equal(request("GET", "/work/nonsense", NULL).status, 404);
    while (junk.size <= PM_HTTP_BODY_MAX)
        pm_buffer_append(&junk, "aaaaaaaaaaaaaaaa", 16);
    assert_int_equal(request("POST", "/work", &junk).status, 413);
    pm_buffer_free(&junk);
}

/* ---- Listings, unreadable values and connections ---- */

static void on_txn(void *arg, enum pm_store_result result, uint64_t store_revision,
                   const cbor_item_t *conflicting_keys)
{
    (void)store_revision;
    (void)conflicting_keys;
    *(int *)arg = result;
}

static bool has_result(void *arg)
{
    return *(int *)arg != 0;
}

static bool is_behind(void *arg)
{
    (void)arg;
    return !pm_store_is_ready(store);
}

/* A listing is read in pages of 200 keys. When it is complete, the jobs of all pages are known. */
static void all_pages_of_a_listing_are_applied(void **arg)
{
    char id[32];
    char target[64];

    (void)arg;
    for (int i = 0; i < 450; i++) {
        struct pm_txn txn = {0};
        struct pm_spec spec = {
            .zone = -1, .allowed_types = ~(uint64_t)0, .task_count = 2, .deadline_s = -1};
        int status = 0;
        spec.class_index = pm_names_intern(tables.class_names, "train");
        spec.image = pm_names_intern(tables.image_names, "img");
        snprintf(id, sizeof id, "p/j/job-%06d", i);
        pm_txn_put_begin(&txn, id);
        pm_job_encode(&tables, &spec, 2, PM_JOB_LIVE, true, &txn.writes);
        pm_txn_put_end(&txn, 0);
        pm_store_commit(store, &txn, on_txn, &status);
        assert_true(event_loop_run_until(loop, has_result, &status));
    }
    /* The watch's revision is too old, so all keys are listed again. */
    fake_store_reject_next_watch(state_service);
    assert_int_equal(submit("job-1").status, 201);
    assert_true(event_loop_run_until(loop, is_behind, NULL));
    assert_true(event_loop_run_until(loop, is_ready, NULL));
    for (int i = 0; i < 450; i += 7) {
        snprintf(target, sizeof target, "/work/job-%06d", i);
        assert_int_equal(request("GET", target, NULL).status, 200);
    }
    assert_int_equal(request("GET", "/work/job-000450", NULL).status, 404);
}

/* An unreadable value affects only its own job, which stays known and can be cancelled. */
static void a_job_with_an_unreadable_value_stays_known(void **arg)
{
    struct pm_txn txn = {0};
    struct answer answer;
    int status = 0;

    (void)arg;
    pm_txn_put_begin(&txn, "p/j/job-7");
    pm_cbor_put_text(&txn.writes, "not what it should be");
    pm_txn_put_end(&txn, 0);
    pm_store_commit(store, &txn, on_txn, &status);
    assert_true(event_loop_run_until(loop, has_result, &status));
    answer = request("GET", "/work/job-7", NULL);
    assert_int_equal(answer.status, 200);
    assert_string_equal(answer.state, "queued");
    assert_int_equal(submit("job-7").status, 200);
    assert_int_equal(submit("job-8").status, 201);
    assert_int_equal(request("GET", "/work/job-8", NULL).status, 200);
    assert_string_equal(request("POST", "/work/job-7/abort", NULL).state, "cancelled");
    assert_string_equal(request("GET", "/work/job-7", NULL).state, "cancelled");
}

/* With many controllers, each has only a small share of the store's write rate. Even so, enough of
 * it must accumulate for a transaction of a few changes: otherwise the owner of a shard would keep
 * the shard, but could never write. */
static void a_small_write_share_allows_a_transaction(void **arg)
{
    (void)arg;
    pm_store_set_write_share(store, 0.001, 0.001);
    assert_true(pm_store_write_budget(store, pm_clock_monotonic() + 1e6) >= 8);
}

/* When a client has more addresses than it may open connections, an idle connection is closed for a
 * new one, so that every address can be reached. */
static void idle_connections_are_closed_for_new_ones(void **arg)
{
    struct pm_http_client *few = pm_http_client_new(loop, 2);
    char addr[4][ADDRESS_MAX];

    (void)arg;
    for (int i = 0; i < 4; i++) {
        struct answer answer = {0};
        start_api_server(addr[i], 1);
        pm_http_call(few, addr[i], "GET", "/work/nonsense", NULL, 0, 30, 65536, on_answer, &answer);
        assert_true(event_loop_run_until(loop, is_answered, &answer));
        assert_int_equal(answer.status, 404);
    }
    /* The server also accepts a new connection beyond its limit, and closes the idle one. */
    for (int i = 0; i < 3; i++) {
        struct pm_http_client *other = pm_http_client_new(loop, 1);
        struct answer answer = {0};
        pm_http_call(other, addr[3], "GET", "/work/nonsense", NULL, 0, 30, 65536, on_answer,
                     &answer);
        assert_true(event_loop_run_until(loop, is_answered, &answer));
        assert_int_equal(answer.status, 404);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(accepted_and_cancelled_are_durable, set_up),
        cmocka_unit_test_setup(cancelled_is_answered_once_a_majority_knows, set_up),
        cmocka_unit_test_setup(a_lost_answer_is_not_a_lost_job, set_up),
        cmocka_unit_test_setup(malformed_requests_are_refused, set_up),
        cmocka_unit_test_setup(all_pages_of_a_listing_are_applied, set_up),
        cmocka_unit_test_setup(a_job_with_an_unreadable_value_stays_known, set_up),
        cmocka_unit_test_setup(a_small_write_share_allows_a_transaction, set_up),
        cmocka_unit_test_setup(idle_connections_are_closed_for_new_ones, set_up),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
