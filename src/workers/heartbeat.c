/* Applies workers' reports: updates placements, ends those whose tasks are provably absent, and
 * detects workers that answers do not reach. */
#include "base/log.h"
#include "workers/failures.h"
#include "workers/internal.h"

#include <string.h>

/* ---- images ---- */

/* Evicts the least recently used images that no longer fit on the machine's disk. The most recent
 * one always stays. */
static void evict_images(struct pm_machine_images *images, double disk_gb)
{
    double free_gb = disk_gb;

    for (int i = 0; i < images->count; i++) {
        free_gb -= images->cached[i].gb;
        if (i > 0 && free_gb < 0)
            images->count = i;
    }
}

/* Records that the image is cached on the machine, since a task there has finished fetching it. */
static void record_image_use(const struct pm_workers *workers, struct pm_machine *machine,
                             const struct pm_spec *spec)
{
    struct pm_machine_images *images = &machine->images;
    struct pm_cached_image used = {spec->image, spec->image_gb};
    int position = 0;

    while (position < images->count && images->cached[position].image != spec->image)
        position++;
    if (position == 0 && images->count)
        return;
    if (position == images->count && images->count < PM_CACHED_IMAGES_MAX)
        images->count++;
    if (position == PM_CACHED_IMAGES_MAX)
        position--;
    memmove(images->cached + 1, images->cached, (size_t)position * sizeof images->cached[0]);
    images->cached[0] = used;
    evict_images(images, machine->type >= 0 ? workers->tables->types[machine->type].local_gb : 0);
}

/* ---- tasks ---- */

/* Returns the placement for which the task was started, or NULL if the task is an orphan. */
static struct pm_placement *find_placement(const struct pm_machine *machine,
                                           const struct pm_task_ref *ref)
{
    const struct pm_task *task;
    struct pm_placement *placement;

    if (!ref->job->spec || !ref->job->chunks)
        return NULL;
    task = pm_job_find_task(ref->job, ref->task_index);
    placement = task ? task->placement : NULL;
    if (!placement || placement->machine != machine || placement->attempt != ref->attempt ||
        placement->incarnation != machine->heartbeat.incarnation)
        return NULL;
    return placement;
}

/* Returns the highest fencing token of a launch of which a copy may still arrive. */
static uint64_t launch_token_of(const struct pm_placement *placement)
{
    if (placement->launch_token || placement->launch_reply_sequence)
        return placement->launch_token; /* 0 if only answers to heartbeats carried the launch */
    /* Another controller launched it, with no higher token than the worker has seen. */
    return placement->machine->heartbeat.fencing_token;
}

static void add_exited_task(struct pm_machine *machine, const struct pm_task_ref *ref,
                            uint64_t launch_token)
{
    uint64_t token = pm_exited_tasks_add(&machine->heartbeat.exited, ref, launch_token);

    machine->push.launch_token = MAX(machine->push.launch_token, token);
}

static void apply_orphan(struct pm_machine *machine, const struct pm_reported_task *task,
                         const struct pm_task_ref *ref)
{
    if (task->state == PM_WORKER_TASK_ENDED) {
        add_exited_task(machine, ref, machine->heartbeat.fencing_token);
        return;
    }
    g_array_append_val(machine->heartbeat.orphan_tasks, *ref);
    pm_info("worker.orphan_task", "%s reports %s attempt %u, which has no placement there",
            machine->name, task->name, task->attempt);
}

static void apply_exit(struct pm_workers *workers, struct pm_placement *placement,
                       const struct pm_reported_task *task, const struct pm_task_ref *ref,
                       double now)
{
    bool checkpointed;
    enum pm_task_exit end = pm_reported_task_exit(task, &checkpointed);

    add_exited_task(placement->machine, ref, launch_token_of(placement));
    pm_workers_end_placement(workers, placement, end, checkpointed, now);
}

static enum pm_placement_state placement_state_of(enum pm_worker_task_state state)
{
    switch (state) {
    case PM_WORKER_TASK_FETCHING:
        return PM_PLACEMENT_FETCHING;
    case PM_WORKER_TASK_WAITING:
        return PM_PLACEMENT_WAITING;
    case PM_WORKER_TASK_RUNNING:
        return PM_PLACEMENT_RUNNING;
    case PM_WORKER_TASK_CHECKPOINTING:
        return PM_PLACEMENT_CHECKPOINTING;
    default:
        return PM_PLACEMENT_ENDED;
    }
}

static void apply_progress(struct pm_workers *workers, struct pm_placement *placement,
                           enum pm_worker_task_state state, double now)
{
    placement->state = placement_state_of(state);
    if (placement->state != PM_PLACEMENT_RUNNING)
        return;
    if (!placement->running_since) {
        placement->running_since = now;
        workers->hooks.placement_running(workers->hooks.arg, placement, now);
    }
    pm_failures_note_running(placement, now);
}

