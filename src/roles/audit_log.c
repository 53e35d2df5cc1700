/* Writes the audit log, and deletes its oldest files. */
#include "roles/audit_log.h"
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
#include <string.h>
#include <unistd.h>

enum {
    QUEUE_MAX = 8192, /* limit of entries that wait for the writer's thread */
    /* A file is closed once it is larger than `max_bytes` divided by this, so that about
     * this many files are kept, or more. */
    FILES_KEPT_MIN = 8,
    FILE_MODE = 0640,
    DIR_MODE = 0750,
    DIR_SIZE = 256,
    CONTROLLER_SIZE = 128,
    FILE_PREFIX_SIZE = 160,
    PATH_SIZE = 768,
    MEMBER_NAME_SIZE = 64,
    BYTES_PER_MEGABYTE = 1024 * 1024
};

#define PART_SUFFIX ".part"

/* The file that is being written. Used only in the writer's thread. */
struct audit_file {
    struct archive *archive; /* NULL while no file is open */
    int fd;
    char path[PATH_SIZE];    /* its final path, without PART_SUFFIX */
    double opened_wall;      /* time of day when it was opened */
    uint64_t bytes, entries; /* written so far */
};

struct pm_audit_log {
    /* Set by pm_audit_log_new and never changed. */
    char dir[DIR_SIZE], controller[CONTROLLER_SIZE];
    double max_file_age_s; /* a file is closed when it was opened this long ago */
    uint64_t max_bytes;    /* bytes allowed for all files of this controller together */
    struct pm_writer *writer;
    /* Used only in the writer's thread. */
    struct audit_file file;
    uint64_t file_count; /* number of files opened so far, part of the next file's name */
    bool error_reported; /* an error was logged since a file was last opened */
};

/* ---- deleting old files ---- */

static bool is_own_file(const struct pm_audit_log *log, const char *name)
{
    char prefix[FILE_PREFIX_SIZE];

    snprintf(prefix, sizeof prefix, "duties-%s-", log->controller);
    return g_str_has_prefix(name, prefix) &&
           (g_str_has_suffix(name, ".tar") || g_str_has_suffix(name, ".tar" PART_SUFFIX));
}

static gint compare_paths(gconstpointer left, gconstpointer right)
{
    return strcmp(*(const char *const *)left, *(const char *const *)right);
}

/* Returns the paths of this controller's files, oldest first: their names contain the time at which
 * they were opened. The caller frees the array. */
static GPtrArray *list_own_files(const struct pm_audit_log *log)
{
    GPtrArray *paths = g_ptr_array_new_with_free_func(g_free);
    GDir *dir = g_dir_open(log->dir, 0, NULL);
    const char *name;

    if (!dir)
        return paths;
    while ((name = g_dir_read_name(dir)))
        if (is_own_file(log, name))
            g_ptr_array_add(paths, g_build_filename(log->dir, name, NULL));
    g_dir_close(dir);
    g_ptr_array_sort(paths, compare_paths);
    return paths;
}

/* Deletes the oldest files, so that the remaining ones stay within `max_bytes`. */
static void delete_old_files(const struct pm_audit_log *log)
{
    GPtrArray *paths = list_own_files(log);
    uint64_t bytes = 0;

    for (guint i = paths->len; i > 0; i--) {
        const char *path = g_ptr_array_index(paths, i - 1);
        GStatBuf status;
        if (g_stat(path, &status))
            continue;
        bytes += (uint64_t)status.st_size;
        if (bytes > log->max_bytes)
            g_unlink(path);
    }
    g_ptr_array_free(paths, TRUE);
}

/* ---- writing, in the writer's thread ---- */

/* Logs an error, unless one was logged since a file was last opened. `fallback` describes the error
 * if the archive library has no message. */
static void report_error(struct pm_audit_log *log, const char *fallback)
{
    struct archive *archive = log->file.archive;
    const char *archive_error = archive ? archive_error_string(archive) : NULL;

    if (!log->error_reported)
        pm_error("audit_log.error", "writing audit log file %s failed: %s; entries are lost",
                 log->file.path, archive_error ? archive_error : fallback);
    log->error_reported = true;
}

/* Returns how many bytes a member takes in the archive: a header of one block, and its data padded
 * to whole blocks. */
static uint64_t member_bytes(size_t value_size)
{
    uint64_t blocks = (value_size + PM_AUDIT_TAR_BLOCK - 1) / PM_AUDIT_TAR_BLOCK;

    return PM_AUDIT_TAR_BLOCK + blocks * PM_AUDIT_TAR_BLOCK;
}

static void describe_member(struct archive_entry *member, const struct pm_audit_entry *entry,
                            size_t value_size)
{
    char name[MEMBER_NAME_SIZE];

    snprintf(name, sizeof name, "%09llu-%s.cbor", (unsigned long long)entry->number, entry->event);
    archive_entry_set_pathname(member, name);
    archive_entry_set_filetype(member, AE_IFREG);
    archive_entry_set_perm(member, FILE_MODE);
    archive_entry_set_size(member, (la_int64_t)value_size);
    archive_entry_set_mtime(member, (time_t)entry->wall, 0);
}

/* Writes the entry as one member. Returns false if it was not written completely. */
static bool write_member(struct audit_file *file, const struct pm_audit_entry *entry)
{
    struct archive_entry *member = archive_entry_new();
    struct pm_buffer value = {0};
    bool is_written;

    pm_audit_entry_encode(entry, &value);
    describe_member(member, entry, value.size);
    is_written =
        archive_write_header(file->archive, member) == ARCHIVE_OK &&
        archive_write_data(file->archive, value.data, value.size) == (la_ssize_t)value.size &&
        archive_write_finish_entry(file->archive) == ARCHIVE_OK;
    file->bytes += member_bytes(value.size);
    archive_entry_free(member);
    pm_buffer_free(&value);
    return is_written;
}

