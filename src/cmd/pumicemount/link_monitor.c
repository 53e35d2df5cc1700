/* Evidence for the links slice from the traffic of the others, its probes, and what follows. */
#include "base/clock.h"
#include "base/log.h"
#include "base/protocol.h"
#include "internal.h"

#include <stdio.h>

#define UNHEARD_LEAST_S 3.5 /* workers are silent after this long, */
#define UNHEARD_REPORTS 1.6 /* or after so many reports' time */
#define UNHEARD_MACHINES 3  /* fewer say nothing about the controller */
#define ROOM_FOR_VIEW 4     /* changes that have to be free in the write budget */
#define PROBE_TIMEOUT_S 1.0
#define PROBE_ANSWER_MAX (1024 * 1024)

/* ---- evidence ---- */

static void on_call_ended(void *arg, const struct pm_http_outcome *outcome)
{
    pm_links_call_ended(((struct pm_controller *)arg)->links, outcome);
}

static unsigned char *on_pack(void *arg, size_t *size)
{
    return pm_links_encode_views(((struct pm_controller *)arg)->links, pm_clock_monotonic(), size);
}

static void on_unpack(void *arg, int peer, const unsigned char *data, size_t size, double asked_at)
{
    pm_links_decode_views(((struct pm_controller *)arg)->links, peer, data, size, asked_at,
                          pm_clock_monotonic());
}

static void on_peer_heard(void *arg, int peer)
{
    pm_links_peer_heard(((struct pm_controller *)arg)->links, peer, pm_clock_monotonic());
}

static double on_candidate_wait(void *arg)
{
    return pm_links_candidate_wait_s(((struct pm_controller *)arg)->links, pm_clock_monotonic());
}

static bool is_ours(const struct pm_controller *n, const struct pm_machine *m)
{
    return m && m->state == PM_MACHINE_UP && !m->shard.owner && n->ruling;
}

static void add_endpoint(struct pm_links_zone_census *census, const char *endpoint)
{
    for (int i = 0; i < PM_VIEW_ENDPOINTS && endpoint[0]; i++)
        if (!census->endpoint[i][0]) {
            g_strlcpy(census->endpoint[i], endpoint, sizeof census->endpoint[i]);
            return;
        }
}

/* Addresses for the others' probes are those of machines that are heard, and, where there are too
 * few, of silent ones, which another controller may reach. */
static void count_zones(struct pm_controller *n, double now)
{
    struct pm_links_zone_census census[PM_ZONES_MAX] = {0};
    struct pm_links_zone_census silent[PM_ZONES_MAX] = {0};
    GPtrArray *all = pm_workers_all(n->workers);

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        if (!is_ours(n, m) || m->zone < 0)
            continue;
        add_endpoint(pm_machine_missed_heartbeat(m, n->settings, now) ? &silent[m->zone]
                                                                      : &census[m->zone],
                     m->endpoint);
        if (!m->heartbeat.is_known)
            continue;
        census[m->zone].up++;
        census[m->zone].unreachable += pm_machine_is_unreachable(m, now);
    }
    for (int zone = 0; zone < n->settings->zone_count; zone++) {
        for (int i = 0; i < PM_VIEW_ENDPOINTS; i++)
            add_endpoint(&census[zone], silent[zone].endpoint[i]);
        pm_links_count_zone(n->links, zone, &census[zone], now);
    }
}

/* ---- probes ---- */

static void on_probed(void *arg, int status, const unsigned char *body, size_t size)
{
    (void)arg; /* the client's observer has told of it */
    (void)status;
    (void)body;
    (void)size;
}

static void on_fresh(void *arg, bool ok)
{
    (void)arg;
    (void)ok;
}

static void probe(struct pm_controller *n, double now)
{
    if (pm_links_probe_state_due(n->links, now))
        pm_store_linearizable_read(n->store, on_fresh, n);
    if (pm_links_probe_cloud_due(n->links, now))
        pm_http_call(n->http, n->settings->cloud_addr, "GET", "/machine_types", NULL, 0,
                     PROBE_TIMEOUT_S, PROBE_ANSWER_MAX, on_probed, n);
    for (int zone = 0; zone < n->settings->zone_count; zone++) {
        const char *addr = pm_links_probe_zone_due(n->links, zone, now);
        if (addr)
            pm_http_call(n->http, addr, "GET", "/status", NULL, 0, PROBE_TIMEOUT_S,
                         PROBE_ANSWER_MAX, on_probed, n);
    }
}

