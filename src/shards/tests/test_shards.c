/* Tests of assigning and revoking shards: the owner of a shard may place the shard's jobs, and the
 * shard of an owner that stops responding is deleted in the transaction that advances the epoch. */
#include "shard_fixtures.h"
#include "../../jobs/tests/recorded_values.h"
#include "workers/failures.h"

/* Runs one round of the leader's plan and of its exchange with the owner. */
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

static bool is_epoch_confirmed(void *arg)
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

/* Asserts that the value at `key` equals the recorded one, given in hexadecimal, except for the
 * incarnation id. The id has 16 characters, which are replaced by zero bytes. */
static void assert_recorded_value(const char *key, const char *expected_hex)
{
    static const char boot_field[] = "64626f6f7470"; /* "boot" and the head of a text of 16 bytes */
    const int incarnation_digits = 32;
    char *written = fake_store_value_hex(state_service, key);
    char *incarnation = strstr(written, boot_field);

    assert_non_null(incarnation);
    memset(incarnation + strlen(boot_field), '0', (size_t)incarnation_digits);
    assert_string_equal(written, expected_hex);
    g_free(written);
}

/* Asserts that the value at `key` is {"version": 6}. */
static void assert_version_written(const char *key)
{
    char *written = fake_store_value_hex(state_service, key);

    assert_string_equal(written, "bf6776657273696f6e06ff");
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
    /* The owner has the job with its parallelism; on the leader the job counts as delegated. */
    assert_int_equal(pm_jobs_find(owner.jobs, "job-1")->parallelism, 2);
    assert_true(pm_jobs_find(leader.jobs, "job-1")->delegated);
    machine = pm_workers_find(leader.workers, "i-000001");
    assert_int_equal(machine->shard.assigned_to, 1);
    assert_string_equal(pm_shards_owner_of(leader.shards, "i-000001"), "n1");
    assert_string_equal(pm_shards_owner_of(owner.shards, "i-000001"), "n1");
    /* An owner answers workers only while the epoch and its shard are confirmed. */
    pm_election_set_owned_shard(owner.election, "p/b/n1", pm_shards_owned_revision(owner.shards));
    assert_true(event_loop_run_until(loop, is_epoch_confirmed, &owner));
    epoch = pm_election_epoch(leader.election);
    assert_int_equal(pm_election_epoch(owner.election), epoch);

    /* The owner stops responding: its shard is deleted and the epoch advances, so that the workers
     * refuse the owner's commands. */
    pm_http_server_free(owner.peer_server);
    assert_true(event_loop_run_until(loop, is_shard_revoked, NULL));
    assert_true(pm_election_epoch(leader.election) > epoch);
    assert_int_equal(fake_store_revision(state_service, "p/b/n1"), 0);
    assert_false(pm_jobs_find(leader.jobs, "job-1")->delegated);
    assert_int_equal(machine->shard.assigned_to, 0);
    /* The worker's lease counts as live until a majority has acknowledged the new epoch. */
    assert_true(machine->lease.reclaimed_epoch == pm_election_epoch(leader.election));
    assert_false(pm_workers_is_lease_expired(
        machine, pm_election_epoch_exclusive_since(leader.election, machine->lease.reclaimed_epoch),
        0.001, pm_clock_monotonic() + 1000));
}

/* Whether the leader counts job-1 as failing or not, as `arg` (a bool) says. */
static bool is_failing_flag_as_expected(void *arg)
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

/* After an owner reports that a job fails regardless of the machine, the leader assigns no machines
 * for the job's waiting tasks, although the job's parallelism would allow them, and adds no unmet
 * demand for them. */
static void owner_reports_failing_jobs(void **arg)
{
    bool failing = true;
    const GArray *unmet_demand = pm_scheduler_unmet_demand(leader.scheduler);

    (void)arg;
    write_job(&leader, "job-1", false);
    assert_true(event_loop_run_until(loop, is_shard_assigned, NULL));
    pm_failures_mark_job_failing(pm_jobs_find(owner.jobs, "job-1"), pm_clock_monotonic());
    assert_true(event_loop_run_until(loop, is_failing_flag_as_expected, &failing));
    leader.tables.types[0].cpus = 2; /* no task fits on the assigned machine any more */
    assign_machines_once();
    assert_int_equal(unmet_demand->len, 0);
    /* One of the job's tasks succeeds: the waiting tasks are unmet demand again. */
    failing = false;
    pm_failures_clear_job_mark(pm_jobs_find(owner.jobs, "job-1"));
    assert_true(event_loop_run_until(loop, is_failing_flag_as_expected, &failing));
    assign_machines_once();
    assert_int_equal(unmet_demand->len, 1);
}

