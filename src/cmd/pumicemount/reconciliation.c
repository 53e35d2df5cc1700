/* Periodic work: expiry of workers' leases, probes of workers without recent heartbeats, writes of
 * the stored ledger (p/ledger), and the log of the cluster's state. Runs in the event-loop thread
 * every PM_CONTROLLER_RECONCILE_INTERVAL_S. */
#include "base/keys.h"
#include "base/clock.h"
#include "base/log.h"
#include "internal.h"

#include <malloc.h>
#include <math.h>

#define LEDGER_INTERVAL_S 5.0
#define LOG_INTERVAL_S 10.0
#define MS_PER_S 1000
#define BYTES_PER_MB (1024 * 1024)
/* The shortest interval between advances of the epoch that make workers refuse launches whose push
 * was not answered. */
#define ADVANCE_EPOCH_INTERVAL_S 6.0
/* The epoch is advanced only for a worker whose last message is younger than this. */
#define RECENT_MESSAGE_S 3.0
/* A heartbeat is late, and the worker is probed, once no message of the worker has arrived for the
 * heartbeat interval times the factor plus the grace period. */
#define LATE_HEARTBEAT_FACTOR 1.25
#define LATE_HEARTBEAT_GRACE_S 0.4

enum {
    /* A run sends no more probes once this many of the workers that it has looked at have a push in
     * flight, so that not all workers are probed at once. */
    PUSHES_IN_FLIGHT_MAX = 150,
    /* Changes that must be left in the write budget for the ledger to be written on time. */
    LEDGER_WRITE_BUDGET_MIN = 6
};

/* ---- the stored ledger ---- */

static void on_ledger_written(void *arg, enum pm_store_result result, uint64_t store_revision,
                              const cbor_item_t *conflicting_keys)
{
    struct pm_controller *controller = arg;
    struct pm_controller_ledger *ledger = &controller->ledger;

    (void)conflicting_keys;
    if (result == PM_STORE_REJECTED)
        pm_error("controller.ledger_rejected", "the state service rejected the write of p/ledger");
    if (result == PM_STORE_OK)
        ledger->revision = MAX(ledger->revision, store_revision);
    ledger->write_in_flight = false;
}

/* Launches take precedence over the ledger in the write budget, but they delay it by one interval
 * at most, because the next leader needs it. */
static bool is_ledger_due(struct pm_controller *controller, double now)
{
    const struct pm_controller_ledger *ledger = &controller->ledger;
    double age_s = now - ledger->written_at;

    if (ledger->write_in_flight || age_s < LEDGER_INTERVAL_S)
        return false;
    return pm_store_write_budget(controller->store, now) >= LEDGER_WRITE_BUDGET_MIN ||
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
    /* A write that is applied late must not replace a newer one, because the ledger would then
     * contain an outdated record of which zones are silent. */
    pm_txn_compare(&txn, PM_KEY_LEDGER, controller->ledger.revision);
    pm_txn_put_begin(&txn, PM_KEY_LEDGER);
    pm_scheduler_encode_ledger(controller->scheduler, now, pm_clock_wall(), &txn.writes);
    pm_txn_put_end(&txn, 0);
    pm_store_commit(controller->store, &txn, on_ledger_written, controller);
}

/* ---- workers' leases ---- */

/* Returns the monotonic time since which no other controller can have renewed the machine's lease:
 * 0 if it is unknown, INFINITY if another controller may still renew it. */
static double lease_exclusive_since(struct pm_controller *controller, struct pm_machine *machine)
{
    struct pm_machine_lease *lease = &machine->lease;
    double since = lease->exclusive_since;

    if (!since && controller->is_leader) {
        since = pm_election_epoch_exclusive_since(controller->election, lease->reclaimed_epoch);
        if (lease->reclaimed_epoch && isfinite(since))
            lease->exclusive_since = since;
    }
    return MAX(since, pm_election_exclusive_since(controller->election));
}

/* Marks the placements of workers whose lease has certainly expired as lost: such a worker, if it
 * still runs, has killed its tasks. The lease runs from this controller's last answer to the
 * worker; before the first answer it runs from the time since which no other controller can have
 * renewed it. */
static void expire_leases(struct pm_controller *controller, double now)
{
    GPtrArray *machines = pm_workers_all(controller->workers);

    /* A controller that is cut off receives no heartbeats because the workers report to a later
     * leader. That does not prove that their tasks have ended, and terminating their machines as
     * idle would kill tasks that still run. */
    if (!pm_election_is_confirmed(controller->election, now))
        return;
    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        double since;
        if (!machine || !machine->placements->len || machine->shard.assigned_to)
            continue;
        since = lease_exclusive_since(controller, machine);
        if (!pm_workers_is_lease_expired(machine, since, controller->settings->lease_s, now))
            continue;
        pm_info("worker.lease_expired", "%s: its %u placements are lost", machine->name,
                machine->placements->len);
        pm_workers_mark_lost(controller->workers, machine, now);
        pm_controller_plan_soon(controller);
    }
}

/* ---- probes of workers ---- */

