/* Finds the machine where preemption for one task loses least work, and preempts there. Costs are
 * in processor-seconds of lost work. */
#include "scheduler/internal.h"
#include "base/log.h"

#include <math.h>

/* How long a machine is reserved for the job that preempts there. Most of the stopped tasks end
 * within this time. */
#define RESERVATION_S 4.0
/* Per second of an image fetch. High enough that a machine with the image is preferred however much
 * work is lost there. */
#define FETCH_COST_PER_S 1e4
#define PREEMPTION_COST 1.0 /* per preempted task, in addition to the work that it loses */

/* A placement that may be preempted. */
struct preemptible {
    struct pm_placement *placement;
    double loss_s; /* run time lost by stopping the task now */
};

/* A machine where tasks could be made to fit. `cpus_below[priority]` is an upper bound of the
 * processors that a job gets there if it preempts work below `priority`: those that are free, that
 * are being freed, or that such work uses. Computed once per plan, so that the search for each task
 * can skip most machines without looking at their placements. */
struct candidate {
    struct pm_machine *machine;
    double cpus_below[PM_PRIORITIES];
};

/* The placements to preempt on a machine so that one more task fits, and what that costs: the first
 * `count` entries of `preemption.preemptible`. */
struct preemption_set {
    guint count;
    double cost;
};

void pm_preemption_scratch_init(struct pm_preemption_scratch *scratch)
{
    scratch->candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    scratch->preemptible = g_array_new(FALSE, FALSE, sizeof(struct preemptible));
}

void pm_preemption_scratch_clear(struct pm_preemption_scratch *scratch)
{
    g_array_free(scratch->candidates, TRUE);
    g_array_free(scratch->preemptible, TRUE);
}

static void add_candidate(struct pm_scheduler *scheduler, struct pm_machine *machine)
{
    struct candidate candidate = {.machine = machine};
    /* A task may fit into free capacity without any preemption. */
    bool is_candidate = machine->free.cpus > PM_EPSILON;

    for (int priority = 0; priority < PM_PRIORITIES; priority++)
        candidate.cpus_below[priority] = machine->free.cpus;
    for (guint i = 0; i < machine->placements->len; i++) {
        const struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        /* The lowest index of `cpus_below` that includes the placement's processors. */
        int lowest_index =
            placement->should_stop ? PM_PRIORITY_BEST_EFFORT : (int)placement->job->priority + 1;
        if (placement->state == PM_PLACEMENT_ENDED)
            continue;
        is_candidate |= lowest_index < PM_PRIORITIES;
        for (int priority = lowest_index; priority < PM_PRIORITIES; priority++)
            candidate.cpus_below[priority] += placement->job->spec->cpus;
    }
    if (is_candidate)
        g_array_append_val(scheduler->preemption.candidates, candidate);
}

void pm_scheduler_find_preemption_candidates(struct pm_scheduler *scheduler, double now)
{
    GPtrArray *machines = pm_workers_all(scheduler->workers);

    g_array_set_size(scheduler->preemption.candidates, 0);
    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (machine && pm_scheduler_is_machine_usable(scheduler, machine, now))
            add_candidate(scheduler, machine);
    }
}

/* The work lost by stopping the task now, in seconds of its run time. */
static double loss_s(const struct pm_placement *placement, double now)
{
    const struct pm_spec *spec = placement->job->spec;
    double ran_s = placement->running_since ? now - placement->running_since : 0;

    if (spec->checkpoint_interval_s <= 0)
        return ran_s;
    return spec->checkpoint_duration_s + fmod(ran_s, spec->checkpoint_interval_s);
}

static int compare_by_loss(const void *first, const void *second)
{
    const struct preemptible *left = first;
    const struct preemptible *right = second;

    return left->loss_s < right->loss_s ? -1 : left->loss_s > right->loss_s;
}

static const struct preemptible *preemptible_at(const struct pm_scheduler *scheduler, guint index)
{
    return &g_array_index(scheduler->preemption.preemptible, struct preemptible, index);
}

static void add_capacity(struct pm_machine_capacity *capacity, const struct pm_spec *spec)
{
    capacity->cpus += spec->cpus;
    capacity->gpus += spec->gpus;
    capacity->ram_gb += spec->ram_gb;
}

static bool fits(const struct pm_spec *spec, const struct pm_machine_capacity *capacity)
{
    return capacity->cpus + PM_EPSILON >= spec->cpus && capacity->gpus + PM_EPSILON >= spec->gpus &&
           capacity->ram_gb + PM_EPSILON >= spec->ram_gb;
}

/* Collects in `preemption.preemptible` the placements on the machine that the job may preempt,
 * least loss first. Adds the capacity of tasks that are already being stopped to `available`. */
static void find_preemptible(struct pm_scheduler *scheduler, const struct pm_job *job,
                             const struct pm_machine *machine,
                             struct pm_machine_capacity *available, double now)
{
    GArray *preemptible = scheduler->preemption.preemptible;

