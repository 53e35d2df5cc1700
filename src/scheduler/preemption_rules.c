/* The rules by which work may preempt other work. */
#include "scheduler/internal.h"

/* Added to the duration of a checkpoint, so that it completes within the grace period. */
#define CHECKPOINT_MARGIN_S 1.0

/* Whether one more task of the job is within its team's guarantee. */
static bool is_within_guarantee(const struct pm_scheduler *scheduler, const struct pm_job *job)
{
    int team = job->spec->team;

    return scheduler->guarantee.used_cpus[team] + scheduler->guarantee.reserved_cpus[team] +
               job->spec->cpus <=
           scheduler->tables->settings->teams[team].cpus + PM_EPSILON;
}

bool pm_scheduler_is_beyond_guarantee(const struct pm_scheduler *scheduler, int team)
{
    return scheduler->guarantee.used_cpus[team] - scheduler->guarantee.stopping_cpus[team] >
           scheduler->tables->settings->teams[team].cpus + PM_EPSILON;
}

/* Urgent work beyond its team's guarantee may not preempt work within another team's guarantee.
 * That work could preempt it in turn, and the two would preempt each other for ever. */
static bool may_preempt_as_urgent(const struct pm_scheduler *scheduler, const struct pm_job *job,
                                  int other_team)
{
    return !scheduler->sees_all_teams || other_team == job->spec->team ||
           is_within_guarantee(scheduler, job) ||
           pm_scheduler_is_beyond_guarantee(scheduler, other_team);
}

/* A team within its guarantee may preempt work of a team that is beyond its own. */
static bool may_preempt_for_guarantee(const struct pm_scheduler *scheduler,
                                      const struct pm_job *job, const struct pm_job *other)
{
    return scheduler->sees_all_teams && job->spec->team != other->spec->team &&
           other->priority < PM_PRIORITY_PRODUCTION && is_within_guarantee(scheduler, job) &&
           pm_scheduler_is_beyond_guarantee(scheduler, other->spec->team);
}

/* A charged task is protected for its minimum runtime. After that, a team with a lower usage ratio
 * may preempt it if it can resume from a checkpoint. */
static bool may_preempt_by_ratio(const struct pm_scheduler *scheduler, const struct pm_job *job,
                                 const struct pm_placement *placement, double now)
{
    const struct pm_spec *other = placement->job->spec;
    const double *usage_ratio = scheduler->run.usage_ratio;
    bool is_protected = now - placement->placed_at < scheduler->operator_settings->min_runtime_s;

    return !is_protected && other->checkpoint_interval_s > 0 &&
           usage_ratio[job->spec->team] < usage_ratio[other->team];
}

bool pm_scheduler_is_preemptible_by(const struct pm_scheduler *scheduler, const struct pm_job *job,
                                    const struct pm_job *other)
{
    int team = job->spec->team;

    if (job->priority == PM_PRIORITY_PRODUCTION)
        return false;
    return job->priority < other->priority ||
           (scheduler->sees_all_teams && team != other->spec->team &&
            pm_scheduler_is_beyond_guarantee(scheduler, team));
}

/* Work of a higher priority may preempt uncharged work immediately. Other work below production may
 * be preempted for a guarantee, and only that rule allows preempting work of equal or higher
 * priority: a lower usage ratio alone does not. */
bool pm_scheduler_may_preempt(const struct pm_scheduler *scheduler, const struct pm_job *job,
                              const struct pm_placement *placement, double now)
{
    const struct pm_job *other = placement->job;

    if (placement->should_stop || placement->state == PM_PLACEMENT_ENDED || other == job)
        return false;
    if (pm_scheduler_is_uncharged(other) && job->priority > other->priority)
        return true;
    if (pm_scheduler_is_uncharged(job))
        return false;
    if (may_preempt_for_guarantee(scheduler, job, other))
        return true;
    if (other->priority >= job->priority)
        return false;
    if (job->priority == PM_PRIORITY_PRODUCTION)
        return true;
    if (job->priority >= PM_PRIORITY_URGENT)
        return may_preempt_as_urgent(scheduler, job, other->spec->team);
    return may_preempt_by_ratio(scheduler, job, placement, now);
}

enum pm_priority pm_scheduler_preemption_priority_limit(const struct pm_scheduler *scheduler,
                                                        const struct pm_job *job)
{
    bool may_use_guarantee = scheduler->sees_all_teams && !pm_scheduler_is_uncharged(job);

    return may_use_guarantee ? PM_PRIORITY_PRODUCTION : job->priority;
}

double pm_scheduler_grace_s(const struct pm_placement *placement, bool urgent)
{
    const struct pm_spec *spec = placement->job->spec;

    if (spec->checkpoint_interval_s <= 0 || urgent)
        return 0;
    return spec->checkpoint_duration_s + CHECKPOINT_MARGIN_S;
}

void pm_scheduler_preempt_placement(struct pm_placement *placement)
{
    if (!placement->should_stop && placement->state != PM_PLACEMENT_ENDED)
        pm_placement_stop(placement, pm_scheduler_grace_s(placement, false));
}
