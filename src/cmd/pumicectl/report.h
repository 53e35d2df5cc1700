/* What each command tells, as one document from which both the text and the JSON are made. */
#ifndef PM_CMD_PUMICECTL_REPORT_H
#define PM_CMD_PUMICECTL_REPORT_H

#include "gather.h"

enum pm_exit { PM_EXIT_WELL = 0, PM_EXIT_WRONG = 1, PM_EXIT_USAGE = 2, PM_EXIT_UNREACHED = 3 };

struct pm_report {
    json_t *document;
    enum pm_exit exit;
};

struct pm_report pm_report_status(const struct pm_gathered *gathered);
struct pm_report pm_report_links(const struct pm_gathered *gathered);
struct pm_report pm_report_duties(const struct pm_gathered *gathered);
struct pm_report pm_report_cleanup(const struct pm_gathered *gathered);
struct pm_report pm_report_why(const struct pm_gathered *gathered, const char *job);

#endif
