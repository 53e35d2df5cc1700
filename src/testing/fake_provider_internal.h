/* What the stand-in cloud and the stand-in workers share; nobody else includes it. */
#ifndef PM_TESTING_FAKE_PROVIDER_INTERNAL_H
#define PM_TESTING_FAKE_PROVIDER_INTERNAL_H

#include "base/cbor.h"
#include "base/http.h"
#include "testing/fake_provider.h"

#include <ev.h>
#include <glib.h>

#define FLEET_TICK_S 0.05

enum {
    FLEET_ANSWER_MAX = 64 * 1024,
    FLEET_ZONES_MAX = 4,
    FLEET_MACHINE_CPUS = 8,
    FLEET_MACHINE_ACCELERATORS = 4
};

struct task {
    char name[64];
    unsigned attempt;
    bool ended, waiting; /* waiting: for the other tasks of its gang */
    const char *cause;
    double began, ends_at; /* steady; 0: when it is stopped */
    double alone_since;    /* steady: a running gang's other tasks are not all there, 0: they are */
};

struct machine;

/* The machine as one controller reaches it. */
struct door {
    struct machine *machine;
    int controller;
    struct pm_http_server *server;
};

struct machine {
    struct fake_provider *fleet;
    char name[32], endpoint[64];
    int zone;
    bool gone, failed, in_flight, changed;
    bool cut, hung; /* reaches no controller, nor they it; does nothing for now */
    uint64_t session, sequence, token;
    double rented, leased, sent, report_at;
    int reports_to;
    GArray *tasks;
    struct relay *relay;
    struct door door[RELAY_CONTROLLERS_MAX];
};

struct fake_provider {
    struct ev_loop *loop;
    struct fake_provider_settings settings;
    struct history *history;
    struct pm_http_client *client;
    struct pm_http_server *cloud;
    struct relay *cloud_relay;
    GPtrArray *machines;
    GHashTable *bookings; /* name to the list of hosts, as CBOR */
    GHashTable *jobs;     /* id to struct fake_provider_job */
    struct relay_fault zone_cut[RELAY_CONTROLLERS_MAX][FLEET_ZONES_MAX];
    unsigned answered[RELAY_CONTROLLERS_MAX];
    ev_timer tick;
    fake_provider_observer *observer;
    void *observer_arg;
    bool lose_rental, lose_return; /* the next answer to such a request */
    GPtrArray *unanswered;         /* requests that stay so */
    int refused_status, refusals;  /* of the next requests */
    double return_delay_s;         /* of the next return, 0: none */
    cbor_item_t *late_return;      /* carried out at `late_at` */
    double late_at;
    double late_report_share, late_command_share;
    GPtrArray *late_reports, *late_commands; /* of struct late_message */
};

/* A message that arrives later than it was sent. */
struct late_message {
    struct machine *machine;
    int controller;
    struct pm_buf body;
    double at; /* steady */
};

/* worker.c */
/* What both a worker and the cloud say of a machine. */
void worker_put_description(const struct machine *machine, struct pm_buf *out);
/* All that runs there is killed and forgotten. */
void worker_kill_all(struct machine *machine);
/* Tasks end, the lease is looked at, a report is sent when it is due. */
void worker_live(struct machine *machine, double now);
/* Requests to a door of the machine. */
void worker_on_command(void *arg, struct pm_http_request *req);
/* Messages that are held up arrive once it is time. */
void worker_deliver_late(struct fake_provider *fleet, double now);

#endif
