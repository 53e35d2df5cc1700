/* A checker for tests: compares the calls that the simulated machine provider carries out with what
 * the state service contained at that time.
 *
 * Rules: an intent is written under the fencing token in force, and tokens only rise; nothing is
 * rented or terminated without an open intent that says so, and no more than it says; a machine
 * gets no work after its termination was intended, and is terminated while it runs something only
 * if no controller reached it for long. */
#ifndef PM_ROLES_TESTS_PROVIDER_CALL_CHECKER_H
#define PM_ROLES_TESTS_PROVIDER_CALL_CHECKER_H

#include "base/cbor.h"
#include "testing/fake_provider.h"

#include <stdbool.h>
#include <stdint.h>

struct call_checker;

/* A checker without violations; the caller owns it. A machine that no controller has answered for
 * `lost_after_s` may be terminated with what runs there. */
struct call_checker *call_checker_new(double lost_after_s);
/* Frees the checker. */
void call_checker_free(struct call_checker *checker);
/* A key was put, or deleted (`value` NULL), at `now` (monotonic seconds). */
void call_checker_on_state_change(struct call_checker *checker, const char *key,
                                  const cbor_item_t *value, uint64_t revision, double now);
/* The provider carries a request out. */
void call_checker_on_call(struct call_checker *checker, const struct fake_provider_call *call);
/* Forgets the violations found so far: there were no roles yet. */
void call_checker_clear_violations(struct call_checker *checker);
/* How many machines were rented. */
unsigned call_checker_rented(const struct call_checker *checker);
/* How many machines were terminated. */
unsigned call_checker_terminated(const struct call_checker *checker);
/* How often the role of scaling out was acquired. */
unsigned call_checker_acquisitions(const struct call_checker *checker);
/* How many intents are open. */
unsigned call_checker_open_intents(const struct call_checker *checker);
/* One line for each broken rule, "" if there is none; borrowed from the checker. */
const char *call_checker_violations(const struct call_checker *checker);

#endif
