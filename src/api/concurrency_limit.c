#include "api/concurrency_limit.h"

#include <glib.h>

enum { INITIAL_LIMIT = 64 };
#define PRIORITY_FACTOR 1.5 /* priority requests are admitted up to this multiple of the limit */
/* A request waits for at most this number of responses of the state service, so a duration up to
 * this multiple of the state service's latency does not indicate overload. */
#define STORE_LATENCY_FACTOR 4.0
/* Users do not notice shorter durations, so these are no reason to refuse requests. */
#define NOTICEABLE_LATENCY_S 0.1
#define OVERLOAD_FACTOR 4.0 /* durations above this multiple of the baseline indicate overload */
#define RECENT_WEIGHT 0.1   /* weight of the latest duration in the moving mean */
/* Weight of the latest duration in the baseline: a long overload must not become the baseline. */
#define BASELINE_WEIGHT 0.0001
/* The limit is multiplied by this when a request ends during overload. */
#define DECREASE_FACTOR 0.98

struct pm_concurrency_limit {
    unsigned min, max;
    unsigned in_progress;
    double current;    /* between min and max */
    double baseline_s; /* slowly rising minimum of the durations; 0 before the first */
    double recent_s;   /* moving mean of the latest durations; 0 before the first */
};

struct pm_concurrency_limit *pm_concurrency_limit_new(unsigned min, unsigned max)
{
    struct pm_concurrency_limit *limit = g_new0(struct pm_concurrency_limit, 1);

    limit->min = min;
    limit->max = max;
    limit->current = MIN(max, MAX(min, INITIAL_LIMIT));
    return limit;
}

void pm_concurrency_limit_free(struct pm_concurrency_limit *limit)
{
    g_free(limit);
}

unsigned pm_concurrency_limit_current(const struct pm_concurrency_limit *limit)
{
    return (unsigned)limit->current;
}

bool pm_concurrency_limit_acquire(struct pm_concurrency_limit *limit, bool is_priority)
{
    double allowed = is_priority ? limit->current * PRIORITY_FACTOR : limit->current;

    if (limit->in_progress >= (unsigned)allowed)
        return false;
    limit->in_progress++;
    return true;
}

static void record_duration(struct pm_concurrency_limit *limit, double duration_s)
{
    if (limit->recent_s > 0)
        limit->recent_s = limit->recent_s * (1 - RECENT_WEIGHT) + duration_s * RECENT_WEIGHT;
    else
        limit->recent_s = duration_s;
    if (limit->baseline_s <= 0 || duration_s < limit->baseline_s)
        limit->baseline_s = duration_s;
    else
        limit->baseline_s += (duration_s - limit->baseline_s) * BASELINE_WEIGHT;
}

void pm_concurrency_limit_release(struct pm_concurrency_limit *limit, double duration_s,
                                  double store_latency_s)
{
    bool is_half_used = limit->in_progress * 2 >= (unsigned)limit->current;
    double acceptable_s;

    if (limit->in_progress)
        limit->in_progress--;
    record_duration(limit, duration_s);
    acceptable_s = MAX(NOTICEABLE_LATENCY_S, OVERLOAD_FACTOR * limit->baseline_s);
    acceptable_s = MAX(acceptable_s, STORE_LATENCY_FACTOR * store_latency_s);
    if (limit->recent_s > acceptable_s)
        limit->current = MAX(limit->min, limit->current * DECREASE_FACTOR);
    else if (is_half_used)
        limit->current = MIN(limit->max, limit->current + 1);
}
