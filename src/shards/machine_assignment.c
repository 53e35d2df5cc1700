/* Assignment of idle machines to owners by the leader, for tasks that do not fit on the machines
 * that the owners already have. Does no I/O; the time is an argument. */
#include "base/log.h"
#include "shards/internal.h"
#include "workers/failures.h"

/* A job of a shard, and how many of its tasks wait for capacity. */
struct waiting_job {
    struct pm_job *job;
    struct pm_shard *shard;
    uint32_t tasks; /* number of tasks that may run now but have no capacity reserved yet */
};

/* State of one plan. The arrays of machines are by machine index. */
struct machine_plan {
    struct pm_shards *shards;
    double now;
    struct pm_machine_capacity *free; /* capacity of owned machines, neither used nor reserved */
    uint32_t *task_counts;            /* number of placed tasks of owners' jobs in the replica */
    bool *is_reserved;                /* capacity is reserved for a waiting task */
    struct waiting_job *waiting;      /* in rank order */
    guint waiting_count;
};

static void subtract_tasks(struct pm_machine_capacity *capacity, const struct pm_spec *spec,
                           uint32_t tasks)
{
    capacity->cpus -= tasks * spec->cpus;
    capacity->gpus -= tasks * spec->gpus;
    capacity->ram_gb -= tasks * spec->ram_gb;
}

static void init_free_capacity(struct machine_plan *plan, const GPtrArray *machines)
{
    const struct pm_name_tables *tables = plan->shards->tables;

    for (guint i = 0; i < machines->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(machines, i);
        const struct pm_machine_type *type;
        if (!machine || !machine->shard.assigned_to || machine->type < 0)
            continue;
        type = &tables->types[machine->type];
        plan->free[i] = (struct pm_machine_capacity){type->cpus, type->gpus, type->ram_gb};
    }
}

static void subtract_placements(struct machine_plan *plan, const struct pm_job *job,
                                const GArray *placements, guint machine_count)
{
    for (guint i = 0; placements && i < placements->len; i++) {
        int index = g_array_index(placements, struct pm_stored_placement, i).machine_index;
        if (index < 0 || index >= (int)machine_count)
            continue;
        subtract_tasks(&plan->free[index], job->spec, 1);
        plan->task_counts[index]++;
    }
}

/* Computes the free capacity of the owners' machines: their whole capacity less that of the tasks
 * that are placed there according to the replica. */
static void compute_free_capacity(struct machine_plan *plan)
{
    const GPtrArray *machines = pm_workers_all(plan->shards->workers);
    const GPtrArray *active = pm_jobs_active(plan->shards->jobs);

    init_free_capacity(plan, machines);
    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *job = g_ptr_array_index(active, i);
        if (!job->delegated || !job->spec)
            continue;
        for (int j = 0; j < job->chunk_count; j++)
            if (job->chunks[j])
                subtract_placements(plan, job, job->chunks[j]->stored_placements, machines->len);
    }
}

/* Returns the live jobs of all owners in rank order. The caller frees the array. */
static GPtrArray *rank_jobs(struct pm_shards *shards)
{
    GPtrArray *queue = g_ptr_array_new();

    for (int i = 0; i < shards->peer_count; i++) {
        const GPtrArray *jobs = shards->shard[i].target.jobs;
        for (guint j = 0; j < jobs->len; j++) {
            struct pm_job *job = g_ptr_array_index(jobs, j);
            if (job->state == PM_JOB_LIVE && job->spec)
                g_ptr_array_add(queue, job);
        }
    }
    pm_scheduler_rank(shards->scheduler, queue);
    return queue;
}

/* Returns the shard that the job is assigned to. The job must be assigned. */
static struct pm_shard *shard_of_job(struct pm_shards *shards, const struct pm_job *job)
{
    for (int i = 0; i < shards->peer_count; i++)
        if (g_ptr_array_find(shards->shard[i].target.jobs, job, NULL))
            return &shards->shard[i];
    g_assert_not_reached();
}

/* Returns how many tasks of the job are not placed yet and may run now within its parallelism. */
static uint32_t count_waiting_tasks(const struct pm_job *job)
{
    uint32_t done;
    uint32_t placed;
    uint32_t left;
    uint32_t allowed;

    pm_job_count_tasks(job, &done, &placed);
    left = job->task_count - MIN(job->task_count, done + placed);
    allowed = job->parallelism - MIN(job->parallelism, placed);
    if (pm_failures_is_job_failing(job)) /* its owner runs one task of it at a time */
        allowed = placed ? 0 : MIN(allowed, 1);
    return MIN(left, allowed);
}

/* Reserves capacity on one machine for as many of the job's waiting tasks as fit there. */
static void reserve_capacity(struct machine_plan *plan, struct waiting_job *waiting, int index)
{
    struct pm_machine_capacity *free_capacity = &plan->free[index];
    uint32_t fitting = pm_shard_tasks_that_fit(free_capacity, waiting->job->spec);
    uint32_t tasks = MIN(fitting, waiting->tasks);

    subtract_tasks(free_capacity, waiting->job->spec, tasks);
    waiting->tasks -= tasks;
    plan->is_reserved[index] |= tasks > 0;
}

/* Whether the job's owner may place tasks on this machine of its shard. */
static bool is_usable(const struct pm_shards *shards, const struct pm_job *job,
                      const struct pm_shard_machine *entry)
{
    const struct pm_machine *machine = pm_workers_at(shards->workers, entry->index);

    return machine && entry->state <= PM_SHARD_MACHINE_OWNED &&
           pm_scheduler_is_machine_allowed(shards->tables, job, machine->type, machine->zone,
                                           machine->spot);
}