    g_array_set_size(preemptible, 0);
    for (guint i = 0; i < machine->placements->len; i++) {
        struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        if (placement->should_stop && placement->state != PM_PLACEMENT_ENDED)
            add_capacity(available, placement->job->spec);
        else if (pm_scheduler_may_preempt(scheduler, job, placement, now))
            g_array_append_vals(preemptible,
                                &(struct preemptible){placement, loss_s(placement, now)}, 1);
    }
    g_array_sort(preemptible, compare_by_loss);
}

/* Finds the placements that must be preempted, besides those already being stopped, so that one
 * more task of the job fits on the machine. Returns false if the task cannot be made to fit. */
static bool find_preemption_set(struct pm_scheduler *scheduler, const struct pm_job *job,
                                const struct pm_machine *machine,
                                const struct pm_machine_capacity *reserved,
                                struct preemption_set *out, double now)
{
    const struct pm_spec *spec = job->spec;
    const struct pm_machine_capacity *reserved_here = &reserved[machine->index];
    struct pm_machine_capacity available = machine->free;

    *out = (struct preemption_set){0};
    if (!pm_scheduler_has_image(machine, spec->image))
        out->cost = FETCH_COST_PER_S *
                    (1 + pm_scheduler_fetch_backlog_s(scheduler, machine, spec) +
                     spec->image_gb /
                         MAX(scheduler->tables->types[machine->type].pull_gb_per_s, PM_EPSILON));
    find_preemptible(scheduler, job, machine, &available, now);
    available.cpus -= reserved_here->cpus;
    available.gpus -= reserved_here->gpus;
    available.ram_gb -= reserved_here->ram_gb;
    for (; !fits(spec, &available); out->count++) {
        const struct preemptible *next;
        if (out->count == scheduler->preemption.preemptible->len)
            return false;
        next = preemptible_at(scheduler, out->count);
        add_capacity(&available, next->placement->job->spec);
        out->cost += PREEMPTION_COST + next->loss_s * next->placement->job->spec->cpus;
    }
    return true;
}

static struct pm_machine *find_cheapest(struct pm_scheduler *scheduler,
                                        const struct pm_preemption_request *request,
                                        const struct pm_machine_capacity *reserved,
                                        const struct pm_zone_spread *spread, double now)
{
    const struct pm_job *job = request->job;
    const GArray *candidates = scheduler->preemption.candidates;
    const int only_zone = request->only_zone;
    enum pm_priority priority_limit = pm_scheduler_preemption_priority_limit(scheduler, job);
    struct pm_machine *best = NULL;
    double best_cost = INFINITY;

    for (guint i = 0; i < candidates->len; i++) {
        const struct candidate *candidate = &g_array_index(candidates, struct candidate, i);
        struct pm_machine *machine = candidate->machine;
        struct preemption_set preemption_set;
        if (candidate->cpus_below[priority_limit] - reserved[machine->index].cpus + PM_EPSILON <
                job->spec->cpus ||
            (only_zone >= 0 && machine->zone != only_zone) ||
            !pm_scheduler_is_machine_allowed(scheduler->tables, job, machine->type, machine->zone,
                                             machine->spot) ||
            !pm_scheduler_is_zone_allowed(job, spread, machine->zone) ||
            pm_scheduler_is_reserved_for_other_gang(machine, job, now) ||
            !find_preemption_set(scheduler, job, machine, reserved, &preemption_set, now) ||
            preemption_set.cost >= best_cost)
            continue;
        best = machine;
        best_cost = preemption_set.cost;
    }
    return best;
}

static void preempt_on_machine(struct pm_scheduler *scheduler, struct pm_job *job,
                               struct pm_machine *machine,
                               const struct pm_machine_capacity *reserved, double now)
{
    struct preemption_set preemption_set;

    find_preemption_set(scheduler, job, machine, reserved, &preemption_set, now);
    for (guint i = 0; i < preemption_set.count; i++) {
        struct pm_placement *placement = preemptible_at(scheduler, i)->placement;
        const struct pm_spec *spec = placement->job->spec;
        pm_info("scheduler.preempted", "task %s/%u on machine %s for job %s", placement->job->id,
                placement->task_index, machine->name, job->id);
        pm_placement_stop(placement,
                          pm_scheduler_grace_s(placement, job->priority == PM_PRIORITY_PRODUCTION));
        scheduler->guarantee.stopping_cpus[spec->team] += spec->cpus;
        scheduler->run.actions++;
    }
    scheduler->guarantee.reserved_cpus[job->spec->team] += job->spec->cpus;
    machine->reservation.job = job;
    machine->reservation.until = now + RESERVATION_S;
}

struct pm_machine *pm_scheduler_preempt_for_task(struct pm_scheduler *scheduler,
                                                 const struct pm_preemption_request *request,
                                                 struct pm_machine_capacity *reserved,
                                                 struct pm_zone_spread *spread, double now)
{
    struct pm_machine *best = find_cheapest(scheduler, request, reserved, spread, now);

    if (!best)
        return NULL;
    if (!request->dry_run)
        preempt_on_machine(scheduler, request->job, best, reserved, now);
    add_capacity(&reserved[best->index], request->job->spec);
    pm_scheduler_add_to_spread(spread, best);
    return best;
}
