#include "base/keys.h"
#include "provider_call_checker.h"
#include "roles/roles.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum { DECIMAL = 10 };

/* An intent as it was written, and how many machines were rented for it. */
struct known_intent {
    struct pm_intent *intent; /* owned */
    double written_at;        /* monotonic seconds */
    bool is_open;
    uint64_t rented[PM_INTENT_RENTALS_MAX]; /* number of machines, for each rental */
};

struct call_checker {
    double lost_after_s;
    uint64_t current_tokens[PM_ROLE_COUNT]; /* 0 while the role has no holder */
    uint64_t last_tokens[PM_ROLE_COUNT];    /* of the last holder, also after its key is deleted */
    GHashTable *intents;                    /* name to struct known_intent */
    GHashTable *termination_intents;        /* machine to the name of the intent to terminate it */
    unsigned rented, terminated, acquisitions;
    GString *violations;
};

static void free_known_intent(gpointer data)
{
    struct known_intent *known = data;

    pm_intent_free(known->intent);
    g_free(known);
}

struct call_checker *call_checker_new(double lost_after_s)
{
    struct call_checker *checker = g_new0(struct call_checker, 1);

    checker->lost_after_s = lost_after_s;
    checker->intents = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_known_intent);
    checker->termination_intents = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    checker->violations = g_string_new("");
    return checker;
}

void call_checker_free(struct call_checker *checker)
{
    g_hash_table_destroy(checker->intents);
    g_hash_table_destroy(checker->termination_intents);
    g_string_free(checker->violations, TRUE);
    g_free(checker);
}

/* ---- the state service ---- */

static void apply_holder_put(struct call_checker *checker, enum pm_role role, uint64_t token)
{
    checker->current_tokens[role] = token;
    if (token <= checker->last_tokens[role])
        g_string_append_printf(checker->violations,
                               "fencing token %llu of role %s is no higher than the one before\n",
                               (unsigned long long)token, pm_role_name(role));
    checker->last_tokens[role] = token;
    checker->acquisitions += role == PM_ROLE_SCALE_OUT;
}

/* Checks that a new intent has the current token of its role, and a name that was never used. */
static void check_new_intent(struct call_checker *checker, const char *key,
                             const struct pm_intent *intent)
{
    uint64_t current_token = checker->current_tokens[intent->role];

    if (intent->token != current_token)
        g_string_append_printf(
            checker->violations,
            "%s is written under a stale token: the current fencing token is %llu\n", key,
            (unsigned long long)current_token);
    if (g_hash_table_contains(checker->intents, intent->name))
        g_string_append_printf(checker->violations, "%s is written a second time\n", key);
}

static void apply_intent_put(struct call_checker *checker, const char *key,
                             const cbor_item_t *value, uint64_t revision, double now)
{
    struct pm_intent *intent = pm_intent_decode(key, value, revision);
    struct known_intent *known;

    if (!intent) {
        g_string_append_printf(checker->violations, "the value of %s is malformed\n", key);
        return;
    }
    check_new_intent(checker, key, intent);
    known = g_new0(struct known_intent, 1);
    known->intent = intent;
    known->written_at = now;
    known->is_open = true;
    g_hash_table_replace(checker->intents, intent->name, known);
    for (guint i = 0; i < intent->machines->len; i++)
        g_hash_table_replace(checker->termination_intents,
                             g_strdup(g_ptr_array_index(intent->machines, i)),
                             g_strdup(intent->name));
}

static void apply_intent_delete(struct call_checker *checker, const char *name)
{
    struct known_intent *known = g_hash_table_lookup(checker->intents, name);

    if (known)
        known->is_open = false;
}

