/* What the files of the autoscaler slice share; no other slice includes it. */
#ifndef PM_AUTOSCALER_INTERNAL_H
#define PM_AUTOSCALER_INTERNAL_H

#include "autoscaler/autoscaler.h"
#include "roles/roles.h"

/* After this long without an answer, a request to the provider counts as not answered. */
#define PM_PROVIDER_TIMEOUT_S 5.0

enum { PM_PROVIDER_HTTP_OK = 200, PM_PROVIDER_HTTP_UNAVAILABLE = 503 };

/* The share of the provider's request limit that this controller uses: a token bucket. Written by
 * request_budget.c; `in_flight` by whoever sends requests that rent or terminate. */
struct pm_request_budget {
    double tokens;
    double refilled_at; /* monotonic: of the last request for a token */
    int in_flight;      /* requests that rent or terminate, and intents being written for them */
};

/* The inventory that is being read, page by page. Written by inventory.c. */
struct pm_inventory {
    bool in_progress;
    bool is_known;               /* a whole one was read since the election */
    bool page_due;               /* the next page is yet to be requested, not before `page_at` */
    double page_at;              /* monotonic */
    int page_failures;           /* in a row, of the same page */
    double started_at;           /* monotonic: the last one began, 0: none since the election */
    GHashTable *listed;          /* set of the names that it has listed so far, owned */
    char last_name[PM_NAME_MAX]; /* the last listed: the next page begins behind it; "": none */
};

/* The request for machine types. Written by machine_types.c. */
struct pm_machine_types_request {
    bool in_flight;
    double sent_at; /* monotonic, 0: never */
};

/* The boots of one kind of machines. Written by boot_tracking.c; `probed_at` by sizing.c. */
struct pm_kind_boots {
    int overdue;              /* machines that boot for longer than announced */
    double oldest_overdue_at; /* monotonic: when the oldest of them was rented, INFINITY: none */
    int up_since;             /* machines that are up, and were rented no earlier than that one */
    double longest_s;         /* the longest boot of those that came up in this term */
    double probed_at;         /* monotonic: some were last requested while boots were late */
};

/* Capacity of one kind at the provider. Written by scale_out.c and termination.c. */
struct pm_kind_backoff {
    double until;      /* monotonic: the provider had no capacity, and is not asked before */
    unsigned refusals; /* in a row */
};

/* A kind of machines: a type, in a zone, spot or not. */
struct pm_machine_kind {
    struct pm_kind_backoff backoff;
    struct pm_kind_boots boots;
    double cpus; /* of its machines that are up or soon will be, as of the last sizing */
};

/* The rate at which array work arrives, decaying exponentially. Written by demand_rate.c. */
struct pm_demand_rate {
    double cpu_s; /* processor-seconds of the jobs counted, decayed */
    double jobs;  /* the number of the jobs counted, decayed */
    double updated_at;
    double started_at; /* monotonic: measured since, 0: not yet */
};

/* Capacity that is kept though nothing uses it. Written by headroom.c, collect_capacity in sizing.c
 * and, as machines are marked for scale-in, scale_in.c. */
struct pm_headroom {
    double service_cpus; /* to be kept free on ordinary machines */
    double spot_cpus;    /* of all spot machines that are up or soon will be */
};

/* Intents of this controller. Written by scale_out.c and termination.c. */
struct pm_intent_times {
    double scale_out_at, scale_in_at; /* monotonic: the last intent of each role was begun */
};

/* Whether the state service accepts writes. Written by pm_autoscaler_set_writable. */
struct pm_store_outage {
    bool is_writable;
    double writable_at; /* monotonic: it last was */
};

/* The election, and what is known from the leader before. Written by silent_zones.c. */
struct pm_handover {
    double elected_at; /* monotonic */
    /* Monotonic: the leader before last received a message from the zone; 0: the zone was not
     * silent then, as far as is known. */
    double zone_message_at[PM_ZONES_MAX];
};

struct pm_autoscaler {
    struct pm_http_client *http;
    struct pm_name_tables *tables;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    struct pm_scheduler *scheduler;
    const struct pm_operator_settings *operator_settings;
    struct pm_roles *roles; /* NULL: the leader rents and terminates without roles */
    struct pm_autoscaler_hooks hooks;
    uint64_t epoch;
    uint64_t term;          /* counts resets: answers to requests of an earlier one are ignored */
    uint64_t rental_number; /* of the last request without an intent in this term */
    struct pm_request_budget budget;
    struct pm_inventory inventory;
    struct pm_machine_types_request types_request;
    /* By type, zone, spot or not. */
    struct pm_machine_kind kinds[PM_MACHINE_TYPES_MAX][PM_ZONES_MAX][2];
    struct pm_demand_rate demand_rate;
    struct pm_headroom headroom;
    struct pm_intent_times intent_times;
    struct pm_store_outage outage;
    struct pm_handover handover;
    double consolidated_at;  /* monotonic: scale_in.c last had machines drained */
    GHashTable *terminated;  /* set of names, owned; written by termination.c */
    GArray *sizing_machines; /* of struct pm_sizing_machine: scratch space of a sizing */
};

