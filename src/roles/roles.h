/* Singleton roles: scale-out, scale-in and garbage collection are each done by one controller at a
 * time. This module tracks which controller holds each role, acquires and releases roles for this
 * controller, and keeps the open intents of all controllers.
 *
 * The holder of a role is stored in a key of the state service that is attached to the holder's
 * lease. The revision at which the holder wrote the key is the holder's fencing token. A holder
 * acts only until its lease expires by its own monotonic clock, and every transaction that it sends
 * for the role compares the key's revision with the token. A transaction of a replaced holder
 * therefore conflicts and changes nothing.
 *
 * The controller calls the functions that apply changes of the replica, the tick and the status;
 * the autoscaler calls those for intents. All calls are made in the event-loop thread under `struct
 * pm_controller.lock`, which also guards the state of this module. Requests to the state service
 * are asynchronous, and their callbacks run in the same thread.
 *
 * Keys that are read and written: p/duty/NAME and p/drain/NAME (see role.h), and p/intent/NAME (see
 * intent.h). p/epoch is only compared in transactions. */
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
    /* Called when this controller has acquired at least one role, whose open intents it can now
     * complete. */
    void (*acquired)(void *arg);
    /* Called after this controller released the role at an operator's request. */
    void (*drained)(void *arg, enum pm_role role);
    void *arg;
};

/* The conditions under which this controller may acquire and keep roles. */
struct pm_roles_conditions {
    bool is_supported;       /* every controller runs a version with roles and intents */
    bool is_leader;          /* this controller leads, which scale-out and scale-in require */
    uint64_t epoch_revision; /* revision of p/epoch while this controller leads, otherwise 0 */
};

/* Returns an instance that holds no roles, owned by the caller. `hooks` is copied; all other
 * pointers are borrowed and must outlive the instance. `incarnation_id` identifies this process.
 * `trace` and `audit_log` may be NULL. */
struct pm_roles *pm_roles_new(struct pm_store *store, const struct pm_settings *settings,
                              const struct pm_roles_setting *setting, const char *incarnation_id,
                              struct pm_links_trace *trace, struct pm_audit_log *audit_log,
                              const struct pm_roles_hooks *hooks);
/* Frees the instance. None of its requests to the state service may be in flight. */
void pm_roles_free(struct pm_roles *roles);

/* ---- changes of the replica ---- */

/* Applies a put. Returns false if the key belongs to another module. */
bool pm_roles_apply_put(struct pm_roles *roles, const char *key, const cbor_item_t *value,
                        uint64_t revision);
/* Applies a delete. Ignores keys of other modules. */
void pm_roles_apply_delete(struct pm_roles *roles, const char *key, uint64_t revision);
/* Called when a snapshot begins. Clears all holders and drain requests; those that still exist are
 * put again by the snapshot. */
void pm_roles_snapshot_begin(struct pm_roles *roles);
/* Called when the snapshot is complete. Removes the open intents that the snapshot did not contain,
 * and marks a role of this controller as lost if the snapshot did not contain its key. */
void pm_roles_snapshot_end(struct pm_roles *roles);

/* ---- leases and fencing tokens ---- */

/* The controller calls pm_roles_tick at least this often. */
#define PM_ROLES_TICK_S 0.5
/* The periodic step: keeps the lease alive, acquires and drains roles as `conditions` allow, and
 * deletes the keys of closing intents. `conditions` is copied. `now` is in monotonic seconds. */
void pm_roles_tick(struct pm_roles *roles, const struct pm_roles_conditions *conditions,
                   double now);
/* Whether machines are rented and terminated under roles and intents. This requires that all
 * controllers support roles, and either that this controller's settings enable them or that intents
 * are open, written by a controller whose settings enable them. */
bool pm_roles_is_active(const struct pm_roles *roles);
/* Whether this controller holds the role at `now` (monotonic seconds). */
bool pm_roles_is_holder(const struct pm_roles *roles, enum pm_role role, double now);
/* Returns the monotonic time until which requests under the role may be sent, or 0 if this
 * controller does not hold the role. */
double pm_roles_valid_until(const struct pm_roles *roles, enum pm_role role);
/* Returns this controller's fencing token for the role, or 0 if it does not hold the role. */
uint64_t pm_roles_token(const struct pm_roles *roles, enum pm_role role);

/* ---- intents ---- */

/* Called once when the intent's transaction has ended. `name` is the intent's name, borrowed for
 * the call, or NULL if the intent is not known to be durable. */
typedef void pm_intent_write_done(void *arg, const char *name);
/* Names the intent and sends the transaction that writes it, which compares the role's fencing
 * token and the epoch. Always takes ownership of `intent`. Returns false, and never calls `done`,
 * if this controller does not lead or does not hold the role at `now` (monotonic seconds). */
bool pm_roles_write_intent(struct pm_roles *roles, struct pm_intent *intent,
                           pm_intent_write_done *done, void *arg, double now);
/* Returns the role's open intents of all controllers, oldest first. The caller frees the array; the
 * intents are borrowed until the next event. */
GPtrArray *pm_roles_open_intents(const struct pm_roles *roles, enum pm_role role);
/* Returns the open intent with this name, borrowed until the next event, or NULL if none exists. */
struct pm_intent *pm_roles_find_intent(const struct pm_roles *roles, const char *name);
/* Marks the intent as closing because all its calls to the provider are settled. Its key is deleted
 * together with others, by a transaction that is sent at once if enough intents are closing, and
 * otherwise by a later tick. Does nothing if no such intent is open. `now` is in monotonic
 * seconds. */
void pm_roles_close_intent(struct pm_roles *roles, const char *name, double now);
/* Marks all open intents as having no call to the provider in flight, so that their calls may be
 * sent at once. Called when this controller acquires or loses leadership. */
void pm_roles_reset_calls(struct pm_roles *roles);

/* ---- reporting ---- */

/* Records an action under the role in the audit log and the trace. `name` is the intent, or
 * whatever else the action concerns. `event` and `detail` are stored unchanged. */
void pm_roles_log_action(struct pm_roles *roles, enum pm_role role, const char *event,
                         const char *name, const char *detail);
/* Appends a CBOR list to `out`, for the operator's tool, with one map for each role: its holder,
 * fencing token and number of open intents. `now` is in monotonic seconds. */
void pm_roles_encode_status(const struct pm_roles *roles, struct pm_buffer *out, double now);

#endif
