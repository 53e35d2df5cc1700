/* One run: real controllers over loopback, users, troubles, and what they saw checked meanwhile. */
#ifndef PM_SOAK_SOAK_H
#define PM_SOAK_SOAK_H

#include "soak/schedule.h"

struct soak_settings {
    guint32 seed;
    double seconds;
    int controllers, machines;
    const char *daemon;
    const char
        *old_daemon;      /* an earlier version, which controller 0 runs for the first half; NULL */
    double lease_s;       /* of the workers; 0: drawn */
    unsigned kinds;       /* see schedule_draw */
    const char *only;     /* numbers of the troubles that are kept, NULL: all */
    bool duties;          /* links and duties are on, and rents and returns are checked */
    const char *operator; /* the operators' settings, as YAML; NULL: the soak's own */
    const char *log_file; /* controllers' logs with the soak's own marks; NULL: none */
    bool print;           /* the schedule is printed */
};

struct soak_result {
    unsigned troubles, starts, jobs;
    double seconds;
    double stall_s;   /* for which the stand-ins stood still at most: a busy machine */
    char *violations; /* one line each, with the second; owned by the caller */
};

/* False: `only` can't be read, or the daemon does not start. */
bool soak_run(const struct soak_settings *settings, struct soak_result *result);

#endif
