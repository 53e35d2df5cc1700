/* How many of the waiting tasks need machines of their own; the rest follows on the machines that
 * there are.
 *
 * Array jobs are taken in the scheduler's order, as one backlog of work that all capacity for array
 * work serves. A job's tasks get new machines if the backlog up to and with that job would not be
 * worked off by its deadline. */
#include "autoscaler/sizing.h"

#include <math.h>

/* Estimates are off by half. Spot machines are rented for the work that is expected; ordinary ones,
 * which cost several times as much, for this share of it. */
#define ORDINARY_WORK_SHARE 0.7

#define RUNNING_LEFT_LEAST 0.2 /* of a task's time: a running task has that much left at least */
#define OWNED_JOB_LEFT 2       /* a task of a shard has its time divided by this left, on average */
#define LAST_START_SHARE 0.6   /* of a task's time, before the deadline: the last task begins */
#define USEFUL_BOOT_SHARE 0.3  /* of a task's time, that must be left when a machine is up */
/* A machine's announced boot time, with a margin. */
#define BOOT_MARGIN 1.1
#define BOOT_MARGIN_S 2

/* Array work up to and with the job at hand, and the capacity for it. */
struct batch_backlog {
    double work_cpu_s;    /* in processor-seconds */
    double capacity_cpus; /* processors that serve it now, or once they are up */
};

/* ---- what runs ---- */

/* Adds the processor-seconds that the running array tasks on a machine still have before them. */
static void add_machine_work(const struct pm_autoscaler *autoscaler,
                             const struct pm_machine *machine, double now, double *work_cpu_s)
{
    for (guint i = 0; i < machine->placements->len; i++) {
        const struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        double task_s;
        double ran_s;
        double left_s;
        if (placement->state == PM_PLACEMENT_ENDED || !pm_sizing_is_spot_array(placement->job))
            continue;
        task_s = pm_sizing_task_s(autoscaler, placement->job);
        ran_s = placement->running_since ? now - placement->running_since : 0;
        left_s = MAX(task_s - ran_s, task_s * RUNNING_LEFT_LEAST);
        *work_cpu_s += left_s * placement->job->spec->cpus;
    }
}

/* The processor-seconds left of a job in a shard, whose placements only the owner knows. */
static double owned_job_work_cpu_s(const struct pm_autoscaler *autoscaler, const struct pm_job *job)
{
    uint32_t done;
    uint32_t placed;

    pm_job_count_tasks(job, &done, &placed);
    return placed * pm_sizing_task_s(autoscaler, job) * job->spec->cpus / OWNED_JOB_LEFT;
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
            work += owned_job_work_cpu_s(autoscaler, job);
    }
    return work;
}

/* ---- what waits ---- */

/* Whether a machine that is up, or soon will be, may run the job's tasks, its free capacity aside.
 * For a job bound to one zone, all capacity may be in the others. */
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

/* The shortest boot of the types that the job allows, in seconds. */
static double shortest_boot_s(const struct pm_name_tables *tables, const struct pm_job *job)
{
    double shortest = INFINITY;

    for (int type = 0; type < tables->type_count; type++)
        if (job->spec->allowed_types >> type & 1)
            shortest = MIN(shortest, tables->types[type].ready_s * BOOT_MARGIN + BOOT_MARGIN_S);
    return shortest;
}

/* Seconds until the job's last task must begin; 0: the job has no deadline. */
static double time_left_s(const struct pm_sizing *sizing, const struct pm_job *job, double task_s)
{
    if (isinf(job->deadline_wall))
        return 0;
    return job->deadline_wall - sizing->wall_now - task_s * LAST_START_SHARE;
}

/* The capacity, in processors, that the backlog needs to be done in time. A deadline that cannot be
 * met by renting counts as none: the job is worked off within a while. */
static double needed_cpus(const struct pm_sizing *sizing, const struct batch_backlog *backlog,
                          const struct pm_job *job, double task_s, double left_s)
{
    double boot_s = shortest_boot_s(sizing->autoscaler->tables, job);
    double after_boot_s = left_s - boot_s;

    if (after_boot_s > task_s * USEFUL_BOOT_SHARE)
        return (backlog->work_cpu_s - backlog->capacity_cpus * boot_s) / after_boot_s;
    return backlog->work_cpu_s / pm_sizing_backlog_target_s(sizing->autoscaler, job);
}

/* How many of the job's waiting tasks need machines of their own. Adds the job's work, times
 * `work_share`, and the capacity of those machines to the backlog. */
static int tasks_to_add(const struct pm_sizing *sizing, struct batch_backlog *backlog,
                        const struct pm_unmet_demand *demand, double work_share)
{
    const struct pm_job *job = demand->job;
    double job_cpus = job->spec->cpus;
    double task_s = pm_sizing_task_s(sizing->autoscaler, job);
    double left_s;
    double tasks;
    bool may_follow; /* on the machines that there are */

    if (!pm_sizing_is_spot_array(job))
        return (int)demand->tasks;
    if (pm_sizing_is_opportunistic(sizing->autoscaler, job))
        return backlog->capacity_cpus < job_cpus ? 1 : 0;
    backlog->work_cpu_s += demand->tasks * task_s * work_share * job_cpus;
    left_s = time_left_s(sizing, job, task_s);
    may_follow = may_run_on_capacity(sizing, job);
    if (may_follow && left_s > 0 && backlog->work_cpu_s <= backlog->capacity_cpus * left_s)
        return 0;
    tasks = needed_cpus(sizing, backlog, job, task_s, left_s) - backlog->capacity_cpus;
    tasks = MIN(ceil(MAX(0, tasks) / job_cpus), demand->tasks);
    if (backlog->capacity_cpus < job_cpus || !may_follow)
        tasks = MAX(tasks, 1);
    backlog->capacity_cpus += tasks * job_cpus;
    return (int)tasks;
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
        int tasks = tasks_to_add(sizing, &backlog, demand, 1);
        int ordinary_tasks = tasks_to_add(sizing, &ordinary_backlog, demand, ORDINARY_WORK_SHARE);
        pm_sizing_pack(sizing, demand->job, MAX(tasks, ordinary_tasks), ordinary_tasks);
    }
}
