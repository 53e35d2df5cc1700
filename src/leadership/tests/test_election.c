/* The epoch, its confirmation and the replica, against a state service in this process. Nothing
 * here depends on how fast it runs: every step waits for what it expects. */
#include "controllers.h"
#include "base/clock.h"
#include "leadership/election.h"
#include "peer.pb-c.h"

#include <ev.h>
#include <glib.h>
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

static int set_up(void **arg)
{
    (void)arg;
    loop = ev_loop_new(EVFLAG_AUTO);
    state = fake_store_new(loop);
    return 0;
}

static void on_told(void *arg, int status, const unsigned char *body, size_t size)
{
    (void)body;
    (void)size;
    *(int *)arg = status;
}

static bool is_told(void *arg)
{
    return *(int *)arg != 0;
}

static bool knows_floor(void *arg)
{
    return isfinite(pm_election_lease_lower_bound(((struct controller *)arg)->lead, 0));
}

static void one_leads_and_a_successor_has_a_higher_epoch(void **arg)
{
    struct controller *all = g_new0(struct controller, 2);
    uint64_t first;

    (void)arg;
    acquaint(all, 2);
    start(&all[0]);
    assert_true(event_loop_run_until(loop, has_taken, &all[0]));
    assert_true(is_confirmed(&all[0]));
    first = pm_election_epoch(all[0].lead);
    /* Of two controllers one is no majority: nobody else is known to have learned of the epoch. */
    assert_false(knows_floor(&all[0]));
    start(&all[1]);
    assert_true(event_loop_run_until(loop, knows_floor, &all[0]));
    assert_int_equal(all[1].took, 0); /* p/lead is held */
    assert_string_equal(pm_election_other_leader(all[1].lead), "n0");
    /* The hold lapses: somebody takes over, with a higher epoch, and no two lead in the same. */
    all[0].took = 0;
    fake_store_revoke_all_leases(state);
    for (int i = 0; !all[0].took && !all[1].took && i < 4000; i++)
        event_loop_run_until(loop, has_taken, &all[1]);
    assert_true(all[1].took > first);
    assert_true(pm_election_epoch(all[1].lead) > first);
}

static unsigned count_takers(const struct controller *all, int n)
{
    unsigned takers = 0;

    for (int i = 0; i < n; i++)
        takers += all[i].took > 0;
    return takers;
}

static bool one_has_taken(void *arg)
{
    return count_takers(arg, 3) > 0;
}

/* Two candidates for a vacant lead: the hold of one is granted after its replica has learned that
 * the other leads. It used to take the lead away at once, on the revision just read. */
static void a_candidate_that_comes_late_gives_up(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);

    (void)arg;
    acquaint(all, 3);
    for (int i = 0; i < 3; i++)
        start(&all[i]);
    assert_true(event_loop_run_until(loop, one_has_taken, all));
    for (int i = 0; i < 3; i++)
        assert_true(event_loop_run_until(loop, has_read, &all[i]));
    for (int i = 0; i < 3; i++)
        all[i].took = 0;
    fake_store_delay_next_grant(state); /* of the first of the two that do not lead */
    fake_store_revoke_all_leases(state);
    assert_true(event_loop_run_until(loop, one_has_taken, all));
    pass(1);
    assert_int_equal(count_takers(all, 3), 1);
}

static bool has_raised(void *arg)
{
    return ((struct controller *)arg)->raised > 0;
}

static void a_raise_without_an_answer_is_found_again(void **arg)
{
    struct controller *c = g_new0(struct controller, 1);
    uint64_t first;
    uint64_t revision;

    (void)arg;
    acquaint(c, 1);
    start(c);
    assert_true(event_loop_run_until(loop, has_taken, c));
    first = pm_election_epoch(c->lead);
    revision = fake_store_revision(state, "p/epoch");
    /* Carried out, but its answer is lost: the watch tells that the epoch is ours. */
    fake_store_lose_next_answer(state);
    pm_election_advance_epoch(c->lead, NULL, 0);
    assert_true(event_loop_run_until(loop, has_raised, c));
    assert_int_equal(c->lost, 0);
    assert_true(pm_election_epoch(c->lead) > first);
    assert_true(pm_election_epoch_revision(c->lead) > revision);
    assert_int_equal(pm_election_epoch_revision(c->lead), fake_store_revision(state, "p/epoch"));
}

