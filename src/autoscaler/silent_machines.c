/* Machines that have missed heartbeats, or can no longer be commanded, while others of their zone
 * are fine: they died, hang or are partitioned.
 *
 * The confirmed termination of such a machine proves its tasks gone long before its lease expires,
 * and they start elsewhere; if it was only partitioned, little more than a short interruption is
 * lost. Where most machines of a zone are silent at once, the network is at fault, and waiting is
 * better. */
#include "autoscaler/internal.h"

/* A machine may be given up after a silence of so many seconds, and of so many heartbeat intervals
 * and a margin. */
#define LOST_LEAST_S 5.0
#define LOST_HEARTBEATS 1.25
#define LOST_MARGIN_S 2.4
/* One that is silent for less than this share of that time is responding. */
#define RESPONDING_SHARE 0.6
/* A shard owner's report of a silent machine counts for so long. */
#define OWNER_REPORT_AGE_S 2.0

struct zone_census {
    int responding, silent; /* machines */
};

/* What one pass over all machines has found. */
struct silence_scan {
    double limit_s; /* silence after which a machine may be given up */
    struct zone_census zones[PM_ZONES_MAX];
    bool has_reported[PM_ZONES_MAX]; /* this leader had a heartbeat from a machine of the zone */
    GPtrArray *candidates;           /* of struct pm_machine: to be given up if its zone is fine */
};

/* Why the machine's tasks end with its lease though messages of it arrive; NULL: they need not. For
 * a machine in a shard its last messages to this controller mean nothing: its worker reports to the
 * shard's owner. */
static const char *partition_reason(const struct pm_autoscaler *autoscaler,
                                    const struct pm_machine *machine, double now)
{
    if (machine->shard.owner)
        return NULL;
    if (pm_machine_is_unreachable(machine, now))
        return "unreachable: its heartbeats arrive, our answers do not, while its zone responds";
    if (pm_machine_is_not_reporting(machine, autoscaler->tables->settings, now))
        return "not reporting: it answers pushes and sends no heartbeats, while its zone responds";
    return NULL;
}

/* Monotonic: since when the machine is silent, as far as is known. Of one in a shard, the owner
 * reports it. */
static double silent_since(const struct pm_machine *machine, double now)
{
    if (!machine->shard.owner)
        return machine->heartbeat.last_message_at;
    if (now - machine->shard.reported_silent_at < OWNER_REPORT_AGE_S)
        return machine->shard.silent_since;
    return now;
}

/* Whether the machine has tasks, and a push to it failed, or only an old message came, since its
 * last message. */
static bool has_failed_probe(const struct pm_machine *machine)
{
    double failed_at = MAX(machine->push.failed_at, machine->heartbeat.last_stale_at);

    return machine->placements->len && failed_at > machine->heartbeat.last_message_at;
}

/* Whether silence of that length is enough to give the machine up. */
static bool is_lost(const struct pm_machine *machine, double silence_s, double limit_s)
{
    if (machine->shard.owner)
        return silence_s > limit_s * RESPONDING_SHARE;
    return has_failed_probe(machine) && silence_s > limit_s;
}

static void scan_machine(const struct pm_autoscaler *autoscaler, struct silence_scan *scan,
                         struct pm_machine *machine, double now)
{
    struct zone_census *zone = &scan->zones[machine->zone];
    double silence_s = now - silent_since(machine, now);

    scan->has_reported[machine->zone] |= machine->heartbeat.is_known;
    if (partition_reason(autoscaler, machine, now)) {
        zone->silent++;
        g_ptr_array_add(scan->candidates, machine);
        return;
    }
    if (silence_s < scan->limit_s * RESPONDING_SHARE) {
        zone->responding++;
        return;
    }
    zone->silent++;
    if (is_lost(machine, silence_s, scan->limit_s))
        g_ptr_array_add(scan->candidates, machine);
}

/* However many candidates there are: the rest of their zone shows whether the network is at
 * fault. */
static void mark_candidates(const struct pm_autoscaler *autoscaler, const struct silence_scan *scan,
                            double now)
{
    for (guint i = 0; i < scan->candidates->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(scan->candidates, i);
        const struct zone_census *zone = &scan->zones[machine->zone];
        const char *reason = partition_reason(autoscaler, machine, now);
        if (zone->silent <= zone->responding)
            pm_autoscaler_mark_machine(
                machine, reason ? reason : "silent: missed heartbeats, while its zone responds");
    }
}

void pm_autoscaler_mark_silent_machines(struct pm_autoscaler *autoscaler, double now)
{
    GPtrArray *machines = pm_workers_all(autoscaler->workers);
    double heartbeat_s = autoscaler->tables->settings->heartbeat_s;
    struct silence_scan scan = {
        .limit_s = MAX(LOST_LEAST_S, LOST_HEARTBEATS * heartbeat_s + LOST_MARGIN_S)};

    if (!autoscaler->outage.is_writable)
        return;
    scan.candidates = g_ptr_array_new();
    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (machine && machine->state == PM_MACHINE_UP && machine->zone >= 0)
            scan_machine(autoscaler, &scan, machine, now);
    }
    mark_candidates(autoscaler, &scan, now);
    g_ptr_array_free(scan.candidates, TRUE);
    pm_autoscaler_mark_silent_zones(autoscaler, scan.has_reported, now);
}
