/* Supplies the links slice with evidence from the traffic of the other slices, sends its probes,
 * and acts on its evaluation of the links. Runs in the event-loop thread. */
#include "base/keys.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/protocol.h"
#include "internal.h"

#include <stdio.h>

/* A worker counts as silent when no heartbeat has arrived for SILENCE_INTERVALS heartbeat
 * intervals, but not before SILENCE_MIN_S. */
#define SILENCE_MIN_S 3.5
#define SILENCE_INTERVALS 1.6
#define PROBE_TIMEOUT_S 1.0

enum {
    /* With fewer silent or unreachable machines, the cause is possibly a fault of these machines
     * and not of this controller. */
    AFFECTED_MACHINES_MIN = 3,
    VIEW_WRITE_BUDGET_MIN = 4, /* changes that must be left in the write budget for the view */
    PROBE_ANSWER_BYTES = 1024 * 1024
};

/* ---- evidence ---- */

static void on_call_ended(void *arg, const struct pm_http_outcome *outcome)
{
    pm_links_record_call(((struct pm_controller *)arg)->links, outcome);
}

static unsigned char *on_encode_views(void *arg, size_t *size)
{
    return pm_links_encode_views(((struct pm_controller *)arg)->links, pm_clock_monotonic(), size);
}

static void on_decode_views(void *arg, int peer, const unsigned char *data, size_t size,
                            double sent_at)
{
    pm_links_decode_views(((struct pm_controller *)arg)->links, peer, data, size, sent_at,
                          pm_clock_monotonic());
}

static void on_peer_request_received(void *arg, int peer)
{
    pm_links_record_peer_request(((struct pm_controller *)arg)->links, peer, pm_clock_monotonic());
}

static double on_extra_campaign_delay(void *arg)
{
    return pm_links_extra_campaign_delay_s(((struct pm_controller *)arg)->links,
                                           pm_clock_monotonic());
}

/* Whether this controller places tasks on the machine. */
static bool is_managed_here(const struct pm_controller *controller,
                            const struct pm_machine *machine)
{
    return machine && machine->state == PM_MACHINE_UP && !machine->shard.assigned_to &&
           controller->is_active;
}

/* Adds the address to the zone's census, unless it is "" or the list is full. */
static void add_endpoint(struct pm_links_zone_census *census, const char *endpoint)
{
    for (int i = 0; i < PM_VIEW_ENDPOINTS_MAX && endpoint[0]; i++)
        if (!census->endpoint[i][0]) {
            g_strlcpy(census->endpoint[i], endpoint, sizeof census->endpoint[i]);
            return;
        }
}

/* Counts the machines of each zone, and collects addresses of some of them for other controllers to
 * probe. Addresses of machines whose heartbeats arrive come first. If a zone has too few of these,
 * machines that missed a heartbeat are added, because another controller may reach them. */
static void record_zone_censuses(struct pm_controller *controller, double now)
{
    struct pm_links_zone_census census[PM_ZONES_MAX] = {0};
    struct pm_links_zone_census missed_heartbeat[PM_ZONES_MAX] = {0};
    GPtrArray *all = pm_workers_all(controller->workers);

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(all, i);
        if (!is_managed_here(controller, machine) || machine->zone < 0)
            continue;
        add_endpoint(pm_machine_missed_heartbeat(machine, controller->settings, now)
                         ? &missed_heartbeat[machine->zone]
                         : &census[machine->zone],
                     machine->endpoint);
        if (!machine->heartbeat.has_reported)
            continue;
        census[machine->zone].up_count++;
        census[machine->zone].unreachable_count += pm_machine_is_unreachable(machine, now);
    }
    for (int zone = 0; zone < controller->settings->zone_count; zone++) {
        for (int i = 0; i < PM_VIEW_ENDPOINTS_MAX; i++)
            add_endpoint(&census[zone], missed_heartbeat[zone].endpoint[i]);
        pm_links_record_zone_census(controller->links, zone, &census[zone], now);
    }
}

/* ---- probes ---- */

/* Does nothing, because on_call_ended has already recorded the call. */
static void on_probe_done(void *arg, int status, const unsigned char *body, size_t size)
{
    (void)arg;
    (void)status;
    (void)body;
    (void)size;
}

/* Does nothing, because on_call_ended has already recorded the call. */
static void on_state_probe_done(void *arg, bool ok)
{
    (void)arg;
    (void)ok;
}

static void send_probes(struct pm_controller *controller, double now)
{
    if (pm_links_is_state_service_probe_due(controller->links, now))
        pm_store_linearizable_read(controller->store, on_state_probe_done, controller);
    if (pm_links_is_cloud_probe_due(controller->links, now))
        pm_http_call(controller->http, controller->settings->cloud_addr, "GET", "/machine_types",
                     NULL, 0, PROBE_TIMEOUT_S, PROBE_ANSWER_BYTES, on_probe_done, controller);
    for (int zone = 0; zone < controller->settings->zone_count; zone++) {
        const char *addr = pm_links_next_zone_probe(controller->links, zone, now);
        if (addr)
            pm_http_call(controller->http, addr, "GET", "/status", NULL, 0, PROBE_TIMEOUT_S,
                         PROBE_ANSWER_BYTES, on_probe_done, controller);
    }
}

