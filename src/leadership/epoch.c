/* Advancing the epoch during a term. */
#include "base/keys.h"
#include "base/clock.h"
#include "base/log.h"
#include "leadership/internal.h"

void pm_election_adopt_epoch(struct pm_election *election, struct pm_fencing_range tokens,
                             uint64_t revision)
{
    struct pm_election_term *term = &election->term;
    uint64_t epoch = tokens.last;
    double now = pm_clock_monotonic();

    term->epoch = election->replica.epoch = epoch;
    term->first_token = election->replica.first_token = tokens.first;
    term->epoch_revision = election->replica.epoch_revision = revision;
    term->epoch_advanced_at = now;
    /* The acknowledgements start over: an owner whose shard was revoked together with the old epoch
     * may still be confirmed, and answer its workers, until a majority knows the new one. */
    pm_election_reset_epoch_acks(election, epoch, now);
    pm_info("election.epoch_advanced", "advanced the epoch to %llu", (unsigned long long)epoch);
    election->hooks.epoch_advanced(election->hooks.arg, epoch);
}

struct pm_fencing_range pm_election_next_tokens(const struct pm_election *election, uint64_t epoch)
{
    return pm_fencing_range_after(MAX(epoch, election->poll.highest_epoch),
                                  pm_election_protocol_version(election));
}

static void on_advance_committed(void *arg, enum pm_store_result result, uint64_t store_revision,
                                 const cbor_item_t *conflicting_keys)
{
    struct pm_epoch_txn *epoch_txn = arg;
    struct pm_election *election = epoch_txn->election;

    (void)conflicting_keys;
    election->term.advance_in_flight = false;
    if (election->term.is_leader && result == PM_STORE_OK &&
        election->term.epoch < epoch_txn->epoch) {
        pm_election_adopt_epoch(election,
                                (struct pm_fencing_range){epoch_txn->first_token, epoch_txn->epoch},
                                store_revision);
        pm_election_confirm_epoch(election, epoch_txn->sent_at, store_revision);
    } else if (election->term.is_leader && result == PM_STORE_CONFLICT) {
        pm_election_recheck_epoch(election);
    }
    g_free(epoch_txn);
}

void pm_election_advance_epoch(struct pm_election *election, const char *key, uint64_t revision)
{
    struct pm_election_term *term = &election->term;
    struct pm_txn txn = {0};
    struct pm_epoch_txn *epoch_txn;
    struct pm_fencing_range tokens;

    if (!term->is_leader || term->advance_in_flight || term->catch_up_revision)
        return;
    term->advance_in_flight = true;
    epoch_txn = g_new0(struct pm_epoch_txn, 1);
    epoch_txn->election = election;
    tokens = pm_election_next_tokens(election, term->epoch);
    epoch_txn->epoch = tokens.last;
    epoch_txn->first_token = tokens.first;
    epoch_txn->sent_at = pm_clock_monotonic();
    pm_txn_compare(&txn, PM_KEY_EPOCH, term->epoch_revision);
    pm_election_put_epoch(election, &txn, tokens);
    if (key) {
        pm_txn_compare(&txn, key, revision);
        pm_txn_delete(&txn, key);
    }
    pm_store_commit(election->store, &txn, on_advance_committed, epoch_txn);
}
