#include "duties/duties.h"
#include "base/clock.h"
#include "base/log.h"
#include "duties/record.h"
#include "links/trace.h"

#include <stdio.h>
#include <string.h>

#define RENEW_SHARE 3.5     /* renewed so many times within a lease */
#define STAND_BACK_S 15.0   /* who was drained leaves the duty to the others for so long */
#define VACANT_S 0.6        /* a duty of no leader's is free for this long before it is taken, */
#define LEADER_VACANT_S 4.0 /* by the leader, which has other work, later */
#define RETRY_S 0.5

enum {
    PROCESS_SIZE = 24,
    CLOSED_AT_ONCE = 8, /* intents that are dropped together, unless the clock comes first */
    CLOSING_MOST = 32   /* that wait for room in the write budget */
};

/* One duty: as the replica knows it, and what we have of it. */
struct duty {
    uint64_t revision; /* 0: nobody holds it */
    char holder[PM_NAME_MAX], boot[PROCESS_SIZE];
    uint64_t drain_revision, drain_token;
    uint64_t token; /* ours, 0: not held */
    bool taking, draining, unreadable;
    double vacant_since, stand_back_until; /* steady */
    double held_since;                     /* steady: since when the holder is as it is */
};

struct pm_duties {
    struct pm_store *store;
    const struct pm_settings *settings;
    const struct pm_duties_setting *setting;
    const char *boot;
    struct pm_links_trace *trace;
    struct pm_record *record;
    struct pm_duties_hooks hooks;
    struct pm_duties_grounds grounds;
    struct duty duty[PM_SINGLE_DUTIES];
    bool others_began; /* another controller has written duties or intents */
    uint64_t lease_id; /* 0: none */
    double lease_sent, renew_at, valid_until;
    bool hold_busy, renew_busy;
    GHashTable *intents; /* name to struct pm_intent: open */
    GHashTable *writing; /* name to struct writing */
    GHashTable *listed;  /* names that the listing under way has told, NULL: none is */
    uint64_t last_number;
    bool closing_busy[PM_SINGLE_DUTIES];
};

struct writing {
    struct pm_duties *duties;
    struct pm_intent *intent;
    bool seen; /* the watch has told of it before the answer came */
    pm_intended *done;
    void *arg;
};

/* ---- telling ---- */

void pm_duties_note(struct pm_duties *d, enum pm_single_duty duty, const char *event,
                    const char *name, const char *detail)
{
    const char *duty_name = pm_single_duty_name(duty);

    if (d->trace)
        pm_links_trace_change(d->trace, "intent", name, duty_name, event, detail);
    if (d->record)
        pm_record_tell(d->record, event, duty_name, name, detail);
}

static void note_duty(struct pm_duties *d, enum pm_single_duty duty, const char *event,
                      uint64_t token, const char *why)
{
    char text[32];

    snprintf(text, sizeof text, "%llu", (unsigned long long)token);
    pm_info("duty.change", "%s %s, token %s%s%s", pm_single_duty_name(duty), event, text,
            *why ? ": " : "", why);
    if (d->trace)
        pm_links_trace_change(d->trace, "duty", pm_single_duty_name(duty), text, event, why);
    if (d->record)
        pm_record_tell(d->record, event, pm_single_duty_name(duty), text, why);
}

/* ---- holding ---- */

bool pm_duties_active(const struct pm_duties *d)
{
    return d->grounds.supported && (d->setting->fence || d->others_began);
}

uint64_t pm_duties_token(const struct pm_duties *d, enum pm_single_duty duty)
{
    return d->duty[duty].token;
}

double pm_duties_valid_until(const struct pm_duties *d, enum pm_single_duty duty)
{
    return d->duty[duty].token ? d->valid_until : 0;
}

bool pm_duties_holds(const struct pm_duties *d, enum pm_single_duty duty, double now)
{
    return now < pm_duties_valid_until(d, duty);
}

static bool follows_lead(enum pm_single_duty duty)
{
    return duty != PM_SINGLE_CLEAN;
}

