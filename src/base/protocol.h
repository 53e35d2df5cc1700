/* Versions of what controllers write to the state service and say to one another.
 *
 * Controllers of different versions run side by side during an upgrade. What an earlier version
 * would misread, or lose, is written only once every controller of the settings is known to run a
 * version that reads it (pm_election_protocol_version). A controller that does not name its version
 * runs version 1. */
#ifndef PM_BASE_PROTOCOL_H
#define PM_BASE_PROTOCOL_H

enum pm_protocol_version {
    PM_PROTOCOL_FIRST = 1,
    PM_PROTOCOL_DEPENDENCIES = 2,           /* jobs that need others, chunks of tasks in halves */
    PM_PROTOCOL_END_TIMES = 3,              /* a job that is done says when it ended */
    PM_PROTOCOL_LINKS = 4,                  /* p/links values, views in the peers' answers */
    PM_PROTOCOL_ROLES = 5,                  /* p/duty, p/drain and p/intent values */
    PM_PROTOCOL_VERSION = PM_PROTOCOL_ROLES /* of this program */
};

#endif
