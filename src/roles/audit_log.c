#include "roles/audit_log.h"
#include "base/cbor.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/writer.h"

#include <archive.h>
#include <archive_entry.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
    QUEUE_MOST = 8192,     /* entries that wait for the thread */
    BLOCK_SIZE = 512,      /* of a tar archive */
    FILES_KEPT = 8,        /* a file is closed at this share of the size that is kept */
    ENTRY_MOST = 4 * 1024, /* bytes of one entry's value */
    NAME_SIZE = 768
};

#define PART ".part"
#define SEAL "sealed" /* the event of the last entry of a whole file; no other entry has it */

struct pm_audit_log {
    char dir[256], controller[128];
    double period_s;
    uint64_t bytes_most; /* of all files together */
    struct pm_writer *writer;
    /* The writer's own. */
    struct archive *archive;
    int file;
    char path[NAME_SIZE]; /* without PART */
    double opened;
    uint64_t bytes, entries, files;
    bool failing; /* said so already */
};

/* ---- what is kept ---- */

static bool is_of_controller(const struct pm_audit_log *r, const char *name)
{
    char start[160];

    snprintf(start, sizeof start, "duties-%s-", r->controller);
    return g_str_has_prefix(name, start) &&
           (g_str_has_suffix(name, ".tar") || g_str_has_suffix(name, ".tar" PART));
}

