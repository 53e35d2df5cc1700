/* What to rent: array work as a flow, services with a reserve. */
#include "autoscaler/internal.h"
#include "workers/failures.h"

#include <limits.h>
#include <math.h>
#include <string.h>

#define FLOW_FIRST_S 30.0
#define WARM_ROOT 2.0
#define SILENT_S 12.0 /* a machine not heard of for longer is not counted on */

struct sizing {
    struct pm_autoscaler *f;
    GArray *bins; /* of struct bin */
    struct pm_scale_out_request *out;
    int n, max;
    double now, day;
    enum slow_kinds { SLOW_NOT, SLOW_PROBES, SLOW_ANY } slow; /* see may_rent */
};

/* How many of so many tasks of the job the bin takes; their room is taken off. */
static int bin_takes(const struct sizing *s, struct bin *bin, const struct pm_job *job, int tasks)
{
    const struct pm_spec *spec = job->spec;
    int n;

    if (tasks <= 0 || bin->cpus + EPS < spec->cpus ||
        !pm_scheduler_is_machine_allowed(s->f->tables, job, bin->type, bin->zone, bin->spot))
        return 0;
    n = (int)MIN(pm_spec_tasks_that_fit(spec, bin->cpus, bin->gpus, bin->ram_gb), (uint32_t)tasks);
    bin->cpus -= n * spec->cpus;
    bin->gpus -= n * spec->gpus;
    bin->ram_gb -= n * spec->ram_gb;
    return n;
}

/* What is asked for of the kind so far, NULL: nothing. */
static struct pm_scale_out_request *find_rent(const struct sizing *s, int type, int zone, bool spot)
{
    for (int i = 0; i < s->n; i++)
        if (s->out[i].type == type && s->out[i].zone == zone && s->out[i].spot == spot)
            return &s->out[i];
    return NULL;
}

/* Whether one more machine of the kind may be asked for now. Of kinds whose boots are late, none is
 * at first; then a few, to notice when boots are well again; and as many as are wanted once those
 * that are late are counted on as well. */
static bool may_rent(const struct sizing *s, int type, int zone, int spot)
{
    const struct kind *kind = &s->f->kind[type][zone][spot];
    const struct pm_scale_out_request *asked;

    if (kind->refused_until > s->now)
        return false;
    if (!pm_autoscaler_is_kind_late(kind) || s->slow == SLOW_ANY)
        return true;
    if (s->slow != SLOW_PROBES)
        return false;
    asked = find_rent(s, type, zone, spot);
    return (asked ? asked->count : 0) < pm_autoscaler_probe_count(s->f, type, kind, s->now);
}

/* The kind that runs `left` such tasks at the least cost each; false when none is to be had. */
static bool cheapest(const struct sizing *s, const struct pm_job *job, int left, int zone_wanted,
                     bool spot_only, struct pm_scale_out_request *out)
{
    double best = INFINITY;

    for (int type = 0; type < s->f->tables->type_count; type++) {
        const struct pm_type *t = &s->f->tables->types[type];
        bool service = job->spec->kind == PM_WORKLOAD_SERVICE;
        int most = (int)pm_spec_tasks_that_fit(job->spec, t->cpus, t->gpus, t->ram_gb);
        int fit = service ? most : MIN(most, left);
        for (int zone = 0; fit > 0 && zone < s->f->tables->settings->zone_count; zone++) {
            for (int spot = spot_only; spot < 2; spot++) {
                /* Longer boots cost as well, as a share of a machine's usual stay; users of a
                 * service wait for them. What a service leaves free, others use. */
                double price =
                    (spot ? t->spot_price : t->price) * (1 + t->ready_s / (service ? 60 : 300));
                if (!(t->zones >> zone & 1) || (zone_wanted >= 0 && zone != zone_wanted) ||
                    !pm_scheduler_is_machine_allowed(s->f->tables, job, type, zone, spot) ||
                    !may_rent(s, type, zone, spot))
                    continue;
                if (price / fit < best) {
                    best = price / fit;
                    *out = (struct pm_scale_out_request){type, zone, spot, 1};
                }
            }
        }
    }
    return best < INFINITY;
}

