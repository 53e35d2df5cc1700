/* Connection health: when and how the state service last answered, and how fast it answers. */
#include "store/internal.h"
#include "base/clock.h"
#include "base/log.h"

#define LATENCY_WEIGHT 0.1 /* weight of the latest answer in the moving average */

bool pm_store_record_status(struct pm_store *store, int status)
{
    struct pm_store_health *health = &store->health;

    if (status == PM_STORE_UNAVAILABLE && !health->is_refusing)
        pm_info("store.refusing", "the state service refuses requests (HTTP status 503)");
    if (status > 0)
        health->is_refusing = status == PM_STORE_UNAVAILABLE;
    if (status == PM_STORE_UNAVAILABLE)
        health->last_refused_at = pm_clock_monotonic();
    if (status > 0 && status != PM_STORE_UNAVAILABLE)
        health->last_served_at = pm_clock_monotonic();
    return status == PM_STORE_OK;
}

void pm_store_record_latency(struct pm_store *store, double sent_at)
{
    double latency_s = pm_clock_monotonic() - sent_at;

    store->health.latency_s += (latency_s - store->health.latency_s) * LATENCY_WEIGHT;
}

bool pm_store_is_refusing(const struct pm_store *store)
{
    return store->health.is_refusing;
}

double pm_store_last_served_at(const struct pm_store *store)
{
    return store->health.last_served_at;
}

double pm_store_last_refused_at(const struct pm_store *store)
{
    return store->health.last_refused_at;
}

double pm_store_latency_s(const struct pm_store *store)
{
    return store->health.latency_s;
}
