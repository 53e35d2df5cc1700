/* CBOR codec of p/t values, which list the tasks of a chunk that are done, and the placements of
 * the others. */
#include "jobs/codec_fields.h"
#include "jobs/internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    DONE_TEXT_MAX = 1024, /* size in bytes of the ranges of tasks that are done, with the NUL */
    WORD_BITS = 64,
    PLACEMENT_FIELDS = 4 /* task in chunk, attempt, machine, incarnation */
};

/* Reads the tasks that are done from ranges such as "0-3,7". Ignores the text from the first
 * malformed range on. */
static void read_ranges(const char *text, uint64_t done[PM_CHUNK_HALVES])
{
    memset(done, 0, PM_CHUNK_TASKS / 8);
    while (*text) {
        char *end;
        unsigned long from = strtoul(text, &end, 10);
        unsigned long last = from;
        if (end == text)
            return;
        if (*end == '-')
            last = strtoul(end + 1, &end, 10);
        for (; from <= last && from < PM_CHUNK_TASKS; from++)
            done[from / WORD_BITS] |= (uint64_t)1 << (from % WORD_BITS);
        text = *end == ',' ? end + 1 : end;
    }
}

/* Writes the tasks that are done, from index `first` up to, but not including, `end`, as ranges. */
static void write_ranges(const struct pm_task *tasks, int first, int end, char *out, size_t size)
{
    size_t used = 0;

    out[0] = 0;
    for (int i = first; i < end; i++) {
        int from = i;
        if (!tasks[i].done)
            continue;
        while (i + 1 < end && tasks[i + 1].done)
            i++;
        used += (size_t)snprintf(out + used, size - used, i > from ? "%s%d-%d" : "%s%d",
                                 used ? "," : "", from, i);
    }
}

/* Reads a stored placement. Returns false if it is malformed. */
static bool read_placement(struct pm_name_tables *tables, const cbor_item_t *item,
                           struct pm_stored_placement *out)
{
    char machine[NAME_SIZE_MAX];
    uint64_t task;
    uint64_t attempt;
    uint64_t incarnation;

    if (pm_cbor_length(item) != PLACEMENT_FIELDS ||
        !pm_cbor_read_uint(pm_cbor_at(item, 0), &task) ||
        !pm_cbor_read_uint(pm_cbor_at(item, 1), &attempt) ||
        !pm_cbor_read_text(pm_cbor_at(item, 2), machine, sizeof machine) ||
        !pm_cbor_read_uint(pm_cbor_at(item, 3), &incarnation) || task >= PM_CHUNK_TASKS)
        return false;
    *out = (struct pm_stored_placement){.task_in_chunk = (uint16_t)task,
                                        .attempt = (uint32_t)attempt,
                                        .incarnation = (uint32_t)incarnation,
                                        .machine_index =
                                            pm_names_intern(tables->machine_names, machine)};
    return true;
}

bool pm_chunk_decode(struct pm_name_tables *tables, const cbor_item_t *value,
                     struct pm_stored_chunk *out)
{
    char done[DONE_TEXT_MAX];
    uint64_t last_attempt = 0;
    const cbor_item_t *placements;

    if (!pm_cbor_read_text(pm_cbor_get(value, FIELD_DONE_TASKS), done, sizeof done) ||
        !pm_cbor_read_uint(pm_cbor_get(value, FIELD_LAST_ATTEMPT), &last_attempt))
        return false;
    read_ranges(done, out->done);
    out->last_attempt = (uint32_t)last_attempt;
    if (out->placements)
        g_array_set_size(out->placements, 0);
    else
        out->placements = g_array_new(FALSE, FALSE, sizeof(struct pm_stored_placement));
    placements = pm_cbor_get(value, FIELD_PLACEMENTS);
    for (size_t i = 0; i < pm_cbor_length(placements); i++) {
        struct pm_stored_placement placement;
        if (read_placement(tables, pm_cbor_at(placements, i), &placement))
            g_array_append_val(out->placements, placement);
    }
    return true;
}

static void write_placement(const struct pm_name_tables *tables, int task_in_chunk,
                            const struct pm_placement *placement, struct pm_buffer *out)
{
    pm_cbor_put_list(out);
    pm_cbor_put_uint(out, (uint64_t)task_in_chunk);
    pm_cbor_put_uint(out, placement->attempt);
    pm_cbor_put_text(out, pm_names_text(tables->machine_names, placement->machine_index));
    pm_cbor_put_uint(out, placement->incarnation);
    pm_cbor_put_end(out);
}

void pm_chunk_encode(const struct pm_name_tables *tables, const struct pm_job *job, int chunk_index,
                     int half, struct pm_buffer *out)
{
    const struct pm_task *tasks = job->chunks[chunk_index]->tasks;
    int first = half == PM_CHUNK_WHOLE ? 0 : half * PM_HALF_CHUNK_TASKS;
    int end = half == PM_CHUNK_WHOLE ? PM_CHUNK_TASKS : first + PM_HALF_CHUNK_TASKS;
    char done[DONE_TEXT_MAX];

    write_ranges(tasks, first, end, done, sizeof done);
    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, FIELD_DONE_TASKS, done);
    pm_cbor_put_pair_uint(out, FIELD_LAST_ATTEMPT, job->work.last_attempt);
    pm_cbor_put_text(out, FIELD_PLACEMENTS);
    pm_cbor_put_list(out);
    for (int i = first; i < end; i++) {
        const struct pm_placement *placement = tasks[i].placement;
        if (placement && placement->state != PM_PLACEMENT_ENDED)
            write_placement(tables, i, placement, out);
    }
    pm_cbor_put_end(out);
    pm_cbor_put_end(out);
}
