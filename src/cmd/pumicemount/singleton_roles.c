/* Runs the periodic step of the singleton roles, reacts to acquired and drained roles, and deletes
 * stored keys that are no longer used. Runs in the event-loop thread. */
#include "base/keys.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/protocol.h"
#include "internal.h"

#include <stdio.h>

#define GC_INTERVAL_S 1.0 /* between two searches for keys to delete */

/* Changes that garbage collection leaves in the write budget for other writes. */
enum { GC_RESERVED_WRITES = 6 };

static void on_role_acquired(void *arg)
{
    /* The autoscaler, which runs after the plan, completes the open intents. */
    pm_controller_plan_soon(arg);
}

/* Only the leader can have the roles scale-out and scale-in, so it steps down if an operator drains
 * one of them. */
static void on_role_drained(void *arg, enum pm_role role)
{
    struct pm_controller *controller = arg;

    if (role != PM_ROLE_GARBAGE_COLLECTION)
        pm_election_step_down(controller->election,
                              "an operator drained one of the leader's roles");
}

/* ---- garbage collection ---- */

static void on_garbage_deleted(void *arg, enum pm_store_result result, uint64_t store_revision,
                               const cbor_item_t *conflicting_keys)
{
    struct pm_controller *controller = arg;
    char detail[32];

    (void)store_revision;
    (void)conflicting_keys;
    controller->gc_run.write_in_flight = false;
    snprintf(detail, sizeof detail, "status %d", result);
    pm_roles_log_action(controller->roles, PM_ROLE_GARBAGE_COLLECTION, "cleaned", "stored keys",
                        detail);
}

/* Deletes unused keys, as many as the write budget and the limit of a transaction allow. The
 * transaction compares the role's fencing token, so it fails if this controller lost the role. */
static void collect_garbage(struct pm_controller *controller, double now)
{
    int deletes_max = MIN(pm_store_write_budget(controller->store, now) - GC_RESERVED_WRITES,
                          controller->settings->store_txn_ops);
    uint64_t token = pm_roles_token(controller->roles, PM_ROLE_GARBAGE_COLLECTION);
    struct pm_txn txn = {0};

    if (controller->gc_run.write_in_flight ||
        now - controller->gc_run.last_run_at < GC_INTERVAL_S || deletes_max < 1 ||
        !pm_roles_is_holder(controller->roles, PM_ROLE_GARBAGE_COLLECTION, now))
        return;
    controller->gc_run.last_run_at = now;
    pm_txn_compare(&txn, PM_KEY_ROLE_PREFIX "clean", token);
    if (!pm_gc_add_due_deletes(controller->gc, &txn, deletes_max, now)) {
        pm_txn_free(&txn);
        return;
    }
    controller->gc_run.write_in_flight = true;
    pm_store_commit(controller->store, &txn, on_garbage_deleted, controller);
}

void pm_controller_tick_roles(struct pm_controller *controller, double now)
{
    struct pm_election *election = controller->election;
    struct pm_roles_conditions conditions = {
        .is_supported = pm_election_protocol_version(election) >= PM_PROTOCOL_ROLES,
        .is_leader = controller->is_leader,
        .epoch_revision = controller->is_leader ? pm_election_epoch_revision(election) : 0,
    };

    pm_roles_tick(controller->roles, &conditions, now);
    collect_garbage(controller, now);
}

/* Returns NULL if the settings ask for no audit log, or if it can't be opened; the controller then
 * runs without one. */
static struct pm_audit_log *open_audit_log(const struct pm_controller *controller)
{
    const struct pm_roles_setting *setting = &controller->operator_settings->roles;
    struct pm_audit_log *audit_log;
    char err[512];

    if (!setting->audit_log_dir[0])
        return NULL;
    audit_log =
        pm_audit_log_new(setting->audit_log_dir, controller->settings->name,
                         setting->audit_log_period_s, setting->audit_log_mb, err, sizeof err);
    if (!audit_log)
        pm_error("audit_log.error", "the audit log can't be opened; running without it: %s", err);
    return audit_log;
}

void pm_controller_init_roles(struct pm_controller *controller)
{
    const struct pm_roles_setting *setting = &controller->operator_settings->roles;
    const struct pm_roles_hooks hooks = {on_role_acquired, on_role_drained, controller};

    controller->roles = pm_roles_new(controller->store, controller->settings, setting,
                                     pm_election_incarnation_id(controller->election),
                                     controller->trace, open_audit_log(controller), &hooks);
    pm_autoscaler_set_roles(controller->autoscaler, controller->roles);
    controller->gc = pm_gc_new(controller->settings, setting->gc_after_s);
}
