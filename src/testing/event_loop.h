/* What tests need of an event loop and of loopback: running the loop until something has happened,
 * and ports that nobody uses. No state; called in the test's only thread. */
#ifndef PM_TESTING_EVENT_LOOP_H
#define PM_TESTING_EVENT_LOOP_H

#include <stdbool.h>

struct ev_loop;

/* Whether what the caller waits for has happened. */
typedef bool event_loop_condition(void *arg);

/* A loopback TCP port that was free a moment ago: another process may take it meanwhile. */
int event_loop_free_port(void);
/* Runs the loop until `is_done` returns true. False: it did not within a minute. */
bool event_loop_run_until(struct ev_loop *loop, event_loop_condition *is_done, void *arg);
/* Runs the loop until `is_done` (NULL: never) returns true, asking it every `poll_s` seconds.
 * False: it did not within `timeout_s` seconds. */
bool event_loop_run_for(struct ev_loop *loop, event_loop_condition *is_done, void *arg,
                        double timeout_s, double poll_s);

#endif
