/* A block is leased with a job, its holder may place, and a holder that is not heard of loses it in
 * the transaction that raises the epoch. Two controllers and a state service in this process. */
#include "../../jobs/tests/job_fixtures.h"
#include "../../jobs/tests/recorded_values.h"
#include "testing/fake_state.h"
#include "base/clock.h"
#include "shards/shards.h"
#include "workers/failures.h"

#include <ev.h>
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

struct side {
    struct pm_settings settings;
    struct pm_operator_settings op;
    struct pm_name_tables tables;
    struct pm_http_client *http;
    struct pm_http_server *back;
    struct pm_store *store;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    struct pm_scheduler *plan;
    struct pm_election *lead;
    struct pm_shards *blocks;
    uint64_t took;
    int granted, back_jobs;
    int left; /* times at which this controller was told that it holds no block */
};

static struct ev_loop *loop;
static struct fake_state *state;

static void on_put(void *arg, const char *key, const cbor_item_t *value, uint64_t revision)
{
    struct side *s = arg;

    pm_election_apply_put(s->lead, key, value, revision);
    pm_shards_apply_put(s->blocks, key, value, revision);
    pm_jobs_apply_put(s->jobs, key, value, revision);
}

static void on_drop(void *arg, const char *key, uint64_t revision)
{
    struct side *s = arg;

    pm_election_apply_delete(s->lead, key, revision);
    pm_shards_apply_delete(s->blocks, key, revision);
    pm_jobs_apply_delete(s->jobs, key, revision);
}

static void on_begin(void *arg)
{
    struct side *s = arg;

    pm_election_snapshot_begin(s->lead);
    pm_shards_snapshot_begin(s->blocks);
}

static void on_nothing(void *arg)
{
    (void)arg;
}

static void on_caught_up(void *arg, uint64_t store_revision)
{
    (void)store_revision;
    pm_shards_caught_up(((struct side *)arg)->blocks);
}

static void on_took(void *arg, uint64_t epoch)
{
    struct side *s = arg;

    s->took = epoch;
    pm_shards_adopt(s->blocks, pm_clock_monotonic());
}

static void on_raised(void *arg, uint64_t epoch)
{
    (void)arg;
    (void)epoch;
}

static void on_job_back(void *arg, struct pm_job *job)
{
    (void)job;
    ((struct side *)arg)->back_jobs++;
}

static void on_bad(void *arg, struct pm_machine *m)
{
    (void)arg;
    (void)m;
}

static void on_mine(void *arg, bool granted)
{
    struct side *s = arg;

    s->granted = granted;
    s->left += !granted;
}

static void on_peer(void *arg, struct pm_http_request *req)
{
    struct side *s = arg;

    if (!strcmp(req->path, "/block"))
        pm_shards_handle_peer_request(s->blocks, req);
    else
        pm_election_handle_peer_request(s->lead, req);
}

static void on_cancelled(void *arg, const char *id, uint64_t revision)
{
    pm_jobs_apply_cancellation(((struct side *)arg)->jobs, id, revision);
}

static const struct pm_cancellation *on_list_cancelled(void *arg, uint64_t revision, size_t most,
                                                       size_t *n, bool *more)
{
    return pm_jobs_list_cancellations(((struct side *)arg)->jobs, revision, most, n, more);
}

static void on_reached(void *arg, int peer, uint64_t store_revision)
{
    (void)arg;
    (void)peer;
    (void)store_revision;
}

static void prepare(struct side *s, const char *name, int port, const char *peer, int peer_port)
{
    memset(s, 0, sizeof *s);
    pm_operator_settings_defaults(&s->op);
    s->settings.cluster_size = 2;
    s->settings.peer_count = 1;
    fixture_begin(&s->tables, &s->settings);
    s->settings.heartbeat_s = 1000; /* the machine of this test reports once */
    g_strlcpy(s->settings.name, name, PM_NAME_MAX);
    snprintf(s->settings.peer_listen_addr, 64, "127.0.0.1:%d", port);
    g_strlcpy(s->settings.peers[0].name, peer, PM_NAME_MAX);
    snprintf(s->settings.peers[0].addr, 64, "127.0.0.1:%d", peer_port);
}

