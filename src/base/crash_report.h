/* Reports a signal that ends the process, such as SIGSEGV or the SIGABRT of a failed assertion.
 *
 * The report is one line of the log's form on standard error, which names the signal, its address
 * or sender, the version, and whether this controller led and in which epoch, and then a backtrace.
 * The process then ends by the same signal. The report is written without locks and without
 * allocating memory. It covers SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT; the actions of other
 * signals are not changed. */
#ifndef PM_BASE_CRASH_REPORT_H
#define PM_BASE_CRASH_REPORT_H

#include <stdbool.h>
#include <stdint.h>

/* Installs the signal handlers, and makes fatal messages of GLib end in SIGABRT. Called once, at
 * start, in the main thread, which needs no call of pm_crash_report_protect_thread. Both texts are
 * copied. Signals whose handler cannot be installed keep their action. */
void pm_crash_report_install(const char *controller, const char *version);
/* Gives the calling thread an alternate signal stack, so that an overflow of its own stack is
 * reported too. Called at the start of each thread; the memory is kept until the process ends. A
 * thread that has a large enough alternate stack already keeps that. */
void pm_crash_report_protect_thread(void);
/* Sets what the report says of the controller's role: whether it leads, and the epoch in which it
 * leads or has led last (0: it never has). May be called in any thread. */
void pm_crash_report_set_term(bool is_leader, uint64_t epoch);

#endif
