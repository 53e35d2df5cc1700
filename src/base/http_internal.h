/* Functions shared by the HTTP server and the HTTP client. Other code includes base/http.h only. */
#ifndef PM_BASE_HTTP_INTERNAL_H
#define PM_BASE_HTTP_INTERNAL_H

#include "base/cbor.h"

#include <http_parser.h>
#include <netinet/in.h>
#include <stdbool.h>

enum { PM_HTTP_TARGET_MAX = 1024 };

/* Parses "IP:PORT". Returns false if the text is malformed. */
bool pm_http_parse_addr(const char *text, struct sockaddr_in *out);
/* Returns a non-blocking TCP socket with Nagle's algorithm turned off, or -1. */
int pm_http_new_socket(void);
/* Sends the bytes of `buf` from offset `*sent` on, as many as the socket accepts, and advances
 * `*sent`. Returns false if the connection is broken. */
bool pm_http_send_remaining(int fd, const struct pm_buffer *buf, size_t *sent);
/* The parser's callback for the end of a message: sets `complete`, sets `keep_alive` to whether the
 * connection may be kept open, and pauses the parser, so that it does not read what follows. */
int pm_http_end_message(http_parser *parser, bool *complete, bool *keep_alive);
/* Returns whether the monotonic time `deadline` has passed. A `deadline` of 0 means that there is
 * none. A message that is valid only while the controller's epoch is confirmed has such a deadline.
 * Must be called right before sending: the process may have been suspended since the message was
 * queued. */
bool pm_http_is_past_deadline(double deadline);

#endif