static void add_rent(struct sizing *s, const struct pm_scale_out_request *rent)
{
    const struct pm_type *t = &s->f->tables->types[rent->type];
    struct bin bin = {.cpus = t->cpus,
                      .gpus = t->gpus,
                      .ram_gb = t->ram_gb,
                      .type = rent->type,
                      .zone = rent->zone,
                      .spot = rent->spot,
                      .fresh = true};
    struct pm_scale_out_request *asked = find_rent(s, rent->type, rent->zone, rent->spot);

    g_array_append_val(s->bins, bin);
    s->f->kind[rent->type][rent->zone][rent->spot].cpus += t->cpus;
    if (asked)
        asked->count++;
    else if (s->n < s->max)
        s->out[s->n++] = *rent;
}

/* The array work ahead, as a flow: `work` processor-seconds in rank order up to and with the job at
 * hand, `pool` processors that serve it now or once they have booted. */
struct flow {
    double work, pool;
};

static double task_seconds(const struct pm_autoscaler *f, const struct pm_job *job)
{
    return MAX(pm_scheduler_estimate_remaining_s(f->plan, job) * 1.5 + 2, 1);
}

static bool in_flow(const struct pm_job *job)
{
    return job->spec && job->spec->kind == PM_WORKLOAD_ARRAY && job->spec->spot &&
           job->spec->cpus > 0;
}

/* How soon the users want jobs of the class to have begun, or ended; 0: they do not say. */
static double wanted_within(const struct pm_autoscaler *f, const struct pm_job *job)
{
    const struct pm_settings *s = f->tables->settings;
    const char *name = pm_names_text(f->tables->class_names, job->spec->class_index);
    double within = 0;

    for (int i = 0; i < s->objective_count; i++)
        if (s->objectives[i].within_s > 0 && !strcmp(s->objectives[i].class_name, name))
            within =
                within > 0 ? MIN(within, s->objectives[i].within_s) : s->objectives[i].within_s;
    return within;
}

/* Best-effort work fills idle room. Machines are rented for it only where the users say how soon
 * its class is to begin, or to end. */
static bool is_idle_time_work(const struct pm_autoscaler *f, const struct pm_job *job)
{
    return job->priority == PM_PRIORITY_BEST_EFFORT && job->spec->deadline_s < 0 &&
           wanted_within(f, job) <= 0;
}

/* Within what time a backlog of such jobs is to be worked off. */
static double backlog_s(const struct pm_autoscaler *f, const struct pm_job *job)
{
    if (job->priority > PM_PRIORITY_BEST_EFFORT)
        return f->op->backlog_s;
    return MAX(f->op->backlog_s, wanted_within(f, job) / 2);
}

/* What array tasks that run now still have before them. */
static double running_work(const struct pm_autoscaler *f, double now)
{
    GPtrArray *all = pm_workers_all(f->workers);
    GPtrArray *active = pm_jobs_active(f->jobs);
    double work = 0;

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        for (guint j = 0; m && j < m->placements->len; j++) {
            const struct pm_placement *place = g_ptr_array_index(m->placements, j);
            double each;
            double ran;
            if (place->state == PM_PLACEMENT_ENDED || !in_flow(place->job))
                continue;
            each = task_seconds(f, place->job);
            ran = place->running_since ? now - place->running_since : 0;
            work += MAX(each - ran, each * 0.2) * place->job->spec->cpus;
        }
    }
    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *job = g_ptr_array_index(active, i);
        uint32_t done;
        uint32_t placed;
        if (!job->delegated || !in_flow(job))
            continue;
        pm_job_count_tasks(job, &done, &placed);
        work += placed * task_seconds(f, job) * job->spec->cpus / 2;
    }
    return work;
}

/* Estimates are off by half: spot machines are taken for more work than is expected, ordinary ones,
 * several times as dear, for that share of it. */
#define DEAR 0.7

/* Whether a machine that is there, or soon will be, may run the job's tasks, its room aside. Of a
 * job bound to one zone, the pool may well be in the others. */
static bool pool_may_run(const struct sizing *s, const struct pm_job *job)
{
    const struct pm_name_tables *tables = s->f->tables;

    for (int type = 0; type < tables->type_count; type++)
        for (int zone = 0; zone < tables->settings->zone_count; zone++)
            for (int spot = 0; spot < 2; spot++)
                if (s->f->kind[type][zone][spot].cpus >= job->spec->cpus &&
                    pm_scheduler_is_machine_allowed(tables, job, type, zone, spot))
                    return true;
    return false;
}

