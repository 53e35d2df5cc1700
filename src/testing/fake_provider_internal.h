/* Types and functions shared by the source files of the fake provider and its workers; not included
 * elsewhere. */
#ifndef PM_TESTING_FAKE_PROVIDER_INTERNAL_H
#define PM_TESTING_FAKE_PROVIDER_INTERNAL_H

#include "base/cbor.h"
#include "base/http.h"
#include "testing/fake_provider.h"
#include "testing/http_status.h"

#include <ev.h>
#include <glib.h>

#define FAKE_PROVIDER_TICK_S 0.05

enum { FAKE_PROVIDER_ZONES_MAX = 4, FAKE_PROVIDER_ADDR_SIZE = 64 };

/* A machine type. */
struct fake_machine_type {
    const char *name;
    double cpus, accelerators, ram_gb, price;
};
/* The machine types, of which the provider offers the first `type_count`. */
extern const struct fake_machine_type fake_machine_types[FAKE_PROVIDER_TYPES_MAX];

struct fake_machine;

/* One attempt of a task. */
struct fake_task {
    char name[64];
    unsigned attempt;
    bool has_ended;
    bool is_waiting;   /* waits until all tasks of its gang are present */
    const char *cause; /* why the task ended, as a `cause` value of the protocol */
    double started_at;
    double ends_at;            /* when the task completes; 0: it runs until it is stopped */
    double gang_incomplete_at; /* when tasks of the running gang began to be missing; 0: none is */
};

/* A machine's worker. Written by fake_worker.c, except for the fields that name another file. */
struct fake_worker {
    uint64_t incarnation;
    uint64_t heartbeat_sequence;
    uint64_t fencing_token; /* the highest token received */
    double lease_renewed_at;
    GArray *tasks;    /* of struct fake_task (fake_worker_tasks.c) */
    bool has_changes; /* there are changes to report before the next regular heartbeat */
    struct {
        int controller; /* the controller that the next heartbeat goes to */
        bool in_flight;
        double sent_at, next_at;
    } heartbeat;
};

/* Faults of one machine. Written by fake_provider_faults.c. */
struct fake_machine_faults {
    bool has_failed, is_partitioned, is_suspended;
};

/* The HTTP server at which one controller reaches the machine's worker. */
struct fake_machine_endpoint {
    struct fake_machine *machine;
    int controller;
    struct pm_http_server *server;
};

/* A machine. Written by fake_machine.c, except for `faults` and `worker`. */
struct fake_machine {
    struct fake_provider *provider;
    char name[32];
    char addr[FAKE_PROVIDER_ADDR_SIZE]; /* the address of the machine's relay */
    int zone;
    int type; /* index in fake_machine_types */
    bool is_spot;
    double rented_at;
    double up_at; /* monotonic: the machine boots until then */
    bool is_terminated;
    struct relay *relay;
    struct fake_machine_endpoint endpoints[RELAY_CONTROLLERS_MAX];
    struct fake_machine_faults faults;
    struct fake_worker worker;
};

/* The provider's API. Written by fake_provider_api.c. */
struct fake_provider_api {
    struct pm_http_server *server;
    struct relay *relay;
    GHashTable *rental_answers; /* idempotency key to the answer, a struct pm_buffer */
    fake_provider_observer *observer;
    void *observer_arg;
    cbor_item_t *delayed_termination; /* body of the delayed request; NULL: there is none */
    double delayed_termination_at;
    cbor_item_t *delayed_rental; /* body of the delayed request; NULL: there is none */
    double delayed_rental_at;
};

/* Set by fake_provider_faults.c. Faults of the next request are cleared by the code that serves
 * that request. */
struct fake_provider_faults {
    struct relay_fault zones[RELAY_CONTROLLERS_MAX][FAKE_PROVIDER_ZONES_MAX];
    /* Execute the next such request, but do not answer it. */
    bool lose_next_rental_answer, lose_next_termination_answer;
    int refusal_status, refusals; /* HTTP status of refusals, and how many requests to refuse */
    double termination_delay_s;   /* delay of the next termination; 0: none */
    double rental_delay_s;        /* delay of the next rental; 0: none */
    bool are_worker_answers_cut;  /* in the middle of their bodies */
    bool holds_commands;          /* pushed commands are held until this ends */
    double delayed_heartbeat_share, delayed_command_share;
    bool repeats_pushes; /* executed pushes are repeated again and again */
};

struct fake_provider {
    struct ev_loop *loop;
    struct fake_provider_settings settings;
    struct history *history;
    struct pm_http_client *client;
    ev_timer tick;
    GPtrArray *machines;            /* of struct fake_machine, including terminated machines */
    GHashTable *jobs;               /* id to struct fake_provider_job */
    GPtrArray *unanswered_requests; /* they never get an answer */
    unsigned answered_heartbeats[RELAY_CONTROLLERS_MAX];
    /* Of struct delayed_message. Written by fake_worker_delays.c. */
    GPtrArray *delayed_heartbeats, *delayed_commands, *copied_pushes;
    GPtrArray *repeated_pushes; /* are delivered again and again */
    double pushes_repeated_at;
    unsigned repeated_push_count; /* how many of them workers have executed */
    struct fake_provider_api api;
    struct fake_provider_faults faults;
};

