/* Client of the state service, which is a consensus-backed key-value store.
 *
 * The client lists all keys, then watches them, and reports each change to its observer. The
 * observer decodes and stores the values; what it stores is called the replica. The client also
 * sends transactions within a write budget, grants and renews leases, and offers linearizable
 * reads: a caller waits until the replica is as new as the service was when the caller asked.
 *
 * Threads: every function runs in the event-loop thread with pm_controller.lock held. No function
 * waits for I/O. Requests are queued, and callbacks are called from the loop later, never from
 * inside the function that was given them; the one exception is pm_store_wait_for_revision. All
 * times are monotonic, in seconds. */
#ifndef PM_STORE_STORE_H
#define PM_STORE_STORE_H

#include "base/cbor.h"
#include "base/http.h"

#include <stdbool.h>
#include <stdint.h>

struct ev_loop;
struct pm_store;

/* Receives the changes, and stores the replica's values. Keys and values are borrowed until the
 * callback returns. */
struct pm_store_observer {
    /* The key has this value. A call may repeat a value, or have a lower revision than an earlier
     * call for the same key: a new listing reports all values again, and the watch after a listing
     * reports again the changes that were made while its pages were read. */
    void (*put)(void *arg, const char *key, const cbor_item_t *value, uint64_t revision);
    /* The key was deleted at this store revision. */
    void (*delete)(void *arg, const char *key, uint64_t revision);
    /* A listing begins. A key that is not put before snapshot_end no longer exists. */
    void (*snapshot_begin)(void *arg);
    void (*snapshot_end)(void *arg);
    /* Every change up to `store_revision` has been applied. */
    void (*caught_up)(void *arg, uint64_t store_revision);
    void *arg;
};

/* ---- life cycle and replica ---- */

/* Creates a client of the service at `address` ("host:port") and begins its first listing.
 * `writes_per_s` is the service's limit for all controllers together. Copies `observer`; `loop` and
 * `http` must stay valid as long as the client is used. Never returns NULL; the caller frees the
 * result with pm_store_free. */
struct pm_store *pm_store_new(struct ev_loop *loop, struct pm_http_client *http,
                              const char *address, double writes_per_s,
                              const struct pm_store_observer *observer);
/* Stops the timers and frees the client. Does not cancel requests in flight, whose callbacks would
 * access freed memory. The caller must therefore free the HTTP client before this call, or never
 * run the loop again. */
void pm_store_free(struct pm_store *store);
/* Abandons the watch and begins a new listing. The replica is not ready from the listing's first
 * page until the listing is complete. */
void pm_store_resync(struct pm_store *store);
/* Whether the replica has been listed in full and is kept up to date by watches. */
bool pm_store_is_ready(const struct pm_store *store);
/* The store revision up to which every change has been applied. */
uint64_t pm_store_revision(const struct pm_store *store);
/* Limits watches to `requests_per_s`, and, separately, reads of the store revision. */
void pm_store_set_request_rate(struct pm_store *store, double requests_per_s);

/* ---- connection health ---- */

/* Whether the latest answer was a 503. */
bool pm_store_is_refusing(const struct pm_store *store);
/* When the latest answer other than a 503 arrived; 0 if none has. */
double pm_store_last_served_at(const struct pm_store *store);
/* When the latest 503 arrived; 0 if none has. */
double pm_store_last_refused_at(const struct pm_store *store);
/* A moving average, in seconds, of the duration of transactions and store-revision reads. */
double pm_store_latency_s(const struct pm_store *store);

/* ---- transactions ---- */

/* A transaction under construction. An empty one is all zero. */
struct pm_txn {
    struct pm_buffer compares, writes;
    int compare_count, write_count;
};

/* Adds the condition that the key has this revision, or for revision 0 that it does not exist. */
void pm_txn_compare(struct pm_txn *txn, const char *key, uint64_t revision);
/* Begins a put. The caller then appends exactly one CBOR item, the value, to txn->writes and calls
 * pm_txn_put_end. */