static void duty_key(enum pm_single_duty duty, char *out, size_t size)
{
    snprintf(out, size, PM_DUTY_PREFIX "%s", pm_single_duty_name(duty));
}

static void drain_key(enum pm_single_duty duty, char *out, size_t size)
{
    snprintf(out, size, PM_DRAIN_PREFIX "%s", pm_single_duty_name(duty));
}

static void lose(struct pm_duties *d, enum pm_single_duty duty, const char *why)
{
    if (!d->duty[duty].token)
        return;
    note_duty(d, duty, "lost", d->duty[duty].token, why);
    d->duty[duty].token = 0;
    d->duty[duty].held_since = pm_clock_steady();
}

static void gain(struct pm_duties *d, enum pm_single_duty duty, uint64_t token)
{
    struct duty *own = &d->duty[duty];

    if (own->token >= token)
        return;
    own->token = own->revision = token;
    g_strlcpy(own->holder, d->settings->name, sizeof own->holder);
    g_strlcpy(own->boot, d->boot, sizeof own->boot);
    own->held_since = pm_clock_steady();
    note_duty(d, duty, "taken", token, "");
}

static bool is_ours(const struct pm_duties *d, const struct duty *duty)
{
    return duty->revision && !strcmp(duty->holder, d->settings->name) &&
           !strcmp(duty->boot, d->boot);
}

/* ---- the lease ---- */

/* Counted from when the request left, by the slower of the two clocks. */
static void extend_lease(struct pm_duties *d)
{
    d->valid_until = d->lease_sent + d->setting->ttl_s * (1 - 2 * PM_DRIFT);
}

static void on_held(void *arg, int status, uint64_t lease_id)
{
    struct pm_duties *d = arg;

    d->hold_busy = false;
    if (status != 200)
        return;
    d->lease_id = lease_id;
    extend_lease(d);
    pm_duties_tick(d, &d->grounds, pm_clock_steady());
}

static void on_renewed(void *arg, int status, uint64_t lease_id)
{
    struct pm_duties *d = arg;

    d->renew_busy = false;
    if (lease_id != d->lease_id)
        return;
    if (status == 200) {
        extend_lease(d);
    } else if (status == 404) {
        d->lease_id = 0;
        d->valid_until = 0;
        for (int duty = 0; duty < PM_SINGLE_DUTIES; duty++)
            lose(d, (enum pm_single_duty)duty, "the lease has ended");
    }
}

static void keep_lease(struct pm_duties *d, double now)
{
    if (d->hold_busy || d->renew_busy || now < d->renew_at)
        return;
    d->lease_sent = now;
    d->renew_at = now + (d->lease_id ? d->setting->ttl_s / RENEW_SHARE : RETRY_S);
    if (d->lease_id) {
        d->renew_busy = true;
        pm_store_renew(d->store, d->lease_id, on_renewed, d);
    } else {
        d->hold_busy = true;
        pm_store_hold(d->store, d->setting->ttl_s, on_held, d);
    }
}

/* ---- taking ---- */

struct taking {
    struct pm_duties *duties;
    bool duty[PM_SINGLE_DUTIES];
    uint64_t lease_id;
    bool led;
};

static void on_taken(void *arg, int status, uint64_t store_revision, const cbor_item_t *failed)
{
    struct taking *taking = arg;
    struct pm_duties *d = taking->duties;
    bool current = taking->lease_id == d->lease_id && (!taking->led || d->grounds.leads);

    (void)failed;
    for (int duty = 0; duty < PM_SINGLE_DUTIES; duty++) {
        if (!taking->duty[duty])
            continue;
        d->duty[duty].taking = false;
        if (status == 200 && current)
            gain(d, (enum pm_single_duty)duty, store_revision);
    }
    if (status == 200 && current)
        d->hooks.taken(d->hooks.arg);
    g_free(taking);
}

