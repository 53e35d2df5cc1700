/* Types and functions shared by the source files of the fake state service; not included
 * elsewhere. */
#ifndef PM_TESTING_FAKE_STORE_INTERNAL_H
#define PM_TESTING_FAKE_STORE_INTERNAL_H

#include "base/http.h"
#include "testing/fake_store.h"
#include "testing/http_status.h"

#include <ev.h>
#include <glib.h>

enum { FAKE_STORE_KEY_SIZE = 256, FAKE_STORE_ADDR_SIZE = 64 }; /* bytes, with the NUL */

/* A key's value, with its revision and lease. */
struct fake_store_value {
    struct pm_buffer data; /* encoded as CBOR */
    uint64_t revision;
    uint64_t lease_id; /* 0: not attached to a lease */
};

/* The write or deletion of a key. */
struct fake_store_change {
    char key[FAKE_STORE_KEY_SIZE];
    uint64_t revision;
    bool is_put; /* false: the key was deleted */
};

/* An open watch request. */
struct fake_store_watch {
    struct pm_http_request *request;
    uint64_t since; /* the client wants changes after this revision */
    bool at_second_addr;
};

/* A lease that expires by the clock. */
struct fake_store_lease {
    uint64_t id;
    double ttl_s, expires_at;
};

/* Written by fake_store_keys.c. */
struct fake_store_keyspace {
    GTree *values; /* key to struct fake_store_value, ordered by key */
    uint64_t revision;
    int txn_count;
    fake_store_observer *observer;
    void *observer_arg;
};

/* Written by fake_store_watches.c. */
struct fake_store_watches {
    GArray *changes; /* of struct fake_store_change: all changes, oldest first */
    GArray *open;    /* of struct fake_store_watch */
};

/* Written by fake_store_leases.c. */
struct fake_store_leases {
    uint64_t last_id;
    GArray *live; /* of struct fake_store_lease; NULL: leases never expire */
    ev_timer expiry_timer;
    bool delay_next_grant;
    struct pm_http_request *delayed_grant; /* NULL: no grant is delayed */
    ev_timer grant_timer;
};

/* Set by fake_store_faults.c. Faults of the next request are cleared by the code that serves that
 * request. */
struct fake_store_faults {
    bool outage, hanging;
    bool reject_next_watch;
    bool lose_next_answer;   /* replace the answer to the next transaction by a malformed one */
    char delay_txn_with[64]; /* delay the transaction whose body contains this; "": none */
    struct pm_buffer delayed_txn; /* its body; empty: no transaction is delayed */
    enum fake_store_addr_mode second_addr_mode;
};

struct fake_store {
    struct ev_loop *loop;
    struct pm_http_server *server, *second_server;
    char addr[FAKE_STORE_ADDR_SIZE], second_addr[FAKE_STORE_ADDR_SIZE];
    GPtrArray *unanswered_requests; /* they never get an answer */
    struct fake_store_keyspace keys;
    struct fake_store_watches watches;
    struct fake_store_leases leases;
    struct fake_store_faults faults;
};

/* ---- fake_store.c ---- */

/* Answers the request with `body`, and frees the buffer's content. */
void fake_store_reply(struct pm_http_request *request, int status, struct pm_buffer *body);
/* Appends the field `name` with the value's data to a CBOR map. */
void fake_store_put_data(struct pm_buffer *out, const char *name,
                         const struct fake_store_value *value);

/* ---- fake_store_keys.c ---- */

/* Frees a value; a GDestroyNotify. */
void fake_store_value_free(gpointer data);
/* Orders keys by their text; a GCompareDataFunc. */
int fake_store_compare_keys(gconstpointer left, gconstpointer right, gpointer arg);
/* Executes the transaction encoded in `data`, and answers `request`, which is NULL if no client
 * waits for the answer. */
void fake_store_execute_txn(struct fake_store *store, struct pm_http_request *request,
                            const void *data, size_t size);
/* Answers a request to read one key. */
void fake_store_serve_get(struct fake_store *store, struct pm_http_request *request);
/* Answers a list request with a page of keys and values. */
void fake_store_serve_list(struct fake_store *store, struct pm_http_request *request);
/* Deletes the keys that are attached to this lease, or to any lease if `lease_id` is 0. */
void fake_store_delete_leased(struct fake_store *store, uint64_t lease_id);

/* ---- fake_store_watches.c ---- */

/* Records a change at the current revision. Watches learn of it only when fake_store_notify_watches
 * is called. */
void fake_store_record_change(struct fake_store *store, const char *key, bool is_put);
/* Answers each open watch that has changes to report. */
void fake_store_notify_watches(struct fake_store *store);
/* Answers a watch, or keeps it open until there is a change to report. */
void fake_store_serve_watch(struct fake_store *store, struct pm_http_request *request,
                            bool at_second_addr);

/* ---- fake_store_leases.c ---- */

/* Whether keys can be attached to the lease: it exists, or leases never expire. */
bool fake_store_is_lease_live(struct fake_store *store, uint64_t lease_id);
/* Answers a request to grant a lease. */
void fake_store_serve_grant(struct fake_store *store, struct pm_http_request *request);
/* Answers a request to keep a lease alive, or to revoke it. */
void fake_store_serve_lease(struct fake_store *store, struct pm_http_request *request);
/* If a lease grant is delayed and the leader key now exists, starts the timer that answers the
 * grant. */
void fake_store_schedule_delayed_grant(struct fake_store *store);
/* Stops the expiry timer and frees the leases. */
void fake_store_leases_free(struct fake_store *store);

/* ---- fake_store_faults.c ---- */

/* Whether requests to the first or second address are now refused with 503. */
bool fake_store_is_refusing(const struct fake_store *store, bool at_second_addr);
/* Whether watches at the first or second address are now held open without an answer. */
bool fake_store_are_watches_held_open(const struct fake_store *store, bool at_second_addr);
/* Delays the transaction if it is the one that fake_store_delay_next_txn selects. Returns false if
 * the caller must execute it now. */
bool fake_store_delay_txn(struct fake_store *store, struct pm_http_request *request);

#endif
