/* Decides which machines to terminate, and marks them with a reason. termination.c sends the
 * requests. */
#include "autoscaler/internal.h"
#include "base/log.h"
#include "workers/failures.h"

#include <math.h>

/* Idle time does not count during the first seconds of an outage of the state service, up to this
 * many. */
#define OUTAGE_IDLE_KEEP_S 120
/* Idle spot machines that the steady demand needs are kept for this long. */
#define STEADY_DEMAND_KEEP_S 60.0
/* Minimum billing time: the provider charges each machine for at least this long. */
#define BILLING_MIN_S 60
#define CONSOLIDATION_INTERVAL_S 1

/* A machine that is missing from the inventory is lost once it has been silent for this many
 * heartbeat intervals plus the margin. */
#define ABSENT_HEARTBEAT_INTERVALS 1.3
#define ABSENT_MARGIN_S 1
/* A machine without tasks is terminated once it has been silent for this many lease durations plus
 * the margin. */
#define SILENCE_LEASE_DURATIONS 2
#define SILENCE_MARGIN_S 20

/* The idle timeout is the operators' setting for up to this many machines. For more machines it is
 * a smaller share of the setting, down to the minimum below. */
#define SMALL_FLEET_MACHINES 50
#define IDLE_TIMEOUT_SHARE_MIN 0.28

void pm_autoscaler_mark_for_termination(struct pm_machine *machine, const char *reason)
{
    pm_info("autoscaler.scale_in", "%s is marked for termination: %s", machine->name, reason);
    machine->state = PM_MACHINE_TERMINATING;
    machine->provider.terminate_retry_at = 0;
}

/* In a small fleet an idle machine is often just between two jobs. In a large fleet, fluctuations
 * of the load even out with the square root of the number of machines, and an idle machine is more
 * likely to be an excess. */
double pm_autoscaler_idle_timeout_s(const struct pm_operator_settings *operator_settings,
                                    int machine_count)
{
    double share = sqrt((double)SMALL_FLEET_MACHINES / MAX(machine_count, 1));

    return operator_settings->idle_return_s * CLAMP(share, IDLE_TIMEOUT_SHARE_MIN, 1);
}

/* ---- lost machines and failed boots ---- */

/* Whether the inventory shows that the machine is lost: the machine is missing from it and, unless
 * it is in a shard, also silent. The worker of a machine in a shard reports to the shard's owner,
 * so the leader does not know whether the machine is silent.
 *
 * A lost machine is terminated because the provider's confirmation proves the loss earlier than the
 * expiry of the machine's lease would, so that its tasks can be placed again sooner. */
static bool is_lost_per_inventory(const struct pm_machine *machine,
                                  const struct pm_settings *settings, double now)
{
    double silence_s = now - machine->heartbeat.last_message_at;

    if (!machine->provider.absent_since || machine->state != PM_MACHINE_UP)
        return false;
    return machine->shard.assigned_to ||
           silence_s > ABSENT_HEARTBEAT_INTERVALS * settings->heartbeat_s + ABSENT_MARGIN_S;
}

static bool is_silent_without_tasks(const struct pm_machine *machine,
                                    const struct pm_settings *settings, double now)
{
    double silence_s = now - machine->heartbeat.last_message_at;

    return !machine->shard.assigned_to && machine->state == PM_MACHINE_UP &&
           machine->placements->len == 0 &&
           silence_s > SILENCE_LEASE_DURATIONS * settings->lease_s + SILENCE_MARGIN_S;
}

/* Returns why the machine counts as lost or never came up, or NULL if neither holds. */
static const char *lost_reason(const struct pm_autoscaler *autoscaler,
                               const struct pm_machine *machine, double now)
{
    const struct pm_settings *settings = autoscaler->tables->settings;

    if (machine->provider.has_failed)
        return "the provider lists it as failed";
    if (is_lost_per_inventory(machine, settings, now))
        return "lost: the inventory does not list it any more";
    if (pm_autoscaler_has_boot_timed_out(autoscaler, machine, now))
        return "boot timed out";
    if (is_silent_without_tasks(machine, settings, now))
        return "no messages for too long, and no tasks";
    return NULL;
}

