/* A stand-in for the cloud and its machines' workers, by the published protocol: machines boot at
 * once, leases expire by the steady clock, tasks run for as long as their job's id says. */
#ifndef PM_TESTING_FAKE_PROVIDER_H
#define PM_TESTING_FAKE_PROVIDER_H

#include "testing/history.h"
#include "testing/relay.h"

#include <glib.h>

struct fake_provider;

struct fake_provider_settings {
    int controllers, zones, machines_most;
    double report_s, lease_s, gang_wait_s, gang_peer_s;
    const char *const *front; /* controllers' addresses for workers, by index */
    const char *const *name;  /* their names */
    const struct relay_controllers *origins;
    GRand *random; /* decides what arrives late; NULL: nothing does. Borrowed */
};

/* What a worker has to know of a job: of one that it was not told of, each task runs by itself and
 * takes no room. */
struct fake_provider_job {
    unsigned tasks;
    double cpus;
    bool gang;
};
void fake_provider_describe_job(struct fake_provider *fleet, const char *id,
                                struct fake_provider_job job);
/* One machine, chosen by number: it reaches no controller and none reaches it; it stands still.
 * False: that one is gone. */
bool fake_provider_cut_machine(struct fake_provider *fleet, unsigned choice, bool cut);
bool fake_provider_hang_machine(struct fake_provider *fleet, unsigned choice, bool hung);
/* No machine is cut or hangs any more, and nothing new is held up. */
void fake_provider_restore_machines(struct fake_provider *fleet);
/* Of that share of reports a copy arrives later, at any controller; that share of direct commands
 * is carried out later, and never answered. */
void fake_provider_delay_messages(struct fake_provider *fleet, double reports, double commands);

/* A request to rent or return that the cloud carries out. */
struct fake_provider_call {
    const char *booking; /* of a rental, NULL: a return */
    const char *machine; /* that is rented now, or returned */
    const char *task;    /* that runs on a machine which is returned, NULL: none */
    double task_began;   /* steady */
    double heard_ago_s;  /* since a controller last answered that machine */
};
/* Tells of each machine that is rented or returned, before that is answered. */
typedef void fake_provider_observer(void *arg, const struct fake_provider_call *call);
void fake_provider_observe(struct fake_provider *fleet, fake_provider_observer *observer,
                           void *arg);
/* One machine, if there is one, stops by itself: the cloud lists it as failed. */
bool fake_provider_fail_machine(struct fake_provider *fleet);
/* The next request to rent, or to return, is carried out and never answered. */
void fake_provider_lose_next_answer(struct fake_provider *fleet, bool rental);

/* The next so many requests to rent or return get that status, and are not carried out. */
void fake_provider_refuse_requests(struct fake_provider *fleet, int status, int requests);
/* The next request to return is carried out that much later, and never answered. */
void fake_provider_delay_next_termination(struct fake_provider *fleet, double seconds);

struct fake_provider *fake_provider_new(struct ev_loop *loop,
                                        const struct fake_provider_settings *settings,
                                        struct history *history);
/* All machines and the cloud are gone: nobody is called any more. */
void fake_provider_free(struct fake_provider *fleet);
/* The cloud's address: a relay, which fake_provider_set_api_fault cuts. */
const char *fake_provider_addr(const struct fake_provider *fleet);
void fake_provider_set_api_fault(struct fake_provider *fleet, int controller,
                                 struct relay_fault cut);
/* Cuts a controller from the machines of a zone, both what they report and what it tells them. */
void fake_provider_set_zone_fault(struct fake_provider *fleet, int controller, int zone,
                                  struct relay_fault cut);
int fake_provider_machine_count(const struct fake_provider *fleet);
/* How many reports controller i answered with 200 so far. */
unsigned fake_provider_answered_heartbeats(const struct fake_provider *fleet, int controller);
/* How long the tasks of the job run: every job's id ends in that, in tenths of a second; 00: until
 * it is stopped. */
double fake_provider_task_run_s(const char *job);

#endif
