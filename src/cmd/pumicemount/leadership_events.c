/* Rebuilds or discards the working state when this controller is elected, steps down, or gains or
 * loses a shard: the hooks of the election, the cancellation quorum and the shards. Runs in the
 * event-loop thread. */
#include "base/clock.h"
#include "base/crash_report.h"
#include "base/log.h"
#include "internal.h"
#include "workers/failures.h"

#include <string.h>

/* Shares of the state service's write budget. Followers need their shares to write users' requests
 * and the placements of their shards. */
#define LEADER_WRITE_SHARE 0.5
/* The leader's limit while the watch shows that followers write less than their share. */
#define LEADER_WRITE_SHARE_MAX 0.9
#define FOLLOWERS_WRITE_SHARE 0.8 /* divided among all followers */

/* ---- working state ---- */

static void recover_placement(struct pm_controller *controller, struct pm_job *job,
                              uint32_t task_index, const struct pm_stored_placement *stored,
                              double now)
{
    const char *name = pm_names_text(controller->tables.machine_names, stored->machine_index);
    struct pm_machine *machine = pm_workers_find_or_add(controller->workers, name);

    pm_workers_add_placement(controller->workers, job, task_index, machine, stored->attempt,
                             stored->incarnation, PM_PLACEMENT_DURABLE, now);
    if (machine->state == PM_MACHINE_BOOTING) {
        /* This controller does not know when the previous leader received the worker's last
         * heartbeat, and the worker may have failed since, so its silence is measured from now. */
        machine->state = PM_MACHINE_UP;
        machine->heartbeat.last_message_at = now;
    }
}

/* Logs what was stored of the job's tasks, if anything was. */
static void log_restored(const struct pm_job *job)
{
    if (job->work.done_count || job->work.placed_count)
        pm_debug("job.restored", "%s: of %u tasks, %u are done and %u are placed, last attempt %u",
                 job->id, job->task_count, job->work.done_count, job->work.placed_count,
                 job->work.last_attempt);
}

/* Adds the job's stored placements to the working state, and returns their number. */
static int recover_placements(struct pm_controller *controller, struct pm_job *job, double now)
{
    int count = 0;

    for (int k = 0; job->spec && k < job->chunk_count; k++) {
        const struct pm_chunk *chunk = job->chunks[k];
        GArray *stored = chunk && chunk->is_stored ? chunk->stored_placements : NULL;
        for (guint i = 0; stored && i < stored->len; i++) {
            const struct pm_stored_placement *placement =
                &g_array_index(stored, struct pm_stored_placement, i);
            recover_placement(controller, job,
                              (uint32_t)k * PM_CHUNK_TASKS + placement->task_in_chunk, placement,
                              now);
            count++;
        }
    }
    log_restored(job);
    return count;
}

static int recover_all_placements(struct pm_controller *controller, double now)
{
    GPtrArray *active = pm_jobs_active(controller->jobs);
    int count = 0;

    for (guint i = 0; i < active->len; i++) {
        struct pm_job *job = g_ptr_array_index(active, i);
        if (!job->delegated)
            count += recover_placements(controller, job, now);
    }
    return count;
}

static void reset_working_state(struct pm_controller *controller)
{
    pm_workers_reset(controller->workers);
    pm_jobs_reset_working_state(controller->jobs);
    pm_commit_reset(controller->commit);
    pm_scheduler_reset(controller->scheduler);
    pm_scheduler_set_reserve(controller->scheduler, 0);
}

static void apply_stored_ledger(struct pm_controller *controller, double now)
{
    cbor_item_t *ledger =
        pm_cbor_parse(controller->ledger.value.data, controller->ledger.value.size);

    pm_scheduler_decode_cached_images(controller->scheduler, ledger);
    pm_scheduler_decode_failing_jobs(controller->scheduler, ledger, now);
    pm_autoscaler_decode_silent_zones(controller->autoscaler, ledger, now, pm_clock_wall());
    pm_cbor_free(ledger);
}

/* ---- election ---- */

/* Rebuilds the working state from the replica: which tasks are done, and every placement whose task
 * may still run. Heartbeats then confirm the tasks that do run, so that they are not started a
 * second time. */
static void on_elected(void *arg, uint64_t epoch)
{
    struct pm_controller *controller = arg;
    double now = pm_clock_monotonic();
    int placements;

    pm_crash_report_set_term(true, epoch);
    reset_working_state(controller);
    pm_jobs_set_delegated(controller->jobs, false);
    pm_autoscaler_reset(controller->autoscaler, epoch);
    pm_shards_adopt(controller->shards, now);
    placements = recover_all_placements(controller, now);
    apply_stored_ledger(controller, now);
    pm_autoscaler_adopt_intents(controller->autoscaler);
    controller->is_active = true;
    controller->is_leader = true;
    controller->elected_at = now;
    pm_controller_tick_roles(controller, now);
    pm_store_set_write_share(controller->store, LEADER_WRITE_SHARE, LEADER_WRITE_SHARE_MAX);
    pm_info("controller.active", "leading in epoch %llu with %u active jobs and %d placements",
            (unsigned long long)epoch, pm_jobs_active(controller->jobs)->len, placements);
    pm_controller_plan_soon(controller);
}

