#include "fleet/internal.h"
#include "base/clock.h"
#include "base/log.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

enum { RENT_MAX = 64, RENT_COUNT_MAX = 50, RELEASE_MAX = 100, PAGE = 500 };
#define CALL_S 5.0
#define PAGE_TRIES 5     /* of one page of the list, before it is begun anew */
#define PAGE_PAUSE_S 0.5 /* after a page that failed, and as much more after each further one */
#define REFUSED_S                                                                                  \
    6.0                /* no room of a kind: not asked for again within this, then twice as long,  \
                        */
#define REFUSALS_MAX 2 /* doubled so often at most, */
#define JITTER 0.25    /* give or take this share */

struct call {
    struct pm_fleet *fleet;
    uint64_t round;
    struct pm_rent rent;
    char booking[64];
    GPtrArray *names;
    double sent;
    int tries;
};

struct pm_fleet *pm_fleet_new(struct pm_http_client *http, struct pm_name_tables *tables,
                              struct pm_jobs *jobs, struct pm_workers *workers,
                              struct pm_plan *plan, const struct pm_operator *op,
                              const struct pm_fleet_hooks *hooks)
{
    struct pm_fleet *f = g_new0(struct pm_fleet, 1);

    f->http = http;
    f->tables = tables;
    f->jobs = jobs;
    f->workers = workers;
    f->plan = plan;
    f->op = op;
    f->hooks = *hooks;
    f->tokens = 1;
    f->gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    f->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    f->bins = g_array_new(FALSE, FALSE, sizeof(struct bin));
    return f;
}

void pm_fleet_free(struct pm_fleet *f)
{
    g_hash_table_destroy(f->seen);
    g_hash_table_destroy(f->gone);
    g_array_free(f->bins, TRUE);
    g_free(f);
}

void pm_fleet_reset(struct pm_fleet *f, uint64_t epoch)
{
    f->epoch = epoch;
    f->round++;
    f->bookings = 0;
    f->in_flight = 0;
    f->list_busy = f->page_due = false;
    f->listed = 0;
    f->flow = f->flow_jobs = f->flow_since = 0;
    f->since[0] = 0;
    g_hash_table_remove_all(f->seen);
    memset(f->kind, 0, sizeof f->kind);
    memset(f->zone_heard, 0, sizeof f->zone_heard);
}

void pm_fleet_read_heard(struct pm_fleet *f, const cbor_item_t *ledger, double now, double day)
{
    const struct pm_settings *s = f->tables->settings;
    const cbor_item_t *heard = pm_cbor_get(ledger, "heard");
    double at;
    double written;

    f->took_at = now;
    if (pm_cbor_number(pm_cbor_get(ledger, "day"), &written))
        return;
    /* One that was heard then may have been heard long after: nothing is known of it. */
    for (int z = 0; z < s->zones; z++)
        if (!pm_cbor_number(pm_cbor_get(heard, s->zone_name[z]), &at) &&
            written - at > 1.6 * s->report_s + 1)
            f->zone_heard[z] = MIN(now - (day - at), now);
}

static bool may_call(struct pm_fleet *f, double now)
{
    double rate = f->tables->settings->cloud_rps * 0.85;

    f->tokens = MIN(f->tokens + (now - f->filled) * rate, rate * 1.7);
    f->filled = now;
    if (f->tokens < 1)
        return false;
    f->tokens -= 1;
    return true;
}

/* ---- machine types ---- */

