/* The handling of intents that is common to requests to rent and requests to terminate. */
#include "autoscaler/internal.h"

#include <stdio.h>

#define RETRY_S 1.0 /* time before an unsettled call is repeated */

/* Share of the state service's write budget that intents may use. One intent of each of the two
 * roles takes four writes, because each intent is written and later deleted. */
#define INTENT_WRITE_SHARE 0.2
#define WRITES_PER_INTENT_OF_EACH_ROLE 4

enum { AUDIT_DETAIL_BYTES = PM_INTENT_NAME_SIZE + 32 };

bool pm_autoscaler_uses_intents(const struct pm_autoscaler *autoscaler)
{
    return autoscaler->roles && pm_roles_is_active(autoscaler->roles);
}

double pm_autoscaler_intent_interval_s(const struct pm_autoscaler *autoscaler)
{
    return WRITES_PER_INTENT_OF_EACH_ROLE /
           (INTENT_WRITE_SHARE * autoscaler->tables->settings->store_write_rps);
}

static bool are_rentals_settled(const struct pm_intent *intent)
{
    for (guint i = 0; i < intent->rentals->len; i++)
        if (!g_array_index(intent->rentals, struct pm_intent_rental, i).call_settled)
            return false;
    return true;
}

static void log_answer(const struct pm_provider_call *call, enum pm_role role, int status)
{
    char text[AUDIT_DETAIL_BYTES];

    snprintf(text, sizeof text, "%s status %d", call->idempotency_key, status);
    pm_roles_log_action(call->autoscaler->roles, role, "answered", call->intent_name, text);
}

void pm_autoscaler_record_outcome(const struct pm_provider_call *call, enum pm_role role,
                                  int status, bool is_settled, double now)
{
    struct pm_roles *roles = call->autoscaler->roles;
    struct pm_intent *intent;

    if (!call->intent_name[0])
        return;
    log_answer(call, role, status);
    intent = pm_roles_find_intent(roles, call->intent_name);
    if (!intent)
        return;
    if (!is_settled)
        intent->retry_at = now + RETRY_S;
    if (role == PM_ROLE_SCALE_OUT) {
        struct pm_intent_rental *rental =
            &g_array_index(intent->rentals, struct pm_intent_rental, call->rental_index);
        rental->call_in_flight = false;
        rental->call_settled = is_settled;
        is_settled = are_rentals_settled(intent);
    }
    intent->call_in_flight = false;
    if (is_settled)
        pm_roles_close_intent(roles, call->intent_name, now);
}
