/* Machines that come late, or never.
 *
 * A machine rented now comes no sooner than one of the same kind that was rented before it and is
 * still booting. So where a whole kind is late, more of it is no replacement: another kind is, or
 * patience. Only a few more are rented, to notice when boots are well again. A single machine that
 * others have overtaken is replaced at once, and soon returned. */
#include "autoscaler/internal.h"

#include <math.h>

#define PROBE_SHARE 0.15 /* of the overdue ones of a slow kind, rented while a boot takes */
/* An overtaken machine is returned after so many times the announced boot time, and some seconds;
 * one of a slow kind may still come, and is waited for for longer. */
#define STUCK_BOOTS 3.0
#define STUCK_S 10.0
#define STUCK_LONGEST 2.0 /* nor before it has taken so many times the longest boot seen */
#define LATE_BOOTS 15.0
#define LATE_S 30.0

static bool boots(const struct pm_machine *m)
{
    return m->state == PM_MACHINE_BOOTING && m->type >= 0 && m->zone >= 0;
}

static bool is_up(const struct pm_machine *m)
{
    /* When a holder's machine was rented is not known here. */
    return m->state == PM_MACHINE_UP && m->type >= 0 && m->zone >= 0 && !m->shard.owner &&
           m->provider.rented_at > 0;
}

static void note_overdue(struct pm_autoscaler *f, const struct pm_machine *m, double now)
{
    struct kind *kind;

    if (!boots(m) || pm_scheduler_boots_soon(f->tables, m, now))
        return;
    kind = pm_autoscaler_kind_of(f, m);
    kind->overdue++;
    kind->oldest_overdue = MIN(kind->oldest_overdue, m->provider.rented_at);
}

static void note_up(struct pm_autoscaler *f, const struct pm_machine *m)
{
    struct kind *kind;

    if (!is_up(m))
        return;
    kind = pm_autoscaler_kind_of(f, m);
    kind->up_since += m->provider.rented_at >= kind->oldest_overdue;
    if (m->heartbeat.incarnation == 1 && m->provider.rented_at > f->took_at)
        kind->longest_boot =
            MAX(kind->longest_boot, m->lease.incarnation_seen_at - m->provider.rented_at);
}

void pm_autoscaler_track_boots(struct pm_autoscaler *f, double now)
{
    GPtrArray *all = pm_workers_all(f->workers);

    for (int type = 0; type < f->tables->type_count; type++)
        for (int zone = 0; zone < f->tables->settings->zone_count; zone++)
            for (int spot = 0; spot < 2; spot++) {
                struct kind *kind = &f->kind[type][zone][spot];
                kind->overdue = kind->up_since = 0;
                kind->oldest_overdue = INFINITY;
                kind->longest_boot = 0;
                kind->cpus = 0; /* summed by the sizing that follows */
            }
    for (guint i = 0; i < all->len; i++)
        if (g_ptr_array_index(all, i))
            note_overdue(f, g_ptr_array_index(all, i), now);
    for (guint i = 0; i < all->len; i++)
        if (g_ptr_array_index(all, i))
            note_up(f, g_ptr_array_index(all, i));
}

bool pm_autoscaler_is_kind_late(const struct kind *kind)
{
    return kind->overdue > kind->up_since;
}

enum boot pm_autoscaler_boot_state(const struct pm_autoscaler *f, const struct pm_machine *m,
                                   double now)
{
    if (pm_scheduler_boots_soon(f->tables, m, now))
        return BOOT_EXPECTED;
    return pm_autoscaler_is_kind_late(&f->kind[m->type][m->zone][m->spot]) ? BOOT_LATE : BOOT_STUCK;
}

bool pm_autoscaler_has_boot_failed(const struct pm_autoscaler *f, const struct pm_machine *m,
                                   double now)
{
    /* One that the list calls running has come up; after a change of leader it has yet to report
     * here. */
    double age =
        now - (m->provider.running_since ? m->provider.running_since : m->provider.rented_at);
    double ready_s;
    double longest;

    if (!boots(m) || m->placements->len)
        return false;
    ready_s = f->tables->types[m->type].ready_s;
    longest = f->kind[m->type][m->zone][m->spot].longest_boot;
    if (pm_autoscaler_boot_state(f, m, now) == BOOT_STUCK)
        return age > MAX(STUCK_BOOTS * ready_s + STUCK_S, STUCK_LONGEST * longest);
    return age > LATE_BOOTS * ready_s + LATE_S;
}

int pm_autoscaler_probe_count(const struct pm_autoscaler *f, int type, const struct kind *kind,
                              double now)
{
    if (now - kind->probed_at < f->tables->types[type].ready_s)
        return 0;
    return 1 + (int)(PROBE_SHARE * kind->overdue);
}
