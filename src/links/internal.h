/* Declarations shared by the files of src/links/; no other folder includes them. */
#ifndef PM_LINKS_INTERNAL_H
#define PM_LINKS_INTERNAL_H

#include "links/links.h"
#include "links/trace.h"

/* Minimum interval between two log lines about the same link. */
#define PM_LINKS_LOG_INTERVAL_S 1.0

/* A link, and when it was last logged. */
struct pm_links_link {
    struct pm_link link;
    char name[PM_NAME_MAX + 16]; /* for logs, traces and the status */
    double logged_at;
    unsigned unlogged_changes; /* changes of state since `logged_at` */
};

/* The controllers' values in the state service. Written by views.c. */
struct pm_links_stored {
    uint64_t revision[PM_CONTROLLERS_MAX]; /* of each controller's value that was applied last */
    /* This controller's view that is known to be durable, and the one in the write in flight. */
    struct pm_link_view written, in_flight;
    double write_sent_at; /* when the latest write was sent; 0 if it failed or there was none */
};

/* The probes of a zone's workers. Written by probes.c. */
struct pm_links_zone_probe {
    double sent_at;
    unsigned next_endpoint; /* number of probes sent, from which the next address is selected */
};

/* Written by links.c, except for the members whose comments name another file. The evidence in the
 * links is written by evidence.c and views.c. Times are monotonic, in seconds. */
struct pm_links {
    const struct pm_settings *settings;
    const struct pm_links_setting *setting;
    struct pm_links_trace *trace; /* may be NULL */
    struct pm_link_limits limits, zone_limits;
    struct pm_links_link state_service, cloud, peers[PM_PEERS_MAX], zones[PM_ZONES_MAX];
    struct pm_link_matrix matrix; /* view 0 is this controller's own */
    struct pm_fitness_verdict verdicts[PM_CAPABILITY_COUNT];
    /* The latest evaluation, and the end of the grace period after a pause of the process. */
    double last_tick_at, pause_grace_until;
    bool is_evaluated; /* links and capabilities have been evaluated at least once */
    struct pm_links_stored stored;
    struct pm_links_zone_probe zone_probes[PM_ZONES_MAX];
    struct pm_fitness_delays delays;
    struct pm_fitness_step_down_timers step_down_timers; /* written by decisions.c */
};

#endif
