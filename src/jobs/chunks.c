/* The tasks of a job by chunks, as the state service keeps them: values of p/t. */
#include "jobs/internal.h"
#include "base/protocol.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Of a chunk's value, in bytes of JSON: a place in it, and the rest. */
enum { PLACE_SIZE = 28, VALUE_SIZE = 140 };
enum { DONE_MAX = 1024 }; /* the text of which tasks are done */

void pm_chunk_free(struct pm_chunk *chunk)
{
    if (!chunk)
        return;
    for (int half = -1; half < 2; half++)
        if (pm_chunk_stored(chunk, half)->stored_placements)
            g_array_free(pm_chunk_stored(chunk, half)->stored_placements, TRUE);
    if (chunk->stored_placements)
        g_array_free(chunk->stored_placements, TRUE);
    g_free(chunk->task);
    g_free(chunk);
}

/* ---- values of p/t ---- */

static void read_ranges(const char *text, uint64_t done[PM_CHUNK_TASKS / 64])
{
    memset(done, 0, PM_CHUNK_TASKS / 8);
    while (*text) {
        char *end;
        unsigned long from = strtoul(text, &end, 10);
        unsigned long to = from;
        if (end == text)
            return;
        if (*end == '-')
            to = strtoul(end + 1, &end, 10);
        for (; from <= to && from < PM_CHUNK_TASKS; from++)
            done[from / 64] |= (uint64_t)1 << (from % 64);
        text = *end == ',' ? end + 1 : end;
    }
}

static void write_ranges(const struct pm_task *task, int first, int end, char *out, size_t size)
{
    size_t used = 0;

    out[0] = 0;
    for (int i = first; i < end; i++) {
        int from = i;
        if (!task[i].done)
            continue;
        while (i + 1 < end && task[i + 1].done)
            i++;
        used += (size_t)snprintf(out + used, size - used, i > from ? "%s%d-%d" : "%s%d",
                                 used ? "," : "", from, i);
    }
}

/* ID/K, or ID/K/H: `half` is -1 for the whole chunk. */
bool pm_chunk_key_parse(const char *rest, char *id, int *k, int *half)
{
    const char *slash = strchr(rest, '/');
    char *end;
    unsigned long number;

    if (!slash || (size_t)(slash - rest) >= PM_ID_MAX)
        return false;
    memcpy(id, rest, (size_t)(slash - rest));
    id[slash - rest] = 0;
    number = strtoul(slash + 1, &end, 10);
    if (end == slash + 1 || number > PM_JOB_TASKS_MAX / PM_CHUNK_TASKS)
        return false;
    *k = (int)number;
    *half = -1;
    if (*end == '/' && (end[1] == '0' || end[1] == '1') && !end[2])
        *half = end[1] - '0';
    else if (*end)
        return false;
    return true;
}

struct pm_chunk *pm_job_chunk(struct pm_job *job, int k)
{
    if (k < 0 || k >= job->chunk_count)
        return NULL;
    if (!job->chunks[k])
        job->chunks[k] = g_new0(struct pm_chunk, 1);
    return job->chunks[k];
}

struct pm_stored_chunk *pm_chunk_stored(struct pm_chunk *chunk, int half)
{
    return half < 0 ? &chunk->whole : &chunk->half[half];
}

/* What the chunk's values say together. */
void pm_chunk_merge(struct pm_chunk *chunk)
{
    if (!chunk->stored_placements)
        chunk->stored_placements = g_array_new(FALSE, FALSE, sizeof(struct pm_stored_placement));
    g_array_set_size(chunk->stored_placements, 0);
    chunk->stored = false;
    chunk->last_attempt = 0;
    for (int h = 0; h < 2; h++) {
        const struct pm_stored_chunk *value =
            chunk->half[h].revision ? &chunk->half[h] : &chunk->whole;
        chunk->done[h] = value->revision ? value->done[h] : 0;
        if (!value->revision)
            continue;
        chunk->stored = true;
        chunk->last_attempt = MAX(chunk->last_attempt, value->last_attempt);
        for (guint i = 0; i < value->stored_placements->len; i++) {
            const struct pm_stored_placement *spot =
                &g_array_index(value->stored_placements, struct pm_stored_placement, i);
            if (spot->task_in_chunk / PM_HALF_CHUNK_TASKS == h)
                g_array_append_vals(chunk->stored_placements, spot, 1);
        }
    }
    if (chunk->whole.revision)
        chunk->last_attempt = MAX(chunk->last_attempt, chunk->whole.last_attempt);
}

/* A place as stored: [task, attempt, machine, session]. False: unreadable. */
static bool read_place(struct pm_name_tables *tables, const cbor_item_t *item,
                       struct pm_stored_placement *out)
{
    char machine[TEXT_MAX];
    uint64_t task;
    uint64_t attempt;
    uint64_t session;

