#include "links/link.h"

#include <math.h>

#define INTERVAL_WEIGHT 0.1   /* of the latest interval in the mean */
#define INTERVALS_ENOUGH 5    /* before that, silence is judged by `down_s` alone */
#define SILENCE_SIGMAS 4.0    /* silence beyond the mean and so many deviations is suspicious */
#define PENALTY_FAILURE 0.5   /* for a failure after success */
#define PENALTY_DOWN 0.5      /* and as much again if it lasted */
#define PENALTY_MOST 4.0      /* what an hour's flapping costs is forgotten like a minute's */
#define PENALTY_FLAPPING 2.5  /* from here on the link is flapping, */
#define PENALTY_FORGIVEN 1.0  /* until here */
#define FLAPPING_DOWN_MOST 12 /* times `down_s`: a flapping link that fails for longer is down */

enum condition { UNTRIED, WELL, DOUBTFUL, FAILED };

static const char *const state_names[PM_LINK_STATES] = {
    [PM_LINK_UNKNOWN] = "unknown",   [PM_LINK_UP] = "up",           [PM_LINK_DEGRADED] = "degraded",
    [PM_LINK_FLAPPING] = "flapping", [PM_LINK_ONE_WAY] = "one-way", [PM_LINK_DOWN] = "down",
    [PM_LINK_REFUSED] = "refused"};

const char *pm_link_state_name(enum pm_link_state state)
{
    return state >= 0 && state < PM_LINK_STATES ? state_names[state] : "unknown";
}

bool pm_link_usable(enum pm_link_state state)
{
    return state == PM_LINK_UP || state == PM_LINK_DEGRADED;
}

static void learn_interval(struct pm_link_intervals *intervals, double interval)
{
    double difference = interval - intervals->mean;

    if (!intervals->count++) {
        intervals->mean = interval;
        return;
    }
    intervals->mean += INTERVAL_WEIGHT * difference;
    intervals->variance =
        (1 - INTERVAL_WEIGHT) * (intervals->variance + INTERVAL_WEIGHT * difference * difference);
}

void pm_link_worked(struct pm_link *link, enum pm_link_direction direction, double now)
{
    struct pm_link_path *path = &link->path[direction];

    if (path->worked > 0 && !path->failing_since)
        learn_interval(&path->intervals, now - path->worked);
    if (path->failing_since || !path->works_since)
        path->works_since = now;
    path->worked = now;
    path->failing_since = 0;
    path->failures = 0;
    if (direction == PM_LINK_OUTWARD)
        link->refused = false;
}

void pm_link_failed(struct pm_link *link, enum pm_link_direction direction, double began,
                    double now)
{
    struct pm_link_path *path = &link->path[direction];

    /* A call that began before the latest success and timed out since says little. */
    if (began < path->worked)
        began = path->worked;
    if (!path->failing_since)
        path->failing_since = began;
    path->failed = now;
    path->failures++;
}

void pm_link_was_refused(struct pm_link *link, double now)
{
    pm_link_worked(link, PM_LINK_OUTWARD, now);
    link->refused = true;
}

void pm_link_await(struct pm_link *link, bool awaited, double now)
{
    struct pm_link_path *path = &link->path[PM_LINK_INWARD];

    if (awaited && !path->awaited)
        path->worked = path->works_since = now;
    path->awaited = awaited;
}

void pm_link_excuse(struct pm_link *link, double now)
{
    for (int i = 0; i < PM_LINK_DIRECTIONS; i++) {
        struct pm_link_path *path = &link->path[i];
        if (path->worked > 0)
            path->worked = now;
        if (path->failing_since)
            path->failing_since = now;
        path->failures = path->failures > 0;
    }
}

/* How long the direction has been without a sign that it works, in a way that speaks against it. */
static double failing_for(const struct pm_link_path *path, enum pm_link_direction direction,
                          double now)
{
    if (direction == PM_LINK_OUTWARD)
        return path->failing_since ? now - path->failing_since : 0;
    return path->awaited ? now - path->worked : 0;
}

/* Silence that the measured intervals explain; never less than half of `down_s`, for where much
 * arrives the intervals are those of a crowd. */
static double explained_silence(const struct pm_link_intervals *intervals, double down_s)
{
    if (intervals->count < INTERVALS_ENOUGH)
        return down_s;
    return fmax(intervals->mean + SILENCE_SIGMAS * sqrt(intervals->variance), down_s / 2);
}

