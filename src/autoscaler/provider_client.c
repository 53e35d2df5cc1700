/* Sends requests to rent or terminate machines to the provider, and interprets their results. */
#include "autoscaler/internal.h"

enum { ANSWER_MAX = 64 * 1024 };

enum pm_provider_result pm_provider_result_of(int status)
{
    if (status == PM_PROVIDER_HTTP_OK)
        return PM_PROVIDER_OK;
    if (status == PM_PROVIDER_HTTP_UNAVAILABLE)
        return PM_PROVIDER_NO_CAPACITY;
    if (status == PM_HTTP_NO_RESPONSE)
        return PM_PROVIDER_NO_ANSWER;
    return status > 0 ? PM_PROVIDER_REJECTED : PM_PROVIDER_NOT_SENT;
}

const char *pm_provider_result_name(enum pm_provider_result result)
{
    static const char *const names[] = {
        [PM_PROVIDER_OK] = "ok",
        [PM_PROVIDER_NO_CAPACITY] = "no capacity",
        [PM_PROVIDER_REJECTED] = "rejected",
        [PM_PROVIDER_NO_ANSWER] = "no answer",
        [PM_PROVIDER_NOT_SENT] = "not sent",
    };

    return names[result];
}

bool pm_provider_result_is_answer(enum pm_provider_result result)
{
    return result != PM_PROVIDER_NO_ANSWER && result != PM_PROVIDER_NOT_SENT;
}

struct pm_provider_call *pm_provider_call_new(struct pm_autoscaler *autoscaler, double now)
{
    struct pm_provider_call *call = g_new0(struct pm_provider_call, 1);

    call->autoscaler = autoscaler;
    call->term = autoscaler->term;
    call->sent_at = now;
    return call;
}

void pm_provider_call_free(struct pm_provider_call *call)
{
    if (call->machine_names)
        g_ptr_array_free(call->machine_names, TRUE);
    g_free(call);
}

bool pm_provider_call_is_current(const struct pm_provider_call *call)
{
    return call->term == call->autoscaler->term;
}

/* Returns the monotonic time after which the request must not be sent, or 0 if there is none. */
static double send_deadline(const struct pm_provider_call *call, enum pm_role role)
{
    double deadline;

    if (!call->intent_name[0])
        return 0;
    deadline = pm_roles_valid_until(call->autoscaler->roles, role);
    /* If the controller does not hold the role, the deadline must be in the past; 0 would mean that
     * there is none. */
    return deadline > 0 ? deadline : call->sent_at;
}

void pm_provider_send(struct pm_provider_call *call, enum pm_role role,
                      const struct pm_buffer *body, pm_http_done *done)
{
    struct pm_autoscaler *autoscaler = call->autoscaler;
    const char *target = role == PM_ROLE_SCALE_OUT ? "/machines" : "/machines/release";

    autoscaler->budget.in_flight++;
    if (call->intent_name[0])
        pm_roles_log_action(autoscaler->roles, role, "sent", call->intent_name,
                            call->idempotency_key);
    pm_http_call_until(autoscaler->http, autoscaler->tables->settings->cloud_addr, "POST", target,
                       body->data, body->size, PM_PROVIDER_TIMEOUT_S, ANSWER_MAX,
                       send_deadline(call, role), done, call);
}
