/* The write-back of placements, against a state service in this process. Safety invariants 1 and 2:
 * a task may be launched only once its placement is durable, and the placement is written only if
 * the epoch and the job are unchanged. */
#include "api_fixture.h"
#include "base/protocol.h"

enum { KEY_SIZE = 64, REFUTED_STEPS = 1000 };

#define HALF_VALUE_KB 0.19 /* too small for two placements in one value */

/* ---- Placements ---- */

static struct pm_job *submit_accepted(const char *id)
{
    assert_int_equal(submit(id).status, 201);
    assert_true(event_loop_run_until(loop, is_known, (void *)id));
    return pm_jobs_find(jobs, id);
}

static struct pm_placement *propose_placement(struct pm_job *job)
{
    struct pm_machine *machine = pm_workers_find_or_add(workers, "i-000001");
    struct pm_placement *placement;

    machine->state = PM_MACHINE_UP;
    machine->heartbeat.incarnation = 1;
    placement = pm_workers_add_placement(workers, job, 0, machine, ++job->work.last_attempt, 1,
                                         PM_PLACEMENT_PROPOSED, pm_clock_monotonic());
    pm_job_mark_dirty(job, 0);
    return placement;
}

static bool has_sent_transaction(void *arg)
{
    int *before = arg;

    run_commit();
    return fake_store_txn_count(state_service) > *before;
}

static bool is_durable(void *arg)
{
    (void)arg;
    run_commit();
    return durable_count > 0;
}

static bool has_delayed_transaction(void *arg)
{
    (void)arg;
    run_commit();
    return fake_store_has_delayed_txn(state_service);
}

static void placements_are_durable_before_they_launch(void **arg)
{
    struct pm_placement *placement = propose_placement(submit_accepted("job-1"));

    (void)arg;
    assert_int_equal(placement->state, PM_PLACEMENT_PROPOSED);
    assert_true(event_loop_run_until(loop, is_durable, NULL));
    assert_int_equal(placement->state, PM_PLACEMENT_DURABLE);
    assert_true(fake_store_revision(state_service, "p/t/job-1/0") > 0);
}

static void a_transaction_of_unknown_outcome_is_repeated(void **arg)
{
    struct pm_placement *placement = propose_placement(submit_accepted("job-1"));
    uint64_t revision;

    (void)arg;
    /* The transaction is executed, but its outcome is unknown because the answer is lost. */
    fake_store_lose_next_answer(state_service);
    assert_true(event_loop_run_until(loop, is_durable, NULL));
    revision = fake_store_revision(state_service, "p/t/job-1/0");
    assert_int_equal(placement->state, PM_PLACEMENT_DURABLE);
    assert_int_equal(durable_count, 1);
    /* The first write got the revision after the job's. A higher one shows that the value was
     * written again. */
    assert_true(revision > fake_store_revision(state_service, "p/j/job-1") + 1);
}

static bool has_epoch_conflict(void *arg)
{
    static struct pm_commit_conditions wrong;

    (void)arg;
    wrong.epoch_revision = fake_store_revision(state_service, "p/epoch") + 99;
    pm_commit_run(commit, &wrong, pm_clock_monotonic(), pm_clock_wall());
    return epoch_conflicts > 0;
}

static void a_deposed_leader_places_nothing(void **arg)
{
    struct pm_placement *placement = propose_placement(submit_accepted("job-1"));

    (void)arg;
    assert_true(event_loop_run_until(loop, has_epoch_conflict, NULL));
    assert_int_equal(placement->state, PM_PLACEMENT_PROPOSED);
    assert_int_equal(fake_store_revision(state_service, "p/t/job-1/0"), 0);
}

static void a_cancelled_job_is_not_placed(void **arg)
{
    struct pm_job *job = submit_accepted("job-1");
    struct pm_placement *placement = propose_placement(job);
    uint64_t old = job->revision;
    int before;

    (void)arg;
    assert_string_equal(request("POST", "/work/job-1/abort", NULL).state, "cancelled");
    /* Simulates a replica that has not received the cancellation yet: the placement is written on
     * the condition that the job still has its earlier revision. */
    job->revision = old;
    before = fake_store_txn_count(state_service);
    assert_true(event_loop_run_until(loop, has_sent_transaction, &before));
    before = fake_store_txn_count(state_service);
    job->revision = old;
    assert_int_equal(placement->state, PM_PLACEMENT_PROPOSED);
    assert_int_equal(fake_store_revision(state_service, "p/t/job-1/0"), 0);
}

