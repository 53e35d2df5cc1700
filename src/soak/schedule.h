/* The troubles of a soak: drawn from one seed, printed, and repeated, in whole or in part. */
#ifndef PM_SOAK_SCHEDULE_H
#define PM_SOAK_SCHEDULE_H

#include <glib.h>
#include <stdbool.h>

enum trouble_kind {
    TROUBLE_KILL,          /* a controller is killed, and started again once it is over */
    TROUBLE_PAUSE,         /* it stands still */
    TROUBLE_CUT_STATE,     /* its link to the state service */
    TROUBLE_CUT_PEERS,     /* its links to all other controllers */
    TROUBLE_CUT_WORKERS,   /* its links to the workers of both zones */
    TROUBLE_CUT_CLOUD,     /* its link to the cloud */
    TROUBLE_REFUSED_ALONE, /* the state service answers it alone with 503 */
    TROUBLE_OUTAGE,        /* the state service answers everybody with 503 */
    TROUBLE_STATE_HANGS,   /* the state service answers nobody */
    TROUBLE_LATE_WRITE,    /* the next transaction on a key is carried out later, unanswered */
    TROUBLE_LOST_ANSWER,   /* the next transaction is carried out, and not answered */
    TROUBLE_WATCH_TOO_OLD, /* the next watch is told so */
    TROUBLE_LATE_MESSAGES, /* copies of reports, and commands, arrive late */
    TROUBLE_MACHINE_CUT,   /* machines reach no controller */
    TROUBLE_MACHINE_HANGS, /* machines stand still */
    TROUBLE_MACHINE_FAILS, /* a machine stops by itself */
    TROUBLE_CANCELLATIONS, /* users cancel some jobs */
    TROUBLE_KINDS
};

/* Which controller is meant, told when the trouble begins. */
enum trouble_target { TARGET_LEADER, TARGET_HOLDER, TARGET_ANY, TARGETS };

struct trouble {
    enum trouble_kind kind;
    enum trouble_target target;
    unsigned choice; /* among controllers, machines, keys or kinds of cut */
    double at_s, for_s;
};

/* All troubles of a run of that length, by when they begin; of struct trouble, owned by the caller.
 * `kinds` has bit k for each kind that may come. */
GArray *schedule_draw(GRand *random, double seconds, unsigned kinds);
/* Reads names of kinds ("kill,outage") as such bits; NULL: all. 0: there is no such name. */
unsigned schedule_read_kinds(const char *names);
/* Keeps only those whose numbers, counted from 1, are listed in `only` ("2,5"). False: that is no
 * list of numbers. */
bool schedule_keep(GArray *schedule, const char *only);
const char *trouble_name(enum trouble_kind kind);
const char *target_name(enum trouble_target target);

#endif
