/* Checks that a gang that has completed ends as done, though the leader that heard of it is killed
 * while one of the gang's machines is cut off. Runs real controller processes.
 *
 * PM_TEST_LOG in the environment shows the controllers' logs. PM_FIRST_DAEMON names an earlier
 * version's program that stores the end, and leads alone, until it is upgraded. */
#include "testing/cluster.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <cmocka.h>

#define DEADLINE_S 60.0 /* limit of each wait, ample even on a busy machine */
#define SETTLE_S 1.0    /* until the leader has read what it has just written */
#define RUN_S 3.0
#define CUT_AFTER_S 1.0
#define STORED_AFTER_S 1.5 /* from the gang's end until its end is stored */
#define DOWNTIME_S 1.0
#define LEASE_S 4.0

#define TEAM_CPUS 320.0

enum {
    CONTROLLERS = 3,
    MACHINES_MAX = 40,
    TWO_CHUNKS_TASKS = 136,
    TWO_HALVES_TASKS = 72,
    FIVE_HALVES_TASKS = 264,
    SMALL_VALUE_KB = 2, /* for half a chunk */
    SMALL_TXN_OPS = 4
};

static const struct cluster_team team = {"team", TEAM_CPUS, TEAM_CPUS, 0};

struct gang_case {
    unsigned task_count;
    unsigned cut_task; /* the machine of this task is cut off */
    double store_value_kb;
    int store_txn_ops;
    bool is_killed_at_first_write; /* the leader, when it writes an end; or else a little later */
};

static struct cluster *cluster;
static const char *gang_id;
static unsigned gang_tasks;
static unsigned chunk_writes;

/* Whether chunks may be stored in halves: all controllers are known to read them. */
static bool has_protocol_version(struct cluster *tested_cluster)
{
    return fake_store_revision(cluster_store(tested_cluster), "p/speaks") > 0;
}

static bool has_started(struct cluster *tested_cluster)
{
    return history_start_count(cluster_history(tested_cluster)) >= gang_tasks;
}

static bool has_written_chunk(struct cluster *tested_cluster)
{
    (void)tested_cluster;
    return chunk_writes > 0;
}

static void count_chunk_write(void *arg, const char *key, const cbor_item_t *value,
                              uint64_t revision)
{
    (void)arg;
    (void)revision;
    chunk_writes += value && g_str_has_prefix(key, "p/t/");
}

static void start_cluster(const struct gang_case *tested)
{
    const char *first_daemon = getenv("PM_FIRST_DAEMON");

    cluster = cluster_new(&(struct cluster_settings){
        .controller_count = first_daemon ? 1 : CONTROLLERS,
        .daemon = PM_DAEMON,
        .old_daemon = first_daemon,
        .quiet = !getenv("PM_TEST_LOG"),
        .max_machines = MACHINES_MAX,
        .lease_s = LEASE_S,
        .store_value_kb = tested->store_value_kb,
        .store_txn_ops = tested->store_txn_ops,
        .teams = &team,
        .team_count = 1,
    });
    assert_true(cluster_run_until(cluster, cluster_has_leader, DEADLINE_S));
    if (!first_daemon) /* earlier versions do not tell theirs */
        assert_true(cluster_run_until(cluster, has_protocol_version, DEADLINE_S));
    cluster_run(cluster, SETTLE_S);
}

static void run_gang(const struct gang_case *tested)
{
    const struct cluster_job gang = {.team = "team",
                                     .kind = "group",
                                     .priority = "normal",
                                     .task_count = tested->task_count,
                                     .cpus = 1,
                                     .run_s = RUN_S,
                                     .zone = -1};

    gang_tasks = tested->task_count;
    gang_id = cluster_submit_job(cluster, &gang);
    assert_true(cluster_run_until(cluster, has_started, DEADLINE_S));
    cluster_run(cluster, CUT_AFTER_S);
}

static void cut_machine(unsigned task_index, bool is_cut)
{
    char task[64];

    snprintf(task, sizeof task, "%s/%u", gang_id, task_index);
    assert_true(fake_provider_partition_task_machine(cluster_provider(cluster), task, is_cut));
}

static void await_stored_end(const struct gang_case *tested)
{
    chunk_writes = 0;
    cluster_observe(cluster, count_chunk_write, NULL);
    if (tested->is_killed_at_first_write)
        assert_true(cluster_run_until(cluster, has_written_chunk, DEADLINE_S));
    else
        cluster_run(cluster, RUN_S - CUT_AFTER_S + STORED_AFTER_S);
}

/* Kills the leader; its successor is another controller, or the same one after an upgrade. */
static void change_leader(void)
{
    int leader = cluster_leader(cluster);

    if (getenv("PM_FIRST_DAEMON")) {
        cluster_upgrade_controller(cluster);
        return;
    }
    cluster_kill_controller(cluster, leader);
    cluster_run(cluster, DOWNTIME_S);
    cluster_start_controller(cluster, leader);
}

static void a_completed_gang_is_finished(const struct gang_case *tested)
{
    start_cluster(tested);
    run_gang(tested);
    cut_machine(tested->cut_task, true);
    await_stored_end(tested);
    change_leader();
    cluster_run(cluster, LEASE_S);
    fake_provider_restore_machines(cluster_provider(cluster));
    assert_true(cluster_run_until(cluster, cluster_is_idle, DEADLINE_S));
    assert_int_equal(history_start_count(cluster_history(cluster)), tested->task_count);
    assert_string_equal(history_violations(cluster_history(cluster)), "");
    cluster_free(cluster);
}

/* Guards against a completed gang that stays queued for ever: the cut machine had the tasks of a
 * chunk whose end the leader knew, and had not stored. */
static void a_gang_of_two_chunks_is_finished(void **state)
{
    (void)state;
    a_completed_gang_is_finished(
        &(struct gang_case){.task_count = TWO_CHUNKS_TASKS, .cut_task = TWO_CHUNKS_TASKS - 1});
}

/* The same for a chunk that is stored in halves. */
static void a_gang_of_two_halves_is_finished(void **state)
{
    (void)state;
    a_completed_gang_is_finished(&(struct gang_case){.task_count = TWO_HALVES_TASKS,
                                                     .cut_task = TWO_HALVES_TASKS - 1,
                                                     .store_value_kb = SMALL_VALUE_KB});
}

/* The same where the values do not fit into one transaction, and the leader is killed after the
 * first. */
static void a_gang_is_finished_after_the_first_of_its_transactions(void **state)
{
    (void)state;
    a_completed_gang_is_finished(&(struct gang_case){.task_count = FIVE_HALVES_TASKS,
                                                     .cut_task = FIVE_HALVES_TASKS - 1,
                                                     .store_value_kb = SMALL_VALUE_KB,
                                                     .store_txn_ops = SMALL_TXN_OPS,
                                                     .is_killed_at_first_write = true});
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_gang_of_two_chunks_is_finished),
        cmocka_unit_test(a_gang_of_two_halves_is_finished),
        cmocka_unit_test(a_gang_is_finished_after_the_first_of_its_transactions),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Disables leak detection: a cluster's memory is kept until the process ends, because calls in
 * flight outlive the cluster. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}
