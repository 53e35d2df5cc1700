/* A test fixture: a small deployment with one team without quota, one zone and one machine type. */
#ifndef PM_JOBS_TESTS_JOB_FIXTURES_H
#define PM_JOBS_TESTS_JOB_FIXTURES_H

#include "workers/workers.h"

#include <stdio.h>
#include <string.h>

/* Initializes the name tables and the settings of the deployment; freed by
 * deployment_fixture_clear(). */
static inline void deployment_fixture_init(struct pm_name_tables *tables,
                                           struct pm_settings *settings)
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

/* Frees the name tables. */
static inline void deployment_fixture_clear(struct pm_name_tables *tables)
{
    pm_name_tables_clear(tables);
}

/* Applies the value of a live job with that description, as the store's watch does. Returns the
 * job. */
static inline struct pm_job *feed_live_job(struct pm_name_tables *tables, struct pm_jobs *jobs,
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

static inline void ignore_placement_ended(void *arg, struct pm_placement *placement,
                                          enum pm_task_exit task_exit, bool checkpointed,
                                          double now)
{
    (void)arg;
    (void)placement;
    (void)task_exit;
    (void)checkpointed;
    (void)now;
}

static inline void ignore_placement_running(void *arg, struct pm_placement *placement, double now)
{
    (void)arg;
    (void)placement;
    (void)now;
}

/* Hooks of the workers slice that do nothing, for tests that check the replica instead. */
#define NO_OP_WORKERS_HOOKS                                                                        \
    (&(struct pm_workers_hooks){ignore_placement_ended, ignore_placement_running, NULL})

#endif
