/* Windowed occupancy: counts the machine-seconds that each team occupied within the window, and the
 * processors that it uses now.
 *
 * The window is divided into buckets of equal width by time of day; a bucket that leaves the window
 * is subtracted from its ledger's sum. ledger_codec.c stores the sums. */
#include "scheduler/internal.h"

#define CHARGED_SPAN_MAX_S 5.0 /* a longer gap between plans is charged as this long */
#define BUDGET_SHARE_MIN 1e-3  /* lower bound of the share of a team with hardly any budget */
#define SECONDS_PER_HOUR 3600

/* Best-effort work is not charged, and in return has no minimum runtime: it may be preempted
 * immediately. If its start is overdue, it is charged and is no longer preempted immediately. */
bool pm_scheduler_is_uncharged(const struct pm_job *job)
{
    return job->priority == PM_PRIORITY_BEST_EFFORT && !job->scheduling.is_overdue_start;
}

/* The largest share of the machine's resources that a task occupies. */
static double machine_share(const struct pm_name_tables *tables, const struct pm_spec *spec,
                            const struct pm_machine *machine)
{
    const struct pm_machine_type *type = &tables->types[machine->type];
    double share =
        MAX(spec->cpus / MAX(type->cpus, PM_EPSILON), spec->ram_gb / MAX(type->ram_gb, PM_EPSILON));

    return type->gpus > 0 ? MAX(share, spec->gpus / type->gpus) : share;
}

/* Bucket 0 begins one window before the time of day 0, so that no bucket number is negative. */
long pm_occupancy_bucket_at(const struct pm_scheduler *scheduler, double wall)
{
    double window_s = scheduler->operator_settings->window_h * SECONDS_PER_HOUR;

    return (long)(wall / (window_s / PM_OCCUPANCY_BUCKETS)) + PM_OCCUPANCY_BUCKETS;
}

/* Clears the buckets that have left the window and subtracts them from the sums. */
static void advance_window(struct pm_scheduler *scheduler, double wall)
{
    struct pm_occupancy *occupancy = &scheduler->occupancy;
    long bucket = pm_occupancy_bucket_at(scheduler, wall);

    if (bucket - occupancy->current_bucket > PM_OCCUPANCY_BUCKETS)
        occupancy->current_bucket = bucket - PM_OCCUPANCY_BUCKETS;
    while (occupancy->current_bucket < bucket) {
        occupancy->current_bucket++;
        for (int team = 0; team < scheduler->tables->settings->team_count; team++) {
            struct pm_occupancy_ledger *ledger = &occupancy->ledger[team];
            double *expired = &ledger->bucket[occupancy->current_bucket % PM_OCCUPANCY_BUCKETS];
            ledger->sum -= *expired;
            *expired = 0;
        }
    }
}

static void charge_task(struct pm_scheduler *scheduler, const struct pm_job *job,
                        const struct pm_machine *machine, double span_s)
{
    struct pm_occupancy *occupancy = &scheduler->occupancy;
    struct pm_occupancy_ledger *ledger = &occupancy->ledger[job->spec->team];
    double amount;

    if (pm_scheduler_is_uncharged(job))
        return;
    amount = span_s * machine_share(scheduler->tables, job->spec, machine);
    ledger->bucket[occupancy->current_bucket % PM_OCCUPANCY_BUCKETS] += amount;
    ledger->sum += amount;
}

static void charge_stored_placements(struct pm_scheduler *scheduler, const struct pm_job *job,
                                     const GArray *stored, double span_s)
{
    for (guint i = 0; i < stored->len; i++) {
        const struct pm_machine *machine = pm_workers_at(
            scheduler->workers, g_array_index(stored, struct pm_stored_placement, i).machine_index);
        scheduler->guarantee.used_cpus[job->spec->team] += job->spec->cpus;
        if (machine && machine->type >= 0)
            charge_task(scheduler, job, machine, span_s);
    }
}

/* Charges jobs that are delegated to shards, by their stored placements. */
static void charge_delegated_jobs(struct pm_scheduler *scheduler, double span_s)
{
    GPtrArray *active = pm_jobs_active(scheduler->jobs);

    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *job = g_ptr_array_index(active, i);
        if (!job->delegated || !job->spec || job->parallelism == UINT32_MAX)
            continue;
        for (int k = 0; k < job->chunk_count; k++)
            if (job->chunks[k] && job->chunks[k]->stored_placements)
                charge_stored_placements(scheduler, job, job->chunks[k]->stored_placements, span_s);
    }
}

static void charge_machine(struct pm_scheduler *scheduler, const struct pm_machine *machine,
                           double span_s)
{
    struct pm_guarantee_usage *guarantee = &scheduler->guarantee;

    for (guint i = 0; i < machine->placements->len; i++) {
        const struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        const struct pm_spec *spec = placement->job->spec;
        if (placement->state == PM_PLACEMENT_ENDED)
            continue;
        guarantee->used_cpus[spec->team] += spec->cpus;
        if (placement->should_stop)
            guarantee->stopping_cpus[spec->team] += spec->cpus;
        if (machine->type >= 0 && placement->state >= PM_PLACEMENT_DURABLE)
            charge_task(scheduler, placement->job, machine, span_s);
    }
}

void pm_scheduler_charge_occupancy(struct pm_scheduler *scheduler, double now, double wall)
{
    struct pm_guarantee_usage *guarantee = &scheduler->guarantee;
    GPtrArray *machines = pm_workers_all(scheduler->workers);
    double charged_at = scheduler->occupancy.charged_at;
    double span_s = charged_at ? MIN(now - charged_at, CHARGED_SPAN_MAX_S) : 0;

    advance_window(scheduler, wall);
    for (int team = 0; team < scheduler->tables->settings->team_count; team++) {
        guarantee->used_cpus[team] = 0;
        guarantee->stopping_cpus[team] = 0;
        guarantee->reserved_cpus[team] = 0;
    }
    for (guint i = 0; i < machines->len; i++)
        if (g_ptr_array_index(machines, i))
            charge_machine(scheduler, g_ptr_array_index(machines, i), span_s);
    charge_delegated_jobs(scheduler, span_s);
    pm_quota_count(scheduler, now);
    scheduler->occupancy.charged_at = now;
}

double pm_scheduler_usage_ratio(struct pm_scheduler *scheduler, int team)
{
    const struct pm_settings *settings = scheduler->tables->settings;
    double total_cpus = 0;
    double budget_share;

    for (int i = 0; i < settings->team_count; i++)
        total_cpus += settings->teams[i].cpus;
    budget_share =
        total_cpus > 0 ? settings->teams[team].cpus / total_cpus : 1.0 / settings->team_count;
    return scheduler->occupancy.ledger[team].sum / MAX(budget_share, BUDGET_SHARE_MIN);
}
