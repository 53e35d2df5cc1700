/* Measures the planner and the report path on synthetic jobs and machines: plan-bench [MACHINES
 * [JOBS]].
 *
 * Every round a share of the running tasks ends, told by their workers' reports, and one plan
 * places what waits. Times are of this machine; compare them with those of an earlier version. */
#include "base/log.h"
#include "scheduler/scheduler.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum { FIRST_ARRAY = 500000 }; /* numbers of the jobs with dependencies begin here */
enum {
    ROUNDS = 200,
    ENTRIES = 110,
    SHARE = 40 /* one of so many machines ends its tasks a round */
};

static struct pm_settings settings;
static struct pm_name_tables tables;
static struct pm_jobs *jobs;
static struct pm_workers *workers;
static uint64_t revision;

static void on_ended(void *arg, struct pm_placement *place, enum pm_task_exit end, bool saved,
                     double now)
{
    (void)arg;
    (void)place;
    (void)end;
    (void)saved;
    (void)now;
}

static void on_ran(void *arg, struct pm_placement *place, double now)
{
    (void)arg;
    (void)place;
    (void)now;
}

static double seconds(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return (double)t.tv_sec + (double)t.tv_nsec * 1e-9;
}

/* `needs`: the numbers of the jobs that it needs. */
static void add_job(int n, const int *needs, int nneeds, double now)
{
    bool service = n % 4 == 0;
    struct pm_spec spec = {.zone = -1,
                           .allowed_types = ~(uint64_t)0,
                           .kind = service ? PM_WORKLOAD_SERVICE : PM_WORKLOAD_ARRAY,
                           .priority = service ? PM_PRIORITY_PRODUCTION : PM_PRIORITY_NORMAL,
                           .task_count = service ? 5 : ENTRIES,
                           .cpus = service ? 2 : 4,
                           .ram_gb = service ? 13 : 29,
                           .image_gb = 1,
                           .spot = !service,
                           .spread_zones = service,
                           .estimated_run_s = service ? 0 : 15,
                           .deadline_s = service ? -1 : 60,
                           .submitted_wall = now};
    struct pm_buf buf = {0};
    cbor_item_t *value;
    char text[64];

    snprintf(text, sizeof text, "img-%02d", n % 26);
    spec.class_index = pm_names_intern(tables.class_names, service ? "search" : "render");
    spec.image = pm_names_intern(tables.image_names, text);
    if (nneeds) {
        GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
        for (int i = 0; i < nneeds; i++)
            g_ptr_array_add(ids, g_strdup_printf("job-%06d", needs[i]));
        pm_spec_set_dependencies(&tables, &spec, ids);
        g_ptr_array_free(ids, TRUE);
    }
    pm_job_encode(&tables, &spec, spec.task_count, PM_JOB_LIVE, true, &buf);
    g_free(spec.dependencies);
    value = pm_cbor_parse(buf.data, buf.size);
    snprintf(text, sizeof text, "p/j/job-%06d", n);
    pm_jobs_apply_put(jobs, text, value, ++revision);
    pm_cbor_free(value);
    pm_buf_free(&buf);
}

/* A report of all that the replica has on the machine: running, or ended. */
static void report(struct pm_machine *m, bool ended, double now)
{
    struct pm_buf buf = {0};
    cbor_item_t *item;
    bool fresh;

    pm_put_map(&buf);
    pm_put_pair_text(&buf, "host", m->name);
    pm_put_pair_text(&buf, "endpoint", "127.0.0.1:9");
    pm_put_pair_text(&buf, "model", pm_names_text(tables.type_names, m->type));
    pm_put_pair_text(&buf, "room", settings.zone_names[m->zone]);
    pm_put_pair_flag(&buf, "borrowed", m->spot);
    pm_put_pair_count(&buf, "shift", 1);
    pm_put_pair_count(&buf, "tally", m->heartbeat.sequence + 1);
    pm_put_pair_count(&buf, "mandate", 1);
    pm_put_text(&buf, "entries");
    pm_put_list(&buf);
    for (guint i = 0; i < m->placements->len; i++) {
        const struct pm_placement *place = g_ptr_array_index(m->placements, i);
        char entry[64];
        bool over = ended && place->job->spec->kind == PM_WORKLOAD_ARRAY;
        snprintf(entry, sizeof entry, "%s/%u", place->job->id, place->task_index);
        pm_put_map(&buf);
        pm_put_pair_text(&buf, "entry", entry);
        pm_put_pair_count(&buf, "try", place->attempt);
        pm_put_pair_text(&buf, "status", over ? "ended" : "running");
        if (over)
            pm_put_pair_text(&buf, "cause", "done");
        pm_put_end(&buf);
    }
    pm_put_end(&buf);
    pm_put_end(&buf);
    item = pm_cbor_parse(buf.data, buf.size);
    pm_workers_apply_heartbeat(workers, item, PM_SOURCE_HEARTBEAT, 1, now, &fresh);
    pm_cbor_free(item);
    pm_buf_free(&buf);
}

