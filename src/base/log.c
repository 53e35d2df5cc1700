#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static enum pm_log_level limit = PM_LOG_INFO;
static char node_name[64] = "-";

void pm_log_setup(const char *level, const char *node)
{
    if (level && !strcmp(level, "error"))
        limit = PM_LOG_ERROR;
    else if (level && !strcmp(level, "debug"))
        limit = PM_LOG_DEBUG;
    else
        limit = PM_LOG_INFO;
    if (node)
        snprintf(node_name, sizeof node_name, "%s", node);
}

int pm_log_on(enum pm_log_level level)
{
    return level <= limit;
}

void pm_log_write(enum pm_log_level level, const char *event, const char *fmt, ...)
{
    static const char *const names[] = {"error", "info", "debug"};
    char line[1024];
    va_list args;
    int used;
    int more;

    if (level > limit)
        return;
    used = snprintf(line, sizeof line, "%s %s %s ", names[level], node_name, event);
    va_start(args, fmt);
    more = vsnprintf(line + used, sizeof line - (size_t)used, fmt, args);
    va_end(args);
    if (more > 0)
        used += more;
    if (used > (int)sizeof line - 2)
        used = (int)sizeof line - 2;
    line[used++] = '\n';
    /* One write a line, so that lines of two threads never mix. */
    if (write(STDERR_FILENO, line, (size_t)used) < 0)
        return;
}
