/* Descriptions of jobs: read from users' submissions and from the state service, and written there.
 */
#include "jobs/internal.h"
#include "base/protocol.h"

#include <ctype.h>
#include <math.h>
#include <string.h>

static const char *const form_names[] = {"array", "group", "standing"};
static const char *const priority_names[] = {"best_effort", "normal", "urgent", "production"};
const char *const pm_job_state_names[] = {"live", "cancelled", "done"};

int pm_name_index(const char *const *names, int n, const char *text)
{
    for (int i = 0; i < n; i++)
        if (!strcmp(names[i], text))
            return i;
    return -1;
}

void pm_spec_free(struct pm_spec *spec)
{
    if (spec)
        g_free(spec->dependencies);
    g_free(spec);
}

bool pm_job_id_is_valid(const char *id)
{
    size_t n = strlen(id);

    if (n < 5 || n >= PM_ID_MAX || strncmp(id, "job-", 4))
        return false;
    for (const char *c = id + 4; *c; c++)
        if (!isdigit((unsigned char)*c))
            return false;
    return true;
}

/* ---- reading a job's fields, from a user or from the state service ---- */

static int read_name(const cbor_item_t *body, const char *key, char *out, const char **why)
{
    if (!pm_cbor_read_text(pm_cbor_get(body, key), out, TEXT_MAX) || !out[0]) {
        *why = key;
        return -1;
    }
    return 0;
}

static int read_amount(const cbor_item_t *body, const char *key, double *out, const char **why)
{
    if (!pm_cbor_read_number(pm_cbor_get(body, key), out) || *out < 0 || *out > 1e12) {
        *why = key;
        return -1;
    }
    return 0;
}

static int read_flag(const cbor_item_t *body, const char *key, bool *out, const char **why)
{
    *out = false;
    if (pm_cbor_has(body, key) && !pm_cbor_read_flag(pm_cbor_get(body, key), out)) {
        *why = key;
        return -1;
    }
    return 0;
}

static int read_types(const struct pm_name_tables *tables, const cbor_item_t *list, uint64_t *out)
{
    char name[TEXT_MAX];

    if (!list) {
        *out = ~(uint64_t)0;
        return 0;
    }
    if (!cbor_isa_array(list))
        return -1;
    *out = 0;
    for (size_t i = 0; i < pm_cbor_length(list); i++) {
        int type;
        if (!pm_cbor_read_text(pm_cbor_at(list, i), name, sizeof name))
            return -1;
        type = pm_names_find(tables->type_names, name);
        if (type >= 0 && type < PM_TYPES_MAX)
            *out |= (uint64_t)1 << type;
    }
    return 0;
}

int pm_spec_find_team(const struct pm_settings *settings, const char *name)
{
    for (int i = 0; i < settings->team_count; i++)
        if (!strcmp(settings->teams[i].name, name))
            return i;
    return -1;
}

/* 0, or -1 with the field at fault in `why`. Names are left for the caller to judge. */
int pm_spec_decode(const struct pm_name_tables *tables, const cbor_item_t *body,
                   struct pm_spec *spec, struct pm_submitted_names *names, const char **why)
{
    char text[TEXT_MAX];
    uint64_t entries;
    int found;

    *why = "not a map";
    if (!body || !cbor_isa_map(body))
        return -1;
    if (read_name(body, "ledger", names->class_name, why) ||
        read_name(body, "desk", names->team, why) || read_name(body, "bundle", names->image, why) ||
        read_name(body, "form", text, why))
        return -1;
    *why = "form";
    if ((found = pm_name_index(form_names, 3, text)) < 0)
        return -1;
    spec->kind = (enum pm_workload_kind)found;
    if (read_name(body, "urgency", text, why))
        return -1;
    *why = "urgency";
    if ((found = pm_name_index(priority_names, 4, text)) < 0)
        return -1;
    spec->priority = (enum pm_priority)found;
    *why = "entries";
    if (!pm_cbor_read_count(pm_cbor_get(body, "entries"), &entries) || entries < 1 ||
        entries > PM_JOB_TASKS_MAX)
        return -1;
    spec->task_count = (uint32_t)entries;
    if (read_amount(body, "cpus", &spec->cpus, why) ||
        read_amount(body, "accelerators", &spec->gpus, why) ||
        read_amount(body, "ram_gb", &spec->ram_gb, why) ||
        read_amount(body, "size_gb", &spec->image_gb, why) ||
        read_amount(body, "expected_s", &spec->estimated_run_s, why) ||
        read_amount(body, "bookmark_s", &spec->checkpoint_interval_s, why) ||
        read_amount(body, "filing_s", &spec->checkpoint_duration_s, why))
        return -1;
    spec->deadline_s = -1;
    if (pm_cbor_has(body, "due_s") && read_amount(body, "due_s", &spec->deadline_s, why))
        return -1;
    if (read_flag(body, "same_place", &spec->same_zone, why) ||
        read_flag(body, "spread", &spec->spread_zones, why) ||
        read_flag(body, "borrowed", &spec->spot, why))
        return -1;
    *why = "models";
    if (read_types(tables, pm_cbor_get(body, "models"), &spec->allowed_types))
        return -1;
    names->zone[0] = 0;
    if (pm_cbor_has(body, "room") && read_name(body, "room", names->zone, why))
        return -1;
    return 0;
}