bool pm_fleet_read_types(struct pm_name_tables *tables, const cbor_item_t *models)
{
    char name[PM_NAME_MAX];

    if (!pm_cbor_length(models))
        return false;
    for (size_t i = 0; i < pm_cbor_length(models); i++) {
        const cbor_item_t *item = pm_cbor_at(models, i);
        const cbor_item_t *zones = pm_cbor_get(item, "rooms");
        struct pm_type type = {0};
        int index;
        if (pm_cbor_text(pm_cbor_get(item, "sku"), name, sizeof name) ||
            pm_cbor_number(pm_cbor_get(item, "cpus"), &type.cpus) ||
            pm_cbor_number(pm_cbor_get(item, "ram_gb"), &type.ram_gb) ||
            pm_cbor_number(pm_cbor_get(item, "price"), &type.price))
            return false;
        pm_cbor_number(pm_cbor_get(item, "accelerators"), &type.gpus);
        pm_cbor_number(pm_cbor_get(item, "local_gb"), &type.local_gb);
        pm_cbor_number(pm_cbor_get(item, "pull_gb_per_s"), &type.pull_gb_per_s);
        pm_cbor_number(pm_cbor_get(item, "ready_s"), &type.ready_s);
        if (pm_cbor_number(pm_cbor_get(item, "market_price"), &type.spot_price))
            type.spot_price = type.price;
        for (size_t z = 0; z < pm_cbor_length(zones); z++) {
            int zone = pm_cbor_text(pm_cbor_at(zones, z), name, sizeof name)
                           ? -1
                           : pm_settings_zone(tables->settings, name);
            if (zone >= 0)
                type.zones |= 1u << zone;
        }
        pm_cbor_text(pm_cbor_get(item, "sku"), name, sizeof name);
        index = pm_names_add(tables->types, name);
        if (index >= PM_TYPES_MAX) {
            pm_error("fleet.types", "%s is not used: only %d types are", name, PM_TYPES_MAX);
            continue;
        }
        tables->type[index] = type;
    }
    tables->ntypes = MIN(pm_names_count(tables->types), PM_TYPES_MAX);
    return true;
}

static void on_types(void *arg, int status, const unsigned char *body, size_t size)
{
    struct pm_fleet *f = arg;
    cbor_item_t *answer = status == 200 ? pm_cbor_parse(body, size) : NULL;
    cbor_item_t *models = pm_cbor_get(answer, "models");

    f->types_busy = false;
    if (models && cbor_isa_array(models))
        f->hooks.types(f->hooks.arg, models);
    else
        pm_info("fleet.types", "no machine types: status %d", status);
    pm_cbor_free(answer);
}

void pm_fleet_ask_types(struct pm_fleet *f, double now)
{
    if (f->types_busy || (f->types_asked && now - f->types_asked < 1) || !may_call(f, now))
        return;
    f->types_busy = true;
    f->types_asked = now;
    pm_http_call(f->http, f->tables->settings->cloud, "GET", "/machine_types", NULL, 0, CALL_S,
                 256 * 1024, on_types, f);
}

/* ---- the list ---- */

static void list_page(struct pm_fleet *f);

static void read_listed(struct pm_fleet *f, const cbor_item_t *item, double now)
{
    char name[PM_NAME_MAX];
    char text[PM_NAME_MAX];
    char status[32] = "";
    struct pm_machine *m;
    double age = 0;
    int type;

    if (pm_cbor_text(pm_cbor_get(item, "name_id"), name, sizeof name) || !name[0])
        return;
    g_strlcpy(f->since, name, sizeof f->since);
    g_hash_table_add(f->seen, g_strdup(name));
    pm_cbor_text(pm_cbor_get(item, "status"), status, sizeof status);
    pm_cbor_number(pm_cbor_get(item, "age_s"), &age);
    m = pm_workers_find(f->workers, name);
    if ((m && m->state == PM_RELEASING) || g_hash_table_contains(f->gone, name))
        return;
    if (!m) {
        m = pm_workers_add(f->workers, name);
        m->rented = now - age;
    }
    if (m->type < 0 && !pm_cbor_text(pm_cbor_get(item, "model"), text, sizeof text) &&
        (type = pm_names_find(f->tables->types, text)) >= 0 && type < f->tables->ntypes) {
        pm_workers_set_type(f->workers, m, type);
        if (!pm_cbor_text(pm_cbor_get(item, "room"), text, sizeof text))
            m->zone = pm_settings_zone(f->tables->settings, text);
        pm_cbor_flag(pm_cbor_get(item, "borrowed"), &m->spot);
    }
    if (!m->endpoint[0])
        pm_cbor_text(pm_cbor_get(item, "endpoint"), m->endpoint, sizeof m->endpoint);
    m->listed = true;
    m->absent_since = 0;
    if (!strcmp(status, "failed"))
        m->failed = true;
    if (!strcmp(status, "running") && !m->runs_since)
        m->runs_since = now;
}

