#include "base/http.h"
#include "base/cbor.h"
#include "base/clock.h"
#include "base/log.h"

#include <arpa/inet.h>
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

enum { HEAD_MAX = 8 * 1024, TARGET_MAX = 1024 };
#define PARTIAL_S 10.0 /* a request must arrive whole within this */
#define IDLE_S 75.0    /* a quiet connection is closed after this */

static int parse_addr(const char *text, struct sockaddr_in *out)
{
    char host[64];
    const char *colon = strrchr(text, ':');
    long port;

    if (!colon || (size_t)(colon - text) >= sizeof host)
        return -1;
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = 0;
    port = strtol(colon + 1, NULL, 10);
    if (port < 0 || port > UINT16_MAX)
        return -1;
    memset(out, 0, sizeof *out);
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, host, &out->sin_addr) == 1 ? 0 : -1;
}

static int new_socket(void)
{
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd >= 0)
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

/* Whether what rests on something confirmed a while ago may not be written any more: the process
 * may have stood still since that was looked at. */
static bool is_too_late(double valid_until)
{
    return valid_until > 0 && pm_clock_steady() > valid_until;
}

/* ---- server ---- */

struct conn;

struct server_request {
    struct pm_http_request pub;
    struct conn *conn; /* NULL once the connection has gone */
    char target[TARGET_MAX + 1];
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
    char target[TARGET_MAX + 1];
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

    if (c->target_size + n > TARGET_MAX) {
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

    c->complete = true;
    c->keep = http_should_keep_alive(p);
    http_parser_pause(p, 1); /* one request at a time */
    return 0;
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
    ssize_t n = send(c->fd, c->send.data + c->sent, c->send.size - c->sent, MSG_NOSIGNAL);

    if (n < 0 && errno != EAGAIN && errno != EINTR) {
        conn_close(c);
        return;
    }
    c->sent += n > 0 ? (size_t)n : 0;
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
        if (is_too_late(c->valid_until))
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

    if (parse_addr(addr, &sa)) {
        errno = EINVAL;
        return NULL;
    }
    fd = new_socket();
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

/* ---- client ---- */

struct target {
    char addr[64];
    struct sockaddr_in sa;
    GQueue idle; /* of struct call with no request */
};

struct call { /* a connection, and the request that it carries */
    struct pm_http_client *client;
    struct target *target;
    int fd;
    ev_io in, out;
    ev_timer timer;
    http_parser parser;
    struct pm_buf send, body;
    size_t sent, body_max;
    pm_http_done *done;
    void *arg;
    bool busy, connected, complete, keep;
    double valid_until; /* steady: the request is not to go out later, 0: no matter when */
    bool due;           /* among the client's `due` */
    GList idle_link;    /* in the client's `idle`, while not busy */
};

struct pm_http_client {
    struct ev_loop *loop;
    ev_prepare before_wait;
    GHashTable *targets;
    int conns, conns_max;
    GQueue idle; /* of struct call with no request, the latest used first */
    GQueue due;  /* of struct call, with something to send */
};

static void call_free(struct call *c)
{
    ev_io_stop(c->client->loop, &c->in);
    ev_io_stop(c->client->loop, &c->out);
    ev_timer_stop(c->client->loop, &c->timer);
    if (c->fd >= 0)
        close(c->fd);
    if (!c->busy) {
        g_queue_remove(&c->target->idle, c);
        g_queue_unlink(&c->client->idle, &c->idle_link);
    }
    if (c->due)
        g_queue_remove(&c->client->due, c);
    pm_buf_free(&c->send);
    pm_buf_free(&c->body);
    c->client->conns--;
    g_free(c);
}

static void call_end(struct call *c, int status)
{
    pm_http_done *done = c->done;
    void *arg = c->arg;
    struct pm_buf body = c->body;

    c->body = (struct pm_buf){0};
    c->done = NULL;
    ev_timer_stop(c->client->loop, &c->timer);
    if (status > 0 && c->keep && c->target->idle.length < 16) {
        c->busy = false;
        c->send.size = c->sent = 0;
        g_queue_push_head(&c->target->idle, c);
        c->idle_link = (GList){.data = c};
        g_queue_push_head_link(&c->client->idle, &c->idle_link);
    } else {
        call_free(c);
    }
    if (done)
        done(arg, status, body.data, body.size);
    pm_buf_free(&body);
}

static void call_fail(struct call *c)
{
    if (c->busy)
        call_end(c, c->sent ? PM_HTTP_LOST : PM_HTTP_NOT_SENT);
    else
        call_free(c);
}

static int on_answer_body(http_parser *p, const char *at, size_t n)
{
    struct call *c = p->data;

    if (c->body.size + n > c->body_max)
        return 1;
    pm_buf_add(&c->body, at, n);
    return 0;
}

static int on_answer_complete(http_parser *p)
{
    struct call *c = p->data;

    c->complete = true;
    c->keep = http_should_keep_alive(p);
    http_parser_pause(p, 1);
    return 0;
}

static const http_parser_settings client_rules = {
    .on_body = on_answer_body,
    .on_message_complete = on_answer_complete,
};

static void on_call_readable(struct ev_loop *loop, ev_io *w, int events)
{
    struct call *c = w->data;
    char data[16 * 1024];
    ssize_t n = recv(c->fd, data, sizeof data, 0);

    (void)loop;
    (void)events;
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n <= 0 || !c->busy) { /* closed, or speaking out of turn */
        if (n == 0 && c->busy && c->connected)
            http_parser_execute(&c->parser, &client_rules, data, 0);
        if (c->busy && c->complete) {
            c->keep = false;
            call_end(c, c->parser.status_code);
        } else {
            call_fail(c);
        }
        return;
    }
    http_parser_execute(&c->parser, &client_rules, data, (size_t)n);
    if (c->complete) {
        c->complete = false;
        call_end(c, c->parser.status_code);
    } else if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK) {
        call_fail(c);
    }
}

