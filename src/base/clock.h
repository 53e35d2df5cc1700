/* Clocks: monotonic seconds for spans, the time of day for what other processes compare. Only the
 * event loop and the planner's thread read clocks; decision code gets the time as an argument. */
#ifndef PM_BASE_CLOCK_H
#define PM_BASE_CLOCK_H

/* The monotonic clocks of two machines drift apart by at most this share. Whoever adds up spans
 * that another machine measures allows for it, twice because both ends may be off. */
#define PM_CLOCK_DRIFT_MAX 0.0011

/* Seconds since some moment before this process started; never goes back. */
double pm_clock_monotonic(void);
/* Seconds since 1970, as the machine's time of day has it; may jump. */
double pm_clock_wall(void);

#endif