/* Whether `a` was rented before `b`: names go by creation. */
static bool rented_before(const char *a, const char *b)
{
    size_t x = strlen(a);
    size_t y = strlen(b);

    return x != y ? x < y : strcmp(a, b) < 0;
}

/* A list describes one moment, though a past one. A machine that it leaves out while it has one
 * that was rented later is gone; otherwise only what is older than the list can be is missed. */
static void read_absent(struct pm_fleet *f, double now)
{
    GPtrArray *all = pm_workers_all(f->workers);
    double lag = 2 * f->tables->settings->list_lag_s + 1;

    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        bool past;
        if (!m || m->state == PM_RELEASING || g_hash_table_contains(f->seen, m->name))
            continue;
        past = f->since[0] && rented_before(m->name, f->since);
        /* One that is lent reports elsewhere: the list alone tells. */
        if (!past && (f->list_sent - m->rented <= lag || (!m->lent && now - m->heard <= lag)))
            continue;
        if (!m->absent_since)
            m->absent_since = now;
    }
}

/* The next page goes as the cloud's limit allows: of a large fleet, all at once would be refused,
 * and a list that began anew with each refusal would never end. */
static void list_on(struct pm_fleet *f, double now)
{
    if (!f->page_due || now < f->page_at || !may_call(f, now))
        return;
    f->page_due = false;
    list_page(f);
}

/* The same page again, after a pause; a cloud that keeps failing is asked for a new list later. */
static void retry_page(struct pm_fleet *f)
{
    if (++f->page_failures > PAGE_TRIES) {
        f->list_busy = false;
        return;
    }
    f->page_due = true;
    f->page_at = pm_clock_steady() + PAGE_PAUSE_S * f->page_failures;
}

static void on_list(void *arg, int status, const unsigned char *body, size_t size)
{
    struct call *call = arg;
    struct pm_fleet *f = call->fleet;
    bool current = call->round == f->round, more = false;
    double now = call->sent; /* ages are as of the list, near enough */
    cbor_item_t *answer;
    cbor_item_t *hosts;

    g_free(call);
    if (!current)
        return;
    answer = status == 200 ? pm_cbor_parse(body, size) : NULL;
    hosts = pm_cbor_get(answer, "hosts");
    if (!answer || !hosts || !cbor_isa_array(hosts)) {
        pm_cbor_free(answer);
        retry_page(f);
        return;
    }
    f->page_failures = 0;
    for (size_t i = 0; i < pm_cbor_length(hosts); i++)
        read_listed(f, pm_cbor_at(hosts, i), now);
    pm_cbor_flag(pm_cbor_get(answer, "has_next"), &more);
    pm_cbor_free(answer);
    if (more) {
        f->page_due = true;
        list_on(f, pm_clock_steady());
        return;
    }
    f->list_busy = false;
    read_absent(f, now);
    f->hooks.changed(f->hooks.arg);
}

static void list_page(struct pm_fleet *f)
{
    struct call *call = g_new0(struct call, 1);
    char target[PM_NAME_MAX + 64];

    call->fleet = f;
    call->round = f->round;
    call->sent = f->filled;
    snprintf(target, sizeof target, "/machines?%s%s%spage=%d", f->since[0] ? "since=" : "",
             f->since, f->since[0] ? "&" : "", PAGE);
    pm_http_call(f->http, f->tables->settings->cloud, "GET", target, NULL, 0, CALL_S, 1024 * 1024,
                 on_list, call);
}

static bool some_silent(const struct pm_fleet *f, double now)
{
    GPtrArray *all = pm_workers_all(f->workers);

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        if (m && m->state == PM_UP && !m->lent && m->places->len &&
            now - m->heard > 1.6 * f->tables->settings->report_s + 0.5)
            return true;
    }
    return false;
}

