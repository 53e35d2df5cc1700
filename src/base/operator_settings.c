/* The operators' own settings (YAML). */
#include "base/settings.h"

#include <cyaml/cyaml.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

void pm_operator_settings_defaults(struct pm_operator_settings *out)
{
    *out = (struct pm_operator_settings){
        .window_h = 24,
        .min_runtime_s = 1800,
        .leader_ttl_s = 2.5,
        .confirm_s = 2.0,
        .admit_min = 8,
        .admit_max = 256,
        .idle_return_s = 25,
        .replica_due_s = 35,
        .backlog_s = 60,
        .warm_share = 0.3,
        .links = {.probe_s = 1,
                  .down_s = 1.5,
                  .recover_s = 1,
                  .half_life_s = 30,
                  .expire_s = 5,
                  .trace_mb = 16},
        .roles = {.ttl_s = 5, .gc_after_s = 3600, .audit_log_period_s = 3600, .audit_log_mb = 64},
    };
}

/* Every key is optional: a pointer that stays NULL leaves the default. */
struct links_form {
    bool *observe, *decide;
    double *probe_s, *down_s, *recover_s, *half_life_s, *expire_s;
    char *trace_dir;
    unsigned *trace_mb;
};

struct duties_form {
    bool *fence;
    double *ttl_s, *clean_after_s, *record_period_s;
    char *record_dir;
    unsigned *record_mb;
};

struct yaml_form {
    double *window_h, *min_runtime_s, *leader_ttl_s, *confirm_s, *idle_return_s, *warm_share,
        *replica_due_s, *backlog_s;
    unsigned *admit_min, *admit_max;
    struct links_form *links;
    struct duties_form *duties;
};

#define OPTIONAL (CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL)
#define YAML_NUMBER(key) CYAML_FIELD_FLOAT_PTR(#key, OPTIONAL, struct yaml_form, key)
#define YAML_COUNT(key) CYAML_FIELD_UINT_PTR(#key, OPTIONAL, struct yaml_form, key)
#define LINKS_NUMBER(key) CYAML_FIELD_FLOAT_PTR(#key, OPTIONAL, struct links_form, key)
#define LINKS_FLAG(key) CYAML_FIELD_BOOL_PTR(#key, OPTIONAL, struct links_form, key)

static const cyaml_schema_field_t links_fields[] = {
    LINKS_FLAG(observe),
    LINKS_FLAG(decide),
    LINKS_NUMBER(probe_s),
    LINKS_NUMBER(down_s),
    LINKS_NUMBER(recover_s),
    LINKS_NUMBER(half_life_s),
    LINKS_NUMBER(expire_s),
    CYAML_FIELD_STRING_PTR("trace_dir", OPTIONAL, struct links_form, trace_dir, 0, 255),
    CYAML_FIELD_UINT_PTR("trace_mb", OPTIONAL, struct links_form, trace_mb),
    CYAML_FIELD_END};

static const cyaml_schema_field_t duties_fields[] = {
    CYAML_FIELD_BOOL_PTR("fence", OPTIONAL, struct duties_form, fence),
    CYAML_FIELD_FLOAT_PTR("ttl_s", OPTIONAL, struct duties_form, ttl_s),
    CYAML_FIELD_FLOAT_PTR("clean_after_s", OPTIONAL, struct duties_form, clean_after_s),
    CYAML_FIELD_STRING_PTR("record_dir", OPTIONAL, struct duties_form, record_dir, 0, 255),
    CYAML_FIELD_FLOAT_PTR("record_period_s", OPTIONAL, struct duties_form, record_period_s),
    CYAML_FIELD_UINT_PTR("record_mb", OPTIONAL, struct duties_form, record_mb),
    CYAML_FIELD_END};

static const cyaml_schema_field_t yaml_fields[] = {
    YAML_NUMBER(window_h),
    YAML_NUMBER(min_runtime_s),
    YAML_NUMBER(leader_ttl_s),
    YAML_NUMBER(confirm_s),
    YAML_NUMBER(idle_return_s),
    YAML_NUMBER(warm_share),
    YAML_NUMBER(replica_due_s),
    YAML_NUMBER(backlog_s),
    YAML_COUNT(admit_min),
    YAML_COUNT(admit_max),
    CYAML_FIELD_MAPPING_PTR("links", OPTIONAL, struct yaml_form, links, links_fields),
    CYAML_FIELD_MAPPING_PTR("duties", OPTIONAL, struct yaml_form, duties, duties_fields),
    CYAML_FIELD_END};

static const cyaml_schema_value_t yaml_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct yaml_form, yaml_fields)};

/* What is wrong with the file, as the parser tells it line by line: the key, then its path. */
struct complaint {
    char *text;
    size_t size;
};

static void on_parser_log(cyaml_log_t level, void *arg, const char *fmt, va_list args)
{
    struct complaint *complaint = arg;
    size_t used = strlen(complaint->text);

    (void)level;
    if (used + 1 >= complaint->size)
        return;
    vsnprintf(complaint->text + used, complaint->size - used, fmt, args);
    for (char *c = complaint->text + used; *c; c++)
        if (*c == '\n')
            *c = ';';
}

/* Takes what the file says, if it says it; notes the first value outside its range. */
struct taker {
    char *err;
    size_t err_size;
    bool failed;
};

