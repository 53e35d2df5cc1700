/* HTTP/1.1 over libev with http-parser: a server and a client, both non-blocking, no policy.
 *
 * Replies and requests are only queued here; the bytes leave from the loop, so a caller that holds
 * a lock never waits for, nor performs, I/O. */
#ifndef PM_BASE_HTTP_H
#define PM_BASE_HTTP_H

#include <stdbool.h>
#include <stddef.h>

struct ev_loop;
struct pm_http_server;
struct pm_http_client;
struct pm_http_request;

enum { PM_HTTP_BODY_MAX = 64 * 1024 };

enum pm_http_method { PM_HTTP_GET, PM_HTTP_POST, PM_HTTP_DELETE, PM_HTTP_OTHER };

/* Borrowed until the reply. Every request gets exactly one pm_http_reply, now or later, also when
 * its connection has gone meanwhile. */
struct pm_http_request {
    enum pm_http_method method;
    const char *path; /* without the query */
    const char *query;
    const unsigned char *body;
    size_t body_size;
    double deadline; /* set by the handler, steady: an answer that goes out later is dropped with
                      * its connection instead; 0: no matter when */
    double arrived_at;
};

/* Handles a request; it may reply before it returns, or later. */
typedef void pm_http_handler(void *arg, struct pm_http_request *req);

/* Listens on `addr` ("IP:PORT") with at most `conns_max` open connections; `handler` is called from
 * the loop. NULL with errno when the address can't be bound. */
struct pm_http_server *pm_http_server_new(struct ev_loop *loop, const char *addr, int conns_max,
                                          pm_http_handler *handler, void *arg);
/* Closes all connections and the listener. */
void pm_http_server_free(struct pm_http_server *server);
/* Queues the response and frees the request. `body` is copied; `retry_after` above 0 adds that
 * header, in whole seconds. */
void pm_http_reply(struct pm_http_request *req, int status, const void *body, size_t size,
                   int retry_after);

/* What a call came to, besides a status. */
enum {
    PM_HTTP_NO_ANSWER = -1, /* no answer: it may have been, or may yet be, carried out */
    PM_HTTP_NOT_SENT = -2   /* not a byte of it left: it will never be carried out */
};

/* A call has ended: with a status of HTTP, or one of the above. `body` is borrowed for the call. */
typedef void pm_http_done(void *arg, int status, const unsigned char *body, size_t size);

/* A client with at most `conns_max` open connections over all targets. */
struct pm_http_client *pm_http_client_new(struct ev_loop *loop, int conns_max);
/* Closes idle connections. No call may be under way. */
void pm_http_client_free(struct pm_http_client *client);
/* A call that has ended, as it speaks for or against the way to its target. What failed for want of
 * sockets here, or was dropped here as too late, is not told. */
struct pm_http_outcome {
    const char *addr, *method, *target;
    int status;
    double began_at, ended_at; /* steady */
};
typedef void pm_http_observer(void *arg, const struct pm_http_outcome *outcome);
/* Tells `observer` of every call that ends from now on, before the call's own `done`. */
void pm_http_client_observe(struct pm_http_client *client, pm_http_observer *observer, void *arg);
/* Sends a request to `addr` ("IP:PORT"); all arguments are copied. Calls `done` exactly once, from
 * the loop, with PM_HTTP_NO_ANSWER or PM_HTTP_NOT_SENT after `timeout_s` at the latest. An answer
 * with a body of over `body_max` bytes counts as none. */
void pm_http_call(struct pm_http_client *client, const char *addr, const char *method,
                  const char *target, const void *body, size_t size, double timeout_s,
                  size_t body_max, pm_http_done *done, void *arg);
/* The same, but the request is never written after the monotonic time `deadline` (0: no deadline):
 * the call then ends as PM_HTTP_NOT_SENT. */
void pm_http_call_until(struct pm_http_client *client, const char *addr, const char *method,
                        const char *target, const void *body, size_t size, double timeout_s,
                        size_t body_max, double deadline, pm_http_done *done, void *arg);

#endif
