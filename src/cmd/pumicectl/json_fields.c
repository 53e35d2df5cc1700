#include "json_fields.h"

const char *pm_json_text(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text ? text : "";
}

bool pm_json_flag(const json_t *object, const char *key)
{
    return json_is_true(json_object_get(object, key));
}

double pm_json_number(const json_t *object, const char *key)
{
    return json_number_value(json_object_get(object, key));
}
