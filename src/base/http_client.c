/* The HTTP client: connections kept by target, one request on each at a time. */
#include "base/http.h"
#include "base/cbor.h"
#include "base/clock.h"
#include "base/http_internal.h"
#include "base/log.h"

#include <errno.h>
#include <ev.h>
#include <glib.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct endpoint {
    char addr[64];
    struct sockaddr_in socket_addr;
    GQueue idle_connections; /* of struct call with no request */
};

struct call { /* a connection, and the request that it carries */
    struct pm_http_client *client;
    struct endpoint *endpoint;
    int fd;
    ev_io read_watcher, write_watcher;
    ev_timer timeout_timer;
    http_parser parser;
    struct pm_buffer out_buffer, body;
    size_t sent_size, body_max;
    pm_http_done *done;
    void *arg;
    bool is_busy, is_connected, is_complete, keep_alive;
    bool failed_locally;      /* for want of a socket, or dropped as too late */
    double began_at;          /* steady */
    char method[8], path[64]; /* the latter as far as it fits */
    double deadline;          /* steady: the request is not to go out later, 0: no matter when */
    bool is_send_due;         /* among the client's `due` */
    GList idle_link;          /* in the client's `idle`, while not busy */
};

struct pm_http_client {
    struct ev_loop *loop;
    ev_prepare prepare_watcher;
    GHashTable *endpoints;
    int connection_count, connections_max;
    pm_http_observer *observer;
    void *observer_arg;
    GQueue idle_connections; /* of struct call with no request, the latest used first */
    GQueue send_due;         /* of struct call, with something to send */
};

static void free_call(struct call *call)
{
    ev_io_stop(call->client->loop, &call->read_watcher);
    ev_io_stop(call->client->loop, &call->write_watcher);
    ev_timer_stop(call->client->loop, &call->timeout_timer);
    if (call->fd >= 0)
        close(call->fd);
    if (!call->is_busy) {
        g_queue_remove(&call->endpoint->idle_connections, call);
        g_queue_unlink(&call->client->idle_connections, &call->idle_link);
    }
    if (call->is_send_due)
        g_queue_remove(&call->client->send_due, call);
    pm_buffer_free(&call->out_buffer);
    pm_buffer_free(&call->body);
    call->client->connection_count--;
    g_free(call);
}

static void notify_observer(const struct call *call, int status)
{
    struct pm_http_outcome outcome = {call->endpoint->addr, call->method,        call->path, status,
                                      call->began_at,       pm_clock_monotonic()};

    if (call->client->observer && !call->failed_locally)
        call->client->observer(call->client->observer_arg, &outcome);
}

static void end_call(struct call *call, int status)
{
    pm_http_done *done = call->done;
    void *arg = call->arg;
    struct pm_buffer body = call->body;

    call->body = (struct pm_buffer){0};
    call->done = NULL;
    ev_timer_stop(call->client->loop, &call->timeout_timer);
    notify_observer(call, status);
    if (status > 0 && call->keep_alive && call->endpoint->idle_connections.length < 16) {
        call->is_busy = false;
        call->out_buffer.size = call->sent_size = 0;
        g_queue_push_head(&call->endpoint->idle_connections, call);
        call->idle_link = (GList){.data = call};
        g_queue_push_head_link(&call->client->idle_connections, &call->idle_link);
    } else {
        free_call(call);
    }
    if (done)
        done(arg, status, body.data, body.size);
    pm_buffer_free(&body);
}

static void fail_call(struct call *call)
{
    if (call->is_busy)
        end_call(call, call->sent_size ? PM_HTTP_NO_ANSWER : PM_HTTP_NOT_SENT);
    else
        free_call(call);
}

static int on_body(http_parser *parser, const char *at, size_t size)
{
    struct call *call = parser->data;

    if (call->body.size + size > call->body_max)
        return 1;
    pm_buffer_append(&call->body, at, size);
    return 0;
}

static int on_message_complete(http_parser *parser)
{
    struct call *call = parser->data;

    return pm_http_end_message(parser, &call->is_complete, &call->keep_alive);
}

