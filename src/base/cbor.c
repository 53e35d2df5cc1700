#include "base/cbor.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

/* Walks one item; the offset behind it, or 0 when malformed. */
static size_t walk(const unsigned char *d, size_t size, size_t at, int depth)
{
    unsigned major;
    unsigned info;
    uint64_t value;
    size_t n;

    if (at >= size || depth > PM_CBOR_DEPTH)
        return 0;
    major = d[at] >> 5;
    info = d[at] & 31;
    at++;
    value = info;
    if (info >= 24 && info <= 27) {
        n = (size_t)1 << (info - 24);
        if (size - at < n)
            return 0;
        value = 0;
        for (size_t i = 0; i < n; i++)
            value = value << 8 | d[at + i];
        at += n;
    } else if (info >= 28 && info <= 30) {
        return 0;
    }
    if (info == 31) { /* open length */
        if (major < 2 || major > 5)
            return 0;
        for (n = 0; at < size && d[at] != 0xff; n++) {
            if (major <= 3 && (d[at] >> 5 != major || (d[at] & 31) == 31))
                return 0;
            at = walk(d, size, at, depth + 1);
            if (!at)
                return 0;
        }
        if (at >= size || (major == 5 && n % 2))
            return 0;
        return at + 1;
    }
    switch (major) {
    case 2:
    case 3:
        return value <= size - at ? at + (size_t)value : 0;
    case 4:
    case 5:
        /* Each entry takes a byte at least: a claim of more is a lie that would cost memory. */
        if (value > size - at)
            return 0;
        for (uint64_t i = 0; i < value * (major == 5 ? 2 : 1); i++) {
            at = walk(d, size, at, depth + 1);
            if (!at)
                return 0;
        }
        return at;
    case 6:
        return walk(d, size, at, depth + 1);
    default:
        return at;
    }
}

cbor_item_t *pm_cbor_parse(const void *data, size_t size)
{
    struct cbor_load_result result;
    cbor_item_t *item;

    if (!size || walk(data, size, 0, 0) != size)
        return NULL;
    item = cbor_load(data, size, &result);
    if (item && result.error.code != CBOR_ERR_NONE) {
        cbor_decref(&item);
        return NULL;
    }
    return item;
}

void pm_cbor_free(cbor_item_t *item)
{
    if (item)
        cbor_decref(&item);
}

static cbor_item_t *find(const cbor_item_t *map, const char *key)
{
    size_t n = strlen(key);

    if (!map || !cbor_isa_map(map))
        return NULL;
    for (size_t i = 0; i < cbor_map_size(map); i++) {
        struct cbor_pair *pair = &cbor_map_handle(map)[i];
        if (cbor_isa_string(pair->key) && cbor_string_is_definite(pair->key) &&
            cbor_string_length(pair->key) == n && !memcmp(cbor_string_handle(pair->key), key, n))
            return pair->value;
    }
    return NULL;
}

static bool is_null(const cbor_item_t *item)
{
    return cbor_isa_float_ctrl(item) && cbor_float_ctrl_is_ctrl(item) &&
           (cbor_ctrl_value(item) == CBOR_CTRL_NULL || cbor_ctrl_value(item) == CBOR_CTRL_UNDEF);
}

cbor_item_t *pm_cbor_get(const cbor_item_t *map, const char *key)
{
    cbor_item_t *item = find(map, key);

    return item && !is_null(item) ? item : NULL;
}

bool pm_cbor_has(const cbor_item_t *map, const char *key)
{
    return pm_cbor_get(map, key) != NULL;
}

size_t pm_cbor_length(const cbor_item_t *list)
{
    return list && cbor_isa_array(list) ? cbor_array_size(list) : 0;
}

cbor_item_t *pm_cbor_at(const cbor_item_t *list, size_t i)
{
    return cbor_array_handle(list)[i];
}

bool pm_cbor_read_text(const cbor_item_t *item, char *out, size_t size)
{
    size_t used = 0;

    if (!item || !cbor_isa_string(item))
        return false;
    if (cbor_string_is_definite(item)) {
        used = cbor_string_length(item);
        if (used >= size)
            return false;
        if (used)
            memcpy(out, cbor_string_handle(item), used);
    } else {
        for (size_t i = 0; i < cbor_string_chunk_count(item); i++) {
            cbor_item_t *part = cbor_string_chunks_handle(item)[i];
            size_t n = cbor_string_length(part);
            if (used + n >= size)
                return false;
            if (n)
                memcpy(out + used, cbor_string_handle(part), n);
            used += n;
        }
    }
    if (memchr(out, 0, used))
        return false;
    out[used] = 0;
    return true;
}

bool pm_cbor_read_number(const cbor_item_t *item, double *out)
{
    if (!item)
        return false;
    if (cbor_isa_uint(item))
        *out = (double)cbor_get_int(item);
    else if (cbor_isa_negint(item))
        *out = -1.0 - (double)cbor_get_int(item);
    else if (cbor_isa_float_ctrl(item) && !cbor_float_ctrl_is_ctrl(item))
        *out = cbor_float_get_float(item);
    else
        return false;
    return isfinite(*out);
}