/* How many more of a job's tasks ought to get machines of their own, so that it ends in time: the
 * rest follows on the machines that there are. A job whose time cannot be kept by renting counts as
 * backlog, to be worked off within a while. */
static int more_tasks(const struct sizing *s, struct flow *flow, const struct pm_unmet_demand *want,
                      double caution)
{
    const struct pm_spec *spec = want->job->spec;
    double each = task_seconds(s->f, want->job);
    double boot = INFINITY;
    double left;
    double need;
    bool reachable;

    if (!in_flow(want->job))
        return (int)want->tasks;
    if (is_idle_time_work(s->f, want->job))
        return flow->pool < spec->cpus ? 1 : 0;
    flow->work += want->tasks * each * caution * spec->cpus;
    for (int type = 0; type < s->f->tables->type_count; type++)
        if (spec->allowed_types >> type & 1)
            boot = MIN(boot, s->f->tables->types[type].ready_s * 1.1 + 2);
    left = isinf(want->job->deadline_wall) ? 0 : want->job->deadline_wall - s->day - each * 0.6;
    reachable = pool_may_run(s, want->job);
    if (reachable && left > 0 && flow->work <= flow->pool * left)
        return 0;
    if (left - boot > each * 0.3)
        need = (flow->work - flow->pool * boot) / (left - boot);
    else
        need = flow->work / backlog_s(s->f, want->job);
    need = MIN(ceil(MAX(0, need - flow->pool) / spec->cpus), want->tasks);
    if (flow->pool < spec->cpus || !reachable)
        need = MAX(need, 1);
    flow->pool += need * spec->cpus;
    return (int)need;
}

/* An array job that cannot be done in time any more waits for spot machines: ordinary ones would
 * cost several times as much and save nothing. */
static bool too_late(const struct sizing *s, const struct pm_job *job)
{
    const struct pm_spec *spec = job->spec;

    return spec->kind == PM_WORKLOAD_ARRAY && spec->spot &&
           job->deadline_wall - s->day < pm_scheduler_estimate_remaining_s(s->f->plan, job);
}

/* Tasks of a job that are yet to find a machine. */
struct filling {
    const struct pm_job *job;
    int tasks;
    int dear;     /* the first so many may have ordinary machines, the rest spot ones only */
    int zone;     /* the only one allowed, ANY_ZONE, or ONE_ZONE: any one, the same for all */
    bool used_up; /* no room is left on machines that are up: the planner found none */
};

enum { ANY_ZONE = -1, ONE_ZONE = -2 };

/* On the machines that there are: those that boot for long, as all of their kind do, or the others.
 */
static void fill_bins(struct sizing *s, struct filling *want, bool overdue)
{
    bool late = too_late(s, want->job);

    for (guint i = 0; i < s->bins->len && want->tasks > 0; i++) {
        struct bin *bin = &g_array_index(s->bins, struct bin, i);
        int n;
        if (bin->overdue != overdue || (want->used_up && bin->up) ||
            (!bin->spot && (late || want->dear <= 0)) ||
            (want->zone >= 0 && bin->zone != want->zone))
            continue;
        n = bin_takes(s, bin, want->job, bin->spot ? want->tasks : MIN(want->tasks, want->dear));
        want->tasks -= n;
        want->dear -= n;
    }
}

static void fill_rented(struct sizing *s, struct filling *want)
{
    bool late = too_late(s, want->job);
    struct pm_scale_out_request rent = {0};

    while (want->tasks > 0) {
        int n;
        if (!cheapest(s, want->job, want->tasks, want->zone >= 0 ? want->zone : ANY_ZONE,
                      late || want->dear <= 0, &rent))
            return;
        if (want->zone == ONE_ZONE)
            want->zone = rent.zone;
        add_rent(s, &rent);
        n = bin_takes(s, &g_array_index(s->bins, struct bin, s->bins->len - 1), want->job,
                      want->tasks);
        if (n < 1)
            return;
        want->tasks -= n;
        want->dear -= n;
    }
}

/* Machines that are up or soon will be come first, then what can be rented of kinds that boot as
 * they should, then those that are late, and only then more of these. */