static const http_parser_settings parser_callbacks = {
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    struct call *call = watcher->data;
    char data[16 * 1024];
    ssize_t size = recv(call->fd, data, sizeof data, 0);

    (void)loop;
    (void)events;
    if (size < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (size <= 0 || !call->is_busy) { /* closed, or speaking out of turn */
        if (size == 0 && call->is_busy && call->is_connected)
            http_parser_execute(&call->parser, &parser_callbacks, data, 0);
        if (call->is_busy && call->is_complete) {
            call->keep_alive = false;
            end_call(call, call->parser.status_code);
        } else {
            fail_call(call);
        }
        return;
    }
    http_parser_execute(&call->parser, &parser_callbacks, data, (size_t)size);
    if (call->is_complete) {
        call->is_complete = false;
        end_call(call, call->parser.status_code);
    } else if (HTTP_PARSER_ERRNO(&call->parser) != HPE_OK) {
        fail_call(call);
    }
}

static void send_request(struct ev_loop *loop, struct call *call)
{
    if (!call->sent_size && pm_http_is_past_deadline(call->deadline)) {
        call->keep_alive = false;
        call->failed_locally = true;
        end_call(call, PM_HTTP_NOT_SENT);
        return;
    }
    if (!pm_http_send_rest(call->fd, &call->out_buffer, &call->sent_size)) {
        fail_call(call);
        return;
    }
    if (call->sent_size == call->out_buffer.size)
        ev_io_stop(loop, &call->write_watcher);
    else
        ev_io_start(loop, &call->write_watcher);
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
    struct call *call = watcher->data;

    (void)events;
    if (!call->is_connected) {
        int error = 0;
        socklen_t size = sizeof error;
        if (getsockopt(call->fd, SOL_SOCKET, SO_ERROR, &error, &size) || error) {
            fail_call(call);
            return;
        }
        call->is_connected = true;
        ev_io_start(loop, &call->read_watcher);
    }
    send_request(loop, call);
}

static void send_queued_requests(struct ev_loop *loop, ev_prepare *watcher, int events)
{
    struct pm_http_client *client = watcher->data;
    struct call *call;

    (void)events;
    while ((call = g_queue_pop_head(&client->send_due))) {
        call->is_send_due = false;
        send_request(loop, call);
    }
}

static void on_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    fail_call(watcher->data);
}

struct pm_http_client *pm_http_client_new(struct ev_loop *loop, int conns_max)
{
    struct pm_http_client *client = g_new0(struct pm_http_client, 1);

    client->loop = loop;
    client->connections_max = conns_max;
    client->endpoints = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&client->idle_connections);
    g_queue_init(&client->send_due);
    ev_prepare_init(&client->prepare_watcher, send_queued_requests);
    client->prepare_watcher.data = client;
    ev_prepare_start(loop, &client->prepare_watcher);
    ev_unref(loop);
    return client;
}

void pm_http_client_observe(struct pm_http_client *client, pm_http_observer *observer, void *arg)
{
    client->observer = observer;
    client->observer_arg = arg;
}

static gboolean free_endpoint(gpointer key, gpointer value, gpointer arg)
{
    struct endpoint *endpoint = value;
    struct call *call;

    (void)key;
    (void)arg;
    while ((call = g_queue_peek_head(&endpoint->idle_connections)))
        free_call(call); /* takes itself out of the queue */
    g_free(endpoint);
    return TRUE;
}

void pm_http_client_free(struct pm_http_client *client)
{
    g_hash_table_foreach_remove(client->endpoints, free_endpoint, NULL);
    g_hash_table_destroy(client->endpoints);
    ev_ref(client->loop);
    ev_prepare_stop(client->loop, &client->prepare_watcher);
    g_free(client);
}

static struct call *open_call(struct pm_http_client *client, struct endpoint *endpoint)
{
    struct call *call = g_new0(struct call, 1);

