/* Begins and ends the faults of a schedule by applying them to the cluster and its fake services.
 *
 * Each begin_or_end function begins the fault if `begins` is true, and ends it otherwise. */
#include "soak/soak_internal.h"

#include <math.h>

#define DELAYED_MESSAGE_SHARE 0.3 /* of heartbeats, and of commands */

enum {
    MACHINES_PER_FAULT_MAX = 4,     /* machines that one fault partitions or suspends */
    CANCELLATIONS_PER_FAULT_MAX = 6 /* jobs that one fault cancels */
};

/* The controller and the first machine are selected by a fault's random number modulo their count,
 * which depends mostly on the low bits. The link fault and the number of machines are selected
 * after a division by these numbers, that is, by higher bits, so that both selections are nearly
 * independent. */
enum { LINK_FAULT_DIVISOR = 16, MACHINE_COUNT_DIVISOR = 64 };

void fault_injection_init(struct fault_injection *injection)
{
    injection->active = g_array_new(FALSE, FALSE, sizeof(struct active_fault));
}

/* Writes to the controllers' log that a fault begins or ends, with controller -1 for a fault that
 * targets no controller. */
static void log_change(const struct soak *soak, const char *change,
                       const struct active_fault *active)
{
    if (!soak->log)
        return;
    fprintf(soak->log, "soak %.2f s: %s %s, controller %d\n", soak_elapsed_s(soak), change,
            fault_kind_name(active->fault.kind), active->controller);
    fflush(soak->log);
}

/* ---- links ---- */

/* Returns one of four link faults. Three block the packets in both directions, only from the
 * controller, or only to the controller; the fourth resets connections. */
static struct relay_fault choose_link_fault(const struct fault *fault)
{
    static const struct relay_fault link_faults[] = {
        {.from_controller = true, .to_controller = true},
        {.from_controller = true},
        {.to_controller = true},
        {.reset = true}};

    return link_faults[fault->random_number / LINK_FAULT_DIVISOR % G_N_ELEMENTS(link_faults)];
}

/* Sets or clears a fault on all of the controller's links of type `link`. `targets` is the number
 * of controllers or zones for links to peers or zones (the controller has no link to itself), and 1
 * for the links to the state service and the provider. */
static void set_link_faults(struct soak *soak, const struct active_fault *active,
                            enum cluster_link link, int targets, bool begins)
{
    struct relay_fault link_fault = {0};

    if (begins)
        link_fault = choose_link_fault(&active->fault);
    for (int target = 0; target < targets; target++)
        if (link != CLUSTER_LINK_PEER || target != active->controller)
            cluster_set_link_fault(soak->cluster, active->controller, link, target, link_fault);
}

/* ---- controllers ---- */

static void begin_or_end_controller_fault(struct soak *soak, const struct active_fault *active,
                                          bool begins)
{
    if (active->fault.kind == FAULT_PAUSE)
        cluster_pause_controller(soak->cluster, active->controller, begins);
    else if (active->fault.kind == FAULT_STORE_REFUSES_CONTROLLER)
        cluster_set_store_refusal(soak->cluster, active->controller, begins);
    else if (begins)
        cluster_kill_controller(soak->cluster, active->controller);
    else
        cluster_start_controller(soak->cluster, active->controller);
}

static void begin_or_end_link_fault(struct soak *soak, const struct active_fault *active,
                                    bool begins)
{
    if (active->fault.kind == FAULT_CUT_STORE)
        set_link_faults(soak, active, CLUSTER_LINK_STORE, 1, begins);
    else if (active->fault.kind == FAULT_CUT_PEERS)
        set_link_faults(soak, active, CLUSTER_LINK_PEER, soak->settings->controller_count, begins);
    else if (active->fault.kind == FAULT_CUT_WORKERS)
        set_link_faults(soak, active, CLUSTER_LINK_ZONE, cluster_zone_count(soak->cluster), begins);
    else
        set_link_faults(soak, active, CLUSTER_LINK_PROVIDER, 1, begins);
}

/* ---- the state service ---- */

