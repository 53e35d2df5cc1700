/* Safety invariant 7: in an outage of the state service nobody renews a lease without knowing every
 * cancellation that was confirmed to a user. The meeting that it is for: the state service refuses
 * the leader alone, another controller confirms cancellations, then the service is down for all. */
#include "controllers.h"
#include "../../jobs/tests/recorded_values.h"
#include "shard.pb-c.h"
#include "peer.pb-c.h"

static int set_up(void **arg)
{
    (void)arg;
    loop = ev_loop_new(EVFLAG_AUTO);
    state = fake_store_new(loop);
    return 0;
}

/* Three controllers: the first leads, and comes to the state service by the second address. */
static void begin(struct controller *all)
{
    acquaint(all, 3);
    all[0].state_addr = fake_store_second_addr(state);
    for (int i = 0; i < 3; i++) {
        all[i].settings.lease_s = 12;
        all[i].settings.cancel_deadline_s = 42;
    }
    start(&all[0]);
    assert_true(event_loop_run_until(loop, has_taken, &all[0]));
    start(&all[1]);
    start(&all[2]);
    assert_true(event_loop_run_until(loop, has_read, &all[1]));
    assert_true(event_loop_run_until(loop, has_read, &all[2]));
    assert_true(event_loop_run_until(loop, is_confirmed, &all[0]));
    assert_true(event_loop_run_until(loop, all_are_new, &all[0])); /* it asks nobody without need */
}

/* The same, and the state service refuses the leader alone. */
static void begin_refused(struct controller *all)
{
    begin(all);
    fake_store_set_second_access(state, FAKE_STORE_REFUSES);
    assert_true(event_loop_run_until(loop, is_refused, &all[0]));
}

struct written {
    int status;
    uint64_t store_revision;
};

static void on_written(void *arg, enum pm_store_result result, uint64_t store_revision,
                       const cbor_item_t *failed)
{
    (void)failed;
    *(struct written *)arg = (struct written){result, store_revision};
}

static bool is_written(void *arg)
{
    return ((struct written *)arg)->status != 0;
}

/* Makes a cancellation durable, as the controller's door would. */
static uint64_t cancel(struct controller *c, const char *id)
{
    struct pm_txn txn = {0};
    struct written w = {0};
    char key[64];

    snprintf(key, sizeof key, "p/j/%s", id);
    pm_txn_put(&txn, key);
    pm_job_encode(&c->tables, NULL, 4, PM_JOB_CANCELLED, false, &txn.writes);
    pm_txn_put_end(&txn, 0);
    pm_store_commit(c->store, &txn, on_written, &w);
    assert_true(event_loop_run_until(loop, is_written, &w));
    assert_int_equal(w.status, 200);
    pm_jobs_apply_cancellation(c->jobs, id, w.store_revision);
    return w.store_revision;
}

enum verdict { OPEN, YES, NO };

static void on_verdict(void *arg, bool ok)
{
    *(enum verdict *)arg = ok ? YES : NO;
}

static bool is_judged(void *arg)
{
    return *(enum verdict *)arg != OPEN;
}

/* What the user would hear: "cancelled", or 503. */
static bool confirm_to_user(struct controller *c, const char *id, uint64_t revision)
{
    enum verdict verdict = OPEN;

    pm_cancel_quorum_publish(c->cancels, id, revision, on_verdict, &verdict);
    assert_true(event_loop_run_until(loop, is_judged, &verdict));
    return verdict == YES;
}

static void shut_back(struct controller *c)
{
    pm_http_server_free(c->back);
    c->back = NULL;
}

static bool knows(void *arg)
{
    return pm_jobs_cancellation_revision(((struct controller *)arg)->jobs, "job-1") != 0;
}

/* The leader, refused alone, hears of it at once by the message that makes it known. */
static void a_refused_leader_hears_at_once(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);

    (void)arg;
    begin_refused(all);
    assert_true(confirm_to_user(&all[1], "job-1", cancel(&all[1], "job-1")));
    assert_true(event_loop_run_until(loop, knows, &all[0]));
    assert_true(
        event_loop_run_until(loop, is_confirmed, &all[0])); /* and still cares for its workers */
}

