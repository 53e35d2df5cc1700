/* One controller: all slices, wired together, behind one lock.
 *
 * Owns the event loop's watchers and timers, the servers for users and peers, and the planner's
 * thread. There is one in a process, and it lives until the process is killed. */
#ifndef PM_CMD_PUMICEMOUNT_CONTROLLER_H
#define PM_CMD_PUMICEMOUNT_CONTROLLER_H

#include "base/settings.h"

struct ev_loop;
struct pm_controller;

/* Makes the controller and starts its planner; `settings` and `operator_settings` are borrowed for
 * good. The calling thread must be the one that runs `loop` next, and holds the controller's lock
 * from here on. NULL, with an error logged, when an address can't be bound. */
struct pm_controller *pm_controller_new(struct ev_loop *loop, const struct pm_settings *settings,
                                        const struct pm_operator_settings *operator_settings);

#endif