static void start(struct side *s)
{
    s->http = pm_http_client_new(loop, 64);
    s->jobs = pm_jobs_new(&s->tables);
    s->workers = pm_workers_new(&s->tables, s->jobs, FIXTURE_HOOKS);
    s->plan = pm_scheduler_new(&s->tables, s->jobs, s->workers, &s->op);
    s->store = pm_store_new(
        loop, s->http, fake_state_addr(state), 1000,
        &(struct pm_store_observer){on_put, on_drop, on_begin, on_nothing, on_caught_up, s});
    s->lead = pm_election_new(loop, s->store, s->http, &s->settings, &s->op,
                              &(struct pm_election_hooks){on_took, on_nothing, on_raised,
                                                          on_nothing, on_cancelled,
                                                          on_list_cancelled, on_reached, s});
    s->blocks =
        pm_shards_new(&s->tables, s->jobs, s->workers, s->plan, s->store, s->http, s->lead,
                      &(struct pm_shards_hooks){on_nothing, on_job_back, on_bad, on_mine, s});
    s->back = pm_http_server_new(loop, s->settings.peer_listen_addr, 16, on_peer, s);
    assert_non_null(s->back);
}

static bool has_taken(void *arg)
{
    return ((struct side *)arg)->took > 0;
}

static void report(struct side *s, uint64_t sequence)
{
    struct pm_buf buf = {0};
    struct pm_machine *m;
    cbor_item_t *item;
    bool fresh;

    pm_put_map(&buf);
    pm_put_pair_text(&buf, "host", "i-000001");
    pm_put_pair_text(&buf, "endpoint", "127.0.0.1:9");
    pm_put_pair_text(&buf, "model", "g8");
    pm_put_pair_text(&buf, "room", "a");
    pm_put_pair_flag(&buf, "borrowed", true);
    pm_put_pair_count(&buf, "shift", 1);
    pm_put_pair_count(&buf, "tally", sequence);
    pm_put_pair_count(&buf, "mandate", pm_election_epoch(s->lead));
    pm_put_end(&buf);
    item = pm_cbor_parse(buf.data, buf.size);
    m = pm_workers_apply_heartbeat(s->workers, item, PM_SOURCE_HEARTBEAT,
                                   pm_election_epoch(s->lead), pm_clock_monotonic(), &fresh);
    assert_non_null(m);
    m->provider.is_listed = true;
    pm_cbor_free(item);
    pm_buf_free(&buf);
}

static void on_written(void *arg, enum pm_store_result result, uint64_t store_revision,
                       const cbor_item_t *failed)
{
    (void)store_revision;
    (void)failed;
    *(int *)arg = result;
}

struct wanted {
    struct side *side;
    const char *id;
};

static bool has_job(void *arg)
{
    const struct wanted *w = arg;

    return pm_jobs_find(w->side->jobs, w->id) != NULL;
}

/* A job of two tasks; one that is to be spread stays with the leader. */
static void write_job(struct side *s, const char *id, bool spread)
{
    struct wanted wanted = {s, id};
    char key[64];
    struct pm_spec spec = {.zone = -1,
                           .allowed_types = ~(uint64_t)0,
                           .task_count = 2,
                           .cpus = 4,
                           .ram_gb = 4,
                           .spot = true,
                           .spread_zones = spread,
                           .priority = PM_PRIORITY_NORMAL,
                           .deadline_s = -1};
    static int status;
    struct pm_txn txn = {0};

    spec.class_index = pm_names_intern(s->tables.class_names, "train");
    spec.image = pm_names_intern(s->tables.image_names, "img");
    snprintf(key, sizeof key, "p/j/%s", id);
    pm_txn_put(&txn, key);
    pm_job_encode(&s->tables, &spec, 2, PM_JOB_LIVE, true, &txn.writes);
    pm_txn_put_end(&txn, 0);
    pm_store_commit(s->store, &txn, on_written, &status);
    assert_true(fake_run_until(loop, has_job, &wanted));
}

static struct side leader, holder;

