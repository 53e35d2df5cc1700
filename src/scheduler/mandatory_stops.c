/* Stops for reasons other than the demand of another job: a job has ended, a gang lost a task, or
 * the provider reclaims a spot machine. */
#include "scheduler/internal.h"

/* A task that has exceeded its estimated run time by more than this may run for much longer. */
#define OVERRUN_MAX_S 10.0
/* A task continues only if it is expected to end within this share of the time until the announced
 * interruption, since the announced time may be off by half. */
#define NOTICE_USABLE_SHARE 0.4

static void stop(struct pm_scheduler *scheduler, struct pm_placement *placement, double grace_s)
{
    pm_placement_stop(placement, grace_s);
    scheduler->run.actions++;
}

static void stop_gang(struct pm_scheduler *scheduler, struct pm_job *job, double grace_s)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        const struct pm_task *task = pm_job_find_task(job, i);
        if (task && task->placement && !task->placement->should_stop)
            stop(scheduler, task->placement, grace_s);
    }
}

/* Whether the task will probably end before the machine is interrupted. */
static bool may_end_in_time(const struct pm_scheduler *scheduler,
                            const struct pm_placement *placement, double left_s, double now)
{
    double ran_s = placement->running_since ? now - placement->running_since : 0;
    double remaining_s = pm_scheduler_estimate_run_s(scheduler, placement->job) - ran_s;

    return placement->job->spec->kind != PM_WORKLOAD_SERVICE && placement->running_since &&
           remaining_s > -OVERRUN_MAX_S && remaining_s < left_s * NOTICE_USABLE_SHARE;
}

/* Stops the tasks on a machine that will be interrupted, except array and gang tasks that will
 * probably end in time. Replicas are placed again elsewhere. Tasks that can checkpoint get a grace
 * period for that; a gang is stopped as a whole. */
static void stop_for_interruption(struct pm_scheduler *scheduler, const struct pm_machine *machine,
                                  double now)
{
    double left_s = machine->heartbeat.spot_interruption_at - now;

    for (guint i = 0; i < machine->placements->len; i++) {
        struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        double grace_s = pm_scheduler_grace_s(placement, false);
        if (placement->should_stop || placement->state == PM_PLACEMENT_ENDED ||
            placement->state == PM_PLACEMENT_PROPOSED ||
            may_end_in_time(scheduler, placement, left_s, now))
            continue;
        if (placement->job->spec->kind == PM_WORKLOAD_GANG)
            stop_gang(scheduler, placement->job, grace_s);
        else
            stop(scheduler, placement, grace_s);
    }
}

/* Stops all tasks of each gang that lost one of them. */
static void stop_incomplete_gangs(struct pm_scheduler *scheduler)
{
    GPtrArray *active = pm_jobs_active(scheduler->jobs);

    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        if (job->spec && !job->delegated && job->spec->kind == PM_WORKLOAD_GANG &&
            job->work.placed_count && job->state == PM_JOB_LIVE && !job->work.done_count &&
            job->work.placed_count < job->task_count)
            stop_gang(scheduler, job, 0);
    }
}

/* Removes a placement that was never launched, so that no proof is needed that its task has ended.
 */
static void withdraw(struct pm_scheduler *scheduler, struct pm_placement *placement)
{
    struct pm_job *job = placement->job;
    uint32_t index = placement->task_index;

    pm_workers_remove_placement(scheduler->workers, placement);
    pm_job_mark_dirty(job, index);
    scheduler->run.actions++;
}

/* Stops tasks of jobs that have ended, without a grace period, and withdraws placements that are no
 * longer wanted. */
static void stop_tasks_of_ended_jobs(struct pm_scheduler *scheduler,
                                     const struct pm_machine *machine)
{
    for (guint i = 0; i < machine->placements->len;) {
        struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        bool is_live = placement->job->state == PM_JOB_LIVE;
        if (placement->state == PM_PLACEMENT_PROPOSED && !pm_placement_is_wanted(placement)) {
            withdraw(scheduler, placement); /* the next placement now has this index */
            continue;
        }
        if (!is_live && placement->state != PM_PLACEMENT_ENDED &&
            !(placement->should_stop && placement->grace_s <= 0))
            stop(scheduler, placement, 0);
        i++;
    }
}

void pm_scheduler_stop_disallowed_tasks(struct pm_scheduler *scheduler, double now)
{
    GPtrArray *machines = pm_workers_all(scheduler->workers);

    stop_incomplete_gangs(scheduler);
    for (guint i = 0; i < machines->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (!machine)
            continue;
        stop_tasks_of_ended_jobs(scheduler, machine);
        if (machine->heartbeat.spot_interruption_at && machine->state == PM_MACHINE_UP)
            stop_for_interruption(scheduler, machine, now);
    }
}
