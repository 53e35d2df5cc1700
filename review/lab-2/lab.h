/* A small deployment for the cases of this folder: the project's program as separate processes,
 * with the project's own stand-ins of the state service, the machine provider and the workers
 * (src/testing). Between each controller and the state service stands a proxy, which keeps the
 * limits on requests and changes a second and can treat transactions as a case asks.
 *
 * One thread; everything runs in `lab.loop`. */
#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include "base/cbor.h"
#include "base/clock.h"
#include "base/http.h"
#include "testing/fake_provider.h"
#include "testing/fake_provider_internal.h"
#include "testing/fake_store.h"
#include "testing/history.h"
#include "testing/relay.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

enum { LAB_CONTROLLERS_MAX = 7 };

/* What the state service does with a transaction. */
enum lab_verdict {
    LAB_SERVE,       /* as usual */
    LAB_LOSE_ANSWER, /* carries it out at once, but the answer never arrives */
    LAB_REFUSE,      /* 503: not carried out */
};

/* Settings of the deployment; the comments name the settings file's keys. */
struct lab_settings {
    int controllers; /* size */
    int zones;
    double rps, write_rps, value_kb; /* state */
    int txn_ops;
    double report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s; /* workers */
    double list_lag_s, cloud_rps;                                 /* cloud */
    int machines_max;
    double team_cpus, team_cpus_max; /* of the one team, "team" */
    const char *extra;               /* appended to the settings file; NULL: nothing */
};

/* A job and what its user has been told. */
struct lab_job {
    char id[32];
    const char *form, *urgency;
    unsigned entries;
    double cpus, expected_s;
    bool same_place;
    int zone;              /* -1: any */
    const char *awaits;    /* one job, or NULL */
    GPtrArray *awaits_all; /* of ids; NULL: `awaits` alone */
    /* What happened. Times are in seconds since the start; 0: not yet. */
    double submitted_at, accepted_at, ended_at, cancel_asked_at, cancelled_at;
    char status[16];
    bool wants_cancel, in_flight, polls;
    int node;
    double next_at;
    unsigned polls_sent, polls_answered;
};

struct lab {
    struct ev_loop *loop;
    struct lab_settings settings;
    struct fake_store *store;
    struct fake_provider *provider;
    struct history *history;
    struct relay_controllers controllers;
    double started_at;
    FILE *record;
    GPtrArray *jobs; /* of struct lab_job */
    /* Decides about each transaction; NULL: all are served. */
    enum lab_verdict (*judge)(int controller, const cbor_item_t *txn);
    /* Called with each change of a key; NULL: nothing. */
    void (*observe)(const char *key, const cbor_item_t *data);
    /* Limits that the state service keeps: larger values and transactions get 400. */
    double value_kb_max;
    size_t txn_ops_max;
    bool is_cloud_out; /* the provider answers everything with 503 "trouble" */
    bool records_txns; /* each transaction is written to the record */
    char leader[32];   /* the controller that wrote the current epoch */
    unsigned txns, conflicts;
};

extern struct lab lab;

/* Whether the disruption is to happen (TROUBLE is not 0). */
bool lab_has_trouble(void);
/* The machine at that index, in the order of the rentals; NULL: none. */
struct fake_machine *lab_machine(guint index);
/* The number of tasks of the job that are on machines now. */
unsigned lab_tasks_on_machines(const char *id);
/* Starts everything. The record is written to `record`. */
void lab_start(const struct lab_settings *settings, const char *record);
/* Seconds since the start. */
double lab_now(void);
/* Runs the loop for that long, or until `is_done` (which may be NULL) holds, and then returns true.
 */
bool lab_run(double seconds, bool (*is_done)(void));
/* Writes a line with the time to the record. */
void lab_log(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* The index of the leader; -1: none. */
int lab_leader(void);
/* Kills a controller, or starts it again with the same settings. */
void lab_kill(int controller);
void lab_restart(int controller);
/* Changes the settings file's appendix; controllers that start from now on read it. */
void lab_change_extra(const char *extra);
void lab_signal(int controller, int signal_number);
/* Submits the job for its user, who polls it every second until it has ended. The job must outlive
 * the lab. */
void lab_submit(struct lab_job *job);
/* The user asks to cancel the job, and repeats this until it is answered. */
void lab_cancel(struct lab_job *job);
/* Ends all processes, and the lab itself: 1 if `broken`, 0 if not. */
void lab_finish(bool broken, const char *what) __attribute__((noreturn));
/* Ends all processes, and the lab with status 2: the case could not run. */
void lab_give_up(const char *why) __attribute__((noreturn));

#endif
