/* Placements: the assignments of tasks to machines, and the capacity that they allocate there. */
#include "workers/failures.h"
#include "workers/internal.h"

static void allocate_capacity(struct pm_machine *machine, const struct pm_spec *spec)
{
    machine->free.cpus -= spec->cpus;
    machine->free.gpus -= spec->gpus;
    machine->free.ram_gb -= spec->ram_gb;
}

static void release_capacity(struct pm_machine *machine, const struct pm_spec *spec)
{
    machine->free.cpus += spec->cpus;
    machine->free.gpus += spec->gpus;
    machine->free.ram_gb += spec->ram_gb;
}

struct pm_placement *pm_workers_add_placement(struct pm_workers *workers, struct pm_job *job,
                                              uint32_t task_index, struct pm_machine *machine,
                                              uint32_t attempt, uint64_t incarnation,
                                              enum pm_placement_state state, double now)
{
    struct pm_placement *placement = g_new0(struct pm_placement, 1);

    (void)workers;
    placement->job = job;
    placement->machine = machine;
    placement->machine_index = machine->index;
    placement->task_index = task_index;
    placement->attempt = attempt;
    placement->incarnation = (uint32_t)incarnation;
    placement->state = state;
    placement->placed_at = now;
    g_ptr_array_add(machine->placements, placement);
    allocate_capacity(machine, job->spec);
    machine->provider.idle_since = 0;
    pm_job_ensure_task(job, task_index)->placement = placement;
    pm_job_adjust_placement_count(job, task_index, 1);
    return placement;
}

/* Releases the placement's capacity, and makes its task available to other placements. */
static void release_placement(struct pm_placement *placement)
{
    struct pm_job *job = placement->job;
    struct pm_task *task = pm_job_ensure_task(job, placement->task_index);

    release_capacity(placement->machine, job->spec);
    placement->state = PM_PLACEMENT_ENDED;
    if (task->placement == placement)
        task->placement = NULL;
    pm_job_adjust_placement_count(job, placement->task_index, -1);
    if (placement->task_index < job->work.first_waiting_hint)
        job->work.first_waiting_hint = placement->task_index;
}

void pm_workers_remove_placement(struct pm_workers *workers, struct pm_placement *placement)
{
    (void)workers;
    if (placement->state != PM_PLACEMENT_ENDED)
        release_placement(placement);
    g_ptr_array_remove_fast(placement->machine->placements, placement);
}

void pm_workers_end_placement(struct pm_workers *workers, struct pm_placement *placement,
                              enum pm_task_exit end, bool checkpointed, double now)
{
    struct pm_job *job = placement->job;
    uint32_t task_index = placement->task_index;

    if (end == PM_TASK_EXIT_DONE)
        pm_job_complete_task(job, task_index);
    release_placement(placement);
    pm_job_mark_dirty(job, task_index);
    pm_failures_note_exit(placement, end, now);
    workers->hooks.placement_ended(workers->hooks.arg, placement, end, checkpointed, now);
    pm_workers_remove_placement(workers, placement);
}

/* Whether a later attempt of the placement's gang has begun. The tasks of a gang have one attempt
 * in common; a value that was stored before the later attempt may still list the earlier one. */
static bool is_of_earlier_gang_attempt(const struct pm_placement *placement)
{
    const struct pm_job *job = placement->job;

    return job->spec && job->spec->kind == PM_WORKLOAD_GANG &&
           placement->attempt < job->work.last_attempt;
}

bool pm_placement_is_wanted(const struct pm_placement *placement)
{
    const struct pm_task *task = pm_job_find_task(placement->job, placement->task_index);

    return !placement->should_stop && placement->job->state == PM_JOB_LIVE &&
           !(task && task->done) && !is_of_earlier_gang_attempt(placement);
}

void pm_placement_stop(struct pm_placement *placement, double grace_s)
{
    if (placement->should_stop && placement->grace_s <= grace_s)
        return;
    placement->should_stop = true;
    placement->stop_pushed = false;
    placement->grace_s = grace_s;
}

void pm_workers_mark_lost(struct pm_workers *workers, struct pm_machine *machine, double now)
{
    GPtrArray *placements = machine->placements;

    while (placements->len)
        pm_workers_end_placement(workers, g_ptr_array_index(placements, placements->len - 1),
                                 PM_TASK_EXIT_LOST, false, now);
    pm_exited_tasks_clear(&machine->heartbeat.exited);
    g_array_set_size(machine->heartbeat.orphan_tasks, 0);
    machine->heartbeat.min_incarnation = machine->heartbeat.incarnation + 1;
    machine->push.unknown_outcome_token = 0;
}
