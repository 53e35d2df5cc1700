/* What the parts of the fleet slice share; nobody else includes it. */
#ifndef PM_FLEET_PARTS_H
#define PM_FLEET_PARTS_H

#include "fleet/fleet.h"

#define EPS 1e-6
#define FLOW_S 60.0 /* over which the stream of array work is measured */

struct pm_fleet {
    struct pm_http_client *http;
    struct pm_name_tables *tables;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    struct pm_plan *plan;
    const struct pm_operator *op;
    struct pm_fleet_hooks hooks;
    uint64_t epoch, round, bookings;
    double tokens, filled;
    int in_flight;
    double refused_until[PM_TYPES_MAX][PM_ZONES_MAX][2]; /* per type, zone, and spot or not */
    bool types_busy, list_busy;
    double types_asked, listed, list_sent;
    char since[PM_NAME_MAX];
    GHashTable *seen; /* names of the listing under way */
    GHashTable *gone; /* names whose release was confirmed: a list that lags still has them */
    double spare_want, emptied;
    GArray *bins; /* of struct bin, of the sizing under way */
    /* How much array work comes a second, in processors: fading, and since when it is measured. */
    double flow, flow_jobs, flow_at, flow_since;
    double spot_cpus; /* on spot machines, up or soon */
    bool writable;
    double wrote_at;                 /* steady: placements could be written then */
    double zone_heard[PM_ZONES_MAX]; /* steady: by the leader before, 0: not silent then */
    double took_at;
};

struct bin { /* a machine, up, booting or to be rented, and the room left on it */
    double cpus, gpus, ram_gb;
    int type, zone;
    bool spot, up, fresh; /* fresh: to be rented now */
};

/* size.c: processors that the stream of array work takes for certain */
double pm_fleet_steady_flow(const struct pm_fleet *f, double now);

#endif
