#include "roles/internal.h"
#include "base/clock.h"
#include "base/log.h"
#include "roles/audit_log.h"
#include "links/trace.h"

#include <stdio.h>
#include <string.h>

/* ---- telling ---- */

void pm_roles_log_action(struct pm_roles *d, enum pm_role duty, const char *event, const char *name,
                         const char *detail)
{
    const char *duty_name = pm_role_name(duty);

    if (d->trace)
        pm_links_trace_change(d->trace, "intent", name, duty_name, event, detail);
    if (d->record)
        pm_audit_log_append(d->record, event, duty_name, name, detail);
}

void pm_roles_log_change(struct pm_roles *d, enum pm_role duty, const char *event, uint64_t token,
                         const char *why)
{
    char text[32];

    snprintf(text, sizeof text, "%llu", (unsigned long long)token);
    pm_info("role.change", "%s %s, token %s%s%s", pm_role_name(duty), event, text, *why ? ": " : "",
            why);
    if (d->trace)
        pm_links_trace_change(d->trace, "duty", pm_role_name(duty), text, event, why);
    if (d->record)
        pm_audit_log_append(d->record, event, pm_role_name(duty), text, why);
}

/* ---- time ---- */

void pm_roles_tick(struct pm_roles *d, const struct pm_roles_conditions *grounds, double now)
{
    d->grounds = *grounds;
    for (int duty = 0; duty < PM_ROLE_COUNT; duty++)
        if (pm_roles_follows_lead((enum pm_role)duty) && !grounds->is_leader)
            pm_roles_lose(d, (enum pm_role)duty, "does not lead any more");
    if (!pm_roles_are_active(d) || !pm_store_is_ready(d->store))
        return;
    pm_roles_keep_lease_alive(d, now);
    if (!d->lease_id || now >= d->valid_until)
        return;
    if (grounds->is_leader && grounds->epoch_revision)
        pm_roles_acquire_as_leader(d);
    pm_roles_acquire_if_vacant(d, PM_ROLE_GARBAGE_COLLECTION, now);
    for (int duty = 0; duty < PM_ROLE_COUNT; duty++) {
        pm_roles_drain_if_asked(d, (enum pm_role)duty);
        pm_roles_delete_closed_intents(d, (enum pm_role)duty, now);
    }
}

/* ---- the replica's feed ---- */

static void put_holder(struct pm_roles *d, enum pm_role name, const cbor_item_t *value,
                       uint64_t revision)
{
    struct duty *duty = &d->duty[name];
    uint64_t lease_id = 0;

    if (revision < duty->revision)
        return;
    if (revision > duty->revision)
        duty->held_since = pm_clock_monotonic();
    duty->revision = revision;
    duty->unreadable =
        !pm_cbor_read_text(pm_cbor_get(value, "holder"), duty->holder, sizeof duty->holder) ||
        !pm_cbor_read_text(pm_cbor_get(value, "boot"), duty->boot, sizeof duty->boot) ||
        !pm_cbor_read_count(pm_cbor_get(value, "lease"), &lease_id);
    if (duty->unreadable) {
        pm_error("role.unreadable", PM_ROLE_KEY_PREFIX "%s: kept, nobody takes the duty",
                 pm_role_name(name));
        duty->holder[0] = duty->boot[0] = 0;
    }
    if (!pm_roles_is_ours(d, duty)) {
        if (revision > duty->token)
            pm_roles_lose(d, name, "another controller holds it");
    } else if (lease_id == d->lease_id && (d->grounds.is_leader || !pm_roles_follows_lead(name))) {
        pm_roles_acquire(d, name, revision); /* the answer to our transaction may have been lost */
    }
}

static void put_drain(struct pm_roles *d, enum pm_role name, const cbor_item_t *value,
                      uint64_t revision)
{
    struct duty *duty = &d->duty[name];

    duty->drain_revision = revision;
    if (!pm_cbor_read_count(pm_cbor_get(value, "token"), &duty->drain_token)) {
        duty->drain_token = 0;
        pm_error("role.unreadable", PM_ROLE_DRAIN_KEY_PREFIX "%s: not obeyed", pm_role_name(name));
    }
}

bool pm_roles_apply_put(struct pm_roles *d, const char *key, const cbor_item_t *value,
                        uint64_t revision)
{
    int duty;

    if (g_str_has_prefix(key, PM_INTENT_KEY_PREFIX)) {
        pm_roles_apply_intent_put(d, key, value, revision);
        return true;
    }
    if (g_str_has_prefix(key, PM_ROLE_KEY_PREFIX)) {
        duty = pm_role_find(key + strlen(PM_ROLE_KEY_PREFIX));
        if (duty >= 0)
            put_holder(d, (enum pm_role)duty, value, revision);
        else
            pm_error("role.unreadable", "%s: no such duty, kept", key);
        return true;
    }
    if (g_str_has_prefix(key, PM_ROLE_DRAIN_KEY_PREFIX)) {
        duty = pm_role_find(key + strlen(PM_ROLE_DRAIN_KEY_PREFIX));
        if (duty >= 0)
            put_drain(d, (enum pm_role)duty, value, revision);
        return true;
    }
    return false;
}

