/* pumicectl duty drain NAME: requests that the holder of a singleton role releases it. Runs an
 * event loop of its own; no other state.
 *
 * Keys: p/duty/NAME is read, p/drain/NAME is read and written (see roles/role.h). */
#ifndef PM_CMD_PUMICECTL_DRAIN_H
#define PM_CMD_PUMICECTL_DRAIN_H

#include "base/settings.h"
#include "report.h"

/* Writes a request that names the holder's token, if both keys are still as they were read: of two
 * operators at once one succeeds, and the other is told so. Then waits for the next holder, for
 * `timeout_s` at most. The exit status is PM_EXIT_PROBLEMS if no request was made, unless the same
 * one was there already. */
struct pm_report pm_drain_role(const struct pm_settings *settings, const char *role_name,
                               double timeout_s);

#endif
