#include "links/trace.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/writer.h"

#include <babeltrace/ctf-writer/clock.h>
#include <babeltrace/ctf-writer/event-fields.h>
#include <babeltrace/ctf-writer/event-types.h>
#include <babeltrace/ctf-writer/event.h>
#include <babeltrace/ctf-writer/stream-class.h>
#include <babeltrace/ctf-writer/stream.h>
#include <babeltrace/ctf-writer/writer.h>
#include <errno.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum {
    QUEUE_MOST = 4096,  /* events that wait for the thread */
    FLUSH_EVENTS = 256, /* a packet is closed after so many, */
    TRACES_KEPT = 2,
    EVENT_OVERHEAD = 64,      /* bytes of an event beyond its texts, at most */
    PACKET_BYTES = 32 * 1024, /* a packet takes a multiple of this on disk */
    NAME_SIZE = 160
};
#define FLUSH_US G_USEC_PER_SEC /* or once nothing more has come for this long */

struct change {
    int64_t time_ns;
    char subject[16], name[NAME_SIZE], from[32], to[32], reason[NAME_SIZE];
};

struct ctf {
    struct bt_ctf_writer *writer;
    struct bt_ctf_clock *clock;
    struct bt_ctf_stream_class *stream_class;
    struct bt_ctf_event_class *event_class;
    struct bt_ctf_stream *stream;
    struct bt_ctf_field_type *text;
    size_t bytes, pending; /* on disk, and in the packet that is open */
    unsigned unflushed;
};

struct pm_links_trace {
    char dir[256], controller[128];
    size_t bytes_most; /* of one trace */
    unsigned number;   /* of the trace being written */
    struct pm_writer *writer;
    struct ctf ctf; /* the writer's own */
};

static void ctf_close(struct ctf *ctf)
{
    if (ctf->stream) {
        bt_ctf_stream_flush(ctf->stream);
        bt_ctf_stream_put(ctf->stream);
    }
    if (ctf->writer)
        bt_ctf_writer_flush_metadata(ctf->writer);
    if (ctf->event_class)
        bt_ctf_event_class_put(ctf->event_class);
    if (ctf->stream_class)
        bt_ctf_stream_class_put(ctf->stream_class);
    if (ctf->text)
        bt_ctf_field_type_put(ctf->text);
    if (ctf->clock)
        bt_ctf_clock_put(ctf->clock);
    if (ctf->writer)
        bt_ctf_writer_put(ctf->writer);
    memset(ctf, 0, sizeof *ctf);
}

static bool ctf_define_event(struct ctf *ctf)
{
    static const char *const fields[] = {"subject", "name", "from", "to", "reason"};

    ctf->text = bt_ctf_field_type_string_create();
    ctf->event_class = bt_ctf_event_class_create("change");
    if (!ctf->text || !ctf->event_class)
        return false;
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++)
        if (bt_ctf_event_class_add_field(ctf->event_class, ctf->text, fields[i]))
            return false;
    return true;
}

static bool ctf_open(struct ctf *ctf, const char *path, const char *controller)
{
    ctf->writer = bt_ctf_writer_create(path);
    if (!ctf->writer)
        return false;
    bt_ctf_writer_add_environment_field(ctf->writer, "controller", controller);
    ctf->clock = bt_ctf_clock_create("day");
    ctf->stream_class = bt_ctf_stream_class_create("links");
    if (!ctf->clock || bt_ctf_writer_add_clock(ctf->writer, ctf->clock) || !ctf->stream_class ||
        bt_ctf_stream_class_set_clock(ctf->stream_class, ctf->clock) || !ctf_define_event(ctf) ||
        bt_ctf_stream_class_add_event_class(ctf->stream_class, ctf->event_class))
        return false;
    ctf->stream = bt_ctf_writer_create_stream(ctf->writer, ctf->stream_class);
    return ctf->stream != NULL;
}

