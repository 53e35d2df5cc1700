/* The provider's API: lists machine types and machines, rents and terminates machines. */
#include "testing/fake_provider_internal.h"
#include "base/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TYPE_LOCAL_DISK_GB 200
#define TYPE_PULL_GB_PER_S 1
#define SPOT_PRICE_SHARE 0.4
#define TYPE_BOOT_S 1

enum {
    IDEMPOTENCY_KEY_SIZE = 256,
    ZONE_NAME_SIZE = 32,
    MACHINE_NAME_SIZE = 32,
    TYPE_NAME_SIZE = 16
};

/* With several types, each kind of machine has this part of max_machines. */
enum { KIND_DIVISOR = 6 };

static void reply(struct pm_http_request *request, struct pm_buffer *body)
{
    pm_http_reply(request, HTTP_OK, body->data, body->size, 0);
    pm_buffer_free(body);
}

/* ---- renting ---- */

static void notify_observer_of_rental(const struct fake_provider *provider,
                                      const char *idempotency_key, guint first)
{
    for (guint i = first; provider->api.observer && i < provider->machines->len; i++) {
        const struct fake_machine *machine = g_ptr_array_index(provider->machines, i);
        struct fake_provider_call call = {.idempotency_key = idempotency_key,
                                          .machine = machine->name};
        provider->api.observer(provider->api.observer_arg, &call);
    }
}

/* Encodes the answer to a rental: the names of the machines from index `first` on. Owned by the
 * caller. */
static struct pm_buffer *encode_rental(const struct fake_provider *provider, guint first)
{
    struct pm_buffer *out = g_new0(struct pm_buffer, 1);

    pm_cbor_put_map(out);
    pm_cbor_put_text(out, "hosts");
    pm_cbor_put_list(out);
    for (guint i = first; i < provider->machines->len; i++) {
        const struct fake_machine *machine = g_ptr_array_index(provider->machines, i);
        pm_cbor_put_text(out, machine->name);
    }
    pm_cbor_put_end(out);
    pm_cbor_put_end(out);
    return out;
}

/* Returns the index of the type of that name; 0 if there is none. */
static int find_type(const char *name)
{
    for (int i = 0; i < FAKE_PROVIDER_TYPES_MAX; i++)
        if (!strcmp(fake_machine_types[i].name, name))
            return i;
    return 0;
}

static int zone_index_of(const char *zone)
{
    return (int)strtol(zone + strlen("zone-"), NULL, 10);
}

/* Whether one more machine of the kind can be rented. With several types, each kind has a capacity
 * of its own, as in the protocol; otherwise machines of one kind could keep out another for which a
 * job waits. */
static bool has_capacity(const struct fake_provider *provider, int type, int zone, bool is_spot)
{
    const struct fake_provider_settings *settings = &provider->settings;
    int count = 0;

    if (settings->type_count <= 1)
        return fake_provider_machine_count(provider) < settings->max_machines;
    for (guint i = 0; i < provider->machines->len; i++) {
        const struct fake_machine *machine = g_ptr_array_index(provider->machines, i);
        count += !machine->is_terminated && machine->type == type && machine->zone == zone &&
                 machine->is_spot == is_spot;
    }
    return count < MAX(settings->max_machines / KIND_DIVISOR, 1);
}

/* Adds the machines that the request asks for, or fewer if max_machines is reached. A provider with
 * a single type has no spot machines. */
static void add_machines(struct fake_provider *provider, const cbor_item_t *body)
{
    char zone[ZONE_NAME_SIZE] = "zone-0";
    char type[TYPE_NAME_SIZE] = "";
    bool is_spot = false;
    uint64_t count = 0;

    pm_cbor_read_text(pm_cbor_get(body, "room"), zone, sizeof zone);
    pm_cbor_read_text(pm_cbor_get(body, "model"), type, sizeof type);
    pm_cbor_read_flag(pm_cbor_get(body, "borrowed"), &is_spot);
    pm_cbor_read_uint(pm_cbor_get(body, "how_many"), &count);
    is_spot = is_spot && provider->settings.type_count > 1;
    for (; count && has_capacity(provider, find_type(type), zone_index_of(zone), is_spot); count--)
        fake_machine_new(provider, find_type(type), zone_index_of(zone), is_spot);
}

/* A request that repeats an earlier idempotency key gets the same answer and rents no machine. */
static void serve_rental(struct fake_provider *provider, const cbor_item_t *body,
                         struct pm_http_request *request)
{
    struct pm_buffer *answer;
    char idempotency_key[IDEMPOTENCY_KEY_SIZE];
    guint first = provider->machines->len;

