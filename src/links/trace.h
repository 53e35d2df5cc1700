/* A trace of link transitions and of the decisions that follow from them, in the Common Trace
 * Format. A thread of its own writes it; what comes faster than it writes is dropped and counted.
 * Kept on disk are at most two traces, of half of the allowed size each. */
#ifndef PM_LINKS_TRACE_H
#define PM_LINKS_TRACE_H

#include <stddef.h>
#include <stdint.h>

struct pm_links_trace;

/* NULL, with the reason in `err`, when the directory can't be written. */
struct pm_links_trace *pm_links_trace_new(const char *dir, const char *controller,
                                          unsigned megabytes, char *err, size_t err_size);
/* Ends the thread once what was told is written. */
void pm_links_trace_free(struct pm_links_trace *trace);
/* A link or a duty changed: "link" or "duty", its name, its states. Never waits. */
void pm_links_trace_change(struct pm_links_trace *trace, const char *subject, const char *name,
                           const char *from, const char *to, const char *reason);
/* How many events were dropped so far. */
uint64_t pm_links_trace_dropped(const struct pm_links_trace *trace);

#endif
