/* Outages of the state service: how a controller finds out whether the state service refuses all
 * controllers or only this one, and how the votes of a majority let controllers go on answering
 * workers during an outage.
 *
 * A peer's vote means that the peer has read the state, knows no later epoch, and has sent us every
 * cancellation that it knows whose revision is later than that of our replica (safety invariant 7,
 * see cancellation_quorum.h). For a leader or the owner of a shard each vote is a confirmation
 * vote: a majority of them confirms the epoch. For a follower, the votes of peers that are refused
 * themselves are renewal votes: a majority of them lets it renew workers' leases in place of a
 * leader that does not respond. */
#include "base/clock.h"
#include "leadership/internal.h"

#include <glib.h>

/* How long an outage must last before followers renew leases. After this time the leader has
 * noticed the outage too. */
#define RENEWAL_DELAY_S 2.5
/* A leader that has not responded to us for this long is assumed not to answer workers either. */
#define LEADER_SILENCE_S 1.5
/* How long a peer's report that the state service serves it stays valid. */
#define PEER_SERVED_MAX_AGE_S 2.5

bool pm_election_is_refused_now(const struct pm_election *election, double now)
{
    return pm_store_is_refusing(election->store) &&
           now - pm_store_last_refused_at(election->store) < PM_ELECTION_REFUSAL_MAX_AGE_S;
}

void pm_election_track_refusals(struct pm_election *election, double now)
{
    struct pm_election_outage *outage = &election->outage;

    if (!pm_store_is_refusing(election->store)) {
        outage->refused_since = 0;
        return;
    }
    if (!outage->refused_since)
        outage->refused_since = now;
    election->confirmation.continuous_since = now;
}

void pm_election_reset_votes(struct pm_election *election, double now)
{
    /* Our own confirmation vote always counts. Only leaders and owners of shards use these votes,
     * and they have read the state. */
    election->poll.votes = 1;
    election->outage.votes =
        pm_store_is_ready(election->store) && pm_election_is_refused_now(election, now);
}

static bool is_valid_vote(const struct pm_election *election, const struct pm_election_vote *vote)
{
    uint64_t epoch = pm_election_epoch(election);

    return vote->has_replica && vote->has_cancellations && vote->round == election->poll.round &&
           election->poll.epoch == epoch && election->poll.highest_epoch <= epoch &&
           vote->highest_epoch <= epoch;
}

/* The votes of a majority also make the replica count as fresh: the peers that voted have sent us
 * every cancellation that they know, and this controller, which belongs to the majority, knows its
 * own. */
static void count_confirmation_vote(struct pm_election *election, double sent_at)
{
    struct pm_election_confirmation *confirmation = &election->confirmation;

    election->poll.votes++;
    if (election->poll.votes < pm_quorum_size(election->settings) ||
        !pm_store_is_refusing(election->store))
        return;
    pm_election_note_confirmed(election, sent_at);
    confirmation->fresh_as_of = MAX(confirmation->fresh_as_of, sent_at);
}

static void count_renewal_vote(struct pm_election *election, double sent_at)
{
    struct pm_election_outage *outage = &election->outage;

    outage->votes++;
    if (outage->votes < pm_quorum_size(election->settings) || !outage->refused_since ||
        sent_at - outage->refused_since <= RENEWAL_DELAY_S)
        return;
    outage->confirmed_at = MAX(outage->confirmed_at, sent_at);
}

void pm_election_count_vote(struct pm_election *election, const struct pm_election_vote *vote)
{
    if (!is_valid_vote(election, vote))
        return;
    if (pm_election_leads_or_owns_shard(election))
        count_confirmation_vote(election, vote->sent_at);
    if (!election->term.is_leader && vote->is_refused)
        count_renewal_vote(election, vote->sent_at);
}

bool pm_election_is_refused_alone(const struct pm_election *election, double now)
{
    double served_peer_at = election->poll.store_served_peer_at;

    return pm_store_is_refusing(election->store) && served_peer_at > 0 &&
           now - served_peer_at < PEER_SERVED_MAX_AGE_S;
}

double pm_election_outage_renewal_deadline(const struct pm_election *election)
{
    return election->outage.confirmed_at +
           election->operator_settings->confirm_s * (1 - PM_CLOCK_DRIFT_MAX);
}

bool pm_election_may_renew_in_outage(const struct pm_election *election, double now)
{
    uint64_t epoch = election->replica.epoch;

    return !election->term.is_leader && election->outage.refused_since && epoch &&
           election->poll.highest_epoch <= epoch &&
           now < pm_election_outage_renewal_deadline(election) &&
           now - election->poll.leader_answered_at > LEADER_SILENCE_S;
}
