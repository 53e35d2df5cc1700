#include "links/fitness.h"

/* A controller's rank as a possible leader is the sum of three terms: one of the RANK_WRITES
 * values, one of the RANK_*_ZONES values (0 if it reaches no zone), and PM_RANK_CLOUD (0 if it does
 * not reach the cloud). A controller that can't write to the state service has rank 0. */
enum {
    RANK_WRITES = 8,
    RANK_WRITES_INTERMITTENTLY = 4, /* the link to the state service flaps */
    RANK_ALL_ZONES = 6,
    RANK_MOST_ZONES = 4,
    RANK_SOME_ZONES = 2
};

/* The names are part of the status, which operators' tools read. */
static const char *const capability_names[PM_CAPABILITY_COUNT] = {
    [PM_CAPABILITY_LEAD] = "lead",
    [PM_CAPABILITY_OWN_SHARD] = "hold-blocks",
    [PM_CAPABILITY_ACCEPT_JOBS] = "accept",
    [PM_CAPABILITY_ANSWER_JOB_POLLS] = "answer-polls",
    [PM_CAPABILITY_RENEW_LEASES] = "renew-by-quorum",
};

const char *pm_capability_name(enum pm_capability capability)
{
    return capability_names[capability];
}

const char *pm_fitness_name(enum pm_fitness fitness)
{
    switch (fitness) {
    case PM_FIT:
        return "fit";
    case PM_IMPAIRED:
        return "impaired";
    default:
        return "unfit";
    }
}

/* ---- fitness for one capability ---- */

/* How well the controller can write decisions to the state service. */
static struct pm_fitness_verdict evaluate_writing(const struct pm_link_view *view)
{
    switch ((enum pm_link_state)view->state_service) {
    case PM_LINK_UP:
        return (struct pm_fitness_verdict){PM_FIT, ""};
    case PM_LINK_DEGRADED:
        return (struct pm_fitness_verdict){PM_IMPAIRED, "the state service answers badly"};
    case PM_LINK_FLAPPING:
        return (struct pm_fitness_verdict){PM_IMPAIRED, "the link to the state service flaps"};
    case PM_LINK_UNKNOWN:
        return (struct pm_fitness_verdict){PM_UNFIT, "the state service has not answered yet"};
    case PM_LINK_REFUSED:
        return (struct pm_fitness_verdict){PM_UNFIT, "the state service refuses"};
    default:
        return (struct pm_fitness_verdict){PM_UNFIT, "the state service is not reached"};
    }
}

struct zone_counts {
    int known, reached;
};

/* Counts the zones whose link state is known, and those that are reached. A state that the
 * controller does not know is taken from the view of `reference`. */
static struct zone_counts count_zones(const struct pm_link_matrix *matrix, int controller,
                                      int reference)
{
    struct zone_counts counts = {0};

    for (int i = 0; i < matrix->settings->zone_count; i++) {
        uint8_t state = matrix->view[controller].zone[i];
        if (state == PM_LINK_UNKNOWN)
            state = matrix->view[reference].zone[i];
        if (state == PM_LINK_UNKNOWN)
            continue;
        counts.known++;
        counts.reached += pm_link_is_usable(state);
    }
    return counts;
}

static struct pm_fitness_verdict evaluate_leading(const struct pm_link_matrix *matrix,
                                                  int controller)
{
    const struct pm_link_view *view = &matrix->view[controller];
    struct pm_fitness_verdict verdict = evaluate_writing(view);
    struct zone_counts zones;

    if (verdict.fitness == PM_UNFIT)
        return verdict;
    zones = count_zones(matrix, controller, controller);
    if (zones.known && !zones.reached)
        return (struct pm_fitness_verdict){PM_UNFIT, "no workers are reached"};
    if (zones.reached < zones.known)
        return (struct pm_fitness_verdict){PM_IMPAIRED, "workers of a zone are not reached"};
    if (view->cloud != PM_LINK_UNKNOWN && !pm_link_is_usable(view->cloud))
        return (struct pm_fitness_verdict){PM_IMPAIRED, "the cloud is not reached"};
    return verdict;
}

static struct pm_fitness_verdict evaluate_renewing(const struct pm_link_matrix *matrix,
                                                   int controller)
{
    int reached = 1; /* the controller itself */

    for (int i = 0; i < matrix->controller_count; i++)
        reached += i != controller && pm_link_is_usable(matrix->view[controller].peer[i]);
    if (reached <= matrix->settings->cluster_size / 2)
        return (struct pm_fitness_verdict){PM_UNFIT, "no majority of controllers is reached"};
    return (struct pm_fitness_verdict){PM_FIT, ""};
}

