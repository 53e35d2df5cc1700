/* Internal header of the autoscaler slice: its state, and the functions that its files share. Other
 * slices include autoscaler.h instead. */
#ifndef PM_AUTOSCALER_INTERNAL_H
#define PM_AUTOSCALER_INTERNAL_H

#include "autoscaler/autoscaler.h"
#include "roles/roles.h"

/* Timeout of a request to the provider. */
#define PM_PROVIDER_TIMEOUT_S 5.0

enum { PM_PROVIDER_HTTP_OK = 200, PM_PROVIDER_HTTP_UNAVAILABLE = 503 };

/* Token bucket that keeps this controller within its share of the provider's request limit. Written
 * by request_budget.c; scale_out.c, termination.c and provider_client.c write `in_flight`. */
struct pm_request_budget {
    double tokens;
    /* Monotonic time of the last attempt to acquire a token, which also refills the bucket. Code
     * that handles an answer uses it as an approximation of the current time. */
    double refilled_at;
    int in_flight; /* requests to rent or terminate, plus intents being written for them */
};

/* State of reading the provider's inventory page by page. Written by inventory.c. */
struct pm_inventory {
    bool in_progress;
    bool is_known;       /* a complete inventory was read since the election */
    bool page_due;       /* the next page is to be requested at `next_page_at` or later */
    double next_page_at; /* monotonic */
    int page_failures;   /* consecutive failures of the current page */
    double started_at;   /* monotonic start of the last inventory; 0: none since the election */
    GHashTable *listed;  /* owned set of the machine names listed so far */
    char last_name[PM_NAME_MAX]; /* last name listed, after which the next page starts; "": none */
};

/* State of the request for machine types. Written by machine_types.c. */
struct pm_machine_types_request {
    bool in_flight;
    double sent_at; /* monotonic time of the last request; 0: none was sent */
};

/* Boot statistics of one machine kind. Written by boot_tracking.c; `probed_at` by sizing.c. */
struct pm_kind_boots {
    /* Number of booting machines that are older than the expected boot time of their type. */
    int overdue_count;
    /* Monotonic time at which the oldest overdue machine was rented; INFINITY: none is overdue. */
    double oldest_overdue_rented_at;
    /* Machines that are up and were rented no earlier than the oldest overdue machine. */
    int newer_up_count;
    double longest_boot_s; /* longest boot among the machines rented in this term that are up */
    /* Monotonic time of the last request for machines of this kind while its boots were late. */
    double probed_at;
};

/* Back-off from requesting one machine kind. Written by scale_out.c and termination.c. */
struct pm_kind_backoff {
    double until;      /* monotonic time before which the kind is not requested */
    unsigned refusals; /* consecutive answers without the full capacity */
};

/* A machine kind: a machine type in one zone, either spot or ordinary. */
struct pm_machine_kind {
    struct pm_kind_backoff backoff;
    struct pm_kind_boots boots;
    double cpus; /* processors of its machines that are up or soon will be, as of the last sizing */
};

/* Rate at which array work arrives, as an exponentially decaying sum. Written by demand_rate.c. */
struct pm_demand_rate {
    double cpu_s;      /* decayed sum of the processor-seconds of the jobs counted */
    double jobs;       /* decayed number of the jobs counted */
    double updated_at; /* monotonic time of the last decay of the sums */
    double started_at; /* monotonic start of the measurement; 0: it has not started */
};

/* The target for free capacity on ordinary machines, and the total spot capacity, which is compared
 * with the steady demand. Written by headroom.c, by collect_capacity in sizing.c, and by scale_in.c
 * when it marks a machine for termination. */
struct pm_headroom {
    double target_free_cpus;   /* processors to keep free for services on ordinary machines */
    double spot_capacity_cpus; /* processors of all spot machines that are up or soon will be */
};

/* Monotonic times at which this controller last began to write an intent, by role. Written by
 * scale_out.c and termination.c. */
struct pm_intent_times {
    double scale_out_at, scale_in_at;
};

/* Whether placements can be written to the state service, as last set by
 * pm_autoscaler_set_writable. */
struct pm_store_writability {
    bool is_writable;
    double last_writable_at; /* monotonic */
};

