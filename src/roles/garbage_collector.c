#include "base/keys.h"
#include "roles/garbage_collector.h"
#include "roles/role.h"

#include <glib.h>
#include <string.h>

/* A candidate for deletion: a key that is obsolete, or a drain request. A drain request is a
 * candidate from the start, because it becomes obsolete once the role's holder changes. */
struct candidate {
    uint64_t revision;
    /* Monotonic time since which the key is obsolete and unchanged. Not used for a drain request
     * that is still in use. */
    double obsolete_since;
    uint64_t drain_token;        /* the fencing token that a drain request names, otherwise 0 */
    const char *obsolete_reason; /* why the key is obsolete, NULL if it is a request still in use */
    bool is_in_snapshot;         /* the key was put since the last snapshot began */
};

struct pm_gc {
    const struct pm_settings *settings;
    double delete_after_s;                 /* minimum time unchanged before a key is deleted */
    uint64_t holder_tokens[PM_ROLE_COUNT]; /* tokens of the last holders seen, 0 if none was */
    GTree *candidates;                     /* key to struct candidate, ordered by key */
    bool is_snapshot_open;                 /* a snapshot has begun and is not complete */
};

static int compare_keys(gconstpointer left, gconstpointer right, gpointer arg)
{
    (void)arg;
    return strcmp(left, right);
}

struct pm_gc *pm_gc_new(const struct pm_settings *settings, double delete_after_s)
{
    struct pm_gc *collector = g_new0(struct pm_gc, 1);

    collector->settings = settings;
    collector->delete_after_s = delete_after_s;
    collector->candidates = g_tree_new_full(compare_keys, NULL, g_free, g_free);
    return collector;
}

void pm_gc_free(struct pm_gc *collector)
{
    g_tree_destroy(collector->candidates);
    g_free(collector);
}

/* ---- obsolete keys ---- */

static bool is_controller(const struct pm_settings *settings, const char *name)
{
    return !strcmp(name, settings->name) || pm_settings_find_peer(settings, name) >= 0;
}

/* Whether the key consists of `prefix` and the name of a controller that is not in the settings. */
static bool is_of_unknown_controller(const struct pm_gc *collector, const char *key,
                                     const char *prefix)
{
    return g_str_has_prefix(key, prefix) &&
           !is_controller(collector->settings, key + strlen(prefix));
}

/* Returns why the key is obsolete, as far as its name alone shows, or NULL if it may be in use. */
static const char *find_obsolete_reason(const struct pm_gc *collector, const char *key)
{
    if (is_of_unknown_controller(collector, key, PM_KEY_VIEW_PREFIX))
        return "the view of a controller that is not in the settings";
    if (is_of_unknown_controller(collector, key, PM_KEY_ACKED_REVISION_PREFIX))
        return "the reading position of a controller that is not in the settings";
    return NULL;
}

/* Returns why a request to drain the holder with the token `drain_token` is obsolete, or NULL if
 * the request is still in use. */
static const char *find_obsolete_drain_reason(const struct pm_gc *collector, const char *key,
                                              uint64_t drain_token)
{
    enum pm_role role;

    if (!pm_role_from_name(key + strlen(PM_KEY_DRAIN_PREFIX), &role))
        return "a request to drain a duty that does not exist";
    if (collector->holder_tokens[role] != drain_token)
        return "a request to drain a holder that has changed";
    return NULL;
}

/* ---- candidates ---- */

/* Adds the candidate. A known candidate with the same key and revision is kept instead, and with it
 * its `obsolete_since`. */
static void add_candidate(struct pm_gc *collector, const char *key, struct candidate candidate)
{
    struct candidate *known = g_tree_lookup(collector->candidates, key);

    if (known && known->revision == candidate.revision) {
        known->is_in_snapshot = true;
        return;
    }
    known = g_new(struct candidate, 1);
    *known = candidate;
    known->is_in_snapshot = true;
    g_tree_replace(collector->candidates, g_strdup(key), known);
}

/* The argument of update_obsolete_drain_reason. */
struct holder_change {
    const struct pm_gc *collector;
    double now;
};

/* Determines again, after a change of holder, whether and why a drain request is obsolete. The time
 * before its deletion starts when it becomes obsolete. */
static gboolean update_obsolete_drain_reason(gpointer key, gpointer value, gpointer arg)
{
    const struct holder_change *change = arg;
    struct candidate *candidate = value;
    const char *obsolete_reason;

    if (!g_str_has_prefix(key, PM_KEY_DRAIN_PREFIX))
        return FALSE;
    obsolete_reason = find_obsolete_drain_reason(change->collector, key, candidate->drain_token);
    if (obsolete_reason && !candidate->obsolete_reason)
        candidate->obsolete_since = change->now;
    candidate->obsolete_reason = obsolete_reason;
    return FALSE;
}

static void apply_holder_put(struct pm_gc *collector, const char *key, uint64_t token, double now)
{
    struct holder_change change = {.collector = collector, .now = now};
    enum pm_role role;

    if (!pm_role_from_name(key + strlen(PM_KEY_ROLE_PREFIX), &role))
        return;
    collector->holder_tokens[role] = token;
    g_tree_foreach(collector->candidates, update_obsolete_drain_reason, &change);
}