static gint by_name(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Deletes the oldest files until the others take no more than is kept. */
static void bound_size(const struct pm_audit_log *r)
{
    GDir *dir = g_dir_open(r->dir, 0, NULL);
    GPtrArray *paths = g_ptr_array_new_with_free_func(g_free);
    uint64_t bytes = 0;
    const char *name;

    while (dir && (name = g_dir_read_name(dir)))
        if (is_of_controller(r, name))
            g_ptr_array_add(paths, g_build_filename(r->dir, name, NULL));
    if (dir)
        g_dir_close(dir);
    g_ptr_array_sort(paths, by_name); /* the newest last: names go by time */
    for (guint i = paths->len; i > 0; i--) {
        const char *path = g_ptr_array_index(paths, i - 1);
        GStatBuf status;
        if (g_stat(path, &status))
            continue;
        bytes += (uint64_t)status.st_size;
        if (bytes > r->bytes_most)
            g_unlink(path);
    }
    g_ptr_array_free(paths, TRUE);
}

/* ---- writing ---- */

static void say_failing(struct pm_audit_log *r, const char *what)
{
    if (!r->failing)
        pm_error("audit_log.error", "%s: %s; entries are lost", r->path,
                 r->archive && archive_error_string(r->archive) ? archive_error_string(r->archive)
                                                                : what);
    r->failing = true;
}

static void put_entry(const struct pm_audit_entry *entry, struct pm_buf *out)
{
    pm_put_map(out);
    pm_put_pair_count(out, "number", entry->number);
    pm_put_pair_number(out, "day", entry->day);
    pm_put_pair_text(out, "event", entry->event);
    pm_put_pair_text(out, "duty", entry->duty);
    pm_put_pair_text(out, "subject", entry->subject);
    pm_put_pair_text(out, "detail", entry->detail);
    pm_put_end(out);
}

static bool write_member(struct pm_audit_log *r, const struct pm_audit_entry *entry)
{
    struct archive_entry *member = archive_entry_new();
    struct pm_buf value = {0};
    char name[64];
    bool well;

    put_entry(entry, &value);
    snprintf(name, sizeof name, "%09llu-%s.cbor", (unsigned long long)entry->number, entry->event);
    archive_entry_set_pathname(member, name);
    archive_entry_set_filetype(member, AE_IFREG);
    archive_entry_set_perm(member, 0640);
    archive_entry_set_size(member, (la_int64_t)value.size);
    archive_entry_set_mtime(member, (time_t)entry->day, 0);
    well = archive_write_header(r->archive, member) == ARCHIVE_OK &&
           archive_write_data(r->archive, value.data, value.size) == (la_ssize_t)value.size &&
           archive_write_finish_entry(r->archive) == ARCHIVE_OK;
    r->bytes += BLOCK_SIZE + (value.size + BLOCK_SIZE - 1) / BLOCK_SIZE * BLOCK_SIZE;
    archive_entry_free(member);
    pm_buf_free(&value);
    return well;
}

static void close_file(struct pm_audit_log *r)
{
    struct pm_audit_entry seal = {.number = r->entries + 1, .day = pm_clock_wall(), .event = SEAL};
    char part[NAME_SIZE + sizeof PART];
    bool whole;

    if (!r->archive)
        return;
    whole = write_member(r, &seal) && archive_write_close(r->archive) == ARCHIVE_OK;
    if (!whole)
        say_failing(r, "not closed");
    archive_write_free(r->archive);
    r->archive = NULL;
    whole &= !fsync(r->file);
    close(r->file);
    snprintf(part, sizeof part, "%s" PART, r->path);
    if (whole)
        g_rename(part, r->path);
    bound_size(r);
}

static bool open_file(struct pm_audit_log *r, double day)
{
    char part[NAME_SIZE + sizeof PART];

    r->opened = day;
    r->bytes = r->entries = 0;
    snprintf(r->path, sizeof r->path, "%s/duties-%s-%012.0f-%d-%03llu.tar", r->dir, r->controller,
             day, (int)getpid(), (unsigned long long)++r->files);
    snprintf(part, sizeof part, "%s" PART, r->path);
    r->file = open(part, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0640);
    if (r->file < 0) {
        say_failing(r, g_strerror(errno));
        return false;
    }
    r->archive = archive_write_new();
    /* Each entry is on its way to the disk once it has ended: no larger block gathers them. */
    if (r->archive && archive_write_set_format_ustar(r->archive) == ARCHIVE_OK &&
        archive_write_set_bytes_per_block(r->archive, BLOCK_SIZE) == ARCHIVE_OK &&
        archive_write_open_fd(r->archive, r->file) == ARCHIVE_OK) {
        r->failing = false;
        return true;
    }
    say_failing(r, "no archive");
    archive_write_free(r->archive);
    r->archive = NULL;
    close(r->file);
    return false;
}

static void write_entry(void *arg, const void *item)
{
    struct pm_audit_log *r = arg;
    struct pm_audit_entry entry = *(const struct pm_audit_entry *)item;

    if (r->archive &&
        (fabs(entry.day - r->opened) >= r->period_s || r->bytes > r->bytes_most / FILES_KEPT))
        close_file(r);
    if (!r->archive && !open_file(r, entry.day))
        return;
    entry.number = ++r->entries;
    if (write_member(r, &entry))
        return;
    say_failing(r, "not written");
    close_file(r);
}

void pm_audit_log_append(struct pm_audit_log *r, const char *event, const char *duty,
                         const char *subject, const char *detail)
{
    struct pm_audit_entry *entry = g_new0(struct pm_audit_entry, 1);

    entry->day = pm_clock_wall();
    g_strlcpy(entry->event, event, sizeof entry->event);
    g_strlcpy(entry->duty, duty, sizeof entry->duty);
    g_strlcpy(entry->subject, subject, sizeof entry->subject);
    g_strlcpy(entry->detail, detail, sizeof entry->detail);
    pm_writer_push(r->writer, entry);
}

uint64_t pm_audit_log_dropped(const struct pm_audit_log *r)
{
    return pm_writer_dropped(r->writer);
}

struct pm_audit_log *pm_audit_log_new(const char *dir, const char *controller, double period_s,
                                      unsigned megabytes, char *err, size_t err_size)
{
    struct pm_audit_log *r;

    if (g_mkdir_with_parents(dir, 0750) || g_access(dir, W_OK | X_OK)) {
        snprintf(err, err_size, "%s: %s", dir, g_strerror(errno));
        return NULL;
    }
    r = g_new0(struct pm_audit_log, 1);
    g_strlcpy(r->dir, dir, sizeof r->dir);
    g_strlcpy(r->controller, controller, sizeof r->controller);
    r->period_s = period_s;
    r->bytes_most = (uint64_t)megabytes * 1024 * 1024;
    r->writer = pm_writer_new("record", QUEUE_MOST,
                              &(struct pm_writer_hooks){.write = write_entry, .arg = r});
    return r;
}

void pm_audit_log_free(struct pm_audit_log *r)
{
    pm_writer_free(r->writer);
    close_file(r);
    g_free(r);
}

/* ---- reading ---- */

static bool read_entry(const void *data, size_t size, struct pm_audit_entry *out)
{
    cbor_item_t *value = pm_cbor_parse(data, size);
    bool well =
        value && pm_cbor_read_count(pm_cbor_get(value, "number"), &out->number) &&
        pm_cbor_read_number(pm_cbor_get(value, "day"), &out->day) &&
        pm_cbor_read_text(pm_cbor_get(value, "event"), out->event, sizeof out->event) &&
        pm_cbor_read_text(pm_cbor_get(value, "duty"), out->duty, sizeof out->duty) &&
        pm_cbor_read_text(pm_cbor_get(value, "subject"), out->subject, sizeof out->subject) &&
        pm_cbor_read_text(pm_cbor_get(value, "detail"), out->detail, sizeof out->detail);

    pm_cbor_free(value);
    return well;
}

static enum pm_audit_file_state read_members(struct archive *archive, pm_audit_entry_reader *reader,
                                             void *arg, char *why, size_t why_size)
{
    struct archive_entry *member;
    uint64_t number = 0;
    bool sealed = false;
    char data[ENTRY_MOST];
    int code;

    while ((code = archive_read_next_header(archive, &member)) == ARCHIVE_OK) {
        struct pm_audit_entry entry = {0};
        la_ssize_t size = archive_read_data(archive, data, sizeof data);
        if (size < 0 || size < archive_entry_size(member)) {
            snprintf(why, why_size, "entry %llu is cut off", (unsigned long long)number + 1);
            return PM_AUDIT_FILE_TRUNCATED;
        }
        if (!read_entry(data, (size_t)size, &entry) || entry.number != number + 1) {
            snprintf(why, why_size, "entry %llu can't be read, or is missing",
                     (unsigned long long)number + 1);
            return PM_AUDIT_FILE_CORRUPT;
        }
        number++;
        sealed = !strcmp(entry.event, SEAL);
        if (!sealed)
            reader(arg, &entry);
    }
    if (code == ARCHIVE_EOF && sealed)
        return PM_AUDIT_FILE_COMPLETE;
    if (code == ARCHIVE_EOF) {
        snprintf(why, why_size, "it was never closed");
        return PM_AUDIT_FILE_TRUNCATED;
    }
    snprintf(why, why_size, "%s", archive_error_string(archive));
    return strstr(why, "runcated") ? PM_AUDIT_FILE_TRUNCATED : PM_AUDIT_FILE_CORRUPT;
}

enum pm_audit_file_state pm_audit_log_read_file(const char *path, pm_audit_entry_reader *reader,
                                                void *arg, char *why, size_t why_size)
{
    struct archive *archive = archive_read_new();
    enum pm_audit_file_state state = PM_AUDIT_FILE_MISSING;

    why[0] = 0;
    archive_read_support_format_tar(archive);
    if (archive_read_open_filename(archive, path, BLOCK_SIZE) == ARCHIVE_OK)
        state = read_members(archive, reader, arg, why, why_size);
    else
        snprintf(why, why_size, "%s", archive_error_string(archive));
    archive_read_free(archive);
    return state;
}
