/* pumicectl record list|verify FILE...: reads files of the audit log. The names of fields in the
 * document, and the states of files, are part of the tool's output. No state. */
#ifndef PM_CMD_PUMICECTL_AUDIT_FILES_H
#define PM_CMD_PUMICECTL_AUDIT_FILES_H

#include "report.h"

#include <stdbool.h>

/* Reads `count` files and reports the state of each, with its entries if `with_entries`. The exit
 * status is PM_EXIT_PROBLEMS unless all files are complete. */
struct pm_report pm_report_audit_files(char *const *paths, int count, bool with_entries);

#endif
