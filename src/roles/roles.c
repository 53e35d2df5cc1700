/* Construction, the periodic step and the status report of the singleton roles. */
#include "roles/internal.h"

/* ---- construction ---- */

static void free_intent(gpointer intent)
{
    pm_intent_free(intent);
}

struct pm_roles *pm_roles_new(struct pm_store *store, const struct pm_settings *settings,
                              const struct pm_roles_setting *setting, const char *incarnation_id,
                              struct pm_links_trace *trace, struct pm_audit_log *audit_log,
                              const struct pm_roles_hooks *hooks)
{
    struct pm_roles *roles = g_new0(struct pm_roles, 1);

    roles->store = store;
    roles->settings = settings;
    roles->setting = setting;
    roles->incarnation_id = incarnation_id;
    roles->trace = trace;
    roles->audit_log = audit_log;
    roles->hooks = *hooks;
    /* The keys of both tables are the names inside the intents, so the tables do not free them. */
    roles->intents.open = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_intent);
    roles->intents.writes = g_hash_table_new(g_str_hash, g_str_equal);
    return roles;
}

void pm_roles_free(struct pm_roles *roles)
{
    g_hash_table_destroy(roles->intents.open);
    g_hash_table_destroy(roles->intents.writes);
    if (roles->intents.snapshot_names)
        g_hash_table_destroy(roles->intents.snapshot_names);
    g_free(roles);
}

/* ---- the periodic step ---- */

bool pm_roles_is_active(const struct pm_roles *roles)
{
    if (!roles->conditions.is_supported)
        return false;
    return roles->setting->enabled || g_hash_table_size(roles->intents.open) > 0;
}

static void lose_leader_roles(struct pm_roles *roles)
{
    for (int i = 0; i < PM_ROLE_COUNT; i++)
        if (pm_role_is_bound_to_leader((enum pm_role)i))
            pm_roles_mark_lost(roles, (enum pm_role)i, "does not lead any more");
}

void pm_roles_tick(struct pm_roles *roles, const struct pm_roles_conditions *conditions, double now)
{
    roles->conditions = *conditions;
    if (!conditions->is_leader)
        lose_leader_roles(roles);
    if (!pm_roles_is_active(roles) || !pm_store_is_ready(roles->store))
        return;
    pm_roles_keep_lease_alive(roles, now);
    if (!roles->lease.id || now >= roles->lease.valid_until)
        return;
    if (conditions->is_leader && conditions->epoch_revision)
        pm_roles_acquire_as_leader(roles);
    pm_roles_acquire_if_vacant(roles, PM_ROLE_GARBAGE_COLLECTION, now);
    for (int i = 0; i < PM_ROLE_COUNT; i++) {
        pm_roles_drain_if_requested(roles, (enum pm_role)i);
        pm_roles_delete_closing_intents(roles, (enum pm_role)i, now);
    }
}

/* ---- status ---- */

static void encode_role_status(const struct pm_roles *roles, enum pm_role role,
                               struct pm_buffer *out, double now)
{
    const struct pm_role_state *state = &roles->states[role];
    const struct pm_role_holder *holder = &state->holder;
    uint64_t drain_token = state->drain_request.token;
    double held_s = holder->changed_at > 0 ? now - holder->changed_at : 0;

    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "duty", pm_role_name(role));
    pm_cbor_put_pair_text(out, "holder", holder->name);
    pm_cbor_put_pair_uint(out, "token", holder->revision);
    pm_cbor_put_pair_flag(out, "holds", pm_roles_is_holder(roles, role, now));
    pm_cbor_put_pair_flag(out, "draining", drain_token && drain_token == holder->revision);
    pm_cbor_put_pair_flag(out, "unreadable", holder->is_unreadable);
    pm_cbor_put_pair_number(out, "held_for_s", held_s);
    if (state->claim.token)
        pm_cbor_put_pair_number(out, "renewed_ago_s", now - roles->lease.sent_at);
    pm_cbor_put_pair_uint(out, "open_intents", pm_roles_count_open_intents(roles, role));
    pm_cbor_put_end(out);
}

void pm_roles_encode_status(const struct pm_roles *roles, struct pm_buffer *out, double now)
{
    pm_cbor_put_list(out);
    for (int i = 0; i < PM_ROLE_COUNT; i++)
        encode_role_status(roles, (enum pm_role)i, out, now);
    pm_cbor_put_end(out);
}
