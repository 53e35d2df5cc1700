/* Decides for how many of the waiting tasks machines are rented. The other tasks run later on
 * existing machines.
 *
 * All capacity for array work processes one common backlog of array jobs, in the scheduler's order.
 * Machines are rented for a job's tasks if the backlog up to and including that job would not be
 * done by the job's deadline. */
#include "autoscaler/sizing.h"

#include <math.h>

/* Spot machines are rented for all of the estimated work. Ordinary machines cost several times as
 * much, and the estimates can be wrong by half, so ordinary machines are rented for only this share
 * of the work. */
#define ORDINARY_WORK_SHARE 0.7

/* The remaining time of a running task is estimated as at least this share of its estimated
 * duration, even if the task has already run for longer than estimated. */
#define RUNNING_TASK_LEFT_MIN 0.2
/* The leader does not know when a running task of a shard's job started. The task is assumed to
 * need its estimated duration divided by this: on average, running tasks are half done. */
#define SHARD_TASK_LEFT_DIVISOR 2
/* A job's last task should start this share of a task's duration before the job's deadline. */
#define LAST_START_SHARE 0.6
/* A machine is rented for a deadline only if, once the machine is up, at least this share of a
 * task's duration is left until the job's last task should start. */
#define USEFUL_BOOT_SHARE 0.3
/* A new machine is expected to be up after BOOT_FACTOR * ready_s + BOOT_MARGIN_S, where ready_s is
 * the boot time that the provider announces for the machine type. */
#define BOOT_FACTOR 1.1
#define BOOT_MARGIN_S 2

/* The array work up to and including the current job, and the capacity that processes it. */
struct batch_backlog {
    double work_cpu_s; /* processor-seconds */
    /* Processors, including those of machines that are booting or to be rented. */
    double capacity_cpus;
};

/* ---- running work ---- */

/* Adds the processor-seconds that the array tasks placed on the machine still need. */
static void add_machine_work(const struct pm_autoscaler *autoscaler,
                             const struct pm_machine *machine, double now, double *work_cpu_s)
{
    for (guint i = 0; i < machine->placements->len; i++) {
        const struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        double task_duration_s;
        double elapsed_s;
        double remaining_s;
        if (placement->state == PM_PLACEMENT_ENDED || !pm_sizing_is_spot_array(placement->job))
            continue;
        task_duration_s = pm_sizing_task_duration_s(autoscaler, placement->job);
        elapsed_s = placement->running_since ? now - placement->running_since : 0;
        remaining_s = MAX(task_duration_s - elapsed_s, task_duration_s * RUNNING_TASK_LEFT_MIN);
        *work_cpu_s += remaining_s * placement->job->spec->cpus;
    }
}

/* Estimates the processor-seconds that the running tasks of a shard's job still need. Only the
 * shard's owner knows their placements. */
static double shard_job_work_cpu_s(const struct pm_autoscaler *autoscaler, const struct pm_job *job)
{
    uint32_t done;
    uint32_t placed;

    pm_job_count_tasks(job, &done, &placed);
    return placed * pm_sizing_task_duration_s(autoscaler, job) * job->spec->cpus /
           SHARD_TASK_LEFT_DIVISOR;
}

static double running_work_cpu_s(const struct pm_autoscaler *autoscaler, double now)
{
    GPtrArray *machines = pm_workers_all(autoscaler->workers);
    GPtrArray *active = pm_jobs_active(autoscaler->jobs);
    double work = 0;

    for (guint i = 0; i < machines->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (machine)
            add_machine_work(autoscaler, machine, now, &work);
    }
    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *job = g_ptr_array_index(active, i);
        if (job->delegated && pm_sizing_is_spot_array(job))
            work += shard_job_work_cpu_s(autoscaler, job);
    }
    return work;
}

/* ---- waiting work ---- */

/* Whether the job's constraints allow its tasks on some machine that is up or soon will be,
 * regardless of how much of the machine's capacity is free. False, for example, for a job bound to
 * a zone while all machines are in other zones. */
static bool may_run_on_capacity(const struct pm_sizing *sizing, const struct pm_job *job)
{
    const struct pm_name_tables *tables = sizing->autoscaler->tables;

    for (int type = 0; type < tables->type_count; type++)
        for (int zone = 0; zone < tables->settings->zone_count; zone++)
            for (int spot = 0; spot < 2; spot++)
                if (sizing->autoscaler->kinds[type][zone][spot].cpus >= job->spec->cpus &&
                    pm_scheduler_is_machine_allowed(tables, job, type, zone, spot))
                    return true;
    return false;
}

