/* What is looked after by the clock: leases of workers, workers that are not heard, the stored
 * ledger (p/ledger), and the log of the state. Runs in the event-loop thread every
 * PM_CONTROLLER_RECONCILE_S. */
#include "base/keys.h"
#include "base/clock.h"
#include "base/log.h"
#include "internal.h"

#include <math.h>

#define LEDGER_INTERVAL_S 5.0
#define LOG_INTERVAL_S 10.0
#define ADVANCE_EPOCH_INTERVAL_S 6.0 /* for unknown outcomes of launches */
#define RECENT_MESSAGE_S 3.0
/* A worker is asked once its heartbeat is late by this factor and this span. */
#define LATE_HEARTBEAT_FACTOR 1.25
#define LATE_HEARTBEAT_S 0.4

enum {
    PROBES_MAX = 150,       /* workers that are asked at a time */
    LEDGER_WRITE_BUDGET = 6 /* changes that have to be free for the ledger, at first */
};

/* ---- the stored ledger ---- */

static void on_ledger_written(void *arg, enum pm_store_result result, uint64_t store_revision,
                              const cbor_item_t *conflicting_keys)
{
    struct pm_controller *controller = arg;
    struct pm_controller_ledger *ledger = &controller->ledger;

    (void)conflicting_keys;
    if (result == PM_STORE_REJECTED)
        pm_error("controller.ledger_rejected", "the state service refuses p/ledger");
    if (result == PM_STORE_OK)
        ledger->revision = MAX(ledger->revision, store_revision);
    ledger->write_in_flight = false;
}

/* Launches come first in the write budget, though not for long: the next leader reads the ledger.
 */
static bool is_ledger_due(struct pm_controller *controller, double now)
{
    const struct pm_controller_ledger *ledger = &controller->ledger;
    double age_s = now - ledger->written_at;

    if (ledger->write_in_flight || age_s < LEDGER_INTERVAL_S)
        return false;
    return pm_store_write_budget(controller->store, now) >= LEDGER_WRITE_BUDGET ||
           age_s >= 2 * LEDGER_INTERVAL_S;
}

static void write_ledger(struct pm_controller *controller, double now)
{
    struct pm_txn txn = {0};

    if (!is_ledger_due(controller, now))
        return;
    controller->ledger.write_in_flight = true;
    controller->ledger.written_at = now;
    pm_txn_compare(&txn, PM_KEY_EPOCH, pm_election_epoch_revision(controller->election));
    /* A write that is carried out late must not replace a newer one: it would say of a time long
     * past which zones were silent. */
    pm_txn_compare(&txn, PM_KEY_LEDGER, controller->ledger.revision);
    pm_txn_put(&txn, PM_KEY_LEDGER);
    pm_scheduler_encode_ledger(controller->scheduler, now, pm_clock_wall(), &txn.writes);
    pm_txn_put_end(&txn, 0);
    pm_store_commit(controller->store, &txn, on_ledger_written, controller);
}

/* ---- workers' leases ---- */

/* Monotonic time since when no other controller can have renewed the machine's lease; 0: unknown,
 * and INFINITY: not yet. */
static double lease_lower_bound(struct pm_controller *controller, struct pm_machine *machine)
{
    struct pm_machine_lease *lease = &machine->lease;
    double bound = lease->exclusive_since;

    if (!bound && controller->is_leader) {
        bound = pm_election_lease_lower_bound(controller->election, lease->reclaimed_epoch);
        if (lease->reclaimed_epoch && isfinite(bound))
            lease->exclusive_since = bound;
    }
    return MAX(bound, pm_election_exclusive_since(controller->election));
}

/* A worker whose lease nobody can have renewed has killed its tasks, if it still runs. The lease
 * counts from our last answer to it, or, before we ever answered it, from the lower bound. */
static void expire_leases(struct pm_controller *controller, double now)
{
    GPtrArray *machines = pm_workers_all(controller->workers);

    /* Cut off, we hear nothing because workers report to a later leader: that proves nothing, and
     * terminating their machines as idle would end what runs there. */
    if (!pm_election_is_confirmed(controller->election, now))
        return;
    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        double bound;
        if (!machine || !machine->placements->len || machine->shard.owner)
            continue;
        bound = lease_lower_bound(controller, machine);
        if (!pm_workers_is_lease_expired(machine, bound, controller->settings->lease_s, now))
            continue;
        pm_info("worker.lease_expired", "%s with %u placements", machine->name,
                machine->placements->len);
        pm_workers_mark_lost(controller->workers, machine, now);
        pm_controller_plan_soon(controller);
    }
}

/* ---- workers that are not heard ---- */

/* Whether the worker's answer to a command would tell something. */
static bool is_worth_probing(const struct pm_controller *controller,
                             const struct pm_machine *machine, double now)
{
    double late_s = LATE_HEARTBEAT_FACTOR * controller->settings->heartbeat_s + LATE_HEARTBEAT_S;

    if (!machine->heartbeat.is_known && machine->endpoint[0] && machine->provider.is_listed)
        return true;
    /* Does it receive what we send, and is it there at all? */
    if (machine->heartbeat.is_known &&
        (machine->delivery.failures || !pm_machine_is_verified(machine)))
        return true;
    /* It may reach another controller only. */
    return machine->state == PM_MACHINE_UP && now - machine->heartbeat.last_message_at > late_s;
}