static void put_duty(struct pm_duties *d, struct pm_txn *txn, enum pm_single_duty duty)
{
    const struct duty *known = &d->duty[duty];
    char key[PM_NAME_MAX];

    duty_key(duty, key, sizeof key);
    pm_txn_if(txn, key, known->revision);
    pm_txn_put(txn, key);
    pm_put_map(&txn->writes);
    pm_put_pair_text(&txn->writes, "holder", d->settings->name);
    pm_put_pair_text(&txn->writes, "boot", d->boot);
    pm_put_pair_count(&txn->writes, "lease", d->lease_id);
    pm_put_end(&txn->writes);
    pm_txn_put_end(txn, d->lease_id);
    if (known->drain_revision) { /* it was meant for the holder before */
        drain_key(duty, key, sizeof key);
        pm_txn_if(txn, key, known->drain_revision);
        pm_txn_drop(txn, key);
    }
}

/* Takes all of these in one transaction. */
static void take(struct pm_duties *d, const bool *wanted, bool as_leader)
{
    struct taking *taking = g_new0(struct taking, 1);
    struct pm_txn txn = {0};

    taking->duties = d;
    taking->lease_id = d->lease_id;
    taking->led = as_leader;
    if (as_leader)
        pm_txn_if(&txn, "p/epoch", d->grounds.epoch_revision);
    for (int duty = 0; duty < PM_SINGLE_DUTIES; duty++) {
        if (!wanted[duty])
            continue;
        taking->duty[duty] = d->duty[duty].taking = true;
        put_duty(d, &txn, (enum pm_single_duty)duty);
    }
    pm_store_commit(d->store, &txn, on_taken, taking);
}

/* The leader takes what follows the lead from whoever has it: the epoch says that it may. */
static void take_as_leader(struct pm_duties *d)
{
    bool wanted[PM_SINGLE_DUTIES] = {false};
    bool any = false;

    for (int duty = 0; duty < PM_SINGLE_DUTIES; duty++) {
        const struct duty *own = &d->duty[duty];
        wanted[duty] = follows_lead((enum pm_single_duty)duty) && !own->token && !own->taking &&
                       !own->unreadable;
        any |= wanted[duty];
    }
    if (any)
        take(d, wanted, true);
}

static bool is_vacant(const struct pm_duties *d, const struct duty *duty)
{
    return !duty->unreadable && (!duty->revision || (!strcmp(duty->holder, d->settings->name) &&
                                                     strcmp(duty->boot, d->boot) != 0));
}

static void take_if_vacant(struct pm_duties *d, enum pm_single_duty duty, double now)
{
    struct duty *own = &d->duty[duty];
    bool wanted[PM_SINGLE_DUTIES] = {false};

    if (own->token || own->taking || !is_vacant(d, own)) {
        own->vacant_since = 0;
        return;
    }
    if (!own->vacant_since)
        own->vacant_since = now;
    if (now < own->stand_back_until ||
        now - own->vacant_since < (d->grounds.leads ? LEADER_VACANT_S : VACANT_S))
        return;
    wanted[duty] = true;
    take(d, wanted, false);
}

/* ---- giving up ---- */

struct giving {
    struct pm_duties *duties;
    enum pm_single_duty duty;
    uint64_t token;
};

static void given_up(struct pm_duties *d, enum pm_single_duty duty)
{
    d->duty[duty].stand_back_until = pm_clock_steady() + STAND_BACK_S;
    lose(d, duty, "drained");
    d->hooks.drained(d->hooks.arg, duty);
}

static void on_given_up(void *arg, int status, uint64_t store_revision, const cbor_item_t *failed)
{
    struct giving *giving = arg;
    struct pm_duties *d = giving->duties;

    (void)store_revision;
    (void)failed;
    d->duty[giving->duty].draining = false;
    if (status == 200 && d->duty[giving->duty].token == giving->token)
        given_up(d, giving->duty);
    g_free(giving);
}

/* The duty and the request for it go in one transaction. */
static void drain_if_asked(struct pm_duties *d, enum pm_single_duty duty)
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
    duty_key(duty, key, sizeof key);
    pm_txn_if(&txn, key, own->token);
    pm_txn_drop(&txn, key);
    drain_key(duty, key, sizeof key);
    pm_txn_if(&txn, key, own->drain_revision);
    pm_txn_drop(&txn, key);
    pm_store_commit(d->store, &txn, on_given_up, giving);
}

