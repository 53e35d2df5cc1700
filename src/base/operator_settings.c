/* The operators' settings, read from YAML. */
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

/* The file's contents. Every key is optional: if its pointer is NULL, the default is kept. */
struct links_section {
    bool *observe, *decide;
    double *probe_s, *down_s, *recover_s, *half_life_s, *expire_s;
    char *trace_dir;
    unsigned *trace_mb;
};

struct roles_section {
    bool *fence;
    double *ttl_s, *clean_after_s, *record_period_s;
    char *record_dir;
    unsigned *record_mb;
};

struct operator_file {
    double *window_h, *min_runtime_s, *leader_ttl_s, *confirm_s, *idle_return_s, *warm_share,
        *replica_due_s, *backlog_s;
    unsigned *admit_min, *admit_max;
    struct links_section *links;
    struct roles_section *duties;
};

#define OPTIONAL (CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL)
#define YAML_NUMBER(key) CYAML_FIELD_FLOAT_PTR(#key, OPTIONAL, struct operator_file, key)
#define YAML_COUNT(key) CYAML_FIELD_UINT_PTR(#key, OPTIONAL, struct operator_file, key)
#define LINKS_NUMBER(key) CYAML_FIELD_FLOAT_PTR(#key, OPTIONAL, struct links_section, key)
#define LINKS_FLAG(key) CYAML_FIELD_BOOL_PTR(#key, OPTIONAL, struct links_section, key)

static const cyaml_schema_field_t links_fields[] = {
    LINKS_FLAG(observe),
    LINKS_FLAG(decide),
    LINKS_NUMBER(probe_s),
    LINKS_NUMBER(down_s),
    LINKS_NUMBER(recover_s),
    LINKS_NUMBER(half_life_s),
    LINKS_NUMBER(expire_s),
    CYAML_FIELD_STRING_PTR("trace_dir", OPTIONAL, struct links_section, trace_dir, 0, 255),
    CYAML_FIELD_UINT_PTR("trace_mb", OPTIONAL, struct links_section, trace_mb),
    CYAML_FIELD_END};

static const cyaml_schema_field_t roles_fields[] = {
    CYAML_FIELD_BOOL_PTR("fence", OPTIONAL, struct roles_section, fence),
    CYAML_FIELD_FLOAT_PTR("ttl_s", OPTIONAL, struct roles_section, ttl_s),
    CYAML_FIELD_FLOAT_PTR("clean_after_s", OPTIONAL, struct roles_section, clean_after_s),
    CYAML_FIELD_STRING_PTR("record_dir", OPTIONAL, struct roles_section, record_dir, 0, 255),
    CYAML_FIELD_FLOAT_PTR("record_period_s", OPTIONAL, struct roles_section, record_period_s),
    CYAML_FIELD_UINT_PTR("record_mb", OPTIONAL, struct roles_section, record_mb),
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
    CYAML_FIELD_MAPPING_PTR("links", OPTIONAL, struct operator_file, links, links_fields),
    CYAML_FIELD_MAPPING_PTR("duties", OPTIONAL, struct operator_file, duties, roles_fields),
    CYAML_FIELD_END};

static const cyaml_schema_value_t yaml_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct operator_file, yaml_fields)};

/* The parser's messages, joined to one line: they name the invalid key first, then its path. */
struct parser_messages {
    char *text;
    size_t size;
};

static void collect_message(cyaml_log_t level, void *arg, const char *fmt, va_list args)
{
    struct parser_messages *parser_messages = arg;
    size_t used = strlen(parser_messages->text);

    (void)level;
    if (used + 1 >= parser_messages->size)
        return;
    vsnprintf(parser_messages->text + used, parser_messages->size - used, fmt, args);
    for (char *character = parser_messages->text + used; *character; character++)
        if (*character == '\n')
            *character = ';';
}

/* Where the error of the first invalid value is written. Once `failed` is set, values that follow
 * are not checked. */
struct reader {
    char *err;
    size_t err_size;
    bool failed;
};

/* Sets `out` to the value if the file has one and it is in its range. */
static void apply_number(struct reader *reader, double *out, const double *value, const char *name,
                         double minimum, double maximum)
{
    if (!value || reader->failed)
        return;
    if (!isfinite(*value) || *value < minimum || *value > maximum) {
        snprintf(reader->err, reader->err_size, "%s: must be between %g and %g", name, minimum,
                 maximum);
        reader->failed = true;
        return;
    }
    *out = *value;
}

