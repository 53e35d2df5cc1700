/* What the server and the client of base/http.h share; nobody else includes it. */
#ifndef PM_BASE_HTTP_INTERNAL_H
#define PM_BASE_HTTP_INTERNAL_H

#include "base/cbor.h"

#include <http_parser.h>
#include <netinet/in.h>
#include <stdbool.h>

enum { PM_HTTP_TARGET_MAX = 1024 };

/* Reads "IP:PORT"; false when it is no such text. */
bool pm_http_parse_addr(const char *text, struct sockaddr_in *out);
/* A non-blocking socket without delays, or -1. */
int pm_http_new_socket(void);
/* Sends what `buf` holds from `*sent` on, as far as the socket takes it; false: it is broken. */
bool pm_http_send_rest(int fd, const struct pm_buffer *buf, size_t *sent);
/* A message is whole: the parser stops behind it, whatever follows. */
int pm_http_end_message(http_parser *parser, bool *complete, bool *keep);
/* Whether what rests on something confirmed a while ago may not be written any more: the process
 * may have stood still since that was looked at. */
bool pm_http_is_past_deadline(double deadline);

#endif
