/* A TCP relay in front of one stand-in, for tests that cut links: it tells by the connecting
 * process which controller a connection is from, and holds back, or resets, what goes over it. */
#ifndef PM_TESTING_RELAY_H
#define PM_TESTING_RELAY_H

#include <stdbool.h>
#include <sys/types.h>

struct ev_loop;
struct relay;

enum { RELAY_CONTROLLERS_MAX = 16 };

/* What is wrong with a link. Held packets are delivered once nothing holds them any more. */
struct relay_fault {
    bool from_controller; /* packets from the controller are held */
    bool to_controller;   /* packets to it are held */
    bool reset;           /* connections are reset, and new ones too */
};

/* The process of each controller, 0: it does not run. */
struct relay_controllers {
    int count;
    pid_t pid[RELAY_CONTROLLERS_MAX];
};

/* Connections of controller i go to target[i], other processes' to target[0]. */
struct relay *relay_new(struct ev_loop *loop, const char *const *target,
                        const struct relay_controllers *origins);
void relay_free(struct relay *relay);
const char *relay_addr(const struct relay *relay);
/* New connections of that controller go to another address; those that are open are reset. */
void relay_set_target(struct relay *relay, int origin, const char *target);
void relay_set_fault(struct relay *relay, int origin, struct relay_fault cut);

#endif
