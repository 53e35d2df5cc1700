/* Which machines to terminate, and why. Marks them; termination.c sends the requests. */
#include "autoscaler/internal.h"
#include "base/log.h"
#include "workers/failures.h"

#include <math.h>

/* While the state service accepts no writes, idle time does not count, for up to this long. */
#define OUTAGE_KEEP_S 120
/* Idle spot machines are kept for so long if the steady demand needs them. */
#define STEADY_DEMAND_KEEP_S 60.0
/* The shortest time that the provider charges for a machine. */
#define RENTAL_LEAST_S 60
#define CONSOLIDATION_INTERVAL_S 1

/* A machine that the inventory misses is lost after a silence of so many heartbeat intervals and
 * seconds; one without tasks is given up after a silence of so many leases and seconds. */
#define ABSENT_HEARTBEATS 1.3
#define ABSENT_MARGIN_S 1
#define UNUSED_LEASES 2
#define UNUSED_MARGIN_S 20

/* With more machines than that, idle ones are terminated sooner, but not before this share of the
 * operators' setting. */
#define SMALL_FLEET 50
#define IDLE_TIMEOUT_LEAST 0.28

void pm_autoscaler_mark_machine(struct pm_machine *machine, const char *reason)
{
    pm_info("autoscaler.scale_in", "%s: %s", machine->name, reason);
    machine->state = PM_MACHINE_RELEASING;
    machine->provider.terminate_retry_at = 0;
}

/* The fewer machines share the work, the less certain is what comes next. With many, fluctuations
 * even out as the square root of their number, and what idles is an excess rather than the gap
 * between two jobs. */
double pm_autoscaler_idle_timeout_s(const struct pm_operator_settings *operator_settings,
                                    int machine_count)
{
    double share = sqrt((double)SMALL_FLEET / MAX(machine_count, 1));

    return operator_settings->idle_return_s * CLAMP(share, IDLE_TIMEOUT_LEAST, 1);
}

/* ---- machines that are lost, or never came up ---- */

/* Missing from the inventory, and silent. The confirmed termination proves the loss sooner
 * than its lease. */
static bool is_absent(const struct pm_machine *machine, const struct pm_settings *settings,
                      double now)
{
    double silence_s = now - machine->heartbeat.last_message_at;

    if (!machine->provider.absent_since || machine->state != PM_MACHINE_UP)
        return false;
    return machine->shard.owner ||
           silence_s > ABSENT_HEARTBEATS * settings->heartbeat_s + ABSENT_MARGIN_S;
}

static bool is_silent_without_tasks(const struct pm_machine *machine,
                                    const struct pm_settings *settings, double now)
{
    double silence_s = now - machine->heartbeat.last_message_at;

    return !machine->shard.owner && machine->state == PM_MACHINE_UP &&
           machine->placements->len == 0 &&
           silence_s > UNUSED_LEASES * settings->lease_s + UNUSED_MARGIN_S;
}

/* Why a machine that is lost, or never came up, is to be terminated; NULL: it is not so. */
static const char *lost_reason(const struct pm_autoscaler *autoscaler,
                               const struct pm_machine *machine, double now)
{
    const struct pm_settings *settings = autoscaler->tables->settings;

    if (machine->provider.has_failed)
        return "failed: it stopped by itself";
    if (is_absent(machine, settings, now))
        return "no longer in the inventory, and silent";
    if (pm_autoscaler_has_boot_failed(autoscaler, machine, now))
        return "boot timed out";
    if (is_silent_without_tasks(machine, settings, now))
        return "silent, without tasks";
    return NULL;
}

/* ---- machines that are not needed ---- */

/* One pass over all machines. */
struct scale_in_pass {
    double idle_timeout_s;
    double headroom_cpus; /* on ordinary machines, less those that the pass has marked */
    double now;
};

/* Whether an idle machine is kept all the same, for steady array work or as headroom for services.
 * What is marked is subtracted from both. */
static bool should_keep_idle(struct pm_autoscaler *autoscaler, const struct pm_machine *machine,
                             struct scale_in_pass *pass)
{
    struct pm_headroom *headroom = &autoscaler->headroom;
    double cpus = machine->free.cpus;

