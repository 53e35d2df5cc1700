#include "links/link.h"

#include <math.h>

#define INTERVAL_WEIGHT 0.1   /* of the latest interval in the mean */
#define MIN_INTERVALS 5       /* before that, silence is compared with `down_s` alone */
#define SILENCE_SIGMAS 4.0    /* silence beyond the mean and so many deviations is suspicious */
#define FAILURE_PENALTY 0.5   /* for a failure after success */
#define DOWN_PENALTY 0.5      /* and as much again if the link goes down */
#define MAX_PENALTY 4.0       /* so that an hour's flapping decays as fast as a minute's */
#define FLAPPING_PENALTY 2.5  /* from here on the link is flapping, */
#define RECOVERED_PENALTY 1.0 /* until here */
#define MAX_FLAPPING_DOWN 12  /* times `down_s`: a flapping link that fails for longer is down */
#define MIN_FAILURES 2        /* calls in a row: one may be lost on a good link */

/* What the evidence says of one direction. */
enum direction_health { HEALTH_UNKNOWN, HEALTH_GOOD, HEALTH_SUSPECT, HEALTH_FAILED };

static const char *const state_names[PM_LINK_STATES] = {
    [PM_LINK_UNKNOWN] = "unknown",   [PM_LINK_UP] = "up",           [PM_LINK_DEGRADED] = "degraded",
    [PM_LINK_FLAPPING] = "flapping", [PM_LINK_ONE_WAY] = "one-way", [PM_LINK_DOWN] = "down",
    [PM_LINK_REFUSED] = "refused"};

const char *pm_link_state_name(enum pm_link_state state)
{
    return state >= 0 && state < PM_LINK_STATES ? state_names[state] : "unknown";
}

bool pm_link_is_usable(enum pm_link_state state)
{
    return state == PM_LINK_UP || state == PM_LINK_DEGRADED;
}

/* ---- evidence ---- */

static void add_interval(struct pm_link_intervals *intervals, double interval)
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

void pm_link_record_success(struct pm_link *link, enum pm_link_direction direction, double now)
{
    struct pm_link_evidence *evidence = &link->evidence[direction];

    if (evidence->succeeded_at > 0 && !evidence->failing_since)
        add_interval(&evidence->intervals, now - evidence->succeeded_at);
    if (evidence->failing_since || !evidence->succeeding_since)
        evidence->succeeding_since = now;
    evidence->succeeded_at = now;
    evidence->failing_since = 0;
    evidence->consecutive_failures = 0;
    if (direction == PM_LINK_OUTWARD)
        link->is_refused = false;
}

void pm_link_record_failure(struct pm_link *link, enum pm_link_direction direction, double began,
                            double now)
{
    struct pm_link_evidence *evidence = &link->evidence[direction];

    /* A call that began before the latest success says nothing of the time before it. */
    if (began < evidence->succeeded_at)
        began = evidence->succeeded_at;
    if (!evidence->failing_since)
        evidence->failing_since = began;
    evidence->failed_at = now;
    evidence->consecutive_failures++;
}

void pm_link_record_refusal(struct pm_link *link, double now)
{
    pm_link_record_success(link, PM_LINK_OUTWARD, now);
    link->is_refused = true;
}

void pm_link_set_expected(struct pm_link *link, bool is_expected, double now)
{
    struct pm_link_evidence *evidence = &link->evidence[PM_LINK_INWARD];

    if (is_expected && !evidence->is_expected) {
        evidence->succeeded_at = now;
        evidence->succeeding_since = now;
    }
    evidence->is_expected = is_expected;
}

void pm_link_forgive_pause(struct pm_link *link, double now)
{
    for (int i = 0; i < PM_LINK_DIRECTIONS; i++) {
        struct pm_link_evidence *evidence = &link->evidence[i];
        if (evidence->succeeded_at > 0)
            evidence->succeeded_at = now;
        if (evidence->failing_since)
            evidence->failing_since = now;
        evidence->consecutive_failures = evidence->consecutive_failures > 0;
    }
}

/* ---- evaluation ---- */

/* For how long the direction has been without success, in a way that counts as failure. */
static double failing_for_s(const struct pm_link_evidence *evidence,
                            enum pm_link_direction direction, double now)
{
    if (direction == PM_LINK_OUTWARD)
        return evidence->failing_since ? now - evidence->failing_since : 0;
    return evidence->is_expected ? now - evidence->succeeded_at : 0;
}

/* Silence that the measured intervals explain. Never less than half of `down_s`: where many senders
 * share the link, the intervals are much shorter than those of one sender. */
static double explained_silence_s(const struct pm_link_intervals *intervals, double down_s)
{
    if (intervals->count < MIN_INTERVALS)
        return down_s;
    return fmax(intervals->mean + SILENCE_SIGMAS * sqrt(intervals->variance), down_s / 2);
}