static void format_part_path(const struct audit_file *file, char *out, size_t size)
{
    snprintf(out, size, "%s" PART_SUFFIX, file->path);
}

/* Writes the seal, which is the last entry of a complete file, closes the file and renames it to
 * its final path. A file that can't be completed keeps PART_SUFFIX. */
static void close_file(struct pm_audit_log *log)
{
    struct audit_file *file = &log->file;
    struct pm_audit_entry seal = {
        .number = file->entries + 1, .wall = pm_clock_wall(), .event = PM_AUDIT_SEAL_EVENT};
    char part_path[PATH_SIZE + sizeof PART_SUFFIX];
    bool is_complete;

    if (!file->archive)
        return;
    is_complete = write_member(file, &seal) && archive_write_close(file->archive) == ARCHIVE_OK;
    if (!is_complete)
        report_error(log, "the file could not be completed");
    archive_write_free(file->archive);
    file->archive = NULL;
    is_complete &= !fsync(file->fd);
    close(file->fd);
    format_part_path(file, part_path, sizeof part_path);
    if (is_complete)
        g_rename(part_path, file->path);
    delete_old_files(log);
}

/* Opens file->archive for writing to file->fd. Uses the smallest block size of the format, so that
 * the library buffers no entries: it writes each one to the file as soon as the entry ends. */
static bool open_archive(struct audit_file *file)
{
    file->archive = archive_write_new();
    return file->archive && archive_write_set_format_ustar(file->archive) == ARCHIVE_OK &&
           archive_write_set_bytes_per_block(file->archive, PM_AUDIT_TAR_BLOCK) == ARCHIVE_OK &&
           archive_write_open_fd(file->archive, file->fd) == ARCHIVE_OK;
}

/* Opens a new file. Returns false, after logging the error, if that fails. */
static bool open_file(struct pm_audit_log *log, double wall)
{
    struct audit_file *file = &log->file;
    char part_path[PATH_SIZE + sizeof PART_SUFFIX];

    file->opened_wall = wall;
    file->bytes = file->entries = 0;
    snprintf(file->path, sizeof file->path, "%s/duties-%s-%012.0f-%d-%03llu.tar", log->dir,
             log->controller, wall, (int)getpid(), (unsigned long long)++log->file_count);
    format_part_path(file, part_path, sizeof part_path);
    file->fd = open(part_path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, FILE_MODE);
    if (file->fd < 0) {
        report_error(log, g_strerror(errno));
        return false;
    }
    if (open_archive(file)) {
        log->error_reported = false;
        return true;
    }
    report_error(log, "no tar archive could be opened for writing");
    archive_write_free(file->archive);
    file->archive = NULL;
    close(file->fd);
    return false;
}

/* Whether the file is to be closed because of its age or size. A jump of the wall clock by at least
 * `max_file_age_s`, forward or back, closes it too. */
static bool should_close_file(const struct pm_audit_log *log, double wall)
{
    const struct audit_file *file = &log->file;

    return fabs(wall - file->opened_wall) >= log->max_file_age_s ||
           file->bytes > log->max_bytes / FILES_KEPT_MIN;
}

/* Called in the writer's thread for each appended entry. */
static void write_entry(void *arg, const void *item)
{
    struct pm_audit_log *log = arg;
    struct pm_audit_entry entry = *(const struct pm_audit_entry *)item;

    if (log->file.archive && should_close_file(log, entry.wall))
        close_file(log);
    if (!log->file.archive && !open_file(log, entry.wall))
        return;
    entry.number = ++log->file.entries;
    if (write_member(&log->file, &entry))
        return;
    report_error(log, "an entry could not be written");
    close_file(log);
}

/* ---- the log ---- */

void pm_audit_log_append(struct pm_audit_log *log, const char *event, const char *role_name,
                         const char *subject, const char *detail)
{
    struct pm_audit_entry *entry = g_new0(struct pm_audit_entry, 1);

    entry->wall = pm_clock_wall();
    g_strlcpy(entry->event, event, sizeof entry->event);
    g_strlcpy(entry->role, role_name, sizeof entry->role);
    g_strlcpy(entry->subject, subject, sizeof entry->subject);
    g_strlcpy(entry->detail, detail, sizeof entry->detail);
    pm_writer_push(log->writer, entry);
}

struct pm_audit_log *pm_audit_log_new(const char *dir, const char *controller,
                                      double max_file_age_s, unsigned megabytes, char *err,
                                      size_t err_size)
{
    struct pm_audit_log *log;

    if (g_mkdir_with_parents(dir, DIR_MODE) || g_access(dir, W_OK | X_OK)) {
        snprintf(err, err_size, "the directory %s can't be created or written: %s", dir,
                 g_strerror(errno));
        return NULL;
    }
    log = g_new0(struct pm_audit_log, 1);
    g_strlcpy(log->dir, dir, sizeof log->dir);
    g_strlcpy(log->controller, controller, sizeof log->controller);
    log->max_file_age_s = max_file_age_s;
    log->max_bytes = (uint64_t)megabytes * BYTES_PER_MEGABYTE;
    log->writer = pm_writer_new("record", QUEUE_MAX,
                                &(struct pm_writer_hooks){.write = write_entry, .arg = log});
    return log;
}

void pm_audit_log_free(struct pm_audit_log *log)
{
    pm_writer_free(log->writer);
    close_file(log);
    g_free(log);
}
