#include "links/fitness.h"

enum {
    RANK_RECORDS = 8,
    RANK_RECORDS_AT_TIMES = 4, /* a link to the state service that flaps */
    RANK_ALL_ZONES = 6,
    RANK_MOST_ZONES = 4,
    RANK_SOME_ZONES = 2
};

static const char *const duty_names[PM_CAPABILITY_COUNT] = {
    [PM_CAPABILITY_LEAD] = "lead",
    [PM_CAPABILITY_OWN_SHARD] = "hold-blocks",
    [PM_CAPABILITY_ACCEPT_JOBS] = "accept",
    [PM_CAPABILITY_ANSWER_POLLS] = "answer-polls",
    [PM_CAPABILITY_RENEW_LEASES] = "renew-by-quorum",
};

const char *pm_capability_name(enum pm_capability duty)
{
    return duty_names[duty];
}

const char *pm_fitness_name(enum pm_fitness fitness)
{
    return fitness == PM_FIT ? "fit" : fitness == PM_IMPAIRED ? "impaired" : "unfit";
}

/* ---- the duties, one by one ---- */

static struct pm_fitness_verdict judge_recording(const struct pm_view *view)
{
    switch ((enum pm_link_state)view->state) {
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

static void count_zones(const struct pm_matrix *matrix, int controller, int reference, int *reached,
                        int *known)
{
    *reached = *known = 0;
    for (int i = 0; i < matrix->settings->zone_count; i++) {
        uint8_t state = matrix->view[controller].zone[i];
        if (state == PM_LINK_UNKNOWN)
            state = matrix->view[reference].zone[i];
        if (state == PM_LINK_UNKNOWN)
            continue;
        ++*known;
        *reached += pm_link_usable(state);
    }
}

static struct pm_fitness_verdict judge_lead(const struct pm_matrix *matrix, int controller)
{
    const struct pm_view *view = &matrix->view[controller];
    struct pm_fitness_verdict verdict = judge_recording(view);
    int reached;
    int known;

    if (verdict.fitness == PM_UNFIT)
        return verdict;
    count_zones(matrix, controller, controller, &reached, &known);
    if (known && !reached)
        return (struct pm_fitness_verdict){PM_UNFIT, "no workers are reached"};
    if (reached < known)
        return (struct pm_fitness_verdict){PM_IMPAIRED, "workers of a zone are not reached"};
    if (view->cloud != PM_LINK_UNKNOWN && !pm_link_usable(view->cloud))
        return (struct pm_fitness_verdict){PM_IMPAIRED, "the cloud is not reached"};
    return verdict;
}

static struct pm_fitness_verdict judge_renewing(const struct pm_matrix *matrix, int controller)
{
    int reached = 1;

    for (int i = 0; i < matrix->controllers; i++)
        reached += i != controller && pm_link_usable(matrix->view[controller].peer[i]);
    if (reached <= matrix->settings->cluster_size / 2)
        return (struct pm_fitness_verdict){PM_UNFIT, "no majority of controllers is reached"};
    return (struct pm_fitness_verdict){PM_FIT, ""};
}

struct pm_fitness_verdict pm_fitness_judge(const struct pm_matrix *matrix, int controller,
                                           enum pm_capability duty)
{
    if (duty == PM_CAPABILITY_LEAD)
        return judge_lead(matrix, controller);
    if (duty == PM_CAPABILITY_RENEW_LEASES)
        return judge_renewing(matrix, controller);
    return judge_recording(&matrix->view[controller]);
}

/* ---- who leads ---- */

static int rank_zones(const struct pm_matrix *matrix, int controller, int reference)
{
    int reached;
    int known;

    count_zones(matrix, controller, reference, &reached, &known);
    if (reached == known)
        return RANK_ALL_ZONES;
    if (2 * reached > known)
        return RANK_MOST_ZONES;
    return reached ? RANK_SOME_ZONES : 0;
}

int pm_fitness_lead_rank(const struct pm_matrix *matrix, int controller, int reference)
{
    const struct pm_view *view = &matrix->view[controller];
    bool cloud_unknown = view->cloud == PM_LINK_UNKNOWN;
    uint8_t cloud = cloud_unknown ? matrix->view[reference].cloud : view->cloud;
    int rank = 0;

    if (pm_link_usable(view->state))
        rank = RANK_RECORDS;
    else if (view->state == PM_LINK_FLAPPING)
        rank = RANK_RECORDS_AT_TIMES;
    else
        return 0; /* whatever else it reaches: nothing it decides could be recorded */
    rank += rank_zones(matrix, controller, reference);
    return rank + (cloud == PM_LINK_UNKNOWN || pm_link_usable(cloud) ? PM_RANK_CLOUD : 0);
}

int pm_fitness_best_other(const struct pm_matrix *matrix, int self, double now)
{
    int best = -1;
    int best_rank = 0;

    for (int i = 0; i < matrix->controllers; i++) {
        int rank;
        if (i == self || !pm_matrix_is_fresh(matrix, i, now))
            continue;
        rank = pm_fitness_lead_rank(matrix, i, self);
        if (rank > best_rank) {
            best_rank = rank;
            best = i;
        }
    }
    return best;
}

/* By how much the best of the others would lead better than this controller. */
static int advantage(const struct pm_matrix *matrix, double now)
{
    int best = pm_fitness_best_other(matrix, 0, now);

    if (best < 0)
        return 0;
    return pm_fitness_lead_rank(matrix, best, 0) - pm_fitness_lead_rank(matrix, 0, 0);
}

static bool lasts(double *since, bool holds, double for_s, double now)
{
    if (!holds)
        *since = 0;
    else if (*since <= 0)
        *since = now;
    return holds && now - *since >= for_s;
}

bool pm_fitness_gives_way(struct pm_fitness_patience *patience, const struct pm_matrix *matrix,
                          const struct pm_fitness_times *times, double led_for, double now)
{
    int difference = advantage(matrix, now);
    bool slightly = lasts(&patience->better_since, difference > 0, times->slight_s, now);
    bool urgently =
        lasts(&patience->urgently_better_since, difference >= PM_RANK_URGENT, times->urgent_s, now);

    /* Workers need a while to come to a new leader; what it can't record it never will. */
    if (led_for < times->least_s && pm_fitness_lead_rank(matrix, 0, 0) > 0)
        return false;
    return urgently || slightly;
}

double pm_fitness_candidate_wait_s(const struct pm_matrix *matrix,
                                   const struct pm_fitness_times *times, double now)
{
    return advantage(matrix, now) >= PM_RANK_URGENT ? times->urgent_s : 0;
}
