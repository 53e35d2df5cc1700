/* A TCP relay in front of one stand-in, which injects faults of the network: it finds out by the
 * connecting process which controller a connection is from, and blocks or resets what that
 * controller's fault says.
 *
 * All functions are called in the thread that runs the event loop, and only there; there is no
 * lock. */
#ifndef PM_TESTING_RELAY_H
#define PM_TESTING_RELAY_H

#include <stdbool.h>
#include <sys/types.h>

struct ev_loop;
struct relay;

enum { RELAY_CONTROLLERS_MAX = 16 };

/* A fault of the network between a controller and a stand-in. Packets that were blocked are
 * delivered once nothing blocks them any more, as after retransmission. */
struct relay_fault {
    bool from_controller; /* packets from the controller are blocked */
    bool to_controller;   /* packets to it are blocked */
    bool reset;           /* connections are reset, and new ones too */
};

/* The processes of the controllers. Shared with whoever starts and ends them. */
struct relay_controllers {
    int count;
    pid_t pid[RELAY_CONTROLLERS_MAX]; /* 0: it does not run */
};

/* A relay without faults; the caller owns it. Connections of controller i go to targets[i], those
 * of other processes to targets[0]; each is "IP:PORT" and copied. `controllers` is borrowed. Ends
 * the process if no port can be opened. */
struct relay *relay_new(struct ev_loop *loop, const char *const *targets,
                        const struct relay_controllers *controllers);
/* Resets all connections and frees the relay. */
void relay_free(struct relay *relay);
/* The address that the relay listens at, as "IP:PORT"; borrowed. */
const char *relay_addr(const struct relay *relay);
/* New connections of that controller go to another address; those that are open are reset. */
void relay_set_target(struct relay *relay, int controller, const char *target);
/* Sets the fault of that controller's connections, also of open ones. */
void relay_set_fault(struct relay *relay, int controller, struct relay_fault fault);

#endif