/* The kind of a machine whose type and zone are known. */
static inline struct pm_machine_kind *pm_autoscaler_kind_of(struct pm_autoscaler *autoscaler,
                                                            const struct pm_machine *machine)
{
    return &autoscaler->kinds[machine->type][machine->zone][machine->spot];
}

/* ---- request_budget.c ---- */

/* Takes a token for one request to the provider. False: the request limit is reached. */
bool pm_autoscaler_may_call(struct pm_autoscaler *autoscaler, double now);

/* ---- provider_client.c: requests that rent or terminate machines ---- */

/* What became of a request to the provider. */
enum pm_provider_result {
    PM_PROVIDER_OK,
    PM_PROVIDER_NO_CAPACITY, /* none of that kind of machine is to be had now */
    PM_PROVIDER_REJECTED,    /* any other answer */
    PM_PROVIDER_NO_ANSWER,   /* it may have been, or may yet be, carried out */
    PM_PROVIDER_NOT_SENT     /* it will never be carried out */
};
/* The result that an HTTP status stands for, or PM_HTTP_NO_ANSWER or PM_HTTP_NOT_SENT. */
enum pm_provider_result pm_provider_result_of(int status);
/* The result's name, for logs; a constant. */
const char *pm_provider_result_name(enum pm_provider_result result);
/* Whether the provider has answered, whatever it was. */
bool pm_provider_result_is_answer(enum pm_provider_result result);

/* A request to the provider that rents or terminates, or the intent that is written before it. */
struct pm_provider_call {
    struct pm_autoscaler *autoscaler;
    uint64_t term;                         /* in which it was made */
    char intent_name[PM_INTENT_NAME_SIZE]; /* "": it has none */
    double sent_at;                        /* monotonic */
    /* Of a request to rent. */
    struct pm_scale_out_request request;
    char idempotency_key[PM_INTENT_NAME_SIZE +
                         8]; /* a repeated request with it rents nothing twice */
    guint rental_index;      /* in the intent */
    int attempts;            /* without an answer */
    /* Of a request to terminate. */
    GPtrArray *machine_names; /* owned; NULL in a request to rent */
};
/* A new call, owned by the caller until it is sent; then by its `done` function. */
struct pm_provider_call *pm_provider_call_new(struct pm_autoscaler *autoscaler, double now);
/* Frees it. */
void pm_provider_call_free(struct pm_provider_call *call);
/* Whether it was made in the present term. If not, the term's state does not count it any more, and
 * whoever has the role now learns of its outcome from the intent or the inventory. */
bool pm_provider_call_is_current(const struct pm_provider_call *call);
/* Sends the request, to rent under PM_ROLE_SCALE_OUT or to terminate under PM_ROLE_SCALE_IN. The
 * only way out for such requests: one with an intent is never written to the socket after this
 * controller's lease on the role may have expired, however long the process is suspended before.
 * `body` is copied; `done` is called once, with the call as its argument. */
void pm_provider_send(struct pm_provider_call *call, enum pm_role role,
                      const struct pm_buffer *body, pm_http_done *done);

/* ---- provider_codec.c: the provider's messages ---- */

/* Appends the body of a request to rent. */
void pm_scale_out_encode(const struct pm_name_tables *tables,
                         const struct pm_scale_out_request *request, const char *idempotency_key,
                         struct pm_buffer *out);
/* Appends the body of a request to terminate machines of those names. */
void pm_termination_encode(const GPtrArray *machine_names, struct pm_buffer *out);
/* The machines that an answer lists, borrowed from it; NULL: it is malformed. In an answer to a
 * request to rent the entries are names; in a page of the inventory, see below. */
const cbor_item_t *pm_provider_answer_machines(const cbor_item_t *answer);

/* A machine, as the inventory describes it. */
struct pm_listed_machine {
    char name[PM_NAME_MAX];
    double age_s; /* since it was rented, 0: not given */
    bool has_failed, is_running;
    const cbor_item_t *item; /* the entry itself, borrowed */
};
/* Whether another page follows. */
bool pm_inventory_page_has_next(const cbor_item_t *page);
/* Decodes an entry. False: it has no name. */
bool pm_listed_machine_decode(const cbor_item_t *item, struct pm_listed_machine *out);
/* Sets the type, zone and market of a machine whose type is unknown, as the entry has them; nothing
 * when the entry's type is not known here. */
void pm_listed_machine_apply_kind(struct pm_autoscaler *autoscaler,
                                  const struct pm_listed_machine *listed,
                                  struct pm_machine *machine);
/* Sets the machine's endpoint, as the entry has it. */
void pm_listed_machine_apply_endpoint(const struct pm_listed_machine *listed,
                                      struct pm_machine *machine);

/* ---- inventory.c ---- */

/* Requests the next page of the inventory, if it is due and the request limit allows. */
void pm_autoscaler_continue_inventory(struct pm_autoscaler *autoscaler, double now);
/* Begins to read the inventory anew, if that is due and the request limit allows. */
void pm_autoscaler_start_inventory(struct pm_autoscaler *autoscaler, double now);

