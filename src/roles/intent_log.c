/* Intents: writing them, which are open, and closing them. */
#include "roles/internal.h"
#include "base/log.h"

#include <stdio.h>
#include <string.h>

struct writing {
    struct pm_roles *duties;
    struct pm_intent *intent;
    bool seen; /* the watch has told of it before the answer came */
    pm_intent_written *done;
    void *arg;
};

static void on_intent_written(void *arg, enum pm_store_result result, uint64_t store_revision,
                              const cbor_item_t *failed)
{
    struct writing *writing = arg;
    struct pm_roles *d = writing->duties;
    struct pm_intent *intent = writing->intent;

    (void)failed;
    g_hash_table_remove(d->writing, intent->name);
    if (result == PM_STORE_OK || writing->seen) {
        if (result == PM_STORE_OK)
            intent->revision = store_revision;
        intent->busy = true;
        g_hash_table_replace(d->intents, intent->name, intent);
        pm_roles_log_action(d, intent->duty, "intended", intent->name, "");
        writing->done(writing->arg, intent->name);
    } else {
        pm_roles_log_action(d, intent->duty, result == PM_STORE_CONFLICT ? "refused" : "unwritten",
                            intent->name, "");
        writing->done(writing->arg, NULL);
        pm_intent_free(intent); /* written after all, the watch will tell of it */
    }
    g_free(writing);
}

bool pm_roles_write_intent(struct pm_roles *d, struct pm_intent *intent, pm_intent_written *done,
                           void *arg, double now)
{
    enum pm_role duty = intent->duty;
    struct writing *writing;
    struct pm_txn txn = {0};
    char key[sizeof PM_INTENT_KEY_PREFIX + PM_INTENT_NAME];

    if (!pm_roles_holds(d, duty, now) || !d->grounds.is_leader) {
        pm_intent_free(intent);
        return false;
    }
    pm_intent_set_name(intent, d->duty[duty].token, ++d->last_number);
    writing = g_new0(struct writing, 1);
    *writing = (struct writing){d, intent, false, done, arg};
    g_hash_table_replace(d->writing, intent->name, writing);
    pm_role_key(duty, key, sizeof key);
    pm_txn_compare(&txn, key, d->duty[duty].token);
    pm_txn_compare(&txn, "p/epoch", d->grounds.epoch_revision);
    snprintf(key, sizeof key, PM_INTENT_KEY_PREFIX "%s", intent->name);
    pm_txn_compare(&txn, key, 0);
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

GPtrArray *pm_roles_open_intents(const struct pm_roles *d, enum pm_role duty)
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

struct pm_intent *pm_roles_find_intent(const struct pm_roles *d, const char *name)
{
    return g_hash_table_lookup(d->intents, name);
}

void pm_roles_forget_calls(struct pm_roles *d)
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
    struct pm_roles *duties;
    enum pm_role duty;
    GPtrArray *names;
};

static void on_closed(void *arg, enum pm_store_result result, uint64_t store_revision,
                      const cbor_item_t *failed)
{
    struct closing *closing = arg;
    struct pm_roles *d = closing->duties;

    (void)store_revision;
    (void)failed;
    d->closing_busy[closing->duty] = false;
    for (guint i = 0; result == PM_STORE_OK && i < closing->names->len; i++) {
        const char *name = g_ptr_array_index(closing->names, i);
        pm_roles_log_action(d, closing->duty, "closed", name, "");
        g_hash_table_remove(d->intents, name);
    }
    g_ptr_array_free(closing->names, TRUE);
    g_free(closing);
}

unsigned pm_roles_count(const struct pm_roles *d, enum pm_role duty, bool closing)
{
    GHashTableIter iter;
    gpointer value;
    unsigned count = 0;

    g_hash_table_iter_init(&iter, d->intents);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct pm_intent *intent = value;
        count += intent->duty == duty && (intent->closing || !closing);
    }
    return count;
}

/* Drops what is closing, as many as one transaction takes. It can wait for room in the write
 * budget, though not for ever. */
void pm_roles_delete_closed_intents(struct pm_roles *d, enum pm_role duty, double now)
{
    GPtrArray *open;
    struct closing *closing;
    struct pm_txn txn = {0};
    char key[sizeof PM_INTENT_KEY_PREFIX + PM_INTENT_NAME];
    unsigned due = pm_roles_count(d, duty, true);
    int most = due >= CLOSING_MOST
                   ? d->settings->store_txn_ops
                   : MIN(pm_store_write_budget(d->store, now), d->settings->store_txn_ops);

    if (!due || d->closing_busy[duty] || !pm_roles_holds(d, duty, now) || most < 1)
        return;
    open = pm_roles_open_intents(d, duty);
    closing = g_new(struct closing, 1);
    *closing = (struct closing){d, duty, g_ptr_array_new_with_free_func(g_free)};
    pm_role_key(duty, key, sizeof key);
    pm_txn_compare(&txn, key, d->duty[duty].token);
    for (guint i = 0; i < open->len && closing->names->len < (guint)most; i++) {
        const struct pm_intent *intent = g_ptr_array_index(open, i);
        if (!intent->closing)
            continue;
        snprintf(key, sizeof key, PM_INTENT_KEY_PREFIX "%s", intent->name);
        pm_txn_compare(&txn, key, intent->revision);
        pm_txn_delete(&txn, key);
        g_ptr_array_add(closing->names, g_strdup(intent->name));
    }
    g_ptr_array_free(open, TRUE);
    d->closing_busy[duty] = true;
    pm_store_commit(d->store, &txn, on_closed, closing);
}

void pm_roles_close_intent(struct pm_roles *d, const char *name, double now)
{
    struct pm_intent *intent = pm_roles_find_intent(d, name);

    if (!intent)
        return;
    intent->busy = false;
    intent->closing = true;
    if (pm_roles_count(d, intent->duty, true) >= CLOSED_AT_ONCE)
        pm_roles_delete_closed_intents(d, intent->duty, now);
}

/* ---- the replica's feed ---- */

void pm_roles_apply_intent_put(struct pm_roles *d, const char *key, const cbor_item_t *value,
                               uint64_t revision)
{
    const char *name = key + strlen(PM_INTENT_KEY_PREFIX);
    struct writing *writing = g_hash_table_lookup(d->writing, name);
    struct pm_intent *known = g_hash_table_lookup(d->intents, name);
    struct pm_intent *intent;

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
        pm_error("role.unreadable", "%s: kept, not carried out", key);
        return;
    }
    g_hash_table_replace(d->intents, intent->name, intent);
}
