/* pumicectl record list|verify FILE...: the record of duties, read from its files. */
#ifndef PM_CMD_PUMICECTL_RECORD_FILES_H
#define PM_CMD_PUMICECTL_RECORD_FILES_H

#include "report.h"

#include <stdbool.h>

/* `list`: with the entries, and not only whether the files are whole. */
struct pm_report pm_record_files(char *const *paths, int count, bool list);

#endif
