/* The HTTP server: connections, requests and their answers. */
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
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum { HEAD_MAX = 8 * 1024 };
#define PARTIAL_S 10.0 /* a request must arrive whole within this */
#define IDLE_S 75.0    /* a quiet connection is closed after this */

struct conn;

struct server_request {
    struct pm_http_request pub;
    struct conn *conn; /* NULL once the connection has gone */
    char target[PM_HTTP_TARGET_MAX + 1];
    struct pm_buf body;
};

struct pm_http_server {
    struct ev_loop *loop;
    ev_io accept_io;
    ev_prepare before_wait;
    int conns, conns_max;
    int conns_kept; /* with more than that open, an answer ends its connection */
    pm_http_handler *handler;
    void *arg;
    GQueue open; /* of struct conn, by their latest request: the head's is longest ago */
    GQueue due;  /* of struct conn, with something to send */
};

struct conn {
    struct pm_http_server *server;
    GList *link;
    int fd;
    ev_io in, out;
    ev_timer idle;
    http_parser parser;
    char target[PM_HTTP_TARGET_MAX + 1];
    size_t target_size, head_size;
    struct pm_buf body;
    struct pm_buf send;
    size_t sent;
    struct server_request *req; /* being handled */
    double valid_until;         /* steady: the answer is not to go out later, 0: no matter when */
    int refuse;                 /* status that ends the connection */
    bool close_after, keep, complete;
    bool due; /* among the server's `due` */
};

static void conn_close(struct conn *c)
{
    struct pm_http_server *s = c->server;

    ev_io_stop(s->loop, &c->in);
    ev_io_stop(s->loop, &c->out);
    ev_timer_stop(s->loop, &c->idle);
    close(c->fd);
    if (c->req)
        c->req->conn = NULL;
    pm_buf_free(&c->body);
    pm_buf_free(&c->send);
    g_queue_delete_link(&s->open, c->link);
    if (c->due)
        g_queue_remove(&s->due, c);
    s->conns--;
    g_free(c);
}

static const char *reason(int status)
{
    return status == 200 ? "OK" : status == 201 ? "Created" : status < 500 ? "Refused" : "Trouble";
}

static void conn_queue(struct conn *c, int status, const void *body, size_t size, int retry_after)
{
    char head[256];
    int n;

    /* Clients come round in turn: to close the one that was quiet longest for each that comes would
     * be to close every one just before it asks again. So who comes late goes at once instead. */
    if (c->server->conns > c->server->conns_kept)
        c->close_after = true;
    n = snprintf(head, sizeof head,
                 "HTTP/1.1 %d %s\r\nContent-Type: application/cbor\r\nContent-Length: %zu\r\n",
                 status, reason(status), size);

    pm_buf_add(&c->send, head, (size_t)n);
    if (retry_after > 0) {
        n = snprintf(head, sizeof head, "Retry-After: %d\r\n", retry_after);
        pm_buf_add(&c->send, head, (size_t)n);
    }
    if (c->close_after)
        pm_buf_add(&c->send, "Connection: close\r\n", 19);
    pm_buf_add(&c->send, "\r\n", 2);
    pm_buf_add(&c->send, body, size);
    if (!c->due) {
        c->due = true;
        g_queue_push_tail(&c->server->due, c);
    }
}

void pm_http_reply(struct pm_http_request *req, int status, const void *body, size_t size,
                   int retry_after)
{
    struct server_request *own = (struct server_request *)req;
    struct conn *c = own->conn;

    if (c) {
        c->req = NULL;
        c->valid_until = req->valid_until;
        conn_queue(c, status, body, size, retry_after);
    }
    pm_buf_free(&own->body);
    g_free(own);
}

