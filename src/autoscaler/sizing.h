/* One sizing: what to rent now. Shared by the files that take part in it; nobody else includes it.
 *
 * Three needs add requests, in this order: tasks that wait (batch_backlog.c), array work that keeps
 * arriving (demand_rate.c), and headroom for services (headroom.c). Each first uses the free
 * capacity of machines that boot already or that this sizing rents (packing.c), and then requests
 * the cheapest kinds (kind_choice.c).
 *
 * A sizing lives for one call of pm_autoscaler_size, and does no I/O. */
#ifndef PM_AUTOSCALER_SIZING_H
#define PM_AUTOSCALER_SIZING_H

#include "autoscaler/internal.h"

/* Amounts of processors that differ by no more count as equal. */
#define PM_SIZING_CPUS_EPSILON 1e-6

/* Whether more machines of kinds whose boots are late may be rented. */
enum pm_late_kinds {
    PM_LATE_KINDS_EXCLUDED,
    PM_LATE_KINDS_PROBED, /* a few, to find out when boots are on time again */
    PM_LATE_KINDS_ALLOWED
};

/* A machine that boots or is to be rented, and its capacity that is still free. */
struct pm_sizing_machine {
    struct pm_machine_capacity free;
    int type, zone;
    bool spot;
    bool is_new;  /* to be rented by this sizing */
    bool is_late; /* it has booted for long, like most of its kind */
};

struct pm_sizing {
    struct pm_autoscaler *autoscaler;
    GArray *machines; /* of struct pm_sizing_machine, borrowed */
    struct pm_scale_out_request *requests;
    int request_count, request_max;
    enum pm_late_kinds late_kinds;
    double now, wall_now;
};

/* ---- kind_choice.c ---- */

/* Sets `out` to a request for one machine of the kind that runs the job's tasks at the least cost
 * each, when `task_count` of them need a machine. `zone` is the only one allowed, -1: any is.
 * False: none is to be had. */
bool pm_sizing_choose_kind(const struct pm_sizing *sizing, const struct pm_job *job, int task_count,
                           int zone, bool spot_only, struct pm_scale_out_request *out);
/* Adds one machine of that kind to the requests and to the sizing's machines. Beyond `request_max`
 * kinds it is only counted as a machine. */
void pm_sizing_add_machine(struct pm_sizing *sizing, const struct pm_scale_out_request *kind);

/* ---- packing.c ---- */

/* Packs tasks of the job on the sizing's machines, and requests machines for the rest. The first
 * `ordinary_tasks` of them may have ordinary machines, the others spot machines only. */
void pm_sizing_pack(struct pm_sizing *sizing, const struct pm_job *job, int tasks,
                    int ordinary_tasks);

/* ---- batch_jobs.c: array jobs, as the sizing sees them ---- */

/* Whether it is an array job that may run on spot machines. */
bool pm_sizing_is_spot_array(const struct pm_job *job);
/* Whether the job only uses capacity that is idle: a best-effort job without a deadline, of a class
 * without a service-level objective. No machines are rented for it, but for the first. */
bool pm_sizing_is_opportunistic(const struct pm_autoscaler *autoscaler, const struct pm_job *job);
/* Within what time a backlog of such jobs is to be worked off, in seconds. */
double pm_sizing_backlog_target_s(const struct pm_autoscaler *autoscaler, const struct pm_job *job);
/* Seconds that a task of the job probably needs, with a margin; at least 1. */
double pm_sizing_task_s(const struct pm_autoscaler *autoscaler, const struct pm_job *job);

/* ---- batch_backlog.c ---- */

/* Adds what the scheduler's unmet demand needs. */
void pm_sizing_add_unmet_demand(struct pm_sizing *sizing);

/* ---- demand_rate.c ---- */

/* Counts the array jobs that have arrived since the last call in the demand rate. */
void pm_autoscaler_measure_demand(struct pm_autoscaler *autoscaler, double now, double wall_now);
/* Adds spot machines for the steady demand of array work. */
void pm_sizing_add_steady_demand(struct pm_sizing *sizing);

/* ---- headroom.c ---- */

/* Adds ordinary machines for the headroom that services need, and sets it as the
 * scheduler's reserve. */
void pm_sizing_add_headroom(struct pm_sizing *sizing);

#endif
