/* The HTTP client. It keeps idle connections open, grouped by server, and sends one request at a
 * time on each connection. */
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
    GQueue idle_connections; /* of struct connection, most recently used first */
};

/* A connection to an endpoint, and the call in progress on it. */
struct connection {
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
    bool failed_locally;      /* no socket was available, or the deadline had passed */
    double began_at;          /* monotonic */
    char method[8], path[64]; /* `path` is truncated if it does not fit */
    double deadline;          /* monotonic; sending does not begin after it; 0 if there is none */
    bool is_send_due;         /* the connection is in the client's `send_due` */
    GList idle_link;          /* in the client's `idle_connections`, while not busy */
};

struct pm_http_client {
    struct ev_loop *loop;
    ev_prepare prepare_watcher;
    GHashTable *endpoints;
    int connection_count, connections_max;
    pm_http_observer *observer;
    void *observer_arg;
    GQueue idle_connections; /* of struct connection, most recently used first */
    GQueue send_due;         /* of struct connection, with a request to send */
};

static void free_connection(struct connection *connection)
{
    ev_io_stop(connection->client->loop, &connection->read_watcher);
    ev_io_stop(connection->client->loop, &connection->write_watcher);
    ev_timer_stop(connection->client->loop, &connection->timeout_timer);
    if (connection->fd >= 0)
        close(connection->fd);
    if (!connection->is_busy) {
        g_queue_remove(&connection->endpoint->idle_connections, connection);
        g_queue_unlink(&connection->client->idle_connections, &connection->idle_link);
    }
    if (connection->is_send_due)
        g_queue_remove(&connection->client->send_due, connection);
    pm_buffer_free(&connection->out_buffer);
    pm_buffer_free(&connection->body);
    connection->client->connection_count--;
    g_free(connection);
}

static void notify_observer(const struct connection *connection, int status)
{
    struct pm_http_outcome outcome = {connection->endpoint->addr, connection->method,
                                      connection->path,           status,
                                      connection->began_at,       pm_clock_monotonic()};

    if (connection->client->observer && !connection->failed_locally)
        connection->client->observer(connection->client->observer_arg, &outcome);
}

/* Reports the result of the call to the observer and the caller. Keeps the connection open if it
 * can be used again and its endpoint has fewer than 16 idle ones. */
static void complete_call(struct connection *connection, int status)
{
    pm_http_done *done = connection->done;
    void *arg = connection->arg;
    struct pm_buffer body = connection->body;

    connection->body = (struct pm_buffer){0};
    connection->done = NULL;
    ev_timer_stop(connection->client->loop, &connection->timeout_timer);
    notify_observer(connection, status);
    if (status > 0 && connection->keep_alive &&
        connection->endpoint->idle_connections.length < 16) {
        connection->is_busy = false;
        connection->out_buffer.size = connection->sent_size = 0;
        g_queue_push_head(&connection->endpoint->idle_connections, connection);
        connection->idle_link = (GList){.data = connection};
        g_queue_push_head_link(&connection->client->idle_connections, &connection->idle_link);
    } else {
        free_connection(connection);
    }
    if (done)
        done(arg, status, body.data, body.size);
    pm_buffer_free(&body);
}

/* Ends the call in progress without a response, or frees the connection if it is idle. */
static void handle_failure(struct connection *connection)
{
    if (connection->is_busy)
        complete_call(connection, connection->sent_size ? PM_HTTP_NO_RESPONSE : PM_HTTP_NOT_SENT);
    else
        free_connection(connection);
}

static int on_body(http_parser *parser, const char *at, size_t size)
{
    struct connection *connection = parser->data;

    if (connection->body.size + size > connection->body_max)
        return 1;
    pm_buffer_append(&connection->body, at, size);
    return 0;
}

static int on_message_complete(http_parser *parser)
{
    struct connection *connection = parser->data;

    return pm_http_end_message(parser, &connection->is_complete, &connection->keep_alive);
}

static const http_parser_settings parser_callbacks = {
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    struct connection *connection = watcher->data;
    char data[16 * 1024];
    ssize_t size = recv(connection->fd, data, sizeof data, 0);

    (void)loop;
    (void)events;
    if (size < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    /* The connection was closed or is broken, or the server sent data without a request. */
    if (size <= 0 || !connection->is_busy) {
        if (size == 0 && connection->is_busy && connection->is_connected)
            http_parser_execute(&connection->parser, &parser_callbacks, data, 0);
        if (connection->is_busy && connection->is_complete) {
            connection->keep_alive = false;
            complete_call(connection, connection->parser.status_code);
        } else {
            handle_failure(connection);
        }
        return;
    }
    http_parser_execute(&connection->parser, &parser_callbacks, data, (size_t)size);
    if (connection->is_complete) {
        connection->is_complete = false;
        complete_call(connection, connection->parser.status_code);
    } else if (HTTP_PARSER_ERRNO(&connection->parser) != HPE_OK) {
        handle_failure(connection);
    }
}

static void send_request(struct ev_loop *loop, struct connection *connection)
{
    if (!connection->sent_size && pm_http_is_past_deadline(connection->deadline)) {
        connection->keep_alive = false;
        connection->failed_locally = true;
        complete_call(connection, PM_HTTP_NOT_SENT);
        return;
    }
    if (!pm_http_send_remaining(connection->fd, &connection->out_buffer, &connection->sent_size)) {
        handle_failure(connection);
        return;
    }
    if (connection->sent_size == connection->out_buffer.size)
        ev_io_stop(loop, &connection->write_watcher);
    else
        ev_io_start(loop, &connection->write_watcher);
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
    struct connection *connection = watcher->data;

    (void)events;
    if (!connection->is_connected) {
        int error = 0;
        socklen_t size = sizeof error;
        if (getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &size) || error) {
            handle_failure(connection);
            return;
        }
        connection->is_connected = true;
        ev_io_start(loop, &connection->read_watcher);
    }
    send_request(loop, connection);
}

