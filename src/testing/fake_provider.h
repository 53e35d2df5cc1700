/* A fake machine provider that also simulates the workers on its machines. Machines boot at once,
 * leases expire by the monotonic clock, and a task runs for the time that its job's id states.
 *
 * The provider owns all machines with their workers and tasks, and reports what happens on them to
 * a history (history.h). Used by the test cluster (cluster.h), and by tests through it. All
 * functions are called only in the thread that runs the event loop; there is no lock. */
#ifndef PM_TESTING_FAKE_PROVIDER_H
#define PM_TESTING_FAKE_PROVIDER_H

#include "testing/history.h"
#include "testing/relay.h"

#include <glib.h>

/* The name of the first machine type, which is the only one by default. */
#define FAKE_PROVIDER_MACHINE_TYPE "m8"

enum { FAKE_PROVIDER_TYPES_MAX = 3 };

struct fake_provider;

/* All pointers are borrowed and outlive the provider. */
struct fake_provider_settings {
    int controller_count, zone_count;
    /* A rental beyond this limit gets fewer machines, or 503 if none. With several machine types, a
     * sixth of it limits each type in each zone, spot and ordinary. */
    int max_machines;
    int type_count; /* number of machine types, up to FAKE_PROVIDER_TYPES_MAX; 0: one */
    double boot_s;  /* machines boot within this time, which `random` draws; 0: at once */
    /* All machines that boot within the same span of `boot_s` come up at its end. */
    bool boots_together;
    double heartbeat_s, lease_s;
    double gang_wait_s;              /* a waiting task ends if its gang is incomplete for longer */
    double gang_peer_s;              /* a running gang ends if a task is missing for this long */
    const char *const *worker_addrs; /* by controller index: where it serves workers */
    const char *const *controller_names; /* by controller index */
    const struct relay_controllers *controllers;
    /* Selects the messages that are delayed, and for how long. NULL: no message is delayed. */
    GRand *random;
    bool copies_pushes; /* workers receive a late copy of each push that they have executed */
};

/* Creates a provider without machines, owned by the caller. `settings` is copied; what it points to
 * and `history` are borrowed. */
struct fake_provider *fake_provider_new(struct ev_loop *loop,
                                        const struct fake_provider_settings *settings,
                                        struct history *history);
/* Terminates all machines and stops the provider, which then sends no more requests. The memory is
 * not freed, because HTTP calls may still be in flight. */
void fake_provider_free(struct fake_provider *provider);
/* The address of the provider's API as "IP:PORT", borrowed from the provider. It belongs to a relay
 * in front of the API, in which fake_provider_set_api_fault injects faults. */
const char *fake_provider_addr(const struct fake_provider *provider);
/* The number of machines rented and not terminated. */
int fake_provider_machine_count(const struct fake_provider *provider);
/* The number of heartbeats that this controller has answered with 200 so far. */
unsigned fake_provider_answered_heartbeats(const struct fake_provider *provider, int controller);

/* The name of the machine type with this index, a string constant. */
const char *fake_provider_type_name(int type);

/* ---- jobs ---- */

/* What workers need to know about a job. */
struct fake_provider_job {
    unsigned tasks;
    double cpus; /* of each task */
    bool gang;   /* its tasks start, complete and end together */
};
/* Describes a job to the workers. Tasks of a job that was not described run independently and use
 * no capacity. */
void fake_provider_describe_job(struct fake_provider *provider, const char *id,
                                struct fake_provider_job job);
/* How long the tasks of a job run, in seconds; 0: until they are stopped. The last two digits of a
 * job's id state this time in tenths of a second. `task` is the job's id or the name of a task. */
double fake_provider_task_run_s(const char *task);

/* ---- observing rentals and terminations ---- */

/* A controller's request that rents or terminates a machine. */
struct fake_provider_call {
    const char *idempotency_key; /* of the rental; NULL: this is a termination */
    const char *machine;
    /* Only in a termination: */
    const char *task;       /* the most recently started task still on the machine; NULL: none */
    double task_started_at; /* monotonic seconds */
    /* Seconds since the worker sent the last heartbeat that renewed its lease; if the lease has
     * expired since then, seconds since the expiry. */
    double unanswered_s;
};
/* Called for each machine that is rented or terminated, before the request is answered. `call` is
 * valid only during the callback. */