/* ---- what is written and decided ---- */

static void on_view_written(void *arg, enum pm_store_result result, uint64_t store_revision,
                            const cbor_item_t *failed)
{
    struct pm_controller *n = arg;

    (void)store_revision;
    (void)failed;
    n->links_busy = false;
    pm_links_view_written(n->links, result == PM_STORE_OK);
}

static void write_view(struct pm_controller *n, double now)
{
    struct pm_txn txn = {0};
    char key[PM_NAME_MAX + 16];

    if (n->links_busy || !pm_links_is_write_due(n->links, now) ||
        !pm_controller_is_store_writable(n, now) ||
        pm_election_protocol_version(n->lead) < PM_PROTOCOL_LINKS ||
        pm_store_write_budget(n->store, now) < ROOM_FOR_VIEW)
        return;
    n->links_busy = true;
    snprintf(key, sizeof key, PM_LINKS_PREFIX "%s", n->settings->name);
    pm_txn_put(&txn, key);
    pm_links_encode_view(n->links, &txn.writes, now);
    pm_txn_put_end(&txn, 0);
    pm_store_commit(n->store, &txn, on_view_written, n);
}

/* Cut off from the workers alone, a leader does nothing but let their leases lapse: another one may
 * reach them. With views to go by, it stays where nobody else is known to do better. */
static void step_down_if_unheard(struct pm_controller *n, double now)
{
    GPtrArray *all = pm_workers_all(n->workers);
    double limit = MAX(UNHEARD_LEAST_S, UNHEARD_REPORTS * n->settings->heartbeat_s);
    int silent = 0;
    int deaf = 0;
    int up = 0;

    if (!n->settings->peer_count || now - n->took_at < limit)
        return;
    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        if (!is_ours(n, m))
            continue;
        up++;
        /* An answer to a command is none: a worker whose reports come nowhere loses its lease. */
        silent += now - MAX(m->heartbeat.last_at, n->took_at) >= limit;
        deaf += pm_machine_is_unreachable(m, now);
    }
    /* Any report counts, also one that an outage keeps from being answered. */
    if (silent >= UNHEARD_MACHINES && now - n->report_at >= limit)
        pm_election_step_down(n->lead, "no worker is heard");
    else if (deaf >= UNHEARD_MACHINES && 2 * deaf > up && pm_election_is_confirmed(n->lead, now))
        pm_election_step_down(n->lead, "the workers do not hear us");
}

void pm_controller_yield_lead_if_unfit(struct pm_controller *n, double now)
{
    if (pm_links_should_yield_lead(n->links, now - n->took_at, now))
        pm_election_step_down(n->lead, "another controller has better links");
    else if (!n->op->links.decide || pm_links_has_equal(n->links, now))
        step_down_if_unheard(n, now);
}

void pm_controller_tick_links(struct pm_controller *n, double now)
{
    if (n->op->links.observe)
        count_zones(n, now);
    pm_links_tick(n->links, n->leading, pm_election_epoch(n->lead), now);
    pm_api_set_cut_off(n->intake, pm_links_is_cut_off(n->links));
    if (!n->op->links.observe)
        return;
    probe(n, now);
    write_view(n, now);
}

void pm_controller_init_links(struct pm_controller *n)
{
    const struct pm_links_setting *setting = &n->op->links;
    char err[512];

    if (setting->trace_dir[0]) {
        n->trace = pm_links_trace_new(setting->trace_dir, n->settings->name, setting->trace_mb, err,
                                      sizeof err);
        if (!n->trace) /* the service goes on without */
            pm_error("links.trace", "%s", err);
    }
    n->links = pm_links_new(n->settings, setting, n->trace);
    if (setting->observe)
        pm_http_client_observe(n->http, on_call_ended, n);
}

void pm_controller_attach_links(struct pm_controller *n)
{
    if (!n->op->links.observe)
        return;
    pm_election_attach_links(n->lead,
                             &(struct pm_election_links){n->op->links.probe_s, on_pack, on_unpack,
                                                         on_peer_heard, on_candidate_wait, n});
}