static bool has_failed_eight_times(void *arg)
{
    const struct pm_job *job = arg;

    run_commit();
    return job->chunks[0]->write_back.failures >= 8;
}

/* Writes of a chunk that keep failing are retried after increasing delays. In an outage, or in a
 * conflict over one key, retries at a constant rate would use up the controller's write budget, and
 * delay the writes of all other chunks. */
static void retries_of_a_chunk_back_off(void **arg)
{
    struct pm_job *job = submit_accepted("job-1");

    (void)arg;
    propose_placement(job);
    fake_store_set_outage(state_service, true);
    assert_true(event_loop_run_until(loop, has_failed_eight_times, job));
    assert_true(job->chunks[0]->write_back.retry_at - pm_clock_monotonic() > 0.9);
    fake_store_set_outage(state_service, false);
    assert_true(event_loop_run_until(loop, is_durable, NULL));
    assert_int_equal(job->chunks[0]->write_back.failures, 0);
}

static bool is_written_back(void *arg)
{
    const struct pm_job *job = arg;

    run_commit();
    return !job->chunks[0]->write_back.dirty && !job->chunks[0]->write_back.in_flight;
}

/* The write of a placement has an unknown outcome. The placement is then removed, and a new one,
 * with a new attempt number, is written. If the first write is executed only after that, it changes
 * nothing. */
static void a_delayed_write_does_not_replace_a_newer_placement(void **arg)
{
    struct pm_job *job = submit_accepted("job-1");
    struct pm_placement *placement = propose_placement(job);
    uint64_t revision;

    (void)arg;
    fake_store_delay_next_txn(state_service, "p/t/job-1/0");
    assert_true(event_loop_run_until(loop, has_delayed_transaction, NULL));
    assert_int_equal(placement->state, PM_PLACEMENT_PROPOSED);
    pm_workers_remove_placement(workers, placement);
    pm_job_mark_dirty(job, 0);
    placement = propose_placement(job);
    assert_int_equal(placement->attempt, 2);
    assert_true(event_loop_run_until(loop, is_durable, NULL));
    assert_true(event_loop_run_until(loop, is_written_back, job));
    revision = fake_store_revision(state_service, "p/t/job-1/0");
    fake_store_execute_delayed_txn(state_service);
    assert_int_equal(fake_store_revision(state_service, "p/t/job-1/0"), revision);
    assert_int_equal(placement->attempt, 2);
}

/* ---- Ends of jobs and tasks ---- */

static bool is_final(void *arg)
{
    run_commit();
    return pm_jobs_find(jobs, arg)->state == PM_JOB_DONE && !pm_jobs_find(jobs, arg)->spec;
}

static void complete_task(struct pm_job *job, uint32_t index)
{
    struct pm_task *task = pm_job_ensure_task(job, index);

    if (task->placement)
        pm_workers_remove_placement(workers, task->placement);
    task->done = true;
    job->work.done_count++;
    pm_job_mark_dirty(job, index);
}

/* The job's final state is written, then the delayed write of an earlier placement is executed:
 * neither the placement nor the job's earlier state is restored. */
static void a_delayed_write_does_not_reopen_a_finished_job(void **arg)
{
    struct pm_job *job = submit_accepted("job-1");

    (void)arg;
    propose_placement(job);
    fake_store_delay_next_txn(state_service, "p/t/job-1/0");
    assert_true(event_loop_run_until(loop, has_delayed_transaction, NULL));
    complete_task(job, 0);
    complete_task(job, 1);
    assert_true(event_loop_run_until(loop, is_final, "job-1"));
    fake_store_execute_delayed_txn(state_service);
    assert_int_equal(fake_store_revision(state_service, "p/t/job-1/0"), 0);
    assert_string_equal(request("GET", "/work/job-1", NULL).state, "done");
}

/* The last task ends at the same time as a cancellation, a poll and a repeated submission arrive.
 * The final state that becomes durable first is the answer to every later request. */