void pm_controller_set_follower_write_share(struct pm_controller *controller)
{
    int followers = MAX(2, controller->settings->cluster_size - 1);
    double share = FOLLOWERS_WRITE_SHARE / followers;

    pm_store_set_write_share(controller->store, share, share);
}

static void on_stepped_down(void *arg)
{
    struct pm_controller *controller = arg;

    pm_crash_report_set_term(false, 0);
    controller->is_active = false;
    controller->is_leader = false;
    pm_controller_set_follower_write_share(controller);
    pm_autoscaler_reset(controller->autoscaler, 0);
    pm_shards_step_down(controller->shards);
    reset_working_state(controller);
    pm_controller_tick_roles(controller, pm_clock_monotonic());
}

static void on_epoch_advanced(void *arg, uint64_t epoch)
{
    pm_crash_report_set_term(true, epoch);
    pm_controller_tick_roles(arg, pm_clock_monotonic());
    pm_controller_plan_soon(arg);
}

static void on_epoch_confirmed(void *arg)
{
    struct pm_controller *controller = arg;

    if (!controller->is_active)
        return;
    pm_controller_probe_workers(controller, pm_clock_monotonic());
    pm_controller_plan_soon(controller);
}

/* ---- cancellations that peers publish ---- */

static void on_cancelled(void *arg, const char *id, uint64_t revision)
{
    struct pm_controller *controller = arg;

    if (!pm_jobs_apply_cancellation(controller->jobs, id, revision))
        return;
    pm_info("controller.cancelled",
            "job %s: a peer published its cancellation before the replica had it", id);
    pm_controller_plan_soon(controller); /* so that the job's tasks are killed at once */
}

static const struct pm_cancellation *
on_list_cancellations(void *arg, uint64_t revision, size_t max_count, size_t *count, bool *has_more)
{
    struct pm_controller *controller = arg;

    return pm_jobs_list_cancellations(controller->jobs, revision, max_count, count, has_more);
}

static void on_peer_reached_revision(void *arg, int peer, uint64_t store_revision)
{
    struct pm_controller *controller = arg;

    pm_cancel_quorum_note_peer_revision(controller->cancel_quorum, peer, store_revision);
}

struct pm_election_hooks pm_controller_election_hooks(struct pm_controller *controller)
{
    return (struct pm_election_hooks){
        .elected = on_elected,
        .stepped_down = on_stepped_down,
        .epoch_advanced = on_epoch_advanced,
        .epoch_confirmed = on_epoch_confirmed,
        .cancelled = on_cancelled,
        .list_cancellations = on_list_cancellations,
        .peer_reached_revision = on_peer_reached_revision,
        .arg = controller,
    };
}

struct pm_cancel_quorum_hooks pm_controller_cancel_quorum_hooks(struct pm_controller *controller)
{
    return (struct pm_cancel_quorum_hooks){.cancelled = on_cancelled, .arg = controller};
}

/* ---- shards ---- */

static void on_shards_plan_due(void *arg)
{
    pm_controller_plan_soon(arg);
}

static void on_job_returned(void *arg, struct pm_job *job)
{
    pm_job_reset_working_state(job);
    recover_placements(arg, job, pm_clock_monotonic());
}

static void on_machine_quarantined(void *arg, struct pm_machine *machine)
{
    (void)arg;
    pm_failures_quarantine_machine(machine);
}

static void end_shard_ownership(struct pm_controller *controller)
{
    pm_election_set_owned_shard(controller->election, controller->own_shard_key, 0);
    if (controller->is_active)
        reset_working_state(controller);
    controller->is_active = false;
}

/* Called when this controller has gained a shard, or when the shard that it owns has changed. */
static void apply_owned_shard(struct pm_controller *controller)
{
    uint64_t revision = pm_shards_owned_revision(controller->shards);

    if (!controller->is_active) {
        pm_commit_reset(controller->commit);
        pm_scheduler_reset(controller->scheduler);
    }
    controller->is_active = true;
    pm_election_set_owned_shard(controller->election, controller->own_shard_key, revision);
    pm_controller_plan_soon(controller);
}

static void on_shard_ownership_changed(void *arg, bool has_shard)
{
    struct pm_controller *controller = arg;

    if (controller->is_leader)
        return;
    if (has_shard)
        apply_owned_shard(controller);
    else
        end_shard_ownership(controller);
}

struct pm_shards_hooks pm_controller_shards_hooks(struct pm_controller *controller)
{
    return (struct pm_shards_hooks){
        .plan_due = on_shards_plan_due,
        .job_returned = on_job_returned,
        .machine_quarantined = on_machine_quarantined,
        .ownership_changed = on_shard_ownership_changed,
        .arg = controller,
    };
}
