/* Typed reads of the fields of JSON objects. No state, no I/O. */
#ifndef PM_CMD_PUMICECTL_JSON_FIELDS_H
#define PM_CMD_PUMICECTL_JSON_FIELDS_H

#include <jansson.h>
#include <stdbool.h>

/* Returns the text under `key`, borrowed from `object`, or "" if there is none or `object` is not
 * an object (or NULL). */
const char *pm_json_text(const json_t *object, const char *key);
/* Returns the boolean under `key`, or false if there is none. */
bool pm_json_flag(const json_t *object, const char *key);
/* Returns the number under `key`, or 0 if there is none. */
double pm_json_number(const json_t *object, const char *key);

#endif
