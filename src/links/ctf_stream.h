/* One trace in the Common Trace Format, in a directory of its own. Used only by trace.c, from the
 * thread that owns the trace. Every function may write to the disk; ctf_stream_open also creates
 * files. */
#ifndef PM_LINKS_CTF_STREAM_H
#define PM_LINKS_CTF_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { CTF_NAME_SIZE = 160 };

/* One event: a subject changed its state. */
struct ctf_change {
    int64_t time_ns; /* time of day, in nanoseconds since 1970 */
    char subject[16], name[CTF_NAME_SIZE], from[32], to[32], reason[CTF_NAME_SIZE];
};

/* A closed stream is all zero. */
struct ctf_stream {
    struct bt_ctf_writer *writer;
    struct bt_ctf_clock *clock;
    struct bt_ctf_stream_class *stream_class;
    struct bt_ctf_event_class *event_class;
    struct bt_ctf_stream *stream; /* NULL if not open */
    struct bt_ctf_field_type *text;
    size_t written_bytes, pending_bytes; /* size on disk, and size of the open packet */
    unsigned pending_events;
};

/* Opens a trace in the directory, which must exist and be empty. Returns false if it can't be
 * written; the caller must then still call ctf_stream_close. */
bool ctf_stream_open(struct ctf_stream *ctf, const char *path, const char *controller);
/* Writes the open packet and closes the trace. Does nothing on a closed trace. */
void ctf_stream_close(struct ctf_stream *ctf);
/* Adds an event to the open packet, and writes the packet once it is full. */
void ctf_stream_append(struct ctf_stream *ctf, const struct ctf_change *change);
/* Writes the open packet if it has events. Does nothing on a closed trace. */
void ctf_stream_flush(struct ctf_stream *ctf);

#endif
