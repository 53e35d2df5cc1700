/* Codec of a shard's stored value, at p/b/CONTROLLER. No other file uses its field names:
 *
 *   boot    the owner's incarnation id; another incarnation of the owner must not use the shard
 *   serial  a number that increases with each write of the shard
 *   hosts   the shard's machines, each a map of
 *             host, endpoint   the machine's name and its worker's address
 *             model, room      the machine's type and zone, each absent while unknown
 *             borrowed         whether it is a spot machine
 *             shift            the incarnation of its worker at the time of the write
 *   jobs    the shard's jobs, each a map of
 *             id     the job's id
 *             width  how many of the job's tasks may run at once */
#include "shards/internal.h"

static void decode_machines(struct pm_name_tables *tables, const cbor_item_t *list, GArray *out)
{
    char name[PM_NAME_MAX];

    g_array_set_size(out, 0);
    for (size_t i = 0; i < pm_cbor_length(list); i++) {
        int index;
        if (!pm_shard_value_machine_name(pm_cbor_at(list, i), name))
            continue;
        index = pm_names_intern(tables->machine_names, name);
        g_array_append_val(out, index);
    }
}

static void decode_jobs(const cbor_item_t *list, GArray *out)
{
    g_array_set_size(out, 0);
    for (size_t i = 0; i < pm_cbor_length(list); i++) {
        const cbor_item_t *item = pm_cbor_at(list, i);
        struct pm_shard_stored_job job = {0};
        uint64_t parallelism;
        if (!pm_cbor_read_text(pm_cbor_get(item, "id"), job.id, sizeof job.id) ||
            !pm_cbor_read_uint(pm_cbor_get(item, "width"), &parallelism))
            continue;
        job.parallelism = (uint32_t)parallelism;
        g_array_append_val(out, job);
    }
}

void pm_shard_value_decode(struct pm_name_tables *tables, const cbor_item_t *value,
                           struct pm_shard_stored *stored)
{
    stored->incarnation_id[0] = 0;
    pm_cbor_read_text(pm_cbor_get(value, "boot"), stored->incarnation_id,
                      sizeof stored->incarnation_id);
    pm_cbor_read_uint(pm_cbor_get(value, "serial"), &stored->serial);
    decode_machines(tables, pm_shard_value_machines(value), stored->machines);
    decode_jobs(pm_cbor_get(value, "jobs"), stored->jobs);
}

const cbor_item_t *pm_shard_value_machines(const cbor_item_t *value)
{
    return pm_cbor_get(value, "hosts");
}

bool pm_shard_value_machine_name(const cbor_item_t *machine, char name[PM_NAME_MAX])
{
    return pm_cbor_read_text(pm_cbor_get(machine, "host"), name, PM_NAME_MAX);
}

void pm_shard_value_decode_machine(const struct pm_name_tables *tables, const cbor_item_t *machine,
                                   struct pm_shard_stored_machine *out)
{
    char text[PM_NAME_MAX];

    *out = (struct pm_shard_stored_machine){.type = -1, .zone = -1};
    pm_cbor_read_text(pm_cbor_get(machine, "endpoint"), out->endpoint, sizeof out->endpoint);
    pm_cbor_read_flag(pm_cbor_get(machine, "borrowed"), &out->spot);
    pm_cbor_read_uint(pm_cbor_get(machine, "shift"), &out->incarnation);
    if (pm_cbor_read_text(pm_cbor_get(machine, "room"), text, sizeof text))
        out->zone = pm_settings_find_zone(tables->settings, text);
    if (pm_cbor_read_text(pm_cbor_get(machine, "model"), text, sizeof text))
        out->type = pm_names_find(tables->type_names, text);
}

static void encode_machine(const struct pm_name_tables *tables, const struct pm_machine *machine,
                           struct pm_buffer *out)
{
    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "host", machine->name);
    pm_cbor_put_pair_text(out, "endpoint", machine->endpoint);
    if (machine->type >= 0)
        pm_cbor_put_pair_text(out, "model", pm_names_text(tables->type_names, machine->type));
    if (machine->zone >= 0)
        pm_cbor_put_pair_text(out, "room", tables->settings->zone_names[machine->zone]);
    pm_cbor_put_pair_flag(out, "borrowed", machine->spot);
    pm_cbor_put_pair_uint(out, "shift", machine->heartbeat.incarnation);
    pm_cbor_put_end(out);
}

static void encode_machines(const struct pm_shards *shards, const struct pm_shard *shard,
                            struct pm_buffer *out)
{
    pm_cbor_put_text(out, "hosts");
    pm_cbor_put_list(out);
    for (guint i = 0; i < shard->target.machines->len; i++) {
        const struct pm_shard_machine *entry = pm_shard_machine_at(shard, i);
        const struct pm_machine *machine = pm_workers_at(shards->workers, entry->index);
        if (machine && entry->state != PM_SHARD_MACHINE_REMOVING)
            encode_machine(shards->tables, machine, out);
    }
    pm_cbor_put_end(out);
}

static void encode_jobs(const GPtrArray *jobs, struct pm_buffer *out)
{
    pm_cbor_put_text(out, "jobs");
    pm_cbor_put_list(out);
    for (guint i = 0; i < jobs->len; i++) {
        const struct pm_job *job = g_ptr_array_index(jobs, i);
        pm_cbor_put_map(out);
        pm_cbor_put_pair_text(out, "id", job->id);
        pm_cbor_put_pair_uint(out, "width", job->parallelism);
        pm_cbor_put_end(out);
    }
    pm_cbor_put_end(out);
}

void pm_shard_value_encode(const struct pm_shards *shards, const struct pm_shard *shard,
                           struct pm_buffer *out)
{
    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "boot", shard->owner.incarnation_id);
    pm_cbor_put_pair_uint(out, "serial", shard->write.serial);
    encode_machines(shards, shard, out);
    encode_jobs(shard->target.jobs, out);
    pm_cbor_put_end(out);
}
