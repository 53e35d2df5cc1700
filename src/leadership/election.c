#include "base/clock.h"
#include "base/log.h"
#include "base/protocol.h"
#include "leadership/internal.h"

#include <ev.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define TICK_S 0.1
/* The token is raised this often, in leases. A command that was carried out may be repeated later
 * than a lease after it: for a task that has ended and was forgotten since, a launch would start it
 * anew. By then its worker has taken a later token, or is in a later session. */
#define TOKEN_LEASES 0.7
#define RAISE_PACE_S 1.0
#define STAND_BACK_S 15.0 /* who stepped down leaves the lead to the others for so long */
#define LEADER_S 1.5      /* a leader silent for this long is not reached */
#define STALENESS_S 6.0   /* how old the replica may be of who answers workers, at most */
#define ANNOUNCE_S 0.7    /* until all are known to run this version, they are asked so often */

void pm_election_note_confirmed(struct pm_election *l, double sent)
{
    if (sent > l->confirmed + l->op->confirm_s * (1 - PM_CLOCK_DRIFT_MAX))
        l->sure_since = sent;
    l->confirmed = MAX(l->confirmed, sent);
}

/* ---- knowing what was cancelled ---- */

/* Half of what a cancellation leaves when a lease is taken off, if that is less. */
static double most_staleness(const struct pm_settings *settings)
{
    double spare = (settings->cancel_deadline_s - settings->lease_s) / 2;

    return settings->cancel_deadline_s > 0 && spare > 0 ? MIN(STALENESS_S, spare) : STALENESS_S;
}

double pm_election_staleness_bound_s(const struct pm_settings *settings,
                                     const struct pm_operator_settings *op)
{
    return MAX(most_staleness(settings), op->confirm_s);
}

static void on_caught_up_to(void *arg, bool ok)
{
    struct pm_election *l = arg;

    if (ok)
        l->caught_up_at = MAX(l->caught_up_at, l->reaching_sent);
    l->reaching = 0;
}

/* The state service was at `store_revision` when it answered what was sent at `sent`. Served, we
 * could still be following it through a watch that hangs: the replica has to get there as well. */
static void follow(struct pm_election *l, double sent, uint64_t store_revision)
{
    if (pm_store_is_ready(l->store) && pm_store_revision(l->store) >= store_revision) {
        l->caught_up_at = MAX(l->caught_up_at, sent);
    } else if (!l->reaching) {
        l->reaching = store_revision;
        l->reaching_sent = sent;
        pm_store_wait_for_revision(l->store, store_revision, on_caught_up_to, l);
    }
}

void pm_election_lose_leadership(struct pm_election *l, const char *why)
{
    if (!l->leads)
        return;
    pm_info("election.stepped_down", "epoch %llu: %s", (unsigned long long)l->mine, why);
    l->leads = false;
    l->confirmed = 0;
    l->vacant_since = 0;
    l->hooks.stepped_down(l->hooks.arg);
}

/* ---- confirming it ---- */

/* A transaction failed on our revision, and the replica has caught up with that: it is another's
 * epoch, or our own that was raised by a transaction whose answer we never saw
 * (pm_election_apply_put adopts it). */
static void on_judged(void *arg, bool ok)
{
    struct pm_election *l = arg;

    if (ok && l->leads && l->epoch > l->mine)
        pm_election_lose_leadership(l, "the epoch has moved on");
}

static void on_checked(void *arg, enum pm_store_result result, uint64_t store_revision,
                       const cbor_item_t *failed)
{
    struct attempt *attempt = arg;
    struct pm_election *l = attempt->lead;

    (void)failed;
    l->check_busy = false;
    if (pm_election_may_act(l) && pm_election_acting_epoch(l) == attempt->epoch &&
        l->leads == attempt->leads) {
        if (result == PM_STORE_OK) {
            bool first = !l->confirmed;
            pm_election_confirm_epoch(l, attempt->sent, store_revision);
            if (first)
                l->hooks.epoch_confirmed(l->hooks.arg);
        } else if (result == PM_STORE_CONFLICT && l->leads)
            pm_store_wait_for_revision(l->store, store_revision, on_judged, l);
        else if (result == PM_STORE_CONFLICT)
            l->checked = 0; /* a holder: the watch tells what became of its block */
    }
    g_free(attempt);
}

void pm_election_check_epoch(struct pm_election *l, double now)
{
    struct pm_txn txn = {0};
    struct attempt *attempt = g_new0(struct attempt, 1);

    l->check_busy = true;
    l->checked = now;
    attempt->lead = l;
    attempt->epoch = pm_election_acting_epoch(l);
    attempt->leads = l->leads;
    attempt->sent = now;
    pm_txn_compare(&txn, "p/epoch", l->leads ? l->mine_revision : l->epoch_revision);
    if (!l->leads)
        pm_txn_compare(&txn, l->block_key, l->block_revision);
    pm_store_commit(l->store, &txn, on_checked, attempt);
}

void pm_election_recheck_epoch(struct pm_election *l)
{
    if (l->leads && !l->check_busy && !l->raising)
        pm_election_check_epoch(l, pm_clock_monotonic());
}