    if (machine->spot) {
        if (pass->now - machine->provider.idle_since < STEADY_DEMAND_KEEP_S &&
            headroom->spot_cpus - cpus < pm_autoscaler_steady_demand_cpus(autoscaler, pass->now))
            return true;
        headroom->spot_cpus -= cpus;
        return false;
    }
    if (pass->headroom_cpus - cpus < headroom->service_cpus)
        return true;
    pass->headroom_cpus -= cpus;
    return false;
}

/* A machine that is being drained is needed after all when tasks wait, unless it is empty and
 * terminating it saves something. */
static void cancel_drain_if_needed(const struct pm_autoscaler *autoscaler,
                                   struct pm_machine *machine, double now)
{
    bool has_waiting_tasks = pm_scheduler_unmet_demand(autoscaler->scheduler)->len > 0;

    if (machine->reservation.draining && has_waiting_tasks &&
        (machine->placements->len || now - machine->provider.rented_at < RENTAL_LEAST_S))
        machine->reservation.draining = false;
}

/* Updates since when the machine is idle. False: it is not. */
static bool update_idle(const struct pm_autoscaler *autoscaler, struct pm_machine *machine,
                        double now)
{
    const struct pm_store_outage *outage = &autoscaler->outage;

    if (machine->state != PM_MACHINE_UP || machine->placements->len) {
        machine->provider.idle_since = 0;
        return false;
    }
    /* While nothing can be placed, an idle machine may still be needed: what waits will use it as
     * soon as the state service is back. Not for ever, though. */
    if (!machine->provider.idle_since ||
        (!outage->is_writable && now - outage->writable_at < OUTAGE_KEEP_S))
        machine->provider.idle_since = now;
    return true;
}

/* Why a machine that is up is to be terminated; NULL: it is not. */
static const char *unneeded_reason(struct pm_autoscaler *autoscaler, struct pm_machine *machine,
                                   struct scale_in_pass *pass)
{
    double now = pass->now;

    cancel_drain_if_needed(autoscaler, machine, now);
    if (!update_idle(autoscaler, machine, now))
        return NULL;
    if (machine->reservation.draining)
        return "drained for consolidation";
    if (pm_failures_is_machine_faulty(machine))
        return "quarantined: its tasks keep failing";
    if (now - machine->provider.idle_since < pass->idle_timeout_s ||
        now - machine->provider.rented_at < RENTAL_LEAST_S)
        return NULL;
    return should_keep_idle(autoscaler, machine, pass) ? NULL : "idle";
}

/* ---- the pass over all machines ---- */

static int count_machines(const GPtrArray *machines)
{
    int count = 0;

    for (guint i = 0; i < machines->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(machines, i);
        count += machine && machine->state != PM_MACHINE_RELEASING;
    }
    return count;
}

static void consolidate(struct pm_autoscaler *autoscaler, double now)
{
    if (pm_scheduler_unmet_demand(autoscaler->scheduler)->len ||
        now - autoscaler->consolidated_at <= CONSOLIDATION_INTERVAL_S)
        return;
    autoscaler->consolidated_at = now;
    pm_scheduler_consolidate(autoscaler->scheduler, now);
}

void pm_autoscaler_mark_scale_in(struct pm_autoscaler *autoscaler, double now)
{
    GPtrArray *machines = pm_workers_all(autoscaler->workers);
    struct scale_in_pass pass = {
        .headroom_cpus = pm_scheduler_headroom_cpus(autoscaler->scheduler, now), .now = now};

    pass.idle_timeout_s =
        pm_autoscaler_idle_timeout_s(autoscaler->operator_settings, count_machines(machines));
    pm_autoscaler_mark_silent_machines(autoscaler, now);
    consolidate(autoscaler, now);
    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        const char *reason;
        if (!machine || machine->state == PM_MACHINE_RELEASING)
            continue;
        reason = lost_reason(autoscaler, machine, now);
        /* Whether a machine in a shard is needed, its owner knows. */
        if (!reason && !machine->shard.owner)
            reason = unneeded_reason(autoscaler, machine, &pass);
        if (reason)
            pm_autoscaler_mark_machine(machine, reason);
    }
}
