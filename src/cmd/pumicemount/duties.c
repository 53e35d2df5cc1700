/* What the duties slice rests on, and what follows from it. */
#include "base/clock.h"
#include "base/log.h"
#include "base/protocol.h"
#include "internal.h"

static void on_taken(void *arg)
{
    pm_node_plan_soon(arg); /* the fleet finishes what is open */
}

/* Renting and returning follow the lead: who is to give them up leaves it. */
static void on_drained(void *arg, enum pm_single_duty duty)
{
    struct pm_node *n = arg;

    if (duty != PM_SINGLE_CLEAN)
        pm_leader_step_down(n->lead, "drained by an operator");
}

void pm_node_tick_duties(struct pm_node *n, double now)
{
    struct pm_duties_grounds grounds = {
        .supported = pm_leader_protocol_version(n->lead) >= PM_PROTOCOL_DUTIES,
        .leads = n->leading,
        .epoch_revision = n->leading ? pm_leader_revision(n->lead) : 0,
    };

    pm_duties_tick(n->duties, &grounds, now);
}

void pm_node_make_duties(struct pm_node *n)
{
    const struct pm_duties_setting *setting = &n->op->duties;
    struct pm_record *record = NULL;
    char err[512];

    if (setting->record_dir[0]) {
        record = pm_record_new(setting->record_dir, n->settings->name, setting->record_period_s,
                               setting->record_mb, err, sizeof err);
        if (!record) /* the service goes on without */
            pm_error("duty.record", "%s", err);
    }
    n->duties = pm_duties_new(n->store, n->settings, setting, pm_leader_boot(n->lead), n->trace,
                              record, &(struct pm_duties_hooks){on_taken, on_drained, n});
    pm_fleet_set_duties(n->fleet, n->duties);
}
