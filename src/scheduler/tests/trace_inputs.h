/* The commands of a trace that change the state: they deliver input to the controller, run the
 * scheduler, or let time pass. The comment above each function gives the syntax of the command's
 * line. */
#ifndef PM_SCHEDULER_TESTS_TRACE_INPUTS_H
#define PM_SCHEDULER_TESTS_TRACE_INPUTS_H

#include "base/protocol.h"
#include "trace_parser.h"

/* ---- The deployment ---- */

/* machine_type NAME cpus=N ram=N gpus=N price=N: adds a machine type */
static void run_machine_type(struct trace_world *world, char **words)
{
    int index = pm_names_intern(world->tables.type_names, words[1]);
    double price = trace_number(words, "price", 1);

    world->tables.types[index] = (struct pm_machine_type){.cpus = trace_number(words, "cpus", 16),
                                                          .ram_gb = trace_number(words, "ram", 64),
                                                          .gpus = trace_number(words, "gpus", 0),
                                                          .local_gb = 40,
                                                          .price = price,
                                                          .spot_price = price / 3,
                                                          .ready_s = 20,
                                                          .zones = 3};
    world->tables.type_count = pm_names_count(world->tables.type_names);
}

/* team NAME guarantee=N quota=N quota_gpus=N: adds a team; `guarantee` and `quota` are in
 * processors */
static void run_team(struct trace_world *world, char **words)
{
    struct pm_team_setting *team = &world->settings.teams[world->settings.team_count++];

    g_strlcpy(team->name, words[1], sizeof team->name);
    team->cpus = trace_number(words, "guarantee", 0);
    team->cpus_max = trace_number(words, "quota", 1e12);
    team->gpus_max = trace_number(words, "quota_gpus", 1e12);
}

/* booting MACHINE type=T zone=Z: adds a rented machine that is booting */
static void run_booting(struct trace_world *world, char **words)
{
    struct pm_machine *machine = pm_workers_find_or_add(world->workers, words[1]);
    const char *type = trace_text(words, "type", "small");

    pm_workers_set_type(world->workers, machine, pm_names_find(world->tables.type_names, type));
    machine->zone = !strcmp(trace_text(words, "zone", "east"), "west");
    machine->provider.rented_at = world->now;
}

/* terminated MACHINE: the provider confirms that the machine is terminated */
static void run_terminated(struct trace_world *world, char **words)
{
    struct pm_machine *machine = trace_machine(world, words);

    pm_workers_mark_lost(world->workers, machine, world->now);
    pm_workers_remove(world->workers, machine);
}

/* ---- The store's watch ---- */

/* Applies a put of the value in `buf` to the job's key, as the store's watch does. Frees the
 * buffer. */
static void feed_value(struct trace_world *world, const char *id, struct pm_buffer *buf)
{
    cbor_item_t *value = pm_cbor_parse(buf->data, buf->size);
    char key[64];

    assert_non_null(value);
    snprintf(key, sizeof key, "p/j/%s", id);
    pm_jobs_apply_put(world->jobs, key, value, ++world->revision);
    pm_cbor_free(value);
    pm_buffer_free(buf);
}

static void feed_job(struct trace_world *world, const char *id, const struct pm_spec *spec,
                     enum pm_job_state state)
{
    struct pm_buffer buf = {0};

    pm_job_encode(&world->tables, spec, spec->task_count, state, true, &buf);
    feed_value(world, id, &buf);
}

/* job ID team=T kind=array|gang|service priority=P tasks=N cpus=N ram=N depends_on=ID ...: a job is
 * submitted; for all fields, see trace_read_spec() */
static void run_job(struct trace_world *world, char **words)
{
    struct pm_spec spec = trace_read_spec(world, words);

    feed_job(world, words[1], &spec, PM_JOB_LIVE);
    g_free(spec.dependencies);
}

/* job_done JOB: the job is recorded as done, with the current time of day as its end */
static void run_job_done(struct trace_world *world, char **words)
{
    const struct pm_job done = {.task_count = 1, .ended_wall = trace_wall(world)};
    struct pm_buffer buf = {0};

    world->tables.protocol_version = PM_PROTOCOL_END_TIMES;
    pm_job_encode_done(&world->tables, &done, false, &buf);
    feed_value(world, words[1], &buf);
}

/* cancel JOB: the job is recorded as cancelled */
static void run_cancel(struct trace_world *world, char **words)
{
    const struct pm_job *job = pm_jobs_find(world->jobs, words[1]);
    struct pm_spec spec = *job->spec;

    feed_job(world, words[1], &spec, PM_JOB_CANCELLED);
}

/* stored_placement JOB/INDEX:ATTEMPT MACHINE incarnation=N last_attempt=N: adds a durable
 * placement, as a new leader reads it from the store; with `last_attempt`, the job's highest
 * attempt so far */
static void run_stored_placement(struct trace_world *world, char **words)
{
    char **part = g_strsplit_set(words[1], "/:", 3);
    struct pm_machine *machine = pm_workers_find_or_add(world->workers, words[2]);
    struct pm_job *job = pm_jobs_find(world->jobs, part[0]);
    uint32_t attempt = (uint32_t)strtoul(part[2], NULL, 10);

    pm_workers_add_placement(world->workers, job, (uint32_t)strtoul(part[1], NULL, 10), machine,
                             attempt, (uint64_t)trace_number(words, "incarnation", 1),
                             PM_PLACEMENT_DURABLE, world->now);
    job->work.last_attempt = (uint32_t)trace_number(words, "last_attempt", job->work.last_attempt);
    machine->state = PM_MACHINE_UP;
    machine->heartbeat.last_message_at = world->now;
    g_strfreev(part);
}

