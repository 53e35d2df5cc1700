/* plan-bench [MACHINES [JOBS]]: measures how long the scheduler takes to place tasks, and how long
 * it takes to apply heartbeats and to add and cancel jobs that depend on each other. The jobs and
 * machines are synthetic.
 *
 * In each round, heartbeats from a share of the machines report that their array tasks have ended,
 * and the scheduler places the waiting tasks. The times depend on the machine that runs the
 * benchmark: compare them only with those of another version on the same machine. */
#include "base/clock.h"
#include "base/log.h"
#include "scheduler/scheduler.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { DEFAULT_MACHINES = 2000, DEFAULT_JOBS = 250 };
enum {
    ROUNDS = 200,
    ARRAY_TASKS = 110,
    ROUNDS_PER_HEARTBEAT = 40,    /* a machine sends one heartbeat in this many rounds */
    SERVICE_EVERY = 4,            /* one job in this many is a service, the others are arrays */
    DEPENDENT_EVERY = 4,          /* one job in this many depends on the previous job */
    FIRST_DEPENDENCY_JOB = 500000 /* the jobs of time_dependencies() are numbered from here */
};
#define ROUND_S 0.2        /* simulated duration of a round */
#define FIRST_ROUND_AT 100 /* simulated time of the first round, in seconds */
#define MICROSECONDS_PER_S 1e6

/* The modules that the benchmark measures, and their settings. */
static struct bench {
    struct pm_settings settings;
    struct pm_operator_settings operator_settings;
    struct pm_name_tables tables;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    struct pm_scheduler *scheduler;
    uint64_t revision; /* of the last simulated write to the state service */
    double now;        /* the simulated time, in seconds */
} bench;

/* A hook of the workers module; the benchmark has nothing to do. */
static void on_task_ended(void *arg, struct pm_placement *placement, enum pm_task_exit task_exit,
                          bool checkpointed, double now)
{
    (void)arg;
    (void)placement;
    (void)task_exit;
    (void)checkpointed;
    (void)now;
}

/* A hook of the workers module; the benchmark has nothing to do. */
static void on_task_running(void *arg, struct pm_placement *placement, double now)
{
    (void)arg;
    (void)placement;
    (void)now;
}

static struct pm_spec service_spec(void)
{
    return (struct pm_spec){.zone = -1,
                            .allowed_types = ~(uint64_t)0,
                            .kind = PM_WORKLOAD_SERVICE,
                            .priority = PM_PRIORITY_PRODUCTION,
                            .task_count = 5,
                            .cpus = 2,
                            .ram_gb = 13,
                            .image_gb = 1,
                            .spread_zones = true,
                            .deadline_s = -1,
                            .submitted_wall = bench.now};
}

static struct pm_spec array_spec(void)
{
    return (struct pm_spec){.zone = -1,
                            .allowed_types = ~(uint64_t)0,
                            .kind = PM_WORKLOAD_ARRAY,
                            .priority = PM_PRIORITY_NORMAL,
                            .task_count = ARRAY_TASKS,
                            .cpus = 4,
                            .ram_gb = 29,
                            .image_gb = 1,
                            .spot = true,
                            .estimated_run_s = 15,
                            .deadline_s = 60,
                            .submitted_wall = bench.now};
}

/* Makes the job of `spec` depend on the jobs with these numbers. The spec owns the list. */
static void set_dependencies(struct pm_spec *spec, const int *dependencies, int count)
{
    GPtrArray *ids;

    if (!count)
        return;
    ids = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; i < count; i++)
        g_ptr_array_add(ids, g_strdup_printf("job-%06d", dependencies[i]));
    pm_spec_set_dependencies(&bench.tables, spec, ids);
    g_ptr_array_free(ids, TRUE);
}

/* Adds the job with this number to the replica. `dependencies` are the numbers of the jobs that it
 * depends on. */
