/* What the parts of the planner share; nobody else includes it. */
#ifndef PM_SCHEDULER_INTERNAL_H
#define PM_SCHEDULER_INTERNAL_H

#include "scheduler/scheduler.h"
#include "workers/failures.h"

enum { BUCKETS = 96, CLASSES_MAX = 256, STEPS_MAX = 400 };
#define EPS 1e-6
#define CLAIM_S 8.0  /* room cleared for a gang is kept for it so long */
#define CROWDED 0.25 /* of a machine: see crowded() */

struct ledger { /* a team's occupied machine-seconds in a window of buckets */
    double bucket[BUCKETS];
    double sum;
};

/* Of a team's limit. */
struct pm_quota_usage {
    double cpus, gpus;
};

struct team_use {
    struct pm_quota_usage own;      /* places that are not proven gone */
    struct pm_quota_usage leased;   /* what leases out allow at once */
    struct pm_quota_usage stray;    /* tasks that a worker reports and no place is known of */
    struct pm_quota_usage reported; /* of own and stray: what workers say is there now */
};

struct pm_scheduler {
    struct pm_name_tables *tables;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    const struct pm_operator_settings *op;
    struct ledger ledger[PM_TEAMS_MAX];
    long bucket; /* the bucket in force, counted in time of day */
    double charged_at;
    struct team_use use[PM_TEAMS_MAX]; /* see use.c: for the limits */
    bool unchecked;                    /* something was placed since starts were last checked */
    double over_told[PM_TEAMS_MAX];    /* steady: the team was last told to be over its limit */
    uint64_t violations;               /* of a limit, as seen here */
    double actual[PM_TEAMS_MAX];       /* processors in use: for the guarantees */
    double yielding[PM_TEAMS_MAX];     /* processors of tasks that are being stopped */
    double promised[PM_TEAMS_MAX];     /* processors that are being made free for the team */
    GArray *wants;
    GPtrArray *queue;
    double ratio[PM_TEAMS_MAX];
    double factor[CLASSES_MAX]; /* measured run time over the owner's estimate, 0: unknown */
    double reserve;             /* processors on ordinary machines kept for services */
    int steps;
    bool sees_all, writable;
    double day;        /* time of day of the run under way */
    double cold_until; /* steady: no service ran a while before this */
    bool cold;
    /* Of the run under way, so that its work goes with what can change, not with all there is. */
    GPtrArray *room;  /* machines that may be used and are not full */
    GArray *hopeless; /* of struct need: found no room, and room only shrinks within a run */
    bool soon[PM_TYPES_MAX][PM_ZONES_MAX][2]; /* one boots: type, zone, spot */
    double spare; /* see pm_scheduler_is_machine_leasable, below 0: not counted yet */
    struct totals {
        double at, spare, largest,
            pool; /* as of that time; see pm_scheduler_headroom_cpus and its kin */
    } totals;
    GPtrArray *whole;   /* see pm_scheduler_find_idle_machines */
    GArray *candidates; /* of struct candidate: machines where something may be stopped */
    GArray *victims;    /* of struct victim: what may be stopped on the machine looked at */
};

/* What decides whether a task finds room, as far as jobs share it. */
struct need {
    uint64_t types;
    uint32_t zones; /* bit i: may start in zone i */
    int team;       /* -1: whichever */
    enum pm_priority priority;
    bool spot;
    double cpus, gpus, ram_gb;
};

/* Where the job's tasks are that are not proven gone: per zone, and on one machine. */
struct spread {
    uint32_t zone[PM_ZONES_MAX];
    uint32_t unknown; /* on machines that a new leader has not heard of yet: in any zone */
    uint32_t total;
};

/* Room on each machine that is spoken for: processors, accelerators, memory. */
typedef double spoken[3];

/* use.c */
/* Counts all teams' use anew. */
void pm_quota_count(struct pm_scheduler *p, double now);
struct pm_quota_usage pm_quota_total(const struct pm_scheduler *p, int team);
void pm_quota_add_own(struct pm_scheduler *p, const struct pm_spec *spec, uint32_t tasks);
/* Whether so many more tasks are within the team's limits. */
bool pm_quota_allows(const struct pm_scheduler *p, const struct pm_spec *spec, uint32_t tasks);

