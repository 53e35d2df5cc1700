/* How fit a controller is for each of its capabilities, according to the reachability matrix. Pure
 * functions without I/O or locks. Times are monotonic, in seconds.
 *
 * Candidates for the lead are ranked by the sum of three weights, the most important first: whether
 * they can write decisions to the state service; how many of the workers' zones they reach (all,
 * most or some); whether they reach the cloud. If no controller meets all three criteria, the one
 * with the highest rank should lead. */
#ifndef PM_LINKS_FITNESS_H
#define PM_LINKS_FITNESS_H

#include "links/matrix.h"

enum pm_capability {
    PM_CAPABILITY_LEAD,        /* rank jobs, place tasks, rent machines */
    PM_CAPABILITY_OWN_SHARD,   /* place jobs on the machines of a shard */
    PM_CAPABILITY_ACCEPT_JOBS, /* accept submissions and cancellations, which must be durable */
    PM_CAPABILITY_ANSWER_JOB_POLLS, /* answer users' polls of jobs by linearizable reads */
    PM_CAPABILITY_RENEW_LEASES,     /* renew workers' leases by quorum in a state-service outage */
    PM_CAPABILITY_COUNT
};

enum pm_fitness { PM_UNFIT, PM_IMPAIRED, PM_FIT };

struct pm_fitness_verdict {
    enum pm_fitness fitness;
    const char *reason; /* a constant string; "" if fit */
};

/* How fit the controller is for one capability, according to its view in the matrix. */
struct pm_fitness_verdict pm_fitness_evaluate(const struct pm_link_matrix *matrix, int controller,
                                              enum pm_capability capability);
/* The name of the capability for logs, traces and the status; a constant string. */
const char *pm_capability_name(enum pm_capability capability);
/* The name of the fitness for logs, traces and the status; a constant string. */
const char *pm_fitness_name(enum pm_fitness fitness);

/* The controller's rank as a possible leader; 0 if it could not lead at all. If it knows nothing of
 * its link to a zone or to the cloud, the state in the view of the controller `reference` is used,
 * so that an unknown state makes the controller rank neither above nor below the reference. */
int pm_fitness_lead_rank(const struct pm_link_matrix *matrix, int controller, int reference);
enum {
    PM_RANK_CLOUD = 1,      /* what reaching the cloud adds to the rank */
    PM_RANK_MUCH_BETTER = 2 /* minimum difference of rank that counts as much better */
};
/* The controller other than `self`, among those with a fresh view, that could lead best; -1 if none
 * could lead. */
int pm_fitness_best_other_controller(const struct pm_link_matrix *matrix, int self, double now);

/* Since when another controller could have led better. The leader keeps these times between calls
 * of pm_fitness_should_step_down, so that the lead does not change back and forth. They start all
 * zero. */
struct pm_fitness_step_down_timers {
    double better_since;      /* monotonic; 0 while no controller could lead better */
    double much_better_since; /* monotonic; 0 while none could by PM_RANK_MUCH_BETTER or more */
};

/* The leader steps down when another controller has been better for one of the two delays, and the
 * leader has led for its minimum term. The term does not protect a leader that can't write. */
struct pm_fitness_delays {
    double much_better_delay_s; /* if the other is much better */
    double better_delay_s;      /* if the other is better by less */
    double min_term_s;
};

/* Whether the leader should step down in favour of another controller. The leader is controller 0
 * of the matrix, has led for `led_for_s` seconds, and must call this regularly. */
bool pm_fitness_should_step_down(struct pm_fitness_step_down_timers *timers,
                                 const struct pm_link_matrix *matrix,
                                 const struct pm_fitness_delays *delays, double led_for_s,
                                 double now);
/* How many seconds longer than the other controllers this one waits before it campaigns: more than
 * 0 if another could lead much better. */
double pm_fitness_extra_campaign_delay_s(const struct pm_link_matrix *matrix,
                                         const struct pm_fitness_delays *delays, double now);

#endif