static void add_job(int number, const int *dependencies, int dependency_count)
{
    bool is_service = number % SERVICE_EVERY == 0;
    struct pm_spec spec = is_service ? service_spec() : array_spec();
    struct pm_buffer buf = {0};
    cbor_item_t *value;
    char text[64];

    snprintf(text, sizeof text, "img-%02d", number % 26);
    spec.class_index = pm_names_intern(bench.tables.class_names, is_service ? "search" : "render");
    spec.image = pm_names_intern(bench.tables.image_names, text);
    set_dependencies(&spec, dependencies, dependency_count);
    pm_job_encode(&bench.tables, &spec, spec.task_count, PM_JOB_LIVE, true, &buf);
    g_free(spec.dependencies);
    value = pm_cbor_parse(buf.data, buf.size);
    snprintf(text, sizeof text, "p/j/job-%06d", number);
    pm_jobs_apply_put(bench.jobs, text, value, ++bench.revision);
    pm_cbor_free(value);
    pm_buffer_free(&buf);
}

/* Adds a job for time_rounds(). One job in DEPENDENT_EVERY depends on the previous job. */
static void add_round_job(int number)
{
    int previous = number - 1;
    bool is_dependent = number % DEPENDENT_EVERY == DEPENDENT_EVERY - 1;

    add_job(number, &previous, is_dependent);
}

/* Encodes a task in a heartbeat. An array task is reported as ended, a service task as running. */
static void put_task(const struct pm_placement *placement, struct pm_buffer *out)
{
    bool has_ended = placement->job->spec->kind == PM_WORKLOAD_ARRAY;
    char name[64];

    snprintf(name, sizeof name, "%s/%u", placement->job->id, placement->task_index);
    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "entry", name);
    pm_cbor_put_pair_uint(out, "try", placement->attempt);
    pm_cbor_put_pair_text(out, "status", has_ended ? "ended" : "running");
    if (has_ended)
        pm_cbor_put_pair_text(out, "cause", "done");
    pm_cbor_put_end(out);
}

/* Encodes a heartbeat that reports every task placed on the machine. */
static void put_heartbeat(const struct pm_machine *machine, struct pm_buffer *out)
{
    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "host", machine->name);
    pm_cbor_put_pair_text(out, "endpoint", "127.0.0.1:9");
    pm_cbor_put_pair_text(out, "model", pm_names_text(bench.tables.type_names, machine->type));
    pm_cbor_put_pair_text(out, "room", bench.settings.zone_names[machine->zone]);
    pm_cbor_put_pair_flag(out, "borrowed", machine->spot);
    pm_cbor_put_pair_uint(out, "shift", 1);
    pm_cbor_put_pair_uint(out, "tally", machine->heartbeat.sequence + 1);
    pm_cbor_put_pair_uint(out, "mandate", 1);
    pm_cbor_put_text(out, "entries");
    pm_cbor_put_list(out);
    for (guint i = 0; i < machine->placements->len; i++)
        put_task(g_ptr_array_index(machine->placements, i), out);
    pm_cbor_put_end(out);
    pm_cbor_put_end(out);
}

/* Decodes and applies a heartbeat of the machine, as a controller does when it receives one. */
static void apply_heartbeat(const struct pm_machine *machine)
{
    struct pm_buffer buf = {0};
    cbor_item_t *item;
    bool is_new;

    put_heartbeat(machine, &buf);
    item = pm_cbor_parse(buf.data, buf.size);
    pm_workers_apply_report(bench.workers, item, PM_REPORT_HEARTBEAT,
                            (struct pm_fencing_range){1, 1}, bench.now, &is_new);
    pm_cbor_free(item);
    pm_buffer_free(&buf);
}

static void init_settings(struct pm_settings *settings)
{
    strcpy(settings->zone_names[0], "a");
    strcpy(settings->zone_names[1], "b");
    settings->zone_count = 2;
    settings->team_count = 1;
    strcpy(settings->teams[0].name, "team");
    settings->teams[0].cpus_max = settings->teams[0].gpus_max = 1e12;
    settings->heartbeat_s = 8;
    settings->lease_s = 44;
    settings->store_txn_ops = 8;
}

