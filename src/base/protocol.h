/* Versions of what controllers write to the state service and send to each other.
 *
 * Controllers of different versions run side by side during an upgrade. A value or message that an
 * earlier version would misread or lose is written only once every controller of the settings is
 * known to run a version that reads it (pm_election_protocol_version). A controller that does not
 * report its version runs version 1. */
#ifndef PM_BASE_PROTOCOL_H
#define PM_BASE_PROTOCOL_H

enum pm_protocol_version {
    PM_PROTOCOL_FIRST = 1,
    PM_PROTOCOL_DEPENDENCIES = 2,   /* jobs with dependencies; chunks of tasks stored in halves */
    PM_PROTOCOL_END_TIMES = 3,      /* the value of a finished job has its end time */
    PM_PROTOCOL_LINKS = 4,          /* values of p/links, and views in the responses of peers */
    PM_PROTOCOL_ROLES = 5,          /* values of p/duty, p/drain and p/intent */
    PM_PROTOCOL_FENCING_RANGES = 6, /* epochs that own several fencing tokens (base/fencing.h) */
    PM_PROTOCOL_VERSION = PM_PROTOCOL_FENCING_RANGES /* the version of this program */
};

#endif