static void fill(struct sizing *s, const struct pm_job *job, int tasks, int dear, bool used_up)
{
    struct filling want = {
        .job = job,
        .tasks = tasks,
        .dear = dear,
        .zone = job->spec->same_zone && job->spec->kind == PM_WORKLOAD_GANG ? ONE_ZONE : ANY_ZONE,
        .used_up = used_up};

    s->slow = SLOW_NOT;
    fill_bins(s, &want, false);
    fill_rented(s, &want);
    s->slow = SLOW_PROBES;
    fill_rented(s, &want);
    s->slow = SLOW_ANY;
    fill_bins(s, &want, true);
    fill_rented(s, &want);
}

/* Array work comes as a stream of jobs, each too short for the boot of a machine to help it: what
 * the stream takes on the whole is rented ahead, and kept, on spot machines. */
static void measure_flow(struct pm_autoscaler *f, double now, double day)
{
    GPtrArray *active = pm_jobs_active(f->jobs);

    if (!f->flow_since)
        f->flow_since = f->flow_at = now;
    f->flow *= exp((f->flow_at - now) / FLOW_S);
    f->flow_jobs *= exp((f->flow_at - now) / FLOW_S);
    f->flow_at = now;
    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        double weight;
        if (job->scheduling.counted_in_demand || !in_flow(job))
            continue;
        job->scheduling.counted_in_demand = true;
        if (is_idle_time_work(f, job))
            continue;
        weight = exp(-MAX(0, day - job->spec->submitted_wall) / FLOW_S);
        f->flow_jobs += weight;
        f->flow += weight * job->task_count * pm_scheduler_estimate_remaining_s(f->plan, job) *
                   job->spec->cpus;
    }
}

/* Processors that the stream takes for certain: the fewer jobs it was measured by, the less. What
 * came first of all is taken for the first while's share. */
double pm_autoscaler_steady_demand_cpus(const struct pm_autoscaler *f, double now)
{
    double seen = FLOW_S * (1 - exp(-MAX(now - f->flow_since, FLOW_FIRST_S) / FLOW_S));

    return f->flow_jobs > 1 ? f->flow / seen * (1 - 1 / sqrt(f->flow_jobs)) : 0;
}

static void rent_for_flow(struct sizing *s)
{
    GPtrArray *active = pm_jobs_active(s->f->jobs);
    double missing = pm_autoscaler_steady_demand_cpus(s->f, s->now) - s->f->spot_cpus;
    struct pm_job *typical = NULL;
    struct pm_scale_out_request rent;

    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        if (in_flow(job) && job->state == PM_JOB_LIVE &&
            (!typical || job->spec->submitted_wall > typical->spec->submitted_wall))
            typical = job;
    }
    for (guint i = 0; i < s->bins->len; i++) { /* what was just sized for the jobs that wait */
        const struct bin *bin = &g_array_index(s->bins, struct bin, i);
        if (bin->fresh && bin->spot)
            missing -= s->f->tables->types[bin->type].cpus;
    }
    s->slow = SLOW_PROBES;
    while (typical && missing >= typical->spec->cpus &&
           cheapest(s, typical, (int)(missing / typical->spec->cpus), -1, true, &rent)) {
        add_rent(s, &rent);
        missing -= s->f->tables->types[rent.type].cpus;
    }
}

/* The machines that count as capacity, with the room left on them, and the spot ones' processors.
 */
static void collect_bins(struct sizing *s)
{
    struct pm_autoscaler *f = s->f;
    GPtrArray *all = pm_workers_all(f->workers);

    g_array_set_size(s->bins, 0);
    f->spot_cpus = 0;
    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        enum boot boot;
        if (!m || m->type < 0 || m->zone < 0)
            continue;
        boot =
            m->state == PM_MACHINE_BOOTING ? pm_autoscaler_boot_state(f, m, s->now) : BOOT_EXPECTED;
        if (boot == BOOT_STUCK)
            continue;
        if (m->state != PM_MACHINE_RELEASING && !m->heartbeat.spot_interruption_at) {
            double cpus = f->tables->types[m->type].cpus;
            pm_autoscaler_kind_of(f, m)->cpus += cpus;
            f->spot_cpus += m->spot ? cpus : 0;
        }
        if (m->state == PM_MACHINE_RELEASING || m->heartbeat.spot_interruption_at ||
            pm_failures_is_machine_faulty(m) || m->shard.owner ||
            (m->state == PM_MACHINE_UP && s->now - m->heartbeat.last_message_at > SILENT_S) ||
            m->free.cpus <= EPS)
            continue;
        g_array_append_vals(s->bins,
                            &(struct bin){.cpus = m->free.cpus,
                                          .gpus = m->free.gpus,
                                          .ram_gb = m->free.ram_gb,
                                          .type = m->type,
                                          .zone = m->zone,
                                          .spot = m->spot,
                                          .up = m->state == PM_MACHINE_UP,
                                          .overdue = boot == BOOT_LATE},
                            1);
    }
}

