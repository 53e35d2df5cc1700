/* Safety invariant 7: in an outage of the state service only controllers that know every
 * cancellation that was confirmed to a user renew leases. The failure that it prevents: the state
 * service refuses only the leader, another controller confirms a cancellation to its user, and then
 * the service refuses all controllers. The replica of the leader lacks the cancellation. If votes
 * confirmed the leader, it would renew the lease under which the cancelled job runs. */
#include "controller_fixtures.h"
#include "../../jobs/tests/recorded_values.h"
#include "shard.pb-c.h"

/* Starts three controllers. The first one leads. It uses the second address of the state service,
 * so that a test can cut it off alone. */
static void begin_cluster(struct controller *cluster)
{
    configure_cluster(cluster, 3);
    cluster[0].store_addr = fake_store_second_addr(state_service);
    for (int i = 0; i < 3; i++) {
        cluster[i].settings.lease_s = 12;
        cluster[i].settings.cancel_deadline_s = 42;
    }
    start_controller(&cluster[0]);
    assert_true(event_loop_run_until(loop, is_elected, &cluster[0]));
    start_controller(&cluster[1]);
    start_controller(&cluster[2]);
    assert_true(event_loop_run_until(loop, has_replica, &cluster[1]));
    assert_true(event_loop_run_until(loop, has_replica, &cluster[2]));
    assert_true(event_loop_run_until(loop, is_confirmed, &cluster[0]));
    /* Once the leader knows the common version, it no longer polls its peers for their versions.
     * The responses to such polls would also tell it of cancellations. */
    assert_true(event_loop_run_until(loop, has_common_version, &cluster[0]));
}

/* Starts the cluster of begin_cluster; then the state service refuses only the leader. */
static void begin_with_refused_leader(struct controller *cluster)
{
    begin_cluster(cluster);
    fake_store_set_second_addr_mode(state_service, FAKE_STORE_ADDR_REFUSES);
    assert_true(event_loop_run_until(loop, is_refused, &cluster[0]));
}

struct commit_result {
    int status;
    uint64_t store_revision;
};

static void on_committed(void *arg, enum pm_store_result result, uint64_t store_revision,
                         const cbor_item_t *conflicting_keys)
{
    (void)conflicting_keys;
    *(struct commit_result *)arg = (struct commit_result){result, store_revision};
}

static bool has_result(void *arg)
{
    return ((struct commit_result *)arg)->status != 0;
}

/* Writes a cancellation to the state service, as the API would. Returns its revision. */
static uint64_t commit_cancellation(struct controller *controller, const char *id)
{
    struct pm_txn txn = {0};
    struct commit_result result = {0};
    char key[64];

    snprintf(key, sizeof key, "p/j/%s", id);
    pm_txn_put_begin(&txn, key);
    pm_job_encode(&controller->tables, NULL, 4, PM_JOB_CANCELLED, false, &txn.writes);
    pm_txn_put_end(&txn, 0);
    pm_store_commit(controller->store, &txn, on_committed, &result);
    assert_true(event_loop_run_until(loop, has_result, &result));
    assert_int_equal(result.status, 200);
    pm_jobs_apply_cancellation(controller->jobs, id, result.store_revision);
    return result.store_revision;
}

enum outcome { PENDING, ACKED, NOT_ACKED };

static void on_outcome(void *arg, bool ok)
{
    *(enum outcome *)arg = ok ? ACKED : NOT_ACKED;
}

static bool has_outcome(void *arg)
{
    return *(enum outcome *)arg != PENDING;
}

/* Publishes a cancellation. Returns whether the user would be answered "cancelled" rather than
 * 503. */
static bool confirm_to_user(struct controller *controller, const char *id, uint64_t revision)
{
    enum outcome outcome = PENDING;

    pm_cancel_quorum_publish(controller->cancel_quorum, id, revision, on_outcome, &outcome);
    assert_true(event_loop_run_until(loop, has_outcome, &outcome));
    return outcome == ACKED;
}

static void close_peer_endpoint(struct controller *controller)
{
    pm_http_server_free(controller->peer_server);
    controller->peer_server = NULL;
}

static bool knows_cancellation(void *arg)
{
    return pm_jobs_cancellation_revision(((struct controller *)arg)->jobs, "job-1") != 0;
}

/* When the state service refuses only the leader, the controller that confirms a cancellation to
 * the user sends it to the leader. */
static void refused_leader_is_sent_the_cancellation(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);

    (void)arg;
    begin_with_refused_leader(cluster);
    assert_true(confirm_to_user(&cluster[1], "job-1", commit_cancellation(&cluster[1], "job-1")));
    assert_true(event_loop_run_until(loop, knows_cancellation, &cluster[0]));
    /* The leader still answers its workers. */
    assert_true(event_loop_run_until(loop, is_confirmed, &cluster[0]));
}