static void the_end_of_a_job_is_decided_once(void **arg)
{
    struct pm_job *job = submit_accepted("job-1");
    struct pm_job *other = submit_accepted("job-2");
    int before;

    (void)arg;
    /* "done" is durable first: a cancellation that arrives later is answered "done". */
    complete_task(job, 0);
    complete_task(job, 1);
    assert_true(event_loop_run_until(loop, is_final, "job-1"));
    assert_string_equal(request("POST", "/work/job-1/abort", NULL).state, "done");
    assert_string_equal(submit("job-1").state, "done");
    assert_string_equal(request("GET", "/work/job-1", NULL).state, "done");
    /* "cancelled" is durable first: the write of "done" is conditional on the job's earlier
     * revision, so it fails. */
    complete_task(other, 0);
    complete_task(other, 1);
    /* The write of "done" has an unknown outcome. */
    fake_store_delay_next_txn(state_service, "p/j/job-2");
    assert_true(event_loop_run_until(loop, has_delayed_transaction, NULL));
    assert_string_equal(request("POST", "/work/job-2/abort", NULL).state, "cancelled");
    fake_store_execute_delayed_txn(state_service);
    before = fake_store_txn_count(state_service);
    /* The job's value is written again, with its current state. */
    assert_true(event_loop_run_until(loop, has_sent_transaction, &before));
    assert_string_equal(request("GET", "/work/job-2", NULL).state, "cancelled");
    assert_string_equal(submit("job-2").state, "cancelled");
    assert_int_equal(pm_jobs_find(jobs, "job-2")->state, PM_JOB_CANCELLED);
}

/* The leader changes between the ends of two tasks. The new leader counts the end that the earlier
 * leader stored, once, and then the end of the second task. */
static void task_ends_count_once_across_leaders(void **arg)
{
    struct pm_job *job = submit_accepted("job-1");
    struct pm_placement *placement;
    struct answer answer;

    (void)arg;
    placement = propose_placement(job);
    assert_true(event_loop_run_until(loop, is_durable, NULL));
    assert_int_equal(placement->task_index, 0);
    complete_task(job, 0);
    assert_true(event_loop_run_until(loop, is_written_back, job));
    pm_workers_reset(workers); /* another controller becomes the leader */
    pm_jobs_reset_working_state(jobs);
    pm_commit_reset(commit);
    assert_int_equal(job->work.done_count, 1);
    assert_true(pm_job_find_task(job, 0)->done);
    answer = request("GET", "/work/job-1", NULL);
    /* The job is done only once all of its tasks are. */
    assert_string_equal(answer.state, "queued");
    complete_task(job, 1);
    assert_int_equal(job->work.done_count, 2);
    assert_true(event_loop_run_until(loop, is_final, "job-1"));
    assert_string_equal(request("GET", "/work/job-1", NULL).state, "done");
}

/* ---- Chunks that are stored in halves ---- */

static bool is_stored_after_commit(void *arg)
{
    run_commit();
    return fake_store_revision(state_service, arg) > 0;
}

static bool is_deleted_after_commit(void *arg)
{
    return !is_stored_after_commit(arg);
}

static uint32_t count_placements_in_replica(const struct pm_job *job)
{
    uint32_t done;
    uint32_t placed;

    pm_job_count_tasks(job, &done, &placed);
    return placed;
}

static bool has_two_placements_in_replica(void *arg)
{
    return count_placements_in_replica(arg) == 2;
}

/* A chunk that is stored whole no longer fits into one value after the limits were lowered, and is
 * split into halves. Because a transaction may have only two changes, this takes several steps.
 * Nothing is lost if it is interrupted between two steps, and all values are deleted when the job
 * ends. */
