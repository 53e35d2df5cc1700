/* Derives the state of a machine from its messages and its silence: whether it exists, whether
 * answers and commands reach it, and whether its worker's lease has expired. */
#include "base/clock.h"
#include "base/log.h"
#include "workers/internal.h"

/* A heartbeat counts as missed after this number of heartbeat intervals plus the margin. Workers
 * vary their interval by a quarter. */
#define MISSED_INTERVALS 1.6
#define MISSED_MARGIN_S 1.0
/* After a change of leader a worker tries one controller after the other. It finds the new leader
 * within this number of heartbeat intervals plus the margin. */
#define NO_HEARTBEAT_INTERVALS 2
#define NO_HEARTBEAT_MARGIN_S 4.0
/* Delivery failures that span less than this may have a single cause. */
#define UNREACHABLE_MIN_S 1.5
#define LEASE_MARGIN_S 0.2 /* for the time from a decision to its effect */

enum { UNREACHABLE_FAILURES_MIN = 2 };

bool pm_machine_missed_heartbeat(const struct pm_machine *machine,
                                 const struct pm_settings *settings, double now)
{
    return now - machine->heartbeat.last_message_at >=
           MISSED_INTERVALS * settings->heartbeat_s + MISSED_MARGIN_S;
}

bool pm_machine_only_answers_pushes(const struct pm_machine *machine,
                                    const struct pm_settings *settings, double now)
{
    const struct pm_machine_heartbeat *heartbeat = &machine->heartbeat;

    return heartbeat->has_reported && heartbeat->last_message_at > heartbeat->last_heartbeat_at &&
           now - heartbeat->last_heartbeat_at >=
               NO_HEARTBEAT_INTERVALS * settings->heartbeat_s + NO_HEARTBEAT_MARGIN_S;
}

bool pm_machine_is_known_to_exist(const struct pm_machine *machine)
{
    return machine->provider.is_listed || machine->provider.rented_at != 0 ||
           machine->push.has_answered;
}

bool pm_machine_is_unreachable(const struct pm_machine *machine, double now)
{
    const struct pm_machine_delivery *delivery = &machine->delivery;

    /* A machine that has sent no message since the last failure is silent, not unreachable. */
    return delivery->failures >= UNREACHABLE_FAILURES_MIN &&
           machine->heartbeat.last_message_at >= delivery->failed_at &&
           now - delivery->failing_since > UNREACHABLE_MIN_S;
}

void pm_machine_note_delivery_failure(struct pm_machine *machine, const char *why, double now)
{
    struct pm_machine_delivery *delivery = &machine->delivery;

    pm_debug("worker.delivery_failure", "%s: %s", machine->name, why);
    if (!delivery->failures)
        delivery->failing_since = now;
    delivery->failures++;
    delivery->failed_at = now;
}

void pm_machine_note_heartbeat_ack(struct pm_machine *machine, struct pm_fencing_range tokens,
                                   double now)
{
    machine->lease.last_acked_at = now;
    machine->delivery.acked_first_token = tokens.first;
    machine->delivery.acked_sequence = machine->heartbeat.sequence;
}

bool pm_machine_is_drained(const struct pm_machine *machine, struct pm_fencing_range tokens)
{
    const struct pm_machine_heartbeat *heartbeat = &machine->heartbeat;
    bool is_empty = !machine->placements->len && !heartbeat->exited.listed->len &&
                    !heartbeat->orphan_tasks->len;
    bool may_get_commands = machine->push.in_flight_number || machine->push.unknown_outcome_token ||
                            heartbeat->fencing_token < tokens.first;

    return is_empty && !may_get_commands && heartbeat->has_reported;
}

/* A worker's lease runs from its last answered heartbeat or, if none was answered in the current
 * incarnation, from the start of that incarnation: the lease of a worker that has only answered
 * pushes so far does not count as expired from the outset. */
bool pm_workers_is_lease_expired(const struct pm_machine *machine, double exclusive_since,
                                 double lease_s, double now)
{
    const struct pm_machine_lease *lease = &machine->lease;
    double renewed_at = MAX(MAX(lease->last_acked_at, lease->incarnation_seen_at), exclusive_since);

    return now > renewed_at + lease_s * (1 + 2 * PM_CLOCK_DRIFT_MAX) + LEASE_MARGIN_S;
}
