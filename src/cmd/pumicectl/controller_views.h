/* Finds controllers' views in the gathered answers. A view is what one controller observes: the
 * state of its links, and its fitness to lead and for other work. Each answer contains the
 * controller's own view, and copies of the other controllers' views. A view expires after
 * `links.expire_s` of the operators' settings; until then, its flag "fresh" is set. No state, no
 * I/O. */
#ifndef PM_CMD_PUMICECTL_CONTROLLER_VIEWS_H
#define PM_CMD_PUMICECTL_CONTROLLER_VIEWS_H

#include "gather.h"

/* Returns the view of the controller with this index in `gathered`, borrowed, or NULL if no answer
 * contains it. The view is taken from the controller's own answer if possible, else from the first
 * other answer that contains it. Sets `source` to the name of the controller that sent that
 * answer. */
const json_t *pm_find_controller_view(const struct pm_gathered *gathered, int controller,
                                      const char **source);

#endif
