/* Handles changes of placements and machines: the hooks of the workers slice, the write-back and
 * the autoscaler. Runs in the event-loop thread, except that on_placement_ended may also be called
 * from the planner's thread, with the controller's lock held. */
#include "base/clock.h"
#include "base/log.h"
#include "internal.h"

/* How long a preempted task waits before it competes for capacity again. */
#define PREEMPTED_BACKOFF_S 1.0

/* ---- write-back ---- */

static void on_placement_durable(void *arg, struct pm_placement *placement)
{
    struct pm_controller *controller = arg;

    if (controller->is_active)
        pm_controller_push_commands(controller, placement->machine, false);
}

static void on_epoch_confirmed(void *arg, double sent_at, uint64_t store_revision)
{
    struct pm_controller *controller = arg;

    pm_election_confirm_epoch(controller->election, sent_at, store_revision);
    pm_controller_commit(controller);
    pm_controller_plan_soon(controller);
}

static void on_epoch_conflict(void *arg)
{
    struct pm_controller *controller = arg;

    pm_election_recheck_epoch(controller->election);
}

struct pm_commit_hooks pm_controller_commit_hooks(struct pm_controller *controller)
{
    return (struct pm_commit_hooks){
        .placement_durable = on_placement_durable,
        .epoch_confirmed = on_epoch_confirmed,
        .epoch_conflict = on_epoch_conflict,
        .arg = controller,
    };
}

/* ---- workers ---- */

static void note_completion(struct pm_controller *controller, const struct pm_placement *placement,
                            const struct pm_task *task, double now)
{
    struct pm_job *job = placement->job;

    if (placement->running_since && !task->was_resumed)
        pm_scheduler_record_run_time(controller->scheduler, job, now - placement->running_since);
}

static void note_interruption(const struct pm_placement *placement, struct pm_task *task,
                              double now)
{
    const struct pm_spec *spec = placement->job->spec;

    if (placement->running_since && spec->checkpoint_interval_s > 0)
        task->was_resumed = true;
    if (placement->should_stop && spec->kind == PM_WORKLOAD_ARRAY)
        pm_job_back_off(placement->job, placement->task_index, now + PREEMPTED_BACKOFF_S);
}

static void on_placement_ended(void *arg, struct pm_placement *placement,
                               enum pm_task_exit task_exit, bool saved, double now)
{
    static const char *const exit_names[] = {
        "", "done", "stopped", "failed", "refused", "gang incomplete", "lost"};
    struct pm_controller *controller = arg;
    struct pm_task *task = pm_job_ensure_task(placement->job, placement->task_index);

    pm_debug("task.exited", "%s/%u attempt %u on %s: %s%s", placement->job->id,
             placement->task_index, placement->attempt, placement->machine->name,
             exit_names[task_exit], saved ? ", progress saved" : "");
    if (task_exit == PM_TASK_EXIT_DONE)
        note_completion(controller, placement, task, now);
    else
        note_interruption(placement, task, now);
}

static void on_placement_running(void *arg, struct pm_placement *placement, double now)
{
    (void)arg;
    pm_debug("task.running", "%s/%u attempt %u on %s, %.2f s after its placement",
             placement->job->id, placement->task_index, placement->attempt,
             placement->machine->name, now - placement->placed_at);
}

struct pm_workers_hooks pm_controller_workers_hooks(struct pm_controller *controller)
{
    return (struct pm_workers_hooks){
        .placement_ended = on_placement_ended,
        .placement_running = on_placement_running,
        .arg = controller,
    };
}

/* ---- autoscaler ---- */

static void on_machine_terminated(void *arg, struct pm_machine *machine)
{
    struct pm_controller *controller = arg;

    pm_workers_mark_lost(controller->workers, machine, pm_clock_monotonic());
    pm_workers_remove(controller->workers, machine);
    pm_controller_plan_soon(controller);
}

static void on_machines_changed(void *arg)
{
    pm_controller_plan_soon(arg);
}

struct pm_autoscaler_hooks pm_controller_autoscaler_hooks(struct pm_controller *controller)
{
    return (struct pm_autoscaler_hooks){
        .machine_types = pm_controller_apply_provider_types,
        .machine_terminated = on_machine_terminated,
        .changed = on_machines_changed,
        .arg = controller,
    };
}
