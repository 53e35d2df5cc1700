/* Client of the state service, the consensus-backed key-value store.
 *
 * It keeps a replica fed (a listing, then watches), executes transactions within the write budget,
 * holds leases, and makes reads linearizable: a caller waits until the replica is as new as the
 * service was when the caller asked. The values themselves are the observer's: the client decodes
 * no key of the project and stores none.
 *
 * Thread and lock: everything here runs in the event-loop thread under pm_controller.lock. No
 * function waits for I/O: requests are queued and callbacks come later from the loop, never from
 * inside the call, but for pm_store_wait_for_revision. All times are monotonic seconds. */
#ifndef PM_STORE_STORE_H
#define PM_STORE_STORE_H

#include "base/cbor.h"
#include "base/http.h"

#include <stdbool.h>
#include <stdint.h>

struct ev_loop;
struct pm_store;

/* Who keeps the replica's values. Keys and values are borrowed for the call. */
struct pm_store_observer {
    /* A key's value. It may come again after a new listing, also with an older revision. */
    void (*put)(void *arg, const char *key, const cbor_item_t *value, uint64_t revision);
    /* The key was deleted at that store revision. */
    void (*delete)(void *arg, const char *key, uint64_t revision);
    /* A listing begins: a key that is not put before snapshot_end no longer exists. */
    void (*snapshot_begin)(void *arg);
    void (*snapshot_end)(void *arg);
    /* Every change up to `store_revision` has been applied. */
    void (*caught_up)(void *arg, uint64_t store_revision);
    void *arg;
};

/* ---- life cycle and replica ---- */

/* A client of the service at `address` ("host:port"), which begins its first listing at once.
 * `writes_per_s` is the service's limit for all controllers together. `observer` is copied; `loop`
 * and `http` have to outlive the client. Never NULL. */
struct pm_store *pm_store_new(struct ev_loop *loop, struct pm_http_client *http,
                              const char *address, double writes_per_s,
                              const struct pm_store_observer *observer);
/* Stops the timers and frees the client. Requests in flight must not call back any more: free the
 * HTTP client first, or never run the loop again. */
void pm_store_free(struct pm_store *store);
/* Abandons the watch and begins a new listing; the replica is not ready until it is complete. */
void pm_store_resync(struct pm_store *store);
/* Whether the replica was listed in full, and is followed by watches. */
bool pm_store_is_ready(const struct pm_store *store);
/* The store revision up to which every change has been applied. */
uint64_t pm_store_revision(const struct pm_store *store);
/* How many watches, and how many reads of the store revision, may be sent a second. */
void pm_store_set_request_rate(struct pm_store *store, double requests_per_s);

/* ---- connection health ---- */

/* Whether the last answer was a 503. */
bool pm_store_is_refusing(const struct pm_store *store);
/* When the last answer other than 503 came; 0: never. */
double pm_store_last_served_at(const struct pm_store *store);
/* When the last 503 came; 0: never. */
double pm_store_last_refused_at(const struct pm_store *store);
/* A moving average, in seconds, of the time that a read or a transaction takes. */
double pm_store_latency_s(const struct pm_store *store);

/* ---- transactions ---- */

/* A transaction under construction; begin with all zero. */
struct pm_txn {
    struct pm_buffer compares, writes;
    int compare_count, write_count;
};

/* Adds a condition: the key has this revision, or, for 0, does not exist. */
void pm_txn_compare(struct pm_txn *txn, const char *key, uint64_t revision);
/* Begins a put: the caller writes exactly one item to txn->writes, then calls pm_txn_put_end. */
void pm_txn_put(struct pm_txn *txn, const char *key);
/* Ends a put. The key is deleted when the lease ends; 0: no lease. */
void pm_txn_put_end(struct pm_txn *txn, uint64_t lease_id);
/* Adds the deletion of a key; no fault if it does not exist. */
void pm_txn_delete(struct pm_txn *txn, const char *key);
/* Appends the body of the transaction's request to `out`. */
void pm_txn_encode(const struct pm_txn *txn, struct pm_buffer *out);
/* Frees what the transaction holds; it is then empty, and can be built anew. */
void pm_txn_free(struct pm_txn *txn);

/* What became of a request to the state service. The values are the protocol's own status codes, so
 * that a number in a log can be looked up there. */
enum pm_store_result {
    PM_STORE_OK = 200,
    PM_STORE_REJECTED = 400,       /* malformed, too large, or under a lease that has expired */
    PM_STORE_NOT_FOUND = 404,      /* the lease has expired */
    PM_STORE_CONFLICT = 409,       /* a compared key has another revision: nothing was written */
    PM_STORE_THROTTLED = 429,      /* beyond the request or write budget: nothing was written */
    PM_STORE_UNAVAILABLE = 503,    /* not executed; also stands for any status not named here */
    PM_STORE_UNKNOWN_OUTCOME = -1, /* no readable answer: executed, or not, or yet to be */
    PM_STORE_NOT_SENT = -2         /* it never left this process, and never will */
};

/* "conflict" and so on, for logs; a constant. */
const char *pm_store_result_name(enum pm_store_result result);

/* Called once when the transaction has ended. `store_revision` is the service's revision after it,
 * for PM_STORE_OK and PM_STORE_CONFLICT; else 0. `conflicting_keys` lists the compared keys that
 * had another revision, for PM_STORE_CONFLICT; it is borrowed for the call, and may be NULL. */
typedef void pm_txn_done(void *arg, enum pm_store_result result, uint64_t store_revision,
                         const cbor_item_t *conflicting_keys);

/* Sends the transaction at once, whatever the write budget, which it is charged to; consumes what
 * `txn` holds. */
void pm_store_commit(struct pm_store *store, struct pm_txn *txn, pm_txn_done *done, void *arg);
/* How many changes may be written at `now` within this controller's share of the write budget. */
int pm_store_write_budget(struct pm_store *store, double now);
/* Sets the share of the write budget, 0 to 1, that is this controller's in any case, and the one
 * that it may rise to while the watches show that the others leave so much. */
void pm_store_set_write_share(struct pm_store *store, double share, double max_share);

/* ---- linearizable reads ---- */

/* Called once, with `ok` when the replica has reached the revision in question, without it when
 * that did not happen within 1.6 s or the state service did not answer. */
typedef void pm_store_wait_done(void *arg, bool ok);
/* Calls back once the replica is at least as new as the state service is at the time of this
 * call. */
void pm_store_linearizable_read(struct pm_store *store, pm_store_wait_done *done, void *arg);
/* Calls back once the replica has reached `store_revision`; at once, from inside this call, if it
 * has already. */
void pm_store_wait_for_revision(struct pm_store *store, uint64_t store_revision,
                                pm_store_wait_done *done, void *arg);

/* ---- leases ---- */

/* Called once when the request has ended. `lease_id` is the lease that was granted (0: none was),
 * or that was to be kept alive, whatever the result. */
typedef void pm_store_lease_done(void *arg, enum pm_store_result result, uint64_t lease_id);
/* Asks for a lease that ends `ttl_s` seconds after its last renewal. */
void pm_store_lease_grant(struct pm_store *store, double ttl_s, pm_store_lease_done *done,
                          void *arg);
/* Ends a lease at once, with the keys attached to it; nobody waits for the answer. */
void pm_store_lease_revoke(struct pm_store *store, uint64_t lease_id);
/* Renews a lease for its whole time; PM_STORE_NOT_FOUND when it has ended. */
void pm_store_lease_keep_alive(struct pm_store *store, uint64_t lease_id, pm_store_lease_done *done,
                               void *arg);

#endif
