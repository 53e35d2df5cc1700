/* Descriptions of jobs, except for their encoding (job_codec.c, dependency_codec.c). */
#include "jobs/internal.h"

#include <ctype.h>
#include <math.h>
#include <string.h>

#define TASKS_THAT_FIT_MAX 1e6 /* the result if a task requires no capacity */
#define JOB_ID_PREFIX "job-"

void pm_spec_free(struct pm_spec *spec)
{
    if (!spec)
        return;
    g_free(spec->dependencies);
    pm_spec_clear_unknown_types(spec);
    g_free(spec);
}

void pm_spec_set_dependencies(struct pm_name_tables *tables, struct pm_spec *spec,
                              const GPtrArray *ids)
{
    spec->dependencies = g_new(int, ids->len);
    spec->dependency_count = ids->len;
    for (guint i = 0; i < ids->len; i++)
        spec->dependencies[i] = pm_names_intern(tables->dependency_ids, g_ptr_array_index(ids, i));
}

uint32_t pm_spec_tasks_that_fit(const struct pm_spec *spec, double cpus, double gpus, double ram_gb)
{
    double count = TASKS_THAT_FIT_MAX;

    if (spec->cpus > 0)
        count = MIN(count, floor((cpus + AMOUNT_TOLERANCE) / spec->cpus));
    if (spec->gpus > 0)
        count = MIN(count, floor((gpus + AMOUNT_TOLERANCE) / spec->gpus));
    if (spec->ram_gb > 0)
        count = MIN(count, floor((ram_gb + AMOUNT_TOLERANCE) / spec->ram_gb));
    return count < 0 ? 0 : (uint32_t)count;
}

bool pm_job_id_is_valid(const char *id)
{
    size_t prefix_size = strlen(JOB_ID_PREFIX);
    size_t size = strlen(id);

    if (size <= prefix_size || size >= PM_ID_MAX || strncmp(id, JOB_ID_PREFIX, prefix_size))
        return false;
    for (const char *at = id + prefix_size; *at; at++)
        if (!isdigit((unsigned char)*at))
            return false;
    return true;
}