/* Whether a launch to the machine may still be carried out, and a later token would prevent that.
 */
static bool has_unknown_outcome(const struct pm_controller *controller,
                                const struct pm_machine *machine, double now)
{
    uint64_t epoch = machine->push.unknown_outcome_epoch;

    return epoch && machine->heartbeat.fencing_token <= epoch &&
           epoch >= pm_election_epoch(controller->election) &&
           now - machine->heartbeat.last_message_at < RECENT_MESSAGE_S;
}

void pm_controller_probe_workers(struct pm_controller *controller, double now)
{
    GPtrArray *machines = pm_workers_all(controller->workers);
    bool is_outcome_unknown = false;
    int probes = 0;

    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (!machine || machine->state == PM_MACHINE_TERMINATING || machine->shard.owner)
            continue;
        is_outcome_unknown |= has_unknown_outcome(controller, machine, now);
        if (probes >= PROBES_MAX)
            continue; /* the next time: not all workers at once */
        /* The answer is the worker's report, and brings it our token; it comes even where the
         * incarnation does not match. */
        if (is_worth_probing(controller, machine, now))
            pm_controller_push_commands(controller, machine, true);
        probes += machine->push.in_flight != 0;
    }
    if (is_outcome_unknown && controller->is_leader &&
        now - controller->epoch_advanced_at > ADVANCE_EPOCH_INTERVAL_S) {
        controller->epoch_advanced_at = now;
        pm_election_advance_epoch(controller->election, NULL, 0);
    }
}

/* ---- the log of the state ---- */

static void count_machine(struct pm_controller *controller, const struct pm_machine *machine,
                          struct pm_controller_counts *counts, double now)
{
    counts->machines_up += machine->state == PM_MACHINE_UP && !machine->shard.owner;
    counts->machines_booting += machine->state == PM_MACHINE_BOOTING;
    counts->machines_leased += machine->shard.owner > 0;
    counts->machines_silent += machine->state == PM_MACHINE_UP && !machine->shard.owner &&
                               pm_machine_missed_heartbeat(machine, controller->settings, now);
    if (machine->state != PM_MACHINE_UP)
        return;
    counts->cpus += controller->tables.types[machine->type].cpus;
    counts->idle_cpus += machine->shard.owner ? 0 : machine->free.cpus;
}

static void count_job(const struct pm_job *job, struct pm_controller_counts *counts)
{
    uint32_t done;
    uint32_t running;

    if (job->delegated && job->spec) {
        pm_job_count_tasks(job, &done, &running);
        counts->tasks_placed += running;
        counts->tasks_delegated += job->task_count - MIN(job->task_count, done + running);
    } else {
        counts->tasks_placed += job->work.placed_count;
        counts->tasks_waiting += pm_job_waiting_tasks(job);
    }
}

struct pm_controller_counts pm_controller_count(struct pm_controller *controller, double now)
{
    GPtrArray *all = pm_workers_all(controller->workers);
    GPtrArray *active = pm_jobs_active(controller->jobs);
    struct pm_controller_counts counts = {.jobs = active->len};

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(all, i);
        if (machine && machine->type >= 0)
            count_machine(controller, machine, &counts, now);
    }
    for (guint i = 0; i < active->len; i++)
        count_job(g_ptr_array_index(active, i), &counts);
    return counts;
}

static void log_state(struct pm_controller *controller, double now)
{
    struct pm_controller_counts counts;

    if (now - controller->state_logged_at < LOG_INTERVAL_S)
        return;
    controller->state_logged_at = now;
    counts = pm_controller_count(controller, now);
    pm_info("controller.state",
            "machines up %d (%d silent), leased out %d, booting %d; cpus %.0f, idle %.0f; jobs %u, "
            "tasks placed %u, waiting %u, at owners of shards %u",
            counts.machines_up, counts.machines_silent, counts.machines_leased,
            counts.machines_booting, counts.cpus, counts.idle_cpus, counts.jobs,
            counts.tasks_placed, counts.tasks_waiting, counts.tasks_delegated);
    pm_scheduler_log_quota_usage(controller->scheduler);
}

/* What an active controller looks after. */
static void reconcile(struct pm_controller *controller, double now)
{
    expire_leases(controller, now);
    pm_controller_probe_workers(controller, now);
    pm_controller_push_all_commands(controller);
    if (controller->is_leader) {
        write_ledger(controller, now);
        log_state(controller, now);
        pm_controller_yield_lead_if_unfit(controller, now);
    }
    pm_controller_plan_soon(controller);
}

void pm_controller_on_reconcile_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    struct pm_controller *controller = watcher->data;
    double now = pm_clock_monotonic();

    (void)loop;
    (void)events;
    pm_controller_tick_links(controller, now);
    pm_controller_tick_roles(controller, now);
    if (!controller->tables.type_count && pm_store_is_ready(controller->store))
        pm_autoscaler_request_machine_types(controller->autoscaler, now);
    if (controller->is_active)
        reconcile(controller, now);
}