static enum condition judge_path(const struct pm_link_path *path, enum pm_link_direction direction,
                                 const struct pm_link_limits *limits, double now)
{
    double failing = failing_for(path, direction, now);
    double allowed = 0;

    if (!path->worked && !path->failures)
        return UNTRIED;
    if (direction == PM_LINK_INWARD) {
        if (!path->awaited)
            return UNTRIED;
        allowed = explained_silence(&path->intervals, limits->down_s);
    }
    if (failing <= allowed)
        return WELL;
    if (direction == PM_LINK_OUTWARD && path->failures < 2)
        return DOUBTFUL;
    return failing < allowed + limits->down_s ? DOUBTFUL : FAILED;
}

static bool has_recovered(const struct pm_link *link, const struct pm_link_limits *limits,
                          double now)
{
    double works_since = link->path[PM_LINK_OUTWARD].works_since;

    return now - fmax(works_since, link->path[PM_LINK_INWARD].works_since) >= limits->recover_s;
}

/* What the two directions say together, flapping aside. */
static enum pm_link_state combine(struct pm_link *link, const enum condition *condition,
                                  const struct pm_link_limits *limits, double now)
{
    enum condition outward = condition[PM_LINK_OUTWARD];
    enum condition inward = condition[PM_LINK_INWARD];

    if (outward == UNTRIED && inward == UNTRIED)
        return PM_LINK_UNKNOWN;
    if (outward == FAILED || inward == FAILED) {
        bool other_works = outward == FAILED ? inward == WELL : outward == WELL;
        link->failed_direction = outward == FAILED ? PM_LINK_OUTWARD : PM_LINK_INWARD;
        return other_works ? PM_LINK_ONE_WAY : PM_LINK_DOWN;
    }
    if (link->refused)
        return PM_LINK_REFUSED;
    if (outward == DOUBTFUL || inward == DOUBTFUL)
        return PM_LINK_DEGRADED;
    if (link->recovering && !has_recovered(link, limits, now))
        return PM_LINK_DEGRADED;
    return PM_LINK_UP;
}

static bool is_down(enum pm_link_state state)
{
    return state == PM_LINK_DOWN || state == PM_LINK_ONE_WAY;
}

/* Charges the change from the last judgement to this one. */
static void charge(struct pm_link *link, enum pm_link_state state,
                   const struct pm_link_limits *limits, double now)
{
    enum pm_link_state before = link->unpenalised;
    bool failed = (is_down(state) || state == PM_LINK_DEGRADED) && !is_down(before) &&
                  before != PM_LINK_DEGRADED && before != PM_LINK_UNKNOWN;

    link->penalty *= exp2((link->penalty_at - now) / limits->half_life_s);
    link->penalty_at = now;
    if (failed)
        link->penalty += PENALTY_FAILURE;
    if (is_down(state) && !is_down(before)) {
        link->penalty += PENALTY_DOWN;
        link->down_since = now;
        link->recovering = true;
    }
    if (state == PM_LINK_UP)
        link->recovering = false;
    link->penalty = fmin(link->penalty, PENALTY_MOST);
    link->unpenalised = state;
}

static bool is_flapping(const struct pm_link *link, const struct pm_link_limits *limits, double now)
{
    enum pm_link_state state = link->unpenalised;
    double threshold = link->state == PM_LINK_FLAPPING ? PENALTY_FORGIVEN : PENALTY_FLAPPING;

    if (state == PM_LINK_UNKNOWN || state == PM_LINK_REFUSED || link->penalty < threshold)
        return false;
    return !is_down(state) || now - link->down_since < FLAPPING_DOWN_MOST * limits->down_s;
}

bool pm_link_judge(struct pm_link *link, const struct pm_link_limits *limits, double now)
{
    enum condition condition[PM_LINK_DIRECTIONS];
    enum pm_link_state state;

    for (int i = 0; i < PM_LINK_DIRECTIONS; i++)
        condition[i] = judge_path(&link->path[i], (enum pm_link_direction)i, limits, now);
    charge(link, combine(link, condition, limits, now), limits, now);
    state = is_flapping(link, limits, now) ? PM_LINK_FLAPPING : link->unpenalised;
    if (state == link->state)
        return false;
    link->state = state;
    link->since = now;
    return true;
}
