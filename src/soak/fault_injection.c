/* Begins and ends the faults of a schedule: sets them at the cluster and its fake services. */
#include "soak/soak_internal.h"

#include <math.h>

#define DELAYED_MESSAGE_SHARE 0.3 /* of heartbeats and of commands */

enum {
    MACHINES_AT_ONCE_MAX = 4, /* that one fault partitions or suspends */
    CANCELLATIONS_MAX = 6     /* jobs that one fault cancels */
};

/* A fault's random number `choice` is divided by these before a link fault or a number of machines
 * is selected with it. The low bits, which select the controller or the first machine, then have
 * little influence on that selection. */
enum { LINK_FAULT_DIVISOR = 16, MACHINE_COUNT_DIVISOR = 64 };

void fault_injection_init(struct fault_injection *injection)
{
    injection->active = g_array_new(FALSE, FALSE, sizeof(struct active_fault));
}

/* Writes to the controllers' log that a fault begins or ends. */
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

/* Returns one of four link faults: packets are blocked in both directions, only from the controller
 * or only to it, or connections are reset. */
static struct relay_fault choose_link_fault(const struct fault *fault)
{
    static const struct relay_fault link_faults[] = {
        {.from_controller = true, .to_controller = true},
        {.from_controller = true},
        {.to_controller = true},
        {.reset = true}};

    return link_faults[fault->choice / LINK_FAULT_DIVISOR % G_N_ELEMENTS(link_faults)];
}

/* Sets or clears the fault of all links of that type at the controller. `targets` is the number of
 * peers or zones that such links lead to; 1 for other types. */
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

/* This and the other switch_ functions begin the fault if `begins`, otherwise they end it. */
static void switch_controller_fault(struct soak *soak, const struct active_fault *active,
                                    bool begins)
{
    if (active->fault.kind == FAULT_PAUSE)
        cluster_pause_controller(soak->cluster, active->controller, begins);
    else if (active->fault.kind == FAULT_REFUSED_ALONE)
        cluster_set_store_refusal(soak->cluster, active->controller, begins);
    else if (begins)
        cluster_kill_controller(soak->cluster, active->controller);
    else
        cluster_start_controller(soak->cluster, active->controller);
}

static void switch_link_fault(struct soak *soak, const struct active_fault *active, bool begins)
{
    if (active->fault.kind == FAULT_CUT_STORE)
        set_link_faults(soak, active, CLUSTER_LINK_STORE, 1, begins);
    else if (active->fault.kind == FAULT_CUT_PEERS)
        set_link_faults(soak, active, CLUSTER_LINK_PEER, soak->settings->controller_count, begins);
    else if (active->fault.kind == FAULT_CUT_WORKERS)
        set_link_faults(soak, active, CLUSTER_LINK_ZONE, CLUSTER_ZONES, begins);
    else
        set_link_faults(soak, active, CLUSTER_LINK_PROVIDER, 1, begins);
}

/* ---- the state service ---- */

static void switch_delayed_write(struct soak *soak, const struct fault *fault, bool begins)
{
    static const char *const keys[] = {"p/t/", "p/b/", "p/j/", "p/epoch"};
    struct fake_store *store = cluster_store(soak->cluster);

    if (begins)
        fake_store_delay_next_txn(store, keys[fault->choice % G_N_ELEMENTS(keys)]);
    else if (fake_store_has_delayed_txn(store))
        fake_store_execute_delayed_txn(store);
}

/* A lost answer and a refused watch affect only the next request, so their end changes nothing. */
static void switch_store_fault(struct soak *soak, const struct fault *fault, bool begins)
{
    struct fake_store *store = cluster_store(soak->cluster);

    if (fault->kind == FAULT_OUTAGE)
        fake_store_set_outage(store, begins);
    else if (fault->kind == FAULT_STORE_HANGS)
        fake_store_set_hanging(store, begins);
    else if (fault->kind == FAULT_LATE_WRITE)
        switch_delayed_write(soak, fault, begins);
    else if (fault->kind == FAULT_LOST_ANSWER && begins)
        fake_store_lose_next_answer(store);
    else if (fault->kind == FAULT_WATCH_TOO_OLD && begins)
        fake_store_reject_next_watch(store);
}

/* ---- machines and users ---- */

static void switch_machines(struct soak *soak, const struct fault *fault, bool begins)
{
    struct fake_provider *provider = cluster_provider(soak->cluster);
    unsigned count = 1 + fault->choice / MACHINE_COUNT_DIVISOR % MACHINES_AT_ONCE_MAX;

    for (unsigned i = 0; i < count; i++) {
        if (fault->kind == FAULT_MACHINE_CUT)
            fake_provider_partition_machine(provider, fault->choice + i, begins);
        else
            fake_provider_suspend_machine(provider, fault->choice + i, begins);
    }
}

