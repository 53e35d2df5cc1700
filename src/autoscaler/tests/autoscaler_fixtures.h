/* Fixture for the tests of this slice: an autoscaler for a deployment of one zone and two machine
 * types. It does no I/O unless a test starts a fake provider. */
#ifndef PM_AUTOSCALER_TESTS_AUTOSCALER_FIXTURES_H
#define PM_AUTOSCALER_TESTS_AUTOSCALER_FIXTURES_H

#include "../../jobs/tests/job_fixtures.h"
#include "autoscaler/autoscaler.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

enum { NOW = 500 }; /* used both as monotonic time and as time of day */

/* The machine types of the deployment. */
enum { SMALL_TYPE, LARGE_TYPE, TYPE_COUNT };

enum { REQUESTS_MAX = 16 };

static struct pm_settings settings;
static struct pm_operator_settings operator_settings;
static struct pm_name_tables tables;
static struct pm_jobs *jobs;
static struct pm_workers *workers;
static struct pm_scheduler *scheduler;
static struct pm_autoscaler *autoscaler;
static uint64_t revision; /* store revision of the last job added */

static inline int set_up(void **state)
{
    (void)state;
    memset(&settings, 0, sizeof settings);
    revision = 0;
    pm_operator_settings_defaults(&operator_settings);
    deployment_fixture_init(&tables, &settings);
    pm_names_intern(tables.type_names, "large");
    tables.types[SMALL_TYPE] = (struct pm_machine_type){
        .cpus = 8, .ram_gb = 32, .price = 0.4, .spot_price = 0.1, .ready_s = 20, .zones = 1};
    tables.types[LARGE_TYPE] = (struct pm_machine_type){
        .cpus = 32, .ram_gb = 128, .price = 2, .spot_price = 0.6, .ready_s = 20, .zones = 1};
    tables.type_count = TYPE_COUNT;
    jobs = pm_jobs_new(&tables);
    workers = pm_workers_new(&tables, jobs, NO_OP_WORKERS_HOOKS);
    scheduler = pm_scheduler_new(&tables, jobs, workers, &operator_settings);
    autoscaler = pm_autoscaler_new(NULL, &tables, jobs, workers, scheduler, &operator_settings,
                                   &(struct pm_autoscaler_hooks){0});
    return 0;
}

static inline int tear_down(void **state)
{
    (void)state;
    pm_autoscaler_free(autoscaler);
    pm_scheduler_free(scheduler);
    pm_workers_free(workers);
    pm_jobs_free(jobs);
    deployment_fixture_clear(&tables);
    return 0;
}

/* Adds a waiting job: a service of production priority, or an array job that may run on spot
 * machines. Each task needs `cpus` processors and 1 GB of memory. */
static inline void add_waiting_job(const char *id, enum pm_workload_kind kind, uint32_t task_count,
                                   double cpus, double estimated_run_s, double deadline_s)
{
    struct pm_spec spec = {.zone = -1,
                           .allowed_types = ~(uint64_t)0,
                           .kind = kind,
                           .priority = kind == PM_WORKLOAD_SERVICE ? PM_PRIORITY_PRODUCTION
                                                                   : PM_PRIORITY_NORMAL,
                           .task_count = task_count,
                           .cpus = cpus,
                           .ram_gb = 1,
                           .spot = kind == PM_WORKLOAD_ARRAY,
                           .estimated_run_s = estimated_run_s,
                           .deadline_s = deadline_s,
                           .submitted_wall = NOW};

    feed_live_job(&tables, jobs, id, &spec, ++revision);
}

/* Adds a booting machine that was rented `age_s` seconds ago. */
static inline struct pm_machine *add_booting_machine(const char *name, int type, bool spot,
                                                     double age_s)
{
    struct pm_machine *machine = pm_workers_find_or_add(workers, name);

    pm_workers_set_type(workers, machine, type);
    machine->zone = 0;
    machine->spot = spot;
    machine->provider.rented_at = NOW - age_s;
    return machine;
}

/* Adds `count` machines named PREFIX000, PREFIX001 and so on, which were rented `age_s` seconds
 * ago. With `is_up` they are up and have an interruption notice for the next second, so that no
 * task may be placed on them. */
static inline void add_machines(const char *prefix, int count, int type, bool spot, double age_s,
                                bool is_up)
{
    for (int i = 0; i < count; i++) {
        char name[32];
        struct pm_machine *machine;
        snprintf(name, sizeof name, "%s%03d", prefix, i);
        machine = add_booting_machine(name, type, spot, age_s);
        if (is_up) {
            machine->state = PM_MACHINE_UP;
            machine->heartbeat.spot_interruption_at = NOW + 1;
            machine->heartbeat.last_message_at = NOW;
        }
    }
}

/* Runs the scheduler and a sizing. Returns the number of machines requested of the kind, and sets
 * `total` to the number of machines requested of all kinds. */
static inline int count_requested(int type, bool spot, int *total)
{
    struct pm_scale_out_request requests[REQUESTS_MAX];
    int request_count;
    int of_kind = 0;

    pm_scheduler_run_plan(scheduler, NOW, NOW);
    request_count = pm_autoscaler_size(autoscaler, NOW, NOW, requests, REQUESTS_MAX);
    *total = 0;
    for (int i = 0; i < request_count; i++) {
        *total += requests[i].count;
        if (requests[i].type == type && requests[i].spot == spot)
            of_kind += requests[i].count;
    }
    return of_kind;
}

#endif
