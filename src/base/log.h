/* Logging: one line an event on standard error, "LEVEL CONTROLLER EVENT TEXT". Any thread; each
 * line is written by one system call, so that lines never mix. */
#ifndef PM_BASE_LOG_H
#define PM_BASE_LOG_H

#include <stdbool.h>

enum pm_log_level { PM_LOG_ERROR, PM_LOG_INFO, PM_LOG_DEBUG };

/* Sets what is logged, "error", "info" or "debug" (NULL or another text: info), and the
 * controller's name (NULL: unchanged). Called at start, before other threads exist. */
void pm_log_setup(const char *level, const char *controller);
/* Whether events of that level are logged. */
bool pm_log_is_on(enum pm_log_level level);
/* Logs an event, such as "shard.revoked". Lines of over 1,023 bytes are cut. */
void pm_log_write(enum pm_log_level level, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#define pm_error(event, ...) pm_log_write(PM_LOG_ERROR, event, __VA_ARGS__)
#define pm_info(event, ...) pm_log_write(PM_LOG_INFO, event, __VA_ARGS__)
#define pm_debug(event, ...)                                                                       \
    do {                                                                                           \
        if (pm_log_is_on(PM_LOG_DEBUG))                                                            \
            pm_log_write(PM_LOG_DEBUG, event, __VA_ARGS__);                                        \
    } while (0)

#endif
