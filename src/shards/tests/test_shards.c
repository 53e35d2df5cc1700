/* A shard is assigned with a job, its owner may place the job, and an owner that stops responding
 * loses the shard in the transaction that advances the epoch. */
#include "shard_fixtures.h"
#include "../../jobs/tests/recorded_values.h"
#include "workers/failures.h"

/* One round of what the leader's planner and event loop do. */
static void run_leader_once(void)
{
    double now = pm_clock_monotonic();

    pm_scheduler_begin_plan(leader.scheduler, now, 1e6 + now);
    pm_shards_assign_jobs(leader.shards, now);
    pm_shards_assign_machines(leader.shards, now);
    pm_shards_exchange(leader.shards, now);
}

static bool is_shard_assigned(void *arg)
{
    (void)arg;
    run_leader_once();
    return owner.is_owner && pm_workers_find(owner.workers, "i-000001") &&
           pm_shards_owner_of(leader.shards, "i-000001") &&
           !pm_jobs_find(owner.jobs, "job-1")->delegated;
}

static bool is_confirmed(void *arg)
{
    run_leader_once();
    return pm_election_is_confirmed(((struct controller *)arg)->election, pm_clock_monotonic());
}

static bool is_shard_revoked(void *arg)
{
    (void)arg;
    run_leader_once();
    return leader.returned_job_count > 0 && !owner.is_owner;
}

/* The value at the key is the recorded one but for the incarnation id, which has 16 characters. */
static void assert_recorded_value(const char *key, const char *digits)
{
    static const char field[] = "64626f6f7470"; /* "boot", and the head of its text */
    const int incarnation_digits = 32;
    char *written = fake_store_value_hex(state, key);
    char *incarnation = strstr(written, field);

    assert_non_null(incarnation);
    memset(incarnation + strlen(field), '0', (size_t)incarnation_digits);
    assert_string_equal(written, digits);
    g_free(written);
}

/* The value at the key is {version: 5}. */
static void assert_version_written(const char *key)
{
    char *written = fake_store_value_hex(state, key);

    assert_string_equal(written, "bf6776657273696f6e05ff");
    g_free(written);
}

static void shard_is_assigned_and_revoked(void **arg)
{
    struct pm_machine *machine;
    uint64_t epoch;

    (void)arg;
    write_job(&leader, "job-1", false);
    assert_true(event_loop_run_until(loop, is_shard_assigned, NULL));
    assert_recorded_value("p/epoch", RECORDED_V1_EPOCH);
    assert_recorded_value("p/lead", RECORDED_V1_LEADER_LOCK);
    assert_recorded_value("p/b/n1", RECORDED_V1_SHARD);
    assert_version_written("p/speaks/n0");
    /* The job and its parallelism came with the machine; the leader counts it as delegated. */
    assert_int_equal(pm_jobs_find(owner.jobs, "job-1")->parallelism, 2);
    assert_true(pm_jobs_find(leader.jobs, "job-1")->delegated);
    machine = pm_workers_find(leader.workers, "i-000001");
    assert_int_equal(machine->shard.owner, 1);
    assert_string_equal(pm_shards_owner_of(leader.shards, "i-000001"), "n1");
    assert_string_equal(pm_shards_owner_of(owner.shards, "i-000001"), "n1");
    /* An owner answers workers only while the epoch and its shard are confirmed. */
    pm_election_set_owned_shard(owner.election, "p/b/n1", pm_shards_owned_revision(owner.shards));
    assert_true(event_loop_run_until(loop, is_confirmed, &owner));
    epoch = pm_election_epoch(leader.election);
    assert_int_equal(pm_election_epoch(owner.election), epoch);

    /* It stops responding: its shard is deleted, and the epoch that its commands carry is over. */
    pm_http_server_free(owner.peer_server);
    assert_true(event_loop_run_until(loop, is_shard_revoked, NULL));
    assert_true(pm_election_epoch(leader.election) > epoch);
    assert_int_equal(fake_store_revision(state, "p/b/n1"), 0);
    assert_false(pm_jobs_find(leader.jobs, "job-1")->delegated);
    assert_int_equal(machine->shard.owner, 0);
    /* The worker's lease can't be over before a majority has acknowledged the new epoch. */
    assert_true(machine->lease.reclaimed_epoch == pm_election_epoch(leader.election));
    assert_false(pm_workers_is_lease_expired(
        machine, pm_election_lease_lower_bound(leader.election, machine->lease.reclaimed_epoch),
        0.001, pm_clock_monotonic() + 1000));
}

