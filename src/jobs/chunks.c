/* The replica of chunks, and the sizes of their values. */
#include "jobs/internal.h"
#include "base/protocol.h"

/* Sizes in bytes of the values' JSON form, by which the state service limits them. */
enum {
    PLACEMENT_SIZE = 28,   /* of one placement in a chunk's value */
    EMPTY_VALUE_SIZE = 140 /* of a chunk's value without its placements */
};

static void stored_placements_free(GArray *placements)
{
    if (placements)
        g_array_free(placements, TRUE);
}

void pm_chunk_free(struct pm_chunk *chunk)
{
    if (!chunk)
        return;
    for (int half = PM_CHUNK_WHOLE; half < PM_CHUNK_HALVES; half++)
        stored_placements_free(pm_chunk_stored_value(chunk, half)->placements);
    stored_placements_free(chunk->stored_placements);
    g_free(chunk->tasks);
    g_free(chunk);
}

void pm_job_allocate_chunks(struct pm_job *job)
{
    if (job->chunks)
        return;
    job->chunk_count = (int)((job->task_count + PM_CHUNK_TASKS - 1) / PM_CHUNK_TASKS);
    job->chunks = g_new0(struct pm_chunk *, job->chunk_count);
}

void pm_job_free_chunks(struct pm_job *job)
{
    for (int k = 0; job->chunks && k < job->chunk_count; k++)
        pm_chunk_free(job->chunks[k]);
    g_free(job->chunks);
    job->chunks = NULL;
    job->chunk_count = 0;
}

struct pm_chunk *pm_job_ensure_chunk(struct pm_job *job, int chunk_index)
{
    if (chunk_index < 0 || chunk_index >= job->chunk_count)
        return NULL;
    if (!job->chunks[chunk_index])
        job->chunks[chunk_index] = g_new0(struct pm_chunk, 1);
    return job->chunks[chunk_index];
}

struct pm_stored_chunk *pm_chunk_stored_value(struct pm_chunk *chunk, int half)
{
    return half == PM_CHUNK_WHOLE ? &chunk->whole : &chunk->halves[half];
}

uint64_t pm_stored_chunk_revision(const struct pm_stored_chunk *value)
{
    return MAX(value->revision, value->written_revision);
}

unsigned pm_chunk_dirty_bits(int half)
{
    return half == PM_CHUNK_WHOLE ? PM_DIRTY_HALVES : (unsigned)PM_DIRTY_FIRST_HALF << half;
}

/* Sets the merged contents of one half from its own stored value or, if it has none, from that of
 * the whole. */
static void merge_half(struct pm_chunk *chunk, int half)
{
    const struct pm_stored_chunk *value =
        chunk->halves[half].revision ? &chunk->halves[half] : &chunk->whole;

    chunk->done[half] = value->revision ? value->done[half] : 0;
    if (!value->revision)
        return;
    chunk->is_stored = true;
    chunk->last_attempt = MAX(chunk->last_attempt, value->last_attempt);
    for (guint i = 0; i < value->placements->len; i++) {
        const struct pm_stored_placement *placement =
            &g_array_index(value->placements, struct pm_stored_placement, i);
        if (placement->task_in_chunk / PM_HALF_CHUNK_TASKS == half)
            g_array_append_vals(chunk->stored_placements, placement, 1);
    }
}

void pm_chunk_merge(struct pm_chunk *chunk)
{
    if (!chunk->stored_placements)
        chunk->stored_placements = g_array_new(FALSE, FALSE, sizeof(struct pm_stored_placement));
    g_array_set_size(chunk->stored_placements, 0);
    chunk->is_stored = false;
    chunk->last_attempt = 0;
    for (int half = 0; half < PM_CHUNK_HALVES; half++)
        merge_half(chunk, half);
    if (chunk->whole.revision)
        chunk->last_attempt = MAX(chunk->last_attempt, chunk->whole.last_attempt);
}

void pm_chunk_mark_not_stored(struct pm_chunk *chunk)
{
    for (int half = PM_CHUNK_WHOLE; half < PM_CHUNK_HALVES; half++)
        pm_chunk_stored_value(chunk, half)->revision = 0;
    pm_chunk_merge(chunk);
}

static bool has_stored_half(const struct pm_chunk *chunk)
{
    return pm_stored_chunk_revision(&chunk->halves[0]) ||
           pm_stored_chunk_revision(&chunk->halves[1]);
}

bool pm_job_is_chunk_split(const struct pm_name_tables *tables, const struct pm_job *job,
                           int chunk_index)
{
    const struct pm_chunk *chunk = job->chunks[chunk_index];
    uint32_t tasks = MIN(PM_CHUNK_TASKS, job->task_count - (uint32_t)chunk_index * PM_CHUNK_TASKS);

    if (chunk && has_stored_half(chunk))
        return true;
    if (tables->protocol_version < PM_PROTOCOL_DEPENDENCIES)
        return false; /* earlier versions would read the value of a half as that of the whole */
    return (chunk && chunk->write_back.write_in_halves) ||
           tasks * PLACEMENT_SIZE + EMPTY_VALUE_SIZE > tables->settings->store_value_kb * 1024;
}

/* Returns how many placements are in the value in which the task's placement would be stored. */
static unsigned count_placements_in_value(const struct pm_name_tables *tables,
                                          const struct pm_job *job, uint32_t task_index)
{
    int chunk_index = (int)(task_index / PM_CHUNK_TASKS);
    const struct pm_chunk *chunk = job->chunks[chunk_index];

    if (pm_job_is_chunk_split(tables, job, chunk_index))
        return chunk->placement_counts[task_index % PM_CHUNK_TASKS / PM_HALF_CHUNK_TASKS];
    return (unsigned)chunk->placement_counts[0] + chunk->placement_counts[1];
}

bool pm_job_can_store_placement(const struct pm_name_tables *tables, const struct pm_job *job,
                                uint32_t task_index)
{
    const struct pm_settings *settings = tables->settings;
    bool is_early = tables->protocol_version < PM_PROTOCOL_DEPENDENCIES;
    double size_max_kb = is_early ? MAX(settings->store_value_kb, settings->store_value_kb_initial)
                                  : settings->store_value_kb;

    if (!job->chunks[task_index / PM_CHUNK_TASKS])
        return true;
    return (count_placements_in_value(tables, job, task_index) + 1) * PLACEMENT_SIZE +
               EMPTY_VALUE_SIZE <=
           size_max_kb * 1024;
}