static bool is_confirmed_without_cancellation(const struct controller *controller)
{
    return is_confirmed((void *)controller) && !knows_cancellation((void *)controller);
}

/* The published cancellation does not reach the leader, but a majority knows it; then the state
 * service refuses all controllers. Once the leader's earlier confirmation has expired, the leader
 * is confirmed only by votes of peers that have sent it the cancellation. */
static void no_lease_renewal_without_the_cancellation_in_an_outage(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);
    double confirmed_at;

    (void)arg;
    begin_with_refused_leader(cluster);
    close_peer_endpoint(&cluster[0]);
    assert_true(confirm_to_user(&cluster[1], "job-1", commit_cancellation(&cluster[1], "job-1")));
    confirmed_at = pm_clock_monotonic();
    fake_store_set_outage(state_service, true);
    /* After the staleness bound the leader may be confirmed only if it knows the cancellation. At
     * the end of the test it knows the cancellation and is confirmed. */
    while (pm_clock_monotonic() < confirmed_at + 4) {
        run_for(0.02);
        if (pm_clock_monotonic() >
            confirmed_at +
                pm_election_staleness_bound_s(&cluster[0].settings, &cluster[0].operator_settings))
            assert_false(is_confirmed_without_cancellation(&cluster[0]));
    }
    assert_true(knows_cancellation(&cluster[0]));
    assert_true(is_confirmed(&cluster[0]));
}

/* The controller that confirmed the cancellation fails right after its answer to the user. Another
 * controller of the majority sends the cancellation to the leader. */
static void confirming_controller_may_be_lost(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);

    (void)arg;
    begin_with_refused_leader(cluster);
    close_peer_endpoint(&cluster[0]);
    assert_true(confirm_to_user(&cluster[1], "job-1", commit_cancellation(&cluster[1], "job-1")));
    close_peer_endpoint(&cluster[1]);
    fake_store_set_outage(state_service, true);
    assert_true(event_loop_run_until(loop, knows_cancellation, &cluster[0]));
    run_for(2.5);
    assert_true(is_confirmed(&cluster[0]));
    /* Without its last peer the leader can't learn what was cancelled, so it must not answer
     * workers. */
    close_peer_endpoint(&cluster[2]);
    assert_true(event_loop_run_until(loop, is_unconfirmed, &cluster[0]));
    run_for(1);
    assert_false(is_confirmed(&cluster[0]));
}

/* Without a majority the cancellation is not confirmed to the user: it is durable, but a leader
 * that does not know it could renew leases. The failure is reported before the publish timeout. The
 * user may repeat the request, which needs no other write and succeeds once a majority can be
 * reached. */
static void cancellation_without_a_majority_is_not_confirmed(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);
    uint64_t revision;
    double published_at;

    (void)arg;
    begin_cluster(cluster);
    fake_store_set_second_addr_mode(state_service, FAKE_STORE_ADDR_REFUSES);
    close_peer_endpoint(&cluster[0]);
    close_peer_endpoint(&cluster[2]);
    revision = commit_cancellation(&cluster[1], "job-1");
    published_at = pm_clock_monotonic();
    assert_false(confirm_to_user(&cluster[1], "job-1", revision));
    assert_true(pm_clock_monotonic() - published_at < 0.9);
    open_peer_endpoint(&cluster[2]);
    assert_true(confirm_to_user(&cluster[1], "job-1", revision));
    assert_true(knows_cancellation(&cluster[2]));
}

struct awaited_ack {
    struct controller *controller;
    uint64_t revision;
};

static bool is_acked(void *arg)
{
    struct awaited_ack *awaited = arg;

    return pm_cancel_quorum_is_acked(awaited->controller->cancel_quorum, awaited->revision);
}

/* Controllers whose messages do not reach one another write the revision of their replica to the
 * state service. These acknowledgements let cancellations be confirmed to users. */
static void acknowledgement_through_the_state_service(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);
    struct awaited_ack awaited = {&cluster[1], 0};

    (void)arg;
    begin_cluster(cluster);
    for (int i = 0; i < 3; i++)
        close_peer_endpoint(&cluster[i]);
    awaited.revision = commit_cancellation(&cluster[1], "job-1");
    assert_false(confirm_to_user(&cluster[1], "job-1", awaited.revision));
    assert_true(event_loop_run_until(loop, is_acked, &awaited));
    assert_true(confirm_to_user(&cluster[1], "job-1", awaited.revision));
}

static bool knows_all_cancellations(void *arg)
{
    size_t count;
    bool has_more;

    pm_jobs_list_cancellations(((struct controller *)arg)->jobs, 0, 5000, &count, &has_more);
    return count == 1000;
}