/* A command that was carried out may come again, later than a lease after it: by then its token
 * must be an old one, though nobody was in doubt. */
static void the_token_is_raised_within_a_lease(void **arg)
{
    struct controller *c = g_new0(struct controller, 1);
    uint64_t first;
    double began;

    (void)arg;
    acquaint(c, 1);
    c->settings.lease_s = 0.5;
    start(c);
    assert_true(event_loop_run_until(loop, has_taken, c));
    first = pm_election_epoch(c->lead);
    began = pm_clock_monotonic();
    assert_true(event_loop_run_until(loop, has_raised, c));
    assert_true(pm_election_epoch(c->lead) > first);
    assert_true(pm_clock_monotonic() - began >= 0.7 * 0.5 - 0.1); /* and not all the time */
    assert_int_equal(c->lost, 0);
    /* While the state service refuses it, it is not asked for one again and again. */
    fake_store_set_outage(state, true);
    assert_true(event_loop_run_until(loop, is_refused, c));
    first = pm_election_epoch(c->lead);
    fake_store_set_outage(state, false);
    c->raised = 0;
    assert_true(event_loop_run_until(loop, has_raised, c));
    assert_true(pm_election_epoch(c->lead) > first);
}

/* A process that stood still while its clocks ran on: what it was told before counts from then, so
 * on waking it vouches for nothing until it has asked again. */
static void who_stood_still_confirms_nothing(void **arg)
{
    struct controller *c = g_new0(struct controller, 1);
    double woke;

    (void)arg;
    acquaint(c, 1);
    c->op.confirm_s = 0.3;
    start(c);
    assert_true(event_loop_run_until(loop, has_taken, c));
    assert_true(event_loop_run_until(loop, is_confirmed, c));
    g_usleep(400 * 1000); /* its loop does not run */
    woke = pm_clock_monotonic();
    assert_false(pm_election_is_confirmed(c->lead, woke));
    /* An answer to what was asked before it stood still comes late, and says nothing of now. */
    pm_election_confirm_epoch(c->lead, woke - 0.35, 0);
    assert_false(pm_election_is_confirmed(c->lead, woke));
    assert_true(pm_election_exclusive_since(c->lead) >
                woke); /* others may have answered workers meanwhile */
    assert_true(event_loop_run_until(loop, is_confirmed, c));
}

/* Three controllers that know one another: the first leads, the second has read the state, the
 * third is not running. Then the state service refuses everybody. */
static void begin_outage(struct controller *all)
{
    acquaint(all, 3);
    start(&all[0]);
    assert_true(event_loop_run_until(loop, has_taken, &all[0]));
    start(&all[1]);
    assert_true(event_loop_run_until(loop, has_read, &all[1]));
    assert_true(event_loop_run_until(loop, knows_floor, &all[0]));
    fake_store_set_outage(state, true);
}

/* A leader that the state service refuses, and that a successor has told of its epoch, is no part
 * of a majority for its own, though another controller has not heard of the successor yet. */
static void who_knows_a_higher_epoch_confirms_none(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    Pm__PeerRequest message = PM__PEER_REQUEST__INIT;
    unsigned char data[64];
    int told = 0;

    (void)arg;
    begin_outage(all);
    message.from = "n2";
    message.epoch = pm_election_epoch(all[0].lead) + 1;
    pm_http_call(all[1].http, all[0].settings.peer_listen_addr, "POST", "/peer", data,
                 pm__peer_request__pack(&message, data), 30, 4096, on_told, &told);
    assert_true(event_loop_run_until(loop, is_told, &told));
    assert_int_equal(told, 200);
    assert_true(event_loop_run_until(loop, is_unconfirmed, &all[0]));
    for (int i = 0; i < 40; i++) { /* and so it stays, whatever n1 says */
        double later = pm_clock_monotonic() + 0.05;
        assert_true(event_loop_run_until(loop, is_later, &later));
        assert_false(is_confirmed(&all[0]));
    }
}

