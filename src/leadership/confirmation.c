/* How long the epoch counts as confirmed. Three things confirm it: a transaction that compared the
 * epoch's revision (pm_election_confirm_epoch), a transaction sent only for that check
 * (pm_election_check_epoch), and, in an outage, a majority of votes (outage.c). Each confirmation
 * counts from when the request was sent, since the epoch may have changed right after the state
 * service or the peers processed it.
 *
 * A confirmed epoch is not enough: the state service may serve our requests while our watch hangs.
 * So the replica must also be fresh, that is, reach the revision that the service had. */
#include "base/keys.h"
#include "base/clock.h"
#include "leadership/internal.h"

#include <glib.h>

/* The maximum staleness of the replica of a controller that answers workers. */
#define STALENESS_MAX_S 6.0

/* Shortens a duration, so that when it has passed by our clock, the full duration has not yet
 * passed by the clock of any other controller, which may run faster. */
static double deduct_clock_drift(double duration_s)
{
    return duration_s * (1 - PM_CLOCK_DRIFT_MAX);
}

/* ---- freshness of the replica ---- */

/* Returns STALENESS_MAX_S, or half of the time that the cancellation deadline leaves after one
 * lease, whichever is less. */
static double replica_staleness_max_s(const struct pm_settings *settings)
{
    double slack_s = (settings->cancel_deadline_s - settings->lease_s) / 2;

    return settings->cancel_deadline_s > 0 && slack_s > 0 ? MIN(STALENESS_MAX_S, slack_s)
                                                          : STALENESS_MAX_S;
}

double pm_election_staleness_bound_s(const struct pm_settings *settings,
                                     const struct pm_operator_settings *operator_settings)
{
    return MAX(replica_staleness_max_s(settings), operator_settings->confirm_s);
}

static void on_replica_caught_up(void *arg, bool ok)
{
    struct pm_election_confirmation *confirmation = &((struct pm_election *)arg)->confirmation;

    if (ok)
        confirmation->fresh_as_of = MAX(confirmation->fresh_as_of, confirmation->awaited_sent_at);
    confirmation->awaited_revision = 0;
}

/* Updates the freshness of the replica after the state service processed, at `store_revision`, a
 * request that was sent at `sent_at`. */
static void track_freshness(struct pm_election *election, double sent_at, uint64_t store_revision)
{
    struct pm_election_confirmation *confirmation = &election->confirmation;

    if (pm_store_is_ready(election->store) &&
        pm_store_revision(election->store) >= store_revision) {
        confirmation->fresh_as_of = MAX(confirmation->fresh_as_of, sent_at);
        return;
    }
    if (confirmation->awaited_revision)
        return;
    confirmation->awaited_revision = store_revision;
    confirmation->awaited_sent_at = sent_at;
    pm_store_wait_for_revision(election->store, store_revision, on_replica_caught_up, election);
}

/* ---- confirming ---- */

void pm_election_note_confirmed(struct pm_election *election, double sent_at)
{
    struct pm_election_confirmation *confirmation = &election->confirmation;

    if (sent_at >
        confirmation->confirmed_at + deduct_clock_drift(election->operator_settings->confirm_s))
        confirmation->continuous_since = sent_at;
    confirmation->confirmed_at = MAX(confirmation->confirmed_at, sent_at);
}

void pm_election_confirm_epoch(struct pm_election *election, double sent_at,
                               uint64_t store_revision)
{
    if (!pm_election_leads_or_owns_shard(election))
        return;
    pm_election_note_confirmed(election, sent_at);
    track_freshness(election, sent_at, store_revision);
}

/* Called when the replica has caught up after a transaction conflicted on the revision of our
 * epoch. Either another controller advanced the epoch, or this one did, by a transaction whose
 * response was lost. In the second case replica_feed.c has already adopted the new epoch. */
static void on_conflict_caught_up(void *arg, bool ok)
{
    struct pm_election *election = arg;

    if (ok && election->term.is_leader && election->replica.epoch > election->term.epoch)
        pm_election_end_term(election, "another controller has advanced the epoch");
}

