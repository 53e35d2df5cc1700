/* Asks all controllers, and the state service, at the same time, for a bounded time. */
#ifndef PM_CMD_PUMICECTL_GATHER_H
#define PM_CMD_PUMICECTL_GATHER_H

#include "base/settings.h"

#include <jansson.h>

enum { PM_GATHER_MAX = PM_PEERS_MAX + 1 };

/* What became of one question. */
struct pm_answer {
    const char *name, *addr; /* of the controller, or the state service; borrowed */
    const char *error;       /* a constant text; NULL: it answered */
    int status;              /* of HTTP, 0: none */
    json_t *body;            /* NULL unless it answered 200 with a map */
};

struct pm_gathered {
    int controllers;
    struct pm_answer controller[PM_GATHER_MAX]; /* the one of the settings first, then its peers */
    struct pm_answer lead, epoch;               /* p/lead and p/epoch of the state service */
};

/* Asks every controller of the settings for `target`, which is borrowed until this returns: after
 * `timeout_s` at the latest. */
void pm_gather(struct pm_gathered *out, const struct pm_settings *settings, const char *target,
               double timeout_s);
void pm_gathered_free(struct pm_gathered *gathered);
/* How many of the controllers answered. */
int pm_gathered_count(const struct pm_gathered *gathered);

/* A CBOR item as JSON, with whatever could confuse a terminal replaced; NULL: none can be made. */
json_t *pm_json_of_cbor(const void *data, size_t size);

#endif
