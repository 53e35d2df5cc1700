/* Applies changes of the replica to the roles' holders, the drain requests and the open intents. */
#include "base/keys.h"
#include "base/clock.h"
#include "base/log.h"
#include "roles/internal.h"

#include <string.h>

/* Returns whether the key starts with `prefix`. If it does, sets `name` to the rest of the key,
 * borrowed from `key`. */
static bool split_key(const char *key, const char *prefix, const char **name)
{
    if (!g_str_has_prefix(key, prefix))
        return false;
    *name = key + strlen(prefix);
    return true;
}

/* ---- puts ---- */

/* Decodes the holder's name, incarnation id and lease. Returns false if the value is malformed. */
static bool decode_holder(struct pm_role_holder *holder, const cbor_item_t *value,
                          uint64_t *lease_id)
{
    return pm_cbor_read_text(pm_cbor_get(value, "holder"), holder->name, sizeof holder->name) &&
           pm_cbor_read_text(pm_cbor_get(value, "boot"), holder->incarnation_id,
                             sizeof holder->incarnation_id) &&
           pm_cbor_read_uint(pm_cbor_get(value, "lease"), lease_id);
}

/* Decodes the holder. A malformed value is logged, and makes the holder unreadable. */
static void read_holder(struct pm_role_holder *holder, enum pm_role role, const cbor_item_t *value,
                        uint64_t *lease_id)
{
    holder->is_unreadable = !decode_holder(holder, value, lease_id);
    if (!holder->is_unreadable)
        return;
    pm_error("role.unreadable",
             PM_KEY_ROLE_PREFIX "%s: the holder's value is malformed; the key is kept, and no "
                                "controller acquires the role",
             pm_role_name(role));
    holder->name[0] = 0;
    holder->incarnation_id[0] = 0;
}

static void apply_holder_put(struct pm_roles *roles, enum pm_role role, const cbor_item_t *value,
                             uint64_t revision)
{
    struct pm_role_state *state = &roles->states[role];
    struct pm_role_holder *holder = &state->holder;
    uint64_t lease_id = 0;

    if (revision < holder->revision)
        return;
    if (revision > holder->revision)
        holder->changed_at = pm_clock_monotonic();
    holder->revision = revision;
    read_holder(holder, role, value, &lease_id);
    if (!pm_roles_is_own_holder(roles, holder)) {
        if (revision > state->claim.token)
            pm_roles_mark_lost(roles, role, "another controller holds it");
        return;
    }
    if (lease_id != roles->lease.id)
        return;
    /* This controller wrote the key under its current lease, so it holds the role, even if the
     * answer to the transaction that acquired the role was lost. */
    if (roles->conditions.is_leader || !pm_role_is_bound_to_leader(role))
        pm_roles_mark_acquired(roles, role, revision);
}

static void apply_drain_request_put(struct pm_roles *roles, enum pm_role role,
                                    const cbor_item_t *value, uint64_t revision)
{
    struct pm_role_drain_request *request = &roles->states[role].drain_request;

    request->revision = revision;
    if (pm_cbor_read_uint(pm_cbor_get(value, "token"), &request->token))
        return;
    request->token = 0;
    pm_error("role.unreadable",
             PM_KEY_DRAIN_PREFIX "%s: the drain request is malformed and ignored",
             pm_role_name(role));
}

bool pm_roles_apply_put(struct pm_roles *roles, const char *key, const cbor_item_t *value,
                        uint64_t revision)
{
    const char *name;
    enum pm_role role;

    if (g_str_has_prefix(key, PM_KEY_INTENT_PREFIX)) {
        pm_roles_apply_intent_put(roles, key, value, revision);
        return true;
    }
    if (split_key(key, PM_KEY_ROLE_PREFIX, &name)) {
        if (pm_role_from_name(name, &role))
            apply_holder_put(roles, role, value, revision);
        else
            pm_error("role.unreadable", "%s: there is no such role; the key is kept", key);
        return true;
    }
    if (split_key(key, PM_KEY_DRAIN_PREFIX, &name)) {
        if (pm_role_from_name(name, &role))
            apply_drain_request_put(roles, role, value, revision);
        return true;
    }
    return false;
}

/* ---- deletes ---- */

static void apply_holder_delete(struct pm_roles *roles, enum pm_role role, uint64_t revision)
{
    struct pm_role_state *state = &roles->states[role];
    struct pm_role_holder *holder = &state->holder;
    uint64_t own_token = state->claim.token;
    bool is_drain_requested = own_token && state->drain_request.token == own_token;

    if (revision < holder->revision)
        return;
    holder->revision = 0;
    holder->is_unreadable = false;
    holder->name[0] = 0;
    holder->changed_at = pm_clock_monotonic();
    if (revision <= own_token)
        return;
    /* The replica may show the deletes before the transaction that drains the role is answered, and
     * the answer may be lost. */
    if (is_drain_requested)
        pm_roles_mark_drained(roles, role);
    else
        pm_roles_mark_lost(roles, role, "its key has gone");
}

static void clear_drain_request(struct pm_roles *roles, enum pm_role role)
{
    roles->states[role].drain_request = (struct pm_role_drain_request){0};
}

void pm_roles_apply_delete(struct pm_roles *roles, const char *key, uint64_t revision)
{
    const char *name;
    enum pm_role role;

    if (split_key(key, PM_KEY_INTENT_PREFIX, &name)) {
        g_hash_table_remove(roles->intents.open, name);
    } else if (split_key(key, PM_KEY_ROLE_PREFIX, &name)) {
        if (pm_role_from_name(name, &role))
            apply_holder_delete(roles, role, revision);
    } else if (split_key(key, PM_KEY_DRAIN_PREFIX, &name)) {
        if (pm_role_from_name(name, &role))
            clear_drain_request(roles, role);
    }
}

/* ---- snapshots ---- */

void pm_roles_snapshot_begin(struct pm_roles *roles)
{
    if (roles->intents.snapshot_names)
        g_hash_table_destroy(roles->intents.snapshot_names);
    roles->intents.snapshot_names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int i = 0; i < PM_ROLE_COUNT; i++) {
        roles->states[i].holder.revision = 0;
        roles->states[i].holder.is_unreadable = false;
        clear_drain_request(roles, (enum pm_role)i);
    }
}

/* Removes the open intents that the snapshot did not contain. */
static void remove_absent_intents(struct pm_roles_intents *intents)
{
    GHashTableIter iter;
    gpointer name;

    g_hash_table_iter_init(&iter, intents->open);
    while (g_hash_table_iter_next(&iter, &name, NULL))
        if (!g_hash_table_contains(intents->snapshot_names, name))
            g_hash_table_iter_remove(&iter);
}

void pm_roles_snapshot_end(struct pm_roles *roles)
{
    if (!roles->intents.snapshot_names)
        return;
    remove_absent_intents(&roles->intents);
    g_hash_table_destroy(roles->intents.snapshot_names);
    roles->intents.snapshot_names = NULL;
    for (int i = 0; i < PM_ROLE_COUNT; i++) {
        const struct pm_role_state *state = &roles->states[i];
        if (state->claim.token && !pm_roles_is_own_holder(roles, &state->holder))
            pm_roles_mark_lost(roles, (enum pm_role)i, "its key has gone");
    }
}
