/* Clocks: monotonic time for durations, time of day for times that other processes compare. Only
 * the event loop and the planner's thread read the clocks; code that makes decisions gets the time
 * as an argument. */
#ifndef PM_BASE_CLOCK_H
#define PM_BASE_CLOCK_H

/* The largest drift between the monotonic clocks of two machines, as a fraction of the time that
 * passes. Code that adds up durations measured by another machine allows for this drift, and for
 * twice as much if both clocks may be off. */
#define PM_CLOCK_DRIFT_MAX 0.0011

/* Returns the monotonic time in seconds. It starts at an unspecified moment before this process
 * does, and never goes back. */
double pm_clock_monotonic(void);
/* Returns the machine's time of day, in seconds since 1970. It may jump. */
double pm_clock_wall(void);

#endif
