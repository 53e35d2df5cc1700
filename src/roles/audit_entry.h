/* One entry of the audit log and its codec. The stored value is the content of one member of a tar
 * archive.
 *
 * The functions have no state. They are called by the audit log in the thread of its writer, and by
 * the operator's tool.
 *
 * Stored value: {number, day, event, duty, subject, detail}. `day` is the time of day in
 * seconds, `duty` the role's stored name ("" in the seal), and `subject` what the event concerns,
 * such as the name of an intent or a fencing token. */
#ifndef PM_ROLES_AUDIT_ENTRY_H
#define PM_ROLES_AUDIT_ENTRY_H

#include "base/cbor.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    PM_AUDIT_TAR_BLOCK = 512,     /* bytes of one block of a tar archive */
    PM_AUDIT_VALUE_MAX = 4 * 1024 /* maximum size of an entry's stored value in bytes */
};

/* The event of the seal, which is the last entry of every complete file. No other entry has it. */
#define PM_AUDIT_SEAL_EVENT "sealed"

struct pm_audit_entry {
    uint64_t number; /* counts from 1 in each file, without gaps */
    double wall;     /* time of day, for people only: no decision depends on it */
    char event[24], role[16], subject[128], detail[160];
};

/* Appends the entry's stored value to `out`. */
void pm_audit_entry_encode(const struct pm_audit_entry *entry, struct pm_buffer *out);
/* Decodes a stored value into `out`. Returns false if the value is malformed; `out` is then
 * unspecified. */
bool pm_audit_entry_decode(const void *data, size_t size, struct pm_audit_entry *out);

#endif