/* The election of this leader and what it knows from its predecessor. Written by silent_zones.c. */
struct pm_handover {
    double elected_at; /* monotonic */
    /* Monotonic time at which the previous leader last received a message from the zone; 0: the
     * previous leader did not record the zone as silent. */
    double zone_last_message_at[PM_ZONES_MAX];
};

struct pm_autoscaler {
    struct pm_http_client *http;
    struct pm_name_tables *tables;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    struct pm_scheduler *scheduler;
    const struct pm_operator_settings *operator_settings;
    struct pm_roles *roles; /* NULL: the leader rents and terminates machines without roles */
    struct pm_autoscaler_hooks hooks;
    uint64_t epoch;
    /* Number of calls of pm_autoscaler_reset. Each call starts a term, at an election, which gives
     * the term its epoch, or at a step-down. Answers to requests of earlier terms are ignored. */
    uint64_t term;
    uint64_t rental_number; /* number of the last request to rent without an intent in this term */
    struct pm_request_budget budget;
    struct pm_inventory inventory;
    struct pm_machine_types_request types_request;
    /* Indexed by type, zone and spot flag. */
    struct pm_machine_kind kinds[PM_MACHINE_TYPES_MAX][PM_ZONES_MAX][2];
    struct pm_demand_rate demand_rate;
    struct pm_headroom headroom;
    struct pm_intent_times intent_times;
    struct pm_store_writability writability;
    struct pm_handover handover;
    double limit_logged_at;  /* monotonic: a limited sizing was last logged; written by sizing.c */
    double consolidated_at;  /* monotonic time of the last consolidation; written by scale_in.c */
    GHashTable *terminated;  /* owned set of machine names; written by termination.c */
    GArray *sizing_machines; /* of struct pm_sizing_machine; scratch space for one sizing */
};

/* Returns the kind of a machine whose type and zone are known. */
static inline struct pm_machine_kind *pm_autoscaler_kind_of(struct pm_autoscaler *autoscaler,
                                                            const struct pm_machine *machine)
{
    return &autoscaler->kinds[machine->type][machine->zone][machine->spot];
}

/* ---- request_budget.c ---- */

/* Acquires a token for one request to the provider. Returns false, and acquires none, if the
 * request limit is reached. */
bool pm_autoscaler_acquire_request_token(struct pm_autoscaler *autoscaler, double now);

/* ---- provider_client.c: requests that rent or terminate machines ---- */

/* Result of a request to the provider. */
enum pm_provider_result {
    PM_PROVIDER_OK,
    PM_PROVIDER_NO_CAPACITY, /* the provider has no machine of that kind now */
    PM_PROVIDER_REJECTED,    /* the provider refused the request for another reason */
    PM_PROVIDER_NO_ANSWER,   /* the provider may have carried out the request, or may do so later */
    PM_PROVIDER_NOT_SENT     /* the provider will never carry out the request */
};
/* Maps an HTTP status, PM_HTTP_NO_RESPONSE or PM_HTTP_NOT_SENT to a result. */
enum pm_provider_result pm_provider_result_of(int status);
/* Returns the result's name for logs, a string constant. */
const char *pm_provider_result_name(enum pm_provider_result result);
/* Whether the provider has answered the request, even with an error. */
bool pm_provider_result_is_answer(enum pm_provider_result result);

/* A request to rent or terminate machines, or the intent that is written before such a request. */
struct pm_provider_call {
    struct pm_autoscaler *autoscaler;
    uint64_t term;                         /* the term in which the call was made */
    char intent_name[PM_INTENT_NAME_SIZE]; /* "": the call has no intent */
    double sent_at;                        /* monotonic */
    /* Fields of a request to rent. A repeated request with the same idempotency key rents no
     * further machines. */
    struct pm_scale_out_request request;
    char idempotency_key[PM_INTENT_NAME_SIZE + 8];
    guint rental_index;      /* index of the rental in the intent */
    int unanswered_attempts; /* number of attempts that got no answer */
    /* Fields of a request to terminate. */
    GPtrArray *machine_names; /* owned; NULL in a request to rent */
};
/* Returns a new call. The caller owns it until it is sent; then its `done` function does. */
struct pm_provider_call *pm_provider_call_new(struct pm_autoscaler *autoscaler, double now);
/* Frees the call and its machine names. */
void pm_provider_call_free(struct pm_provider_call *call);
/* Whether the call was made in the current term. The answer to a call of an earlier term is
 * ignored, and the call no longer counts as in flight. The current holder of the call's role
 * (PM_ROLE_SCALE_OUT or PM_ROLE_SCALE_IN) learns the outcome from the intent or the inventory. */
