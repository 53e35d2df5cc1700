/* A stand-in for the machine provider, and for the workers on its machines: machines boot at once,
 * leases expire by the monotonic clock, tasks run for as long as their job's id says.
 *
 * It owns all machines, their workers and tasks, and reports what happens on them to a history
 * (history.h). Used by the cluster of real processes (cluster.h), and by tests through that. All
 * functions are called in the thread that runs the event loop, and only there; there is no lock. */
#ifndef PM_TESTING_FAKE_PROVIDER_H
#define PM_TESTING_FAKE_PROVIDER_H

#include "testing/history.h"
#include "testing/relay.h"

#include <glib.h>

struct fake_provider;

/* All pointers are borrowed and outlive the provider. */
struct fake_provider_settings {
    int controller_count, zone_count;
    int max_machines; /* a request to rent more is refused */
    double heartbeat_s, lease_s;
    double gang_wait_s;              /* a gang that is not complete within this ends */
    double gang_peer_s;              /* a gang whose tasks miss one of them for this long ends */
    const char *const *worker_addrs; /* controllers' addresses for workers, by index */
    const char *const *controller_names; /* by index */
    const struct relay_controllers *controllers;
    GRand *random; /* draws which messages are delayed; NULL: none is */
};

/* A provider without machines; the caller owns it. `settings` is copied, what it points to and
 * `history` are borrowed. */
struct fake_provider *fake_provider_new(struct ev_loop *loop,
                                        const struct fake_provider_settings *settings,
                                        struct history *history);
/* Stops all machines and the provider: nobody is called any more. The memory stays, for calls that
 * are in flight. */
void fake_provider_free(struct fake_provider *provider);
/* The address of the provider's API as "IP:PORT", borrowed: a relay, whose faults are set by
 * fake_provider_set_api_fault. */
const char *fake_provider_addr(const struct fake_provider *provider);
/* How many machines are rented. */
int fake_provider_machine_count(const struct fake_provider *provider);
/* How many heartbeats that controller has answered with 200 so far. */
unsigned fake_provider_answered_heartbeats(const struct fake_provider *provider, int controller);

/* ---- jobs ---- */

/* What a worker has to know of a job. */
struct fake_provider_job {
    unsigned tasks;
    double cpus; /* of each task */
    bool gang;
};
/* Describes a job to the workers. Of one that was not described, each task runs by itself and uses
 * no capacity. */
void fake_provider_describe_job(struct fake_provider *provider, const char *id,
                                struct fake_provider_job job);
/* How long the tasks of a job run, in seconds; 0: until they are stopped. A job's id ends in it, in
 * tenths of a second; `task` is the job's id or the name of a task. */
double fake_provider_task_run_s(const char *task);

/* ---- calls ---- */

/* A machine that is rented or terminated at a controller's request. */
struct fake_provider_call {
    const char *booking; /* of a rental; NULL: a termination */
    const char *machine;
    const char *task;       /* the last started that runs on a terminated machine; NULL: none */
    double task_started_at; /* monotonic seconds */
    double unanswered_s;    /* since a controller last answered a heartbeat of that machine */
};
/* Called for each machine that is rented or terminated, before the request is answered. `call` is
 * borrowed for the call. */
typedef void fake_provider_observer(void *arg, const struct fake_provider_call *call);
/* Calls `observer` from now on, in place of an earlier one. */
void fake_provider_observe(struct fake_provider *provider, fake_provider_observer *observer,
                           void *arg);

/* ---- faults of machines and workers ---- */

/* Begins or ends a partition of one machine, chosen by number, from all controllers. False: that
 * machine is not there. */
bool fake_provider_cut_machine(struct fake_provider *provider, unsigned choice, bool cut);
/* Suspends or resumes one machine, chosen by number. False: that machine is not there. */
bool fake_provider_hang_machine(struct fake_provider *provider, unsigned choice, bool hung);
/* Ends partitions and suspensions of all machines, and delays no new messages. */
void fake_provider_restore_machines(struct fake_provider *provider);
/* Of that share of heartbeats a copy arrives later, at any controller; that share of pushed
 * commands is executed later, and never answered. */
void fake_provider_delay_messages(struct fake_provider *provider, double heartbeat_share,
                                  double command_share);
/* One machine fails: the provider lists it as failed. False: there is none. */
bool fake_provider_fail_machine(struct fake_provider *provider);
/* Sets the fault of the network between a controller and the machines of a zone. */
void fake_provider_set_zone_fault(struct fake_provider *provider, int controller, int zone,
                                  struct relay_fault fault);

/* ---- faults of the provider's API ---- */

/* Sets the fault of the network between a controller and the provider's API. */
void fake_provider_set_api_fault(struct fake_provider *provider, int controller,
                                 struct relay_fault fault);
/* The next request to rent (`rental`), or to terminate, is executed and never answered. */
void fake_provider_lose_next_answer(struct fake_provider *provider, bool rental);
/* That many requests to rent or terminate are answered with `status` and not executed. */
void fake_provider_refuse_requests(struct fake_provider *provider, int status, int requests);
/* The next request to terminate is executed that many seconds later, and never answered. */
void fake_provider_delay_next_termination(struct fake_provider *provider, double seconds);

#endif