static void set_text(const struct ctf *ctf, struct bt_ctf_event *event, const char *name,
                     const char *text)
{
    struct bt_ctf_field *field = bt_ctf_field_create(ctf->text);

    if (!bt_ctf_field_string_set_value(field, text))
        bt_ctf_event_set_payload(event, name, field);
    bt_ctf_field_put(field);
}

static void ctf_flush(struct ctf *ctf)
{
    if (!ctf->stream || !ctf->unflushed)
        return;
    bt_ctf_stream_flush(ctf->stream);
    ctf->bytes += (ctf->pending / PACKET_BYTES + 1) * PACKET_BYTES;
    ctf->pending = 0;
    ctf->unflushed = 0;
}

static void ctf_append(struct ctf *ctf, const struct change *change)
{
    struct bt_ctf_event *event = bt_ctf_event_create(ctf->event_class);

    bt_ctf_clock_set_time(ctf->clock, change->time_ns);
    set_text(ctf, event, "subject", change->subject);
    set_text(ctf, event, "name", change->name);
    set_text(ctf, event, "from", change->from);
    set_text(ctf, event, "to", change->to);
    set_text(ctf, event, "reason", change->reason);
    bt_ctf_stream_append_event(ctf->stream, event);
    bt_ctf_event_put(event);
    ctf->pending += EVENT_OVERHEAD + strlen(change->name) + strlen(change->reason);
    if (++ctf->unflushed >= FLUSH_EVENTS)
        ctf_flush(ctf);
}

/* ---- the traces on disk ---- */

static void trace_path(const struct pm_links_trace *trace, unsigned number, char *out, size_t size)
{
    snprintf(out, size, "%s/%s-%u", trace->dir, trace->controller, number % TRACES_KEPT);
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

static bool begin_trace(struct pm_links_trace *trace)
{
    char path[512];

    trace_path(trace, trace->number, path, sizeof path);
    remove_trace(path);
    if (g_mkdir_with_parents(path, 0755) || !ctf_open(&trace->ctf, path, trace->controller)) {
        ctf_close(&trace->ctf);
        return false;
    }
    return true;
}

static void write_change(void *arg, const void *item)
{
    struct pm_links_trace *trace = arg;

    if (trace->ctf.bytes > trace->bytes_most) {
        ctf_close(&trace->ctf);
        trace->number++;
        if (!begin_trace(trace))
            pm_error("links.trace", "a new trace can't be begun in %s", trace->dir);
    }
    if (trace->ctf.stream)
        ctf_append(&trace->ctf, item);
}

static void flush_changes(void *arg)
{
    ctf_flush(&((struct pm_links_trace *)arg)->ctf);
}

void pm_links_trace_change(struct pm_links_trace *trace, const char *subject, const char *name,
                           const char *from, const char *to, const char *reason)
{
    struct change *change = g_new0(struct change, 1);

    change->time_ns = (int64_t)(pm_clock_wall() * 1e9);
    g_strlcpy(change->subject, subject, sizeof change->subject);
    g_strlcpy(change->name, name, sizeof change->name);
    g_strlcpy(change->from, from, sizeof change->from);
    g_strlcpy(change->to, to, sizeof change->to);
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

    g_strlcpy(trace->dir, dir, sizeof trace->dir);
    g_strlcpy(trace->controller, controller, sizeof trace->controller);
    trace->bytes_most = (size_t)megabytes * 1024 * 1024 / TRACES_KEPT;
    if (!begin_trace(trace)) {
        snprintf(err, err_size, "%s: no trace can be written there: %s", dir, strerror(errno));
        g_free(trace);
        return NULL;
    }
    trace->writer =
        pm_writer_new("links-trace", QUEUE_MOST,
                      &(struct pm_writer_hooks){write_change, flush_changes, FLUSH_US, trace});
    return trace;
}

void pm_links_trace_free(struct pm_links_trace *trace)
{
    if (!trace)
        return;
    pm_writer_free(trace->writer);
    ctf_close(&trace->ctf);
    g_free(trace);
}
