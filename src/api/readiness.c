/* The readiness probe, by which the load balancer chooses the controllers that get requests. */
#include "api/internal.h"
#include "base/clock.h"

#define REACHABLE_S 4.0 /* the state service counts as reachable for this long after an answer */
#define PROBE_INTERVAL_S 1.0 /* without other answers, a read is sent this often */

static void on_probe_done(void *arg, bool ok)
{
    (void)arg;
    (void)ok;
}

/* Without requests the state service may go unasked for long: a read then shows whether it can be
 * reached, to the next probe. */
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
    bool is_following = pm_store_is_ready(api->store) && unanswered_s < REACHABLE_S;
    bool is_ready;

    if (http->method != PM_HTTP_GET) {
        pm_api_reply_error(http, PM_API_METHOD_NOT_ALLOWED, "method");
        return;
    }
    /* When the state service refuses every controller, sending users elsewhere does not help, and
     * they would have to wait for the load balancer afterwards: they get a 503 with Retry-After
     * here. When it is out of reach of, or refuses, this controller alone, others can serve them.
     */
    is_ready = !refused_alone && (pm_store_is_refusing(api->store) || is_following);
    probe_store(api, now, unanswered_s);
    if (is_ready)
        pm_http_reply(http, PM_API_OK, NULL, 0, 0);
    else
        pm_http_reply(http, PM_API_UNAVAILABLE, NULL, 0, PM_API_RETRY_SOON_S);
}
