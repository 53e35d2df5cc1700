/* A test fixture: a replica without a store. Tests apply the values of live jobs with dependencies,
 * of jobs in a final state, and values that were recorded from earlier versions. Each test starts
 * with an empty replica. */
#ifndef PM_JOBS_TESTS_DEPENDENCY_FIXTURE_H
#define PM_JOBS_TESTS_DEPENDENCY_FIXTURE_H

#include "job_fixtures.h"
#include "recorded_values.h"
#include "jobs/jobs.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define TASK_SECONDS 10.0 /* the default of the jobs' estimated run time */

enum { KEY_MAX = 64 };

static struct pm_settings settings;
static struct pm_name_tables tables;
static struct pm_jobs *jobs;
static uint64_t revision;

static inline int set_up(void **state)
{
    (void)state;
    memset(&settings, 0, sizeof settings);
    deployment_fixture_init(&tables, &settings);
    jobs = pm_jobs_new(&tables);
    revision = 0;
    return 0;
}

static inline int tear_down(void **state)
{
    (void)state;
    pm_jobs_free(jobs);
    deployment_fixture_clear(&tables);
    return 0;
}

/* Applies this value of the key, as written at revision `at`. Returns the job that it changed. */
static inline struct pm_job *put_value(const char *key, uint64_t at, const unsigned char *bytes,
                                       size_t size)
{
    cbor_item_t *value = pm_cbor_parse(bytes, size);
    struct pm_job *job;

    assert_non_null(value);
    job = pm_jobs_apply_put(jobs, key, value, at);
    pm_cbor_free(value);
    return job;
}

/* Applies the encoded value of the job's key, as written at revision `at`, and frees the buffer. */
static inline void put_job_value(const char *id, uint64_t at, struct pm_buffer *buf)
{
    char key[KEY_MAX];

    snprintf(key, sizeof key, "p/j/%s", id);
    put_value(key, at, buf->data, buf->size);
    pm_buffer_free(buf);
}

/* Returns the description of a job with two tasks, which any machine may run. */
static inline struct pm_spec two_tasks(enum pm_priority priority, double deadline_s)
{
    return (struct pm_spec){.zone = -1,
                            .allowed_types = ~(uint64_t)0,
                            .task_count = 2,
                            .cpus = 1,
                            .estimated_run_s = TASK_SECONDS,
                            .deadline_s = deadline_s,
                            .submitted_wall = 1000,
                            .priority = priority};
}

/* Applies the job's value, as written at revision `at`: its description while it is live, or its
 * final state. `dependencies` are the ids of the jobs that it depends on, separated by blanks.
 * Returns the job. */
static inline struct pm_job *put_spec_at(uint64_t at, const char *id, const char *dependencies,
                                         struct pm_spec spec, enum pm_job_state state)
{
    GPtrArray *ids = g_ptr_array_new();
    char **each = g_strsplit(dependencies, " ", -1);
    struct pm_buffer buf = {0};

    for (char **one = each; *one && **one; one++)
        g_ptr_array_add(ids, *one);
    if (ids->len)
        pm_spec_set_dependencies(&tables, &spec, ids);
    spec.class_index = pm_names_intern(tables.class_names, "train");
    spec.image = pm_names_intern(tables.image_names, "img");
    pm_job_encode(&tables, &spec, 2, state, state == PM_JOB_LIVE, &buf);
    put_job_value(id, at, &buf);
    g_free(spec.dependencies);
    g_strfreev(each);
    g_ptr_array_free(ids, TRUE);
    return pm_jobs_find(jobs, id);
}

/* Like put_spec_at(), for a job of two tasks. */
static inline struct pm_job *put_job_at(uint64_t at, const char *id, const char *dependencies,
                                        enum pm_priority priority, double deadline_s,
                                        enum pm_job_state state)
{
    return put_spec_at(at, id, dependencies, two_tasks(priority, deadline_s), state);
}

/* Applies a live job of normal priority without a deadline, at the next revision. Returns it. */
static inline struct pm_job *put_live(const char *id, const char *dependencies)
{
    return put_job_at(++revision, id, dependencies, PM_PRIORITY_NORMAL, -1, PM_JOB_LIVE);
}

/* Applies the job's final state, at the next revision. */
static inline void put_final(const char *id, enum pm_job_state state)
{
    put_job_at(++revision, id, "", PM_PRIORITY_NORMAL, -1, state);
}

/* Applies the value of a job that was done at that time of day, as this version writes it. */
static inline void put_done_at(const char *id, double wall)
{
    const struct pm_job done = {.task_count = 2, .ended_wall = wall};
    struct pm_buffer buf = {0};

    pm_job_encode_done(&tables, &done, false, &buf);
    put_job_value(id, ++revision, &buf);
}

/* Applies a recorded value, at the next revision. Returns the job that it changed. */
static inline struct pm_job *put_recorded(const char *key, const char *digits)
{
    size_t size;
    unsigned char *bytes = recorded_bytes(digits, &size);
    struct pm_job *job = put_value(key, ++revision, bytes, size);

    g_free(bytes);
    return job;
}

/* Fails unless the buffer has exactly the recorded bytes. Frees the buffer. */
static inline void assert_recorded(struct pm_buffer *buf, const char *digits)
{
    size_t size;
    unsigned char *bytes = recorded_bytes(digits, &size);

    assert_int_equal(buf->size, size);
    assert_memory_equal(buf->data, bytes, size);
    g_free(bytes);
    pm_buffer_free(buf);
}

#endif
