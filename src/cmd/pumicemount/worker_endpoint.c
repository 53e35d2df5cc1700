/* Answers workers' heartbeats (POST /v1/report) and pushes commands to workers (POST /do). The
 * field names of both messages appear in this file and in the workers slice. */
#include "base/clock.h"
#include "base/log.h"
#include "internal.h"

#include <string.h>

/* A push with commands that is not answered within this time has an unknown outcome. */
#define PUSH_TIMEOUT_S 3.0
/* Timeout of a push without commands, which is sent for the worker's report in the answer and to
 * show the worker our fencing token. */
#define PROBE_TIMEOUT_S 1.5
#define PUSH_RETRY_S 0.7 /* from a failed push to the next push to the machine */
/* A heartbeat that is older than the newest message of its worker counts as overtaken by that
 * message if the message arrived at most this long ago. Otherwise it counts as a duplicate. */
#define REORDERING_MAX_S 2.0

enum {
    PUSH_SOCKETS_DIVISOR = 8,        /* pushes may use one socket in this many */
    PUSH_ANSWER_BYTES = 1024 * 1024, /* the longest answer, which is a worker's report */
    FIRST_INCARNATION = 1,           /* a worker's first incarnation, by the protocol */
    RETRY_AFTER_S = 1                /* in an answer with status 503 */
};

/* ---- pushing commands ---- */

/* A push in flight. */
struct push {
    struct pm_controller *controller;
    int machine; /* the machine's index, because the machine may be removed meanwhile */
    uint64_t number;
    uint64_t token;  /* the fencing token that it carries */
    double deadline; /* monotonic: the request is not written after this time */
    double sent_at;  /* monotonic */
};

/* Whether the push was dropped because it could not be written before its deadline, which says
 * nothing about the machine. */
static bool has_missed_deadline(const struct push *push, int status)
{
    return status == PM_HTTP_NOT_SENT && pm_clock_monotonic() > push->deadline;
}

static void note_push_failure(struct pm_controller *controller, struct pm_machine *machine)
{
    double now = pm_clock_monotonic();

    machine->push.failed_at = now;
    /* A booting machine can't answer yet. If this controller's process was suspended, it may have
     * missed the answer. Neither shows a failure of the delivery. */
    if (machine->heartbeat.has_reported && !pm_links_was_paused_recently(controller->links, now))
        pm_machine_note_delivery_failure(machine, "POST /do could not be sent or was not answered",
                                         now);
    machine->push.retry_at = now + PUSH_RETRY_S;
}

static void apply_push_answer(struct pm_controller *controller, const cbor_item_t *report)
{
    bool is_newest;

    pm_workers_apply_report(controller->workers, report, PM_REPORT_PUSH_REPLY,
                            pm_election_tokens(controller->election), pm_clock_monotonic(),
                            &is_newest);
    pm_controller_plan_soon(controller);
    pm_controller_commit(controller);
}

/* Records the push's outcome, and pushes the commands that became due meanwhile. Does nothing if
 * the working state was reset after the push was sent. */
static void settle_push(const struct push *push, struct pm_machine *machine, int status,
                        const cbor_item_t *report)
{
    struct pm_controller *controller = push->controller;
    int outcome = status > 0 && !report ? PM_HTTP_NO_RESPONSE : status;

    if (!pm_worker_push_done(machine, push->number, push->token, outcome))
        return;
    if (status < 0 && !has_missed_deadline(push, status))
        note_push_failure(controller, machine);
    if (report)
        apply_push_answer(controller, report);
    pm_controller_push_commands(controller, machine, false);
}

static void on_push_done(void *arg, int status, const unsigned char *body, size_t size)
{
    struct push *push = arg;
    struct pm_controller *controller = push->controller;
    struct pm_machine *machine =
        controller->is_active ? pm_workers_at(controller->workers, push->machine) : NULL;
    cbor_item_t *report = NULL;

    controller->pushes_in_flight--;
    if (machine && machine->heartbeat.has_reported && status != PM_HTTP_NOT_SENT)
        pm_links_record_command_result(controller->links, machine->zone, status > 0, push->sent_at,
                                       pm_clock_monotonic());
    if (status == 200 || status == 409) /* both carry the worker's report */
        report = pm_cbor_parse(body, size);
    if (machine)
        settle_push(push, machine, status, report);
    pm_cbor_free(report);
    g_free(push);
}

static bool may_push(const struct pm_controller *controller, const struct pm_machine *machine,
                     bool probe)
{
    int pushes_max = controller->settings->sockets / PUSH_SOCKETS_DIVISOR;

    if (machine->push.in_flight_number || controller->pushes_in_flight >= pushes_max ||
        !machine->endpoint[0])
        return false;
    if (machine->push.retry_at > pm_clock_monotonic())
        return false;
    if (!probe && !pm_worker_push_is_due(machine))
        return false;
    return pm_election_is_confirmed(controller->election, pm_clock_monotonic());
}

