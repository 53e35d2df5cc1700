/* A state service for tests, on a loopback port of its own choice: keys with revisions,
 * transactions, listing, watches, holds, outages. No time, no chance, unless holds are to expire by
 * the clock. */
#ifndef PM_TESTING_FAKE_STATE_H
#define PM_TESTING_FAKE_STATE_H

#include "base/cbor.h"

#include <stdbool.h>
#include <stdint.h>

struct ev_loop;
struct fake_state;

struct fake_state *fake_state_new(struct ev_loop *loop);
void fake_state_free(struct fake_state *state);
const char *fake_state_addr(const struct fake_state *state);
uint64_t fake_state_revision(const struct fake_state *state, const char *key); /* 0: no such key */
/* Every answer is a 503 from now on, or no more; open watches wait. */
void fake_state_outage(struct fake_state *state, bool out);
/* No request is answered from now on, or again: the service is out of reach. */
void fake_state_hang(struct fake_state *state, bool hang);
/* A second address of the same service, and what it does to those who come that way: serves them,
 * answers 503 while the watches wait, or leaves only the watches without an answer. */
enum fake_door { FAKE_OPEN, FAKE_REFUSES, FAKE_WATCHES_HANG };
const char *fake_state_side(const struct fake_state *state);
void fake_state_set_side(struct fake_state *state, enum fake_door door);
/* The next watch is told that it is too old. */
void fake_state_forget(struct fake_state *state);
/* Executes the next transaction but never answers it. */
void fake_state_swallow(struct fake_state *state);
/* Neither executes nor answers the next transaction that names the key: it is executed when
 * delivered, later. */
void fake_state_put_off(struct fake_state *state, const char *key);
bool fake_state_has_late(const struct fake_state *state);
void fake_state_deliver(struct fake_state *state);
/* The next request for a hold waits for its answer until the lead's key was put, and the watches
 * have told of it. */
void fake_state_delay_hold(struct fake_state *state);
/* Holds end by themselves from now on when they are not renewed in time. */
void fake_state_expire_holds(struct fake_state *state);
/* Tells of every key that is put or dropped from now on, before the transaction is answered; `data`
 * is borrowed, NULL for a drop. */
typedef void fake_state_observer(void *arg, const char *key, const cbor_item_t *data,
                                 uint64_t revision);
void fake_state_observe(struct fake_state *state, fake_state_observer *observer, void *arg);
/* Ends all holds, and drops their keys. */
void fake_state_lapse(struct fake_state *state);
/* The value of a key in hexadecimal digits, "" if there is no such key; owned by the caller. */
char *fake_state_hex(const struct fake_state *state, const char *key);
int fake_state_txns(const struct fake_state *state);

/* Puts a map of one number under the key, as somebody unknown would. */
void fake_state_put_number(struct fake_state *state, const char *key, const char *name,
                           uint64_t number);

/* A free loopback port, and running the loop until `done` says so (false: never within a minute).
 */
int fake_free_port(void);
bool fake_run_until(struct ev_loop *loop, bool (*done)(void *arg), void *arg);

#endif
