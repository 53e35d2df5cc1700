/* A trace of link transitions and of the decisions that follow from them, in the Common Trace
 * Format. A separate thread writes it; events that arrive faster than the thread writes them are
 * dropped and counted. At most two traces are kept on disk, each up to half of the allowed size.
 *
 * Threads: pm_links_trace_new opens the first trace in the caller's thread. After that only the
 * writer's thread accesses the disk, until pm_links_trace_free has stopped it and closes the trace.
 * The controller's lock is not taken. */
#ifndef PM_LINKS_TRACE_H
#define PM_LINKS_TRACE_H

#include <stddef.h>
#include <stdint.h>

struct pm_links_trace;

/* Opens a trace of the controller in the directory, which is created if it does not exist, and
 * starts the thread. `megabytes` is the allowed size on disk. The caller frees the result with
 * pm_links_trace_free. Returns NULL, with the reason in `err`, if the trace can't be opened. */
struct pm_links_trace *pm_links_trace_new(const char *dir, const char *controller,
                                          unsigned megabytes, char *err, size_t err_size);
/* Stops the thread once it has written all events, and closes the trace. Accepts NULL. */
void pm_links_trace_free(struct pm_links_trace *trace);
/* Queues an event: the kind of subject ("link" or "duty"), the subject's name, its state before and
 * after the change, and the reason for the change. Copies the strings. Never blocks. */
void pm_links_trace_change(struct pm_links_trace *trace, const char *subject, const char *name,
                           const char *before, const char *after, const char *reason);
/* How many events have been dropped. */
uint64_t pm_links_trace_dropped(const struct pm_links_trace *trace);

#endif