/* Delays the next transaction that contains a key with the selected prefix, or executes the delayed
 * transaction if there is one. */
static void begin_or_end_delayed_write(struct soak *soak, const struct fault *fault, bool begins)
{
    static const char *const key_prefixes[] = {"p/t/", "p/b/", "p/j/", "p/epoch"};
    struct fake_store *store = cluster_store(soak->cluster);

    if (begins)
        fake_store_delay_next_txn(store,
                                  key_prefixes[fault->random_number % G_N_ELEMENTS(key_prefixes)]);
    else if (fake_store_has_delayed_txn(store))
        fake_store_execute_delayed_txn(store);
}

/* A lost answer and a rejected watch affect only the next request, so nothing is done when these
 * faults end. */
static void begin_or_end_store_fault(struct soak *soak, const struct fault *fault, bool begins)
{
    struct fake_store *store = cluster_store(soak->cluster);

    if (fault->kind == FAULT_OUTAGE)
        fake_store_set_outage(store, begins);
    else if (fault->kind == FAULT_STORE_HANGS)
        fake_store_set_hanging(store, begins);
    else if (fault->kind == FAULT_LATE_WRITE)
        begin_or_end_delayed_write(soak, fault, begins);
    else if (fault->kind == FAULT_LOST_ANSWER && begins)
        fake_store_lose_next_answer(store);
    else if (fault->kind == FAULT_WATCH_TOO_OLD && begins)
        fake_store_reject_next_watch(store);
}

/* ---- machines and users ---- */

/* Partitions or suspends 1 to MACHINES_PER_FAULT_MAX machines, or ends the partition or
 * suspension. */
static void set_machines_unreachable(struct soak *soak, const struct fault *fault,
                                     bool is_unreachable)
{
    struct fake_provider *provider = cluster_provider(soak->cluster);
    unsigned count = 1 + fault->random_number / MACHINE_COUNT_DIVISOR % MACHINES_PER_FAULT_MAX;

    for (unsigned i = 0; i < count; i++) {
        if (fault->kind == FAULT_MACHINE_CUT)
            fake_provider_partition_machine(provider, fault->random_number + i, is_unreachable);
        else
            fake_provider_suspend_machine(provider, fault->random_number + i, is_unreachable);
    }
}

/* Records that commands are delayed until `until_s`, unless a later time is already recorded. */
static void extend_command_delays(struct soak *soak, double until_s)
{
    soak->injection.delayed_until_s = MAX(soak->injection.delayed_until_s, until_s);
}

static void begin_or_end_machine_fault(struct soak *soak, const struct active_fault *active,
                                       bool begins)
{
    struct fake_provider *provider = cluster_provider(soak->cluster);
    double share = begins ? DELAYED_MESSAGE_SHARE : 0;

    if (active->fault.kind == FAULT_LATE_MESSAGES) {
        extend_command_delays(soak, active->end_s);
        fake_provider_delay_messages(provider, share, share);
    } else if (active->fault.kind == FAULT_MACHINE_HANGS) {
        /* Commands sent to a suspended machine are executed when the machine resumes, and never
         * answered, so they count as delayed until then. The machine may resume a little later
         * than `end_s`, so the time is recorded again when the fault ends. */
        extend_command_delays(soak, begins ? active->end_s : soak_elapsed_s(soak));
        set_machines_unreachable(soak, &active->fault, begins);
    } else if (active->fault.kind == FAULT_MACHINE_CUT) {
        set_machines_unreachable(soak, &active->fault, begins);
    } else if (begins) {
        fake_provider_fail_machine(provider);
    }
}

static void cancel_jobs(struct soak *soak, const struct fault *fault)
{
    unsigned count = 1 + fault->random_number % CANCELLATIONS_PER_FAULT_MAX;

    for (unsigned i = 0; i < count; i++)
        cluster_cancel_any_job(soak->cluster, g_rand_int(soak->random));
}

/* ---- faults of all kinds ---- */

