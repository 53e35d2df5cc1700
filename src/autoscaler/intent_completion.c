/* Completes the open intents of the roles that this controller holds: its own intents, and those
 * that earlier holders of the roles left open. */
#include "autoscaler/internal.h"

void pm_autoscaler_adopt_intents(struct pm_autoscaler *autoscaler)
{
    GPtrArray *open;

    if (!autoscaler->roles)
        return;
    pm_roles_reset_calls(autoscaler->roles);
    open = pm_roles_open_intents(autoscaler->roles, PM_ROLE_SCALE_IN);
    for (guint i = 0; i < open->len; i++)
        pm_autoscaler_mark_intent_machines(autoscaler, g_ptr_array_index(open, i));
    g_ptr_array_free(open, TRUE);
}

static bool is_call_due(const struct pm_intent *intent, double now)
{
    return !intent->call_in_flight && !intent->is_closing && intent->retry_at <= now;
}

static void complete_intents_of(struct pm_autoscaler *autoscaler, enum pm_role role,
                                int in_flight_max, double now)
{
    GPtrArray *open = pm_roles_open_intents(autoscaler->roles, role);

    for (guint i = 0; i < open->len && autoscaler->budget.in_flight < in_flight_max; i++) {
        struct pm_intent *intent = g_ptr_array_index(open, i);
        if (!is_call_due(intent, now))
            continue;
        if (role == PM_ROLE_SCALE_OUT)
            pm_autoscaler_send_rentals(autoscaler, intent, in_flight_max, now);
        else if (pm_autoscaler_acquire_request_token(autoscaler, now))
            pm_autoscaler_send_termination(autoscaler, intent, now);
    }
    g_ptr_array_free(open, TRUE);
}

void pm_autoscaler_complete_intents(struct pm_autoscaler *autoscaler, int in_flight_max, double now)
{
    static const enum pm_role roles[] = {PM_ROLE_SCALE_IN, PM_ROLE_SCALE_OUT};

    if (!pm_autoscaler_uses_intents(autoscaler))
        return;
    for (size_t i = 0; i < G_N_ELEMENTS(roles); i++)
        if (pm_roles_is_holder(autoscaler->roles, roles[i], now))
            complete_intents_of(autoscaler, roles[i], in_flight_max, now);
}