/* Encodes the body of POST /do with the commands that are due, and returns their number. */
static int encode_push(struct pm_machine *machine, struct pm_fencing_range tokens, uint64_t token,
                       struct pm_buffer *body)
{
    uint64_t incarnation = machine->heartbeat.incarnation;
    int commands;

    pm_cbor_put_map(body);
    pm_cbor_put_pair_uint(body, "mandate", token);
    pm_cbor_put_pair_uint(body, "shift", incarnation ? incarnation : FIRST_INCARNATION);
    pm_cbor_put_text(body, "orders");
    commands = pm_workers_encode_commands(machine, PM_COMMAND_PUSH, tokens, token, body);
    pm_cbor_put_end(body);
    return commands;
}

void pm_controller_push_commands(struct pm_controller *controller, struct pm_machine *machine,
                                 bool probe)
{
    struct pm_fencing_range tokens = pm_election_tokens(controller->election);
    struct pm_buffer body = {0};
    struct push *push;
    int commands;

    if (!may_push(controller, machine, probe))
        return;
    push = g_new0(struct push, 1);
    push->controller = controller;
    push->machine = machine->index;
    push->number = pm_worker_push_begin(controller->workers, machine);
    push->token = pm_machine_issue_token(machine, PM_COMMAND_PUSH, tokens);
    push->deadline = pm_election_confirmation_deadline(controller->election);
    push->sent_at = pm_clock_monotonic();
    commands = encode_push(machine, tokens, push->token, &body);
    controller->pushes_in_flight++;
    pm_http_call_until(controller->http, machine->endpoint, "POST", "/do", body.data, body.size,
                       commands ? PUSH_TIMEOUT_S : PROBE_TIMEOUT_S, PUSH_ANSWER_BYTES,
                       push->deadline, on_push_done, push);
    pm_buffer_free(&body);
}

void pm_controller_push_all_commands(struct pm_controller *controller)
{
    GPtrArray *machines = pm_workers_all(controller->workers);

    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (machine && machine->state == PM_MACHINE_UP && !machine->shard.assigned_to)
            pm_controller_push_commands(controller, machine, false);
    }
}

/* ---- heartbeats ---- */

static void reply_unavailable(struct pm_http_request *request)
{
    pm_http_reply(request, 503, NULL, 0, RETRY_AFTER_S);
}

/* Redirects the worker to the owner of its machine's shard, or else to the leader. Answers 503 if
 * neither is known. */
static void reply_redirect(struct pm_controller *controller, struct pm_http_request *request,
                           const char *machine)
{
    const char *other = pm_shards_owner_of(controller->shards, machine);
    struct pm_buffer body = {0};

    if (!other || !strcmp(other, controller->settings->name))
        other = pm_election_other_leader(controller->election);
    if (!other) {
        reply_unavailable(request);
        return;
    }
    pm_cbor_put_map(&body);
    pm_cbor_put_pair_text(&body, "steward", other);
    pm_cbor_put_end(&body);
    pm_http_reply(request, 421, body.data, body.size, 0);
    pm_buffer_free(&body);
}

/* A heartbeat that is being handled. */
struct heartbeat {
    struct pm_http_request *request;
    const cbor_item_t *report;
    char machine[PM_NAME_MAX]; /* the machine's name */
    uint64_t fencing_token;    /* the highest that the worker has seen */
    double now;                /* monotonic */
};

/* Answers 200 with this fencing token. If `is_newest`, with the commands that are due for the
 * machine; otherwise the answer renews the lease, and its only commands are to kill those tasks in
 * the report whose jobs are known to be cancelled. */
static void reply_commands(struct pm_controller *controller, const struct heartbeat *heartbeat,
                           struct pm_machine *machine, bool is_newest, uint64_t token)
{
    struct pm_buffer body = {0};

    pm_cbor_put_map(&body);
    pm_cbor_put_pair_uint(&body, "mandate", token);
    pm_cbor_put_text(&body, "orders");
    if (is_newest)
        pm_workers_encode_commands(machine, PM_COMMAND_REPLY,
                                   pm_election_tokens(controller->election), token, &body);
    else
        pm_workers_encode_cancel_kills(controller->workers, heartbeat->report, &body);
    pm_cbor_put_end(&body);
    pm_http_reply(heartbeat->request, 200, body.data, body.size, 0);
    pm_buffer_free(&body);
}

/* Whether another controller is responsible for the machine. That holds for every machine while
 * this controller is not active, because it then has no working state. */
static bool is_managed_elsewhere(const struct pm_controller *controller,
                                 const struct pm_machine *machine)
{
    if (!controller->is_active)
        return true;
    if (controller->is_leader)
        return machine && machine->shard.assigned_to;
    return !machine || machine->shard.returned_to_leader;
}

/* Answers a worker whose machine another controller is responsible for: redirects the worker, or
 * renews its lease if this follower may do so during an outage of the state service. */
