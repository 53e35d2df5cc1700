#include "soak/workload.h"

#include <string.h>

/* Shares of all jobs that have these properties. */
#define DEPENDENT_SHARE 0.1 /* depend on the job submitted before */
#define URGENT_SHARE 0.2
#define ACCELERATED_SHARE 0.5
#define ZONE_BOUND_SHARE 0.3
#define ARRAY_SHARE 0.75
#define GANG_SHARE 0.15 /* jobs that are neither arrays nor gangs are services */

enum { ARRAY_TASKS_MAX = 12, GANG_TASKS_MIN = 2, GANG_TASKS_MAX = 4, SERVICE_TASKS_MAX = 3 };

/* Limits of the tasks' run times, in tenths of a second. */
enum { RUN_TENTHS_MIN = 5, ARRAY_RUN_TENTHS_MAX = 60, GANG_RUN_TENTHS_MAX = 40 };

static struct cluster_team teams[WORKLOAD_TEAMS] = {
    {.name = "team-a"}, {.name = "team-b"}, {.name = "team-c"}};

const struct cluster_team *workload_teams(double machine_cpus)
{
    /* The limits of the first two teams together are less than the machines' processors, so these
     * teams reach their limits before the machines are full. The first team's guarantee equals its
     * limit. */
    teams[0].cpus = teams[0].cpus_max = 0.3 * machine_cpus;
    teams[1].cpus = 0.1 * machine_cpus;
    teams[1].cpus_max = 0.3 * machine_cpus;
    teams[2].cpus = 0.2 * machine_cpus;
    teams[2].cpus_max = 0.5 * machine_cpus;
    teams[2].accelerators_max = 0.1 * machine_cpus; /* reached before cpus_max */
    return teams;
}

static double draw_run_s(GRand *random, int max_tenths)
{
    return g_rand_int_range(random, RUN_TENTHS_MIN, max_tenths) / 10.0;
}

/* Draws the kind, task count and run time of a job. A service gets no run time: it runs until the
 * soak cancels it. */
static void draw_kind(GRand *random, struct cluster_job *job, unsigned scale)
{
    double share = g_rand_double(random);

    if (share < ARRAY_SHARE) {
        job->kind = "array";
        job->task_count = scale * (unsigned)g_rand_int_range(random, 1, ARRAY_TASKS_MAX);
        job->run_s = draw_run_s(random, ARRAY_RUN_TENTHS_MAX);
    } else if (share < ARRAY_SHARE + GANG_SHARE) {
        job->kind = "group";
        job->task_count = (unsigned)g_rand_int_range(random, GANG_TASKS_MIN, GANG_TASKS_MAX);
        job->run_s = draw_run_s(random, GANG_RUN_TENTHS_MAX);
    } else {
        job->kind = "standing";
        job->task_count = (unsigned)g_rand_int_range(random, 1, SERVICE_TASKS_MAX);
    }
}

void workload_submit(struct cluster *cluster, GRand *random, unsigned scale)
{
    static char previous[32]; /* id of the job that the next one may depend on */
    struct cluster_job job = {.priority = "normal", .zone = -1, .cpus = 2};
    bool is_service;

    if (!cluster_job_count(cluster)) /* `previous` was set by an earlier run */
        previous[0] = 0;
    draw_kind(random, &job, scale);
    is_service = !strcmp(job.kind, "standing");
    job.team = teams[g_rand_int_range(random, 0, WORKLOAD_TEAMS)].name;
    if (g_rand_double(random) < ACCELERATED_SHARE)
        job.accelerators = 1;
    if (g_rand_double(random) < URGENT_SHARE)
        job.priority = "urgent";
    if (is_service)
        job.priority = "production";
    if (g_rand_double(random) < ZONE_BOUND_SHARE)
        job.zone = g_rand_int_range(random, 0, CLUSTER_ZONES);
    if (previous[0] && !is_service && g_rand_double(random) < DEPENDENT_SHARE)
        job.dependency = previous;
    g_strlcpy(previous, cluster_submit_job(cluster, &job), sizeof previous);
    if (is_service)
        previous[0] = 0; /* a service does not end, so no job may depend on it */
}
