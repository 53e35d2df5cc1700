/* One controller: creates all slices, connects them, and guards them with one lock.
 *
 * Owns the event loop's watchers and timers, the servers for users and peers, and the planner's
 * thread. A process has one controller, which exists until the process is killed. */
#ifndef PM_CMD_PUMICEMOUNT_CONTROLLER_H
#define PM_CMD_PUMICEMOUNT_CONTROLLER_H

#include "base/settings.h"

struct ev_loop;
struct pm_controller;

/* Creates the controller and starts its planner. `settings` and `operator_settings` are borrowed
 * and must outlive the controller. The calling thread holds the controller's lock on return, and
 * must be the one that then runs `loop`. Returns NULL, with an error logged, if an address can't be
 * bound. */
struct pm_controller *pm_controller_new(struct ev_loop *loop, const struct pm_settings *settings,
                                        const struct pm_operator_settings *operator_settings);

#endif