static void a_whole_chunk_is_split_into_halves(void **arg)
{
    struct pm_job *job;
    struct pm_machine *machine = pm_workers_find_or_add(workers, "i-000002");

    (void)arg;
    job = submit_accepted("job-2");
    job->task_count = 100; /* its tasks are in both halves of the chunk */
    machine->state = PM_MACHINE_UP;
    machine->heartbeat.incarnation = 1;
    propose_placement(job);
    pm_workers_add_placement(workers, job, 90, machine, ++job->work.last_attempt, 1,
                             PM_PLACEMENT_PROPOSED, pm_clock_monotonic());
    pm_job_mark_dirty(job, 90);
    assert_true(event_loop_run_until(loop, is_stored_after_commit, "p/t/job-2/0"));
    assert_true(event_loop_run_until(loop, has_two_placements_in_replica, job));
    /* The first version whose controllers read halves of chunks. */
    tables.protocol_version = PM_PROTOCOL_DEPENDENCIES;
    settings.store_value_kb = 2; /* too small for a hundred placements */
    settings.store_txn_ops = 2;
    pm_job_mark_dirty(job, 0);
    fake_store_lose_next_answer(state_service); /* of the first step, which is executed */
    assert_true(event_loop_run_until(loop, is_stored_after_commit, "p/t/job-2/0/1"));
    assert_int_equal(count_placements_in_replica(job), 2);
    assert_true(event_loop_run_until(loop, is_deleted_after_commit, "p/t/job-2/0"));
    assert_true(event_loop_run_until(loop, has_two_placements_in_replica, job));
    assert_true(fake_store_revision(state_service, "p/t/job-2/0/0") > 0);
    /* Another controller becomes the leader, and reads both placements from the halves. */
    pm_workers_reset(workers);
    pm_jobs_reset_working_state(jobs);
    assert_int_equal(job->work.last_attempt, 2);
    assert_int_equal(job->chunks[0]->stored_placements->len, 2);
    /* The job ends. It has more values than fit into one transaction; all are deleted over time. */
    job->task_count = 2;
    complete_task(job, 0);
    complete_task(job, 1);
    assert_true(event_loop_run_until(loop, is_final, "job-2"));
    assert_int_equal(fake_store_revision(state_service, "p/t/job-2/0/0"), 0);
    assert_int_equal(fake_store_revision(state_service, "p/t/job-2/0/1"), 0);
}

/* After the limits were lowered, a chunk that still fits into one value stays whole, so each write
 * of it remains a single change. A split would need three changes: the values of two halves are
 * written, and the value of the whole chunk is deleted. If the state service rejects the value
 * nevertheless, the chunk is split. */
static void a_small_chunk_stays_whole(void **arg)
{
    struct pm_job *job = submit_accepted("job-3");
    struct pm_chunk *chunk;
    uint64_t before;

    (void)arg;
    propose_placement(job);
    assert_true(event_loop_run_until(loop, is_stored_after_commit, "p/t/job-3/0"));
    /* The first version whose controllers read halves of chunks. */
    tables.protocol_version = PM_PROTOCOL_DEPENDENCIES;
    settings.store_value_kb = 1;
    assert_false(pm_job_is_chunk_split(&tables, job, 0));
    assert_true(pm_job_can_store_placement(&tables, job, 1));
    before = fake_store_revision(state_service, "p/t/job-3/0");
    pm_job_mark_dirty(job, 0);
    assert_true(event_loop_run_until(loop, is_written_back, job));
    assert_int_equal(fake_store_revision(state_service, "p/t/job-3/0/0"), 0);
    assert_int_equal(fake_store_revision(state_service, "p/t/job-3/0/1"), 0);
    assert_true(fake_store_revision(state_service, "p/t/job-3/0") > before);
    chunk = job->chunks[0];
    chunk->write_back.write_in_halves = true;
    assert_true(pm_job_is_chunk_split(&tables, job, 0));
    tables.protocol_version = PM_PROTOCOL_FIRST; /* controllers of this version misread halves */
    assert_false(pm_job_is_chunk_split(&tables, job, 0));
}

static bool is_done_with_description(void *arg)
{
    const struct pm_job *job = arg;

    run_commit();
    return job->state == PM_JOB_DONE && job->spec;
}

/* Returns job-ID with 128 tasks, which are done, and whose chunk is stored in two halves. */
static struct pm_job *submit_ended_in_halves(const char *id)
{
    struct pm_job *job = submit_accepted(id);
    char key[KEY_SIZE];

    tables.protocol_version = PM_PROTOCOL_DEPENDENCIES;
    settings.store_value_kb = HALF_VALUE_KB;
    job->task_count = PM_CHUNK_TASKS;
    propose_placement(job);
    pm_job_mark_dirty(job, PM_CHUNK_TASKS - 1);
    for (int half = 0; half < PM_CHUNK_HALVES; half++) {
        snprintf(key, sizeof key, "p/t/%s/0/%d", id, half);
        assert_true(event_loop_run_until(loop, is_stored_after_commit, key));
    }
    for (uint32_t i = 0; i < PM_CHUNK_TASKS; i++)
        complete_task(job, i);
    return job;
}

/* The end of a job takes several transactions, and its leader ends after the first: the next leader
 * deletes what is left of the chunks, and then the description. */