static void apply_drain_request_put(struct pm_gc *collector, const char *key,
                                    const cbor_item_t *value, uint64_t revision, double now)
{
    struct candidate candidate = {.revision = revision, .obsolete_since = now};

    if (!pm_cbor_read_uint(pm_cbor_get(value, "token"), &candidate.drain_token))
        return;
    candidate.obsolete_reason = find_obsolete_drain_reason(collector, key, candidate.drain_token);
    add_candidate(collector, key, candidate);
}

/* ---- changes of the replica ---- */

void pm_gc_apply_put(struct pm_gc *collector, const char *key, const cbor_item_t *value,
                     uint64_t revision, double now)
{
    struct candidate candidate = {.revision = revision, .obsolete_since = now};

    if (g_str_has_prefix(key, PM_KEY_ROLE_PREFIX)) {
        apply_holder_put(collector, key, revision, now);
        return;
    }
    if (g_str_has_prefix(key, PM_KEY_DRAIN_PREFIX)) {
        apply_drain_request_put(collector, key, value, revision, now);
        return;
    }
    candidate.obsolete_reason = find_obsolete_reason(collector, key);
    if (candidate.obsolete_reason)
        add_candidate(collector, key, candidate);
}

void pm_gc_apply_delete(struct pm_gc *collector, const char *key, uint64_t revision)
{
    const struct candidate *known = g_tree_lookup(collector->candidates, key);

    if (known && known->revision < revision)
        g_tree_remove(collector->candidates, key);
}

static gboolean clear_in_snapshot(gpointer key, gpointer value, gpointer arg)
{
    (void)key;
    (void)arg;
    ((struct candidate *)value)->is_in_snapshot = false;
    return FALSE;
}

void pm_gc_snapshot_begin(struct pm_gc *collector)
{
    collector->is_snapshot_open = true;
    g_tree_foreach(collector->candidates, clear_in_snapshot, NULL);
}

static gboolean collect_absent(gpointer key, gpointer value, gpointer arg)
{
    if (!((const struct candidate *)value)->is_in_snapshot)
        g_ptr_array_add(arg, key);
    return FALSE;
}

void pm_gc_snapshot_end(struct pm_gc *collector)
{
    GPtrArray *absent_keys;

    if (!collector->is_snapshot_open)
        return;
    absent_keys = g_ptr_array_new();
    g_tree_foreach(collector->candidates, collect_absent, absent_keys);
    for (guint i = 0; i < absent_keys->len; i++)
        g_tree_remove(collector->candidates, g_ptr_array_index(absent_keys, i));
    g_ptr_array_free(absent_keys, TRUE);
    collector->is_snapshot_open = false;
}

/* ---- collection ---- */

static bool is_due(const struct pm_gc *collector, const struct candidate *candidate, double now)
{
    return candidate->obsolete_reason &&
           now - candidate->obsolete_since >= collector->delete_after_s;
}

/* The argument of add_delete_if_due. */
struct due_deletes {
    const struct pm_gc *collector;
    struct pm_txn *txn;
    int remaining; /* keys that may still be added */
    double now;
};

static gboolean add_delete_if_due(gpointer key, gpointer value, gpointer arg)
{
    struct due_deletes *deletes = arg;
    const struct candidate *candidate = value;

    if (deletes->remaining <= 0)
        return TRUE;
    if (!is_due(deletes->collector, candidate, deletes->now))
        return FALSE;
    pm_txn_compare(deletes->txn, key, candidate->revision);
    pm_txn_delete(deletes->txn, key);
    deletes->remaining--;
    return FALSE;
}

int pm_gc_add_due_deletes(struct pm_gc *collector, struct pm_txn *txn, int max_count, double now)
{
    struct due_deletes deletes = {
        .collector = collector, .txn = txn, .remaining = max_count, .now = now};

    if (collector->is_snapshot_open)
        return 0;
    g_tree_foreach(collector->candidates, add_delete_if_due, &deletes);
    return max_count - deletes.remaining;
}

/* ---- status ---- */

/* The argument of encode_candidate. */
struct status_output {
    const struct pm_gc *collector;
    struct pm_buffer *out;
    double now;
};

static gboolean encode_candidate(gpointer key, gpointer value, gpointer arg)
{
    const struct status_output *status = arg;
    const struct candidate *candidate = value;
    double unchanged_s = status->now - candidate->obsolete_since;

    if (!candidate->obsolete_reason)
        return FALSE;
    pm_cbor_put_map(status->out);
    pm_cbor_put_pair_text(status->out, "key", key);
    pm_cbor_put_pair_text(status->out, "why", candidate->obsolete_reason);
    pm_cbor_put_pair_number(status->out, "unchanged_s", unchanged_s);
    pm_cbor_put_pair_flag(status->out, "due", is_due(status->collector, candidate, status->now));
    pm_cbor_put_end(status->out);
    return FALSE;
}

void pm_gc_encode_status(const struct pm_gc *collector, struct pm_buffer *out, double now)
{
    struct status_output status = {.collector = collector, .out = out, .now = now};

    pm_cbor_put_list(out);
    g_tree_foreach(collector->candidates, encode_candidate, &status);
    pm_cbor_put_end(out);
}
