/* Counts how much of its quota each team uses. This is the only count: plans, leases to shards, the
 * owners of shards and the commit of placements all check it before work starts.
 *
 * Everything that may be running on a machine counts: placements that are not proven to have ended,
 * the parallelism of leases, and orphan tasks, which a worker reports although they have no
 * placement here. An amount that is not known yet counts as its upper bound. */
#include "base/log.h"
#include "scheduler/internal.h"

#include <math.h>
#include <string.h>

#define EXCEEDED_LOG_INTERVAL_S 10.0 /* between log lines that the same team is over quota */
#define NEAR_QUOTA_SHARE 0.9         /* usage of at least this share of a quota is logged */
#define UNLIMITED 1e9                /* a quota of at least this amount sets no limit */

/* One build for tests undercounts each team's usage by the processors of one task. src/soak must
 * detect that teams exceed their quota. */
#ifdef PM_PLANTED_QUOTA_FAULT
#define PLANTED_FAULT_CPUS 2.0
#else
#define PLANTED_FAULT_CPUS 0.0
#endif

static void add_tasks(struct pm_quota_amount *amount, const struct pm_spec *spec, double tasks)
{
    amount->cpus += tasks * spec->cpus;
    amount->gpus += tasks * spec->gpus;
}

/* How many tasks of a delegated job may run at once: as many as the lease allows (`parallelism`),
 * but no more than are unfinished, and no fewer than have stored placements. Until the lease has
 * been read, the parallelism is UINT32_MAX, so all unfinished tasks count. */
static uint32_t count_leased_tasks(const struct pm_job *job)
{
    uint32_t done;
    uint32_t placed;

    pm_job_count_tasks(job, &done, &placed);
    return MAX(MIN(job->parallelism, job->task_count - MIN(done, job->task_count)), placed);
}

static void count_placements(struct pm_scheduler *scheduler, const struct pm_machine *machine)
{
    for (guint i = 0; i < machine->placements->len; i++) {
        const struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        const struct pm_spec *spec = placement->job->spec;
        struct pm_team_usage *usage = &scheduler->quota.team[spec->team];
        if (placement->state == PM_PLACEMENT_ENDED)
            continue;
        add_tasks(&usage->placed, spec, 1);
        if (placement->state >= PM_PLACEMENT_WAITING)
            add_tasks(&usage->reported, spec, 1);
    }
}

static void count_orphan_tasks(struct pm_scheduler *scheduler, const struct pm_machine *machine)
{
    const GArray *orphans = machine->heartbeat.orphan_tasks;
    /* A delayed copy of a heartbeat may list tasks that have ended since. They count as orphaned,
     * but do not prove a violation. A heartbeat is no such copy if its worker has seen at least the
     * epoch under which a heartbeat was last acknowledged. */
    bool is_current = machine->delivery.acked_first_token &&
                      machine->heartbeat.fencing_token >= machine->delivery.acked_first_token;

    for (guint i = 0; i < orphans->len; i++) {
        const struct pm_spec *spec = g_array_index(orphans, struct pm_task_ref, i).job->spec;
        if (!spec)
            continue; /* its job has ended, and what it requests is no longer known */
        add_tasks(&scheduler->quota.team[spec->team].orphaned, spec, 1);
        if (is_current)
            add_tasks(&scheduler->quota.team[spec->team].reported, spec, 1);
    }
}

struct pm_quota_amount pm_quota_total(const struct pm_scheduler *scheduler, int team)
{
    const struct pm_team_usage *usage = &scheduler->quota.team[team];

    return (struct pm_quota_amount){usage->placed.cpus + usage->leased.cpus + usage->orphaned.cpus -
                                        PLANTED_FAULT_CPUS,
                                    usage->placed.gpus + usage->leased.gpus + usage->orphaned.gpus};
}

static bool is_over_quota(const struct pm_team_setting *team, struct pm_quota_amount amount)
{
    return amount.cpus > team->cpus_max + PM_EPSILON || amount.gpus > team->gpus_max + PM_EPSILON;
}

/* Checks the usage that workers report against each team's quota. Logs and counts violations, for
 * each team at most once in EXCEEDED_LOG_INTERVAL_S. */
static void check_reported_usage(struct pm_scheduler *scheduler, double now)
{
    struct pm_quota_usage *quota = &scheduler->quota;

    for (int i = 0; i < scheduler->tables->settings->team_count; i++) {
        const struct pm_team_setting *team = &scheduler->tables->settings->teams[i];
        const struct pm_team_usage *usage = &quota->team[i];
        if (!is_over_quota(team, usage->reported))
            continue;
        if (quota->exceeded_logged_at[i] &&
            now < quota->exceeded_logged_at[i] + EXCEEDED_LOG_INTERVAL_S)
            continue;
        quota->exceeded_logged_at[i] = now;
        quota->violations++;
        pm_error("quota.exceeded",
                 "team %s runs %g cpus, %g accelerators, over its quota of %g cpus, %g "
                 "accelerators; cpus placed %g, leased %g, orphaned %g",
                 team->name, usage->reported.cpus, usage->reported.gpus, team->cpus_max,
                 team->gpus_max, usage->placed.cpus, usage->leased.cpus, usage->orphaned.cpus);
    }
}

