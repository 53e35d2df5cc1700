/* Decides whether a submission is well-formed, and whether it could ever run. */
#include "jobs/codec_fields.h"
#include "jobs/internal.h"

#include <string.h>

/* Users have to give each of these; what was accepted before they had to is still read. */
static bool has_all_flags(const cbor_item_t *body, const char **why)
{
    static const char *const flags[] = {FIELD_SAME_ZONE, FIELD_SPREAD_ZONES, FIELD_SPOT};

    for (size_t i = 0; i < G_N_ELEMENTS(flags); i++) {
        *why = flags[i];
        if (!pm_cbor_has(body, flags[i]))
            return false;
    }
    return true;
}

static bool is_well_formed(const struct pm_name_tables *tables, const cbor_item_t *body, char *id,
                           struct pm_spec *spec, struct pm_submitted_names *names, const char **why)
{
    *why = FIELD_JOB_ID;
    if (!pm_cbor_read_text(pm_cbor_get(body, FIELD_JOB_ID), id, PM_ID_MAX) ||
        !pm_job_id_is_valid(id))
        return false;
    return has_all_flags(body, why) && pm_spec_decode(tables, body, spec, names, why);
}

static bool fits_type(const struct pm_spec *spec, const struct pm_type *type)
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

/* Whether the team's limits could ever allow the job to start: an array starts task by task, others
 * with all of their tasks at once. */
static bool is_within_limits(const struct pm_spec *spec, const struct pm_team_setting *team)
{
    double tasks = spec->kind == PM_WORKLOAD_ARRAY ? 1 : spec->task_count;

    return tasks * spec->cpus <= team->cpus_max + EPS && tasks * spec->gpus <= team->gpus_max + EPS;
}

enum pm_submission_result pm_submission_decode(struct pm_name_tables *tables,
                                               const cbor_item_t *body, char *id,
                                               struct pm_spec *spec, const char **why)
{
    const struct pm_settings *settings = tables->settings;
    struct pm_submitted_names names;

    memset(spec, 0, sizeof *spec);
    if (!is_well_formed(tables, body, id, spec, &names, why))
        return PM_SUBMISSION_MALFORMED;
    *why = "machine types not known yet";
    if (!tables->type_count)
        return PM_SUBMISSION_UNDECIDED;
    spec->team = pm_spec_find_team(settings, &names);
    spec->zone = pm_spec_find_zone(settings, &names);
    *why = "unknown team or room";
    if (spec->team < 0 || (names.zone[0] && spec->zone < 0))
        return PM_SUBMISSION_REFUSED;
    *why = "fits no allowed machine type";
    if (!fits_some_type(tables, spec))
        return PM_SUBMISSION_REFUSED;
    *why = "above the team's limit";
    if (!is_within_limits(spec, &settings->teams[spec->team]))
        return PM_SUBMISSION_REFUSED;
    spec->class_index = pm_names_intern(tables->class_names, names.class_name);
    spec->image = pm_names_intern(tables->image_names, names.image);
    return PM_SUBMISSION_VALID;
}