/* ---- intents ---- */

static void on_intent_written(void *arg, int status, uint64_t store_revision,
                              const cbor_item_t *failed)
{
    struct writing *writing = arg;
    struct pm_duties *d = writing->duties;
    struct pm_intent *intent = writing->intent;

    (void)failed;
    g_hash_table_remove(d->writing, intent->name);
    if (status == 200 || writing->seen) {
        if (status == 200)
            intent->revision = store_revision;
        intent->busy = true;
        g_hash_table_replace(d->intents, intent->name, intent);
        pm_duties_note(d, intent->duty, "intended", intent->name, "");
        writing->done(writing->arg, intent->name);
    } else {
        pm_duties_note(d, intent->duty, status == 409 ? "refused" : "unwritten", intent->name, "");
        writing->done(writing->arg, NULL);
        pm_intent_free(intent); /* written after all, the watch will tell of it */
    }
    g_free(writing);
}

bool pm_duties_intend(struct pm_duties *d, struct pm_intent *intent, pm_intended *done, void *arg,
                      double now)
{
    enum pm_single_duty duty = intent->duty;
    struct writing *writing;
    struct pm_txn txn = {0};
    char key[sizeof PM_INTENT_PREFIX + PM_INTENT_NAME];

    if (!pm_duties_holds(d, duty, now) || !d->grounds.leads) {
        pm_intent_free(intent);
        return false;
    }
    pm_intent_set_name(intent, d->duty[duty].token, ++d->last_number);
    writing = g_new0(struct writing, 1);
    *writing = (struct writing){d, intent, false, done, arg};
    g_hash_table_replace(d->writing, intent->name, writing);
    duty_key(duty, key, sizeof key);
    pm_txn_if(&txn, key, d->duty[duty].token);
    pm_txn_if(&txn, "p/epoch", d->grounds.epoch_revision);
    snprintf(key, sizeof key, PM_INTENT_PREFIX "%s", intent->name);
    pm_txn_if(&txn, key, 0);
    pm_txn_put(&txn, key);
    pm_intent_write(intent, &txn.writes);
    pm_txn_put_end(&txn, 0);
    pm_store_commit(d->store, &txn, on_intent_written, writing);
    return true;
}

static gint by_revision(gconstpointer a, gconstpointer b)
{
    const struct pm_intent *x = *(const struct pm_intent *const *)a;
    const struct pm_intent *y = *(const struct pm_intent *const *)b;

    return x->revision < y->revision ? -1 : x->revision > y->revision;
}

GPtrArray *pm_duties_open(const struct pm_duties *d, enum pm_single_duty duty)
{
    GPtrArray *open = g_ptr_array_new();
    GHashTableIter iter;
    gpointer intent;

    g_hash_table_iter_init(&iter, d->intents);
    while (g_hash_table_iter_next(&iter, NULL, &intent))
        if (((struct pm_intent *)intent)->duty == duty)
            g_ptr_array_add(open, intent);
    g_ptr_array_sort(open, by_revision);
    return open;
}

struct pm_intent *pm_duties_find(const struct pm_duties *d, const char *name)
{
    return g_hash_table_lookup(d->intents, name);
}

void pm_duties_forget_calls(struct pm_duties *d)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, d->intents);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pm_intent *intent = value;
        intent->busy = false;
        intent->retry_at = 0;
        for (guint i = 0; i < intent->rentals->len; i++)
            g_array_index(intent->rentals, struct pm_intent_rental, i).busy = false;
    }
}

/* ---- closing ---- */

struct closing {
    struct pm_duties *duties;
    enum pm_single_duty duty;
    GPtrArray *names;
};

static void on_closed(void *arg, int status, uint64_t store_revision, const cbor_item_t *failed)
{
    struct closing *closing = arg;
    struct pm_duties *d = closing->duties;

    (void)store_revision;
    (void)failed;
    d->closing_busy[closing->duty] = false;
    for (guint i = 0; status == 200 && i < closing->names->len; i++) {
        const char *name = g_ptr_array_index(closing->names, i);
        pm_duties_note(d, closing->duty, "closed", name, "");
        g_hash_table_remove(d->intents, name);
    }
    g_ptr_array_free(closing->names, TRUE);
    g_free(closing);
}

