/* The size of a majority of controllers, for the election and the cancellation quorum. A pure
 * function; no state. */
#ifndef PM_LEADERSHIP_QUORUM_H
#define PM_LEADERSHIP_QUORUM_H

#include "base/settings.h"

/* How many controllers make a majority of all those in the settings, this one included. Any two
 * majorities have a controller in common. */
static inline int pm_quorum_size(const struct pm_settings *settings)
{
    return settings->cluster_size / 2 + 1;
}

#endif
