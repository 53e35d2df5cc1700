/* Validates submissions: whether they are well-formed, and whether the job could ever run. */
#include "jobs/codec_fields.h"
#include "jobs/internal.h"

#include <string.h>

/* Whether the submission has all flags that submissions must have. Stored descriptions may lack
 * some, since they may have been accepted before the flags were required. */
static bool has_required_flags(const cbor_item_t *body, const char **reason)
{
    static const char *const flags[] = {FIELD_SAME_ZONE, FIELD_SPREAD_ZONES, FIELD_SPOT};

    for (size_t i = 0; i < G_N_ELEMENTS(flags); i++) {
        *reason = flags[i];
        if (!pm_cbor_has(body, flags[i]))
            return false;
    }
    return true;
}

static bool decode_fields(const struct pm_name_tables *tables, const cbor_item_t *body, char *id,
                          struct pm_spec *spec, struct pm_submitted_names *names,
                          const char **reason)
{
    *reason = FIELD_JOB_ID;
    if (!pm_cbor_read_text(pm_cbor_get(body, FIELD_JOB_ID), id, PM_ID_MAX) ||
        !pm_job_id_is_valid(id))
        return false;
    return has_required_flags(body, reason) && pm_spec_decode(tables, body, spec, names, reason);
}

static bool fits_type(const struct pm_spec *spec, const struct pm_machine_type *type)
{
    bool is_offered = spec->zone < 0 || (type->zones >> spec->zone & 1);

    return is_offered && type->cpus >= spec->cpus && type->gpus >= spec->gpus &&
           type->ram_gb >= spec->ram_gb;
}

static bool fits_some_type(const struct pm_name_tables *tables, const struct pm_spec *spec)
{
    for (int i = 0; i < tables->type_count; i++)
        if (spec->allowed_types >> i & 1 && fits_type(spec, &tables->types[i]))
            return true;
    return false;
}

/* Whether the team's limits could ever allow the job to start. Tasks of an array start one by one,
 * those of other jobs all at once. */
static bool is_within_team_limits(const struct pm_spec *spec, const struct pm_team_setting *team)
{
    double tasks = spec->kind == PM_WORKLOAD_ARRAY ? 1 : spec->task_count;

    return tasks * spec->cpus <= team->cpus_max + AMOUNT_TOLERANCE &&
           tasks * spec->gpus <= team->gpus_max + AMOUNT_TOLERANCE;
}

enum pm_submission_result pm_submission_decode(struct pm_name_tables *tables,
                                               const cbor_item_t *body, char *id,
                                               struct pm_spec *spec, const char **reason)
{
    const struct pm_settings *settings = tables->settings;
    struct pm_submitted_names names;

    memset(spec, 0, sizeof *spec);
    if (!decode_fields(tables, body, id, spec, &names, reason))
        return PM_SUBMISSION_MALFORMED;
    *reason = "machine types not known yet";
    if (!tables->type_count)
        return PM_SUBMISSION_UNDECIDED;
    spec->team = pm_spec_find_team(settings, &names);
    spec->zone = pm_spec_find_zone(settings, &names);
    *reason = "unknown team or room";
    if (spec->team < 0 || (names.zone[0] && spec->zone < 0))
        return PM_SUBMISSION_REFUSED;
    *reason = "fits no allowed machine type";
    if (!fits_some_type(tables, spec))
        return PM_SUBMISSION_REFUSED;
    *reason = "above the team's limit";
    if (!is_within_team_limits(spec, &settings->teams[spec->team]))
        return PM_SUBMISSION_REFUSED;
    spec->class_index = pm_names_intern(tables->class_names, names.class_name);
    spec->image = pm_names_intern(tables->image_names, names.image);
    return PM_SUBMISSION_VALID;
}