static void handle_check_ok(struct pm_election *election, double sent_at, uint64_t store_revision)
{
    bool is_first_confirmation = !election->confirmation.confirmed_at;

    pm_election_confirm_epoch(election, sent_at, store_revision);
    if (is_first_confirmation)
        election->hooks.epoch_confirmed(election->hooks.arg);
}

static void handle_check_conflict(struct pm_election *election, uint64_t store_revision)
{
    if (election->term.is_leader)
        pm_store_wait_for_revision(election->store, store_revision, on_conflict_caught_up,
                                   election);
    else /* the watch reports the change of the shard; this check does not delay the next one */
        election->confirmation.check_sent_at = 0;
}

static void on_checked(void *arg, enum pm_store_result result, uint64_t store_revision,
                       const cbor_item_t *conflicting_keys)
{
    struct pm_epoch_txn *epoch_txn = arg;
    struct pm_election *election = epoch_txn->election;
    bool is_current = pm_election_leads_or_owns_shard(election) &&
                      pm_election_epoch(election) == epoch_txn->epoch &&
                      election->term.is_leader == epoch_txn->sent_as_leader;

    (void)conflicting_keys;
    election->confirmation.check_in_flight = false;
    if (is_current && result == PM_STORE_OK)
        handle_check_ok(election, epoch_txn->sent_at, store_revision);
    else if (is_current && result == PM_STORE_CONFLICT)
        handle_check_conflict(election, store_revision);
    g_free(epoch_txn);
}

void pm_election_check_epoch(struct pm_election *election, double now)
{
    struct pm_txn txn = {0};
    struct pm_epoch_txn *epoch_txn = g_new0(struct pm_epoch_txn, 1);

    election->confirmation.check_in_flight = true;
    election->confirmation.check_sent_at = now;
    epoch_txn->election = election;
    epoch_txn->epoch = pm_election_epoch(election);
    epoch_txn->sent_as_leader = election->term.is_leader;
    epoch_txn->sent_at = now;
    pm_txn_compare(&txn, PM_KEY_EPOCH, pm_election_epoch_revision(election));
    if (!election->term.is_leader)
        pm_txn_compare(&txn, election->shard.key, election->shard.revision);
    pm_store_commit(election->store, &txn, on_checked, epoch_txn);
}

void pm_election_recheck_epoch(struct pm_election *election)
{
    if (election->term.is_leader && !election->confirmation.check_in_flight &&
        !election->term.advance_in_flight)
        pm_election_check_epoch(election, pm_clock_monotonic());
}

void pm_election_set_owned_shard(struct pm_election *election, const char *key, uint64_t revision)
{
    struct pm_election_owned_shard *shard = &election->shard;

    if (election->term.is_leader || revision == shard->revision)
        return;
    /* If the shard that we own was only rewritten, the confirmation stays valid: a leader that
     * revokes the shard waits for our last confirmation to expire in any case. A shard that we did
     * not own before needs a confirmation first. */
    if (!shard->revision || !revision)
        election->confirmation.confirmed_at = 0;
    shard->revision = revision;
    if (!revision)
        return;
    g_strlcpy(shard->key, key, sizeof shard->key);
    if (!election->confirmation.check_in_flight)
        pm_election_check_epoch(election, pm_clock_monotonic());
}

/* ---- deadlines ---- */

double pm_election_confirmation_deadline(const struct pm_election *election)
{
    const struct pm_election_confirmation *confirmation = &election->confirmation;
    double epoch_deadline =
        confirmation->confirmed_at + deduct_clock_drift(election->operator_settings->confirm_s);
    double replica_deadline =
        confirmation->fresh_as_of + deduct_clock_drift(replica_staleness_max_s(election->settings));

    return MIN(epoch_deadline, replica_deadline);
}

bool pm_election_is_confirmed(const struct pm_election *election, double now)
{
    return pm_election_leads_or_owns_shard(election) && !election->term.catch_up_revision &&
           now < pm_election_confirmation_deadline(election);
}

double pm_election_exclusive_since(const struct pm_election *election)
{
    double others_valid_s = election->operator_settings->confirm_s + PM_ELECTION_REFUSAL_MAX_AGE_S;

    return election->confirmation.continuous_since + others_valid_s * (1 + PM_CLOCK_DRIFT_MAX) +
           PM_ELECTION_TICK_S;
}