static bool fits_some_type(const struct pm_name_tables *tables, const struct pm_spec *spec)
{
    for (int i = 0; i < tables->type_count; i++) {
        const struct pm_type *type = &tables->types[i];
        bool offered = spec->zone < 0 || (type->zones >> spec->zone & 1);
        if (offered && spec->allowed_types >> i & 1 && type->cpus >= spec->cpus &&
            type->gpus >= spec->gpus && type->ram_gb >= spec->ram_gb)
            return true;
    }
    return false;
}

int pm_submission_decode_dependencies(const cbor_item_t *body, GPtrArray **out)
{
    const cbor_item_t *list = pm_cbor_get(body, "awaits");
    GHashTable *seen;
    char id[TEXT_MAX];

    *out = NULL;
    if (!list)
        return 0;
    if (!cbor_isa_array(list))
        return -1;
    for (size_t i = 0; i < pm_cbor_length(list); i++)
        if (!pm_cbor_read_text(pm_cbor_at(list, i), id, sizeof id) || !pm_job_id_is_valid(id))
            return -1;
    if (!pm_cbor_length(list))
        return 0;
    *out = g_ptr_array_new_with_free_func(g_free);
    seen = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < pm_cbor_length(list); i++) {
        pm_cbor_read_text(pm_cbor_at(list, i), id, sizeof id);
        if (g_hash_table_contains(seen, id))
            continue;
        g_ptr_array_add(*out, g_strdup(id));
        g_hash_table_add(seen, g_ptr_array_index(*out, (*out)->len - 1));
    }
    g_hash_table_destroy(seen);
    return 0;
}

void pm_spec_set_dependencies(struct pm_name_tables *tables, struct pm_spec *spec,
                              const GPtrArray *ids)
{
    spec->dependencies = g_new(int, ids->len);
    spec->dependency_count = ids->len;
    for (guint i = 0; i < ids->len; i++)
        spec->dependencies[i] = pm_names_intern(tables->dependency_ids, g_ptr_array_index(ids, i));
}

int pm_submission_decode(struct pm_name_tables *tables, const cbor_item_t *body, char *id,
                         struct pm_spec *spec, const char **why)
{
    static const char *const flags[] = {"same_place", "spread", "borrowed"};
    const struct pm_settings *settings = tables->settings;
    struct pm_submitted_names names;
    const struct pm_team_setting *team;
    double tasks;

    memset(spec, 0, sizeof *spec);
    *why = "name_id";
    if (!pm_cbor_read_text(pm_cbor_get(body, "name_id"), id, PM_ID_MAX) || !pm_job_id_is_valid(id))
        return 400;
    /* Users say whether or not; what was accepted before they had to is still read. */
    for (size_t i = 0; i < G_N_ELEMENTS(flags); i++) {
        *why = flags[i];
        if (!pm_cbor_has(body, flags[i]))
            return 400;
    }
    if (pm_spec_decode(tables, body, spec, &names, why))
        return 400;
    if (!tables->type_count) {
        *why = "machine types not known yet";
        return 503;
    }
    spec->team = pm_spec_find_team(settings, names.team);
    spec->zone = names.zone[0] ? pm_settings_find_zone(settings, names.zone) : -1;
    *why = "unknown team or room";
    if (spec->team < 0 || (names.zone[0] && spec->zone < 0))
        return 422;
    *why = "fits no allowed machine type";
    if (!fits_some_type(tables, spec))
        return 422;
    team = &settings->teams[spec->team];
    tasks = spec->kind == PM_WORKLOAD_ARRAY ? 1 : spec->task_count;
    *why = "above the team's limit";
    if (tasks * spec->cpus > team->cpus_max + EPS || tasks * spec->gpus > team->gpus_max + EPS)
        return 422;
    spec->class_index = pm_names_intern(tables->class_names, names.class_name);
    spec->image = pm_names_intern(tables->image_names, names.image);
    return 200;
}

/* ---- values of p/j ---- */

