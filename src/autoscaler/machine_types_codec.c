/* Decodes machine types, as the provider sends them and as key p/types stores them: a list of maps.
 *   sku            the type's name
 *   cpus, accelerators, ram_gb, local_gb   its resources; local_gb is disk
 *   price          of an ordinary machine; `market_price` of a spot one, if it differs
 *   ready_s        seconds from the request until a machine is up
 *   pull_gb_per_s  the rate at which it fetches images
 *   rooms          the zones that have it */
#include "autoscaler/autoscaler.h"
#include "base/log.h"

static void decode_optional(const cbor_item_t *item, struct pm_machine_type *type)
{
    pm_cbor_read_number(pm_cbor_get(item, "accelerators"), &type->gpus);
    pm_cbor_read_number(pm_cbor_get(item, "local_gb"), &type->local_gb);
    pm_cbor_read_number(pm_cbor_get(item, "pull_gb_per_s"), &type->pull_gb_per_s);
    pm_cbor_read_number(pm_cbor_get(item, "ready_s"), &type->ready_s);
    if (!pm_cbor_read_number(pm_cbor_get(item, "market_price"), &type->spot_price))
        type->spot_price = type->price;
}

/* Zones that the settings do not name are left out. */
static void decode_zones(const cbor_item_t *zones, const struct pm_settings *settings,
                         struct pm_machine_type *type)
{
    char name[PM_NAME_MAX];

    for (size_t i = 0; i < pm_cbor_length(zones); i++) {
        int zone = -1;
        if (pm_cbor_read_text(pm_cbor_at(zones, i), name, sizeof name))
            zone = pm_settings_find_zone(settings, name);
        if (zone >= 0)
            type->zones |= 1u << zone;
    }
}

/* Decodes one type, and its name to `name`, of PM_NAME_MAX bytes. False when it is malformed. */
static bool decode_type(const cbor_item_t *item, const struct pm_settings *settings, char *name,
                        struct pm_machine_type *type)
{
    if (!pm_cbor_read_text(pm_cbor_get(item, "sku"), name, PM_NAME_MAX) ||
        !pm_cbor_read_number(pm_cbor_get(item, "cpus"), &type->cpus) ||
        !pm_cbor_read_number(pm_cbor_get(item, "ram_gb"), &type->ram_gb) ||
        !pm_cbor_read_number(pm_cbor_get(item, "price"), &type->price))
        return false;
    decode_optional(item, type);
    decode_zones(pm_cbor_get(item, "rooms"), settings, type);
    return true;
}

bool pm_machine_types_decode(struct pm_name_tables *tables, const cbor_item_t *models)
{
    char name[PM_NAME_MAX];

    if (!pm_cbor_length(models))
        return false;
    for (size_t i = 0; i < pm_cbor_length(models); i++) {
        struct pm_machine_type type = {0};
        int index;
        if (!decode_type(pm_cbor_at(models, i), tables->settings, name, &type))
            return false;
        index = pm_names_intern(tables->type_names, name);
        if (index >= PM_MACHINE_TYPES_MAX) {
            pm_error("autoscaler.machine_types", "%s is not used: only %d types are", name,
                     PM_MACHINE_TYPES_MAX);
            continue;
        }
        tables->types[index] = type;
    }
    tables->type_count = MIN(pm_names_count(tables->type_names), PM_MACHINE_TYPES_MAX);
    return true;
}