static bool blind_and_confirmed(const struct controller *c)
{
    return is_confirmed((void *)c) && !knows((void *)c);
}

/* The gap. The message does not reach the leader, but a majority knows; then nobody is served. When
 * the confirmation from before has run out, the leader is confirmed only by those who tell it. */
static void no_lease_is_renewed_blindly_in_an_outage(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    double told;

    (void)arg;
    begin_refused(all);
    shut_back(&all[0]);
    assert_true(confirm_to_user(&all[1], "job-1", cancel(&all[1], "job-1")));
    told = pm_clock_monotonic();
    fake_store_set_outage(state, true);
    /* Neither blind nor helpless from then on: it knows, and is confirmed. */
    while (pm_clock_monotonic() < told + 4) {
        pass(0.02);
        if (pm_clock_monotonic() >
            told + pm_election_staleness_bound_s(&all[0].settings, &all[0].op))
            assert_false(blind_and_confirmed(&all[0]));
    }
    assert_true(knows(&all[0]));
    assert_true(is_confirmed(&all[0]));
}

/* The confirming controller dies right after its answer: another one of its majority tells. */
static void the_confirmer_may_die(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);

    (void)arg;
    begin_refused(all);
    shut_back(&all[0]);
    assert_true(confirm_to_user(&all[1], "job-1", cancel(&all[1], "job-1")));
    shut_back(&all[1]);
    fake_store_set_outage(state, true);
    assert_true(event_loop_run_until(loop, knows, &all[0]));
    pass(2.5);
    assert_true(is_confirmed(&all[0]));
    /* Without the one that is left nobody can tell what was cancelled: it answers no worker. */
    shut_back(&all[2]);
    assert_true(event_loop_run_until(loop, is_unconfirmed, &all[0]));
    pass(1);
    assert_false(is_confirmed(&all[0]));
}

/* Without a majority the user is not told, and at once: the state service has it, but a leader
 * could go on without it. The repeat needs the majority alone. */
static void without_a_majority_nobody_is_told(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    uint64_t revision;
    double asked;

    (void)arg;
    begin(all);
    fake_store_set_second_access(state, FAKE_STORE_REFUSES);
    shut_back(&all[0]);
    shut_back(&all[2]);
    revision = cancel(&all[1], "job-1");
    asked = pm_clock_monotonic();
    assert_false(confirm_to_user(&all[1], "job-1", revision));
    assert_true(pm_clock_monotonic() - asked < 0.9);
    open_back(&all[2]);
    assert_true(confirm_to_user(&all[1], "job-1", revision));
    assert_true(knows(&all[2]));
}

struct wait_known {
    struct controller *c;
    uint64_t revision;
};

static bool is_known(void *arg)
{
    struct wait_known *w = arg;

    return pm_cancel_quorum_is_acked(w->c->cancels, w->revision);
}

/* Controllers that refuse one another, while the state service is well, say by way of it how far
 * their replicas go: users are not turned away for as long as that lasts. */
static void known_by_way_of_the_state_service(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    struct wait_known w = {&all[1], 0};

    (void)arg;
    begin(all);
    for (int i = 0; i < 3; i++)
        shut_back(&all[i]);
    w.revision = cancel(&all[1], "job-1");
    assert_false(confirm_to_user(&all[1], "job-1", w.revision));
    assert_true(event_loop_run_until(loop, is_known, &w));
    assert_true(confirm_to_user(&all[1], "job-1", w.revision));
}

static bool knows_all(void *arg)
{
    size_t n;
    bool more;

    pm_jobs_list_cancellations(((struct controller *)arg)->jobs, 0, 5000, &n, &more);
    return n == 1000;
}

