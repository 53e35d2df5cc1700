/* Reads the provider's inventory page by page, to learn which machines exist and which are lost.
 *
 * The inventory is out of date by up to the settings' `inventory_lag_s`. A machine that it lists is
 * added to the workers slice's table. A machine that it does not list, and that is thereby proven
 * lost, gets `absent_since`; scale_in.c decides when to terminate it. */
#include "autoscaler/internal.h"
#include "base/clock.h"

#include <stdio.h>
#include <string.h>

enum {
    PAGE_MACHINES = 500, /* machines requested per page */
    PAGE_BYTES_MAX = 1024 * 1024,
    PAGE_RETRIES_MAX = 5 /* retries of one page before the inventory is abandoned */
};
/* Delay before the first retry of a page; it grows by the same amount with each further failure. */
#define PAGE_RETRY_S 0.5

enum { TARGET_BYTES = PM_NAME_MAX + 64 };

/* An inventory may show a state that is older than its request by up to INVENTORY_LAG_FACTOR *
 * inventory_lag_s + INVENTORY_LAG_MARGIN_S. */
#define INVENTORY_LAG_FACTOR 2
#define INVENTORY_LAG_MARGIN_S 1

/* A machine is silent if its last message is older than this many heartbeat intervals plus the
 * margin. */
#define SILENT_HEARTBEAT_INTERVALS 1.6
#define SILENT_MARGIN_S 0.5

/* Limits of the interval between two inventories. While a machine with tasks is silent, a shorter
 * interval applies, because the inventory may show that the machine is lost. */
#define INTERVAL_MIN_S 2
#define INTERVAL_MAX_S 6
#define INTERVAL_WHILE_SILENT_S 1.5

/* A request for one page. */
struct page_request {
    struct pm_autoscaler *autoscaler;
    uint64_t term;
    double sent_at;
};

/* ---- entries ---- */

static void apply_inventory_entry(struct pm_autoscaler *autoscaler, const cbor_item_t *item,
                                  double now)
{
    struct pm_inventory *inventory = &autoscaler->inventory;
    struct pm_listed_machine listed;
    struct pm_machine *machine;

    if (!pm_listed_machine_decode(item, &listed))
        return;
    g_strlcpy(inventory->last_name, listed.name, sizeof inventory->last_name);
    g_hash_table_add(inventory->listed, g_strdup(listed.name));
    machine = pm_workers_find(autoscaler->workers, listed.name);
    if ((machine && machine->state == PM_MACHINE_TERMINATING) ||
        pm_autoscaler_is_terminated(autoscaler, listed.name))
        return;
    if (!machine) {
        machine = pm_workers_find_or_add(autoscaler->workers, listed.name);
        machine->provider.rented_at = now - listed.age_s;
    }
    if (machine->type < 0)
        pm_listed_machine_apply_kind(autoscaler, &listed, machine);
    if (!machine->endpoint[0])
        pm_listed_machine_apply_endpoint(&listed, machine);
    machine->provider.is_listed = true;
    machine->provider.absent_since = 0;
    if (listed.has_failed)
        machine->provider.has_failed = true;
    if (listed.is_running && !machine->provider.running_since)
        machine->provider.running_since = now;
}

/* Whether the machine named `left` was rented before the one named `right`. The provider numbers
 * machine names in the order of the rentals. */
static bool is_rented_before(const char *left, const char *right)
{
    size_t left_length = strlen(left);
    size_t right_length = strlen(right);

    return left_length != right_length ? left_length < right_length : strcmp(left, right) < 0;
}

/* Whether the inventory, which does not list the machine, proves that the machine is lost. An
 * inventory shows the state at one past moment, so a machine is lost if the inventory lists a
 * machine that was rented later. Otherwise the machine must have been rented, and have sent its
 * last message, longer ago than the inventory can be out of date. */
static bool is_proven_lost(const struct pm_autoscaler *autoscaler, const struct pm_machine *machine,
                           double lag_s, double now)
{
    const struct pm_inventory *inventory = &autoscaler->inventory;

    if (inventory->last_name[0] && is_rented_before(machine->name, inventory->last_name))
        return true;
    if (inventory->started_at - machine->provider.rented_at <= lag_s)
        return false;
    /* The worker of a machine in a shard reports to the shard's owner, so the time of its last
     * message to this controller says nothing. */
    return machine->shard.assigned_to || now - machine->heartbeat.last_message_at > lag_s;
}

static void set_absent_since(struct pm_autoscaler *autoscaler, double now)
{
    GPtrArray *machines = pm_workers_all(autoscaler->workers);
    const struct pm_settings *settings = autoscaler->tables->settings;
    double lag_s = INVENTORY_LAG_FACTOR * settings->inventory_lag_s + INVENTORY_LAG_MARGIN_S;

    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (!machine || machine->state == PM_MACHINE_TERMINATING ||
            g_hash_table_contains(autoscaler->inventory.listed, machine->name))
            continue;
        if (is_proven_lost(autoscaler, machine, lag_s, now) && !machine->provider.absent_since)
            machine->provider.absent_since = now;
    }
}

