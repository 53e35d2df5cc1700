/* Gangs: all tasks of an attempt start together and complete together. A task ends early if another
 * task of its gang is missing for too long. */
#include "testing/fake_provider_internal.h"

#include <string.h>

typedef void gang_visitor(struct fake_machine *machine, struct fake_task *task, void *arg);

/* Whether the machine's tasks count as present in their gangs. */
static bool is_responsive(const struct fake_machine *machine)
{
    return fake_machine_is_up(machine) && !machine->faults.is_suspended;
}

/* Calls `visit` for each task of the member's gang and attempt that has not ended and is on a
 * responsive machine. */
static void visit_gang(struct fake_provider *provider, const struct fake_task *member,
                       gang_visitor *visit, void *arg)
{
    size_t id_length = strcspn(member->name, "/") + 1;

    for (guint i = 0; i < provider->machines->len; i++) {
        struct fake_machine *machine = g_ptr_array_index(provider->machines, i);
        GArray *tasks = machine->worker.tasks;
        for (guint k = 0; is_responsive(machine) && k < tasks->len; k++) {
            struct fake_task *task = &g_array_index(tasks, struct fake_task, k);
            if (!task->has_ended && task->attempt == member->attempt &&
                !strncmp(task->name, member->name, id_length))
                visit(machine, task, arg);
        }
    }
}

static void count_task(struct fake_machine *machine, struct fake_task *task, void *arg)
{
    (void)machine;
    (void)task;
    ++*(unsigned *)arg;
}

/* Starts a task that waits for its gang. `arg` is the monotonic time when the gang completes. */
static void start_waiting_task(struct fake_machine *machine, struct fake_task *task, void *arg)
{
    if (!task->is_waiting)
        return;
    task->is_waiting = false;
    task->ends_at = *(double *)arg;
    machine->worker.has_changes = true;
}

static void complete_task(struct fake_machine *machine, struct fake_task *task, void *arg)
{
    (void)arg;
    fake_worker_end_task(machine, task, "done");
}

static void run_waiting_gang(struct fake_machine *machine, struct fake_task *task, bool is_complete,
                             double now)
{
    struct fake_provider *provider = machine->provider;
    double ends_at = now + fake_provider_task_run_s(task->name);

    if (is_complete)
        visit_gang(provider, task, start_waiting_task, &ends_at);
    else if (now - task->started_at > provider->settings.gang_wait_s)
        fake_worker_end_task(machine, task, "incomplete");
}

static void run_started_gang(struct fake_machine *machine, struct fake_task *task, bool is_complete,
                             double now)
{
    struct fake_provider *provider = machine->provider;

    if (is_complete)
        task->gang_incomplete_at = 0;
    else if (task->gang_incomplete_at <= 0)
        task->gang_incomplete_at = now;
    if (is_complete && now >= task->ends_at)
        visit_gang(provider, task, complete_task, NULL);
    else if (task->gang_incomplete_at > 0 &&
             now - task->gang_incomplete_at > provider->settings.gang_peer_s)
        fake_worker_end_task(machine, task, "mates_gone");
}

void fake_worker_run_gang(struct fake_machine *machine, struct fake_task *task, unsigned gang_size,
                          double now)
{
    unsigned present = 0;

    visit_gang(machine->provider, task, count_task, &present);
    if (task->is_waiting)
        run_waiting_gang(machine, task, present == gang_size, now);
    if (!task->is_waiting && !task->has_ended)
        run_started_gang(machine, task, present == gang_size, now);
}