static void apply_links(struct reader *reader, struct pm_links_setting *out,
                        const struct links_section *file)
{
    if (file->observe)
        out->observe = *file->observe;
    if (file->decide)
        out->decide = *file->decide;
    apply_number(reader, &out->probe_s, file->probe_s, "links.probe_s", 0.1, 60);
    apply_number(reader, &out->down_s, file->down_s, "links.down_s", 0.3, 60);
    apply_number(reader, &out->recover_s, file->recover_s, "links.recover_s", 0, 60);
    apply_number(reader, &out->half_life_s, file->half_life_s, "links.half_life_s", 1, 3600);
    apply_number(reader, &out->expire_s, file->expire_s, "links.expire_s", 1, 600);
    if (file->trace_dir)
        snprintf(out->trace_dir, sizeof out->trace_dir, "%s", file->trace_dir);
    if (file->trace_mb)
        out->trace_mb = *file->trace_mb;
    if (reader->failed)
        return;
    if (out->decide && !out->observe)
        snprintf(reader->err, reader->err_size, "links.decide: requires links.observe");
    else if (out->expire_s < 2 * out->probe_s)
        snprintf(reader->err, reader->err_size,
                 "links.expire_s: must be at least twice links.probe_s");
    else if (out->trace_mb < 1 || out->trace_mb > 4096)
        snprintf(reader->err, reader->err_size, "links.trace_mb: must be between 1 and 4096");
    else
        return;
    reader->failed = true;
}

static void apply_roles(struct reader *reader, struct pm_roles_setting *out,
                        const struct roles_section *file)
{
    if (file->fence)
        out->enabled = *file->fence;
    apply_number(reader, &out->ttl_s, file->ttl_s, "duties.ttl_s", 1, 600);
    apply_number(reader, &out->gc_after_s, file->clean_after_s, "duties.clean_after_s", 1,
                 31536000);
    apply_number(reader, &out->audit_log_period_s, file->record_period_s, "duties.record_period_s",
                 1, 604800);
    if (file->record_dir)
        snprintf(out->audit_log_dir, sizeof out->audit_log_dir, "%s", file->record_dir);
    if (file->record_mb)
        out->audit_log_mb = *file->record_mb;
    if (!reader->failed && (out->audit_log_mb < 1 || out->audit_log_mb > 65536)) {
        snprintf(reader->err, reader->err_size, "duties.record_mb: must be between 1 and 65536");
        reader->failed = true;
    }
}

static void apply_all(struct reader *reader, struct pm_operator_settings *out,
                      const struct operator_file *file)
{
    apply_number(reader, &out->window_h, file->window_h, "window_h", 0.01, 8784);
    apply_number(reader, &out->min_runtime_s, file->min_runtime_s, "min_runtime_s", 0, 28800);
    apply_number(reader, &out->leader_ttl_s, file->leader_ttl_s, "leader_ttl_s", 0.5, 60);
    apply_number(reader, &out->confirm_s, file->confirm_s, "confirm_s", 0.2, 60);
    apply_number(reader, &out->idle_return_s, file->idle_return_s, "idle_return_s", 0, 86400);
    apply_number(reader, &out->warm_share, file->warm_share, "warm_share", 0, 4);
    apply_number(reader, &out->replica_due_s, file->replica_due_s, "replica_due_s", 0, 3600);
    apply_number(reader, &out->backlog_s, file->backlog_s, "backlog_s", 1, 86400);
    if (file->admit_min)
        out->admit_min = *file->admit_min;
    if (file->admit_max)
        out->admit_max = *file->admit_max;
    if (!reader->failed && (out->admit_min < 1 || out->admit_max < out->admit_min)) {
        snprintf(reader->err, reader->err_size,
                 "admit_min, admit_max: must satisfy 1 <= admit_min <= admit_max");
        reader->failed = true;
    }
    if (file->links)
        apply_links(reader, &out->links, file->links);
    if (file->duties)
        apply_roles(reader, &out->roles, file->duties);
}

bool pm_operator_settings_load(struct pm_operator_settings *out, const char *path, char *err,
                               size_t err_size)
{
    struct parser_messages parser_messages = {err, err_size};
    const cyaml_config_t config = {.log_fn = collect_message,
                                   .log_ctx = &parser_messages,
                                   .log_level = CYAML_LOG_ERROR,
                                   .mem_fn = cyaml_mem};
    struct reader reader = {err, err_size, false};
    struct operator_file *file = NULL;
    cyaml_err_t code;

    pm_operator_settings_defaults(out);
    err[0] = 0;
    code = cyaml_load_file(path, &config, &yaml_schema, (cyaml_data_t **)&file, NULL);
    if (code != CYAML_OK) {
        if (!err[0])
            snprintf(err, err_size, "%s", cyaml_strerror(code));
        return false;
    }
    if (!file)
        return true; /* the file is empty */
    apply_all(&reader, out, file);
    cyaml_free(&config, &yaml_schema, file, 0);
    return !reader.failed;
}
