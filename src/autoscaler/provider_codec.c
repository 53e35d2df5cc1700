/* Encodes and decodes the provider's messages, except for machine types (machine_types_codec.c).
 * Their fields are:
 *   hosts      list of machines
 *   name_id    name of a machine
 *   model      type of a machine
 *   room       zone of a machine
 *   borrowed   whether a machine is a spot machine
 *   booking    idempotency key of a request to rent
 *   how_many   number of machines to rent
 *   status     state of a machine; only "running" and "failed" are evaluated
 *   age_s      seconds since a machine was rented
 *   endpoint   address of a machine's worker
 *   has_next   whether another page of the inventory follows */
#include "autoscaler/internal.h"

#include <string.h>

enum { STATUS_BYTES = 32 }; /* size of the longest status that is read, including its NUL */

void pm_scale_out_encode(const struct pm_name_tables *tables,
                         const struct pm_scale_out_request *request, const char *idempotency_key,
                         struct pm_buffer *out)
{
    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "booking", idempotency_key);
    pm_cbor_put_pair_text(out, "model", pm_names_text(tables->type_names, request->type));
    pm_cbor_put_pair_text(out, "room", tables->settings->zone_names[request->zone]);
    pm_cbor_put_pair_flag(out, "borrowed", request->spot);
    pm_cbor_put_pair_uint(out, "how_many", (uint64_t)request->count);
    pm_cbor_put_end(out);
}

void pm_termination_encode(const GPtrArray *machine_names, struct pm_buffer *out)
{
    pm_cbor_put_map(out);
    pm_cbor_put_text(out, "hosts");
    pm_cbor_put_list(out);
    for (guint i = 0; i < machine_names->len; i++)
        pm_cbor_put_text(out, g_ptr_array_index(machine_names, i));
    pm_cbor_put_end(out);
    pm_cbor_put_end(out);
}

const cbor_item_t *pm_provider_answer_machines(const cbor_item_t *answer)
{
    const cbor_item_t *hosts = pm_cbor_get(answer, "hosts");

    return hosts && cbor_isa_array(hosts) ? hosts : NULL;
}

bool pm_inventory_page_has_next(const cbor_item_t *page)
{
    bool has_next = false;

    pm_cbor_read_flag(pm_cbor_get(page, "has_next"), &has_next);
    return has_next;
}

bool pm_listed_machine_decode(const cbor_item_t *item, struct pm_listed_machine *out)
{
    char status[STATUS_BYTES] = "";

    *out = (struct pm_listed_machine){.item = item};
    if (!pm_cbor_read_text(pm_cbor_get(item, "name_id"), out->name, sizeof out->name) ||
        !out->name[0])
        return false;
    pm_cbor_read_text(pm_cbor_get(item, "status"), status, sizeof status);
    pm_cbor_read_number(pm_cbor_get(item, "age_s"), &out->age_s);
    out->has_failed = !strcmp(status, "failed");
    out->is_running = !strcmp(status, "running");
    return true;
}

void pm_listed_machine_apply_kind(struct pm_autoscaler *autoscaler,
                                  const struct pm_listed_machine *listed,
                                  struct pm_machine *machine)
{
    const struct pm_name_tables *tables = autoscaler->tables;
    char text[PM_NAME_MAX];
    int type;

    if (!pm_cbor_read_text(pm_cbor_get(listed->item, "model"), text, sizeof text))
        return;
    type = pm_names_find(tables->type_names, text);
    if (type < 0 || type >= tables->type_count)
        return;
    pm_workers_set_type(autoscaler->workers, machine, type);
    if (pm_cbor_read_text(pm_cbor_get(listed->item, "room"), text, sizeof text))
        machine->zone = pm_settings_find_zone(tables->settings, text);
    pm_cbor_read_flag(pm_cbor_get(listed->item, "borrowed"), &machine->spot);
}

void pm_listed_machine_apply_endpoint(const struct pm_listed_machine *listed,
                                      struct pm_machine *machine)
{
    pm_cbor_read_text(pm_cbor_get(listed->item, "endpoint"), machine->endpoint,
                      sizeof machine->endpoint);
}
