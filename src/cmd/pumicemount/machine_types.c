/* The machine types: learns them from the provider or from p/types, whichever answers first, and
 * stores the provider's list. Runs in the event-loop thread. */
#include "base/keys.h"
#include "base/log.h"
#include "internal.h"

/* Decodes the list of machine types, and resolves their names in the jobs that were read before.
 * Returns false if the list is empty or malformed. */
static bool learn_types(struct pm_controller *controller, const cbor_item_t *models,
                        const char *source)
{
    int known_before = controller->tables.type_count;
    unsigned resolved;

    if (!pm_machine_types_decode(&controller->tables, models)) {
        pm_error("autoscaler.machine_types", "%s: the list of machine types is empty or malformed",
                 source);
        return false;
    }
    resolved = pm_jobs_resolve_types(controller->jobs);
    if (controller->tables.type_count != known_before)
        pm_info("autoscaler.machine_types_known",
                "%s: %d machine types are known, %d before; %u active jobs were read until now, "
                "and %u of them had named types that were not known",
                source, controller->tables.type_count, known_before,
                pm_jobs_active(controller->jobs)->len, resolved);
    return true;
}

static void on_machine_types_written(void *arg, enum pm_store_result result,
                                     uint64_t store_revision, const cbor_item_t *conflicting_keys)
{
    struct pm_controller *controller = arg;

    (void)result;
    (void)store_revision;
    (void)conflicting_keys;
    controller->machine_types.write_in_flight = false;
}

/* Writes the machine types to the state service, for controllers that start during an outage of the
 * provider. */
static void store_machine_types(struct pm_controller *controller, const cbor_item_t *models)
{
    struct pm_txn txn = {0};

    controller->machine_types.write_in_flight = true;
    pm_txn_compare(&txn, PM_KEY_EPOCH, pm_election_epoch_revision(controller->election));
    pm_txn_compare(&txn, PM_KEY_MACHINE_TYPES, 0);
    pm_txn_put_begin(&txn, PM_KEY_MACHINE_TYPES);
    pm_cbor_put_item(&txn.writes, models);
    pm_txn_put_end(&txn, 0);
    pm_store_commit(controller->store, &txn, on_machine_types_written, controller);
}

void pm_controller_apply_provider_types(void *arg, const cbor_item_t *models)
{
    struct pm_controller *controller = arg;

    if (!learn_types(controller, models, "the provider"))
        return;
    pm_controller_plan_soon(controller);
    if (controller->is_leader && !controller->machine_types.write_in_flight &&
        !controller->machine_types.revision)
        store_machine_types(controller, models);
}

void pm_controller_apply_stored_types(struct pm_controller *controller, const cbor_item_t *models,
                                      uint64_t revision)
{
    controller->machine_types.revision = revision;
    if (!controller->tables.type_count)
        learn_types(controller, models, "p/types");
}