/* ---- machines that are not needed ---- */

/* State of one pass over all machines. */
struct scale_in_pass {
    double idle_timeout_s;
    /* Processors that are free for services on ordinary machines, without the machines that this
     * pass has marked for termination. */
    double free_cpus;
    double now;
};

/* Whether an idle machine is to be kept: a spot machine if the steady demand of array work needs
 * it, an ordinary machine if the headroom for services does. If the machine is not to be kept,
 * subtracts its processors from spot_capacity_cpus or free_cpus, so that the decisions on further
 * machines count only on the capacity that remains. */
static bool should_keep_idle(struct pm_autoscaler *autoscaler, const struct pm_machine *machine,
                             struct scale_in_pass *pass)
{
    struct pm_headroom *headroom = &autoscaler->headroom;
    double cpus = machine->free.cpus;

    if (machine->spot) {
        if (pass->now - machine->provider.idle_since < STEADY_DEMAND_KEEP_S &&
            headroom->spot_capacity_cpus - cpus <
                pm_autoscaler_steady_demand_cpus(autoscaler, pass->now))
            return true;
        headroom->spot_capacity_cpus -= cpus;
        return false;
    }
    if (pass->free_cpus - cpus < headroom->target_free_cpus)
        return true;
    pass->free_cpus -= cpus;
    return false;
}

/* Cancels the machine's drain if tasks are waiting. An empty machine past its minimum billing time
 * stays draining, because terminating it saves cost. */
static void cancel_drain_if_needed(const struct pm_autoscaler *autoscaler,
                                   struct pm_machine *machine, double now)
{
    bool has_waiting_tasks = pm_scheduler_unmet_demand(autoscaler->scheduler)->len > 0;

    if (machine->reservation.draining && has_waiting_tasks &&
        (machine->placements->len || now - machine->provider.rented_at < BILLING_MIN_S))
        machine->reservation.draining = false;
}

/* Updates the time since which the machine has been idle. Returns false if it is not idle. */
static bool update_idle(const struct pm_autoscaler *autoscaler, struct pm_machine *machine,
                        double now)
{
    const struct pm_store_writability *writability = &autoscaler->writability;

    if (machine->state != PM_MACHINE_UP || machine->placements->len) {
        machine->provider.idle_since = 0;
        return false;
    }
    /* For the first OUTAGE_IDLE_KEEP_S in which placements cannot be written, the idle time is
     * restarted in each pass: waiting tasks may use the machine as soon as the state service
     * accepts writes again. */
    if (!machine->provider.idle_since ||
        (!writability->is_writable && now - writability->last_writable_at < OUTAGE_IDLE_KEEP_S))
        machine->provider.idle_since = now;
    return true;
}

/* Returns why the machine is not needed, or NULL if it is in use or is to be kept. */
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
        now - machine->provider.rented_at < BILLING_MIN_S)
        return NULL;
    return should_keep_idle(autoscaler, machine, pass) ? NULL : "idle";
}

/* ---- pass over all machines ---- */

static int count_machines(const GPtrArray *machines)
{
    int count = 0;

    for (guint i = 0; i < machines->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(machines, i);
        count += machine && machine->state != PM_MACHINE_TERMINATING;
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
        .free_cpus = pm_scheduler_headroom_cpus(autoscaler->scheduler, now), .now = now};

    pass.idle_timeout_s =
        pm_autoscaler_idle_timeout_s(autoscaler->operator_settings, count_machines(machines));
    pm_autoscaler_mark_silent_machines(autoscaler, now);
    consolidate(autoscaler, now);
    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        const char *reason;
        if (!machine || machine->state == PM_MACHINE_TERMINATING)
            continue;
        reason = lost_reason(autoscaler, machine, now);
        /* Only the owner of a shard knows whether a machine in the shard is needed. */
        if (!reason && !machine->shard.assigned_to)
            reason = unneeded_reason(autoscaler, machine, &pass);
        if (reason)
            pm_autoscaler_mark_for_termination(machine, reason);
    }
}
