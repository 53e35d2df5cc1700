/* The size of a majority, for the election and for the cancellations. Pure; no state. */
#ifndef PM_LEADERSHIP_QUORUM_H
#define PM_LEADERSHIP_QUORUM_H

#include "base/settings.h"

/* How many controllers, this one included, are a majority of all that the settings name. Any two
 * majorities have a controller in common. */
static inline int pm_quorum_size(const struct pm_settings *settings)
{
    return settings->cluster_size / 2 + 1;
}

#endif
