/* The parts that all reports on a cluster have in common: the summary of answers at the beginning,
 * and the list of problems at the end. No state, no I/O. */
#ifndef PM_CMD_PUMICECTL_REPORT_FRAME_H
#define PM_CMD_PUMICECTL_REPORT_FRAME_H

#include "gather.h"
#include "report.h"

#include <glib.h>

/* Appends a problem, formatted as one line of text, to `problems`. */
void pm_report_add_problem(json_t *problems, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* Returns a new document with the number of answers, the leader and the state service, owned by the
 * caller. Appends problems with the answers, the leader or the state service to `problems`. */
json_t *pm_report_begin(const struct pm_gathered *gathered, json_t *problems);
/* Adds `problems` to the document and takes ownership of both. The exit status is
 * PM_EXIT_UNREACHABLE if no controller answered, PM_EXIT_PROBLEMS if there are problems, else
 * PM_EXIT_OK. */
struct pm_report pm_report_end(const struct pm_gathered *gathered, json_t *document,
                               json_t *problems);

#endif
