#include "roles/garbage_collector.h"
#include "roles/roles.h"

#include <string.h>

#define VIEW_PREFIX "p/links/"
#define POSITION_PREFIX "p/seen/"

struct candidate {
    uint64_t revision;
    double since;    /* steady: unchanged since */
    uint64_t token;  /* of a request to drain */
    const char *why; /* NULL: not now, as for a drain whose holder is still the same */
    bool told;       /* by the listing under way */
};

struct pm_gc {
    const struct pm_settings *settings;
    double after_s;
    uint64_t token[PM_ROLE_COUNT]; /* in force */
    GTree *candidates;             /* key to struct candidate, in order */
    bool listing;
};

static int by_text(gconstpointer a, gconstpointer b, gpointer arg)
{
    (void)arg;
    return strcmp(a, b);
}

struct pm_gc *pm_gc_new(const struct pm_settings *settings, double after_s)
{
    struct pm_gc *c = g_new0(struct pm_gc, 1);

    c->settings = settings;
    c->after_s = after_s;
    c->candidates = g_tree_new_full(by_text, NULL, g_free, g_free);
    return c;
}

void pm_gc_free(struct pm_gc *c)
{
    g_tree_destroy(c->candidates);
    g_free(c);
}

static bool is_controller(const struct pm_settings *settings, const char *name)
{
    return !strcmp(name, settings->name) || pm_settings_find_peer(settings, name) >= 0;
}

/* Why the key is of no use, as its name alone tells; NULL: it may be. */
static const char *find_why(const struct pm_gc *c, const char *key)
{
    if (g_str_has_prefix(key, VIEW_PREFIX) &&
        !is_controller(c->settings, key + strlen(VIEW_PREFIX)))
        return "the view of a controller that is not in the settings";
    if (g_str_has_prefix(key, POSITION_PREFIX) &&
        !is_controller(c->settings, key + strlen(POSITION_PREFIX)))
        return "the reading position of a controller that is not in the settings";
    return NULL;
}

static const char *why_drain(const struct pm_gc *c, const char *key, uint64_t token)
{
    int duty = pm_role_find(key + strlen(PM_ROLE_DRAIN_KEY_PREFIX));

    if (duty < 0)
        return "a request to drain a duty that does not exist";
    return c->token[duty] != token ? "a request to drain a holder that has changed" : NULL;
}

static void add_candidate(struct pm_gc *c, const char *key, const char *why, uint64_t token,
                          uint64_t revision, double now)
{
    struct candidate *known = g_tree_lookup(c->candidates, key);

    if (known && known->revision == revision) {
        known->told = true;
        return;
    }
    known = g_new0(struct candidate, 1);
    *known = (struct candidate){revision, now, token, why, true};
    g_tree_replace(c->candidates, g_strdup(key), known);
}

struct changed_duty {
    const struct pm_gc *clean;
    double now;
};

static gboolean judge_drain(gpointer key, gpointer value, gpointer arg)
{
    const struct changed_duty *changed = arg;
    struct candidate *candidate = value;
    const char *why;

    if (!g_str_has_prefix(key, PM_ROLE_DRAIN_KEY_PREFIX))
        return FALSE;
    why = why_drain(changed->clean, key, candidate->token);
    if (why && !candidate->why)
        candidate->since = changed->now;
    candidate->why = why;
    return FALSE;
}

static void note_duty(struct pm_gc *c, const char *key, uint64_t token, double now)
{
    int duty = pm_role_find(key + strlen(PM_ROLE_KEY_PREFIX));
    struct changed_duty changed = {c, now};

    if (duty < 0)
        return;
    c->token[duty] = token;
    g_tree_foreach(c->candidates, judge_drain, &changed);
}

void pm_gc_apply_put(struct pm_gc *c, const char *key, const cbor_item_t *value, uint64_t revision,
                     double now)
{
    const char *why;
    uint64_t token;

    if (g_str_has_prefix(key, PM_ROLE_KEY_PREFIX)) {
        note_duty(c, key, revision, now);
    } else if (g_str_has_prefix(key, PM_ROLE_DRAIN_KEY_PREFIX)) {
        if (pm_cbor_read_count(pm_cbor_get(value, "token"), &token))
            add_candidate(c, key, why_drain(c, key, token), token, revision, now);
    } else if ((why = find_why(c, key))) {
        add_candidate(c, key, why, 0, revision, now);
    }
}

void pm_gc_apply_delete(struct pm_gc *c, const char *key, uint64_t revision)
{
    const struct candidate *known = g_tree_lookup(c->candidates, key);

    if (known && known->revision < revision)
        g_tree_remove(c->candidates, key);
}

static gboolean forget_told(gpointer key, gpointer value, gpointer arg)
{
    (void)key;
    (void)arg;
    ((struct candidate *)value)->told = false;
    return FALSE;
}

void pm_gc_snapshot_begin(struct pm_gc *c)
{
    c->listing = true;
    g_tree_foreach(c->candidates, forget_told, NULL);
}

static gboolean gather_untold(gpointer key, gpointer value, gpointer arg)
{
    if (!((const struct candidate *)value)->told)
        g_ptr_array_add(arg, key);
    return FALSE;
}

void pm_gc_snapshot_end(struct pm_gc *c)
{
    GPtrArray *untold = g_ptr_array_new();

    if (c->listing)
        g_tree_foreach(c->candidates, gather_untold, untold);
    for (guint i = 0; i < untold->len; i++)
        g_tree_remove(c->candidates, g_ptr_array_index(untold, i));
    g_ptr_array_free(untold, TRUE);
    c->listing = false;
}

static bool is_due(const struct pm_gc *c, const struct candidate *candidate, double now)
{
    return candidate->why && now - candidate->since >= c->after_s;
}

struct adding {
    const struct pm_gc *clean;
    struct pm_txn *txn;
    int left;
    double now;
};

static gboolean add_drop(gpointer key, gpointer value, gpointer arg)
{
    struct adding *adding = arg;
    const struct candidate *candidate = value;

    if (adding->left <= 0)
        return TRUE;
    if (!is_due(adding->clean, candidate, adding->now))
        return FALSE;
    pm_txn_compare(adding->txn, key, candidate->revision);
    pm_txn_delete(adding->txn, key);
    adding->left--;
    return FALSE;
}

int pm_gc_add_due_deletes(struct pm_gc *c, struct pm_txn *txn, int most, double now)
{
    struct adding adding = {c, txn, most, now};

    if (c->listing)
        return 0;
    g_tree_foreach(c->candidates, add_drop, &adding);
    return most - adding.left;
}

struct telling {
    const struct pm_gc *clean;
    struct pm_buf *out;
    double now;
};

static gboolean tell_candidate(gpointer key, gpointer value, gpointer arg)
{
    const struct telling *telling = arg;
    const struct candidate *candidate = value;

    if (!candidate->why)
        return FALSE;
    pm_put_map(telling->out);
    pm_put_pair_text(telling->out, "key", key);
    pm_put_pair_text(telling->out, "why", candidate->why);
    pm_put_pair_number(telling->out, "unchanged_s", telling->now - candidate->since);
    pm_put_pair_flag(telling->out, "due", is_due(telling->clean, candidate, telling->now));
    pm_put_end(telling->out);
    return FALSE;
}

void pm_gc_encode_status(const struct pm_gc *c, struct pm_buf *out, double now)
{
    struct telling telling = {c, out, now};

    pm_put_list(out);
    g_tree_foreach(c->candidates, tell_candidate, &telling);
    pm_put_end(out);
}