void pm_txn_put_begin(struct pm_txn *txn, const char *key);
/* Ends a put. The service deletes the key when the lease ends; `lease_id` 0 means no lease. */
void pm_txn_put_end(struct pm_txn *txn, uint64_t lease_id);
/* Adds the deletion of a key. The key need not exist. */
void pm_txn_delete(struct pm_txn *txn, const char *key);
/* Appends the body of the transaction's request to `out`. */
void pm_txn_encode(const struct pm_txn *txn, struct pm_buffer *out);
/* Frees the transaction's buffers and leaves it empty, so that it can be used again. */
void pm_txn_free(struct pm_txn *txn);

/* The result of a request to the state service. Values above 0 are HTTP status codes of the
 * service's protocol, so that a number in a log can be looked up there. */
enum pm_store_result {
    PM_STORE_OK = 200,
    PM_STORE_REJECTED = 400,  /* malformed, too large, or under a lease that has expired */
    PM_STORE_NOT_FOUND = 404, /* the lease has expired */
    PM_STORE_CONFLICT = 409,  /* a compared key has another revision; nothing was written */
    PM_STORE_THROTTLED = 429, /* over the request or write budget; nothing was written */
    /* The service refused the request (503) and did not execute it. Every status that is not listed
     * here, such as 500, is treated as this one. */
    PM_STORE_UNAVAILABLE = 503,
    /* There is no readable answer. The request may have been executed, may be executed later, or
     * may never be executed. */
    PM_STORE_UNKNOWN_OUTCOME = -1,
    PM_STORE_NOT_SENT = -2 /* the request was never sent and never will be */
};

/* The name of the result for logs, such as "conflict"; a constant string. */
const char *pm_store_result_name(enum pm_store_result result);

/* Called once, when the transaction has ended. `store_revision` is the service's revision after the
 * transaction for PM_STORE_OK and PM_STORE_CONFLICT, otherwise 0. For PM_STORE_CONFLICT
 * `conflicting_keys` lists the compared keys that had another revision; it is borrowed until the
 * callback returns, and may be NULL. */
typedef void pm_txn_done(void *arg, enum pm_store_result result, uint64_t store_revision,
                         const cbor_item_t *conflicting_keys);

/* Sends the transaction at once, even if the write budget is spent, and charges it to the budget.
 * Leaves `txn` empty. */
void pm_store_commit(struct pm_store *store, struct pm_txn *txn, pm_txn_done *done, void *arg);
/* How many changes may be written at `now` within this controller's share of the write budget. */
int pm_store_write_budget(struct pm_store *store, double now);
/* Sets this controller's fraction of the write budget: `share` is guaranteed, and `max_share` is
 * the upper limit; both are from 0 to 1. The controller uses more than `share` only while the
 * watches show that the other controllers leave part of the budget unused. */
void pm_store_set_write_share(struct pm_store *store, double share, double max_share);

/* ---- linearizable reads ---- */

/* Called once: with `ok` true when the replica has reached the required revision, with false when
 * it has not done so within 1.6 s or the state service did not answer. */
typedef void pm_store_wait_done(void *arg, bool ok);
/* Calls `done` once the replica is at least as new as the state service was at the time of this
 * call. */
void pm_store_linearizable_read(struct pm_store *store, pm_store_wait_done *done, void *arg);
/* Calls `done` once the replica has reached `store_revision`. If it already has, `done` is called
 * before this function returns. */
void pm_store_wait_for_revision(struct pm_store *store, uint64_t store_revision,
                                pm_store_wait_done *done, void *arg);

/* ---- leases ---- */

/* Called once, when the request has ended. For a keep-alive, `lease_id` is the lease that the
 * caller gave, whatever the result. For a grant it is the new lease, or 0 if none was granted. */
typedef void pm_store_lease_done(void *arg, enum pm_store_result result, uint64_t lease_id);
/* Requests a lease that ends `ttl_s` seconds after it was last renewed. */
void pm_store_lease_grant(struct pm_store *store, double ttl_s, pm_store_lease_done *done,
                          void *arg);
/* Ends a lease, which deletes the keys attached to it. The result is not reported. */
void pm_store_lease_revoke(struct pm_store *store, uint64_t lease_id);
/* Renews a lease for its full duration. The result is PM_STORE_NOT_FOUND if the lease has ended. */
void pm_store_lease_keep_alive(struct pm_store *store, uint64_t lease_id, pm_store_lease_done *done,
                               void *arg);

#endif
