#include "soak/workload.h"

#include <string.h>

/* The probabilities that a job has these properties. Services are neither urgent nor dependent. */
#define DEPENDENT_SHARE 0.1 /* the job depends on the job submitted before it */
#define URGENT_SHARE 0.2
#define ACCELERATED_SHARE 0.5
#define ZONE_BOUND_SHARE 0.3
#define ARRAY_SHARE 0.75
#define GANG_SHARE 0.15 /* a job that is neither an array nor a gang is a service */

/* Task counts of jobs. The counts are less than the _END value. */
enum { ARRAY_TASKS_END = 12, GANG_TASKS_MIN = 2, GANG_TASKS_END = 4, SERVICE_TASKS_END = 3 };

/* One job in this many names its machine type. */
enum { TYPE_BOUND_EVERY = 2 };

/* Run times of tasks in tenths of a second. The run times are less than the _END value. */
enum { RUN_TENTHS_MIN = 5, ARRAY_RUN_TENTHS_END = 60, GANG_RUN_TENTHS_END = 40 };

static struct cluster_team teams[WORKLOAD_TEAMS] = {
    {.name = "team-a"}, {.name = "team-b"}, {.name = "team-c"}};

const char *workload_team_name(int team)
{
    return teams[team].name;
}

const struct cluster_team *workload_teams(double total_cpus)
{
    /* The limits of the first two teams together are less than the machines' processors, so these
     * teams reach their limits before the machines are full. The first team's guarantee equals its
     * limit.
     *
     * The third team reaches its limit of accelerators before its limit of processors: on average,
     * half of the tasks use 1 accelerator, and each task uses 2 processors, so 0.1 * total_cpus
     * accelerators are used at 0.4 * total_cpus processors. */
    teams[0].cpus = teams[0].cpus_max = 0.3 * total_cpus;
    teams[1].cpus = 0.1 * total_cpus;
    teams[1].cpus_max = 0.3 * total_cpus;
    teams[2].cpus = 0.2 * total_cpus;
    teams[2].cpus_max = 0.5 * total_cpus;
    teams[2].accelerators_max = 0.1 * total_cpus;
    return teams;
}

static double draw_run_s(GRand *random, int end_tenths)
{
    return g_rand_int_range(random, RUN_TENTHS_MIN, end_tenths) / 10.0;
}

/* Draws the kind, task count and run time of a job. A service gets no run time: it runs until the
 * soak cancels it. */
static void draw_kind(GRand *random, struct cluster_job *job, unsigned array_task_factor)
{
    double draw = g_rand_double(random);

    if (draw < ARRAY_SHARE) {
        job->kind = "array";
        job->task_count =
            array_task_factor * (unsigned)g_rand_int_range(random, 1, ARRAY_TASKS_END);
        job->run_s = draw_run_s(random, ARRAY_RUN_TENTHS_END);
    } else if (draw < ARRAY_SHARE + GANG_SHARE) {
        job->kind = "group";
        job->task_count = (unsigned)g_rand_int_range(random, GANG_TASKS_MIN, GANG_TASKS_END);
        job->run_s = draw_run_s(random, GANG_RUN_TENTHS_END);
    } else {
        job->kind = "standing";
        job->task_count = (unsigned)g_rand_int_range(random, 1, SERVICE_TASKS_END);
    }
}

void workload_submit_job(struct cluster *cluster, GRand *random, unsigned array_task_factor)
{
    static char previous[32]; /* id of the job that the next one may depend on */
    struct cluster_job job = {.priority = "normal", .zone = -1, .cpus = 2};
    bool is_service;

    /* For the first job of a run, `previous` may be the id of a job of an earlier run. */
    if (!cluster_job_count(cluster))
        previous[0] = 0;
    draw_kind(random, &job, array_task_factor);
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
    if (cluster_job_count(cluster) % TYPE_BOUND_EVERY == 0)
        job.machine_type = FAKE_PROVIDER_MACHINE_TYPE;
    if (previous[0] && !is_service && g_rand_double(random) < DEPENDENT_SHARE)
        job.dependency = previous;
    g_strlcpy(previous, cluster_submit_job(cluster, &job), sizeof previous);
    if (is_service)
        previous[0] = 0; /* a service does not end, so no job may depend on one */
}
