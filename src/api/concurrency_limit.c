/* The limit grows while requests take about as long as they do on a quiet day, and shrinks when
 * they take markedly longer: then more in progress only means longer waits for each. */
#include "api/api.h"

#include <glib.h>

#define FIRST_SHARE 1.5 /* of the limit, for submissions and cancellations */
#define STATE_TIMES 4.0 /* a request waits for so many answers of the state service, at most */

struct pm_concurrency_limit {
    unsigned least, most, inside;
    double limit;
    double usual;  /* slowly moving floor of the times measured */
    double recent; /* quickly moving mean */
};

struct pm_concurrency_limit *pm_concurrency_limit_new(unsigned least, unsigned most)
{
    struct pm_concurrency_limit *l = g_new0(struct pm_concurrency_limit, 1);

    l->least = least;
    l->most = most;
    l->limit = MIN(most, MAX(least, 64));
    return l;
}

void pm_concurrency_limit_free(struct pm_concurrency_limit *l)
{
    g_free(l);
}

unsigned pm_concurrency_limit_current(const struct pm_concurrency_limit *l)
{
    return (unsigned)l->limit;
}

bool pm_concurrency_limit_acquire(struct pm_concurrency_limit *l, bool first)
{
    if (l->inside >= (unsigned)(first ? l->limit * FIRST_SHARE : l->limit))
        return false;
    l->inside++;
    return true;
}

void pm_concurrency_limit_release(struct pm_concurrency_limit *l, double seconds, double state_s)
{
    bool busy = l->inside * 2 >= (unsigned)l->limit;

    if (l->inside)
        l->inside--;
    l->recent = l->recent > 0 ? l->recent * 0.9 + seconds * 0.1 : seconds;
    if (l->usual <= 0 || seconds < l->usual)
        l->usual = seconds;
    else
        l->usual += (seconds - l->usual) * 0.0001; /* a long overload is not usual */
    /* Below a tenth of a second nobody waits noticeably: no reason to turn anybody away. */
    if (l->recent > MAX(MAX(0.1, 4 * l->usual), STATE_TIMES * state_s))
        l->limit = MAX(l->least, l->limit * 0.98);
    else if (busy)
        l->limit = MIN(l->most, l->limit + 1);
}