static bool is_job_failing(void *arg)
{
    run_leader_once();
    return pm_failures_is_job_failing(pm_jobs_find(leader.jobs, "job-1")) == *(bool *)arg;
}

static void assign_machines_once(void)
{
    double now = pm_clock_monotonic();

    pm_scheduler_begin_plan(leader.scheduler, now, 1e6 + now);
    pm_scheduler_place(leader.scheduler, now);
    pm_shards_assign_machines(leader.shards, now);
}

/* An owner reports a job that fails on any machine: the leader assigns no machines for its waiting
 * tasks, though its parallelism allows them, and adds no unmet demand. */
static void owner_reports_failing_jobs(void **arg)
{
    bool failing = true;
    const GArray *unmet_demand = pm_scheduler_unmet_demand(leader.scheduler);

    (void)arg;
    write_job(&leader, "job-1", false);
    assert_true(event_loop_run_until(loop, is_shard_assigned, NULL));
    pm_failures_report_job(pm_jobs_find(owner.jobs, "job-1"), pm_clock_monotonic());
    assert_true(event_loop_run_until(loop, is_job_failing, &failing));
    leader.tables.types[0].cpus = 2; /* the assigned machine has capacity for no task */
    assign_machines_once();
    assert_int_equal(unmet_demand->len, 0);
    /* One of its tasks succeeds. */
    failing = false;
    pm_failures_clear_job(pm_jobs_find(owner.jobs, "job-1"));
    assert_true(event_loop_run_until(loop, is_job_failing, &failing));
    assign_machines_once();
    assert_int_equal(unmet_demand->len, 1);
}

static bool is_write_delayed(void *arg)
{
    (void)arg;
    run_leader_once();
    return fake_store_has_delayed_txn(state);
}

static bool has_job_returned(void *arg)
{
    (void)arg;
    run_leader_once();
    return leader.returned_job_count > 0;
}

static bool has_time_passed(void *arg)
{
    run_leader_once();
    return pm_clock_monotonic() > *(double *)arg;
}

/* The first write of a shard has an unknown outcome, its owner stops responding, and the leader
 * reclaims the job. Were the write applied after that, both would place the same job. */
static void late_first_write_is_not_applied(void **arg)
{
    uint64_t epoch;
    double later;

    (void)arg;
    write_job(&leader, "job-1", false);
    fake_store_delay_next_txn(state, "p/b/n1");
    assert_true(event_loop_run_until(loop, is_write_delayed, NULL));
    epoch = pm_election_epoch(leader.election);
    fake_store_set_outage(state, true);
    pm_http_server_free(owner.peer_server);
    later = pm_clock_monotonic() + 3;
    assert_true(event_loop_run_until(loop, has_time_passed, &later));
    assert_int_equal(leader.returned_job_count, 0);
    fake_store_set_outage(state, false);
    assert_true(event_loop_run_until(loop, has_job_returned, NULL));
    assert_true(pm_election_epoch(leader.election) > epoch);
    assert_false(pm_jobs_find(leader.jobs, "job-1")->delegated);
    fake_store_execute_delayed_txn(state);
    assert_int_equal(fake_store_revision(state, "p/b/n1"), 0);
}

/* A job is assigned to an owner only if the shard's value has space for the machines that it needs
 * too: else it would wait there for machines that can't be assigned, beside free ones. */
static void job_is_assigned_only_if_value_has_space(void **arg)
{
    double later;

    (void)arg;
    later = pm_clock_monotonic() + 2.5; /* by then the owner has reported that it is ready */
    assert_true(event_loop_run_until(loop, has_time_passed, &later));
    write_job(&leader, "job-1", false);
    leader.settings.store_value_kb =
        0.2; /* a shard with the job, but not with a machine beside it */
    pm_scheduler_begin_plan(leader.scheduler, pm_clock_monotonic(), 1e6);
    pm_shards_assign_jobs(leader.shards, pm_clock_monotonic());
    assert_false(pm_jobs_find(leader.jobs, "job-1")->delegated);
    leader.settings.store_value_kb = 0.4;
    pm_shards_assign_jobs(leader.shards, pm_clock_monotonic());
    assert_true(pm_jobs_find(leader.jobs, "job-1")->delegated);
    pm_shards_assign_machines(leader.shards, pm_clock_monotonic());
    assert_int_equal(pm_workers_find(leader.workers, "i-000001")->shard.owner, 1);
}