static void apply_known_task(struct pm_workers *workers, struct pm_machine *machine,
                             const struct pm_reported_task *task, const struct pm_task_ref *ref,
                             double now)
{
    struct pm_placement *placement = find_placement(machine, ref);

    if (!placement) {
        apply_orphan(machine, task, ref);
        return;
    }
    placement->seen_in_message = true;
    if (task->state == PM_WORKER_TASK_ENDED) {
        apply_exit(workers, placement, task, ref, now);
        return;
    }
    if (task->state != PM_WORKER_TASK_FETCHING)
        record_image_use(workers, machine, ref->job->spec);
    apply_progress(workers, placement, task->state, now);
}

static void apply_task(struct pm_workers *workers, struct pm_machine *machine,
                       const cbor_item_t *item, double now)
{
    struct pm_reported_task task;
    struct pm_task_ref ref;

    if (!pm_reported_task_decode(item, &task) || !task.has_state) {
        pm_error("worker.bad_task", "%s reports a task entry that cannot be decoded",
                 machine->name);
        return;
    }
    ref.job = pm_jobs_find(workers->jobs, task.job_id);
    ref.task_index = task.task_index;
    ref.attempt = task.attempt;
    if (ref.job && task.state != PM_WORKER_TASK_UNKNOWN && ref.task_index < ref.job->task_count) {
        apply_known_task(workers, machine, &task, &ref, now);
        return;
    }
    if (workers->ignored_tasks++ == 0)
        pm_error("worker.bad_task",
                 "%s reports task %s, whose job, index or state is unknown; such tasks are "
                 "ignored, and later ones are not logged",
                 machine->name, task.name);
}

/* ---- absence ---- */

/* Whether the worker may still receive a message with the launch and obey it. It may obey a push
 * without an answer until it has seen a later token or begun a later incarnation. It may obey the
 * answer to a heartbeat until its next heartbeat arrives here, since a worker has only one
 * heartbeat in flight and drops late answers. */
static bool may_launch_arrive(const struct pm_placement *placement,
                              const struct pm_machine *machine, enum pm_report_source source)
{
    if (placement->launch_reply_sequence &&
        (source != PM_REPORT_HEARTBEAT ||
         machine->heartbeat.sequence <= placement->launch_reply_sequence))
        return true;
    return (placement->launch_push_number && machine->push.in_flight_number) ||
           (placement->launch_outcome_unknown && machine->push.unknown_outcome_token);
}

/* Whether the task's absence from the latest message proves that the task does not run there. The
 * worker must have seen the current epoch, and no message with the launch must be on its way. */
static bool is_absence_proven(const struct pm_placement *placement,
                              const struct pm_machine *machine, enum pm_report_source source,
                              struct pm_fencing_range tokens)
{
    return !placement->seen_in_message && placement->state != PM_PLACEMENT_PROPOSED &&
           machine->heartbeat.fencing_token >= tokens.first &&
           !may_launch_arrive(placement, machine, source);
}

/* Ends the placements whose tasks are absent from the machine and can no longer be started there. A
 * launch that never arrived is made due again instead. */
static void apply_absence(struct pm_workers *workers, struct pm_machine *machine,
                          enum pm_report_source source, struct pm_fencing_range tokens, double now)
{
    for (guint i = 0; i < machine->placements->len;) {
        struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        if (!is_absence_proven(placement, machine, source, tokens)) {
            i++;
            continue;
        }
        placement->launch_reply_sequence = placement->launch_push_number = 0;
        placement->launch_outcome_unknown = false;
        if (pm_placement_is_wanted(placement) && placement->state <= PM_PLACEMENT_DURABLE) {
            i++; /* the launch never arrived; it is sent again, as the same attempt */
            continue;
        }
        pm_workers_end_placement(workers, placement, PM_TASK_EXIT_LOST, false, now);
        i = 0; /* the removal has reordered the array */
    }
}

/* ---- delivery ---- */

/* Whether a launch went out in the answer to an earlier heartbeat, and the worker still does not
 * report the task. */
static bool is_launch_missing(const struct pm_machine *machine)
{
    for (guint i = 0; i < machine->placements->len; i++) {
        const struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        if (placement->state == PM_PLACEMENT_DURABLE && placement->launch_reply_sequence &&
            machine->heartbeat.sequence > placement->launch_reply_sequence)
            return true;
    }
    return false;
}

/* Records a delivery failure if the heartbeat shows that the answer to an earlier one never
 * arrived. A single lost message can cause this; a push then probes the worker, and its reply
 * resets the count of failures. */
static void check_delivery(struct pm_machine *machine, bool is_new_incarnation, double lease_s,
                           double now)
{
    const struct pm_machine_heartbeat *heartbeat = &machine->heartbeat;
    const struct pm_machine_delivery *delivery = &machine->delivery;

    if (is_new_incarnation && delivery->acked_first_token &&
        now - machine->lease.last_acked_at < lease_s)
        pm_machine_note_delivery_failure(
            machine, "its lease expired though its heartbeats were answered", now);
    else if (delivery->acked_first_token && heartbeat->sequence > delivery->acked_sequence &&
             heartbeat->fencing_token < delivery->acked_first_token)
        pm_machine_note_delivery_failure(
            machine, "it reports an older fencing token than an earlier answer carried", now);
    else if (is_launch_missing(machine))
        pm_machine_note_delivery_failure(
            machine, "it does not report a task whose launch an earlier answer carried", now);
}

