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
    bool failed_here;         /* for want of a socket, or dropped as too late */
    double began;             /* steady */
    char method[8], path[64]; /* the latter as far as it fits */
    double valid_until;       /* steady: the request is not to go out later, 0: no matter when */
    bool due;                 /* among the client's `due` */
    GList idle_link;          /* in the client's `idle`, while not busy */
};

struct pm_http_client {
    struct ev_loop *loop;
    ev_prepare before_wait;
    GHashTable *targets;
    int conns, conns_max;
    pm_http_observer *observer;
    void *observer_arg;
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

static void tell_observer(const struct call *c, int status)
{
    struct pm_http_outcome outcome = {c->target->addr, c->method, c->path,
                                      status,          c->began,  pm_clock_monotonic()};

    if (c->client->observer && !c->failed_here)
        c->client->observer(c->client->observer_arg, &outcome);
}

static void call_end(struct call *c, int status)
{
    pm_http_done *done = c->done;
    void *arg = c->arg;
    struct pm_buf body = c->body;

    c->body = (struct pm_buf){0};
    c->done = NULL;
    ev_timer_stop(c->client->loop, &c->timer);
    tell_observer(c, status);
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
        call_end(c, c->sent ? PM_HTTP_NO_ANSWER : PM_HTTP_NOT_SENT);
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

    return pm_http_end_message(p, &c->complete, &c->keep);
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
    if (!c->sent && pm_http_is_past_deadline(c->valid_until)) {
        c->keep = false;
        c->failed_here = true;
        call_end(c, PM_HTTP_NOT_SENT);
        return;
    }
    if (!pm_http_send_rest(c->fd, &c->send, &c->sent)) {
        call_fail(c);
        return;
    }
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

void pm_http_client_observe(struct pm_http_client *client, pm_http_observer *observer, void *arg)
{
    client->observer = observer;
    client->observer_arg = arg;
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
    c->fd = client->conns < client->conns_max ? pm_http_new_socket() : -1;
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
    char head[PM_HTTP_TARGET_MAX + 256];
    int n;

    if (!t) {
        t = g_new0(struct target, 1);
        snprintf(t->addr, sizeof t->addr, "%s", addr);
        if (pm_http_parse_addr(addr, &t->sa))
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
    c->failed_here = c->fd < 0;
    c->began = pm_clock_monotonic();
    g_strlcpy(c->method, method, sizeof c->method);
    g_strlcpy(c->path, target, sizeof c->path);
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
