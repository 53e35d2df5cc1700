/* Assignment of array jobs to owners by the leader. Does no I/O; the time is an argument. */
#include "base/log.h"
#include "shards/internal.h"
#include "workers/failures.h"

/* Nothing is assigned to an owner whose last response is older than this. */
#define MAX_RESPONSE_AGE_S 1.6
/* Share of a team's quota that assignments leave unused, because the quota of an assigned job is
 * not available to the team's services until the job is done. */
#define QUOTA_RESERVE_SHARE 0.25

/* Upper bounds for the sizes in bytes of the parts of a shard's value in JSON form, by which the
 * state service limits the value. */
enum {
    VALUE_BASE_BYTES = 100,
    VALUE_MACHINE_BYTES = 150,
    VALUE_JOB_BYTES = 44,
    VALUE_MARGIN_BYTES = 50, /* space kept free for one more job */
    BYTES_PER_KB = 1024
};

bool pm_shard_is_owner_available(const struct pm_shard *shard, double now)
{
    const struct pm_shard_owner *owner = &shard->owner;

    return owner->is_ready && owner->incarnation_id[0] &&
           now - owner->last_response_at < MAX_RESPONSE_AGE_S && !shard->revocation.in_progress &&
           !pm_shard_is_owner_replaced(shard);
}

static double value_size(const struct pm_shard *shard)
{
    return VALUE_BASE_BYTES + (double)VALUE_MACHINE_BYTES * shard->target.machines->len +
           (double)VALUE_JOB_BYTES * shard->target.jobs->len;
}

bool pm_shard_has_value_space(const struct pm_shards *shards, const struct pm_shard *shard,
                              unsigned machine_count)
{
    double size =
        value_size(shard) + VALUE_MARGIN_BYTES + (double)VALUE_MACHINE_BYTES * machine_count;

    return size < shards->tables->settings->store_value_kb * BYTES_PER_KB;
}

/* Whether an owner can place the job without the leader: an array on spot machines, of neither
 * production nor best-effort priority, whose tasks do not depend on one another's zone. */
static bool has_delegable_spec(const struct pm_job *job)
{
    const struct pm_spec *spec = job->spec;

    return spec && spec->kind == PM_WORKLOAD_ARRAY && spec->spot && !spec->same_zone &&
           !spec->spread_zones && job->priority != PM_PRIORITY_PRODUCTION &&
           job->priority != PM_PRIORITY_BEST_EFFORT;
}

/* Whether the job may be assigned to an owner: it is live, not failing, has no unmet dependencies,
 * and none of its tasks has been placed or done by the leader. */
static bool is_delegable(const struct pm_job *job)
{
    return job->state == PM_JOB_LIVE && has_delegable_spec(job) && !job->dependencies.unmet_count &&
           !pm_failures_is_job_failing(job) && !job->delegated && !job->work.placed_count &&
           !job->work.done_count && !job->write_back.chunk_write_attempted;
}

/* Returns the number of processors that all tasks of the shard's live jobs request. */
static double assigned_cpus(const struct pm_shard *shard)
{
    double cpus = 0;

    for (guint i = 0; i < shard->target.jobs->len; i++) {
        const struct pm_job *job = g_ptr_array_index(shard->target.jobs, i);
        if (job->state == PM_JOB_LIVE && job->spec)
            cpus += job->task_count * job->spec->cpus;
    }
    return cpus;
}

static void raise_parallelism(struct pm_shards *shards, struct pm_shard *shard, struct pm_job *job)
{
    uint32_t leasable;
    uint32_t added_tasks;

    if (!job->spec || job->state != PM_JOB_LIVE || job->parallelism >= job->task_count)
        return;
    leasable = pm_scheduler_leasable_tasks(shards->scheduler, job->spec, QUOTA_RESERVE_SHARE);
    added_tasks = MIN(leasable, job->task_count - job->parallelism);
    if (!added_tasks)
        return;
    job->parallelism += added_tasks;
    pm_scheduler_charge_lease(shards->scheduler, job->spec, added_tasks);
    shard->target.needs_write = true;
    pm_debug("shard.parallelism_raised", "raised job %s to at most %u tasks at once", job->id,
             job->parallelism);
}

