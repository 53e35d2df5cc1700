/* A fake worker's tasks, and the commands that launch, stop and forget them. */
#include "testing/fake_provider_internal.h"
#include "base/clock.h"

#include <string.h>

/* ---- lookup ---- */

static struct fake_task *find_task(const struct fake_worker *worker, const char *name,
                                   unsigned attempt)
{
    for (guint i = 0; i < worker->tasks->len; i++) {
        struct fake_task *task = &g_array_index(worker->tasks, struct fake_task, i);
        if (!strcmp(task->name, name) && task->attempt == attempt)
            return task;
    }
    return NULL;
}

/* Whether some attempt of the task runs on this worker. */
static bool has_running_attempt(const struct fake_worker *worker, const char *name)
{
    for (guint i = 0; i < worker->tasks->len; i++) {
        const struct fake_task *task = &g_array_index(worker->tasks, struct fake_task, i);
        if (!task->has_ended && !strcmp(task->name, name))
            return true;
    }
    return false;
}

bool fake_worker_has_running_task(const struct fake_machine *machine, const char *name)
{
    return has_running_attempt(&machine->worker, name);
}

/* The job of a task; NULL if the job was not described to the provider. */
static const struct fake_provider_job *find_job(const struct fake_provider *provider,
                                                const char *task)
{
    char *id = g_strndup(task, strcspn(task, "/"));
    const struct fake_provider_job *job = g_hash_table_lookup(provider->jobs, id);

    g_free(id);
    return job;
}

static bool has_capacity(const struct fake_machine *machine, const struct fake_provider_job *wanted)
{
    const GArray *tasks = machine->worker.tasks;
    double used_cpus = 0;

    if (!wanted)
        return true;
    for (guint i = 0; i < tasks->len; i++) {
        const struct fake_task *task = &g_array_index(tasks, struct fake_task, i);
        const struct fake_provider_job *job =
            task->has_ended ? NULL : find_job(machine->provider, task->name);
        used_cpus += job ? job->cpus : 0;
    }
    return used_cpus + wanted->cpus <= fake_machine_types[machine->type].cpus;
}

/* ---- commands ---- */

void fake_worker_end_task(struct fake_machine *machine, struct fake_task *task, const char *cause)
{
    if (task->has_ended)
        return;
    task->has_ended = machine->worker.has_changes = true;
    task->cause = cause;
    history_task_ended(machine->provider->history, machine->name, task->name,
                       !strcmp(cause, "done"));
}

void fake_worker_stop_all(struct fake_machine *machine)
{
    GArray *tasks = machine->worker.tasks;

    for (guint i = 0; i < tasks->len; i++)
        fake_worker_end_task(machine, &g_array_index(tasks, struct fake_task, i), "stopped");
    g_array_set_size(tasks, 0);
}

void fake_worker_fail_task(struct fake_machine *machine, const char *name)
{
    GArray *tasks = machine->worker.tasks;

    for (guint i = 0; i < tasks->len; i++) {
        struct fake_task *task = &g_array_index(tasks, struct fake_task, i);
        if (!strcmp(task->name, name))
            fake_worker_end_task(machine, task, "error");
    }
}

/* Marks the task as ended without starting it. The history is not told, because the task never
 * ran. */
static void reject(struct fake_task *task, const char *cause)
{
    task->has_ended = true;
    task->cause = cause;
}

static void start_task(struct fake_machine *machine, struct fake_task *task,
                       const struct fake_provider_job *job)
{
    double now = pm_clock_monotonic();
    double run_s = fake_provider_task_run_s(task->name);

    task->started_at = now;
    task->is_waiting = job && job->gang;
    task->ends_at = run_s > 0 && !task->is_waiting ? now + run_s : 0;
    history_task_started(machine->provider->history, machine->name, task->name, task->attempt, now);
}

