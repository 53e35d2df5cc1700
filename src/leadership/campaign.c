/* Becoming the leader in three steps: request a lease, write p/epoch and p/lead in one transaction,
 * and wait until the replica includes that transaction. */
#include "base/keys.h"
#include "base/clock.h"
#include "base/log.h"
#include "leadership/internal.h"

#include <stdio.h>
#include <string.h>

bool pm_election_is_lock_free(const struct pm_election *election)
{
    const struct pm_election_replica *replica = &election->replica;

    return !replica->lock_revision ||
           (!strcmp(replica->lock_holder, election->settings->name) &&
            strcmp(replica->lock_incarnation_id, election->incarnation_id));
}

static void on_caught_up(void *arg, bool ok)
{
    struct pm_election *election = arg;
    struct pm_election_term *term = &election->term;

    if (!term->is_leader || !term->catch_up_revision)
        return;
    if (!ok) { /* the watch lags behind: wait again */
        pm_store_wait_for_revision(election->store, term->catch_up_revision, on_caught_up,
                                   election);
        return;
    }
    term->catch_up_revision = 0;
    election->hooks.elected(election->hooks.arg, term->epoch);
}

static void end_campaign(struct pm_election *election, double now)
{
    election->candidacy.campaign_in_flight = false;
    election->candidacy.lock_free_since = now; /* the delay before a campaign starts over */
}

/* Begins a term after the campaign's transaction succeeded with this revision. The epoch counts as
 * confirmed from the time when the transaction was sent, but pm_election_is_confirmed stays false
 * until the replica has caught up with it. */
static void begin_term(struct pm_election *election, const struct pm_epoch_txn *epoch_txn,
                       uint64_t revision, double now)
{
    struct pm_election_term *term = &election->term;
    struct pm_election_confirmation *confirmation = &election->confirmation;

    term->is_leader = true;
    term->epoch = election->replica.epoch = epoch_txn->epoch;
    term->first_token = election->replica.first_token = epoch_txn->first_token;
    term->epoch_revision = election->replica.epoch_revision = revision;
    term->lease_id = epoch_txn->lease_id;
    term->lease_renewed_at = term->epoch_advanced_at = now;
    term->catch_up_revision = revision;
    confirmation->check_sent_at = now;
    confirmation->confirmed_at = epoch_txn->sent_at;
    confirmation->continuous_since = epoch_txn->sent_at;
    confirmation->fresh_as_of = epoch_txn->sent_at;
    pm_election_reset_term_acks(election, term->epoch, now);
    election->shard.revision = 0;
    pm_info("election.elected", "this controller leads in epoch %llu",
            (unsigned long long)term->epoch);
    pm_store_wait_for_revision(election->store, revision, on_caught_up, election);
}

static void on_campaign_committed(void *arg, enum pm_store_result result, uint64_t store_revision,
                                  const cbor_item_t *conflicting_keys)
{
    struct pm_epoch_txn *epoch_txn = arg;
    double now = pm_clock_monotonic();

    (void)conflicting_keys;
    end_campaign(epoch_txn->election, now);
    if (result == PM_STORE_OK)
        begin_term(epoch_txn->election, epoch_txn, store_revision, now);
    else
        pm_debug("election.campaign_failed",
                 "the transaction to acquire the leader's lock failed: status %d (%s)", result,
                 pm_store_result_name(result));
    g_free(epoch_txn);
}

static void commit_campaign(struct pm_election *election, uint64_t lease_id)
{
    struct pm_txn txn = {0};
    struct pm_epoch_txn *epoch_txn = g_new0(struct pm_epoch_txn, 1);
    struct pm_fencing_range tokens = pm_election_next_tokens(election, election->replica.epoch);
    char shard_key[PM_SHARD_KEY_SIZE];

    epoch_txn->election = election;
    epoch_txn->epoch = tokens.last;
    epoch_txn->first_token = tokens.first;
    epoch_txn->lease_id = lease_id;
    epoch_txn->sent_at = pm_clock_monotonic();
    pm_txn_compare(&txn, PM_KEY_EPOCH, election->replica.epoch_revision);
    pm_txn_compare(&txn, PM_KEY_LEADER_LOCK, election->replica.lock_revision);
    pm_election_put_epoch(election, &txn, tokens);
    pm_election_put_lock(election, &txn, lease_id);
    /* A leader owns no shard. Deleting this controller's shard in the same transaction puts the
     * shard's machines under the new leader. */
    snprintf(shard_key, sizeof shard_key, PM_KEY_SHARD_PREFIX "%s", election->settings->name);
    pm_txn_delete(&txn, shard_key);
    pm_store_commit(election->store, &txn, on_campaign_committed, epoch_txn);
}

static void on_lease_granted(void *arg, enum pm_store_result result, uint64_t lease_id)
{
    struct pm_election *election = arg;

    if (result != PM_STORE_OK) {
        end_campaign(election, pm_clock_monotonic());
        return;
    }
    /* Another controller may have been elected while the request for the lease was in flight. If
     * the replica shows that already, the transaction would compare the current revisions, succeed,
     * and take the lock from that leader. */
    if (!pm_election_is_lock_free(election)) {
        end_campaign(election, pm_clock_monotonic());
        pm_store_lease_revoke(election->store, lease_id);
        return;
    }
    commit_campaign(election, lease_id);
}

void pm_election_campaign(struct pm_election *election)
{
    election->candidacy.campaign_in_flight = true;
    pm_store_lease_grant(election->store, election->operator_settings->leader_ttl_s,
                         on_lease_granted, election);
}
