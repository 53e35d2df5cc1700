/* The sizing: one computation of which machines to rent now. Included only by the files that take
 * part in it.
 *
 * Three sources of demand add requests, in this order: waiting tasks (batch_backlog.c), the steady
 * stream of array work (demand_rate.c), and headroom for services (headroom.c). Waiting tasks and
 * headroom are first packed on the free capacity of machines that are booting or that this sizing
 * rents (packing.c); the steady demand counts the spot machines that are up, booting or to be
 * rented. What is left is requested as machines of the cheapest kinds (kind_choice.c).
 *
 * A sizing exists for one call of pm_autoscaler_size and does no I/O. */
#ifndef PM_AUTOSCALER_SIZING_H
#define PM_AUTOSCALER_SIZING_H

#include "autoscaler/internal.h"

/* Tolerance for rounding errors when amounts of processors are compared. */
#define PM_SIZING_CPUS_EPSILON 1e-6

/* Each source of demand adds at most this many machines to one sizing, far more than one run can
 * request. What is left is sized again in the next run. Without a limit, the memory that a sizing
 * takes would depend on amounts that users choose, such as a job's estimated run time. */
enum { PM_SIZING_NEW_MACHINES_MAX = 8192 };

/* Whether machines may be rented of kinds whose boots are late. */
enum pm_late_kinds {
    PM_LATE_KINDS_EXCLUDED,
    PM_LATE_KINDS_PROBED, /* only a few, to find out when boots are on time again */
    PM_LATE_KINDS_ALLOWED
};

/* A machine that is booting or to be rented, with the capacity that is still free on it. */
struct pm_sizing_machine {
    struct pm_machine_capacity free;
    int type, zone;
    bool spot;
    bool is_new;  /* this sizing requests the machine */
    bool is_late; /* the machine's boot state is PM_BOOT_LATE */
};

struct pm_sizing {
    struct pm_autoscaler *autoscaler;
    GArray *machines; /* of struct pm_sizing_machine, borrowed */
    struct pm_scale_out_request *requests;
    int request_count, request_max;
    enum pm_late_kinds late_kinds;
    int new_machines_left; /* how many more machines the current source of demand may add */
    double now, wall_now;
};

/* Converts a number of tasks to an integer. A number that is above the largest job's is limited to
 * that, since a large floating-point number has no defined integer value. */
static inline int pm_sizing_task_count(double tasks)
{
    return (int)CLAMP(tasks, 0, PM_JOB_TASKS_MAX);
}

/* ---- kind_choice.c ---- */

/* Chooses the machine kind with the lowest cost per task of the job, when `task_count` tasks need a
 * machine, and sets `out` to a request for one machine of that kind. `zone` is the only zone
 * allowed, or -1 for any zone. Returns false if no kind can be requested, or if the current source
 * of demand has added as many machines as it may. */
bool pm_sizing_choose_kind(const struct pm_sizing *sizing, const struct pm_job *job, int task_count,
                           int zone, bool spot_only, struct pm_scale_out_request *out);
/* Adds one machine of the kind to the sizing's machines and to its requests. The request is left
 * out if the sizing already requests `request_max` other kinds. */
void pm_sizing_add_machine(struct pm_sizing *sizing, const struct pm_scale_out_request *kind);

/* ---- packing.c ---- */

/* Packs `tasks` tasks of the job on the sizing's machines, and requests machines for the tasks that
 * do not fit. The first `ordinary_tasks` tasks may use ordinary machines; the others may use only
 * spot machines. */
void pm_sizing_pack(struct pm_sizing *sizing, const struct pm_job *job, int tasks,
                    int ordinary_tasks);

/* ---- batch_jobs.c: properties of array jobs that the sizing uses ---- */

/* Whether the job is an array job that may run on spot machines. */
bool pm_sizing_is_spot_array(const struct pm_job *job);
/* Whether the job uses only idle capacity: a best-effort job without a deadline whose class has no
 * service-level objective. A machine is rented for such a job only if the capacity for array work
 * is too small for one of its tasks. */
bool pm_sizing_is_opportunistic(const struct pm_autoscaler *autoscaler, const struct pm_job *job);
/* Returns the time, in seconds, within which a backlog of jobs like this one is to be done if no
 * deadline applies. */
double pm_sizing_backlog_target_s(const struct pm_autoscaler *autoscaler, const struct pm_job *job);
/* Returns the estimated duration of a task of the job in seconds, with a margin; at least 1. */
double pm_sizing_task_duration_s(const struct pm_autoscaler *autoscaler, const struct pm_job *job);

/* ---- batch_backlog.c ---- */

/* Adds the machines that the scheduler's unmet demand needs. */
void pm_sizing_add_unmet_demand(struct pm_sizing *sizing);

/* ---- demand_rate.c ---- */

/* Updates the demand rate with the array jobs that have arrived since the last call. */
void pm_autoscaler_measure_demand(struct pm_autoscaler *autoscaler, double now, double wall_now);
/* Adds spot machines for the steady demand of array work. */
void pm_sizing_add_steady_demand(struct pm_sizing *sizing);

/* ---- headroom.c ---- */

/* Adds ordinary machines for the headroom that services need, and sets the target of the headroom
 * as the scheduler's reserve. */
void pm_sizing_add_headroom(struct pm_sizing *sizing);

#endif
