/* Who holds the duties: the lease, taking, giving up. */
#include "roles/internal.h"
#include "base/clock.h"

#include <stdio.h>
#include <string.h>

#define RENEW_SHARE 3.5     /* renewed so many times within a lease */
#define STAND_BACK_S 15.0   /* who was drained leaves the duty to the others for so long */
#define VACANT_S 0.6        /* a duty of no leader's is free for this long before it is taken, */
#define LEADER_VACANT_S 4.0 /* by the leader, which has other work, later */
#define RETRY_S 0.5

bool pm_roles_are_active(const struct pm_roles *d)
{
    return d->grounds.is_supported && (d->setting->enabled || g_hash_table_size(d->intents) > 0);
}

uint64_t pm_roles_token(const struct pm_roles *d, enum pm_role duty)
{
    return d->duty[duty].token;
}

double pm_roles_valid_until(const struct pm_roles *d, enum pm_role duty)
{
    return d->duty[duty].token ? d->valid_until : 0;
}

bool pm_roles_holds(const struct pm_roles *d, enum pm_role duty, double now)
{
    return now < pm_roles_valid_until(d, duty);
}

bool pm_roles_follows_lead(enum pm_role duty)
{
    return duty != PM_ROLE_GARBAGE_COLLECTION;
}

void pm_role_key(enum pm_role duty, char *out, size_t size)
{
    snprintf(out, size, PM_ROLE_KEY_PREFIX "%s", pm_role_name(duty));
}

void pm_role_drain_key(enum pm_role duty, char *out, size_t size)
{
    snprintf(out, size, PM_ROLE_DRAIN_KEY_PREFIX "%s", pm_role_name(duty));
}

void pm_roles_lose(struct pm_roles *d, enum pm_role duty, const char *why)
{
    if (!d->duty[duty].token)
        return;
    pm_roles_log_change(d, duty, "lost", d->duty[duty].token, why);
    d->duty[duty].token = 0;
    d->duty[duty].held_since = pm_clock_monotonic();
}

void pm_roles_acquire(struct pm_roles *d, enum pm_role duty, uint64_t token)
{
    struct duty *own = &d->duty[duty];

    if (own->token >= token)
        return;
    own->token = own->revision = token;
    g_strlcpy(own->holder, d->settings->name, sizeof own->holder);
    g_strlcpy(own->boot, d->boot, sizeof own->boot);
    own->held_since = pm_clock_monotonic();
    pm_roles_log_change(d, duty, "taken", token, "");
}

bool pm_roles_is_ours(const struct pm_roles *d, const struct duty *duty)
{
    return duty->revision && !strcmp(duty->holder, d->settings->name) &&
           !strcmp(duty->boot, d->boot);
}

/* ---- the lease ---- */

/* Counted from when the request left, by the slower of the two clocks. */
static void extend_lease(struct pm_roles *d)
{
    d->valid_until = d->lease_sent + d->setting->ttl_s * (1 - 2 * PM_CLOCK_DRIFT_MAX);
}

static void on_held(void *arg, enum pm_store_result result, uint64_t lease_id)
{
    struct pm_roles *d = arg;

    d->hold_busy = false;
    if (result != PM_STORE_OK)
        return;
    d->lease_id = lease_id;
    extend_lease(d);
    pm_roles_tick(d, &d->grounds, pm_clock_monotonic());
}

static void on_renewed(void *arg, enum pm_store_result result, uint64_t lease_id)
{
    struct pm_roles *d = arg;

    d->renew_busy = false;
    if (lease_id != d->lease_id)
        return;
    if (result == PM_STORE_OK) {
        extend_lease(d);
    } else if (result == PM_STORE_NOT_FOUND) {
        d->lease_id = 0;
        d->valid_until = 0;
        for (int duty = 0; duty < PM_ROLE_COUNT; duty++)
            pm_roles_lose(d, (enum pm_role)duty, "the lease has ended");
    }
}

void pm_roles_keep_lease_alive(struct pm_roles *d, double now)
{
    if (d->hold_busy || d->renew_busy || now < d->renew_at)
        return;
    d->lease_sent = now;
    d->renew_at = now + (d->lease_id ? d->setting->ttl_s / RENEW_SHARE : RETRY_S);
    if (d->lease_id) {
        d->renew_busy = true;
        pm_store_lease_keep_alive(d->store, d->lease_id, on_renewed, d);
    } else {
        d->hold_busy = true;
        pm_store_lease_grant(d->store, d->setting->ttl_s, on_held, d);
    }
}

/* ---- taking ---- */

struct taking {
    struct pm_roles *duties;
    bool duty[PM_ROLE_COUNT];
    uint64_t lease_id;
    bool led;
};

static void on_taken(void *arg, enum pm_store_result result, uint64_t store_revision,
                     const cbor_item_t *failed)
{
    struct taking *taking = arg;
    struct pm_roles *d = taking->duties;
    bool current = taking->lease_id == d->lease_id && (!taking->led || d->grounds.is_leader);

    (void)failed;
    for (int duty = 0; duty < PM_ROLE_COUNT; duty++) {
        if (!taking->duty[duty])
            continue;
        d->duty[duty].taking = false;
        if (result == PM_STORE_OK && current)
            pm_roles_acquire(d, (enum pm_role)duty, store_revision);
    }
    if (result == PM_STORE_OK && current)
        d->hooks.acquired(d->hooks.arg);
    g_free(taking);
}