/* ---- Controllers ---- */

/* new_leader: another controller becomes leader. It knows the jobs that the watch reported, but no
 * machines, no placements, and nothing of how the scheduler ranked or marked the jobs. */
static void run_new_leader(struct trace_world *world, char **words)
{
    GPtrArray *active = pm_jobs_active(world->jobs);

    (void)words;
    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        job->scheduling.waiting_since_wall = 0;
        job->scheduling.is_overdue_start = job->scheduling.is_starving = false;
    }
    pm_workers_reset(world->workers);
    pm_jobs_reset_working_state(world->jobs);
    pm_scheduler_reset(world->scheduler);
}

/* epoch N [first=M]: sets the current epoch, which owns the fencing tokens from M to N; by default
 * it owns one, N */
static void run_epoch(struct trace_world *world, char **words)
{
    uint64_t last = strtoul(words[1], NULL, 10);

    world->tokens.last = last;
    world->tokens.first = (uint64_t)trace_number(words, "first", (double)last);
}

/* peer_cancellation JOB: another controller reports that the job is cancelled; prints "known" if
 * that is not new */
static void run_peer_cancellation(struct trace_world *world, char **words)
{
    if (!pm_jobs_apply_cancellation(world->jobs, words[1], ++world->revision))
        g_string_append(world->output, "> known\n");
}

/* delegate JOB PARALLELISM: the job is leased to another controller, which may run that number of
 * its tasks at a time */
static void run_delegate(struct trace_world *world, char **words)
{
    struct pm_job *job = pm_jobs_find(world->jobs, words[1]);

    job->delegated = true;
    job->parallelism = (uint32_t)strtoul(words[2], NULL, 10);
}

/* ---- Workers ---- */

/* Applies the worker's message in the line; prints whether it was malformed or stale. */
static void apply_message(struct trace_world *world, char **words, enum pm_report_source source)
{
    cbor_item_t *message = trace_read_message(world, words);
    struct pm_machine *machine;
    bool is_fresh;

    machine = pm_workers_apply_report(world->workers, message, source, world->tokens, world->now,
                                      &is_fresh);
    if (machine && !trace_number(words, "unlisted", 0))
        machine->provider.is_listed = true; /* the machine is in the provider's inventory */
    if (!machine)
        g_string_append(world->output, "> malformed\n");
    else if (!is_fresh)
        g_string_append(world->output, "> stale\n");
    pm_cbor_free(message);
}

/* heartbeat MACHINE ... [unlisted=1]: a worker's heartbeat. With `unlisted`, the provider does not
 * list the machine. For the other arguments, see trace_read_message(). */
static void run_heartbeat(struct trace_world *world, char **words)
{
    apply_message(world, words, PM_REPORT_HEARTBEAT);
}

/* push_reply MACHINE ... [unlisted=1]: the task list in the worker's reply to a push; the arguments
 * are those of `heartbeat` */
static void run_push_reply(struct trace_world *world, char **words)
{
    apply_message(world, words, PM_REPORT_PUSH_REPLY);
}

/* ack MACHINE: the worker's heartbeat is answered with 200 */
static void run_ack(struct trace_world *world, char **words)
{
    pm_machine_note_heartbeat_ack(trace_machine(world, words), world->tokens, world->now);
}

/* Ends a push with the HTTP status `status`: push N if the line has push=N, otherwise the push that
 * is in flight. */
static void end_push(struct trace_world *world, char **words, int status)
{
    struct pm_machine *machine = trace_machine(world, words);
    uint64_t push = (uint64_t)trace_number(words, "push", (double)machine->push.in_flight_number);

    if (!pm_worker_push_done(machine, push, machine->push.issued_token, status))
        g_string_append(world->output, "> not in flight\n");
    else if (status == PM_HTTP_NO_RESPONSE)
        pm_machine_note_delivery_failure(machine, "a push has no answer", world->now);
}

/* push_unanswered MACHINE [push=N]: the push ends without an answer */
static void run_push_unanswered(struct trace_world *world, char **words)
{
    end_push(world, words, PM_HTTP_NO_RESPONSE);
}

/* push_answered MACHINE [push=N]: the push is answered with 200 */
static void run_push_answered(struct trace_world *world, char **words)
{
    end_push(world, words, 200);
}

/* lost MACHINE: the worker's lease has expired, and the machine is marked as lost */
static void run_lost(struct trace_world *world, char **words)
{
    pm_workers_mark_lost(world->workers, trace_machine(world, words), world->now);
}

/* ---- Time and plans ---- */

/* wait SECONDS: time passes */
static void run_wait(struct trace_world *world, char **words)
{
    world->now += strtod(words[1], NULL);
}

/* plan: runs one whole plan, that is, one pass of the scheduler over all jobs */
static void run_plan(struct trace_world *world, char **words)
{
    (void)words;
    pm_scheduler_run_plan(world->scheduler, world->now, trace_wall(world));
}

static void make_durable(struct trace_world *world, struct pm_placement *placement)
{
    (void)world;
    if (placement->state == PM_PLACEMENT_PROPOSED)
        placement->state = PM_PLACEMENT_DURABLE;
}

/* durable: all proposed placements are written to the store */
static void run_durable(struct trace_world *world, char **words)
{
    GPtrArray *active = pm_jobs_active(world->jobs);

    (void)words;
    trace_for_each_placement(world, make_durable);
    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *job = g_ptr_array_index(active, i);
        for (int k = 0; k < job->chunk_count; k++)
            if (job->chunks[k])
                job->chunks[k]->write_back.dirty = false;
    }
}

#endif