static void take(struct taker *taker, double *out, const double *value, const char *name,
                 double least, double most)
{
    if (!value || taker->failed)
        return;
    if (!isfinite(*value) || *value < least || *value > most) {
        snprintf(taker->err, taker->err_size, "%s: outside %g to %g", name, least, most);
        taker->failed = true;
        return;
    }
    *out = *value;
}

static void take_links(struct taker *taker, struct pm_links_setting *out,
                       const struct links_form *form)
{
    if (form->observe)
        out->observe = *form->observe;
    if (form->decide)
        out->decide = *form->decide;
    take(taker, &out->probe_s, form->probe_s, "links.probe_s", 0.1, 60);
    take(taker, &out->down_s, form->down_s, "links.down_s", 0.3, 60);
    take(taker, &out->recover_s, form->recover_s, "links.recover_s", 0, 60);
    take(taker, &out->half_life_s, form->half_life_s, "links.half_life_s", 1, 3600);
    take(taker, &out->expire_s, form->expire_s, "links.expire_s", 1, 600);
    if (form->trace_dir)
        snprintf(out->trace_dir, sizeof out->trace_dir, "%s", form->trace_dir);
    if (form->trace_mb)
        out->trace_mb = *form->trace_mb;
    if (taker->failed)
        return;
    if (out->decide && !out->observe)
        snprintf(taker->err, taker->err_size, "links.decide: needs links.observe");
    else if (out->expire_s < 2 * out->probe_s)
        snprintf(taker->err, taker->err_size, "links.expire_s: less than twice links.probe_s");
    else if (out->trace_mb < 1 || out->trace_mb > 4096)
        snprintf(taker->err, taker->err_size, "links.trace_mb: outside 1 to 4096");
    else
        return;
    taker->failed = true;
}

static void take_duties(struct taker *taker, struct pm_roles_setting *out,
                        const struct duties_form *form)
{
    if (form->fence)
        out->enabled = *form->fence;
    take(taker, &out->ttl_s, form->ttl_s, "duties.ttl_s", 1, 600);
    take(taker, &out->gc_after_s, form->clean_after_s, "duties.clean_after_s", 1, 31536000);
    take(taker, &out->audit_log_period_s, form->record_period_s, "duties.record_period_s", 1,
         604800);
    if (form->record_dir)
        snprintf(out->audit_log_dir, sizeof out->audit_log_dir, "%s", form->record_dir);
    if (form->record_mb)
        out->audit_log_mb = *form->record_mb;
    if (!taker->failed && (out->audit_log_mb < 1 || out->audit_log_mb > 65536)) {
        snprintf(taker->err, taker->err_size, "duties.record_mb: outside 1 to 65536");
        taker->failed = true;
    }
}

static void take_all(struct taker *taker, struct pm_operator_settings *out,
                     const struct yaml_form *form)
{
    take(taker, &out->window_h, form->window_h, "window_h", 0.01, 8784);
    take(taker, &out->min_runtime_s, form->min_runtime_s, "min_runtime_s", 0, 28800);
    take(taker, &out->leader_ttl_s, form->leader_ttl_s, "leader_ttl_s", 0.5, 60);
    take(taker, &out->confirm_s, form->confirm_s, "confirm_s", 0.2, 60);
    take(taker, &out->idle_return_s, form->idle_return_s, "idle_return_s", 0, 86400);
    take(taker, &out->warm_share, form->warm_share, "warm_share", 0, 4);
    take(taker, &out->replica_due_s, form->replica_due_s, "replica_due_s", 0, 3600);
    take(taker, &out->backlog_s, form->backlog_s, "backlog_s", 1, 86400);
    if (form->admit_min)
        out->admit_min = *form->admit_min;
    if (form->admit_max)
        out->admit_max = *form->admit_max;
    if (!taker->failed && (out->admit_min < 1 || out->admit_max < out->admit_min)) {
        snprintf(taker->err, taker->err_size,
                 "admit_min, admit_max: need 1 <= admit_min <= admit_max");
        taker->failed = true;
    }
    if (form->links)
        take_links(taker, &out->links, form->links);
    if (form->duties)
        take_duties(taker, &out->roles, form->duties);
}

int pm_operator_settings_load(struct pm_operator_settings *out, const char *path, char *err,
                              size_t err_size)
{
    struct complaint complaint = {err, err_size};
    const cyaml_config_t config = {.log_fn = on_parser_log,
                                   .log_ctx = &complaint,
                                   .log_level = CYAML_LOG_ERROR,
                                   .mem_fn = cyaml_mem};
    struct taker taker = {err, err_size, false};
    struct yaml_form *form = NULL;
    cyaml_err_t code;

    pm_operator_settings_defaults(out);
    err[0] = 0;
    code = cyaml_load_file(path, &config, &yaml_schema, (cyaml_data_t **)&form, NULL);
    if (code != CYAML_OK) {
        if (!err[0])
            snprintf(err, err_size, "%s", cyaml_strerror(code));
        return -1;
    }
    if (!form)
        return 0; /* an empty file */
    take_all(&taker, out, form);
    cyaml_free(&config, &yaml_schema, form, 0);
    return taker.failed ? -1 : 0;
}
