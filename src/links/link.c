#include "links/link.h"

#include <math.h>

/* Weight of the latest interval between arrivals in their mean. */
#define INTERVAL_WEIGHT 0.1
/* With fewer measured intervals than this, normal silence is `down_s`. */
#define MIN_INTERVALS 5
/* Silence is normal up to the mean interval plus this many standard deviations. */
#define SILENCE_STANDARD_DEVIATIONS 4.0
#define FAILURE_PENALTY 0.5 /* added when a link that worked begins to fail */
#define DOWN_PENALTY 0.5    /* added when a link becomes down or one-way */
/* Limits the penalty, so that it decays as fast after an hour of flapping as after a minute. */
#define MAX_PENALTY 4.0
#define FLAPPING_START_PENALTY 2.5 /* a link becomes flapping at this penalty */
#define FLAPPING_END_PENALTY 1.0   /* a flapping link stops flapping below this penalty */
/* A flapping link that stays down for longer than this many times `down_s` is down. */
#define MAX_FLAPPING_DOWN_FACTOR 12
/* A single call may be lost on a good link, so that it takes this many failures in a row before an
 * outbound direction counts as failed. */
#define MIN_CONSECUTIVE_FAILURES 2

/* The health of one direction, according to its evidence. */
enum direction_health { HEALTH_UNKNOWN, HEALTH_GOOD, HEALTH_SUSPECT, HEALTH_FAILED };

static const char *const state_names[PM_LINK_STATE_COUNT] = {
    [PM_LINK_UNKNOWN] = "unknown",   [PM_LINK_UP] = "up",           [PM_LINK_DEGRADED] = "degraded",
    [PM_LINK_FLAPPING] = "flapping", [PM_LINK_ONE_WAY] = "one-way", [PM_LINK_DOWN] = "down",
    [PM_LINK_REFUSED] = "refused"};

const char *pm_link_state_name(enum pm_link_state state)
{
    return state >= 0 && state < PM_LINK_STATE_COUNT ? state_names[state] : "unknown";
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
    if (direction == PM_LINK_OUTBOUND)
        link->is_refused = false;
}

void pm_link_record_failure(struct pm_link *link, enum pm_link_direction direction, double began_at,
                            double now)
{
    struct pm_link_evidence *evidence = &link->evidence[direction];

    /* If the call began before the latest success, only the time since then counts as failing. */
    if (began_at < evidence->succeeded_at)
        began_at = evidence->succeeded_at;
    if (!evidence->failing_since)
        evidence->failing_since = began_at;
    evidence->failed_at = now;
    evidence->consecutive_failures++;
}

void pm_link_record_refusal(struct pm_link *link, double now)
{
    pm_link_record_success(link, PM_LINK_OUTBOUND, now);
    link->is_refused = true;
}

void pm_link_set_inbound_expected(struct pm_link *link, bool is_expected, double now)
{
    struct pm_link_evidence *evidence = &link->evidence[PM_LINK_INBOUND];

    if (is_expected && !evidence->is_expected) {
        evidence->succeeded_at = now;
        evidence->succeeding_since = now;
    }
    evidence->is_expected = is_expected;
}

void pm_link_exclude_pause(struct pm_link *link, double now)
{
    for (int i = 0; i < PM_LINK_DIRECTION_COUNT; i++) {
        struct pm_link_evidence *evidence = &link->evidence[i];
        if (evidence->succeeded_at > 0)
            evidence->succeeded_at = now;
        if (evidence->failing_since)
            evidence->failing_since = now;
        evidence->consecutive_failures = evidence->consecutive_failures > 0;
    }
}

/* ---- evaluation ---- */

/* For how long the direction has been failing: outbound since the first failed call, inbound since
 * the latest arrival if traffic is expected. */
static double failing_for_s(const struct pm_link_evidence *evidence,
                            enum pm_link_direction direction, double now)
{
    if (direction == PM_LINK_OUTBOUND)
        return evidence->failing_since ? now - evidence->failing_since : 0;
    return evidence->is_expected ? now - evidence->succeeded_at : 0;
}

/* How long silence is normal according to the measured intervals. Never less than half of `down_s`:
 * if many senders share the link, the intervals are much shorter than those of each sender. */
