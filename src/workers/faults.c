#include "workers/faults.h"
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
    const struct pm_job_failures *faults = &job->faults;

    return faults->told || faults->nmachines >= FAILING_MACHINES ||
           faults->in_a_row >= FAILING_TASKS;
}

bool pm_failures_may_retry(const struct pm_job *job, double now)
{
    return now >= job->faults.retry_at;
}

/* What one job's failures say against the machine: nothing if it fails everywhere, all of them if
 * it is known to succeed elsewhere, and little while nothing else is known of it. */
static unsigned blame_of(const struct pm_failure_record *record)
{
    if (pm_failures_is_job_failing(record->job))
        return 0;
    return record->job->faults.succeeded ? record->failures : 1;
}

unsigned pm_failures_machine_score(const struct pm_machine *m)
{
    unsigned blame = 0;

    for (guint i = 0; m->fault_records && i < m->fault_records->len; i++)
        blame += blame_of(&g_array_index(m->fault_records, struct pm_failure_record, i));
    return m->condemned ? MAX(blame, FAULTY_BLAME) : blame;
}

bool pm_failures_is_machine_faulty(const struct pm_machine *m)
{
    return pm_failures_machine_score(m) >= FAULTY_BLAME;
}

bool pm_failures_has_failed_on(const struct pm_job *job, const struct pm_machine *m)
{
    for (unsigned i = 0; i < job->faults.nmachines; i++)
        if (job->faults.machine[i] == m->index)
            return true;
    return false;
}

static void record_on_machine(struct pm_machine *m, const struct pm_job *job)
{
    struct pm_failure_record record = {.job = job, .failures = 1};

    if (!m->fault_records)
        m->fault_records = g_array_new(FALSE, FALSE, sizeof record);
    for (guint i = 0; i < m->fault_records->len; i++) {
        struct pm_failure_record *known =
            &g_array_index(m->fault_records, struct pm_failure_record, i);
        if (known->job == job) {
            known->failures++;
            return;
        }
    }
    if (m->fault_records->len >= RECORDS_MAX)
        g_array_remove_index(m->fault_records, 0);
    g_array_append_val(m->fault_records, record);
}

static void record_on_job(struct pm_job *job, const struct pm_machine *m)
{
    struct pm_job_failures *faults = &job->faults;

    faults->in_a_row++;
    if (pm_failures_has_failed_on(job, m) || faults->nmachines >= G_N_ELEMENTS(faults->machine))
        return;
    faults->machine[faults->nmachines++] = m->index;
}

/* Of tasks that were started together, all fail at about the same time: that makes one round. */
static void put_off_retry(struct pm_job *job, double now)
{
    struct pm_job_failures *faults = &job->faults;

    if (now < faults->retry_at)
        return;
    faults->retry_at = now + RETRY_S * (1 << faults->rounds);
    if (faults->rounds < RETRY_DOUBLINGS_MAX)
        faults->rounds++;
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
        pm_info("machine.faulty", "%s: tasks fail there that do not elsewhere", m->name);
}

static void note_success(struct pm_job *job, struct pm_machine *m)
{
    if (pm_failures_is_job_failing(job))
        pm_info("job.succeeds", "%s has succeeded on %s", job->id, m->name);
    job->faults = (struct pm_job_failures){.succeeded = true};
    if (m->fault_records)
        g_array_set_size(m->fault_records, 0);
}

void pm_failures_note_running(const struct pm_placement *place, double now)
{
    if (place->job->spec->form != PM_WORKLOAD_SERVICE || !place->job->faults.in_a_row ||
        now - place->ran_from < REPLICA_RUNS_S)
        return;
    note_success(place->job, place->machine);
}

static void rest_after_failure(struct pm_placement *place, enum pm_task_exit end, double now)
{
    struct pm_task *task = pm_job_task(place->job, place->index);
    double rest = REST_S;

    task->errors = (uint16_t)MIN(task->errors + 1, REST_DOUBLINGS_MAX);
    if (end == PM_TASK_EXIT_ERROR)
        rest = REST_S * (1 << task->errors);
    pm_job_back_off(place->job, place->index, now + rest);
}

void pm_failures_note_exit(struct pm_placement *place, enum pm_task_exit end, double now)
{
    if (end == PM_TASK_EXIT_DONE) {
        pm_job_task(place->job, place->index)->errors = 0;
        note_success(place->job, place->machine);
        return;
    }
    if (end != PM_TASK_EXIT_ERROR && end != PM_TASK_EXIT_REFUSED)
        return;
    pm_debug("task.failed", "%s/%u on %s", place->job->id, place->index, place->machine->name);
    rest_after_failure(place, end, now);
    if (end == PM_TASK_EXIT_ERROR)
        note_failure(place->job, place->machine, now);
}

void pm_failures_report_job(struct pm_job *job, double now)
{
    if (pm_failures_is_job_failing(job))
        return;
    job->faults.told = true;
    put_off_retry(job, now);
}

void pm_failures_clear_job(struct pm_job *job)
{
    job->faults.told = false;
}

void pm_failures_quarantine_machine(struct pm_machine *m)
{
    m->condemned = true;
}
