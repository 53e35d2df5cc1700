/* Encodes and decodes the stored ledger, the value of the key "p/ledger". The leader writes it and
 * a new leader reads it, so that the teams' occupied time, the times of the last messages, failing
 * jobs and cached images survive a failover.
 *
 * Its fields:
 *   day      time of day when it was written, in seconds
 *   teams    map: team -> occupied machine-seconds within the window
 *   heard    map: zone -> time of day of the last message from a machine there. If a new leader
 *            receives no message from a zone, it computes from this time when the leases of the
 *            zone's machines expired
 *   failing  list of the ids of failing jobs; absent if there are none
 *   table    flat list of alternating image names and sizes in GB
 *   images   map: machine -> list of the positions in `table` of the images that it caches
 *
 * The state service limits the size of a value (settings.store_value_kb) and measures the value's
 * JSON form. Sizes are therefore estimated in bytes of JSON, and images are written for only as
 * many machines as fit. */
#include "scheduler/internal.h"

#include <math.h>
#include <string.h>

#define VALUE_FILL_SHARE 0.85 /* of the limit is used, since the estimate may be too low */
#define SIZE_PRECISION 100    /* image sizes are rounded up to 1/100 GB */

enum {
    HALF_WINDOW_BUCKETS = PM_OCCUPANCY_BUCKETS / 2,
    FAILING_JOBS_MAX = 32,
    /* Estimated JSON bytes of an entry without its name, or of the fixed part of the value. */
    FIXED_BYTES = 100,
    TEAM_BYTES = 24,
    ZONE_BYTES = 24,
    MACHINE_BYTES = 6,
    IMAGE_BYTES = 12,
    POSITION_BYTES = 4,
    FAILING_JOB_BYTES = 6
};

/* Writes the image table and the map of cached images in one pass. */
struct image_writer {
    const struct pm_name_tables *tables;
    struct pm_buffer *encoded; /* the value, in which the list `table` is being written */
    struct pm_buffer machines; /* entries of the map `images`, appended to the value at the end */
    int *position;             /* by image: its position in the table, -1: not in it yet */
    int image_count;           /* images in the table so far */
    size_t used, limit;        /* estimated JSON bytes */
};

static void encode_cached_image(struct image_writer *writer, const struct pm_cached_image *cached)
{
    int *position = &writer->position[cached->image];

    if (*position < 0) {
        const char *name = pm_names_text(writer->tables->image_names, cached->image);
        *position = writer->image_count++;
        pm_cbor_put_text(writer->encoded, name);
        pm_cbor_put_number(writer->encoded, ceil(cached->gb * SIZE_PRECISION) / SIZE_PRECISION);
        writer->used += strlen(name) + IMAGE_BYTES;
    }
    pm_cbor_put_uint(&writer->machines, (uint64_t)*position);
    writer->used += POSITION_BYTES;
}

static void encode_machine_images(struct image_writer *writer, const struct pm_machine *machine)
{
    pm_cbor_put_text(&writer->machines, machine->name);
    pm_cbor_put_list(&writer->machines);
    writer->used += strlen(machine->name) + MACHINE_BYTES;
    for (int i = 0; i < machine->images.count && writer->used < writer->limit; i++)
        encode_cached_image(writer, &machine->images.cached[i]);
    pm_cbor_put_end(&writer->machines);
}

/* Estimates the JSON bytes of all fields other than the images and the failing jobs. */
static size_t estimate_fixed_bytes(const struct pm_settings *settings)
{
    size_t bytes = FIXED_BYTES;

    for (int team = 0; team < settings->team_count; team++)
        bytes += strlen(settings->teams[team].name) + TEAM_BYTES;
    for (int zone = 0; zone < settings->zone_count; zone++)
        bytes += strlen(settings->zone_names[zone]) + ZONE_BYTES;
    return bytes;
}

/* Writes `table` and `images`, for ordinary machines first, because services run on them.
 * `failing_bytes` is the estimated size of the failing jobs in JSON bytes. */
