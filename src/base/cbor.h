/* CBOR bodies, through libcbor: a checked decode, typed reads and a small writer. No state; any
 * thread.
 *
 * Everything that arrives from outside goes through pm_cbor_parse, which first walks the bytes and
 * refuses what is nested too deeply, truncated, or claims more entries than there are bytes, so
 * that a hostile body costs bounded memory and time. */
#ifndef PM_BASE_CBOR_H
#define PM_BASE_CBOR_H

#include <cbor.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { PM_CBOR_DEPTH = 16 };

/* The decoded item, owned by the caller (pm_cbor_free), or NULL when malformed. */
cbor_item_t *pm_cbor_parse(const void *data, size_t size);
/* Frees a decoded item and all inside it; NULL is allowed. */
void pm_cbor_free(cbor_item_t *item);

/* The value of a key, NULL when absent, null, or `map` is no map. Borrowed from `map`. */
cbor_item_t *pm_cbor_get(const cbor_item_t *map, const char *key);
/* Whether the map has a value for the key that is not null. */
bool pm_cbor_has(const cbor_item_t *map, const char *key);
/* The number of entries of a list; 0 for NULL and for what is no list. */
size_t pm_cbor_length(const cbor_item_t *list);
/* An entry of a list; `index` is less than its length. Borrowed from `list`. */
cbor_item_t *pm_cbor_at(const cbor_item_t *list, size_t index);

/* Each reads one value of its type into `out`. False when the item is absent (NULL) or of another
 * type; `out` is then unspecified for text and numbers, and unchanged for counts and flags. */

/* Copies the text and ends it with a NUL. False also for text with a NUL inside, or that does not
 * fit in `size` bytes with the NUL at its end. */
bool pm_cbor_read_text(const cbor_item_t *item, char *out, size_t size);
/* An integer or a floating-point number. False also for one that is not finite. */
bool pm_cbor_read_number(const cbor_item_t *item, double *out);
/* An integer that is not negative. */
bool pm_cbor_read_count(const cbor_item_t *item, uint64_t *out);
/* True or false. */
bool pm_cbor_read_flag(const cbor_item_t *item, bool *out);

/* How large it is in the form that size limits are counted in, at most. */
size_t pm_cbor_json_size(const cbor_item_t *item);

/* A growing buffer with CBOR written to it. Lists and maps are of open length: end with
 * pm_cbor_put_end. */
struct pm_buffer {
    unsigned char *data;
    size_t size, room;
};

/* Frees what the buffer holds, and leaves it empty. */
void pm_buffer_free(struct pm_buffer *buf);
/* Appends bytes as they are. */
void pm_buffer_append(struct pm_buffer *buf, const void *data, size_t size);
/* Begins a map: keys and values follow in turn, up to pm_cbor_put_end. */
void pm_cbor_put_map(struct pm_buffer *buf);
/* Begins a list: its entries follow, up to pm_cbor_put_end. */
void pm_cbor_put_list(struct pm_buffer *buf);
/* Ends the map or list that was begun last. */
void pm_cbor_put_end(struct pm_buffer *buf);
/* Appends a text, which ends at its NUL. */
void pm_cbor_put_text(struct pm_buffer *buf, const char *text);
/* Appends an integer. */
void pm_cbor_put_count(struct pm_buffer *buf, uint64_t value);
/* Appends a floating-point number of eight bytes, also where it is whole. */
void pm_cbor_put_number(struct pm_buffer *buf, double value);
/* Appends true or false. */
void pm_cbor_put_flag(struct pm_buffer *buf, bool value);
/* Appends null. */
void pm_cbor_put_null(struct pm_buffer *buf);
/* Appends a copy of a decoded item. */
void pm_cbor_put_item(struct pm_buffer *buf, const cbor_item_t *item);
/* Appends a key and its text, within a map. */
void pm_cbor_put_pair_text(struct pm_buffer *buf, const char *key, const char *text);
/* Appends a key and its integer. */
void pm_cbor_put_pair_count(struct pm_buffer *buf, const char *key, uint64_t value);
/* Appends a key and its floating-point number. */
void pm_cbor_put_pair_number(struct pm_buffer *buf, const char *key, double value);
/* Appends a key and its true or false. */
void pm_cbor_put_pair_flag(struct pm_buffer *buf, const char *key, bool value);

#endif
