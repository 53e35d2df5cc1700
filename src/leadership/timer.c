/* The periodic work of the election: stepping down, advancing and checking the epoch, polling the
 * peers, publishing the protocol version, keeping the lease of the lock alive, and campaigning.
 * Each step has its own function; on_timer calls them in order. */
#include "base/clock.h"
#include "base/protocol.h"
#include "leadership/internal.h"

#include <ev.h>
#include <glib.h>

#define FIRST_TICK_S 0.05
/* The age at which the epoch is advanced, as a share of a worker's lease. In an epoch that owns one
 * fencing token, a worker is told to forget an exited task only after the next advance. Since this
 * share is below 1, a worker with an earlier token than the current one has also lost its lease
 * soon, and refuses old commands as a new incarnation. */
#define LEASES_PER_EPOCH 0.7
/* Interval of attempts to advance the epoch. */
#define ADVANCE_RETRY_S 1.0
/* How many checks of the epoch are sent in confirm_s, for which time a confirmation is valid. */
#define CHECKS_PER_CONFIRMATION 3
/* How many times the peers are polled in confirm_s while the epoch depends on their responses. */
#define POLLS_PER_CONFIRMATION 4
/* Interval of polls until all controllers are known to run this program's protocol version. */
#define VERSION_POLL_INTERVAL_S 0.7
/* How often the lease of the leader's lock is renewed in its time to live. */
#define RENEWALS_PER_LEASE 3.5
/* A controller that stepped down campaigns before its back-off has ended if the lock has been free
 * for this long. */
#define LOCK_FREE_BACKOFF_MAX_S 4
/* The delay before a campaign: a fixed delay plus 0 to CAMPAIGN_DELAY_STEPS - 1 steps. The number
 * of steps depends on the controller's name, so that two controllers which see the lock free at the
 * same time seldom collide. */
#define CAMPAIGN_DELAY_S 0.02
#define CAMPAIGN_DELAY_STEP_S 0.15
#define CAMPAIGN_DELAY_STEPS 3

/* Ends the term if neither the state service nor a majority of controllers has confirmed the epoch
 * for so long that a successor may lead unknown to this controller. Returns whether it did. */
static bool step_down_if_unconfirmed(struct pm_election *election, double now)
{
    const struct pm_operator_settings *operator_settings = election->operator_settings;
    double deadline_s = 2 * operator_settings->leader_ttl_s + operator_settings->confirm_s;

    if (!election->term.is_leader || now - election->confirmation.confirmed_at <= deadline_s)
        return false;
    pm_election_end_term(
        election,
        "neither the state service nor a majority of controllers confirmed the epoch in time");
    return true;
}

static void advance_epoch_if_due(struct pm_election *election, double now)
{
    struct pm_election_term *term = &election->term;
    double lease_s = election->settings->lease_s;

    if (!term->is_leader || lease_s <= 0 || pm_store_is_refusing(election->store))
        return;
    if (now - term->epoch_advanced_at <= LEASES_PER_EPOCH * lease_s ||
        now - term->advance_attempted_at <= ADVANCE_RETRY_S)
        return;
    term->advance_attempted_at = now;
    pm_election_advance_epoch(election, NULL, 0);
}

static void check_epoch_if_due(struct pm_election *election, double now)
{
    const struct pm_election_confirmation *confirmation = &election->confirmation;
    double interval_s = election->operator_settings->confirm_s / CHECKS_PER_CONFIRMATION;

    if (!pm_election_leads_or_owns_shard(election) || confirmation->check_in_flight ||
        election->term.advance_in_flight)
        return;
    if (now - MAX(confirmation->confirmed_at, confirmation->check_sent_at) > interval_s)
        pm_election_check_epoch(election, now);
}

static void poll_peers_if_older(struct pm_election *election, double now, double interval_s)
{
    if (now - election->poll.sent_at > interval_s)
        pm_election_poll_peers(election, now);
}