static void conn_dispatch(struct conn *c)
{
    struct server_request *req = g_new0(struct server_request, 1);
    char *mark;

    memcpy(req->target, c->target, c->target_size + 1);
    req->body = c->body;
    c->body = (struct pm_buf){0};
    mark = strchr(req->target, '?');
    if (mark)
        *mark++ = 0;
    req->pub.path = req->target;
    req->pub.query = mark ? mark : "";
    req->pub.body = req->body.data;
    req->pub.body_size = req->body.size;
    req->pub.arrived = ev_now(c->server->loop);
    req->pub.method = c->parser.method == HTTP_GET      ? PM_HTTP_GET
                      : c->parser.method == HTTP_POST   ? PM_HTTP_POST
                      : c->parser.method == HTTP_DELETE ? PM_HTTP_DELETE
                                                        : PM_HTTP_OTHER;
    req->conn = c;
    c->req = req;
    g_queue_unlink(&c->server->open, c->link);
    g_queue_push_tail_link(&c->server->open, c->link);
    c->server->handler(c->server->arg, &req->pub);
}

static int on_begin(http_parser *p)
{
    struct conn *c = p->data;

    c->target_size = 0;
    c->head_size = 0;
    c->body.size = 0;
    c->complete = false;
    return 0;
}

static int on_url(http_parser *p, const char *at, size_t n)
{
    struct conn *c = p->data;

    if (c->target_size + n > PM_HTTP_TARGET_MAX) {
        c->refuse = 414;
        return 1;
    }
    memcpy(c->target + c->target_size, at, n);
    c->target_size += n;
    c->target[c->target_size] = 0;
    return 0;
}

static int on_header(http_parser *p, const char *at, size_t n)
{
    struct conn *c = p->data;

    (void)at;
    c->head_size += n;
    if (c->head_size > HEAD_MAX) {
        c->refuse = 431;
        return 1;
    }
    return 0;
}

static int on_headers_complete(http_parser *p)
{
    struct conn *c = p->data;

    if (p->content_length != ULLONG_MAX && p->content_length > PM_HTTP_BODY_MAX) {
        c->refuse = 413;
        return -1;
    }
    return 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
    struct conn *c = p->data;

    if (c->body.size + n > PM_HTTP_BODY_MAX) {
        c->refuse = 413;
        return 1;
    }
    pm_buf_add(&c->body, at, n);
    return 0;
}

static int on_complete(http_parser *p)
{
    struct conn *c = p->data;

    return pm_http_end_message(p, &c->complete, &c->keep); /* one request at a time */
}

static const http_parser_settings server_rules = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_header_field = on_header,
    .on_header_value = on_header,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

static void conn_idle(struct conn *c, double seconds)
{
    c->idle.repeat = seconds;
    ev_timer_again(c->server->loop, &c->idle);
}

static void on_conn_readable(struct ev_loop *loop, ev_io *w, int events)
{
    struct conn *c = w->data;
    char data[16 * 1024];
    ssize_t n = recv(c->fd, data, sizeof data, 0);

    (void)loop;
    (void)events;
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n <= 0) {
        conn_close(c);
        return;
    }
    if (c->refuse)
        return; /* discarded: the rest of a request that was turned away */
    if (c->req || c->close_after) {
        /* Nothing may follow before the answer: pipelining is not part of the protocol. */
        conn_close(c);
        return;
    }
    http_parser_execute(&c->parser, &server_rules, data, (size_t)n);
    if (c->complete) {
        ev_timer_stop(c->server->loop, &c->idle);
        http_parser_pause(&c->parser, 0);
        c->complete = false;
        if (!c->keep)
            c->close_after = true;
        c->target[c->target_size] = 0;
        conn_dispatch(c);
        return;
    }
    if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK) {
        c->close_after = true;
        c->refuse = c->refuse ? c->refuse : 400;
        conn_queue(c, c->refuse, NULL, 0, 0);
        return;
    }
    if (!ev_is_active(&c->idle) || c->idle.repeat > PARTIAL_S)
        conn_idle(c, PARTIAL_S); /* runs on from the first byte: slow clients end here */
}

static void conn_send(struct ev_loop *loop, struct conn *c)
{
    if (!pm_http_send_rest(c->fd, &c->send, &c->sent)) {
        conn_close(c);
        return;
    }
    if (c->sent < c->send.size) {
        ev_io_start(loop, &c->out);
        return;
    }
    c->send.size = c->sent = 0;
    if (c->send.room > 8192)
        pm_buf_free(&c->send);
    ev_io_stop(loop, &c->out);
    if (c->refuse) {
        /* Closing with unread bytes would reset the connection and take the answer with it. */
        shutdown(c->fd, SHUT_WR);
        conn_idle(c, 1.0);
    } else if (c->close_after) {
        conn_close(c);
    } else {
        conn_idle(c, IDLE_S);
    }
}

