/* One connection of the HTTP server: it parses requests, hands them to the handler one at a time,
 * and sends the responses. */
#include "base/clock.h"
#include "base/http_server_internal.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    HEADER_BYTES_MAX = 8 * 1024,
    READ_SIZE = 16 * 1024,
    RETAINED_BUFFER_BYTES_MAX = 8192 /* a larger response buffer is freed once it is sent */
};

#define REQUEST_TIMEOUT_S 10.0 /* a request must arrive completely within this */
#define IDLE_TIMEOUT_S 75.0    /* a connection is closed after this long without a request */
#define REFUSAL_LINGER_S 1.0   /* how long the rest of a refused request is read and discarded */

void pm_http_close_connection(struct pm_http_connection *connection)
{
    struct pm_http_server *server = connection->server;

    ev_io_stop(server->loop, &connection->read_watcher);
    ev_io_stop(server->loop, &connection->write_watcher);
    ev_timer_stop(server->loop, &connection->idle_timer);
    close(connection->fd);
    if (connection->request)
        connection->request->connection = NULL;
    pm_buffer_free(&connection->body);
    pm_buffer_free(&connection->out_buffer);
    g_queue_delete_link(&server->connections, connection->queue_link);
    if (connection->is_send_due)
        g_queue_remove(&server->send_due, connection);
    server->connection_count--;
    g_free(connection);
}

static const char *reason_phrase(int status)
{
    return status == 200 ? "OK" : status == 201 ? "Created" : status < 500 ? "Refused" : "Trouble";
}

