/* Properties of array jobs that the sizing uses. */
#include "autoscaler/sizing.h"

#include <string.h>

/* The expected duration of a task is its estimated run time, times a margin, plus its start-up
 * time. */
#define ESTIMATE_MARGIN 1.5
#define TASK_START_S 2
#define TASK_DURATION_MIN_S 1

bool pm_sizing_is_spot_array(const struct pm_job *job)
{
    return job->spec && job->spec->kind == PM_WORKLOAD_ARRAY && job->spec->spot &&
           job->spec->cpus > 0;
}

/* Returns the strictest service-level objective for jobs of the job's class, in seconds until they
 * begin or end, or 0 if there is none. */
static double objective_s(const struct pm_autoscaler *autoscaler, const struct pm_job *job)
{
    const struct pm_settings *settings = autoscaler->tables->settings;
    const char *class_name = pm_names_text(autoscaler->tables->class_names, job->spec->class_index);
    double strictest = 0;

    for (int i = 0; i < settings->objective_count; i++) {
        double within_s = settings->objectives[i].within_s;
        if (within_s > 0 && !strcmp(settings->objectives[i].class_name, class_name))
            strictest = strictest > 0 ? MIN(strictest, within_s) : within_s;
    }
    return strictest;
}

bool pm_sizing_is_opportunistic(const struct pm_autoscaler *autoscaler, const struct pm_job *job)
{
    return job->priority == PM_PRIORITY_BEST_EFFORT && job->spec->deadline_s < 0 &&
           objective_s(autoscaler, job) <= 0;
}

double pm_sizing_backlog_target_s(const struct pm_autoscaler *autoscaler, const struct pm_job *job)
{
    double target_s = autoscaler->operator_settings->backlog_s;

    if (job->priority > PM_PRIORITY_BEST_EFFORT)
        return target_s;
    return MAX(target_s, objective_s(autoscaler, job) / 2);
}

double pm_sizing_task_duration_s(const struct pm_autoscaler *autoscaler, const struct pm_job *job)
{
    double estimate_s = pm_scheduler_estimate_run_s(autoscaler->scheduler, job);

    return MAX(estimate_s * ESTIMATE_MARGIN + TASK_START_S, TASK_DURATION_MIN_S);
}
