/* What the files of the fake state service share; nobody else includes it. */
#ifndef PM_TESTING_FAKE_STORE_INTERNAL_H
#define PM_TESTING_FAKE_STORE_INTERNAL_H

#include "base/http.h"
#include "testing/fake_store.h"
#include "testing/http_status.h"

#include <ev.h>
#include <glib.h>

enum { FAKE_STORE_KEY_SIZE = 256, FAKE_STORE_ADDR_SIZE = 64 }; /* bytes, with the NUL */

/* The value of a key. */
struct fake_store_value {
    struct pm_buffer data; /* as CBOR */
    uint64_t revision;
    uint64_t lease_id; /* 0: attached to none */
};

/* A key was written or deleted. */
struct fake_store_change {
    char key[FAKE_STORE_KEY_SIZE];
    uint64_t revision;
    bool is_put;
};

/* A watch that waits for changes. */
struct fake_store_watch {
    struct pm_http_request *request;
    uint64_t since; /* the last revision that the client knows */
    bool at_second_addr;
};

/* A lease, while leases expire by the clock. */
struct fake_store_lease {
    uint64_t id;
    double ttl_s, expires_at;
};

/* Written by fake_store_keys.c. */
struct fake_store_keyspace {
    GTree *values; /* key to struct fake_store_value, in order */
    uint64_t revision;
    int txn_count;
    fake_store_observer *observer;
    void *observer_arg;
};

/* Written by fake_store_watches.c. */
struct fake_store_watches {
    GArray *changes; /* of struct fake_store_change, all since the store was made */
    GArray *open;    /* of struct fake_store_watch */
};

/* Written by fake_store_leases.c. */
struct fake_store_leases {
    uint64_t last_id;
    GArray *live; /* of struct fake_store_lease, while they expire by the clock; else NULL */
    ev_timer expiry_timer;
    bool delay_next_grant;
    struct pm_http_request *delayed_grant; /* NULL: none waits */
    ev_timer grant_timer;
};

/* Set by fake_store_faults.c; what concerns the next request is cleared where it is served. */
struct fake_store_faults {
    bool outage, hanging;
    bool reject_next_watch;
    bool lose_next_answer;
    char delay_txn_with[64];      /* a text in its body; "": none is delayed */
    struct pm_buffer delayed_txn; /* empty: there is none */
    enum fake_store_access second_access;
};

struct fake_store {
    struct ev_loop *loop;
    struct pm_http_server *server, *second_server;
    char addr[FAKE_STORE_ADDR_SIZE], second_addr[FAKE_STORE_ADDR_SIZE];
    GPtrArray *unanswered; /* requests that never get an answer */
    struct fake_store_keyspace keys;
    struct fake_store_watches watches;
    struct fake_store_leases leases;
    struct fake_store_faults faults;
};

/* ---- fake_store.c ---- */

/* Answers the request, and empties the buffer. */
void fake_store_reply(struct pm_http_request *request, int status, struct pm_buffer *body);
/* Appends the pair of `name` and the value's data to a map. */
void fake_store_put_data(struct pm_buffer *out, const char *name,
                         const struct fake_store_value *value);

/* ---- fake_store_keys.c ---- */

/* Frees a value; a GDestroyNotify. */
void fake_store_value_free(gpointer data);
/* Orders keys by their text; a GCompareDataFunc. */
int fake_store_compare_keys(gconstpointer left, gconstpointer right, gpointer arg);
/* Executes a transaction and answers it; NULL: nobody waits for the answer. `data` is the
 * request's body. */
void fake_store_execute_txn(struct fake_store *store, struct pm_http_request *request,
                            const void *data, size_t size);
/* Answers a request to read one key. */
void fake_store_serve_get(struct fake_store *store, struct pm_http_request *request);
/* Answers a request for a page of keys and values. */
void fake_store_serve_list(struct fake_store *store, struct pm_http_request *request);
/* Deletes the keys that are attached to the lease, 0: to any. */
void fake_store_delete_leased(struct fake_store *store, uint64_t lease_id);

/* ---- fake_store_watches.c ---- */

/* Appends a change at the current revision; the watches are answered by
 * fake_store_notify_watches. */
void fake_store_record_change(struct fake_store *store, const char *key, bool is_put);
/* Answers each open watch that has something new to report. */
void fake_store_notify_watches(struct fake_store *store);
/* Answers a watch, or keeps it open until there is something new. */
void fake_store_serve_watch(struct fake_store *store, struct pm_http_request *request,
                            bool at_second_addr);

/* ---- fake_store_leases.c ---- */

/* Whether a lease with this id can be attached to. Always true while leases do not expire. */
bool fake_store_is_lease_live(struct fake_store *store, uint64_t lease_id);
/* Answers a request for a new lease. */
void fake_store_serve_grant(struct fake_store *store, struct pm_http_request *request);
/* Answers a request to keep a lease alive, or to revoke it. */
void fake_store_serve_lease(struct fake_store *store, struct pm_http_request *request);
/* Answers the delayed grant, if there is one and the leader's key is there, shortly after. */
void fake_store_resume_delayed_grant(struct fake_store *store);
/* Stops the timers and frees what the leases own. */
void fake_store_leases_free(struct fake_store *store);

/* ---- fake_store_faults.c ---- */

/* Whether requests are refused with 503 at this address. */
bool fake_store_is_refusing(const struct fake_store *store, bool at_second_addr);
/* Whether watches stay open without an answer at this address. */
bool fake_store_are_watches_silent(const struct fake_store *store, bool at_second_addr);
/* Delays the transaction if that was asked for. False: it is to be executed now. */
bool fake_store_delay_txn(struct fake_store *store, struct pm_http_request *request);

#endif
