/* Logging to standard error, with one line for each event: "LEVEL CONTROLLER EVENT TEXT". May be
 * called from any thread: each line is written by one system call, so that lines never mix. */
#ifndef PM_BASE_LOG_H
#define PM_BASE_LOG_H

#include <stdbool.h>

enum pm_log_level { PM_LOG_ERROR, PM_LOG_INFO, PM_LOG_DEBUG };

/* Sets the least severe level to log, "error", "info" or "debug" (info if `level` is NULL or any
 * other text), and the controller's name (kept if `controller` is NULL). Called at start, before
 * other threads exist. */
void pm_log_setup(const char *level, const char *controller);
/* Returns whether events of that level are logged. */
bool pm_log_is_enabled(enum pm_log_level level);
/* Logs an event, such as "shard.revoked". Lines of over 1,023 bytes are truncated. */
void pm_log_write(enum pm_log_level level, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#define pm_error(event, ...) pm_log_write(PM_LOG_ERROR, event, __VA_ARGS__)
#define pm_info(event, ...) pm_log_write(PM_LOG_INFO, event, __VA_ARGS__)
#define pm_debug(event, ...)                                                                       \
    do {                                                                                           \
        if (pm_log_is_enabled(PM_LOG_DEBUG))                                                       \
            pm_log_write(PM_LOG_DEBUG, event, __VA_ARGS__);                                        \
    } while (0)

#endif
