/* What the server and the client of base/http.h share; nobody else includes it. */
#ifndef PM_BASE_HTTP_INTERNAL_H
#define PM_BASE_HTTP_INTERNAL_H

#include <netinet/in.h>
#include <stdbool.h>

enum { PM_HTTP_TARGET_MAX = 1024 };

/* Reads "IP:PORT"; -1 when it is no such text. */
int pm_http_parse_addr(const char *text, struct sockaddr_in *out);
/* A non-blocking socket without delays, or -1. */
int pm_http_new_socket(void);
/* Whether what rests on something confirmed a while ago may not be written any more: the process
 * may have stood still since that was looked at. */
bool pm_http_is_too_late(double valid_until);

#endif