static bool restart_peer_server(void *arg)
{
    struct controller *controller = arg;

    controller->peer_server =
        pm_http_server_new(loop, controller->settings.peer_listen_addr, 16, on_peer, controller);
    return controller->peer_server != NULL;
}

static bool has_job_returned_or_time_passed(void *arg)
{
    return has_time_passed(arg) || leader.returned_job_count > 0;
}

/* A shard is revoked from an owner that stopped responding, and the transaction that does it gets
 * no answer, nor is it applied yet. */
static void delay_a_revocation(void)
{
    write_job(&leader, "job-1", false);
    assert_true(event_loop_run_until(loop, is_shard_assigned, NULL));
    fake_store_delay_next_txn(state, "p/b/n1");
    pm_http_server_free(owner.peer_server);
    assert_true(event_loop_run_until(loop, is_write_delayed, NULL));
}

static void assert_job_returns_soon(void)
{
    double later = pm_clock_monotonic() + 6;

    assert_true(event_loop_run_until(loop, has_job_returned_or_time_passed, &later));
    assert_int_equal(leader.returned_job_count, 1);
}

/* The owner responds again before the retry. The first attempt may yet be applied, so the shard
 * can't be used any more: it is revoked all the same, else its jobs would wait there for ever. */
static void revocation_with_unknown_outcome_is_retried(void **arg)
{
    (void)arg;
    delay_a_revocation();
    assert_true(event_loop_run_until(loop, restart_peer_server, &owner));
    assert_job_returns_soon();
}

/* The leader resynchronizes its replica before the watch reports the deletion: the new snapshot,
 * which has no such key, shows it. */
static void snapshot_shows_that_shard_is_deleted(void **arg)
{
    (void)arg;
    delay_a_revocation();
    pm_store_resync(leader.store);
    fake_store_execute_delayed_txn(state);
    assert_int_equal(fake_store_revision(state, "p/b/n1"), 0);
    assert_job_returns_soon();
}

static bool has_lost_ownership(void *arg)
{
    (void)arg;
    run_leader_once();
    return owner.lost_ownership_count > 0 && (owner.is_owner || leader.returned_job_count > 0);
}

/* An owner that resynchronizes its replica loses what it knew of its shard: which tasks it placed,
 * and which commands are in flight. It does not use that shard again, though the state service
 * still has it: not counting what runs there, it would start as much again as the parallelism
 * allows. The leader revokes the shard, which ends those commands, and finds the placements in the
 * state service. */
static void owner_that_resyncs_gives_up_its_shard(void **arg)
{
    uint64_t epoch;

    (void)arg;
    write_job(&leader, "job-1", false);
    assert_true(event_loop_run_until(loop, is_shard_assigned, NULL));
    epoch = pm_election_epoch(leader.election);
    pm_store_resync(owner.store);
    assert_true(event_loop_run_until(loop, has_lost_ownership, NULL));
    assert_false(owner.is_owner);
    assert_int_equal(leader.returned_job_count, 1);
    assert_true(pm_election_epoch(leader.election) > epoch);
    assert_int_equal(fake_store_revision(state, "p/b/n1"), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(shard_is_assigned_and_revoked, set_up),
        cmocka_unit_test_setup(owner_reports_failing_jobs, set_up),
        cmocka_unit_test_setup(job_is_assigned_only_if_value_has_space, set_up),
        cmocka_unit_test_setup(late_first_write_is_not_applied, set_up),
        cmocka_unit_test_setup(owner_that_resyncs_gives_up_its_shard, set_up),
        cmocka_unit_test_setup(revocation_with_unknown_outcome_is_retried, set_up),
        cmocka_unit_test_setup(snapshot_shows_that_shard_is_deleted, set_up),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* The controllers of a test live until the process ends, as those of a daemon do. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}
