/* One run of the randomized fault test: real controllers over loopback, users, faults by a
 * schedule, and all that happens checked meanwhile.
 *
 * It owns its cluster and all stand-ins for the length of the run. Called by the soak program and
 * by tests, in one thread; only one run at a time. */
#ifndef PM_SOAK_SOAK_H
#define PM_SOAK_SOAK_H

#include "soak/fault_schedule.h"

/* All pointers are borrowed until the run has ended. */
struct soak_settings {
    guint32 seed;
    double seconds; /* length of the schedule of faults */
    int controller_count, max_machines;
    const char *daemon;        /* the program that the controllers run */
    const char *old_daemon;    /* an earlier version, which controller 0 runs for the first half;
                                * NULL: none */
    double lease_s;            /* of the workers; 0: drawn */
    unsigned kinds;            /* see fault_schedule_draw */
    const char *only;          /* see fault_schedule_select; NULL: all faults */
    bool with_roles;           /* links and roles are on, and calls to the provider are checked */
    const char *operator_yaml; /* the operators' settings; NULL: the soak's own */
    const char *log_file;      /* controllers' logs with the soak's own marks; NULL: none is kept */
    bool print_schedule;
};

/* What came of a run. */
struct soak_result {
    unsigned faults, starts, jobs;
    double seconds;
    double max_stall_s; /* for which the stand-ins stood still at most: a busy machine */
    char *violations;   /* one line each, with the second; owned by the caller */
};

/* Runs one soak. False: `only` is no valid list, or the daemon does not start; `result` is then
 * unset, or to be ignored. */
bool soak_run(const struct soak_settings *settings, struct soak_result *result);

#endif
