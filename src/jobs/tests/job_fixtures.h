/* A small deployment for tests: one team without limits, one zone, one machine type. */
#ifndef PM_JOBS_TESTS_JOB_FIXTURES_H
#define PM_JOBS_TESTS_JOB_FIXTURES_H

#include "workers/workers.h"

#include <stdio.h>
#include <string.h>

/* Tables and settings of that deployment; ended by fixture_end. */
static inline void fixture_begin(struct pm_name_tables *tables, struct pm_settings *settings)
{
    pm_name_tables_init(tables, settings);
    settings->store_txn_ops = 12;
    settings->store_value_kb = 16;
    settings->heartbeat_s = 2;
    settings->team_count = 1;
    strcpy(settings->teams[0].name, "vision");
    settings->teams[0].cpus_max = settings->teams[0].gpus_max = 1e12;
    settings->zone_count = 1;
    strcpy(settings->zone_names[0], "a");
    pm_names_intern(tables->type_names, "g8");
    tables->types[0] = (struct pm_machine_type){.cpus = 16, .ram_gb = 64, .zones = 1};
    tables->type_count = 1;
}

/* Frees the tables of names. */
static inline void fixture_end(struct pm_name_tables *tables)
{
    pm_name_tables_clear(tables);
}

/* Feeds a live job of that description, as the watch would show it. */
static inline struct pm_job *fixture_feed(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                          const char *id, struct pm_spec *spec, uint64_t revision)
{
    struct pm_buffer buf = {0};
    cbor_item_t *value;
    char key[64];

    spec->class_index = pm_names_intern(tables->class_names, "train");
    spec->image = pm_names_intern(tables->image_names, "img-00");
    pm_job_encode(tables, spec, spec->task_count, PM_JOB_LIVE, true, &buf);
    value = pm_cbor_parse(buf.data, buf.size);
    snprintf(key, sizeof key, "p/j/%s", id);
    pm_jobs_apply_put(jobs, key, value, revision);
    pm_cbor_free(value);
    pm_buffer_free(&buf);
    return pm_jobs_find(jobs, id);
}

static inline void fixture_on_ended(void *arg, struct pm_placement *placement,
                                    enum pm_task_exit task_exit, bool checkpointed, double now)
{
    (void)arg;
    (void)placement;
    (void)task_exit;
    (void)checkpointed;
    (void)now;
}

static inline void fixture_on_ran(void *arg, struct pm_placement *placement, double now)
{
    (void)arg;
    (void)placement;
    (void)now;
}

/* Workers' hooks for tests that look at the replica instead. */
#define FIXTURE_HOOKS (&(struct pm_workers_hooks){fixture_on_ended, fixture_on_ran, NULL})

#endif