/* Raises the parallelism of assigned jobs whose team's quota did not allow all tasks at once, as
 * far as the quota allows now. */
static void raise_all_parallelism(struct pm_shards *shards)
{
    for (int i = 0; i < shards->peer_count; i++) {
        struct pm_shard *shard = &shards->shard[i];
        for (guint j = 0; j < shard->target.jobs->len; j++)
            raise_parallelism(shards, shard, g_ptr_array_index(shard->target.jobs, j));
    }
}

/* The leader's idle machines, and which of them are reserved for an earlier job of this plan. */
struct idle_machines {
    const GPtrArray *machines; /* array of struct pm_machine */
    bool *is_reserved;         /* by position in `machines` */
};

/* Reserves idle machines for the tasks that the job may run at once. Returns how many tasks fit on
 * the reserved machines, whose number is stored in `machine_count`. */
static uint32_t reserve_idle_machines(struct pm_shards *shards, const struct pm_job *job,
                                      struct idle_machines *idle, unsigned *machine_count,
                                      double now)
{
    uint32_t tasks = 0;

    *machine_count = 0;
    for (guint i = 0; i < idle->machines->len && tasks < job->parallelism; i++) {
        const struct pm_machine *machine = g_ptr_array_index(idle->machines, i);
        if (idle->is_reserved[i] ||
            !pm_scheduler_is_machine_leasable(shards->scheduler, machine, job, now))
            continue;
        tasks += pm_shard_tasks_that_fit(&machine->free, job->spec);
        idle->is_reserved[i] = true;
        ++*machine_count;
    }
    return tasks;
}

/* Returns the shard with the fewest assigned processors, of those whose owner is available and
 * whose value has space for the job and its machines. Returns NULL if there is none. */
static struct pm_shard *pick_shard(struct pm_shards *shards, unsigned machine_count, double now)
{
    struct pm_shard *best = NULL;

    for (int i = 0; i < shards->peer_count; i++) {
        struct pm_shard *shard = &shards->shard[i];
        if (!pm_shard_is_owner_available(shard, now) ||
            !pm_shard_has_value_space(shards, shard, machine_count))
            continue;
        if (!best || assigned_cpus(shard) < assigned_cpus(best))
            best = shard;
    }
    return best;
}

/* Assigns the job to an owner if idle machines have capacity for all tasks that may run at once.
 * Otherwise the leader keeps the job, because the tasks would have to share machines with others,
 * and only the leader sees all free capacity. While the job is assigned, its full parallelism
 * counts against its team's quota. */
static void assign_job(struct pm_shards *shards, struct pm_job *job, struct idle_machines *idle,
                       double now)
{
    uint32_t leasable =
        pm_scheduler_leasable_tasks(shards->scheduler, job->spec, QUOTA_RESERVE_SHARE);
    struct pm_shard *shard = NULL;
    unsigned machine_count = 0;

    job->parallelism = MIN(leasable, job->task_count);
    if (job->parallelism &&
        reserve_idle_machines(shards, job, idle, &machine_count, now) >= job->parallelism)
        shard = pick_shard(shards, machine_count, now);
    if (!shard) {
        job->parallelism = UINT32_MAX;
        return;
    }
    job->delegated = true;
    pm_scheduler_charge_lease(shards->scheduler, job->spec, job->parallelism);
    g_ptr_array_add(shard->target.jobs, job);
    shard->target.needs_write = true;
    pm_debug("shard.job_assigned",
             "assigned job %s of team %s to owner %s: at most %u tasks at once", job->id,
             shards->tables->settings->teams[job->spec->team].name, shard->owner_name,
             job->parallelism);
}

void pm_shards_assign_jobs(struct pm_shards *shards, double now)
{
    GPtrArray *active = pm_jobs_active(shards->jobs);
    struct idle_machines idle = {.machines = pm_scheduler_find_idle_machines(
                                     shards->scheduler, pm_election_tokens(shards->election), now)};

    idle.is_reserved = g_new0(bool, idle.machines->len + 1);
    raise_all_parallelism(shards);
    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        if (is_delegable(job))
            assign_job(shards, job, &idle, now);
    }
    g_free(idle.is_reserved);
}
