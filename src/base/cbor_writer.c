/* Encoding CBOR into a growing buffer. */
#include "base/cbor.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

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
    int length = value < 24 ? 0 : value < 256 ? 1 : value < 65536 ? 2 : value <= UINT32_MAX ? 4 : 8;
    int info = length == 0   ? (int)value
               : length == 1 ? 24
               : length == 2 ? 25
               : length == 4 ? 26
                             : 27;

    head[0] = (unsigned char)(major << 5 | (unsigned)info);
    for (int i = 0; i < length; i++)
        head[1 + i] = (unsigned char)(value >> (8 * (length - 1 - i)));
    pm_buf_add(buf, head, (size_t)length + 1);
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
    size_t length = strlen(text);

    put_head(buf, 3, length);
    pm_buf_add(buf, text, length);
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
