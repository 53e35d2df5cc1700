/* Renting and returning machines.
 *
 * Under fenced duties, each request to the cloud first becomes a durable intent, and what is open
 * is finished, by whoever holds the duty, until the cloud has said what became of it. */
#include "base/clock.h"
#include "base/log.h"
#include "autoscaler/internal.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define REFUSED_S                                                                                  \
    6.0                 /* no room of a kind: not asked for again within this, then twice as long, \
                         */
#define REFUSALS_MAX 2  /* doubled so often at most, */
#define JITTER 0.25     /* give or take this share */
#define REPEAT_S 1.0    /* a return that was not confirmed is repeated after this */
#define RENT_TRIES 4    /* without an answer, one after the other */
#define UNWRITTEN_S 0.5 /* before an intent that was not written is tried again */

/* Of the write budget, intents have this share; there are two duties, and each intent is put and
 * dropped. */
#define INTENT_SHARE 0.2
#define INTENT_WRITES 4

enum { RENT_ANSWER_MAX = 64 * 1024 };

/* A request to the cloud, or the intent that is written before it. */
struct call {
    struct pm_autoscaler *fleet;
    uint64_t round;
    struct pm_scale_out_request rent;
    char booking[PM_INTENT_NAME + 8]; /* the name of a rental's request */
    char intent[PM_INTENT_NAME];      /* "": there is none */
    guint rental;                     /* its place in the intent */
    GPtrArray *machines;              /* to be returned, NULL for a rental */
    double sent_at;
    int tries;
};

static struct call *call_new(struct pm_autoscaler *f, double now)
{
    struct call *call = g_new0(struct call, 1);

    call->fleet = f;
    call->round = f->round;
    call->sent_at = now;
    return call;
}

static void call_free(struct call *call)
{
    if (call->machines)
        g_ptr_array_free(call->machines, TRUE);
    g_free(call);
}

/* The only way by which requests that rent or return machines leave: not after this controller's
 * hold on the duty may have ended, however long the process stands still before the write. */
static void send_to_cloud(struct call *call, enum pm_role duty, const char *target,
                          const struct pm_buf *body, pm_http_done *done)
{
    struct pm_autoscaler *f = call->fleet;
    double valid_until = 0;

    f->in_flight++;
    if (call->intent[0]) {
        pm_roles_log_action(f->duties, duty, "sent", call->intent, call->booking);
        valid_until = pm_roles_valid_until(f->duties, duty);
        if (valid_until <= 0) /* not held any more; 0 would mean no limit */
            valid_until = call->sent_at;
    }
    pm_http_call_until(f->http, f->tables->settings->cloud_addr, "POST", target, body->data,
                       body->size, PM_AUTOSCALER_CALL_TIMEOUT_S, RENT_ANSWER_MAX, valid_until, done,
                       call);
}

static bool is_settled(const struct pm_intent *intent)
{
    for (guint i = 0; i < intent->rentals->len; i++)
        if (!g_array_index(intent->rentals, struct pm_intent_rental, i).settled)
            return false;
    return true;
}

static bool is_fenced(const struct pm_autoscaler *f)
{
    return f->duties && pm_roles_are_active(f->duties);
}

/* The cloud has answered, or has not: an intent is closed once it has said what became of all of
 * it, and else sent again. */
static void settle_intent(const struct call *call, enum pm_role duty, int status, bool settled,
                          double now)
{
    struct pm_autoscaler *f = call->fleet;
    struct pm_intent *intent;
    char text[PM_INTENT_NAME + 32];

    if (!call->intent[0])
        return;
    snprintf(text, sizeof text, "%s status %d", call->booking, status);
    pm_roles_log_action(f->duties, duty, "answered", call->intent, text);
    intent = pm_roles_find_intent(f->duties, call->intent);
    if (!intent)
        return;
    if (!settled)
        intent->retry_at = now + REPEAT_S;
    if (duty == PM_ROLE_SCALE_OUT) {
        struct pm_intent_rental *rental =
            &g_array_index(intent->rentals, struct pm_intent_rental, call->rental);
        rental->busy = false;
        rental->settled = settled;
        settled = is_settled(intent);
    }
    intent->busy = false;
    if (settled)
        pm_roles_close_intent(f->duties, call->intent, now);
}

