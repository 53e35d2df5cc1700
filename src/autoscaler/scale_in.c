/* Which machines are to go back, and why. */
#include "autoscaler/internal.h"
#include "base/clock.h"
#include "base/log.h"
#include "workers/failures.h"

#include <math.h>

#define OUTAGE_KEEP_S 120
#define SETTLE_S 3.0     /* after taking the lead: workers come over meanwhile */
#define SILENT_S 5.0     /* a machine that is silent for longer may be given up */
#define FLOW_KEEP_S 60.0 /* idle machines that the stream will want again are kept for so long */
#define FEW 50           /* on a larger fleet, idle machines go back sooner */
#define IDLE_LEAST 0.28  /* of the operators' time, at least */
#define LEAST_AGE_S 60   /* a machine costs that much at least */

static void give_back(struct pm_machine *m, const char *why)
{
    pm_info("autoscaler.scale_in", "%s: %s", m->name, why);
    m->state = PM_MACHINE_RELEASING;
    m->provider.terminate_retry_at = 0;
}

/* A zone that was cut off before this leader came: nothing there ever reported to it, so it knows
 * no lease's begin, and would wait for one from its own. What the leader before heard last tells
 * when the leases there have run out, unless somebody there renewed them; a confirmed release makes
 * sure. */
static void give_up_zones(struct pm_autoscaler *f, const bool *reported, double now)
{
    GPtrArray *all = pm_workers_all(f->workers);
    double over = f->tables->settings->lease_s * (1 + 2 * PM_CLOCK_DRIFT_MAX) + 0.5;
    bool any = false;

    /* Nobody heard at all, or not yet: that is this controller's trouble, not a zone's. */
    for (int z = 0; z < f->tables->settings->zone_count; z++)
        any |= reported[z];
    if (!any || now - f->took_at < SETTLE_S)
        return;
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        if (m && m->state == PM_MACHINE_UP && m->zone >= 0 && !m->shard.owner &&
            m->placements->len && !reported[m->zone] && f->zone_heard[m->zone] > 0 &&
            now - f->zone_heard[m->zone] > over)
            give_back(m, "its zone has been silent for a lease");
    }
}

/* Why the machine is of no use though it is heard of; NULL: it is not so. What we heard last of one
 * that is lent says nothing: it reports to its holder. */
static const char *why_lost(const struct pm_autoscaler *f, const struct pm_machine *m, double now)
{
    if (m->shard.owner)
        return NULL;
    if (pm_machine_is_unreachable(m, now))
        return "does not hear us, while its zone does";
    if (pm_machine_is_not_reporting(m, f->tables->settings, now))
        return "reports to nobody, while its zone does";
    return NULL;
}

/* A machine that is silent, and was asked in vain, while others of its zone are heard has died,
 * hangs or is cut off. Its release, confirmed, proves its tasks gone long before its lease would,
 * and they start elsewhere; of a machine that was only cut off, little more than the blink of a
 * restart is lost. Where most of a zone are silent at once it is the network, and waiting is
 * better. */
static void give_up_silent(struct pm_autoscaler *f, double now)
{
    GPtrArray *all = pm_workers_all(f->workers);
    double limit = MAX(SILENT_S, 1.25 * f->tables->settings->heartbeat_s + 2.4);
    GPtrArray *silent;
    int heard[PM_ZONES_MAX] = {0};
    int missed[PM_ZONES_MAX] = {0};
    bool reported[PM_ZONES_MAX] = {0};

    if (!f->writable)
        return;
    silent = g_ptr_array_new();
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        double since;
        if (!m || m->state != PM_MACHINE_UP || m->zone < 0)
            continue;
        reported[m->zone] |= m->heartbeat.is_known;
        /* Of one that is lent, its holder tells. */
        since = m->shard.owner
                    ? (now - m->shard.reported_silent_at < 2 ? m->shard.silent_since : now)
                    : m->heartbeat.last_message_at;
        if (why_lost(f, m, now)) { /* its tasks end with its lease, whatever still comes of it or
                                      arrives there */
            missed[m->zone]++;
            g_ptr_array_add(silent, m);
            continue;
        }
        if (now - since < limit * 0.6) {
            heard[m->zone]++;
            continue;
        }
        missed[m->zone]++;
        if ((m->shard.owner ||
             (m->placements->len &&
              MAX(m->push.failed_at, m->heartbeat.last_stale_at) > m->heartbeat.last_message_at)) &&
            now - since > (m->shard.owner ? limit * 0.6 : limit))
            g_ptr_array_add(silent, m);
    }
    /* However many they are: by its zone alone is the network told from deaths. */
    for (guint i = 0; i < silent->len; i++) {
        struct pm_machine *m = g_ptr_array_index(silent, i);
        const char *why = why_lost(f, m, now);
        if (missed[m->zone] <= heard[m->zone])
            give_back(m, why ? why : "silent, while its zone is heard");
    }
    g_ptr_array_free(silent, TRUE);
    give_up_zones(f, reported, now);
}

