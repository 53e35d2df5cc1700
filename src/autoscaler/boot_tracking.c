/* Machines that boot late, or never come up.
 *
 * A machine rented now comes up no sooner than one of the same kind that was rented before it and
 * still boots. So where most of a kind are late, more of that kind are no replacement: another kind
 * is, or waiting. Only a few more are rented, to find out when boots are on time again. A single
 * machine that later ones have overtaken is replaced at once, and soon terminated. */
#include "autoscaler/internal.h"

#include <math.h>

/* Of the overdue machines of a late kind: how many more are rented in the time that a boot takes.
 */
#define PROBE_SHARE 0.15

/* An overtaken machine is terminated after this many times the announced boot time, and some
 * seconds, but not before this many times the longest boot that was seen. */
#define STUCK_BOOTS 3.0
#define STUCK_S 10.0
#define STUCK_LONGEST_BOOTS 2.0
/* A machine of a late kind may still come up, and has more time. */
#define LATE_BOOTS 15.0
#define LATE_S 30.0

enum { FIRST_INCARNATION = 1 }; /* of a worker that has just booted */

static bool is_booting(const struct pm_machine *machine)
{
    return machine->state == PM_MACHINE_BOOTING && machine->type >= 0 && machine->zone >= 0;
}

/* Of a machine in a shard it is not known here when it was rented. */
static bool has_known_boot(const struct pm_machine *machine)
{
    return machine->state == PM_MACHINE_UP && machine->type >= 0 && machine->zone >= 0 &&
           !machine->shard.owner && machine->provider.rented_at > 0;
}

static void note_overdue(struct pm_autoscaler *autoscaler, const struct pm_machine *machine,
                         double now)
{
    struct pm_kind_boots *boots;

    if (!is_booting(machine) || pm_scheduler_is_boot_expected(autoscaler->tables, machine, now))
        return;
    boots = &pm_autoscaler_kind_of(autoscaler, machine)->boots;
    boots->overdue++;
    boots->oldest_overdue_at = MIN(boots->oldest_overdue_at, machine->provider.rented_at);
}

static void note_up(struct pm_autoscaler *autoscaler, const struct pm_machine *machine)
{
    double rented_at = machine->provider.rented_at;
    struct pm_kind_boots *boots;

    if (!has_known_boot(machine))
        return;
    boots = &pm_autoscaler_kind_of(autoscaler, machine)->boots;
    boots->up_since += rented_at >= boots->oldest_overdue_at;
    if (machine->heartbeat.incarnation == FIRST_INCARNATION &&
        rented_at > autoscaler->handover.elected_at)
        boots->longest_s = MAX(boots->longest_s, machine->lease.incarnation_seen_at - rented_at);
}

static void reset_kind(struct pm_machine_kind *kind)
{
    kind->boots.overdue = 0;
    kind->boots.up_since = 0;
    kind->boots.oldest_overdue_at = INFINITY;
    kind->boots.longest_s = 0;
    kind->cpus = 0;
}

void pm_autoscaler_track_boots(struct pm_autoscaler *autoscaler, double now)
{
    const struct pm_name_tables *tables = autoscaler->tables;
    GPtrArray *machines = pm_workers_all(autoscaler->workers);

    for (int type = 0; type < tables->type_count; type++)
        for (int zone = 0; zone < tables->settings->zone_count; zone++)
            for (int spot = 0; spot < 2; spot++)
                reset_kind(&autoscaler->kinds[type][zone][spot]);
    for (guint i = 0; i < machines->len; i++)
        if (g_ptr_array_index(machines, i))
            note_overdue(autoscaler, g_ptr_array_index(machines, i), now);
    /* After that, because it compares with the oldest overdue machine of the kind. */
    for (guint i = 0; i < machines->len; i++)
        if (g_ptr_array_index(machines, i))
            note_up(autoscaler, g_ptr_array_index(machines, i));
}

bool pm_machine_kind_is_late(const struct pm_machine_kind *kind)
{
    return kind->boots.overdue > kind->boots.up_since;
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

bool pm_autoscaler_has_boot_failed(const struct pm_autoscaler *autoscaler,
                                   const struct pm_machine *machine, double now)
{
    const struct pm_machine_provider *provider = &machine->provider;
    /* One that the inventory calls running has come up; after an election it has yet to report to
     * this leader. */
    double age_s = now - (provider->running_since ? provider->running_since : provider->rented_at);
    double ready_s;
    double longest_s;

    if (!is_booting(machine) || machine->placements->len)
        return false;
    ready_s = autoscaler->tables->types[machine->type].ready_s;
    longest_s = autoscaler->kinds[machine->type][machine->zone][machine->spot].boots.longest_s;
    if (pm_autoscaler_boot_state(autoscaler, machine, now) == PM_BOOT_STUCK)
        return age_s > MAX(STUCK_BOOTS * ready_s + STUCK_S, STUCK_LONGEST_BOOTS * longest_s);
    return age_s > LATE_BOOTS * ready_s + LATE_S;
}

int pm_autoscaler_probe_count(const struct pm_autoscaler *autoscaler, int type,
                              const struct pm_machine_kind *kind, double now)
{
    if (now - kind->boots.probed_at < autoscaler->tables->types[type].ready_s)
        return 0;
    return 1 + (int)(PROBE_SHARE * kind->boots.overdue);
}
