/* What is looked after by the clock: leases, machines not heard of, the ledger, the log. */
#include "base/clock.h"
#include "base/log.h"
#include "internal.h"

#include <math.h>
#include <string.h>

#define ASK_MAX 150 /* workers that are asked for a report at a time */
#define LEDGER_S 5.0
#define TELL_S 10.0

static void on_ledger_written(void *arg, enum pm_store_result result, uint64_t store_revision,
                              const cbor_item_t *failed)
{
    struct pm_controller *n = arg;

    if (result == PM_STORE_REJECTED)
        pm_error("controller.ledger_rejected", "the state service refuses p/ledger");
    if (result == PM_STORE_OK)
        n->ledger_revision = MAX(n->ledger_revision, store_revision);
    (void)failed;
    n->ledger_busy = false;
}

static void write_ledger(struct pm_controller *n, double now)
{
    struct pm_txn txn = {0};

    if (n->ledger_busy || now - n->ledger_at < LEDGER_S ||
        (pm_store_write_budget(n->store, now) < 6 && now - n->ledger_at < 2 * LEDGER_S))
        return; /* launches first, though not for long: who leads next reads it */
    n->ledger_busy = true;
    n->ledger_at = now;
    pm_txn_compare(&txn, "p/epoch", pm_election_epoch_revision(n->lead));
    /* One that is carried out late must not hide a newer one: which zones were silent would be said
     * of a time long past. */
    pm_txn_compare(&txn, "p/ledger", n->ledger_revision);
    pm_txn_put(&txn, "p/ledger");
    pm_scheduler_encode_ledger(n->plan, now, pm_clock_wall(), &txn.writes);
    pm_txn_put_end(&txn, 0);
    pm_store_commit(n->store, &txn, on_ledger_written, n);
}

/* A machine whose lease nobody can have renewed has killed its tasks, if it still is there. Counted
 * from our last answer to it, or, before we ever answered it, from the time since when no earlier
 * leader can have. */
static void judge_leases(struct pm_controller *n, double now)
{
    GPtrArray *all = pm_workers_all(n->workers);
    /* Cut off, we hear nothing because workers report to a later leader: that proves nothing, and
     * returning their machines as idle would end what runs there. */
    if (!pm_election_is_confirmed(n->lead, now))
        return;
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        double base;
        if (!m || !m->placements->len || m->shard.owner)
            continue;
        base = m->lease.lower_bound;
        if (!base && n->leading) {
            base = pm_election_lease_lower_bound(n->lead, m->lease.reclaimed_epoch);
            if (m->lease.reclaimed_epoch && isfinite(base))
                m->lease.lower_bound = base;
        }
        /* Another controller may have answered it in our stead. */
        base = MAX(base, pm_election_exclusive_since(n->lead));
        if (!pm_workers_is_lease_expired(m, base, n->settings->lease_s, now))
            continue;
        pm_info("worker.lease_expired", "%s with %u places", m->name, m->placements->len);
        pm_workers_mark_lost(n->workers, m, now);
        pm_controller_plan_soon(n);
    }
}

/* Whether the worker's answer to a command would tell something. */
static bool is_worth_asking(const struct pm_controller *n, const struct pm_machine *m, double now)
{
    bool known = m->endpoint[0] && m->provider.is_listed;
    bool silent = m->state == PM_MACHINE_UP &&
                  now - m->heartbeat.last_message_at > 1.25 * n->settings->heartbeat_s + 0.4;

    if (!m->heartbeat.is_known && known)
        return true;
    if (m->heartbeat.is_known && (m->delivery.failures || !pm_machine_is_verified(m)))
        return true; /* does it hear us, is it there at all? */
    return silent;   /* perhaps it reaches another controller only */
}