/* More than one message holds: the vote counts once the last page is there. */
static void long_lists_come_by_pages(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    char id[32];

    (void)arg;
    begin(all);
    pass(0.2);
    fake_store_set_second_access(state, FAKE_STORE_REFUSES);
    assert_true(event_loop_run_until(loop, is_refused, &all[0]));
    for (int i = 0; i < 1000;
         i++) { /* many of one transaction, so of one revision, and out of order */
        snprintf(id, sizeof id, "job-%d", i);
        pm_jobs_apply_cancellation(all[1].jobs, id, 100000 + (uint64_t)((i * 7) % 1000) / 12);
        pm_jobs_apply_cancellation(all[2].jobs, id, 100000 + (uint64_t)((i * 7) % 1000) / 12);
    }
    fake_store_set_outage(state, true);
    assert_true(event_loop_run_until(loop, knows_all, &all[0]));
    pass(2.5);
    assert_true(is_confirmed(&all[0]));
}

/* Served, but following through a watch that hangs: the epoch is sure, the replica is not. */
static void who_lags_behind_confirms_nothing(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    double told;

    (void)arg;
    acquaint(all, 3);
    all[0].state_addr = fake_store_second_addr(state);
    all[0].settings.lease_s = 60; /* no token is raised meanwhile, which asks the others */
    all[0].settings.cancel_deadline_s = 64;
    start(&all[0]);
    assert_true(event_loop_run_until(loop, has_taken, &all[0]));
    start(&all[1]);
    start(&all[2]);
    assert_true(event_loop_run_until(loop, has_read, &all[1]));
    assert_true(event_loop_run_until(loop, has_read, &all[2]));
    assert_true(event_loop_run_until(loop, is_confirmed, &all[0]));
    assert_true(event_loop_run_until(loop, all_are_new, &all[0]));
    fake_store_set_second_access(state, FAKE_STORE_WATCHES_HANG);
    shut_back(&all[0]);
    assert_true(confirm_to_user(&all[1], "job-1", cancel(&all[1], "job-1")));
    told = pm_clock_monotonic();
    while (pm_clock_monotonic() < told + 4) {
        pass(0.02);
        if (pm_clock_monotonic() >
            told + pm_election_staleness_bound_s(&all[0].settings, &all[0].op))
            assert_false(blind_and_confirmed(&all[0]));
    }
    fake_store_set_second_access(state, FAKE_STORE_SERVES);
    assert_true(event_loop_run_until(loop, knows, &all[0]));
    assert_true(event_loop_run_until(loop, is_confirmed, &all[0]));
}

/* What is left of `cancel_s` when the last blind answer has been given holds a whole lease, with
 * the clocks' drift, at every proportion of the two. */
static void a_lease_fits_behind_the_last_blind_answer(void **arg)
{
    static const double sites[][2] = {{12, 42}, {26.5, 56.5}, {44, 74}, {10, 20}, {60, 66}};
    struct pm_operator_settings op;

    (void)arg;
    pm_operator_settings_defaults(&op);
    for (size_t i = 0; i < G_N_ELEMENTS(sites); i++) {
        struct pm_settings *s = g_new0(struct pm_settings, 1);
        s->lease_s = sites[i][0];
        s->cancel_deadline_s = sites[i][1];
        assert_true((pm_election_staleness_bound_s(s, &op) + s->lease_s) *
                        (1 + 2 * PM_CLOCK_DRIFT_MAX) <
                    s->cancel_deadline_s);
        g_free(s);
    }
}

static void on_status(void *arg, int status, const unsigned char *body, size_t size)
{
    (void)body;
    (void)size;
    *(int *)arg = status;
}

static bool has_status(void *arg)
{
    return *(int *)arg != 0;
}

static int post(struct controller *from, struct controller *to, const char *path, const void *body,
                size_t size)
{
    int status = 0;

    pm_http_call(from->http, to->settings.peer_listen_addr, "POST", path, body, size, 30, 4096,
                 on_status, &status);
    assert_true(event_loop_run_until(loop, has_status, &status));
    return status;
}

