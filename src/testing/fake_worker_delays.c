/* Delayed messages: copies of heartbeats and of executed pushes that arrive late, and pushed
 * commands that are executed late. */
#include "testing/fake_provider_internal.h"
#include "base/clock.h"

#include <math.h>

#define MIN_DELAY_S 1
#define MAX_HEARTBEAT_DELAY_LEASES 2
#define MAX_COMMAND_DELAY_S 8
#define COPY_DELAY_S 1.2 /* long enough for a short task to end and be forgotten */

#define REPEAT_INTERVAL_S 0.1

/* A message that is delivered once `due_at` has passed. A command also waits until its machine is
 * not suspended. */
struct delayed_message {
    struct fake_machine *machine;
    /* The sender of a command, or the controller to which a heartbeat was first posted. The
     * delayed copy of the heartbeat goes to a randomly chosen controller. */
    int controller;
    struct pm_buffer body;
    double due_at;
};

static void delay_message(GPtrArray *messages, struct fake_machine *machine, int controller,
                          const void *data, size_t size, double due_at)
{
    struct delayed_message *message = g_new0(struct delayed_message, 1);

    message->machine = machine;
    message->controller = controller;
    message->due_at = due_at;
    pm_buffer_append(&message->body, data, size);
    g_ptr_array_add(messages, message);
}

static void delayed_message_free(struct delayed_message *message)
{
    pm_buffer_free(&message->body);
    g_free(message);
}

static bool is_randomly_selected(const struct fake_provider *provider, double probability)
{
    GRand *random = provider->settings.random;

    return random && g_rand_double(random) < probability;
}

void fake_worker_maybe_copy_heartbeat(struct fake_machine *machine, int controller,
                                      const struct pm_buffer *body, double now)
{
    struct fake_provider *provider = machine->provider;
    double delay_s;

    if (!is_randomly_selected(provider, provider->faults.delayed_heartbeat_share))
        return;
    delay_s = g_rand_double_range(provider->settings.random, MIN_DELAY_S,
                                  MAX_HEARTBEAT_DELAY_LEASES * provider->settings.lease_s);
    delay_message(provider->delayed_heartbeats, machine, controller, body->data, body->size,
                  now + delay_s);
}

bool fake_worker_maybe_delay_command(struct fake_machine *machine, int controller,
                                     const struct pm_http_request *request)
{
    struct fake_provider *provider = machine->provider;
    bool selected = is_randomly_selected(provider, provider->faults.delayed_command_share);
    double delay_s = 0;

    if (!selected && !machine->faults.is_suspended && !provider->faults.holds_commands)
        return false;
    if (provider->faults.holds_commands)
        delay_s = INFINITY;
    else if (selected)
        delay_s = g_rand_double_range(provider->settings.random, MIN_DELAY_S, MAX_COMMAND_DELAY_S);
    delay_message(provider->delayed_commands, machine, controller, request->body,
                  request->body_size, pm_clock_monotonic() + delay_s);
    return true;
}

void fake_worker_copy_push(struct fake_machine *machine, int controller,
                           const struct pm_http_request *request)
{
    struct fake_provider *provider = machine->provider;

    if (provider->settings.copies_pushes)
        delay_message(provider->copied_pushes, machine, controller, request->body,
                      request->body_size, pm_clock_monotonic() + COPY_DELAY_S);
    if (provider->faults.repeats_pushes)
        delay_message(provider->repeated_pushes, machine, controller, request->body,
                      request->body_size, 0);
}

unsigned fake_worker_end_hold(struct fake_provider *provider)
{
    unsigned held = 0;

    for (guint i = 0; i < provider->delayed_commands->len; i++) {
        struct delayed_message *message = g_ptr_array_index(provider->delayed_commands, i);
        held += isinf(message->due_at);
        message->due_at = MIN(message->due_at, pm_clock_monotonic());
    }
    return held;
}

/* ---- delivery ---- */

/* Ignores the answer: no worker waits for it. */
static void on_copy_answer(void *arg, int status, const unsigned char *body, size_t size)
{
    (void)arg;
    (void)status;
    (void)body;
    (void)size;
}

static void deliver_heartbeat(struct fake_provider *provider, const struct delayed_message *message)
{
    int controller =
        g_rand_int_range(provider->settings.random, 0, provider->settings.controller_count);

    fake_worker_post_heartbeat(provider, controller, &message->body, on_copy_answer, NULL);
}

/* Returns whether the worker has executed the push. */
static bool execute_push(const struct delayed_message *message)
{
    cbor_item_t *body = pm_cbor_parse(message->body.data, message->body.size);
    int status = fake_worker_execute_pushed_commands(message->machine, message->controller, body);

    pm_cbor_free(body);
    return status == HTTP_OK;
}

static void deliver_command(struct fake_provider *provider, const struct delayed_message *message)
{
    (void)provider;
    if (fake_machine_is_up(message->machine))
        execute_push(message);
}

static bool is_push_repeatable(const struct delayed_message *message)
{
    const struct fake_machine *machine = message->machine;

    return fake_machine_is_up(machine) && !machine->faults.is_suspended &&
           !machine->faults.is_partitioned;
}

/* Delivers each of the repeated pushes once more. */
static void repeat_pushes(struct fake_provider *provider, double now)
{
    if (!provider->faults.repeats_pushes || now - provider->pushes_repeated_at < REPEAT_INTERVAL_S)
        return;
    provider->pushes_repeated_at = now;
    for (guint i = 0; i < provider->repeated_pushes->len; i++) {
        const struct delayed_message *message = g_ptr_array_index(provider->repeated_pushes, i);
        if (is_push_repeatable(message))
            provider->repeated_push_count += execute_push(message);
    }
}

static bool is_heartbeat_deliverable(const struct delayed_message *message, double now)
{
    return message->due_at <= now;
}

static bool is_command_deliverable(const struct delayed_message *message, double now)
{
    return message->due_at <= now && !message->machine->faults.is_suspended;
}

static void deliver(struct fake_provider *provider, GPtrArray *messages,
                    bool (*is_deliverable)(const struct delayed_message *message, double now),
                    void (*send)(struct fake_provider *provider,
                                 const struct delayed_message *message),
                    double now)
{
    for (guint i = 0; i < messages->len;) {
        struct delayed_message *message = g_ptr_array_index(messages, i);
        if (!is_deliverable(message, now)) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(messages, i);
        send(provider, message);
        delayed_message_free(message);
    }
}

void fake_worker_deliver_delayed(struct fake_provider *provider, double now)
{
    deliver(provider, provider->delayed_heartbeats, is_heartbeat_deliverable, deliver_heartbeat,
            now);
    deliver(provider, provider->delayed_commands, is_command_deliverable, deliver_command, now);
    deliver(provider, provider->copied_pushes, is_command_deliverable, deliver_command, now);
    repeat_pushes(provider, now);
}