static void list_start(struct pm_fleet *f, double now)
{
    /* Somebody silent: the list may tell why. */
    double every = some_silent(f, now) ? 1.5 : CLAMP(f->tables->settings->list_lag_s / 2, 2, 6);

    if (f->list_busy || (f->listed && now - f->listed < every) || !may_call(f, now))
        return;
    f->list_busy = true;
    f->listed = f->list_sent = now;
    f->since[0] = 0;
    g_hash_table_remove_all(f->seen);
    f->page_due = false;
    f->page_failures = 0;
    f->page_at = 0;
    list_page(f);
}

/* ---- renting ---- */

static void on_rented(void *arg, int status, const unsigned char *body, size_t size);

static void rent_send(struct pm_fleet *f, struct call *call)
{
    struct pm_buf body = {0};

    pm_put_map(&body);
    pm_put_pair_text(&body, "booking", call->booking);
    pm_put_pair_text(&body, "model", pm_names_text(f->tables->types, call->rent.type));
    pm_put_pair_text(&body, "room", f->tables->settings->zone_name[call->rent.zone]);
    pm_put_pair_flag(&body, "borrowed", call->rent.spot);
    pm_put_pair_count(&body, "how_many", (uint64_t)call->rent.count);
    pm_put_end(&body);
    f->in_flight++;
    pm_http_call(f->http, f->tables->settings->cloud, "POST", "/machines", body.data, body.size,
                 CALL_S, 64 * 1024, on_rented, call);
    pm_buf_free(&body);
}

/* A kind of which the cloud has no more is asked for again later and later, and not at the same
 * moment as the others. */
static void note_answer(struct pm_fleet *f, const struct pm_rent *rent, int status, size_t got)
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

/* What we return ourselves may be had again. */
static void note_returned(struct pm_fleet *f, const struct pm_machine *m)
{
    struct kind *kind;

    if (m->type < 0 || m->zone < 0)
        return;
    kind = pm_fleet_kind_of(f, m);
    kind->refusals = 0;
    kind->refused_until = MIN(kind->refused_until, f->filled + REFUSED_S);
}

static void on_rented(void *arg, int status, const unsigned char *body, size_t size)
{
    struct call *call = arg;
    struct pm_fleet *f = call->fleet;
    cbor_item_t *answer;
    cbor_item_t *hosts;
    char name[PM_NAME_MAX];
    size_t got = 0;

    if (call->round != f->round) {
        g_free(call); /* the list tells the next leader */
        return;
    }
    f->in_flight--;
    answer = status == 200 ? pm_cbor_parse(body, size) : NULL;
    hosts = pm_cbor_get(answer, "hosts");
    for (size_t i = 0; i < pm_cbor_length(hosts); i++) {
        struct pm_machine *m;
        if (pm_cbor_text(pm_cbor_at(hosts, i), name, sizeof name) || !name[0])
            continue;
        m = pm_workers_add(f->workers, name);
        m->rented = call->sent;
        got++;
        if (m->type >= 0)
            continue; /* reported already */
        pm_workers_set_type(f->workers, m, call->rent.type);
        m->zone = call->rent.zone;
        m->spot = call->rent.spot;
        pm_debug("fleet.machine", "%s is a %s%s", m->name,
                 pm_names_text(f->tables->types, call->rent.type), call->rent.spot ? " spot" : "");
    }
    pm_info("fleet.rented", "%s: %zu of %d %s%s, status %d", call->booking, got, call->rent.count,
            pm_names_text(f->tables->types, call->rent.type), call->rent.spot ? " spot" : "",
            status);
    note_answer(f, &call->rent, status, got);
    /* No answer: it may have been carried out. The same name asks for the same machines, and rents
     * nothing twice. */
    if (status == PM_HTTP_LOST && ++call->tries < 4)
        rent_send(f, call);
    else
        g_free(call);
    pm_cbor_free(answer);
    f->hooks.changed(f->hooks.arg);
}

