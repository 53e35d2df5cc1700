/* A thread that writes to the disk what others hand to it, so that nobody else waits for the disk.
 * What comes faster than it writes is dropped and counted. */
#ifndef PM_BASE_WRITER_H
#define PM_BASE_WRITER_H

#include <stdint.h>

struct pm_writer;

/* Called from the thread alone. */
struct pm_writer_hooks {
    void (*write)(void *arg, const void *item);
    void (*idle)(void *arg); /* nothing has come for `idle_us`; NULL: not told */
    int64_t idle_us;
    void *arg;
};

/* At most `most` items wait for the thread. */
struct pm_writer *pm_writer_new(const char *name, int most, const struct pm_writer_hooks *hooks);
/* Ends the thread once what was handed over is written. */
void pm_writer_free(struct pm_writer *writer);
/* Takes the item, made with g_malloc and its like. Never waits. */
void pm_writer_push(struct pm_writer *writer, void *item);
uint64_t pm_writer_dropped(const struct pm_writer *writer);

#endif
