/* Singleton roles: scale-out, scale-in and garbage collection are each done by one controller at a
 * time. This module owns which controller has which role, and the open intents of all of them.
 *
 * A role is a key in the state service, attached to a lease of its holder. Its fencing token is the
 * revision at which the holder wrote the key. A holder acts only until its lease expires by its own
 * monotonic clock, and what it writes compares the key with its token, so that nothing of a
 * replaced holder takes effect.
 *
 * Called by the controller (feed, tick, status) and by the autoscaler (intents), in the event-loop
 * thread, under `struct pm_controller.lock`, which also guards all its state. Requests to the state
 * service are asynchronous: their callbacks come in the same thread.
 *
 * Keys, read and written: p/duty/NAME and p/drain/NAME (role.h), p/intent/NAME (intent.h). p/epoch
 * is compared, not written. */
#ifndef PM_ROLES_ROLES_H
#define PM_ROLES_ROLES_H

#include "base/settings.h"
#include "roles/intent.h"
#include "roles/role.h"
#include "store/store.h"

#include <stdbool.h>
#include <stdint.h>

struct pm_roles;
struct pm_links_trace;
struct pm_audit_log;

struct pm_roles_hooks {
    /* At least one role was acquired: open intents can be completed. */
    void (*acquired)(void *arg);
    /* The role was released at an operator's request. */
    void (*drained)(void *arg, enum pm_role role);
    void *arg;
};

/* What decides whether this controller may acquire and keep roles. */
struct pm_roles_conditions {
    bool is_supported;       /* every controller runs a version with roles and intents */
    bool is_leader;          /* scale-out and scale-in are bound to the leader */
    uint64_t epoch_revision; /* of p/epoch, while leading; else 0 */
};

/* A new instance without roles; the caller owns it. All pointers are borrowed and outlive it, but
 * for `hooks`, which is copied. `incarnation_id` names this process. `trace` and `audit_log` may be
 * NULL. */
struct pm_roles *pm_roles_new(struct pm_store *store, const struct pm_settings *settings,
                              const struct pm_roles_setting *setting, const char *incarnation_id,
                              struct pm_links_trace *trace, struct pm_audit_log *audit_log,
                              const struct pm_roles_hooks *hooks);
/* Frees it. No request of it may be in flight. */
void pm_roles_free(struct pm_roles *roles);

/* ---- the replica's feed ---- */

/* Applies a put. False: the key is of another module. */
bool pm_roles_apply_put(struct pm_roles *roles, const char *key, const cbor_item_t *value,
                        uint64_t revision);
/* Applies a delete; keys of other modules are ignored. */
void pm_roles_apply_delete(struct pm_roles *roles, const char *key, uint64_t revision);
/* A snapshot begins: holders and requests to drain are unknown until they are put again. */
void pm_roles_snapshot_begin(struct pm_roles *roles);
/* The snapshot is complete: forgets open intents that were not in it, and roles of this controller
 * whose key was not. */
void pm_roles_snapshot_end(struct pm_roles *roles);

/* ---- leases and tokens ---- */

/* The longest interval between two calls of pm_roles_tick. */
#define PM_ROLES_TICK_S 0.5
/* Keeps the lease alive, and acquires and releases what is due under `conditions` (copied) at `now`
 * (monotonic seconds). */
void pm_roles_tick(struct pm_roles *roles, const struct pm_roles_conditions *conditions,
                   double now);
/* Whether machines are rented and terminated under roles and intents: the settings enable it, or
 * intents of a controller that has it enabled are open. */
bool pm_roles_is_active(const struct pm_roles *roles);
/* Whether this controller has the role at `now` (monotonic seconds). */
bool pm_roles_is_holder(const struct pm_roles *roles, enum pm_role role, double now);
/* Monotonic time until which a request under the role may be sent; 0: this controller does not have
 * the role. */
double pm_roles_valid_until(const struct pm_roles *roles, enum pm_role role);
/* This controller's fencing token for the role; 0: it does not have the role. */
uint64_t pm_roles_token(const struct pm_roles *roles, enum pm_role role);

/* ---- intents ---- */

/* Called once when the intent's transaction has ended. `name` is borrowed for the call; NULL: the
 * intent is not known to be durable. */
typedef void pm_intent_write_done(void *arg, const char *name);
/* Names the intent and writes it under the role's token and the epoch; consumes `intent` in any
 * case. False: this controller may not write it at `now` (monotonic seconds), and `done` is not
 * called. */
bool pm_roles_write_intent(struct pm_roles *roles, struct pm_intent *intent,
                           pm_intent_write_done *done, void *arg, double now);
/* The role's open intents, oldest first. The caller frees the array; the intents are borrowed until
 * the next event. */
GPtrArray *pm_roles_open_intents(const struct pm_roles *roles, enum pm_role role);
/* The open intent with this name, borrowed until the next event; NULL: there is none. */
struct pm_intent *pm_roles_find_intent(const struct pm_roles *roles, const char *name);
/* The provider has answered for all of the intent: its key is deleted soon after `now` (monotonic
 * seconds). Does nothing if it is not open. */
void pm_roles_close_intent(struct pm_roles *roles, const char *name, double now);
/* Notes that no call to the provider is in flight for any intent, and that each may be retried at
 * once. Called when leadership is acquired or lost. */
void pm_roles_reset_calls(struct pm_roles *roles);

/* ---- reporting ---- */

/* Writes what was done for the intent `name` to the audit log and the trace; `event` and `detail`
 * are stored as they are. */
void pm_roles_log_action(struct pm_roles *roles, enum pm_role role, const char *event,
                         const char *name, const char *detail);
/* Appends holders, tokens and the number of open intents to `out` as a list of CBOR maps, for the
 * operators' tool. `now` in monotonic seconds. */
void pm_roles_encode_status(const struct pm_roles *roles, struct pm_buffer *out, double now);

#endif
