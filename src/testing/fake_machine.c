/* A machine: its network endpoints, whether it is up, and its description in messages. */
#include "testing/fake_provider_internal.h"
#include "base/clock.h"

#include <math.h>
#include <stdio.h>

const struct fake_machine_type fake_machine_types[FAKE_PROVIDER_TYPES_MAX] = {
    {FAKE_PROVIDER_MACHINE_TYPE, 8, 4, 64, 1.0}, {"m4", 4, 0, 32, 0.5}, {"m16", 16, 0, 128, 2.1}};

const char *fake_provider_type_name(int type)
{
    return fake_machine_types[type].name;
}

/* Returns when a machine that is rented now comes up. */
static double draw_up_at(const struct fake_provider *provider, double now)
{
    const struct fake_provider_settings *settings = &provider->settings;

    if (settings->boot_s <= 0)
        return now;
    if (settings->boots_together)
        return ceil(now / settings->boot_s) * settings->boot_s;
    return now + g_rand_double(settings->random) * settings->boot_s;
}

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

void fake_machine_new(struct fake_provider *provider, int type, int zone, bool is_spot)
{
    struct fake_machine *machine = g_new0(struct fake_machine, 1);
    guint index = provider->machines->len;

    machine->provider = provider;
    machine->zone = zone;
    machine->type = type;
    machine->is_spot = is_spot;
    machine->rented_at = pm_clock_monotonic();
    machine->up_at = draw_up_at(provider, machine->rented_at);
    snprintf(machine->name, sizeof machine->name, "i-%06u", index + 1);
    machine->worker.incarnation = 1;
    machine->worker.lease_renewed_at = machine->up_at;
    machine->worker.tasks = g_array_new(FALSE, FALSE, sizeof(struct fake_task));
    machine->worker.heartbeat.controller = (int)index % provider->settings.controller_count;
    start_endpoints(machine);
    history_add_machine(provider->history, machine->name, zone);
    history_describe_machine(provider->history, machine->name, fake_machine_types[type].name,
                             is_spot);
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

bool fake_machine_is_booting(const struct fake_machine *machine)
{
    return pm_clock_monotonic() < machine->up_at;
}

void fake_machine_put_description(const struct fake_machine *machine, struct pm_buffer *out)
{
    char zone[16];

    snprintf(zone, sizeof zone, "zone-%d", machine->zone);
    pm_cbor_put_pair_text(out, "endpoint", machine->addr);
    pm_cbor_put_pair_text(out, "model", fake_machine_types[machine->type].name);
    pm_cbor_put_pair_text(out, "room", zone);
    pm_cbor_put_pair_flag(out, "borrowed", machine->is_spot);
}