void pm_quota_count(struct pm_scheduler *scheduler, double now)
{
    GPtrArray *machines = pm_workers_all(scheduler->workers);
    GPtrArray *active = pm_jobs_active(scheduler->jobs);
    struct pm_team_usage *usage = scheduler->quota.team;

    memset(usage, 0, sizeof *usage * (size_t)scheduler->tables->settings->team_count);
    for (guint i = 0; i < machines->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (!machine)
            continue;
        count_placements(scheduler, machine);
        count_orphan_tasks(scheduler, machine);
    }
    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *job = g_ptr_array_index(active, i);
        /* Only the leader counts leases: a shard's owner counts its tasks as placements. */
        if (job->delegated && job->spec && scheduler->sees_all_teams)
            add_tasks(&usage[job->spec->team].leased, job->spec, count_leased_tasks(job));
    }
    check_reported_usage(scheduler, now);
}

void pm_quota_add_placed(struct pm_scheduler *scheduler, const struct pm_spec *spec, uint32_t tasks)
{
    add_tasks(&scheduler->quota.team[spec->team].placed, spec, tasks);
    scheduler->quota.has_unchecked_starts = true;
}

void pm_scheduler_charge_lease(struct pm_scheduler *scheduler, const struct pm_spec *spec,
                               uint32_t tasks)
{
    add_tasks(&scheduler->quota.team[spec->team].leased, spec, tasks);
}

bool pm_quota_allows(const struct pm_scheduler *scheduler, const struct pm_spec *spec,
                     uint32_t tasks)
{
    struct pm_quota_amount amount = pm_quota_total(scheduler, spec->team);

    add_tasks(&amount, spec, tasks);
    return !is_over_quota(&scheduler->tables->settings->teams[spec->team], amount);
}

/* Returns the quota minus the usage and the reserved share. An unlimited quota is returned
 * unchanged. */
static double remaining_quota(double quota, double used, double reserved_share)
{
    return quota < UNLIMITED ? quota * (1 - reserved_share) - used : quota;
}

uint32_t pm_scheduler_leasable_tasks(const struct pm_scheduler *scheduler,
                                     const struct pm_spec *spec, double reserved_share)
{
    const struct pm_team_setting *team = &scheduler->tables->settings->teams[spec->team];
    struct pm_quota_amount used = pm_quota_total(scheduler, spec->team);

    return pm_spec_tasks_that_fit(spec, remaining_quota(team->cpus_max, used.cpus, reserved_share),
                                  remaining_quota(team->gpus_max, used.gpus, reserved_share),
                                  INFINITY);
}

/* Withdraws proposed placements of the team until it is within its quota, and returns how many were
 * withdrawn. Their tasks were never launched, so no proof is needed that they have ended. */
static unsigned withdraw_proposed(struct pm_scheduler *scheduler, int team)
{
    const struct pm_team_setting *setting = &scheduler->tables->settings->teams[team];
    GPtrArray *machines = pm_workers_all(scheduler->workers);
    unsigned withdrawn = 0;

    for (guint i = 0; i < machines->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(machines, i);
        for (guint j = machine ? machine->placements->len : 0; j > 0; j--) {
            struct pm_placement *placement = g_ptr_array_index(machine->placements, j - 1);
            struct pm_job *job = placement->job;
            uint32_t index = placement->task_index;
            if (placement->state != PM_PLACEMENT_PROPOSED || job->spec->team != team)
                continue;
            if (!is_over_quota(setting, pm_quota_total(scheduler, team)))
                return withdrawn;
            pm_workers_remove_placement(scheduler->workers, placement);
            pm_job_mark_dirty(job, index);
            add_tasks(&scheduler->quota.team[team].placed, job->spec, -1);
            withdrawn++;
        }
    }
    return withdrawn;
}

void pm_scheduler_recheck_quota(struct pm_scheduler *scheduler, double now)
{
    if (!scheduler->quota.has_unchecked_starts)
        return;
    scheduler->quota.has_unchecked_starts = false;
    pm_quota_count(scheduler, now);
    for (int i = 0; i < scheduler->tables->settings->team_count; i++) {
        const struct pm_team_setting *team = &scheduler->tables->settings->teams[i];
        struct pm_quota_amount before = pm_quota_total(scheduler, i);
        unsigned withdrawn = is_over_quota(team, before) ? withdraw_proposed(scheduler, i) : 0;
        if (!withdrawn)
            continue;
        scheduler->quota.violations++;
        pm_error("quota.start_rejected",
                 "team %s: withdrew %u proposed starts; with them it used %g of %g cpus, %g of %g "
                 "accelerators",
                 team->name, withdrawn, before.cpus, team->cpus_max, before.gpus, team->gpus_max);
    }
}

uint64_t pm_scheduler_quota_violations(const struct pm_scheduler *scheduler)
{
    return scheduler->quota.violations;
}

void pm_scheduler_log_quota_usage(const struct pm_scheduler *scheduler)
{
    for (int i = 0; i < scheduler->tables->settings->team_count; i++) {
        const struct pm_team_setting *team = &scheduler->tables->settings->teams[i];
        const struct pm_team_usage *usage = &scheduler->quota.team[i];
        struct pm_quota_amount total = pm_quota_total(scheduler, i);
        if (total.cpus < NEAR_QUOTA_SHARE * team->cpus_max &&
            total.gpus < NEAR_QUOTA_SHARE * team->gpus_max)
            continue;
        pm_info("quota.usage",
                "team %s: placed %g, leased %g, orphaned %g of %g cpus; %g of %g accelerators",
                team->name, usage->placed.cpus, usage->leased.cpus, usage->orphaned.cpus,
                team->cpus_max, total.gpus, team->gpus_max);
    }
}
