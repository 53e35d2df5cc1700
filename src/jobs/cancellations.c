/* The durable cancellations that this controller knows of, from the feed, from its own writes, and
 * from peers. */
#include "jobs/internal.h"

void pm_jobs_record_cancellation(struct pm_jobs *jobs, const char *id, uint64_t revision)
{
    struct pm_cancellation entry = {.revision = revision};
    GArray *list = jobs->cancellations;

    g_strlcpy(entry.id, id, sizeof entry.id);
    /* Cancellations need not arrive in order of revision, since a full listing is in order of keys
     * and peers report theirs separately. The list is sorted when it is read next. */
    if (list->len && g_array_index(list, struct pm_cancellation, list->len - 1).revision > revision)
        jobs->cancellations_unsorted = true;
    g_array_append_val(list, entry);
}

void pm_jobs_cancel_dependent(void *arg, struct pm_job *job)
{
    if (job->cancellation_revision)
        return;
    job->cancellation_revision = *(const uint64_t *)arg;
    job->state = PM_JOB_CANCELLED;
    job->dependencies.cancelled_by_dependency = true;
}

bool pm_jobs_apply_cancellation(struct pm_jobs *jobs, const char *id, uint64_t revision)
{
    struct pm_job *job = pm_jobs_find(jobs, id);

    if (!pm_job_id_is_valid(id) || !revision || pm_jobs_cancellation_revision(jobs, id) ||
        (job && job->state == PM_JOB_DONE))
        return false;
    if (job) {
        job->cancellation_revision = revision;
        job->state = PM_JOB_CANCELLED;
    } else {
        g_hash_table_insert(jobs->cancelled_before_known, g_strdup(id),
                            g_memdup2(&revision, sizeof revision));
    }
    pm_jobs_record_cancellation(jobs, id, revision);
    pm_dependencies_mark_cancelled(jobs->dependencies, id, pm_jobs_cancel_dependent, &revision);
    return true;
}

uint64_t pm_jobs_cancellation_revision(const struct pm_jobs *jobs, const char *id)
{
    const struct pm_job *job = pm_jobs_find(jobs, id);
    const uint64_t *revision =
        job ? &job->cancellation_revision : g_hash_table_lookup(jobs->cancelled_before_known, id);

    return revision ? *revision : 0;
}

static gint compare_revisions(gconstpointer left, gconstpointer right)
{
    uint64_t left_revision = ((const struct pm_cancellation *)left)->revision;
    uint64_t right_revision = ((const struct pm_cancellation *)right)->revision;

    return (left_revision > right_revision) - (left_revision < right_revision);
}

/* Returns the index of the first of the sorted cancellations whose revision is above `revision`, or
 * `count` if there is none. */
static size_t find_first_after(const struct pm_cancellation *sorted, size_t count,
                               uint64_t revision)
{
    size_t from = 0;
    size_t end = count;

    while (from < end) {
        size_t middle = from + (end - from) / 2;
        if (sorted[middle].revision > revision)
            end = middle;
        else
            from = middle + 1;
    }
    return from;
}

const struct pm_cancellation *pm_jobs_list_cancellations(struct pm_jobs *jobs, uint64_t revision,
                                                         size_t limit, size_t *count,
                                                         bool *has_more)
{
    size_t known = jobs->cancellations->len;
    const struct pm_cancellation *all;
    size_t from;
    size_t end;

    if (jobs->cancellations_unsorted)
        g_array_sort(jobs->cancellations, compare_revisions);
    jobs->cancellations_unsorted = false;
    all = (const struct pm_cancellation *)(void *)jobs->cancellations->data;
    from = find_first_after(all, known, revision);
    end = MIN(from + limit, known);
    while (end > from && end < known && all[end].revision == all[end - 1].revision)
        end++;
    *count = end - from;
    *has_more = end < known;
    return all + from;
}
