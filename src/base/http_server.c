/* The HTTP server's listener: accepts connections, and closes old ones when there are too many. */
#include "base/http_server_internal.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    ACCEPTS_PER_TURN_MAX = 16, /* connections accepted in one iteration of the event loop */
    SPARE_DIVISOR = 8          /* one of SPARE_DIVISOR connections is kept free for new clients */
};

/* Makes room for a new connection by closing the one whose latest request was the longest ago: its
 * client can reconnect. Returns false if that connection is being served. */
static bool close_oldest(struct pm_http_server *server)
{
    struct pm_http_connection *oldest = server->connections.head->data;

    if (oldest->request || oldest->out_buffer.size)
        return false;
    pm_http_close_connection(oldest);
    return true;
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
    struct pm_http_server *server = watcher->data;

    (void)loop;
    (void)events;
    for (int i = 0; i < ACCEPTS_PER_TURN_MAX; i++) {
        int fd = accept4(server->accept_watcher.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        if (server->connection_count >= server->connections_max && !close_oldest(server)) {
            close(fd);
            continue;
        }
        pm_http_open_connection(server, fd);
    }
}

/* Returns a listening socket, or -1 with errno set. */
static int open_listener(const struct sockaddr_in *socket_addr)
{
    int enabled = 1;
    int saved_errno;
    int fd = pm_http_new_socket();

    if (fd < 0)
        return -1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (!bind(fd, (const struct sockaddr *)socket_addr, sizeof *socket_addr) &&
        !listen(fd, SOMAXCONN))
        return fd;
    saved_errno = errno;
    close(fd);
    errno = saved_errno;
    return -1;
}

struct pm_http_server *pm_http_server_new(struct ev_loop *loop, const char *addr, int conns_max,
                                          pm_http_handler *handler, void *arg)
{
    struct pm_http_server *server;
    struct sockaddr_in socket_addr;
    int fd;

    if (!pm_http_parse_addr(addr, &socket_addr)) {
        errno = EINVAL;
        return NULL;
    }
    fd = open_listener(&socket_addr);
    if (fd < 0)
        return NULL;
    server = g_new0(struct pm_http_server, 1);
    server->loop = loop;
    server->connections_max = conns_max;
    server->keep_alive_max = conns_max - conns_max / SPARE_DIVISOR;
    server->handler = handler;
    server->arg = arg;
    g_queue_init(&server->connections);
    g_queue_init(&server->send_due);
    ev_prepare_init(&server->prepare_watcher, pm_http_send_queued_responses);
    server->prepare_watcher.data = server;
    ev_prepare_start(loop, &server->prepare_watcher);
    ev_unref(loop);
    ev_io_init(&server->accept_watcher, on_accept, fd, EV_READ);
    server->accept_watcher.data = server;
    ev_io_start(loop, &server->accept_watcher);
    return server;
}

void pm_http_server_free(struct pm_http_server *server)
{
    struct pm_http_connection *connection;

    /* Closing a connection removes it from the queue. */
    while ((connection = g_queue_peek_head(&server->connections)))
        pm_http_close_connection(connection);
    ev_io_stop(server->loop, &server->accept_watcher);
    ev_ref(server->loop);
    ev_prepare_stop(server->loop, &server->prepare_watcher);
    close(server->accept_watcher.fd);
    g_free(server);
}
