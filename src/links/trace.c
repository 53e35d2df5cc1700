#include "links/trace.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/writer.h"
#include "links/ctf_stream.h"

#include <errno.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

enum {
    QUEUED_EVENTS_MAX = 4096, /* events that wait for the writer's thread */
    TRACES_KEPT = 2,
    BYTES_PER_MB = 1024 * 1024,
    DIR_MODE = 0755
};
/* Events are flushed to the disk when no other has followed for this long. */
#define FLUSH_AFTER_US G_USEC_PER_SEC
#define NS_PER_S 1e9

struct pm_links_trace {
    char dir[256], controller[128];
    size_t max_bytes; /* limit for one trace */
    unsigned number;  /* counts the traces, up to the open one */
    struct pm_writer *writer;
    struct ctf_stream ctf; /* used only by the writer's thread while that runs */
};

static void format_path(const struct pm_links_trace *trace, char *out, size_t size)
{
    snprintf(out, size, "%s/%s-%u", trace->dir, trace->controller, trace->number % TRACES_KEPT);
}

static void remove_trace(const char *path)
{
    GDir *dir = g_dir_open(path, 0, NULL);
    const char *name;

    while (dir && (name = g_dir_read_name(dir))) {
        char *file = g_build_filename(path, name, NULL);
        g_unlink(file);
        g_free(file);
    }
    if (dir)
        g_dir_close(dir);
    g_rmdir(path);
}

/* Opens the trace with the current number, in place of an earlier trace at the same path. */
static bool open_trace(struct pm_links_trace *trace)
{
    char path[512];

    format_path(trace, path, sizeof path);
    remove_trace(path);
    if (g_mkdir_with_parents(path, DIR_MODE) ||
        !ctf_stream_open(&trace->ctf, path, trace->controller)) {
        ctf_stream_close(&trace->ctf);
        return false;
    }
    return true;
}

static void rotate(struct pm_links_trace *trace)
{
    ctf_stream_close(&trace->ctf);
    trace->number++;
    if (!open_trace(trace))
        pm_error("links.trace", "can't open the next trace in %s; further changes are not traced",
                 trace->dir);
}

static void write_change(void *arg, const void *item)
{
    struct pm_links_trace *trace = arg;

    if (trace->ctf.written_bytes > trace->max_bytes)
        rotate(trace);
    if (trace->ctf.stream)
        ctf_stream_append(&trace->ctf, item);
}

static void flush_changes(void *arg)
{
    ctf_stream_flush(&((struct pm_links_trace *)arg)->ctf);
}

void pm_links_trace_change(struct pm_links_trace *trace, const char *subject, const char *name,
                           const char *before, const char *after, const char *reason)
{
    struct ctf_change *change = g_new0(struct ctf_change, 1);

    change->time_ns = (int64_t)(pm_clock_wall() * NS_PER_S);
    g_strlcpy(change->subject, subject, sizeof change->subject);
    g_strlcpy(change->name, name, sizeof change->name);
    g_strlcpy(change->from, before, sizeof change->from);
    g_strlcpy(change->to, after, sizeof change->to);
    g_strlcpy(change->reason, reason, sizeof change->reason);
    pm_writer_push(trace->writer, change);
}

uint64_t pm_links_trace_dropped(const struct pm_links_trace *trace)
{
    return pm_writer_dropped(trace->writer);
}

struct pm_links_trace *pm_links_trace_new(const char *dir, const char *controller,
                                          unsigned megabytes, char *err, size_t err_size)
{
    struct pm_links_trace *trace = g_new0(struct pm_links_trace, 1);
    struct pm_writer_hooks hooks = {write_change, flush_changes, FLUSH_AFTER_US, trace};

    g_strlcpy(trace->dir, dir, sizeof trace->dir);
    g_strlcpy(trace->controller, controller, sizeof trace->controller);
    trace->max_bytes = (size_t)megabytes * BYTES_PER_MB / TRACES_KEPT;
    if (!open_trace(trace)) {
        snprintf(err, err_size, "%s: can't open a trace of the links there: %s", dir,
                 strerror(errno));
        g_free(trace);
        return NULL;
    }
    trace->writer = pm_writer_new("links-trace", QUEUED_EVENTS_MAX, &hooks);
    return trace;
}

void pm_links_trace_free(struct pm_links_trace *trace)
{
    if (!trace)
        return;
    pm_writer_free(trace->writer);
    ctf_stream_close(&trace->ctf);
    g_free(trace);
}
