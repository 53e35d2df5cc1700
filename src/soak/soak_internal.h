/* What the files of the soak share; nobody else includes it. */
#ifndef PM_SOAK_SOAK_INTERNAL_H
#define PM_SOAK_SOAK_INTERNAL_H

#include "../roles/tests/provider_call_checker.h"
#include "soak/soak.h"
#include "testing/cluster.h"

#include <stdio.h>

/* A fault in progress. */
struct active_fault {
    struct fault fault;
    int controller; /* -1: it concerns none */
    double until_s; /* seconds of the run */
};

/* Written by fault_injection.c. */
struct fault_injection {
    GArray *active;         /* of struct active_fault */
    double delayed_until_s; /* seconds of the run: until then commands are, or were, delayed */
};

/* Written by violations.c. */
struct violations {
    GString *text;              /* one line each */
    struct call_checker *calls; /* NULL: calls to the provider are not checked */
    size_t history_length;      /* of the history's violations that are in the text already */
    size_t calls_length;        /* of the call checker's */
};

struct soak {
    const struct soak_settings *settings;
    struct cluster *cluster;
    GRand *random;    /* of the workload, and of what the stand-ins delay */
    GArray *schedule; /* of struct fault */
    char *log_path;   /* the caller's, or one that is removed after the run */
    FILE *log;        /* NULL: it can't be opened */
    double started_at, lease_s, max_stall_s;
    struct fault_injection injection;
    struct violations violations;
};

/* ---- soak.c ---- */

/* Seconds of the run so far. */
double soak_elapsed_s(const struct soak *soak);

/* ---- fault_injection.c ---- */

/* Makes room for active faults. */
void fault_injection_init(struct fault_injection *injection);
/* Begins a fault, unless one of the same kind is in progress at the same controller. */
void fault_injection_begin(struct soak *soak, const struct fault *fault);
/* Ends the faults whose time is over at `now_s` (seconds of the run). */
void fault_injection_end_due(struct soak *soak, double now_s);
/* Ends all faults in progress. */
void fault_injection_end_all(struct soak *soak);
/* Whether a fault has the process of that controller in its power. */
bool fault_injection_has_process(const struct soak *soak, int controller);

/* ---- violations.c ---- */

/* Starts without violations. */
void violations_init(struct violations *violations);
/* Checks the calls to the provider from now on. */
void violations_check_calls(struct soak *soak);
/* Appends what the checkers have found since the last call, with the second of the run. */
void violations_collect(struct soak *soak);
/* Appends what the controllers have logged. */
void violations_collect_logged(struct soak *soak);

#endif
