#include "roles/audit_entry.h"

void pm_audit_entry_encode(const struct pm_audit_entry *entry, struct pm_buffer *out)
{
    pm_cbor_put_map(out);
    pm_cbor_put_pair_uint(out, "number", entry->number);
    pm_cbor_put_pair_number(out, "day", entry->wall);
    pm_cbor_put_pair_text(out, "event", entry->event);
    pm_cbor_put_pair_text(out, "duty", entry->role);
    pm_cbor_put_pair_text(out, "subject", entry->subject);
    pm_cbor_put_pair_text(out, "detail", entry->detail);
    pm_cbor_put_end(out);
}

bool pm_audit_entry_decode(const void *data, size_t size, struct pm_audit_entry *out)
{
    cbor_item_t *value = pm_cbor_parse(data, size);
    bool is_well_formed =
        value && pm_cbor_read_uint(pm_cbor_get(value, "number"), &out->number) &&
        pm_cbor_read_number(pm_cbor_get(value, "day"), &out->wall) &&
        pm_cbor_read_text(pm_cbor_get(value, "event"), out->event, sizeof out->event) &&
        pm_cbor_read_text(pm_cbor_get(value, "duty"), out->role, sizeof out->role) &&
        pm_cbor_read_text(pm_cbor_get(value, "subject"), out->subject, sizeof out->subject) &&
        pm_cbor_read_text(pm_cbor_get(value, "detail"), out->detail, sizeof out->detail);

    pm_cbor_free(value);
    return is_well_formed;
}
