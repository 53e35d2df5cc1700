#include "base/names.h"

#include <glib.h>

struct pm_names {
    GHashTable *index; /* from a text to its index plus 1: a lookup returns 0 if there is none */
    GPtrArray *texts;  /* owns the texts */
};

struct pm_names *pm_names_new(void)
{
    struct pm_names *names = g_new0(struct pm_names, 1);

    names->index = g_hash_table_new(g_str_hash, g_str_equal);
    names->texts = g_ptr_array_new_with_free_func(g_free);
    return names;
}

void pm_names_free(struct pm_names *names)
{
    g_hash_table_destroy(names->index);
    g_ptr_array_free(names->texts, TRUE);
    g_free(names);
}

int pm_names_find(const struct pm_names *names, const char *name)
{
    return GPOINTER_TO_INT(g_hash_table_lookup(names->index, name)) - 1;
}

int pm_names_intern(struct pm_names *names, const char *name)
{
    int index = pm_names_find(names, name);
    char *text;

    if (index >= 0)
        return index;
    text = g_strdup(name);
    g_ptr_array_add(names->texts, text);
    g_hash_table_insert(names->index, text, GINT_TO_POINTER((int)names->texts->len));
    return (int)names->texts->len - 1;
}

const char *pm_names_text(const struct pm_names *names, int index)
{
    return index >= 0 && index < (int)names->texts->len ? g_ptr_array_index(names->texts, index)
                                                        : "?";
}

int pm_names_count(const struct pm_names *names)
{
    return (int)names->texts->len;
}