static void an_outage_needs_a_majority(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    double later;

    (void)arg;
    begin_outage(all);
    /* Two of three that have read the state confirm it for longer than one confirmation lasts. */
    later = pm_clock_monotonic() + 2 * all[0].op.confirm_s;
    assert_true(event_loop_run_until(loop, is_later, &later));
    assert_true(event_loop_run_until(loop, is_confirmed, &all[0]));
    /* The third was started in the outage: it has read nothing, so its word counts for nothing. */
    pm_http_server_free(all[1].back);
    all[1].back = NULL;
    start(&all[2]);
    assert_true(event_loop_run_until(loop, is_unconfirmed, &all[0]));
    assert_int_equal(all[2].took, 0);
}

/* Out of reach of the state service and of the other controllers, but not of the workers: within A
 * nothing is confirmed any more, so no worker is answered, and so it stays. */
static void cut_off_with_its_workers_confirms_none(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    double later;

    (void)arg;
    acquaint(all, 3);
    start(&all[0]);
    assert_true(event_loop_run_until(loop, has_taken, &all[0]));
    start(&all[1]);
    assert_true(event_loop_run_until(loop, knows_floor, &all[0]));
    fake_store_set_hanging(state, true);
    pm_http_server_free(all[1].back);
    later = pm_clock_monotonic() + all[0].op.confirm_s + 0.5;
    assert_true(event_loop_run_until(loop, is_later, &later));
    assert_false(is_confirmed(&all[0]));
    later = pm_clock_monotonic() + 1;
    assert_true(event_loop_run_until(loop, is_later, &later));
    assert_false(is_confirmed(&all[0]));
}

static bool is_caring(void *arg)
{
    return pm_election_may_renew_in_outage(((struct controller *)arg)->lead, pm_clock_monotonic());
}

static bool is_caring_no_more(void *arg)
{
    return !is_caring(arg);
}

/* An outage of the state service whose leader is not reached: a majority that is refused, has read
 * the state and knows no higher epoch may answer workers, so that their leases do not run out. (On
 * a day of troubles the leader died two seconds before an outage of ten: every task was killed.) A
 * leader that comes back after all judges no lease by what it answered before. */
static void others_care_for_workers_in_an_outage(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    double later;
    double back;

    (void)arg;
    acquaint(all, 3);
    start(&all[0]);
    assert_true(event_loop_run_until(loop, has_taken, &all[0]));
    start(&all[1]);
    start(&all[2]);
    assert_true(event_loop_run_until(loop, has_read, &all[1]));
    assert_true(event_loop_run_until(loop, has_read, &all[2]));
    fake_store_set_outage(state, true);
    assert_true(event_loop_run_until(loop, is_refused, &all[1]));
    assert_true(event_loop_run_until(loop, is_refused, &all[2]));
    later = pm_clock_monotonic() + 4;
    assert_true(event_loop_run_until(loop, is_later, &later));
    assert_false(is_caring(&all[1])); /* the leader is there */
    pm_http_server_free(all[0].back);
    assert_true(event_loop_run_until(loop, is_caring, &all[1]));
    assert_true(event_loop_run_until(loop, is_caring, &all[2]));
    assert_int_equal(pm_election_epoch(all[1].lead), pm_election_epoch(all[0].lead));
    back = pm_clock_monotonic();
    fake_store_set_outage(state, false);
    assert_true(event_loop_run_until(loop, is_caring_no_more, &all[1]));
    assert_true(event_loop_run_until(loop, is_confirmed, &all[0]));
    assert_true(pm_election_exclusive_since(all[0].lead) >= back + all[0].op.confirm_s);
}

static void one_refused_alone_cares_for_nobody(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    double later;

    (void)arg;
    begin_outage(all); /* the third is not there: with the leader gone no majority is left */
    pm_http_server_free(all[0].back);
    assert_true(event_loop_run_until(loop, is_refused, &all[1]));
    later = pm_clock_monotonic() + 5;
    assert_true(event_loop_run_until(loop, is_later, &later));
    assert_false(is_caring(&all[1]));
}

static void on_written(void *arg, enum pm_store_result result, uint64_t store_revision,
                       const cbor_item_t *failed)
{
    (void)store_revision;
    (void)failed;
    *(int *)arg = result;
}

static void ignore_put(void *arg, const char *key, const cbor_item_t *value, uint64_t revision)
{
    (void)arg;
    (void)key;
    (void)value;
    (void)revision;
}

static void ignore_drop(void *arg, const char *key, uint64_t revision)
{
    (void)arg;
    (void)key;
    (void)revision;
}

