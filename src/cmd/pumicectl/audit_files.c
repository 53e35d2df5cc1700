#include "audit_files.h"
#include "roles/audit_log.h"

#include <glib.h>

enum { REASON_SIZE = 256 };

/* Formats a time of day in UTC. Returns a text owned by the caller, or "" if the time is out of
 * range. */
static char *format_wall(double wall)
{
    GDateTime *time = g_date_time_new_from_unix_utc((gint64)wall);
    char *text;

    if (!time)
        return g_strdup("");
    text = g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ");
    g_date_time_unref(time);
    return text;
}

/* Appends the entry to the JSON array `arg`. */
static void add_entry(void *arg, const struct pm_audit_entry *entry)
{
    json_t *entries = arg;
    char *time = format_wall(entry->wall);

    json_array_append_new(entries, json_pack("{s:I, s:s, s:s, s:s, s:s, s:s}", "number",
                                             (json_int_t)entry->number, "when", time, "event",
                                             entry->event, "duty", entry->role, "subject",
                                             entry->subject, "detail", entry->detail));
    g_free(time);
}

static const char *describe_state(enum pm_audit_file_state state)
{
    switch (state) {
    case PM_AUDIT_FILE_COMPLETE:
        return "whole";
    case PM_AUDIT_FILE_TRUNCATED:
        return "incomplete, read up to its last complete entry";
    case PM_AUDIT_FILE_CORRUPT:
        return "corrupt after its last readable entry";
    default:
        return "missing, or not an audit log file";
    }
}

/* Reads one file, appends its entries to `entries` and sets `state`. Returns an object that
 * describes the file, owned by the caller. */
static json_t *read_file(const char *path, json_t *entries, enum pm_audit_file_state *state)
{
    char reason[REASON_SIZE];

    *state = pm_audit_log_read_file(path, add_entry, entries, reason, sizeof reason);
    return json_pack("{s:s, s:s, s:I, s:b, s:s}", "file", path, "state", describe_state(*state),
                     "count", (json_int_t)json_array_size(entries), "has_why", reason[0] != 0,
                     "why", reason);
}

struct pm_report pm_report_audit_files(char *const *paths, int count, bool with_entries)
{
    struct pm_report report = {.exit = PM_EXIT_OK};
    json_t *files = json_array();

    for (int i = 0; i < count; i++) {
        json_t *entries = json_array();
        enum pm_audit_file_state state;
        json_array_append_new(files, read_file(paths[i], entries, &state));
        if (with_entries)
            json_object_set(json_array_get(files, (size_t)i), "entries", entries);
        json_decref(entries);
        if (state != PM_AUDIT_FILE_COMPLETE)
            report.exit = PM_EXIT_PROBLEMS;
    }
    report.document = json_pack("{s:o}", "files", files);
    return report;
}
