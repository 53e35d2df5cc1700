/* Sends requests to rent machines and handles the provider's answers. */
#include "autoscaler/internal.h"
#include "base/clock.h"
#include "base/log.h"

#include <math.h>
#include <stdio.h>

/* Exponential back-off for a machine kind of which the provider has no capacity: the first delay,
 * the jitter as a share of the delay, and the maximum number of doublings. */
#define REFUSAL_BACKOFF_S 6.0
#define BACKOFF_JITTER 0.25
enum { BACKOFF_DOUBLINGS_MAX = 2 };

/* A request that gets no answer is sent up to this many times, without a delay in between. */
enum { UNANSWERED_ATTEMPTS_MAX = 4 };

static void on_answer(void *arg, int status, const unsigned char *body, size_t size);

static void send_request(struct pm_provider_call *call)
{
    struct pm_buffer body = {0};

    pm_scale_out_encode(call->autoscaler->tables, &call->request, call->idempotency_key, &body);
    pm_provider_send(call, PM_ROLE_SCALE_OUT, &body, on_answer);
    pm_buffer_free(&body);
}

/* ---- answers ---- */

/* Updates the kind's back-off after an answer. The delay doubles with consecutive refusals; its
 * jitter keeps kinds that were refused together from being requested again at the same moment. */
static void update_backoff(struct pm_autoscaler *autoscaler,
                           const struct pm_scale_out_request *request,
                           enum pm_provider_result result, size_t rented)
{
    struct pm_kind_backoff *backoff =
        &autoscaler->kinds[request->type][request->zone][request->spot].backoff;
    double now = autoscaler->budget.refilled_at; /* approximate; see struct pm_request_budget */
    bool is_partial = result == PM_PROVIDER_OK && rented < (size_t)request->count;
    double backoff_s;

    if (rented > 0)
        backoff->refusals = 0;
    if (result != PM_PROVIDER_NO_CAPACITY && !is_partial)
        return;
    if (backoff->until > now)
        return; /* only one of several requests that were sent together counts as a refusal */
    backoff_s = REFUSAL_BACKOFF_S * (1 << MIN(backoff->refusals, BACKOFF_DOUBLINGS_MAX));
    backoff->refusals++;
    backoff->until =
        now + backoff_s * g_random_double_range(1 - BACKOFF_JITTER, 1 + BACKOFF_JITTER);
}

static void add_machine(const struct pm_provider_call *call, const char *name)
{
    const struct pm_autoscaler *autoscaler = call->autoscaler;
    const struct pm_scale_out_request *request = &call->request;
    struct pm_machine *machine = pm_workers_find_or_add(autoscaler->workers, name);

    if (machine->state == PM_MACHINE_TERMINATING)
        return; /* the answer to a repeated request, after the machine was marked for termination */
    machine->provider.rented_at = call->sent_at;
    if (machine->type >= 0)
        return; /* its worker has reported already */
    pm_workers_set_type(autoscaler->workers, machine, request->type);
    machine->zone = request->zone;
    machine->spot = request->spot;
    pm_debug("autoscaler.machine", "rented %s of type %s%s", machine->name,
             pm_names_text(autoscaler->tables->type_names, request->type),
             request->spot ? " spot" : "");
}

/* Adds the machines that the answer names, and returns how many it names. */
static size_t add_machines(const struct pm_provider_call *call, const unsigned char *body,
                           size_t size)
{
    cbor_item_t *answer = pm_cbor_parse(body, size);
    const cbor_item_t *machines = pm_provider_answer_machines(answer);
    char name[PM_NAME_MAX];
    size_t rented = 0;

    for (size_t i = 0; i < pm_cbor_length(machines); i++) {
        if (!pm_cbor_read_text(pm_cbor_at(machines, i), name, sizeof name) || !name[0])
            continue;
        rented++;
        if (!pm_autoscaler_is_terminated(call->autoscaler, name))
            add_machine(call, name);
    }
    pm_cbor_free(answer);
    return rented;
}

static void log_answer(const struct pm_provider_call *call, int status, size_t rented)
{
    const struct pm_scale_out_request *request = &call->request;

    pm_info("autoscaler.scale_out",
            "request %s rented %zu of %d machines of type %s%s: status %d (%s)",
            call->idempotency_key, rented, request->count,
            pm_names_text(call->autoscaler->tables->type_names, request->type),
            request->spot ? " spot" : "", status,
            pm_provider_result_name(pm_provider_result_of(status)));
}

static void on_answer(void *arg, int status, const unsigned char *body, size_t size)
{
    struct pm_provider_call *call = arg;
    struct pm_autoscaler *autoscaler = call->autoscaler;
    enum pm_provider_result result = pm_provider_result_of(status);
    size_t rented;

    if (!pm_provider_call_is_current(call)) {
        pm_provider_call_free(call);
        return;
    }
    autoscaler->budget.in_flight--;
    rented = result == PM_PROVIDER_OK ? add_machines(call, body, size) : 0;
    log_answer(call, status, rented);
    update_backoff(autoscaler, &call->request, result, rented);
    /* The provider may have carried out a request that got no answer. The repetition has the same
     * idempotency key, so it returns the same machines and rents no others. */
    if (result == PM_PROVIDER_NO_ANSWER && ++call->unanswered_attempts < UNANSWERED_ATTEMPTS_MAX) {
        send_request(call);
    } else {
        pm_autoscaler_record_outcome(call, PM_ROLE_SCALE_OUT, status,
                                     pm_provider_result_is_answer(result), pm_clock_monotonic());
        pm_provider_call_free(call);
    }
    autoscaler->hooks.changed(autoscaler->hooks.arg);
}

