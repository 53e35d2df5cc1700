#include "base/clock.h"

#include <time.h>

static double read_clock(clockid_t id)
{
    struct timespec now;

    clock_gettime(id, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

double pm_clock_monotonic(void)
{
    return read_clock(CLOCK_MONOTONIC);
}

double pm_clock_wall(void)
{
    return read_clock(CLOCK_REALTIME);
}
