/* The autoscaler: which machines to rent from the machine provider and which to terminate, and the
 * requests to the provider that do so.
 *
 * Runs on the leader alone. The controller calls pm_autoscaler_run after each plan; that marks
 * machines for scale-in, sizes what the unmet demand needs beyond the machines that are up or
 * booting, and sends what the provider's request limit allows. While singleton roles are active,
 * every request to rent or terminate is a durable intent first (roles/intent.h), so that whoever
 * has the role next completes it; without them the leader sends the requests directly.
 *
 * It writes `struct pm_machine_provider` of each machine, adds the machines that are rented or
 * listed to the table of the workers slice, and marks the ones to terminate. It writes no key of
 * its own: intents are written by the roles slice. From the leader before it reads which zones were
 * silent (silent_zones.c names the fields).
 *
 * Threads: everything is called from the event-loop thread, under `struct pm_controller.lock`,
 * which guards all its state; the provider's answers arrive there too. Decisions take the time as
 * an argument: `now` is monotonic seconds, `wall_now` the time of day in seconds. */
#ifndef PM_AUTOSCALER_AUTOSCALER_H
#define PM_AUTOSCALER_AUTOSCALER_H

#include "scheduler/scheduler.h"

struct pm_roles;
struct pm_autoscaler;

/* Called from the event-loop thread, under the lock. */
struct pm_autoscaler_hooks {
    /* The provider has sent its machine types; `models` is borrowed for the call, and not checked
     * yet. */
    void (*machine_types)(void *arg, const cbor_item_t *models);
    /* The provider has confirmed that the machine is terminated; the hook may remove it. */
    void (*machine_terminated)(void *arg, struct pm_machine *machine);
    /* Machines were added, or what is known of them has changed: a new plan is due. */
    void (*changed)(void *arg);
    void *arg;
};

/* ---- autoscaler.c: lifecycle and the periodic run ---- */

/* A new instance, owned by the caller (pm_autoscaler_free). The other modules and the settings are
 * borrowed and must outlive it; `hooks` is copied. `http` may be NULL where nothing is sent. Never
 * NULL. */
struct pm_autoscaler *pm_autoscaler_new(struct pm_http_client *http, struct pm_name_tables *tables,
                                        struct pm_jobs *jobs, struct pm_workers *workers,
                                        struct pm_scheduler *scheduler,
                                        const struct pm_operator_settings *operator_settings,
                                        const struct pm_autoscaler_hooks *hooks);
/* Frees it. No request of it may be in flight. */
void pm_autoscaler_free(struct pm_autoscaler *autoscaler);
/* From now on machines are rented and terminated under these roles and their intents, while the
 * roles are active. `roles` is borrowed and must outlive the autoscaler. */
void pm_autoscaler_set_roles(struct pm_autoscaler *autoscaler, struct pm_roles *roles);
/* On an election or a step-down: forgets what belongs to one term, and ignores the answers to
 * requests that are in flight. `epoch` is that of the new term, and part of the idempotency keys of
 * its requests; 0 after a step-down. */
void pm_autoscaler_reset(struct pm_autoscaler *autoscaler, uint64_t epoch);
/* Whether machines that are up may be given up now: placements can be written, and this process was
 * not suspended. While it may not, missed heartbeats and idle time count for nothing. */
void pm_autoscaler_set_writable(struct pm_autoscaler *autoscaler, bool writable, double now);
/* Leader only: decides, and sends what the provider's request limit allows. Does nothing before the
 * machine types are known. */
void pm_autoscaler_run(struct pm_autoscaler *autoscaler, double now, double wall_now);

/* ---- intent_completion.c ---- */

/* On an election, once all placements are recovered: marks the machines of open scale-in intents as
 * being terminated, so that they get no work. Does nothing without roles. */
void pm_autoscaler_adopt_intents(struct pm_autoscaler *autoscaler);

/* ---- silent_zones.c ---- */

/* On an election, after the reset: reads from the ledger of the leader before which zones it no
 * longer received heartbeats from, and since when. `ledger` is borrowed for the call; NULL, or a
 * malformed one: no zone is known to be silent. */
void pm_autoscaler_decode_silent_zones(struct pm_autoscaler *autoscaler, const cbor_item_t *ledger,
                                       double now, double wall_now);

/* ---- scale_in.c ---- */

/* How long a machine may idle before it is terminated, in seconds, when there are so many machines:
 * the operators' setting, and less of it the more machines there are. */
double pm_autoscaler_idle_timeout_s(const struct pm_operator_settings *operator_settings,
                                    int machine_count);
/* Marks the machines to terminate: failed, lost, never booted, quarantined, drained or idle. Their
 * requests are sent later. */
void pm_autoscaler_mark_scale_in(struct pm_autoscaler *autoscaler, double now);

/* ---- machine_types.c, machine_types_codec.c ---- */

/* Requests the machine types from the provider, unless that was done within the last second or the
 * request limit is reached. The hook `machine_types` gets the answer. */
void pm_autoscaler_request_machine_types(struct pm_autoscaler *autoscaler, double now);
/* Decodes the provider's list of machine types, or the stored copy of it (key p/types), into
 * `tables`. False when it is empty or an entry is malformed; the entries before that one are
 * applied all the same. Types beyond PM_MACHINE_TYPES_MAX are logged and skipped. */
bool pm_machine_types_decode(struct pm_name_tables *tables, const cbor_item_t *models);

/* ---- sizing.c ---- */

/* Machines of one kind to rent. */
struct pm_scale_out_request {
    int type, zone;
    bool spot;
    int count;
};
/* Sizes what the unmet demand and the headroom for services need beyond the machines that are up or
 * booting. Writes at most `max` requests to `out`, one for each kind, and returns how many. */
int pm_autoscaler_size(struct pm_autoscaler *autoscaler, double now, double wall_now,
                       struct pm_scale_out_request *out, int max);

/* ---- termination.c ---- */

/* Whether the provider has confirmed that the machine of that name is terminated. A copy of a
 * heartbeat, or an inventory that lags behind, may still name it. */
bool pm_autoscaler_is_terminated(const struct pm_autoscaler *autoscaler, const char *machine_name);

#endif