/* What the leader's planner and loop do, round by round. */
static void round_of_leader(void)
{
    double now = pm_clock_monotonic();

    pm_scheduler_begin(leader.plan, now, 1e6 + now);
    pm_shards_assign_jobs(leader.blocks, now);
    pm_shards_assign_machines(leader.blocks, now);
    pm_shards_exchange(leader.blocks, now);
}

static bool is_granted(void *arg)
{
    (void)arg;
    round_of_leader();
    return holder.granted && pm_workers_find(holder.workers, "i-000001") &&
           pm_shards_owner_of(leader.blocks, "i-000001") &&
           !pm_jobs_find(holder.jobs, "job-1")->delegated;
}

static bool is_confirmed(void *arg)
{
    round_of_leader();
    return pm_election_is_confirmed(((struct side *)arg)->lead, pm_clock_monotonic());
}

static bool is_lost(void *arg)
{
    (void)arg;
    round_of_leader();
    return leader.back_jobs > 0 && !holder.granted;
}

/* One leads, with a machine that has reported; the other is about to read the state. */
static int set_up(void **arg)
{
    int a = fake_free_port();
    int b = fake_free_port();

    (void)arg;
    loop = ev_loop_new(EVFLAG_AUTO);
    state = fake_state_new(loop);
    prepare(&leader, "n0", a, "n1", b);
    prepare(&holder, "n1", b, "n0", a);
    start(&leader);
    assert_true(fake_run_until(loop, has_taken, &leader));
    start(&holder);
    report(&leader, 1);
    return 0;
}

/* What stands at the key is what the version before writes, but for the name of the process. */
static void assert_written_as_before(const char *key, const char *digits)
{
    static const char boot[] = "64626f6f7470"; /* a text of 16 bytes, named "boot" */
    const int boot_digits = 32;
    char *written = fake_state_hex(state, key);
    char *name = strstr(written, boot);

    assert_non_null(name);
    memset(name + strlen(boot), '0', (size_t)boot_digits);
    assert_string_equal(written, digits);
    g_free(written);
}

/* {version: 5} */
static void assert_version_is_written(const char *key)
{
    char *written = fake_state_hex(state, key);

    assert_string_equal(written, "bf6776657273696f6e05ff");
    g_free(written);
}

static void leases_and_takes_back(void **arg)
{
    struct pm_machine *m;
    uint64_t epoch;

    (void)arg;
    write_job(&leader, "job-1", false);
    assert_true(fake_run_until(loop, is_granted, NULL));
    assert_written_as_before("p/epoch", RECORDED_V1_EPOCH);
    assert_written_as_before("p/lead", RECORDED_V1_LEAD);
    assert_written_as_before("p/b/n1", RECORDED_V1_BLOCK);
    assert_version_is_written("p/speaks/n0");
    /* The job and its parallelism came with the machine; the leader counts it as delegated. */
    assert_int_equal(pm_jobs_find(holder.jobs, "job-1")->parallelism, 2);
    assert_true(pm_jobs_find(leader.jobs, "job-1")->delegated);
    m = pm_workers_find(leader.workers, "i-000001");
    assert_int_equal(m->shard.owner, 1);
    assert_string_equal(pm_shards_owner_of(leader.blocks, "i-000001"), "n1");
    assert_string_equal(pm_shards_owner_of(holder.blocks, "i-000001"), "n1");
    /* A holder answers workers only with the epoch and its block confirmed. */
    pm_election_set_owned_shard(holder.lead, "p/b/n1", pm_shards_owned_revision(holder.blocks));
    assert_true(fake_run_until(loop, is_confirmed, &holder));
    epoch = pm_election_epoch(leader.lead);
    assert_int_equal(pm_election_epoch(holder.lead), epoch);

    /* Not heard of any more: the block is gone, and so is the epoch that its commands carry. */
    pm_http_server_free(holder.back);
    assert_true(fake_run_until(loop, is_lost, NULL));
    assert_true(pm_election_epoch(leader.lead) > epoch);
    assert_int_equal(fake_state_revision(state, "p/b/n1"), 0);
    assert_false(pm_jobs_find(leader.jobs, "job-1")->delegated);
    assert_int_equal(m->shard.owner, 0);
    /* Its lease counts from when a majority knows the new epoch, and not before. */
    assert_true(m->lease.reclaimed_epoch == pm_election_epoch(leader.lead));
    assert_false(pm_workers_is_lease_expired(
        m, pm_election_lease_lower_bound(leader.lead, m->lease.reclaimed_epoch), 0.001,
        pm_clock_monotonic() + 1000));
}