void call_checker_on_state_change(struct call_checker *checker, const char *key,
                                  const cbor_item_t *value, uint64_t revision, double now)
{
    enum pm_role role;

    if (g_str_has_prefix(key, PM_KEY_ROLE_PREFIX)) {
        if (!pm_role_from_name(key + strlen(PM_KEY_ROLE_PREFIX), &role))
            return;
        if (value)
            apply_holder_put(checker, role, revision);
        else
            checker->current_tokens[role] = 0;
    } else if (g_str_has_prefix(key, PM_KEY_INTENT_PREFIX)) {
        if (value)
            apply_intent_put(checker, key, value, revision, now);
        else
            apply_intent_delete(checker, key + strlen(PM_KEY_INTENT_PREFIX));
    }
}

/* ---- calls ---- */

/* Returns the intent that the idempotency key of a request to rent names, and sets `rental` to the
 * index of the rental in it. Returns NULL if there is no such rental. */
static struct known_intent *find_rental(const struct call_checker *checker,
                                        const char *idempotency_key, guint *rental)
{
    const char *suffix = strrchr(idempotency_key, '-');
    char *name;
    struct known_intent *known;

    if (!suffix)
        return NULL;
    name = g_strndup(idempotency_key, (gsize)(suffix - idempotency_key));
    known = g_hash_table_lookup(checker->intents, name);
    g_free(name);
    if (!known || known->intent->role != PM_ROLE_SCALE_OUT)
        return NULL;
    *rental = (guint)strtoul(suffix + 1, NULL, DECIMAL);
    return *rental < known->intent->rentals->len ? known : NULL;
}

static void check_rental(struct call_checker *checker, const struct fake_provider_call *call)
{
    guint rental = 0;
    struct known_intent *known = find_rental(checker, call->idempotency_key, &rental);

    checker->rented++;
    if (!known) {
        g_string_append_printf(checker->violations,
                               "machine %s is rented as %s, which no intent contains\n",
                               call->machine, call->idempotency_key);
        return;
    }
    if (!known->is_open)
        g_string_append_printf(checker->violations,
                               "machine %s is rented as %s, whose intent is closed\n",
                               call->machine, call->idempotency_key);
    if (++known->rented[rental] >
        g_array_index(known->intent->rentals, struct pm_intent_rental, rental).count)
        g_string_append_printf(checker->violations, "machine %s is one more than the count of %s\n",
                               call->machine, call->idempotency_key);
}

static void check_termination(struct call_checker *checker, const struct fake_provider_call *call)
{
    const char *name = g_hash_table_lookup(checker->termination_intents, call->machine);
    const struct known_intent *known = name ? g_hash_table_lookup(checker->intents, name) : NULL;

    checker->terminated++;
    if (!known || !known->is_open) {
        g_string_append_printf(checker->violations,
                               "machine %s is terminated without an open intent\n", call->machine);
        return;
    }
    if (!call->task)
        return;
    if (call->task_started_at > known->written_at)
        g_string_append_printf(checker->violations,
                               "machine %s started task %s after the intent to terminate it\n",
                               call->machine, call->task);
    else if (call->unanswered_s < checker->lost_after_s)
        g_string_append_printf(checker->violations,
                               "machine %s is terminated while task %s runs on it\n", call->machine,
                               call->task);
}

void call_checker_on_call(struct call_checker *checker, const struct fake_provider_call *call)
{
    if (call->idempotency_key)
        check_rental(checker, call);
    else
        check_termination(checker, call);
}

/* ---- results ---- */

void call_checker_clear_violations(struct call_checker *checker)
{
    g_string_truncate(checker->violations, 0);
}

unsigned call_checker_rented(const struct call_checker *checker)
{
    return checker->rented;
}

unsigned call_checker_terminated(const struct call_checker *checker)
{
    return checker->terminated;
}

unsigned call_checker_acquisitions(const struct call_checker *checker)
{
    return checker->acquisitions;
}

unsigned call_checker_open_intents(const struct call_checker *checker)
{
    GHashTableIter iter;
    gpointer known;
    unsigned count = 0;

    g_hash_table_iter_init(&iter, checker->intents);
    while (g_hash_table_iter_next(&iter, NULL, &known))
        count += ((const struct known_intent *)known)->is_open;
    return count;
}

const char *call_checker_violations(const struct call_checker *checker)
{
    return checker->violations->str;
}
