/* Passes each change of the replica, as the state service's client reports it, to the slice that
 * owns the key. Runs in the event-loop thread. */
#include "base/keys.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/protocol.h"
#include "internal.h"

#include <string.h>

static bool has_prefix(const char *key, const char *prefix)
{
    return !strncmp(key, prefix, strlen(prefix));
}

static bool is_election_key(const char *key)
{
    return !strcmp(key, PM_KEY_EPOCH) || !strcmp(key, PM_KEY_LEADER_LOCK) ||
           has_prefix(key, PM_KEY_COMMON_VERSION);
}

static void apply_election_put(struct pm_controller *controller, const char *key,
                               const cbor_item_t *value, uint64_t revision)
{
    unsigned version;

    pm_election_apply_put(controller->election, key, value, revision);
    version = pm_election_protocol_version(controller->election);
    controller->tables.protocol_version = version;
    pm_api_enable_dependencies(controller->api, version >= PM_PROTOCOL_DEPENDENCIES);
}

static void apply_ledger_put(struct pm_controller *controller, const cbor_item_t *value,
                             uint64_t revision)
{
    controller->ledger.revision = MAX(controller->ledger.revision, revision);
    if (controller->is_leader)
        return; /* the leader wrote the value itself */
    pm_scheduler_decode_ledger(controller->scheduler, value);
    controller->ledger.value.size = 0;
    pm_cbor_put_item(&controller->ledger.value, value);
}

static void apply_job_put(struct pm_controller *controller, const char *key,
                          const cbor_item_t *value, uint64_t revision)
{
    const struct pm_job *job = pm_jobs_apply_put(controller->jobs, key, value, revision);

    if (!job)
        return;
    if (job->cancellation_revision == revision && pm_store_is_ready(controller->store))
        pm_cancel_quorum_note_cancellation_read(controller->cancel_quorum, revision);
    pm_controller_plan_soon(controller);
}

static void on_put(void *arg, const char *key, const cbor_item_t *value, uint64_t revision)
{
    struct pm_controller *controller = arg;

    if (is_election_key(key)) {
        apply_election_put(controller, key, value, revision);
    } else if (pm_roles_apply_put(controller->roles, key, value, revision)) {
        pm_gc_apply_put(controller->gc, key, value, revision, pm_clock_monotonic());
    } else if (has_prefix(key, PM_KEY_SHARD_PREFIX)) {
        controller->shards_changed |= controller->is_active;
        pm_shards_apply_put(controller->shards, key, value, revision);
    } else if (has_prefix(key, PM_KEY_VIEW_PREFIX)) {
        pm_links_apply_put(controller->links, key, value, revision, pm_clock_monotonic());
        pm_gc_apply_put(controller->gc, key, value, revision, pm_clock_monotonic());
    } else if (has_prefix(key, PM_KEY_ACKED_REVISION_PREFIX)) {
        pm_cancel_quorum_apply_put(controller->cancel_quorum, key, value);
        pm_gc_apply_put(controller->gc, key, value, revision, pm_clock_monotonic());
    } else if (!strcmp(key, PM_KEY_LEDGER)) {
        apply_ledger_put(controller, value, revision);
    } else if (!strcmp(key, PM_KEY_MACHINE_TYPES)) {
        pm_controller_apply_stored_types(controller, value, revision);
    } else {
        apply_job_put(controller, key, value, revision);
    }
}

/* Each slice ignores the keys that it does not own. */
static void on_delete(void *arg, const char *key, uint64_t revision)
{
    struct pm_controller *controller = arg;

    pm_election_apply_delete(controller->election, key, revision);
    pm_roles_apply_delete(controller->roles, key, revision);
    pm_gc_apply_delete(controller->gc, key, revision);
    pm_shards_apply_delete(controller->shards, key, revision);
    pm_jobs_apply_delete(controller->jobs, key, revision);
}

static void on_snapshot_begin(void *arg)
{
    struct pm_controller *controller = arg;

    pm_election_snapshot_begin(controller->election);
    pm_roles_snapshot_begin(controller->roles);
    pm_gc_snapshot_begin(controller->gc);
    pm_shards_snapshot_begin(controller->shards);
    pm_jobs_snapshot_begin(controller->jobs);
}

static void on_snapshot_end(void *arg)
{
    struct pm_controller *controller = arg;

    pm_roles_snapshot_end(controller->roles);
    pm_gc_snapshot_end(controller->gc);
    pm_info("controller.synced", "the replica is complete at store revision %llu",
            (unsigned long long)pm_store_revision(controller->store));
}

static void on_caught_up(void *arg, uint64_t store_revision)
{
    struct pm_controller *controller = arg;

    (void)store_revision;
    pm_shards_caught_up(controller->shards);
    if (!controller->shards_changed)
        return;
    controller->shards_changed = false;
    pm_controller_probe_workers(controller, pm_clock_monotonic());
    pm_controller_plan_soon(controller);
}

struct pm_store_observer pm_controller_store_observer(struct pm_controller *controller)
{
    return (struct pm_store_observer){
        .put = on_put,
        .delete = on_delete,
        .snapshot_begin = on_snapshot_begin,
        .snapshot_end = on_snapshot_end,
        .caught_up = on_caught_up,
        .arg = controller,
    };
}
