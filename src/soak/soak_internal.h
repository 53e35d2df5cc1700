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
    int controller; /* index of the affected controller; -1: the fault affects none */
    double end_s;   /* seconds since the start of the run */
};

/* State of the fault injection. Only fault_injection.c changes it. */
struct fault_injection {
    GArray *active; /* of struct active_fault */
    /* When the latest period of delayed commands ends or has ended, in seconds since the start of
     * the run. */
    double delayed_until_s;
};

/* The violations found so far. Only violations.c changes them. */
struct violations {
    GString *text;                /* one line for each */
    struct call_checker *checker; /* of calls to the provider; NULL: they are not checked */
    size_t history_bytes_copied;  /* of the history's violations, into `text` */
    size_t checker_bytes_copied;  /* of the call checker's violations, into `text` */
};

struct soak {
    const struct soak_settings *settings;
    struct cluster *cluster;
    GRand *random;    /* draws the workload, and which messages the fake services delay */
    GArray *schedule; /* of struct fault */
    char *log_path;   /* the caller's log file, or a temporary one that is removed after the run */
    FILE *log;        /* `log_path`, open for appending; NULL: could not be opened */
    /* When the run started (monotonic seconds), the length of the workers' leases, and the longest
     * stall, see struct soak_result. */
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
/* Begins a fault. Does nothing if a fault of the same kind is in progress at the same controller;
 * kinds that affect the process count as the same kind. */
void fault_injection_begin(struct soak *soak, const struct fault *fault);
/* Ends the faults that are due to end by `now_s` (seconds since the start of the run). */
void fault_injection_end_due(struct soak *soak, double now_s);
/* Ends all faults in progress. */
void fault_injection_end_all(struct soak *soak);
/* Returns whether a controller's process is killed or suspended by a fault in progress. */
bool fault_injection_affects_process(const struct soak *soak, int controller);

/* ---- violations.c ---- */

/* Initializes the state without violations. */
void violations_init(struct violations *violations);
/* Creates the call checker. It checks all calls to the provider from now on. */
void violations_check_provider_calls(struct soak *soak);
/* Appends the violations that the history and the call checker have found since the last call,
 * each with the second of the run. */
void violations_collect(struct soak *soak);
/* Appends the violations that the controllers have logged; called once, after the run. */
void violations_collect_logged(struct soak *soak);

#endif
