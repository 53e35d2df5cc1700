/* A stand-in for the cloud and its machines' workers, by the published protocol: machines boot at
 * once, leases expire by the steady clock, tasks run for as long as their job's id says. */
#ifndef PM_TESTING_FLEET_H
#define PM_TESTING_FLEET_H

#include "testing/history.h"
#include "testing/relay.h"

#include <glib.h>

struct fleet;

struct fleet_settings {
    int controllers, zones, machines_most;
    double report_s, lease_s, gang_wait_s, gang_peer_s;
    const char *const *front; /* controllers' addresses for workers, by index */
    const char *const *name;  /* their names */
    const struct relay_origins *origins;
    GRand *random; /* decides what arrives late; NULL: nothing does. Borrowed */
};

/* What a worker has to know of a job: of one that it was not told of, each task runs by itself and
 * takes no room. */
struct fleet_job {
    unsigned tasks;
    double cpus;
    bool gang;
};
void fleet_describe(struct fleet *fleet, const char *id, struct fleet_job job);
/* One machine, chosen by number: it reaches no controller and none reaches it; it stands still.
 * False: that one is gone. */
bool fleet_cut_machine(struct fleet *fleet, unsigned choice, bool cut);
bool fleet_hang_machine(struct fleet *fleet, unsigned choice, bool hung);
/* No machine is cut or hangs any more, and nothing new is held up. */
void fleet_heal_machines(struct fleet *fleet);
/* Of that share of reports a copy arrives later, at any controller; that share of direct commands
 * is carried out later, and never answered. */
void fleet_delay_messages(struct fleet *fleet, double reports, double commands);

/* A request to rent or return that the cloud carries out. */
struct fleet_call {
    const char *booking; /* of a rental, NULL: a return */
    const char *machine; /* that is rented now, or returned */
    const char *task;    /* that runs on a machine which is returned, NULL: none */
    double task_began;   /* steady */
    double heard_ago_s;  /* since a controller last answered that machine */
};
/* Tells of each machine that is rented or returned, before that is answered. */
typedef void fleet_observer(void *arg, const struct fleet_call *call);
void fleet_observe(struct fleet *fleet, fleet_observer *observer, void *arg);
/* One machine, if there is one, stops by itself: the cloud lists it as failed. */
bool fleet_fail_machine(struct fleet *fleet);
/* The next request to rent, or to return, is carried out and never answered. */
void fleet_lose_answer(struct fleet *fleet, bool rental);

/* The next so many requests to rent or return get that status, and are not carried out. */
void fleet_refuse(struct fleet *fleet, int status, int requests);
/* The next request to return is carried out that much later, and never answered. */
void fleet_delay_return(struct fleet *fleet, double seconds);

struct fleet *fleet_new(struct ev_loop *loop, const struct fleet_settings *settings,
                        struct history *history);
/* All machines and the cloud are gone: nobody is called any more. */
void fleet_free(struct fleet *fleet);
/* The cloud's address: a relay, which fleet_cut_cloud cuts. */
const char *fleet_cloud_addr(const struct fleet *fleet);
void fleet_cut_cloud(struct fleet *fleet, int controller, struct cut cut);
/* Cuts a controller from the machines of a zone, both what they report and what it tells them. */
void fleet_cut_zone(struct fleet *fleet, int controller, int zone, struct cut cut);
int fleet_machines(const struct fleet *fleet);
/* How many reports controller i answered with 200 so far. */
unsigned fleet_answered(const struct fleet *fleet, int controller);
/* How long the tasks of the job run: every job's id ends in that, in tenths of a second; 00: until
 * it is stopped. */
double fleet_run_s(const char *job);

#endif
