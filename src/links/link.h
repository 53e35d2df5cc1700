/* The state of one link, evaluated from the traffic that flows over it.
 *
 * A link has two directions. Outward, calls are answered or fail. Inward, the other side's requests
 * arrive, and are missed when they stay away for longer than the intervals measured before explain.
 * A link that keeps changing between good and failed collects a penalty that decays exponentially;
 * while it is high the link is flapping: neither trusted at each recovery nor given up at each
 * failure.
 *
 * A pure state machine, owned by its caller: all times are arguments, in monotonic seconds; nothing
 * here does I/O, allocates or locks. */
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

/* Exponentially weighted mean and variance of the time between arrivals, in seconds. */
struct pm_link_intervals {
    double mean, variance;
    unsigned count;
};

/* What is known of one direction. Times are monotonic seconds; 0: never, or not so now. */
struct pm_link_evidence {
    bool is_expected;        /* inward: the other side is known to send regularly */
    double succeeded_at;     /* the latest success */
    double succeeding_since; /* the first success after the latest failure */
    double failing_since;    /* begin of the first call that failed since the latest success */
    double failed_at;        /* the latest failure */
    unsigned consecutive_failures;
    struct pm_link_intervals intervals; /* between successes */
};

/* All zero: a link without evidence. */
struct pm_link {
    struct pm_link_evidence evidence[PM_LINK_DIRECTIONS];
    bool is_refused; /* the latest answer refused the request */
    enum pm_link_state state;
    double state_since;                      /* monotonic seconds */
    enum pm_link_direction failed_direction; /* of a one-way link */
    /* Damping of flaps. */
    enum pm_link_state undamped_state; /* what the state would be but for flapping */
    double penalty, penalty_updated_at;
    double down_since;  /* monotonic seconds: the undamped state last became down */
    bool is_recovering; /* was down, and has not been up since */
};

/* The direction works: a call was answered, or a request arrived. */
void pm_link_record_success(struct pm_link *link, enum pm_link_direction direction, double now);
/* A call that began at `began` got no answer by `now`. */
void pm_link_record_failure(struct pm_link *link, enum pm_link_direction direction, double began,
                            double now);
/* An answer arrived that refuses the request: the network works, the service does not. */
void pm_link_record_refusal(struct pm_link *link, double now);
/* Whether the other side is known to send regularly, so that its silence counts as failure. */
void pm_link_set_expected(struct pm_link *link, bool is_expected, double now);
/* This process was paused until `now`: silence and failures before do not count. */
void pm_link_forgive_pause(struct pm_link *link, double now);
/* Evaluates the evidence. Returns whether link->state changed. */
bool pm_link_evaluate(struct pm_link *link, const struct pm_link_limits *limits, double now);

/* Whether a request that is sent over such a link can be expected to be answered. */
bool pm_link_is_usable(enum pm_link_state state);
/* The name of the state, for logs, traces and the status; a constant. */
const char *pm_link_state_name(enum pm_link_state state);

#endif