/* Reserves capacity on the machines that the job's owner already has. */
static void reserve_owned_machines(struct machine_plan *plan, struct waiting_job *waiting)
{
    const struct pm_shard *shard = waiting->shard;

    for (guint i = 0; i < shard->target.machines->len && waiting->tasks; i++) {
        const struct pm_shard_machine *entry = pm_shard_machine_at(shard, i);
        if (is_usable(plan->shards, waiting->job, entry))
            reserve_capacity(plan, waiting, entry->index);
    }
}

static void assign_machine(struct machine_plan *plan, struct waiting_job *waiting,
                           struct pm_machine *machine)
{
    struct pm_shard *shard = waiting->shard;
    struct pm_shard_machine entry = {.index = machine->index, .state = PM_SHARD_MACHINE_ADDING};

    machine->shard.assigned_to = (int)(shard - plan->shards->shard) + 1;
    plan->free[machine->index] = machine->free;
    reserve_capacity(plan, waiting, machine->index);
    plan->is_reserved[machine->index] = true;
    g_array_append_val(shard->target.machines, entry);
    shard->target.needs_write = true;
    pm_debug("shard.machine_assigned", "assigned machine %s to owner %s", machine->name,
             shard->owner_name);
}

static void assign_idle_machines(struct machine_plan *plan, struct waiting_job *waiting)
{
    while (waiting->tasks && pm_shard_is_owner_available(waiting->shard, plan->now) &&
           pm_shard_has_value_space(plan->shards, waiting->shard, 1)) {
        struct pm_machine *machine = pm_scheduler_pick_idle_machine(
            plan->shards->scheduler, waiting->job, waiting->tasks, plan->now);
        if (!machine)
            return;
        assign_machine(plan, waiting, machine);
    }
}

/* Collects the jobs of the queue with their numbers of waiting tasks. Reserves capacity for these
 * tasks on the machines that the jobs' owners already have, so that machines are assigned only for
 * the rest. */
static void collect_waiting_jobs(struct machine_plan *plan, const GPtrArray *queue)
{
    plan->waiting = g_new0(struct waiting_job, queue->len + 1);
    plan->waiting_count = queue->len;
    for (guint i = 0; i < queue->len; i++) {
        struct pm_job *job = g_ptr_array_index(queue, i);
        plan->waiting[i] =
            (struct waiting_job){job, shard_of_job(plan->shards, job), count_waiting_tasks(job)};
        reserve_owned_machines(plan, &plan->waiting[i]);
    }
}

/* Assigns idle machines for `tasks` of the job's waiting tasks. Returns how many of these tasks
 * still lack capacity. */
static uint32_t assign_for_tasks(struct machine_plan *plan, struct waiting_job *waiting,
                                 uint32_t tasks)
{
    struct waiting_job limited = {waiting->job, waiting->shard, tasks};

    assign_idle_machines(plan, &limited);
    waiting->tasks -= tasks - limited.tasks;
    return limited.tasks;
}

/* First pass, in rank order: assigns machines for tasks within their team's guarantee. If the idle
 * machines do not suffice and `may_revoke` is set, revokes machines from owners. It is not set
 * while machines from earlier revocations with preemption are still being returned. */
static void assign_within_guarantee(struct machine_plan *plan, bool may_revoke)
{
    struct pm_shards *shards = plan->shards;

    for (guint i = 0; i < plan->waiting_count; i++) {
        struct waiting_job *waiting = &plan->waiting[i];
        uint32_t guaranteed;
        uint32_t missing;
        if (!waiting->tasks)
            continue;
        guaranteed = pm_scheduler_claim_guaranteed_tasks(shards->scheduler, waiting->job);
        missing = assign_for_tasks(plan, waiting, MIN(waiting->tasks, guaranteed));
        if (missing && may_revoke)
            pm_shards_revoke_for_guarantee(shards, waiting->job, missing, plan->is_reserved);
    }
}

/* Second pass, in rank order: assigns machines for all other waiting tasks. */
static void assign_beyond_guarantee(struct machine_plan *plan)
{
    for (guint i = 0; i < plan->waiting_count; i++)
        if (plan->waiting[i].tasks)
            assign_for_tasks(plan, &plan->waiting[i], plan->waiting[i].tasks);
}

static void add_unmet_demand(const struct machine_plan *plan)
{
    for (guint i = 0; i < plan->waiting_count; i++) {
        const struct waiting_job *waiting = &plan->waiting[i];
        if (waiting->tasks && !pm_failures_is_job_failing(waiting->job))
            pm_scheduler_add_unmet_demand(plan->shards->scheduler, waiting->job, waiting->tasks);
    }
}

void pm_shards_assign_machines(struct pm_shards *shards, double now)
{
    guint machine_count = pm_workers_all(shards->workers)->len;
    struct machine_plan plan = {.shards = shards, .now = now};
    bool may_revoke = !pm_shards_has_preempting_revocation(shards);
    GPtrArray *queue;

    plan.free = g_new0(struct pm_machine_capacity, machine_count + 1);
    plan.task_counts = g_new0(uint32_t, machine_count + 1);
    plan.is_reserved = g_new0(bool, machine_count + 1);
    compute_free_capacity(&plan);
    pm_scheduler_find_idle_machines(shards->scheduler, pm_election_tokens(shards->election), now);
    queue = rank_jobs(shards);
    collect_waiting_jobs(&plan, queue);
    assign_within_guarantee(&plan, may_revoke);
    assign_beyond_guarantee(&plan);
    add_unmet_demand(&plan);
    pm_shards_revoke_idle_machines(shards, plan.task_counts, plan.is_reserved, now);
    g_ptr_array_free(queue, TRUE);
    g_free(plan.waiting);
    g_free(plan.is_reserved);
    g_free(plan.task_counts);
    g_free(plan.free);
}
