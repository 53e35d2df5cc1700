/* Messages that arrive late: copies of heartbeats, and pushed commands. */
#include "testing/fake_provider_internal.h"
#include "base/clock.h"

#define MIN_DELAY_S 1
#define MAX_HEARTBEAT_DELAY_LEASES 2
#define MAX_COMMAND_DELAY_S 8

/* A message that arrives later than it was sent. */
struct delayed_message {
    struct fake_machine *machine;
    int controller; /* that sent it, or that it was sent to */
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

static bool is_drawn(const struct fake_provider *provider, double share)
{
    GRand *random = provider->settings.random;

    return random && g_rand_double(random) < share;
}

void fake_worker_maybe_copy_heartbeat(struct fake_machine *machine, int controller,
                                      const struct pm_buffer *body, double now)
{
    struct fake_provider *provider = machine->provider;
    double delay_s;

    if (!is_drawn(provider, provider->faults.delayed_heartbeat_share))
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
    bool drawn = is_drawn(provider, provider->faults.delayed_command_share);
    double delay_s = 0;

    if (!drawn && !machine->faults.is_hung)
        return false;
    if (drawn)
        delay_s = g_rand_double_range(provider->settings.random, MIN_DELAY_S, MAX_COMMAND_DELAY_S);
    delay_message(provider->delayed_commands, machine, controller, request->body,
                  request->body_size, pm_clock_monotonic() + delay_s);
    return true;
}

/* ---- delivery ---- */

/* Nobody waits for the answer to a copy. */
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

static void deliver_command(struct fake_provider *provider, const struct delayed_message *message)
{
    struct fake_machine *machine = message->machine;
    cbor_item_t *body = pm_cbor_parse(message->body.data, message->body.size);

    (void)provider;
    if (fake_machine_is_up(machine))
        fake_worker_execute_push(machine, message->controller, body);
    pm_cbor_free(body);
}

static bool is_heartbeat_deliverable(const struct delayed_message *message, double now)
{
    return message->due_at <= now;
}

static bool is_command_deliverable(const struct delayed_message *message, double now)
{
    return message->due_at <= now && !message->machine->faults.is_hung;
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
}