static void a_later_leader_finishes_the_end_of_a_job(void **arg)
{
    struct pm_job *job = submit_ended_in_halves("job-5");

    (void)arg;
    settings.store_txn_ops = 2;
    assert_true(event_loop_run_until(loop, is_done_with_description, job));
    pm_workers_reset(workers); /* another controller becomes the leader */
    pm_jobs_reset_working_state(jobs);
    pm_commit_reset(commit);
    assert_true(event_loop_run_until(loop, is_final, "job-5"));
    assert_int_equal(fake_store_revision(state_service, "p/t/job-5/0/0"), 0);
    assert_int_equal(fake_store_revision(state_service, "p/t/job-5/0/1"), 0);
    assert_string_equal(request("GET", "/work/job-5", NULL).state, "done");
}

/* Guards against a leader that repeats the deletion of an ended job's chunks in vain, because the
 * answer to the first was lost, and spends the write budget on it, so that no launch is written any
 * more. */
static void a_deletion_without_an_answer_is_not_repeated_in_vain(void **arg)
{
    struct pm_job *job = submit_ended_in_halves("job-6");

    (void)arg;
    settings.store_txn_ops = 2;
    assert_true(event_loop_run_until(loop, is_done_with_description, job));
    fake_store_lose_next_answer(state_service); /* of the deletions, which are executed */
    assert_true(event_loop_run_until(loop, is_final, "job-6"));
}

/* The same where no watch showed what became of the key, for example because the replica was read
 * anew: a revision that the state service has refuted is not compared again. */
static void a_refuted_revision_is_not_compared_again(void **arg)
{
    struct pm_job *job = submit_ended_in_halves("job-7");

    (void)arg;
    job->chunks[0]->halves[1].written_revision += REFUTED_STEPS;
    assert_true(event_loop_run_until(loop, is_final, "job-7"));
    assert_int_equal(fake_store_revision(state_service, "p/t/job-7/0/1"), 0);
}

static bool has_failed_final_write(void *arg)
{
    const struct pm_job *job = arg;

    run_commit();
    return job->write_back.retry_at > 0;
}

/* Guards against ends of tasks that workers are told to forget before they are durable: the write
 * of the job's final state, with the deletion of half chunks, failed. The next leader would have
 * found the placement stored and the worker without the task, and launched it again. */
static void ends_are_not_durable_after_a_failed_final_write(void **arg)
{
    struct pm_job *job = submit_accepted("job-4");

    (void)arg;
    tables.protocol_version = PM_PROTOCOL_DEPENDENCIES;
    settings.store_value_kb = HALF_VALUE_KB;
    propose_placement(job);
    assert_true(event_loop_run_until(loop, is_stored_after_commit, "p/t/job-4/0/0"));
    complete_task(job, 0);
    complete_task(job, 1);
    fake_store_set_outage(state_service, true);
    assert_true(event_loop_run_until(loop, has_failed_final_write, job));
    assert_false(job->chunks[0]->write_back.in_flight);
    assert_int_not_equal(job->chunks[0]->write_back.dirty, 0);
    fake_store_set_outage(state_service, false);
    assert_true(event_loop_run_until(loop, is_final, "job-4"));
    assert_int_equal(fake_store_revision(state_service, "p/t/job-4/0/0"), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(placements_are_durable_before_they_launch, set_up),
        cmocka_unit_test_setup(a_transaction_of_unknown_outcome_is_repeated, set_up),
        cmocka_unit_test_setup(a_deposed_leader_places_nothing, set_up),
        cmocka_unit_test_setup(a_cancelled_job_is_not_placed, set_up),
        cmocka_unit_test_setup(retries_of_a_chunk_back_off, set_up),
        cmocka_unit_test_setup(a_delayed_write_does_not_replace_a_newer_placement, set_up),
        cmocka_unit_test_setup(a_delayed_write_does_not_reopen_a_finished_job, set_up),
        cmocka_unit_test_setup(the_end_of_a_job_is_decided_once, set_up),
        cmocka_unit_test_setup(task_ends_count_once_across_leaders, set_up),
        cmocka_unit_test_setup(a_whole_chunk_is_split_into_halves, set_up),
        cmocka_unit_test_setup(a_small_chunk_stays_whole, set_up),
        cmocka_unit_test_setup(a_later_leader_finishes_the_end_of_a_job, set_up),
        cmocka_unit_test_setup(a_deletion_without_an_answer_is_not_repeated_in_vain, set_up),
        cmocka_unit_test_setup(a_refuted_revision_is_not_compared_again, set_up),
        cmocka_unit_test_setup(ends_are_not_durable_after_a_failed_final_write, set_up),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