static void drop_holder(struct pm_roles *d, enum pm_role name, uint64_t revision)
{
    struct duty *duty = &d->duty[name];
    bool was_asked = duty->token && duty->drain_token == duty->token;

    if (revision < duty->revision)
        return;
    duty->revision = 0;
    duty->unreadable = false;
    duty->holder[0] = 0;
    duty->held_since = pm_clock_monotonic();
    if (revision <= duty->token)
        return;
    if (was_asked) /* told before, or in place of, the answer to our transaction */
        pm_roles_drained(d, name);
    else
        pm_roles_lose(d, name, "its key has gone");
}

void pm_roles_apply_delete(struct pm_roles *d, const char *key, uint64_t revision)
{
    int duty;

    if (g_str_has_prefix(key, PM_INTENT_KEY_PREFIX)) {
        g_hash_table_remove(d->intents, key + strlen(PM_INTENT_KEY_PREFIX));
    } else if (g_str_has_prefix(key, PM_ROLE_KEY_PREFIX)) {
        duty = pm_role_find(key + strlen(PM_ROLE_KEY_PREFIX));
        if (duty >= 0)
            drop_holder(d, (enum pm_role)duty, revision);
    } else if (g_str_has_prefix(key, PM_ROLE_DRAIN_KEY_PREFIX)) {
        duty = pm_role_find(key + strlen(PM_ROLE_DRAIN_KEY_PREFIX));
        if (duty >= 0)
            d->duty[duty].drain_revision = d->duty[duty].drain_token = 0;
    }
}

void pm_roles_snapshot_begin(struct pm_roles *d)
{
    if (d->listed)
        g_hash_table_destroy(d->listed);
    d->listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int duty = 0; duty < PM_ROLE_COUNT; duty++) {
        d->duty[duty].revision = 0;
        d->duty[duty].unreadable = false;
        d->duty[duty].drain_revision = d->duty[duty].drain_token = 0;
    }
}

void pm_roles_snapshot_end(struct pm_roles *d)
{
    GHashTableIter iter;
    gpointer name;

    if (!d->listed)
        return;
    g_hash_table_iter_init(&iter, d->intents);
    while (g_hash_table_iter_next(&iter, &name, NULL))
        if (!g_hash_table_contains(d->listed, name))
            g_hash_table_iter_remove(&iter);
    g_hash_table_destroy(d->listed);
    d->listed = NULL;
    for (int duty = 0; duty < PM_ROLE_COUNT; duty++)
        if (d->duty[duty].token && !pm_roles_is_ours(d, &d->duty[duty]))
            pm_roles_lose(d, (enum pm_role)duty, "its key has gone");
}

/* ---- status ---- */

void pm_roles_encode_status(const struct pm_roles *d, struct pm_buf *out, double now)
{
    pm_put_list(out);
    for (int name = 0; name < PM_ROLE_COUNT; name++) {
        const struct duty *duty = &d->duty[name];
        pm_put_map(out);
        pm_put_pair_text(out, "duty", pm_role_name((enum pm_role)name));
        pm_put_pair_text(out, "holder", duty->holder);
        pm_put_pair_count(out, "token", duty->revision);
        pm_put_pair_flag(out, "holds", pm_roles_holds(d, (enum pm_role)name, now));
        pm_put_pair_flag(out, "draining", duty->drain_token && duty->drain_token == duty->revision);
        pm_put_pair_flag(out, "unreadable", duty->unreadable);
        pm_put_pair_number(out, "held_for_s", duty->held_since > 0 ? now - duty->held_since : 0);
        if (duty->token)
            pm_put_pair_number(out, "renewed_ago_s", now - d->lease_sent);
        pm_put_pair_count(out, "open_intents", pm_roles_count(d, (enum pm_role)name, false));
        pm_put_end(out);
    }
    pm_put_end(out);
}

/* ---- making it ---- */

static void free_intent(gpointer intent)
{
    pm_intent_free(intent);
}

struct pm_roles *pm_roles_new(struct pm_store *store, const struct pm_settings *settings,
                              const struct pm_roles_setting *setting, const char *boot,
                              struct pm_links_trace *trace, struct pm_audit_log *record,
                              const struct pm_roles_hooks *hooks)
{
    struct pm_roles *d = g_new0(struct pm_roles, 1);

    d->store = store;
    d->settings = settings;
    d->setting = setting;
    d->boot = boot;
    d->trace = trace;
    d->record = record;
    d->hooks = *hooks;
    d->intents = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_intent);
    d->writing = g_hash_table_new(g_str_hash, g_str_equal);
    return d;
}

void pm_roles_free(struct pm_roles *d)
{
    g_hash_table_destroy(d->intents);
    g_hash_table_destroy(d->writing);
    if (d->listed)
        g_hash_table_destroy(d->listed);
    g_free(d);
}
