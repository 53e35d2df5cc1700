#include "base/keys.h"
#include "roles/intent.h"

#include <stdio.h>
#include <string.h>

enum { ROLE_NAME_SIZE = 16 }; /* bytes of a stored role name, including the terminating NUL */

struct pm_intent *pm_intent_new(enum pm_role role)
{
    struct pm_intent *intent = g_new0(struct pm_intent, 1);

    intent->role = role;
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
    snprintf(intent->name, sizeof intent->name, "%s-%llu-%llu", pm_role_name(intent->role),
             (unsigned long long)token, (unsigned long long)number);
}

void pm_intent_format_idempotency_key(const struct pm_intent *intent, guint rental_index, char *out,
                                      size_t size)
{
    snprintf(out, size, "%s-%u", intent->name, rental_index);
}

static void encode_rentals(const struct pm_intent *intent, struct pm_buffer *out)
{
    pm_cbor_put_text(out, "rentals");
    pm_cbor_put_list(out);
    for (guint i = 0; i < intent->rentals->len; i++) {
        const struct pm_intent_rental *rental =
            &g_array_index(intent->rentals, struct pm_intent_rental, i);
        pm_cbor_put_map(out);
        pm_cbor_put_pair_text(out, "type", rental->type);
        pm_cbor_put_pair_text(out, "zone", rental->zone);
        pm_cbor_put_pair_flag(out, "spot", rental->spot);
        pm_cbor_put_pair_uint(out, "count", rental->count);
        pm_cbor_put_end(out);
    }
    pm_cbor_put_end(out);
}

static void encode_machines(const struct pm_intent *intent, struct pm_buffer *out)
{
    pm_cbor_put_text(out, "machines");
    pm_cbor_put_list(out);
    for (guint i = 0; i < intent->machines->len; i++)
        pm_cbor_put_text(out, g_ptr_array_index(intent->machines, i));
    pm_cbor_put_end(out);
}

void pm_intent_encode(const struct pm_intent *intent, struct pm_buffer *out)
{
    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "duty", pm_role_name(intent->role));
    pm_cbor_put_pair_uint(out, "token", intent->token);
    if (intent->role == PM_ROLE_SCALE_OUT)
        encode_rentals(intent, out);
    else
        encode_machines(intent, out);
    pm_cbor_put_end(out);
}

static bool decode_rental(struct pm_intent_rental *rental, const cbor_item_t *value)
{
    return pm_cbor_read_text(pm_cbor_get(value, "type"), rental->type, sizeof rental->type) &&
           pm_cbor_read_text(pm_cbor_get(value, "zone"), rental->zone, sizeof rental->zone) &&
           pm_cbor_read_flag(pm_cbor_get(value, "spot"), &rental->spot) &&
           pm_cbor_read_uint(pm_cbor_get(value, "count"), &rental->count) && rental->type[0] &&
           rental->count > 0 && rental->count <= PM_INTENT_INSTANCES_MAX;
}

static bool decode_rentals(struct pm_intent *intent, const cbor_item_t *value)
{
    const cbor_item_t *rentals = pm_cbor_get(value, "rentals");

    for (size_t i = 0; i < pm_cbor_length(rentals); i++) {
        struct pm_intent_rental rental = {0};
        if (!decode_rental(&rental, pm_cbor_at(rentals, i)))
            return false;
        g_array_append_val(intent->rentals, rental);
    }
    return intent->rentals->len > 0 && intent->rentals->len <= PM_INTENT_RENTALS_MAX;
}

static bool decode_machines(struct pm_intent *intent, const cbor_item_t *value)
{
    const cbor_item_t *machines = pm_cbor_get(value, "machines");
    char name[PM_NAME_MAX];

    for (size_t i = 0; i < pm_cbor_length(machines); i++) {
        if (!pm_cbor_read_text(pm_cbor_at(machines, i), name, sizeof name) || !name[0])
            return false;
        g_ptr_array_add(intent->machines, g_strdup(name));
    }
    return intent->machines->len > 0 && intent->machines->len <= PM_INTENT_MACHINES_MAX;
}

/* Copies the intent's name from its key. Returns false if the name is too long, or does not begin
 * with the intent's role and fencing token. */
static bool decode_name(struct pm_intent *intent, const char *key)
{
    const char *name = key + strlen(PM_KEY_INTENT_PREFIX);
    char prefix[PM_INTENT_NAME_SIZE];

    snprintf(prefix, sizeof prefix, "%s-%llu-", pm_role_name(intent->role),
             (unsigned long long)intent->token);
    if (strlen(name) >= sizeof intent->name || !g_str_has_prefix(name, prefix))
        return false;
    g_strlcpy(intent->name, name, sizeof intent->name);
    return true;
}

/* Reads the role of a stored intent. Returns false if the value names no role, or one that has no
 * intents. */
static bool decode_role(const cbor_item_t *value, enum pm_role *out)
{
    char name[ROLE_NAME_SIZE];

    return pm_cbor_read_text(pm_cbor_get(value, "duty"), name, sizeof name) &&
           pm_role_from_name(name, out) && (*out == PM_ROLE_SCALE_OUT || *out == PM_ROLE_SCALE_IN);
}

static bool decode_content(struct pm_intent *intent, const cbor_item_t *value)
{
    if (intent->role == PM_ROLE_SCALE_OUT)
        return decode_rentals(intent, value);
    return decode_machines(intent, value);
}

struct pm_intent *pm_intent_decode(const char *key, const cbor_item_t *value, uint64_t revision)
{
    struct pm_intent *intent;
    enum pm_role role;

    if (!decode_role(value, &role))
        return NULL;
    intent = pm_intent_new(role);
    intent->revision = revision;
    if (pm_cbor_read_uint(pm_cbor_get(value, "token"), &intent->token) &&
        decode_name(intent, key) && decode_content(intent, value))
        return intent;
    pm_intent_free(intent);
    return NULL;
}