/* One intent for each duty at a time, so far apart that they leave the write budget to the jobs. */
static double intent_pace(const struct pm_autoscaler *f)
{
    return INTENT_WRITES / (INTENT_SHARE * f->tables->settings->store_write_rps);
}

/* ---- renting ---- */

static void on_rented(void *arg, int status, const unsigned char *body, size_t size);

static void rent_send(struct call *call)
{
    const struct pm_name_tables *tables = call->fleet->tables;
    struct pm_buf body = {0};

    pm_put_map(&body);
    pm_put_pair_text(&body, "booking", call->booking);
    pm_put_pair_text(&body, "model", pm_names_text(tables->type_names, call->rent.type));
    pm_put_pair_text(&body, "room", tables->settings->zone_names[call->rent.zone]);
    pm_put_pair_flag(&body, "borrowed", call->rent.spot);
    pm_put_pair_count(&body, "how_many", (uint64_t)call->rent.count);
    pm_put_end(&body);
    send_to_cloud(call, PM_ROLE_SCALE_OUT, "/machines", &body, on_rented);
    pm_buf_free(&body);
}

/* A kind of which the cloud has no more is asked for again later and later, and not at the same
 * moment as the others. */
static void note_answer(struct pm_autoscaler *f, const struct pm_scale_out_request *rent,
                        int status, size_t got)
{
    struct kind *kind = &f->kind[rent->type][rent->zone][rent->spot];
    double pause;

    if (got > 0)
        kind->refusals = 0;
    if (status != 503 && !(status == 200 && got < (size_t)rent->count))
        return;
    if (kind->refused_until > f->filled)
        return; /* of several requests sent together, one counts */
    pause = REFUSED_S * (1 << MIN(kind->refusals, REFUSALS_MAX));
    kind->refusals++;
    kind->refused_until = f->filled + pause * g_random_double_range(1 - JITTER, 1 + JITTER);
}

static void add_rented(struct call *call, const char *name)
{
    struct pm_autoscaler *f = call->fleet;
    struct pm_machine *m = pm_workers_add(f->workers, name);

    if (m->state == PM_MACHINE_RELEASING)
        return; /* the answer to a request that was sent again */
    m->provider.rented_at = call->sent_at;
    if (m->type >= 0)
        return; /* reported already */
    pm_workers_set_type(f->workers, m, call->rent.type);
    m->zone = call->rent.zone;
    m->spot = call->rent.spot;
    pm_debug("autoscaler.machine", "%s is a %s%s", m->name,
             pm_names_text(f->tables->type_names, call->rent.type), call->rent.spot ? " spot" : "");
}

static size_t read_rented(struct call *call, const unsigned char *body, size_t size)
{
    cbor_item_t *answer = pm_cbor_parse(body, size);
    const cbor_item_t *hosts = pm_cbor_get(answer, "hosts");
    char name[PM_NAME_MAX];
    size_t got = 0;

    for (size_t i = 0; i < pm_cbor_length(hosts); i++) {
        if (!pm_cbor_read_text(pm_cbor_at(hosts, i), name, sizeof name) || !name[0])
            continue;
        got++;
        if (!pm_autoscaler_is_terminated(call->fleet, name))
            add_rented(call, name);
    }
    pm_cbor_free(answer);
    return got;
}