void pm_controller_probe_workers(struct pm_controller *n, double now)
{
    GPtrArray *all = pm_workers_all(n->workers);
    bool doubtful = false;
    int asked = 0;

    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m || m->state == PM_MACHINE_RELEASING || m->shard.owner)
            continue;
        doubtful |= m->push.unknown_outcome_epoch &&
                    m->heartbeat.fencing_token <= m->push.unknown_outcome_epoch &&
                    m->push.unknown_outcome_epoch >= pm_election_epoch(n->lead) &&
                    now - m->heartbeat.last_message_at < 3;
        /* A worker that has not come to us yet is asked: the answer is its report, and it learns
         * our token. A wrong session is refused, with the report all the same. */
        if (asked >= ASK_MAX)
            continue; /* the others are asked next time: not all workers at once */
        if (is_worth_asking(n, m, now))
            pm_controller_push_commands(n, m, true);
        asked += m->push.in_flight != 0;
    }
    if (doubtful && n->leading && now - n->raised_at > 6) {
        n->raised_at = now;
        pm_election_advance_epoch(n->lead, NULL,
                                  0); /* ends the doubt: late copies of the old token die */
    }
}

static void count_machine(struct pm_controller *n, const struct pm_machine *m,
                          struct pm_controller_counts *counts, double now)
{
    counts->up += m->state == PM_MACHINE_UP && !m->shard.owner;
    counts->booting += m->state == PM_MACHINE_BOOTING;
    counts->lent += m->shard.owner > 0;
    counts->silent += m->state == PM_MACHINE_UP && !m->shard.owner &&
                      pm_machine_missed_heartbeat(m, n->settings, now);
    if (m->state != PM_MACHINE_UP)
        return;
    counts->cpus += n->tables.types[m->type].cpus;
    counts->idle += m->shard.owner ? 0 : m->free.cpus;
}

static void count_job(const struct pm_job *job, struct pm_controller_counts *counts)
{
    uint32_t done;
    uint32_t running;

    if (job->delegated && job->spec) {
        pm_job_count_tasks(job, &done, &running);
        counts->placed += running;
        counts->delegated += job->task_count - MIN(job->task_count, done + running);
    } else {
        counts->placed += job->work.placed_count;
        counts->waiting += pm_job_waiting_tasks(job);
    }
}

struct pm_controller_counts pm_controller_count(struct pm_controller *n, double now)
{
    GPtrArray *all = pm_workers_all(n->workers);
    GPtrArray *active = pm_jobs_active(n->jobs);
    struct pm_controller_counts counts = {.live = active->len};

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        if (m && m->type >= 0)
            count_machine(n, m, &counts, now);
    }
    for (guint i = 0; i < active->len; i++)
        count_job(g_ptr_array_index(active, i), &counts);
    return counts;
}

/* What there is and what waits, for whoever reads the log. */
static void tell_state(struct pm_controller *n, double now)
{
    struct pm_controller_counts counts;

    if (now - n->told_at < TELL_S)
        return;
    n->told_at = now;
    counts = pm_controller_count(n, now);
    pm_info("controller.state",
            "machines up %d (%d silent), leased out %d, booting %d; cpus %.0f, idle %.0f; jobs %u, "
            "tasks placed %u, waiting %u, at holders %u",
            counts.up, counts.silent, counts.lent, counts.booting, counts.cpus, counts.idle,
            counts.live, counts.placed, counts.waiting, counts.delegated);
    pm_scheduler_log_quota_usage(n->plan);
}

void pm_controller_on_reconcile_timer(struct ev_loop *loop, ev_timer *w, int events)
{
    struct pm_controller *n = w->data;
    double now = pm_clock_monotonic();

    (void)loop;
    (void)events;
    pm_controller_tick_links(n, now);
    pm_controller_tick_roles(n, now);
    if (!n->tables.type_count && pm_store_is_ready(n->store))
        pm_autoscaler_request_machine_types(n->fleet, now);
    if (n->ruling) {
        judge_leases(n, now);
        pm_controller_probe_workers(n, now);
        pm_controller_push_all_commands(n);
        if (n->leading)
            write_ledger(n, now);
        if (n->leading)
            tell_state(n, now);
        if (n->leading)
            pm_controller_yield_lead_if_unfit(n, now);
        pm_controller_plan_soon(n);
    }
}
