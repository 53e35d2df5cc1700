/* The controller against which a trace is replayed: jobs, workers and a scheduler, without I/O. */
#ifndef PM_SCHEDULER_TESTS_TRACE_WORLD_H
#define PM_SCHEDULER_TESTS_TRACE_WORLD_H

#include "../../jobs/tests/job_fixtures.h"
#include "scheduler/scheduler.h"

/* The time of day, in seconds, at which the monotonic time is 0. */
#define TRACE_WALL_START 1000.0

struct trace_world {
    struct pm_settings settings;
    struct pm_operator_settings operator_settings;
    struct pm_name_tables tables;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    struct pm_scheduler *scheduler;
    double now;                     /* monotonic, in seconds */
    struct pm_fencing_range tokens; /* of the current epoch */
    uint64_t revision;
    GString *output; /* of the current command: lines that begin with "> " */
};

/* Prints that a placement has ended. */
static void trace_print_ended(void *arg, struct pm_placement *placement, enum pm_task_exit end,
                              bool saved, double now)
{
    static const char *const exit_names[] = {"",        "done", "stopped", "error",
                                             "refused", "gang", "lost"};
    struct trace_world *world = arg;

    (void)now;
    g_string_append_printf(world->output, "> ended %s/%u attempt %u on %s: %s%s\n",
                           placement->job->id, placement->task_index, placement->attempt,
                           placement->machine->name, exit_names[end], saved ? " checkpointed" : "");
}

static void trace_ignore_running(void *arg, struct pm_placement *placement, double now)
{
    (void)arg;
    (void)placement;
    (void)now;
}

/* The current time of day, in seconds. */
static inline double trace_wall(const struct trace_world *world)
{
    return TRACE_WALL_START + world->now;
}

/* Creates a controller with two zones, in epoch 1, but without teams or machine types. */
static inline void trace_world_init(struct trace_world *world)
{
    struct pm_settings *settings = &world->settings;

    memset(world, 0, sizeof *world);
    pm_operator_settings_defaults(&world->operator_settings);
    settings->store_txn_ops = 12;
    settings->store_value_kb = 16;
    settings->lease_s = 12;
    settings->heartbeat_s = 2;
    settings->zone_count = 2;
    strcpy(settings->zone_names[0], "east");
    strcpy(settings->zone_names[1], "west");
    pm_name_tables_init(&world->tables, &world->settings);
    world->jobs = pm_jobs_new(&world->tables);
    world->workers =
        pm_workers_new(&world->tables, world->jobs,
                       &(struct pm_workers_hooks){trace_print_ended, trace_ignore_running, world});
    world->scheduler =
        pm_scheduler_new(&world->tables, world->jobs, world->workers, &world->operator_settings);
    world->tokens = (struct pm_fencing_range){1, 1};
    world->revision = 1;
    world->now = 100;
    world->output = g_string_new("");
}

/* Frees what trace_world_init() created. */
static inline void trace_world_clear(struct trace_world *world)
{
    pm_scheduler_free(world->scheduler);
    pm_workers_free(world->workers);
    pm_jobs_free(world->jobs);
    deployment_fixture_clear(&world->tables);
    g_string_free(world->output, TRUE);
}

/* Calls `visit` for each placement of each machine. */
static inline void trace_for_each_placement(struct trace_world *world,
                                            void (*visit)(struct trace_world *,
                                                          struct pm_placement *))
{
    GPtrArray *machines = pm_workers_all(world->workers);

    for (guint i = 0; i < machines->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(machines, i);
        for (guint j = 0; machine && j < machine->placements->len; j++)
            visit(world, g_ptr_array_index(machine->placements, j));
    }
}

#endif
