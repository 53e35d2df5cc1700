/* Which jobs are durably cancelled, as far as known: from the replica, from this controller's own
 * writes, and from peers. */
#include "jobs/internal.h"

#include <string.h>

void pm_jobs_note_cancellation(struct pm_jobs *jobs, const char *id, uint64_t revision)
{
    struct pm_cancellation entry = {.revision = revision};
    GArray *list = jobs->cancellations;

    g_strlcpy(entry.id, id, sizeof entry.id);
    /* A listing goes by key, and peers tell in their own order: sorted when next asked for. */
    if (list->len && g_array_index(list, struct pm_cancellation, list->len - 1).revision > revision)
        jobs->cancellations_unsorted = true;
    g_array_append_val(list, entry);
}

/* A job that needs a cancelled one. Peers infer it as we do, so it is not told them. */
void pm_jobs_cancel_dependent(void *arg, struct pm_job *job)
{
    if (job->cancellation_revision)
        return;
    job->cancellation_revision = *(const uint64_t *)arg;
    job->state = PM_JOB_CANCELLED;
    job->dependencies.cancelled_by_one = true;
}

bool pm_jobs_apply_cancellation(struct pm_jobs *jobs, const char *id, uint64_t revision)
{
    struct pm_job *job = g_hash_table_lookup(jobs->by_id, id);

    if (!pm_job_id_is_valid(id) || !revision || pm_jobs_cancellation_revision(jobs, id) ||
        (job && job->state == PM_JOB_DONE))
        return false;
    if (job) {
        job->cancellation_revision = revision;
        job->state = PM_JOB_CANCELLED;
    } else {
        g_hash_table_insert(jobs->unknown_cancelled, g_strdup(id),
                            g_memdup2(&revision, sizeof revision));
    }
    pm_jobs_note_cancellation(jobs, id, revision);
    pm_dependencies_mark_cancelled(jobs->dependencies, id, pm_jobs_cancel_dependent, &revision);
    return true;
}

uint64_t pm_jobs_cancellation_revision(const struct pm_jobs *jobs, const char *id)
{
    const struct pm_job *job = g_hash_table_lookup(jobs->by_id, id);
    const uint64_t *revision =
        job ? &job->cancellation_revision : g_hash_table_lookup(jobs->unknown_cancelled, id);

    return revision ? *revision : 0;
}

static gint by_revision(gconstpointer a, gconstpointer b)
{
    const struct pm_cancellation *x = a;
    const struct pm_cancellation *y = b;

    return (x->revision > y->revision) - (x->revision < y->revision);
}

const struct pm_cancellation *pm_jobs_list_cancellations(struct pm_jobs *jobs, uint64_t revision,
                                                         size_t most, size_t *n, bool *more)
{
    struct pm_cancellation *all;
    size_t from = 0;
    size_t to = jobs->cancellations->len;
    size_t end;

    if (jobs->cancellations_unsorted)
        g_array_sort(jobs->cancellations, by_revision);
    jobs->cancellations_unsorted = false;
    all = (struct pm_cancellation *)(void *)jobs->cancellations->data;
    while (from < to) { /* the first with a later revision */
        size_t middle = from + (to - from) / 2;
        if (all[middle].revision > revision)
            to = middle;
        else
            from = middle + 1;
    }
    end = MIN(from + most, jobs->cancellations->len);
    while (end > from && end < jobs->cancellations->len &&
           all[end].revision == all[end - 1].revision)
        end++;
    *n = end - from;
    *more = end < jobs->cancellations->len;
    return all + from;
}
