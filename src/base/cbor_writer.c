/* Encoding of CBOR to a growing buffer. */
#include "base/cbor.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

void pm_buffer_free(struct pm_buffer *buf)
{
    g_free(buf->data);
    *buf = (struct pm_buffer){0};
}

void pm_buffer_append(struct pm_buffer *buf, const void *data, size_t size)
{
    if (!size)
        return;
    if (buf->capacity - buf->size < size) {
        buf->capacity = MAX(buf->capacity * 2, buf->size + size + 64);
        buf->data = g_realloc(buf->data, buf->capacity);
    }
    memcpy(buf->data + buf->size, data, size);
    buf->size += size;
}

static void put_byte(struct pm_buffer *buf, unsigned char byte)
{
    pm_buffer_append(buf, &byte, 1);
}

/* Appends the head of an item, with the argument in its shortest form. */
static void put_head(struct pm_buffer *buf, unsigned major, uint64_t value)
{
    unsigned char head[9];
    int length = value < 24 ? 0 : value < 256 ? 1 : value < 65536 ? 2 : value <= UINT32_MAX ? 4 : 8;
    int info = length == 0   ? (int)value
               : length == 1 ? 24
               : length == 2 ? 25
               : length == 4 ? 26
                             : 27;

    head[0] = (unsigned char)(major << 5 | (unsigned)info);
    for (int i = 0; i < length; i++)
        head[1 + i] = (unsigned char)(value >> (8 * (length - 1 - i)));
    pm_buffer_append(buf, head, (size_t)length + 1);
}

void pm_cbor_put_map(struct pm_buffer *buf)
{
    put_byte(buf, 0xbf);
}

void pm_cbor_put_list(struct pm_buffer *buf)
{
    put_byte(buf, 0x9f);
}

void pm_cbor_put_end(struct pm_buffer *buf)
{
    put_byte(buf, 0xff);
}

void pm_cbor_put_text(struct pm_buffer *buf, const char *text)
{
    size_t length = strlen(text);

    put_head(buf, 3, length);
    pm_buffer_append(buf, text, length);
}

void pm_cbor_put_uint(struct pm_buffer *buf, uint64_t value)
{
    put_head(buf, 0, value);
}

void pm_cbor_put_number(struct pm_buffer *buf, double value)
{
    unsigned char bytes[9] = {0xfb};
    uint64_t bits;

    memcpy(&bits, &value, sizeof bits);
    for (int i = 0; i < 8; i++)
        bytes[1 + i] = (unsigned char)(bits >> (56 - 8 * i));
    pm_buffer_append(buf, bytes, sizeof bytes);
}

void pm_cbor_put_flag(struct pm_buffer *buf, bool value)
{
    put_byte(buf, value ? 0xf5 : 0xf4);
}

void pm_cbor_put_null(struct pm_buffer *buf)
{
    put_byte(buf, 0xf6);
}

void pm_cbor_put_item(struct pm_buffer *buf, const cbor_item_t *item)
{
    unsigned char *bytes = NULL;
    size_t capacity = 0;
    size_t size = cbor_serialize_alloc(item, &bytes, &capacity);

    pm_buffer_append(buf, bytes, size);
    free(bytes);
}

void pm_cbor_put_pair_text(struct pm_buffer *buf, const char *key, const char *text)
{
    pm_cbor_put_text(buf, key);
    pm_cbor_put_text(buf, text);
}

void pm_cbor_put_pair_uint(struct pm_buffer *buf, const char *key, uint64_t value)
{
    pm_cbor_put_text(buf, key);
    pm_cbor_put_uint(buf, value);
}

void pm_cbor_put_pair_number(struct pm_buffer *buf, const char *key, double value)
{
    pm_cbor_put_text(buf, key);
    pm_cbor_put_number(buf, value);
}

void pm_cbor_put_pair_flag(struct pm_buffer *buf, const char *key, bool value)
{
    pm_cbor_put_text(buf, key);
    pm_cbor_put_flag(buf, value);
}
