/* Client of the state service: the replica's feed (list, then watch), transactions within the
 * write budget, holds, and the batched read of `store_revision` that makes an answer fresh. */
#ifndef PM_STORE_STORE_H
#define PM_STORE_STORE_H

#include "base/cbor.h"
#include "base/http.h"

#include <stdbool.h>
#include <stdint.h>

struct ev_loop;
struct pm_store;

/* All keys of the project start with this. */
#define PM_STORE_ROOT "p/"

struct pm_store_observer {
    /* A key's value; also told again, with the same or an older revision, after a new listing. */
    void (*put)(void *arg, const char *key, const cbor_item_t *value, uint64_t revision);
    void (*delete)(void *arg, const char *key, uint64_t revision);
    /* A listing begins: whatever it does not tell, until `listed`, is gone. */
    void (*snapshot_begin)(void *arg);
    void (*snapshot_end)(void *arg);
    /* Every change up to `store_revision` has been told. */
    void (*caught_up)(void *arg, uint64_t store_revision);
    void *arg;
};

struct pm_store *pm_store_new(struct ev_loop *loop, struct pm_http_client *http, const char *addr,
                              double write_rps, const struct pm_store_observer *feed);
void pm_store_free(struct pm_store *store);
/* Throws the replica away and lists again. */
void pm_store_resync(struct pm_store *store);
bool pm_store_is_ready(const struct pm_store *store);     /* listed once, and following */
uint64_t pm_store_revision(const struct pm_store *store); /* caught up to here */

/* Whether the last answer was a 503, and the steady time of the last other one. */
bool pm_store_is_refusing(const struct pm_store *store);
double pm_store_last_served_at(const struct pm_store *store);
double pm_store_last_refused_at(const struct pm_store *store); /* steady: the last 503, 0: none */
/* How long it takes to answer a read or a transaction, lately. */
double pm_store_latency_s(const struct pm_store *store);

/* A transaction under construction. */
struct pm_txn {
    struct pm_buf compares, writes;
    int compare_count, write_count;
};

void pm_txn_compare(struct pm_txn *txn, const char *key, uint64_t revision);
/* Begins a put: the caller writes exactly one item to txn->writes, then calls pm_txn_put_end. */
void pm_txn_put(struct pm_txn *txn, const char *key);
void pm_txn_put_end(struct pm_txn *txn, uint64_t lease_id); /* 0: no lease */
void pm_txn_delete(struct pm_txn *txn, const char *key);
/* The body of its request. */
void pm_txn_encode(const struct pm_txn *txn, struct pm_buf *out);
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

/* Sends at once; consumes `txn`. */
void pm_store_commit(struct pm_store *store, struct pm_txn *txn, pm_txn_done *done, void *arg);
/* How many changes may be written now within the share of the write budget. */
int pm_store_write_budget(struct pm_store *store, double now);
/* The share that is this controller's in any case, and what it may rise to while the watch shows
 * that the others leave so much. */
void pm_store_set_write_share(struct pm_store *store, double share, double most);
/* How many watches, and how many reads of `store_revision`, it may open a second. */
void pm_store_set_request_rate(struct pm_store *store, double requests_per_s);

/* `ok` once the replica is at least as new as the state service was at the time of this call. */
typedef void pm_store_wait_done(void *arg, bool ok);
void pm_store_linearizable_read(struct pm_store *store, pm_store_wait_done *done, void *arg);
/* Calls back once the replica has reached `store_revision`, or `ok` false after a while. */
void pm_store_wait_for_revision(struct pm_store *store, uint64_t store_revision,
                                pm_store_wait_done *done, void *arg);

/* Called once when the request has ended. `lease_id` is the lease that was granted (0: none was),
 * or that was to be kept alive, whatever the result. */
typedef void pm_store_lease_done(void *arg, enum pm_store_result result, uint64_t lease_id);
void pm_store_lease_grant(struct pm_store *store, double ttl_s, pm_store_lease_done *done,
                          void *arg);
/* Ends it at once, with the keys attached to it; nobody waits for the answer. */
void pm_store_lease_revoke(struct pm_store *store, uint64_t lease_id);
void pm_store_lease_keep_alive(struct pm_store *store, uint64_t lease_id, pm_store_lease_done *done,
                               void *arg);

#endif
