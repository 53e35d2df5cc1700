/* Leases: grants, keep-alives, revocation, and expiry by the clock. */
#include "testing/fake_store_internal.h"
#include "base/clock.h"

#include <stdlib.h>
#include <string.h>

#define EXPIRY_CHECK_S 0.05
#define GRANT_DELAY_S 0.1 /* long enough for watches to report the leader key first */
#define LEADER_KEY "p/lead"

static struct fake_store_lease *find_lease(const struct fake_store *store, uint64_t lease_id)
{
    GArray *live = store->leases.live;

    for (guint i = 0; i < live->len; i++)
        if (g_array_index(live, struct fake_store_lease, i).id == lease_id)
            return &g_array_index(live, struct fake_store_lease, i);
    return NULL;
}

bool fake_store_is_lease_live(struct fake_store *store, uint64_t lease_id)
{
    return !store->leases.live || find_lease(store, lease_id);
}

static void revoke_lease(struct fake_store *store, const struct fake_store_lease *lease)
{
    GArray *live = store->leases.live;
    uint64_t lease_id = lease->id;

    g_array_remove_index(live, (guint)(lease - &g_array_index(live, struct fake_store_lease, 0)));
    fake_store_delete_leased(store, lease_id);
}

void fake_store_revoke_all_leases(struct fake_store *store)
{
    fake_store_delete_leased(store, 0);
}

/* ---- expiry ---- */

static void on_expiry_check(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct fake_store *store = timer->data;
    double now = pm_clock_monotonic();

    (void)loop;
    (void)events;
    for (guint i = store->leases.live->len; i > 0; i--) {
        struct fake_store_lease *lease =
            &g_array_index(store->leases.live, struct fake_store_lease, i - 1);
        if (store->faults.outage) /* no lease expires; after the outage each has its full TTL */
            lease->expires_at = now + lease->ttl_s;
        else if (now > lease->expires_at)
            revoke_lease(store, lease);
    }
}

void fake_store_expire_leases(struct fake_store *store)
{
    store->leases.live = g_array_new(FALSE, FALSE, sizeof(struct fake_store_lease));
    ev_timer_init(&store->leases.expiry_timer, on_expiry_check, EXPIRY_CHECK_S, EXPIRY_CHECK_S);
    store->leases.expiry_timer.data = store;
    ev_timer_start(store->loop, &store->leases.expiry_timer);
}

void fake_store_leases_free(struct fake_store *store)
{
    if (!store->leases.live)
        return;
    ev_timer_stop(store->loop, &store->leases.expiry_timer);
    g_array_free(store->leases.live, TRUE);
}

/* ---- grants ---- */

void fake_store_delay_next_grant(struct fake_store *store)
{
    store->leases.delay_next_grant = true;
}

void fake_store_serve_grant(struct fake_store *store, struct pm_http_request *request)
{
    struct fake_store_lease lease = {0};
    struct pm_buffer out = {0};
    uint64_t ttl_ms = 0;
    cbor_item_t *body;

    if (store->leases.delay_next_grant) {
        store->leases.delay_next_grant = false;
        store->leases.delayed_grant = request;
        return;
    }
    lease.id = ++store->leases.last_id;
    body = pm_cbor_parse(request->body, request->body_size);
    if (store->leases.live && pm_cbor_read_uint(pm_cbor_get(body, "ttl_ms"), &ttl_ms)) {
        lease.ttl_s = (double)ttl_ms / 1000;
        lease.expires_at = pm_clock_monotonic() + lease.ttl_s;
        g_array_append_val(store->leases.live, lease);
    }
    pm_cbor_free(body);
    pm_cbor_put_map(&out);
    pm_cbor_put_pair_uint(&out, "tenure", lease.id);
    pm_cbor_put_end(&out);
    fake_store_reply(request, HTTP_OK, &out);
}

static void on_grant_delay_over(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct fake_store *store = timer->data;

    (void)loop;
    (void)events;
    fake_store_serve_grant(store, store->leases.delayed_grant);
    store->leases.delayed_grant = NULL;
}

void fake_store_schedule_delayed_grant(struct fake_store *store)
{
    ev_timer *timer = &store->leases.grant_timer;

    if (!store->leases.delayed_grant || !g_tree_lookup(store->keys.values, LEADER_KEY) ||
        ev_is_active(timer))
        return;
    ev_timer_init(timer, on_grant_delay_over, GRANT_DELAY_S, 0.);
    timer->data = store;
    ev_timer_start(store->loop, timer);
}

/* ---- keep-alives ---- */

void fake_store_serve_lease(struct fake_store *store, struct pm_http_request *request)
{
    uint64_t lease_id = strtoull(request->path + strlen("/holds/"), NULL, 10);
    struct fake_store_lease *lease;

    if (!store->leases.live) {
        pm_http_reply(request, HTTP_OK, NULL, 0, 0);
        return;
    }
    lease = find_lease(store, lease_id);
    if (!lease) {
        pm_http_reply(request, HTTP_NOT_FOUND, NULL, 0, 0);
        return;
    }
    if (request->method == PM_HTTP_DELETE)
        revoke_lease(store, lease);
    else
        lease->expires_at = pm_clock_monotonic() + lease->ttl_s;
    pm_http_reply(request, HTTP_OK, NULL, 0, 0);
}
