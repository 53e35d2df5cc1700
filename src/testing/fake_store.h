/* A stand-in for the state service, on loopback ports of its own choice: keys with revisions,
 * transactions, lists, watches, leases, and the faults of a real service.
 *
 * It owns all keys and every open request. Used by tests, and by the cluster of real processes
 * (cluster.h). All functions are called in the thread that runs `loop`, and only there; there is no
 * lock. Nothing depends on time or chance, unless leases are made to expire by the clock. */
#ifndef PM_TESTING_FAKE_STORE_H
#define PM_TESTING_FAKE_STORE_H

#include "base/cbor.h"
#include "testing/event_loop.h"

#include <stdbool.h>
#include <stdint.h>

struct ev_loop;
struct fake_store;

/* An empty store that serves requests while `loop` (borrowed) runs. The caller owns it. */
struct fake_store *fake_store_new(struct ev_loop *loop);
/* Answers open watches with 503 and frees the store. */
void fake_store_free(struct fake_store *store);
/* Its address as "IP:PORT", borrowed from the store. */
const char *fake_store_addr(const struct fake_store *store);

/* ---- keys ---- */

/* The revision of the key's last write; 0: there is no such key. */
uint64_t fake_store_revision(const struct fake_store *store, const char *key);
/* The value of a key in hexadecimal digits, "" if there is no such key; owned by the caller. */
char *fake_store_value_hex(const struct fake_store *store, const char *key);
/* How many transactions were executed, or refused because of their conditions or leases. */
int fake_store_txn_count(const struct fake_store *store);
/* Writes a map of one number under the key, as another client would. Observers are not called. */
void fake_store_put_number(struct fake_store *store, const char *key, const char *name,
                           uint64_t number);

/* Called for every key that is written or deleted, before the transaction is answered. `data` is
 * borrowed for the call; NULL: the key was deleted. */
typedef void fake_store_observer(void *arg, const char *key, const cbor_item_t *data,
                                 uint64_t revision);
/* Calls `observer` from now on, in place of an earlier one. */
void fake_store_observe(struct fake_store *store, fake_store_observer *observer, void *arg);

/* ---- leases ---- */

/* Makes leases expire from now on when they are not kept alive in time. Called once at most. */
void fake_store_expire_leases(struct fake_store *store);
/* Revokes all leases: deletes the keys that are attached to any. */
void fake_store_revoke_all_leases(struct fake_store *store);
/* The next request to grant a lease is answered only once the leader's key was written and the
 * watches have reported it. */
void fake_store_delay_next_grant(struct fake_store *store);

/* ---- faults ---- */

/* Begins or ends an outage: every request is answered with 503, open watches stay open. */
void fake_store_set_outage(struct fake_store *store, bool outage);
/* While true, no request is answered: the service cannot be reached. Requests of that time are
 * never answered. */
void fake_store_set_hanging(struct fake_store *store, bool hanging);
/* The next watch is refused because its revision is too old. */
void fake_store_reject_next_watch(struct fake_store *store);
/* Executes the next transaction, and answers it with something that is no answer. */
void fake_store_lose_next_answer(struct fake_store *store);
/* The next transaction whose body contains `text`, such as a key, is not executed until
 * fake_store_execute_delayed_txn, and is answered with something that is no answer. */
void fake_store_delay_next_txn(struct fake_store *store, const char *text);
/* Whether a transaction was delayed and not executed yet. */
bool fake_store_has_delayed_txn(const struct fake_store *store);
/* Executes the delayed transaction. */
void fake_store_execute_delayed_txn(struct fake_store *store);

/* How requests to the second address are served. */
enum fake_store_access {
    FAKE_STORE_SERVES,       /* as at the first address */
    FAKE_STORE_REFUSES,      /* with 503; watches that are open stay open */
    FAKE_STORE_WATCHES_HANG, /* watches stay open without an answer, the others are served */
};
/* A second address of the same service as "IP:PORT", borrowed from the store. */
const char *fake_store_second_addr(const struct fake_store *store);
/* Sets how requests to the second address are served from now on. */
void fake_store_set_second_access(struct fake_store *store, enum fake_store_access access);

#endif
