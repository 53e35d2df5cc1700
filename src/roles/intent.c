#include "roles/intent.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const duty_names[PM_ROLE_COUNT] = {"rent", "return", "clean"};

const char *pm_role_name(enum pm_role duty)
{
    return duty_names[duty];
}

int pm_role_find(const char *name)
{
    for (int duty = 0; duty < PM_ROLE_COUNT; duty++)
        if (!strcmp(name, duty_names[duty]))
            return duty;
    return -1;
}

struct pm_intent *pm_intent_new(enum pm_role duty)
{
    struct pm_intent *intent = g_new0(struct pm_intent, 1);

    intent->duty = duty;
    intent->machines = g_ptr_array_new_with_free_func(g_free);
    intent->rentals = g_array_new(FALSE, TRUE, sizeof(struct pm_intent_rental));
    return intent;
}

void pm_intent_free(struct pm_intent *intent)
{
    if (!intent)
        return;
    g_ptr_array_free(intent->machines, TRUE);
    g_array_free(intent->rentals, TRUE);
    g_free(intent);
}

void pm_intent_set_name(struct pm_intent *intent, uint64_t token, uint64_t number)
{
    intent->token = token;
    snprintf(intent->name, sizeof intent->name, "%s-%llu-%llu", duty_names[intent->duty],
             (unsigned long long)token, (unsigned long long)number);
}

void pm_intent_booking(const struct pm_intent *intent, guint rental, char *out, size_t size)
{
    snprintf(out, size, "%s-%u", intent->name, rental);
}

static void write_rentals(const struct pm_intent *intent, struct pm_buf *out)
{
    pm_put_text(out, "rentals");
    pm_put_list(out);
    for (guint i = 0; i < intent->rentals->len; i++) {
        const struct pm_intent_rental *rental =
            &g_array_index(intent->rentals, struct pm_intent_rental, i);
        pm_put_map(out);
        pm_put_pair_text(out, "type", rental->type);
        pm_put_pair_text(out, "zone", rental->zone);
        pm_put_pair_flag(out, "spot", rental->spot);
        pm_put_pair_count(out, "count", rental->count);
        pm_put_end(out);
    }
    pm_put_end(out);
}

static void write_machines(const struct pm_intent *intent, struct pm_buf *out)
{
    pm_put_text(out, "machines");
    pm_put_list(out);
    for (guint i = 0; i < intent->machines->len; i++)
        pm_put_text(out, g_ptr_array_index(intent->machines, i));
    pm_put_end(out);
}

void pm_intent_write(const struct pm_intent *intent, struct pm_buf *out)
{
    pm_put_map(out);
    pm_put_pair_text(out, "duty", duty_names[intent->duty]);
    pm_put_pair_count(out, "token", intent->token);
    if (intent->duty == PM_ROLE_SCALE_OUT)
        write_rentals(intent, out);
    else
        write_machines(intent, out);
    pm_put_end(out);
}

static bool read_rental(struct pm_intent_rental *rental, const cbor_item_t *value)
{
    return pm_cbor_read_text(pm_cbor_get(value, "type"), rental->type, sizeof rental->type) &&
           pm_cbor_read_text(pm_cbor_get(value, "zone"), rental->zone, sizeof rental->zone) &&
           pm_cbor_read_flag(pm_cbor_get(value, "spot"), &rental->spot) &&
           pm_cbor_read_count(pm_cbor_get(value, "count"), &rental->count) && rental->type[0] &&
           rental->count > 0 && rental->count <= PM_INTENT_RENTED;
}

static bool read_rentals(struct pm_intent *intent, const cbor_item_t *value)
{
    const cbor_item_t *rentals = pm_cbor_get(value, "rentals");

    for (size_t i = 0; i < pm_cbor_length(rentals); i++) {
        struct pm_intent_rental rental = {0};
        if (!read_rental(&rental, pm_cbor_at(rentals, i)))
            return false;
        g_array_append_val(intent->rentals, rental);
    }
    return intent->rentals->len > 0 && intent->rentals->len <= PM_INTENT_RENTALS;
}

static bool read_machines(struct pm_intent *intent, const cbor_item_t *value)
{
    const cbor_item_t *machines = pm_cbor_get(value, "machines");
    char name[PM_NAME_MAX];

    for (size_t i = 0; i < pm_cbor_length(machines); i++) {
        if (!pm_cbor_read_text(pm_cbor_at(machines, i), name, sizeof name) || !name[0])
            return false;
        g_ptr_array_add(intent->machines, g_strdup(name));
    }
    return intent->machines->len > 0 && intent->machines->len <= PM_INTENT_MACHINES;
}

/* Whether the key is the one that its writer gave it. */
static bool read_key(struct pm_intent *intent, const char *key)
{
    const char *name = key + strlen(PM_INTENT_KEY_PREFIX);
    char start[PM_INTENT_NAME];

    snprintf(start, sizeof start, "%s-%llu-", duty_names[intent->duty],
             (unsigned long long)intent->token);
    if (strlen(name) >= sizeof intent->name || !g_str_has_prefix(name, start))
        return false;
    g_strlcpy(intent->name, name, sizeof intent->name);
    return true;
}

struct pm_intent *pm_intent_read(const char *key, const cbor_item_t *value, uint64_t revision)
{
    struct pm_intent *intent;
    char duty_name[16];
    int duty;
    bool well;

    if (!pm_cbor_read_text(pm_cbor_get(value, "duty"), duty_name, sizeof duty_name))
        return NULL;
    duty = pm_role_find(duty_name);
    if (duty != PM_ROLE_SCALE_OUT && duty != PM_ROLE_SCALE_IN)
        return NULL;
    intent = pm_intent_new((enum pm_role)duty);
    intent->revision = revision;
    well = pm_cbor_read_count(pm_cbor_get(value, "token"), &intent->token) &&
           read_key(intent, key) &&
           (duty == PM_ROLE_SCALE_OUT ? read_rentals(intent, value) : read_machines(intent, value));
    if (well)
        return intent;
    pm_intent_free(intent);
    return NULL;
}
