/* What the parts of the fleet slice share; nobody else includes it. */
#ifndef PM_AUTOSCALER_INTERNAL_H
#define PM_AUTOSCALER_INTERNAL_H

#include "roles/roles.h"
#include "autoscaler/autoscaler.h"

#define EPS 1e-6
#define PM_AUTOSCALER_CALL_TIMEOUT_S 5.0 /* the cloud's answer counts only within this */
#define FLOW_S 60.0                      /* over which the stream of array work is measured */

/* What is known of one kind of machines: a type, in a zone, spot or not. */
struct kind {
    double refused_until; /* steady: the cloud had none, not asked for again before this */
    unsigned refusals;    /* in a row */
    double cpus;          /* of its machines that are up or soon will be, as of the last sizing */
    /* Boots (boots.c), as of the last look. */
    double oldest_overdue; /* steady: when the oldest overdue one was rented, INFINITY: none is */
    int overdue;           /* that boot for longer than announced */
    int up_since;          /* up, though rented no earlier than the oldest overdue one */
    double longest_boot;   /* seconds, of those that this leader saw come up */
    double probed_at;      /* steady: some were asked for while it was slow */
};

struct pm_autoscaler {
    struct pm_http_client *http;
    struct pm_name_tables *tables;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    struct pm_scheduler *plan;
    const struct pm_operator_settings *op;
    struct pm_roles *duties; /* NULL: the lead alone says who rents and returns */
    struct pm_autoscaler_hooks hooks;
    uint64_t epoch, round, bookings;
    double tokens, filled;
    int in_flight;
    struct kind kind[PM_TYPES_MAX][PM_ZONES_MAX][2]; /* per type, zone, and spot or not */
    bool types_busy, list_busy;
    bool list_known; /* a whole list was read since the lead was taken */
    bool page_due;   /* the next page of the list is yet to be asked for, not before `page_at` */
    double page_at;
    int page_failures; /* in a row */
    double types_asked, listed, list_sent;
    char since[PM_NAME_MAX];
    GHashTable *seen; /* names of the listing under way */
    GHashTable *gone; /* names whose release was confirmed: a list that lags still has them */
    double spare_want, emptied;
    GArray *bins; /* of struct bin, of the sizing under way */
    /* How much array work comes a second, in processors: fading, and since when it is measured. */
    double flow, flow_jobs, flow_at, flow_since;
    double spot_cpus;                        /* on spot machines, up or soon */
    double rent_intent_at, return_intent_at; /* steady: the last intent of each duty */
    bool writable;
    double wrote_at;                 /* steady: placements could be written then */
    double zone_heard[PM_ZONES_MAX]; /* steady: by the leader before, 0: not silent then */
    double took_at;
};

struct bin { /* a machine, up, booting or to be rented, and the room left on it */
    double cpus, gpus, ram_gb;
    int type, zone;
    bool spot, up, fresh; /* fresh: to be rented now */
    bool overdue;         /* boots for long, as all of its kind do */
};

/* The kind of a machine whose type and zone are known. */
static inline struct kind *pm_autoscaler_kind_of(struct pm_autoscaler *f,
                                                 const struct pm_machine *m)
{
    return &f->kind[m->type][m->zone][m->spot];
}

/* fleet.c: whether the cloud's limit on requests has room for one more, which is taken off it */
bool pm_autoscaler_may_call(struct pm_autoscaler *f, double now);

/* list.c: the next page, and a new list, when they are due */
void pm_autoscaler_continue_inventory(struct pm_autoscaler *f, double now);
void pm_autoscaler_start_inventory(struct pm_autoscaler *f, double now);

/* calls.c */
bool pm_autoscaler_may_scale_out(const struct pm_autoscaler *f, double now);
/* Sends these requests, of PM_INTENT_RENTED machines each at most, as far as the limits allow. */
void pm_autoscaler_scale_out(struct pm_autoscaler *f, const struct pm_scale_out_request *rents,
                             int count, double now);
/* Returns the machines that are marked for it, as many as go into one request. */
void pm_autoscaler_terminate_due(struct pm_autoscaler *f, double now);
/* Sends the open intents of the duties that are held. */
void pm_autoscaler_finish_intents(struct pm_autoscaler *f, int in_flight_max, double now);

/* boots.c: machines that come late, or never */
enum boot {
    BOOT_EXPECTED, /* most are up by that age, so it soon is */
    BOOT_LATE,     /* overdue, like most of its kind that were rented with it or later */
    BOOT_STUCK     /* overdue, while most others are up: it may never come */
};
/* Looks at all machines: which kinds are slow. */
void pm_autoscaler_track_boots(struct pm_autoscaler *f, double now);
enum boot pm_autoscaler_boot_state(const struct pm_autoscaler *f, const struct pm_machine *m,
                                   double now);
/* Whether the machine has been booting for so long that it is given up. */
bool pm_autoscaler_has_boot_failed(const struct pm_autoscaler *f, const struct pm_machine *m,
                                   double now);
/* Whether machines of the kind are late, so that one rented now would not be up before them. */
bool pm_autoscaler_is_kind_late(const struct kind *kind);
/* How many of a slow kind may be rented all the same, to find out when it is well again. */
int pm_autoscaler_probe_count(const struct pm_autoscaler *f, int type, const struct kind *kind,
                              double now);

/* size.c: processors that the stream of array work takes for certain */
double pm_autoscaler_steady_demand_cpus(const struct pm_autoscaler *f, double now);

#endif
