/* The provider's limit on requests, shared by all requests of this controller. */
#include "autoscaler/internal.h"

#define RATE_SHARE 0.85 /* of the limit: other controllers send requests too */
#define BURST_S 1.7     /* tokens are saved up for so many seconds at most */

bool pm_autoscaler_may_call(struct pm_autoscaler *autoscaler, double now)
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