/* How many of the duty's open intents are closing. */
static unsigned count_closing(const struct pm_duties *d, enum pm_single_duty duty)
{
    GHashTableIter iter;
    gpointer value;
    unsigned closing = 0;

    g_hash_table_iter_init(&iter, d->intents);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct pm_intent *intent = value;
        closing += intent->closing && intent->duty == duty;
    }
    return closing;
}

/* Drops what is closing, as many as one transaction takes. It can wait for room in the write
 * budget, though not for ever. */
static void drop_closed(struct pm_duties *d, enum pm_single_duty duty, double now)
{
    GPtrArray *open;
    struct closing *closing;
    struct pm_txn txn = {0};
    char key[sizeof PM_INTENT_PREFIX + PM_INTENT_NAME];
    unsigned due = count_closing(d, duty);
    int most = due >= CLOSING_MOST ? d->settings->txn_ops
                                   : MIN(pm_store_room(d->store, now), d->settings->txn_ops);

    if (!due || d->closing_busy[duty] || !pm_duties_holds(d, duty, now) || most < 1)
        return;
    open = pm_duties_open(d, duty);
    closing = g_new(struct closing, 1);
    *closing = (struct closing){d, duty, g_ptr_array_new_with_free_func(g_free)};
    duty_key(duty, key, sizeof key);
    pm_txn_if(&txn, key, d->duty[duty].token);
    for (guint i = 0; i < open->len && closing->names->len < (guint)most; i++) {
        const struct pm_intent *intent = g_ptr_array_index(open, i);
        if (!intent->closing)
            continue;
        snprintf(key, sizeof key, PM_INTENT_PREFIX "%s", intent->name);
        pm_txn_if(&txn, key, intent->revision);
        pm_txn_drop(&txn, key);
        g_ptr_array_add(closing->names, g_strdup(intent->name));
    }
    g_ptr_array_free(open, TRUE);
    d->closing_busy[duty] = true;
    pm_store_commit(d->store, &txn, on_closed, closing);
}

void pm_duties_close(struct pm_duties *d, const char *name, double now)
{
    struct pm_intent *intent = pm_duties_find(d, name);

    if (!intent)
        return;
    intent->busy = false;
    intent->closing = true;
    if (count_closing(d, intent->duty) >= CLOSED_AT_ONCE)
        drop_closed(d, intent->duty, now);
}

/* ---- time ---- */

void pm_duties_tick(struct pm_duties *d, const struct pm_duties_grounds *grounds, double now)
{
    d->grounds = *grounds;
    for (int duty = 0; duty < PM_SINGLE_DUTIES; duty++)
        if (follows_lead((enum pm_single_duty)duty) && !grounds->leads)
            lose(d, (enum pm_single_duty)duty, "does not lead any more");
    if (!pm_duties_active(d) || !pm_store_ready(d->store))
        return;
    keep_lease(d, now);
    if (!d->lease_id || now >= d->valid_until)
        return;
    if (grounds->leads && grounds->epoch_revision)
        take_as_leader(d);
    take_if_vacant(d, PM_SINGLE_CLEAN, now);
    for (int duty = 0; duty < PM_SINGLE_DUTIES; duty++) {
        drain_if_asked(d, (enum pm_single_duty)duty);
        drop_closed(d, (enum pm_single_duty)duty, now);
    }
}

/* ---- the replica's feed ---- */

