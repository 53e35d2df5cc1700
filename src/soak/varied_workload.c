/* Jobs drawn over the whole range of the protocol's fields. Every job can run: combinations that
 * the controllers would refuse, or that no placement can meet, are not drawn. */
#include "soak/workload.h"

#include <math.h>
#include <string.h>

/* The probabilities that a job has these properties. */
#define ARRAY_SHARE 0.6
#define GANG_SHARE 0.2 /* a job that is neither an array nor a gang is a service */
#define LARGE_ARRAY_SHARE 0.1
#define TYPE_SHARE 0.35
#define ZONE_SHARE 0.2
#define SAME_ZONE_SHARE 0.25
#define SPREAD_SHARE 0.35
#define ORDINARY_SHARE 0.4
#define ACCELERATOR_SHARE 0.2
#define DEADLINE_SHARE 0.4
#define CHECKPOINT_SHARE 0.3
#define DEPENDENT_SHARE 0.1
#define EXTREME_ESTIMATE_SHARE 0.1

/* Estimates are off by a factor of e to the power of up to this, in either direction. */
#define ESTIMATE_ERROR_EXPONENT 3.0
#define EXTREME_ESTIMATE_S 1e10
#define DEADLINE_MAX_S 60.0
#define IMAGE_GB_MAX 6.0
#define CHECKPOINT_INTERVAL_S 1.0
#define CHECKPOINT_DURATION_S 0.2

enum {
    SMALL_TASKS_END = 12,
    LARGE_TASKS_MIN = 100,
    LARGE_TASKS_END = 300,
    GANG_TASKS_END = 5,
    SERVICE_TASKS_END = 6,
    RUN_TENTHS_MIN = 2,
    SMALL_RUN_TENTHS_END = 50,
    LARGE_RUN_TENTHS_END = 6,
    IMAGES = 10
};

static bool draw(GRand *random, double share)
{
    return g_rand_double(random) < share;
}

static void draw_kind(GRand *random, struct cluster_job *job)
{
    double kind = g_rand_double(random);
    bool is_large = draw(random, LARGE_ARRAY_SHARE);

    if (kind < ARRAY_SHARE) {
        job->kind = "array";
        job->task_count =
            (unsigned)(is_large ? g_rand_int_range(random, LARGE_TASKS_MIN, LARGE_TASKS_END)
                                : g_rand_int_range(random, 1, SMALL_TASKS_END));
    } else if (kind < ARRAY_SHARE + GANG_SHARE) {
        job->kind = "group";
        job->task_count = (unsigned)g_rand_int_range(random, 1, GANG_TASKS_END);
    } else {
        job->kind = "standing";
        job->task_count = (unsigned)g_rand_int_range(random, 1, SERVICE_TASKS_END);
        return;
    }
    job->run_s = g_rand_int_range(random, RUN_TENTHS_MIN,
                                  job->task_count < LARGE_TASKS_MIN ? SMALL_RUN_TENTHS_END
                                                                    : LARGE_RUN_TENTHS_END) /
                 10.0;
}

static void draw_priority(GRand *random, struct cluster_job *job)
{
    static const char *const priorities[] = {"best_effort", "normal", "normal", "urgent"};

    job->priority = strcmp(job->kind, "standing")
                        ? priorities[g_rand_int_range(random, 0, G_N_ELEMENTS(priorities))]
                        : "production";
}

/* Every machine type meets these amounts, except that only the first has accelerators. */
static void draw_amounts(GRand *random, struct cluster_job *job)
{
    static const double cpus[] = {0.5, 1, 2, 4};
    static const double ram_gb[] = {0.5, 4, 13, 29};

    job->cpus = cpus[g_rand_int_range(random, 0, G_N_ELEMENTS(cpus))];
    job->ram_gb = ram_gb[g_rand_int_range(random, 0, G_N_ELEMENTS(ram_gb))];
    job->image = g_rand_int_range(random, 0, IMAGES);
    job->image_gb = IMAGE_GB_MAX * (job->image + 1) / IMAGES;
    if (draw(random, ACCELERATOR_SHARE))
        job->accelerators = 1;
}

static void draw_placement_rules(GRand *random, struct cluster_job *job)
{
    if (draw(random, TYPE_SHARE))
        job->machine_type = fake_provider_type_name(
            job->accelerators > 0 ? 0 : g_rand_int_range(random, 0, WORKLOAD_VARIED_TYPES));
    if (draw(random, ZONE_SHARE))
        job->zone = g_rand_int_range(random, 0, CLUSTER_ZONES_MAX);
    job->same_zone = draw(random, SAME_ZONE_SHARE);
    job->spread_zones = draw(random, SPREAD_SHARE) && job->zone < 0 && !job->same_zone;
    job->ordinary_only = draw(random, ORDINARY_SHARE);
}

static void draw_times(GRand *random, struct cluster_job *job)
{
    double exponent =
        g_rand_double_range(random, -ESTIMATE_ERROR_EXPONENT, ESTIMATE_ERROR_EXPONENT);

    if (job->run_s > 0)
        job->estimated_run_s =
            draw(random, EXTREME_ESTIMATE_SHARE) ? EXTREME_ESTIMATE_S : job->run_s * exp(exponent);
    if (job->run_s > 0 && draw(random, DEADLINE_SHARE))
        job->deadline_s = g_rand_double_range(random, job->run_s, DEADLINE_MAX_S);
    if (draw(random, CHECKPOINT_SHARE)) {
        job->checkpoint_interval_s = CHECKPOINT_INTERVAL_S;
        job->checkpoint_duration_s = CHECKPOINT_DURATION_S;
    }
}

void workload_submit_varied_job(struct cluster *cluster, GRand *random)
{
    static char previous[32]; /* id of the job that the next one may depend on; "": none */
    struct cluster_job job = {.zone = -1};
    const char *id;

    /* For the first job of a run, `previous` may be the id of a job of an earlier run. */
    if (!cluster_job_count(cluster))
        previous[0] = 0;
    draw_kind(random, &job);
    draw_priority(random, &job);
    draw_amounts(random, &job);
    draw_placement_rules(random, &job);
    draw_times(random, &job);
    job.team = workload_team_name(g_rand_int_range(random, 0, WORKLOAD_TEAMS));
    if (previous[0] && job.run_s > 0 && draw(random, DEPENDENT_SHARE))
        job.dependency = previous;
    id = cluster_submit_job(cluster, &job);
    g_strlcpy(previous, job.run_s > 0 ? id : "", sizeof previous);
}
