/* Headroom for services: capacity kept free on ordinary machines, so that the replicas of a new
 * service, and those lost with any one machine, can be placed at once. */
#include "autoscaler/sizing.h"

#include <limits.h>
#include <math.h>

/* The total demand of n services fluctuates by about FLUCTUATION_FACTOR * sqrt(n) times the mean
 * demand of one service, so many services need less headroom in proportion than few. */
#define FLUCTUATION_FACTOR 2.0

/* What the live services use, including their waiting replicas. Waiting replicas count because in a
 * newly started cluster no replica runs yet: headroom that is rented only once replicas run would
 * be up later than the machines for the replicas. */
struct service_usage {
    double cpus;
    int services; /* number of live services */
    /* The service whose replica size is the unit in which headroom is rented, preferably one
     * without zone or type constraint; NULL: there is no service. */
    const struct pm_job *sample_service;
};

static struct service_usage sum_services(const struct pm_autoscaler *autoscaler)
{
    GPtrArray *active = pm_jobs_active(autoscaler->jobs);
    struct service_usage usage = {0};

    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *job = g_ptr_array_index(active, i);
        const struct pm_spec *spec = job->spec;
        if (!spec || spec->kind != PM_WORKLOAD_SERVICE || job->state != PM_JOB_LIVE)
            continue;
        usage.cpus += (job->work.placed_count + pm_job_waiting_tasks(job)) * spec->cpus;
        usage.services++;
        if (!usage.sample_service || (spec->zone < 0 && spec->allowed_types == ~(uint64_t)0))
            usage.sample_service = job;
    }
    return usage;
}

/* Returns how many processors to keep free on ordinary machines. */
static double target_cpus(const struct pm_autoscaler *autoscaler, const struct service_usage *usage,
                          double now)
{
    double share = usage->cpus * autoscaler->operator_settings->warm_share;
    double fluctuation = FLUCTUATION_FACTOR * usage->cpus / sqrt(MAX(usage->services, 1));

    return MAX(MIN(share, fluctuation),
               pm_scheduler_largest_service_cpus(autoscaler->scheduler, now));
}

/* Returns how many processors are free on ordinary machines, or soon will be. Those that array
 * tasks use there count as free, because array tasks are preempted at once. */
static double free_cpus(const struct pm_sizing *sizing)
{
    double free = pm_scheduler_headroom_cpus(sizing->autoscaler->scheduler, sizing->now);

    for (guint i = 0; i < sizing->machines->len; i++) {
        const struct pm_sizing_machine *machine =
            &g_array_index(sizing->machines, struct pm_sizing_machine, i);
        if (!machine->spot && machine->free.cpus > 0)
            free += machine->free.cpus;
    }
    return free;
}

void pm_sizing_add_headroom(struct pm_sizing *sizing)
{
    struct pm_autoscaler *autoscaler = sizing->autoscaler;
    struct service_usage usage = sum_services(autoscaler);
    double target = target_cpus(autoscaler, &usage, sizing->now);
    double missing;

    autoscaler->headroom.target_free_cpus = target;
    pm_scheduler_set_reserve(autoscaler->scheduler, target);
    if (!usage.sample_service || usage.sample_service->spec->cpus <= 0)
        return;
    missing = MAX(0, target - free_cpus(sizing));
    pm_sizing_pack(sizing, usage.sample_service,
                   pm_sizing_task_count(ceil(missing / usage.sample_service->spec->cpus)), INT_MAX);
}
