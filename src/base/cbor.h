/* CBOR on top of libcbor: checked decoding, typed reads, and encoding to a buffer. Stateless; may
 * be called from any thread.
 *
 * All CBOR received from other processes is decoded by pm_cbor_parse. Before it allocates anything,
 * it walks the bytes and rejects an item that is nested too deeply, is truncated, or claims more
 * entries than there are bytes. So a malicious body costs only bounded memory and time. */
#ifndef PM_BASE_CBOR_H
#define PM_BASE_CBOR_H

#include <cbor.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { PM_CBOR_DEPTH_MAX = 16 };

/* Decodes one item that takes up all the bytes. The caller frees it with pm_cbor_free. Returns NULL
 * if the bytes are malformed. */
cbor_item_t *pm_cbor_parse(const void *data, size_t size);
/* Frees a decoded item and all items in it; NULL is allowed. */
void pm_cbor_free(cbor_item_t *item);

/* Returns the value of the key, owned by `map`. Returns NULL if the key is absent, its value is
 * null, or `map` is not a map. */
cbor_item_t *pm_cbor_get(const cbor_item_t *map, const char *key);
/* Returns whether the map has the key, with a value other than null. */
bool pm_cbor_has(const cbor_item_t *map, const char *key);
/* Returns the number of entries of the list, or 0 if `list` is NULL or not a list. */
size_t pm_cbor_length(const cbor_item_t *list);
/* Returns the entry at `index`, which must be less than the length. It is owned by `list`. */
cbor_item_t *pm_cbor_at(const cbor_item_t *list, size_t index);

/* Each of these reads a value of one type into `out`. They return false if the item is absent
 * (NULL) or of another type; `out` is then unspecified for texts and numbers, and unchanged for
 * unsigned integers and flags. */

/* Copies the text and appends a NUL. Also returns false if the text contains a NUL, or does not fit
 * in `size` bytes with the appended one. */
bool pm_cbor_read_text(const cbor_item_t *item, char *out, size_t size);
/* Reads an integer or a floating-point number. Also returns false if it is not finite. */
bool pm_cbor_read_number(const cbor_item_t *item, double *out);
/* Reads an integer that is not negative. */
bool pm_cbor_read_uint(const cbor_item_t *item, uint64_t *out);
/* Reads true or false. */
bool pm_cbor_read_flag(const cbor_item_t *item, bool *out);

/* Returns an upper bound of the size of the item as JSON, the format to which size limits apply. */
size_t pm_cbor_json_size(const cbor_item_t *item);

/* A growing buffer that CBOR is written to. Lists and maps are written with indefinite length and
 * end with pm_cbor_put_end. */
struct pm_buffer {
    unsigned char *data;
    size_t size, capacity;
};

/* Frees the memory of the buffer and leaves it empty. */
void pm_buffer_free(struct pm_buffer *buf);
/* Appends raw bytes. */
void pm_buffer_append(struct pm_buffer *buf, const void *data, size_t size);
/* Begins a map. Append its keys and values alternately, then call pm_cbor_put_end. */
void pm_cbor_put_map(struct pm_buffer *buf);
/* Begins a list. Append its entries, then call pm_cbor_put_end. */
void pm_cbor_put_list(struct pm_buffer *buf);
/* Ends the innermost open map or list. */
void pm_cbor_put_end(struct pm_buffer *buf);
/* Appends a NUL-terminated text. */
void pm_cbor_put_text(struct pm_buffer *buf, const char *text);
/* Appends an integer. */
void pm_cbor_put_uint(struct pm_buffer *buf, uint64_t value);
/* Appends a number as an eight-byte floating-point number, even if it is an integer. */
void pm_cbor_put_number(struct pm_buffer *buf, double value);
/* Appends true or false. */
void pm_cbor_put_flag(struct pm_buffer *buf, bool value);
/* Appends null. */
void pm_cbor_put_null(struct pm_buffer *buf);
/* Appends a copy of a decoded item. */
void pm_cbor_put_item(struct pm_buffer *buf, const cbor_item_t *item);
/* Appends a key and a text to a map. */
void pm_cbor_put_pair_text(struct pm_buffer *buf, const char *key, const char *text);
/* Appends a key and an integer to a map. */
void pm_cbor_put_pair_uint(struct pm_buffer *buf, const char *key, uint64_t value);
/* Appends a key and a floating-point number to a map. */
void pm_cbor_put_pair_number(struct pm_buffer *buf, const char *key, double value);
/* Appends a key and true or false to a map. */
void pm_cbor_put_pair_flag(struct pm_buffer *buf, const char *key, bool value);

#endif