/* A leader polls the peers until a majority knows its epoch. A controller that the state service
 * refuses also polls: to confirm the epoch by votes, and to find out whether it is the only one
 * that is refused. */
static void poll_peers_for_epoch(struct pm_election *election, double now)
{
    bool needs_acks = election->term.is_leader && !election->acks.quorum_at;

    if (needs_acks || pm_store_is_refusing(election->store))
        poll_peers_if_older(election, now,
                            election->operator_settings->confirm_s / POLLS_PER_CONFIRMATION);
}

static void exchange_versions(struct pm_election *election, double now)
{
    if (election->versions.common >= PM_PROTOCOL_VERSION)
        return;
    pm_election_publish_version(election, now);
    poll_peers_if_older(election, now, VERSION_POLL_INTERVAL_S);
}

static void poll_peers_for_links(struct pm_election *election, double now)
{
    if (election->links.encode_views)
        poll_peers_if_older(election, now, election->links.poll_interval_s);
}

static void on_lease_kept_alive(void *arg, enum pm_store_result result, uint64_t lease_id)
{
    struct pm_election *election = arg;
    struct pm_election_term *term = &election->term;

    term->lease_renewal_in_flight = false;
    if (result == PM_STORE_NOT_FOUND && term->is_leader && lease_id == term->lease_id)
        pm_election_end_term(election, "the lease of the leader's lock has expired");
}

static void keep_lease_alive_if_due(struct pm_election *election, double now)
{
    struct pm_election_term *term = &election->term;

    if (term->lease_renewal_in_flight ||
        now - term->lease_renewed_at <=
            election->operator_settings->leader_ttl_s / RENEWALS_PER_LEASE)
        return;
    term->lease_renewal_in_flight = true;
    term->lease_renewed_at = now;
    pm_store_lease_keep_alive(election->store, term->lease_id, on_lease_kept_alive, election);
}

/* How long the lock must have been free before this controller campaigns. */
static double campaign_delay_s(const struct pm_election *election)
{
    guint step = g_str_hash(election->settings->name) % CAMPAIGN_DELAY_STEPS;
    double delay_s = CAMPAIGN_DELAY_S + CAMPAIGN_DELAY_STEP_S * step;

    if (election->links.extra_campaign_delay_s)
        delay_s += election->links.extra_campaign_delay_s(election->links.arg);
    return delay_s;
}

static void campaign_if_due(struct pm_election *election, double now)
{
    struct pm_election_candidacy *candidacy = &election->candidacy;

    if (candidacy->campaign_in_flight || !pm_store_is_ready(election->store) ||
        !pm_election_is_lock_free(election)) {
        candidacy->lock_free_since = 0;
        return;
    }
    if (!candidacy->lock_free_since)
        candidacy->lock_free_since = now;
    if (now < candidacy->backoff_until &&
        now - candidacy->lock_free_since < LOCK_FREE_BACKOFF_MAX_S)
        return;
    if (now - candidacy->lock_free_since < campaign_delay_s(election))
        return;
    pm_election_campaign(election);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct pm_election *election = timer->data;
    double now = pm_clock_monotonic();

    (void)loop;
    (void)events;
    pm_election_track_refusals(election, now);
    if (step_down_if_unconfirmed(election, now))
        return;
    advance_epoch_if_due(election, now);
    check_epoch_if_due(election, now);
    poll_peers_for_epoch(election, now);
    exchange_versions(election, now);
    poll_peers_for_links(election, now);
    if (election->term.is_leader)
        keep_lease_alive_if_due(election, now);
    else
        campaign_if_due(election, now);
}

void pm_election_start_timer(struct pm_election *election)
{
    ev_timer_init(&election->timer, on_timer, FIRST_TICK_S, PM_ELECTION_TICK_S);
    election->timer.data = election;
    ev_timer_start(election->loop, &election->timer);
}