/* Logs that the fault begins or ends, and calls the function for the fault's kind. */
static void begin_or_end_fault(struct soak *soak, const struct active_fault *active, bool begins)
{
    log_change(soak, begins ? "begin" : "end", active);
    switch (active->fault.kind) {
    case FAULT_KILL:
    case FAULT_PAUSE:
    case FAULT_STORE_REFUSES_CONTROLLER:
        begin_or_end_controller_fault(soak, active, begins);
        break;
    case FAULT_CUT_STORE:
    case FAULT_CUT_PEERS:
    case FAULT_CUT_WORKERS:
    case FAULT_CUT_PROVIDER:
        begin_or_end_link_fault(soak, active, begins);
        break;
    case FAULT_OUTAGE:
    case FAULT_STORE_HANGS:
    case FAULT_LATE_WRITE:
    case FAULT_LOST_ANSWER:
    case FAULT_WATCH_TOO_OLD:
        begin_or_end_store_fault(soak, &active->fault, begins);
        break;
    case FAULT_LATE_MESSAGES:
    case FAULT_MACHINE_CUT:
    case FAULT_MACHINE_HANGS:
    case FAULT_MACHINE_FAILS:
        begin_or_end_machine_fault(soak, active, begins);
        break;
    case FAULT_CANCELLATIONS:
        if (begins)
            cancel_jobs(soak, &active->fault);
        break;
    case FAULT_KIND_COUNT:
        break;
    }
}

/* This function and the next rely on the order of enum fault_kind. */
static bool targets_controller(enum fault_kind kind)
{
    return kind <= FAULT_STORE_REFUSES_CONTROLLER;
}

static bool stops_process(enum fault_kind kind)
{
    return kind <= FAULT_PAUSE;
}

/* Returns whether a fault of the same kind is in progress on the same controller; `controller` is
 * -1 for a fault that targets no controller. Two such faults must not overlap, because the end of
 * the first would end both. Kill and pause count as the same kind. */
static bool is_fault_active(const struct soak *soak, enum fault_kind kind, int controller)
{
    const GArray *active_faults = soak->injection.active;

    for (guint i = 0; i < active_faults->len; i++) {
        const struct active_fault *active = &g_array_index(active_faults, struct active_fault, i);
        bool is_same = active->fault.kind == kind ||
                       (stops_process(active->fault.kind) && stops_process(kind));
        if (is_same && active->controller == controller)
            return true;
    }
    return false;
}

bool fault_injection_has_stopped_process(const struct soak *soak, int controller)
{
    /* Also finds FAULT_PAUSE, which counts as the same kind. */
    return is_fault_active(soak, FAULT_KILL, controller);
}

/* Returns the leader or a shard owner, according to the fault's target. If there is no leader or
 * shard owner, or the target is any controller, the fault's random number selects a controller. */
static int choose_controller(const struct soak *soak, const struct fault *fault)
{
    int controller = -1;

    if (fault->target == FAULT_TARGET_LEADER)
        controller = cluster_leader(soak->cluster);
    else if (fault->target == FAULT_TARGET_SHARD_OWNER)
        controller = cluster_first_shard_owner(soak->cluster);
    if (controller >= 0)
        return controller;
    return (int)(fault->random_number % (unsigned)soak->settings->controller_count);
}

void fault_injection_begin(struct soak *soak, const struct fault *fault)
{
    struct active_fault active = {*fault, -1, soak_elapsed_s(soak) + fault->duration_s};

    if (targets_controller(fault->kind))
        active.controller = choose_controller(soak, fault);
    if (is_fault_active(soak, fault->kind, active.controller))
        return;
    begin_or_end_fault(soak, &active, true);
    g_array_append_val(soak->injection.active, active);
}

void fault_injection_end_due(struct soak *soak, double now_s)
{
    GArray *active_faults = soak->injection.active;

    for (guint i = 0; i < active_faults->len;) {
        struct active_fault active = g_array_index(active_faults, struct active_fault, i);
        if (active.end_s > now_s) {
            i++;
            continue;
        }
        g_array_remove_index(active_faults, i);
        begin_or_end_fault(soak, &active, false);
    }
}

void fault_injection_end_all(struct soak *soak)
{
    fault_injection_end_due(soak, INFINITY);
}
