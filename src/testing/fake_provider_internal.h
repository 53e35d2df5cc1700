/* What the files of the fake provider and its workers share; nobody else includes it. */
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

/* The only machine type. */
enum { FAKE_MACHINE_CPUS = 8, FAKE_MACHINE_ACCELERATORS = 4 };

struct fake_machine;

/* One attempt of a task. */
struct fake_task {
    char name[64];
    unsigned attempt;
    bool has_ended;
    bool is_waiting;   /* for the other tasks of its gang */
    const char *cause; /* of its end, as the protocol names it */
    double started_at;
    double ends_at;            /* 0: when it is stopped */
    double gang_incomplete_at; /* a running gang misses tasks since; 0: it is complete */
};

/* A machine's worker. Written by fake_worker.c, but for what names another file. */
struct fake_worker {
    uint64_t incarnation;
    uint64_t heartbeat_sequence;
    uint64_t fencing_token; /* the highest known */
    double lease_renewed_at;
    GArray *tasks;    /* of struct fake_task (fake_worker_tasks.c) */
    bool has_changes; /* that are to be reported at once */
    struct {
        int controller; /* the next heartbeat goes to this one */
        bool in_flight;
        double sent_at, next_at;
    } heartbeat;
};

/* Faults of one machine. Written by fake_provider_faults.c. */
struct fake_machine_faults {
    bool has_failed, is_partitioned, is_hung;
};

/* Where one controller reaches the machine's worker. */
struct fake_machine_endpoint {
    struct fake_machine *machine;
    int controller;
    struct pm_http_server *server;
};

/* A machine. Written by fake_machine.c, but for the embedded parts. */
struct fake_machine {
    struct fake_provider *provider;
    char name[32];
    char addr[FAKE_PROVIDER_ADDR_SIZE]; /* of its relay */
    int zone;
    double rented_at;
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
    GHashTable *bookings; /* name to the answer, as struct pm_buffer */
    fake_provider_observer *observer;
    void *observer_arg;
    cbor_item_t *delayed_termination; /* the request's body; NULL: none */
    double delayed_termination_at;
};

/* Set by fake_provider_faults.c; what concerns the next requests is cleared where they are
 * served. */
struct fake_provider_faults {
    struct relay_fault zones[RELAY_CONTROLLERS_MAX][FAKE_PROVIDER_ZONES_MAX];
    bool lose_next_rental, lose_next_termination; /* the answer to it */
    int refusal_status, refusals;                 /* of the next requests */
    double termination_delay_s;                   /* of the next; 0: none */
    double delayed_heartbeat_share, delayed_command_share;
};

struct fake_provider {
    struct ev_loop *loop;
    struct fake_provider_settings settings;
    struct history *history;
    struct pm_http_client *client;
    ev_timer tick;
    GPtrArray *machines;   /* of struct fake_machine, terminated ones too */
    GHashTable *jobs;      /* id to struct fake_provider_job */
    GPtrArray *unanswered; /* requests that never get an answer */
    unsigned answered_heartbeats[RELAY_CONTROLLERS_MAX];
    /* Of struct delayed_message. Written by fake_worker_delays.c. */
    GPtrArray *delayed_heartbeats, *delayed_commands;
    struct fake_provider_api api;
    struct fake_provider_faults faults;
};

/* ---- fake_machine.c ---- */

/* Adds a machine to the provider, which owns it. */
void fake_machine_new(struct fake_provider *provider, int zone);
/* Stops its worker's endpoints; what runs there is stopped by fake_worker_stop_all. */
void fake_machine_terminate(struct fake_machine *machine);
/* Whether it is neither terminated nor failed. */
bool fake_machine_is_up(const struct fake_machine *machine);
/* Appends what both a worker and the provider report of a machine to a map. */
void fake_machine_put_description(const struct fake_machine *machine, struct pm_buffer *out);

/* ---- fake_provider.c ---- */

/* Listens at a free loopback port, which is written to `addr` of FAKE_PROVIDER_ADDR_SIZE bytes. */
struct pm_http_server *fake_provider_listen(struct fake_provider *provider, char *addr,
                                            pm_http_handler *handler, void *arg);

/* ---- fake_provider_api.c ---- */

/* Starts the API with its relay. */
void fake_provider_api_start(struct fake_provider *provider);
/* Stops it. */
void fake_provider_api_stop(struct fake_provider *provider);
/* Executes the delayed termination once it is due. */
void fake_provider_api_tick(struct fake_provider *provider, double now);

/* ---- fake_worker.c ---- */

/* Ends tasks, checks the lease, and sends a heartbeat when one is due. */
void fake_worker_tick(struct fake_machine *machine, double now);
/* Sends `body` as a heartbeat to a controller. */
void fake_worker_post_heartbeat(struct fake_provider *provider, int controller,
                                const struct pm_buffer *body, pm_http_done *done, void *arg);
/* Executes pushed commands if their fencing token and incarnation match. Returns the HTTP status of
 * the answer. */
int fake_worker_execute_push(struct fake_machine *machine, int controller, const cbor_item_t *body);
/* Serves requests to the worker; `arg` is a struct fake_machine_endpoint. A pm_http_handler. */
void fake_worker_on_request(void *arg, struct pm_http_request *request);

/* ---- fake_worker_tasks.c ---- */

/* Executes commands, a CBOR list, that a controller sent. */
void fake_worker_execute_commands(struct fake_machine *machine, const cbor_item_t *commands,
                                  int controller);
/* Ends the task; does nothing if it has ended. `cause` outlives the task. */
void fake_worker_end_task(struct fake_machine *machine, struct fake_task *task, const char *cause);
/* Stops and forgets all tasks. */
void fake_worker_stop_all(struct fake_machine *machine);
/* Ends tasks that have run for long enough, and lets gangs make progress. */
void fake_worker_run_tasks(struct fake_machine *machine, double now);
/* Appends the list of the worker's tasks. */
void fake_worker_put_tasks(const struct fake_worker *worker, struct pm_buffer *out);

/* ---- fake_worker_gangs.c ---- */

/* Starts, completes or ends a gang, of which `task` is one of `gang_size` tasks. */
void fake_worker_run_gang(struct fake_machine *machine, struct fake_task *task, unsigned gang_size,
                          double now);

/* ---- fake_worker_delays.c ---- */

/* Sends a copy of the heartbeat later, if it is drawn. */
void fake_worker_maybe_copy_heartbeat(struct fake_machine *machine, int controller,
                                      const struct pm_buffer *body, double now);
/* Keeps a pushed command for later if it is drawn, or the machine is suspended. False: it is to be
 * executed now. */
bool fake_worker_maybe_delay_command(struct fake_machine *machine, int controller,
                                     const struct pm_http_request *request);
/* Delivers the messages that are due. */
void fake_worker_deliver_delayed(struct fake_provider *provider, double now);

#endif