/* Records that commands are delayed until `until_s`, or longer if that was recorded before. */
static void extend_command_delays(struct soak *soak, double until_s)
{
    soak->injection.delayed_until_s = MAX(soak->injection.delayed_until_s, until_s);
}

static void switch_machine_fault(struct soak *soak, const struct active_fault *active, bool begins)
{
    struct fake_provider *provider = cluster_provider(soak->cluster);
    double share = begins ? DELAYED_MESSAGE_SHARE : 0;

    if (active->fault.kind == FAULT_LATE_MESSAGES) {
        extend_command_delays(soak, active->end_s);
        fake_provider_delay_messages(provider, share, share);
    } else if (active->fault.kind == FAULT_MACHINE_HANGS) {
        /* Commands sent to a suspended machine are executed when it resumes, and never answered. */
        extend_command_delays(soak, begins ? active->end_s : soak_elapsed_s(soak));
        switch_machines(soak, &active->fault, begins);
    } else if (active->fault.kind == FAULT_MACHINE_CUT) {
        switch_machines(soak, &active->fault, begins);
    } else if (begins) {
        fake_provider_fail_machine(provider);
    }
}

static void cancel_jobs(struct soak *soak, const struct fault *fault)
{
    unsigned count = 1 + fault->choice % CANCELLATIONS_MAX;

    for (unsigned i = 0; i < count; i++)
        cluster_cancel_any_job(soak->cluster, g_rand_int(soak->random));
}

/* ---- faults of all kinds ---- */

/* Logs the change, and calls the function for the fault's kind. */
static void switch_fault(struct soak *soak, const struct active_fault *active, bool begins)
{
    log_change(soak, begins ? "begin" : "end", active);
    switch (active->fault.kind) {
    case FAULT_KILL:
    case FAULT_PAUSE:
    case FAULT_REFUSED_ALONE:
        switch_controller_fault(soak, active, begins);
        break;
    case FAULT_CUT_STORE:
    case FAULT_CUT_PEERS:
    case FAULT_CUT_WORKERS:
    case FAULT_CUT_PROVIDER:
        switch_link_fault(soak, active, begins);
        break;
    case FAULT_OUTAGE:
    case FAULT_STORE_HANGS:
    case FAULT_LATE_WRITE:
    case FAULT_LOST_ANSWER:
    case FAULT_WATCH_TOO_OLD:
        switch_store_fault(soak, &active->fault, begins);
        break;
    case FAULT_LATE_MESSAGES:
    case FAULT_MACHINE_CUT:
    case FAULT_MACHINE_HANGS:
    case FAULT_MACHINE_FAILS:
        switch_machine_fault(soak, active, begins);
        break;
    case FAULT_CANCELLATIONS:
        if (begins)
            cancel_jobs(soak, &active->fault);
        break;
    case FAULT_KIND_COUNT:
        break;
    }
}

static bool affects_controller(enum fault_kind kind)
{
    return kind <= FAULT_REFUSED_ALONE;
}

static bool affects_process(enum fault_kind kind)
{
    return kind <= FAULT_PAUSE;
}

/* Returns whether a fault of the same kind is in progress at that controller. Two of them must not
 * overlap: the end of the first would end both. Kill and pause count as the same kind. */
static bool is_fault_active(const struct soak *soak, enum fault_kind kind, int controller)
{
    const GArray *active_faults = soak->injection.active;

    for (guint i = 0; i < active_faults->len; i++) {
        const struct active_fault *active = &g_array_index(active_faults, struct active_fault, i);
        bool is_same = active->fault.kind == kind ||
                       (affects_process(active->fault.kind) && affects_process(kind));
        if (is_same && active->controller == controller)
            return true;
    }
    return false;
}

bool fault_injection_affects_process(const struct soak *soak, int controller)
{
    return is_fault_active(soak, FAULT_KILL, controller);
}

/* Returns the leader or a shard owner, as the fault's target says. If there is none, or the target
 * is any controller, the fault's random number selects one. */
static int choose_controller(const struct soak *soak, const struct fault *fault)
{
    int controller = -1;

    if (fault->target == FAULT_TARGET_LEADER)
        controller = cluster_leader(soak->cluster);
    else if (fault->target == FAULT_TARGET_SHARD_OWNER)
        controller = cluster_first_shard_owner(soak->cluster);
    if (controller >= 0)
        return controller;
    return (int)(fault->choice % (unsigned)soak->settings->controller_count);
}

void fault_injection_begin(struct soak *soak, const struct fault *fault)
{
    struct active_fault active = {*fault, -1, soak_elapsed_s(soak) + fault->duration_s};

    if (affects_controller(fault->kind))
        active.controller = choose_controller(soak, fault);
    if (is_fault_active(soak, fault->kind, active.controller))
        return;
    switch_fault(soak, &active, true);
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
        switch_fault(soak, &active, false);
    }
}

void fault_injection_end_all(struct soak *soak)
{
    fault_injection_end_due(soak, INFINITY);
}
