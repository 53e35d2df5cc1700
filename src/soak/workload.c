#include "soak/workload.h"

#include <string.h>

#define CHAINED 0.1 /* share of jobs that need the one before */
#define URGENT 0.2
#define ACCELERATED 0.5
#define BOUND 0.3 /* share of jobs for one zone only */

static struct cluster_team teams[WORKLOAD_TEAMS] = {
    {.name = "team-a"}, {.name = "team-b"}, {.name = "team-c"}};

const struct cluster_team *workload_teams(double machine_cpus)
{
    /* The limits of two teams together are less than the machines have, so that they bind; for one
     * of them guarantee and limit are the same. */
    teams[0].cpus = teams[0].cpus_max = 0.3 * machine_cpus;
    teams[1].cpus = 0.1 * machine_cpus;
    teams[1].cpus_max = 0.3 * machine_cpus;
    teams[2].cpus = 0.2 * machine_cpus;
    teams[2].cpus_max = 0.5 * machine_cpus;
    teams[2].accelerators_max = 0.1 * machine_cpus; /* this binds first */
    return teams;
}

/* Mostly arrays; some gangs, and services that are cancelled later. */
static void draw_form(GRand *random, struct cluster_job *job, unsigned scale)
{
    double form = g_rand_double(random);

    if (form < 0.75) {
        job->kind = "array";
        job->task_count = scale * (unsigned)g_rand_int_range(random, 1, 12);
        job->run_s = g_rand_int_range(random, 5, 60) / 10.0;
    } else if (form < 0.9) {
        job->kind = "group";
        job->task_count = (unsigned)g_rand_int_range(random, 2, 4);
        job->run_s = g_rand_int_range(random, 5, 40) / 10.0;
    } else {
        job->kind = "standing";
        job->task_count = (unsigned)g_rand_int_range(random, 1, 3);
    }
}

void workload_submit(struct cluster *cluster, GRand *random, unsigned scale)
{
    static char before[32]; /* the job that the next one may need */
    struct cluster_job job = {.priority = "normal", .zone = -1, .cpus = 2};

    if (!cluster_job_count(cluster)) /* another run's */
        before[0] = 0;
    draw_form(random, &job, scale);
    job.team = teams[g_rand_int_range(random, 0, WORKLOAD_TEAMS)].name;
    if (g_rand_double(random) < ACCELERATED)
        job.accelerators = 1;
    if (g_rand_double(random) < URGENT)
        job.priority = "urgent";
    if (!strcmp(job.kind, "standing"))
        job.priority = "production";
    if (g_rand_double(random) < BOUND)
        job.zone = g_rand_int_range(random, 0, CLUSTER_ZONES);
    if (before[0] && strcmp(job.kind, "standing") != 0 && g_rand_double(random) < CHAINED)
        job.dependency = before;
    g_strlcpy(before, cluster_submit_job(cluster, &job), sizeof before);
    if (!strcmp(job.kind, "standing"))
        before[0] = 0; /* nothing can wait for a service */
}
