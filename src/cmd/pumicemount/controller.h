/* Ties the slices together into one controller. */
#ifndef PM_CMD_PUMICEMOUNT_CONTROLLER_H
#define PM_CMD_PUMICEMOUNT_CONTROLLER_H

#include "base/settings.h"

struct ev_loop;
struct pm_controller;

/* NULL, with an error logged, when an address can't be bound. The calling thread is the one that
 * must run the loop. */
struct pm_controller *pm_controller_new(struct ev_loop *loop, const struct pm_settings *settings,
                                        const struct pm_operator_settings *op);

#endif
