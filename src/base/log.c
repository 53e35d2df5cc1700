#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static enum pm_log_level threshold = PM_LOG_INFO;
static char controller_name[64] = "-";

void pm_log_setup(const char *level, const char *controller)
{
    if (level && !strcmp(level, "error"))
        threshold = PM_LOG_ERROR;
    else if (level && !strcmp(level, "debug"))
        threshold = PM_LOG_DEBUG;
    else
        threshold = PM_LOG_INFO;
    if (controller)
        snprintf(controller_name, sizeof controller_name, "%s", controller);
}

bool pm_log_is_enabled(enum pm_log_level level)
{
    return level <= threshold;
}

void pm_log_write(enum pm_log_level level, const char *event, const char *format, ...)
{
    static const char *const level_names[] = {"error", "info", "debug"};
    char line[1024];
    va_list args;
    int used;
    int added;

    if (level > threshold)
        return;
    used = snprintf(line, sizeof line, "%s %s %s ", level_names[level], controller_name, event);
    va_start(args, format);
    added = vsnprintf(line + used, sizeof line - (size_t)used, format, args);
    va_end(args);
    if (added > 0)
        used += added;
    if (used > (int)sizeof line - 2)
        used = (int)sizeof line - 2;
    line[used++] = '\n';
    /* One system call for each line, so that lines of different threads never mix. */
    if (write(STDERR_FILENO, line, (size_t)used) < 0)
        return;
}