static void init_tables(struct pm_name_tables *tables, const struct pm_settings *settings)
{
    tables->settings = settings;
    tables->class_names = pm_names_new();
    tables->image_names = pm_names_new();
    tables->type_names = pm_names_new();
    tables->machine_names = pm_names_new();
    tables->dependency_ids = pm_names_new();
    pm_names_intern(tables->type_names, "small");
    pm_names_intern(tables->type_names, "large");
    tables->types[0] =
        (struct pm_machine_type){.cpus = 4, .ram_gb = 32, .local_gb = 35, .pull_gb_per_s = 0.2};
    tables->types[1] =
        (struct pm_machine_type){.cpus = 16, .ram_gb = 128, .local_gb = 40, .pull_gb_per_s = 0.4};
    tables->type_count = 2;
}

/* Adds a machine that the provider lists. One machine in four is large, half of the machines are in
 * each zone, and two of three are spot machines. */
static void add_machine(int index)
{
    struct pm_machine *machine;
    char name[32];

    snprintf(name, sizeof name, "i-%06d", index);
    machine = pm_workers_find_or_add(bench.workers, name);
    pm_workers_set_type(bench.workers, machine, index % 4 == 0);
    machine->zone = index / 2 % 2;
    machine->spot = index % 3 > 0;
    machine->provider.is_listed = true;
}

static void init_bench(int machine_count)
{
    init_settings(&bench.settings);
    pm_operator_settings_defaults(&bench.operator_settings);
    init_tables(&bench.tables, &bench.settings);
    bench.now = FIRST_ROUND_AT;
    bench.jobs = pm_jobs_new(&bench.tables);
    bench.workers =
        pm_workers_new(&bench.tables, bench.jobs,
                       &(struct pm_workers_hooks){on_task_ended, on_task_running, NULL});
    for (int i = 0; i < machine_count; i++)
        add_machine(i);
    bench.scheduler =
        pm_scheduler_new(&bench.tables, bench.jobs, bench.workers, &bench.operator_settings);
}

/* Totals over all rounds, and the duration of the longest plan. */
struct round_times {
    double scheduling_s, longest_scheduling_s, heartbeats_s;
    long placed, heartbeats;
};

/* Applies the heartbeats of the round, and adds the time that this takes to `times`. In the first
 * round, every machine sends a heartbeat. */
static void send_heartbeats(const GPtrArray *machines, int round, struct round_times *times)
{
    double started_at = pm_clock_monotonic();

    for (int i = 0; i < (int)machines->len; i++) {
        if (round && (i + round) % ROUNDS_PER_HEARTBEAT)
            continue;
        apply_heartbeat(g_ptr_array_index(machines, i));
        times->heartbeats++;
    }
    times->heartbeats_s += pm_clock_monotonic() - started_at;
}

/* Makes one plan, in which the scheduler places waiting tasks, and adds its duration to `times`. */
static void run_scheduler(struct round_times *times)
{
    double started_at = pm_clock_monotonic();
    double elapsed_s;

    times->placed += pm_scheduler_run_plan(bench.scheduler, bench.now, bench.now);
    elapsed_s = pm_clock_monotonic() - started_at;
    times->scheduling_s += elapsed_s;
    times->longest_scheduling_s = MAX(times->longest_scheduling_s, elapsed_s);
}

/* Marks the tasks that the scheduler has placed as running, without a heartbeat that reports it. */
static void start_placed_tasks(const GPtrArray *machines)
{
    for (guint i = 0; i < machines->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(machines, i);
        for (guint k = 0; k < machine->placements->len; k++) {
            struct pm_placement *placement = g_ptr_array_index(machine->placements, k);
            if (placement->state == PM_PLACEMENT_PROPOSED)
                placement->state = PM_PLACEMENT_RUNNING;
        }
    }
}

/* Runs all rounds, each with one more job than the previous round, and prints the average times. */
static void time_rounds(int machine_count, int job_count)
{
    struct round_times times = {0};
    int next_job = 0;

    for (int round = 0; round < ROUNDS; round++) {
        GPtrArray *machines = pm_workers_all(bench.workers);
        for (; next_job < job_count + round; next_job++)
            add_round_job(next_job);
        send_heartbeats(machines, round, &times);
        run_scheduler(&times);
        start_placed_tasks(machines);
        bench.now += ROUND_S;
    }
    printf(
        "%d machines, %d jobs: average plan %.0f us (longest %.0f us), %ld tasks placed; average "
        "heartbeat %.1f us\n",
        machine_count, next_job, times.scheduling_s / ROUNDS * MICROSECONDS_PER_S,
        times.longest_scheduling_s * MICROSECONDS_PER_S, times.placed,
        times.heartbeats_s / (double)times.heartbeats * MICROSECONDS_PER_S);
}