static void put_leader(struct pm_txn *txn, const char *key, uint64_t epoch)
{
    pm_txn_put(txn, key);
    pm_put_map(&txn->writes);
    pm_put_pair_count(&txn->writes, "epoch", epoch);
    pm_put_pair_text(&txn->writes, "leader", "n0");
    pm_put_pair_text(&txn->writes, "boot", "predecessor");
    pm_put_end(&txn->writes);
    pm_txn_put_end(txn, 0);
}

/* Back within a fraction of a second, in an outage: what its predecessor had read and acknowledged
 * binds it not. It has no say before it has read the state; then it leads at once, though the hold
 * of its predecessor is still there, and in a later epoch. */
static void back_at_once_it_reads_first(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    struct pm_http_client *http = pm_http_client_new(loop, 8);
    struct pm_store *writer =
        pm_store_new(loop, http, fake_store_addr(state), 1000,
                     &(struct pm_store_observer){ignore_put, ignore_drop, on_listed, on_listed,
                                                 on_caught_up, NULL});
    struct pm_txn txn = {0};
    int status = 0;
    double later;

    (void)arg;
    acquaint(all, 3);
    put_leader(&txn, "p/epoch", 5);
    put_leader(&txn, "p/lead", 5);
    pm_store_commit(writer, &txn, on_written, &status);
    assert_true(event_loop_run_until(loop, is_told, &status));
    start(&all[1]);
    assert_true(event_loop_run_until(loop, has_read, &all[1]));
    fake_store_set_outage(state, true);
    start(&all[0]);
    later = pm_clock_monotonic() + 1;
    assert_true(event_loop_run_until(loop, is_later, &later));
    assert_false(is_confirmed(&all[0]));
    assert_int_equal(all[0].took, 0);
    fake_store_set_outage(state, false);
    assert_true(event_loop_run_until(loop, has_taken, &all[0]));
    assert_true(pm_election_epoch(all[0].lead) > 5);
    assert_int_equal(all[1].took, 0);
}

/* What the version before would misread is used once every controller named in the settings has
 * said that it knows it: one that was not heard counts as old, and so does one that speaks, but
 * does not say so. The knowledge outlives whoever had it. */
static void all_speak_once_each_has_said_so(void **arg)
{
    struct controller *all = g_new0(struct controller, 4);
    Pm__PeerRequest message = PM__PEER_REQUEST__INIT;
    unsigned char data[64];
    int told = 0;

    (void)arg;
    acquaint(all, 3);
    start(&all[0]);
    start(&all[1]);
    assert_true(event_loop_run_until(loop, has_read, &all[0]));
    assert_true(event_loop_run_until(loop, has_read, &all[1]));
    message.from = "n2"; /* as the version before asks */
    pm_http_call(all[1].http, all[0].settings.peer_listen_addr, "POST", "/peer", data,
                 pm__peer_request__pack(&message, data), 30, 4096, on_told, &told);
    assert_true(event_loop_run_until(loop, is_told, &told));
    assert_int_equal(told, 200);
    pass(2);
    assert_false(all_are_new(&all[0]));
    assert_int_equal(fake_store_revision(state, "p/speaks"), 0);
    /* Its turn has come. The others do not hear it, but read what it speaks. */
    start(&all[2]);
    for (int i = 0; i < 3; i++)
        pm_http_server_free(all[i].back);
    assert_true(event_loop_run_until(loop, all_are_new, &all[0]));
    assert_true(event_loop_run_until(loop, all_are_new, &all[2]));
    /* A new process reads what is known. */
    all[3].settings = all[1].settings;
    all[3].op = all[1].op;
    fixture_begin(&all[3].tables, &all[3].settings);
    start(&all[3]);
    assert_true(event_loop_run_until(loop, all_are_new, &all[3]));
}

/* A controller of the version before: it answers as that one does, and never names a version. */
static void answer_as_before(void *arg, struct pm_http_request *req)
{
    Pm__PeerResponse tell = PM__PEER_RESPONSE__INIT;
    Pm__PeerRequest *ask = pm__peer_request__unpack(NULL, req->body_size, req->body);
    unsigned char data[128];

    (void)arg;
    assert_non_null(ask); /* it reads what this version sends */
    tell.from = "n2";
    tell.highest_epoch = ask->epoch;
    tell.has_state = true;
    tell.store_refusing = true;
    tell.store_revision = ask->store_revision;
    tell.has_cancellations = true;
    pm_http_reply(req, 200, data, pm__peer_response__pack(&tell, data), 0);
    pm__peer_request__free_unpacked(ask, NULL);
}

