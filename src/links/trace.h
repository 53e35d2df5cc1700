/* A trace of link transitions and of the decisions that follow from them, in the Common Trace
 * Format. A thread of its own writes it; what comes faster than it writes is dropped and counted.
 * At most two traces are kept on disk, of half of the allowed size each.
 *
 * Threads: pm_links_trace_new opens the first trace in the caller's thread; from then on the
 * writer's thread alone touches the disk. No lock of the controller is taken. */
#ifndef PM_LINKS_TRACE_H
#define PM_LINKS_TRACE_H

#include <stddef.h>
#include <stdint.h>

struct pm_links_trace;

/* Opens a trace of the controller in the directory, which is made if it is missing, and starts the
 * thread. Owned by the caller (pm_links_trace_free). NULL, with the reason in `err`, when the
 * directory can't be written. */
struct pm_links_trace *pm_links_trace_new(const char *dir, const char *controller,
                                          unsigned megabytes, char *err, size_t err_size);
/* Ends the thread once all events are written, and closes the trace. NULL is allowed. */
void pm_links_trace_free(struct pm_links_trace *trace);
/* Queues an event: the subject, such as "link" or "duty", its name, its state before and after, and
 * why it changed. The texts are copied. Never waits. */
void pm_links_trace_change(struct pm_links_trace *trace, const char *subject, const char *name,
                           const char *before, const char *after, const char *reason);
/* How many events were dropped so far. */
uint64_t pm_links_trace_dropped(const struct pm_links_trace *trace);

#endif
