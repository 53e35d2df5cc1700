/* Failure attribution: counts the exits of tasks per job and per machine. */
#include "workers/failures.h"
#include "base/log.h"

enum {
    /* A job is failing once its tasks have failed on this number of distinct machines. Here and
     * below, failures on machines that were known to be faulty are not counted. */
    FAILING_MACHINES_MIN = 2,
    /* A job is also failing after this number of consecutive failures on any machines. This covers
     * a job that only one machine can run, so that there is no second machine to compare with. */
    FAILING_TASKS_MIN = 4,
    FAULTY_SCORE_MIN = 3,     /* a machine with this score is faulty */
    RECORDS_MAX = 8,          /* jobs recorded per machine; the oldest record is evicted */
    RETRY_DOUBLINGS_MAX = 4,  /* of RETRY_DELAY_S */
    BACKOFF_DOUBLINGS_MAX = 6 /* of BACKOFF_S */
};

/* Back-off of a task whose launch was refused. After a failure the task backs off for twice this,
 * and the delay doubles with each further failure. */
#define BACKOFF_S 0.5
/* A replica that has run for this long counts as a success. */
#define HEALTHY_REPLICA_S 20.0
/* Delay before a failing job is retried. It doubles with each further failure. */
#define RETRY_DELAY_S 2.0

bool pm_failures_is_job_failing(const struct pm_job *job)
{
    const struct pm_job_failures *failures = &job->failures;

    return failures->reported_failing || failures->machine_count >= FAILING_MACHINES_MIN ||
           failures->consecutive >= FAILING_TASKS_MIN;
}

bool pm_failures_may_retry(const struct pm_job *job, double now)
{
    return now >= job->failures.retry_at;
}

/* Returns how many of one job's failures are attributed to the machine: none if the job is failing,
 * all if a task of the job has succeeded, and one if neither is known yet. */
static unsigned record_score(const struct pm_failure_record *record)
{
    if (pm_failures_is_job_failing(record->job))
        return 0;
    return record->job->failures.has_succeeded ? record->failures : 1;
}

unsigned pm_failures_machine_score(const struct pm_machine *machine)
{
    unsigned score = 0;

    for (guint i = 0; machine->failures.records && i < machine->failures.records->len; i++)
        score +=
            record_score(&g_array_index(machine->failures.records, struct pm_failure_record, i));
    return machine->failures.quarantined_by_owner ? MAX(score, FAULTY_SCORE_MIN) : score;
}

bool pm_failures_is_machine_faulty(const struct pm_machine *machine)
{
    return pm_failures_machine_score(machine) >= FAULTY_SCORE_MIN;
}

bool pm_failures_has_failed_on(const struct pm_job *job, const struct pm_machine *machine)
{
    for (unsigned i = 0; i < job->failures.machine_count; i++)
        if (job->failures.machines[i] == machine->index)
            return true;
    return false;
}

static void record_on_machine(struct pm_machine *machine, const struct pm_job *job)
{
    struct pm_failure_record record = {.job = job, .failures = 1};

    if (!machine->failures.records)
        machine->failures.records = g_array_new(FALSE, FALSE, sizeof record);
    for (guint i = 0; i < machine->failures.records->len; i++) {
        struct pm_failure_record *known =
            &g_array_index(machine->failures.records, struct pm_failure_record, i);
        if (known->job == job) {
            known->failures++;
            return;
        }
    }
    if (machine->failures.records->len >= RECORDS_MAX)
        g_array_remove_index(machine->failures.records, 0);
    g_array_append_val(machine->failures.records, record);
}

static void record_on_job(struct pm_job *job, const struct pm_machine *machine)
{
    struct pm_job_failures *failures = &job->failures;

    failures->consecutive++;
    if (pm_failures_has_failed_on(job, machine) ||
        failures->machine_count >= G_N_ELEMENTS(failures->machines))
        return;
    failures->machines[failures->machine_count++] = machine->index;
}

/* Sets the time of the next retry. Tasks that were started together fail at about the same time, so
 * failures before the retry is due do not lengthen the delay. */
static void schedule_retry(struct pm_job *job, double now)
{
    struct pm_job_failures *failures = &job->failures;

    if (now < failures->retry_at)
        return;
    failures->retry_at = now + RETRY_DELAY_S * (1 << failures->retry_doublings);
    if (failures->retry_doublings < RETRY_DOUBLINGS_MAX)
        failures->retry_doublings++;
}

static void note_failure(struct pm_job *job, struct pm_machine *machine, double now)
{
    bool was_failing = pm_failures_is_job_failing(job);
    bool was_faulty = pm_failures_is_machine_faulty(machine);

    /* A failure on a faulty machine does not count against the job. */
    if (!was_faulty)
        record_on_job(job, machine);
    record_on_machine(machine, job);
    if (pm_failures_is_job_failing(job))
        schedule_retry(job, now);
    /* The changes of state are logged, not each failure. */
    if (!was_failing && pm_failures_is_job_failing(job))
        pm_info("job.failing", "job %s keeps failing; it is retried with one task at a time",
                job->id);
    if (!was_faulty && pm_failures_is_machine_faulty(machine))
        pm_info("machine.quarantined", "%s: tasks fail there whose jobs do not fail elsewhere",
                machine->name);
}

static void note_success(struct pm_job *job, struct pm_machine *machine)
{
    if (pm_failures_is_job_failing(job))
        pm_info("job.recovered", "a task of job %s succeeded on %s", job->id, machine->name);
    job->failures = (struct pm_job_failures){.has_succeeded = true};
    if (machine->failures.records)
        g_array_set_size(machine->failures.records, 0);
}

void pm_failures_note_running(const struct pm_placement *placement, double now)
{
    if (placement->job->spec->kind != PM_WORKLOAD_SERVICE ||
        !placement->job->failures.consecutive || now - placement->running_since < HEALTHY_REPLICA_S)
        return;
    note_success(placement->job, placement->machine);
}

static void back_off_task(struct pm_placement *placement, enum pm_task_exit end, double now)
{
    struct pm_task *task = pm_job_ensure_task(placement->job, placement->task_index);
    double backoff_s = BACKOFF_S;

    task->failures = (uint16_t)MIN(task->failures + 1, BACKOFF_DOUBLINGS_MAX);
    if (end == PM_TASK_EXIT_ERROR)
        backoff_s = BACKOFF_S * (1 << task->failures);
    pm_job_back_off(placement->job, placement->task_index, now + backoff_s);
}

void pm_failures_note_exit(struct pm_placement *placement, enum pm_task_exit end, double now)
{
    if (end == PM_TASK_EXIT_DONE) {
        pm_job_ensure_task(placement->job, placement->task_index)->failures = 0;
        note_success(placement->job, placement->machine);
        return;
    }
    if (end != PM_TASK_EXIT_ERROR && end != PM_TASK_EXIT_REFUSED)
        return;
    pm_debug("task.failed", "%s/%u on %s", placement->job->id, placement->task_index,
             placement->machine->name);
    back_off_task(placement, end, now);
    if (end == PM_TASK_EXIT_ERROR)
        note_failure(placement->job, placement->machine, now);
}

void pm_failures_mark_job_failing(struct pm_job *job, double now)
{
    if (pm_failures_is_job_failing(job))
        return;
    job->failures.reported_failing = true;
    schedule_retry(job, now);
}

void pm_failures_clear_job_mark(struct pm_job *job)
{
    job->failures.reported_failing = false;
}

void pm_failures_quarantine_machine(struct pm_machine *machine)
{
    machine->failures.quarantined_by_owner = true;
}
