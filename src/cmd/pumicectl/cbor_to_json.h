/* Converts CBOR bodies of HTTP answers to JSON. The input is not trusted. No state, no I/O. */
#ifndef PM_CMD_PUMICECTL_CBOR_TO_JSON_H
#define PM_CMD_PUMICECTL_CBOR_TO_JSON_H

#include <jansson.h>
#include <stddef.h>

/* Returns the CBOR item as JSON, owned by the caller, or NULL if the item is malformed. Control
 * characters in texts are replaced, because they could be terminal escape sequences. */
json_t *pm_json_from_cbor(const void *data, size_t size);

#endif
