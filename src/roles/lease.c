/* The lease to which the keys of this controller's roles are attached, and the time until which
 * this controller may act under the lease. */
#include "base/clock.h"
#include "roles/internal.h"

#define KEEP_ALIVES_PER_TTL 3.5 /* two keep-alives in a row may fail before the lease expires */
#define GRANT_RETRY_S 0.5       /* interval between requests while there is no lease */

uint64_t pm_roles_token(const struct pm_roles *roles, enum pm_role role)
{
    return roles->states[role].claim.token;
}

double pm_roles_valid_until(const struct pm_roles *roles, enum pm_role role)
{
    return roles->states[role].claim.token ? roles->lease.valid_until : 0;
}

bool pm_roles_is_holder(const struct pm_roles *roles, enum pm_role role, double now)
{
    return now < pm_roles_valid_until(roles, role);
}

/* Extends the validity after a grant or a keep-alive was answered. The state service counts the TTL
 * from when it executed the request, which is later than `sent_at`. The clocks of both machines may
 * drift, so twice the bound on drift is deducted. This controller thus considers the lease expired
 * no later than the state service does. */
static void extend_validity(struct pm_roles *roles)
{
    double ttl_s = roles->setting->ttl_s;

    roles->lease.valid_until = roles->lease.sent_at + ttl_s * (1 - 2 * PM_CLOCK_DRIFT_MAX);
}

static void on_granted(void *arg, enum pm_store_result result, uint64_t lease_id)
{
    struct pm_roles *roles = arg;

    roles->lease.grant_in_flight = false;
    if (result != PM_STORE_OK)
        return;
    roles->lease.id = lease_id;
    extend_validity(roles);
    pm_roles_tick(roles, &roles->conditions, pm_clock_monotonic()); /* acquires roles at once */
}

static void expire(struct pm_roles *roles)
{
    roles->lease.id = 0;
    roles->lease.valid_until = 0;
    for (int i = 0; i < PM_ROLE_COUNT; i++)
        pm_roles_mark_lost(roles, (enum pm_role)i, "the lease has ended");
}

static void on_kept_alive(void *arg, enum pm_store_result result, uint64_t lease_id)
{
    struct pm_roles *roles = arg;

    roles->lease.keep_alive_in_flight = false;
    if (lease_id != roles->lease.id)
        return;
    if (result == PM_STORE_OK)
        extend_validity(roles);
    else if (result == PM_STORE_NOT_FOUND)
        expire(roles);
}

void pm_roles_keep_lease_alive(struct pm_roles *roles, double now)
{
    struct pm_roles_lease *lease = &roles->lease;
    double ttl_s = roles->setting->ttl_s;

    if (lease->grant_in_flight || lease->keep_alive_in_flight || now < lease->renew_at)
        return;
    lease->sent_at = now;
    if (lease->id) {
        lease->renew_at = now + ttl_s / KEEP_ALIVES_PER_TTL;
        lease->keep_alive_in_flight = true;
        pm_store_lease_keep_alive(roles->store, lease->id, on_kept_alive, roles);
    } else {
        lease->renew_at = now + GRANT_RETRY_S;
        lease->grant_in_flight = true;
        pm_store_lease_grant(roles->store, ttl_s, on_granted, roles);
    }
}
