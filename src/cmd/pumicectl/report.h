/* The report of each command: one JSON document, from which the text is made as well, and the exit
 * status. The names of fields in documents are part of the tool's output. No state, no I/O. */
#ifndef PM_CMD_PUMICECTL_REPORT_H
#define PM_CMD_PUMICECTL_REPORT_H

#include "gather.h"

enum pm_exit {
    PM_EXIT_OK = 0,
    PM_EXIT_PROBLEMS = 1, /* something is wrong in the cluster, or a request was refused */
    PM_EXIT_USAGE = 2,
    PM_EXIT_UNREACHABLE = 3 /* no controller answered */
};

struct pm_report {
    json_t *document; /* owned by the caller */
    enum pm_exit exit;
};

/* Who leads, who answers, and how much work there is. */
struct pm_report pm_report_status(const struct pm_gathered *gathered);
/* Which links between controllers, and to the services, work. */
struct pm_report pm_report_links(const struct pm_gathered *gathered);
/* Which controller has which singleton role, and how fit each is to lead. */
struct pm_report pm_report_roles(const struct pm_gathered *gathered);
/* Which stored keys garbage collection will delete, and when. */
struct pm_report pm_report_cleanup(const struct pm_gathered *gathered);
/* Why the job does not run. */
struct pm_report pm_report_why(const struct pm_gathered *gathered, const char *job);

#endif