static struct pm_http_server *start_version_before(const struct controller *c)
{
    struct pm_http_server *server =
        pm_http_server_new(loop, c->settings.peer_listen_addr, 16, answer_as_before, NULL);

    assert_non_null(server);
    return server;
}

/* The third controller asks as the version before does. */
static void ask_as_before(struct controller *from, const struct controller *to)
{
    Pm__PeerRequest message = PM__PEER_REQUEST__INIT;
    unsigned char data[64];
    int told = 0;

    message.from = "n2";
    pm_http_call(from->http, to->settings.peer_listen_addr, "POST", "/peer", data,
                 pm__peer_request__pack(&message, data), 30, 4096, on_told, &told);
    assert_true(event_loop_run_until(loop, is_told, &told));
    assert_int_equal(told, 200);
}

/* Two run this version, the third the one before. The first reaches the state service by its second
 * address, so that a test can take it away from that one alone. */
static struct pm_http_server *start_mixed(struct controller *all)
{
    struct pm_http_server *before;

    acquaint(all, 3);
    before = start_version_before(&all[2]);
    all[0].state_addr = fake_store_second_addr(state);
    start(&all[0]);
    assert_true(event_loop_run_until(loop, has_taken, &all[0]));
    start(&all[1]);
    assert_true(event_loop_run_until(loop, has_read, &all[1]));
    pass(2);
    assert_int_equal(fake_store_revision(state, "p/speaks"), 0);
    return before;
}

/* How soon after it can be known the feature has to be on, well within the 60 s of a user's
 * patience. The fake state service and the loopback answer at once. */
#define GATE_S 3.0

static void assert_gate_opens(struct controller *c, double known_at)
{
    assert_true(event_loop_run_until(loop, all_are_new, c));
    assert_true(pm_clock_monotonic() - known_at < GATE_S);
}

/* The last one is replaced during an outage: nothing can be written then, and at its end all know.
 */
static void the_last_one_is_replaced_in_an_outage(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    struct pm_http_server *before = start_mixed(all);
    double end;

    (void)arg;
    fake_store_set_outage(state, true);
    assert_true(event_loop_run_until(loop, is_refused, &all[0]));
    pm_http_server_free(before);
    start(&all[2]);
    pass(1.5);
    assert_false(all_are_new(&all[0]));
    end = pm_clock_monotonic();
    fake_store_set_outage(state, false);
    for (int i = 0; i < 3; i++)
        assert_gate_opens(&all[i], end);
}

/* The last one does not reach the state service: its messages tell the others what it runs. */
static void the_last_one_is_out_of_reach_of_the_state_service(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    struct pm_http_server *before = start_mixed(all);
    double since;

    (void)arg;
    all[2].state_addr = "127.0.0.1:9"; /* nobody listens there */
    pm_http_server_free(before);
    start(&all[2]);
    since = pm_clock_monotonic();
    assert_gate_opens(&all[0], since);
    assert_gate_opens(&all[1], since);
    assert_false(all_are_new(&all[2]));
    assert_false(has_read(&all[2]));
}

/* It dies before its turn and comes back as it was, in the middle of the others' replacement. */
static void the_old_one_returns_old_before_its_turn(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    struct pm_http_server *before = start_mixed(all);
    double since;

    (void)arg;
    pm_http_server_free(before);
    pass(1);
    before = start_version_before(&all[2]);
    ask_as_before(&all[1], &all[0]);
    pass(2);
    assert_false(all_are_new(&all[0]));
    pm_http_server_free(before);
    start(&all[2]);
    since = pm_clock_monotonic();
    assert_gate_opens(&all[0], since);
    /* What it said before, held up on its way, closes nothing again. */
    ask_as_before(&all[1], &all[0]);
    ask_as_before(&all[0], &all[1]);
    pass(1);
    assert_true(all_are_new(&all[0]));
    assert_true(all_are_new(&all[1]));
}

