/* The autoscaler decides which machines to rent from the machine provider and which to terminate,
 * and sends the requests that do so.
 *
 * A machine is rented either as a spot machine, which the provider may interrupt, or as an ordinary
 * machine. "Ordinary" is the provider's word for on-demand: not spot, at a higher price, and not
 * interrupted.
 *
 * The autoscaler runs only on the leader. The controller calls pm_autoscaler_run after each plan. A
 * run marks machines for termination, computes which machines the unmet demand needs beyond those
 * that are up or booting, and sends the requests that the provider's request limit allows. While
 * singleton roles are active, each request to rent or terminate is first stored as an intent
 * (roles/intent.h), so that the next holder of the role completes it if this controller does not.
 * Without roles the leader sends the requests directly.
 *
 * The autoscaler writes `struct pm_machine_provider` of each machine, adds machines that are rented
 * or listed by the provider to the workers slice's table, and marks the machines to terminate. It
 * writes no stored key: the roles slice writes intents. It reads from the previous leader's ledger
 * which zones were silent (silent_zones.c names the fields).
 *
 * Threads: all functions are called from the event-loop thread, with `struct pm_controller.lock`
 * held, which guards all state of the autoscaler; the provider's answers arrive in the same way.
 * Functions that make decisions take the time as an argument: `now` is monotonic seconds,
 * `wall_now` is the time of day in seconds. */
#ifndef PM_AUTOSCALER_AUTOSCALER_H
#define PM_AUTOSCALER_AUTOSCALER_H

#include "scheduler/scheduler.h"

struct pm_roles;
struct pm_autoscaler;

/* Callbacks into the controller, called from the event-loop thread with its lock held. */
struct pm_autoscaler_hooks {
    /* The provider has sent its machine types. `models` is borrowed for the call, and has not been
     * validated. */
    void (*machine_types)(void *arg, const cbor_item_t *models);
    /* The provider has confirmed that the machine is terminated. The hook may remove it. */
    void (*machine_terminated)(void *arg, struct pm_machine *machine);
    /* Machines were added or have changed, so a new plan is due. */
    void (*changed)(void *arg);
    void *arg;
};

/* ---- autoscaler.c: lifecycle and the periodic run ---- */

/* Returns a new autoscaler, never NULL, which the caller frees with pm_autoscaler_free. `hooks` is
 * copied; all other arguments are borrowed and must outlive the autoscaler. `http` may be NULL if
 * the autoscaler never sends a request. */
struct pm_autoscaler *pm_autoscaler_new(struct pm_http_client *http, struct pm_name_tables *tables,
                                        struct pm_jobs *jobs, struct pm_workers *workers,
                                        struct pm_scheduler *scheduler,
                                        const struct pm_operator_settings *operator_settings,
                                        const struct pm_autoscaler_hooks *hooks);
/* Frees the autoscaler. None of its requests may be in flight. */
void pm_autoscaler_free(struct pm_autoscaler *autoscaler);
/* Makes the autoscaler rent and terminate machines under these roles and their intents whenever the
 * roles are active. `roles` is borrowed and must outlive the autoscaler. */
void pm_autoscaler_set_roles(struct pm_autoscaler *autoscaler, struct pm_roles *roles);
/* Starts a new term; called on an election and on a step-down. Clears the state of the previous
 * term and ignores answers to requests that are still in flight. `epoch` is the epoch of the new
 * term, which becomes part of the idempotency keys of its requests; it is 0 after a step-down. */
void pm_autoscaler_reset(struct pm_autoscaler *autoscaler, uint64_t epoch);
/* Sets whether placements can be written. The controller also passes false if this process was
 * suspended recently, because it has then missed heartbeats. While `writable` is false, machines
 * with placements are not terminated for missed heartbeats alone, and for a limited time idle
 * machines are kept. */
void pm_autoscaler_set_writable(struct pm_autoscaler *autoscaler, bool writable, double now);
/* Decides which machines to rent and to terminate, and sends the requests that the provider's limit
 * allows. Called only on the leader. Does nothing until the machine types are known. */
void pm_autoscaler_run(struct pm_autoscaler *autoscaler, double now, double wall_now);

/* ---- intent_completion.c ---- */

/* Marks the machines of open scale-in intents as being terminated, so that no tasks are placed on
 * them. Called on an election, after all placements are recovered. Does nothing without roles. */
void pm_autoscaler_adopt_intents(struct pm_autoscaler *autoscaler);

/* ---- silent_zones.c ---- */

/* Records `now` as the time of this leader's election. Reads from the previous leader's ledger
 * which zones no longer sent it heartbeats, and since when. Called on an election, after
 * pm_autoscaler_reset. `ledger` is borrowed for the call. If it is NULL or malformed, no zone
 * counts as silent. */
void pm_autoscaler_decode_silent_zones(struct pm_autoscaler *autoscaler, const cbor_item_t *ledger,
                                       double now, double wall_now);

/* ---- scale_in.c ---- */

/* Returns how long a machine may idle before it is terminated, in seconds. This is the operators'
 * setting, or a smaller share of it in a larger fleet of `machine_count` machines. */
double pm_autoscaler_idle_timeout_s(const struct pm_operator_settings *operator_settings,
                                    int machine_count);
/* Marks for termination the machines that have failed, are lost, never booted, or are quarantined,
 * drained or idle. pm_autoscaler_run then requests their termination. */
void pm_autoscaler_mark_scale_in(struct pm_autoscaler *autoscaler, double now);

/* ---- machine_types.c, machine_types_codec.c ---- */

/* Requests the machine types from the provider and passes the answer to the hook `machine_types`.
 * Does nothing if such a request is in flight or was sent within the last second, or if the request
 * limit is reached. */
void pm_autoscaler_request_machine_types(struct pm_autoscaler *autoscaler, double now);
/* Decodes the provider's list of machine types, or the stored copy of it (key p/types), into
 * `tables`. Returns false if the list is empty or an entry is malformed; the entries before the
 * malformed one have then been applied. Types beyond PM_MACHINE_TYPES_MAX are logged and skipped.
 */
bool pm_machine_types_decode(struct pm_name_tables *tables, const cbor_item_t *models);

/* ---- sizing.c ---- */

/* A number of machines of one kind to rent. */
struct pm_scale_out_request {
    int type, zone;
    bool spot;
    int count;
};
/* Computes which machines the unmet demand, the steady demand of array work and the headroom for
 * services need beyond those that are up or booting. Writes at most `max` requests to `out`, one
 * for each machine kind, and returns their number. */
int pm_autoscaler_size(struct pm_autoscaler *autoscaler, double now, double wall_now,
                       struct pm_scale_out_request *out, int max);

/* ---- termination.c ---- */

/* Whether the provider has confirmed that the machine with this name is terminated. A delayed
 * heartbeat or an outdated inventory may still name such a machine. */
bool pm_autoscaler_is_terminated(const struct pm_autoscaler *autoscaler, const char *machine_name);

#endif
