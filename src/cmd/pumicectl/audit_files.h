/* The commands `record list` and `record verify`, which read files of the audit log. Scripts read
 * the JSON document, so the names of its fields must not change. This module has no state. */
#ifndef PM_CMD_PUMICECTL_AUDIT_FILES_H
#define PM_CMD_PUMICECTL_AUDIT_FILES_H

#include "report.h"

#include <stdbool.h>

/* Reads `count` files and reports the state of each, and its entries if `with_entries` is set. The
 * exit status is PM_EXIT_OK if all files are complete, else PM_EXIT_PROBLEMS. */
struct pm_report pm_report_audit_files(char *const *paths, int count, bool with_entries);

#endif
