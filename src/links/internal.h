/* What the files of the links slice share; no other slice includes it. */
#ifndef PM_LINKS_INTERNAL_H
#define PM_LINKS_INTERNAL_H

#include "links/links.h"
#include "links/trace.h"

#define PM_LINKS_LOG_INTERVAL_S 1.0 /* of one link, one line in this time is logged */

/* A link, and what has been logged of it. */
struct pm_links_link {
    struct pm_link link;
    char name[PM_NAME_MAX + 16]; /* for logs, traces and the status */
    double logged_at;
    unsigned unlogged_changes; /* since then */
};

/* This controller's value in the state service, and those of the others. Written by views.c. */
struct pm_links_stored {
    uint64_t revision[PM_CONTROLLERS_MAX]; /* of each value, as applied */
    struct pm_view written, writing;       /* ours: durable; in the write that is in flight */
    double written_at;                     /* the last write was sent, 0: one is due at once */
};

/* The probes of a zone's workers. Written by probes.c. */
struct pm_links_zone_probe {
    double sent_at;
    unsigned next_endpoint; /* counts on: which of the zone's addresses is probed next */
};

/* Written by links.c, but for the parts named above; the links' evidence by evidence.c and views.c.
 * Times are monotonic seconds. */
struct pm_links {
    const struct pm_settings *settings;
    const struct pm_links_setting *setting;
    struct pm_links_trace *trace; /* NULL: none */
    struct pm_link_limits limits, zone_limits;
    struct pm_links_link state_service, cloud, peers[PM_PEERS_MAX], zones[PM_ZONES_MAX];
    struct pm_matrix matrix; /* view 0 is this controller's own */
    struct pm_fitness_verdict verdicts[PM_CAPABILITY_COUNT];
    double ticked_at, lagging_until;
    bool is_ready; /* the first evaluation is over */
    struct pm_links_stored stored;
    struct pm_links_zone_probe zone_probes[PM_ZONES_MAX];
    struct pm_fitness_delays delays;
    struct pm_fitness_yield_timers yield_timers; /* written by decisions.c */
};

#endif