/* ---- intents.c ---- */

/* Whether machines are rented and terminated under roles and intents now. */
bool pm_autoscaler_uses_intents(const struct pm_autoscaler *autoscaler);
/* The least time between two intents of one role, in seconds: intents use a fixed share of the
 * state service's write budget. */
double pm_autoscaler_intent_interval_s(const struct pm_autoscaler *autoscaler);
/* Records the provider's answer, or that there is none, to a call of an intent; nothing for a call
 * without one. `is_settled`: the call needs no repetition. The intent is closed once all its calls
 * are settled, and else retried. */
void pm_autoscaler_record_answer(const struct pm_provider_call *call, enum pm_role role, int status,
                                 bool is_settled, double now);

/* ---- scale_out.c ---- */

/* Whether this controller may rent now: without intents always, else if it has the role and its
 * last intent is long enough ago. */
bool pm_autoscaler_may_scale_out(const struct pm_autoscaler *autoscaler, double now);
/* Sends these requests, of PM_INTENT_INSTANCES_MAX machines each at most, as far as the limits
 * allow. */
void pm_autoscaler_scale_out(struct pm_autoscaler *autoscaler,
                             const struct pm_scale_out_request *requests, int count, double now);
/* Sends the rentals of an open intent that are neither settled nor in flight, while fewer than
 * `in_flight_max` requests are in flight and the request limit allows. */
void pm_autoscaler_send_rentals(struct pm_autoscaler *autoscaler, struct pm_intent *intent,
                                int in_flight_max, double now);

/* ---- termination.c ---- */

/* Terminates the machines that are marked for it, as many as one request may name. */
void pm_autoscaler_terminate_due(struct pm_autoscaler *autoscaler, double now);
/* Marks the machines of an open scale-in intent as being terminated, and adds those that are
 * missing; but for those whose termination is confirmed. */
void pm_autoscaler_mark_terminating(struct pm_autoscaler *autoscaler,
                                    const struct pm_intent *intent);
/* Sends the request of an open scale-in intent. */
void pm_autoscaler_send_termination(struct pm_autoscaler *autoscaler, struct pm_intent *intent,
                                    double now);

/* ---- intent_completion.c ---- */

/* Sends the open intents of the roles that this controller has, while fewer than `in_flight_max`
 * requests are in flight and the request limit allows. */
void pm_autoscaler_complete_intents(struct pm_autoscaler *autoscaler, int in_flight_max,
                                    double now);

/* ---- boot_tracking.c ---- */

/* How far the boot of a machine is. */
enum pm_boot_state {
    PM_BOOT_EXPECTED, /* most machines are up by that age, so this one soon is */
    PM_BOOT_LATE,     /* overdue, like most of its kind that were rented with it or later */
    PM_BOOT_STUCK     /* overdue, while most others are up: it may never come up */
};
/* Finds out from all machines for which kinds boots are late. Clears the kinds' capacity too, for
 * the sizing to sum. */
void pm_autoscaler_track_boots(struct pm_autoscaler *autoscaler, double now);
/* The state of the boot of a machine whose type and zone are known. */
enum pm_boot_state pm_autoscaler_boot_state(const struct pm_autoscaler *autoscaler,
                                            const struct pm_machine *machine, double now);
/* Whether the machine has been booting for so long that it is given up. */
bool pm_autoscaler_has_boot_failed(const struct pm_autoscaler *autoscaler,
                                   const struct pm_machine *machine, double now);
/* Whether boots of the kind are late, so that a machine rented now would not be up before those
 * that already boot. */
bool pm_machine_kind_is_late(const struct pm_machine_kind *kind);
/* How many machines of a late kind may be rented all the same, to find out when its boots are on
 * time again. */
int pm_autoscaler_probe_count(const struct pm_autoscaler *autoscaler, int type,
                              const struct pm_machine_kind *kind, double now);

/* ---- demand_rate.c ---- */

/* Processors that arriving array work keeps busy for certain: the measured rate, reduced the more
 * the fewer jobs it was measured by. */
double pm_autoscaler_steady_demand_cpus(const struct pm_autoscaler *autoscaler, double now);

/* ---- scale_in.c ---- */

/* Marks the machine for termination, and logs the reason. */
void pm_autoscaler_mark_machine(struct pm_machine *machine, const char *reason);

/* ---- silent_machines.c, silent_zones.c ---- */

/* Marks the machines that are lost while others of their zone are not, and those of zones that were
 * silent for a lease. Does nothing while the state service accepts
 * no writes. */
void pm_autoscaler_mark_silent_machines(struct pm_autoscaler *autoscaler, double now);
/* Marks the machines with placements in zones that have been silent since before this leader was
 * elected, for longer than a lease. `has_reported`, of PM_ZONES_MAX: a machine of the zone has sent
 * this leader a heartbeat. */
void pm_autoscaler_mark_silent_zones(struct pm_autoscaler *autoscaler, const bool *has_reported,
                                     double now);

#endif
