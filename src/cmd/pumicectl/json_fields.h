/* Typed reads of the fields of JSON objects. No state, no I/O. */
#ifndef PM_CMD_PUMICECTL_JSON_FIELDS_H
#define PM_CMD_PUMICECTL_JSON_FIELDS_H

#include <jansson.h>
#include <stdbool.h>

/* The text under `key`, borrowed from `object`; "" if there is none, or `object` is no object. */
const char *pm_json_text(const json_t *object, const char *key);
/* The boolean under `key`; false if there is none. */
bool pm_json_flag(const json_t *object, const char *key);
/* The number under `key`; 0 if there is none. */
double pm_json_number(const json_t *object, const char *key);

#endif
