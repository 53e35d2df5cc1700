/* Bin packing: decides which machines may run a task, and which of them is best. */
#include "scheduler/internal.h"

#include <math.h>

/* The terms of a machine's score. */
#define FAILURE_PENALTY 2.0          /* per failure that counts against the machine */
#define JOB_FAILED_THERE_PENALTY 4.0 /* a task of the same job failed on the machine */
/* The image is cached, so that the service starts at once. */
#define SERVICE_IMAGE_BONUS 10.0
/* The image is not cached, and the job may fetch it (pm_scheduler_may_fetch()). A job that has
 * already missed its start objective prefers a machine without its image, so that one more machine
 * caches the image. */
#define SERVICE_NEW_IMAGE_BONUS 4.0
#define FETCH_PENALTY_PER_S 0.3 /* per second of image fetches ahead of the task's own */
#define FETCH_PENALTY_MAX 10.0  /* upper bound of the penalty for image fetches */
/* On a cold start, if the replica has missed its start objective and would leave less than
 * PM_SERVICE_SHARE of the machine's processors free or preemptible. */
#define SERVICE_SHARE_PENALTY 8.0
#define SAME_JOB_PENALTY 2.0        /* per task of the same job already on the machine */
#define SERVICE_CAPACITY_WEIGHT 3.0 /* times the machine's free or preemptible share */
#define BATCH_IMAGE_BONUS 3.0       /* the image is cached */
/* The machine is a spot machine and the job may use one, or neither is the case. On-demand machines
 * cost more and are kept for services. */
#define BATCH_SPOT_MATCH_BONUS 5.0
#define BATCH_FREE_CAPACITY_WEIGHT 2.0 /* times the share of the machine that stays free */

/* A job that has waited for longer than this many times its start objective no longer waits for a
 * preemption on another machine. */
#define AWAIT_PREEMPTION_OBJECTIVE_FACTOR 3.0

bool pm_scheduler_is_machine_allowed(const struct pm_name_tables *tables, const struct pm_job *job,
                                     int type, int zone, bool spot)
{
    const struct pm_spec *spec = job->spec;

    return type >= 0 && type < tables->type_count && zone >= 0 &&
           (spec->allowed_types >> type & 1) && (spec->zone < 0 || spec->zone == zone) &&
           (!spot || spec->spot);
}

bool pm_scheduler_is_machine_usable(const struct pm_scheduler *scheduler,
                                    const struct pm_machine *machine, double now)
{
    const struct pm_settings *settings = scheduler->tables->settings;

    return machine->state == PM_MACHINE_UP && machine->heartbeat.has_reported &&
           !machine->shard.assigned_to && !machine->shard.revoking &&
           !machine->reservation.draining && !machine->heartbeat.spot_interruption_at &&
           !pm_failures_is_machine_faulty(machine) && !machine->delivery.failures &&
           pm_machine_is_known_to_exist(machine) && machine->heartbeat.orphan_tasks->len == 0 &&
           !pm_machine_missed_heartbeat(machine, settings, now) &&
           !pm_machine_only_answers_pushes(machine, settings, now);
}

bool pm_scheduler_has_free_capacity(const struct pm_machine *machine, const struct pm_spec *spec)
{
    return machine->free.cpus + PM_EPSILON >= spec->cpus &&
           machine->free.gpus + PM_EPSILON >= spec->gpus &&
           machine->free.ram_gb + PM_EPSILON >= spec->ram_gb;
}

bool pm_scheduler_has_image(const struct pm_machine *machine, int image)
{
    for (int i = 0; i < machine->images.count; i++)
        if (machine->images.cached[i].image == image)
            return true;
    return false;
}

bool pm_scheduler_is_zone_allowed(const struct pm_job *job, const struct pm_zone_spread *spread,
                                  int zone)
{
    const struct pm_spec *spec = job->spec;

    if (spec->same_zone && spread->total && spread->zone[zone] < spread->total)
        return false;
    return !spec->spread_zones || spread->zone[zone] + spread->unknown < (spec->task_count + 1) / 2;
}

uint32_t pm_scheduler_count_tasks_of(const struct pm_machine *machine, const struct pm_job *job)
{
    uint32_t count = 0;

    for (guint i = 0; i < machine->placements->len; i++) {
        const struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        count += placement->job == job && placement->state != PM_PLACEMENT_ENDED;
    }
    return count;
}

/* Spreads services over the machines. Over time every machine then caches every image, and each
 * keeps some capacity for starting the next service at once. Array tasks use that capacity in the
 * meantime. */
static double add_service_score(struct pm_scheduler *scheduler, const struct pm_machine *machine,
                                const struct pm_job *job, double score)
{
    const struct pm_spec *spec = job->spec;
    bool has_image = pm_scheduler_has_image(machine, spec->image);

    if (pm_scheduler_may_fetch(scheduler, machine, job))
        score += has_image ? 0 : SERVICE_NEW_IMAGE_BONUS;
    else
        score +=
            has_image
                ? SERVICE_IMAGE_BONUS
                : -MIN(FETCH_PENALTY_PER_S * pm_scheduler_fetch_backlog_s(scheduler, machine, spec),
                       FETCH_PENALTY_MAX);
    if (scheduler->cold_start.is_active &&
        pm_scheduler_uses_service_share(scheduler, machine, spec) &&
        scheduler->run.wall - pm_scheduler_waiting_since(job) >
            pm_scheduler_start_objective_s(scheduler, job))
        score -= SERVICE_SHARE_PENALTY;
    return score - SAME_JOB_PENALTY * pm_scheduler_count_tasks_of(machine, job) +
           SERVICE_CAPACITY_WEIGHT * pm_scheduler_free_or_preemptible_cpus(machine) /
               MAX(scheduler->tables->types[machine->type].cpus, PM_EPSILON);
}

