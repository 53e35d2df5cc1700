/* Creates and frees the client. Its parts are in files of their own, see internal.h. */
#include "store/internal.h"

#define MIN_REQUESTS_PER_S 0.1

struct pm_store *pm_store_new(struct ev_loop *loop, struct pm_http_client *http,
                              const char *address, double writes_per_s,
                              const struct pm_store_observer *observer)
{
    struct pm_store *store = g_new0(struct pm_store, 1);

    store->loop = loop;
    store->http = http;
    g_strlcpy(store->address, address, sizeof store->address);
    store->observer = *observer;
    store->min_request_interval_s = PM_STORE_MIN_REQUEST_INTERVAL_S;
    pm_store_budget_init(store, writes_per_s);
    pm_store_reads_init(store);
    pm_store_replica_start(store);
    return store;
}

void pm_store_free(struct pm_store *store)
{
    pm_store_replica_stop(store);
    pm_store_reads_clear(store);
    g_free(store);
}

void pm_store_set_request_rate(struct pm_store *store, double requests_per_s)
{
    double interval_s = 1 / MAX(requests_per_s, MIN_REQUESTS_PER_S);

    store->min_request_interval_s = MAX(PM_STORE_MIN_REQUEST_INTERVAL_S, interval_s);
}
