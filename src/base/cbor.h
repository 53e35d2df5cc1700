/* CBOR bodies, through libcbor: a checked decode, typed reads and a small writer.
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
bool pm_cbor_has(const cbor_item_t *map, const char *key);
size_t pm_cbor_length(const cbor_item_t *list); /* 0 unless a list */
cbor_item_t *pm_cbor_at(const cbor_item_t *list, size_t i);

/* Each reads one value of its type into `out`. False when the item is absent (NULL) or of another
 * type; `out` is then unspecified for text and numbers, and unchanged for counts and flags. */

/* Copies the text and ends it with a NUL. False also for text with a NUL inside, or that does not
 * fit in `size` bytes with the NUL at its end. */
bool pm_cbor_read_text(const cbor_item_t *item, char *out, size_t size);
/* An integer or a floating-point number. False also for one that is not finite. */
bool pm_cbor_read_number(const cbor_item_t *item, double *out);
/* An integer that is not negative. */
bool pm_cbor_read_count(const cbor_item_t *item, uint64_t *out);
bool pm_cbor_read_flag(const cbor_item_t *item, bool *out);

/* How large it is in the form that size limits are counted in, at most. */
size_t pm_cbor_json_size(const cbor_item_t *item);

/* A growing buffer with CBOR written to it. Lists and maps are of open length: end with
 * pm_put_end. */
struct pm_buf {
    unsigned char *data;
    size_t size, room;
};

void pm_buf_free(struct pm_buf *buf);
void pm_buf_add(struct pm_buf *buf, const void *data, size_t size);
void pm_put_map(struct pm_buf *buf);
void pm_put_list(struct pm_buf *buf);
void pm_put_end(struct pm_buf *buf);
void pm_put_text(struct pm_buf *buf, const char *text);
void pm_put_count(struct pm_buf *buf, uint64_t value);
void pm_put_number(struct pm_buf *buf, double value);
void pm_put_flag(struct pm_buf *buf, bool value);
void pm_put_null(struct pm_buf *buf);
/* Copies an item as it is. */
void pm_put_item(struct pm_buf *buf, const cbor_item_t *item);
void pm_put_pair_text(struct pm_buf *buf, const char *key, const char *text);
void pm_put_pair_count(struct pm_buf *buf, const char *key, uint64_t value);
void pm_put_pair_number(struct pm_buf *buf, const char *key, double value);
void pm_put_pair_flag(struct pm_buf *buf, const char *key, bool value);

#endif
