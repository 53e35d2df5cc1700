/* The commands of a trace that print what the controller has decided or knows. The comment above
 * each function gives the syntax of the command's line. */
#ifndef PM_SCHEDULER_TESTS_TRACE_CHECKS_H
#define PM_SCHEDULER_TESTS_TRACE_CHECKS_H

#include "trace_parser.h"
#include "workers/failures.h"

/* Prints an encoded list of commands to a worker, and frees the buffer. */
static void print_commands(struct trace_world *world, struct pm_buffer *buf)
{
    cbor_item_t *commands = pm_cbor_parse(buf->data, buf->size);

    for (size_t i = 0; i < pm_cbor_length(commands); i++) {
        const cbor_item_t *command = pm_cbor_at(commands, i);
        char verb[16];
        char task[64];
        uint64_t attempt;
        double grace_s;
        pm_cbor_read_text(pm_cbor_get(command, "verb"), verb, sizeof verb);
        pm_cbor_read_text(pm_cbor_get(command, "entry"), task, sizeof task);
        pm_cbor_read_uint(pm_cbor_get(command, "try"), &attempt);
        g_string_append_printf(world->output, "> %s %s attempt %llu", verb, task,
                               (unsigned long long)attempt);
        if (pm_cbor_read_number(pm_cbor_get(command, "leave_s"), &grace_s))
            g_string_append_printf(world->output, " grace %g", grace_s);
        g_string_append(world->output, "\n");
    }
    pm_cbor_free(commands);
    pm_buffer_free(buf);
}

/* commands MACHINE [push] [token]: the commands in the answer to a heartbeat; with `push`, those of
 * a push that starts now; with `token`, the fencing token of the message first */
static void run_commands(struct trace_world *world, char **words)
{
    struct pm_machine *machine = trace_machine(world, words);
    bool is_push = words[2] && !strcmp(words[2], "push");
    bool shows_token = words[2] && !strcmp(words[is_push && words[3] ? 3 : 2], "token");
    enum pm_command_message message = is_push ? PM_COMMAND_PUSH : PM_COMMAND_REPLY;
    struct pm_buffer buf = {0};
    uint64_t token;

    if (is_push)
        pm_worker_push_begin(world->workers, machine);
    token = pm_machine_issue_token(machine, message, world->tokens);
    if (shows_token)
        g_string_append_printf(world->output, "> token %llu\n", (unsigned long long)token);
    pm_workers_encode_commands(machine, message, world->tokens, token, &buf);
    print_commands(world, &buf);
}

/* cancel_kills MACHINE ...: the kill commands that any controller may send in its answer to this
 * heartbeat; for the arguments, see trace_read_message() */
static void run_cancel_kills(struct trace_world *world, char **words)
{
    struct pm_buffer buf = {0};
    cbor_item_t *message = trace_read_message(world, words);

    pm_workers_encode_cancel_kills(world->workers, message, &buf);
    print_commands(world, &buf);
    pm_cbor_free(message);
}

static void print_placement(struct trace_world *world, struct pm_placement *placement)
{
    static const char *const state_names[] = {"proposed", "durable",       "fetching", "waiting",
                                              "running",  "checkpointing", "ended"};

    g_string_append_printf(world->output, "> %s/%u attempt %u on %s %s%s\n", placement->job->id,
                           placement->task_index, placement->attempt, placement->machine->name,
                           state_names[placement->state], placement->should_stop ? " stop" : "");
}

/* placements: all placements with their states, machine by machine */
static void run_placements(struct trace_world *world, char **words)
{
    (void)words;
    trace_for_each_placement(world, print_placement);
}

/* unmet_demand: for each job, the number of tasks for which the last plan found no capacity. Work
 * is preempted and machines are rented for these tasks. */
static void run_unmet_demand(struct trace_world *world, char **words)
{
    const GArray *unmet = pm_scheduler_unmet_demand(world->scheduler);

    (void)words;
    for (guint i = 0; i < unmet->len; i++) {
        const struct pm_unmet_demand *demand = &g_array_index(unmet, struct pm_unmet_demand, i);
        g_string_append_printf(world->output, "> %s %u\n", demand->job->id, demand->tasks);
    }
}

/* recheck_quota: checks the proposed placements against the quotas, as is done before they are
 * written; prints how many violations there have been so far */
static void run_recheck_quota(struct trace_world *world, char **words)
{
    uint64_t violations;

    (void)words;
    pm_scheduler_recheck_quota(world->scheduler, world->now);
    violations = pm_scheduler_quota_violations(world->scheduler);
    if (violations)
        g_string_append_printf(world->output, "> %llu violations\n",
                               (unsigned long long)violations);
}

/* leasable_tasks JOB KEPT_SHARE: how many of the job's tasks may be leased to a shard while the
 * fraction KEPT_SHARE of the quota is held back */
static void run_leasable_tasks(struct trace_world *world, char **words)
{
    const struct pm_job *job = pm_jobs_find(world->jobs, words[1]);

    g_string_append_printf(
        world->output, "> %u\n",
        pm_scheduler_leasable_tasks(world->scheduler, job->spec, strtod(words[2], NULL)));
}

/* lease MACHINE: whether the worker's lease has expired, given that no other controller has renewed
 * it since time 0 */
static void run_lease(struct trace_world *world, char **words)
{
    bool is_expired = pm_workers_is_lease_expired(trace_machine(world, words), 0,
                                                  world->settings.lease_s, world->now);

    g_string_append(world->output, is_expired ? "> expired\n" : "> valid\n");
}

/* is_reporting MACHINE: whether the worker's heartbeats arrive here */
static void run_is_reporting(struct trace_world *world, char **words)
{
    bool is_silent =
        pm_machine_only_answers_pushes(trace_machine(world, words), &world->settings, world->now);

    g_string_append(world->output, is_silent ? "> not reporting\n" : "> reporting\n");
}

/* is_reachable MACHINE: whether answers and commands arrive at the worker */
static void run_is_reachable(struct trace_world *world, char **words)
{
    const struct pm_machine *machine = trace_machine(world, words);

    if (pm_machine_is_unreachable(machine, world->now))
        g_string_append(world->output, "> unreachable\n");
    else
        g_string_append(world->output,
                        machine->delivery.failures ? "> delivery failing\n" : "> reachable\n");
}

/* machine_health MACHINE: whether the machine is faulty, and has to be replaced */
static void run_machine_health(struct trace_world *world, char **words)
{
    bool is_faulty = pm_failures_is_machine_faulty(trace_machine(world, words));

    g_string_append(world->output, is_faulty ? "> faulty\n" : "> healthy\n");
}

/* job_health JOB: whether the job is failing, on whichever machine it runs */
static void run_job_health(struct trace_world *world, char **words)
{
    bool is_failing = pm_failures_is_job_failing(pm_jobs_find(world->jobs, words[1]));

    g_string_append(world->output, is_failing ? "> failing\n" : "> healthy\n");
}

#endif
