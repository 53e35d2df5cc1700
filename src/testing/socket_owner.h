/* Finds which controller a loopback connection is from, by the process that has its other end open:
 * through the kernel's socket diagnostics and /proc. No state; any thread. */
#ifndef PM_TESTING_SOCKET_OWNER_H
#define PM_TESTING_SOCKET_OWNER_H

#include "testing/relay.h"

#include <netinet/in.h>

/* What socket_owner_find returns if the owner is not a controller. */
enum socket_owner {
    SOCKET_OWNER_OTHER = -1, /* another process */
    SOCKET_OWNER_CLOSED = -2 /* the process has closed the connection by now */
};

/* The index of the controller that connected from `client` to `server`, or one of enum
 * socket_owner. */
int socket_owner_find(const struct sockaddr_in *client, const struct sockaddr_in *server,
                      const struct relay_controllers *controllers);

#endif