/* ledger.c */
void pm_scheduler_charge_occupancy(struct pm_scheduler *p, double now, double day);
bool pm_scheduler_is_unallocated(const struct pm_job *job);

/* fit.c */
struct pm_machine *pm_scheduler_best_machine(struct pm_scheduler *p, const struct pm_job *job,
                                             const struct spread *at, int only_zone, double now);
bool pm_scheduler_is_machine_usable(const struct pm_scheduler *p, const struct pm_machine *m,
                                    double now);
struct need pm_scheduler_need_of(const struct pm_scheduler *p, const struct pm_job *job,
                                 const struct spread *at, int team);
void pm_scheduler_count_zones(const struct pm_job *job, struct spread *out);
/* Whether a replica is to wait for a machine that boots, on a cold start. */
bool pm_scheduler_awaits_boot(const struct pm_scheduler *p, const struct pm_job *job);
bool pm_scheduler_rather_waits(const struct pm_scheduler *p, const struct pm_machine *m,
                               const struct pm_job *job);
bool pm_scheduler_claimed_by_other(const struct pm_machine *m, const struct pm_job *job,
                                   double now);
bool pm_scheduler_boot_expected(const struct pm_scheduler *p, const struct pm_job *job);
bool pm_scheduler_has_image(const struct pm_machine *m, int image);
uint32_t pm_scheduler_of_job(const struct pm_machine *m, const struct pm_job *job);
bool pm_scheduler_is_unschedulable(const struct pm_scheduler *p, const struct need *need);
bool pm_scheduler_has_free_capacity(const struct pm_machine *m, const struct pm_spec *spec);
bool pm_scheduler_better_cleared(struct pm_scheduler *p, const struct pm_machine *m,
                                 const struct pm_job *job, const struct spread *at, double now);
double pm_scheduler_yielding_room(const struct pm_machine *m);
double pm_scheduler_fetches_before(const struct pm_scheduler *p, const struct pm_machine *m,
                                   const struct pm_spec *spec);
bool pm_scheduler_zone_ok(const struct pm_job *job, const struct spread *at, int zone);

/* gangs.c */
bool pm_scheduler_await_room(struct pm_scheduler *p, struct pm_job *job, int only_zone, double now);
void pm_scheduler_clear_gang(struct pm_scheduler *p, struct pm_job *job, spoken *spoken_for,
                             double now);
bool pm_scheduler_place_gang(struct pm_scheduler *p, struct pm_job *job, int only_zone,
                             bool guarantee, double now);

/* preempt.c */
/* The arrays that preempting uses are made, and freed. */
void pm_scheduler_preempt_begin(struct pm_scheduler *p);
void pm_scheduler_preempt_end(struct pm_scheduler *p);
/* Whether a task of the job, were it placed now, would be one that `other` may have stopped. */
bool pm_scheduler_yields_to(const struct pm_scheduler *p, const struct pm_job *job,
                            const struct pm_job *other);
double pm_scheduler_leave_for(const struct pm_placement *place, bool hurry);
struct pm_machine *pm_scheduler_clear_one(struct pm_scheduler *p, struct pm_job *job,
                                          spoken *spoken_for, struct spread *at, int only_zone,
                                          bool dry, double now);
void pm_scheduler_stop_disallowed_tasks(struct pm_scheduler *p, double now);

/* rank.c */
double pm_scheduler_since(const struct pm_job *job);
void pm_scheduler_measure_left(struct pm_scheduler *p);
void pm_scheduler_mark_starving(struct pm_scheduler *p, double now);

/* plan.c */
void pm_scheduler_place_task(struct pm_scheduler *p, struct pm_job *job, uint32_t index,
                             struct pm_machine *m, uint32_t attempt, struct spread *at, double now);
bool pm_scheduler_within(const struct pm_scheduler *p, const struct pm_job *job, uint32_t tasks,
                         bool guarantee);

#endif
