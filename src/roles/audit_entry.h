/* One entry of the audit log and its stored form: the content of one member of a tar archive.
 *
 * The functions have no state; the writer calls them in its own thread, the reader in the
 * operators' tool.
 *
 * Stored value {number, day, event, duty, subject, detail}: `day` is the wall clock in seconds,
 * `duty` the role's stored name ("" in the seal), `subject` the intent, the token or what else the
 * event is about. */
#ifndef PM_ROLES_AUDIT_ENTRY_H
#define PM_ROLES_AUDIT_ENTRY_H

#include "base/cbor.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    PM_AUDIT_TAR_BLOCK = 512,     /* bytes of a block of a tar archive */
    PM_AUDIT_VALUE_MAX = 4 * 1024 /* bytes of an entry's stored value, at most */
};

/* The event of the last entry of a complete file; no other entry has it. */
#define PM_AUDIT_SEAL_EVENT "sealed"

struct pm_audit_entry {
    uint64_t number; /* from 1 in each file, without a gap */
    double wall;     /* wall clock, seconds: for people, nothing is decided by it */
    char event[24], role[16], subject[128], detail[160];
};

/* Appends the entry's stored value to `out`. */
void pm_audit_entry_encode(const struct pm_audit_entry *entry, struct pm_buffer *out);
/* Reads a stored value into `out`. False: it is malformed, and `out` is unspecified. */
bool pm_audit_entry_decode(const void *data, size_t size, struct pm_audit_entry *out);

#endif
