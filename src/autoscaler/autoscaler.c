#include "autoscaler/internal.h"

#include <string.h>

#define LIST_AWAITED_S 5.0 /* after taking the lead, unless the list comes sooner */

enum { RENT_MAX = 64, TYPES_PACE_S = 60, IN_FLIGHT_LEAST = 3 };

struct pm_autoscaler *pm_autoscaler_new(struct pm_http_client *http, struct pm_name_tables *tables,
                                        struct pm_jobs *jobs, struct pm_workers *workers,
                                        struct pm_scheduler *plan,
                                        const struct pm_operator_settings *op,
                                        const struct pm_autoscaler_hooks *hooks)
{
    struct pm_autoscaler *f = g_new0(struct pm_autoscaler, 1);

    f->http = http;
    f->tables = tables;
    f->jobs = jobs;
    f->workers = workers;
    f->plan = plan;
    f->op = op;
    f->hooks = *hooks;
    f->tokens = 1;
    f->gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    f->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    f->bins = g_array_new(FALSE, FALSE, sizeof(struct bin));
    return f;
}

void pm_autoscaler_set_duties(struct pm_autoscaler *f, struct pm_roles *duties)
{
    f->duties = duties;
}

void pm_autoscaler_free(struct pm_autoscaler *f)
{
    g_hash_table_destroy(f->seen);
    g_hash_table_destroy(f->gone);
    g_array_free(f->bins, TRUE);
    g_free(f);
}

void pm_autoscaler_reset(struct pm_autoscaler *f, uint64_t epoch)
{
    f->epoch = epoch;
    f->round++;
    f->bookings = 0;
    f->in_flight = 0;
    f->list_busy = f->page_due = f->list_known = false;
    f->listed = 0;
    f->flow = f->flow_jobs = f->flow_since = 0;
    f->since[0] = 0;
    g_hash_table_remove_all(f->seen);
    memset(f->kind, 0, sizeof f->kind);
    memset(f->zone_heard, 0, sizeof f->zone_heard);
}

void pm_autoscaler_decode_silent_zones(struct pm_autoscaler *f, const cbor_item_t *ledger,
                                       double now, double day)
{
    const struct pm_settings *s = f->tables->settings;
    const cbor_item_t *heard = pm_cbor_get(ledger, "heard");
    double at;
    double written;

    f->took_at = now;
    if (!pm_cbor_read_number(pm_cbor_get(ledger, "day"), &written))
        return;
    /* One that was heard then may have been heard long after: nothing is known of it. */
    for (int z = 0; z < s->zone_count; z++)
        if (pm_cbor_read_number(pm_cbor_get(heard, s->zone_names[z]), &at) &&
            written - at > 1.6 * s->heartbeat_s + 1)
            f->zone_heard[z] = MIN(now - (day - at), now);
}

bool pm_autoscaler_may_call(struct pm_autoscaler *f, double now)
{
    double rate = f->tables->settings->cloud_rps * 0.85;

    f->tokens = MIN(f->tokens + (now - f->filled) * rate, rate * 1.7);
    f->filled = now;
    if (f->tokens < 1)
        return false;
    f->tokens -= 1;
    return true;
}

void pm_autoscaler_set_writable(struct pm_autoscaler *f, bool writable, double now)
{
    if (writable)
        f->wrote_at = now;
    f->writable = writable;
}

/* Whether the machines that there are were told, if the cloud tells them at all. Before that a new
 * leader, to which no worker has reported yet, would rent for all that runs and waits. */
static bool knows_machines(const struct pm_autoscaler *f, double now)
{
    return f->list_known || now - f->took_at > LIST_AWAITED_S;
}

/* Requests for what is to be rented, of so many machines as the cloud takes in one. */
static int split_rents(const struct pm_scale_out_request *rents, int count,
                       struct pm_scale_out_request *out, int most)
{
    int n = 0;

    for (int i = 0; i < count; i++)
        for (int left = rents[i].count; left > 0 && n < most; left -= PM_INTENT_RENTED) {
            out[n] = rents[i];
            out[n++].count = MIN(left, PM_INTENT_RENTED);
        }
    return n;
}

static void rent_due(struct pm_autoscaler *f, int in_flight_max, double now, double day)
{
    struct pm_scale_out_request rents[RENT_MAX];
    struct pm_scale_out_request requests[PM_INTENT_RENTALS];
    int count = pm_autoscaler_size(f, now, day, rents, RENT_MAX);

    count = split_rents(rents, count, requests, in_flight_max);
    if (count)
        pm_autoscaler_scale_out(f, requests, count, now);
}

void pm_autoscaler_run(struct pm_autoscaler *f, double now, double day)
{
    int in_flight_max =
        (int)CLAMP(f->tables->settings->cloud_rps * 0.6, IN_FLIGHT_LEAST, PM_INTENT_RENTALS);

    if (!f->tables->type_count)
        return;
    pm_autoscaler_mark_scale_in(f, now);
    pm_autoscaler_finish_intents(f, in_flight_max, now);
    if (f->in_flight < in_flight_max)
        pm_autoscaler_terminate_due(f, now);
    /* Sized only with no request under way: its machines are not in the tables yet. */
    if (f->in_flight == 0 && knows_machines(f, now) && pm_autoscaler_may_scale_out(f, now))
        rent_due(f, in_flight_max, now, day);
    pm_autoscaler_continue_inventory(f, now);
    pm_autoscaler_start_inventory(f, now);
    if (now - f->types_asked > TYPES_PACE_S)
        pm_autoscaler_request_machine_types(f, now);
}
