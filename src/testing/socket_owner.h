/* Which controller a connection over loopback is from, by the process that holds its other end. */
#ifndef PM_TESTING_SOCKET_OWNER_H
#define PM_TESTING_SOCKET_OWNER_H

#include "testing/relay.h"

#include <netinet/in.h>

enum { SOCKET_OWNER_OTHER = -1, SOCKET_OWNER_CLOSED = -2 };

/* The controller's index; a stranger's; or its process has closed it by now. `server` is the
 * address that was connected to. */
int socket_owner_find(const struct sockaddr_in *client, const struct sockaddr_in *server,
                      const struct relay_controllers *origins);

#endif