static void begin(int machines)
{
    strcpy(settings.zone_names[0], "a");
    strcpy(settings.zone_names[1], "b");
    settings.zone_count = 2;
    settings.team_count = 1;
    strcpy(settings.teams[0].name, "team");
    settings.teams[0].cpus_max = settings.teams[0].gpus_max = 1e12;
    settings.heartbeat_s = 8;
    settings.lease_s = 44;
    settings.store_txn_ops = 8;
    tables.settings = &settings;
    tables.class_names = pm_names_new();
    tables.image_names = pm_names_new();
    tables.type_names = pm_names_new();
    tables.machine_names = pm_names_new();
    tables.dependency_ids = pm_names_new();
    pm_names_intern(tables.type_names, "small");
    pm_names_intern(tables.type_names, "large");
    tables.types[0] =
        (struct pm_type){.cpus = 4, .ram_gb = 32, .local_gb = 35, .pull_gb_per_s = 0.2};
    tables.types[1] =
        (struct pm_type){.cpus = 16, .ram_gb = 128, .local_gb = 40, .pull_gb_per_s = 0.4};
    tables.type_count = 2;
    jobs = pm_jobs_new(&tables);
    workers = pm_workers_new(&tables, jobs, &(struct pm_workers_hooks){on_ended, on_ran, NULL});
    for (int i = 0; i < machines; i++) {
        char name[32];
        struct pm_machine *m;
        snprintf(name, sizeof name, "i-%06d", i);
        m = pm_workers_add(workers, name);
        pm_workers_set_type(workers, m, i % 4 == 0);
        m->zone = i / 2 % 2;
        m->spot = i % 3 > 0;
        m->provider.is_listed = true;
    }
}

/* An odd number: an array, never a service. */
static int array_number(int index)
{
    return FIRST_ARRAY + 2 * index + 1;
}

/* Jobs that were told between `from` and `to`, and that depend on the first: cancels them with it.
 */
static void time_cancel(const char *what, int from, int to, double told)
{
    double at = seconds();
    char id[32];

    snprintf(id, sizeof id, "job-%06d", array_number(from));
    pm_jobs_apply_cancellation(jobs, id, ++revision);
    printf("%s, %d jobs: %.1f us a job told, %.1f us a job cancelled\n", what, to - from,
           told / (to - from) * 1e6, (seconds() - at) / (to - from) * 1e6);
}

/* Each needs the one before it. */
static int time_chain(int from, int length, double now)
{
    double at = seconds();

    for (int i = 0; i < length; i++) {
        int before = array_number(from + i - 1);
        add_job(array_number(from + i), &before, i > 0, now);
    }
    time_cancel("a chain", from, from + length, seconds() - at);
    return from + length;
}

/* Each level's join needs two sides, which need the join below. */
static int time_ladder(int from, int levels, double now)
{
    double at = seconds();
    int next = from + 1;

    add_job(array_number(from), NULL, 0, now);
    for (int level = 0; level < levels; level++) {
        int below = array_number(next - 1);
        int sides[] = {array_number(next), array_number(next + 1)};
        add_job(sides[0], &below, 1, now);
        add_job(sides[1], &below, 1, now);
        add_job(array_number(next + 2), sides, 2, now);
        next += 3;
    }
    time_cancel("a ladder of diamonds", from, next, seconds() - at);
    return next;
}

/* One is needed by many, which are all needed by another one. */
static int time_fan(int from, int width, double now)
{
    double at = seconds();
    int first = array_number(from);
    int *all = g_new(int, width);

    add_job(first, NULL, 0, now);
    for (int i = 0; i < width; i++) {
        all[i] = array_number(from + 1 + i);
        add_job(all[i], &first, 1, now);
    }
    add_job(array_number(from + 1 + width), all, width, now);
    time_cancel("out to many and in again", from, from + width + 2, seconds() - at);
    g_free(all);
    return from + width + 2;
}

static void time_dependencies(double now)
{
    int next = 0;

    for (int i = 0; i < 5; i++)
        next = time_chain(next, 1000, now);
    next = time_ladder(next, 300, now);
    time_fan(next, 500, now);
}

/* Every fourth needs the one before it. */
static void add_next(int n, double now)
{
    int before = n - 1;

    add_job(n, &before, n % 4 == 3, now);
}

int main(int argc, char **argv)
{
    int machines = argc > 1 ? (int)strtol(argv[1], NULL, 10) : 2000;
    int njobs = argc > 2 ? (int)strtol(argv[2], NULL, 10) : 250;
    int next = 0;
    double now = 100;
    double plans = 0;
    double reports = 0;
    double longest = 0;
    long placed = 0;
    long nreports = 0;
    struct pm_operator_settings op;
    struct pm_scheduler *plan;

    pm_log_setup("error", "bench");
    pm_operator_settings_defaults(&op);
    begin(machines);
    plan = pm_scheduler_new(&tables, jobs, workers, &op);
    for (int round = 0; round < ROUNDS; round++) {
        GPtrArray *all = pm_workers_all(workers);
        double at = seconds();
        double took;
        for (; next < njobs + round; next++)
            add_next(next, now);
        for (int i = 0; i < machines; i++) {
            struct pm_machine *m = g_ptr_array_index(all, i);
            if (round && (i + round) % SHARE)
                continue;
            report(m, true, now);
            nreports++;
        }
        reports += seconds() - at;
        at = seconds();
        placed += pm_scheduler_run(plan, now, now);
        took = seconds() - at;
        plans += took;
        longest = took > longest ? took : longest;
        for (int i = 0; i < machines; i++) {
            struct pm_machine *m = g_ptr_array_index(all, i);
            for (guint j = 0; j < m->placements->len; j++) {
                struct pm_placement *place = g_ptr_array_index(m->placements, j);
                if (place->state == PM_PLACEMENT_PROPOSED)
                    place->state = PM_PLACEMENT_RUNNING;
            }
        }
        now += 0.2;
    }
    printf("%d machines, %d jobs: plan %.0f us (longest %.0f us), %ld placed; report %.1f us\n",
           machines, next, plans / ROUNDS * 1e6, longest * 1e6, placed,
           reports / (double)nreports * 1e6);
    time_dependencies(now);
    return 0;
}
