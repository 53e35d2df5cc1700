/* CBOR codec of the dependencies of a job, in submissions, p/j values and p/n values. */
#include "jobs/codec_fields.h"
#include "jobs/internal.h"

#include <string.h>

/* Sizes in bytes of the values' JSON form, by which the state service limits them. */
enum {
    TEXT_OVERHEAD = 3,         /* of each id in a list: two quotes and a comma */
    LIST_OVERHEAD = 64,        /* of a p/n value without the ids */
    DEPENDENCIES_OVERHEAD = 32 /* of the field in a p/j value without the ids */
};

static bool are_valid_ids(const cbor_item_t *list)
{
    char id[NAME_SIZE_MAX];

    for (size_t i = 0; i < pm_cbor_length(list); i++)
        if (!pm_cbor_read_text(pm_cbor_at(list, i), id, sizeof id) || !pm_job_id_is_valid(id))
            return false;
    return true;
}

/* Returns the distinct ids of a list that has only valid ids. */
static GPtrArray *read_distinct_ids(const cbor_item_t *list)
{
    GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    char id[NAME_SIZE_MAX];

    for (size_t i = 0; i < pm_cbor_length(list); i++) {
        pm_cbor_read_text(pm_cbor_at(list, i), id, sizeof id);
        if (g_hash_table_contains(seen, id))
            continue;
        g_ptr_array_add(ids, g_strdup(id));
        g_hash_table_add(seen, g_ptr_array_index(ids, ids->len - 1));
    }
    g_hash_table_destroy(seen);
    return ids;
}

bool pm_dependency_ids_decode(const cbor_item_t *body, GPtrArray **out)
{
    const cbor_item_t *list = pm_cbor_get(body, FIELD_DEPENDENCIES);

    *out = NULL;
    if (!list)
        return true;
    if (!cbor_isa_array(list) || !are_valid_ids(list))
        return false;
    if (pm_cbor_length(list))
        *out = read_distinct_ids(list);
    return true;
}

bool pm_overflow_list_count_decode(const cbor_item_t *value, uint64_t *out)
{
    *out = 0;
    return !pm_cbor_has(value, FIELD_OVERFLOW_LISTS) ||
           pm_cbor_read_uint(pm_cbor_get(value, FIELD_OVERFLOW_LISTS), out);
}

static double value_size_max(const struct pm_name_tables *tables)
{
    return tables->settings->store_value_kb * 1024;
}

static uint32_t ids_per_list(const struct pm_name_tables *tables)
{
    return (uint32_t)MAX(1, (value_size_max(tables) - LIST_OVERHEAD) / (PM_ID_MAX + TEXT_OVERHEAD));
}

uint32_t pm_spec_overflow_list_count(const struct pm_name_tables *tables,
                                     const struct pm_spec *spec, size_t size)
{
    uint32_t per_list = ids_per_list(tables);

    for (uint32_t i = 0; i < spec->dependency_count; i++)
        size +=
            strlen(pm_names_text(tables->dependency_ids, spec->dependencies[i])) + TEXT_OVERHEAD;
    if ((double)size + DEPENDENCIES_OVERHEAD <= value_size_max(tables))
        return 0;
    return (spec->dependency_count + per_list - 1) / per_list;
}

void pm_dependencies_field_encode(const struct pm_name_tables *tables, const struct pm_spec *spec,
                                  uint32_t first, uint32_t end, struct pm_buffer *out)
{
    pm_cbor_put_text(out, FIELD_DEPENDENCIES);
    pm_cbor_put_list(out);
    for (uint32_t i = first; i < end; i++)
        pm_cbor_put_text(out, pm_names_text(tables->dependency_ids, spec->dependencies[i]));
    pm_cbor_put_end(out);
}

void pm_dependency_list_encode(const struct pm_name_tables *tables, const struct pm_spec *spec,
                               uint32_t list_index, struct pm_buffer *out)
{
    uint32_t per_list = ids_per_list(tables);
    uint32_t end = MIN((list_index + 1) * per_list, spec->dependency_count);

    pm_cbor_put_map(out);
    pm_dependencies_field_encode(tables, spec, list_index * per_list, end, out);
    pm_cbor_put_end(out);
}
