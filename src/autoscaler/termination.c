/* Sends requests to terminate machines and handles the provider's answers. */
#include "autoscaler/internal.h"
#include "base/clock.h"
#include "base/log.h"

#include <math.h>

#define RETRY_S 1.0        /* delay before an unconfirmed termination is requested again */
#define INTENT_RETRY_S 0.5 /* delay before an intent that could not be written is written again */
/* The capacity of a terminated machine is probably available for rent again after this time. */
#define TERMINATED_AVAILABLE_S 6.0

static struct pm_provider_call *termination_call_new(struct pm_autoscaler *autoscaler, double now)
{
    struct pm_provider_call *call = pm_provider_call_new(autoscaler, now);

    call->machine_names = g_ptr_array_new_with_free_func(g_free);
    return call;
}

static void add_names(GPtrArray *names, const GPtrArray *added)
{
    for (guint i = 0; i < added->len; i++)
        g_ptr_array_add(names, g_strdup(g_ptr_array_index(added, i)));
}

bool pm_autoscaler_is_terminated(const struct pm_autoscaler *autoscaler, const char *machine_name)
{
    return g_hash_table_contains(autoscaler->terminated, machine_name);
}

/* ---- answers ---- */

/* Shortens the back-off of the machine's kind after its termination, because the machine's capacity
 * is probably available again soon. */
static void shorten_backoff(struct pm_autoscaler *autoscaler, const struct pm_machine *machine)
{
    struct pm_kind_backoff *backoff;

    if (machine->type < 0 || machine->zone < 0)
        return;
    backoff = &pm_autoscaler_kind_of(autoscaler, machine)->backoff;
    backoff->refusals = 0;
    backoff->until = MIN(backoff->until, autoscaler->budget.refilled_at + TERMINATED_AVAILABLE_S);
}

/* Sets when the termination of the call's machines is requested again. Used only for calls without
 * a written intent; for a written intent, the whole request is repeated with the intent. */
static void set_retry_at(const struct pm_provider_call *call, double retry_at)
{
    for (guint i = 0; i < call->machine_names->len; i++) {
        struct pm_machine *machine =
            pm_workers_find(call->autoscaler->workers, g_ptr_array_index(call->machine_names, i));
        if (machine)
            machine->provider.terminate_retry_at = retry_at;
    }
}

static void confirm_terminated(const struct pm_provider_call *call)
{
    struct pm_autoscaler *autoscaler = call->autoscaler;

    for (guint i = 0; i < call->machine_names->len; i++) {
        struct pm_machine *machine =
            pm_workers_find(autoscaler->workers, g_ptr_array_index(call->machine_names, i));
        if (!machine)
            continue;
        g_hash_table_add(autoscaler->terminated, g_strdup(machine->name));
        shorten_backoff(autoscaler, machine);
        autoscaler->hooks.machine_terminated(autoscaler->hooks.arg, machine);
    }
}

static void on_answer(void *arg, int status, const unsigned char *body, size_t size)
{
    struct pm_provider_call *call = arg;
    struct pm_autoscaler *autoscaler = call->autoscaler;
    enum pm_provider_result result = pm_provider_result_of(status);

    (void)body;
    (void)size;
    if (!pm_provider_call_is_current(call)) {
        pm_provider_call_free(call);
        return;
    }
    autoscaler->budget.in_flight--;
    if (result == PM_PROVIDER_OK)
        confirm_terminated(call);
    else if (!call->intent_name[0])
        set_retry_at(call, autoscaler->budget.refilled_at + RETRY_S);
    pm_autoscaler_record_outcome(call, PM_ROLE_SCALE_IN, status, result == PM_PROVIDER_OK,
                                 pm_clock_monotonic());
    pm_info("autoscaler.terminated", "request to terminate %u machines: status %d (%s)",
            call->machine_names->len, status, pm_provider_result_name(result));
    pm_provider_call_free(call);
    autoscaler->hooks.changed(autoscaler->hooks.arg);
}

static void send_request(struct pm_provider_call *call)
{
    struct pm_buffer body = {0};

    pm_termination_encode(call->machine_names, &body);
    pm_provider_send(call, PM_ROLE_SCALE_IN, &body, on_answer);
    pm_buffer_free(&body);
}

