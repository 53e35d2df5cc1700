/* Decoding of CBOR: a checked parse and typed reads. */
#include "base/cbor.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

/* Major types of RFC 8949. */
enum cbor_major { MAJOR_BYTES = 2, MAJOR_TEXT = 3, MAJOR_ARRAY = 4, MAJOR_MAP = 5, MAJOR_TAG = 6 };

/* Values of the lower five bits of an item's first byte, its "additional information". */
enum { INFO_ONE_BYTE = 24, INFO_EIGHT_BYTES = 27, INFO_INDEFINITE = 31 };

static const unsigned char break_byte = 0xff;

/* The head of an item: its first byte and the argument that follows it. */
struct item_head {
    unsigned major, info;
    uint64_t value; /* a length, a number of entries or an integer, depending on the major type */
    size_t next;    /* offset of the byte after the head */
};

static size_t skip_item(const unsigned char *data, size_t size, size_t offset, int depth);

/* Returns false if the head is truncated or has a reserved value. */
static bool read_head(const unsigned char *data, size_t size, size_t offset, struct item_head *head)
{
    size_t length;

    if (offset >= size)
        return false;
    head->major = data[offset] >> 5;
    head->info = data[offset] & 31;
    head->next = offset + 1;
    head->value = head->info;
    if (head->info < INFO_ONE_BYTE || head->info == INFO_INDEFINITE)
        return true;
    if (head->info > INFO_EIGHT_BYTES)
        return false;
    length = (size_t)1 << (head->info - INFO_ONE_BYTE);
    if (size - head->next < length)
        return false;
    head->value = 0;
    for (size_t i = 0; i < length; i++)
        head->value = head->value << 8 | data[head->next + i];
    head->next += length;
    return true;
}

/* Returns whether an item that starts with the byte `first` may be a chunk of an indefinite-length
 * string of type `major`. */
static bool is_string_chunk(unsigned char first, unsigned major)
{
    return first >> 5 == major && (first & 31) != INFO_INDEFINITE;
}

static size_t skip_indefinite(const unsigned char *data, size_t size, const struct item_head *head,
                              int depth)
{
    size_t offset = head->next;
    size_t count = 0;

    if (head->major < MAJOR_BYTES || head->major > MAJOR_MAP)
        return 0;
    for (; offset < size && data[offset] != break_byte; count++) {
        if (head->major <= MAJOR_TEXT && !is_string_chunk(data[offset], head->major))
            return 0;
        offset = skip_item(data, size, offset, depth + 1);
        if (!offset)
            return 0;
    }
    if (offset >= size || (head->major == MAJOR_MAP && count % 2))
        return 0;
    return offset + 1;
}

static size_t skip_entries(const unsigned char *data, size_t size, const struct item_head *head,
                           int depth)
{
    uint64_t count = head->major == MAJOR_MAP ? 2 * head->value : head->value;
    size_t offset = head->next;

    /* Each entry takes at least one byte, so a count above the number of remaining bytes is
     * invalid. The item is rejected before the loop, because such a count would cost time and
     * memory. */
    if (head->value > size - offset)
        return 0;
    for (uint64_t i = 0; i < count; i++) {
        offset = skip_item(data, size, offset, depth + 1);
        if (!offset)
            return 0;
    }
    return offset;
}

/* Returns the offset after the item at `offset`, or 0 if it is malformed or nested too deeply. */
static size_t skip_item(const unsigned char *data, size_t size, size_t offset, int depth)
{
    struct item_head head;

    if (depth > PM_CBOR_DEPTH_MAX || !read_head(data, size, offset, &head))
        return 0;
    if (head.info == INFO_INDEFINITE)
        return skip_indefinite(data, size, &head, depth);
    switch (head.major) {
    case MAJOR_BYTES:
    case MAJOR_TEXT:
        return head.value <= size - head.next ? head.next + (size_t)head.value : 0;
    case MAJOR_ARRAY:
    case MAJOR_MAP:
        return skip_entries(data, size, &head, depth);
    case MAJOR_TAG:
        return skip_item(data, size, head.next, depth + 1);
    default:
        return head.next;
    }
}

cbor_item_t *pm_cbor_parse(const void *data, size_t size)
{
    struct cbor_load_result result;
    cbor_item_t *item;

    if (!size || skip_item(data, size, 0, 0) != size)
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

/* Whether the item is this text, in one piece or in chunks. */
static bool is_text(const cbor_item_t *item, const char *text)
{
    size_t left = strlen(text);

    if (!cbor_isa_string(item))
        return false;
    if (cbor_string_is_definite(item))
        return cbor_string_length(item) == left &&
               (!left || !memcmp(cbor_string_handle(item), text, left));
    for (size_t i = 0; i < cbor_string_chunk_count(item); i++) {
        const cbor_item_t *chunk = cbor_string_chunks_handle(item)[i];
        size_t length = cbor_string_length(chunk);
        if (length > left || (length && memcmp(cbor_string_handle(chunk), text, length)))
            return false;
        text += length;
        left -= length;
    }
    return left == 0;
}

static cbor_item_t *find_value(const cbor_item_t *map, const char *key)
{
    if (!map || !cbor_isa_map(map))
        return NULL;
    for (size_t i = 0; i < cbor_map_size(map); i++) {
        struct cbor_pair *pair = &cbor_map_handle(map)[i];
        if (is_text(pair->key, key))
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
    cbor_item_t *item = find_value(map, key);

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

cbor_item_t *pm_cbor_at(const cbor_item_t *list, size_t index)
{
    return cbor_array_handle(list)[index];
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
            cbor_item_t *chunk = cbor_string_chunks_handle(item)[i];
            size_t length = cbor_string_length(chunk);
            if (used + length >= size)
                return false;
            if (length)
                memcpy(out + used, cbor_string_handle(chunk), length);
            used += length;
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

bool pm_cbor_read_uint(const cbor_item_t *item, uint64_t *out)
{
    if (!item || !cbor_isa_uint(item))
        return false;
    *out = cbor_get_int(item);
    return true;
}

bool pm_cbor_read_flag(const cbor_item_t *item, bool *out)
{
    /* cbor_is_bool aborts the process if the item is a number, so that is ruled out first. */
    if (!item || !cbor_isa_float_ctrl(item) || !cbor_float_ctrl_is_ctrl(item) ||
        !cbor_is_bool(item))
        return false;
    *out = cbor_get_bool(item);
    return true;
}

size_t pm_cbor_json_size(const cbor_item_t *item)
{
    size_t total = 2;
    char number[64];
    double value;

    if (cbor_isa_string(item))
        return cbor_string_length(item) + 2;
    if (cbor_isa_array(item)) {
        for (size_t i = 0; i < pm_cbor_length(item); i++)
            total += pm_cbor_json_size(pm_cbor_at(item, i)) + 1;
        return total;
    }
    if (cbor_isa_map(item)) {
        for (size_t i = 0; i < cbor_map_size(item); i++)
            total += pm_cbor_json_size(cbor_map_handle(item)[i].key) +
                     pm_cbor_json_size(cbor_map_handle(item)[i].value) + 2;
        return total;
    }
    if (!pm_cbor_read_number(item, &value))
        return 5;
    return (size_t)snprintf(number, sizeof number, "%.17g", value);
}