static void on_rented(void *arg, int status, const unsigned char *body, size_t size)
{
    struct call *call = arg;
    struct pm_autoscaler *f = call->fleet;
    size_t got;

    if (call->round != f->round) {
        call_free(call); /* the list tells the next leader */
        return;
    }
    f->in_flight--;
    got = status == 200 ? read_rented(call, body, size) : 0;
    pm_info("autoscaler.scale_out", "%s: %zu of %d %s%s, status %d", call->booking, got,
            call->rent.count, pm_names_text(f->tables->type_names, call->rent.type),
            call->rent.spot ? " spot" : "", status);
    note_answer(f, &call->rent, status, got);
    /* No answer: it may have been carried out. The same name asks for the same machines, and rents
     * nothing twice. */
    if (status == PM_HTTP_NO_ANSWER && ++call->tries < RENT_TRIES) {
        rent_send(call);
    } else {
        settle_intent(call, PM_ROLE_SCALE_OUT, status, status > 0, pm_clock_monotonic());
        call_free(call);
    }
    f->hooks.changed(f->hooks.arg);
}

/* A rental of an intent as a request; NULL: of a machine type or zone that is not known here. */
static struct call *call_of_rental(struct pm_autoscaler *f, const struct pm_intent *intent,
                                   guint index, double now)
{
    const struct pm_intent_rental *rental =
        &g_array_index(intent->rentals, struct pm_intent_rental, index);
    struct pm_scale_out_request rent = {pm_names_find(f->tables->type_names, rental->type),
                                        pm_settings_find_zone(f->tables->settings, rental->zone),
                                        rental->spot, (int)rental->count};
    struct call *call;

    if (rent.type < 0 || rent.type >= f->tables->type_count || rent.zone < 0)
        return NULL;
    call = call_new(f, now);
    call->rent = rent;
    call->rental = index;
    g_strlcpy(call->intent, intent->name, sizeof call->intent);
    pm_intent_booking(intent, index, call->booking, sizeof call->booking);
    return call;
}

/* Sends what is neither settled nor under way, as far as there is room. */
static void send_rentals(struct pm_autoscaler *f, struct pm_intent *intent, int in_flight_max,
                         double now)
{
    for (guint i = 0; i < intent->rentals->len && f->in_flight < in_flight_max; i++) {
        struct pm_intent_rental *rental =
            &g_array_index(intent->rentals, struct pm_intent_rental, i);
        struct call *call;
        if (rental->busy || rental->settled || !pm_autoscaler_may_call(f, now))
            continue;
        call = call_of_rental(f, intent, i, now);
        if (!call) {
            intent->retry_at = INFINITY; /* said once */
            pm_error("autoscaler.bad_intent", "%s: rents %s in %s, which are not known here; kept",
                     intent->name, rental->type, rental->zone);
            return;
        }
        rental->busy = true;
        rent_send(call);
    }
}

static void on_rent_intended(void *arg, const char *name)
{
    struct call *call = arg;
    struct pm_autoscaler *f = call->fleet;

    if (call->round == f->round) { /* else whoever holds the duty finishes what was written */
        f->in_flight--;
        if (name)
            send_rentals(f, pm_roles_find_intent(f->duties, name), PM_INTENT_RENTALS,
                         call->sent_at);
    }
    call_free(call);
}

static void rent_fenced(struct pm_autoscaler *f, const struct pm_scale_out_request *rents,
                        int count, double now)
{
    struct pm_intent *intent = pm_intent_new(PM_ROLE_SCALE_OUT);
    struct call *call = call_new(f, now);

    for (int i = 0; i < count; i++) {
        struct pm_intent_rental rental = {.spot = rents[i].spot, .count = (uint64_t)rents[i].count};
        g_strlcpy(rental.type, pm_names_text(f->tables->type_names, rents[i].type),
                  sizeof rental.type);
        g_strlcpy(rental.zone, f->tables->settings->zone_names[rents[i].zone], sizeof rental.zone);
        g_array_append_val(intent->rentals, rental);
    }
    f->rent_intent_at = now;
    f->in_flight++;
    if (pm_roles_write_intent(f->duties, intent, on_rent_intended, call, now))
        return;
    f->in_flight--;
    call_free(call);
}

bool pm_autoscaler_may_scale_out(const struct pm_autoscaler *f, double now)
{
    return !is_fenced(f) || (now - f->rent_intent_at >= intent_pace(f) &&
                             pm_roles_holds(f->duties, PM_ROLE_SCALE_OUT, now));
}

