/* Intents: a controller records in the state service what it is about to request of the machine
 * provider, before it sends the request.
 *
 * An intent names its role, the role's fencing token, and either the machines to terminate or the
 * rentals to request. It is stored under one key, regardless of how many machines it names. It is
 * open from when it is written until all its calls to the provider are settled. If the role gets a
 * new holder meanwhile, the new holder completes the open intents of earlier holders.
 *
 * This module defines the type and its codec. Its functions have no state of their own and do no
 * I/O. The controller's intents are guarded by `struct pm_controller.lock`.
 *
 * Key: p/intent/NAME {duty, token, rentals or machines}. `duty` is the role's stored name, `token`
 * the fencing token of its writer, `rentals` a list of {type, zone, spot, count}, and `machines` a
 * list of machine names. */
#ifndef PM_ROLES_INTENT_H
#define PM_ROLES_INTENT_H

#include "base/cbor.h"
#include "base/settings.h"
#include "roles/role.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    PM_INTENT_NAME_SIZE = 64,     /* bytes of an intent's name, including the terminating NUL */
    PM_INTENT_MACHINES_MAX = 100, /* limit of machines in one request to terminate */
    PM_INTENT_INSTANCES_MAX = 50, /* limit of machines in one request to rent */
    PM_INTENT_RENTALS_MAX = 8     /* limit of requests to rent in one intent */
};

/* One request to rent machines of the same type, zone and price model (spot or not). */
struct pm_intent_rental {
    char type[PM_NAME_MAX], zone[PM_NAME_MAX];
    bool spot;
    uint64_t count; /* number of machines, at least 1 */
    /* Local state of this controller, not stored: */
    bool call_in_flight; /* the request is in flight */
    bool call_settled;   /* the provider's answer was final: the request is not sent again */
};

struct pm_intent {
    char name[PM_INTENT_NAME_SIZE]; /* ROLE-TOKEN-NUMBER */
    enum pm_role role;
    uint64_t token;      /* the fencing token under which it was written */
    uint64_t revision;   /* revision of its key, 0 while the intent is not known to be durable */
    GArray *rentals;     /* of struct pm_intent_rental; empty except for scale-out */
    GPtrArray *machines; /* names of the machines to terminate, owned; empty except for scale-in */
    /* Local state of this controller, not stored: */
    bool call_in_flight; /* a call for the intent is in flight, or is about to be sent */
    bool is_closing;     /* all its calls are settled, and its key is to be deleted */
    double retry_at;     /* monotonic time before which no call is sent for it */
};

/* Returns an empty intent, owned by the caller, who fills it in. */
struct pm_intent *pm_intent_new(enum pm_role role);
/* Frees the intent and everything it owns. NULL is allowed. */
void pm_intent_free(struct pm_intent *intent);
/* Sets the intent's fencing token and its name. `number` must be unique among the intents of one
 * token, so that no two intents ever have the same name. */
void pm_intent_set_name(struct pm_intent *intent, uint64_t token, uint64_t number);
/* Writes the idempotency key of a request to rent to `out`, of `size` bytes. The key consists of
 * the intent's name and the index of the rental in the intent. */
void pm_intent_format_idempotency_key(const struct pm_intent *intent, guint rental_index, char *out,
                                      size_t size);
/* Appends the intent's stored value to `out`. */
void pm_intent_encode(const struct pm_intent *intent, struct pm_buffer *out);
/* Decodes the intent that is stored under `key` with `value` at `revision`. `key` must start with
 * PM_KEY_INTENT_PREFIX. Returns an intent owned by the caller, or NULL if the value is malformed or
 * does not match the key. */
struct pm_intent *pm_intent_decode(const char *key, const cbor_item_t *value, uint64_t revision);

#endif
