/* A checker over two records: what the stand-in cloud carried out, and what the state service held
 * by then.
 *
 * Rules: an intent is written under the token in force, and tokens only rise; nothing is rented or
 * returned without an open intent that says so, and no more than it says; a machine gets no work
 * after its return was intended, and is returned while it runs something only if it was silent. */
#ifndef PM_ROLES_TESTS_CALLS_H
#define PM_ROLES_TESTS_CALLS_H

#include "testing/fleet.h"
#include "base/cbor.h"

#include <stdbool.h>
#include <stdint.h>

struct calls;

/* A machine that no controller has answered for `silent_s` may be returned with what runs there. */
struct calls *calls_new(double silent_s);
void calls_free(struct calls *calls);
/* A key was put, or dropped (`data` NULL), at steady time `now`. */
void calls_state_changed(struct calls *calls, const char *key, const cbor_item_t *data,
                         uint64_t revision, double now);
/* The cloud carries a request out. */
void calls_carried_out(struct calls *calls, const struct fleet_call *call);
/* The violations found so far are no violations: duties have only just begun. */
void calls_forget(struct calls *calls);
unsigned calls_rented(const struct calls *calls);
unsigned calls_returned(const struct calls *calls);
/* How often the duty of renting was taken. */
unsigned calls_holders(const struct calls *calls);
/* Intents that are open. */
unsigned calls_open(const struct calls *calls);
/* One line for each broken rule, "" if there is none. */
const char *calls_violations(const struct calls *calls);

#endif
