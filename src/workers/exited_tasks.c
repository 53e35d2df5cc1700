/* The exited tasks that a worker still lists. */
#include "workers/exited_tasks.h"

void pm_exited_tasks_init(struct pm_exited_tasks *exited)
{
    exited->listed = g_array_new(FALSE, FALSE, sizeof(struct pm_exited_task));
    exited->listed_before = g_array_new(FALSE, FALSE, sizeof(struct pm_exited_task));
}

void pm_exited_tasks_free(struct pm_exited_tasks *exited)
{
    g_array_free(exited->listed, TRUE);
    g_array_free(exited->listed_before, TRUE);
}

void pm_exited_tasks_clear(struct pm_exited_tasks *exited)
{
    g_array_set_size(exited->listed, 0);
    g_array_set_size(exited->listed_before, 0);
    exited->next = 0;
}

void pm_exited_tasks_begin(struct pm_exited_tasks *exited)
{
    GArray *before = exited->listed_before;

    exited->listed_before = exited->listed;
    exited->listed = before;
    g_array_set_size(exited->listed, 0);
    exited->next = 0;
}

static bool is_same_attempt(const struct pm_task_ref *one, const struct pm_task_ref *other)
{
    return one->job == other->job && one->task_index == other->task_index &&
           one->attempt == other->attempt;
}

/* Returns the attempt's entry in the message before, or NULL. A worker lists its tasks in the same
 * order each time, so the search begins after the entry that was found last. */
static const struct pm_exited_task *find_before(struct pm_exited_tasks *exited,
                                                const struct pm_task_ref *task)
{
    guint count = exited->listed_before->len;

    for (guint i = 0; i < count; i++) {
        guint at = (exited->next + i) % count;
        const struct pm_exited_task *entry =
            &g_array_index(exited->listed_before, struct pm_exited_task, at);
        if (!is_same_attempt(&entry->task, task))
            continue;
        exited->next = at + 1;
        return entry;
    }
    return NULL;
}

uint64_t pm_exited_tasks_add(struct pm_exited_tasks *exited, const struct pm_task_ref *task,
                             uint64_t launch_token)
{
    const struct pm_exited_task *before = find_before(exited, task);
    struct pm_exited_task entry = {*task, before ? before->launch_token : launch_token};

    g_array_append_val(exited->listed, entry);
    return entry.launch_token;
}
