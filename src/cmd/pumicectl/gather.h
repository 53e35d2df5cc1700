/* Requests to all controllers and the state service at the same time, for a bounded time. Each call
 * runs an event loop of its own; there is no other state. Keys read: p/lead, p/epoch. */
#ifndef PM_CMD_PUMICECTL_GATHER_H
#define PM_CMD_PUMICECTL_GATHER_H

#include "base/settings.h"

#include <jansson.h>

enum { PM_GATHER_MAX = PM_PEERS_MAX + 1 }; /* controllers */

/* The answer to one request, or why there is none. */
struct pm_answer {
    const char *name, *addr; /* of the controller, or the state service; borrowed from settings */
    const char *error;       /* a constant text; NULL: it answered */
    int status;              /* of HTTP, 0: none */
    json_t *body;            /* owned; NULL unless it answered 200 with a map */
};

struct pm_gathered {
    int controller_count;
    struct pm_answer controllers[PM_GATHER_MAX]; /* the one of the settings first, then its peers */
    struct pm_answer leader_key, epoch_key;      /* p/lead and p/epoch of the state service */
};

/* Requests `target` of every controller in the settings, and the leader's keys of the state
 * service. Returns when all have answered, after `timeout_s` at the latest. `settings` is borrowed
 * as long as `out` is used, which is freed with pm_gathered_free. */
void pm_gather(struct pm_gathered *out, const struct pm_settings *settings, const char *target,
               double timeout_s);
/* Frees the answers. */
void pm_gathered_free(struct pm_gathered *gathered);
/* How many controllers answered. */
int pm_gathered_count(const struct pm_gathered *gathered);

#endif