/* Packs array and gang tasks onto the fullest machines, so that the remaining machines become idle
 * and can be terminated. */
static double add_batch_score(const struct pm_scheduler *scheduler,
                              const struct pm_machine *machine, const struct pm_spec *spec,
                              double score)
{
    score += pm_scheduler_has_image(machine, spec->image) ? BATCH_IMAGE_BONUS : 0;
    score += machine->spot == spec->spot ? BATCH_SPOT_MATCH_BONUS : 0;
    return score - BATCH_FREE_CAPACITY_WEIGHT * (machine->free.cpus - spec->cpus) /
                       MAX(scheduler->tables->types[machine->type].cpus, PM_EPSILON);
}

static double score_machine(struct pm_scheduler *scheduler, const struct pm_machine *machine,
                            const struct pm_job *job)
{
    double score = -FAILURE_PENALTY * pm_failures_machine_score(machine);

    if (pm_failures_has_failed_on(job, machine))
        score -= JOB_FAILED_THERE_PENALTY;
    if (job->spec->kind == PM_WORKLOAD_SERVICE)
        return add_service_score(scheduler, machine, job, score);
    return add_batch_score(scheduler, machine, job->spec, score);
}

bool pm_scheduler_is_reserved_for_other_gang(const struct pm_machine *machine,
                                             const struct pm_job *job, double now)
{
    const struct pm_job *gang = machine->reservation.gang;

    return gang && gang != job && gang->state == PM_JOB_LIVE && gang->spec &&
           !gang->work.placed_count && now < gang->scheduling.reservation_until &&
           job->priority <= gang->priority;
}

static bool is_stopping_tasks(const struct pm_machine *machine)
{
    for (guint i = 0; i < machine->placements->len; i++) {
        const struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        if (placement->should_stop && placement->state != PM_PLACEMENT_ENDED)
            return true;
    }
    return false;
}

/* Whether tasks on the machine are being preempted for another job that could preempt this job too.
 * If a task of this job took the capacity that is already free, it would soon be stopped again. */
static bool is_preempting_for_other(struct pm_scheduler *scheduler,
                                    const struct pm_machine *machine, const struct pm_job *job,
                                    double now)
{
    const struct pm_job *other = machine->reservation.job;

    if (!other || other == job || now >= machine->reservation.until ||
        other->state != PM_JOB_LIVE || !pm_job_waiting_tasks(other) ||
        !pm_scheduler_is_preemptible_by(scheduler, job, other))
        return false;
    return is_stopping_tasks(machine);
}

struct pm_machine *pm_scheduler_best_machine(struct pm_scheduler *scheduler,
                                             const struct pm_job *job,
                                             const struct pm_zone_spread *spread, int only_zone,
                                             double now)
{
    const GPtrArray *machines = scheduler->cache.available_machines;
    struct pm_machine *best = NULL;
    double best_score = -INFINITY;

    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        double score;
        if (!pm_scheduler_has_free_capacity(machine, job->spec) ||
            (only_zone >= 0 && machine->zone != only_zone) ||
            !pm_scheduler_is_machine_allowed(scheduler->tables, job, machine->type, machine->zone,
                                             machine->spot) ||
            !pm_scheduler_is_zone_allowed(job, spread, machine->zone) ||
            pm_scheduler_is_reserved_for_other_gang(machine, job, now) ||
            is_preempting_for_other(scheduler, machine, job, now))
            continue;
        score = score_machine(scheduler, machine, job);
        if (score > best_score) {
            best_score = score;
            best = machine;
        }
    }
    return best;
}

/* Whether the machine has cached the job's image, and could run the job's next task once
 * lower-priority tasks there are preempted. */
static bool can_start_from_cache(const struct pm_scheduler *scheduler,
                                 const struct pm_machine *machine, const struct pm_job *job,
                                 const struct pm_zone_spread *spread, double now)
{
    return machine->images.count && pm_scheduler_has_image(machine, job->spec->image) &&
           pm_scheduler_is_machine_usable(scheduler, machine, now) &&
           pm_scheduler_is_machine_allowed(scheduler->tables, job, machine->type, machine->zone,
                                           machine->spot) &&
           pm_scheduler_is_zone_allowed(job, spread, machine->zone) &&
           pm_scheduler_free_or_preemptible_cpus(machine) + PM_EPSILON >= job->spec->cpus;
}

bool pm_scheduler_should_await_preemption(struct pm_scheduler *scheduler,
                                          const struct pm_machine *machine,
                                          const struct pm_job *job,
                                          const struct pm_zone_spread *spread, double now)
{
    GPtrArray *machines = pm_workers_all(scheduler->workers);

    if (job->priority != PM_PRIORITY_PRODUCTION ||
        pm_scheduler_has_image(machine, job->spec->image) ||
        pm_scheduler_may_fetch(scheduler, machine, job) ||
        scheduler->run.wall - pm_scheduler_waiting_since(job) >
            AWAIT_PREEMPTION_OBJECTIVE_FACTOR * pm_scheduler_start_objective_s(scheduler, job))
        return false;
    for (guint i = 0; i < machines->len; i++) {
        const struct pm_machine *other = g_ptr_array_index(machines, i);
        if (other && can_start_from_cache(scheduler, other, job, spread, now))
            return true;
    }
    return false;
}