/* ---- this controller's view, and stepping down ---- */

static void on_view_written(void *arg, enum pm_store_result result, uint64_t store_revision,
                            const cbor_item_t *conflicting_keys)
{
    struct pm_controller *controller = arg;

    (void)store_revision;
    (void)conflicting_keys;
    controller->view_write_in_flight = false;
    pm_links_record_view_write(controller->links, result == PM_STORE_OK);
}

static void write_view(struct pm_controller *controller, double now)
{
    struct pm_txn txn = {0};
    char key[PM_NAME_MAX + 16];

    if (controller->view_write_in_flight || !pm_links_is_write_due(controller->links, now) ||
        !pm_controller_is_store_writable(controller, now) ||
        pm_election_protocol_version(controller->election) < PM_PROTOCOL_LINKS ||
        pm_store_write_budget(controller->store, now) < VIEW_WRITE_BUDGET_MIN)
        return;
    controller->view_write_in_flight = true;
    snprintf(key, sizeof key, PM_KEY_VIEW_PREFIX "%s", controller->settings->name);
    pm_txn_put_begin(&txn, key);
    pm_links_encode_view(controller->links, &txn.writes, now);
    pm_txn_put_end(&txn, 0);
    pm_store_commit(controller->store, &txn, on_view_written, controller);
}

/* Steps down if no worker's heartbeat arrives any more, or if most workers no longer receive this
 * leader's answers. A leader that has lost only its links to the workers can do no more than let
 * their leases expire, while another controller may still reach them. */
static void step_down_if_unreachable(struct pm_controller *controller, double now)
{
    GPtrArray *all = pm_workers_all(controller->workers);
    double silence_s = MAX(SILENCE_MIN_S, SILENCE_INTERVALS * controller->settings->heartbeat_s);
    int silent_count = 0;
    int unreachable_count = 0;
    int up_count = 0;

    if (!controller->settings->peer_count || now - controller->elected_at < silence_s)
        return;
    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(all, i);
        if (!is_managed_here(controller, machine))
            continue;
        up_count++;
        /* Answers to pushes do not count, because a worker whose heartbeats reach no controller
         * loses its lease. */
        silent_count +=
            now - MAX(machine->heartbeat.last_heartbeat_at, controller->elected_at) >= silence_s;
        unreachable_count += pm_machine_is_unreachable(machine, now);
    }
    /* Any heartbeat that arrives counts, even one that can't be answered because of an outage. */
    if (silent_count >= AFFECTED_MACHINES_MIN &&
        now - controller->last_worker_heartbeat_at >= silence_s)
        pm_election_step_down(controller->election, "no worker's heartbeat arrives");
    else if (unreachable_count >= AFFECTED_MACHINES_MIN && 2 * unreachable_count > up_count &&
             pm_election_is_confirmed(controller->election, now))
        pm_election_step_down(controller->election,
                              "most workers do not receive this controller's answers");
}

void pm_controller_step_down_if_unfit(struct pm_controller *controller, double now)
{
    /* With links.decide, a leader that lost its workers steps down only if another controller could
     * lead at least as well. */
    if (pm_links_should_step_down(controller->links, now - controller->elected_at, now))
        pm_election_step_down(controller->election, "another controller has better links");
    else if (!controller->operator_settings->links.decide ||
             pm_links_has_equal_candidate(controller->links, now))
        step_down_if_unreachable(controller, now);
}

void pm_controller_tick_links(struct pm_controller *controller, double now)
{
    if (controller->operator_settings->links.observe)
        record_zone_censuses(controller, now);
    pm_links_tick(controller->links, controller->is_leader, pm_election_epoch(controller->election),
                  now);
    pm_api_set_cut_off(controller->api, pm_links_is_cut_off(controller->links));
    if (!controller->operator_settings->links.observe)
        return;
    send_probes(controller, now);
    write_view(controller, now);
}

void pm_controller_init_links(struct pm_controller *controller)
{
    const struct pm_links_setting *setting = &controller->operator_settings->links;
    char err[512];

    if (setting->trace_dir[0]) {
        controller->trace = pm_links_trace_new(setting->trace_dir, controller->settings->name,
                                               setting->trace_mb, err, sizeof err);
        if (!controller->trace) /* the controller runs without a trace */
            pm_error("links.trace", "the trace can't be opened; running without it: %s", err);
    }
    controller->links = pm_links_new(controller->settings, setting, controller->trace);
    if (setting->observe)
        pm_http_client_observe(controller->http, on_call_ended, controller);
}

void pm_controller_attach_links(struct pm_controller *controller)
{
    if (!controller->operator_settings->links.observe)
        return;
    pm_election_attach_links(
        controller->election,
        &(struct pm_election_links){controller->operator_settings->links.probe_s, on_encode_views,
                                    on_decode_views, on_peer_request_received,
                                    on_extra_campaign_delay, controller});
}