    pm_cbor_read_text(pm_cbor_get(body, "booking"), idempotency_key, sizeof idempotency_key);
    answer = g_hash_table_lookup(provider->api.rental_answers, idempotency_key);
    if (answer) {
        pm_http_reply(request, HTTP_OK, answer->data, answer->size, 0);
        return;
    }
    add_machines(provider, body);
    if (first == provider->machines->len) {
        pm_http_reply(request, HTTP_UNAVAILABLE, NULL, 0, 0);
        return;
    }
    notify_observer_of_rental(provider, idempotency_key, first);
    answer = encode_rental(provider, first);
    if (provider->faults.lose_next_rental_answer)
        g_ptr_array_add(provider->unanswered_requests, request);
    else
        pm_http_reply(request, HTTP_OK, answer->data, answer->size, 0);
    provider->faults.lose_next_rental_answer = false;
    g_hash_table_insert(provider->api.rental_answers, g_strdup(idempotency_key), answer);
}

/* ---- terminating ---- */

static void notify_observer_of_termination(const struct fake_provider *provider,
                                           const struct fake_machine *machine)
{
    const struct fake_worker *worker = &machine->worker;
    struct fake_provider_call call = {
        .machine = machine->name, .unanswered_s = pm_clock_monotonic() - worker->lease_renewed_at};

    for (guint i = 0; i < worker->tasks->len; i++) {
        const struct fake_task *task = &g_array_index(worker->tasks, struct fake_task, i);
        if (task->has_ended || (call.task && task->started_at < call.task_started_at))
            continue;
        call.task = task->name;
        call.task_started_at = task->started_at;
    }
    if (provider->api.observer)
        provider->api.observer(provider->api.observer_arg, &call);
}

static void terminate_machine(struct fake_provider *provider, const char *name)
{
    for (guint i = 0; i < provider->machines->len; i++) {
        struct fake_machine *machine = g_ptr_array_index(provider->machines, i);
        if (machine->is_terminated || strcmp(machine->name, name) != 0)
            continue;
        notify_observer_of_termination(provider, machine);
        fake_worker_stop_all(machine);
        fake_machine_terminate(machine);
    }
}

static void terminate_machines(struct fake_provider *provider, const cbor_item_t *body)
{
    const cbor_item_t *names = pm_cbor_get(body, "hosts");

    for (size_t i = 0; i < pm_cbor_length(names); i++) {
        char name[MACHINE_NAME_SIZE] = "";
        pm_cbor_read_text(pm_cbor_at(names, i), name, sizeof name);
        terminate_machine(provider, name);
    }
}

static void delay_rental(struct fake_provider *provider, cbor_item_t *body)
{
    provider->api.delayed_rental = cbor_incref(body);
    provider->api.delayed_rental_at = pm_clock_monotonic() + provider->faults.rental_delay_s;
    provider->faults.rental_delay_s = 0;
}

static void delay_termination(struct fake_provider *provider, cbor_item_t *body)
{
    provider->api.delayed_termination = cbor_incref(body);
    provider->api.delayed_termination_at =
        pm_clock_monotonic() + provider->faults.termination_delay_s;
    provider->faults.termination_delay_s = 0;
}

static void serve_termination(struct fake_provider *provider, cbor_item_t *body,
                              struct pm_http_request *request)
{
    if (provider->faults.termination_delay_s > 0) {
        g_ptr_array_add(provider->unanswered_requests, request);
        delay_termination(provider, body);
        return;
    }
    terminate_machines(provider, body);
    if (provider->faults.lose_next_termination_answer)
        g_ptr_array_add(provider->unanswered_requests, request);
    else
        pm_http_reply(request, HTTP_OK, NULL, 0, 0);
    provider->faults.lose_next_termination_answer = false;
}

void fake_provider_api_tick(struct fake_provider *provider, double now)
{
    struct fake_provider_api *api = &provider->api;

    if (api->delayed_termination && now >= api->delayed_termination_at) {
        terminate_machines(provider, api->delayed_termination);
        pm_cbor_free(api->delayed_termination);
        api->delayed_termination = NULL;
    }
    if (api->delayed_rental && now >= api->delayed_rental_at) {
        add_machines(provider, api->delayed_rental);
        pm_cbor_free(api->delayed_rental);
        api->delayed_rental = NULL;
    }
}

/* ---- lists ---- */

static const char *status_of(const struct fake_machine *machine)
{
    if (machine->faults.has_failed)
        return "failed";
    return fake_machine_is_booting(machine) ? "starting" : "running";
}

static void put_machine(const struct fake_machine *machine, struct pm_buffer *out)
{
    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "name_id", machine->name);
    fake_machine_put_description(machine, out);
    pm_cbor_put_pair_text(out, "status", status_of(machine));
    pm_cbor_put_pair_number(out, "age_s", pm_clock_monotonic() - machine->rented_at);
    pm_cbor_put_end(out);
}

