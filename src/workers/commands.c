/* Encodes the commands that are due for a machine. Defines the field names of commands. */
#include "base/log.h"
#include "workers/internal.h"

#include <stdio.h>

enum {
    COMMANDS_MAX = 400, /* in one message, which keeps it well below 64 KiB */
    TASK_NAME_BYTES = 64
};

#define NO_GRACE_PERIOD (-1.0) /* the command carries no grace period */

/* A list of commands under construction. */
struct command_list {
    struct pm_buffer *out;
    int count;
};

static bool is_full(const struct command_list *list)
{
    return list->count >= COMMANDS_MAX;
}

static void add_command(struct command_list *list, const char *verb, const char *job_id,
                        uint32_t task_index, uint32_t attempt, double grace_s)
{
    struct pm_buffer *out = list->out;
    char name[TASK_NAME_BYTES];

    snprintf(name, sizeof name, "%s/%u", job_id, task_index);
    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "verb", verb);
    pm_cbor_put_pair_text(out, "entry", name);
    pm_cbor_put_pair_uint(out, "try", attempt);
    if (grace_s >= 0)
        pm_cbor_put_pair_number(out, "leave_s", grace_s);
    pm_cbor_put_end(out);
    list->count++;
}

static void add_launch(struct command_list *list, const struct pm_placement *placement)
{
    add_command(list, "launch", placement->job->id, placement->task_index, placement->attempt,
                NO_GRACE_PERIOD);
}

static void add_kill(struct command_list *list, const struct pm_placement *placement)
{
    add_command(list, "kill", placement->job->id, placement->task_index, placement->attempt,
                placement->grace_s);
}

/* ---- due commands ---- */

static bool is_launch_due(const struct pm_placement *placement, const struct pm_machine *machine)
{
    return placement->state == PM_PLACEMENT_DURABLE && pm_placement_is_wanted(placement) &&
           placement->incarnation == machine->heartbeat.incarnation &&
           machine->state == PM_MACHINE_UP;
}

/* A launch is not pushed again while an earlier push or answer that carried it may still arrive.
 * Meanwhile it is repeated in the answers to heartbeats. */
static bool is_launch_push_due(const struct pm_placement *placement,
                               const struct pm_machine *machine)
{
    return is_launch_due(placement, machine) && !placement->launch_push_number &&
           !placement->launch_reply_sequence;
}

static bool is_kill_due(const struct pm_placement *placement, const struct pm_machine *machine)
{
    return placement->should_stop && placement->state >= PM_PLACEMENT_DURABLE &&
           placement->state < PM_PLACEMENT_ENDED &&
           placement->incarnation == machine->heartbeat.incarnation;
}

static bool is_kill_push_due(const struct pm_placement *placement, const struct pm_machine *machine)
{
    return is_kill_due(placement, machine) && !placement->stop_pushed;
}

bool pm_worker_push_is_due(const struct pm_machine *machine)
{
    for (guint i = 0; i < machine->placements->len; i++) {
        const struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        if (is_launch_push_due(placement, machine) || is_kill_push_due(placement, machine))
            return true;
    }
    return false;
}

/* Whether the worker may be told to forget the exited task. Returns false while a delayed launch
 * could start the task again: a push is in flight or has an unknown outcome, or the worker still
 * obeys an earlier token, or the token of the launch, of which a copy may arrive. Also returns
 * false until the exit is durable, since the exit would otherwise be lost with this controller. */
static bool may_forget(const struct pm_machine *machine, const struct pm_exited_task *exited,
                       struct pm_fencing_range tokens, uint64_t token)
{
    const struct pm_task_ref *task = &exited->task;
    const struct pm_chunk *chunk;

    if (machine->push.in_flight_number || machine->push.unknown_outcome_token ||
        machine->heartbeat.fencing_token < tokens.first || token <= exited->launch_token)
        return false;
    if (!task->job->chunks)
        return true; /* the final state of the job is durable */
    chunk = task->job->chunks[task->task_index / PM_CHUNK_TASKS];
    return !chunk || (!chunk->write_back.dirty && !chunk->write_back.in_flight);
}

/* ---- encoding ---- */

