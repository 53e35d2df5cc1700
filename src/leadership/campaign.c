/* Taking the lead, and raising the epoch while leading. */
#include "base/clock.h"
#include "base/log.h"
#include "leadership/internal.h"

#include <stdio.h>
#include <string.h>

static void put_epoch(struct pm_election *l, struct pm_txn *txn, uint64_t epoch)
{
    pm_txn_put(txn, "p/epoch");
    pm_put_map(&txn->writes);
    pm_put_pair_count(&txn->writes, "epoch", epoch);
    pm_put_pair_text(&txn->writes, "leader", l->settings->name);
    pm_put_pair_text(&txn->writes, "boot", l->boot);
    pm_put_end(&txn->writes);
    pm_txn_put_end(txn, 0);
}

static void on_reached(void *arg, bool ok)
{
    struct pm_election *l = arg;

    if (!l->leads || !l->reach)
        return;
    if (!ok) { /* the watch is slow: keep waiting */
        pm_store_wait_for_revision(l->store, l->reach, on_reached, l);
        return;
    }
    l->reach = 0;
    l->hooks.elected(l->hooks.arg, l->mine);
}

static void on_taken(void *arg, enum pm_store_result result, uint64_t store_revision,
                     const cbor_item_t *failed)
{
    struct attempt *attempt = arg;
    struct pm_election *l = attempt->lead;
    double now = pm_clock_monotonic();

    (void)failed;
    l->candidate = false;
    l->vacant_since = now; /* the next try waits its turn again */
    if (result == PM_STORE_OK) {
        l->leads = true;
        l->mine = l->epoch = attempt->epoch;
        l->mine_revision = l->epoch_revision = store_revision;
        l->lease_id = attempt->lease_id;
        l->renewed = l->checked = l->epoch_at = now;
        l->confirmed = l->sure_since = l->caught_up_at = attempt->sent; /* no say before `reach` */
        l->ack_at = l->first_ack_at = pm_election_quorum(l) <= 1 ? now : 0;
        l->ack_epoch = l->mine;
        l->block_revision = 0;
        l->asked = 0;
        memset(l->acked, 0, sizeof l->acked);
        l->reach = store_revision;
        pm_info("election.elected", "epoch %llu", (unsigned long long)l->mine);
        pm_store_wait_for_revision(l->store, store_revision, on_reached, l);
    } else {
        pm_debug("election.campaign_failed", "status %d", result);
    }
    g_free(attempt);
}

/* Whether nobody leads: p/lead is free, or its holder is a dead predecessor of this process. */
bool pm_election_is_lock_free(const struct pm_election *l)
{
    return !l->lead_revision ||
           (!strcmp(l->holder, l->settings->name) && strcmp(l->holder_boot, l->boot));
}

static void on_lease_id(void *arg, enum pm_store_result result, uint64_t lease_id)
{
    struct pm_election *l = arg;
    struct pm_txn txn = {0};
    struct attempt *attempt;
    char key[PM_NAME_MAX + 8];

    /* Somebody else may have taken it while this was under way, and the replica know it by now: the
     * transaction below, on what the replica knows, would take it away again. */
    if (result != PM_STORE_OK || !pm_election_is_lock_free(l)) {
        l->candidate = false;
        l->vacant_since = pm_clock_monotonic();
        if (result == PM_STORE_OK)
            pm_store_lease_revoke(l->store, lease_id);
        return;
    }
    attempt = g_new0(struct attempt, 1);
    attempt->lead = l;
    attempt->epoch = MAX(l->epoch, l->heard) + 1;
    attempt->lease_id = lease_id;
    attempt->sent = pm_clock_monotonic();
    pm_txn_compare(&txn, "p/epoch", l->epoch_revision);
    pm_txn_compare(&txn, "p/lead", l->lead_revision);
    put_epoch(l, &txn, attempt->epoch);
    pm_txn_put(&txn, "p/lead");
    pm_put_map(&txn.writes);
    pm_put_pair_text(&txn.writes, "leader", l->settings->name);
    pm_put_pair_text(&txn.writes, "boot", l->boot);
    pm_put_end(&txn.writes);
    pm_txn_put_end(&txn, lease_id);
    /* A leader holds no block: whatever it held becomes the leader's with the same stroke. */
    snprintf(key, sizeof key, "p/b/%s", l->settings->name);
    pm_txn_delete(&txn, key);
    pm_store_commit(l->store, &txn, on_taken, attempt);
}

void pm_election_campaign(struct pm_election *l)
{
    l->candidate = true;
    pm_store_lease_grant(l->store, l->op->leader_ttl_s, on_lease_id, l);
}

/* ---- raising the epoch while leading ---- */

void pm_election_adopt_epoch(struct pm_election *l, uint64_t epoch, uint64_t revision)
{
    l->mine = l->epoch = epoch;
    l->mine_revision = l->epoch_revision = revision;
    l->epoch_at = pm_clock_monotonic();
    /* Acknowledged anew: a holder that lost its block with the old epoch may answer its workers
     * until a majority knows this one. */
    memset(l->acked, 0, sizeof l->acked);
    l->ack_at = pm_election_quorum(l) <= 1 ? pm_clock_monotonic() : 0;
    l->ack_epoch = epoch;
    l->asked = 0;
    pm_info("election.epoch_advanced", "epoch %llu", (unsigned long long)epoch);
    l->hooks.epoch_advanced(l->hooks.arg, epoch);
}

static void on_raised(void *arg, enum pm_store_result result, uint64_t store_revision,
                      const cbor_item_t *failed)
{
    struct attempt *attempt = arg;
    struct pm_election *l = attempt->lead;

    (void)failed;
    l->raising = false;
    if (l->leads && result == PM_STORE_OK && l->mine < attempt->epoch) {
        pm_election_adopt_epoch(l, attempt->epoch, store_revision);
        pm_election_confirm_epoch(l, attempt->sent, store_revision);
    } else if (l->leads && result == PM_STORE_CONFLICT) {
        pm_election_recheck_epoch(l);
    }
    g_free(attempt);
}

void pm_election_advance_epoch(struct pm_election *l, const char *key, uint64_t revision)
{
    struct pm_txn txn = {0};
    struct attempt *attempt;

    if (!l->leads || l->raising || l->reach)
        return;
    l->raising = true;
    attempt = g_new0(struct attempt, 1);
    attempt->lead = l;
    attempt->epoch = MAX(l->mine, l->heard) + 1;
    attempt->sent = pm_clock_monotonic();
    pm_txn_compare(&txn, "p/epoch", l->mine_revision);
    put_epoch(l, &txn, attempt->epoch);
    if (key) {
        pm_txn_compare(&txn, key, revision);
        pm_txn_delete(&txn, key);
    }
    pm_store_commit(l->store, &txn, on_raised, attempt);
}