/* ---- the report as a whole ---- */

static bool is_stale(const struct pm_machine_heartbeat *known,
                     const struct pm_report_header *report)
{
    if (report->incarnation < known->incarnation || report->incarnation < known->min_incarnation)
        return true;
    return report->incarnation == known->incarnation && report->sequence <= known->sequence;
}

/* Ends the placements of earlier incarnations, whose tasks were killed when the lease expired.
 * Placements that were recovered from the state service may belong to the new incarnation already,
 * and stay. */
static void begin_incarnation(struct pm_workers *workers, struct pm_machine *machine,
                              uint64_t incarnation, double now)
{
    for (guint i = 0; i < machine->placements->len;) {
        struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        if (placement->incarnation >= incarnation) {
            i++;
            continue;
        }
        pm_workers_end_placement(workers, placement, PM_TASK_EXIT_LOST, false, now);
        i = 0; /* the removal has reordered the array */
    }
    if (machine->heartbeat.incarnation)
        machine->images.count = 0;
}

static void apply_header(struct pm_machine *machine, const struct pm_report_header *report,
                         enum pm_report_source source, double now)
{
    struct pm_machine_heartbeat *heartbeat = &machine->heartbeat;

    if (report->incarnation > heartbeat->incarnation || !heartbeat->has_reported)
        machine->lease.incarnation_seen_at = now;
    heartbeat->incarnation = report->incarnation;
    heartbeat->sequence = report->sequence;
    heartbeat->fencing_token = report->fencing_token;
    heartbeat->last_message_at = now;
    if (source == PM_REPORT_HEARTBEAT || !heartbeat->has_reported)
        heartbeat->last_heartbeat_at = now;
    heartbeat->has_reported = true;
    heartbeat->spot_interruption_at =
        report->has_interruption_notice ? now + report->interruption_in_s : 0;
}

/* Clears the unknown outcome of a push once the worker has seen a later token or begun a later
 * incarnation: from then on the worker refuses the launches of that push. */
static void clear_unknown_outcome(struct pm_machine *machine)
{
    struct pm_machine_push *push = &machine->push;

    if (machine->heartbeat.fencing_token > push->unknown_outcome_token ||
        machine->heartbeat.incarnation > push->unknown_outcome_incarnation)
        push->unknown_outcome_token = 0;
}

static void apply_task_list(struct pm_workers *workers, struct pm_machine *machine,
                            const cbor_item_t *tasks, double now)
{
    for (guint i = 0; i < machine->placements->len; i++) {
        struct pm_placement *placement = g_ptr_array_index(machine->placements, i);
        placement->seen_in_message = false;
    }
    pm_exited_tasks_begin(&machine->heartbeat.exited);
    g_array_set_size(machine->heartbeat.orphan_tasks, 0);
    for (size_t i = 0; i < pm_cbor_length(tasks); i++)
        apply_task(workers, machine, pm_cbor_at(tasks, i), now);
}

static void apply_report(struct pm_workers *workers, struct pm_machine *machine,
                         const struct pm_report_header *report, enum pm_report_source source,
                         double now)
{
    bool is_new_incarnation = report->incarnation > machine->heartbeat.incarnation;
    bool had_reported = machine->heartbeat.has_reported;

    if (is_new_incarnation)
        begin_incarnation(workers, machine, report->incarnation, now);
    apply_header(machine, report, source, now);
    machine->provider.absent_since = 0;
    if (machine->state == PM_MACHINE_BOOTING) {
        machine->state = PM_MACHINE_UP;
        pm_debug("worker.up", "%s", machine->name);
    }
    clear_unknown_outcome(machine);
    apply_task_list(workers, machine, report->tasks, now);
    if (source == PM_REPORT_HEARTBEAT) {
        check_delivery(machine, had_reported && is_new_incarnation,
                       workers->tables->settings->lease_s, now);
    } else {
        machine->push.has_answered = true;
        machine->delivery.failures = 0;
    }
}

struct pm_machine *pm_workers_apply_report(struct pm_workers *workers, const cbor_item_t *item,
                                           enum pm_report_source source,
                                           struct pm_fencing_range tokens, double now,
                                           bool *is_newest)
{
    struct pm_report_header report;
    struct pm_machine *machine;

    *is_newest = false;
    if (!pm_report_decode(item, &report))
        return NULL;
    machine = pm_workers_find_or_add(workers, report.machine);
    if (!pm_report_decode_identity(workers, item, machine))
        return NULL;
    if (is_stale(&machine->heartbeat, &report)) {
        machine->heartbeat.last_stale_at = now;
        return machine; /* the task list of an outdated message is outdated, too */
    }
    *is_newest = true;
    apply_report(workers, machine, &report, source, now);
    apply_absence(workers, machine, source, tokens, now);
    return machine;
}
