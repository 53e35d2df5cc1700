/* What the reports on the whole cluster have in common: their begin, their problems, their end. No
 * state, no I/O. */
#ifndef PM_CMD_PUMICECTL_REPORT_FRAME_H
#define PM_CMD_PUMICECTL_REPORT_FRAME_H

#include "gather.h"
#include "report.h"

#include <glib.h>

/* Appends one line on something that is wrong to `problems`. */
void pm_report_add_problem(json_t *problems, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* A new document with who answered and who leads, owned by the caller; what is wrong with that is
 * added to `problems`. */
json_t *pm_report_begin(const struct pm_gathered *gathered, json_t *problems);
/* Adds `problems` to the document; consumes both. The exit status follows from the problems, and
 * from whether any controller answered. */
struct pm_report pm_report_end(const struct pm_gathered *gathered, json_t *document,
                               json_t *problems);

#endif
