/* Stand-ins for the review's cases: state service, cloud, workers and users, in one process beside the
 * controllers, which are started as processes of their own. They follow PROTOCOL-pumicemount.md; what they do
 * not have (gangs, accelerators) no case uses. Single thread; every address is on loopback. */
#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include "base/cbor.h"
#include "base/http.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum { LAB_MAX = 5 };

struct lab;

struct lab_type {
    const char *name;
    double cpus, ram_gb, price, market_price, ready_s, pull_gb_per_s;
    int capacity, spot_capacity;
};

struct lab_team {
    const char *name;
    double cpus, cpus_max;
};

struct lab_job {
    char id[32];
    const char *team, *kind, *priority;
    unsigned tasks;
    double cpus, ram_gb, size_gb, run_s; /* run_s: how long a task really runs; 0 for services */
    const char *bundle;
    bool spot;
    const char *type; /* the only allowed type, or NULL for "models": null */
    double submitted_at, accepted_at, cancel_told_at;
    int status; /* last answer to the submission */
    char state[16];
    unsigned done, running;
    unsigned starts, finished; /* seen on machines */
    unsigned fail_first; /* the first so many starts end with "error" after fail_s */
    double fail_s;
};

struct lab_task {
    char name[64];
    struct lab_job *job;
    unsigned index;
    uint64_t attempt;
    char state[12], cause[12];
    double ready_at, ends_at;
    bool fails;
};

struct lab_machine {
    struct lab *lab;
    char name[32], endpoint[32];
    int type;
    bool spot;
    double rented_at, up_at, gone_at; /* gone_at 0: exists */
    struct pm_http_server *server;
    uint64_t shift, tally, mandate;
    double lease_from; /* when the last answered report was sent, or the session began */
    int controller;
    bool in_flight, changed;
    uint64_t flight_shift;
    double sent_at, next_at;
    GPtrArray *tasks;  /* of struct lab_task */
    GPtrArray *images; /* names */
    GByteArray *last_do[8];
    int do_count;
    bool muted; /* commands and reports are held (the network to it is cut) */
};

struct lab_controller {
    struct lab *lab;
    int index;
    char name[16], serve[32], back[32], store_addr[32], path[160], log[200];
    pid_t pid;
    bool refused; /* the state service answers 503 to this controller alone */
    struct pm_http_server *store_server;
};

struct lab {
    struct ev_loop *loop;
    double started_at;
    FILE *record;
    char dir[100];
    int controllers;
    struct lab_controller controller[LAB_MAX];
    struct pm_http_client *client;
    /* settings */
    double report_s, lease_s, cancel_s, list_lag_s, boot_s;
    struct lab_type types[4];
    int type_count;
    struct lab_team teams[4];
    int team_count;
    const char *zone;
    /* state service */
    GTree *keys;
    uint64_t edition, next_hold;
    GPtrArray *events, *holds, *watches;
    double rate_at, requests, changes;
    bool outage;
    /* cloud */
    GPtrArray *machines;
    struct pm_http_server *cloud_server;
    char cloud_addr[32];
    GHashTable *bookings;
    unsigned named;
    double up_within_s; /* a machine is up this long after its rental */
    GPtrArray *jobs;
    /* what was seen */
    unsigned ran_twice, wrong_place;
    ev_timer tick;
    void (*on_start)(struct lab *lab, struct lab_machine *machine, struct lab_task *task);
};

double lab_now(const struct lab *lab); /* seconds since the start */
void lab_say(struct lab *lab, const char *format, ...) __attribute__((format(printf, 2, 3)));
/* Lindqvist's figures by default; change the fields, then lab_open. */
struct lab *lab_new(const char *record_path);
void lab_open(struct lab *lab);
void lab_close(struct lab *lab);
void lab_start(struct lab *lab, int controller);
void lab_kill(struct lab *lab, int controller);
void lab_signal(struct lab *lab, int controller, int number);
void lab_run(struct lab *lab, double seconds);
bool lab_until(struct lab *lab, bool (*done)(struct lab *lab, void *arg), void *arg, double seconds);
int lab_leader(struct lab *lab); /* by the key p/lead; -1: none */
int lab_ready(struct lab *lab);  /* how many controllers answer GET /ready with 200 */

struct lab_job *lab_job_new(struct lab *lab, const char *kind, unsigned tasks, double cpus, double run_s);
/* Submits with the users' retries (1 s apart, up to 60 s), at `controller` first and then the others in turn.
 * Returns the last status. */
int lab_submit(struct lab *lab, struct lab_job *job, int controller);
/* One request; returns the status, -1 for none, and sets the job's state for 200. */
int lab_poll(struct lab *lab, struct lab_job *job, int controller);
int lab_poll_any(struct lab *lab, struct lab_job *job);
int lab_cancel(struct lab *lab, struct lab_job *job, int controller);
/* One request of a user, with a deadline; the body is CBOR. The answer is copied to `out` if it is not NULL. */
int lab_call(struct lab *lab, const char *addr, const char *method, const char *path, const struct pm_buffer *body,
             double timeout_s, struct pm_buffer *out);
/* The machine that the task is on (not ended), or NULL. */
struct lab_machine *lab_where(struct lab *lab, const struct lab_job *job, unsigned index);
/* The cloud takes the machine without notice: it ends with its worker and its tasks. */
void lab_take(struct lab *lab, struct lab_machine *machine);
/* Executes the body of a POST /do at the machine once more, as a late copy would. Returns the status. */
int lab_repeat_do(struct lab *lab, struct lab_machine *machine, const GByteArray *body);
unsigned lab_free_room(struct lab *lab, const struct lab_job *job); /* tasks that fit on machines that are up */

#endif
