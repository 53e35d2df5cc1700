/* Descriptions of jobs, as users submit them.
 *
 * A description does not change once it is accepted, except for `overflow_lists`. It is owned by
 * whoever made it; one that belongs to a job is guarded by `struct pm_controller.lock`. */
#ifndef PM_JOBS_SPEC_H
#define PM_JOBS_SPEC_H

#include "jobs/name_tables.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { PM_JOB_TASKS_MAX = 100000, PM_ID_MAX = 32 /* bytes of a job's id, with its NUL */ };

enum pm_workload_kind { PM_WORKLOAD_ARRAY, PM_WORKLOAD_GANG, PM_WORKLOAD_SERVICE };
enum pm_priority {
    PM_PRIORITY_BEST_EFFORT,
    PM_PRIORITY_NORMAL,
    PM_PRIORITY_URGENT,
    PM_PRIORITY_PRODUCTION
};

struct pm_spec {
    int class_index, team, image; /* indices of the tables' names; the team's of the settings */
    int zone;                     /* index of the settings' zones; -1: any */
    enum pm_workload_kind kind;
    enum pm_priority priority;
    uint32_t task_count;
    double cpus, gpus, ram_gb; /* of one task */
    double image_gb;
    uint64_t allowed_types; /* bit i: allowed on machine type i */
    bool same_zone, spread_zones, spot;
    double estimated_run_s; /* of one task */
    double checkpoint_interval_s, checkpoint_duration_s;
    double deadline_s;         /* after the submission; below 0: no deadline */
    double submitted_wall;     /* time of day */
    uint32_t dependency_count; /* jobs that have to be done before */
    int *dependencies;         /* indices of `dependency_ids`; owned */
    uint32_t overflow_lists;   /* p/n values that name them; 0: the job's own value does */
};

/* Frees the description and the list of its dependencies; NULL is allowed. */
void pm_spec_free(struct pm_spec *spec);

/* Sets the jobs that it depends on, interning their ids (text). Call it once a description: an
 * earlier list is not freed. */
void pm_spec_set_dependencies(struct pm_name_tables *tables, struct pm_spec *spec,
                              const GPtrArray *ids);

/* How many such tasks fit into that capacity; a large number if a task requires none of it. */
uint32_t pm_spec_tasks_that_fit(const struct pm_spec *spec, double cpus, double gpus,
                                double ram_gb);

/* Whether `id` has the form that every job's id has: "job-" and digits, PM_ID_MAX at most. */
bool pm_job_id_is_valid(const char *id);

#endif
