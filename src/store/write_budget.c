/* The write budget: a token bucket whose rate is this controller's share of the writes per second
 * that the state service allows to all controllers together. The share grows while the watches show
 * that the others write little. */
#include "store/internal.h"
#include "base/clock.h"

#include <math.h>

/* Time constant of the exponential average of other controllers' writes. */
#define PEER_WRITES_DECAY_S 3.0
#define INITIAL_SHARE 0.5
/* The share of the service's limit that all controllers together may use. The rest allows for
 * peers' writes that the watches report late. */
#define USABLE_SHARE 0.95
/* Minimum capacity of the bucket, as a share of the service's writes per second, so that a
 * transaction with several writes fits however small the controller's share is. */
#define MIN_BURST_SHARE 0.4

void pm_store_budget_init(struct pm_store *store, double writes_per_s)
{
    struct pm_store_write_budget *budget = &store->budget;

    budget->writes_per_s = writes_per_s;
    budget->share = INITIAL_SHARE;
    budget->max_share = INITIAL_SHARE;
    budget->tokens = writes_per_s * INITIAL_SHARE;
    budget->refilled_at = pm_clock_monotonic();
}

void pm_store_budget_spend(struct pm_store *store, int writes)
{
    store->budget.tokens -= writes;
}

void pm_store_budget_exhaust(struct pm_store *store)
{
    store->budget.tokens = MIN(store->budget.tokens, 0);
}

/* The factor, 0 to 1, by which the counted writes of peers have decayed at `now`. */
static double peer_writes_decay(const struct pm_store_write_budget *budget, double now)
{
    return exp((budget->peer_writes_at - now) / PEER_WRITES_DECAY_S);
}

void pm_store_add_peer_writes(struct pm_store *store, double writes)
{
    struct pm_store_write_budget *budget = &store->budget;
    double now = pm_clock_monotonic();

    budget->peer_writes = budget->peer_writes * peer_writes_decay(budget, now) + writes;
    budget->peer_writes_at = now;
}

int pm_store_write_budget(struct pm_store *store, double now)
{
    struct pm_store_write_budget *budget = &store->budget;
    double peer_rate =
        MAX(0, budget->peer_writes) * peer_writes_decay(budget, now) / PEER_WRITES_DECAY_S;
    double unused_share = USABLE_SHARE - peer_rate / budget->writes_per_s;
    double share = MAX(budget->share, MIN(budget->max_share, unused_share));
    double rate = budget->writes_per_s * share;
    double capacity = MAX(rate, MIN_BURST_SHARE * budget->writes_per_s);

    budget->tokens = MIN(budget->tokens + (now - budget->refilled_at) * rate, capacity);
    budget->refilled_at = now;
    return budget->tokens < 1 ? 0 : (int)budget->tokens;
}

void pm_store_set_write_share(struct pm_store *store, double share, double max_share)
{
    store->budget.share = share;
    store->budget.max_share = max_share;
}
