/* Sockets, addresses and deadlines, for the HTTP server and the HTTP client. */
#include "base/http_internal.h"
#include "base/clock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

bool pm_http_parse_addr(const char *text, struct sockaddr_in *out)
{
    char host[64];
    const char *colon = strrchr(text, ':');
    long port;

    if (!colon || (size_t)(colon - text) >= sizeof host)
        return false;
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = 0;
    port = strtol(colon + 1, NULL, 10);
    if (port < 0 || port > UINT16_MAX)
        return false;
    memset(out, 0, sizeof *out);
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

int pm_http_new_socket(void)
{
    int enabled = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd >= 0)
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    return fd;
}

bool pm_http_send_remaining(int fd, const struct pm_buffer *buf, size_t *sent)
{
    ssize_t written = send(fd, buf->data + *sent, buf->size - *sent, MSG_NOSIGNAL);

    if (written < 0)
        return errno == EAGAIN || errno == EINTR;
    *sent += (size_t)written;
    return true;
}

int pm_http_end_message(http_parser *parser, bool *complete, bool *keep_alive)
{
    *complete = true;
    *keep_alive = http_should_keep_alive(parser);
    http_parser_pause(parser, 1);
    return 0;
}

bool pm_http_is_past_deadline(double deadline)
{
    return deadline > 0 && pm_clock_monotonic() > deadline;
}
