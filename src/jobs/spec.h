/* Job specs: descriptions of jobs, as users submit them.
 *
 * A description does not change once it is accepted, except for `overflow_list_count` and for the
 * machine types that become known later. It is owned by its creator; one that belongs to a job is
 * guarded by `struct pm_controller.lock`. */
#ifndef PM_JOBS_SPEC_H
#define PM_JOBS_SPEC_H

#include "jobs/name_tables.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { PM_JOB_TASKS_MAX = 100000, PM_ID_MAX = 32 /* size of a job's id in bytes, with its NUL */ };

enum pm_workload_kind { PM_WORKLOAD_ARRAY, PM_WORKLOAD_GANG, PM_WORKLOAD_SERVICE };
enum pm_priority {
    PM_PRIORITY_BEST_EFFORT,
    PM_PRIORITY_NORMAL,
    PM_PRIORITY_URGENT,
    PM_PRIORITY_PRODUCTION
};

struct pm_spec {
    /* Indices: of the job class in the tables' `class_names`, of the team in the settings, of the
     * image in `image_names`. */
    int class_index, team, image;
    int zone; /* index in the settings' zones; -1 if any zone is allowed */
    enum pm_workload_kind kind;
    enum pm_priority priority;
    uint32_t task_count;
    double cpus, gpus, ram_gb; /* required by each task */
    double image_gb;
    uint64_t allowed_types;   /* bit i is set if machine type i is allowed */
    GPtrArray *unknown_types; /* of char *, owned: allowed types that are not known; NULL: none */
    /* Whether all tasks have to run in one zone, whether they have to be spread over the zones, and
     * whether they may run on spot machines. */
    bool same_zone, spread_zones, spot;
    double estimated_run_s; /* run time of one task */
    double checkpoint_interval_s, checkpoint_duration_s;
    double deadline_s;         /* counted from the submission; negative if there is no deadline */
    double submitted_wall;     /* time of day of the submission */
    uint32_t dependency_count; /* number of jobs that have to be done before this one starts */
    int *dependencies;         /* owned; indices in the tables' `dependency_ids` */
    uint32_t overflow_list_count; /* number of p/n values that list the dependencies; 0 if the job's
                                   * own value lists them */
};

/* Frees the description and the lists that it owns; NULL is allowed. */
void pm_spec_free(struct pm_spec *spec);

/* Sets the dependencies to the jobs with these ids (texts), which are interned. May be called only
 * once for a description: an earlier list is not freed. */
void pm_spec_set_dependencies(struct pm_name_tables *tables, struct pm_spec *spec,
                              const GPtrArray *ids);

/* Returns how many tasks of the job fit into that capacity; a large number if a task requires none
 * of it. */
uint32_t pm_spec_tasks_that_fit(const struct pm_spec *spec, double cpus, double gpus,
                                double ram_gb);

/* Whether `id` is well-formed: "job-" and digits, in at most PM_ID_MAX bytes with its NUL. */
bool pm_job_id_is_valid(const char *id);

#endif
