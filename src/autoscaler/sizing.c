/* Runs a sizing: sums the existing capacity, then adds the demands one after the other. */
#include "autoscaler/sizing.h"
#include "base/log.h"
#include "workers/failures.h"

#define LIMIT_LOG_INTERVAL_S 60.0 /* between two log lines that a sizing was limited */

/* Whether the machine counts as capacity: it is up or booting, and neither being terminated nor
 * about to be interrupted by the provider. */
static bool counts_as_capacity(const struct pm_machine *machine)
{
    return machine->state != PM_MACHINE_TERMINATING && !machine->heartbeat.spot_interruption_at;
}

/* Whether tasks may be packed on the machine. Only booting machines are used, because the scheduler
 * has found no free capacity on those that are up. */
static bool is_packable(const struct pm_machine *machine)
{
    return machine->state == PM_MACHINE_BOOTING && !machine->heartbeat.spot_interruption_at &&
           !pm_failures_is_machine_faulty(machine) && !machine->shard.assigned_to &&
           machine->free.cpus > PM_SIZING_CPUS_EPSILON;
}

static void add_capacity(struct pm_autoscaler *autoscaler, const struct pm_machine *machine)
{
    double cpus = autoscaler->tables->types[machine->type].cpus;

    pm_autoscaler_kind_of(autoscaler, machine)->cpus += cpus;
    if (machine->spot)
        autoscaler->headroom.spot_capacity_cpus += cpus;
}

static void add_packable(struct pm_sizing *sizing, const struct pm_machine *machine,
                         enum pm_boot_state boot)
{
    struct pm_sizing_machine packable = {.free = machine->free,
                                         .type = machine->type,
                                         .zone = machine->zone,
                                         .spot = machine->spot,
                                         .is_late = boot == PM_BOOT_LATE};

    g_array_append_val(sizing->machines, packable);
}

/* Sums the capacity of each kind and collects the machines to pack tasks on. Both skip machines
 * whose boot is stuck. */
static void collect_capacity(struct pm_sizing *sizing)
{
    struct pm_autoscaler *autoscaler = sizing->autoscaler;
    GPtrArray *machines = pm_workers_all(autoscaler->workers);

    g_array_set_size(sizing->machines, 0);
    autoscaler->headroom.spot_capacity_cpus = 0;
    for (guint i = 0; i < machines->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(machines, i);
        enum pm_boot_state boot = PM_BOOT_EXPECTED;
        if (!machine || machine->type < 0 || machine->zone < 0)
            continue;
        if (machine->state == PM_MACHINE_BOOTING)
            boot = pm_autoscaler_boot_state(autoscaler, machine, sizing->now);
        if (boot == PM_BOOT_STUCK)
            continue;
        if (counts_as_capacity(machine))
            add_capacity(autoscaler, machine);
        if (is_packable(machine))
            add_packable(sizing, machine, boot);
    }
}

/* Records the time of this sizing's requests for late kinds, which serve as probes. */
static void record_probe_times(const struct pm_sizing *sizing)
{
    for (int i = 0; i < sizing->request_count; i++) {
        const struct pm_scale_out_request *request = &sizing->requests[i];
        struct pm_machine_kind *kind =
            &sizing->autoscaler->kinds[request->type][request->zone][request->spot];
        if (pm_machine_kind_is_late(kind))
            kind->boots.probed_at = sizing->now;
    }
}

/* Lets the next source of demand add machines. Logs if the one before it was limited. */
static void begin_source(struct pm_sizing *sizing, const char *previous)
{
    struct pm_autoscaler *autoscaler = sizing->autoscaler;

    bool is_log_due = !autoscaler->limit_logged_at ||
                      sizing->now - autoscaler->limit_logged_at >= LIMIT_LOG_INTERVAL_S;

    if (previous && !sizing->new_machines_left && is_log_due) {
        autoscaler->limit_logged_at = sizing->now;
        pm_info("autoscaler.sizing_limited",
                "the %s asks for more than %d new machines; the rest is sized again later",
                previous, PM_SIZING_NEW_MACHINES_MAX);
    }
    sizing->new_machines_left = PM_SIZING_NEW_MACHINES_MAX;
}

int pm_autoscaler_size(struct pm_autoscaler *autoscaler, double now, double wall_now,
                       struct pm_scale_out_request *out, int max)
{
    struct pm_sizing sizing = {.autoscaler = autoscaler,
                               .machines = autoscaler->sizing_machines,
                               .requests = out,
                               .request_max = max,
                               .now = now,
                               .wall_now = wall_now};

    pm_autoscaler_measure_demand(autoscaler, now, wall_now);
    pm_autoscaler_track_boots(autoscaler, now);
    collect_capacity(&sizing);
    begin_source(&sizing, NULL);
    pm_sizing_add_unmet_demand(&sizing);
    begin_source(&sizing, "unmet demand of waiting tasks");
    pm_sizing_add_steady_demand(&sizing);
    begin_source(&sizing, "steady demand of array work");
    pm_sizing_add_headroom(&sizing);
    record_probe_times(&sizing);
    return sizing.request_count;
}
