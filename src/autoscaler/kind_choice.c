/* Chooses the machine kind to rent for tasks of a job: the cheapest one that may run them and can
 * be requested now. */
#include "autoscaler/sizing.h"

#include <math.h>

/* Typical time for which a machine is rented, in seconds. A kind's price is raised by the ratio of
 * its boot time to this time, since a booting machine is paid for too. The typical time is shorter
 * for services, so that slow boots weigh more: users of a service wait for them. */
#define SERVICE_RENTAL_S 60
#define BATCH_RENTAL_S 300

/* Returns the sizing's request for the kind, or NULL if there is none yet. */
static struct pm_scale_out_request *find_request(const struct pm_sizing *sizing, int type, int zone,
                                                 bool spot)
{
    for (int i = 0; i < sizing->request_count; i++) {
        struct pm_scale_out_request *request = &sizing->requests[i];
        if (request->type == type && request->zone == zone && request->spot == spot)
            return request;
    }
    return NULL;
}

/* Whether one more machine of the kind may be requested now. */
static bool may_request(const struct pm_sizing *sizing, int type, int zone, bool spot)
{
    const struct pm_machine_kind *kind = &sizing->autoscaler->kinds[type][zone][spot];
    const struct pm_scale_out_request *request;
    int requested;

    if (kind->backoff.until > sizing->now)
        return false;
    if (!pm_machine_kind_is_late(kind) || sizing->late_kinds == PM_LATE_KINDS_ALLOWED)
        return true;
    if (sizing->late_kinds == PM_LATE_KINDS_EXCLUDED)
        return false;
    request = find_request(sizing, type, zone, spot);
    requested = request ? request->count : 0;
    return requested < pm_autoscaler_probe_count(sizing->autoscaler, type, kind, sizing->now);
}

static bool is_available(const struct pm_sizing *sizing, const struct pm_job *job, int type,
                         int zone, bool spot)
{
    const struct pm_name_tables *tables = sizing->autoscaler->tables;

    return tables->types[type].zones >> zone & 1 &&
           pm_scheduler_is_machine_allowed(tables, job, type, zone, spot) &&
           may_request(sizing, type, zone, spot);
}

static double price_with_boot(const struct pm_machine_type *type, bool spot, bool is_service)
{
    double typical_rental_s = is_service ? SERVICE_RENTAL_S : BATCH_RENTAL_S;

    return (spot ? type->spot_price : type->price) * (1 + type->ready_s / typical_rental_s);
}

bool pm_sizing_choose_kind(const struct pm_sizing *sizing, const struct pm_job *job, int task_count,
                           int zone, bool spot_only, struct pm_scale_out_request *out)
{
    const struct pm_name_tables *tables = sizing->autoscaler->tables;
    bool is_service = job->spec->kind == PM_WORKLOAD_SERVICE;
    int first_zone = zone >= 0 ? zone : 0;
    int last_zone = zone >= 0 ? zone : tables->settings->zone_count - 1;
    double least = INFINITY;

    if (sizing->new_machines_left <= 0)
        return false;
    for (int index = 0; index < tables->type_count; index++) {
        const struct pm_machine_type *type = &tables->types[index];
        int capacity = (int)pm_spec_tasks_that_fit(job->spec, type->cpus, type->gpus, type->ram_gb);
        /* For a service the whole machine counts, because other jobs use what it leaves free. */
        int tasks = is_service ? capacity : MIN(capacity, task_count);
        for (int i = first_zone; tasks > 0 && i <= last_zone; i++)
            for (int spot = spot_only; spot < 2; spot++) {
                double task_price = price_with_boot(type, spot, is_service) / tasks;
                if (task_price < least && is_available(sizing, job, index, i, spot)) {
                    least = task_price;
                    *out = (struct pm_scale_out_request){index, i, spot, 1};
                }
            }
    }
    return least < INFINITY;
}

void pm_sizing_add_machine(struct pm_sizing *sizing, const struct pm_scale_out_request *kind)
{
    struct pm_autoscaler *autoscaler = sizing->autoscaler;
    const struct pm_machine_type *type = &autoscaler->tables->types[kind->type];
    struct pm_sizing_machine machine = {
        .free = {.cpus = type->cpus, .gpus = type->gpus, .ram_gb = type->ram_gb},
        .type = kind->type,
        .zone = kind->zone,
        .spot = kind->spot,
        .is_new = true};
    struct pm_scale_out_request *request = find_request(sizing, kind->type, kind->zone, kind->spot);

    g_array_append_val(sizing->machines, machine);
    sizing->new_machines_left--;
    autoscaler->kinds[kind->type][kind->zone][kind->spot].cpus += type->cpus;
    if (request)
        request->count++;
    else if (sizing->request_count < sizing->request_max)
        sizing->requests[sizing->request_count++] = *kind;
}
