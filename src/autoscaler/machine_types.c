/* The cloud's machine types. */
#include "base/log.h"
#include "autoscaler/internal.h"

#include <string.h>

enum { TYPES_MAX = 256 * 1024 };

bool pm_machine_types_decode(struct pm_name_tables *tables, const cbor_item_t *models)
{
    char name[PM_NAME_MAX];

    if (!pm_cbor_length(models))
        return false;
    for (size_t i = 0; i < pm_cbor_length(models); i++) {
        const cbor_item_t *item = pm_cbor_at(models, i);
        const cbor_item_t *zones = pm_cbor_get(item, "rooms");
        struct pm_type type = {0};
        int index;
        if (!pm_cbor_read_text(pm_cbor_get(item, "sku"), name, sizeof name) ||
            !pm_cbor_read_number(pm_cbor_get(item, "cpus"), &type.cpus) ||
            !pm_cbor_read_number(pm_cbor_get(item, "ram_gb"), &type.ram_gb) ||
            !pm_cbor_read_number(pm_cbor_get(item, "price"), &type.price))
            return false;
        pm_cbor_read_number(pm_cbor_get(item, "accelerators"), &type.gpus);
        pm_cbor_read_number(pm_cbor_get(item, "local_gb"), &type.local_gb);
        pm_cbor_read_number(pm_cbor_get(item, "pull_gb_per_s"), &type.pull_gb_per_s);
        pm_cbor_read_number(pm_cbor_get(item, "ready_s"), &type.ready_s);
        if (!pm_cbor_read_number(pm_cbor_get(item, "market_price"), &type.spot_price))
            type.spot_price = type.price;
        for (size_t z = 0; z < pm_cbor_length(zones); z++) {
            int zone = !pm_cbor_read_text(pm_cbor_at(zones, z), name, sizeof name)
                           ? -1
                           : pm_settings_find_zone(tables->settings, name);
            if (zone >= 0)
                type.zones |= 1u << zone;
        }
        pm_cbor_read_text(pm_cbor_get(item, "sku"), name, sizeof name);
        index = pm_names_intern(tables->type_names, name);
        if (index >= PM_TYPES_MAX) {
            pm_error("autoscaler.machine_types", "%s is not used: only %d types are", name,
                     PM_TYPES_MAX);
            continue;
        }
        tables->types[index] = type;
    }
    tables->type_count = MIN(pm_names_count(tables->type_names), PM_TYPES_MAX);
    return true;
}

static void on_types(void *arg, int status, const unsigned char *body, size_t size)
{
    struct pm_autoscaler *f = arg;
    cbor_item_t *answer = status == 200 ? pm_cbor_parse(body, size) : NULL;
    cbor_item_t *models = pm_cbor_get(answer, "models");

    f->types_busy = false;
    if (models && cbor_isa_array(models))
        f->hooks.machine_types(f->hooks.arg, models);
    else
        pm_info("autoscaler.machine_types", "no machine types: status %d", status);
    pm_cbor_free(answer);
}

void pm_autoscaler_request_machine_types(struct pm_autoscaler *f, double now)
{
    if (f->types_busy || (f->types_asked && now - f->types_asked < 1) ||
        !pm_autoscaler_may_call(f, now))
        return;
    f->types_busy = true;
    f->types_asked = now;
    pm_http_call(f->http, f->tables->settings->cloud_addr, "GET", "/machine_types", NULL, 0,
                 PM_AUTOSCALER_CALL_TIMEOUT_S, TYPES_MAX, on_types, f);
}
