/* What the duties slice rests on, and what follows from it. */
#include "base/clock.h"
#include "base/log.h"
#include "base/protocol.h"
#include "internal.h"

#include <stdio.h>

#define CLEAN_S 1.0 /* between two looks through the stored keys */

enum { CLEAN_SPARE = 6 }; /* changes that stay free in the write budget */

static void on_taken(void *arg)
{
    pm_controller_plan_soon(arg); /* the fleet finishes what is open */
}

/* Renting and returning follow the lead: who is to give them up leaves it. */
static void on_drained(void *arg, enum pm_role duty)
{
    struct pm_controller *n = arg;

    if (duty != PM_ROLE_GARBAGE_COLLECTION)
        pm_election_step_down(n->lead, "drained by an operator");
}

/* ---- cleaning ---- */

static void on_cleaned(void *arg, enum pm_store_result result, uint64_t store_revision,
                       const cbor_item_t *failed)
{
    struct pm_controller *n = arg;
    char text[32];

    (void)store_revision;
    (void)failed;
    n->clean_busy = false;
    snprintf(text, sizeof text, "status %d", result);
    pm_roles_log_action(n->duties, PM_ROLE_GARBAGE_COLLECTION, "cleaned", "stored keys", text);
}

/* Takes away some keys that nobody needs; the transaction refuses a holder that was replaced. */
static void clean(struct pm_controller *n, double now)
{
    int most = MIN(pm_store_write_budget(n->store, now) - CLEAN_SPARE, n->settings->store_txn_ops);
    uint64_t token = pm_roles_token(n->duties, PM_ROLE_GARBAGE_COLLECTION);
    struct pm_txn txn = {0};

    if (n->clean_busy || now - n->clean_at < CLEAN_S || most < 1 ||
        !pm_roles_holds(n->duties, PM_ROLE_GARBAGE_COLLECTION, now))
        return;
    n->clean_at = now;
    pm_txn_compare(&txn, PM_ROLE_KEY_PREFIX "clean", token);
    if (!pm_gc_add_due_deletes(n->clean, &txn, most, now)) {
        pm_txn_free(&txn);
        return;
    }
    n->clean_busy = true;
    pm_store_commit(n->store, &txn, on_cleaned, n);
}

void pm_controller_tick_roles(struct pm_controller *n, double now)
{
    struct pm_roles_conditions grounds = {
        .is_supported = pm_election_protocol_version(n->lead) >= PM_PROTOCOL_ROLES,
        .is_leader = n->leading,
        .epoch_revision = n->leading ? pm_election_epoch_revision(n->lead) : 0,
    };

    pm_roles_tick(n->duties, &grounds, now);
    clean(n, now);
}

void pm_controller_init_roles(struct pm_controller *n)
{
    const struct pm_roles_setting *setting = &n->op->roles;
    struct pm_audit_log *record = NULL;
    char err[512];

    if (setting->audit_log_dir[0]) {
        record =
            pm_audit_log_new(setting->audit_log_dir, n->settings->name, setting->audit_log_period_s,
                             setting->audit_log_mb, err, sizeof err);
        if (!record) /* the service goes on without */
            pm_error("audit_log.error", "%s", err);
    }
    n->duties = pm_roles_new(n->store, n->settings, setting, pm_election_incarnation_id(n->lead),
                             n->trace, record, &(struct pm_roles_hooks){on_taken, on_drained, n});
    pm_autoscaler_set_duties(n->fleet, n->duties);
    n->clean = pm_gc_new(n->settings, setting->gc_after_s);
}