static void encode_images(const struct pm_scheduler *scheduler, size_t failing_bytes,
                          struct pm_buffer *out)
{
    const struct pm_settings *settings = scheduler->tables->settings;
    GPtrArray *machines = pm_workers_all(scheduler->workers);
    int name_count = pm_names_count(scheduler->tables->image_names);
    struct image_writer writer = {
        .tables = scheduler->tables,
        .encoded = out,
        .position = g_new(int, name_count + 1),
        .used = failing_bytes + estimate_fixed_bytes(settings),
        .limit = (size_t)(settings->store_value_kb * 1024 * VALUE_FILL_SHARE),
    };

    for (int i = 0; i < name_count; i++)
        writer.position[i] = -1;
    pm_cbor_put_text(out, "table");
    pm_cbor_put_list(out);
    for (int spot = 0; spot < PM_MARKETS; spot++)
        for (guint i = 0; i < machines->len && writer.used < writer.limit; i++) {
            const struct pm_machine *machine = g_ptr_array_index(machines, i);
            if (machine && machine->images.count && machine->state == PM_MACHINE_UP &&
                machine->spot == spot)
                encode_machine_images(&writer, machine);
        }
    pm_cbor_put_end(out);
    pm_cbor_put_text(out, "images");
    pm_cbor_put_map(out);
    pm_buffer_append(out, writer.machines.data, writer.machines.size);
    pm_cbor_put_end(out);
    pm_buffer_free(&writer.machines);
    g_free(writer.position);
}

/* Reads an image by its position in the table. Returns false if the position or entry is malformed.
 */
static bool decode_cached_image(const struct pm_name_tables *tables, const cbor_item_t *position,
                                const cbor_item_t *table, struct pm_cached_image *out)
{
    char name[PM_NAME_MAX];
    uint64_t index;

    if (!pm_cbor_read_uint(position, &index) || index >= pm_cbor_length(table) / 2 ||
        !pm_cbor_read_text(pm_cbor_at(table, 2 * index), name, sizeof name) ||
        !pm_cbor_read_number(pm_cbor_at(table, 2 * index + 1), &out->gb))
        return false;
    out->image = pm_names_intern(tables->image_names, name);
    return true;
}

void pm_scheduler_decode_cached_images(struct pm_scheduler *scheduler, const cbor_item_t *value)
{
    GPtrArray *machines = pm_workers_all(scheduler->workers);
    const cbor_item_t *images = pm_cbor_get(value, "images");
    const cbor_item_t *table = pm_cbor_get(value, "table");

    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        const cbor_item_t *positions = machine ? pm_cbor_get(images, machine->name) : NULL;
        if (!positions || machine->images.count)
            continue;
        for (size_t k = 0;
             k < pm_cbor_length(positions) && machine->images.count < PM_CACHED_IMAGES_MAX; k++)
            if (decode_cached_image(scheduler->tables, pm_cbor_at(positions, k), table,
                                    &machine->images.cached[machine->images.count]))
                machine->images.count++;
    }
}

/* Writes `heard`. Delegated machines do not count, because they report to their shard's owner. */
static void encode_last_messages(const struct pm_scheduler *scheduler, double now, double wall,
                                 struct pm_buffer *out)
{
    const struct pm_settings *settings = scheduler->tables->settings;
    GPtrArray *machines = pm_workers_all(scheduler->workers);
    double last_message_at[PM_ZONES_MAX] = {0};

    for (guint i = 0; i < machines->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (machine && machine->heartbeat.has_reported && machine->zone >= 0 &&
            !machine->shard.assigned_to)
            last_message_at[machine->zone] =
                MAX(last_message_at[machine->zone], machine->heartbeat.last_message_at);
    }
    pm_cbor_put_text(out, "heard");
    pm_cbor_put_map(out);
    for (int zone = 0; zone < settings->zone_count; zone++)
        if (last_message_at[zone] > 0)
            pm_cbor_put_pair_number(out, settings->zone_names[zone],
                                    wall - (now - last_message_at[zone]));
    pm_cbor_put_end(out);
}

