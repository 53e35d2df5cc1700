/* The keys of jobs, of their chunks and of their dependency lists. */
#include "base/keys.h"
#include "jobs/internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *pm_key_without_prefix(const char *key, const char *prefix)
{
    size_t size = strlen(prefix);

    return strncmp(key, prefix, size) ? NULL : key + size;
}

void pm_job_key_write(const struct pm_job *job, char *key)
{
    snprintf(key, PM_JOBS_KEY_MAX, PM_KEY_JOB_PREFIX "%s", job->id);
}

void pm_chunk_key_write(const struct pm_job *job, int chunk_index, int half, char *key)
{
    if (half == PM_CHUNK_WHOLE)
        snprintf(key, PM_JOBS_KEY_MAX, PM_KEY_CHUNK_PREFIX "%s/%d", job->id, chunk_index);
    else
        snprintf(key, PM_JOBS_KEY_MAX, PM_KEY_CHUNK_PREFIX "%s/%d/%d", job->id, chunk_index, half);
}

void pm_dependency_list_key_write(const struct pm_job *job, int list_index, char *key)
{
    snprintf(key, PM_JOBS_KEY_MAX, PM_KEY_DEPENDENCY_LIST_PREFIX "%s/%d", job->id, list_index);
}

/* Parses the part of a key after the index, which is empty or the number of a half. */
static bool parse_half(const char *suffix, int *half)
{
    *half = PM_CHUNK_WHOLE;
    if (!*suffix)
        return true;
    if (*suffix != '/' || (suffix[1] != '0' && suffix[1] != '1') || suffix[2])
        return false;
    *half = suffix[1] - '0';
    return true;
}

bool pm_chunk_key_parse(const char *suffix, char *id, int *index, int *half)
{
    const char *slash = strchr(suffix, '/');
    char *end;
    unsigned long number;

    if (!slash || (size_t)(slash - suffix) >= PM_ID_MAX)
        return false;
    memcpy(id, suffix, (size_t)(slash - suffix));
    id[slash - suffix] = 0;
    number = strtoul(slash + 1, &end, 10);
    if (end == slash + 1 || number > PM_JOB_TASKS_MAX / PM_CHUNK_TASKS)
        return false;
    *index = (int)number;
    return parse_half(end, half);
}
