/* What the parts of the store slice share; nobody else includes it. */
#ifndef PM_STORE_INTERNAL_H
#define PM_STORE_INTERNAL_H

#include "store/store.h"

#include <ev.h>
#include <glib.h>

#define PM_STORE_REQUEST_TIMEOUT_S 2.0 /* a request with no answer by then counts as lost */
#define PM_STORE_MIN_REQUEST_INTERVAL_S                                                            \
    0.03 /* watches opened and freshness reads count as requests: see set_pace */

struct waiter {
    uint64_t store_revision;
    double until;
    pm_store_wait_done *done;
    void *arg;
};

struct pm_store {
    struct ev_loop *loop;
    struct pm_http_client *http;
    char addr[64];
    struct pm_store_observer observer;
    bool ready, refusing;
    bool listing;     /* a listing is under way, or due */
    double caught_at; /* steady: the replica last caught up with something */
    double served, refused;
    uint64_t store_revision;
    /* The round of listing and watching in force: an answer of an earlier one is ignored. */
    uint64_t round;
    char since[256];
    uint64_t list_store_revision;
    double watch_opened;
    ev_timer retry, tick;
    /* Freshness: those waiting for the next read, those whose read is under way, those who wait
     * for the watch. */
    GArray *next, *reading, *waiting;
    bool fresh_busy;
    double fresh_sent;
    /* Write budget: a bucket of one second's worth. */
    double write_rps, share, most, tokens, filled;
    double others, others_at; /* changes told that were not ours, fading over OTHERS_S */
    double pace;
    double answer_s; /* see pm_store_latency_s */
};

/* result.c */
/* The result that a status of HTTP, or PM_HTTP_NO_ANSWER and PM_HTTP_NOT_SENT, stands for. */
enum pm_store_result pm_store_result_of(int status);

/* store.c: the feed */
/* Takes note of an answer's status; whether it is 200. */
bool pm_store_note_status(struct pm_store *s, int status);
/* How long an answer took that was asked for at `sent`. */
void pm_store_note_latency(struct pm_store *s, double sent);
/* Opens the next watch. */
void pm_store_open_watch(struct pm_store *s);

/* fresh.c: who waits for the replica to be as new as the state service */
/* Calls back those for whom the replica has gone far enough. */
void pm_store_wake_waiters(struct pm_store *s);
void pm_store_on_tick(struct ev_loop *loop, ev_timer *w, int events);

/* txn.c: transactions and the write budget */
/* So many changes were told that were not ours. */
void pm_store_note_foreign_writes(struct pm_store *s, double changes);

#endif
