/* pumicectl duty drain NAME: asks the holder of a duty, by its token, to give it up. */
#ifndef PM_CMD_PUMICECTL_DRAIN_H
#define PM_CMD_PUMICECTL_DRAIN_H

#include "report.h"

/* A conditional write: of two operators at once one succeeds, and the other is told. Waits for the
 * next holder for `timeout_s` at most. */
struct pm_report pm_drain(const struct pm_settings *settings, const char *duty, double timeout_s);

#endif