static void on_renewed(void *arg, enum pm_store_result result, uint64_t lease_id)
{
    struct pm_election *l = arg;

    l->renew_busy = false;
    if (result == PM_STORE_NOT_FOUND && l->leads && lease_id == l->lease_id)
        pm_election_lose_leadership(l, "the hold has lapsed");
}

/* ---- time ---- */

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
    struct pm_election *l = w->data;
    double now = pm_clock_monotonic();
    double wait;

    (void)loop;
    (void)events;
    if (!pm_store_is_refusing(l->store))
        l->refused_since = 0;
    else if (!l->refused_since)
        l->refused_since = now;
    if (l->refused_since)
        l->sure_since = now;
    if (l->leads && now - l->confirmed > 2 * l->op->leader_ttl_s + l->op->confirm_s) {
        pm_election_lose_leadership(l, "not confirmed for long");
        return;
    }
    if (l->leads && l->settings->lease_s > 0 && !pm_store_is_refusing(l->store) &&
        now - l->epoch_at > TOKEN_LEASES * l->settings->lease_s &&
        now - l->raise_at > RAISE_PACE_S) {
        l->raise_at = now;
        pm_election_advance_epoch(l, NULL, 0);
    }
    if (pm_election_may_act(l) && !l->check_busy && !l->raising &&
        now - MAX(l->confirmed, l->checked) > l->op->confirm_s / 3)
        pm_election_check_epoch(l, now);
    /* In an outage everybody asks: to confirm the epoch, or to tell it from being refused alone. */
    if (((l->leads && !l->ack_at) || pm_store_is_refusing(l->store)) &&
        now - l->asked > l->op->confirm_s / 4)
        pm_election_poll_peers(l, now);
    if (l->common_version < PM_PROTOCOL_VERSION) {
        pm_election_publish_version(l, now);
        if (now - l->asked > ANNOUNCE_S)
            pm_election_poll_peers(l, now);
    }
    if (l->links.encode_views && now - l->asked > l->links.poll_interval_s)
        pm_election_poll_peers(l, now);
    if (l->leads) {
        if (!l->renew_busy && now - l->renewed > l->op->leader_ttl_s / 3.5) {
            l->renew_busy = true;
            l->renewed = now;
            pm_store_lease_keep_alive(l->store, l->lease_id, on_renewed, l);
        }
        return;
    }
    if (l->candidate || !pm_store_is_ready(l->store) || !pm_election_is_lock_free(l)) {
        l->vacant_since = 0;
        return;
    }
    if (!l->vacant_since)
        l->vacant_since = now;
    if (now < l->standing_back_until && now - l->vacant_since < 4)
        return;
    /* A little apart by name, so that two that see it free at once seldom collide. */
    wait = 0.02 + 0.15 * (g_str_hash(l->settings->name) % 3);
    if (l->links.candidate_wait_s)
        wait += l->links.candidate_wait_s(l->links.arg);
    if (now - l->vacant_since < wait)
        return;
    pm_election_campaign(l);
}

void pm_election_apply_put(struct pm_election *l, const char *key, const cbor_item_t *value,
                           uint64_t revision)
{
    char leader[PM_NAME_MAX] = "";
    char boot[24] = "";
    uint64_t epoch;
    int peer;

    if (!strncmp(key, "p/speaks/", 9)) {
        if (!pm_cbor_read_count(pm_cbor_get(value, "version"), &epoch))
            return;
        l->version_announced |= !strcmp(key + 9, l->settings->name) && epoch >= PM_PROTOCOL_VERSION;
        peer = pm_settings_find_peer(l->settings, key + 9);
        if (peer >= 0)
            l->peer_version[peer] =
                (unsigned)MAX(l->peer_version[peer], MIN(epoch, PM_PROTOCOL_VERSION));
        return;
    }
    if (!strcmp(key, "p/speaks")) {
        if (pm_cbor_read_count(pm_cbor_get(value, "version"), &epoch) &&
            epoch > l->common_version) {
            l->common_version = (unsigned)MIN(epoch, PM_PROTOCOL_VERSION);
            pm_info("election.protocol_version", "every controller runs protocol version %u",
                    l->common_version);
        }
        return;
    }
    pm_cbor_read_text(pm_cbor_get(value, "leader"), leader, sizeof leader);
    pm_cbor_read_text(pm_cbor_get(value, "boot"), boot, sizeof boot);
    if (!strcmp(key, "p/epoch")) {
        if (revision < l->epoch_revision ||
            !pm_cbor_read_count(pm_cbor_get(value, "epoch"), &epoch))
            return;
        l->epoch = epoch;
        l->epoch_revision = revision;
        if (l->leads && epoch > l->mine && strcmp(boot, l->boot)) {
            pm_election_lose_leadership(l, "another one leads");
        } else if (l->leads && epoch > l->mine) {
            pm_election_adopt_epoch(l, epoch, revision);
        } else if (!l->leads && l->block_revision && !l->check_busy) {
            pm_election_check_epoch(l, pm_clock_monotonic());
        }
    } else if (!strcmp(key, "p/lead") && revision >= l->lead_revision) {
        l->lead_revision = revision;
        g_strlcpy(l->holder, leader, sizeof l->holder);
        g_strlcpy(l->holder_boot, boot, sizeof l->holder_boot);
    }
}

