/* One line an event on standard error; the amount follows LOG_LEVEL (error, info, debug). */
#ifndef PM_BASE_LOG_H
#define PM_BASE_LOG_H

enum pm_log_level { PM_LOG_ERROR, PM_LOG_INFO, PM_LOG_DEBUG };

void pm_log_setup(const char *level, const char *node);
int pm_log_on(enum pm_log_level level);
void pm_log_write(enum pm_log_level level, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#define pm_error(event, ...) pm_log_write(PM_LOG_ERROR, event, __VA_ARGS__)
#define pm_info(event, ...) pm_log_write(PM_LOG_INFO, event, __VA_ARGS__)
#define pm_debug(event, ...)                                                                       \
    do {                                                                                           \
        if (pm_log_on(PM_LOG_DEBUG))                                                               \
            pm_log_write(PM_LOG_DEBUG, event, __VA_ARGS__);                                        \
    } while (0)

#endif