/* Writes `failing`, unless no job fails. Returns its estimated size in JSON bytes. */
static size_t encode_failing_jobs(const struct pm_scheduler *scheduler, struct pm_buffer *out)
{
    GPtrArray *active = pm_jobs_active(scheduler->jobs);
    size_t used = 0;
    int count = 0;

    for (guint i = 0; i < active->len && count < FAILING_JOBS_MAX; i++) {
        const struct pm_job *job = g_ptr_array_index(active, i);
        if (job->state != PM_JOB_LIVE || !job->spec || !pm_failures_is_job_failing(job))
            continue;
        if (count++ == 0) {
            pm_cbor_put_text(out, "failing");
            pm_cbor_put_list(out);
        }
        pm_cbor_put_text(out, job->id);
        used += strlen(job->id) + FAILING_JOB_BYTES;
    }
    if (count)
        pm_cbor_put_end(out);
    return used;
}

void pm_scheduler_decode_failing_jobs(struct pm_scheduler *scheduler, const cbor_item_t *value,
                                      double now)
{
    const cbor_item_t *failing = pm_cbor_get(value, "failing");
    char id[PM_ID_MAX];

    for (size_t i = 0; i < pm_cbor_length(failing); i++) {
        struct pm_job *job;
        if (!pm_cbor_read_text(pm_cbor_at(failing, i), id, sizeof id))
            continue;
        job = pm_jobs_find(scheduler->jobs, id);
        if (job && job->state == PM_JOB_LIVE && job->spec)
            pm_failures_mark_job_failing(job, now);
    }
}

static void encode_teams(const struct pm_scheduler *scheduler, struct pm_buffer *out)
{
    const struct pm_settings *settings = scheduler->tables->settings;

    pm_cbor_put_text(out, "teams");
    pm_cbor_put_map(out);
    for (int team = 0; team < settings->team_count; team++)
        pm_cbor_put_pair_number(out, settings->teams[team].name,
                                scheduler->occupancy.ledger[team].sum);
    pm_cbor_put_end(out);
}

void pm_scheduler_encode_ledger(const struct pm_scheduler *scheduler, double now, double wall,
                                struct pm_buffer *out)
{
    size_t failing_bytes;

    pm_cbor_put_map(out);
    pm_cbor_put_pair_number(out, "day", wall);
    encode_teams(scheduler, out);
    encode_last_messages(scheduler, now, wall, out);
    failing_bytes = encode_failing_jobs(scheduler, out);
    encode_images(scheduler, failing_bytes, out);
    pm_cbor_put_end(out);
}

void pm_scheduler_decode_ledger(struct pm_scheduler *scheduler, const cbor_item_t *value)
{
    const struct pm_settings *settings = scheduler->tables->settings;
    struct pm_occupancy *occupancy = &scheduler->occupancy;
    const cbor_item_t *teams = pm_cbor_get(value, "teams");
    double wall;

    if (!pm_cbor_read_number(pm_cbor_get(value, "day"), &wall))
        return;
    memset(occupancy->ledger, 0, sizeof occupancy->ledger[0] * (size_t)settings->team_count);
    occupancy->current_bucket = pm_occupancy_bucket_at(scheduler, wall);
    for (int team = 0; team < settings->team_count; team++) {
        struct pm_occupancy_ledger *ledger = &occupancy->ledger[team];
        if (!pm_cbor_read_number(pm_cbor_get(teams, settings->teams[team].name), &ledger->sum))
            ledger->sum = 0;
        /* Only the sum is stored. It is spread evenly over the latest half of the window. */
        for (int i = 0; i < HALF_WINDOW_BUCKETS; i++)
            ledger->bucket[(occupancy->current_bucket - i + PM_OCCUPANCY_BUCKETS) %
                           PM_OCCUPANCY_BUCKETS] = ledger->sum / HALF_WINDOW_BUCKETS;
    }
}
