/* The fault schedule of a soak. It is drawn from one seed, so that a run can be repeated with all
 * or some of its faults. Keeps no state; called by the soak (soak.h) and its program. */
#ifndef PM_SOAK_FAULT_SCHEDULE_H
#define PM_SOAK_FAULT_SCHEDULE_H

#include <glib.h>
#include <stdbool.h>

/* The order matters: kind_names in fault_schedule.c has the same order, and the schedule drawn from
 * a seed depends on it. Kinds up to FAULT_STORE_REFUSES_CONTROLLER target one controller; of these,
 * kinds up to FAULT_PAUSE stop its process. */
enum fault_kind {
    FAULT_KILL,                     /* a controller is killed, and restarted when the fault ends */
    FAULT_PAUSE,                    /* a controller's process is suspended */
    FAULT_CUT_STORE,                /* a controller's link to the state service fails */
    FAULT_CUT_PEERS,                /* a controller's links to all other controllers fail */
    FAULT_CUT_WORKERS,              /* a controller's links to the workers of both zones fail */
    FAULT_CUT_PROVIDER,             /* a controller's link to the provider fails */
    FAULT_STORE_REFUSES_CONTROLLER, /* the state service answers 503 to one controller only */
    FAULT_OUTAGE,                   /* the state service answers all controllers with 503 */
    FAULT_STORE_HANGS,              /* the state service answers no request */
    FAULT_LATE_WRITE,  /* the next transaction on a key is executed late, and its answer is lost */
    FAULT_LOST_ANSWER, /* the next transaction is executed, but its answer is lost */
    FAULT_WATCH_TOO_OLD, /* the next watch is rejected because its revision is too old */
    FAULT_LATE_MESSAGES, /* copies of heartbeats arrive late, and commands are executed late */
    FAULT_MACHINE_CUT,   /* machines are partitioned from all controllers */
    FAULT_MACHINE_HANGS, /* machines are suspended */
    FAULT_MACHINE_FAILS, /* a machine fails, and the provider lists it as failed */
    FAULT_CANCELLATIONS, /* users cancel some jobs */
    FAULT_KIND_COUNT
};

/* Which controller a fault targets. The controller is looked up when the fault begins. */
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
    /* Selects the controller, the machines, the key prefix, the link fault, or the number of jobs
     * to cancel. */
    unsigned random_number;
    double start_s, duration_s; /* start_s counts from the start of the run */
};

/* Draws the faults of a run that lasts `seconds`. Returns an array of struct fault in the order of
 * their start, owned by the caller. `kinds` is a bit set in which bit k allows kind k. It must not
 * be 0. */
GArray *fault_schedule_draw(GRand *random, double seconds, unsigned kinds);
/* Parses a list of kinds such as "kill,outage" into a bit set for fault_schedule_draw. If
 * `names` is NULL, returns all kinds. Returns 0 if a name is unknown. */
unsigned fault_schedule_parse_kinds(const char *names);
/* Removes all faults but those listed by number, counted from 1, in `numbers`, such as "2,5".
 * Returns false and changes nothing if `numbers` is not a list of numbers of faults in the
 * schedule. */
bool fault_schedule_select(GArray *schedule, const char *numbers);
/* Prints one line for each fault to standard output. */
void fault_schedule_print(const GArray *schedule);
/* Returns the name of a kind as used on the command line and in logs. */
const char *fault_kind_name(enum fault_kind kind);

#endif