bool pm_provider_call_is_current(const struct pm_provider_call *call);
/* Sends a request to rent under PM_ROLE_SCALE_OUT or to terminate under PM_ROLE_SCALE_IN. All such
 * requests go through this function: it ensures that a request with an intent is never written to
 * the socket after this controller's lease on the role may have expired, even if the process was
 * suspended in between. `body` is copied; `done` is called once, with the call as its argument. */
void pm_provider_send(struct pm_provider_call *call, enum pm_role role,
                      const struct pm_buffer *body, pm_http_done *done);

/* ---- provider_codec.c: the provider's messages ---- */

/* Appends the body of a request to rent machines to `out`. */
void pm_scale_out_encode(const struct pm_name_tables *tables,
                         const struct pm_scale_out_request *request, const char *idempotency_key,
                         struct pm_buffer *out);
/* Appends the body of a request to terminate the named machines to `out`. */
void pm_termination_encode(const GPtrArray *machine_names, struct pm_buffer *out);
/* Returns the list of machines in an answer, borrowed from it, or NULL if the answer is malformed.
 * In the answer to a request to rent, the entries are names. In a page of the inventory, they are
 * maps, which pm_listed_machine_decode decodes. */
const cbor_item_t *pm_provider_answer_machines(const cbor_item_t *answer);

/* A machine as the inventory describes it. */
struct pm_listed_machine {
    char name[PM_NAME_MAX];
    double age_s; /* time since the machine was rented; 0: not given */
    bool has_failed, is_running;
    const cbor_item_t *item; /* the inventory's entry, borrowed */
};
/* Whether another page of the inventory follows this one. */
bool pm_inventory_page_has_next(const cbor_item_t *page);
/* Decodes an entry of the inventory. Returns false if the entry has no name. */
bool pm_listed_machine_decode(const cbor_item_t *item, struct pm_listed_machine *out);
/* Sets the machine's type, zone and spot flag from the inventory's entry. Does nothing if this
 * controller does not know the entry's type. */
void pm_listed_machine_apply_kind(struct pm_autoscaler *autoscaler,
                                  const struct pm_listed_machine *listed,
                                  struct pm_machine *machine);
/* Sets the machine's endpoint from the inventory's entry. */
void pm_listed_machine_apply_endpoint(const struct pm_listed_machine *listed,
                                      struct pm_machine *machine);

/* ---- inventory.c ---- */

/* Requests the next page of the inventory if it is due and the request limit allows it. */
void pm_autoscaler_continue_inventory(struct pm_autoscaler *autoscaler, double now);
/* Starts to read a new inventory if one is due and the request limit allows it. */
void pm_autoscaler_start_inventory(struct pm_autoscaler *autoscaler, double now);

/* ---- intents.c ---- */

/* Whether machines are currently rented and terminated under roles and intents. */
bool pm_autoscaler_uses_intents(const struct pm_autoscaler *autoscaler);
/* Returns the minimum interval between two intents of one role, in seconds. It keeps intents within
 * a fixed share of the state service's write budget. */
double pm_autoscaler_intent_interval_s(const struct pm_autoscaler *autoscaler);
/* Records the outcome of a call in the call's intent, including that the provider did not answer.
 * `is_settled` tells that the call need not be repeated. The intent is closed once all its calls
 * are settled, and retried otherwise. Does nothing for a call without an intent. */
void pm_autoscaler_record_outcome(const struct pm_provider_call *call, enum pm_role role,
                                  int status, bool is_settled, double now);

/* ---- scale_out.c ---- */

/* Whether this controller may rent machines now. With intents it must hold the scale-out role, and
 * the minimum interval since its last intent must have passed; without intents it always may. */
bool pm_autoscaler_may_scale_out(const struct pm_autoscaler *autoscaler, double now);
/* Sends the requests as far as the request limit allows. With intents, writes the first
 * PM_INTENT_RENTALS_MAX requests as one intent instead, and sends them once the intent is durable.
 * The caller must limit each request to PM_INTENT_INSTANCES_MAX machines. */