/* ---- with intents ---- */

/* Returns a call for one rental of the intent, or NULL if this controller does not know the
 * rental's machine type or zone. */
static struct pm_provider_call *rental_call_new(struct pm_autoscaler *autoscaler,
                                                const struct pm_intent *intent, guint index,
                                                double now)
{
    const struct pm_name_tables *tables = autoscaler->tables;
    const struct pm_intent_rental *rental =
        &g_array_index(intent->rentals, struct pm_intent_rental, index);
    struct pm_scale_out_request request = {pm_names_find(tables->type_names, rental->type),
                                           pm_settings_find_zone(tables->settings, rental->zone),
                                           rental->spot, (int)rental->count};
    struct pm_provider_call *call;

    if (request.type < 0 || request.type >= tables->type_count || request.zone < 0)
        return NULL;
    call = pm_provider_call_new(autoscaler, now);
    call->request = request;
    call->rental_index = index;
    g_strlcpy(call->intent_name, intent->name, sizeof call->intent_name);
    pm_intent_format_idempotency_key(intent, index, call->idempotency_key,
                                     sizeof call->idempotency_key);
    return call;
}

void pm_autoscaler_send_rentals(struct pm_autoscaler *autoscaler, struct pm_intent *intent,
                                int in_flight_max, double now)
{
    for (guint i = 0; i < intent->rentals->len && autoscaler->budget.in_flight < in_flight_max;
         i++) {
        struct pm_intent_rental *rental =
            &g_array_index(intent->rentals, struct pm_intent_rental, i);
        struct pm_provider_call *call;
        if (rental->call_in_flight || rental->call_settled ||
            !pm_autoscaler_acquire_request_token(autoscaler, now))
            continue;
        call = rental_call_new(autoscaler, intent, i, now);
        if (!call) {
            intent->retry_at = INFINITY; /* no retry, so that the error is logged once per term */
            pm_error(
                "autoscaler.bad_intent",
                "intent %s stays open: machine type %s or zone %s is unknown to this controller",
                intent->name, rental->type, rental->zone);
            return;
        }
        rental->call_in_flight = true;
        send_request(call);
    }
}

static void on_intent_written(void *arg, const char *intent_name)
{
    struct pm_provider_call *call = arg;
    struct pm_autoscaler *autoscaler = call->autoscaler;

    if (pm_provider_call_is_current(call)) {
        autoscaler->budget.in_flight--;
        if (intent_name)
            pm_autoscaler_send_rentals(autoscaler,
                                       pm_roles_find_intent(autoscaler->roles, intent_name),
                                       PM_INTENT_RENTALS_MAX, call->sent_at);
    }
    pm_provider_call_free(call);
}

static struct pm_intent *intent_of_requests(const struct pm_name_tables *tables,
                                            const struct pm_scale_out_request *requests, int count)
{
    struct pm_intent *intent = pm_intent_new(PM_ROLE_SCALE_OUT);

    for (int i = 0; i < count; i++) {
        struct pm_intent_rental rental = {.spot = requests[i].spot,
                                          .count = (uint64_t)requests[i].count};
        g_strlcpy(rental.type, pm_names_text(tables->type_names, requests[i].type),
                  sizeof rental.type);
        g_strlcpy(rental.zone, tables->settings->zone_names[requests[i].zone], sizeof rental.zone);
        g_array_append_val(intent->rentals, rental);
    }
    return intent;
}

static void write_intent(struct pm_autoscaler *autoscaler,
                         const struct pm_scale_out_request *requests, int count, double now)
{
    struct pm_intent *intent = intent_of_requests(autoscaler->tables, requests, count);
    struct pm_provider_call *call = pm_provider_call_new(autoscaler, now);

    autoscaler->intent_times.scale_out_at = now;
    autoscaler->budget.in_flight++;
    if (pm_roles_write_intent(autoscaler->roles, intent, on_intent_written, call, now))
        return;
    autoscaler->budget.in_flight--;
    pm_provider_call_free(call);
}

/* ---- decisions to rent ---- */

bool pm_autoscaler_may_scale_out(const struct pm_autoscaler *autoscaler, double now)
{
    double since_intent_s = now - autoscaler->intent_times.scale_out_at;

    return !pm_autoscaler_uses_intents(autoscaler) ||
           (since_intent_s >= pm_autoscaler_intent_interval_s(autoscaler) &&
            pm_roles_is_holder(autoscaler->roles, PM_ROLE_SCALE_OUT, now));
}

void pm_autoscaler_scale_out(struct pm_autoscaler *autoscaler,
                             const struct pm_scale_out_request *requests, int count, double now)
{
    if (pm_autoscaler_uses_intents(autoscaler)) {
        write_intent(autoscaler, requests, MIN(count, PM_INTENT_RENTALS_MAX), now);
        return;
    }
    for (int i = 0; i < count && pm_autoscaler_acquire_request_token(autoscaler, now); i++) {
        struct pm_provider_call *call = pm_provider_call_new(autoscaler, now);
        call->request = requests[i];
        /* The idempotency key is unique among all controllers, because each term as leader has an
         * epoch of its own. */
        snprintf(call->idempotency_key, sizeof call->idempotency_key, "r-%llu-%llu",
                 (unsigned long long)autoscaler->epoch,
                 (unsigned long long)++autoscaler->rental_number);
        send_request(call);
    }
}