struct pm_fitness_verdict pm_fitness_evaluate(const struct pm_link_matrix *matrix, int controller,
                                              enum pm_capability capability)
{
    if (capability == PM_CAPABILITY_LEAD)
        return evaluate_leading(matrix, controller);
    if (capability == PM_CAPABILITY_RENEW_LEASES)
        return evaluate_renewing(matrix, controller);
    return evaluate_writing(&matrix->view[controller]);
}

/* ---- rank as a possible leader ---- */

static int rank_zones(const struct pm_link_matrix *matrix, int controller, int reference)
{
    struct zone_counts zones = count_zones(matrix, controller, reference);

    if (zones.reached == zones.known)
        return RANK_ALL_ZONES;
    if (2 * zones.reached > zones.known)
        return RANK_MOST_ZONES;
    return zones.reached ? RANK_SOME_ZONES : 0;
}

static int rank_cloud(const struct pm_link_matrix *matrix, int controller, int reference)
{
    uint8_t state = matrix->view[controller].cloud;

    if (state == PM_LINK_UNKNOWN)
        state = matrix->view[reference].cloud;
    return state == PM_LINK_UNKNOWN || pm_link_is_usable(state) ? PM_RANK_CLOUD : 0;
}

static int rank_writing(const struct pm_link_view *view)
{
    if (pm_link_is_usable(view->state_service))
        return RANK_WRITES;
    return view->state_service == PM_LINK_FLAPPING ? RANK_WRITES_INTERMITTENTLY : 0;
}

int pm_fitness_lead_rank(const struct pm_link_matrix *matrix, int controller, int reference)
{
    int write_rank = rank_writing(&matrix->view[controller]);

    if (!write_rank) /* it could not write its decisions, whatever else it reaches */
        return 0;
    return write_rank + rank_zones(matrix, controller, reference) +
           rank_cloud(matrix, controller, reference);
}

int pm_fitness_best_other_controller(const struct pm_link_matrix *matrix, int self, double now)
{
    int best = -1;
    int best_rank = 0;

    for (int i = 0; i < matrix->controller_count; i++) {
        int rank;
        if (i == self || !pm_link_matrix_is_view_fresh(matrix, i, now))
            continue;
        rank = pm_fitness_lead_rank(matrix, i, self);
        if (rank > best_rank) {
            best_rank = rank;
            best = i;
        }
    }
    return best;
}

/* How much higher the best other controller ranks than this one; 0 if there is no other. */
static int best_advantage(const struct pm_link_matrix *matrix, double now)
{
    int best = pm_fitness_best_other_controller(matrix, 0, now);

    if (best < 0)
        return 0;
    return pm_fitness_lead_rank(matrix, best, 0) - pm_fitness_lead_rank(matrix, 0, 0);
}

/* Updates `since`: the time since which the condition has held, or 0 if it does not hold. Returns
 * whether the condition has held for at least `delay_s`. */
static bool has_held_for(double *since, bool condition, double delay_s, double now)
{
    if (!condition)
        *since = 0;
    else if (*since <= 0)
        *since = now;
    return condition && now - *since >= delay_s;
}

bool pm_fitness_should_step_down(struct pm_fitness_step_down_timers *timers,
                                 const struct pm_link_matrix *matrix,
                                 const struct pm_fitness_delays *delays, double led_for_s,
                                 double now)
{
    int advantage = best_advantage(matrix, now);
    bool stayed_better =
        has_held_for(&timers->better_since, advantage > 0, delays->better_delay_s, now);
    bool stayed_much_better =
        has_held_for(&timers->much_better_since, advantage >= PM_RANK_MUCH_BETTER,
                     delays->much_better_delay_s, now);

    /* A new leader is not replaced during its minimum term, because workers take a while to connect
     * to it and it reaches few of them at first. The term does not apply to a leader that can't
     * write (rank 0): waiting does not help it. */
    if (led_for_s < delays->min_term_s && pm_fitness_lead_rank(matrix, 0, 0) > 0)
        return false;
    return stayed_much_better || stayed_better;
}

double pm_fitness_extra_campaign_delay_s(const struct pm_link_matrix *matrix,
                                         const struct pm_fitness_delays *delays, double now)
{
    return best_advantage(matrix, now) >= PM_RANK_MUCH_BETTER ? delays->much_better_delay_s : 0;
}