/* More cancellations than fit in one response: the vote counts once the last page has arrived. */
static void long_lists_are_paged(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);
    char id[32];

    (void)arg;
    begin_cluster(cluster);
    run_for(0.2);
    fake_store_set_second_addr_mode(state_service, FAKE_STORE_ADDR_REFUSES);
    assert_true(event_loop_run_until(loop, is_refused, &cluster[0]));
    /* Several cancellations share a revision, as if written by one transaction, and they arrive out
     * of order. */
    for (int i = 0; i < 1000; i++) {
        snprintf(id, sizeof id, "job-%d", i);
        pm_jobs_apply_cancellation(cluster[1].jobs, id, 100000 + (uint64_t)((i * 7) % 1000) / 12);
        pm_jobs_apply_cancellation(cluster[2].jobs, id, 100000 + (uint64_t)((i * 7) % 1000) / 12);
    }
    fake_store_set_outage(state_service, true);
    assert_true(event_loop_run_until(loop, knows_all_cancellations, &cluster[0]));
    run_for(2.5);
    assert_true(is_confirmed(&cluster[0]));
}

/* The state service answers the leader's transactions, but the leader's watch hangs. The checks of
 * the epoch succeed, but pm_election_is_confirmed must become false, because the replica is not
 * fresh. */
static void lagging_replica_prevents_confirmation(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);
    double confirmed_at;

    (void)arg;
    configure_cluster(cluster, 3);
    cluster[0].store_addr = fake_store_second_addr(state_service);
    /* With so long a lease the epoch is not advanced during the test. An advance would poll the
     * peers, and their responses would tell the leader of the cancellation. */
    cluster[0].settings.lease_s = 60;
    cluster[0].settings.cancel_deadline_s = 64;
    start_controller(&cluster[0]);
    assert_true(event_loop_run_until(loop, is_elected, &cluster[0]));
    start_controller(&cluster[1]);
    start_controller(&cluster[2]);
    assert_true(event_loop_run_until(loop, has_replica, &cluster[1]));
    assert_true(event_loop_run_until(loop, has_replica, &cluster[2]));
    assert_true(event_loop_run_until(loop, is_confirmed, &cluster[0]));
    assert_true(event_loop_run_until(loop, has_common_version, &cluster[0]));
    fake_store_set_second_addr_mode(state_service, FAKE_STORE_ADDR_HOLDS_WATCHES);
    close_peer_endpoint(&cluster[0]);
    assert_true(confirm_to_user(&cluster[1], "job-1", commit_cancellation(&cluster[1], "job-1")));
    confirmed_at = pm_clock_monotonic();
    while (pm_clock_monotonic() < confirmed_at + 4) {
        run_for(0.02);
        if (pm_clock_monotonic() >
            confirmed_at +
                pm_election_staleness_bound_s(&cluster[0].settings, &cluster[0].operator_settings))
            assert_false(is_confirmed_without_cancellation(&cluster[0]));
    }
    fake_store_set_second_addr_mode(state_service, FAKE_STORE_ADDR_SERVES);
    assert_true(event_loop_run_until(loop, knows_cancellation, &cluster[0]));
    assert_true(event_loop_run_until(loop, is_confirmed, &cluster[0]));
}

/* The staleness bound plus one lease, with an allowance for clock drift, is shorter than the
 * cancellation deadline. So a lease that was renewed without knowledge of the cancellation expires
 * before the deadline. Tested with several ratios of lease to deadline. */
static void staleness_bound_leaves_time_for_a_lease(void **arg)
{
    static const double lease_and_deadline_s[][2] = {
        {12, 42}, {26.5, 56.5}, {44, 74}, {10, 20}, {60, 66}};
    struct pm_operator_settings operator_settings;

    (void)arg;
    pm_operator_settings_defaults(&operator_settings);
    for (size_t i = 0; i < G_N_ELEMENTS(lease_and_deadline_s); i++) {
        struct pm_settings *settings = g_new0(struct pm_settings, 1);
        settings->lease_s = lease_and_deadline_s[i][0];
        settings->cancel_deadline_s = lease_and_deadline_s[i][1];
        assert_true(
            (pm_election_staleness_bound_s(settings, &operator_settings) + settings->lease_s) *
                (1 + 2 * PM_CLOCK_DRIFT_MAX) <
            settings->cancel_deadline_s);
        g_free(settings);
    }
}

static int post(struct controller *sender, struct controller *receiver, const char *path,
                const void *body, size_t size)
{
    int status = 0;

    pm_http_call(sender->http, receiver->settings.peer_listen_addr, "POST", path, body, size, 30,
                 4096, on_status, &status);
    assert_true(event_loop_run_until(loop, has_status, &status));
    return status;
}

/* Malformed messages are rejected or ignored: they neither end the process nor change anything. A
 * message that is repeated is applied once. */