static void answer_other_controllers_worker(struct pm_controller *controller,
                                            const struct heartbeat *heartbeat)
{
    struct pm_election *election = controller->election;
    struct pm_fencing_range tokens = pm_election_tokens(election);

    if (!pm_election_may_renew_in_outage(election, heartbeat->now) ||
        heartbeat->fencing_token > tokens.last) {
        reply_redirect(controller, heartbeat->request, heartbeat->machine);
        return;
    }
    heartbeat->request->deadline = pm_election_outage_renewal_deadline(election);
    reply_commands(controller, heartbeat, NULL, false, MAX(tokens.first, heartbeat->fencing_token));
}

/* Enforces safety invariant 5: a worker is answered 200 only under an epoch that was confirmed
 * recently enough, and never with a fencing token below the highest that the worker has seen.
 * Returns false after having answered 503. */
static bool check_epoch(struct pm_controller *controller, const struct heartbeat *heartbeat)
{
    uint64_t epoch = pm_election_epoch(controller->election);
    bool is_deposed = heartbeat->fencing_token > epoch;

    if (pm_election_is_confirmed(controller->election, heartbeat->now) && !is_deposed)
        return true;
    if (is_deposed)
        pm_election_recheck_epoch(controller->election);
    pm_debug("heartbeat.epoch_unconfirmed",
             "heartbeat of %s answered with 503: epoch %llu is not confirmed, or the worker's "
             "fencing token %llu is higher",
             heartbeat->machine, (unsigned long long)epoch,
             (unsigned long long)heartbeat->fencing_token);
    reply_unavailable(heartbeat->request);
    return false;
}

static void answer_own_worker(struct pm_controller *controller, const struct heartbeat *heartbeat)
{
    struct pm_fencing_range tokens = pm_election_tokens(controller->election);
    struct pm_machine *machine;
    bool is_newest;

    if (!check_epoch(controller, heartbeat))
        return;
    machine = pm_workers_apply_report(controller->workers, heartbeat->report, PM_REPORT_HEARTBEAT,
                                      tokens, heartbeat->now, &is_newest);
    if (!machine) {
        pm_http_reply(heartbeat->request, 400, NULL, 0, 0);
        return;
    }
    /* A worker whose machine is being terminated gets no more commands or renewals. A duplicate of
     * an old heartbeat does not show that the worker still runs, so it must not renew the lease.
     * The heartbeats of a worker that restarted without its state look old as well; the 503 makes
     * it begin its next incarnation. But if another message of the worker arrived within
     * REORDERING_MAX_S, the heartbeat was merely overtaken by the worker's answer to a push. */
    if (machine->state == PM_MACHINE_TERMINATING ||
        (!is_newest && heartbeat->now - machine->heartbeat.last_message_at > REORDERING_MAX_S)) {
        reply_unavailable(heartbeat->request);
        return;
    }
    heartbeat->request->deadline = pm_election_confirmation_deadline(controller->election);
    reply_commands(controller, heartbeat, machine, is_newest,
                   pm_machine_issue_token(machine, PM_COMMAND_REPLY, tokens));
    pm_machine_note_heartbeat_ack(machine, tokens, heartbeat->now);
    pm_controller_plan_soon(controller);
    pm_controller_commit(controller);
}

static void answer_heartbeat(struct pm_controller *controller, const struct heartbeat *heartbeat)
{
    struct pm_fencing_range tokens = pm_election_tokens(controller->election);
    uint64_t token = heartbeat->fencing_token;
    struct pm_machine *machine = NULL;

    if (controller->is_leader &&
        pm_autoscaler_is_terminated(controller->autoscaler, heartbeat->machine)) {
        /* The heartbeat was delayed: the machine's termination has been confirmed since. */
        reply_unavailable(heartbeat->request);
        return;
    }
    if (controller->is_active)
        machine = pm_workers_find(controller->workers, heartbeat->machine);
    if (machine)
        pm_links_record_heartbeat(controller->links, machine->zone,
                                  token && pm_fencing_range_has(tokens, token), heartbeat->now);
    if (is_managed_elsewhere(controller, machine))
        answer_other_controllers_worker(controller, heartbeat);
    else
        answer_own_worker(controller, heartbeat);
}

void pm_controller_handle_heartbeat(struct pm_controller *controller,
                                    struct pm_http_request *request)
{
    struct heartbeat heartbeat = {.request = request, .now = pm_clock_monotonic()};
    cbor_item_t *report = pm_cbor_parse(request->body, request->body_size);

    controller->last_worker_heartbeat_at = heartbeat.now;
    heartbeat.report = report;
    pm_cbor_read_uint(pm_cbor_get(report, "mandate"), &heartbeat.fencing_token);
    if (pm_cbor_read_text(pm_cbor_get(report, "host"), heartbeat.machine, sizeof heartbeat.machine))
        answer_heartbeat(controller, &heartbeat);
    else
        pm_http_reply(request, 400, NULL, 0, 0);
    pm_cbor_free(report);
}
