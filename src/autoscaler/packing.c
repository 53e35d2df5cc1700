/* Packs waiting tasks on machines that are booting or to be rented. */
#include "autoscaler/sizing.h"

#include <math.h>

/* Special values used instead of a zone's index. */
enum {
    ZONE_ANY = -1,
    ZONE_SHARED = -2 /* any zone, but the same one for all tasks of a gang */
};

/* Tasks of one job that are not packed yet. */
struct unpacked_tasks {
    const struct pm_job *job;
    int count;
    int ordinary_count; /* number of these tasks that may use ordinary machines */
    int zone;           /* index of the only zone allowed, or ZONE_ANY or ZONE_SHARED */
    bool spot_only;
};

/* Whether the job is an array job that will miss its deadline in any case. Its tasks wait for spot
 * machines, because ordinary ones would cost several times as much without meeting the deadline. */
static bool will_miss_deadline(const struct pm_sizing *sizing, const struct pm_job *job)
{
    const struct pm_spec *spec = job->spec;
    const struct pm_scheduler *scheduler = sizing->autoscaler->scheduler;

    return spec->kind == PM_WORKLOAD_ARRAY && spec->spot &&
           job->deadline_wall - sizing->wall_now < pm_scheduler_estimate_run_s(scheduler, job);
}

/* Packs up to `count` of the job's tasks on the machine and returns how many fit. */
static int pack_on_machine(const struct pm_sizing *sizing, struct pm_sizing_machine *machine,
                           const struct pm_job *job, int count)
{
    const struct pm_spec *spec = job->spec;
    struct pm_machine_capacity *free = &machine->free;
    int packed;

    if (count <= 0 || free->cpus + PM_SIZING_CPUS_EPSILON < spec->cpus ||
        !pm_scheduler_is_machine_allowed(sizing->autoscaler->tables, job, machine->type,
                                         machine->zone, machine->spot))
        return 0;
    packed = (int)MIN(pm_spec_tasks_that_fit(spec, free->cpus, free->gpus, free->ram_gb),
                      (uint32_t)count);
    free->cpus -= packed * spec->cpus;
    free->gpus -= packed * spec->gpus;
    free->ram_gb -= packed * spec->ram_gb;
    return packed;
}

static bool is_machine_usable(const struct pm_sizing_machine *machine,
                              const struct unpacked_tasks *tasks)
{
    if (!machine->spot && (tasks->spot_only || tasks->ordinary_count <= 0))
        return false;
    return tasks->zone < 0 || machine->zone == tasks->zone;
}

/* Packs tasks on the machines that the sizing has so far: only on late ones if `on_late` is set,
 * and only on the others if not. */
static void pack_on_existing(struct pm_sizing *sizing, struct unpacked_tasks *tasks, bool on_late)
{
    for (guint i = 0; i < sizing->machines->len && tasks->count > 0; i++) {
        struct pm_sizing_machine *machine =
            &g_array_index(sizing->machines, struct pm_sizing_machine, i);
        int count = machine->spot ? tasks->count : MIN(tasks->count, tasks->ordinary_count);
        int packed;
        if (machine->is_late != on_late || !is_machine_usable(machine, tasks))
            continue;
        packed = pack_on_machine(sizing, machine, tasks->job, count);
        tasks->count -= packed;
        tasks->ordinary_count -= packed;
    }
}

/* Requests machines and packs tasks on them until all tasks are packed or no further machine can be
 * requested. */
static void pack_on_new(struct pm_sizing *sizing, struct unpacked_tasks *tasks,
                        enum pm_late_kinds late_kinds)
{
    struct pm_scale_out_request kind = {0};

    sizing->late_kinds = late_kinds;
    while (tasks->count > 0) {
        int zone = tasks->zone >= 0 ? tasks->zone : ZONE_ANY;
        bool spot_only = tasks->spot_only || tasks->ordinary_count <= 0;
        struct pm_sizing_machine *machine;
        int packed;
        if (!pm_sizing_choose_kind(sizing, tasks->job, tasks->count, zone, spot_only, &kind))
            return;
        if (tasks->zone == ZONE_SHARED)
            tasks->zone = kind.zone;
        pm_sizing_add_machine(sizing, &kind);
        machine =
            &g_array_index(sizing->machines, struct pm_sizing_machine, sizing->machines->len - 1);
        packed = pack_on_machine(sizing, machine, tasks->job, tasks->count);
        if (packed < 1)
            return;
        tasks->count -= packed;
        tasks->ordinary_count -= packed;
    }
}

void pm_sizing_pack(struct pm_sizing *sizing, const struct pm_job *job, int tasks,
                    int ordinary_tasks)
{
    bool needs_one_zone = job->spec->same_zone && job->spec->kind == PM_WORKLOAD_GANG;
    struct unpacked_tasks unpacked = {.job = job,
                                      .count = tasks,
                                      .ordinary_count = ordinary_tasks,
                                      .zone = needs_one_zone ? ZONE_SHARED : ZONE_ANY,
                                      .spot_only = will_miss_deadline(sizing, job)};

    /* The order is: machines that will be up soon, new machines of kinds whose boots are on time, a
     * few new machines of late kinds as probes, machines that are late, and at last any number of
     * new machines of late kinds. */
    pack_on_existing(sizing, &unpacked, false);
    pack_on_new(sizing, &unpacked, PM_LATE_KINDS_EXCLUDED);
    pack_on_new(sizing, &unpacked, PM_LATE_KINDS_PROBED);
    pack_on_existing(sizing, &unpacked, true);
    pack_on_new(sizing, &unpacked, PM_LATE_KINDS_ALLOWED);
}
