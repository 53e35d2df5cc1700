/* Deletes the keys of closing intents, several in one transaction. An intent is closing once all
 * its calls to the provider are settled. */
#include "base/keys.h"
#include "roles/internal.h"

#include <stdio.h>

enum {
    /* With at least this many closing intents, a transaction is sent at once and not at the next
     * tick. */
    CLOSE_BATCH_MIN = 8,
    /* With at least this many closing intents, keys are deleted even if the write budget is used
     * up. */
    OVER_BUDGET_MIN = 32
};

/* A transaction in flight that deletes the keys of closing intents. */
struct close_transaction {
    struct pm_roles *roles;
    enum pm_role role;
    GPtrArray *names; /* owned */
};

static void on_close_done(void *arg, enum pm_store_result result, uint64_t store_revision,
                          const cbor_item_t *conflicting_keys)
{
    struct close_transaction *close = arg;
    struct pm_roles *roles = close->roles;

    (void)store_revision;
    (void)conflicting_keys;
    roles->intents.close_in_flight[close->role] = false;
    for (guint i = 0; result == PM_STORE_OK && i < close->names->len; i++) {
        const char *name = g_ptr_array_index(close->names, i);
        pm_roles_log_action(roles, close->role, "closed", name, "");
        g_hash_table_remove(roles->intents.open, name);
    }
    g_ptr_array_free(close->names, TRUE);
    g_free(close);
}

static unsigned count_closing(const struct pm_roles *roles, enum pm_role role)
{
    GHashTableIter iter;
    gpointer value;
    unsigned count = 0;

    g_hash_table_iter_init(&iter, roles->intents.open);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct pm_intent *intent = value;
        count += intent->role == role && intent->is_closing;
    }
    return count;
}

/* Returns how many keys one transaction may delete at `now`. `closing` is the number of closing
 * intents. */
static int max_deletes(const struct pm_roles *roles, unsigned closing, double now)
{
    int txn_ops = roles->settings->store_txn_ops;

    if (closing >= OVER_BUDGET_MIN)
        return txn_ops;
    return MIN(pm_store_write_budget(roles->store, now), txn_ops);
}

/* Adds the deletion of at most `max_count` closing intents to the transaction, oldest first, and
 * their names to `names`. Each deletion compares the revision of the intent's key. */
static void add_deletes(const struct pm_roles *roles, enum pm_role role, guint max_count,
                        struct pm_txn *txn, GPtrArray *names)
{
    GPtrArray *open = pm_roles_open_intents(roles, role);
    char key[sizeof PM_KEY_INTENT_PREFIX + PM_INTENT_NAME_SIZE];

    for (guint i = 0; i < open->len && names->len < max_count; i++) {
        const struct pm_intent *intent = g_ptr_array_index(open, i);
        if (!intent->is_closing)
            continue;
        snprintf(key, sizeof key, PM_KEY_INTENT_PREFIX "%s", intent->name);
        pm_txn_compare(txn, key, intent->revision);
        pm_txn_delete(txn, key);
        g_ptr_array_add(names, g_strdup(intent->name));
    }
    g_ptr_array_free(open, TRUE);
}

void pm_roles_delete_closing_intents(struct pm_roles *roles, enum pm_role role, double now)
{
    struct close_transaction *close;
    struct pm_txn txn = {0};
    char key[PM_NAME_MAX];
    unsigned closing = count_closing(roles, role);
    int max_count = max_deletes(roles, closing, now);

    if (!closing || roles->intents.close_in_flight[role] || !pm_roles_is_holder(roles, role, now) ||
        max_count < 1)
        return;
    close = g_new(struct close_transaction, 1);
    close->roles = roles;
    close->role = role;
    close->names = g_ptr_array_new_with_free_func(g_free);
    pm_role_format_key(role, key, sizeof key);
    pm_txn_compare(&txn, key, pm_roles_token(roles, role));
    add_deletes(roles, role, (guint)max_count, &txn, close->names);
    roles->intents.close_in_flight[role] = true;
    pm_store_commit(roles->store, &txn, on_close_done, close);
}

void pm_roles_close_intent(struct pm_roles *roles, const char *name, double now)
{
    struct pm_intent *intent = pm_roles_find_intent(roles, name);

    if (!intent)
        return;
    intent->call_in_flight = false;
    intent->is_closing = true;
    if (count_closing(roles, intent->role) >= CLOSE_BATCH_MIN)
        pm_roles_delete_closing_intents(roles, intent->role, now);
}