static bool is_failing(void *arg)
{
    round_of_leader();
    return pm_failures_is_job_failing(pm_jobs_find(leader.jobs, "job-1")) == *(bool *)arg;
}

static void allot_once(void)
{
    double now = pm_clock_monotonic();

    pm_scheduler_begin(leader.plan, now, 1e6 + now);
    pm_scheduler_place(leader.plan, now);
    pm_shards_assign_machines(leader.blocks, now);
}

/* A holder that finds a job failing wherever it runs says so: the leader leases no machines for the
 * tasks that wait, though they were within the lease's parallelism, and rents none. */
static void a_holder_tells_which_jobs_fail(void **arg)
{
    bool failing = true;
    const GArray *wants = pm_scheduler_unmet_demand(leader.plan);

    (void)arg;
    write_job(&leader, "job-1", false);
    assert_true(fake_run_until(loop, is_granted, NULL));
    pm_failures_report_job(pm_jobs_find(holder.jobs, "job-1"), pm_clock_monotonic());
    assert_true(fake_run_until(loop, is_failing, &failing));
    leader.tables.types[0].cpus = 2; /* the machine leased with it has room for none of its tasks */
    allot_once();
    assert_int_equal(wants->len, 0);
    /* One of its tasks succeeds. */
    failing = false;
    pm_failures_clear_job(pm_jobs_find(holder.jobs, "job-1"));
    assert_true(fake_run_until(loop, is_failing, &failing));
    allot_once();
    assert_int_equal(wants->len, 1);
}

static bool is_put_off(void *arg)
{
    (void)arg;
    round_of_leader();
    return fake_state_has_late(state);
}

static bool is_back(void *arg)
{
    (void)arg;
    round_of_leader();
    return leader.back_jobs > 0;
}

static bool is_over(void *arg)
{
    round_of_leader();
    return pm_clock_monotonic() > *(double *)arg;
}

/* The first write of a block gets no answer, its holder is not heard of any more, and the leader
 * takes back what was to be given. Carried out after that, the write would have both place the
 * same job. */
static void a_late_first_write_gives_nothing_away(void **arg)
{
    uint64_t epoch;
    double later;

    (void)arg;
    write_job(&leader, "job-1", false);
    fake_state_put_off(state, "p/b/n1");
    assert_true(fake_run_until(loop, is_put_off, NULL));
    epoch = pm_election_epoch(leader.lead);
    fake_state_outage(state, true);
    pm_http_server_free(holder.back);
    later = pm_clock_monotonic() + 3;
    assert_true(fake_run_until(loop, is_over, &later));
    assert_int_equal(leader.back_jobs, 0);
    fake_state_outage(state, false);
    assert_true(fake_run_until(loop, is_back, NULL));
    assert_true(pm_election_epoch(leader.lead) > epoch);
    assert_false(pm_jobs_find(leader.jobs, "job-1")->delegated);
    fake_state_deliver(state);
    assert_int_equal(fake_state_revision(state, "p/b/n1"), 0);
}

/* A job goes to a holder only if its block's value holds the machines that it was counted on for:
 * else it would wait there for machines that can't be leased, beside much room. */
