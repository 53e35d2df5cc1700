/* Intents: what a controller is about to request of the machine provider, made durable first.
 *
 * An intent names its role, the role's fencing token, and either the machines to terminate or the
 * rentals to request. It is one stored key, however many machines it names. It is open from when it
 * is written until the provider has answered for all of it; whoever has the role then completes the
 * open intents of earlier holders.
 *
 * This module owns the type and its codec. Its functions have no state of their own and do no I/O.
 * The controller's intents are guarded by `struct pm_controller.lock`.
 *
 * Key: p/intent/NAME {duty, token, rentals or machines}. `duty` is the role's stored name, `token`
 * the fencing token of its writer, `rentals` a list of {type, zone, spot, count}, `machines` a list
 * of machine names. */
#ifndef PM_ROLES_INTENT_H
#define PM_ROLES_INTENT_H

#include "base/cbor.h"
#include "base/settings.h"
#include "roles/role.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    PM_INTENT_NAME_SIZE = 64,     /* bytes of an intent's name, with the NUL at its end */
    PM_INTENT_MACHINES_MAX = 100, /* machines in one request to terminate, at most */
    PM_INTENT_INSTANCES_MAX = 50, /* machines in one request to rent, at most */
    PM_INTENT_RENTALS_MAX = 8     /* requests to rent in one intent, at most */
};

/* One request to rent machines of one kind. */
struct pm_intent_rental {
    char type[PM_NAME_MAX], zone[PM_NAME_MAX];
    bool spot;
    uint64_t count; /* machines, at least 1 */
    /* Known to this controller alone; not stored. */
    bool call_in_flight; /* a call for it is in flight */
    bool is_answered;    /* the provider has answered */
};

struct pm_intent {
    char name[PM_INTENT_NAME_SIZE]; /* ROLE-TOKEN-NUMBER */
    enum pm_role role;
    uint64_t token;      /* the fencing token under which it was written */
    uint64_t revision;   /* of its key, 0: not known to be durable */
    GArray *rentals;     /* of struct pm_intent_rental; empty unless scaling out */
    GPtrArray *machines; /* names of the machines to terminate, owned; empty unless scaling in */
    /* Known to this controller alone; not stored. */
    bool call_in_flight; /* a call to terminate is in flight */
    bool is_closing;     /* the provider has answered for all of it; its key is to be deleted */
    double retry_at;     /* monotonic seconds: no call before this time */
};

/* An empty intent for the caller to fill; the caller owns it. */
struct pm_intent *pm_intent_new(enum pm_role role);
/* Frees the intent and all inside it; NULL is allowed. */
void pm_intent_free(struct pm_intent *intent);
/* Sets the intent's token and name. `number` must differ between all intents of one token, so that
 * no two intents ever have the same name. */
void pm_intent_set_name(struct pm_intent *intent, uint64_t token, uint64_t number);
/* Writes the idempotency name of a rental's request to `out`, of `size` bytes: the intent's name
 * and the rental's index in it. */
void pm_intent_format_booking(const struct pm_intent *intent, guint rental_index, char *out,
                              size_t size);
/* Appends the intent's stored value to `out`. */
void pm_intent_encode(const struct pm_intent *intent, struct pm_buffer *out);
/* The intent that is stored under `key` with `value` at `revision`; the caller owns it. `key`
 * starts with PM_KEY_INTENT_PREFIX. NULL: the value is malformed, or the key does not belong to it.
 */
struct pm_intent *pm_intent_decode(const char *key, const cbor_item_t *value, uint64_t revision);

#endif
