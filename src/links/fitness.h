/* Which duties a controller is fit for, as far as the reachability matrix tells: pure functions.
 *
 * Stated order for the lead, most important first: who can record decisions in the state service;
 * whose workers' zones are reached, all before most before some; who reaches the cloud. Where
 * nobody can do all, the best of these leads. */
#ifndef PM_LINKS_FITNESS_H
#define PM_LINKS_FITNESS_H

#include "links/matrix.h"

enum pm_capability {
    PM_CAPABILITY_LEAD,         /* rank, place, rent */
    PM_CAPABILITY_OWN_SHARD,    /* place jobs on leased machines */
    PM_CAPABILITY_ACCEPT_JOBS,  /* submissions and cancellations, which must be durable */
    PM_CAPABILITY_ANSWER_POLLS, /* as fresh as the state service */
    PM_CAPABILITY_RENEW_LEASES, /* workers' leases by quorum, in an outage of the state service */
    PM_CAPABILITY_COUNT
};

enum pm_fitness { PM_UNFIT, PM_IMPAIRED, PM_FIT };

struct pm_fitness_verdict {
    enum pm_fitness fitness;
    const char *reason; /* a constant text; "" if fit */
};

struct pm_fitness_verdict pm_fitness_judge(const struct pm_matrix *matrix, int controller,
                                           enum pm_capability duty);
const char *pm_capability_name(enum pm_capability duty);
const char *pm_fitness_name(enum pm_fitness fitness);

/* How well the controller could lead, 0: not at all. A zone of which it knows nothing counts as it
 * does for the controller `reference`: not knowing is neither better nor worse. */
int pm_fitness_lead_rank(const struct pm_matrix *matrix, int controller, int reference);
/* Differences of rank below this are no reason to hurry. */
enum { PM_RANK_CLOUD = 1, PM_RANK_URGENT = 2 };
/* The controller, other than `self`, with a fresh view that could lead best; -1: none is known. */
int pm_fitness_best_other(const struct pm_matrix *matrix, int self, double now);

/* Whether a leader is to give way, and a candidate to wait, kept over time so that the lead does
 * not pass to and fro. */
struct pm_fitness_patience {
    double better_since;          /* steady: another could lead better ever since, 0: none could */
    double urgently_better_since; /* the same, by PM_RANK_URGENT or more */
};

struct pm_fitness_times {
    double urgent_s; /* another has to be much better for this long, */
    double slight_s; /* or a little better for this long, */
    double least_s;  /* once the leader has led for this long, unless it can record nothing */
};

/* To be called regularly by the leader, controller 0 of the matrix: true when it is to give way. */
bool pm_fitness_gives_way(struct pm_fitness_patience *patience, const struct pm_matrix *matrix,
                          const struct pm_fitness_times *times, double led_for, double now);
/* How much longer than others a candidate waits before it takes a vacant lead. */
double pm_fitness_candidate_wait_s(const struct pm_matrix *matrix,
                                   const struct pm_fitness_times *times, double now);

#endif
