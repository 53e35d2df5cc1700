/* Intents: what a controller is about to ask of the cloud, durable before it is asked.
 *
 * An intent names its duty, the duty's fencing token, and either the machines that are to be
 * returned or the rentals that are to be requested: one intent is one write, however many these
 * are. It is open from when it is written until the cloud has said what became of all of it. */
#ifndef PM_ROLES_INTENT_H
#define PM_ROLES_INTENT_H

#include "base/cbor.h"
#include "base/settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define PM_INTENT_KEY_PREFIX "p/intent/"

/* The duties that are held under a lease of their own. */
enum pm_role { PM_ROLE_SCALE_OUT, PM_ROLE_SCALE_IN, PM_ROLE_GARBAGE_COLLECTION, PM_ROLE_COUNT };

const char *pm_role_name(enum pm_role duty);
/* -1: no such duty. */
int pm_role_find(const char *name);

enum {
    PM_INTENT_NAME = 64,
    PM_INTENT_MACHINES = 100, /* in one request to return, */
    PM_INTENT_RENTED = 50,    /* in one to rent, as the cloud takes them */
    PM_INTENT_RENTALS = 8     /* requests to rent in one intent */
};

struct pm_intent_rental {
    char type[PM_NAME_MAX], zone[PM_NAME_MAX];
    bool spot;
    uint64_t count;
    bool busy, settled; /* this controller's own: a call is under way; the cloud has answered */
};

struct pm_intent {
    char name[PM_INTENT_NAME]; /* DUTY-TOKEN-NUMBER */
    enum pm_role duty;
    uint64_t token;      /* of the duty, as its writer held it */
    uint64_t revision;   /* of its key, 0: not known to be durable */
    GArray *rentals;     /* of struct pm_intent_rental */
    GPtrArray *machines; /* to be returned: names, owned */
    /* This controller's own. */
    bool busy;       /* a call to return is under way */
    bool closing;    /* the cloud has said what became of it; its key is to go */
    double retry_at; /* steady: not to be sent again before */
};

/* An empty one, for the caller to fill. */
struct pm_intent *pm_intent_new(enum pm_role duty);
void pm_intent_free(struct pm_intent *intent);
/* Names it, so that nobody ever names another one alike. */
void pm_intent_set_name(struct pm_intent *intent, uint64_t token, uint64_t number);
/* The name of a rental's request to the cloud: that of the intent, and its place in it. */
void pm_intent_booking(const struct pm_intent *intent, guint rental, char *out, size_t size);
/* Its value in the state service. */
void pm_intent_write(const struct pm_intent *intent, struct pm_buf *out);
/* NULL: the value, or the key, is malformed. */
struct pm_intent *pm_intent_read(const char *key, const cbor_item_t *value, uint64_t revision);

#endif
