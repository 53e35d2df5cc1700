/* The autoscaler's lifecycle and the steps of one run. */
#include "autoscaler/internal.h"
#include "autoscaler/sizing.h"

#include <string.h>

/* A new leader waits for its first inventory before it rents machines, but no longer than this. */
#define FIRST_INVENTORY_TIMEOUT_S 5.0
#define MACHINE_TYPES_INTERVAL_S 60.0
/* Limit of requests in flight, as a share of the requests that the provider accepts per second. */
#define IN_FLIGHT_RPS_SHARE 0.6

enum { SIZED_REQUESTS_MAX = 64, IN_FLIGHT_MIN = 3 };

struct pm_autoscaler *pm_autoscaler_new(struct pm_http_client *http, struct pm_name_tables *tables,
                                        struct pm_jobs *jobs, struct pm_workers *workers,
                                        struct pm_scheduler *scheduler,
                                        const struct pm_operator_settings *operator_settings,
                                        const struct pm_autoscaler_hooks *hooks)
{
    struct pm_autoscaler *autoscaler = g_new0(struct pm_autoscaler, 1);

    autoscaler->http = http;
    autoscaler->tables = tables;
    autoscaler->jobs = jobs;
    autoscaler->workers = workers;
    autoscaler->scheduler = scheduler;
    autoscaler->operator_settings = operator_settings;
    autoscaler->hooks = *hooks;
    autoscaler->budget.tokens = 1;
    autoscaler->terminated = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    autoscaler->inventory.listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    autoscaler->sizing_machines = g_array_new(FALSE, FALSE, sizeof(struct pm_sizing_machine));
    return autoscaler;
}

void pm_autoscaler_set_roles(struct pm_autoscaler *autoscaler, struct pm_roles *roles)
{
    autoscaler->roles = roles;
}

void pm_autoscaler_free(struct pm_autoscaler *autoscaler)
{
    g_hash_table_destroy(autoscaler->inventory.listed);
    g_hash_table_destroy(autoscaler->terminated);
    g_array_free(autoscaler->sizing_machines, TRUE);
    g_free(autoscaler);
}

static void reset_inventory(struct pm_inventory *inventory)
{
    inventory->in_progress = false;
    inventory->page_due = false;
    inventory->is_known = false;
    inventory->started_at = 0;
    inventory->last_name[0] = 0;
    g_hash_table_remove_all(inventory->listed);
}

/* The tokens of the request budget, the request for machine types and the confirmed terminations
 * are not reset: they do not depend on which controller is the leader. */
void pm_autoscaler_reset(struct pm_autoscaler *autoscaler, uint64_t epoch)
{
    autoscaler->epoch = epoch;
    autoscaler->term++;
    autoscaler->rental_number = 0;
    autoscaler->budget.in_flight = 0;
    reset_inventory(&autoscaler->inventory);
    autoscaler->demand_rate.cpu_s = 0;
    autoscaler->demand_rate.jobs = 0;
    autoscaler->demand_rate.started_at = 0;
    memset(autoscaler->kinds, 0, sizeof autoscaler->kinds);
    memset(autoscaler->handover.zone_last_message_at, 0,
           sizeof autoscaler->handover.zone_last_message_at);
}

void pm_autoscaler_set_writable(struct pm_autoscaler *autoscaler, bool writable, double now)
{
    if (writable)
        autoscaler->writability.last_writable_at = now;
    autoscaler->writability.is_writable = writable;
}

/* Whether the inventory was read since the election, or the time to wait for it has passed. A new
 * leader, to which no worker has reported yet, would otherwise rent machines for all running and
 * waiting tasks. */
static bool are_machines_known(const struct pm_autoscaler *autoscaler, double now)
{
    return autoscaler->inventory.is_known ||
           now - autoscaler->handover.elected_at > FIRST_INVENTORY_TIMEOUT_S;
}

/* Splits the entries of `sized` into requests for at most PM_INTENT_INSTANCES_MAX machines each,
 * the provider's limit. Writes at most `request_max` requests and returns their number. */
static int split_requests(const struct pm_scale_out_request *sized, int sized_count,
                          struct pm_scale_out_request *requests, int request_max)
{
    int request_count = 0;

    for (int i = 0; i < sized_count; i++) {
        int left = sized[i].count;
        for (; left > 0 && request_count < request_max; left -= PM_INTENT_INSTANCES_MAX) {
            requests[request_count] = sized[i];
            requests[request_count].count = MIN(left, PM_INTENT_INSTANCES_MAX);
            request_count++;
        }
    }
    return request_count;
}

static void scale_out(struct pm_autoscaler *autoscaler, int in_flight_max, double now,
                      double wall_now)
{
    struct pm_scale_out_request sized[SIZED_REQUESTS_MAX];
    struct pm_scale_out_request requests[PM_INTENT_RENTALS_MAX];
    int count = pm_autoscaler_size(autoscaler, now, wall_now, sized, SIZED_REQUESTS_MAX);

    count = split_requests(sized, count, requests, in_flight_max);
    if (count)
        pm_autoscaler_scale_out(autoscaler, requests, count, now);
}

void pm_autoscaler_run(struct pm_autoscaler *autoscaler, double now, double wall_now)
{
    int in_flight_max = (int)CLAMP(autoscaler->tables->settings->cloud_rps * IN_FLIGHT_RPS_SHARE,
                                   IN_FLIGHT_MIN, PM_INTENT_RENTALS_MAX);

    if (!autoscaler->tables->type_count)
        return;
    pm_autoscaler_mark_scale_in(autoscaler, now);
    pm_autoscaler_complete_intents(autoscaler, in_flight_max, now);
    if (autoscaler->budget.in_flight < in_flight_max)
        pm_autoscaler_terminate_due(autoscaler, now);
    /* Nothing is sized while a request is in flight, because the machines that it rents are not
     * known yet. */
    if (autoscaler->budget.in_flight == 0 && are_machines_known(autoscaler, now) &&
        pm_autoscaler_may_scale_out(autoscaler, now))
        scale_out(autoscaler, in_flight_max, now, wall_now);
    pm_autoscaler_continue_inventory(autoscaler, now);
    pm_autoscaler_start_inventory(autoscaler, now);
    if (now - autoscaler->types_request.sent_at > MACHINE_TYPES_INTERVAL_S)
        pm_autoscaler_request_machine_types(autoscaler, now);
}