/* Returns the shortest boot time among the machine types that the job allows, in seconds. */
static double shortest_boot_s(const struct pm_name_tables *tables, const struct pm_job *job)
{
    double shortest = INFINITY;

    for (int type = 0; type < tables->type_count; type++)
        if (job->spec->allowed_types >> type & 1)
            shortest = MIN(shortest, tables->types[type].ready_s * BOOT_FACTOR + BOOT_MARGIN_S);
    return shortest;
}

/* Returns the seconds until the job's last task must start, or 0 if the job has no deadline. */
static double seconds_until_last_start(const struct pm_sizing *sizing, const struct pm_job *job,
                                       double task_duration_s)
{
    if (isinf(job->deadline_wall))
        return 0;
    return job->deadline_wall - sizing->wall_now - task_duration_s * LAST_START_SHARE;
}

/* Returns how many processors the backlog needs to be done by the time at which the job's last task
 * must start. If there is no deadline, or new machines would come up too late for it, the backlog
 * is to be done within pm_sizing_backlog_target_s instead. */
static double needed_cpus(const struct pm_sizing *sizing, const struct batch_backlog *backlog,
                          const struct pm_job *job, double task_duration_s,
                          double until_last_start_s)
{
    double boot_s = shortest_boot_s(sizing->autoscaler->tables, job);
    double after_boot_s = until_last_start_s - boot_s;

    if (after_boot_s > task_duration_s * USEFUL_BOOT_SHARE)
        return (backlog->work_cpu_s - backlog->capacity_cpus * boot_s) / after_boot_s;
    return backlog->work_cpu_s / pm_sizing_backlog_target_s(sizing->autoscaler, job);
}

/* Returns for how many of the job's waiting tasks machines are to be rented. Adds the share
 * `work_share` of the job's work, and the capacity of those machines, to the backlog. */
static int tasks_needing_machines(const struct pm_sizing *sizing, struct batch_backlog *backlog,
                                  const struct pm_unmet_demand *demand, double work_share)
{
    const struct pm_job *job = demand->job;
    double job_cpus = job->spec->cpus;
    double task_duration_s = pm_sizing_task_duration_s(sizing->autoscaler, job);
    double until_last_start_s;
    double tasks;
    bool can_use_existing;

    if (!pm_sizing_is_spot_array(job))
        return pm_sizing_task_count(demand->tasks);
    if (pm_sizing_is_opportunistic(sizing->autoscaler, job))
        return backlog->capacity_cpus < job_cpus ? 1 : 0;
    backlog->work_cpu_s += demand->tasks * task_duration_s * work_share * job_cpus;
    until_last_start_s = seconds_until_last_start(sizing, job, task_duration_s);
    can_use_existing = may_run_on_capacity(sizing, job);
    if (can_use_existing && until_last_start_s > 0 &&
        backlog->work_cpu_s <= backlog->capacity_cpus * until_last_start_s)
        return 0;
    tasks = needed_cpus(sizing, backlog, job, task_duration_s, until_last_start_s) -
            backlog->capacity_cpus;
    tasks = MIN(ceil(MAX(0, tasks) / job_cpus), demand->tasks);
    if (backlog->capacity_cpus < job_cpus || !can_use_existing)
        tasks = MAX(tasks, 1);
    backlog->capacity_cpus += tasks * job_cpus;
    return pm_sizing_task_count(tasks);
}

void pm_sizing_add_unmet_demand(struct pm_sizing *sizing)
{
    struct pm_autoscaler *autoscaler = sizing->autoscaler;
    const GArray *unmet_demand = pm_scheduler_unmet_demand(autoscaler->scheduler);
    struct batch_backlog backlog = {
        running_work_cpu_s(autoscaler, sizing->now),
        pm_scheduler_batch_capacity_cpus(autoscaler->scheduler, sizing->now)};
    struct batch_backlog ordinary_backlog = {backlog.work_cpu_s * ORDINARY_WORK_SHARE,
                                             backlog.capacity_cpus};

    for (guint i = 0; i < unmet_demand->len; i++) {
        const struct pm_unmet_demand *demand =
            &g_array_index(unmet_demand, struct pm_unmet_demand, i);
        int tasks = tasks_needing_machines(sizing, &backlog, demand, 1);
        int ordinary_tasks =
            tasks_needing_machines(sizing, &ordinary_backlog, demand, ORDINARY_WORK_SHARE);
        pm_sizing_pack(sizing, demand->job, MAX(tasks, ordinary_tasks), ordinary_tasks);
    }
}