/* ---- paging ---- */

/* Schedules a retry of the failed page. After too many failures the inventory is abandoned, and a
 * new one is read at the usual interval. */
static void retry_page(struct pm_inventory *inventory)
{
    inventory->page_failures++;
    if (inventory->page_failures > PAGE_RETRIES_MAX) {
        inventory->in_progress = false;
        return;
    }
    inventory->page_due = true;
    inventory->next_page_at = pm_clock_monotonic() + PAGE_RETRY_S * inventory->page_failures;
}

static void finish_inventory(struct pm_autoscaler *autoscaler, double now)
{
    autoscaler->inventory.in_progress = false;
    autoscaler->inventory.is_known = true;
    set_absent_since(autoscaler, now);
    autoscaler->hooks.changed(autoscaler->hooks.arg);
}

static void on_page(void *arg, int status, const unsigned char *body, size_t size)
{
    struct page_request *request = arg;
    struct pm_autoscaler *autoscaler = request->autoscaler;
    struct pm_inventory *inventory = &autoscaler->inventory;
    bool is_current = request->term == autoscaler->term;
    double now = request->sent_at; /* the ages in the answer were current at about this time */
    bool has_next;
    cbor_item_t *page;
    const cbor_item_t *machines;

    g_free(request);
    if (!is_current)
        return;
    page = status == PM_PROVIDER_HTTP_OK ? pm_cbor_parse(body, size) : NULL;
    machines = pm_provider_answer_machines(page);
    if (!machines) {
        pm_cbor_free(page);
        retry_page(inventory);
        return;
    }
    inventory->page_failures = 0;
    for (size_t i = 0; i < pm_cbor_length(machines); i++)
        apply_inventory_entry(autoscaler, pm_cbor_at(machines, i), now);
    has_next = pm_inventory_page_has_next(page);
    pm_cbor_free(page);
    if (!has_next) {
        finish_inventory(autoscaler, now);
        return;
    }
    inventory->page_due = true;
    pm_autoscaler_continue_inventory(autoscaler, pm_clock_monotonic());
}

static void request_page(struct pm_autoscaler *autoscaler)
{
    const char *last_name = autoscaler->inventory.last_name;
    struct page_request *request = g_new(struct page_request, 1);
    char target[TARGET_BYTES];

    *request = (struct page_request){autoscaler, autoscaler->term, autoscaler->budget.refilled_at};
    snprintf(target, sizeof target, "/machines?%s%s%spage=%d", last_name[0] ? "since=" : "",
             last_name, last_name[0] ? "&" : "", PAGE_MACHINES);
    pm_http_call(autoscaler->http, autoscaler->tables->settings->cloud_addr, "GET", target, NULL, 0,
                 PM_PROVIDER_TIMEOUT_S, PAGE_BYTES_MAX, on_page, request);
}

/* Pages are requested one by one, as the request limit allows. Requests for all pages of a long
 * inventory at once would be refused, and an inventory that started again after each refusal would
 * never be complete. */
void pm_autoscaler_continue_inventory(struct pm_autoscaler *autoscaler, double now)
{
    struct pm_inventory *inventory = &autoscaler->inventory;

    if (!inventory->page_due || now < inventory->next_page_at ||
        !pm_autoscaler_acquire_request_token(autoscaler, now))
        return;
    inventory->page_due = false;
    request_page(autoscaler);
}

/* ---- schedule ---- */

/* Whether a machine with tasks has missed heartbeats. */
static bool has_silent_machine(const struct pm_autoscaler *autoscaler, double now)
{
    GPtrArray *machines = pm_workers_all(autoscaler->workers);
    const struct pm_settings *settings = autoscaler->tables->settings;
    double limit_s = SILENT_HEARTBEAT_INTERVALS * settings->heartbeat_s + SILENT_MARGIN_S;

    for (guint i = 0; i < machines->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (machine && machine->state == PM_MACHINE_UP && !machine->shard.assigned_to &&
            machine->placements->len && now - machine->heartbeat.last_message_at > limit_s)
            return true;
    }
    return false;
}

static double read_interval_s(const struct pm_autoscaler *autoscaler, double now)
{
    if (has_silent_machine(autoscaler, now))
        return INTERVAL_WHILE_SILENT_S;
    return CLAMP(autoscaler->tables->settings->inventory_lag_s / 2, INTERVAL_MIN_S, INTERVAL_MAX_S);
}

void pm_autoscaler_start_inventory(struct pm_autoscaler *autoscaler, double now)
{
    struct pm_inventory *inventory = &autoscaler->inventory;
    double interval_s = read_interval_s(autoscaler, now);

    if (inventory->in_progress ||
        (inventory->started_at && now - inventory->started_at < interval_s) ||
        !pm_autoscaler_acquire_request_token(autoscaler, now))
        return;
    inventory->in_progress = true;
    inventory->started_at = now;
    inventory->last_name[0] = 0;
    g_hash_table_remove_all(inventory->listed);
    inventory->page_due = false;
    inventory->page_failures = 0;
    inventory->next_page_at = 0;
    request_page(autoscaler);
}