static void put_holder(struct pm_duties *d, enum pm_single_duty name, const cbor_item_t *value,
                       uint64_t revision)
{
    struct duty *duty = &d->duty[name];
    uint64_t lease_id = 0;

    if (revision < duty->revision)
        return;
    if (revision > duty->revision)
        duty->held_since = pm_clock_steady();
    duty->revision = revision;
    duty->unreadable =
        pm_cbor_text(pm_cbor_get(value, "holder"), duty->holder, sizeof duty->holder) ||
        pm_cbor_text(pm_cbor_get(value, "boot"), duty->boot, sizeof duty->boot) ||
        pm_cbor_count(pm_cbor_get(value, "lease"), &lease_id);
    if (duty->unreadable) {
        pm_error("duty.unreadable", PM_DUTY_PREFIX "%s: kept, nobody takes the duty",
                 pm_single_duty_name(name));
        duty->holder[0] = duty->boot[0] = 0;
    }
    d->others_began |= strcmp(duty->holder, d->settings->name) != 0;
    if (!is_ours(d, duty)) {
        if (revision > duty->token)
            lose(d, name, "another controller holds it");
    } else if (lease_id == d->lease_id && (d->grounds.leads || !follows_lead(name))) {
        gain(d, name, revision); /* the answer to our transaction may have been lost */
    }
}

static void put_drain(struct pm_duties *d, enum pm_single_duty name, const cbor_item_t *value,
                      uint64_t revision)
{
    struct duty *duty = &d->duty[name];

    duty->drain_revision = revision;
    if (pm_cbor_count(pm_cbor_get(value, "token"), &duty->drain_token)) {
        duty->drain_token = 0;
        pm_error("duty.unreadable", PM_DRAIN_PREFIX "%s: not obeyed", pm_single_duty_name(name));
    }
}

static void put_intent(struct pm_duties *d, const char *key, const cbor_item_t *value,
                       uint64_t revision)
{
    const char *name = key + strlen(PM_INTENT_PREFIX);
    struct writing *writing = g_hash_table_lookup(d->writing, name);
    struct pm_intent *known = g_hash_table_lookup(d->intents, name);
    struct pm_intent *intent;

    d->others_began = true;
    if (d->listed)
        g_hash_table_add(d->listed, g_strdup(name));
    if (writing) {
        writing->seen = true;
        writing->intent->revision = revision;
        return;
    }
    if (known)
        return; /* intents are written once */
    intent = pm_intent_read(key, value, revision);
    if (!intent) {
        pm_error("duty.unreadable", "%s: kept, not carried out", key);
        return;
    }
    g_hash_table_replace(d->intents, intent->name, intent);
}

bool pm_duties_put(struct pm_duties *d, const char *key, const cbor_item_t *value,
                   uint64_t revision)
{
    int duty;

    if (g_str_has_prefix(key, PM_INTENT_PREFIX)) {
        put_intent(d, key, value, revision);
        return true;
    }
    if (g_str_has_prefix(key, PM_DUTY_PREFIX)) {
        duty = pm_single_duty_find(key + strlen(PM_DUTY_PREFIX));
        if (duty >= 0)
            put_holder(d, (enum pm_single_duty)duty, value, revision);
        else
            pm_error("duty.unreadable", "%s: no such duty, kept", key);
        return true;
    }
    if (g_str_has_prefix(key, PM_DRAIN_PREFIX)) {
        duty = pm_single_duty_find(key + strlen(PM_DRAIN_PREFIX));
        if (duty >= 0)
            put_drain(d, (enum pm_single_duty)duty, value, revision);
        return true;
    }
    return false;
}

static void drop_holder(struct pm_duties *d, enum pm_single_duty name, uint64_t revision)
{
    struct duty *duty = &d->duty[name];
    bool was_asked = duty->token && duty->drain_token == duty->token;

    if (revision < duty->revision)
        return;
    duty->revision = 0;
    duty->unreadable = false;
    duty->holder[0] = 0;
    duty->held_since = pm_clock_steady();
    if (revision <= duty->token)
        return;
    if (was_asked) /* told before, or in place of, the answer to our transaction */
        given_up(d, name);
    else
        lose(d, name, "its key has gone");
}