/* ---- fake_machine.c ---- */

/* Adds a machine to the provider, which owns it. */
void fake_machine_new(struct fake_provider *provider, int type, int zone, bool is_spot);
/* Whether the machine is still booting. */
bool fake_machine_is_booting(const struct fake_machine *machine);
/* Marks the machine as terminated and closes its relay and endpoints. Does not end its tasks:
 * fake_worker_stop_all does. */
void fake_machine_terminate(struct fake_machine *machine);
/* Whether the machine is neither terminated nor failed. */
bool fake_machine_is_up(const struct fake_machine *machine);
/* Appends to a CBOR map the properties of a machine that both worker and provider report. */
void fake_machine_put_description(const struct fake_machine *machine, struct pm_buffer *out);

/* ---- fake_provider.c ---- */

/* Starts an HTTP server on a free loopback port. Writes its "IP:PORT" to `addr`, a buffer of
 * FAKE_PROVIDER_ADDR_SIZE bytes. */
struct pm_http_server *fake_provider_listen(struct fake_provider *provider, char *addr,
                                            pm_http_handler *handler, void *arg);

/* ---- fake_provider_api.c ---- */

/* Starts the API's server and the relay in front of it. */
void fake_provider_api_start(struct fake_provider *provider);
/* Stops the API's server and its relay. */
void fake_provider_api_stop(struct fake_provider *provider);
/* Executes the delayed termination when it is due. */
void fake_provider_api_tick(struct fake_provider *provider, double now);

/* ---- fake_worker.c ---- */

/* Checks the lease, updates the tasks, and sends a heartbeat if one is due. */
void fake_worker_tick(struct fake_machine *machine, double now);
/* Sends a heartbeat with this body to a controller; `done` is called with the answer. */
void fake_worker_post_heartbeat(struct fake_provider *provider, int controller,
                                const struct pm_buffer *body, pm_http_done *done, void *arg);
/* Executes pushed commands unless their fencing token is older than the worker's or their
 * incarnation differs. Returns the HTTP status of the answer. */
int fake_worker_execute_pushed_commands(struct fake_machine *machine, int controller,
                                        const cbor_item_t *body);
/* Serves requests to the worker. A pm_http_handler; `arg` is a struct fake_machine_endpoint. */
void fake_worker_on_request(void *arg, struct pm_http_request *request);

/* ---- fake_worker_tasks.c ---- */

/* Whether an attempt of the task with that name runs or waits on the machine. */
bool fake_worker_has_running_task(const struct fake_machine *machine, const char *name);
/* Ends the task with that name as failed, if an attempt of it runs or waits on the machine. */
void fake_worker_fail_task(struct fake_machine *machine, const char *name);
/* Executes a controller's commands, which are a CBOR list. */
void fake_worker_execute_commands(struct fake_machine *machine, const cbor_item_t *commands,
                                  int controller);
/* Ends the task; does nothing if it has already ended. `cause` is borrowed and must outlive the
 * task. */
void fake_worker_end_task(struct fake_machine *machine, struct fake_task *task, const char *cause);
/* Ends all tasks and removes them from the worker. */
void fake_worker_stop_all(struct fake_machine *machine);
/* Completes tasks whose run time is over, and starts, completes or ends gangs. */
void fake_worker_run_tasks(struct fake_machine *machine, double now);
/* Appends the CBOR list of the worker's tasks, as heartbeats report it. */
void fake_worker_put_tasks(const struct fake_worker *worker, struct pm_buffer *out);

/* ---- fake_worker_gangs.c ---- */

/* Updates the gang that `task` belongs to: starts or completes all its tasks, or ends `task` if
 * other tasks of the gang are missing for too long. `gang_size` is the gang's number of tasks. */
void fake_worker_run_gang(struct fake_machine *machine, struct fake_task *task, unsigned gang_size,
                          double now);

/* ---- fake_worker_delays.c ---- */

/* If this heartbeat is randomly selected, schedules a copy for later delivery. */
void fake_worker_maybe_copy_heartbeat(struct fake_machine *machine, int controller,
                                      const struct pm_buffer *body, double now);
/* Schedules a copy of the executed push for later delivery, if settings.copies_pushes is set, and
 * for repeated delivery, if faults.repeats_pushes is. */
void fake_worker_copy_push(struct fake_machine *machine, int controller,
                           const struct pm_http_request *request);
/* Delays a pushed command if it is randomly selected or the machine is suspended. Returns false if
 * the caller must execute the command now. */
bool fake_worker_maybe_delay_command(struct fake_machine *machine, int controller,
                                     const struct pm_http_request *request);
/* Makes the held commands due, and returns their number. */
unsigned fake_worker_end_hold(struct fake_provider *provider);
/* Delivers the delayed messages that are due. */
void fake_worker_deliver_delayed(struct fake_provider *provider, double now);

#endif
