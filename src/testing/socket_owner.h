/* Finds out which controller opened a loopback connection: looks up the client socket's inode with
 * the kernel's socket diagnostics, and the process that holds it in /proc. No state; may be called
 * from any thread. */
#ifndef PM_TESTING_SOCKET_OWNER_H
#define PM_TESTING_SOCKET_OWNER_H

#include "testing/relay.h"

#include <netinet/in.h>

/* Results of socket_owner_find other than a controller's index. */
enum socket_owner {
    SOCKET_OWNER_OTHER = -1, /* another process */
    SOCKET_OWNER_CLOSED = -2 /* the client has already closed the connection */
};

/* Returns the index of the controller that connected from `client` to `server`, or an enum
 * socket_owner value. */
int socket_owner_find(const struct sockaddr_in *client, const struct sockaddr_in *server,
                      const struct relay_controllers *controllers);

#endif
