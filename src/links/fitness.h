/* What a controller is fit for, as far as the reachability matrix shows: pure functions, without
 * I/O or locks; times are monotonic seconds.
 *
 * Leaders are ranked, most important first, by: who can write decisions to the state service; whose
 * workers' zones are reached, all before most before some; who reaches the cloud. Where nobody can
 * do all of it, the best of these leads. */
#ifndef PM_LINKS_FITNESS_H
#define PM_LINKS_FITNESS_H

#include "links/matrix.h"

enum pm_capability {
    PM_CAPABILITY_LEAD,         /* rank, place, rent */
    PM_CAPABILITY_OWN_SHARD,    /* place jobs on the machines of a shard */
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

/* How fit the controller is for one capability, by its view in the matrix. */
struct pm_fitness_verdict pm_fitness_evaluate(const struct pm_matrix *matrix, int controller,
                                              enum pm_capability capability);
/* The name of the capability, for logs, traces and the status; a constant. */
const char *pm_capability_name(enum pm_capability capability);
/* The name of the fitness, for logs, traces and the status; a constant. */
const char *pm_fitness_name(enum pm_fitness fitness);

/* How well the controller could lead, 0: not at all. A zone of which it knows nothing counts as it
 * does for the controller `reference`: not knowing is neither better nor worse. */
int pm_fitness_lead_rank(const struct pm_matrix *matrix, int controller, int reference);
/* Differences of rank: what the cloud counts for, and from where on another is much better. */
enum { PM_RANK_CLOUD = 1, PM_RANK_URGENT = 2 };
/* The controller, other than `self`, with a fresh view that could lead best; -1: none could. */
int pm_fitness_best_other(const struct pm_matrix *matrix, int self, double now);

/* For how long another controller could have led better: kept by the leader from one call to the
 * next, so that the lead does not pass to and fro. All zero: new. */
struct pm_fitness_yield_timers {
    double better_since;      /* monotonic: another could lead better ever since, 0: none could */
    double much_better_since; /* the same, by PM_RANK_URGENT or more */
};

struct pm_fitness_delays {
    double much_better_s; /* another has to be much better for this long, */
    double better_s;      /* or a little better for this long, */
    double min_term_s;    /* once the leader has led for this long, if it can write at all */
};

/* To be called regularly by the leader, controller 0 of the matrix, which has led for `led_for`
 * seconds: true when it is to leave the lead to another. */
bool pm_fitness_should_yield_lead(struct pm_fitness_yield_timers *timers,
                                  const struct pm_matrix *matrix,
                                  const struct pm_fitness_delays *delays, double led_for,
                                  double now);
/* How many seconds longer than others this controller is to wait before it campaigns. */
double pm_fitness_candidate_wait_s(const struct pm_matrix *matrix,
                                   const struct pm_fitness_delays *delays, double now);

#endif