void pm_autoscaler_scale_out(struct pm_autoscaler *f, const struct pm_scale_out_request *rents,
                             int count, double now)
{
    if (is_fenced(f)) {
        rent_fenced(f, rents, MIN(count, PM_INTENT_RENTALS), now);
        return;
    }
    for (int i = 0; i < count && pm_autoscaler_may_call(f, now); i++) {
        struct call *call = call_new(f, now);
        call->rent = rents[i];
        /* The epoch is this term's alone, so the name is never used again by anybody. */
        snprintf(call->booking, sizeof call->booking, "r-%llu-%llu", (unsigned long long)f->epoch,
                 (unsigned long long)++f->bookings);
        rent_send(call);
    }
}

/* ---- returning ---- */

/* What we return ourselves may be had again. */
static void note_returned(struct pm_autoscaler *f, const struct pm_machine *m)
{
    struct kind *kind;

    if (m->type < 0 || m->zone < 0)
        return;
    kind = pm_autoscaler_kind_of(f, m);
    kind->refusals = 0;
    kind->refused_until = MIN(kind->refused_until, f->filled + REFUSED_S);
}

/* They are to be tried again; those of an intent are, with the intent. */
static void retry_machines(struct call *call, double at)
{
    struct pm_autoscaler *f = call->fleet;

    for (guint i = 0; i < call->machines->len; i++) {
        struct pm_machine *m = pm_workers_find(f->workers, g_ptr_array_index(call->machines, i));
        if (m)
            m->provider.terminate_retry_at = at;
    }
}

static void confirm_returned(struct call *call)
{
    struct pm_autoscaler *f = call->fleet;

    for (guint i = 0; i < call->machines->len; i++) {
        struct pm_machine *m = pm_workers_find(f->workers, g_ptr_array_index(call->machines, i));
        if (!m)
            continue;
        g_hash_table_add(f->gone, g_strdup(m->name));
        note_returned(f, m);
        f->hooks.machine_terminated(f->hooks.arg, m);
    }
}

static void on_released(void *arg, int status, const unsigned char *body, size_t size)
{
    struct call *call = arg;
    struct pm_autoscaler *f = call->fleet;

    (void)body;
    (void)size;
    if (call->round != f->round) {
        call_free(call);
        return;
    }
    f->in_flight--;
    if (status == 200)
        confirm_returned(call);
    else if (!call->intent[0])
        retry_machines(call, f->filled + REPEAT_S); /* until it is confirmed */
    settle_intent(call, PM_ROLE_SCALE_IN, status, status == 200, pm_clock_monotonic());
    pm_info("autoscaler.terminated", "%u machines, status %d", call->machines->len, status);
    call_free(call);
    f->hooks.changed(f->hooks.arg);
}

static void release_send(struct call *call)
{
    struct pm_buf body = {0};

    pm_put_map(&body);
    pm_put_text(&body, "hosts");
    pm_put_list(&body);
    for (guint i = 0; i < call->machines->len; i++)
        pm_put_text(&body, g_ptr_array_index(call->machines, i));
    pm_put_end(&body);
    pm_put_end(&body);
    send_to_cloud(call, PM_ROLE_SCALE_IN, "/machines/release", &body, on_released);
    pm_buf_free(&body);
}

static void mark_returned(struct pm_autoscaler *f, const struct pm_intent *intent)
{
    for (guint i = 0; i < intent->machines->len; i++) {
        const char *name = g_ptr_array_index(intent->machines, i);
        struct pm_machine *m;
        if (pm_autoscaler_is_terminated(f, name))
            continue;
        m = pm_workers_add(f->workers, name);
        m->state = PM_MACHINE_RELEASING;
        m->provider.terminate_retry_at = INFINITY; /* with the intent */
    }
}

static void send_return(struct pm_autoscaler *f, struct pm_intent *intent, double now)
{
    struct call *call = call_new(f, now);

    call->machines = g_ptr_array_new_with_free_func(g_free);
    g_strlcpy(call->intent, intent->name, sizeof call->intent);
    for (guint i = 0; i < intent->machines->len; i++)
        g_ptr_array_add(call->machines, g_strdup(g_ptr_array_index(intent->machines, i)));
    intent->busy = true;
    mark_returned(f, intent);
    release_send(call);
}

