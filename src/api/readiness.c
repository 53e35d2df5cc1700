/* The readiness probe: whether the load balancer should send requests to this controller. */
#include "api/internal.h"
#include "base/clock.h"

/* The state service counts as reachable for this long after an answer. */
#define REACHABLE_S 4.0
#define PROBE_INTERVAL_S 1.0 /* between reads while no other request gets answers */

static void on_probe_done(void *arg, bool ok)
{
    (void)arg;
    (void)ok;
}

/* Sends a read if the state service has not answered recently, which may only be due to a lack of
 * requests. The next readiness probe uses the result. */
static void probe_store(struct pm_api *api, double now, double unanswered_s)
{
    if (unanswered_s <= PROBE_INTERVAL_S || now - api->last_probe_at <= PROBE_INTERVAL_S)
        return;
    api->last_probe_at = now;
    pm_store_linearizable_read(api->store, on_probe_done, api);
}

void pm_api_handle_readiness_probe(struct pm_api *api, struct pm_http_request *http,
                                   bool refused_alone)
{
    double now = pm_clock_monotonic();
    double unanswered_s = now - pm_store_last_served_at(api->store);
    bool is_store_usable = pm_store_is_ready(api->store) && unanswered_s < REACHABLE_S;
    bool is_ready;

    if (http->method != PM_HTTP_GET) {
        pm_api_reply_error(http, PM_API_METHOD_NOT_ALLOWED, "method");
        return;
    }
    /* If the state service refuses every controller, this one stays ready and answers requests with
     * a 503 and Retry-After: no other controller could serve them, and afterwards users would have
     * to wait until the load balancer sends requests again. If the state service refuses only this
     * controller or cannot be reached from it, other controllers can serve the requests. */
    is_ready = !refused_alone && (pm_store_is_refusing(api->store) || is_store_usable);
    probe_store(api, now, unanswered_s);
    if (is_ready)
        pm_http_reply(http, PM_API_OK, NULL, 0, 0);
    else
        pm_http_reply(http, PM_API_UNAVAILABLE, NULL, 0, PM_API_RETRY_SOON_S);
}
