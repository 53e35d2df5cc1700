/* Sends one request to every controller and reads the leader's keys (p/lead and p/epoch) from the
 * state service, all concurrently and within a time limit. Each call runs its own event loop; the
 * module has no state. */
#ifndef PM_CMD_PUMICECTL_GATHER_H
#define PM_CMD_PUMICECTL_GATHER_H

#include "base/settings.h"

#include <jansson.h>

enum { PM_GATHER_CONTROLLERS_MAX = PM_PEERS_MAX + 1 };

/* The answer to one request, or the error that the request ended with. */
struct pm_answer {
    /* Of the controller or the state service; borrowed from the settings. */
    const char *name, *addr;
    const char *error; /* a constant text; NULL if there was a valid answer */
    int status;        /* HTTP status; 0 if there was no answer */
    json_t *body;      /* owned; NULL unless the answer had status 200 and was a map */
};

/* The answers to all requests of one call of pm_gather(). */
struct pm_gathered {
    int controller_count;
    /* The controller whose settings file was given, followed by its peers. */
    struct pm_answer controllers[PM_GATHER_CONTROLLERS_MAX];
    struct pm_answer leader_key, epoch_key; /* p/lead and p/epoch, read from the state service */
};

/* Sends GET `target` to every controller in the settings and reads the leader's keys. Returns when
 * every request has been answered or has timed out after `timeout_s`. `settings` must outlive
 * `out`. Free the answers with pm_gathered_free(). */
void pm_gather(struct pm_gathered *out, const struct pm_settings *settings, const char *target,
               double timeout_s);
/* Frees the bodies of the answers. */
void pm_gathered_free(struct pm_gathered *gathered);
/* Returns how many controllers sent a valid answer. */
int pm_gathered_answer_count(const struct pm_gathered *gathered);

#endif
