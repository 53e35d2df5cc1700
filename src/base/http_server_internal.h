/* Types and functions shared by the listener (http_server.c) and the connections
 * (http_connection.c) of the HTTP server. Both run in the event-loop thread. */
#ifndef PM_BASE_HTTP_SERVER_INTERNAL_H
#define PM_BASE_HTTP_SERVER_INTERNAL_H

#include "base/cbor.h"
#include "base/http.h"
#include "base/http_internal.h"

#include <ev.h>
#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>

struct pm_http_connection;

/* A request that is passed to the handler, and the memory that it points to. Freed by
 * pm_http_reply. */
struct pm_http_server_request {
    struct pm_http_request public; /* must come first: pm_http_reply casts a pointer to it */
    struct pm_http_connection *connection; /* NULL once the connection is closed */
    char target[PM_HTTP_TARGET_MAX + 1];
    struct pm_buffer body;
};

struct pm_http_server {
    struct ev_loop *loop;
    ev_io accept_watcher;
    ev_prepare prepare_watcher; /* sends queued responses before the loop waits */
    int connection_count, connections_max;
    /* While more connections than this are open, a connection is closed after its response. */
    int keep_alive_max;
    pm_http_handler *handler;
    void *arg;
    GQueue connections; /* by the time of the latest request, oldest first */
    GQueue send_due;    /* connections with data to send */
};

struct pm_http_connection {
    struct pm_http_server *server;
    GList *queue_link; /* in the server's `connections` */
    int fd;
    ev_io read_watcher, write_watcher;
    ev_timer idle_timer;
    http_parser parser;
    /* The request that is being received. */
    char target[PM_HTTP_TARGET_MAX + 1];
    size_t target_size, head_size;
    struct pm_buffer body;
    bool is_complete, keep_alive;
    struct pm_http_server_request *request; /* being handled; NULL if there is none */
    /* The response. */
    struct pm_buffer out_buffer;
    size_t sent_size;
    double deadline;    /* monotonic; after it, the response is dropped; 0 if there is none */
    int refusal_status; /* with which the request was refused; 0 if it was not */
    bool close_after;   /* close the connection after the response */
    bool is_send_due;   /* the connection is in the server's `send_due` */
};

/* http_connection.c */
/* Starts a connection on an accepted, non-blocking socket, which it then owns. */
void pm_http_open_connection(struct pm_http_server *server, int fd);
/* Closes and frees the connection. If its request is still being handled, the handler replies as
 * usual, and the reply is dropped. */
void pm_http_close_connection(struct pm_http_connection *connection);
/* The prepare watcher's callback: sends the responses that were queued since the loop last waited.
 * Most of them fit the socket's buffer at once, which saves starting a write watcher. */
void pm_http_send_queued_responses(struct ev_loop *loop, ev_prepare *watcher, int events);

#endif
