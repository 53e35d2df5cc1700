#include "base/writer.h"
#include "base/crash_report.h"

#include <glib.h>

struct pm_writer {
    struct pm_writer_hooks hooks;
    int capacity;
    GAsyncQueue *queue; /* the thread ends when it pops the writer itself */
    GThread *thread;
    gint dropped;
};

/* Returns the next item, or NULL if none came within `idle_us`. */
static gpointer next_item(struct pm_writer *writer)
{
    if (!writer->hooks.idle)
        return g_async_queue_pop(writer->queue);
    return g_async_queue_timeout_pop(writer->queue, (guint64)writer->hooks.idle_us);
}

static gpointer run_writer(gpointer data)
{
    struct pm_writer *writer = data;
    gpointer item;

    pm_crash_report_protect_thread();
    while ((item = next_item(writer)) != writer) {
        if (!item) {
            writer->hooks.idle(writer->hooks.arg);
            continue;
        }
        writer->hooks.write(writer->hooks.arg, item);
        g_free(item);
    }
    return NULL;
}

struct pm_writer *pm_writer_new(const char *name, int capacity, const struct pm_writer_hooks *hooks)
{
    struct pm_writer *writer = g_new0(struct pm_writer, 1);

    writer->hooks = *hooks;
    writer->capacity = capacity;
    writer->queue = g_async_queue_new();
    writer->thread = g_thread_new(name, run_writer, writer);
    return writer;
}

void pm_writer_free(struct pm_writer *writer)
{
    g_async_queue_push(writer->queue, writer);
    g_thread_join(writer->thread);
    g_async_queue_unref(writer->queue);
    g_free(writer);
}

void pm_writer_push(struct pm_writer *writer, void *item)
{
    if (g_async_queue_length(writer->queue) < writer->capacity) {
        g_async_queue_push(writer->queue, item);
        return;
    }
    g_atomic_int_inc(&writer->dropped);
    g_free(item);
}

uint64_t pm_writer_dropped(const struct pm_writer *writer)
{
    return (uint64_t)g_atomic_int_get(&writer->dropped);
}
