/* The scheduler's state, grouped by the file that writes it; nobody outside the slice includes it.
 * Guarded, as all state of a controller, by the controller's lock. */
#ifndef PM_SCHEDULER_STATE_H
#define PM_SCHEDULER_STATE_H

#include "scheduler/scheduler.h"

enum {
    PM_OCCUPANCY_BUCKETS = 96, /* that the window of occupied time is divided into */
    PM_CLASSES_MAX = 256,      /* classes whose run times are measured */
    PM_PLAN_ACTIONS_MAX = 400, /* placements made or stopped by one plan, for the lock's sake */
    PM_MARKETS = 2,            /* ordinary and spot */
    PM_PRIORITIES = PM_PRIORITY_PRODUCTION + 1
};
#define PM_EPSILON 1e-6           /* amounts that differ by less are equal */
#define PM_GANG_RESERVATION_S 8.0 /* capacity is kept for a gang for so long */
#define PM_SERVICE_SHARE 0.25     /* of a machine: see pm_scheduler_uses_service_share() */
/* A start counts only if nothing stops it for a while: a replica is not moved sooner. */
#define PM_REPLICA_SETTLED_S 35.0

/* A team's occupied machine-seconds within the window. */
struct pm_occupancy_ledger {
    double bucket[PM_OCCUPANCY_BUCKETS];
    double sum;
};

/* occupancy.c, and ledger_codec.c when a new leader starts. */
struct pm_occupancy {
    struct pm_occupancy_ledger ledger[PM_TEAMS_MAX];
    long current_bucket; /* counted in time of day */
    double charged_at;   /* monotonic: occupied time is charged up to here, 0: never */
};

/* Processors per team, for the guarantees. Counted by occupancy.c at the start of a plan; whatever
 * places, preempts or leases adds to them. */
struct pm_guarantee_usage {
    double used_cpus[PM_TEAMS_MAX];     /* of all placements */
    double stopping_cpus[PM_TEAMS_MAX]; /* of those, the ones that are being stopped */
    double reserved_cpus[PM_TEAMS_MAX]; /* being made free for the team */
};

/* An amount of what quota limits. */
struct pm_quota_amount {
    double cpus, gpus;
};

struct pm_team_usage {
    struct pm_quota_amount placed;   /* placements, until they are proven to be over */
    struct pm_quota_amount leased;   /* what leases to shards allow at once */
    struct pm_quota_amount orphaned; /* tasks that a worker reports without a placement */
    struct pm_quota_amount reported; /* of placed and orphaned: what workers report right now */
};

/* quota.c */
struct pm_quota_usage {
    struct pm_team_usage team[PM_TEAMS_MAX];
    double exceeded_logged_at[PM_TEAMS_MAX]; /* monotonic: last logged as over quota, 0: never */
    bool has_unchecked_starts;               /* something was placed since the last recheck */
    uint64_t violations;
};

/* The plan under way. scheduler.c, and whatever places or stops counts its actions. */
struct pm_plan_run {
    double wall; /* time of day */
    int actions; /* placements made or stopped so far */
    double usage_ratio[PM_TEAMS_MAX];
    GPtrArray *queue; /* of struct pm_job, borrowed: those with waiting tasks, in rank order */
};

/* What the plan under way looks up often, found once. scheduler.c (task_placement.c and
 * preemption.c remove full machines and add unschedulable requirements). */
struct pm_plan_cache {
    GPtrArray *open_machines; /* borrowed: usable, and not full */
    GArray *unschedulable;    /* of struct pm_requirements: do not fit, and capacity only shrinks
                                 within a plan */
    bool is_boot_expected[PM_MACHINE_TYPES_MAX][PM_ZONES_MAX][PM_MARKETS];
};

/* capacity.c */
struct pm_capacity_totals {
    double counted_at; /* monotonic, below 0: not counted */
    double headroom_cpus, largest_service_cpus, batch_cpus;
};

/* cold_start.c */
struct pm_cold_start {
    double until; /* monotonic: no service ran a while before this */
    bool is_active;
};

/* shard_leasing.c */
struct pm_machine_leasing {
    GPtrArray *idle_machines; /* borrowed */
    double headroom_cpus;     /* that leases may still use, below 0: not counted yet */
};

/* preemption_search.c: kept between plans so that their memory is reused. */
struct pm_preemption_scratch {
    GArray *candidates;  /* machines where something may be preempted */
    GArray *preemptible; /* placements that may be preempted on the machine looked at */
};

struct pm_scheduler {
    /* Set when it is made. */
    struct pm_name_tables *tables;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    const struct pm_operator_settings *operator_settings;

    /* Set by the controller. */
    double reserve_cpus; /* on ordinary machines, kept for services */
    bool has_full_view, is_writable;

    struct pm_occupancy occupancy;
    struct pm_guarantee_usage guarantee;
    struct pm_quota_usage quota;
    double run_time_factor[PM_CLASSES_MAX]; /* run_time.c: measured over estimated, 0: unknown */
    GArray *unmet_demand;                   /* demand.c: of struct pm_unmet_demand */
    struct pm_plan_run run;
    struct pm_plan_cache cache;
    struct pm_capacity_totals totals;
    struct pm_cold_start cold_start;
    struct pm_machine_leasing leasing;
    struct pm_preemption_scratch preemption;
};

#endif
