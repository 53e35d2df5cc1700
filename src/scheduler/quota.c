/* What each team uses of its limit, in one account: the planner, whoever leases out, the holder of
 * a block and the commit all ask here before work starts.
 *
 * Counted is whatever may be on a machine: places that are not proven gone, the width of leases
 * that are out, and tasks that a worker reports though no place is known (strays). What is not
 * known yet counts as the most that it can be. */
#include "base/log.h"
#include "scheduler/internal.h"

#include <math.h>
#include <string.h>

#define TELL_S 10.0    /* a team over its limit is told of no more often */
#define NEAR_LIMIT 0.9 /* a team that uses this share of its limit is told of with the state */
#define UNLIMITED 1e9  /* a limit from here on is none */

#ifdef PM_PLANTED_QUOTA_FAULT /* a test's build, in which the account is off by a task: see        \
                               * src/soak                                                          \
                               */
#define PLANTED_CPUS 2.0
#else
#define PLANTED_CPUS 0.0
#endif

static void add(struct pm_quota_usage *use, const struct pm_spec *spec, double tasks)
{
    use->cpus += tasks * spec->cpus;
    use->gpus += tasks * spec->gpus;
}

/* Tasks that the lease of a job at a holder lets run at once. A width that was not read yet bounds
 * nothing: then it is all that are not durably done. */
static uint32_t leased_tasks(const struct pm_job *job)
{
    uint32_t done;
    uint32_t placed;

    pm_job_count_tasks(job, &done, &placed);
    return MAX(MIN(job->parallelism, job->task_count - MIN(done, job->task_count)), placed);
}

static void count_machine(struct pm_scheduler *p, const struct pm_machine *m)
{
    /* An old copy of a report shows tasks that have ended since: they count, but prove nothing. */
    bool heeds_us =
        m->delivery.acked_epoch && m->heartbeat.fencing_token >= m->delivery.acked_epoch;

    for (guint i = 0; i < m->placements->len; i++) {
        const struct pm_placement *place = g_ptr_array_index(m->placements, i);
        struct team_use *use = &p->use[place->job->spec->team];
        if (place->state == PM_PLACEMENT_ENDED)
            continue;
        add(&use->own, place->job->spec, 1);
        if (place->state >= PM_PLACEMENT_WAITING)
            add(&use->reported, place->job->spec, 1);
    }
    for (guint i = 0; i < m->heartbeat.orphan_tasks->len; i++) {
        const struct pm_spec *spec =
            g_array_index(m->heartbeat.orphan_tasks, struct pm_task_ref, i).job->spec;
        if (!spec)
            continue; /* its job is over: how much it takes is not known any more */
        add(&p->use[spec->team].stray, spec, 1);
        if (heeds_us)
            add(&p->use[spec->team].reported, spec, 1);
    }
}

struct pm_quota_usage pm_quota_total(const struct pm_scheduler *p, int team)
{
    const struct team_use *use = &p->use[team];

    return (struct pm_quota_usage){use->own.cpus + use->leased.cpus + use->stray.cpus -
                                       PLANTED_CPUS,
                                   use->own.gpus + use->leased.gpus + use->stray.gpus};
}

static bool is_over(const struct pm_team_setting *team, struct pm_quota_usage use)
{
    return use.cpus > team->cpus_max + EPS || use.gpus > team->gpus_max + EPS;
}

/* The invariant, asserted on what workers report: seen broken, it is told and counted. */
static void assert_within(struct pm_scheduler *p, double now)
{
    for (int t = 0; t < p->tables->settings->team_count; t++) {
        const struct pm_team_setting *team = &p->tables->settings->teams[t];
        const struct team_use *use = &p->use[t];
        if (!is_over(team, use->reported) || (p->over_told[t] && now < p->over_told[t] + TELL_S))
            continue;
        p->over_told[t] = now;
        p->violations++;
        pm_error("quota.exceeded",
                 "%s runs %g cpus, %g accelerators of %g, %g; own %g, leased %g, stray %g",
                 team->name, use->reported.cpus, use->reported.gpus, team->cpus_max, team->gpus_max,
                 use->own.cpus, use->leased.cpus, use->stray.cpus);
    }
}