static void malformed_messages_change_nothing(void **arg)
{
    struct controller *cluster = g_new0(struct controller, 3);
    Pm__CancellationRequest message = PM__CANCELLATION_REQUEST__INIT;
    Pm__Cancellation entry = PM__CANCELLATION__INIT;
    Pm__Cancellation *list[] = {&entry};
    unsigned char data[256];
    char *large = g_malloc0(100 * 1024);
    size_t count;
    bool has_more;

    (void)arg;
    begin_cluster(cluster);
    assert_int_equal(post(&cluster[1], &cluster[0], "/cancelled", "\xff\xff\xff", 3), 400);
    assert_int_equal(post(&cluster[1], &cluster[0], "/peer", "\xff\xff\xff", 3), 400);
    assert_int_equal(post(&cluster[1], &cluster[0], "/cancelled", large, 100 * 1024), 413);
    entry.id = "job-1";
    entry.revision = 3;
    message.cancelled = list;
    message.n_cancelled = 1;
    message.from = "nobody";
    assert_int_equal(post(&cluster[1], &cluster[0], "/cancelled", data,
                          pm__cancellation_request__pack(&message, data)),
                     400);
    assert_false(knows_cancellation(&cluster[0]));
    message.from = "n1";
    entry.id = "../../epoch";
    assert_int_equal(post(&cluster[1], &cluster[0], "/cancelled", data,
                          pm__cancellation_request__pack(&message, data)),
                     200);
    pm_jobs_list_cancellations(cluster[0].jobs, 0, 10, &count, &has_more);
    assert_int_equal(count, 0);
    entry.id = "job-1";
    for (int i = 0; i < 3; i++)
        assert_int_equal(post(&cluster[1], &cluster[0], "/cancelled", data,
                              pm__cancellation_request__pack(&message, data)),
                         200);
    pm_jobs_list_cancellations(cluster[0].jobs, 0, 10, &count, &has_more);
    assert_int_equal(count, 1);
    assert_false(has_more);
    g_free(large);
}

/* Recorded messages of the previous version, without a protocol version, are decoded correctly. */
static void reads_messages_of_the_previous_version(void **arg)
{
    size_t size;
    unsigned char *bytes = recorded_bytes(RECORDED_V1_PEER_RESPONSE, &size);
    Pm__PeerResponse *response = pm__peer_response__unpack(NULL, size, bytes);
    Pm__PeerRequest *request;
    Pm__CancellationRequest *message;
    Pm__ShardResponse *shard;

    (void)arg;
    assert_non_null(response);
    assert_true(response->has_state && response->has_cancellations && !response->has_more &&
                !response->store_serving);
    assert_int_equal(response->highest_epoch, 41);
    assert_int_equal(response->n_cancelled, 1);
    assert_string_equal(response->cancelled[0]->id, "job-1");
    assert_int_equal(response->protocol_version, 0);
    pm__peer_response__free_unpacked(response, NULL);
    g_free(bytes);
    bytes = recorded_bytes(RECORDED_V1_PEER_REQUEST, &size);
    request = pm__peer_request__unpack(NULL, size, bytes);
    assert_true(request && request->epoch == 41 && request->store_revision == 412 &&
                !request->protocol_version);
    pm__peer_request__free_unpacked(request, NULL);
    g_free(bytes);
    bytes = recorded_bytes(RECORDED_V1_CANCELLATION_REQUEST, &size);
    message = pm__cancellation_request__unpack(NULL, size, bytes);
    assert_true(message && message->n_cancelled == 1 && message->cancelled[0]->revision == 413);
    pm__cancellation_request__free_unpacked(message, NULL);
    g_free(bytes);
    bytes = recorded_bytes(RECORDED_V1_SHARD_RESPONSE, &size);
    shard = pm__shard_response__unpack(NULL, size, bytes);
    assert_true(shard && shard->ready && shard->n_drained == 1);
    pm__shard_response__free_unpacked(shard, NULL);
    g_free(bytes);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(refused_leader_is_sent_the_cancellation, set_up),
        cmocka_unit_test_setup(no_lease_renewal_without_the_cancellation_in_an_outage, set_up),
        cmocka_unit_test_setup(confirming_controller_may_be_lost, set_up),
        cmocka_unit_test_setup(cancellation_without_a_majority_is_not_confirmed, set_up),
        cmocka_unit_test_setup(acknowledgement_through_the_state_service, set_up),
        cmocka_unit_test_setup(long_lists_are_paged, set_up),
        cmocka_unit_test_setup(lagging_replica_prevents_confirmation, set_up),
        cmocka_unit_test_setup(staleness_bound_leaves_time_for_a_lease, set_up),
        cmocka_unit_test_setup(malformed_messages_change_nothing, set_up),
        cmocka_unit_test(reads_messages_of_the_previous_version),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