typedef void fake_provider_observer(void *arg, const struct fake_provider_call *call);
/* Calls `observer` from now on. Replaces an earlier observer. */
void fake_provider_observe(struct fake_provider *provider, fake_provider_observer *observer,
                           void *arg);

/* ---- faults of machines and workers ---- */

/* Begins or ends a network partition between a machine and all controllers. The machine is the one
 * at index `choice`, modulo the number of machines ever rented. Returns false if it is not up. */
bool fake_provider_partition_machine(struct fake_provider *provider, unsigned choice,
                                     bool partitioned);
/* The same for the machine on which the task with that name (JOB/INDEX) runs. Returns false if it
 * runs on none that is up. */
bool fake_provider_partition_task_machine(struct fake_provider *provider, const char *task,
                                          bool partitioned);
/* Suspends or resumes a machine, which `choice` selects as above. Returns false if it is not up. */
bool fake_provider_suspend_machine(struct fake_provider *provider, unsigned choice, bool suspended);
/* Ends the partitions and suspensions of all machines, and stops delaying messages. */
void fake_provider_restore_machines(struct fake_provider *provider);
/* Delays randomly selected messages, with these probabilities from 0 to 1. A copy of a selected
 * heartbeat arrives later at a random controller. A selected pushed command is executed later and
 * never answered. */
void fake_provider_delay_messages(struct fake_provider *provider, double heartbeat_share,
                                  double command_share);
/* Cuts the bodies of all answers of workers in the middle from now on, or no longer. */
void fake_provider_cut_worker_answers(struct fake_provider *provider, bool are_cut);
/* Holds every pushed command, without an answer, until fake_provider_release_commands. */
void fake_provider_hold_commands(struct fake_provider *provider);
/* Delivers the commands that were held, and returns their number. */
unsigned fake_provider_release_commands(struct fake_provider *provider);
/* From now on, or no longer, repeats every push that a worker has executed, again and again, to the
 * same worker. */
void fake_provider_repeat_pushes(struct fake_provider *provider, bool are_repeated);
/* The number of repeated pushes that workers have executed. They refuse the others. */
unsigned fake_provider_repeated_push_count(const struct fake_provider *provider);
/* Lets the task with that name (JOB/INDEX) fail on the machine on which it runs. Returns false if
 * it runs on none that is up. */
bool fake_provider_fail_task(struct fake_provider *provider, const char *task);
/* Restarts the workers of all machines that are up, at once and without what they knew: their
 * incarnations and sequence numbers start over, and they have seen no token. If `keeps_tasks`,
 * their tasks go on; otherwise these have ended. */
void fake_provider_restart_workers(struct fake_provider *provider, bool keeps_tasks);
/* The number of machines that are up and whose worker's lease was not renewed within the last
 * `seconds`. */
int fake_provider_unserved_machine_count(const struct fake_provider *provider, double seconds);
/* Makes one machine fail: the provider lists it as failed. Returns false if no machine is up. */
bool fake_provider_fail_machine(struct fake_provider *provider);
/* Sets the fault of the network between a controller and the machines of a zone. */
void fake_provider_set_zone_fault(struct fake_provider *provider, int controller, int zone,
                                  struct relay_fault fault);

/* ---- faults of the provider's API ---- */

/* Sets the fault of the network between a controller and the provider's API. */
void fake_provider_set_api_fault(struct fake_provider *provider, int controller,
                                 struct relay_fault fault);
/* The next request to rent (if `rental`) or to terminate (otherwise) is executed but never
 * answered. */
void fake_provider_lose_next_answer(struct fake_provider *provider, bool rental);
/* The next `requests` requests to rent or terminate are answered with `status` and not executed. */
void fake_provider_refuse_requests(struct fake_provider *provider, int status, int requests);
/* The next request to rent is executed after `seconds` and never answered. */
void fake_provider_delay_next_rental(struct fake_provider *provider, double seconds);
/* The next request to terminate is executed after `seconds` and never answered. */
void fake_provider_delay_next_termination(struct fake_provider *provider, double seconds);

#endif
