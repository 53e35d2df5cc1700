/* Run times: compares the measured run times of tasks with their owners' estimates. */
#include "scheduler/internal.h"

/* The weight of one task's ratio in the factor of its class. Small, because the estimates for the
 * tasks of one job are all off by about the same factor. */
#define SAMPLE_WEIGHT 0.01
/* Limits of the ratio of a measured run time to its estimate. */
#define RATIO_MIN 0.1
#define RATIO_MAX 10

void pm_scheduler_record_run_time(struct pm_scheduler *scheduler, struct pm_job *job,
                                  double seconds)
{
    int class_index = job->spec->class_index;
    double ratio;
    double *factor;

    job->scheduling.run_time_sum_s += seconds;
    job->scheduling.run_time_samples++;
    if (class_index >= PM_CLASSES_MAX || job->spec->estimated_run_s <= 0)
        return;
    ratio = CLAMP(seconds / job->spec->estimated_run_s, RATIO_MIN, RATIO_MAX);
    factor = &scheduler->run_time_factor[class_index];
    *factor = (*factor > 0 ? *factor : 1) * (1 - SAMPLE_WEIGHT) + ratio * SAMPLE_WEIGHT;
}

double pm_scheduler_estimate_run_s(const struct pm_scheduler *scheduler, const struct pm_job *job)
{
    int class_index = job->spec->class_index;
    double factor = 1;

    if (class_index < PM_CLASSES_MAX && scheduler->run_time_factor[class_index] > 0)
        factor = scheduler->run_time_factor[class_index];
    return (job->spec->estimated_run_s * factor + job->scheduling.run_time_sum_s) /
           (1 + job->scheduling.run_time_samples);
}