static void rent(struct pm_fleet *f, const struct pm_rent *rent, double now)
{
    struct call *call = g_new0(struct call, 1);

    call->fleet = f;
    call->round = f->round;
    call->rent = *rent;
    call->sent = now;
    /* The epoch is this term's alone, so the name is never used again by anybody. */
    snprintf(call->booking, sizeof call->booking, "r-%llu-%llu", (unsigned long long)f->epoch,
             (unsigned long long)++f->bookings);
    rent_send(f, call);
}

/* ---- returning ---- */

static void on_released(void *arg, int status, const unsigned char *body, size_t size)
{
    struct call *call = arg;
    struct pm_fleet *f = call->fleet;

    (void)body;
    (void)size;
    if (call->round == f->round) {
        f->in_flight--;
        for (guint i = 0; i < call->names->len; i++) {
            struct pm_machine *m = pm_workers_find(f->workers, g_ptr_array_index(call->names, i));
            if (!m)
                continue;
            if (status == 200) {
                g_hash_table_add(f->gone, g_strdup(m->name));
                note_returned(f, m);
                f->hooks.gone(f->hooks.arg, m);
            } else {
                m->release_retry = f->filled + 1; /* until it is confirmed */
            }
        }
        pm_info("fleet.released", "%u machines, status %d", call->names->len, status);
        f->hooks.changed(f->hooks.arg);
    }
    g_ptr_array_free(call->names, TRUE);
    g_free(call);
}

bool pm_fleet_returned(const struct pm_fleet *f, const char *machine)
{
    return g_hash_table_contains(f->gone, machine);
}

static void release_due(struct pm_fleet *f, double now)
{
    GPtrArray *all = pm_workers_all(f->workers);
    struct call *call = NULL;
    struct pm_buf body = {0};

    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m || m->state != PM_RELEASING || m->release_retry > now)
            continue;
        if (!call) {
            if (!may_call(f, now))
                return;
            call = g_new0(struct call, 1);
            call->fleet = f;
            call->round = f->round;
            call->names = g_ptr_array_new_with_free_func(g_free);
            pm_put_map(&body);
            pm_put_text(&body, "hosts");
            pm_put_list(&body);
        }
        if (call->names->len >= RELEASE_MAX)
            break;
        g_ptr_array_add(call->names, g_strdup(m->name));
        pm_put_text(&body, m->name);
        m->release_retry = INFINITY;
    }
    if (!call)
        return;
    pm_put_end(&body);
    pm_put_end(&body);
    f->in_flight++;
    pm_http_call(f->http, f->tables->settings->cloud, "POST", "/machines/release", body.data,
                 body.size, CALL_S, 64 * 1024, on_released, call);
    pm_buf_free(&body);
}

void pm_fleet_set_writable(struct pm_fleet *f, bool writable, double now)
{
    if (writable)
        f->wrote_at = now;
    f->writable = writable;
}

void pm_fleet_run(struct pm_fleet *f, double now, double day)
{
    struct pm_rent rents[RENT_MAX];
    int n;
    int in_flight_max = (int)CLAMP(f->tables->settings->cloud_rps * 0.6, 3, 8);

    if (!f->tables->ntypes)
        return;
    pm_fleet_review(f, now);
    if (f->in_flight < in_flight_max)
        release_due(f, now);
    /* Sized only with no request under way: its machines are not in the tables yet. */
    if (f->in_flight == 0) {
        n = pm_fleet_size(f, now, day, rents, RENT_MAX);
        for (int i = 0; i < n; i++)
            for (int left = rents[i].count;
                 left > 0 && f->in_flight < in_flight_max && may_call(f, now);
                 left -= RENT_COUNT_MAX) {
                rents[i].count = MIN(left, RENT_COUNT_MAX);
                rent(f, &rents[i], now);
            }
    }
    list_on(f, now);
    list_start(f, now);
    if (now - f->types_asked > 60)
        pm_fleet_ask_types(f, now);
}
