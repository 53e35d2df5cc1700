/* Declarations shared by the files of src/store/; no other folder includes them.
 *
 * Field names of the state service's messages. Only codec.c, leases.c and txn.c use them:
 *   edition  store revision, which counts the transactions of the whole store
 *   stamp    revision of one key: the store revision of its last change; 0 if there is no such key
 *   data     value of a key
 *   put      in a transaction or watch event, the key that is written
 *   drop     in a transaction or watch event, the key that is deleted
 *   failed   the compared keys that had another revision
 *   tenure   lease id */
#ifndef PM_STORE_INTERNAL_H
#define PM_STORE_INTERNAL_H

#include "store/store.h"

#include <ev.h>
#include <glib.h>

/* A request without an answer after this time counts as lost. A watch gets this time in addition to
 * the time for which the service may hold it open. */
#define PM_STORE_REQUEST_TIMEOUT_S 2.0
/* Minimum interval between two watches, and between two reads of the store revision, because both
 * count against the service's request budget. */
#define PM_STORE_MIN_REQUEST_INTERVAL_S 0.03

enum {
    PM_STORE_KEY_SIZE = 256,                /* bytes of the longest key, with its NUL */
    PM_STORE_SMALL_ANSWER_MAX_BYTES = 4096, /* limit for answers that hold a single number */
    PM_STORE_HTTP_GONE = 410 /* status of a watch whose start revision has been compacted */
};

/* Whether and how fast the state service answers. Written by health.c. Times are 0 if there was no
 * such answer. */
struct pm_store_health {
    bool is_refusing;       /* the latest answer was a 503 */
    double last_served_at;  /* when the latest answer other than a 503 arrived */
    double last_refused_at; /* when the latest 503 arrived */
    double latency_s;       /* moving average */
};

/* Keeps the replica up to date, by a listing and then watches. Written by replica.c. */
struct pm_store_replica {
    bool is_ready;   /* listed in full, and kept up to date by watches */
    bool is_listing; /* a listing is in progress, or due */
    /* Incremented when a listing or watch is abandoned. Answers to requests of an earlier
     * generation are ignored. */
    uint64_t generation;
    /* The next page of the listing starts after this key; "" for the first page. */
    char last_listed_key[PM_STORE_KEY_SIZE];
    uint64_t snapshot_revision; /* store revision of the listing's first page */
    uint64_t store_revision;    /* every change up to this revision has been applied */
    double caught_up_at;        /* when the latest listing or watch was applied */
    double watch_opened_at;
    ev_timer request_timer; /* sends the next page or watch after a delay */
};

/* A caller who waits for the replica to reach a store revision. */
struct pm_store_pending_read {
    uint64_t store_revision; /* 0 until the state service has reported it */
    double deadline;         /* monotonic */
    pm_store_wait_done *done;
    void *arg;
};

/* Linearizable reads, in arrays of struct pm_store_pending_read. Written by linearizable_read.c. */
struct pm_store_reads {
    GArray *queued;    /* wait for the next read of the store revision to be sent */
    GArray *in_flight; /* wait for the answer to the read in flight */
    GArray *waiting;   /* wait for the replica to reach a known store revision */
    bool is_read_in_flight;
    double read_sent_at;
    ev_timer timer; /* runs only while a caller waits */
};

/* A token bucket that holds about one second's writes. Written by write_budget.c. */
struct pm_store_write_budget {
    double writes_per_s; /* the service's limit for all controllers together */
    double share;        /* of the limit, guaranteed to this controller */
    double max_share;    /* of the limit, usable while the other controllers leave part unused */
    double tokens;       /* writes that may be sent now; negative after a burst */
    double refilled_at;
    double peer_writes; /* by other controllers, decaying over PEER_WRITES_DECAY_S */
    double peer_writes_at;
};

struct pm_store {
    struct ev_loop *loop;
    struct pm_http_client *http;
    char address[64];
    struct pm_store_observer observer;
    double min_request_interval_s; /* see pm_store_set_request_rate */
    struct pm_store_health health;
    struct pm_store_replica replica;
    struct pm_store_reads reads;
    struct pm_store_write_budget budget;
};

/* ---- result.c ---- */

/* Converts an HTTP status, PM_HTTP_NO_RESPONSE or PM_HTTP_NOT_SENT into a result. A status without
 * a result of its own becomes PM_STORE_UNAVAILABLE. */
enum pm_store_result pm_store_result_from_status(int status);

/* ---- codec.c ---- */

/* A change of a key that a watch reports, or the current value of a key in a listing. */
struct pm_store_change {
    bool is_delete;
    char key[PM_STORE_KEY_SIZE];
    uint64_t revision;
    const cbor_item_t *value; /* borrowed from the answer; NULL for a delete */
};

/* Reads the store revision, which every answer carries. Returns false if `answer`, which may be
 * NULL, has none. */
bool pm_store_decode_revision(const cbor_item_t *answer, uint64_t *store_revision);
/* Returns the items of one page of a listing, borrowed from `answer`, or NULL if it has none.
 * `has_more` tells whether more pages follow. */
const cbor_item_t *pm_store_decode_list(const cbor_item_t *answer, bool *has_more);
/* Returns the events of a watch, borrowed from `answer`, or NULL if it has none. */
const cbor_item_t *pm_store_decode_watch_events(const cbor_item_t *answer);
/* Reads one key of a listing. Returns false if its name or revision can't be read. */
bool pm_store_decode_list_item(const cbor_item_t *item, struct pm_store_change *change);
/* Reads one event of a watch. Returns false unless it is a put or a delete with a readable key and
 * revision. */
bool pm_store_decode_watch_event(const cbor_item_t *event, struct pm_store_change *change);

/* ---- health.c ---- */

/* Records that an answer with this status arrived; a status below 0 means that none did. Returns
 * whether the request succeeded (200). */
bool pm_store_record_status(struct pm_store *store, int status);
/* Records the duration of a request that was sent at the monotonic time `sent_at` and has just
 * ended. */
void pm_store_record_latency(struct pm_store *store, double sent_at);

/* ---- replica.c ---- */

/* Initializes the request timer and begins the first listing. */
void pm_store_replica_start(struct pm_store *store);
/* Stops the request timer. */
void pm_store_replica_stop(struct pm_store *store);
/* Abandons the open watch and opens another from the revision that the replica has reached. */
void pm_store_reopen_watch(struct pm_store *store);

/* ---- linearizable_read.c ---- */

/* Allocates the lists of waiting callers and initializes the timer. */
void pm_store_reads_init(struct pm_store *store);
/* Stops the timer and frees the lists without calling the callbacks of those who still wait. */
void pm_store_reads_clear(struct pm_store *store);
/* Calls the callbacks of those who waited for a store revision that the replica has reached. */
void pm_store_complete_reads(struct pm_store *store);

/* ---- write_budget.c ---- */

/* Fills the bucket for a service that allows `writes_per_s` writes per second. */
void pm_store_budget_init(struct pm_store *store, double writes_per_s);
/* Takes tokens for writes that are being sent. The bucket may become negative. */
void pm_store_budget_spend(struct pm_store *store, int writes);
/* Empties the bucket, because the service answered that the budget is exceeded. */
void pm_store_budget_exhaust(struct pm_store *store);
/* Adds to the writes that are attributed to other controllers. Called with the number of events of
 * each watch, which include this controller's own writes, and with the negative number of writes of
 * each own transaction that succeeded, which deducts them again. */
void pm_store_add_peer_writes(struct pm_store *store, double writes);

#endif
