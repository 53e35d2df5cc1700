/* Helpers for tests: run an event loop until a condition holds, and find unused loopback ports. No
 * state; called only in the test's single thread. */
#ifndef PM_TESTING_EVENT_LOOP_H
#define PM_TESTING_EVENT_LOOP_H

#include <stdbool.h>

struct ev_loop;

/* Returns whether the event that the caller waits for has happened. */
typedef bool event_loop_condition(void *arg);

/* Returns a loopback TCP port that is free now; another process may take it before the caller
 * binds it. */
int event_loop_free_port(void);
/* Runs the loop until `is_done` returns true. Returns false if that takes longer than a minute. */
bool event_loop_run_until(struct ev_loop *loop, event_loop_condition *is_done, void *arg);
/* Runs the loop until `is_done` returns true, calling it every `poll_s` seconds. Returns false if
 * that takes longer than `timeout_s` seconds. If `is_done` is NULL, always runs for `timeout_s`. */
bool event_loop_run_for(struct ev_loop *loop, event_loop_condition *is_done, void *arg,
                        double timeout_s, double poll_s);

#endif
