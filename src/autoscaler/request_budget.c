/* Rate limiter for all requests that this controller sends to the provider. */
#include "autoscaler/internal.h"

/* Share of the provider's request limit that this controller uses; other controllers send requests
 * too. */
#define RATE_SHARE 0.85
#define BURST_S 1.7 /* capacity of the token bucket, as seconds of refill */

bool pm_autoscaler_acquire_request_token(struct pm_autoscaler *autoscaler, double now)
{
    struct pm_request_budget *budget = &autoscaler->budget;
    double rate = autoscaler->tables->settings->cloud_rps * RATE_SHARE;

    budget->tokens = MIN(budget->tokens + (now - budget->refilled_at) * rate, rate * BURST_S);
    budget->refilled_at = now;
    if (budget->tokens < 1)
        return false;
    budget->tokens -= 1;
    return true;
}
