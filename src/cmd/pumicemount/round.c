/* What is looked after by the clock: leases, machines not heard of, the ledger, the log. */
#include "base/clock.h"
#include "base/log.h"
#include "internal.h"

#include <math.h>
#include <string.h>

#define ASK_MAX 150 /* workers that are asked for a report at a time */
#define LEDGER_S 5.0
#define TELL_S 10.0

static void on_ledger_written(void *arg, int status, uint64_t store_revision,
                              const cbor_item_t *failed)
{
    struct pm_node *n = arg;

    if (status == 400)
        pm_error("node.ledger", "the state service refuses p/ledger");
    if (status == 200)
        n->ledger_revision = MAX(n->ledger_revision, store_revision);
    (void)failed;
    n->ledger_busy = false;
}

static void write_ledger(struct pm_node *n, double now)
{
    struct pm_txn txn = {0};

    if (n->ledger_busy || now - n->ledger_at < LEDGER_S ||
        (pm_store_room(n->store, now) < 6 && now - n->ledger_at < 2 * LEDGER_S))
        return; /* launches first, though not for long: who leads next reads it */
    n->ledger_busy = true;
    n->ledger_at = now;
    pm_txn_if(&txn, "p/epoch", pm_leader_revision(n->lead));
    /* One that is carried out late must not hide a newer one: which zones were silent would be said
     * of a time long past. */
    pm_txn_if(&txn, "p/ledger", n->ledger_revision);
    pm_txn_put(&txn, "p/ledger");
    pm_plan_write_ledger(n->plan, now, pm_clock_day(), &txn.writes);
    pm_txn_put_end(&txn, 0);
    pm_store_commit(n->store, &txn, on_ledger_written, n);
}

/* A machine whose lease nobody can have renewed has killed its tasks, if it still is there. Counted
 * from our last answer to it, or, before we ever answered it, from the time since when no earlier
 * leader can have. */
static void judge_leases(struct pm_node *n, double now)
{
    GPtrArray *all = pm_workers_all(n->workers);
    /* Cut off, we hear nothing because workers report to a later leader: that proves nothing, and
     * returning their machines as idle would end what runs there. */
    if (!pm_leader_confirmed(n->lead, now))
        return;
    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        double base;
        if (!m || !m->places->len || m->lent)
            continue;
        base = m->floor;
        if (!base && n->leading) {
            base = pm_leader_floor(n->lead, m->since_epoch);
            if (m->since_epoch && isfinite(base))
                m->floor = base;
        }
        /* Another controller may have answered it in our stead. */
        base = MAX(base, pm_leader_sure_since(n->lead));
        if (!pm_workers_lapsed(m, base, n->settings->lease_s, now))
            continue;
        pm_info("workers.lapsed", "%s with %u places", m->name, m->places->len);
        pm_workers_gone(n->workers, m, now);
        pm_node_plan_soon(n);
    }
}

/* Whether the worker's answer to a command would tell something. */
static bool is_worth_asking(const struct pm_node *n, const struct pm_machine *m, double now)
{
    bool known = m->endpoint[0] && m->listed;
    bool silent = m->state == PM_UP && now - m->heard > 1.25 * n->settings->report_s + 0.4;

    if (!m->reported && known)
        return true;
    if (m->reported && (m->unheard || !pm_workers_proven(m)))
        return true; /* does it hear us, is it there at all? */
    return silent;   /* perhaps it reaches another controller only */
}

void pm_node_find_again(struct pm_node *n, double now)
{
    GPtrArray *all = pm_workers_all(n->workers);
    bool doubtful = false;
    int asked = 0;

    for (guint i = 0; i < all->len; i++) {
        struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m || m->state == PM_RELEASING || m->lent)
            continue;
        doubtful |= m->doubtful && m->token <= m->doubtful &&
                    m->doubtful >= pm_leader_epoch(n->lead) && now - m->heard < 3;
        /* A worker that has not come to us yet is asked: the answer is its report, and it learns
         * our token. A wrong session is refused, with the report all the same. */
        if (asked >= ASK_MAX)
            continue; /* the others are asked next time: not all workers at once */
        if (is_worth_asking(n, m, now))
            pm_node_direct(n, m, true);
        asked += m->direct_busy;
    }
    if (doubtful && n->leading && now - n->raised_at > 6) {
        n->raised_at = now;
        pm_leader_raise(n->lead, NULL, 0); /* ends the doubt: late copies of the old token die */
    }
}