/* Odd messages end no process and change nothing; repeats are news once. */
static void odd_messages_change_nothing(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    Pm__CancellationRequest call = PM__CANCELLATION_REQUEST__INIT;
    Pm__Cancellation entry = PM__CANCELLATION__INIT;
    Pm__Cancellation *list[] = {&entry};
    unsigned char data[256];
    char *large = g_malloc0(100 * 1024);
    size_t n;
    bool more;

    (void)arg;
    begin(all);
    assert_int_equal(post(&all[1], &all[0], "/cancelled", "\xff\xff\xff", 3), 400);
    assert_int_equal(post(&all[1], &all[0], "/peer", "\xff\xff\xff", 3), 400);
    assert_int_equal(post(&all[1], &all[0], "/cancelled", large, 100 * 1024), 413);
    entry.id = "job-1";
    entry.revision = 3;
    call.cancelled = list;
    call.n_cancelled = 1;
    call.from = "nobody";
    assert_int_equal(
        post(&all[1], &all[0], "/cancelled", data, pm__cancellation_request__pack(&call, data)),
        400);
    assert_false(knows(&all[0]));
    call.from = "n1";
    entry.id = "../../epoch";
    assert_int_equal(
        post(&all[1], &all[0], "/cancelled", data, pm__cancellation_request__pack(&call, data)),
        200);
    pm_jobs_list_cancellations(all[0].jobs, 0, 10, &n, &more);
    assert_int_equal(n, 0);
    entry.id = "job-1";
    for (int i = 0; i < 3; i++)
        assert_int_equal(
            post(&all[1], &all[0], "/cancelled", data, pm__cancellation_request__pack(&call, data)),
            200);
    pm_jobs_list_cancellations(all[0].jobs, 0, 10, &n, &more);
    assert_int_equal(n, 1);
    assert_false(more);
    g_free(large);
}

/* Messages of the version before: what it says counts as it says it, and it is known to be old. */
static void reads_messages_of_the_version_before(void **arg)
{
    size_t size;
    unsigned char *bytes = recorded_bytes(RECORDED_V1_TELL, &size);
    Pm__PeerResponse *tell = pm__peer_response__unpack(NULL, size, bytes);
    Pm__PeerRequest *ask;
    Pm__CancellationRequest *call;
    Pm__ShardResponse *block;

    (void)arg;
    assert_non_null(tell);
    assert_true(tell->has_state && tell->has_cancellations && !tell->has_more &&
                !tell->store_serving);
    assert_int_equal(tell->highest_epoch, 41);
    assert_int_equal(tell->n_cancelled, 1);
    assert_string_equal(tell->cancelled[0]->id, "job-1");
    assert_int_equal(tell->protocol_version, 0);
    pm__peer_response__free_unpacked(tell, NULL);
    g_free(bytes);
    bytes = recorded_bytes(RECORDED_V1_ASK, &size);
    ask = pm__peer_request__unpack(NULL, size, bytes);
    assert_true(ask && ask->epoch == 41 && ask->store_revision == 412 && !ask->protocol_version);
    pm__peer_request__free_unpacked(ask, NULL);
    g_free(bytes);
    bytes = recorded_bytes(RECORDED_V1_CANCEL_CALL, &size);
    call = pm__cancellation_request__unpack(NULL, size, bytes);
    assert_true(call && call->n_cancelled == 1 && call->cancelled[0]->revision == 413);
    pm__cancellation_request__free_unpacked(call, NULL);
    g_free(bytes);
    bytes = recorded_bytes(RECORDED_V1_BLOCK_TELL, &size);
    block = pm__shard_response__unpack(NULL, size, bytes);
    assert_true(block && block->ready && block->n_drained == 1);
    pm__shard_response__free_unpacked(block, NULL);
    g_free(bytes);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(a_refused_leader_hears_at_once, set_up),
        cmocka_unit_test_setup(no_lease_is_renewed_blindly_in_an_outage, set_up),
        cmocka_unit_test_setup(the_confirmer_may_die, set_up),
        cmocka_unit_test_setup(without_a_majority_nobody_is_told, set_up),
        cmocka_unit_test_setup(known_by_way_of_the_state_service, set_up),
        cmocka_unit_test_setup(long_lists_come_by_pages, set_up),
        cmocka_unit_test_setup(who_lags_behind_confirms_nothing, set_up),
        cmocka_unit_test_setup(a_lease_fits_behind_the_last_blind_answer, set_up),
        cmocka_unit_test_setup(odd_messages_change_nothing, set_up),
        cmocka_unit_test(reads_messages_of_the_version_before),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* The controllers of a test live until the process ends, as those of a daemon do. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}
