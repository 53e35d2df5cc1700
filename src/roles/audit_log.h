/* The audit log: who acquired and lost roles, each intent, what was requested of the machine
 * provider for it and what became of that.
 *
 * Files in one directory, each a tar archive with one member for each entry. A file is closed after
 * a period, or when it is large; it is called NAME.tar from then on, and NAME.tar.part before.
 * After a crash the latter can be read up to its last complete entry. The oldest files are deleted
 * when all together exceed a size.
 *
 * Entries are appended in the event-loop thread under `struct pm_controller.lock`, and written by a
 * thread of the log's own, so that nobody waits for the disk. Files are read by the operators'
 * tool. The audit log reads and writes no keys of the state service. */
#ifndef PM_ROLES_AUDIT_LOG_H
#define PM_ROLES_AUDIT_LOG_H

#include "roles/audit_entry.h"

#include <stdbool.h>
#include <stddef.h>

struct pm_audit_log;

/* Opens the log and starts its thread; the caller owns it. `dir` is made if there is none,
 * `period_s` is how long entries go into the same file, `megabytes` bounds the files of this
 * controller together. NULL, with the reason in `err`: the directory can't be written. */
struct pm_audit_log *pm_audit_log_new(const char *dir, const char *controller, double period_s,
                                      unsigned megabytes, char *err, size_t err_size);
/* Waits until everything that was appended is written, closes the file and frees the log. */
void pm_audit_log_free(struct pm_audit_log *log);
/* Appends an entry, stamped with the wall clock; texts are copied, and cut to the size of their
 * field. Never waits: an entry that does not fit into the queue is dropped. */
void pm_audit_log_append(struct pm_audit_log *log, const char *event, const char *role_name,
                         const char *subject, const char *detail);

enum pm_audit_file_state {
    PM_AUDIT_FILE_COMPLETE,
    PM_AUDIT_FILE_TRUNCATED, /* ends in the middle of an entry, or without the archive's end */
    PM_AUDIT_FILE_CORRUPT,   /* an entry can't be read, or entries are missing in between */
    PM_AUDIT_FILE_MISSING    /* there is no such file, or it is no archive */
};

/* Called for each entry in order; `entry` is borrowed for the call. */
typedef void pm_audit_entry_reader(void *arg, const struct pm_audit_entry *entry);
/* Calls `reader` for each entry of the file up to the first that can't be read. Returns the file's
 * state; unless it is complete, `why` says what is wrong, else it is empty. */
enum pm_audit_file_state pm_audit_log_read_file(const char *path, pm_audit_entry_reader *reader,
                                                void *arg, char *why, size_t why_size);

#endif