bool pm_cbor_read_count(const cbor_item_t *item, uint64_t *out)
{
    if (!item || !cbor_isa_uint(item))
        return false;
    *out = cbor_get_int(item);
    return true;
}

bool pm_cbor_read_flag(const cbor_item_t *item, bool *out)
{
    /* Of a number, the library's own question ends the process. */
    if (!item || !cbor_isa_float_ctrl(item) || !cbor_float_ctrl_is_ctrl(item) ||
        !cbor_is_bool(item))
        return false;
    *out = cbor_get_bool(item);
    return true;
}

void pm_buf_free(struct pm_buf *buf)
{
    g_free(buf->data);
    *buf = (struct pm_buf){0};
}

void pm_buf_add(struct pm_buf *buf, const void *data, size_t size)
{
    if (!size)
        return;
    if (buf->room - buf->size < size) {
        buf->room = MAX(buf->room * 2, buf->size + size + 64);
        buf->data = g_realloc(buf->data, buf->room);
    }
    memcpy(buf->data + buf->size, data, size);
    buf->size += size;
}

static void put_byte(struct pm_buf *buf, unsigned char byte)
{
    pm_buf_add(buf, &byte, 1);
}

static void put_head(struct pm_buf *buf, unsigned major, uint64_t value)
{
    unsigned char head[9];
    int n = value < 24 ? 0 : value < 256 ? 1 : value < 65536 ? 2 : value <= UINT32_MAX ? 4 : 8;
    int info = n == 0 ? (int)value : n == 1 ? 24 : n == 2 ? 25 : n == 4 ? 26 : 27;

    head[0] = (unsigned char)(major << 5 | (unsigned)info);
    for (int i = 0; i < n; i++)
        head[1 + i] = (unsigned char)(value >> (8 * (n - 1 - i)));
    pm_buf_add(buf, head, (size_t)n + 1);
}

void pm_put_map(struct pm_buf *buf)
{
    put_byte(buf, 0xbf);
}

void pm_put_list(struct pm_buf *buf)
{
    put_byte(buf, 0x9f);
}

void pm_put_end(struct pm_buf *buf)
{
    put_byte(buf, 0xff);
}

void pm_put_text(struct pm_buf *buf, const char *text)
{
    size_t n = strlen(text);

    put_head(buf, 3, n);
    pm_buf_add(buf, text, n);
}

void pm_put_count(struct pm_buf *buf, uint64_t value)
{
    put_head(buf, 0, value);
}

void pm_put_number(struct pm_buf *buf, double value)
{
    unsigned char bytes[9] = {0xfb};
    uint64_t bits;

    memcpy(&bits, &value, sizeof bits);
    for (int i = 0; i < 8; i++)
        bytes[1 + i] = (unsigned char)(bits >> (56 - 8 * i));
    pm_buf_add(buf, bytes, sizeof bytes);
}

void pm_put_flag(struct pm_buf *buf, bool value)
{
    put_byte(buf, value ? 0xf5 : 0xf4);
}

void pm_put_null(struct pm_buf *buf)
{
    put_byte(buf, 0xf6);
}

void pm_put_item(struct pm_buf *buf, const cbor_item_t *item)
{
    unsigned char *bytes = NULL;
    size_t room = 0;
    size_t size = cbor_serialize_alloc(item, &bytes, &room);

    pm_buf_add(buf, bytes, size);
    free(bytes);
}

void pm_put_pair_text(struct pm_buf *buf, const char *key, const char *text)
{
    pm_put_text(buf, key);
    pm_put_text(buf, text);
}

void pm_put_pair_count(struct pm_buf *buf, const char *key, uint64_t value)
{
    pm_put_text(buf, key);
    pm_put_count(buf, value);
}

void pm_put_pair_number(struct pm_buf *buf, const char *key, double value)
{
    pm_put_text(buf, key);
    pm_put_number(buf, value);
}

void pm_put_pair_flag(struct pm_buf *buf, const char *key, bool value)
{
    pm_put_text(buf, key);
    pm_put_flag(buf, value);
}

size_t pm_cbor_json_size(const cbor_item_t *item)
{
    size_t n = 2;
    char number[64];
    double value;

    if (cbor_isa_string(item))
        return cbor_string_length(item) + 2;
    if (cbor_isa_array(item)) {
        for (size_t i = 0; i < pm_cbor_length(item); i++)
            n += pm_cbor_json_size(pm_cbor_at(item, i)) + 1;
        return n;
    }
    if (cbor_isa_map(item)) {
        for (size_t i = 0; i < cbor_map_size(item); i++)
            n += pm_cbor_json_size(cbor_map_handle(item)[i].key) +
                 pm_cbor_json_size(cbor_map_handle(item)[i].value) + 2;
        return n;
    }
    if (!pm_cbor_read_number(item, &value))
        return 5;
    return (size_t)snprintf(number, sizeof number, "%.17g", value);
}
