/* A fake state service on free loopback ports: keys with revisions, transactions, lists, watches,
 * leases, and injected faults.
 *
 * The store owns all keys and every open request. Used by tests, and by the test cluster
 * (cluster.h). All functions are called only in the thread that runs `loop`; there is no lock.
 * Behavior is deterministic and does not depend on time, unless fake_store_expire_leases or
 * fake_store_delay_next_grant was called. */
#ifndef PM_TESTING_FAKE_STORE_H
#define PM_TESTING_FAKE_STORE_H

#include "base/cbor.h"
#include "testing/event_loop.h"

#include <stdbool.h>
#include <stdint.h>

struct ev_loop;
struct fake_store;

/* Creates an empty store, owned by the caller. It serves requests while `loop` (borrowed) runs. */
struct fake_store *fake_store_new(struct ev_loop *loop);
/* Answers open watches with 503 and frees the store. */
void fake_store_free(struct fake_store *store);
/* The service's address as "IP:PORT", borrowed from the store. */
const char *fake_store_addr(const struct fake_store *store);

/* ---- keys ---- */

/* The revision at which the key was last written, or 0 if the key does not exist. */
uint64_t fake_store_revision(const struct fake_store *store, const char *key);
/* The key's CBOR value as hexadecimal digits, "" if the key does not exist. Owned by the caller. */
char *fake_store_value_hex(const struct fake_store *store, const char *key);
/* The number of transactions executed, or refused because of their conditions or leases. */
int fake_store_txn_count(const struct fake_store *store);
/* Writes a map with the single field `field` = `number` to the key, as if another client had
 * written it. The observer is not called. */
void fake_store_put_number(struct fake_store *store, const char *key, const char *field,
                           uint64_t number);

/* Called for every key that a transaction writes or deletes, before the transaction is answered,
 * and for every key that is deleted with its lease. `data` is the new value, valid only during the
 * callback; NULL if the key was deleted. */
typedef void fake_store_observer(void *arg, const char *key, const cbor_item_t *data,
                                 uint64_t revision);
/* Calls `observer` from now on. Replaces an earlier observer. */
void fake_store_observe(struct fake_store *store, fake_store_observer *observer, void *arg);

/* ---- leases ---- */

/* From now on a new lease expires unless it is kept alive within its TTL. Called at most once. */
void fake_store_expire_leases(struct fake_store *store);
/* Deletes all keys that are attached to a lease, as if every lease had been revoked. */
void fake_store_revoke_all_leases(struct fake_store *store);
/* Holds back the answer to the next lease grant until the leader key has been written and watches
 * have had time to report it. */
void fake_store_delay_next_grant(struct fake_store *store);

/* ---- faults ---- */

/* Begins or ends an outage, in which every request is answered with 503. Open watches stay open. */
void fake_store_set_outage(struct fake_store *store, bool outage);
/* While true, the service accepts requests but answers none, as if it were unreachable. Requests
 * that arrive in this time are never answered, even after the fault has ended. */
void fake_store_set_hanging(struct fake_store *store, bool hanging);
/* Answers the next watch with 410, as if its revision were too old. */
void fake_store_reject_next_watch(struct fake_store *store);
/* The next transaction is executed but gets a malformed answer, so the client does not learn the
 * result. */
void fake_store_lose_next_answer(struct fake_store *store);
/* Cuts the bodies of all answers in the middle from now on, or no longer. Concerns all stores of
 * this process. */
void fake_store_cut_answers(bool are_cut);
/* Delays the next transaction whose body contains `text`, such as a key: it gets a malformed answer
 * at once and is executed only by fake_store_execute_delayed_txn. */
void fake_store_delay_next_txn(struct fake_store *store, const char *text);
/* Whether there is a delayed transaction that has not been executed. */
bool fake_store_has_delayed_txn(const struct fake_store *store);
/* Executes the delayed transaction. */
void fake_store_execute_delayed_txn(struct fake_store *store);

/* How the store serves requests to its second address. */
enum fake_store_addr_mode {
    FAKE_STORE_ADDR_SERVES,        /* like requests to the first address */
    FAKE_STORE_ADDR_REFUSES,       /* refused with 503; open watches stay open */
    FAKE_STORE_ADDR_HOLDS_WATCHES, /* watches are never answered; other requests are served */
};
/* A second address of the service as "IP:PORT", for clients that are to be treated differently.
 * Borrowed from the store. */
const char *fake_store_second_addr(const struct fake_store *store);
/* Sets how requests to the second address are served from now on; at first they are served
 * normally. */
void fake_store_set_second_addr_mode(struct fake_store *store, enum fake_store_addr_mode mode);

#endif