static void rent_for_wants(struct sizing *s)
{
    const GArray *wants = pm_scheduler_unmet_demand(s->f->plan);
    struct flow flow = {running_work(s->f, s->now),
                        pm_scheduler_batch_capacity_cpus(s->f->plan, s->now)};
    struct flow dear_flow = {flow.work * DEAR, flow.pool};

    for (guint i = 0; i < wants->len; i++) {
        const struct pm_unmet_demand *want = &g_array_index(wants, struct pm_unmet_demand, i);
        int cheap = more_tasks(s, &flow, want, 1);
        int dear = more_tasks(s, &dear_flow, want, DEAR);
        fill(s, want->job, MAX(cheap, dear), dear, true);
    }
}

/* What services use, or will once those that wait have room: on a cold start nothing runs yet, and
 * what is rented late is up late. Returns one that may run nearly anywhere, NULL: there is none. */
static struct pm_job *sum_services(const struct pm_autoscaler *f, double *cpus, int *services)
{
    GPtrArray *active = pm_jobs_active(f->jobs);
    struct pm_job *typical = NULL;

    *cpus = 0;
    *services = 0;
    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        if (!job->spec || job->spec->kind != PM_WORKLOAD_SERVICE || job->state != PM_JOB_LIVE)
            continue;
        *cpus += (job->work.placed_count + pm_job_waiting_tasks(job)) * job->spec->cpus;
        ++*services;
        if (!typical || (job->spec->zone < 0 && job->spec->allowed_types == ~(uint64_t)0))
            typical = job;
    }
    return typical;
}

/* A reserve on ordinary machines, so that a new service finds room at once: room for what comes,
 * and for the replicas of any one machine that ends. Of many services, fewer come at once for their
 * number: as the root of it. */
static void rent_for_reserve(struct sizing *s)
{
    struct pm_autoscaler *f = s->f;
    double cpus;
    double spare;
    double share;
    int services;
    const struct pm_job *typical = sum_services(f, &cpus, &services);

    share = MIN(cpus * f->op->warm_share, WARM_ROOT * cpus / sqrt(MAX(services, 1)));
    f->spare_want = MAX(share, pm_scheduler_largest_service_cpus(f->plan, s->now));
    pm_scheduler_set_reserve(f->plan, f->spare_want);
    if (!typical || typical->spec->cpus <= 0)
        return;
    /* What array tasks use on ordinary machines yields at once, so it counts as spare. */
    spare = pm_scheduler_headroom_cpus(f->plan, s->now);
    for (guint i = 0; i < s->bins->len; i++) {
        const struct bin *bin = &g_array_index(s->bins, struct bin, i);
        if (!bin->spot && !bin->up && bin->cpus > 0)
            spare += bin->cpus;
    }
    fill(s, typical, (int)ceil(MAX(0, f->spare_want - spare) / typical->spec->cpus), INT_MAX, true);
}

/* What is asked for of slow kinds counts as their probes from now. */
static void note_probes(const struct sizing *s)
{
    for (int i = 0; i < s->n; i++) {
        struct kind *kind = &s->f->kind[s->out[i].type][s->out[i].zone][s->out[i].spot];
        if (pm_autoscaler_is_kind_late(kind))
            kind->probed_at = s->now;
    }
}

int pm_autoscaler_size(struct pm_autoscaler *f, double now, double day,
                       struct pm_scale_out_request *out, int max)
{
    struct sizing sizing = {
        .f = f, .bins = f->bins, .out = out, .max = max, .now = now, .day = day};

    measure_flow(f, now, day);
    pm_autoscaler_track_boots(f, now);
    collect_bins(&sizing);
    rent_for_wants(&sizing);
    rent_for_flow(&sizing);
    rent_for_reserve(&sizing);
    note_probes(&sizing);
    return sizing.n;
}