/* Cut off from the workers alone, a leader does nothing but let their leases lapse: another one may
 * reach them. */
static void step_down_if_unheard(struct pm_node *n, double now)
{
    GPtrArray *all = pm_workers_all(n->workers);
    double limit = MAX(3.5, 1.6 * n->settings->report_s);
    int silent = 0;
    int deaf = 0;
    int up = 0;

    if (!n->settings->peers || now - n->took_at < limit)
        return;
    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m || m->state != PM_UP || m->lent)
            continue;
        up++;
        /* An answer to a command is none: a worker whose reports come nowhere loses its lease. */
        silent += now - MAX(m->report_at, n->took_at) >= limit;
        deaf += pm_workers_deaf(m, now);
    }
    /* Any report counts, also one that an outage keeps from being answered. */
    if (silent >= 3 && now - n->report_at >= limit)
        pm_leader_step_down(n->lead, "no worker is heard");
    else if (deaf >= 3 && 2 * deaf > up && pm_leader_confirmed(n->lead, now))
        pm_leader_step_down(n->lead, "the workers do not hear us");
}

/* What there is and what waits, for whoever reads the log. */
static void tell_state(struct pm_node *n, double now)
{
    GPtrArray *all = pm_workers_all(n->workers);
    GPtrArray *active = pm_jobs_active(n->jobs);
    int up = 0;
    int booting = 0;
    int lent = 0;
    int silent = 0;
    unsigned placed = 0;
    unsigned waiting = 0;
    unsigned delegated = 0;
    double cpus = 0;
    double idle = 0;

    if (now - n->told_at < TELL_S)
        return;
    n->told_at = now;
    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *m = g_ptr_array_index(all, i);
        if (!m || m->type < 0)
            continue;
        up += m->state == PM_UP && !m->lent;
        booting += m->state == PM_BOOTING;
        lent += m->lent > 0;
        silent += m->state == PM_UP && !m->lent && pm_workers_silent(m, n->settings, now);
        if (m->state != PM_UP)
            continue;
        cpus += n->tables.type[m->type].cpus;
        idle += m->lent ? 0 : m->cpus;
    }
    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *job = g_ptr_array_index(active, i);
        uint32_t done;
        uint32_t running;
        if (job->delegated && job->spec) {
            pm_jobs_count(job, &done, &running);
            placed += running;
            delegated += job->entries - MIN(job->entries, done + running);
        } else {
            placed += job->nplaced;
            waiting += pm_job_waiting(job);
        }
    }
    pm_info("node.state",
            "machines up %d (%d silent), leased out %d, booting %d; cpus %.0f, idle %.0f; jobs %u, "
            "tasks placed %u, waiting %u, at holders %u",
            up, silent, lent, booting, cpus, idle, active->len, placed, waiting, delegated);
}

void pm_node_on_round(struct ev_loop *loop, ev_timer *w, int events)
{
    struct pm_node *n = w->data;
    double now = pm_clock_steady();

    (void)loop;
    (void)events;
    if (n->round_at && now - n->round_at > 2 * ROUND_S)
        n->late_until = now + DIRECT_S;
    n->round_at = now;
    if (!n->tables.ntypes && pm_store_ready(n->store))
        pm_fleet_ask_types(n->fleet, now);
    if (n->ruling) {
        judge_leases(n, now);
        pm_node_find_again(n, now);
        pm_node_direct_all(n);
        if (n->leading)
            write_ledger(n, now);
        if (n->leading)
            tell_state(n, now);
        if (n->leading)
            step_down_if_unheard(n, now);
        pm_node_plan_soon(n);
    }
}
