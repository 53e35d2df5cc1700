/* The reports of the commands. A report is a JSON document, which is printed as it is or rendered
 * as text, and an exit status. Scripts read the document, so the names of its fields must not
 * change. No state, no I/O. */
#ifndef PM_CMD_PUMICECTL_REPORT_H
#define PM_CMD_PUMICECTL_REPORT_H

#include "gather.h"

enum pm_exit {
    PM_EXIT_OK = 0,
    PM_EXIT_PROBLEMS = 1,   /* problems in the cluster or in a file, or a refused request */
    PM_EXIT_USAGE = 2,      /* invalid command line, or the settings can't be loaded */
    PM_EXIT_UNREACHABLE = 3 /* no controller answered */
};

struct pm_report {
    json_t *document; /* owned by the caller */
    enum pm_exit exit;
};

/* Reports which controller leads, which controllers answered, and counts of jobs, tasks and
 * machines. */
struct pm_report pm_report_status(const struct pm_gathered *gathered);
/* Reports the state of every link, between controllers and from controllers to services. */
struct pm_report pm_report_links(const struct pm_gathered *gathered);
/* Reports which controller holds each singleton role, each controller's fitness for its roles, and
 * the owners of shards. */
struct pm_report pm_report_roles(const struct pm_gathered *gathered);
/* Reports which stored keys are obsolete and will be deleted by garbage collection, and which of
 * them may be deleted now. */
struct pm_report pm_report_cleanup(const struct pm_gathered *gathered);
/* Reports the state of the job, and the reasons why it does not run. */
struct pm_report pm_report_why(const struct pm_gathered *gathered, const char *job);

#endif
