/* What the files of the store slice share; no other slice includes it.
 *
 * Field names of the state service's messages, which only codec.c, leases.c and txn.c spell out:
 *   edition  store revision: counts the transactions of the whole store
 *   stamp    revision of one key: the store revision of its last change, 0: no such key
 *   data     a key's value
 *   put      in a transaction or watch event: the key that is written
 *   drop     in a transaction or watch event: the key that is deleted
 *   failed   the compared keys that had another revision
 *   tenure   lease id */
#ifndef PM_STORE_INTERNAL_H
#define PM_STORE_INTERNAL_H

#include "store/store.h"

#include <ev.h>
#include <glib.h>

/* A request that has no answer by then counts as lost. */
#define PM_STORE_REQUEST_TIMEOUT_S 2.0
/* Watches opened, and reads of the store revision, count against the request budget: no two of a
 * kind are closer together than this. */
#define PM_STORE_MIN_REQUEST_INTERVAL_S 0.03

enum {
    PM_STORE_KEY_SIZE = 256,          /* of the longest key, with its NUL */
    PM_STORE_SMALL_ANSWER_MAX = 4096, /* bytes of an answer that holds one number */
    PM_STORE_HTTP_GONE = 410          /* the watch starts at a revision that is compacted */
};

/* Whether the state service answers. Written by health.c. */
struct pm_store_health {
    bool is_refusing;       /* the last answer was a 503 */
    double last_served_at;  /* the last answer other than 503 */
    double last_refused_at; /* the last 503, 0: none */
    double latency_s;       /* moving average */
};

/* The feed of the replica: listing, then watching. Written by replica.c. */
struct pm_store_replica {
    bool is_ready;   /* listed in full at least once, and following */
    bool is_listing; /* a listing is under way, or due */
    /* Counts listings and watches that were abandoned: an answer to a request of an earlier
     * generation is ignored. */
    uint64_t generation;
    char last_listed_key[PM_STORE_KEY_SIZE]; /* the next page starts after it; "": first page */
    uint64_t snapshot_revision;              /* store revision of the listing's first page */
    uint64_t store_revision;                 /* every change up to it has been applied */
    double caught_up_at;
    double watch_opened_at;
    ev_timer retry; /* the next page or watch, when it is not sent at once */
};

/* A caller who waits for the replica. */
struct pm_store_pending_read {
    uint64_t store_revision; /* to be reached; 0 while it is not known */
    double deadline;         /* monotonic seconds */
    pm_store_wait_done *done;
    void *arg;
};

/* Linearizable reads: arrays of struct pm_store_pending_read. Written by linearizable_read.c. */
struct pm_store_reads {
    GArray *queued;    /* to be covered by the next read of the store revision */
    GArray *in_flight; /* covered by the read in flight */
    GArray *waiting;   /* know the store revision that the replica has to reach */
    bool is_read_in_flight;
    double read_sent_at;
    ev_timer tick; /* runs only while somebody waits */
};

/* A token bucket of about one second's writes. Written by write_budget.c. */
struct pm_store_write_budget {
    double writes_per_s; /* the service's limit for all controllers together */
    double share;        /* of it, guaranteed to this controller */
    double max_share;    /* of it, while the other controllers leave so much */
    double tokens;       /* writes that may be sent now; negative after a burst */
    double refilled_at;
    double foreign_writes; /* by other controllers, decaying over FOREIGN_WRITES_DECAY_S */
    double foreign_writes_at;
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

/* The result that an HTTP status, or PM_HTTP_NO_RESPONSE or PM_HTTP_NOT_SENT, stands for. Any
 * status that is not named in enum pm_store_result is PM_STORE_UNAVAILABLE. */
enum pm_store_result pm_store_result_of(int status);

/* ---- codec.c ---- */

/* A key's change, as a watch reports it, or its present value, as a listing does. */
struct pm_store_change {
    bool is_delete;
    char key[PM_STORE_KEY_SIZE];
    uint64_t revision;
    const cbor_item_t *value; /* borrowed from the answer; NULL for a delete */
};

/* Reads the store revision that every answer carries. False when `answer` (NULL allowed) has none.
 */
bool pm_store_decode_revision(const cbor_item_t *answer, uint64_t *store_revision);
/* The items of one page of a listing, borrowed from `answer` (NULL: none), and whether further
 * pages follow. */
const cbor_item_t *pm_store_decode_list(const cbor_item_t *answer, bool *has_more);
/* The events of a watch, borrowed from `answer`; NULL: none. */
const cbor_item_t *pm_store_decode_watch_events(const cbor_item_t *answer);
/* Reads one key of a listing. False when its key or revision can't be read. */
bool pm_store_decode_list_item(const cbor_item_t *item, struct pm_store_change *change);
/* Reads one event of a watch. False when it is neither a readable put nor a readable delete. */
bool pm_store_decode_watch_event(const cbor_item_t *event, struct pm_store_change *change);

/* ---- health.c ---- */

/* Records that an answer with this status came, or, for a status below 0, that none did. Returns
 * whether it was a success (200). */
bool pm_store_note_status(struct pm_store *store, int status);
/* Records how long a request took that was sent at `sent_at` (monotonic seconds) and has ended
 * now. */
void pm_store_note_latency(struct pm_store *store, double sent_at);

/* ---- replica.c ---- */

/* Initializes the replica's timer, and begins the first listing. */
void pm_store_replica_start(struct pm_store *store);
/* Stops the replica's timer. */
void pm_store_replica_stop(struct pm_store *store);
/* Abandons the watch that is open, and opens another at the revision reached. */
void pm_store_reopen_watch(struct pm_store *store);

/* ---- linearizable_read.c ---- */

/* Allocates the lists of those who wait, and initializes the timer. */
void pm_store_reads_init(struct pm_store *store);
/* Stops the timer and frees the lists; the callbacks of those who still wait are not called. */
void pm_store_reads_clear(struct pm_store *store);
/* Calls back those who waited for a store revision that the replica has reached. */
void pm_store_complete_reads(struct pm_store *store);

/* ---- write_budget.c ---- */

/* Fills the bucket for a service that allows so many writes a second. */
void pm_store_budget_init(struct pm_store *store, double writes_per_s);
/* Takes tokens for writes that are being sent; the bucket may go below zero. */
void pm_store_budget_spend(struct pm_store *store, int writes);
/* Empties the bucket: the service has answered that the budget is exceeded. */
void pm_store_budget_exhaust(struct pm_store *store);
/* Counts writes of others that a watch showed. A watch shows this controller's own writes too:
 * they are subtracted again (`writes` below 0) when their transaction succeeds. */
void pm_store_note_foreign_writes(struct pm_store *store, double writes);

#endif