void pm_election_apply_delete(struct pm_election *l, const char *key, uint64_t revision)
{
    if (!strcmp(key, "p/lead") && revision >= l->lead_revision) {
        l->lead_revision = 0;
        l->holder[0] = 0;
    }
}

void pm_election_step_down(struct pm_election *l, const char *why)
{
    if (!l->leads)
        return;
    l->standing_back_until = pm_clock_monotonic() + STAND_BACK_S;
    pm_store_lease_revoke(l->store, l->lease_id);
    pm_election_lose_leadership(l, why);
}

void pm_election_snapshot_begin(struct pm_election *l)
{
    l->lead_revision = 0;
    l->holder[0] = 0;
}

uint64_t pm_election_epoch(const struct pm_election *l)
{
    return pm_election_acting_epoch(l);
}

uint64_t pm_election_epoch_revision(const struct pm_election *l)
{
    return l->leads ? l->mine_revision : l->epoch_revision;
}

bool pm_election_is_refused_alone(const struct pm_election *l, double now)
{
    return pm_store_is_refusing(l->store) && l->peer_served > 0 && now - l->peer_served < 2.5;
}

const char *pm_election_incarnation_id(const struct pm_election *l)
{
    return l->boot;
}

void pm_election_set_owned_shard(struct pm_election *l, const char *key, uint64_t revision)
{
    if (l->leads || revision == l->block_revision)
        return;
    /* A block that is written anew but stays ours keeps its confirmation: whoever takes it away has
     * to wait until our last one is old anyway. A new block needs one first. */
    if (!l->block_revision || !revision)
        l->confirmed = 0;
    l->block_revision = revision;
    if (!revision)
        return;
    g_strlcpy(l->block_key, key, sizeof l->block_key);
    if (!l->check_busy)
        pm_election_check_epoch(l, pm_clock_monotonic());
}

double pm_election_confirmation_deadline(const struct pm_election *l)
{
    return MIN(l->confirmed + l->op->confirm_s * (1 - PM_CLOCK_DRIFT_MAX),
               l->caught_up_at + most_staleness(l->settings) * (1 - PM_CLOCK_DRIFT_MAX));
}

bool pm_election_is_confirmed(const struct pm_election *l, double now)
{
    return pm_election_may_act(l) && !l->reach && now < pm_election_confirmation_deadline(l);
}

double pm_election_outage_renewal_deadline(const struct pm_election *l)
{
    return l->renewal_confirmed + l->op->confirm_s * (1 - PM_CLOCK_DRIFT_MAX);
}

void pm_election_confirm_epoch(struct pm_election *l, double sent, uint64_t store_revision)
{
    if (!pm_election_may_act(l))
        return;
    pm_election_note_confirmed(l, sent);
    follow(l, sent, store_revision);
}

bool pm_election_may_renew_in_outage(const struct pm_election *l, double now)
{
    return !l->leads && l->refused_since && l->epoch && l->heard <= l->epoch &&
           now < pm_election_outage_renewal_deadline(l) && now - l->leader_heard > LEADER_S;
}

double pm_election_exclusive_since(const struct pm_election *l)
{
    return l->sure_since +
           (l->op->confirm_s + PM_ELECTION_REFUSAL_MAX_AGE_S) * (1 + PM_CLOCK_DRIFT_MAX) + TICK_S;
}

const char *pm_election_other_leader(const struct pm_election *l)
{
    if (l->leads || !l->lead_revision || !strcmp(l->holder, l->settings->name))
        return NULL;
    return l->holder;
}

double pm_election_lease_lower_bound(const struct pm_election *l, uint64_t epoch)
{
    double at = epoch ? l->ack_at : l->first_ack_at;

    if (!l->leads || !at || epoch > l->ack_epoch)
        return INFINITY;
    return at + l->op->confirm_s * (1 + PM_CLOCK_DRIFT_MAX);
}

struct pm_election *pm_election_new(struct ev_loop *loop, struct pm_store *store,
                                    struct pm_http_client *http, const struct pm_settings *settings,
                                    const struct pm_operator_settings *op,
                                    const struct pm_election_hooks *hooks)
{
    struct pm_election *l = g_new0(struct pm_election, 1);

    l->loop = loop;
    l->store = store;
    l->http = http;
    l->settings = settings;
    l->op = op;
    l->hooks = *hooks;
    snprintf(l->boot, sizeof l->boot, "%08x%08x", g_random_int(), g_random_int());
    ev_timer_init(&l->tick, on_tick, 0.05, TICK_S);
    l->tick.data = l;
    ev_timer_start(loop, &l->tick);
    return l;
}

void pm_election_attach_links(struct pm_election *l, const struct pm_election_links *links)
{
    l->links = *links;
}

void pm_election_free(struct pm_election *l)
{
    ev_timer_stop(l->loop, &l->tick);
    g_free(l);
}