    if (pm_cbor_length(item) != 4 || !pm_cbor_read_count(pm_cbor_at(item, 0), &task) ||
        !pm_cbor_read_count(pm_cbor_at(item, 1), &attempt) ||
        !pm_cbor_read_text(pm_cbor_at(item, 2), machine, sizeof machine) ||
        !pm_cbor_read_count(pm_cbor_at(item, 3), &session) || task >= PM_CHUNK_TASKS)
        return false;
    *out = (struct pm_stored_placement){.task_in_chunk = (uint16_t)task,
                                        .attempt = (uint32_t)attempt,
                                        .incarnation = (uint32_t)session,
                                        .machine = pm_names_intern(tables->machine_names, machine)};
    return true;
}

bool pm_chunk_decode(struct pm_name_tables *tables, const cbor_item_t *value,
                     struct pm_stored_chunk *out)
{
    char done[DONE_MAX];
    uint64_t last_try = 0;
    cbor_item_t *places;

    if (!pm_cbor_read_text(pm_cbor_get(value, "done"), done, sizeof done) ||
        !pm_cbor_read_count(pm_cbor_get(value, "try"), &last_try))
        return false;
    read_ranges(done, out->done);
    out->last_attempt = (uint32_t)last_try;
    if (out->stored_placements)
        g_array_set_size(out->stored_placements, 0);
    else
        out->stored_placements = g_array_new(FALSE, FALSE, sizeof(struct pm_stored_placement));
    places = pm_cbor_get(value, "at");
    for (size_t i = 0; i < pm_cbor_length(places); i++) {
        struct pm_stored_placement spot;
        if (read_place(tables, pm_cbor_at(places, i), &spot))
            g_array_append_val(out->stored_placements, spot);
    }
    return true;
}

void pm_chunk_encode(const struct pm_name_tables *tables, const struct pm_job *job, int k, int half,
                     struct pm_buf *out)
{
    const struct pm_chunk *chunk = job->chunks[k];
    int from = half < 0 ? 0 : half * PM_HALF_CHUNK_TASKS;
    int to = half < 0 ? PM_CHUNK_TASKS : from + PM_HALF_CHUNK_TASKS;
    char text[DONE_MAX];

    write_ranges(chunk->task, from, to, text, sizeof text);
    pm_put_map(out);
    pm_put_pair_text(out, "done", text);
    pm_put_pair_count(out, "try", job->work.last_attempt);
    pm_put_text(out, "at");
    pm_put_list(out);
    for (int i = from; i < to; i++) {
        const struct pm_placement *place = chunk->task[i].placement;
        if (!place || place->state == PM_PLACEMENT_ENDED)
            continue;
        pm_put_list(out);
        pm_put_count(out, (uint64_t)i);
        pm_put_count(out, place->attempt);
        pm_put_text(out, pm_names_text(tables->machine_names, place->machine_index));
        pm_put_count(out, place->incarnation);
        pm_put_end(out);
    }
    pm_put_end(out);
    pm_put_end(out);
}

uint64_t pm_stored_chunk_revision(const struct pm_stored_chunk *value)
{
    return MAX(value->revision, value->written_revision);
}

bool pm_job_is_chunk_split(const struct pm_name_tables *tables, const struct pm_job *job, int k)
{
    const struct pm_chunk *chunk = job->chunks[k];
    uint32_t tasks = MIN(PM_CHUNK_TASKS, job->task_count - (uint32_t)k * PM_CHUNK_TASKS);

    if (chunk &&
        (pm_stored_chunk_revision(&chunk->half[0]) || pm_stored_chunk_revision(&chunk->half[1])))
        return true;
    if (tables->protocol_version < PM_PROTOCOL_DEPENDENCIES)
        return false; /* an earlier version would take a half for the whole */
    return (chunk && chunk->write_in_halves) ||
           tasks * PLACE_SIZE + VALUE_SIZE > tables->settings->store_value_kb * 1024;
}

bool pm_job_value_has_room(const struct pm_name_tables *tables, const struct pm_job *job,
                           uint32_t index)
{
    const struct pm_chunk *chunk = job->chunks[index / PM_CHUNK_TASKS];
    const struct pm_settings *s = tables->settings;
    bool early = tables->protocol_version < PM_PROTOCOL_DEPENDENCIES;
    double kb = early ? MAX(s->store_value_kb, s->store_value_kb_initial) : s->store_value_kb;
    unsigned placed;

    if (!chunk)
        return true;
    placed = pm_job_is_chunk_split(tables, job, (int)(index / PM_CHUNK_TASKS))
                 ? chunk->placement_counts[index % PM_CHUNK_TASKS / PM_HALF_CHUNK_TASKS]
                 : (unsigned)chunk->placement_counts[0] + chunk->placement_counts[1];
    return (placed + 1) * PLACE_SIZE + VALUE_SIZE <= kb * 1024;
}
