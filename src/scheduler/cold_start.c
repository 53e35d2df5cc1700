/* Cold starts and image fetches: decides whether a service starts on a machine that is available
 * now or waits for a better one.
 *
 * After a cold start of the deployment all services wait, few machines are up, and no image is
 * cached. Replicas that would fill the first machines then wait for booting machines instead, so
 * that each machine caches many images over time. No replica waits beyond the time at which it is
 * overdue. */
#include "scheduler/internal.h"

#include <string.h>

#define DEFAULT_START_OBJECTIVE_S 1.0 /* for a class without a start objective */
#define COLD_START_DUE_FACTOR 2       /* a cold start lasts for replica_due_s times this */
#define FETCH_TIME_FACTOR 1.5         /* a fetch may take its computed duration times this */
/* Most machines of a type have booted within ready_s * BOOT_TIME_FACTOR + BOOT_TIME_EXTRA_S. */
#define BOOT_TIME_FACTOR 1.4
#define BOOT_TIME_EXTRA_S 3.0

void pm_scheduler_update_cold_start(struct pm_scheduler *scheduler, double now)
{
    struct pm_cold_start *cold_start = &scheduler->cold_start;
    GPtrArray *active = pm_jobs_active(scheduler->jobs);

    cold_start->is_active = now < cold_start->until;
    if (cold_start->is_active)
        return;
    for (guint i = 0; i < active->len; i++) {
        const struct pm_job *job = g_ptr_array_index(active, i);
        if (job->spec && job->spec->kind == PM_WORKLOAD_SERVICE && job->work.placed_count)
            return;
    }
    cold_start->until = now + COLD_START_DUE_FACTOR * scheduler->operator_settings->replica_due_s;
    cold_start->is_active = true;
}

double pm_scheduler_start_objective_s(const struct pm_scheduler *scheduler,
                                      const struct pm_job *job)
{
    const struct pm_settings *settings = scheduler->tables->settings;
    const char *class_name = pm_names_text(scheduler->tables->class_names, job->spec->class_index);

    for (int i = 0; i < settings->objective_count; i++)
        if (!strcmp(settings->objectives[i].kind, "wait") &&
            !strcmp(settings->objectives[i].class_name, class_name) &&
            settings->objectives[i].within_s > 0)
            return settings->objectives[i].within_s;
    return DEFAULT_START_OBJECTIVE_S;
}

bool pm_scheduler_may_fetch(const struct pm_scheduler *scheduler, const struct pm_machine *machine,
                            const struct pm_job *job)
{
    const struct pm_machine_type *type = &scheduler->tables->types[machine->type];
    double waited_s = scheduler->run.wall - pm_scheduler_waiting_since(job);

    return waited_s > pm_scheduler_start_objective_s(scheduler, job) &&
           waited_s +
                   FETCH_TIME_FACTOR * job->spec->image_gb / MAX(type->pull_gb_per_s, PM_EPSILON) <
               scheduler->operator_settings->replica_due_s;
}

bool pm_scheduler_uses_service_share(const struct pm_scheduler *scheduler,
                                     const struct pm_machine *machine, const struct pm_spec *spec)
{
    double machine_cpus = scheduler->tables->types[machine->type].cpus;

    return pm_scheduler_free_or_preemptible_cpus(machine) - spec->cpus <
           PM_SERVICE_SHARE * machine_cpus - PM_EPSILON;
}

bool pm_scheduler_is_boot_expected(const struct pm_name_tables *tables,
                                   const struct pm_machine *machine, double now)
{
    return now - machine->provider.rented_at <
           BOOT_TIME_FACTOR * tables->types[machine->type].ready_s + BOOT_TIME_EXTRA_S;
}

/* Whether a machine that the job may run on is expected to boot soon. */
static bool is_boot_expected(const struct pm_scheduler *scheduler, const struct pm_job *job)
{
    for (int type = 0; type < scheduler->tables->type_count; type++)
        for (int zone = 0; zone < scheduler->tables->settings->zone_count; zone++)
            for (int spot = 0; spot < PM_MARKETS; spot++)
                if (scheduler->cache.is_boot_expected[type][zone][spot] &&
                    pm_scheduler_is_machine_allowed(scheduler->tables, job, type, zone, spot))
                    return true;
    return false;
}

bool pm_scheduler_may_await_boot(const struct pm_scheduler *scheduler, const struct pm_job *job)
{
    double waited_s = scheduler->run.wall - pm_scheduler_waiting_since(job);

    return job->spec->kind == PM_WORKLOAD_SERVICE && scheduler->cold_start.is_active &&
           waited_s < scheduler->operator_settings->replica_due_s &&
           is_boot_expected(scheduler, job);
}

bool pm_scheduler_should_await_boot(const struct pm_scheduler *scheduler,
                                    const struct pm_machine *machine, const struct pm_job *job)
{
    return pm_scheduler_may_await_boot(scheduler, job) &&
           pm_scheduler_uses_service_share(scheduler, machine, job->spec) &&
           scheduler->run.wall - pm_scheduler_waiting_since(job) >=
               pm_scheduler_start_objective_s(scheduler, job);
}
