/* Decodes machine types. The provider's answer and the stored key p/types have the same format, a
 * list of maps with these fields:
 *   sku            name of the type
 *   cpus, accelerators, ram_gb, local_gb   resources of a machine; local_gb is disk
 *   price          price of an ordinary machine
 *   market_price   price of a spot machine; absent if it equals `price`
 *   ready_s        seconds from the request until a machine is up
 *   pull_gb_per_s  rate at which a machine fetches images
 *   rooms          zones that offer the type */
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

/* Skips zones that the settings do not name. */
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

/* Decodes one machine type into `type`, and its name into `name`, a buffer of PM_NAME_MAX bytes.
 * Returns false if the entry is malformed. */
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
            pm_error("autoscaler.machine_types",
                     "machine type %s is ignored: at most %d types are supported", name,
                     PM_MACHINE_TYPES_MAX);
            continue;
        }
        tables->types[index] = type;
    }
    tables->type_count = MIN(pm_names_count(tables->type_names), PM_MACHINE_TYPES_MAX);
    return true;
}
