/* A thread that writes to the disk, so that nobody else waits for the disk. Items are handed over
 * through a bounded queue; what comes faster than it is written is dropped and counted. */
#ifndef PM_BASE_WRITER_H
#define PM_BASE_WRITER_H

#include <stdint.h>

struct pm_writer;

/* Called from the writer's thread alone. */
struct pm_writer_hooks {
    void (*write)(void *arg, const void *item);
    void (*idle)(void *arg); /* nothing has come for `idle_us` microseconds; may be NULL */
    int64_t idle_us;
    void *arg;
};

/* Starts the thread; at most `most` items wait for it. */
struct pm_writer *pm_writer_new(const char *name, int most, const struct pm_writer_hooks *hooks);
/* Ends the thread once all items are written, and frees the writer. */
void pm_writer_free(struct pm_writer *writer);
/* Hands over an item, which the writer frees with g_free. Any thread; never waits. */
void pm_writer_push(struct pm_writer *writer, void *item);
/* How many items were dropped so far. */
uint64_t pm_writer_dropped(const struct pm_writer *writer);

#endif
