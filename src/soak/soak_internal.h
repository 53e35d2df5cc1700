/* Declarations shared by the files of src/soak. Not included elsewhere. */
#ifndef PM_SOAK_SOAK_INTERNAL_H
#define PM_SOAK_SOAK_INTERNAL_H

#include "../roles/tests/provider_call_checker.h"
#include "soak/soak.h"
#include "testing/cluster.h"

#include <stdio.h>

/* A fault in progress. */
struct active_fault {
    struct fault fault;
    int controller; /* index of the targeted controller; -1 if the fault targets none */
    double end_s;   /* seconds since the start of the run */
};

/* State of the fault injection. Only fault_injection.c changes it. */
struct fault_injection {
    GArray *active; /* of struct active_fault */
    /* The end of the latest period in which commands are delayed, in seconds since the start of the
     * run. */
    double delayed_until_s;
};

/* The violations found so far. Only violations.c changes them. */
struct violations {
    GString *text;                /* one line for each */
    struct call_checker *checker; /* of calls to the provider; NULL unless roles are enabled */
    /* The numbers of bytes of the history's and of the call checker's violations that are already
     * in `text`. */
    size_t history_bytes_copied;
    size_t checker_bytes_copied;
};

struct soak {
    const struct soak_settings *settings;
    struct cluster *cluster;
    GRand *random;    /* draws the workload, and which messages the fake services delay */
    GArray *schedule; /* of struct fault */
    char *log_path;   /* the caller's log file, or a temporary one that is removed after the run */
    FILE *log;        /* `log_path`, open for appending; NULL if it could not be opened */
    /* The start of the run (monotonic seconds), the length of the workers' leases, and the longest
     * stall so far (see struct soak_result). */
    double started_at, lease_s, max_stall_s;
    struct fault_injection injection;
    struct violations violations;
};

/* ---- soak.c ---- */

/* Returns the seconds since the start of the run. */
double soak_elapsed_s(const struct soak *soak);

/* ---- fault_injection.c ---- */

/* Initializes the state without active faults. */
void fault_injection_init(struct fault_injection *injection);
/* Begins a fault. Does nothing if a fault of the same kind is in progress on the same controller,
 * or if both faults are of the same kind and target no controller. Kill and pause count as the same
 * kind. */
void fault_injection_begin(struct soak *soak, const struct fault *fault);
/* Ends the faults that are due to end by `now_s` (seconds since the start of the run). */
void fault_injection_end_due(struct soak *soak, double now_s);
/* Ends all faults in progress. */
void fault_injection_end_all(struct soak *soak);
/* Returns whether a controller's process is killed or suspended by a fault in progress. */
bool fault_injection_has_stopped_process(const struct soak *soak, int controller);

/* ---- violations.c ---- */

/* Initializes the state without violations. */
void violations_init(struct violations *violations);
/* Creates the call checker, and makes it observe the state service and all calls to the provider
 * from now on. */
void violations_observe_provider_calls(struct soak *soak);
/* Appends the violations that the history and the call checker have found since the last call of
 * this function, each with its time since the start of the run. */
void violations_collect(struct soak *soak);
/* Appends the violations that the controllers have logged. Called once, after the run. */
void violations_collect_logged(struct soak *soak);

#endif
