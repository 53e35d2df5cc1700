#include "record_files.h"
#include "roles/audit_log.h"

#include <glib.h>

static void add_entry(void *arg, const struct pm_audit_entry *entry)
{
    json_t *entries = arg;
    GDateTime *when = g_date_time_new_from_unix_utc((gint64)entry->day);
    char *text = when ? g_date_time_format(when, "%Y-%m-%dT%H:%M:%SZ") : g_strdup("");

    json_array_append_new(entries, json_pack("{s:I, s:s, s:s, s:s, s:s, s:s}", "number",
                                             (json_int_t)entry->number, "when", text, "event",
                                             entry->event, "duty", entry->duty, "subject",
                                             entry->subject, "detail", entry->detail));
    if (when)
        g_date_time_unref(when);
    g_free(text);
}

static const char *name_state(enum pm_audit_file_state state)
{
    switch (state) {
    case PM_AUDIT_FILE_COMPLETE:
        return "whole";
    case PM_AUDIT_FILE_TRUNCATED:
        return "read to its last whole entry";
    case PM_AUDIT_FILE_CORRUPT:
        return "damaged after the last entry told";
    default:
        return "not a record";
    }
}

struct pm_report pm_record_files(char *const *paths, int count, bool list)
{
    struct pm_report out = {.exit = PM_EXIT_WELL};
    json_t *files = json_array();

    for (int i = 0; i < count; i++) {
        json_t *entries = json_array();
        char why[256];
        enum pm_audit_file_state state =
            pm_audit_log_read_file(paths[i], add_entry, entries, why, sizeof why);
        json_array_append_new(files, json_pack("{s:s, s:s, s:I, s:b, s:s}", "file", paths[i],
                                               "state", name_state(state), "count",
                                               (json_int_t)json_array_size(entries), "has_why",
                                               why[0] != 0, "why", why));
        if (list)
            json_object_set(json_array_get(files, (size_t)i), "entries", entries);
        json_decref(entries);
        if (state != PM_AUDIT_FILE_COMPLETE)
            out.exit = PM_EXIT_WRONG;
    }
    out.document = json_pack("{s:o}", "files", files);
    return out;
}
