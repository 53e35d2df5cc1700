/* The audit log: which roles this controller acquired and lost, which intents it wrote, and for
 * each intent what it requested of the machine provider and with which result.
 *
 * The log is a directory of files, each a tar archive with one member per entry. A file is called
 * NAME.tar.part while it is written. It is closed at a certain age, or earlier if it is large,
 * and then renamed to NAME.tar. A file that a crash left as NAME.tar.part can be read up to its
 * last complete entry. The oldest files of the controller are deleted when all its files together
 * exceed a limit.
 *
 * Entries are appended in the event-loop thread under `struct pm_controller.lock`. The log has its
 * own thread that writes them, so that the event loop never waits for the disk. The operator's tool
 * reads the files. The audit log uses no keys of the state service. */
#ifndef PM_ROLES_AUDIT_LOG_H
#define PM_ROLES_AUDIT_LOG_H

#include "roles/audit_entry.h"

#include <stdbool.h>
#include <stddef.h>

struct pm_audit_log;

/* Opens the log in `dir` and starts its thread. Creates the directory if it does not exist.
 * `max_file_age_s` is the age at which a file is closed, and `megabytes` the limit of all files of
 * this controller together. Returns a log owned by the caller, or NULL if the directory can't be
 * written; `err` then says why. */
struct pm_audit_log *pm_audit_log_new(const char *dir, const char *controller,
                                      double max_file_age_s, unsigned megabytes, char *err,
                                      size_t err_size);
/* Waits until all appended entries are written, then closes the file and frees the log. */
void pm_audit_log_free(struct pm_audit_log *log);
/* Appends an entry with the current time of day. The texts are copied, and truncated to the
 * size of their field. Never blocks: if the queue of the writer's thread is full, the entry is
 * dropped. */
void pm_audit_log_append(struct pm_audit_log *log, const char *event, const char *role_name,
                         const char *subject, const char *detail);

enum pm_audit_file_state {
    PM_AUDIT_FILE_COMPLETE,
    PM_AUDIT_FILE_TRUNCATED, /* ends within an entry, or lacks the seal or the archive's end */
    PM_AUDIT_FILE_CORRUPT,   /* an entry is malformed, or the numbers of the entries have a gap */
    PM_AUDIT_FILE_MISSING    /* the file does not exist, or can't be opened as an archive */
};

/* Called for each entry, in order. `entry` is borrowed for the call. */
typedef void pm_audit_entry_reader(void *arg, const struct pm_audit_entry *entry);
/* Calls `reader` for each entry of the file, up to the first entry that can't be read, but not for
 * the seal (see audit_entry.h). Returns the file's state. Sets `why` to a description of the
 * problem, or to "" if the file is complete. */
enum pm_audit_file_state pm_audit_log_read_file(const char *path, pm_audit_entry_reader *reader,
                                                void *arg, char *why, size_t why_size);

#endif