/* The leader dies when half are replaced: its successor knows what each runs, and says so. */
static void the_leader_dies_when_half_are_new(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);
    struct pm_http_server *before = start_mixed(all);
    double since;

    (void)arg;
    pm_http_server_free(all[0].back); /* nobody hears of it any more */
    fake_store_set_second_access(state, FAKE_STORE_REFUSES);
    fake_store_revoke_all_leases(state);
    assert_true(event_loop_run_until(loop, has_taken, &all[1]));
    assert_false(all_are_new(&all[1]));
    pm_http_server_free(before);
    start(&all[2]);
    since = pm_clock_monotonic();
    assert_gate_opens(&all[1], since);
}

/* In mixed company an outage is ridden out as ever: the version before counts for a majority. */
static void the_version_before_counts_in_a_majority(void **arg)
{
    struct controller *all = g_new0(struct controller, 3);

    (void)arg;
    start_mixed(all);
    fake_store_set_outage(state, true);
    assert_true(event_loop_run_until(loop, is_refused, &all[0]));
    pm_http_server_free(all[1].back);
    pass(2 * all[0].op.confirm_s);
    assert_true(event_loop_run_until(loop, is_confirmed, &all[0]));
}

static bool has_successor(void *arg)
{
    struct controller *all = arg;
    uint64_t newest = 0;

    for (int i = 1; i < 4; i++)
        newest = MAX(newest, all[i].took);
    return newest > all[0].took;
}

/* Ten leaders in a row, one of them on the far side of an outage: each later than the one before,
 * never two that are confirmed in one epoch, and the elections leave the write budget to others. */
static void ten_leaders_in_a_row(void **arg)
{
    struct controller *all = g_new0(struct controller, 4); /* all[0]: the newest epoch so far */
    uint64_t first;

    (void)arg;
    acquaint(all + 1, 3);
    for (int i = 1; i < 4; i++)
        start(&all[i]);
    assert_true(event_loop_run_until(loop, has_successor, all));
    first = fake_store_revision(state, "p/epoch");
    for (int i = 0; i < 10; i++) {
        int confirmed = 0;
        for (int j = 1; j < 4; j++)
            all[0].took = MAX(all[0].took, all[j].took);
        if (i == 5)
            fake_store_set_outage(state, true);
        fake_store_revoke_all_leases(state);
        if (i == 5) {
            pass(0.5);
            fake_store_set_outage(state, false);
        }
        assert_true(event_loop_run_until(loop, has_successor, all));
        for (int j = 1; j < 4; j++)
            confirmed += pm_election_epoch(all[j].lead) >= all[0].took + 1 && is_confirmed(&all[j]);
        assert_true(confirmed <= 1);
    }
    assert_true(fake_store_revision(state, "p/epoch") - first <= 4 * 10);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(a_candidate_that_comes_late_gives_up, set_up),
        cmocka_unit_test_setup(one_leads_and_a_successor_has_a_higher_epoch, set_up),
        cmocka_unit_test_setup(a_raise_without_an_answer_is_found_again, set_up),
        cmocka_unit_test_setup(the_token_is_raised_within_a_lease, set_up),
        cmocka_unit_test_setup(who_stood_still_confirms_nothing, set_up),
        cmocka_unit_test_setup(an_outage_needs_a_majority, set_up),
        cmocka_unit_test_setup(who_knows_a_higher_epoch_confirms_none, set_up),
        cmocka_unit_test_setup(cut_off_with_its_workers_confirms_none, set_up),
        cmocka_unit_test_setup(back_at_once_it_reads_first, set_up),
        cmocka_unit_test_setup(others_care_for_workers_in_an_outage, set_up),
        cmocka_unit_test_setup(all_speak_once_each_has_said_so, set_up),
        cmocka_unit_test_setup(the_last_one_is_replaced_in_an_outage, set_up),
        cmocka_unit_test_setup(the_last_one_is_out_of_reach_of_the_state_service, set_up),
        cmocka_unit_test_setup(the_old_one_returns_old_before_its_turn, set_up),
        cmocka_unit_test_setup(the_leader_dies_when_half_are_new, set_up),
        cmocka_unit_test_setup(the_version_before_counts_in_a_majority, set_up),
        cmocka_unit_test_setup(ten_leaders_in_a_row, set_up),
        cmocka_unit_test_setup(one_refused_alone_cares_for_nobody, set_up),
    };

    cmocka_set_test_filter(g_getenv("PM_TEST_FILTER"));
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* The controllers of a test live until the process ends, as those of a daemon do. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}
