/* Outages of the state service: telling them from being refused alone, and the votes of a majority
 * by which controllers go on answering workers meanwhile.
 *
 * A vote says: this controller has read the state, knows no later epoch, and has sent all that it
 * knows to be cancelled after our replica's revision (safety invariant 7). A majority of them
 * confirms the epoch for whoever may act in it. For a follower, votes of those who are refused
 * themselves let it renew workers' leases in the stead of a leader that does not answer. */
#include "base/clock.h"
#include "leadership/internal.h"

#include <glib.h>

/* An outage has to last this long before followers answer workers: by then its leader has noticed
 * it. */
#define RENEWAL_DELAY_S 2.5
/* A leader that has not answered for this long does not answer workers either, as it seems. */
#define LEADER_SILENCE_S 1.5
/* That a peer is served counts for this long. */
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
    election->confirmation.gapless_since = now;
}

void pm_election_reset_votes(struct pm_election *election, double now)
{
    /* Who leads, or owns a shard, has read the state; a follower without one uses no such vote. */
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

/* We are one of the majority: what we were sent of cancellations counts as much as what the others
 * were. */
static void count_for_confirmation(struct pm_election *election, double sent_at)
{
    struct pm_election_confirmation *confirmation = &election->confirmation;

    election->poll.votes++;
    if (election->poll.votes < pm_quorum_size(election->settings) ||
        !pm_store_is_refusing(election->store))
        return;
    pm_election_note_confirmed(election, sent_at);
    confirmation->fresh_at = MAX(confirmation->fresh_at, sent_at);
}

static void count_for_renewal(struct pm_election *election, double sent_at)
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
    if (pm_election_may_act(election))
        count_for_confirmation(election, vote->sent_at);
    if (!election->term.is_leader && vote->is_refused)
        count_for_renewal(election, vote->sent_at);
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