/* What comes next is the less certain the fewer machines share it: of many, the swings even out as
 * the root of their number, and what idles is the fleet's excess rather than one job's gap. */
double pm_autoscaler_idle_timeout_s(const struct pm_operator_settings *op, int machines)
{
    return op->idle_return_s * CLAMP(sqrt((double)FEW / MAX(machines, 1)), IDLE_LEAST, 1);
}

/* Why a machine is to be returned that is not there, or never was: NULL, it is to stay. */
static const char *why_gone(const struct pm_autoscaler *f, const struct pm_machine *m, double now)
{
    if (m->provider.has_failed)
        return "failed";
    /* Taken or dead: the confirmed release proves it at once, sooner than its lease. */
    if (m->provider.absent_since && m->state == PM_MACHINE_UP &&
        (m->shard.owner ||
         now - m->heartbeat.last_message_at > 1.3 * f->tables->settings->heartbeat_s + 1))
        return "no longer listed, and silent";
    if (pm_autoscaler_has_boot_failed(f, m, now))
        return "does not come up";
    if (!m->shard.owner && m->state == PM_MACHINE_UP && m->placements->len == 0 &&
        now - m->heartbeat.last_message_at > 2 * f->tables->settings->lease_s + 20)
        return "silent and empty";
    return NULL;
}

/* Whether an idle machine is kept all the same: for the stream of array work, or for services.
 * What is returned is taken off both. */
static bool is_kept(struct pm_autoscaler *f, const struct pm_machine *m, double *spare, double now)
{
    if (m->spot) {
        if (now - m->provider.idle_since < FLOW_KEEP_S &&
            f->spot_cpus - m->free.cpus < pm_autoscaler_steady_demand_cpus(f, now))
            return true;
        f->spot_cpus -= m->free.cpus;
        return false;
    }
    if (*spare - m->free.cpus < f->spare_want)
        return true;
    *spare -= m->free.cpus;
    return false;
}

/* Why a machine that is there is to be returned: NULL, it is to stay. */
static const char *why_unused(struct pm_autoscaler *f, struct pm_machine *m, double idle_s,
                              double *spare, double now)
{
    bool waits = pm_scheduler_unmet_demand(f->plan)->len > 0;

    if (m->reservation.draining && waits &&
        (m->placements->len || now - m->provider.rented_at < LEAST_AGE_S))
        m->reservation.draining = false; /* it is needed after all */
    if (m->state != PM_MACHINE_UP || m->placements->len) {
        m->provider.idle_since = 0;
        return NULL;
    }
    /* While nothing can be placed, that a machine idles says nothing about its use: what waits will
     * want it as soon as the state service is back. Not for ever, though. */
    if (!m->provider.idle_since || (!f->writable && now - f->wrote_at < OUTAGE_KEEP_S))
        m->provider.idle_since = now;
    if (m->reservation.draining)
        return "emptied";
    if (pm_failures_is_machine_faulty(m))
        return "its tasks keep failing";
    if (now - m->provider.idle_since < idle_s || now - m->provider.rented_at < LEAST_AGE_S)
        return NULL;
    return is_kept(f, m, spare, now) ? NULL : "idle";
}

void pm_autoscaler_mark_scale_in(struct pm_autoscaler *f, double now)
{
    GPtrArray *all = pm_workers_all(f->workers);
    double idle_s;
    int machines = 0;
    double spare = pm_scheduler_headroom_cpus(f->plan, now);

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        machines += m && m->state != PM_MACHINE_RELEASING;
    }
    idle_s = pm_autoscaler_idle_timeout_s(f->op, machines);
    give_up_silent(f, now);
    if (!pm_scheduler_unmet_demand(f->plan)->len && now - f->emptied > 1) {
        f->emptied = now;
        pm_scheduler_consolidate(f->plan, now);
    }
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        const char *why;
        if (!m || m->state == PM_MACHINE_RELEASING)
            continue;
        why = why_gone(f, m, now);
        if (!why && !m->shard.owner)
            why = why_unused(f, m, idle_s, &spare, now);
        if (why)
            give_back(m, why);
    }
}
