#include "workers/failures.h"
#include "base/log.h"

enum {
    /* Distinct machines on which a job has to fail, none of them known to be faulty, */
    FAILING_MACHINES = 2,
    /* or failures in a row wherever they were, for it to be taken for broken: on the only machine
     * of its kind there is no second one to tell by. */
    FAILING_TASKS = 4,
    /* Blame from which on a machine is given up. */
    FAULTY_BLAME = 3,
    /* Jobs remembered against a machine; the oldest gives way. */
    RECORDS_MAX = 8,
    RETRY_DOUBLINGS_MAX = 4,
    REST_DOUBLINGS_MAX = 6
};
#define REST_S 0.5 /* a task that failed rests for twice this, then twice as long, and so on */
#define REPLICA_RUNS_S 20.0 /* a replica that has run for so long is sound, and so is its job */
#define RETRY_S 2.0 /* after a failure of a failing job; twice as long after each further one */

bool pm_failures_is_job_failing(const struct pm_job *job)
{
    const struct pm_job_failures *faults = &job->failures;

    return faults->reported_failing || faults->machine_count >= FAILING_MACHINES ||
           faults->consecutive >= FAILING_TASKS;
}

bool pm_failures_may_retry(const struct pm_job *job, double now)
{
    return now >= job->failures.retry_at;
}

/* What one job's failures say against the machine: nothing if it fails everywhere, all of them if
 * it is known to succeed elsewhere, and little while nothing else is known of it. */
static unsigned blame_of(const struct pm_failure_record *record)
{
    if (pm_failures_is_job_failing(record->job))
        return 0;
    return record->job->failures.has_succeeded ? record->failures : 1;
}

unsigned pm_failures_machine_score(const struct pm_machine *m)
{
    unsigned blame = 0;

    for (guint i = 0; m->failures.records && i < m->failures.records->len; i++)
        blame += blame_of(&g_array_index(m->failures.records, struct pm_failure_record, i));
    return m->failures.quarantined_by_owner ? MAX(blame, FAULTY_BLAME) : blame;
}

bool pm_failures_is_machine_faulty(const struct pm_machine *m)
{
    return pm_failures_machine_score(m) >= FAULTY_BLAME;
}

bool pm_failures_has_failed_on(const struct pm_job *job, const struct pm_machine *m)
{
    for (unsigned i = 0; i < job->failures.machine_count; i++)
        if (job->failures.machines[i] == m->index)
            return true;
    return false;
}

static void record_on_machine(struct pm_machine *m, const struct pm_job *job)
{
    struct pm_failure_record record = {.job = job, .failures = 1};

    if (!m->failures.records)
        m->failures.records = g_array_new(FALSE, FALSE, sizeof record);
    for (guint i = 0; i < m->failures.records->len; i++) {
        struct pm_failure_record *known =
            &g_array_index(m->failures.records, struct pm_failure_record, i);
        if (known->job == job) {
            known->failures++;
            return;
        }
    }
    if (m->failures.records->len >= RECORDS_MAX)
        g_array_remove_index(m->failures.records, 0);
    g_array_append_val(m->failures.records, record);
}

static void record_on_job(struct pm_job *job, const struct pm_machine *m)
{
    struct pm_job_failures *faults = &job->failures;

    faults->consecutive++;
    if (pm_failures_has_failed_on(job, m) ||
        faults->machine_count >= G_N_ELEMENTS(faults->machines))
        return;
    faults->machines[faults->machine_count++] = m->index;
}

/* Of tasks that were started together, all fail at about the same time: that makes one round. */
static void put_off_retry(struct pm_job *job, double now)
{
    struct pm_job_failures *faults = &job->failures;

    if (now < faults->retry_at)
        return;
    faults->retry_at = now + RETRY_S * (1 << faults->retry_rounds);
    if (faults->retry_rounds < RETRY_DOUBLINGS_MAX)
        faults->retry_rounds++;
}

static void note_failure(struct pm_job *job, struct pm_machine *m, double now)
{
    bool was_failing = pm_failures_is_job_failing(job);
    bool was_faulty = pm_failures_is_machine_faulty(m);

    /* What fails on a faulty machine says nothing about the job. */
    if (!was_faulty)
        record_on_job(job, m);
    record_on_machine(m, job);
    if (pm_failures_is_job_failing(job))
        put_off_retry(job, now);
    /* Once each: not every task of hundreds. */
    if (!was_failing && pm_failures_is_job_failing(job))
        pm_info("job.failing", "%s fails wherever it runs: one task at a time is tried", job->id);
    if (!was_faulty && pm_failures_is_machine_faulty(m))
        pm_info("machine.quarantined", "%s: tasks fail there that do not elsewhere", m->name);
}

static void note_success(struct pm_job *job, struct pm_machine *m)
{
    if (pm_failures_is_job_failing(job))
        pm_info("job.recovered", "%s has succeeded on %s", job->id, m->name);
    job->failures = (struct pm_job_failures){.has_succeeded = true};
    if (m->failures.records)
        g_array_set_size(m->failures.records, 0);
}

void pm_failures_note_running(const struct pm_placement *place, double now)
{
    if (place->job->spec->kind != PM_WORKLOAD_SERVICE || !place->job->failures.consecutive ||
        now - place->running_since < REPLICA_RUNS_S)
        return;
    note_success(place->job, place->machine);
}

static void rest_after_failure(struct pm_placement *place, enum pm_task_exit end, double now)
{
    struct pm_task *task = pm_job_task(place->job, place->task_index);
    double rest = REST_S;

    task->failures = (uint16_t)MIN(task->failures + 1, REST_DOUBLINGS_MAX);
    if (end == PM_TASK_EXIT_ERROR)
        rest = REST_S * (1 << task->failures);
    pm_job_back_off(place->job, place->task_index, now + rest);
}

void pm_failures_note_exit(struct pm_placement *place, enum pm_task_exit end, double now)
{
    if (end == PM_TASK_EXIT_DONE) {
        pm_job_task(place->job, place->task_index)->failures = 0;
        note_success(place->job, place->machine);
        return;
    }
    if (end != PM_TASK_EXIT_ERROR && end != PM_TASK_EXIT_REFUSED)
        return;
    pm_debug("task.failed", "%s/%u on %s", place->job->id, place->task_index, place->machine->name);
    rest_after_failure(place, end, now);
    if (end == PM_TASK_EXIT_ERROR)
        note_failure(place->job, place->machine, now);
}

void pm_failures_report_job(struct pm_job *job, double now)
{
    if (pm_failures_is_job_failing(job))
        return;
    job->failures.reported_failing = true;
    put_off_retry(job, now);
}

void pm_failures_clear_job(struct pm_job *job)
{
    job->failures.reported_failing = false;
}

void pm_failures_quarantine_machine(struct pm_machine *m)
{
    m->failures.quarantined_by_owner = true;
}