/* ---- with intents ---- */

void pm_autoscaler_mark_intent_machines(struct pm_autoscaler *autoscaler,
                                        const struct pm_intent *intent)
{
    for (guint i = 0; i < intent->machines->len; i++) {
        const char *name = g_ptr_array_index(intent->machines, i);
        struct pm_machine *machine;
        if (pm_autoscaler_is_terminated(autoscaler, name))
            continue;
        machine = pm_workers_find_or_add(autoscaler->workers, name);
        machine->state = PM_MACHINE_TERMINATING;
        machine->provider.terminate_retry_at = INFINITY; /* retried with the intent */
    }
}

void pm_autoscaler_send_termination(struct pm_autoscaler *autoscaler, struct pm_intent *intent,
                                    double now)
{
    struct pm_provider_call *call = termination_call_new(autoscaler, now);

    g_strlcpy(call->intent_name, intent->name, sizeof call->intent_name);
    add_names(call->machine_names, intent->machines);
    intent->call_in_flight = true;
    pm_autoscaler_mark_intent_machines(autoscaler, intent);
    send_request(call);
}

static void on_intent_written(void *arg, const char *intent_name)
{
    struct pm_provider_call *call = arg;
    struct pm_autoscaler *autoscaler = call->autoscaler;

    if (pm_provider_call_is_current(call)) {
        autoscaler->budget.in_flight--;
        if (intent_name)
            pm_autoscaler_send_termination(
                autoscaler, pm_roles_find_intent(autoscaler->roles, intent_name), call->sent_at);
        else
            set_retry_at(call, pm_clock_monotonic() + INTENT_RETRY_S);
    }
    pm_provider_call_free(call);
}

static void write_intent(struct pm_provider_call *call, double now)
{
    struct pm_autoscaler *autoscaler = call->autoscaler;
    struct pm_intent *intent = pm_intent_new(PM_ROLE_SCALE_IN);

    autoscaler->intent_times.scale_in_at = now;
    add_names(intent->machines, call->machine_names);
    autoscaler->budget.in_flight++;
    if (pm_roles_write_intent(autoscaler->roles, intent, on_intent_written, call, now))
        return;
    autoscaler->budget.in_flight--;
    set_retry_at(call, now + INTENT_RETRY_S);
    pm_provider_call_free(call);
}

/* ---- decisions to terminate ---- */

static bool may_write_intent(const struct pm_autoscaler *autoscaler, double now)
{
    double since_intent_s = now - autoscaler->intent_times.scale_in_at;

    return since_intent_s >= pm_autoscaler_intent_interval_s(autoscaler) &&
           pm_roles_is_holder(autoscaler->roles, PM_ROLE_SCALE_IN, now);
}

static bool is_termination_due(const struct pm_machine *machine, double now)
{
    return machine && machine->state == PM_MACHINE_TERMINATING &&
           machine->provider.terminate_retry_at <= now;
}

/* Returns a call for machines whose termination is due, as many as one request may name. Returns
 * NULL if none is due or the request limit is reached. */
static struct pm_provider_call *collect_due(struct pm_autoscaler *autoscaler, double now)
{
    GPtrArray *machines = pm_workers_all(autoscaler->workers);
    struct pm_provider_call *call = NULL;

    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (!is_termination_due(machine, now))
            continue;
        if (!call && !pm_autoscaler_acquire_request_token(autoscaler, now))
            return NULL;
        if (!call)
            call = termination_call_new(autoscaler, now);
        if (call->machine_names->len >= PM_INTENT_MACHINES_MAX)
            break;
        g_ptr_array_add(call->machine_names, g_strdup(machine->name));
        machine->provider.terminate_retry_at = INFINITY;
    }
    return call;
}

void pm_autoscaler_terminate_due(struct pm_autoscaler *autoscaler, double now)
{
    bool uses_intents = pm_autoscaler_uses_intents(autoscaler);
    struct pm_provider_call *call;

    if (uses_intents && !may_write_intent(autoscaler, now))
        return;
    call = collect_due(autoscaler, now);
    if (!call)
        return;
    if (uses_intents)
        write_intent(call, now);
    else
        send_request(call);
}
