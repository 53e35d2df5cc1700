/* Decodes workers' reports. Defines the field names of heartbeats and of the replies to pushes. */
#include "workers/internal.h"

#include <stdlib.h>
#include <string.h>

enum { EXIT_CAUSE_BYTES = 32, TASK_STATE_BYTES = 16 };

bool pm_task_name_parse(const char *text, char *id, uint32_t *task_index)
{
    const char *slash = strchr(text, '/');
    size_t id_length;
    char *end;
    unsigned long value;

    if (!slash)
        return false;
    id_length = (size_t)(slash - text);
    if (id_length >= PM_ID_MAX)
        return false;
    memcpy(id, text, id_length);
    id[id_length] = 0;
    value = strtoul(slash + 1, &end, 10);
    if (end == slash + 1 || *end || value >= PM_JOB_TASKS_MAX)
        return false;
    *task_index = (uint32_t)value;
    return true;
}

static enum pm_worker_task_state decode_state(const char *text)
{
    static const char *const names[] = {"fetching", "waiting", "running", "saving", "ended"};

    for (int i = 0; i < (int)G_N_ELEMENTS(names); i++)
        if (!strcmp(names[i], text))
            return (enum pm_worker_task_state)i;
    return PM_WORKER_TASK_UNKNOWN;
}

static enum pm_task_exit decode_exit(const cbor_item_t *task)
{
    char cause[EXIT_CAUSE_BYTES];

    if (!pm_cbor_read_text(pm_cbor_get(task, "cause"), cause, sizeof cause))
        return PM_TASK_EXIT_ERROR;
    if (!strcmp(cause, "done"))
        return PM_TASK_EXIT_DONE;
    if (!strcmp(cause, "stopped"))
        return PM_TASK_EXIT_STOPPED;
    if (!strcmp(cause, "mates_gone") || !strcmp(cause, "incomplete"))
        return PM_TASK_EXIT_GANG_INCOMPLETE;
    if (!strcmp(cause, "error"))
        return PM_TASK_EXIT_ERROR;
    return PM_TASK_EXIT_REFUSED;
}

bool pm_reported_task_decode(const cbor_item_t *item, struct pm_reported_task *out)
{
    char state[TASK_STATE_BYTES];
    uint64_t attempt;

    if (!pm_cbor_read_text(pm_cbor_get(item, "entry"), out->name, sizeof out->name) ||
        !pm_task_name_parse(out->name, out->job_id, &out->task_index) ||
        !pm_cbor_read_uint(pm_cbor_get(item, "try"), &attempt))
        return false;
    out->attempt = (uint32_t)attempt;
    out->has_state = pm_cbor_read_text(pm_cbor_get(item, "status"), state, sizeof state);
    out->state = out->has_state ? decode_state(state) : PM_WORKER_TASK_UNKNOWN;
    out->item = item;
    return true;
}

enum pm_task_exit pm_reported_task_exit(const struct pm_reported_task *task, bool *checkpointed)
{
    *checkpointed = false;
    pm_cbor_read_flag(pm_cbor_get(task->item, "stored"), checkpointed);
    return decode_exit(task->item);
}

bool pm_report_decode(const cbor_item_t *item, struct pm_report_header *out)
{
    out->tasks = pm_cbor_get(item, "entries");
    out->has_interruption_notice =
        pm_cbor_read_number(pm_cbor_get(item, "recall_s"), &out->interruption_in_s);
    return pm_cbor_read_text(pm_cbor_get(item, "host"), out->machine, sizeof out->machine) &&
           out->machine[0] && pm_cbor_read_uint(pm_cbor_get(item, "shift"), &out->incarnation) &&
           pm_cbor_read_uint(pm_cbor_get(item, "tally"), &out->sequence) &&
           pm_cbor_read_uint(pm_cbor_get(item, "mandate"), &out->fencing_token) &&
           (!out->tasks || cbor_isa_array(out->tasks));
}

bool pm_report_decode_identity(struct pm_workers *workers, const cbor_item_t *item,
                               struct pm_machine *machine)
{
    const struct pm_settings *settings = workers->tables->settings;
    char type[PM_NAME_MAX];
    char zone[PM_NAME_MAX];

    if (!pm_cbor_read_text(pm_cbor_get(item, "endpoint"), machine->endpoint,
                           sizeof machine->endpoint) ||
        !pm_cbor_read_text(pm_cbor_get(item, "model"), type, sizeof type) ||
        !pm_cbor_read_text(pm_cbor_get(item, "room"), zone, sizeof zone))
        return false;
    machine->zone = pm_settings_find_zone(settings, zone);
    machine->spot = false;
    pm_cbor_read_flag(pm_cbor_get(item, "borrowed"), &machine->spot);
    pm_workers_set_type(workers, machine, pm_names_find(workers->tables->type_names, type));
    return true;
}
