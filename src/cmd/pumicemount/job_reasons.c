/* Tells operators' tools why a job does not run, as far as this controller knows. Changes nothing.
 * An operators' tool of another version prints the reasons, so their texts must not change. */
#include "base/clock.h"
#include "internal.h"
#include "workers/failures.h"

#include <stdio.h>
#include <string.h>

enum { NAMED_JOBS_MAX = 20 }; /* the most jobs that are named in one reason */

static void encode_reason(struct pm_buffer *out, const char *reason, const char *detail)
{
    pm_cbor_put_map(out);
    pm_cbor_put_pair_text(out, "reason", reason);
    pm_cbor_put_pair_text(out, "detail", detail);
    pm_cbor_put_end(out);
}

static void encode_unmet_dependencies(struct pm_controller *controller, const struct pm_job *job,
                                      struct pm_buffer *out)
{
    GString *names = g_string_new(NULL);
    unsigned named = 0;

    for (uint32_t i = 0; job->spec && i < job->spec->dependency_count && named < NAMED_JOBS_MAX;
         i++) {
        const char *id =
            pm_names_text(controller->tables.dependency_ids, job->spec->dependencies[i]);
        const struct pm_job *needed = pm_jobs_find(controller->jobs, id);
        if (needed && needed->state == PM_JOB_DONE)
            continue;
        g_string_append_printf(names, "%s%s", named++ ? ", " : "", id);
    }
    if (job->dependencies.unmet_count > named)
        g_string_append_printf(names, " and %u more", job->dependencies.unmet_count - named);
    encode_reason(out, "waits-for-jobs", names->str);
    g_string_free(names, TRUE);
}

/* Encodes how many tasks of the job fit on the machines that it may use, as far as this controller,
 * the leader or the owner of a shard, knows these machines. */
static void encode_capacity(struct pm_controller *controller, const struct pm_job *job,
                            struct pm_buffer *out)
{
    GPtrArray *all = pm_workers_all(controller->workers);
    const struct pm_spec *spec = job->spec;
    unsigned allowed = 0;
    unsigned booting = 0;
    uint32_t fit = 0;
    char detail[128];

    for (guint i = 0; i < all->len; i++) {
        const struct pm_machine *machine = g_ptr_array_index(all, i);
        if (!machine || machine->type < 0 ||
            !pm_scheduler_is_machine_allowed(&controller->tables, job, machine->type, machine->zone,
                                             machine->spot))
            continue;
        booting += machine->state == PM_MACHINE_BOOTING;
        if (machine->state != PM_MACHINE_UP || machine->shard.assigned_to)
            continue;
        allowed++;
        fit += pm_spec_tasks_that_fit(spec, machine->free.cpus, machine->free.gpus,
                                      machine->free.ram_gb);
    }
    snprintf(detail, sizeof detail,
             "%u machines may run it, with room for %u of its tasks; %u boot", allowed, fit,
             booting);
    encode_reason(out, fit ? "about-to-be-placed" : "no-room", detail);
}

/* Encodes a reason if the job names its machine types and this controller knows none of them. */
static void encode_unknown_types(struct pm_controller *controller, const struct pm_job *job,
                                 struct pm_buffer *out)
{
    int type_count = controller->tables.type_count;
    char detail[128];

    for (int type = 0; type < type_count; type++)
        if (job->spec->allowed_types >> type & 1)
            return;
    snprintf(detail, sizeof detail,
             "it names machine types, and this controller knows none of them among its %d",
             type_count);
    encode_reason(out, "unknown-types", detail);
}

static void encode_unreachable_zone(struct pm_controller *controller, const struct pm_job *job,
                                    struct pm_buffer *out)
{
    const struct pm_link_view *own = &pm_links_matrix(controller->links)->view[0];
    int zone = job->spec->zone;

    if (zone >= 0 && own->zone[zone] != PM_LINK_UNKNOWN && !pm_link_is_usable(own->zone[zone]))
        encode_reason(out, "zone-not-reached", controller->settings->zone_names[zone]);
}

static void encode_reasons(struct pm_controller *controller, const struct pm_job *job,
                           struct pm_buffer *out, double now)
{
    if (job->state != PM_JOB_LIVE)
        return;
    if (!pm_controller_is_store_writable(controller, now))
        encode_reason(out, "not-recorded",
                      "this controller does not reach the state service; it places nothing");
    if (job->dependencies.incomplete || job->dependencies.unmet_count) {
        encode_unmet_dependencies(controller, job, out);
        return;
    }
    if (!job->spec) {
        encode_reason(out, "unreadable", "its value in the state service can't be read");
        return;
    }
    encode_unreachable_zone(controller, job, out);
    if (job->delegated) {
        encode_reason(out, "delegated", "another controller places it on its block");
        return;
    }
    if (!controller->is_active) {
        encode_reason(out, "not-placed-here", "this controller neither leads nor holds the job");
        return;
    }
    if (!pm_job_waiting_tasks(job))
        return;
    encode_unknown_types(controller, job, out);
    if (pm_failures_is_job_failing(job)) {
        encode_reason(out, "failing", "its tasks fail wherever they run; tried one at a time");
        return;
    }
    if (!pm_scheduler_leasable_tasks(controller->scheduler, job->spec, 0))
        encode_reason(out, "team-limit", controller->settings->teams[job->spec->team].name);
    else
        encode_capacity(controller, job, out);
}

static const char *state_name(const struct pm_job *job, uint32_t running)
{
    if (job->state == PM_JOB_DONE)
        return "done";
    if (job->state == PM_JOB_CANCELLED)
        return "cancelled";
    return running ? "running" : "queued";
}

void pm_controller_encode_job_reasons(struct pm_controller *controller, const char *id,
                                      struct pm_buffer *out, double now)
{
    const struct pm_job *job = pm_jobs_find(controller->jobs, id);
    uint32_t done = 0;
    uint32_t running = 0;

    pm_cbor_put_map(out);
    pm_controller_encode_source(controller, out, now);
    pm_cbor_put_pair_text(out, "job", id);
    pm_cbor_put_pair_flag(out, "known", job != NULL);
    if (job) {
        pm_job_count_tasks(job, &done, &running);
        pm_cbor_put_pair_text(out, "state", state_name(job, running));
        pm_cbor_put_pair_uint(out, "tasks", job->task_count);
        pm_cbor_put_pair_uint(out, "done", done);
        pm_cbor_put_pair_uint(out, "running", running);
    }
    pm_cbor_put_pair_number(out, "replica_age_s", now - pm_store_last_served_at(controller->store));
    pm_cbor_put_text(out, "reasons");
    pm_cbor_put_list(out);
    if (job)
        encode_reasons(controller, job, out, now);
    pm_cbor_put_end(out);
    pm_cbor_put_end(out);
}
