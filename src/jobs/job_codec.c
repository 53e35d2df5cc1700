/* CBOR codec of job descriptions and p/j values. Descriptions have the same fields in submissions
 * and in stored values. */
#include "jobs/codec_fields.h"
#include "jobs/internal.h"
#include "base/protocol.h"

#include <string.h>

#define AMOUNT_MAX 1e12

enum { STATE_TEXT_MAX = 16 };

static const char *const kind_names[] = {"array", "group", "standing"};
static const char *const priority_names[] = {"best_effort", "normal", "urgent", "production"};
static const char *const state_names[] = {"live", "cancelled", "done"};

/* Returns the index of the text among the names, or -1 if it is none of them. */
static int name_index(const char *const *names, size_t count, const char *text)
{
    for (size_t i = 0; i < count; i++)
        if (!strcmp(names[i], text))
            return (int)i;
    return -1;
}

/* ---- reading fields ----
 *
 * Each function sets `*reason`, if it has that argument, to the name of the field, and returns
 * false if the field is missing or invalid. */

static bool read_name(const cbor_item_t *body, const char *key, char *out, const char **reason)
{
    *reason = key;
    return pm_cbor_read_text(pm_cbor_get(body, key), out, NAME_SIZE_MAX) && out[0];
}

/* Reads a field whose value is one of `names`, and sets `*out` to the index of that name. */
static bool read_choice(const cbor_item_t *body, const char *key, const char *const *names,
                        size_t count, int *out, const char **reason)
{
    char text[NAME_SIZE_MAX];

    if (!read_name(body, key, text, reason))
        return false;
    *out = name_index(names, count, text);
    return *out >= 0;
}

static bool read_amount(const cbor_item_t *body, const char *key, double *out, const char **reason)
{
    *reason = key;
    return pm_cbor_read_number(pm_cbor_get(body, key), out) && *out >= 0 && *out <= AMOUNT_MAX;
}

static bool read_flag(const cbor_item_t *body, const char *key, bool *out, const char **reason)
{
    *reason = key;
    *out = false;
    return !pm_cbor_has(body, key) || pm_cbor_read_flag(pm_cbor_get(body, key), out);
}

static bool read_task_count(const cbor_item_t *body, uint32_t *out)
{
    uint64_t count;

    if (!pm_cbor_read_uint(pm_cbor_get(body, FIELD_TASK_COUNT), &count) || count < 1 ||
        count > PM_JOB_TASKS_MAX)
        return false;
    *out = (uint32_t)count;
    return true;
}

/* ---- descriptions ---- */

static bool read_names(const cbor_item_t *body, struct pm_submitted_names *names,
                       const char **reason)
{
    return read_name(body, FIELD_CLASS, names->class_name, reason) &&
           read_name(body, FIELD_TEAM, names->team, reason) &&
           read_name(body, FIELD_IMAGE, names->image, reason);
}

static bool read_kind_and_priority(const cbor_item_t *body, struct pm_spec *spec,
                                   const char **reason)
{
    int index;

    if (!read_choice(body, FIELD_KIND, kind_names, G_N_ELEMENTS(kind_names), &index, reason))
        return false;
    spec->kind = (enum pm_workload_kind)index;
    if (!read_choice(body, FIELD_PRIORITY, priority_names, G_N_ELEMENTS(priority_names), &index,
                     reason))
        return false;
    spec->priority = (enum pm_priority)index;
    return true;
}

static bool read_amounts(const cbor_item_t *body, struct pm_spec *spec, const char **reason)
{
    if (!read_amount(body, FIELD_CPUS, &spec->cpus, reason) ||
        !read_amount(body, FIELD_GPUS, &spec->gpus, reason) ||
        !read_amount(body, FIELD_RAM_GB, &spec->ram_gb, reason) ||
        !read_amount(body, FIELD_IMAGE_GB, &spec->image_gb, reason) ||
        !read_amount(body, FIELD_ESTIMATED_RUN_S, &spec->estimated_run_s, reason) ||
        !read_amount(body, FIELD_CHECKPOINT_INTERVAL_S, &spec->checkpoint_interval_s, reason) ||
        !read_amount(body, FIELD_CHECKPOINT_DURATION_S, &spec->checkpoint_duration_s, reason))
        return false;
    spec->deadline_s = -1;
    return !pm_cbor_has(body, FIELD_DEADLINE_S) ||
           read_amount(body, FIELD_DEADLINE_S, &spec->deadline_s, reason);
}

