/* Detects machines that boot late or never come up.
 *
 * When boots of a kind are late in general, a machine of that kind rented now comes up no sooner
 * than those that are already booting. Late machines are therefore replaced by another kind, or
 * waited for; only a few more of the late kind are rented, to find out when its boots are on time
 * again. A single machine that is still booting while machines rented later are up counts as stuck:
 * it is replaced at once, and terminated soon.
 *
 * In the comments below, ready_s is the boot time that the provider announces for the type. */
#include "autoscaler/internal.h"

#include <math.h>

/* Within each ready_s, one machine of a late kind may be rented as a probe, plus this share of the
 * kind's overdue machines. */
#define PROBE_SHARE 0.15

/* A stuck machine is terminated once it is older than both STUCK_BOOT_FACTOR * ready_s +
 * STUCK_MARGIN_S and STUCK_LONGEST_BOOT_FACTOR * the longest boot of its kind. */
#define STUCK_BOOT_FACTOR 3.0
#define STUCK_MARGIN_S 10.0
#define STUCK_LONGEST_BOOT_FACTOR 2.0
/* A machine of a late kind is terminated later, because it may still come up: once it is older than
 * LATE_BOOT_FACTOR * ready_s + LATE_MARGIN_S. */
#define LATE_BOOT_FACTOR 15.0
#define LATE_MARGIN_S 30.0

enum { FIRST_INCARNATION = 1 }; /* incarnation of a worker that has just booted */

static bool is_booting(const struct pm_machine *machine)
{
    return machine->state == PM_MACHINE_BOOTING && machine->type >= 0 && machine->zone >= 0;
}

/* Whether the machine is up and its kind and rental time are known. The leader does not know when a
 * machine in a shard was rented. */
static bool is_up_with_known_rental_time(const struct pm_machine *machine)
{
    return machine->state == PM_MACHINE_UP && machine->type >= 0 && machine->zone >= 0 &&
           !machine->shard.assigned_to && machine->provider.rented_at > 0;
}

static void count_overdue(struct pm_autoscaler *autoscaler, const struct pm_machine *machine,
                          double now)
{
    struct pm_kind_boots *boots;

    if (!is_booting(machine) || pm_scheduler_is_boot_expected(autoscaler->tables, machine, now))
        return;
    boots = &pm_autoscaler_kind_of(autoscaler, machine)->boots;
    boots->overdue_count++;
    boots->oldest_overdue_rented_at =
        MIN(boots->oldest_overdue_rented_at, machine->provider.rented_at);
}

static void count_up(struct pm_autoscaler *autoscaler, const struct pm_machine *machine)
{
    double rented_at = machine->provider.rented_at;
    struct pm_kind_boots *boots;

    if (!is_up_with_known_rental_time(machine))
        return;
    boots = &pm_autoscaler_kind_of(autoscaler, machine)->boots;
    boots->newer_up_count += rented_at >= boots->oldest_overdue_rented_at;
    if (machine->heartbeat.incarnation == FIRST_INCARNATION &&
        rented_at > autoscaler->handover.elected_at)
        boots->longest_boot_s =
            MAX(boots->longest_boot_s, machine->lease.incarnation_seen_at - rented_at);
}

static void reset_boots_and_capacity(struct pm_machine_kind *kind)
{
    kind->boots.overdue_count = 0;
    kind->boots.newer_up_count = 0;
    kind->boots.oldest_overdue_rented_at = INFINITY;
    kind->boots.longest_boot_s = 0;
    kind->cpus = 0;
}

void pm_autoscaler_track_boots(struct pm_autoscaler *autoscaler, double now)
{
    const struct pm_name_tables *tables = autoscaler->tables;
    GPtrArray *machines = pm_workers_all(autoscaler->workers);

    for (int type = 0; type < tables->type_count; type++)
        for (int zone = 0; zone < tables->settings->zone_count; zone++)
            for (int spot = 0; spot < 2; spot++)
                reset_boots_and_capacity(&autoscaler->kinds[type][zone][spot]);
    for (guint i = 0; i < machines->len; i++)
        if (g_ptr_array_index(machines, i))
            count_overdue(autoscaler, g_ptr_array_index(machines, i), now);
    /* The second pass compares with the oldest overdue machine, which the first pass finds. */
    for (guint i = 0; i < machines->len; i++)
        if (g_ptr_array_index(machines, i))
            count_up(autoscaler, g_ptr_array_index(machines, i));
}

bool pm_machine_kind_is_late(const struct pm_machine_kind *kind)
{
    return kind->boots.overdue_count > kind->boots.newer_up_count;
}

enum pm_boot_state pm_autoscaler_boot_state(const struct pm_autoscaler *autoscaler,
                                            const struct pm_machine *machine, double now)
{
    if (pm_scheduler_is_boot_expected(autoscaler->tables, machine, now))
        return PM_BOOT_EXPECTED;
    if (pm_machine_kind_is_late(&autoscaler->kinds[machine->type][machine->zone][machine->spot]))
        return PM_BOOT_LATE;
    return PM_BOOT_STUCK;
}

bool pm_autoscaler_has_boot_timed_out(const struct pm_autoscaler *autoscaler,
                                      const struct pm_machine *machine, double now)
{
    const struct pm_machine_provider *provider = &machine->provider;
    /* A machine that the inventory lists as running has booted, but after an election its worker
     * may not have reported to this leader yet. The age of such a machine counts from when it was
     * first listed as running, so that it is not terminated before its worker can report. */
    double age_s = now - (provider->running_since ? provider->running_since : provider->rented_at);
    double ready_s;
    double longest_boot_s;

    if (!is_booting(machine) || machine->placements->len)
        return false;
    ready_s = autoscaler->tables->types[machine->type].ready_s;
    longest_boot_s =
        autoscaler->kinds[machine->type][machine->zone][machine->spot].boots.longest_boot_s;
    if (pm_autoscaler_boot_state(autoscaler, machine, now) == PM_BOOT_STUCK)
        return age_s > MAX(STUCK_BOOT_FACTOR * ready_s + STUCK_MARGIN_S,
                           STUCK_LONGEST_BOOT_FACTOR * longest_boot_s);
    return age_s > LATE_BOOT_FACTOR * ready_s + LATE_MARGIN_S;
}

int pm_autoscaler_probe_count(const struct pm_autoscaler *autoscaler, int type,
                              const struct pm_machine_kind *kind, double now)
{
    if (now - kind->boots.probed_at < autoscaler->tables->types[type].ready_s)
        return 0;
    return 1 + (int)(PROBE_SHARE * kind->boots.overdue_count);
}
