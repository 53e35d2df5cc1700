/* Writes intents, and keeps the table of the open intents of all controllers. */
#include "base/keys.h"
#include "base/log.h"
#include "roles/internal.h"

#include <stdio.h>
#include <string.h>

/* An intent whose write is in flight. */
struct intent_write {
    struct pm_roles *roles;
    struct pm_intent *intent; /* owned */
    bool is_in_replica;       /* the watch showed the key before the transaction was answered */
    pm_intent_write_done *done;
    void *arg;
};

/* ---- writing ---- */

static void add_written_intent(struct intent_write *write)
{
    struct pm_roles *roles = write->roles;
    struct pm_intent *intent = write->intent;

    intent->call_in_flight = true; /* `done` sends the calls, so a retry must not */
    g_hash_table_replace(roles->intents.open, intent->name, intent);
    pm_roles_log_action(roles, intent->role, "intended", intent->name, "");
    write->done(write->arg, intent->name);
}

/* Discards an intent whose transaction failed or has an unknown outcome. If the state service
 * executes the transaction nevertheless, the watch shows the intent, which is then open and is
 * completed by the holder of the role. */
static void discard_intent(struct intent_write *write, enum pm_store_result result)
{
    struct pm_intent *intent = write->intent;
    const char *event = result == PM_STORE_CONFLICT ? "refused" : "unwritten";

    pm_roles_log_action(write->roles, intent->role, event, intent->name, "");
    write->done(write->arg, NULL);
    pm_intent_free(intent);
}

static void on_intent_written(void *arg, enum pm_store_result result, uint64_t store_revision,
                              const cbor_item_t *conflicting_keys)
{
    struct intent_write *write = arg;

    (void)conflicting_keys;
    g_hash_table_remove(write->roles->intents.writes, write->intent->name);
    if (result == PM_STORE_OK)
        write->intent->revision = store_revision;
    if (result == PM_STORE_OK || write->is_in_replica)
        add_written_intent(write);
    else
        discard_intent(write, result);
    g_free(write);
}

/* Encodes the transaction that writes the intent. It conflicts, and writes nothing, if the role's
 * fencing token or the epoch has changed, or if the intent's key already exists. */
static void encode_write(const struct pm_roles *roles, const struct pm_intent *intent,
                         struct pm_txn *txn)
{
    char key[sizeof PM_KEY_INTENT_PREFIX + PM_INTENT_NAME_SIZE];

    pm_role_format_key(intent->role, key, sizeof key);
    pm_txn_compare(txn, key, intent->token);
    pm_txn_compare(txn, PM_KEY_EPOCH, roles->conditions.epoch_revision);
    snprintf(key, sizeof key, PM_KEY_INTENT_PREFIX "%s", intent->name);
    pm_txn_compare(txn, key, 0);
    pm_txn_put_begin(txn, key);
    pm_intent_encode(intent, &txn->writes);
    pm_txn_put_end(txn, 0);
}

bool pm_roles_write_intent(struct pm_roles *roles, struct pm_intent *intent,
                           pm_intent_write_done *done, void *arg, double now)
{
    struct intent_write *write;
    struct pm_txn txn = {0};

    if (!pm_roles_is_holder(roles, intent->role, now) || !roles->conditions.is_leader) {
        pm_intent_free(intent);
        return false;
    }
    pm_intent_set_name(intent, pm_roles_token(roles, intent->role), ++roles->intents.last_number);
    write = g_new0(struct intent_write, 1);
    write->roles = roles;
    write->intent = intent;
    write->done = done;
    write->arg = arg;
    g_hash_table_replace(roles->intents.writes, intent->name, write);
    encode_write(roles, intent, &txn);
    pm_store_commit(roles->store, &txn, on_intent_written, write);
    return true;
}

/* ---- open intents ---- */

static gint compare_revisions(gconstpointer left, gconstpointer right)
{
    const struct pm_intent *first = *(const struct pm_intent *const *)left;
    const struct pm_intent *second = *(const struct pm_intent *const *)right;

    return first->revision < second->revision ? -1 : first->revision > second->revision;
}

GPtrArray *pm_roles_open_intents(const struct pm_roles *roles, enum pm_role role)
{
    GPtrArray *open = g_ptr_array_new();
    GHashTableIter iter;
    gpointer intent;

    g_hash_table_iter_init(&iter, roles->intents.open);
    while (g_hash_table_iter_next(&iter, NULL, &intent))
        if (((struct pm_intent *)intent)->role == role)
            g_ptr_array_add(open, intent);
    g_ptr_array_sort(open, compare_revisions);
    return open;
}

unsigned pm_roles_count_open_intents(const struct pm_roles *roles, enum pm_role role)
{
    GHashTableIter iter;
    gpointer intent;
    unsigned count = 0;

    g_hash_table_iter_init(&iter, roles->intents.open);
    while (g_hash_table_iter_next(&iter, NULL, &intent))
        count += ((const struct pm_intent *)intent)->role == role;
    return count;
}

struct pm_intent *pm_roles_find_intent(const struct pm_roles *roles, const char *name)
{
    return g_hash_table_lookup(roles->intents.open, name);
}

static void reset_calls(struct pm_intent *intent)
{
    intent->call_in_flight = false;
    intent->retry_at = 0;
    for (guint i = 0; i < intent->rentals->len; i++)
        g_array_index(intent->rentals, struct pm_intent_rental, i).call_in_flight = false;
}

void pm_roles_reset_calls(struct pm_roles *roles)
{
    GHashTableIter iter;
    gpointer intent;

    g_hash_table_iter_init(&iter, roles->intents.open);
    while (g_hash_table_iter_next(&iter, NULL, &intent))
        reset_calls(intent);
}

/* ---- changes of the replica ---- */

void pm_roles_apply_intent_put(struct pm_roles *roles, const char *key, const cbor_item_t *value,
                               uint64_t revision)
{
    const char *name = key + strlen(PM_KEY_INTENT_PREFIX);
    struct intent_write *write = g_hash_table_lookup(roles->intents.writes, name);
    struct pm_intent *intent;

    if (roles->intents.snapshot_names)
        g_hash_table_add(roles->intents.snapshot_names, g_strdup(name));
    if (write) {
        write->is_in_replica = true;
        write->intent->revision = revision;
        return;
    }
    if (g_hash_table_contains(roles->intents.open, name))
        return; /* a stored intent never changes, so the known one is kept with its local state */
    intent = pm_intent_decode(key, value, revision);
    if (!intent) {
        pm_error("role.unreadable",
                 "%s: the intent is malformed; its key is kept, and it is not carried out", key);
        return;
    }
    g_hash_table_replace(roles->intents.open, intent->name, intent);
}
