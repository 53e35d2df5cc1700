/* Marks machines for termination that have missed heartbeats or no longer receive commands while
 * most machines of their zone respond. Such a machine has failed, hangs or is partitioned.
 *
 * Once the provider confirms the machine's termination, its tasks are proven to have ended, so they
 * can start elsewhere long before the machine's lease expires. If the machine was only partitioned,
 * this costs little more than a short interruption. If most machines of a zone are silent at once,
 * the network is probably at fault, and the machines are kept. */
#include "autoscaler/internal.h"

/* A machine may be lost once it has been silent for longer than both LOST_SILENCE_MIN_S and
 * LOST_HEARTBEAT_INTERVALS heartbeat intervals plus LOST_MARGIN_S. */
#define LOST_SILENCE_MIN_S 5.0
#define LOST_HEARTBEAT_INTERVALS 1.25
#define LOST_MARGIN_S 2.4
/* A machine that has been silent for less than this share of that time counts as responding. */
#define RESPONDING_SHARE 0.6
/* A shard owner's report that a machine is silent is valid for this long. */
#define OWNER_REPORT_AGE_MAX_S 2.0

/* Numbers of machines in one zone. */
struct zone_counts {
    int responding, silent;
};

/* Results of one pass over all machines. */
struct silence_scan {
    double limit_s; /* a machine may be lost after a silence of this length */
    struct zone_counts zones[PM_ZONES_MAX];
    /* By zone: whether a machine of the zone has sent this leader a heartbeat. */
    bool zone_has_reported[PM_ZONES_MAX];
    GPtrArray *candidates; /* of struct pm_machine, to terminate if their zone responds */
};

/* Returns why the machine's lease is not renewed although messages from it arrive, or NULL if there
 * is no sign of that. The tasks of such a machine end when its lease expires. For a machine in a
 * shard the result is NULL: its worker reports to the shard's owner, so its last messages to this
 * controller say nothing. */
static const char *partition_reason(const struct pm_autoscaler *autoscaler,
                                    const struct pm_machine *machine, double now)
{
    if (machine->shard.assigned_to)
        return NULL;
    if (pm_machine_is_unreachable(machine, now))
        return "its heartbeats arrive but this controller's answers do not reach it, while its "
               "zone responds";
    if (pm_machine_only_answers_pushes(machine, autoscaler->tables->settings, now))
        return "it answers pushes but its heartbeats do not arrive, while its zone responds";
    return NULL;
}

/* Returns the monotonic time since which the machine has been silent, or `now` if it is in a shard
 * whose owner has not reported it as silent recently. */
static double silent_since(const struct pm_machine *machine, double now)
{
    if (!machine->shard.assigned_to)
        return machine->heartbeat.last_message_at;
    if (now - machine->shard.reported_silent_at < OWNER_REPORT_AGE_MAX_S)
        return machine->shard.silent_since;
    return now;
}

/* Whether the machine has placements and, since its last message, a push to it has failed or an
 * outdated message has arrived. */
static bool has_sign_of_loss(const struct pm_machine *machine)
{
    double failed_at = MAX(machine->push.failed_at, machine->heartbeat.last_stale_at);

    return machine->placements->len && failed_at > machine->heartbeat.last_message_at;
}

/* Whether the machine counts as lost after a silence of `silence_s`. For a machine in a shard the
 * silence is measured only from its owner's first report, so a shorter silence suffices. */
static bool is_lost(const struct pm_machine *machine, double silence_s, double limit_s)
{
    if (machine->shard.assigned_to)
        return silence_s > limit_s * RESPONDING_SHARE;
    return has_sign_of_loss(machine) && silence_s > limit_s;
}

static void scan_machine(const struct pm_autoscaler *autoscaler, struct silence_scan *scan,
                         struct pm_machine *machine, double now)
{
    struct zone_counts *zone = &scan->zones[machine->zone];
    double silence_s = now - silent_since(machine, now);

    scan->zone_has_reported[machine->zone] |= machine->heartbeat.has_reported;
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

/* Marks each candidate in whose zone no more machines are silent than respond. There is no limit on
 * the number of candidates: the responding machines show that the network is not at fault. */
static void mark_candidates(const struct pm_autoscaler *autoscaler, const struct silence_scan *scan,
                            double now)
{
    for (guint i = 0; i < scan->candidates->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(scan->candidates, i);
        const struct zone_counts *zone = &scan->zones[machine->zone];
        const char *reason = partition_reason(autoscaler, machine, now);
        if (zone->silent <= zone->responding)
            pm_autoscaler_mark_for_termination(
                machine, reason ? reason : "it has missed heartbeats, while its zone responds");
    }
}

void pm_autoscaler_mark_silent_machines(struct pm_autoscaler *autoscaler, double now)
{
    GPtrArray *machines = pm_workers_all(autoscaler->workers);
    double heartbeat_s = autoscaler->tables->settings->heartbeat_s;
    struct silence_scan scan = {
        .limit_s = MAX(LOST_SILENCE_MIN_S, LOST_HEARTBEAT_INTERVALS * heartbeat_s + LOST_MARGIN_S)};

    if (!autoscaler->writability.is_writable)
        return;
    scan.candidates = g_ptr_array_new();
    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (machine && machine->state == PM_MACHINE_UP && machine->zone >= 0)
            scan_machine(autoscaler, &scan, machine, now);
    }
    mark_candidates(autoscaler, &scan, now);
    g_ptr_array_free(scan.candidates, TRUE);
    pm_autoscaler_mark_silent_zones(autoscaler, scan.zone_has_reported, now);
}
