/* Zones that were silent before this leader was elected.
 *
 * Nothing of such a zone ever reported to this leader, so it knows no lease there, and would have
 * to wait for one from its own election. From when the leader before last received a message from
 * the zone follows when the leases there have expired, unless another controller there renewed
 * them; a confirmed termination settles that. */
#include "autoscaler/internal.h"
#include "base/clock.h"

#define SETTLING_S 3.0     /* after the election, while workers still turn to this leader */
#define LEASE_MARGIN_S 0.5 /* after a lease, by the clocks of both sides */

/* A zone was silent if its last message was older than so many heartbeat intervals and seconds. */
#define SILENT_HEARTBEATS 1.6
#define SILENT_MARGIN_S 1

/* In the ledger, `day` is the time of day at which it was written, and `heard` a map of zones: the
 * time of day of the last message from each. */
void pm_autoscaler_decode_silent_zones(struct pm_autoscaler *autoscaler, const cbor_item_t *ledger,
                                       double now, double wall_now)
{
    const struct pm_settings *settings = autoscaler->tables->settings;
    struct pm_handover *handover = &autoscaler->handover;
    const cbor_item_t *last_messages = pm_cbor_get(ledger, "heard");
    double silent_after_s = SILENT_HEARTBEATS * settings->heartbeat_s + SILENT_MARGIN_S;
    double message_wall;
    double written_wall;

    handover->elected_at = now;
    if (!pm_cbor_read_number(pm_cbor_get(ledger, "day"), &written_wall))
        return;
    /* A zone that was not silent when the ledger was written may have sent messages long after:
     * nothing is known of it. */
    for (int zone = 0; zone < settings->zone_count; zone++)
        if (pm_cbor_read_number(pm_cbor_get(last_messages, settings->zone_names[zone]),
                                &message_wall) &&
            written_wall - message_wall > silent_after_s)
            handover->zone_message_at[zone] = MIN(now - (wall_now - message_wall), now);
}

/* Without any, the fault is at this controller rather than in a zone. */
static bool has_any_reported(const struct pm_autoscaler *autoscaler, const bool *has_reported)
{
    for (int zone = 0; zone < autoscaler->tables->settings->zone_count; zone++)
        if (has_reported[zone])
            return true;
    return false;
}

void pm_autoscaler_mark_silent_zones(struct pm_autoscaler *autoscaler, const bool *has_reported,
                                     double now)
{
    GPtrArray *machines = pm_workers_all(autoscaler->workers);
    const struct pm_handover *handover = &autoscaler->handover;
    /* The worker's clock and this one may drift apart in opposite directions. */
    double lease_s = autoscaler->tables->settings->lease_s * (1 + 2 * PM_CLOCK_DRIFT_MAX);

    if (!has_any_reported(autoscaler, has_reported) || now - handover->elected_at < SETTLING_S)
        return;
    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        double message_at;
        if (!machine || machine->state != PM_MACHINE_UP || machine->zone < 0 ||
            machine->shard.owner || !machine->placements->len || has_reported[machine->zone])
            continue;
        message_at = handover->zone_message_at[machine->zone];
        if (message_at > 0 && now - message_at > lease_s + LEASE_MARGIN_S)
            pm_autoscaler_mark_machine(machine, "its zone has been silent for longer than a lease");
    }
}
