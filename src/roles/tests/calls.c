#include "calls.h"
#include "roles/roles.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* An intent as it was written, and what was done for it. */
struct known_intent {
    struct pm_intent *intent;
    double written; /* steady */
    bool open;
    uint64_t rented[PM_INTENT_RENTALS]; /* for each rental */
};

struct calls {
    double silent_s;
    uint64_t token[PM_ROLE_COUNT]; /* in force, 0: nobody holds the duty */
    uint64_t last_token[PM_ROLE_COUNT];
    GHashTable *intents;      /* name to struct known_intent */
    GHashTable *return_names; /* machine to the name of the intent to return it */
    unsigned rented, returned, holders;
    GString *violations;
};

static void free_known(gpointer data)
{
    struct known_intent *known = data;

    pm_intent_free(known->intent);
    g_free(known);
}

struct calls *calls_new(double silent_s)
{
    struct calls *c = g_new0(struct calls, 1);

    c->silent_s = silent_s;
    c->intents = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_known);
    c->return_names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->violations = g_string_new("");
    return c;
}

void calls_free(struct calls *c)
{
    g_hash_table_destroy(c->intents);
    g_hash_table_destroy(c->return_names);
    g_string_free(c->violations, TRUE);
    g_free(c);
}

static void duty_changed(struct calls *c, int duty, bool put, uint64_t revision)
{
    c->token[duty] = put ? revision : 0;
    if (!put)
        return;
    if (revision <= c->last_token[duty])
        g_string_append_printf(c->violations, "token %llu of %s is no higher than one before\n",
                               (unsigned long long)revision, pm_role_name((enum pm_role)duty));
    c->last_token[duty] = revision;
    c->holders += duty == PM_ROLE_SCALE_OUT;
}

static void intent_put(struct calls *c, const char *key, const cbor_item_t *data, uint64_t revision,
                       double now)
{
    struct pm_intent *intent = pm_intent_read(key, data, revision);
    struct known_intent *known;

    if (!intent) {
        g_string_append_printf(c->violations, "%s is malformed\n", key);
        return;
    }
    if (intent->token != c->token[intent->duty])
        g_string_append_printf(c->violations, "%s is written, while token %llu is in force\n", key,
                               (unsigned long long)c->token[intent->duty]);
    if (g_hash_table_contains(c->intents, intent->name))
        g_string_append_printf(c->violations, "%s is written again\n", key);
    known = g_new0(struct known_intent, 1);
    *known = (struct known_intent){.intent = intent, .written = now, .open = true};
    g_hash_table_replace(c->intents, intent->name, known);
    for (guint i = 0; i < intent->machines->len; i++)
        g_hash_table_replace(c->return_names, g_strdup(g_ptr_array_index(intent->machines, i)),
                             g_strdup(intent->name));
}

void calls_state_changed(struct calls *c, const char *key, const cbor_item_t *data,
                         uint64_t revision, double now)
{
    if (g_str_has_prefix(key, PM_ROLE_KEY_PREFIX)) {
        int duty = pm_role_find(key + strlen(PM_ROLE_KEY_PREFIX));
        if (duty >= 0)
            duty_changed(c, duty, data != NULL, revision);
    } else if (g_str_has_prefix(key, PM_INTENT_KEY_PREFIX) && data) {
        intent_put(c, key, data, revision, now);
    } else if (g_str_has_prefix(key, PM_INTENT_KEY_PREFIX)) {
        struct known_intent *known =
            g_hash_table_lookup(c->intents, key + strlen(PM_INTENT_KEY_PREFIX));
        if (known)
            known->open = false;
    }
}

/* The intent of a request's name, and its place there; NULL: nobody intended it. */
static struct known_intent *find_rental(const struct calls *c, const char *booking, guint *rental)
{
    const char *place = strrchr(booking, '-');
    char *name;
    struct known_intent *known;

    if (!place)
        return NULL;
    name = g_strndup(booking, (gsize)(place - booking));
    known = g_hash_table_lookup(c->intents, name);
    g_free(name);
    if (!known || known->intent->duty != PM_ROLE_SCALE_OUT)
        return NULL;
    *rental = (guint)strtoul(place + 1, NULL, 10);
    return *rental < known->intent->rentals->len ? known : NULL;
}

static void check_rental(struct calls *c, const struct fleet_call *call)
{
    guint rental = 0;
    struct known_intent *known = find_rental(c, call->booking, &rental);

    c->rented++;
    if (!known) {
        g_string_append_printf(c->violations, "%s is rented as %s, which nobody intended\n",
                               call->machine, call->booking);
        return;
    }
    if (!known->open)
        g_string_append_printf(c->violations, "%s is rented as %s, which is closed\n",
                               call->machine, call->booking);
    if (++known->rented[rental] >
        g_array_index(known->intent->rentals, struct pm_intent_rental, rental).count)
        g_string_append_printf(c->violations, "%s is one more than %s says\n", call->machine,
                               call->booking);
}

static void check_return(struct calls *c, const struct fleet_call *call)
{
    const char *name = g_hash_table_lookup(c->return_names, call->machine);
    const struct known_intent *known = name ? g_hash_table_lookup(c->intents, name) : NULL;

    c->returned++;
    if (!known || !known->open) {
        g_string_append_printf(c->violations, "%s is returned, and no open intent says so\n",
                               call->machine);
        return;
    }
    if (!call->task)
        return;
    if (call->task_began > known->written)
        g_string_append_printf(c->violations, "%s was given %s after its return was intended\n",
                               call->machine, call->task);
    else if (call->heard_ago_s < c->silent_s)
        g_string_append_printf(c->violations, "%s is returned while %s runs there\n", call->machine,
                               call->task);
}

void calls_carried_out(struct calls *c, const struct fleet_call *call)
{
    if (call->booking)
        check_rental(c, call);
    else
        check_return(c, call);
}

void calls_forget(struct calls *c)
{
    g_string_truncate(c->violations, 0);
}

unsigned calls_rented(const struct calls *c)
{
    return c->rented;
}

unsigned calls_returned(const struct calls *c)
{
    return c->returned;
}

unsigned calls_holders(const struct calls *c)
{
    return c->holders;
}

unsigned calls_open(const struct calls *c)
{
    GHashTableIter iter;
    gpointer known;
    unsigned open = 0;

    g_hash_table_iter_init(&iter, c->intents);
    while (g_hash_table_iter_next(&iter, NULL, &known))
        open += ((const struct known_intent *)known)->open;
    return open;
}

const char *calls_violations(const struct calls *c)
{
    return c->violations->str;
}
