/* A fake worker's lease, its heartbeats, and how it serves pushed commands. */
#include "testing/fake_provider_internal.h"
#include "base/clock.h"

#include <string.h>

#define ANSWER_TIMEOUT_S 4.0 /* how long a worker waits for the answer to a heartbeat */
#define RETRY_S 0.5          /* delay before the next controller is tried */

enum { ANSWER_MAX = 64 * 1024 };

/* A heartbeat in flight. */
struct heartbeat_call {
    struct fake_machine *machine;
    uint64_t incarnation;
    int controller;
    double sent_at;
    bool answer_is_lost; /* a fault blocks packets from the controller */
};

static int next_controller(const struct fake_machine *machine, int controller)
{
    return (controller + 1) % machine->provider->settings.controller_count;
}

static void schedule_heartbeat(struct fake_worker *worker, int controller, double delay_s)
{
    worker->heartbeat.controller = controller;
    worker->heartbeat.next_at = pm_clock_monotonic() + delay_s;
}

/* ---- heartbeats ---- */

static void put_heartbeat(struct fake_machine *machine, struct pm_buffer *out)
{
    struct fake_worker *worker = &machine->worker;

    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "host", machine->name);
    fake_machine_put_description(machine, out);
    pm_cbor_put_pair_uint(out, "shift", worker->incarnation);
    pm_cbor_put_pair_uint(out, "tally", ++worker->heartbeat_sequence);
    pm_cbor_put_pair_uint(out, "mandate", worker->fencing_token);
    pm_cbor_put_text(out, "entries");
    fake_worker_put_tasks(worker, out);
    pm_cbor_put_end(out);
}

static void accept_token(struct fake_worker *worker, uint64_t token)
{
    worker->has_changes |= token > worker->fencing_token;
    worker->fencing_token = token;
}

/* Applies a controller's answer: renews the lease, counted from the time at which the heartbeat was
 * sent, and executes the commands. Ignores an answer with an older fencing token, or to a heartbeat
 * of an earlier incarnation. */
static void apply_answer(const struct heartbeat_call *call, const cbor_item_t *answer)
{
    struct fake_machine *machine = call->machine;
    struct fake_worker *worker = &machine->worker;
    uint64_t token = 0;

    machine->provider->answered_heartbeats[call->controller]++;
    if (!pm_cbor_read_uint(pm_cbor_get(answer, "mandate"), &token) ||
        token < worker->fencing_token || call->incarnation != worker->incarnation)
        return;
    accept_token(worker, token);
    worker->lease_renewed_at = call->sent_at;
    fake_worker_execute_commands(machine, pm_cbor_get(answer, "orders"), call->controller);
}

/* The controller that the answer names as responsible for this worker. Returns -1 if it names none,
 * an unknown one, or the controller that answered. */
static int find_redirect(const struct heartbeat_call *call, const cbor_item_t *answer)
{
    const struct fake_provider_settings *settings = &call->machine->provider->settings;
    char name[64];

    if (!pm_cbor_read_text(pm_cbor_get(answer, "steward"), name, sizeof name))
        return -1;
    for (int i = 0; i < settings->controller_count; i++)
        if (i != call->controller && !strcmp(name, settings->controller_names[i]))
            return i;
    return -1;
}

static void handle_answer(const struct heartbeat_call *call, int status, const cbor_item_t *answer)
{
    struct fake_machine *machine = call->machine;
    int redirect = -1;

    if (status == HTTP_OK) {
        apply_answer(call, answer);
        return;
    }
    if (status == HTTP_MISDIRECTED)
        redirect = find_redirect(call, answer);
    if (redirect >= 0)
        schedule_heartbeat(&machine->worker, redirect, 0);
    else
        schedule_heartbeat(&machine->worker, next_controller(machine, call->controller), RETRY_S);
}

static void on_heartbeat_answer(void *arg, int status, const unsigned char *body, size_t size)
{
    struct heartbeat_call *call = arg;
    struct fake_machine *machine = call->machine;
    bool is_reachable = fake_machine_is_up(machine) && !machine->faults.is_suspended &&
                        !machine->faults.is_partitioned && !call->answer_is_lost;
    cbor_item_t *answer = body && size ? pm_cbor_parse(body, size) : NULL;

    if (is_reachable) {
        machine->worker.heartbeat.in_flight = false;
        handle_answer(call, status, answer);
    }
    pm_cbor_free(answer);
    g_free(call);
}

void fake_worker_post_heartbeat(struct fake_provider *provider, int controller,
                                const struct pm_buffer *body, pm_http_done *done, void *arg)
{
    pm_http_call(provider->client, provider->settings.worker_addrs[controller], "POST",
                 "/v1/report", body->data, body->size, ANSWER_TIMEOUT_S, ANSWER_MAX, done, arg);
}

