/* A state service for tests, on a loopback port of its own choice: keys with revisions,
 * transactions, listing, watches, holds, outages. No time, no chance, unless holds are to expire by
 * the clock. */
#ifndef PM_TESTING_FAKE_STORE_H
#define PM_TESTING_FAKE_STORE_H

#include "base/cbor.h"

#include <stdbool.h>
#include <stdint.h>

struct ev_loop;
struct fake_store;

struct fake_store *fake_store_new(struct ev_loop *loop);
void fake_store_free(struct fake_store *state);
const char *fake_store_addr(const struct fake_store *state);
uint64_t fake_store_revision(const struct fake_store *state, const char *key); /* 0: no such key */
/* Every answer is a 503 from now on, or no more; open watches wait. */
void fake_store_set_outage(struct fake_store *state, bool out);
/* No request is answered from now on, or again: the service is out of reach. */
void fake_store_set_hanging(struct fake_store *state, bool hang);
/* A second address of the same service, and what it does to those who come that way: serves them,
 * answers 503 while the watches wait, or leaves only the watches without an answer. */
enum fake_store_access { FAKE_STORE_SERVES, FAKE_STORE_REFUSES, FAKE_STORE_WATCHES_HANG };
const char *fake_store_second_addr(const struct fake_store *state);
void fake_store_set_second_access(struct fake_store *state, enum fake_store_access door);
/* The next watch is told that it is too old. */
void fake_store_reject_next_watch(struct fake_store *state);
/* Executes the next transaction but never answers it. */
void fake_store_lose_next_answer(struct fake_store *state);
/* Neither executes nor answers the next transaction that names the key: it is executed when
 * delivered, later. */
void fake_store_delay_next_txn(struct fake_store *state, const char *key);
bool fake_store_has_delayed_txn(const struct fake_store *state);
void fake_store_execute_delayed_txn(struct fake_store *state);
/* The next request for a hold waits for its answer until the lead's key was put, and the watches
 * have told of it. */
void fake_store_delay_next_grant(struct fake_store *state);
/* Holds end by themselves from now on when they are not renewed in time. */
void fake_store_expire_leases(struct fake_store *state);
/* Tells of every key that is put or dropped from now on, before the transaction is answered; `data`
 * is borrowed, NULL for a drop. */
typedef void fake_store_observer(void *arg, const char *key, const cbor_item_t *data,
                                 uint64_t revision);
void fake_store_observe(struct fake_store *state, fake_store_observer *observer, void *arg);
/* Ends all holds, and drops their keys. */
void fake_store_revoke_all_leases(struct fake_store *state);
/* The value of a key in hexadecimal digits, "" if there is no such key; owned by the caller. */
char *fake_store_value_hex(const struct fake_store *state, const char *key);
int fake_store_txn_count(const struct fake_store *state);

/* Puts a map of one number under the key, as somebody unknown would. */
void fake_store_put_number(struct fake_store *state, const char *key, const char *name,
                           uint64_t number);

/* A free loopback port, and running the loop until `done` says so (false: never within a minute).
 */
int event_loop_free_port(void);
bool event_loop_run_until(struct ev_loop *loop, bool (*done)(void *arg), void *arg);

#endif
