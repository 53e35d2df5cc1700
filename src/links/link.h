/* The state of one link, evaluated from the traffic over it.
 *
 * A link has two directions. Outbound, our calls are answered or fail. Inbound, the other side's
 * requests arrive, or fail to arrive for longer than the intervals measured before would explain.
 * Each time a link fails after it worked, it gets a penalty, which decays exponentially. While the
 * penalty is high the link is flapping: it is neither trusted at each recovery nor given up at each
 * failure.
 *
 * A pure state machine, owned by its caller. It does no I/O, allocates nothing and takes no locks.
 * All times are arguments, monotonic and in seconds. */
#ifndef PM_LINKS_LINK_H
#define PM_LINKS_LINK_H

#include <stdbool.h>

enum pm_link_state {
    PM_LINK_UNKNOWN, /* no evidence yet */
    PM_LINK_UP,
    PM_LINK_DEGRADED, /* has failed for a short time, or is recovering */
    PM_LINK_FLAPPING, /* keeps changing between working and failed */
    PM_LINK_ONE_WAY,  /* one direction has failed, the other works */
    PM_LINK_DOWN,
    PM_LINK_REFUSED, /* the other side is reached, but refuses every request (with a 503) */
    PM_LINK_STATE_COUNT
};

enum pm_link_direction { PM_LINK_OUTBOUND, PM_LINK_INBOUND, PM_LINK_DIRECTION_COUNT };

struct pm_link_limits {
    double down_s;      /* a link that fails for this long is down; until then it is degraded */
    double recover_s;   /* a link that was down is up again after working for this long */
    double half_life_s; /* of the flapping penalty */
};

/* Exponentially weighted mean and variance of the time between arrivals, in seconds. */
struct pm_link_intervals {
    double mean, variance;
    unsigned count;
};

/* What is known of one direction. Times are monotonic; 0 means never, or not at present. */
struct pm_link_evidence {
    bool is_expected;        /* inbound: the other side is known to send regularly */
    double succeeded_at;     /* the latest success */
    double succeeding_since; /* the first success after the latest failure */
    double failing_since;    /* start of the first call that failed since the latest success */
    double failed_at;        /* the latest failure */
    unsigned consecutive_failures;
    struct pm_link_intervals intervals; /* between successes */
};

/* A link without evidence is all zero. */
struct pm_link {
    struct pm_link_evidence evidence[PM_LINK_DIRECTION_COUNT];
    bool is_refused; /* the latest answer refused the request */
    enum pm_link_state state;
    double state_since;                      /* monotonic */
    enum pm_link_direction failed_direction; /* set while the state is PM_LINK_ONE_WAY */
    /* Damping of flaps. */
    enum pm_link_state undamped_state; /* what the state would be without damping */
    double penalty, penalty_updated_at;
    double down_since;  /* monotonic time at which the undamped state last became down or one-way */
    bool is_recovering; /* the undamped state was down or one-way, and has not been up since */
};

/* Records that the direction works: a call was answered, or a request arrived. */
void pm_link_record_success(struct pm_link *link, enum pm_link_direction direction, double now);
/* Records that a call that was started at `began_at` has failed by `now`. */
void pm_link_record_failure(struct pm_link *link, enum pm_link_direction direction, double began_at,
                            double now);
/* Records an answer that refuses the request: the network works, the service does not. */
void pm_link_record_refusal(struct pm_link *link, double now);
/* Sets whether the other side is known to send regularly, so that its silence counts as failure. */
void pm_link_set_inbound_expected(struct pm_link *link, bool is_expected, double now);
/* Leaves out a pause of this process that ended at `now`: silence and failures before then do not
 * count against the link. */
void pm_link_exclude_pause(struct pm_link *link, double now);
/* Evaluates the evidence. Returns whether link->state changed. */
bool pm_link_evaluate(struct pm_link *link, const struct pm_link_limits *limits, double now);

/* Whether a request sent over a link in this state can be expected to be answered. */
bool pm_link_is_usable(enum pm_link_state state);
/* The name of the state for logs, traces and the status; a constant string. */
const char *pm_link_state_name(enum pm_link_state state);

#endif