static bool is_txn_delayed(void *arg)
{
    (void)arg;
    run_leader_once();
    return fake_store_has_delayed_txn(state_service);
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

/* Guards against two controllers that place the same job. The first write of a shard has an unknown
 * outcome, the owner stops responding, and the leader reclaims the job: the state service must not
 * apply the write after that. */
static void late_first_write_is_not_applied(void **arg)
{
    uint64_t epoch;
    double deadline;

    (void)arg;
    write_job(&leader, "job-1", false);
    fake_store_delay_next_txn(state_service, "p/b/n1");
    assert_true(event_loop_run_until(loop, is_txn_delayed, NULL));
    epoch = pm_election_epoch(leader.election);
    fake_store_set_outage(state_service, true);
    pm_http_server_free(owner.peer_server);
    deadline = pm_clock_monotonic() + 3;
    assert_true(event_loop_run_until(loop, has_time_passed, &deadline));
    assert_int_equal(leader.returned_job_count, 0);
    fake_store_set_outage(state_service, false);
    assert_true(event_loop_run_until(loop, has_job_returned, NULL));
    assert_true(pm_election_epoch(leader.election) > epoch);
    assert_false(pm_jobs_find(leader.jobs, "job-1")->delegated);
    fake_store_execute_delayed_txn(state_service);
    assert_int_equal(fake_store_revision(state_service, "p/b/n1"), 0);
}

/* A job is assigned to an owner only if the shard's value also has space for the machines that the
 * job needs. Otherwise the job would wait at the owner for machines that can't be assigned, while
 * machines are free. */
static void job_is_assigned_only_if_value_has_space(void **arg)
{
    double deadline;

    (void)arg;
    deadline = pm_clock_monotonic() + 2.5; /* the owner reports that it is ready before this */
    assert_true(event_loop_run_until(loop, has_time_passed, &deadline));
    write_job(&leader, "job-1", false);
    /* Space for a shard with the job, but not for a machine as well. */
    leader.settings.store_value_kb = 0.2;
    pm_scheduler_begin_plan(leader.scheduler, pm_clock_monotonic(), 1e6);
    pm_shards_assign_jobs(leader.shards, pm_clock_monotonic());
    assert_false(pm_jobs_find(leader.jobs, "job-1")->delegated);
    leader.settings.store_value_kb = 0.4;
    pm_shards_assign_jobs(leader.shards, pm_clock_monotonic());
    assert_true(pm_jobs_find(leader.jobs, "job-1")->delegated);
    pm_shards_assign_machines(leader.shards, pm_clock_monotonic());
    assert_int_equal(pm_workers_find(leader.workers, "i-000001")->shard.assigned_to, 1);
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

/* Assigns a shard to an owner that then stops responding, and holds back the transaction that
 * revokes the shard: it is neither applied nor answered yet. */
static void delay_revocation_txn(void)
{
    write_job(&leader, "job-1", false);
    assert_true(event_loop_run_until(loop, is_shard_assigned, NULL));
    fake_store_delay_next_txn(state_service, "p/b/n1");
    pm_http_server_free(owner.peer_server);
    assert_true(event_loop_run_until(loop, is_txn_delayed, NULL));
}

static void assert_job_returns_soon(void)
{
    double deadline = pm_clock_monotonic() + 6;

    assert_true(event_loop_run_until(loop, has_job_returned_or_time_passed, &deadline));
    assert_int_equal(leader.returned_job_count, 1);
}

/* The owner responds again after the first attempt to revoke its shard, before the retry. The first
 * attempt may still be applied, so the owner can't rely on the shard. The leader must go on to
 * revoke it, or the shard's jobs would wait forever. */
static void revocation_with_unknown_outcome_is_retried(void **arg)
{
    (void)arg;
    delay_revocation_txn();
    assert_true(event_loop_run_until(loop, restart_peer_server, &owner));
    assert_job_returns_soon();
}

/* The leader resynchronizes its replica before the watch reports that the shard's key is deleted.
 * The leader learns of the deletion from the new snapshot, which does not list the key. */
static void snapshot_shows_that_shard_is_deleted(void **arg)
{
    (void)arg;
    delay_revocation_txn();
    pm_store_resync(leader.store);
    fake_store_execute_delayed_txn(state_service);
    assert_int_equal(fake_store_revision(state_service, "p/b/n1"), 0);
    assert_job_returns_soon();
}

/* Whether the owner has lost its shard, and the job has then returned to the leader. Also true if
 * the owner regains the shard instead: that is the failure that the test guards against, and ends
 * the wait. */
static bool is_shard_regained_or_job_returned(void *arg)
{
    (void)arg;
    run_leader_once();
    return owner.lost_ownership_count > 0 && (owner.is_owner || leader.returned_job_count > 0);
}

/* An owner that resynchronizes its replica no longer knows which tasks of its shard it placed, nor
 * which of its commands are in flight. It must not use that shard again, although the state service
 * still has it: without counting the running tasks, the owner would start as many again as the
 * jobs' parallelism allows. The leader revokes the shard, so that workers refuse those commands,
 * and finds the placements in the state service. */
static void owner_that_resyncs_gives_up_its_shard(void **arg)
{
    uint64_t epoch;

    (void)arg;
    write_job(&leader, "job-1", false);
    assert_true(event_loop_run_until(loop, is_shard_assigned, NULL));
    epoch = pm_election_epoch(leader.election);
    pm_store_resync(owner.store);
    assert_true(event_loop_run_until(loop, is_shard_regained_or_job_returned, NULL));
    assert_false(owner.is_owner);
    assert_int_equal(leader.returned_job_count, 1);
    assert_true(pm_election_epoch(leader.election) > epoch);
    assert_int_equal(fake_store_revision(state_service, "p/b/n1"), 0);
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

/* Disables leak detection, because a test's controllers are never freed, as in a daemon. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}
