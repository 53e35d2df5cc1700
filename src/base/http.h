/* A non-blocking HTTP/1.1 server and client, on libev and http-parser. Retries and other policy are
 * left to the callers.
 *
 * The functions below only queue requests and replies. The event loop sends them, so a caller that
 * holds a lock neither waits for I/O nor performs it. */
#ifndef PM_BASE_HTTP_H
#define PM_BASE_HTTP_H

#include <stdbool.h>
#include <stddef.h>

struct ev_loop;
struct pm_http_server;
struct pm_http_client;
struct pm_http_request;

/* The maximum size of a request's body, in bytes. A larger request is refused. */
enum { PM_HTTP_BODY_MAX = 64 * 1024 };

enum pm_http_method { PM_HTTP_GET, PM_HTTP_POST, PM_HTTP_DELETE, PM_HTTP_OTHER };

/* A request, valid until the handler's reply. The handler calls pm_http_reply exactly once for
 * every request, even if the connection was closed in the meantime. */
struct pm_http_request {
    enum pm_http_method method;
    const char *path; /* without the query */
    const char *query;
    const unsigned char *body;
    size_t body_size;
    /* Monotonic time, set by the handler. After it, the connection is closed instead of sending the
     * response. 0 if there is no deadline. */
    double deadline;
    double arrived_at; /* time of day */
};

/* Handles a request. It may reply before it returns, or later. */
typedef void pm_http_handler(void *arg, struct pm_http_request *req);

/* Listens on `addr` ("IP:PORT") with at most `conns_max` open connections. The event loop calls
 * `handler`. Returns NULL and sets errno if the address can't be bound. */
struct pm_http_server *pm_http_server_new(struct ev_loop *loop, const char *addr, int conns_max,
                                          pm_http_handler *handler, void *arg);
/* Closes all connections and the listener. */
void pm_http_server_free(struct pm_http_server *server);
/* Queues the response and frees the request. `body` is copied. A `retry_after` above 0 adds a
 * Retry-After header with that many seconds. */
void pm_http_reply(struct pm_http_request *req, int status, const void *body, size_t size,
                   int retry_after);

/* The results of a call that got no HTTP status. */
enum {
    /* No response came. The server may have processed the request, or may yet process it. */
    PM_HTTP_NO_RESPONSE = -1,
    /* No byte of the request was sent. The server will never process it. */
    PM_HTTP_NOT_SENT = -2
};

/* Called when a call has ended. `status` is the HTTP status or one of the results above. `body` is
 * valid only until the function returns. */
typedef void pm_http_done(void *arg, int status, const unsigned char *body, size_t size);

/* Returns a client with at most `conns_max` open connections to all servers together. */
struct pm_http_client *pm_http_client_new(struct ev_loop *loop, int conns_max);
/* Closes the idle connections and frees the client. No call may be in progress. */
void pm_http_client_free(struct pm_http_client *client);
/* A call that has ended, as evidence of whether the link to its server works. */
struct pm_http_outcome {
    const char *addr, *method, *target;
    int status;
    double began_at, ended_at; /* monotonic */
};
typedef void pm_http_observer(void *arg, const struct pm_http_outcome *outcome);
/* From now on, calls `observer` for every call that ends, before the call's own `done`. Calls that
 * failed for local reasons are left out: there was no free socket, or the call was dropped because
 * its deadline had passed. */
void pm_http_client_observe(struct pm_http_client *client, pm_http_observer *observer, void *arg);
/* Sends a request to `addr` ("IP:PORT"). All arguments are copied. The event loop calls `done`
 * exactly once: after `timeout_s` at the latest, then with PM_HTTP_NO_RESPONSE or PM_HTTP_NOT_SENT.
 * A response whose body exceeds `body_max` bytes counts as no response. */
void pm_http_call(struct pm_http_client *client, const char *addr, const char *method,
                  const char *target, const void *body, size_t size, double timeout_s,
                  size_t body_max, pm_http_done *done, void *arg);
/* Like pm_http_call, but if sending has not begun by the monotonic time `deadline` (0 if there is
 * no deadline), the call ends with PM_HTTP_NOT_SENT. */
void pm_http_call_until(struct pm_http_client *client, const char *addr, const char *method,
                        const char *target, const void *body, size_t size, double timeout_s,
                        size_t body_max, double deadline, pm_http_done *done, void *arg);

#endif
