/* Marks machines for termination whose zone was silent already before this leader was elected.
 *
 * No machine of such a zone has reported to this leader. The leader therefore knows none of their
 * leases, and would have to wait for a whole lease after its own election. Instead it reads from
 * the previous leader's ledger when the last message from the zone arrived. One lease duration
 * after that message, the zone's leases have expired, unless another controller in the zone renewed
 * them. That case is covered by the provider's confirmation that the machines are terminated. */
#include "autoscaler/internal.h"
#include "base/clock.h"

#define SETTLING_S 3.0     /* time after the election in which workers find the new leader */
#define LEASE_MARGIN_S 0.5 /* extra wait after a lease, in addition to the clock drift */

/* A zone counts as silent if, when the ledger was written, its last message was older than this
 * many heartbeat intervals plus the margin. */
#define SILENT_HEARTBEAT_INTERVALS 1.6
#define SILENT_MARGIN_S 1

/* The ledger's field `day` is the time of day at which it was written. Its field `heard` maps each
 * zone to the time of day of the zone's last message. */
void pm_autoscaler_decode_silent_zones(struct pm_autoscaler *autoscaler, const cbor_item_t *ledger,
                                       double now, double wall_now)
{
    const struct pm_settings *settings = autoscaler->tables->settings;
    struct pm_handover *handover = &autoscaler->handover;
    const cbor_item_t *last_messages = pm_cbor_get(ledger, "heard");
    double silent_after_s = SILENT_HEARTBEAT_INTERVALS * settings->heartbeat_s + SILENT_MARGIN_S;
    double message_wall;
    double written_wall;

    handover->elected_at = now;
    if (!pm_cbor_read_number(pm_cbor_get(ledger, "day"), &written_wall))
        return;
    /* A zone that was not silent when the ledger was written may have sent messages long after
     * that, so the ledger does not tell when the zone's last message arrived. */
    for (int zone = 0; zone < settings->zone_count; zone++)
        if (pm_cbor_read_number(pm_cbor_get(last_messages, settings->zone_names[zone]),
                                &message_wall) &&
            written_wall - message_wall > silent_after_s)
            handover->zone_last_message_at[zone] = MIN(now - (wall_now - message_wall), now);
}

/* Whether any zone has reported to this leader. If none has, the fault is probably on this
 * controller's side rather than in the zones. */
static bool has_any_reported(const struct pm_autoscaler *autoscaler, const bool *zone_has_reported)
{
    for (int zone = 0; zone < autoscaler->tables->settings->zone_count; zone++)
        if (zone_has_reported[zone])
            return true;
    return false;
}

void pm_autoscaler_mark_silent_zones(struct pm_autoscaler *autoscaler,
                                     const bool *zone_has_reported, double now)
{
    GPtrArray *machines = pm_workers_all(autoscaler->workers);
    const struct pm_handover *handover = &autoscaler->handover;
    /* The worker's clock and this one may drift apart in opposite directions. */
    double lease_s = autoscaler->tables->settings->lease_s * (1 + 2 * PM_CLOCK_DRIFT_MAX);

    if (!has_any_reported(autoscaler, zone_has_reported) || now - handover->elected_at < SETTLING_S)
        return;
    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        double message_at;
        if (!machine || machine->state != PM_MACHINE_UP || machine->zone < 0 ||
            machine->shard.assigned_to || !machine->placements->len ||
            zone_has_reported[machine->zone])
            continue;
        message_at = handover->zone_last_message_at[machine->zone];
        if (message_at > 0 && now - message_at > lease_s + LEASE_MARGIN_S)
            pm_autoscaler_mark_for_termination(
                machine,
                "its zone has been silent for longer than a lease, since before the election");
    }
}