static void send_queued_requests(struct ev_loop *loop, ev_prepare *watcher, int events)
{
    struct pm_http_client *client = watcher->data;
    struct connection *connection;

    (void)events;
    while ((connection = g_queue_pop_head(&client->send_due))) {
        connection->is_send_due = false;
        send_request(loop, connection);
    }
}

static void on_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    handle_failure(watcher->data);
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
    struct connection *connection;

    (void)key;
    (void)arg;
    while ((connection = g_queue_peek_head(&endpoint->idle_connections)))
        free_connection(connection); /* also removes it from the queue */
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

static struct connection *open_connection(struct pm_http_client *client, struct endpoint *endpoint)
{
    struct connection *connection = g_new0(struct connection, 1);

    /* At the limit, the connection that has been idle longest is closed. Otherwise idle connections
     * to many workers could use up the limit and block calls to the state service. */
    if (client->connection_count >= client->connections_max && client->idle_connections.tail)
        free_connection(client->idle_connections.tail->data);
    connection->client = client;
    connection->endpoint = endpoint;
    connection->fd = client->connection_count < client->connections_max ? pm_http_new_socket() : -1;
    client->connection_count++;
    ev_init(&connection->timeout_timer, on_timeout);
    ev_io_init(&connection->read_watcher, on_readable, connection->fd, EV_READ);
    ev_io_init(&connection->write_watcher, on_writable, connection->fd, EV_WRITE);
    connection->read_watcher.data = connection->write_watcher.data =
        connection->timeout_timer.data = connection;
    if (connection->fd >= 0 &&
        connect(connection->fd, (struct sockaddr *)&endpoint->socket_addr,
                sizeof endpoint->socket_addr) &&
        errno != EINPROGRESS) {
        close(connection->fd);
        connection->fd = -1;
    }
    return connection;
}

void pm_http_call(struct pm_http_client *client, const char *addr, const char *method,
                  const char *target, const void *body, size_t size, double timeout_s,
                  size_t body_max, pm_http_done *done, void *arg)
{
    pm_http_call_until(client, addr, method, target, body, size, timeout_s, body_max, 0, done, arg);
}

static struct endpoint *find_or_add_endpoint(struct pm_http_client *client, const char *addr)
{
    struct endpoint *endpoint = g_hash_table_lookup(client->endpoints, addr);

    if (endpoint)
        return endpoint;
    endpoint = g_new0(struct endpoint, 1);
    snprintf(endpoint->addr, sizeof endpoint->addr, "%s", addr);
    if (!pm_http_parse_addr(addr, &endpoint->socket_addr))
        pm_error("http.address", "malformed server address \"%s\", expected IP:PORT", addr);
    g_queue_init(&endpoint->idle_connections);
    g_hash_table_insert(client->endpoints, endpoint->addr, endpoint);
    return endpoint;
}

/* Returns an idle connection to the endpoint, or else a new one. */
static struct connection *acquire_connection(struct pm_http_client *client,
                                             struct endpoint *endpoint)
{
    struct connection *connection = g_queue_pop_head(&endpoint->idle_connections);

    if (!connection)
        return open_connection(client, endpoint);
    g_queue_unlink(&client->idle_connections, &connection->idle_link);
    return connection;
}

static void format_request(struct connection *connection, const char *method, const char *target,
                           const void *body, size_t size)
{
    char head[PM_HTTP_TARGET_MAX + 256];
    int length = snprintf(head, sizeof head,
                          "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/cbor\r\n"
                          "Content-Length: %zu\r\n\r\n",
                          method, target, connection->endpoint->addr, size);

    connection->out_buffer.size = connection->sent_size = 0;
    pm_buffer_append(&connection->out_buffer, head, (size_t)length);
    pm_buffer_append(&connection->out_buffer, body, size);
}

/* Starts the timeout and queues the request. An open connection sends it before the event loop next
 * waits, a new connection once it is established. */
static void start_call(struct connection *connection, double timeout_s)
{
    struct pm_http_client *client = connection->client;
    bool has_socket = connection->fd >= 0;

    /* Without a socket, a timeout of 0 makes the event loop end the call at once, so that `done` is
     * never called from within pm_http_call. */
    ev_timer_set(&connection->timeout_timer, has_socket ? timeout_s : 0., 0.);
    ev_timer_start(client->loop, &connection->timeout_timer);
    if (!has_socket)
        return;
    if (connection->is_connected) {
        connection->is_send_due = true;
        g_queue_push_tail(&client->send_due, connection);
    } else {
        ev_io_start(client->loop, &connection->write_watcher);
    }
}

void pm_http_call_until(struct pm_http_client *client, const char *addr, const char *method,
                        const char *target, const void *body, size_t size, double timeout_s,
                        size_t body_max, double deadline, pm_http_done *done, void *arg)
{
    struct connection *connection = acquire_connection(client, find_or_add_endpoint(client, addr));

    connection->is_busy = true;
    connection->failed_locally = connection->fd < 0;
    connection->began_at = pm_clock_monotonic();
    g_strlcpy(connection->method, method, sizeof connection->method);
    g_strlcpy(connection->path, target, sizeof connection->path);
    connection->done = done;
    connection->arg = arg;
    connection->body_max = body_max;
    connection->deadline = deadline;
    http_parser_init(&connection->parser, HTTP_RESPONSE);
    connection->parser.data = connection;
    connection->is_complete = false;
    format_request(connection, method, target, body, size);
    start_call(connection, timeout_s);
}
