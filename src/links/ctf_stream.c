#include "links/ctf_stream.h"

#include <babeltrace/ctf-writer/clock.h>
#include <babeltrace/ctf-writer/event-fields.h>
#include <babeltrace/ctf-writer/event-types.h>
#include <babeltrace/ctf-writer/event.h>
#include <babeltrace/ctf-writer/stream-class.h>
#include <babeltrace/ctf-writer/stream.h>
#include <babeltrace/ctf-writer/writer.h>
#include <glib.h>
#include <string.h>

enum {
    PACKET_EVENTS_MAX = 256,      /* a packet with this many events is written */
    EVENT_OVERHEAD_BYTES = 64,    /* upper bound of an event's size without its name and reason */
    PACKET_UNIT_BYTES = 32 * 1024 /* the size of a packet on disk is a multiple of this */
};

static bool define_event(struct ctf_stream *ctf)
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

static bool define_stream(struct ctf_stream *ctf)
{
    ctf->clock = bt_ctf_clock_create("day");
    ctf->stream_class = bt_ctf_stream_class_create("links");
    if (!ctf->clock || bt_ctf_writer_add_clock(ctf->writer, ctf->clock))
        return false;
    if (!ctf->stream_class || bt_ctf_stream_class_set_clock(ctf->stream_class, ctf->clock))
        return false;
    return define_event(ctf) &&
           !bt_ctf_stream_class_add_event_class(ctf->stream_class, ctf->event_class);
}

bool ctf_stream_open(struct ctf_stream *ctf, const char *path, const char *controller)
{
    ctf->writer = bt_ctf_writer_create(path);
    if (!ctf->writer)
        return false;
    bt_ctf_writer_add_environment_field(ctf->writer, "controller", controller);
    if (!define_stream(ctf))
        return false;
    ctf->stream = bt_ctf_writer_create_stream(ctf->writer, ctf->stream_class);
    return ctf->stream != NULL;
}

void ctf_stream_close(struct ctf_stream *ctf)
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

static void set_text(const struct ctf_stream *ctf, struct bt_ctf_event *event, const char *name,
                     const char *text)
{
    struct bt_ctf_field *field = bt_ctf_field_create(ctf->text);

    if (!bt_ctf_field_string_set_value(field, text))
        bt_ctf_event_set_payload(event, name, field);
    bt_ctf_field_put(field);
}

void ctf_stream_append(struct ctf_stream *ctf, const struct ctf_change *change)
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
    ctf->pending_bytes += EVENT_OVERHEAD_BYTES + strlen(change->name) + strlen(change->reason);
    ctf->pending_events++;
    if (ctf->pending_events >= PACKET_EVENTS_MAX)
        ctf_stream_flush(ctf);
}

void ctf_stream_flush(struct ctf_stream *ctf)
{
    if (!ctf->stream || !ctf->pending_events)
        return;
    bt_ctf_stream_flush(ctf->stream);
    ctf->written_bytes += (ctf->pending_bytes / PACKET_UNIT_BYTES + 1) * PACKET_UNIT_BYTES;
    ctf->pending_bytes = 0;
    ctf->pending_events = 0;
}
