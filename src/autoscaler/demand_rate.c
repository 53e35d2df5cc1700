/* Measures the rate at which array work arrives. Array work arrives as a stream of short jobs: a
 * job is done before a machine rented for it would have booted. Spot machines for the steady part
 * of this demand are therefore rented ahead of the jobs, and kept. */
#include "autoscaler/sizing.h"

#include <math.h>

#define DECAY_S 60.0 /* time constant of the exponential decay */
/* The work counted so far is divided by at least this span, so that the rate is not overestimated
 * shortly after the start of the measurement. */
#define MEASURED_SPAN_MIN_S 30.0
/* A task counts with at most this run time. Longer tasks are no stream of short jobs, and their job
 * never uses more processors than all its tasks together. */
#define STREAM_TASK_RUN_MAX_S 300.0

void pm_autoscaler_measure_demand(struct pm_autoscaler *autoscaler, double now, double wall_now)
{
    struct pm_demand_rate *rate = &autoscaler->demand_rate;
    GPtrArray *active = pm_jobs_active(autoscaler->jobs);

    if (!rate->started_at) {
        rate->started_at = now;
        rate->updated_at = now;
    }
    rate->cpu_s *= exp((rate->updated_at - now) / DECAY_S);
    rate->jobs *= exp((rate->updated_at - now) / DECAY_S);
    rate->updated_at = now;
    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        double weight;
        double run_s;
        if (job->scheduling.counted_in_demand || !pm_sizing_is_spot_array(job))
            continue;
        job->scheduling.counted_in_demand = true;
        if (pm_sizing_is_opportunistic(autoscaler, job))
            continue;
        weight = exp(-MAX(0, wall_now - job->spec->submitted_wall) / DECAY_S);
        run_s = MIN(pm_scheduler_estimate_run_s(autoscaler->scheduler, job), STREAM_TASK_RUN_MAX_S);
        rate->jobs += weight;
        rate->cpu_s += weight * job->task_count * run_s * job->spec->cpus;
    }
}

double pm_autoscaler_steady_demand_cpus(const struct pm_autoscaler *autoscaler, double now)
{
    const struct pm_demand_rate *rate = &autoscaler->demand_rate;
    double span_s = MAX(now - rate->started_at, MEASURED_SPAN_MIN_S);
    double decayed_span_s = DECAY_S * (1 - exp(-span_s / DECAY_S));

    if (rate->jobs <= 1)
        return 0;
    return rate->cpu_s / decayed_span_s * (1 - 1 / sqrt(rate->jobs));
}

/* Returns the live array job that was submitted last, or NULL if there is none. */
static struct pm_job *latest_array_job(const struct pm_autoscaler *autoscaler)
{
    GPtrArray *active = pm_jobs_active(autoscaler->jobs);
    struct pm_job *latest = NULL;

    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        if (pm_sizing_is_spot_array(job) && job->state == PM_JOB_LIVE &&
            (!latest || job->spec->submitted_wall > latest->spec->submitted_wall))
            latest = job;
    }
    return latest;
}

/* Returns how many processors of the steady demand are not covered by spot machines that are up,
 * booting or to be rented by this sizing. */
static double missing_cpus(const struct pm_sizing *sizing)
{
    const struct pm_autoscaler *autoscaler = sizing->autoscaler;
    double missing = pm_autoscaler_steady_demand_cpus(autoscaler, sizing->now) -
                     autoscaler->headroom.spot_capacity_cpus;

    for (guint i = 0; i < sizing->machines->len; i++) {
        const struct pm_sizing_machine *machine =
            &g_array_index(sizing->machines, struct pm_sizing_machine, i);
        if (machine->is_new && machine->spot)
            missing -= autoscaler->tables->types[machine->type].cpus;
    }
    return missing;
}

void pm_sizing_add_steady_demand(struct pm_sizing *sizing)
{
    const struct pm_job *sample_job = latest_array_job(sizing->autoscaler);
    double missing = missing_cpus(sizing);
    struct pm_scale_out_request kind;

    sizing->late_kinds = PM_LATE_KINDS_PROBED;
    while (sample_job && missing >= sample_job->spec->cpus &&
           pm_sizing_choose_kind(sizing, sample_job,
                                 pm_sizing_task_count(missing / sample_job->spec->cpus), -1, true,
                                 &kind)) {
        pm_sizing_add_machine(sizing, &kind);
        missing -= sizing->autoscaler->tables->types[kind.type].cpus;
    }
}