static double normal_silence_s(const struct pm_link_intervals *intervals, double down_s)
{
    if (intervals->count < MIN_INTERVALS)
        return down_s;
    return fmax(intervals->mean + SILENCE_STANDARD_DEVIATIONS * sqrt(intervals->variance),
                down_s / 2);
}

static enum direction_health evaluate_direction(const struct pm_link_evidence *evidence,
                                                enum pm_link_direction direction,
                                                const struct pm_link_limits *limits, double now)
{
    double failing_s = failing_for_s(evidence, direction, now);
    double allowed_silence_s = 0;

    if (!evidence->succeeded_at && !evidence->consecutive_failures)
        return HEALTH_UNKNOWN;
    if (direction == PM_LINK_INBOUND) {
        if (!evidence->is_expected)
            return HEALTH_UNKNOWN;
        allowed_silence_s = normal_silence_s(&evidence->intervals, limits->down_s);
    }
    if (failing_s <= allowed_silence_s)
        return HEALTH_GOOD;
    if (direction == PM_LINK_OUTBOUND && evidence->consecutive_failures < MIN_CONSECUTIVE_FAILURES)
        return HEALTH_SUSPECT;
    return failing_s < allowed_silence_s + limits->down_s ? HEALTH_SUSPECT : HEALTH_FAILED;
}

static bool has_recovered(const struct pm_link *link, const struct pm_link_limits *limits,
                          double now)
{
    double succeeding_since = fmax(link->evidence[PM_LINK_OUTBOUND].succeeding_since,
                                   link->evidence[PM_LINK_INBOUND].succeeding_since);

    return now - succeeding_since >= limits->recover_s;
}

/* The state of a link of which at least one direction has failed. */
static enum pm_link_state combine_with_failure(struct pm_link *link, enum direction_health outbound,
                                               enum direction_health inbound)
{
    bool is_outbound_failed = outbound == HEALTH_FAILED;
    enum direction_health other = is_outbound_failed ? inbound : outbound;

    link->failed_direction = is_outbound_failed ? PM_LINK_OUTBOUND : PM_LINK_INBOUND;
    return other == HEALTH_GOOD ? PM_LINK_ONE_WAY : PM_LINK_DOWN;
}

/* The undamped state of the link, which follows from the health of its two directions. */
static enum pm_link_state combine_directions(struct pm_link *link, enum direction_health outbound,
                                             enum direction_health inbound,
                                             const struct pm_link_limits *limits, double now)
{
    if (outbound == HEALTH_UNKNOWN && inbound == HEALTH_UNKNOWN)
        return PM_LINK_UNKNOWN;
    if (outbound == HEALTH_FAILED || inbound == HEALTH_FAILED)
        return combine_with_failure(link, outbound, inbound);
    if (link->is_refused)
        return PM_LINK_REFUSED;
    if (outbound == HEALTH_SUSPECT || inbound == HEALTH_SUSPECT)
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

/* Sets the undamped state, lets the penalty decay, and adds to it if the link has got worse. */
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
    double threshold =
        link->state == PM_LINK_FLAPPING ? FLAPPING_END_PENALTY : FLAPPING_START_PENALTY;

    if (state == PM_LINK_UNKNOWN || state == PM_LINK_REFUSED || link->penalty < threshold)
        return false;
    return !is_down(state) || now - link->down_since < MAX_FLAPPING_DOWN_FACTOR * limits->down_s;
}

bool pm_link_evaluate(struct pm_link *link, const struct pm_link_limits *limits, double now)
{
    enum direction_health outbound =
        evaluate_direction(&link->evidence[PM_LINK_OUTBOUND], PM_LINK_OUTBOUND, limits, now);
    enum direction_health inbound =
        evaluate_direction(&link->evidence[PM_LINK_INBOUND], PM_LINK_INBOUND, limits, now);
    enum pm_link_state state;

    update_penalty(link, combine_directions(link, outbound, inbound, limits, now), limits, now);
    state = is_flapping(link, limits, now) ? PM_LINK_FLAPPING : link->undamped_state;
    if (state == link->state)
        return false;
    link->state = state;
    link->state_since = now;
    return true;
}
