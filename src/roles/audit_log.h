/* The record of duties: who took and lost them, each intent, what was asked of the cloud for it and
 * what became of that. One tar archive for each period, of one member for each entry; written by a
 * thread of its own, so that nobody waits for the disk. A file is called NAME.tar once it is whole,
 * and NAME.tar.part until then; after a crash the latter is read up to its last whole entry. */
#ifndef PM_ROLES_AUDIT_LOG_H
#define PM_ROLES_AUDIT_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct pm_audit_log;

/* NULL, with the reason in `err`, when the directory can't be written. */
struct pm_audit_log *pm_audit_log_new(const char *dir, const char *controller, double period_s,
                                      unsigned megabytes, char *err, size_t err_size);
/* Closes the file once what was told is written. */
void pm_audit_log_free(struct pm_audit_log *record);
/* Never waits; what comes faster than the disk takes it is dropped and counted. */
void pm_audit_log_append(struct pm_audit_log *record, const char *event, const char *duty,
                         const char *subject, const char *detail);
uint64_t pm_audit_log_dropped(const struct pm_audit_log *record);

struct pm_audit_entry {
    uint64_t number; /* from 1 in each file, without a gap */
    double day;      /* wall clock, seconds: for people, nothing rests on it */
    char event[24], duty[16], subject[128], detail[160];
};

enum pm_audit_file_state {
    PM_AUDIT_FILE_COMPLETE,
    PM_AUDIT_FILE_TRUNCATED, /* ends in the middle of an entry, or without the archive's end */
    PM_AUDIT_FILE_CORRUPT,   /* an entry can't be read, or entries are missing in between */
    PM_AUDIT_FILE_MISSING    /* there is no such file, or it is no archive */
};

typedef void pm_audit_entry_reader(void *arg, const struct pm_audit_entry *entry);
/* Tells the entries up to the first that can't be read; `why` says what is wrong, if anything. */
enum pm_audit_file_state pm_audit_log_read_file(const char *path, pm_audit_entry_reader *reader,
                                                void *arg, char *why, size_t why_size);

#endif
