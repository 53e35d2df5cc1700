/* One trace in the Common Trace Format, in a directory of its own. Used by trace.c alone, from the
 * thread that owns the trace; every function but ctf_stream_open writes to the disk at most. */
#ifndef PM_LINKS_CTF_STREAM_H
#define PM_LINKS_CTF_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { CTF_NAME_SIZE = 160 };

/* One event: a subject changed its state. */
struct ctf_change {
    int64_t time_ns; /* of the day clock, since 1970 */
    char subject[16], name[CTF_NAME_SIZE], from[32], to[32], reason[CTF_NAME_SIZE];
};

/* All zero: closed. */
struct ctf_stream {
    struct bt_ctf_writer *writer;
    struct bt_ctf_clock *clock;
    struct bt_ctf_stream_class *stream_class;
    struct bt_ctf_event_class *event_class;
    struct bt_ctf_stream *stream; /* NULL: not open */
    struct bt_ctf_field_type *text;
    size_t written_bytes, pending_bytes; /* on disk, and in the packet that is open */
    unsigned pending_events;
};

/* Opens a trace in the directory, which must be there and empty. False: it can't be written; what
 * was opened is then still to be closed. */
bool ctf_stream_open(struct ctf_stream *ctf, const char *path, const char *controller);
/* Writes what is pending and closes it. Closing it again does nothing. */
void ctf_stream_close(struct ctf_stream *ctf);
/* Adds an event to the packet that is open, and writes the packet once it has many events. */
void ctf_stream_append(struct ctf_stream *ctf, const struct ctf_change *change);
/* Writes the packet that is open, if it has events. Does nothing on a closed trace. */
void ctf_stream_flush(struct ctf_stream *ctf);

#endif
