/* The schedule of faults of a soak: drawn from one seed, printed, and repeated in whole or in part.
 * No state; called by the soak (soak.h) and its program. */
#ifndef PM_SOAK_FAULT_SCHEDULE_H
#define PM_SOAK_FAULT_SCHEDULE_H

#include <glib.h>
#include <stdbool.h>

/* In the order of their names on the command line; draws depend on the order, too. Up to
 * FAULT_REFUSED_ALONE a fault concerns one controller, up to FAULT_PAUSE its process. */
enum fault_kind {
    FAULT_KILL,          /* a controller is killed, and started again once it is over */
    FAULT_PAUSE,         /* it is suspended */
    FAULT_CUT_STORE,     /* its link to the state service */
    FAULT_CUT_PEERS,     /* its links to all other controllers */
    FAULT_CUT_WORKERS,   /* its links to the workers of both zones */
    FAULT_CUT_PROVIDER,  /* its link to the provider */
    FAULT_REFUSED_ALONE, /* the state service answers it alone with 503 */
    FAULT_OUTAGE,        /* the state service answers everybody with 503 */
    FAULT_STORE_HANGS,   /* the state service answers nobody */
    FAULT_LATE_WRITE,    /* the next transaction on a key is executed later, unanswered */
    FAULT_LOST_ANSWER,   /* the next transaction is executed, and not answered */
    FAULT_WATCH_TOO_OLD, /* the next watch is refused because its revision is too old */
    FAULT_LATE_MESSAGES, /* copies of heartbeats, and commands, arrive late */
    FAULT_MACHINE_CUT,   /* machines reach no controller */
    FAULT_MACHINE_HANGS, /* machines are suspended */
    FAULT_MACHINE_FAILS, /* a machine fails */
    FAULT_CANCELLATIONS, /* users cancel some jobs */
    FAULT_KIND_COUNT
};

/* Which controller is meant, found when the fault begins. */
enum fault_target {
    FAULT_TARGET_LEADER,
    FAULT_TARGET_SHARD_OWNER,
    FAULT_TARGET_ANY,
    FAULT_TARGET_COUNT
};

/* One fault of a schedule. */
struct fault {
    enum fault_kind kind;
    enum fault_target target;
    unsigned choice;            /* among controllers, machines, keys or faults of links */
    double start_s, duration_s; /* seconds; start_s since the start of the run */
};

/* The faults of a run of that length, by when they begin: an array of struct fault, owned by the
 * caller. `kinds` has bit k for each kind k that may be drawn; at least one. */
GArray *fault_schedule_draw(GRand *random, double seconds, unsigned kinds);
/* Parses names of kinds ("kill,outage") as such bits; NULL: all. 0: there is no such name. */
unsigned fault_schedule_parse_kinds(const char *names);
/* Keeps only the faults whose numbers, counted from 1, are listed in `numbers` ("2,5"). False: that
 * is no list of numbers of the schedule, which is then unchanged. */
bool fault_schedule_select(GArray *schedule, const char *numbers);
/* Prints a line for each fault to standard output. */
void fault_schedule_print(const GArray *schedule);
/* The name of a kind on the command line and in logs. */
const char *fault_kind_name(enum fault_kind kind);

#endif
