/* One run of the randomized fault test: real controller processes over loopback, simulated users,
 * and faults injected by a schedule. The history of the run is checked for violations while it is
 * recorded.
 *
 * A run owns its cluster and all fake services until it ends. Called by the soak program and by
 * tests, in one thread; only one run at a time. */
#ifndef PM_SOAK_SOAK_H
#define PM_SOAK_SOAK_H

#include "soak/fault_schedule.h"

/* All pointers are borrowed until the run has ended. */
struct soak_settings {
    guint32 seed;
    double seconds; /* length of the fault schedule */
    int controller_count, max_machines;
    const char *daemon; /* path of the daemon that the controllers run */
    /* Path of an earlier version, which controller 0 runs for the first half of the run. If this is
     * NULL, every controller runs `daemon` from the start. */
    const char *old_daemon;
    double lease_s; /* length of the workers' leases; if 0, it is drawn from the seed */
    unsigned kinds; /* bit set of the fault kinds to draw, see fault_schedule_draw */
    /* List for fault_schedule_select. If this is NULL, all faults are injected. */
    const char *selected_faults;
    /* Enables links and roles in the default operator settings, and checks the calls to the
     * provider. */
    bool with_roles;
    /* Draws jobs over the whole range of the protocol's fields, in a cluster of three zones and
     * three machine types with slow boots and with a state service of small values and
     * transactions. */
    bool with_varied_jobs;
    bool repeats_pushes; /* workers receive each push that they have executed again and again */
    const char *operator_yaml; /* the operators' settings; if NULL, the soak's defaults */
    /* Path of the controllers' log, to which the soak adds lines about faults and violations. If
     * this is NULL, the log is a temporary file that is removed after the run. */
    const char *log_file;
    bool print_schedule; /* print the whole schedule to standard output */
};

/* The result of a run. */
struct soak_result {
    /* The numbers of faults in the schedule, of task attempts that workers started, and of jobs
     * that users submitted. */
    unsigned fault_count, task_start_count, job_count;
    double seconds; /* length of the run, including the wait for open jobs after the last fault */
    /* The longest time by which one step of the event loop overran. The fake services answer no
     * request during a stall; a long stall means that the host is overloaded. */
    double max_stall_s;
    /* One line for each violation, which begins with the time in the run, except for violations
     * that the controllers logged. Owned by the caller. */
    char *violations;
};

/* Runs one soak. Returns false if `selected_faults` is not a valid list, or if the cluster did not
 * start in time: no task was started or, with roles, the scale-out role was not acquired. `result`
 * may then be unset and must be ignored. */
bool soak_run(const struct soak_settings *settings, struct soak_result *result);

#endif