static bool read_placement_rules(const struct pm_name_tables *tables, const cbor_item_t *body,
                                 struct pm_spec *spec, struct pm_submitted_names *names,
                                 const char **reason)
{
    if (!read_flag(body, FIELD_SAME_ZONE, &spec->same_zone, reason) ||
        !read_flag(body, FIELD_SPREAD_ZONES, &spec->spread_zones, reason) ||
        !read_flag(body, FIELD_SPOT, &spec->spot, reason))
        return false;
    *reason = FIELD_ALLOWED_TYPES;
    if (!pm_allowed_types_decode(tables, pm_cbor_get(body, FIELD_ALLOWED_TYPES),
                                 &spec->allowed_types))
        return false;
    names->zone[0] = 0;
    return !pm_cbor_has(body, FIELD_ZONE) || read_name(body, FIELD_ZONE, names->zone, reason);
}

bool pm_spec_decode(const struct pm_name_tables *tables, const cbor_item_t *body,
                    struct pm_spec *spec, struct pm_submitted_names *names, const char **reason)
{
    *reason = "not a map";
    if (!body || !cbor_isa_map(body))
        return false;
    if (!read_names(body, names, reason) || !read_kind_and_priority(body, spec, reason))
        return false;
    *reason = FIELD_TASK_COUNT;
    if (!read_task_count(body, &spec->task_count))
        return false;
    return read_amounts(body, spec, reason) &&
           read_placement_rules(tables, body, spec, names, reason);
}

int pm_spec_find_team(const struct pm_settings *settings, const struct pm_submitted_names *names)
{
    for (int i = 0; i < settings->team_count; i++)
        if (!strcmp(settings->teams[i].name, names->team))
            return i;
    return -1;
}

int pm_spec_find_zone(const struct pm_settings *settings, const struct pm_submitted_names *names)
{
    return names->zone[0] ? pm_settings_find_zone(settings, names->zone) : -1;
}

bool pm_stored_spec_decode(struct pm_name_tables *tables, const cbor_item_t *value,
                           struct pm_spec *spec)
{
    struct pm_submitted_names names;
    const char *reason;

    if (!pm_spec_decode(tables, value, spec, &names, &reason))
        return false;
    pm_unknown_types_decode(tables, pm_cbor_get(value, FIELD_ALLOWED_TYPES), spec);
    spec->team = pm_spec_find_team(tables->settings, &names);
    if (spec->team < 0)
        return false;
    spec->zone = pm_spec_find_zone(tables->settings, &names);
    if (names.zone[0] && spec->zone < 0)
        return false;
    spec->class_index = pm_names_intern(tables->class_names, names.class_name);
    spec->image = pm_names_intern(tables->image_names, names.image);
    pm_cbor_read_number(pm_cbor_get(value, FIELD_SUBMITTED_WALL), &spec->submitted_wall);
    return true;
}

/* ---- values of p/j ---- */

bool pm_job_summary_decode(const cbor_item_t *value, struct pm_job_summary *out)
{
    char text[STATE_TEXT_MAX];
    uint32_t task_count;
    int state;

    if (!pm_cbor_read_text(pm_cbor_get(value, FIELD_STATE), text, sizeof text))
        return false;
    state = name_index(state_names, G_N_ELEMENTS(state_names), text);
    if (state < 0 || !read_task_count(value, &task_count))
        return false;
    *out = (struct pm_job_summary){.state = (enum pm_job_state)state, .task_count = task_count};
    return true;
}

bool pm_job_value_has_description(const cbor_item_t *value)
{
    return pm_cbor_has(value, FIELD_KIND);
}

void pm_job_end_time_decode(const cbor_item_t *value, double *ended_wall)
{
    pm_cbor_read_number(pm_cbor_get(value, FIELD_ENDED_WALL), ended_wall);
}