/* `ended`: the time of day at which it was done, 0: not to be written. */
static void write_value(const struct pm_name_tables *tables, const struct pm_spec *spec,
                        uint32_t entries, enum pm_job_state state, bool full, double ended,
                        struct pm_buf *out)
{
    pm_put_map(out);
    pm_put_pair_text(out, "now", pm_job_state_names[state]);
    pm_put_pair_count(out, "entries", entries);
    if (ended > 0)
        pm_put_pair_number(out, "ended", ended);
    if (full) {
        pm_put_pair_text(out, "ledger", pm_names_text(tables->class_names, spec->class_index));
        pm_put_pair_text(out, "desk", tables->settings->teams[spec->team].name);
        pm_put_pair_text(out, "bundle", pm_names_text(tables->image_names, spec->image));
        pm_put_pair_text(out, "form", form_names[spec->kind]);
        pm_put_pair_text(out, "urgency", priority_names[spec->priority]);
        pm_put_pair_number(out, "cpus", spec->cpus);
        pm_put_pair_number(out, "accelerators", spec->gpus);
        pm_put_pair_number(out, "ram_gb", spec->ram_gb);
        pm_put_pair_number(out, "size_gb", spec->image_gb);
        pm_put_pair_number(out, "expected_s", spec->estimated_run_s);
        pm_put_pair_number(out, "bookmark_s", spec->checkpoint_interval_s);
        pm_put_pair_number(out, "filing_s", spec->checkpoint_duration_s);
        if (spec->deadline_s >= 0)
            pm_put_pair_number(out, "due_s", spec->deadline_s);
        pm_put_pair_flag(out, "same_place", spec->same_zone);
        pm_put_pair_flag(out, "spread", spec->spread_zones);
        pm_put_pair_flag(out, "borrowed", spec->spot);
        if (spec->allowed_types != ~(uint64_t)0) {
            pm_put_text(out, "models");
            pm_put_list(out);
            for (int i = 0; i < tables->type_count; i++)
                if (spec->allowed_types >> i & 1)
                    pm_put_text(out, pm_names_text(tables->type_names, i));
            pm_put_end(out);
        }
        if (spec->zone >= 0)
            pm_put_pair_text(out, "room", tables->settings->zone_names[spec->zone]);
        if (spec->overflow_lists)
            pm_put_pair_count(out, "lists", spec->overflow_lists);
        else if (spec->dependency_count) {
            pm_put_text(out, "awaits");
            pm_put_list(out);
            for (uint32_t i = 0; i < spec->dependency_count; i++)
                pm_put_text(out, pm_names_text(tables->dependency_ids, spec->dependencies[i]));
            pm_put_end(out);
        }
        pm_put_pair_number(out, "at", spec->submitted_wall);
    }
    pm_put_end(out);
}

void pm_job_encode(const struct pm_name_tables *tables, const struct pm_spec *spec,
                   uint32_t entries, enum pm_job_state state, bool full, struct pm_buf *out)
{
    write_value(tables, spec, entries, state, full, 0, out);
}

void pm_job_encode_done(const struct pm_name_tables *tables, const struct pm_job *job, bool full,
                        struct pm_buf *out)
{
    bool says_when = tables->protocol_version >= PM_PROTOCOL_END_TIMES;

    write_value(tables, job->spec, job->task_count, PM_JOB_DONE, full,
                says_when ? job->ended_wall : 0, out);
}

/* ---- what a job needs, where its own value does not name it ---- */

static uint32_t ids_in_list(const struct pm_name_tables *tables)
{
    return (uint32_t)MAX(1, (tables->settings->store_value_kb * 1024 - 64) / (PM_ID_MAX + 3));
}

uint32_t pm_spec_overflow_lists(const struct pm_name_tables *tables, const struct pm_spec *spec,
                                size_t size)
{
    uint32_t per = ids_in_list(tables);

    for (uint32_t i = 0; i < spec->dependency_count; i++)
        size += strlen(pm_names_text(tables->dependency_ids, spec->dependencies[i])) + 3;
    return (double)size + 32 <= tables->settings->store_value_kb * 1024
               ? 0
               : (spec->dependency_count + per - 1) / per;
}

void pm_dependency_list_encode(const struct pm_name_tables *tables, const struct pm_spec *spec,
                               uint32_t k, struct pm_buf *out)
{
    uint32_t per = ids_in_list(tables);

    pm_put_map(out);
    pm_put_text(out, "awaits");
    pm_put_list(out);
    for (uint32_t i = k * per; i < MIN((k + 1) * per, spec->dependency_count); i++)
        pm_put_text(out, pm_names_text(tables->dependency_ids, spec->dependencies[i]));
    pm_put_end(out);
    pm_put_end(out);
}

uint32_t pm_spec_tasks_that_fit(const struct pm_spec *spec, double cpus, double gpus, double ram_gb)
{
    double n = 1e6;

    if (spec->cpus > 0)
        n = MIN(n, floor((cpus + EPS) / spec->cpus));
    if (spec->gpus > 0)
        n = MIN(n, floor((gpus + EPS) / spec->gpus));
    if (spec->ram_gb > 0)
        n = MIN(n, floor((ram_gb + EPS) / spec->ram_gb));
    return n < 0 ? 0 : (uint32_t)n;
}
