/* Reads a file of the audit log, including one that its writer did not close. */
#include "roles/audit_log.h"

#include <archive.h>
#include <archive_entry.h>
#include <stdio.h>
#include <string.h>

/* Occurs in each message of the archive library about a file that ends early; the first letter is
 * left out because it may be a capital. */
#define TRUNCATED_MESSAGE "runcated"

/* The state of reading one file. */
struct audit_reading {
    struct archive *archive;
    uint64_t number; /* number of the last entry read, 0 before the first */
    bool is_sealed;  /* the last entry read was the seal */
    char *why;       /* set to what is wrong with the file */
    size_t why_size;
};

/* Reads `entry` from the member. Returns PM_AUDIT_FILE_COMPLETE if it was read, otherwise the state
 * of the file. */
static enum pm_audit_file_state read_member(struct audit_reading *reading,
                                            struct archive_entry *member,
                                            struct pm_audit_entry *entry)
{
    char data[PM_AUDIT_VALUE_MAX];
    la_ssize_t size = archive_read_data(reading->archive, data, sizeof data);
    unsigned long long expected = reading->number + 1;

    if (size < 0 || size < archive_entry_size(member)) {
        snprintf(reading->why, reading->why_size, "entry %llu is cut off", expected);
        return PM_AUDIT_FILE_TRUNCATED;
    }
    if (!pm_audit_entry_decode(data, (size_t)size, entry) || entry->number != expected) {
        snprintf(reading->why, reading->why_size, "entry %llu can't be read, or is missing",
                 expected);
        return PM_AUDIT_FILE_CORRUPT;
    }
    reading->number = entry->number;
    reading->is_sealed = !strcmp(entry->event, PM_AUDIT_SEAL_EVENT);
    return PM_AUDIT_FILE_COMPLETE;
}

/* Returns the state of the file after its last readable entry. `code` is the archive library's
 * result for the request to read the next one. */
static enum pm_audit_file_state classify_end(struct audit_reading *reading, int code)
{
    if (code == ARCHIVE_EOF && reading->is_sealed)
        return PM_AUDIT_FILE_COMPLETE;
    if (code == ARCHIVE_EOF) {
        snprintf(reading->why, reading->why_size, "it was never closed");
        return PM_AUDIT_FILE_TRUNCATED;
    }
    snprintf(reading->why, reading->why_size, "%s", archive_error_string(reading->archive));
    return strstr(reading->why, TRUNCATED_MESSAGE) ? PM_AUDIT_FILE_TRUNCATED
                                                   : PM_AUDIT_FILE_CORRUPT;
}

static enum pm_audit_file_state read_members(struct audit_reading *reading,
                                             pm_audit_entry_reader *reader, void *arg)
{
    struct archive_entry *member;
    int code;

    while ((code = archive_read_next_header(reading->archive, &member)) == ARCHIVE_OK) {
        struct pm_audit_entry entry = {0};
        enum pm_audit_file_state state = read_member(reading, member, &entry);
        if (state != PM_AUDIT_FILE_COMPLETE)
            return state;
        if (!reading->is_sealed)
            reader(arg, &entry);
    }
    return classify_end(reading, code);
}

enum pm_audit_file_state pm_audit_log_read_file(const char *path, pm_audit_entry_reader *reader,
                                                void *arg, char *why, size_t why_size)
{
    struct audit_reading reading = {
        .archive = archive_read_new(), .why = why, .why_size = why_size};
    enum pm_audit_file_state state = PM_AUDIT_FILE_MISSING;

    why[0] = 0;
    archive_read_support_format_tar(reading.archive);
    if (archive_read_open_filename(reading.archive, path, PM_AUDIT_TAR_BLOCK) == ARCHIVE_OK)
        state = read_members(&reading, reader, arg);
    else
        snprintf(why, why_size, "%s", archive_error_string(reading.archive));
    archive_read_free(reading.archive);
    return state;
}
