/* Acquires roles, and marks roles as acquired or lost. The transaction that acquires roles fails if
 * one of their keys has changed since the replica received it. */
#include "base/keys.h"
#include "base/clock.h"
#include "roles/internal.h"

#include <string.h>

/* A controller acquires a role that is not bound to the leader after the role has been vacant for
 * this long. */
#define ACQUIRE_DELAY_S 0.6
/* The leader has other work, so it waits longer, and another controller usually acquires the role
 * first. */
#define LEADER_ACQUIRE_DELAY_S 4.0

/* A transaction in flight that acquires roles. */
struct acquire_request {
    struct pm_roles *roles;
    bool wanted[PM_ROLE_COUNT]; /* the roles that the transaction acquires */
    uint64_t lease_id;          /* the lease to which the transaction attaches their keys */
    /* The transaction compares the epoch, and its result counts only while the controller leads. */
    bool as_leader;
};

/* ---- roles held by this controller ---- */

bool pm_roles_is_own_holder(const struct pm_roles *roles, const struct pm_role_holder *holder)
{
    return holder->revision && !strcmp(holder->name, roles->settings->name) &&
           !strcmp(holder->incarnation_id, roles->incarnation_id);
}

void pm_roles_mark_acquired(struct pm_roles *roles, enum pm_role role, uint64_t token)
{
    struct pm_role_state *state = &roles->states[role];
    struct pm_role_holder *holder = &state->holder;

    if (state->claim.token >= token)
        return;
    state->claim.token = token;
    holder->revision = token;
    g_strlcpy(holder->name, roles->settings->name, sizeof holder->name);
    g_strlcpy(holder->incarnation_id, roles->incarnation_id, sizeof holder->incarnation_id);
    holder->changed_at = pm_clock_monotonic();
    pm_roles_log_change(roles, role, "taken", token, "");
}

void pm_roles_mark_lost(struct pm_roles *roles, enum pm_role role, const char *reason)
{
    struct pm_role_state *state = &roles->states[role];

    if (!state->claim.token)
        return;
    pm_roles_log_change(roles, role, "lost", state->claim.token, reason);
    state->claim.token = 0;
    state->holder.changed_at = pm_clock_monotonic();
}

/* ---- the transaction ---- */

/* Whether this controller may use the roles that the transaction acquired. It may not if it got
 * another lease after it sent the transaction, or acquired them as leader and no longer leads. */
static bool is_request_current(const struct acquire_request *request)
{
    const struct pm_roles *roles = request->roles;

    if (request->lease_id != roles->lease.id)
        return false;
    return !request->as_leader || roles->conditions.is_leader;
}

static void on_acquire_done(void *arg, enum pm_store_result result, uint64_t store_revision,
                            const cbor_item_t *conflicting_keys)
{
    struct acquire_request *request = arg;
    struct pm_roles *roles = request->roles;
    bool acquired = result == PM_STORE_OK && is_request_current(request);

    (void)conflicting_keys;
    for (int i = 0; i < PM_ROLE_COUNT; i++) {
        if (!request->wanted[i])
            continue;
        roles->states[i].claim.acquire_in_flight = false;
        if (acquired)
            pm_roles_mark_acquired(roles, (enum pm_role)i, store_revision);
    }
    if (acquired)
        roles->hooks.acquired(roles->hooks.arg);
    g_free(request);
}

/* Appends the stored value that names this controller as holder. */
static void encode_holder(const struct pm_roles *roles, struct pm_buffer *out)
{
    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "holder", roles->settings->name);
    pm_cbor_put_pair_text(out, "boot", roles->incarnation_id);
    pm_cbor_put_pair_uint(out, "lease", roles->lease.id);
    pm_cbor_put_end(out);
}

/* Adds the acquisition of one role to the transaction. */
static void add_acquire(struct pm_roles *roles, struct pm_txn *txn, enum pm_role role)
{
    const struct pm_role_state *state = &roles->states[role];
    char key[PM_NAME_MAX];

    pm_role_format_key(role, key, sizeof key);
    pm_txn_compare(txn, key, state->holder.revision);
    pm_txn_put_begin(txn, key);
    encode_holder(roles, &txn->writes);
    pm_txn_put_end(txn, roles->lease.id);
    if (!state->drain_request.revision)
        return;
    /* The drain request was meant for the previous holder, so it is deleted. */
    pm_role_format_drain_key(role, key, sizeof key);
    pm_txn_compare(txn, key, state->drain_request.revision);
    pm_txn_delete(txn, key);
}

/* Acquires all wanted roles in one transaction. */
static void send_acquire(struct pm_roles *roles, const bool wanted[PM_ROLE_COUNT], bool as_leader)
{
    struct acquire_request *request = g_new0(struct acquire_request, 1);
    struct pm_txn txn = {0};

    request->roles = roles;
    request->lease_id = roles->lease.id;
    request->as_leader = as_leader;
    if (as_leader)
        pm_txn_compare(&txn, PM_KEY_EPOCH, roles->conditions.epoch_revision);
    for (int i = 0; i < PM_ROLE_COUNT; i++) {
        if (!wanted[i])
            continue;
        request->wanted[i] = true;
        roles->states[i].claim.acquire_in_flight = true;
        add_acquire(roles, &txn, (enum pm_role)i);
    }
    pm_store_commit(roles->store, &txn, on_acquire_done, request);
}

/* ---- conditions for acquiring ---- */

static bool may_acquire_as_leader(const struct pm_roles *roles, enum pm_role role)
{
    const struct pm_role_state *state = &roles->states[role];

    return pm_role_is_bound_to_leader(role) && !state->claim.token &&
           !state->claim.acquire_in_flight && !state->holder.is_unreadable;
}

void pm_roles_acquire_as_leader(struct pm_roles *roles)
{
    bool wanted[PM_ROLE_COUNT] = {false};
    bool any = false;

    for (int i = 0; i < PM_ROLE_COUNT; i++) {
        wanted[i] = may_acquire_as_leader(roles, (enum pm_role)i);
        any |= wanted[i];
    }
    if (any)
        send_acquire(roles, wanted, true);
}

/* Whether the role has no holder, or is held by an earlier incarnation of this controller. */
static bool is_vacant(const struct pm_roles *roles, const struct pm_role_holder *holder)
{
    if (holder->is_unreadable)
        return false;
    if (!holder->revision)
        return true;
    return !strcmp(holder->name, roles->settings->name) &&
           strcmp(holder->incarnation_id, roles->incarnation_id) != 0;
}

void pm_roles_acquire_if_vacant(struct pm_roles *roles, enum pm_role role, double now)
{
    struct pm_role_state *state = &roles->states[role];
    struct pm_role_claim *claim = &state->claim;
    double delay_s = roles->conditions.is_leader ? LEADER_ACQUIRE_DELAY_S : ACQUIRE_DELAY_S;
    bool wanted[PM_ROLE_COUNT] = {false};

    if (claim->token || claim->acquire_in_flight || !is_vacant(roles, &state->holder)) {
        claim->vacant_since = 0;
        return;
    }
    if (!claim->vacant_since)
        claim->vacant_since = now;
    if (now < claim->backoff_until || now - claim->vacant_since < delay_s)
        return;
    wanted[role] = true;
    send_acquire(roles, wanted, false);
}
