/* The table of machines, indexed by the dense index of their names. */
#include "workers/internal.h"

#include <string.h>

struct pm_workers *pm_workers_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                  const struct pm_workers_hooks *hooks)
{
    struct pm_workers *workers = g_new0(struct pm_workers, 1);

    workers->tables = tables;
    workers->jobs = jobs;
    workers->hooks = *hooks;
    workers->machines = g_ptr_array_new();
    return workers;
}

GPtrArray *pm_workers_all(struct pm_workers *workers)
{
    return workers->machines;
}

struct pm_machine *pm_workers_at(struct pm_workers *workers, int index)
{
    return index >= 0 && index < (int)workers->machines->len
               ? g_ptr_array_index(workers->machines, index)
               : NULL;
}

struct pm_machine *pm_workers_find(struct pm_workers *workers, const char *name)
{
    return pm_workers_at(workers, pm_names_find(workers->tables->machine_names, name));
}

struct pm_machine *pm_workers_find_or_add(struct pm_workers *workers, const char *name)
{
    int index = pm_names_intern(workers->tables->machine_names, name);
    struct pm_machine *machine;

    if (index >= (int)workers->machines->len)
        g_ptr_array_set_size(workers->machines, index + 1);
    machine = g_ptr_array_index(workers->machines, index);
    if (machine)
        return machine;
    machine = g_new0(struct pm_machine, 1);
    g_strlcpy(machine->name, name, sizeof machine->name);
    machine->index = index;
    machine->type = machine->zone = -1;
    machine->state = PM_MACHINE_BOOTING;
    machine->placements = g_ptr_array_new_with_free_func(g_free);
    pm_exited_tasks_init(&machine->heartbeat.exited);
    machine->heartbeat.orphan_tasks = g_array_new(FALSE, FALSE, sizeof(struct pm_task_ref));
    g_ptr_array_index(workers->machines, index) = machine;
    return machine;
}

static void free_machine(struct pm_machine *machine)
{
    g_ptr_array_free(machine->placements, TRUE);
    pm_exited_tasks_free(&machine->heartbeat.exited);
    g_array_free(machine->heartbeat.orphan_tasks, TRUE);
    if (machine->failures.records)
        g_array_free(machine->failures.records, TRUE);
    g_free(machine);
}

void pm_workers_remove(struct pm_workers *workers, struct pm_machine *machine)
{
    g_ptr_array_index(workers->machines, machine->index) = NULL;
    free_machine(machine);
}

void pm_workers_free(struct pm_workers *workers)
{
    for (guint i = 0; i < workers->machines->len; i++)
        if (g_ptr_array_index(workers->machines, i))
            free_machine(g_ptr_array_index(workers->machines, i));
    g_ptr_array_free(workers->machines, TRUE);
    g_free(workers);
}

void pm_workers_reset(struct pm_workers *workers)
{
    for (guint i = 0; i < workers->machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(workers->machines, i);
        if (machine)
            free_machine(machine);
        g_ptr_array_index(workers->machines, i) = NULL;
    }
}

void pm_workers_set_type(struct pm_workers *workers, struct pm_machine *machine, int type)
{
    const struct pm_machine_type *machine_type = &workers->tables->types[type < 0 ? 0 : type];

    if (machine->type >= 0 || type < 0 || type >= workers->tables->type_count)
        return;
    machine->type = type;
    /* Added, since placements that were recovered before have been subtracted already. */
    machine->free.cpus += machine_type->cpus;
    machine->free.gpus += machine_type->gpus;
    machine->free.ram_gb += machine_type->ram_gb;
}