static void given_only_what_the_block_holds(void **arg)
{
    double later;

    (void)arg;
    later = pm_clock_monotonic() + 2.5; /* the holder has said that it is ready */
    assert_true(fake_run_until(loop, is_over, &later));
    write_job(&leader, "job-1", false);
    leader.settings.store_value_kb =
        0.2; /* a block with the job, but not with a machine beside it */
    pm_scheduler_begin(leader.plan, pm_clock_monotonic(), 1e6);
    pm_shards_assign_jobs(leader.blocks, pm_clock_monotonic());
    assert_false(pm_jobs_find(leader.jobs, "job-1")->delegated);
    leader.settings.store_value_kb = 0.4;
    pm_shards_assign_jobs(leader.blocks, pm_clock_monotonic());
    assert_true(pm_jobs_find(leader.jobs, "job-1")->delegated);
    pm_shards_assign_machines(leader.blocks, pm_clock_monotonic());
    assert_int_equal(pm_workers_find(leader.workers, "i-000001")->shard.owner, 1);
}

static bool listen_again(void *arg)
{
    struct side *s = arg;

    s->back = pm_http_server_new(loop, s->settings.peer_listen_addr, 16, on_peer, s);
    return s->back != NULL;
}

static bool is_back_or_late(void *arg)
{
    return is_over(arg) || leader.back_jobs > 0;
}

/* A block is taken back from a holder that is not heard of, and the write that does it gets no
 * answer, nor is it carried out yet. */
static void put_off_a_recall(void)
{
    write_job(&leader, "job-1", false);
    assert_true(fake_run_until(loop, is_granted, NULL));
    fake_state_put_off(state, "p/b/n1");
    pm_http_server_free(holder.back);
    assert_true(fake_run_until(loop, is_put_off, NULL));
}

static void assert_taken_back_soon(void)
{
    double later = pm_clock_monotonic() + 6;

    assert_true(fake_run_until(loop, is_back_or_late, &later));
    assert_int_equal(leader.back_jobs, 1);
}

/* The holder is heard again before the next try. The write may be carried out yet, so the block is
 * of no use any more: it is taken back all the same, else its jobs would wait there for ever. */
static void a_recall_without_an_answer_is_made_again(void **arg)
{
    (void)arg;
    put_off_a_recall();
    assert_true(fake_run_until(loop, listen_again, &holder));
    assert_taken_back_soon();
}

/* The leader reads the state anew before it is told of the drop: the listing, which has no such
 * key, tells as much. */
static void a_listing_tells_that_a_block_is_gone(void **arg)
{
    (void)arg;
    put_off_a_recall();
    pm_store_resync(leader.store);
    fake_state_deliver(state);
    assert_int_equal(fake_state_revision(state, "p/b/n1"), 0);
    assert_taken_back_soon();
}

static bool has_left(void *arg)
{
    (void)arg;
    round_of_leader();
    return holder.left > 0 && (holder.granted || leader.back_jobs > 0);
}

/* Reading the state anew, a holder drops what it knew of its block: which tasks it placed, and
 * which commands are under way. It does not act on that block again, though the state service still
 * has it: counting none of what runs there, it would start as much again as the lease allows. The
 * leader takes the block back, which ends those commands, and finds the places in the state
 * service. */
static void a_holder_that_reads_anew_gives_its_block_up(void **arg)
{
    uint64_t epoch;

    (void)arg;
    write_job(&leader, "job-1", false);
    assert_true(fake_run_until(loop, is_granted, NULL));
    epoch = pm_election_epoch(leader.lead);
    pm_store_resync(holder.store);
    assert_true(fake_run_until(loop, has_left, NULL));
    assert_false(holder.granted);
    assert_int_equal(leader.back_jobs, 1);
    assert_true(pm_election_epoch(leader.lead) > epoch);
    assert_int_equal(fake_state_revision(state, "p/b/n1"), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(leases_and_takes_back, set_up),
        cmocka_unit_test_setup(a_holder_tells_which_jobs_fail, set_up),
        cmocka_unit_test_setup(given_only_what_the_block_holds, set_up),
        cmocka_unit_test_setup(a_late_first_write_gives_nothing_away, set_up),
        cmocka_unit_test_setup(a_holder_that_reads_anew_gives_its_block_up, set_up),
        cmocka_unit_test_setup(a_recall_without_an_answer_is_made_again, set_up),
        cmocka_unit_test_setup(a_listing_tells_that_a_block_is_gone, set_up),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* The controllers of a test live until the process ends, as those of a daemon do. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}
