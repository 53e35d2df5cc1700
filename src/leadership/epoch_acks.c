/* Tracks which peers have acknowledged the current epoch of the term. Once a majority has, no
 * majority can confirm an earlier epoch to a controller. When the confirmations given before that
 * have expired, only controllers that know this epoch renew workers' leases
 * (pm_election_epoch_exclusive_since). */
#include "base/clock.h"
#include "leadership/internal.h"

#include <math.h>
#include <string.h>

static void note_quorum(struct pm_election_acks *acks, double now)
{
    acks->quorum_at = now;
    if (!acks->first_quorum_at)
        acks->first_quorum_at = now;
}

void pm_election_reset_epoch_acks(struct pm_election *election, uint64_t epoch, double now)
{
    struct pm_election_acks *acks = &election->acks;

    memset(acks->has_acked, 0, sizeof acks->has_acked);
    acks->epoch = epoch;
    acks->quorum_at = 0;
    if (pm_quorum_size(election->settings) <= 1)
        note_quorum(acks, now);
    election->poll.sent_at = 0; /* makes the timer poll the peers at once */
}

void pm_election_reset_term_acks(struct pm_election *election, uint64_t epoch, double now)
{
    election->acks.first_quorum_at = 0;
    pm_election_reset_epoch_acks(election, epoch, now);
}

void pm_election_note_epoch_acked(struct pm_election *election, int peer)
{
    struct pm_election_acks *acks = &election->acks;
    int acked = 1; /* this controller */

    acks->has_acked[peer] = true;
    if (acks->quorum_at)
        return;
    for (int i = 0; i < election->settings->peer_count; i++)
        acked += acks->has_acked[i];
    if (acked >= pm_quorum_size(election->settings))
        note_quorum(acks, pm_clock_monotonic());
}

double pm_election_epoch_exclusive_since(const struct pm_election *election, uint64_t epoch)
{
    const struct pm_election_acks *acks = &election->acks;
    double quorum_at = epoch ? acks->quorum_at : acks->first_quorum_at;

    if (!election->term.is_leader || !quorum_at || epoch > acks->epoch)
        return INFINITY;
    return quorum_at + election->operator_settings->confirm_s * (1 + PM_CLOCK_DRIFT_MAX);
}