/* Whether the worker's answer to a probe would show something that its heartbeats do not. */
static bool should_probe(const struct pm_controller *controller, const struct pm_machine *machine,
                         double now)
{
    double late_s =
        LATE_HEARTBEAT_FACTOR * controller->settings->heartbeat_s + LATE_HEARTBEAT_GRACE_S;

    if (!machine->heartbeat.has_reported && machine->endpoint[0] && machine->provider.is_listed)
        return true;
    /* The answer shows that the worker receives what we send, and that its machine exists. */
    if (machine->heartbeat.has_reported &&
        (machine->delivery.failures || !pm_machine_is_known_to_exist(machine)))
        return true;
    /* The worker may run and reach only other controllers. */
    return machine->state == PM_MACHINE_UP && now - machine->heartbeat.last_message_at > late_s;
}

/* Whether the epoch should be advanced because of this machine: a launch whose push was not
 * answered may still reach the worker, which refuses it once it has seen a higher fencing token. */
static bool needs_epoch_advance(const struct pm_controller *controller,
                                const struct pm_machine *machine, double now)
{
    uint64_t token = machine->push.unknown_outcome_token;

    return token && machine->heartbeat.fencing_token <= token &&
           token >= pm_election_tokens(controller->election).first &&
           now - machine->heartbeat.last_message_at < RECENT_MESSAGE_S;
}

void pm_controller_probe_workers(struct pm_controller *controller, double now)
{
    GPtrArray *machines = pm_workers_all(controller->workers);
    bool is_epoch_advance_needed = false;
    int push_count = 0;

    for (guint i = 0; i < machines->len; i++) {
        struct pm_machine *machine = g_ptr_array_index(machines, i);
        if (!machine || machine->state == PM_MACHINE_TERMINATING || machine->shard.assigned_to)
            continue;
        is_epoch_advance_needed |= needs_epoch_advance(controller, machine, now);
        if (push_count >= PUSHES_IN_FLIGHT_MAX)
            continue; /* a later run probes this worker */
        /* The worker answers with its report and learns our fencing token, even if the incarnation
         * in the request is not its own. */
        if (should_probe(controller, machine, now))
            pm_controller_push_commands(controller, machine, true);
        push_count += machine->push.in_flight_number != 0;
    }
    if (is_epoch_advance_needed && controller->is_leader &&
        now - controller->epoch_advanced_at > ADVANCE_EPOCH_INTERVAL_S) {
        controller->epoch_advanced_at = now;
        pm_election_advance_epoch(controller->election, NULL, 0);
    }
}

/* ---- log of the cluster's state ---- */

static void count_machine(struct pm_controller *controller, const struct pm_machine *machine,
                          struct pm_controller_counts *counts, double now)
{
    counts->machines_up += machine->state == PM_MACHINE_UP && !machine->shard.assigned_to;
    counts->machines_booting += machine->state == PM_MACHINE_BOOTING;
    counts->machines_assigned += machine->shard.assigned_to > 0;
    counts->machines_silent += machine->state == PM_MACHINE_UP && !machine->shard.assigned_to &&
                               pm_machine_missed_heartbeat(machine, controller->settings, now);
    if (machine->state != PM_MACHINE_UP)
        return;
    counts->cpus += controller->tables.types[machine->type].cpus;
    counts->idle_cpus += machine->shard.assigned_to ? 0 : machine->free.cpus;
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

/* Returns the size of the allocated memory. */
static double heap_mb(void)
{
    struct mallinfo2 info = mallinfo2();

    return (double)(info.uordblks + info.hblkhd) / BYTES_PER_MB;
}

static void log_state(struct pm_controller *controller, double now)
{
    struct pm_controller_counts counts;

    if (now - controller->state_logged_at < LOG_INTERVAL_S)
        return;
    controller->state_logged_at = now;
    counts = pm_controller_count(controller, now);
    pm_info("controller.state",
            "machines up %d (%d silent), assigned to shards %d, booting %d; cpus %.0f, idle %.0f; "
            "active jobs %u; tasks placed %u, waiting %u, delegated to shards %u; "
            "heap %.0f MB; longest plan %.0f ms, longest autoscaler run %.0f ms",
            counts.machines_up, counts.machines_silent, counts.machines_assigned,
            counts.machines_booting, counts.cpus, counts.idle_cpus, counts.jobs,
            counts.tasks_placed, counts.tasks_waiting, counts.tasks_delegated, heap_mb(),
            controller->planning.longest_s * MS_PER_S,
            controller->autoscaler_schedule.longest_s * MS_PER_S);
    controller->planning.longest_s = 0;
    controller->autoscaler_schedule.longest_s = 0;
    pm_scheduler_log_quota_usage(controller->scheduler);
}

/* Does the periodic work of an active controller. */
static void reconcile(struct pm_controller *controller, double now)
{
    expire_leases(controller, now);
    pm_controller_probe_workers(controller, now);
    pm_controller_push_all_commands(controller);
    if (controller->is_leader) {
        write_ledger(controller, now);
        log_state(controller, now);
        pm_controller_step_down_if_unfit(controller, now);
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
