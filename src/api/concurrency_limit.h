/* A limit on the users' requests in progress that adapts to how long they take.
 *
 * It grows while requests take about as long as usual, and shrinks when they take markedly longer:
 * then more in progress only means a longer wait for each. Owned by struct pm_api, and guarded by
 * pm_controller.lock like it; no I/O, no clock: durations are arguments. */
#ifndef PM_API_CONCURRENCY_LIMIT_H
#define PM_API_CONCURRENCY_LIMIT_H

#include <stdbool.h>

struct pm_concurrency_limit;

/* A limit that stays between `min` and `max` requests. Never NULL; owned by the caller. */
struct pm_concurrency_limit *pm_concurrency_limit_new(unsigned min, unsigned max);
/* Frees the limit. */
void pm_concurrency_limit_free(struct pm_concurrency_limit *limit);
/* Admits one request, which ends with pm_concurrency_limit_release. False: too many are in
 * progress. A priority request, whose client does not simply ask again, may go beyond the limit. */
bool pm_concurrency_limit_acquire(struct pm_concurrency_limit *limit, bool is_priority);
/* A request that was admitted has ended after `duration_s`, while the state service takes
 * `store_latency_s` for an answer: a duration that the state service accounts for does not become
 * shorter by turning users away. */
void pm_concurrency_limit_release(struct pm_concurrency_limit *limit, double duration_s,
                                  double store_latency_s);
/* How many requests may be in progress at present, priority requests apart. */
unsigned pm_concurrency_limit_current(const struct pm_concurrency_limit *limit);

#endif