static void write_amounts(const struct pm_spec *spec, struct pm_buffer *out)
{
    pm_cbor_put_pair_number(out, FIELD_CPUS, spec->cpus);
    pm_cbor_put_pair_number(out, FIELD_GPUS, spec->gpus);
    pm_cbor_put_pair_number(out, FIELD_RAM_GB, spec->ram_gb);
    pm_cbor_put_pair_number(out, FIELD_IMAGE_GB, spec->image_gb);
    pm_cbor_put_pair_number(out, FIELD_ESTIMATED_RUN_S, spec->estimated_run_s);
    pm_cbor_put_pair_number(out, FIELD_CHECKPOINT_INTERVAL_S, spec->checkpoint_interval_s);
    pm_cbor_put_pair_number(out, FIELD_CHECKPOINT_DURATION_S, spec->checkpoint_duration_s);
    if (spec->deadline_s >= 0)
        pm_cbor_put_pair_number(out, FIELD_DEADLINE_S, spec->deadline_s);
}

static void write_placement_rules(const struct pm_name_tables *tables, const struct pm_spec *spec,
                                  struct pm_buffer *out)
{
    pm_cbor_put_pair_flag(out, FIELD_SAME_ZONE, spec->same_zone);
    pm_cbor_put_pair_flag(out, FIELD_SPREAD_ZONES, spec->spread_zones);
    pm_cbor_put_pair_flag(out, FIELD_SPOT, spec->spot);
    pm_allowed_types_encode(tables, spec, out);
    if (spec->zone >= 0)
        pm_cbor_put_pair_text(out, FIELD_ZONE, tables->settings->zone_names[spec->zone]);
}

/* Writes the description of a job in that state. One that has ended waits for no other job, so the
 * ids of its dependencies are left out: the value may have to fit into lower limits than those
 * under which the job was accepted. */
static void write_description(const struct pm_name_tables *tables, const struct pm_spec *spec,
                              enum pm_job_state state, struct pm_buffer *out)
{
    pm_cbor_put_pair_text(out, FIELD_CLASS, pm_names_text(tables->class_names, spec->class_index));
    pm_cbor_put_pair_text(out, FIELD_TEAM, tables->settings->teams[spec->team].name);
    pm_cbor_put_pair_text(out, FIELD_IMAGE, pm_names_text(tables->image_names, spec->image));
    pm_cbor_put_pair_text(out, FIELD_KIND, kind_names[spec->kind]);
    pm_cbor_put_pair_text(out, FIELD_PRIORITY, priority_names[spec->priority]);
    write_amounts(spec, out);
    write_placement_rules(tables, spec, out);
    if (spec->overflow_list_count)
        pm_cbor_put_pair_uint(out, FIELD_OVERFLOW_LISTS, spec->overflow_list_count);
    else if (spec->dependency_count && state == PM_JOB_LIVE)
        pm_dependencies_field_encode(tables, spec, 0, spec->dependency_count, out);
    pm_cbor_put_pair_number(out, FIELD_SUBMITTED_WALL, spec->submitted_wall);
}

static void write_summary(const struct pm_job_summary *summary, struct pm_buffer *out)
{
    pm_cbor_put_pair_text(out, FIELD_STATE, state_names[summary->state]);
    pm_cbor_put_pair_uint(out, FIELD_TASK_COUNT, summary->task_count);
}

void pm_job_encode(const struct pm_name_tables *tables, const struct pm_spec *spec,
                   uint32_t task_count, enum pm_job_state state, bool with_description,
                   struct pm_buffer *out)
{
    pm_cbor_put_map(out);
    write_summary(&(struct pm_job_summary){state, task_count}, out);
    if (with_description)
        write_description(tables, spec, state, out);
    pm_cbor_put_end(out);
}

void pm_job_encode_done(const struct pm_name_tables *tables, const struct pm_job *job,
                        bool with_description, struct pm_buffer *out)
{
    bool is_end_time_read = tables->protocol_version >= PM_PROTOCOL_END_TIMES;

    pm_cbor_put_map(out);
    write_summary(&(struct pm_job_summary){PM_JOB_DONE, job->task_count}, out);
    if (is_end_time_read && job->ended_wall > 0)
        pm_cbor_put_pair_number(out, FIELD_ENDED_WALL, job->ended_wall);
    if (with_description)
        write_description(tables, job->spec, PM_JOB_DONE, out);
    pm_cbor_put_end(out);
}
