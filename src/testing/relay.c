#include "testing/relay.h"
#include "base/http_internal.h"
#include "testing/socket_owner.h"

#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum { BUFFER_SIZE = 64 * 1024, LISTEN_BACKLOG = 64, ADDR_SIZE = 64 };

struct relay {
    struct ev_loop *loop;
    ev_io accept_io;
    char addr[ADDR_SIZE];
    struct sockaddr_in listen_addr;
    char targets[RELAY_CONTROLLERS_MAX][ADDR_SIZE];
    const struct relay_controllers *controllers;
    struct relay_fault faults[RELAY_CONTROLLERS_MAX];
    GPtrArray *connections;
};

/* One direction of a connection. Holds at most one read's worth of data. */
struct flow {
    struct connection *connection;
    int from_fd, to_fd;
    ev_io read_io, write_io;
    size_t buffered, sent; /* the number of bytes in `data`, and how many were sent */
    char data[BUFFER_SIZE];
};

struct connection {
    struct relay *relay;
    int controller;      /* index of the controller that opened it, or an enum socket_owner value */
    bool is_black_holed; /* opened while a fault blocked packets; never connected to the target */
    struct flow upstream;   /* from the controller to the target */
    struct flow downstream; /* from the target to the controller */
};

static void connection_close(struct connection *connection, bool reset)
{
    struct linger linger = {1, 0};

    ev_io_stop(connection->relay->loop, &connection->upstream.read_io);
    ev_io_stop(connection->relay->loop, &connection->upstream.write_io);
    ev_io_stop(connection->relay->loop, &connection->downstream.read_io);
    ev_io_stop(connection->relay->loop, &connection->downstream.write_io);
    if (reset)
        setsockopt(connection->upstream.from_fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
    close(connection->upstream.from_fd);
    if (connection->downstream.from_fd >= 0)
        close(connection->downstream.from_fd);
    g_ptr_array_remove_fast(connection->relay->connections, connection);
    g_free(connection);
}

static struct relay_fault fault_of(const struct connection *connection)
{
    return connection->controller < 0 ? (struct relay_fault){0}
                                      : connection->relay->faults[connection->controller];
}

static bool is_blocked(const struct flow *flow)
{
    struct relay_fault fault = fault_of(flow->connection);

    return flow == &flow->connection->upstream ? fault.from_controller : fault.to_controller;
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    struct flow *flow = watcher->data;
    ssize_t size = recv(flow->from_fd, flow->data, sizeof flow->data, 0);

    (void)events;
    if (size < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (size <= 0) {
        connection_close(flow->connection, false);
        return;
    }
    flow->buffered = (size_t)size;
    flow->sent = 0;
    ev_io_stop(loop, &flow->read_io);
    ev_io_start(loop, &flow->write_io);
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
    struct flow *flow = watcher->data;
    ssize_t size =
        send(flow->to_fd, flow->data + flow->sent, flow->buffered - flow->sent, MSG_NOSIGNAL);

    (void)events;
    if (size < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN))
        return;
    if (size < 0) {
        connection_close(flow->connection, true);
        return;
    }
    flow->sent += (size_t)size;
    if (flow->sent < flow->buffered)
        return;
    flow->buffered = 0;
    ev_io_stop(loop, &flow->write_io);
    if (!is_blocked(flow))
        ev_io_start(loop, &flow->read_io);
}

static void flow_init(struct flow *flow, struct connection *connection, int from_fd, int to_fd)
{
    flow->connection = connection;
    flow->from_fd = from_fd;
    flow->to_fd = to_fd;
    ev_io_init(&flow->read_io, on_readable, from_fd, EV_READ);
    ev_io_init(&flow->write_io, on_writable, to_fd, EV_WRITE);
    flow->read_io.data = flow->write_io.data = flow;
}

/* Starts or stops reading in each direction: a direction is read only while the fault does not
 * block it and all data read so far has been sent. */
static void apply_fault(struct connection *connection)
{
    struct flow *flows[] = {&connection->upstream, &connection->downstream};

    if (connection->is_black_holed)
        return;
    for (int i = 0; i < (int)G_N_ELEMENTS(flows); i++) {
        if (is_blocked(flows[i]))
            ev_io_stop(connection->relay->loop, &flows[i]->read_io);
        else if (!flows[i]->buffered)
            ev_io_start(connection->relay->loop, &flows[i]->read_io);
    }
}

/* ---- connections ---- */

static bool is_blocking(struct relay_fault fault)
{
    return fault.from_controller || fault.to_controller;
}

/* Connects to the target; closes the connection if that fails. */
static void connect_to_target(struct connection *connection)
{
    struct relay *relay = connection->relay;
    int fd = connection->upstream.to_fd;
    struct sockaddr_in target;

    pm_http_parse_addr(relay->targets[MAX(connection->controller, 0)], &target);
    if (connect(fd, (struct sockaddr *)&target, sizeof target) && errno != EINPROGRESS)
        connection_close(connection, true);
    else
        apply_fault(connection);
}

static struct connection *connection_new(struct relay *relay, int fd, int controller)
{
    struct connection *connection = g_new0(struct connection, 1);
    int target_fd;

    connection->relay = relay;
    connection->controller = controller;
    connection->is_black_holed = is_blocking(fault_of(connection));
    target_fd = connection->is_black_holed ? -1 : pm_http_new_socket();
    flow_init(&connection->upstream, connection, fd, target_fd);
    flow_init(&connection->downstream, connection, target_fd, fd);
    g_ptr_array_add(relay->connections, connection);
    return connection;
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
    struct relay *relay = watcher->data;
    struct sockaddr_in peer = {0};
    socklen_t size = sizeof peer;
    int fd = accept4(watcher->fd, (struct sockaddr *)&peer, &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    struct connection *connection;
    int controller;

    (void)loop;
    (void)events;
    if (fd < 0)
        return;
    controller = socket_owner_find(&peer, &relay->listen_addr, relay->controllers);
    connection = connection_new(relay, fd, controller);
    if (fault_of(connection).reset || controller == SOCKET_OWNER_CLOSED)
        connection_close(connection, true);
    else if (!connection->is_black_holed)
        connect_to_target(connection);
}

void relay_set_fault(struct relay *relay, int controller, struct relay_fault fault)
{
    relay->faults[controller] = fault;
    for (guint i = relay->connections->len; i > 0; i--) {
        struct connection *connection = g_ptr_array_index(relay->connections, i - 1);
        if (connection->controller != controller)
            continue;
        if (fault.reset || (connection->is_black_holed && !is_blocking(fault)))
            connection_close(connection, true);
        else
            apply_fault(connection);
    }
}

void relay_set_target(struct relay *relay, int controller, const char *target)
{
    g_strlcpy(relay->targets[controller], target, sizeof relay->targets[controller]);
    for (guint i = relay->connections->len; i > 0; i--) {
        struct connection *connection = g_ptr_array_index(relay->connections, i - 1);
        if (connection->controller == controller)
            connection_close(connection, true);
    }
}

struct relay *relay_new(struct ev_loop *loop, const char *const *targets,
                        const struct relay_controllers *controllers)
{
    struct relay *relay = g_new0(struct relay, 1);
    struct sockaddr_in addr = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof addr;
    int fd = pm_http_new_socket();

    relay->loop = loop;
    relay->controllers = controllers;
    relay->connections = g_ptr_array_new();
    for (int i = 0; i < controllers->count; i++)
        g_strlcpy(relay->targets[i], targets[i], sizeof relay->targets[i]);
    if (bind(fd, (struct sockaddr *)&addr, sizeof addr) || listen(fd, LISTEN_BACKLOG) ||
        getsockname(fd, (struct sockaddr *)&addr, &size))
        g_error("relay cannot listen on a loopback port");
    relay->listen_addr = addr;
    snprintf(relay->addr, sizeof relay->addr, "127.0.0.1:%d", ntohs(addr.sin_port));
    ev_io_init(&relay->accept_io, on_accept, fd, EV_READ);
    relay->accept_io.data = relay;
    ev_io_start(loop, &relay->accept_io);
    return relay;
}

void relay_free(struct relay *relay)
{
    for (guint i = relay->connections->len; i > 0; i--)
        connection_close(g_ptr_array_index(relay->connections, i - 1), true);
    g_ptr_array_free(relay->connections, TRUE);
    ev_io_stop(relay->loop, &relay->accept_io);
    close(relay->accept_io.fd);
    g_free(relay);
}

const char *relay_addr(const struct relay *relay)
{
    return relay->addr;
}
