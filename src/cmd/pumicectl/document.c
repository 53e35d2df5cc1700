#include "document.h"

const char *pm_text_of(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text ? text : "";
}

bool pm_flag_of(const json_t *object, const char *key)
{
    return json_is_true(json_object_get(object, key));
}

double pm_number_of(const json_t *object, const char *key)
{
    return json_number_value(json_object_get(object, key));
}

void pm_add_problem(json_t *problems, const char *format, ...)
{
    va_list args;
    char *text;

    va_start(args, format);
    text = g_strdup_vprintf(format, args);
    va_end(args);
    json_array_append_new(problems, json_pack("{s:s}", "problem", text));
    g_free(text);
}
