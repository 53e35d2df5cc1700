/* Converts answers in CBOR to JSON. What comes from a server is not trusted. No state, no I/O. */
#ifndef PM_CMD_PUMICECTL_CBOR_TO_JSON_H
#define PM_CMD_PUMICECTL_CBOR_TO_JSON_H

#include <jansson.h>
#include <stddef.h>

/* The CBOR item as JSON, owned by the caller; control characters, which could steer a terminal, are
 * replaced. NULL: it is malformed. */
json_t *pm_json_from_cbor(const void *data, size_t size);

#endif
