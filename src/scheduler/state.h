/* The scheduler's state, grouped by the file that writes it; not included outside the slice.
 * Guarded by the controller's lock, like all state of a controller. */
#ifndef PM_SCHEDULER_STATE_H
#define PM_SCHEDULER_STATE_H

#include "scheduler/scheduler.h"

enum {
    PM_OCCUPANCY_BUCKETS = 96, /* equal parts of the window of occupied time */
    PM_CLASSES_MAX = 256,      /* classes whose run times are measured */
    /* Placements made or stopped by one plan; limits how long it holds the controller's lock. */
    PM_PLAN_ACTIONS_MAX = 400,
    PM_MARKETS = 2, /* of machines: 0 is ordinary, 1 is spot */
    PM_PRIORITIES = PM_PRIORITY_PRODUCTION + 1
};
#define PM_EPSILON 1e-6           /* amounts that differ by less count as equal */
#define PM_GANG_RESERVATION_S 8.0 /* how long capacity is reserved for a gang */
/* Share of a machine's processors; see pm_scheduler_uses_service_share(). */
#define PM_SERVICE_SHARE 0.25
/* How long a replica runs before it may be moved: its start counts as successful only if the
 * replica is not stopped for a while. */
#define PM_REPLICA_SETTLED_S 35.0

/* A team's occupied machine-seconds within the window. */
struct pm_occupancy_ledger {
    double bucket[PM_OCCUPANCY_BUCKETS];
    double sum;
};

/* Written by occupancy.c, and by ledger_codec.c when a new leader starts. */
struct pm_occupancy {
    struct pm_occupancy_ledger ledger[PM_TEAMS_MAX];
    long current_bucket; /* number of the bucket of the current time of day */
    double charged_at;   /* monotonic: occupied time is charged up to this time; 0: never charged */
};

/* The processors of each team that are compared with its guarantee. occupancy.c counts them at the
 * start of a plan; placing, preempting and leasing add to them. */
struct pm_guarantee_usage {
    double used_cpus[PM_TEAMS_MAX];     /* of all placements */
    double stopping_cpus[PM_TEAMS_MAX]; /* the part of used_cpus that is being stopped */
    double reserved_cpus[PM_TEAMS_MAX]; /* being freed for the team by preemption */
};

/* Amounts of the resources that a quota limits. */
struct pm_quota_amount {
    double cpus, gpus;
};

struct pm_team_usage {
    struct pm_quota_amount placed;   /* placements that are not proven to have ended */
    struct pm_quota_amount leased;   /* tasks that leases allow shards to run at once */
    struct pm_quota_amount orphaned; /* tasks that workers report but that have no placement */
    struct pm_quota_amount reported; /* the part of placed and orphaned that workers report now */
};

/* Written by quota.c. */
struct pm_quota_usage {
    struct pm_team_usage team[PM_TEAMS_MAX];
    double exceeded_logged_at[PM_TEAMS_MAX]; /* monotonic: last logged as over quota, 0: never */
    bool has_unchecked_starts;               /* placements were proposed since the last recheck */
    uint64_t violations;
};

/* The current plan. Written by scheduler.c; all code that places or stops tasks increments
 * `actions`. */
struct pm_plan_run {
    double wall; /* time of day when the plan began */
    int actions; /* placements made or stopped so far */
    double usage_ratio[PM_TEAMS_MAX];
    GPtrArray *queue; /* of struct pm_job, borrowed: the jobs with waiting tasks, in rank order */
};

/* What the current plan looks up often, computed once. Written by scheduler.c; task_placement.c
 * removes full machines, and task_placement.c and preemption.c add unschedulable requirements. */
struct pm_plan_cache {
    GPtrArray *available_machines; /* borrowed: usable, with free processors */
    /* Of struct pm_requirements: those that no machine meets. They stay unmet for the rest of the
     * plan, because capacity only shrinks within a plan. */
    GArray *unschedulable;
    bool is_boot_expected[PM_MACHINE_TYPES_MAX][PM_ZONES_MAX][PM_MARKETS];
};

/* Written by capacity.c. */
struct pm_capacity_totals {
    double counted_at; /* monotonic, negative: not counted yet */
    double headroom_cpus, largest_service_cpus, batch_cpus;
};

/* Written by cold_start.c. */
struct pm_cold_start {
    double until; /* monotonic: the end of the latest cold start */
    bool is_active;
};

/* Written by shard_leasing.c. */
struct pm_machine_leasing {
    GPtrArray *idle_machines; /* borrowed */
    double headroom_cpus;     /* what leases may still use of it; negative: not counted yet */
};

/* Written by preemption_search.c. Kept between plans to reuse the memory. */
struct pm_preemption_scratch {
    GArray *candidates;  /* machines where tasks could be made to fit */
    GArray *preemptible; /* placements that may be preempted on the machine being searched */
};

struct pm_scheduler {
    /* Set on creation. */
    struct pm_name_tables *tables;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    const struct pm_operator_settings *operator_settings;

    /* Set by the controller. */
    double reserve_cpus; /* on ordinary machines, kept free for services */
    /* Whether it sees the usage of all teams, as the leader does and the owner of a shard does not;
     * whether placements can be written to the store now. */
    bool sees_all_teams, is_writable;

    struct pm_occupancy occupancy;
    struct pm_guarantee_usage guarantee;
    struct pm_quota_usage quota;
    double run_time_factor[PM_CLASSES_MAX]; /* run_time.c: measured / estimated, 0: unknown */
    GArray *unmet_demand;                   /* demand.c: of struct pm_unmet_demand */
    struct pm_plan_run run;
    struct pm_plan_cache cache;
    struct pm_capacity_totals totals;
    struct pm_cold_start cold_start;
    struct pm_machine_leasing leasing;
    struct pm_preemption_scratch preemption;
};

#endif
