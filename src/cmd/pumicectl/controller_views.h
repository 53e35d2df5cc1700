/* Views: what a controller observes of its links and its fitness. A controller answers with its own
 * view, and with the views that it has of the others. No state, no I/O. */
#ifndef PM_CMD_PUMICECTL_CONTROLLER_VIEWS_H
#define PM_CMD_PUMICECTL_CONTROLLER_VIEWS_H

#include "gather.h"

/* The view of the controller with this index in `gathered`: its own if it answered, else that of
 * the first other controller that has one; borrowed from `gathered`. Sets `source` to the name of
 * the controller whose answer it is from. NULL: there is none. */
const json_t *pm_find_controller_view(const struct pm_gathered *gathered, int controller,
                                      const char **source);

#endif
