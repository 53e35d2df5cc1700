/* A test fixture: a scheduler for the small deployment of job_fixtures.h. */
#ifndef PM_SCHEDULER_TESTS_SCHEDULER_FIXTURES_H
#define PM_SCHEDULER_TESTS_SCHEDULER_FIXTURES_H

#include "../../jobs/tests/job_fixtures.h"
#include "scheduler/scheduler.h"

struct scheduler_fixture {
    struct pm_settings settings;
    struct pm_operator_settings operator_settings;
    struct pm_name_tables tables;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    struct pm_scheduler *scheduler;
};

/* Creates the fixture with the default operator settings. A stored value may have 4 KB. */
static inline void scheduler_fixture_init(struct scheduler_fixture *fixture)
{
    memset(fixture, 0, sizeof *fixture);
    pm_operator_settings_defaults(&fixture->operator_settings);
    deployment_fixture_init(&fixture->tables, &fixture->settings);
    fixture->settings.store_value_kb = 4;
    fixture->jobs = pm_jobs_new(&fixture->tables);
    fixture->workers = pm_workers_new(&fixture->tables, fixture->jobs, NO_OP_WORKERS_HOOKS);
    fixture->scheduler = pm_scheduler_new(&fixture->tables, fixture->jobs, fixture->workers,
                                          &fixture->operator_settings);
}

/* Frees what scheduler_fixture_init() created. */
static inline void scheduler_fixture_clear(struct scheduler_fixture *fixture)
{
    pm_scheduler_free(fixture->scheduler);
    pm_workers_free(fixture->workers);
    pm_jobs_free(fixture->jobs);
    deployment_fixture_clear(&fixture->tables);
}

#endif
