/* Releases a role at an operator's request. */
#include "base/clock.h"
#include "roles/internal.h"

/* After a drain, this controller leaves the role to the others for this long. */
#define DRAIN_BACKOFF_S 15.0

/* A transaction in flight that releases a role. */
struct drain_transaction {
    struct pm_roles *roles;
    enum pm_role role;
    uint64_t token;
};

void pm_roles_mark_drained(struct pm_roles *roles, enum pm_role role)
{
    roles->states[role].claim.backoff_until = pm_clock_monotonic() + DRAIN_BACKOFF_S;
    pm_roles_mark_lost(roles, role, "drained");
    roles->hooks.drained(roles->hooks.arg, role);
}

static void on_drain_done(void *arg, enum pm_store_result result, uint64_t store_revision,
                          const cbor_item_t *conflicting_keys)
{
    struct drain_transaction *drain = arg;
    struct pm_role_claim *claim = &drain->roles->states[drain->role].claim;

    (void)store_revision;
    (void)conflicting_keys;
    claim->drain_in_flight = false;
    /* If the replica showed the deletes before this answer arrived, the role is already marked as
     * drained. */
    if (result == PM_STORE_OK && claim->token == drain->token)
        pm_roles_mark_drained(drain->roles, drain->role);
    g_free(drain);
}

void pm_roles_drain_if_requested(struct pm_roles *roles, enum pm_role role)
{
    struct pm_role_state *state = &roles->states[role];
    struct pm_role_claim *claim = &state->claim;
    struct drain_transaction *drain;
    struct pm_txn txn = {0};
    char key[PM_NAME_MAX];

    if (!claim->token || claim->drain_in_flight || state->drain_request.token != claim->token)
        return;
    claim->drain_in_flight = true;
    drain = g_new(struct drain_transaction, 1);
    *drain = (struct drain_transaction){.roles = roles, .role = role, .token = claim->token};
    pm_role_format_key(role, key, sizeof key);
    pm_txn_compare(&txn, key, claim->token);
    pm_txn_delete(&txn, key);
    pm_role_format_drain_key(role, key, sizeof key);
    pm_txn_compare(&txn, key, state->drain_request.revision);
    pm_txn_delete(&txn, key);
    pm_store_commit(roles->store, &txn, on_drain_done, drain);
}
