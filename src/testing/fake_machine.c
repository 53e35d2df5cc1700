/* A machine: its network endpoints, whether it is up, and its description in messages. */
#include "testing/fake_provider_internal.h"
#include "base/clock.h"

#include <stdio.h>

/* Gives each controller an endpoint of its own, so that the worker knows which controller sent a
 * command. */
static void start_endpoints(struct fake_machine *machine)
{
    struct fake_provider *provider = machine->provider;
    const char *targets[RELAY_CONTROLLERS_MAX];
    char addrs[RELAY_CONTROLLERS_MAX][FAKE_PROVIDER_ADDR_SIZE];

    for (int i = 0; i < provider->settings.controller_count; i++) {
        struct fake_machine_endpoint *endpoint = &machine->endpoints[i];
        *endpoint = (struct fake_machine_endpoint){machine, i, NULL};
        endpoint->server =
            fake_provider_listen(provider, addrs[i], fake_worker_on_request, endpoint);
        targets[i] = addrs[i];
    }
    machine->relay = relay_new(provider->loop, targets, provider->settings.controllers);
    for (int i = 0; i < provider->settings.controller_count; i++)
        relay_set_fault(machine->relay, i, provider->faults.zones[i][machine->zone]);
    g_strlcpy(machine->addr, relay_addr(machine->relay), sizeof machine->addr);
}

void fake_machine_new(struct fake_provider *provider, int zone)
{
    struct fake_machine *machine = g_new0(struct fake_machine, 1);
    guint index = provider->machines->len;

    machine->provider = provider;
    machine->zone = zone;
    machine->rented_at = pm_clock_monotonic();
    snprintf(machine->name, sizeof machine->name, "i-%06u", index + 1);
    machine->worker.incarnation = 1;
    machine->worker.lease_renewed_at = machine->rented_at;
    machine->worker.tasks = g_array_new(FALSE, FALSE, sizeof(struct fake_task));
    machine->worker.heartbeat.controller = (int)index % provider->settings.controller_count;
    start_endpoints(machine);
    history_add_machine(provider->history, machine->name, zone);
    g_ptr_array_add(provider->machines, machine);
}

void fake_machine_terminate(struct fake_machine *machine)
{
    machine->is_terminated = true;
    relay_free(machine->relay);
    for (int i = 0; i < machine->provider->settings.controller_count; i++)
        pm_http_server_free(machine->endpoints[i].server);
}

bool fake_machine_is_up(const struct fake_machine *machine)
{
    return !machine->is_terminated && !machine->faults.has_failed;
}

void fake_machine_put_description(const struct fake_machine *machine, struct pm_buffer *out)
{
    char zone[16];

    snprintf(zone, sizeof zone, "zone-%d", machine->zone);
    pm_cbor_put_pair_text(out, "endpoint", machine->addr);
    pm_cbor_put_pair_text(out, "model", FAKE_PROVIDER_MACHINE_TYPE);
    pm_cbor_put_pair_text(out, "room", zone);
    pm_cbor_put_pair_flag(out, "borrowed", false);
}
