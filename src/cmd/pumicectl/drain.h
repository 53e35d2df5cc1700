/* The command `duty drain NAME`, which asks the holder of the singleton role NAME to release the
 * role. Each call runs its own event loop; the module has no state.
 *
 * Reads the keys p/duty/NAME and p/drain/NAME, and writes p/drain/NAME (see roles/role.h). */
#ifndef PM_CMD_PUMICECTL_DRAIN_H
#define PM_CMD_PUMICECTL_DRAIN_H

#include "base/settings.h"
#include "report.h"

/* Stores a drain request with the holder's fencing token, by compare-and-swap on the revisions of
 * the role's key and of the drain request: if two operators drain the role at the same time, one
 * succeeds and the other is told that its request was refused. Then waits up to `timeout_s` for the
 * next holder. The exit status is PM_EXIT_OK if this holder's drain request was stored now or
 * earlier, else PM_EXIT_PROBLEMS. */
struct pm_report pm_drain_role(const struct pm_settings *settings, const char *role_name,
                               double timeout_s);

#endif