static void serve_inventory(const struct fake_provider *provider, struct pm_http_request *request)
{
    const char *since = strstr(request->query, "since=");
    struct pm_buffer out = {0};
    char after[MACHINE_NAME_SIZE] = "";

    if (since) {
        since += strlen("since=");
        g_strlcpy(after, since, MIN(sizeof after, strcspn(since, "&") + 1));
    }
    pm_cbor_put_map(&out);
    pm_cbor_put_text(&out, "hosts");
    pm_cbor_put_list(&out);
    for (guint i = 0; i < provider->machines->len; i++) {
        const struct fake_machine *machine = g_ptr_array_index(provider->machines, i);
        if (!machine->is_terminated && strcmp(machine->name, after) > 0)
            put_machine(machine, &out);
    }
    pm_cbor_put_end(&out);
    pm_cbor_put_pair_flag(&out, "has_next", false);
    pm_cbor_put_end(&out);
    reply(request, &out);
}

static void put_machine_type(const struct fake_provider *provider,
                             const struct fake_machine_type *type, struct pm_buffer *out)
{
    char zone[ZONE_NAME_SIZE];

    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "sku", type->name);
    pm_cbor_put_pair_number(out, "cpus", type->cpus);
    pm_cbor_put_pair_number(out, "accelerators", type->accelerators);
    pm_cbor_put_pair_number(out, "ram_gb", type->ram_gb);
    pm_cbor_put_pair_number(out, "local_gb", TYPE_LOCAL_DISK_GB);
    pm_cbor_put_pair_number(out, "pull_gb_per_s", TYPE_PULL_GB_PER_S);
    pm_cbor_put_pair_number(out, "price", type->price);
    pm_cbor_put_pair_number(out, "market_price", type->price * SPOT_PRICE_SHARE);
    pm_cbor_put_pair_number(out, "ready_s", MAX(TYPE_BOOT_S, provider->settings.boot_s));
    pm_cbor_put_text(out, "rooms");
    pm_cbor_put_list(out);
    for (int i = 0; i < provider->settings.zone_count; i++) {
        snprintf(zone, sizeof zone, "zone-%d", i);
        pm_cbor_put_text(out, zone);
    }
    pm_cbor_put_end(out);
    pm_cbor_put_end(out);
}

static void serve_machine_types(const struct fake_provider *provider,
                                struct pm_http_request *request)
{
    struct pm_buffer out = {0};

    pm_cbor_put_map(&out);
    pm_cbor_put_text(&out, "models");
    pm_cbor_put_list(&out);
    for (int i = 0; i < MAX(provider->settings.type_count, 1); i++)
        put_machine_type(provider, &fake_machine_types[i], &out);
    pm_cbor_put_end(&out);
    pm_cbor_put_end(&out);
    reply(request, &out);
}

/* ---- routing of requests ---- */

static void on_request(void *arg, struct pm_http_request *request)
{
    struct fake_provider *provider = arg;
    cbor_item_t *body = pm_cbor_parse(request->body, request->body_size);

    if (request->method == PM_HTTP_POST && provider->faults.refusals > 0) {
        provider->faults.refusals--;
        pm_http_reply(request, provider->faults.refusal_status, NULL, 0, 0);
    } else if (!strcmp(request->path, "/machine_types")) {
        serve_machine_types(provider, request);
    } else if (!strcmp(request->path, "/machines/release")) {
        serve_termination(provider, body, request);
    } else if (request->method == PM_HTTP_POST && provider->faults.rental_delay_s > 0) {
        g_ptr_array_add(provider->unanswered_requests, request);
        delay_rental(provider, body);
    } else if (request->method == PM_HTTP_POST) {
        serve_rental(provider, body, request);
    } else {
        serve_inventory(provider, request);
    }
    pm_cbor_free(body);
}

void fake_provider_api_start(struct fake_provider *provider)
{
    const char *targets[RELAY_CONTROLLERS_MAX];
    char addr[FAKE_PROVIDER_ADDR_SIZE];

    provider->api.rental_answers = g_hash_table_new(g_str_hash, g_str_equal);
    provider->api.server = fake_provider_listen(provider, addr, on_request, provider);
    for (int i = 0; i < RELAY_CONTROLLERS_MAX; i++)
        targets[i] = addr;
    provider->api.relay = relay_new(provider->loop, targets, provider->settings.controllers);
}

void fake_provider_api_stop(struct fake_provider *provider)
{
    relay_free(provider->api.relay);
    pm_http_server_free(provider->api.server);
}