static void log_launch(const struct pm_machine *machine, const struct pm_placement *placement,
                       uint64_t token)
{
    pm_debug("worker.launch_pushed", "%s/%u attempt %u to %s with fencing token %llu",
             placement->job->id, placement->task_index, placement->attempt, machine->name,
             (unsigned long long)token);
}

static void log_forget(const struct pm_machine *machine, const struct pm_exited_task *exited,
                       uint64_t token)
{
    pm_debug("worker.forget",
             "%s/%u attempt %u on %s, launched with fencing token %llu at most, under token %llu",
             exited->task.job->id, exited->task.task_index, exited->task.attempt, machine->name,
             (unsigned long long)exited->launch_token, (unsigned long long)token);
}

static void add_pushed_commands(struct command_list *list, struct pm_machine *machine,
                                uint64_t token)
{
    for (guint i = 0; i < machine->placements->len && !is_full(list); i++) {
        struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        if (is_launch_push_due(placement, machine)) {
            add_launch(list, placement);
            log_launch(machine, placement, token);
            placement->launch_push_number = machine->push.in_flight_number;
            placement->launch_token = machine->push.launch_token = token;
            machine->push.has_launches = true;
        } else if (is_kill_push_due(placement, machine)) {
            add_kill(list, placement);
            placement->stop_pushed = true;
        }
    }
}

static void add_reply_commands(struct command_list *list, struct pm_machine *machine)
{
    for (guint i = 0; i < machine->placements->len && !is_full(list); i++) {
        struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        if (is_launch_due(placement, machine)) {
            add_launch(list, placement);
            placement->launch_reply_sequence = machine->heartbeat.sequence;
        } else if (is_kill_due(placement, machine)) {
            add_kill(list, placement);
        }
    }
}

static void add_orphan_kills(struct command_list *list, const struct pm_machine *machine)
{
    const GArray *orphans = machine->heartbeat.orphan_tasks;

    for (guint i = 0; i < orphans->len && !is_full(list); i++) {
        const struct pm_task_ref *task = &g_array_index(orphans, struct pm_task_ref, i);
        add_command(list, "kill", task->job->id, task->task_index, task->attempt, 0);
    }
}

static void add_forgets(struct command_list *list, const struct pm_machine *machine,
                        struct pm_fencing_range tokens, uint64_t token)
{
    const GArray *listed = machine->heartbeat.exited.listed;

    for (guint i = 0; i < listed->len && !is_full(list); i++) {
        const struct pm_exited_task *exited = &g_array_index(listed, struct pm_exited_task, i);
        const struct pm_task_ref *task = &exited->task;
        if (!may_forget(machine, exited, tokens, token))
            continue;
        add_command(list, "forget", task->job->id, task->task_index, task->attempt,
                    NO_GRACE_PERIOD);
        log_forget(machine, exited, token);
    }
}

int pm_workers_encode_commands(struct pm_machine *machine, enum pm_command_message message,
                               struct pm_fencing_range tokens, uint64_t token,
                               struct pm_buffer *out)
{
    struct command_list list = {.out = out};

    pm_cbor_put_list(out);
    if (message == PM_COMMAND_PUSH) {
        add_pushed_commands(&list, machine, token);
    } else {
        add_reply_commands(&list, machine);
        add_orphan_kills(&list, machine);
        add_forgets(&list, machine, tokens, token);
    }
    pm_cbor_put_end(out);
    return list.count;
}

void pm_workers_encode_cancel_kills(struct pm_workers *workers, const cbor_item_t *report,
                                    struct pm_buffer *out)
{
    const cbor_item_t *tasks = pm_cbor_get(report, "entries");
    struct command_list list = {.out = out};

    pm_cbor_put_list(out);
    for (size_t i = 0; i < pm_cbor_length(tasks) && !is_full(&list); i++) {
        struct pm_reported_task task;
        if (!pm_reported_task_decode(pm_cbor_at(tasks, i), &task) ||
            task.state == PM_WORKER_TASK_ENDED ||
            !pm_jobs_cancellation_revision(workers->jobs, task.job_id))
            continue;
        add_command(&list, "kill", task.job_id, task.task_index, task.attempt, 0);
    }
    pm_cbor_put_end(out);
}
