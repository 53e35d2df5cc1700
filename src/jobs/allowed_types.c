/* The machine types that a job allows. Submissions and stored values name them. Once a type is
 * known, its name becomes a bit of `pm_spec.allowed_types`; until then a stored job keeps the name,
 * since the replica may have the job before it has the type. */
#include "jobs/codec_fields.h"
#include "jobs/internal.h"

#define ANY_TYPE (~(uint64_t)0)

/* Returns the bit of the type of that name, 0 if the type is not known. */
static uint64_t type_bit(const struct pm_name_tables *tables, const char *name)
{
    int type = pm_names_find(tables->type_names, name);

    return type >= 0 && type < tables->type_count ? (uint64_t)1 << type : 0;
}

/* ---- decoding ---- */

bool pm_allowed_types_decode(const struct pm_name_tables *tables, const cbor_item_t *list,
                             uint64_t *out)
{
    char name[NAME_SIZE_MAX];

    if (!list) {
        *out = ANY_TYPE;
        return true;
    }
    if (!cbor_isa_array(list))
        return false;
    *out = 0;
    for (size_t i = 0; i < pm_cbor_length(list); i++) {
        if (!pm_cbor_read_text(pm_cbor_at(list, i), name, sizeof name))
            return false;
        *out |= type_bit(tables, name);
    }
    return true;
}

void pm_unknown_types_decode(const struct pm_name_tables *tables, const cbor_item_t *list,
                             struct pm_spec *spec)
{
    char name[NAME_SIZE_MAX];

    pm_spec_clear_unknown_types(spec);
    for (size_t i = 0; i < pm_cbor_length(list); i++) {
        if (!pm_cbor_read_text(pm_cbor_at(list, i), name, sizeof name) || type_bit(tables, name))
            continue;
        if (!spec->unknown_types)
            spec->unknown_types = g_ptr_array_new_with_free_func(g_free);
        g_ptr_array_add(spec->unknown_types, g_strdup(name));
    }
}

/* ---- types that become known ---- */

void pm_spec_clear_unknown_types(struct pm_spec *spec)
{
    if (spec->unknown_types)
        g_ptr_array_free(spec->unknown_types, TRUE);
    spec->unknown_types = NULL;
}

/* Turns the names of types that are known by now into bits. Returns whether there were any. */
static bool resolve(const struct pm_name_tables *tables, struct pm_spec *spec)
{
    GPtrArray *names = spec->unknown_types;
    uint64_t before = spec->allowed_types;

    for (guint i = 0; i < names->len;) {
        uint64_t bit = type_bit(tables, g_ptr_array_index(names, i));
        spec->allowed_types |= bit;
        if (bit)
            g_ptr_array_remove_index(names, i);
        else
            i++;
    }
    if (!names->len)
        pm_spec_clear_unknown_types(spec);
    return spec->allowed_types != before;
}

unsigned pm_jobs_resolve_types(struct pm_jobs *jobs)
{
    unsigned resolved = 0;

    for (guint i = 0; i < jobs->active->len; i++) {
        const struct pm_job *job = g_ptr_array_index(jobs->active, i);
        if (job->spec && job->spec->unknown_types)
            resolved += resolve(jobs->tables, job->spec);
    }
    return resolved;
}

/* ---- encoding ---- */

void pm_allowed_types_encode(const struct pm_name_tables *tables, const struct pm_spec *spec,
                             struct pm_buffer *out)
{
    if (spec->allowed_types == ANY_TYPE)
        return;
    pm_cbor_put_text(out, FIELD_ALLOWED_TYPES);
    pm_cbor_put_list(out);
    for (int i = 0; i < tables->type_count; i++)
        if (spec->allowed_types >> i & 1)
            pm_cbor_put_text(out, pm_names_text(tables->type_names, i));
    for (guint i = 0; spec->unknown_types && i < spec->unknown_types->len; i++)
        pm_cbor_put_text(out, g_ptr_array_index(spec->unknown_types, i));
    pm_cbor_put_end(out);
}
