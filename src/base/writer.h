/* A thread that writes to disk, so that no other thread waits for the disk. Items are passed to it
 * through a bounded queue; items that arrive while the queue is full are dropped and counted. */
#ifndef PM_BASE_WRITER_H
#define PM_BASE_WRITER_H

#include <stdint.h>

struct pm_writer;

/* Called only from the writer's thread. */
struct pm_writer_hooks {
    void (*write)(void *arg, const void *item);
    void (*idle)(void *arg); /* called when no item came for `idle_us` microseconds; may be NULL */
    int64_t idle_us;
    void *arg;
};

/* Starts a thread with that name. Its queue holds at most `capacity` items. */
struct pm_writer *pm_writer_new(const char *name, int capacity,
                                const struct pm_writer_hooks *hooks);
/* Waits until all queued items are written, ends the thread, and frees the writer. */
void pm_writer_free(struct pm_writer *writer);
/* Queues an item, which the writer frees with g_free. May be called from any thread; never
 * blocks. */
void pm_writer_push(struct pm_writer *writer, void *item);
/* Returns the number of items dropped since the start. */
uint64_t pm_writer_dropped(const struct pm_writer *writer);

#endif