void pm_duties_drop(struct pm_duties *d, const char *key, uint64_t revision)
{
    int duty;

    if (g_str_has_prefix(key, PM_INTENT_PREFIX)) {
        g_hash_table_remove(d->intents, key + strlen(PM_INTENT_PREFIX));
    } else if (g_str_has_prefix(key, PM_DUTY_PREFIX)) {
        duty = pm_single_duty_find(key + strlen(PM_DUTY_PREFIX));
        if (duty >= 0)
            drop_holder(d, (enum pm_single_duty)duty, revision);
    } else if (g_str_has_prefix(key, PM_DRAIN_PREFIX)) {
        duty = pm_single_duty_find(key + strlen(PM_DRAIN_PREFIX));
        if (duty >= 0)
            d->duty[duty].drain_revision = d->duty[duty].drain_token = 0;
    }
}

void pm_duties_relist(struct pm_duties *d)
{
    if (d->listed)
        g_hash_table_destroy(d->listed);
    d->listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int duty = 0; duty < PM_SINGLE_DUTIES; duty++) {
        d->duty[duty].revision = 0;
        d->duty[duty].unreadable = false;
        d->duty[duty].drain_revision = d->duty[duty].drain_token = 0;
    }
}

void pm_duties_listed(struct pm_duties *d)
{
    GHashTableIter iter;
    gpointer name;

    if (!d->listed)
        return;
    g_hash_table_iter_init(&iter, d->intents);
    while (g_hash_table_iter_next(&iter, &name, NULL))
        if (!g_hash_table_contains(d->listed, name))
            g_hash_table_iter_remove(&iter);
    g_hash_table_destroy(d->listed);
    d->listed = NULL;
    for (int duty = 0; duty < PM_SINGLE_DUTIES; duty++)
        if (d->duty[duty].token && !is_ours(d, &d->duty[duty]))
            lose(d, (enum pm_single_duty)duty, "its key has gone");
}

/* ---- status ---- */

static unsigned count_open(const struct pm_duties *d, enum pm_single_duty duty)
{
    GPtrArray *open = pm_duties_open(d, duty);
    unsigned count = open->len;

    g_ptr_array_free(open, TRUE);
    return count;
}

void pm_duties_put_status(const struct pm_duties *d, struct pm_buf *out, double now)
{
    pm_put_list(out);
    for (int name = 0; name < PM_SINGLE_DUTIES; name++) {
        const struct duty *duty = &d->duty[name];
        pm_put_map(out);
        pm_put_pair_text(out, "duty", pm_single_duty_name((enum pm_single_duty)name));
        pm_put_pair_text(out, "holder", duty->holder);
        pm_put_pair_count(out, "token", duty->revision);
        pm_put_pair_flag(out, "holds", pm_duties_holds(d, (enum pm_single_duty)name, now));
        pm_put_pair_flag(out, "draining", duty->drain_token && duty->drain_token == duty->revision);
        pm_put_pair_flag(out, "unreadable", duty->unreadable);
        pm_put_pair_number(out, "held_for_s", duty->held_since > 0 ? now - duty->held_since : 0);
        if (duty->token)
            pm_put_pair_number(out, "renewed_ago_s", now - d->lease_sent);
        pm_put_pair_count(out, "open_intents", count_open(d, (enum pm_single_duty)name));
        pm_put_end(out);
    }
    pm_put_end(out);
}

/* ---- making it ---- */

static void free_intent(gpointer intent)
{
    pm_intent_free(intent);
}

struct pm_duties *pm_duties_new(struct pm_store *store, const struct pm_settings *settings,
                                const struct pm_duties_setting *setting, const char *boot,
                                struct pm_links_trace *trace, struct pm_record *record,
                                const struct pm_duties_hooks *hooks)
{
    struct pm_duties *d = g_new0(struct pm_duties, 1);

    d->store = store;
    d->settings = settings;
    d->setting = setting;
    d->boot = boot;
    d->trace = trace;
    d->record = record;
    d->hooks = *hooks;
    d->intents = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_intent);
    d->writing = g_hash_table_new(g_str_hash, g_str_equal);
    return d;
}

void pm_duties_free(struct pm_duties *d)
{
    g_hash_table_destroy(d->intents);
    g_hash_table_destroy(d->writing);
    if (d->listed)
        g_hash_table_destroy(d->listed);
    g_free(d);
}