static void on_return_intended(void *arg, const char *name)
{
    struct call *call = arg;
    struct pm_autoscaler *f = call->fleet;

    if (call->round == f->round) { /* else whoever holds the duty finishes what was written */
        f->in_flight--;
        if (name)
            send_return(f, pm_roles_find_intent(f->duties, name), call->sent_at);
        else
            retry_machines(call, pm_clock_monotonic() + UNWRITTEN_S);
    }
    call_free(call);
}

static void release_fenced(struct call *call, double now)
{
    struct pm_autoscaler *f = call->fleet;
    struct pm_intent *intent = pm_intent_new(PM_ROLE_SCALE_IN);

    f->return_intent_at = now;
    for (guint i = 0; i < call->machines->len; i++)
        g_ptr_array_add(intent->machines, g_strdup(g_ptr_array_index(call->machines, i)));
    f->in_flight++;
    if (pm_roles_write_intent(f->duties, intent, on_return_intended, call, now))
        return;
    f->in_flight--;
    retry_machines(call, now + UNWRITTEN_S);
    call_free(call);
}

bool pm_autoscaler_is_terminated(const struct pm_autoscaler *f, const char *machine)
{
    return g_hash_table_contains(f->gone, machine);
}

void pm_autoscaler_terminate_due(struct pm_autoscaler *f, double now)
{
    GPtrArray *all = pm_workers_all(f->workers);
    struct call *call = NULL;

    if (is_fenced(f) && (now - f->return_intent_at < intent_pace(f) ||
                         !pm_roles_holds(f->duties, PM_ROLE_SCALE_IN, now)))
        return;
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m || m->state != PM_MACHINE_RELEASING || m->provider.terminate_retry_at > now)
            continue;
        if (!call) {
            if (!pm_autoscaler_may_call(f, now))
                return;
            call = call_new(f, now);
            call->machines = g_ptr_array_new_with_free_func(g_free);
        }
        if (call->machines->len >= PM_INTENT_MACHINES)
            break;
        g_ptr_array_add(call->machines, g_strdup(m->name));
        m->provider.terminate_retry_at = INFINITY;
    }
    if (!call)
        return;
    if (is_fenced(f))
        release_fenced(call, now);
    else
        release_send(call);
}

/* ---- finishing what is open ---- */

void pm_autoscaler_adopt_intents(struct pm_autoscaler *f)
{
    GPtrArray *open;

    if (!f->duties)
        return;
    pm_roles_forget_calls(f->duties);
    open = pm_roles_open_intents(f->duties, PM_ROLE_SCALE_IN);
    for (guint i = 0; i < open->len; i++)
        mark_returned(f, g_ptr_array_index(open, i));
    g_ptr_array_free(open, TRUE);
}

void pm_autoscaler_finish_intents(struct pm_autoscaler *f, int in_flight_max, double now)
{
    static const enum pm_role duties[] = {PM_ROLE_SCALE_IN, PM_ROLE_SCALE_OUT};

    if (!is_fenced(f))
        return;
    for (size_t k = 0; k < G_N_ELEMENTS(duties); k++) {
        GPtrArray *open;
        if (!pm_roles_holds(f->duties, duties[k], now))
            continue;
        open = pm_roles_open_intents(f->duties, duties[k]);
        for (guint i = 0; i < open->len && f->in_flight < in_flight_max; i++) {
            struct pm_intent *intent = g_ptr_array_index(open, i);
            if (intent->busy || intent->closing || intent->retry_at > now)
                continue;
            if (duties[k] == PM_ROLE_SCALE_OUT)
                send_rentals(f, intent, in_flight_max, now);
            else if (pm_autoscaler_may_call(f, now))
                send_return(f, intent, now);
        }
        g_ptr_array_free(open, TRUE);
    }
}
