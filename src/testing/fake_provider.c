/* Starting and stopping the fake provider, its timer, and queries about its state. */
#include "testing/fake_provider_internal.h"
#include "base/clock.h"
#include "testing/event_loop.h"

#include <stdio.h>
#include <string.h>

enum { SERVER_CONNECTIONS_MAX = 64, CLIENT_CONNECTIONS_MAX = 256 };

double fake_provider_task_run_s(const char *task)
{
    size_t length = strcspn(task, "/");
    int tens;
    int ones;

    if (length < 2)
        return 0;
    tens = task[length - 2] - '0';
    ones = task[length - 1] - '0';
    return (tens * 10 + ones) / 10.0;
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct fake_provider *provider = timer->data;
    double now = pm_clock_monotonic();

    (void)loop;
    (void)events;
    for (guint i = 0; i < provider->machines->len; i++) {
        struct fake_machine *machine = g_ptr_array_index(provider->machines, i);
        if (fake_machine_is_up(machine))
            fake_worker_tick(machine, now);
    }
    fake_worker_deliver_delayed(provider, now);
    history_check_cancellations(provider->history, now);
    fake_provider_api_tick(provider, now);
}

struct pm_http_server *fake_provider_listen(struct fake_provider *provider, char *addr,
                                            pm_http_handler *handler, void *arg)
{
    struct pm_http_server *server;

    do {
        snprintf(addr, FAKE_PROVIDER_ADDR_SIZE, "127.0.0.1:%d", event_loop_free_port());
        server = pm_http_server_new(provider->loop, addr, SERVER_CONNECTIONS_MAX, handler, arg);
    } while (!server);
    return server;
}

struct fake_provider *fake_provider_new(struct ev_loop *loop,
                                        const struct fake_provider_settings *settings,
                                        struct history *history)
{
    struct fake_provider *provider = g_new0(struct fake_provider, 1);

    provider->loop = loop;
    provider->settings = *settings;
    provider->history = history;
    provider->client = pm_http_client_new(loop, CLIENT_CONNECTIONS_MAX);
    provider->machines = g_ptr_array_new();
    provider->unanswered_requests = g_ptr_array_new();
    provider->delayed_heartbeats = g_ptr_array_new();
    provider->delayed_commands = g_ptr_array_new();
    provider->copied_pushes = g_ptr_array_new();
    provider->repeated_pushes = g_ptr_array_new();
    provider->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    fake_provider_api_start(provider);
    ev_timer_init(&provider->tick, on_tick, FAKE_PROVIDER_TICK_S, FAKE_PROVIDER_TICK_S);
    provider->tick.data = provider;
    ev_timer_start(loop, &provider->tick);
    return provider;
}

void fake_provider_free(struct fake_provider *provider)
{
    ev_timer_stop(provider->loop, &provider->tick);
    for (guint i = 0; i < provider->machines->len; i++) {
        struct fake_machine *machine = g_ptr_array_index(provider->machines, i);
        if (!machine->is_terminated)
            fake_machine_terminate(machine);
    }
    fake_provider_api_stop(provider);
    /* The rest is not freed, because callbacks of HTTP calls in flight still read it. */
}

const char *fake_provider_addr(const struct fake_provider *provider)
{
    return relay_addr(provider->api.relay);
}

int fake_provider_machine_count(const struct fake_provider *provider)
{
    int count = 0;

    for (guint i = 0; i < provider->machines->len; i++) {
        const struct fake_machine *machine = g_ptr_array_index(provider->machines, i);
        count += !machine->is_terminated;
    }
    return count;
}

unsigned fake_provider_answered_heartbeats(const struct fake_provider *provider, int controller)
{
    return provider->answered_heartbeats[controller];
}

void fake_provider_describe_job(struct fake_provider *provider, const char *id,
                                struct fake_provider_job job)
{
    g_hash_table_replace(provider->jobs, g_strdup(id), g_memdup2(&job, sizeof job));
}

void fake_provider_observe(struct fake_provider *provider, fake_provider_observer *observer,
                           void *arg)
{
    provider->api.observer = observer;
    provider->api.observer_arg = arg;
}
