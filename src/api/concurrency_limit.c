#include "api/concurrency_limit.h"

#include <glib.h>

enum { INITIAL_LIMIT = 64 };
#define PRIORITY_SHARE 1.5     /* of the limit, that priority requests may fill */
#define STORE_LATENCIES 4.0    /* a request waits for so many answers of the store, at most */
#define UNNOTICED_S 0.1        /* below this nobody notices a wait: no reason to refuse anybody */
#define SLOWDOWN 4.0           /* over the baseline: the sign of overload */
#define RECENT_WEIGHT 0.1      /* of the latest duration in the recent mean */
#define BASELINE_WEIGHT 0.0001 /* a long overload must not become the baseline */
#define DECREASE 0.98          /* at each request that ends under overload */

struct pm_concurrency_limit {
    unsigned min, max;
    unsigned in_progress;
    double current;    /* between min and max */
    double baseline_s; /* slowly rising floor of the durations; 0: none yet */
    double recent_s;   /* quickly moving mean; 0: none yet */
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
    double allowed = is_priority ? limit->current * PRIORITY_SHARE : limit->current;

    if (limit->in_progress >= (unsigned)allowed)
        return false;
    limit->in_progress++;
    return true;
}

static void measure(struct pm_concurrency_limit *limit, double duration_s)
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
    measure(limit, duration_s);
    acceptable_s = MAX(UNNOTICED_S, SLOWDOWN * limit->baseline_s);
    acceptable_s = MAX(acceptable_s, STORE_LATENCIES * store_latency_s);
    if (limit->recent_s > acceptable_s)
        limit->current = MAX(limit->min, limit->current * DECREASE);
    else if (is_half_used)
        limit->current = MIN(limit->max, limit->current + 1);
}