static void call_send(struct ev_loop *loop, struct call *c)
{
    ssize_t n;

    if (!c->sent && is_too_late(c->valid_until)) {
        c->keep = false;
        call_end(c, PM_HTTP_NOT_SENT);
        return;
    }
    n = send(c->fd, c->send.data + c->sent, c->send.size - c->sent, MSG_NOSIGNAL);

    if (n < 0 && errno != EAGAIN && errno != EINTR) {
        call_fail(c);
        return;
    }
    c->sent += n > 0 ? (size_t)n : 0;
    if (c->sent == c->send.size)
        ev_io_stop(loop, &c->out);
    else
        ev_io_start(loop, &c->out);
}

static void on_call_writable(struct ev_loop *loop, ev_io *w, int events)
{
    struct call *c = w->data;

    (void)events;
    if (!c->connected) {
        int error = 0;
        socklen_t size = sizeof error;
        if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &size) || error) {
            call_fail(c);
            return;
        }
        c->connected = true;
        ev_io_start(loop, &c->in);
    }
    call_send(loop, c);
}

static void send_calls(struct ev_loop *loop, ev_prepare *w, int events)
{
    struct pm_http_client *client = w->data;
    struct call *c;

    (void)events;
    while ((c = g_queue_pop_head(&client->due))) {
        c->due = false;
        call_send(loop, c);
    }
}

static void on_call_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
    (void)loop;
    (void)events;
    call_fail(w->data);
}

struct pm_http_client *pm_http_client_new(struct ev_loop *loop, int conns_max)
{
    struct pm_http_client *client = g_new0(struct pm_http_client, 1);

    client->loop = loop;
    client->conns_max = conns_max;
    client->targets = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&client->idle);
    g_queue_init(&client->due);
    ev_prepare_init(&client->before_wait, send_calls);
    client->before_wait.data = client;
    ev_prepare_start(loop, &client->before_wait);
    ev_unref(loop);
    return client;
}

