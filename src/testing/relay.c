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

enum { BUFFER = 64 * 1024 };

struct relay {
    struct ev_loop *loop;
    ev_io accept_io;
    char addr[64];
    struct sockaddr_in own;
    char target[RELAY_CONTROLLERS_MAX][64];
    const struct relay_controllers *origins;
    struct relay_fault cut[RELAY_CONTROLLERS_MAX];
    GPtrArray *connections;
};

/* One direction of a connection. */
struct flow {
    struct connection *connection;
    int from, to;
    ev_io in, out;
    size_t size, sent;
    char data[BUFFER];
};

struct connection {
    struct relay *relay;
    int origin;            /* -1: no controller */
    bool doomed;           /* begun while the link was cut: it never completes */
    struct flow out, back; /* from the controller, to it */
};

static void connection_close(struct connection *c, bool reset)
{
    struct linger linger = {1, 0};

    ev_io_stop(c->relay->loop, &c->out.in);
    ev_io_stop(c->relay->loop, &c->out.out);
    ev_io_stop(c->relay->loop, &c->back.in);
    ev_io_stop(c->relay->loop, &c->back.out);
    if (reset)
        setsockopt(c->out.from, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
    close(c->out.from);
    if (c->back.from >= 0)
        close(c->back.from);
    g_ptr_array_remove_fast(c->relay->connections, c);
    g_free(c);
}

static struct relay_fault cut_of(const struct connection *c)
{
    return c->origin < 0 ? (struct relay_fault){0} : c->relay->cut[c->origin];
}

static bool is_held(const struct flow *flow)
{
    struct relay_fault cut = cut_of(flow->connection);

    return flow == &flow->connection->out ? cut.from_controller : cut.to_controller;
}

static void on_readable(struct ev_loop *loop, ev_io *w, int events)
{
    struct flow *flow = w->data;
    ssize_t n = recv(flow->from, flow->data, sizeof flow->data, 0);

    (void)events;
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n <= 0) {
        connection_close(flow->connection, false);
        return;
    }
    flow->size = (size_t)n;
    flow->sent = 0;
    ev_io_stop(loop, &flow->in);
    ev_io_start(loop, &flow->out);
}

static void on_writable(struct ev_loop *loop, ev_io *w, int events)
{
    struct flow *flow = w->data;
    ssize_t n = send(flow->to, flow->data + flow->sent, flow->size - flow->sent, MSG_NOSIGNAL);

    (void)events;
    if (n < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN))
        return;
    if (n < 0) {
        connection_close(flow->connection, true);
        return;
    }
    flow->sent += (size_t)n;
    if (flow->sent < flow->size)
        return;
    flow->size = 0;
    ev_io_stop(loop, &flow->out);
    if (!is_held(flow))
        ev_io_start(loop, &flow->in);
}

static void flow_init(struct flow *flow, struct connection *c, int from, int to)
{
    flow->connection = c;
    flow->from = from;
    flow->to = to;
    ev_io_init(&flow->in, on_readable, from, EV_READ);
    ev_io_init(&flow->out, on_writable, to, EV_WRITE);
    flow->in.data = flow->out.data = flow;
}

/* Holds or lets go what the link's cut now says. */
static void apply_cut(struct connection *c)
{
    struct flow *flows[] = {&c->out, &c->back};

    if (c->doomed)
        return;
    for (int i = 0; i < 2; i++) {
        if (is_held(flows[i]))
            ev_io_stop(c->relay->loop, &flows[i]->in);
        else if (!flows[i]->size)
            ev_io_start(c->relay->loop, &flows[i]->in);
    }
}

/* ---- connections ---- */

static void on_accept(struct ev_loop *loop, ev_io *w, int events)
{
    struct relay *relay = w->data;
    struct sockaddr_in peer = {0};
    struct sockaddr_in target;
    socklen_t size = sizeof peer;
    int fd = accept4(w->fd, (struct sockaddr *)&peer, &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    struct connection *c;
    struct relay_fault cut;

    (void)loop;
    (void)events;
    if (fd < 0)
        return;
    c = g_new0(struct connection, 1);
    c->relay = relay;
    c->origin = socket_owner_find(&peer, &relay->own, relay->origins);
    cut = cut_of(c);
    c->doomed = cut.from_controller || cut.to_controller;
    g_ptr_array_add(relay->connections, c);
    flow_init(&c->out, c, fd, c->doomed ? -1 : pm_http_new_socket());
    flow_init(&c->back, c, c->out.to, fd);
    if (cut.reset || c->origin == SOCKET_OWNER_CLOSED) {
        connection_close(c, true);
        return;
    }
    if (c->doomed)
        return;
    pm_http_parse_addr(relay->target[MAX(c->origin, 0)], &target);
    if (connect(c->out.to, (struct sockaddr *)&target, sizeof target) && errno != EINPROGRESS)
        connection_close(c, true);
    else
        apply_cut(c);
}

void relay_set_fault(struct relay *relay, int origin, struct relay_fault cut)
{
    relay->cut[origin] = cut;
    for (guint i = relay->connections->len; i > 0; i--) {
        struct connection *c = g_ptr_array_index(relay->connections, i - 1);
        bool held = cut.from_controller || cut.to_controller;
        if (c->origin != origin)
            continue;
        if (cut.reset || (c->doomed && !held))
            connection_close(c, true);
        else
            apply_cut(c);
    }
}

void relay_set_target(struct relay *relay, int origin, const char *target)
{
    g_strlcpy(relay->target[origin], target, sizeof relay->target[origin]);
    for (guint i = relay->connections->len; i > 0; i--) {
        struct connection *c = g_ptr_array_index(relay->connections, i - 1);
        if (c->origin == origin)
            connection_close(c, true);
    }
}

struct relay *relay_new(struct ev_loop *loop, const char *const *target,
                        const struct relay_controllers *origins)
{
    struct relay *relay = g_new0(struct relay, 1);
    struct sockaddr_in sa = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof sa;
    int fd = pm_http_new_socket();

    relay->loop = loop;
    relay->origins = origins;
    relay->connections = g_ptr_array_new();
    for (int i = 0; i < origins->count; i++)
        g_strlcpy(relay->target[i], target[i], sizeof relay->target[i]);
    if (bind(fd, (struct sockaddr *)&sa, sizeof sa) || listen(fd, 64) ||
        getsockname(fd, (struct sockaddr *)&sa, &size))
        g_error("a relay can't listen");
    relay->own = sa;
    snprintf(relay->addr, sizeof relay->addr, "127.0.0.1:%d", ntohs(sa.sin_port));
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