static enum direction_health evaluate_direction(const struct pm_link_evidence *evidence,
                                                enum pm_link_direction direction,
                                                const struct pm_link_limits *limits, double now)
{
    double failing_s = failing_for_s(evidence, direction, now);
    double allowed_s = 0;

    if (!evidence->succeeded_at && !evidence->consecutive_failures)
        return HEALTH_UNKNOWN;
    if (direction == PM_LINK_INWARD) {
        if (!evidence->is_expected)
            return HEALTH_UNKNOWN;
        allowed_s = explained_silence_s(&evidence->intervals, limits->down_s);
    }
    if (failing_s <= allowed_s)
        return HEALTH_GOOD;
    if (direction == PM_LINK_OUTWARD && evidence->consecutive_failures < MIN_FAILURES)
        return HEALTH_SUSPECT;
    return failing_s < allowed_s + limits->down_s ? HEALTH_SUSPECT : HEALTH_FAILED;
}

static bool has_recovered(const struct pm_link *link, const struct pm_link_limits *limits,
                          double now)
{
    double succeeding_since = fmax(link->evidence[PM_LINK_OUTWARD].succeeding_since,
                                   link->evidence[PM_LINK_INWARD].succeeding_since);

    return now - succeeding_since >= limits->recover_s;
}

/* The state of a link with a failed direction. */
static enum pm_link_state combine_failed(struct pm_link *link, enum direction_health outward,
                                         enum direction_health inward)
{
    bool is_outward_failed = outward == HEALTH_FAILED;
    enum direction_health other = is_outward_failed ? inward : outward;

    link->failed_direction = is_outward_failed ? PM_LINK_OUTWARD : PM_LINK_INWARD;
    return other == HEALTH_GOOD ? PM_LINK_ONE_WAY : PM_LINK_DOWN;
}

/* What the two directions say together, flapping aside. */
static enum pm_link_state combine(struct pm_link *link, enum direction_health outward,
                                  enum direction_health inward, const struct pm_link_limits *limits,
                                  double now)
{
    if (outward == HEALTH_UNKNOWN && inward == HEALTH_UNKNOWN)
        return PM_LINK_UNKNOWN;
    if (outward == HEALTH_FAILED || inward == HEALTH_FAILED)
        return combine_failed(link, outward, inward);
    if (link->is_refused)
        return PM_LINK_REFUSED;
    if (outward == HEALTH_SUSPECT || inward == HEALTH_SUSPECT)
        return PM_LINK_DEGRADED;
    if (link->is_recovering && !has_recovered(link, limits, now))
        return PM_LINK_DEGRADED;
    return PM_LINK_UP;
}

static bool is_down(enum pm_link_state state)
{
    return state == PM_LINK_DOWN || state == PM_LINK_ONE_WAY;
}

static bool is_failing(enum pm_link_state state)
{
    return is_down(state) || state == PM_LINK_DEGRADED;
}

/* Takes the undamped state, and charges the change from the one before. */
static void update_penalty(struct pm_link *link, enum pm_link_state state,
                           const struct pm_link_limits *limits, double now)
{
    enum pm_link_state before = link->undamped_state;

    link->penalty *= exp2((link->penalty_updated_at - now) / limits->half_life_s);
    link->penalty_updated_at = now;
    if (is_failing(state) && !is_failing(before) && before != PM_LINK_UNKNOWN)
        link->penalty += FAILURE_PENALTY;
    if (is_down(state) && !is_down(before)) {
        link->penalty += DOWN_PENALTY;
        link->down_since = now;
        link->is_recovering = true;
    }
    if (state == PM_LINK_UP)
        link->is_recovering = false;
    link->penalty = fmin(link->penalty, MAX_PENALTY);
    link->undamped_state = state;
}

static bool is_flapping(const struct pm_link *link, const struct pm_link_limits *limits, double now)
{
    enum pm_link_state state = link->undamped_state;
    double threshold = link->state == PM_LINK_FLAPPING ? RECOVERED_PENALTY : FLAPPING_PENALTY;

    if (state == PM_LINK_UNKNOWN || state == PM_LINK_REFUSED || link->penalty < threshold)
        return false;
    return !is_down(state) || now - link->down_since < MAX_FLAPPING_DOWN * limits->down_s;
}

bool pm_link_evaluate(struct pm_link *link, const struct pm_link_limits *limits, double now)
{
    enum direction_health outward =
        evaluate_direction(&link->evidence[PM_LINK_OUTWARD], PM_LINK_OUTWARD, limits, now);
    enum direction_health inward =
        evaluate_direction(&link->evidence[PM_LINK_INWARD], PM_LINK_INWARD, limits, now);
    enum pm_link_state state;

    update_penalty(link, combine(link, outward, inward, limits, now), limits, now);
    state = is_flapping(link, limits, now) ? PM_LINK_FLAPPING : link->undamped_state;
    if (state == link->state)
        return false;
    link->state = state;
    link->state_since = now;
    return true;
}
