/* A checker for tests. Compares the calls that the fake machine provider executes with what the
 * state service contains at that time.
 *
 * Rules:
 * - An intent is written under the current fencing token of its role, and tokens only increase.
 * - A machine is rented or terminated only under an open intent, and at most as many machines as
 *   the intent says.
 * - No task is started on a machine after the intent to terminate it was written.
 * - A machine that runs a task is terminated only if no controller has answered the machine's
 *   heartbeats for a given time. */
#ifndef PM_ROLES_TESTS_PROVIDER_CALL_CHECKER_H
#define PM_ROLES_TESTS_PROVIDER_CALL_CHECKER_H

#include "base/cbor.h"
#include "testing/fake_provider.h"

#include <stdbool.h>
#include <stdint.h>

struct call_checker;

/* Returns a checker without violations, owned by the caller. A machine may be terminated while it
 * runs a task if no controller has answered its heartbeats for `lost_after_s` seconds. */
struct call_checker *call_checker_new(double lost_after_s);
/* Frees the checker. */
void call_checker_free(struct call_checker *checker);
/* Called for each key that is put, or deleted if `value` is NULL, at `now` (monotonic seconds). */
void call_checker_on_state_change(struct call_checker *checker, const char *key,
                                  const cbor_item_t *value, uint64_t revision, double now);
/* Called for each machine that the provider rents or terminates. */
void call_checker_on_call(struct call_checker *checker, const struct fake_provider_call *call);
/* Discards the violations found so far. For a cluster that had no roles until now, so that machines
 * were rented without intents. */
void call_checker_clear_violations(struct call_checker *checker);
/* Returns the number of machines rented. */
unsigned call_checker_rented(const struct call_checker *checker);
/* Returns the number of machines terminated. */
unsigned call_checker_terminated(const struct call_checker *checker);
/* Returns how often the scale-out role was acquired. */
unsigned call_checker_acquisitions(const struct call_checker *checker);
/* Returns the number of open intents. */
unsigned call_checker_open_intents(const struct call_checker *checker);
/* Returns one line for each violation, "" if there is none. Borrowed from the checker. */
const char *call_checker_violations(const struct call_checker *checker);

#endif
