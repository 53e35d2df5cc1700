/* The cloud's list of machines: which are there, and which are gone. */
#include "base/clock.h"
#include "autoscaler/internal.h"

#include <stdio.h>
#include <string.h>

enum { PAGE = 500, LIST_MAX = 1024 * 1024 };
#define PAGE_TRIES 5     /* of one page of the list, before it is begun anew */
#define PAGE_PAUSE_S 0.5 /* after a page that failed, and as much more after each further one */

/* One page of the list, on its way. */
struct page {
    struct pm_autoscaler *fleet;
    uint64_t round;
    double sent;
};

static void list_page(struct pm_autoscaler *f);

static void read_listed(struct pm_autoscaler *f, const cbor_item_t *item, double now)
{
    char name[PM_NAME_MAX];
    char text[PM_NAME_MAX];
    char status[32] = "";
    struct pm_machine *m;
    double age = 0;
    int type;

    if (!pm_cbor_read_text(pm_cbor_get(item, "name_id"), name, sizeof name) || !name[0])
        return;
    g_strlcpy(f->since, name, sizeof f->since);
    g_hash_table_add(f->seen, g_strdup(name));
    pm_cbor_read_text(pm_cbor_get(item, "status"), status, sizeof status);
    pm_cbor_read_number(pm_cbor_get(item, "age_s"), &age);
    m = pm_workers_find(f->workers, name);
    if ((m && m->state == PM_MACHINE_RELEASING) || g_hash_table_contains(f->gone, name))
        return;
    if (!m) {
        m = pm_workers_add(f->workers, name);
        m->provider.rented_at = now - age;
    }
    if (m->type < 0 && pm_cbor_read_text(pm_cbor_get(item, "model"), text, sizeof text) &&
        (type = pm_names_find(f->tables->type_names, text)) >= 0 && type < f->tables->type_count) {
        pm_workers_set_type(f->workers, m, type);
        if (pm_cbor_read_text(pm_cbor_get(item, "room"), text, sizeof text))
            m->zone = pm_settings_find_zone(f->tables->settings, text);
        pm_cbor_read_flag(pm_cbor_get(item, "borrowed"), &m->spot);
    }
    if (!m->endpoint[0])
        pm_cbor_read_text(pm_cbor_get(item, "endpoint"), m->endpoint, sizeof m->endpoint);
    m->provider.is_listed = true;
    m->provider.absent_since = 0;
    if (!strcmp(status, "failed"))
        m->provider.has_failed = true;
    if (!strcmp(status, "running") && !m->provider.running_since)
        m->provider.running_since = now;
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
static void read_absent(struct pm_autoscaler *f, double now)
{
    GPtrArray *all = pm_workers_all(f->workers);
    double lag = 2 * f->tables->settings->inventory_lag_s + 1;

    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        bool past;
        if (!m || m->state == PM_MACHINE_RELEASING || g_hash_table_contains(f->seen, m->name))
            continue;
        past = f->since[0] && rented_before(m->name, f->since);
        /* One that is lent reports elsewhere: the list alone tells. */
        if (!past && (f->list_sent - m->provider.rented_at <= lag ||
                      (!m->shard.owner && now - m->heartbeat.last_message_at <= lag)))
            continue;
        if (!m->provider.absent_since)
            m->provider.absent_since = now;
    }
}

/* The next page goes as the cloud's limit allows: of a large fleet, all at once would be refused,
 * and a list that began anew with each refusal would never end. */
void pm_autoscaler_continue_inventory(struct pm_autoscaler *f, double now)
{
    if (!f->page_due || now < f->page_at || !pm_autoscaler_may_call(f, now))
        return;
    f->page_due = false;
    list_page(f);
}

/* The same page again, after a pause; a cloud that keeps failing is asked for a new list later. */
static void retry_page(struct pm_autoscaler *f)
{
    if (++f->page_failures > PAGE_TRIES) {
        f->list_busy = false;
        return;
    }
    f->page_due = true;
    f->page_at = pm_clock_monotonic() + PAGE_PAUSE_S * f->page_failures;
}

static void on_list(void *arg, int status, const unsigned char *body, size_t size)
{
    struct page *page = arg;
    struct pm_autoscaler *f = page->fleet;
    bool current = page->round == f->round, more = false;
    double now = page->sent; /* ages are as of the list, near enough */
    cbor_item_t *answer;
    cbor_item_t *hosts;

    g_free(page);
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
    pm_cbor_read_flag(pm_cbor_get(answer, "has_next"), &more);
    pm_cbor_free(answer);
    if (more) {
        f->page_due = true;
        pm_autoscaler_continue_inventory(f, pm_clock_monotonic());
        return;
    }
    f->list_busy = false;
    f->list_known = true;
    read_absent(f, now);
    f->hooks.changed(f->hooks.arg);
}

static void list_page(struct pm_autoscaler *f)
{
    struct page *page = g_new(struct page, 1);
    char target[PM_NAME_MAX + 64];

    *page = (struct page){f, f->round, f->filled};
    snprintf(target, sizeof target, "/machines?%s%s%spage=%d", f->since[0] ? "since=" : "",
             f->since, f->since[0] ? "&" : "", PAGE);
    pm_http_call(f->http, f->tables->settings->cloud_addr, "GET", target, NULL, 0,
                 PM_AUTOSCALER_CALL_TIMEOUT_S, LIST_MAX, on_list, page);
}

static bool some_silent(const struct pm_autoscaler *f, double now)
{
    GPtrArray *all = pm_workers_all(f->workers);

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        if (m && m->state == PM_MACHINE_UP && !m->shard.owner && m->placements->len &&
            now - m->heartbeat.last_message_at > 1.6 * f->tables->settings->heartbeat_s + 0.5)
            return true;
    }
    return false;
}

void pm_autoscaler_start_inventory(struct pm_autoscaler *f, double now)
{
    /* Somebody silent: the list may tell why. */
    double every =
        some_silent(f, now) ? 1.5 : CLAMP(f->tables->settings->inventory_lag_s / 2, 2, 6);

    if (f->list_busy || (f->listed && now - f->listed < every) || !pm_autoscaler_may_call(f, now))
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