void pm_autoscaler_scale_out(struct pm_autoscaler *autoscaler,
                             const struct pm_scale_out_request *requests, int count, double now);
/* Sends the rentals of an open intent that are neither settled nor in flight, as long as fewer than
 * `in_flight_max` requests are in flight and the request limit allows it. */
void pm_autoscaler_send_rentals(struct pm_autoscaler *autoscaler, struct pm_intent *intent,
                                int in_flight_max, double now);

/* ---- termination.c ---- */

/* Requests the termination of machines that are marked for it, as many as one request may name. */
void pm_autoscaler_terminate_due(struct pm_autoscaler *autoscaler, double now);
/* Marks the machines of an open scale-in intent as being terminated, and adds those that the table
 * of machines lacks. Skips machines whose termination is confirmed. */
void pm_autoscaler_mark_intent_machines(struct pm_autoscaler *autoscaler,
                                        const struct pm_intent *intent);
/* Sends the request to terminate the machines of an open scale-in intent. */
void pm_autoscaler_send_termination(struct pm_autoscaler *autoscaler, struct pm_intent *intent,
                                    double now);

/* ---- intent_completion.c ---- */

/* Sends the requests of open intents for the roles that this controller holds, as long as fewer
 * than `in_flight_max` requests are in flight and the request limit allows it. */
void pm_autoscaler_complete_intents(struct pm_autoscaler *autoscaler, int in_flight_max,
                                    double now);

/* ---- boot_tracking.c ---- */

/* How far along a machine's boot is, compared with other boots of its type and kind. */
enum pm_boot_state {
    PM_BOOT_EXPECTED, /* still within the time in which most machines of its type come up */
    PM_BOOT_LATE,     /* overdue, and boots of its kind are late in general */
    PM_BOOT_STUCK     /* overdue, although boots of its kind are not late in general */
};
/* Updates the boot statistics of each kind from all machines. Also resets the capacity of each kind
 * to 0, which the sizing then sums anew. */
void pm_autoscaler_track_boots(struct pm_autoscaler *autoscaler, double now);
/* Returns the boot state of a machine whose type and zone are known. */
enum pm_boot_state pm_autoscaler_boot_state(const struct pm_autoscaler *autoscaler,
                                            const struct pm_machine *machine, double now);
/* Whether the machine has been booting for so long that it is to be terminated. */
bool pm_autoscaler_has_boot_timed_out(const struct pm_autoscaler *autoscaler,
                                      const struct pm_machine *machine, double now);
/* Whether boots of the kind are late in general: more machines are overdue than are up among those
 * rented no earlier than the oldest overdue one. A machine of that kind rented now would then
 * come up no sooner than those that are already booting. */
bool pm_machine_kind_is_late(const struct pm_machine_kind *kind);
/* Returns how many machines of a late kind may still be rented, to find out when its boots are on
 * time again. */
int pm_autoscaler_probe_count(const struct pm_autoscaler *autoscaler, int type,
                              const struct pm_machine_kind *kind, double now);

/* ---- demand_rate.c ---- */

/* Returns a conservative estimate of how many processors the arriving array work keeps busy: the
 * measured rate, less a share of it that is larger when fewer jobs were measured. */
double pm_autoscaler_steady_demand_cpus(const struct pm_autoscaler *autoscaler, double now);

/* ---- scale_in.c ---- */

/* Marks the machine for termination and logs the reason. */
void pm_autoscaler_mark_for_termination(struct pm_machine *machine, const char *reason);

/* ---- silent_machines.c, silent_zones.c ---- */

/* Marks for termination the machines that are silent while most machines of their zone respond, and
 * then calls pm_autoscaler_mark_silent_zones. Does nothing while pm_autoscaler_set_writable says
 * that placements cannot be written. */
void pm_autoscaler_mark_silent_machines(struct pm_autoscaler *autoscaler, double now);
/* Handles zones that have been silent since before this leader was elected: once the silence of
 * such a zone is longer than a lease, marks the zone's machines that have placements for
 * termination. `zone_has_reported` has PM_ZONES_MAX entries, one for each zone: whether a machine
 * of the zone has sent this leader a heartbeat. */
void pm_autoscaler_mark_silent_zones(struct pm_autoscaler *autoscaler,
                                     const bool *zone_has_reported, double now);

#endif
