/* What the listener (http_server.c) and the connections (http_connection.c) of the HTTP server
 * share; nobody else includes it. Both run in the event-loop thread. */
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

/* A request as its handler gets it, with what it points to. Freed by pm_http_reply. */
struct pm_http_server_request {
    struct pm_http_request public;         /* first: pm_http_reply gets a pointer to it */
    struct pm_http_connection *connection; /* NULL once the connection is closed */
    char target[PM_HTTP_TARGET_MAX + 1];
    struct pm_buffer body;
};

struct pm_http_server {
    struct ev_loop *loop;
    ev_io accept_watcher;
    ev_prepare prepare_watcher; /* sends what is due before the loop waits */
    int connection_count, connections_max;
    int connections_kept; /* with more than that open, a response ends its connection */
    pm_http_handler *handler;
    void *arg;
    GQueue connections; /* by their latest request: the head's is longest ago */
    GQueue send_due;    /* connections with something to send */
};

struct pm_http_connection {
    struct pm_http_server *server;
    GList *queue_link; /* in the server's `connections` */
    int fd;
    ev_io read_watcher, write_watcher;
    ev_timer idle_timer;
    http_parser parser;
    /* The request that is being read. */
    char target[PM_HTTP_TARGET_MAX + 1];
    size_t target_size, head_size;
    struct pm_buffer body;
    bool is_complete, keep_alive;
    struct pm_http_server_request *request; /* being handled, NULL: none */
    /* The response. */
    struct pm_buffer out_buffer;
    size_t sent_size;
    double deadline;    /* monotonic: the response is dropped if it goes out later, 0: never */
    int refusal_status; /* of a request that was refused: the connection ends with it, 0: none */
    bool close_after;   /* the connection ends with the response */
    bool is_send_due;   /* it is in the server's `send_due` */
};

/* http_connection.c */
/* Takes over an accepted, non-blocking socket. */
void pm_http_open_connection(struct pm_http_server *server, int fd);
/* Closes and frees the connection. A request of it that is being handled may still be replied to;
 * the reply is dropped. */
void pm_http_close_connection(struct pm_http_connection *connection);
/* The prepare watcher's callback: sends the responses queued since the loop last waited. Most fit
 * the socket's buffer, so that no write watcher has to be started for them. */
void pm_http_send_queued_responses(struct ev_loop *loop, ev_prepare *watcher, int events);

#endif