static struct relay_fault fault_towards(const struct fake_machine *machine, int controller)
{
    if (machine->faults.is_partitioned)
        return (struct relay_fault){.from_controller = true, .to_controller = true};
    return machine->provider->faults.zones[controller][machine->zone];
}

static void send_heartbeat(struct fake_machine *machine, double now)
{
    struct fake_worker *worker = &machine->worker;
    int controller = worker->heartbeat.controller;
    struct relay_fault fault = fault_towards(machine, controller);
    struct heartbeat_call *call;
    struct pm_buffer body = {0};

    worker->heartbeat.next_at = now + machine->provider->settings.heartbeat_s;
    worker->has_changes = false;
    worker->heartbeat.sent_at = now;
    if (fault.reset) {
        schedule_heartbeat(worker, next_controller(machine, controller), RETRY_S);
        return;
    }
    worker->heartbeat.in_flight = true;
    if (fault.to_controller)
        return; /* nothing is sent, so the heartbeat times out */
    call = g_new0(struct heartbeat_call, 1);
    *call = (struct heartbeat_call){machine, worker->incarnation, controller, now,
                                    fault.from_controller};
    put_heartbeat(machine, &body);
    fake_worker_maybe_copy_heartbeat(machine, controller, &body, now);
    fake_worker_post_heartbeat(machine->provider, controller, &body, on_heartbeat_answer, call);
    pm_buffer_free(&body);
}

/* ---- pushed commands ---- */

int fake_worker_execute_pushed_commands(struct fake_machine *machine, int controller,
                                        const cbor_item_t *body)
{
    struct fake_worker *worker = &machine->worker;
    uint64_t token = 0;
    uint64_t incarnation = 0;

    pm_cbor_read_uint(pm_cbor_get(body, "mandate"), &token);
    pm_cbor_read_uint(pm_cbor_get(body, "shift"), &incarnation);
    if (token < worker->fencing_token || incarnation != worker->incarnation)
        return HTTP_CONFLICT;
    accept_token(worker, token);
    fake_worker_execute_commands(machine, pm_cbor_get(body, "orders"), controller);
    return HTTP_OK;
}

static int execute_request(struct fake_machine *machine, int controller,
                           const struct pm_http_request *request)
{
    cbor_item_t *body;
    int status;

    if (machine->faults.has_failed)
        return HTTP_UNAVAILABLE;
    if (strcmp(request->path, "/do") != 0)
        return HTTP_OK;
    body = pm_cbor_parse(request->body, request->body_size);
    status = fake_worker_execute_pushed_commands(machine, controller, body);
    if (status == HTTP_OK)
        fake_worker_copy_push(machine, controller, request);
    pm_cbor_free(body);
    return status;
}

void fake_worker_on_request(void *arg, struct pm_http_request *request)
{
    const struct fake_machine_endpoint *endpoint = arg;
    struct fake_machine *machine = endpoint->machine;
    struct pm_buffer out = {0};
    int status;

    if (fake_machine_is_booting(machine)) {
        g_ptr_array_add(machine->provider->unanswered_requests, request);
        return;
    }
    if (!strcmp(request->path, "/do") &&
        fake_worker_maybe_delay_command(machine, endpoint->controller, request)) {
        g_ptr_array_add(machine->provider->unanswered_requests, request);
        return;
    }
    status = execute_request(machine, endpoint->controller, request);
    put_heartbeat(machine, &out);
    pm_http_reply(request, status, out.data,
                  machine->provider->faults.are_worker_answers_cut ? out.size / 2 : out.size, 0);
    pm_buffer_free(&out);
}

/* ---- timer ---- */

/* If the worker's lease has expired, stops all its tasks and starts a new incarnation. */
static void check_lease(struct fake_machine *machine, double now)
{
    struct fake_worker *worker = &machine->worker;

    if (now - worker->lease_renewed_at <= machine->provider->settings.lease_s)
        return;
    fake_worker_stop_all(machine);
    worker->incarnation++;
    worker->lease_renewed_at = now;
    worker->heartbeat.in_flight = false;
}

static bool is_heartbeat_due(const struct fake_worker *worker, double now)
{
    if (worker->heartbeat.in_flight)
        return false;
    return now >= worker->heartbeat.next_at ||
           (worker->has_changes && now - worker->heartbeat.sent_at > FAKE_PROVIDER_TICK_S);
}

void fake_worker_tick(struct fake_machine *machine, double now)
{
    struct fake_worker *worker = &machine->worker;

    if (fake_machine_is_booting(machine))
        return;
    check_lease(machine, now);
    if (machine->faults.is_suspended)
        return;
    fake_worker_run_tasks(machine, now);
    if (worker->heartbeat.in_flight && now - worker->heartbeat.sent_at > ANSWER_TIMEOUT_S) {
        worker->heartbeat.in_flight = false;
        schedule_heartbeat(worker, next_controller(machine, worker->heartbeat.controller), RETRY_S);
    }
    if (is_heartbeat_due(worker, now))
        send_heartbeat(machine, now);
}