/* Returns the number of job `index` of time_dependencies(). The number is odd, so that add_job()
 * makes the job an array and not a service (see SERVICE_EVERY). */
static int dependency_job_number(int index)
{
    return FIRST_DEPENDENCY_JOB + 2 * index + 1;
}

/* Cancels job `from`, which also cancels the jobs up to `until` (exclusive), because they all
 * depend on job `from`, directly or not. Prints the average times per job. `adding_s` is how long
 * it took to add all these jobs. */
static void time_cancellation(const char *label, int from, int until, double adding_s)
{
    double started_at = pm_clock_monotonic();
    int count = until - from;
    char id[32];

    snprintf(id, sizeof id, "job-%06d", dependency_job_number(from));
    pm_jobs_apply_cancellation(bench.jobs, id, ++bench.revision);
    printf("%s, %d jobs: %.1f us per job added, %.1f us per job cancelled\n", label, count,
           adding_s / count * MICROSECONDS_PER_S,
           (pm_clock_monotonic() - started_at) / count * MICROSECONDS_PER_S);
}

/* Measures a chain of jobs that starts with job `from`: each job depends on the previous one.
 * Returns the index after the last job. */
static int time_chain(int from, int length)
{
    double started_at = pm_clock_monotonic();

    for (int i = 0; i < length; i++) {
        int previous = dependency_job_number(from + i - 1);
        add_job(dependency_job_number(from + i), &previous, i > 0);
    }
    time_cancellation("a chain", from, from + length, pm_clock_monotonic() - started_at);
    return from + length;
}

/* Measures a ladder of diamonds that starts with job `from`: the last job of each level depends on
 * two jobs, which both depend on the last job of the previous level. Returns the index after the
 * last job. */
static int time_ladder(int from, int levels)
{
    double started_at = pm_clock_monotonic();
    int next = from + 1;

    add_job(dependency_job_number(from), NULL, 0);
    for (int level = 0; level < levels; level++) {
        int previous_last = dependency_job_number(next - 1);
        int sides[] = {dependency_job_number(next), dependency_job_number(next + 1)};
        add_job(sides[0], &previous_last, 1);
        add_job(sides[1], &previous_last, 1);
        add_job(dependency_job_number(next + 2), sides, 2);
        next += 3;
    }
    time_cancellation("a ladder of diamonds", from, next, pm_clock_monotonic() - started_at);
    return next;
}

/* Measures a fan-out and fan-in: `width` jobs depend on job `from`, and a last job depends on all
 * of them. Returns the index after the last job. */
static int time_fan(int from, int width)
{
    double started_at = pm_clock_monotonic();
    int first = dependency_job_number(from);
    int *middle = g_new(int, width);

    add_job(first, NULL, 0);
    for (int i = 0; i < width; i++) {
        middle[i] = dependency_job_number(from + 1 + i);
        add_job(middle[i], &first, 1);
    }
    add_job(dependency_job_number(from + 1 + width), middle, width);
    time_cancellation("a fan-out and fan-in", from, from + width + 2,
                      pm_clock_monotonic() - started_at);
    g_free(middle);
    return from + width + 2;
}

static void time_dependencies(void)
{
    enum { CHAINS = 5, CHAIN_LENGTH = 1000, LADDER_LEVELS = 300, FAN_WIDTH = 500 };
    int next = 0;

    for (int i = 0; i < CHAINS; i++)
        next = time_chain(next, CHAIN_LENGTH);
    next = time_ladder(next, LADDER_LEVELS);
    time_fan(next, FAN_WIDTH);
}

int main(int argc, char **argv)
{
    int machine_count = argc > 1 ? (int)strtol(argv[1], NULL, 10) : DEFAULT_MACHINES;
    int job_count = argc > 2 ? (int)strtol(argv[2], NULL, 10) : DEFAULT_JOBS;

    pm_log_setup("error", "bench");
    init_bench(machine_count);
    time_rounds(machine_count, job_count);
    time_dependencies();
    return 0;
}
