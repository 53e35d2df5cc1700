/* The state of one link, judged from the traffic that flows over it.
 *
 * A link has two directions. Outward, calls are answered or fail. Inward, the other side's requests
 * arrive, and are missed when they stay away for longer than the intervals measured before explain.
 * A link that keeps changing between well and failed collects a penalty that decays; while it is
 * high the link is flapping: neither trusted at each recovery nor given up at each failure.
 *
 * Pure state machine: time is an argument, nothing here does I/O. */
#ifndef PM_LINKS_LINK_H
#define PM_LINKS_LINK_H

#include <stdbool.h>

enum pm_link_state {
    PM_LINK_UNKNOWN, /* no evidence yet */
    PM_LINK_UP,
    PM_LINK_DEGRADED, /* failing for a short while, or recovering */
    PM_LINK_FLAPPING,
    PM_LINK_ONE_WAY, /* one direction fails, the other works */
    PM_LINK_DOWN,
    PM_LINK_REFUSED, /* reached, but every request is refused (the state service's 503) */
    PM_LINK_STATES
};

enum pm_link_direction { PM_LINK_OUTWARD, PM_LINK_INWARD, PM_LINK_DIRECTIONS };

struct pm_link_limits {
    double down_s;      /* failing for this long is down; shorter, degraded */
    double recover_s;   /* a link that was down has to work for this long to be up */
    double half_life_s; /* of the penalty for changing */
};

/* Exponentially weighted mean and variance of the time between arrivals. */
struct pm_link_intervals {
    double mean, variance;
    unsigned count;
};

struct pm_link_path {
    bool awaited;         /* inward: the other side is known to send regularly */
    double worked;        /* steady: the latest evidence that it works, 0: none ever */
    double works_since;   /* steady: the first such evidence after the latest failure */
    double failing_since; /* steady: begin of the first call that failed since, 0: works */
    double failed;        /* steady: the latest failure */
    unsigned failures;    /* in a row */
    struct pm_link_intervals intervals;
};

struct pm_link {
    struct pm_link_path path[PM_LINK_DIRECTIONS];
    enum pm_link_state state;
    double since; /* steady: of the state */
    bool refused; /* the latest answer refused the request */
    double penalty, penalty_at;
    enum pm_link_state unpenalised;          /* what it would be but for flapping */
    bool recovering;                         /* was down, and has not been up since */
    double down_since;                       /* steady: latest begin of being down */
    enum pm_link_direction failed_direction; /* of a one-way link */
};

/* Evidence that a direction works. */
void pm_link_worked(struct pm_link *link, enum pm_link_direction direction, double now);
/* A call that began at `began` got no answer. */
void pm_link_failed(struct pm_link *link, enum pm_link_direction direction, double began,
                    double now);
/* Reached, and refused: the way works, the service does not. */
void pm_link_was_refused(struct pm_link *link, double now);
/* The other side sends regularly from now on, so that its silence counts; or no longer does. */
void pm_link_await(struct pm_link *link, bool awaited, double now);
/* This process stood still until `now`: silence and failures before count for nothing. */
void pm_link_excuse(struct pm_link *link, double now);
/* Judges the link anew; true if its state changed. */
bool pm_link_judge(struct pm_link *link, const struct pm_link_limits *limits, double now);

/* Whether what is sent over it can be expected to be answered. */
bool pm_link_usable(enum pm_link_state state);
const char *pm_link_state_name(enum pm_link_state state);

#endif