static void put_duty(struct pm_roles *d, struct pm_txn *txn, enum pm_role duty)
{
    const struct duty *known = &d->duty[duty];
    char key[PM_NAME_MAX];

    pm_role_key(duty, key, sizeof key);
    pm_txn_compare(txn, key, known->revision);
    pm_txn_put(txn, key);
    pm_put_map(&txn->writes);
    pm_put_pair_text(&txn->writes, "holder", d->settings->name);
    pm_put_pair_text(&txn->writes, "boot", d->boot);
    pm_put_pair_count(&txn->writes, "lease", d->lease_id);
    pm_put_end(&txn->writes);
    pm_txn_put_end(txn, d->lease_id);
    if (known->drain_revision) { /* it was meant for the holder before */
        pm_role_drain_key(duty, key, sizeof key);
        pm_txn_compare(txn, key, known->drain_revision);
        pm_txn_delete(txn, key);
    }
}

/* Takes all of these in one transaction. */
static void take(struct pm_roles *d, const bool *wanted, bool as_leader)
{
    struct taking *taking = g_new0(struct taking, 1);
    struct pm_txn txn = {0};

    taking->duties = d;
    taking->lease_id = d->lease_id;
    taking->led = as_leader;
    if (as_leader)
        pm_txn_compare(&txn, "p/epoch", d->grounds.epoch_revision);
    for (int duty = 0; duty < PM_ROLE_COUNT; duty++) {
        if (!wanted[duty])
            continue;
        taking->duty[duty] = d->duty[duty].taking = true;
        put_duty(d, &txn, (enum pm_role)duty);
    }
    pm_store_commit(d->store, &txn, on_taken, taking);
}

/* The leader takes what follows the lead from whoever has it: the epoch says that it may. */
void pm_roles_acquire_as_leader(struct pm_roles *d)
{
    bool wanted[PM_ROLE_COUNT] = {false};
    bool any = false;

    for (int duty = 0; duty < PM_ROLE_COUNT; duty++) {
        const struct duty *own = &d->duty[duty];
        wanted[duty] = pm_roles_follows_lead((enum pm_role)duty) && !own->token && !own->taking &&
                       !own->unreadable;
        any |= wanted[duty];
    }
    if (any)
        take(d, wanted, true);
}

static bool is_vacant(const struct pm_roles *d, const struct duty *duty)
{
    return !duty->unreadable && (!duty->revision || (!strcmp(duty->holder, d->settings->name) &&
                                                     strcmp(duty->boot, d->boot) != 0));
}

void pm_roles_acquire_if_vacant(struct pm_roles *d, enum pm_role duty, double now)
{
    struct duty *own = &d->duty[duty];
    bool wanted[PM_ROLE_COUNT] = {false};

    if (own->token || own->taking || !is_vacant(d, own)) {
        own->vacant_since = 0;
        return;
    }
    if (!own->vacant_since)
        own->vacant_since = now;
    if (now < own->stand_back_until ||
        now - own->vacant_since < (d->grounds.is_leader ? LEADER_VACANT_S : VACANT_S))
        return;
    wanted[duty] = true;
    take(d, wanted, false);
}

/* ---- giving up ---- */

struct giving {
    struct pm_roles *duties;
    enum pm_role duty;
    uint64_t token;
};

void pm_roles_drained(struct pm_roles *d, enum pm_role duty)
{
    d->duty[duty].stand_back_until = pm_clock_monotonic() + STAND_BACK_S;
    pm_roles_lose(d, duty, "drained");
    d->hooks.drained(d->hooks.arg, duty);
}

static void on_given_up(void *arg, enum pm_store_result result, uint64_t store_revision,
                        const cbor_item_t *failed)
{
    struct giving *giving = arg;
    struct pm_roles *d = giving->duties;

    (void)store_revision;
    (void)failed;
    d->duty[giving->duty].draining = false;
    if (result == PM_STORE_OK && d->duty[giving->duty].token == giving->token)
        pm_roles_drained(d, giving->duty);
    g_free(giving);
}

/* The duty and the request for it go in one transaction. */
void pm_roles_drain_if_asked(struct pm_roles *d, enum pm_role duty)
{
    struct duty *own = &d->duty[duty];
    struct giving *giving;
    struct pm_txn txn = {0};
    char key[PM_NAME_MAX];

    if (!own->token || own->draining || own->drain_token != own->token)
        return;
    own->draining = true;
    giving = g_new(struct giving, 1);
    *giving = (struct giving){d, duty, own->token};
    pm_role_key(duty, key, sizeof key);
    pm_txn_compare(&txn, key, own->token);
    pm_txn_delete(&txn, key);
    pm_role_drain_key(duty, key, sizeof key);
    pm_txn_compare(&txn, key, own->drain_revision);
    pm_txn_delete(&txn, key);
    pm_store_commit(d->store, &txn, on_given_up, giving);
}
