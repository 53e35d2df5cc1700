/* A TCP relay in front of a server (a fake service, or a controller's port for peers) that injects
 * network faults. For each connection it finds out which controller's process opened it, and
 * applies that controller's fault.
 *
 * All functions are called only in the thread that runs the event loop; there is no lock. */
#ifndef PM_TESTING_RELAY_H
#define PM_TESTING_RELAY_H

#include <stdbool.h>
#include <sys/types.h>

struct ev_loop;
struct relay;

enum { RELAY_CONTROLLERS_MAX = 16 };

/* A network fault between a controller and the server behind the relay. When blocking ends, the
 * data that was blocked on an open connection is delivered, as TCP retransmission would do. */
struct relay_fault {
    bool from_controller; /* packets from the controller are blocked */
    bool to_controller;   /* packets to the controller are blocked */
    bool reset;           /* open and new connections are reset */
};

/* The controllers' processes. The code that starts and ends them keeps this up to date. */
struct relay_controllers {
    int count;
    pid_t pid[RELAY_CONTROLLERS_MAX]; /* 0: the controller is not running */
};

/* Creates a relay without faults, owned by the caller. Connections from controller i are forwarded
 * to targets[i], those from other processes to targets[0]; each target is "IP:PORT" and is copied.
 * `controllers` is borrowed. Aborts the process if no port can be opened. */
struct relay *relay_new(struct ev_loop *loop, const char *const *targets,
                        const struct relay_controllers *controllers);
/* Resets all connections and frees the relay. */
void relay_free(struct relay *relay);
/* The address that the relay listens on, as "IP:PORT"; borrowed from the relay. */
const char *relay_addr(const struct relay *relay);
/* Forwards new connections from this controller to `target`, and resets its open ones. */
void relay_set_target(struct relay *relay, int controller, const char *target);
/* Sets the fault of this controller's connections, including open ones. */
void relay_set_fault(struct relay *relay, int controller, struct relay_fault fault);

#endif
