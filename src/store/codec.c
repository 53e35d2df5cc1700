/* Decodes the state service's answers. internal.h explains the field names. */
#include "store/internal.h"

bool pm_store_decode_revision(const cbor_item_t *answer, uint64_t *store_revision)
{
    return pm_cbor_read_uint(pm_cbor_get(answer, "edition"), store_revision);
}

const cbor_item_t *pm_store_decode_list(const cbor_item_t *answer, bool *has_more)
{
    *has_more = false;
    pm_cbor_read_flag(pm_cbor_get(answer, "has_next"), has_more);
    return pm_cbor_get(answer, "items");
}

const cbor_item_t *pm_store_decode_watch_events(const cbor_item_t *answer)
{
    return pm_cbor_get(answer, "events");
}

/* Reads the key in the field `key_field`, and its revision. */
static bool decode_key(const cbor_item_t *item, const char *key_field,
                       struct pm_store_change *change)
{
    return pm_cbor_read_text(pm_cbor_get(item, key_field), change->key, sizeof change->key) &&
           pm_cbor_read_uint(pm_cbor_get(item, "stamp"), &change->revision);
}

static bool decode_put(const cbor_item_t *item, const char *key_field,
                       struct pm_store_change *change)
{
    change->is_delete = false;
    change->value = pm_cbor_get(item, "data");
    return decode_key(item, key_field, change);
}

bool pm_store_decode_list_item(const cbor_item_t *item, struct pm_store_change *change)
{
    return decode_put(item, "key", change);
}

bool pm_store_decode_watch_event(const cbor_item_t *event, struct pm_store_change *change)
{
    if (pm_cbor_has(event, "put"))
        return decode_put(event, "put", change);
    change->is_delete = true;
    change->value = NULL;
    return decode_key(event, "drop", change);
}