void pm_quota_count(struct pm_scheduler *p, double now)
{
    GPtrArray *all = pm_workers_all(p->workers);
    GPtrArray *active = pm_jobs_active(p->jobs);

    memset(p->use, 0, sizeof p->use[0] * (size_t)p->tables->settings->team_count);
    for (guint i = 0; i < all->len; i++)
        if (g_ptr_array_index(all, i))
            count_machine(p, g_ptr_array_index(all, i));
    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *job = g_ptr_array_index(active, i);
        if (job->delegated && job->spec && p->sees_all)
            add(&p->use[job->spec->team].leased, job->spec, leased_tasks(job));
    }
    assert_within(p, now);
}

void pm_quota_add_own(struct pm_scheduler *p, const struct pm_spec *spec, uint32_t tasks)
{
    add(&p->use[spec->team].own, spec, tasks);
    p->unchecked = true;
}

void pm_scheduler_charge_lease(struct pm_scheduler *p, const struct pm_spec *spec, uint32_t tasks)
{
    add(&p->use[spec->team].leased, spec, tasks);
}

bool pm_quota_allows(const struct pm_scheduler *p, const struct pm_spec *spec, uint32_t tasks)
{
    struct pm_quota_usage use = pm_quota_total(p, spec->team);

    add(&use, spec, tasks);
    return !is_over(&p->tables->settings->teams[spec->team], use);
}

/* What is below a limit, less a share of it that is kept; all of it where there is no limit. */
static double below(double most, double used, double kept)
{
    return most < UNLIMITED ? most * (1 - kept) - used : most;
}

uint32_t pm_scheduler_leasable_tasks(const struct pm_scheduler *p, const struct pm_spec *spec,
                                     double kept)
{
    const struct pm_team_setting *team = &p->tables->settings->teams[spec->team];
    struct pm_quota_usage use = pm_quota_total(p, spec->team);

    return pm_spec_tasks_that_fit(spec, below(team->cpus_max, use.cpus, kept),
                                  below(team->gpus_max, use.gpus, kept), INFINITY);
}

/* Takes back starts of the team that are not durable, until it is within its limit. Never launched,
 * they need no proof. */
static unsigned withdraw_starts(struct pm_scheduler *p, int team)
{
    GPtrArray *all = pm_workers_all(p->workers);
    unsigned withdrawn = 0;

    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        for (guint j = m ? m->placements->len : 0; j > 0; j--) {
            struct pm_placement *place = g_ptr_array_index(m->placements, j - 1);
            struct pm_job *job = place->job;
            uint32_t index = place->task_index;
            if (place->state != PM_PLACEMENT_PROPOSED || job->spec->team != team)
                continue;
            if (!is_over(&p->tables->settings->teams[team], pm_quota_total(p, team)))
                return withdrawn;
            pm_workers_remove_placement(p->workers, place);
            pm_job_mark_dirty(job, index);
            add(&p->use[team].own, job->spec, -1);
            withdrawn++;
        }
    }
    return withdrawn;
}

void pm_scheduler_recheck_quota(struct pm_scheduler *p, double now)
{
    if (!p->unchecked)
        return;
    p->unchecked = false;
    pm_quota_count(p, now);
    for (int t = 0; t < p->tables->settings->team_count; t++) {
        const struct pm_team_setting *team = &p->tables->settings->teams[t];
        struct pm_quota_usage before = pm_quota_total(p, t);
        unsigned withdrawn = is_over(team, before) ? withdraw_starts(p, t) : 0;
        if (!withdrawn)
            continue;
        p->violations++;
        pm_error("quota.start_rejected", "%s: %u starts, with %g of %g cpus, %g of %g accelerators",
                 team->name, withdrawn, before.cpus, team->cpus_max, before.gpus, team->gpus_max);
    }
}

uint64_t pm_scheduler_quota_violations(const struct pm_scheduler *p)
{
    return p->violations;
}

void pm_scheduler_log_quota_usage(const struct pm_scheduler *p)
{
    for (int t = 0; t < p->tables->settings->team_count; t++) {
        const struct pm_team_setting *team = &p->tables->settings->teams[t];
        const struct team_use *use = &p->use[t];
        struct pm_quota_usage total = pm_quota_total(p, t);
        if (total.cpus >= NEAR_LIMIT * team->cpus_max || total.gpus >= NEAR_LIMIT * team->gpus_max)
            pm_info("quota.usage",
                    "%s: own %g, leased %g, stray %g of %g cpus; %g of %g accelerators", team->name,
                    use->own.cpus, use->leased.cpus, use->stray.cpus, team->cpus_max, total.gpus,
                    team->gpus_max);
    }
}
