/* An adaptive limit on the number of users' requests in progress.
 *
 * The limit grows while requests take about as long as usual. It shrinks when they take markedly
 * longer, because more concurrency then only lengthens the wait of each request. Owned by struct
 * pm_api and guarded by pm_controller.lock. Does no I/O and reads no clock: durations are
 * arguments. */
#ifndef PM_API_CONCURRENCY_LIMIT_H
#define PM_API_CONCURRENCY_LIMIT_H

#include <stdbool.h>

struct pm_concurrency_limit;

/* Creates a limit that stays between `min` and `max` requests. Never returns NULL; the caller owns
 * the limit. */
struct pm_concurrency_limit *pm_concurrency_limit_new(unsigned min, unsigned max);
/* Frees the limit. */
void pm_concurrency_limit_free(struct pm_concurrency_limit *limit);
/* Admits one request, which has to end with pm_concurrency_limit_release. Returns false if too many
 * requests are in progress. Priority requests, which are those that the client does not repeat
 * routinely, may exceed the limit by a fixed factor. */
bool pm_concurrency_limit_acquire(struct pm_concurrency_limit *limit, bool is_priority);
/* Ends an admitted request that took `duration_s`, and adapts the limit. `store_latency_s` is the
 * current latency of the state service: durations that it explains do not lower the limit, since
 * refusing requests would not shorten them. */
void pm_concurrency_limit_release(struct pm_concurrency_limit *limit, double duration_s,
                                  double store_latency_s);
/* Returns the current limit for requests without priority. */
unsigned pm_concurrency_limit_current(const struct pm_concurrency_limit *limit);

#endif