static void append_header(struct pm_buffer *buffer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void append_header(struct pm_buffer *buffer, const char *format, ...)
{
    char header[256];
    va_list args;
    int length;

    va_start(args, format);
    length = vsnprintf(header, sizeof header, format, args);
    va_end(args);
    pm_buffer_append(buffer, header, (size_t)length);
}

static void queue_response(struct pm_http_connection *connection, int status, const void *body,
                           size_t size, int retry_after)
{
    struct pm_buffer *buffer = &connection->out_buffer;

    /* Clients send their requests in turn. If each new connection replaced the one that was idle
     * longest, every connection would be closed just before its client's next request. Instead,
     * the connections that exceed the limit are closed right after their response. */
    if (connection->server->connection_count > connection->server->keep_alive_max)
        connection->close_after = true;
    append_header(buffer,
                  "HTTP/1.1 %d %s\r\nContent-Type: application/cbor\r\nContent-Length: %zu\r\n",
                  status, reason_phrase(status), size);
    if (retry_after > 0)
        append_header(buffer, "Retry-After: %d\r\n", retry_after);
    if (connection->close_after)
        append_header(buffer, "Connection: close\r\n");
    append_header(buffer, "\r\n");
    pm_buffer_append(buffer, body, size);
    if (!connection->is_send_due) {
        connection->is_send_due = true;
        g_queue_push_tail(&connection->server->send_due, connection);
    }
}

void pm_http_reply(struct pm_http_request *request, int status, const void *body, size_t size,
                   int retry_after)
{
    struct pm_http_server_request *server_request = (struct pm_http_server_request *)request;
    struct pm_http_connection *connection = server_request->connection;

    if (connection) {
        connection->request = NULL;
        connection->deadline = request->deadline;
        queue_response(connection, status, body, size, retry_after);
    }
    pm_buffer_free(&server_request->body);
    g_free(server_request);
}

static enum pm_http_method to_method(const http_parser *parser)
{
    switch (parser->method) {
    case HTTP_GET:
        return PM_HTTP_GET;
    case HTTP_POST:
        return PM_HTTP_POST;
    case HTTP_DELETE:
        return PM_HTTP_DELETE;
    default:
        return PM_HTTP_OTHER;
    }
}

static void dispatch_request(struct pm_http_connection *connection)
{
    struct pm_http_server_request *request = g_new0(struct pm_http_server_request, 1);
    char *query;

    memcpy(request->target, connection->target, connection->target_size + 1);
    request->body = connection->body;
    connection->body = (struct pm_buffer){0};
    query = strchr(request->target, '?');
    if (query)
        *query++ = 0;
    request->public.path = request->target;
    request->public.query = query ? query : "";
    request->public.body = request->body.data;
    request->public.body_size = request->body.size;
    request->public.arrived_at = ev_now(connection->server->loop);
    request->public.method = to_method(&connection->parser);
    request->connection = connection;
    connection->request = request;
    g_queue_unlink(&connection->server->connections, connection->queue_link);
    g_queue_push_tail_link(&connection->server->connections, connection->queue_link);
    connection->server->handler(connection->server->arg, &request->public);
}

static int on_message_begin(http_parser *parser)
{
    struct pm_http_connection *connection = parser->data;

    connection->target_size = 0;
    connection->head_size = 0;
    connection->body.size = 0;
    connection->is_complete = false;
    return 0;
}

static int on_url(http_parser *parser, const char *at, size_t size)
{
    struct pm_http_connection *connection = parser->data;

    if (connection->target_size + size > PM_HTTP_TARGET_MAX) {
        connection->refusal_status = HTTP_STATUS_URI_TOO_LONG;
        return 1;
    }
    memcpy(connection->target + connection->target_size, at, size);
    connection->target_size += size;
    connection->target[connection->target_size] = 0;
    return 0;
}

static int on_header(http_parser *parser, const char *at, size_t size)
{
    struct pm_http_connection *connection = parser->data;

    (void)at;
    connection->head_size += size;
    if (connection->head_size > HEADER_BYTES_MAX) {
        connection->refusal_status = HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
        return 1;
    }
    return 0;
}

static int on_headers_complete(http_parser *parser)
{
    struct pm_http_connection *connection = parser->data;

    if (parser->content_length != ULLONG_MAX && parser->content_length > PM_HTTP_BODY_MAX) {
        connection->refusal_status = HTTP_STATUS_PAYLOAD_TOO_LARGE;
        return -1;
    }
    return 0;
}

static int on_body(http_parser *parser, const char *at, size_t size)
{
    struct pm_http_connection *connection = parser->data;

    if (connection->body.size + size > PM_HTTP_BODY_MAX) {
        connection->refusal_status = HTTP_STATUS_PAYLOAD_TOO_LARGE;
        return 1;
    }
    pm_buffer_append(&connection->body, at, size);
    return 0;
}

static int on_message_complete(http_parser *parser)
{
    struct pm_http_connection *connection = parser->data;

    /* This pauses the parser, so that one request is handled at a time. */
    return pm_http_end_message(parser, &connection->is_complete, &connection->keep_alive);
}

static const http_parser_settings parser_callbacks = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_header_field = on_header,
    .on_header_value = on_header,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static void restart_idle_timer(struct pm_http_connection *connection, double seconds)
{
    connection->idle_timer.repeat = seconds;
    ev_timer_again(connection->server->loop, &connection->idle_timer);
}

static void accept_request(struct pm_http_connection *connection)
{
    ev_timer_stop(connection->server->loop, &connection->idle_timer);
    http_parser_pause(&connection->parser, 0);
    connection->is_complete = false;
    if (!connection->keep_alive)
        connection->close_after = true;
    connection->target[connection->target_size] = 0;
    dispatch_request(connection);
}

static void refuse_request(struct pm_http_connection *connection)
{
    if (!connection->refusal_status)
        connection->refusal_status = HTTP_STATUS_BAD_REQUEST;
    connection->close_after = true;
    queue_response(connection, connection->refusal_status, NULL, 0, 0);
}

static void parse_bytes(struct pm_http_connection *connection, const char *data, size_t size)
{
    http_parser_execute(&connection->parser, &parser_callbacks, data, size);
    if (connection->is_complete) {
        accept_request(connection);
        return;
    }
    if (HTTP_PARSER_ERRNO(&connection->parser) != HPE_OK) {
        refuse_request(connection);
        return;
    }
    /* The timer is not restarted after a request's first byte, so that a client can't hold the
     * connection open by sending slowly. */
    if (!ev_is_active(&connection->idle_timer) || connection->idle_timer.repeat > REQUEST_TIMEOUT_S)
        restart_idle_timer(connection, REQUEST_TIMEOUT_S);
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    struct pm_http_connection *connection = watcher->data;
    char data[READ_SIZE];
    ssize_t size = recv(connection->fd, data, sizeof data, 0);

    (void)loop;
    (void)events;
    if (size < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (size <= 0) {
        pm_http_close_connection(connection);
        return;
    }
    if (connection->refusal_status)
        return; /* the rest of a refused request is discarded */
    if (connection->request || connection->close_after) {
        /* The client sent more before it got the response. Pipelining is not supported. */
        pm_http_close_connection(connection);
        return;
    }
    parse_bytes(connection, data, (size_t)size);
}

static void send_response(struct ev_loop *loop, struct pm_http_connection *connection)
{
    if (!pm_http_send_remaining(connection->fd, &connection->out_buffer, &connection->sent_size)) {
        pm_http_close_connection(connection);
        return;
    }
    if (connection->sent_size < connection->out_buffer.size) {
        ev_io_start(loop, &connection->write_watcher);
        return;
    }
    connection->out_buffer.size = connection->sent_size = 0;
    if (connection->out_buffer.capacity > RETAINED_BUFFER_BYTES_MAX)
        pm_buffer_free(&connection->out_buffer);
    ev_io_stop(loop, &connection->write_watcher);
    if (connection->refusal_status) {
        /* Closing a socket with unread bytes resets the connection, and the client may lose the
         * response. */
        shutdown(connection->fd, SHUT_WR);
        restart_idle_timer(connection, REFUSAL_LINGER_S);
    } else if (connection->close_after) {
        pm_http_close_connection(connection);
    } else {
        restart_idle_timer(connection, IDLE_TIMEOUT_S);
    }
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)events;
    send_response(loop, watcher->data);
}

void pm_http_send_queued_responses(struct ev_loop *loop, ev_prepare *watcher, int events)
{
    struct pm_http_server *server = watcher->data;
    struct pm_http_connection *connection;

    (void)events;
    while ((connection = g_queue_pop_head(&server->send_due))) {
        connection->is_send_due = false;
        if (pm_http_is_past_deadline(connection->deadline))
            pm_http_close_connection(connection);
        else
            send_response(loop, connection);
    }
}

static void on_idle_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    pm_http_close_connection(watcher->data);
}

static void init_watchers(struct pm_http_connection *connection)
{
    ev_io_init(&connection->read_watcher, on_readable, connection->fd, EV_READ);
    ev_io_init(&connection->write_watcher, on_writable, connection->fd, EV_WRITE);
    ev_timer_init(&connection->idle_timer, on_idle_timeout, 0., IDLE_TIMEOUT_S);
    connection->read_watcher.data = connection;
    connection->write_watcher.data = connection;
    connection->idle_timer.data = connection;
}

void pm_http_open_connection(struct pm_http_server *server, int fd)
{
    struct pm_http_connection *connection = g_new0(struct pm_http_connection, 1);
    int enabled = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    connection->server = server;
    connection->fd = fd;
    http_parser_init(&connection->parser, HTTP_REQUEST);
    connection->parser.data = connection;
    init_watchers(connection);
    g_queue_push_tail(&server->connections, connection);
    connection->queue_link = server->connections.tail;
    server->connection_count++;
    ev_io_start(server->loop, &connection->read_watcher);
    ev_timer_again(server->loop, &connection->idle_timer);
}