static gboolean target_free(gpointer key, gpointer value, gpointer arg)
{
    struct target *t = value;
    struct call *call;

    (void)key;
    (void)arg;
    while ((call = g_queue_peek_head(&t->idle)))
        call_free(call); /* takes itself out of the queue */
    g_free(t);
    return TRUE;
}

void pm_http_client_free(struct pm_http_client *client)
{
    g_hash_table_foreach_remove(client->targets, target_free, NULL);
    g_hash_table_destroy(client->targets);
    ev_ref(client->loop);
    ev_prepare_stop(client->loop, &client->before_wait);
    g_free(client);
}

static struct call *call_open(struct pm_http_client *client, struct target *t)
{
    struct call *c = g_new0(struct call, 1);

    /* Of more targets than connections may be open, those not called for longest are let go of: one
     * kept open to each worker must not shut out the state service. */
    if (client->conns >= client->conns_max && client->idle.tail)
        call_free(client->idle.tail->data);
    c->client = client;
    c->target = t;
    c->fd = client->conns < client->conns_max ? new_socket() : -1;
    client->conns++;
    ev_init(&c->timer, on_call_timeout);
    ev_io_init(&c->in, on_call_readable, c->fd, EV_READ);
    ev_io_init(&c->out, on_call_writable, c->fd, EV_WRITE);
    c->in.data = c->out.data = c->timer.data = c;
    if (c->fd >= 0 && connect(c->fd, (struct sockaddr *)&t->sa, sizeof t->sa) &&
        errno != EINPROGRESS) {
        close(c->fd);
        c->fd = -1;
    }
    return c;
}

void pm_http_call(struct pm_http_client *client, const char *addr, const char *method,
                  const char *target, const void *body, size_t size, double timeout_s,
                  size_t body_max, pm_http_done *done, void *arg)
{
    pm_http_call_until(client, addr, method, target, body, size, timeout_s, body_max, 0, done, arg);
}

void pm_http_call_until(struct pm_http_client *client, const char *addr, const char *method,
                        const char *target, const void *body, size_t size, double timeout_s,
                        size_t body_max, double valid_until, pm_http_done *done, void *arg)
{
    struct target *t = g_hash_table_lookup(client->targets, addr);
    struct call *c;
    char head[TARGET_MAX + 256];
    int n;

    if (!t) {
        t = g_new0(struct target, 1);
        snprintf(t->addr, sizeof t->addr, "%s", addr);
        if (parse_addr(addr, &t->sa))
            pm_error("http.address", "bad address %s", addr);
        g_queue_init(&t->idle);
        g_hash_table_insert(client->targets, t->addr, t);
    }
    c = g_queue_pop_head(&t->idle);
    if (c)
        g_queue_unlink(&client->idle, &c->idle_link);
    else
        c = call_open(client, t);
    c->busy = true;
    c->done = done;
    c->arg = arg;
    c->body_max = body_max;
    c->valid_until = valid_until;
    c->send.size = c->sent = 0;
    http_parser_init(&c->parser, HTTP_RESPONSE);
    c->parser.data = c;
    c->complete = false;
    n = snprintf(head, sizeof head,
                 "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/cbor\r\n"
                 "Content-Length: %zu\r\n\r\n",
                 method, target, addr, size);
    pm_buf_add(&c->send, head, (size_t)n);
    pm_buf_add(&c->send, body, size);
    if (c->fd < 0) { /* reported from the loop, as every outcome is */
        ev_timer_set(&c->timer, 0., 0.);
        ev_timer_start(client->loop, &c->timer);
        return;
    }
    ev_timer_set(&c->timer, timeout_s, 0.);
    ev_timer_start(client->loop, &c->timer);
    if (c->connected) {
        c->due = true;
        g_queue_push_tail(&client->due, c);
    } else {
        ev_io_start(client->loop, &c->out);
    }
}