/* Executes a launch command. A repeated command for the same attempt does nothing. */
static void launch(struct fake_machine *machine, const char *name, unsigned attempt, int controller)
{
    const struct fake_provider *provider = machine->provider;
    struct fake_worker *worker = &machine->worker;
    const struct fake_provider_job *job = find_job(provider, name);
    struct fake_task task = {.attempt = attempt};

    history_launch_received(provider->history, worker->fencing_token,
                            provider->settings.controller_names[controller]);
    if (find_task(worker, name, attempt))
        return;
    g_strlcpy(task.name, name, sizeof task.name);
    if (has_running_attempt(worker, name))
        reject(&task, "busy");
    else if (!has_capacity(machine, job))
        reject(&task, "no_room");
    else
        start_task(machine, &task, job);
    worker->has_changes = true;
    g_array_append_val(worker->tasks, task);
}

static void forget(struct fake_worker *worker, const char *name, unsigned attempt)
{
    const struct fake_task *task = find_task(worker, name, attempt);

    if (task && task->has_ended)
        g_array_remove_index(worker->tasks,
                             (guint)(task - &g_array_index(worker->tasks, struct fake_task, 0)));
}

static void execute_command(struct fake_machine *machine, const cbor_item_t *command,
                            int controller)
{
    struct fake_task *task;
    char verb[16];
    char name[64];
    uint64_t attempt = 0;

    if (!pm_cbor_read_text(pm_cbor_get(command, "verb"), verb, sizeof verb) ||
        !pm_cbor_read_text(pm_cbor_get(command, "entry"), name, sizeof name))
        return;
    pm_cbor_read_uint(pm_cbor_get(command, "try"), &attempt);
    task = find_task(&machine->worker, name, (unsigned)attempt);
    if (!strcmp(verb, "launch"))
        launch(machine, name, (unsigned)attempt, controller);
    else if (!strcmp(verb, "kill") && task)
        fake_worker_end_task(machine, task, "stopped");
    else if (!strcmp(verb, "forget"))
        forget(&machine->worker, name, (unsigned)attempt);
}

void fake_worker_execute_commands(struct fake_machine *machine, const cbor_item_t *commands,
                                  int controller)
{
    for (size_t i = 0; i < pm_cbor_length(commands); i++)
        execute_command(machine, pm_cbor_at(commands, i), controller);
}

/* ---- timer ---- */

static void run_task(struct fake_machine *machine, struct fake_task *task, double now)
{
    const struct fake_provider_job *job = find_job(machine->provider, task->name);

    if (task->has_ended)
        return;
    if (job && job->gang)
        fake_worker_run_gang(machine, task, job->tasks, now);
    else if (task->ends_at > 0 && now >= task->ends_at)
        fake_worker_end_task(machine, task, "done");
}

void fake_worker_run_tasks(struct fake_machine *machine, double now)
{
    GArray *tasks = machine->worker.tasks;

    for (guint i = 0; i < tasks->len; i++)
        run_task(machine, &g_array_index(tasks, struct fake_task, i), now);
}

/* ---- heartbeats ---- */

static const char *task_status(const struct fake_task *task)
{
    if (task->has_ended)
        return "ended";
    return task->is_waiting ? "waiting" : "running";
}

void fake_worker_put_tasks(const struct fake_worker *worker, struct pm_buffer *out)
{
    pm_cbor_put_list(out);
    for (guint i = 0; i < worker->tasks->len; i++) {
        const struct fake_task *task = &g_array_index(worker->tasks, struct fake_task, i);
        pm_cbor_put_map(out);
        pm_cbor_put_pair_text(out, "entry", task->name);
        pm_cbor_put_pair_uint(out, "try", task->attempt);
        pm_cbor_put_pair_text(out, "status", task_status(task));
        if (task->has_ended)
            pm_cbor_put_pair_text(out, "cause", task->cause);
        pm_cbor_put_end(out);
    }
    pm_cbor_put_end(out);
}