    /* Of more targets than connections may be open, those not called for longest are let go of: one
     * kept open to each worker must not shut out the state service. */
    if (client->connection_count >= client->connections_max && client->idle_connections.tail)
        free_call(client->idle_connections.tail->data);
    call->client = client;
    call->endpoint = endpoint;
    call->fd = client->connection_count < client->connections_max ? pm_http_new_socket() : -1;
    client->connection_count++;
    ev_init(&call->timeout_timer, on_timeout);
    ev_io_init(&call->read_watcher, on_readable, call->fd, EV_READ);
    ev_io_init(&call->write_watcher, on_writable, call->fd, EV_WRITE);
    call->read_watcher.data = call->write_watcher.data = call->timeout_timer.data = call;
    if (call->fd >= 0 &&
        connect(call->fd, (struct sockaddr *)&endpoint->socket_addr,
                sizeof endpoint->socket_addr) &&
        errno != EINPROGRESS) {
        close(call->fd);
        call->fd = -1;
    }
    return call;
}

void pm_http_call(struct pm_http_client *client, const char *addr, const char *method,
                  const char *target, const void *body, size_t size, double timeout_s,
                  size_t body_max, pm_http_done *done, void *arg)
{
    pm_http_call_until(client, addr, method, target, body, size, timeout_s, body_max, 0, done, arg);
}

static struct endpoint *find_endpoint(struct pm_http_client *client, const char *addr)
{
    struct endpoint *endpoint = g_hash_table_lookup(client->endpoints, addr);

    if (endpoint)
        return endpoint;
    endpoint = g_new0(struct endpoint, 1);
    snprintf(endpoint->addr, sizeof endpoint->addr, "%s", addr);
    if (!pm_http_parse_addr(addr, &endpoint->socket_addr))
        pm_error("http.address", "bad address %s", addr);
    g_queue_init(&endpoint->idle_connections);
    g_hash_table_insert(client->endpoints, endpoint->addr, endpoint);
    return endpoint;
}

/* An idle connection to the endpoint, or a new one. */
static struct call *acquire_call(struct pm_http_client *client, struct endpoint *endpoint)
{
    struct call *call = g_queue_pop_head(&endpoint->idle_connections);

    if (!call)
        return open_call(client, endpoint);
    g_queue_unlink(&client->idle_connections, &call->idle_link);
    return call;
}

static void write_request(struct call *call, const char *method, const char *target,
                          const void *body, size_t size)
{
    char head[PM_HTTP_TARGET_MAX + 256];
    int length = snprintf(head, sizeof head,
                          "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/cbor\r\n"
                          "Content-Length: %zu\r\n\r\n",
                          method, target, call->endpoint->addr, size);

    call->out_buffer.size = call->sent_size = 0;
    pm_buffer_append(&call->out_buffer, head, (size_t)length);
    pm_buffer_append(&call->out_buffer, body, size);
}

/* Sends the request when the loop next waits, or as soon as the connection is there. */
static void start_call(struct call *call, double timeout_s)
{
    struct pm_http_client *client = call->client;
    bool has_socket = call->fd >= 0;

    /* Without a socket the call fails from the loop, as every outcome is reported from there. */
    ev_timer_set(&call->timeout_timer, has_socket ? timeout_s : 0., 0.);
    ev_timer_start(client->loop, &call->timeout_timer);
    if (!has_socket)
        return;
    if (call->is_connected) {
        call->is_send_due = true;
        g_queue_push_tail(&client->send_due, call);
    } else {
        ev_io_start(client->loop, &call->write_watcher);
    }
}

void pm_http_call_until(struct pm_http_client *client, const char *addr, const char *method,
                        const char *target, const void *body, size_t size, double timeout_s,
                        size_t body_max, double deadline, pm_http_done *done, void *arg)
{
    struct call *call = acquire_call(client, find_endpoint(client, addr));

    call->is_busy = true;
    call->failed_locally = call->fd < 0;
    call->began_at = pm_clock_monotonic();
    g_strlcpy(call->method, method, sizeof call->method);
    g_strlcpy(call->path, target, sizeof call->path);
    call->done = done;
    call->arg = arg;
    call->body_max = body_max;
    call->deadline = deadline;
    http_parser_init(&call->parser, HTTP_RESPONSE);
    call->parser.data = call;
    call->is_complete = false;
    write_request(call, method, target, body, size);
    start_call(call, timeout_s);
}
