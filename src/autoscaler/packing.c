/* Packs tasks that wait on machines that boot or are to be rented. */
#include "autoscaler/sizing.h"

#include <math.h>

/* In place of a zone's index. */
enum {
    ZONE_ANY = -1,
    ZONE_COMMON = -2 /* any one, the same for all tasks of a gang */
};

/* Tasks of one job that have no machine yet. */
struct unpacked_tasks {
    const struct pm_job *job;
    int count;
    int ordinary_count; /* the first so many may have ordinary machines, the rest spot ones only */
    int zone;           /* the only one allowed, or one of the above */
    bool spot_only;
};

/* An array job that misses its deadline in any case waits for spot machines: ordinary ones would
 * cost several times as much, and save nothing. */
static bool has_missed_deadline(const struct pm_sizing *sizing, const struct pm_job *job)
{
    const struct pm_spec *spec = job->spec;
    const struct pm_scheduler *scheduler = sizing->autoscaler->scheduler;

    return spec->kind == PM_WORKLOAD_ARRAY && spec->spot &&
           job->deadline_wall - sizing->wall_now < pm_scheduler_estimate_run_s(scheduler, job);
}

/* Packs up to `count` of the job's tasks on the machine. Returns how many fit. */
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

/* Packs on the machines of the sizing: on those that are late, as most of their kind are, or on the
 * others. */
static void pack_on_known(struct pm_sizing *sizing, struct unpacked_tasks *tasks, bool on_late)
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

/* Rents machines until all tasks are packed, or nothing more is to be had. */
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
        if (tasks->zone == ZONE_COMMON)
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
                                      .zone = needs_one_zone ? ZONE_COMMON : ZONE_ANY,
                                      .spot_only = has_missed_deadline(sizing, job)};

    /* Machines that soon are up come first, then what can be rented of kinds whose boots are on
     * time, then machines that are late, and only then more of their kinds. */
    pack_on_known(sizing, &unpacked, false);
    pack_on_new(sizing, &unpacked, PM_LATE_KINDS_EXCLUDED);
    pack_on_new(sizing, &unpacked, PM_LATE_KINDS_PROBED);
    pack_on_known(sizing, &unpacked, true);
    pack_on_new(sizing, &unpacked, PM_LATE_KINDS_ALLOWED);
}
