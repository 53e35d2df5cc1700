#include "cbor_to_json.h"
#include "base/cbor.h"

#include <glib.h>
#include <stdbool.h>

enum { TEXT_MAX = 4096, DELETE_CHARACTER = 0x7f };

static bool is_control(unsigned char character)
{
    return character < ' ' || character == DELETE_CHARACTER;
}

/* Replaces control characters, so that an answer cannot send escape sequences to the terminal. */
static json_t *convert_text(const cbor_item_t *item)
{
    char text[TEXT_MAX];

    if (!pm_cbor_read_text(item, text, sizeof text) || !g_utf8_validate(text, -1, NULL))
        return json_string("(unreadable text)");
    for (char *at = text; *at; at++)
        if (is_control((unsigned char)*at))
            *at = '?';
    return json_string(text);
}

static json_t *convert(const cbor_item_t *item);

static json_t *convert_map(const cbor_item_t *item)
{
    json_t *out = json_object();
    struct cbor_pair *pairs = cbor_map_handle(item);

    for (size_t i = 0; i < cbor_map_size(item); i++) {
        json_t *key = cbor_isa_string(pairs[i].key) ? convert_text(pairs[i].key) : NULL;
        if (key)
            json_object_set_new(out, json_string_value(key), convert(pairs[i].value));
        json_decref(key);
    }
    return out;
}

static json_t *convert_list(const cbor_item_t *item)
{
    json_t *out = json_array();

    for (size_t i = 0; i < pm_cbor_length(item); i++)
        json_array_append_new(out, convert(pm_cbor_at(item, i)));
    return out;
}

static json_t *convert(const cbor_item_t *item)
{
    uint64_t count;
    double number;
    bool flag;

    if (cbor_isa_map(item))
        return convert_map(item);
    if (cbor_isa_array(item))
        return convert_list(item);
    if (cbor_isa_string(item))
        return convert_text(item);
    if (pm_cbor_read_flag(item, &flag))
        return json_boolean(flag);
    if (pm_cbor_read_uint(item, &count))
        return json_integer((json_int_t)MIN(count, G_MAXINT64));
    if (pm_cbor_read_number(item, &number))
        return json_real(number);
    return json_null();
}

json_t *pm_json_from_cbor(const void *data, size_t size)
{
    cbor_item_t *item = pm_cbor_parse(data, size);
    json_t *out = item ? convert(item) : NULL;

    pm_cbor_free(item);
    return out;
}
