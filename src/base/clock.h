/* Steady seconds for spans, time of day for what other processes compare. Only the loop and the
 * planner's thread read clocks; decision code gets the time as an argument. */
#ifndef PM_BASE_CLOCK_H
#define PM_BASE_CLOCK_H

/* The steady clocks of two machines drift apart by at most this share; every sum over a lease
 * carries it, twice because both ends may be off. */
#define PM_CLOCK_DRIFT_MAX 0.0011

double pm_clock_monotonic(void);
double pm_clock_wall(void);

#endif