static void on_conn_writable(struct ev_loop *loop, ev_io *w, int events)
{
    (void)events;
    conn_send(loop, w->data);
}

/* Before the loop waits: what was queued since goes out. Most of it fits the socket's buffer, and
 * then nothing has to be registered for it. */
static void send_due(struct ev_loop *loop, ev_prepare *w, int events)
{
    struct pm_http_server *s = w->data;
    struct conn *c;

    (void)events;
    while ((c = g_queue_pop_head(&s->due))) {
        c->due = false;
        if (pm_http_is_past_deadline(c->valid_until))
            conn_close(c);
        else
            conn_send(loop, c);
    }
}

static void on_conn_idle(struct ev_loop *loop, ev_timer *w, int events)
{
    (void)loop;
    (void)events;
    conn_close(w->data);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int events)
{
    struct pm_http_server *s = w->data;

    (void)events;
    for (int i = 0; i < 16; i++) {
        struct conn *c;
        int one = 1;
        int fd = accept4(s->accept_io.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

        if (fd < 0)
            return;
        if (s->conns >= s->conns_max) {
            /* The one that has been quiet for longest gives way: it can come again. */
            struct conn *oldest = s->open.head->data;
            if (oldest->req || oldest->send.size) {
                close(fd);
                continue;
            }
            conn_close(oldest);
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        c = g_new0(struct conn, 1);
        c->server = s;
        c->fd = fd;
        http_parser_init(&c->parser, HTTP_REQUEST);
        c->parser.data = c;
        ev_io_init(&c->in, on_conn_readable, fd, EV_READ);
        ev_io_init(&c->out, on_conn_writable, fd, EV_WRITE);
        ev_timer_init(&c->idle, on_conn_idle, 0., IDLE_S);
        c->in.data = c->out.data = c->idle.data = c;
        g_queue_push_tail(&s->open, c);
        c->link = s->open.tail;
        s->conns++;
        ev_io_start(loop, &c->in);
        ev_timer_again(loop, &c->idle);
    }
}

struct pm_http_server *pm_http_server_new(struct ev_loop *loop, const char *addr, int conns_max,
                                          pm_http_handler *handler, void *arg)
{
    struct pm_http_server *s;
    struct sockaddr_in sa;
    int one = 1;
    int fd;

    if (pm_http_parse_addr(addr, &sa)) {
        errno = EINVAL;
        return NULL;
    }
    fd = pm_http_new_socket();
    if (fd < 0)
        return NULL;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(fd, (struct sockaddr *)&sa, sizeof sa) || listen(fd, SOMAXCONN)) {
        int saved = errno;
        close(fd);
        errno = saved;
        return NULL;
    }
    s = g_new0(struct pm_http_server, 1);
    s->loop = loop;
    s->conns_max = conns_max;
    s->conns_kept = conns_max - conns_max / 8;
    s->handler = handler;
    s->arg = arg;
    g_queue_init(&s->open);
    g_queue_init(&s->due);
    ev_prepare_init(&s->before_wait, send_due);
    s->before_wait.data = s;
    ev_prepare_start(loop, &s->before_wait);
    ev_unref(loop);
    ev_io_init(&s->accept_io, on_accept, fd, EV_READ);
    s->accept_io.data = s;
    ev_io_start(loop, &s->accept_io);
    return s;
}

void pm_http_server_free(struct pm_http_server *s)
{
    struct conn *conn;

    while ((conn = g_queue_peek_head(&s->open)))
        conn_close(conn); /* takes itself out of the queue */
    ev_io_stop(s->loop, &s->accept_io);
    ev_ref(s->loop);
    ev_prepare_stop(s->loop, &s->before_wait);
    close(s->accept_io.fd);
    g_free(s);
}
