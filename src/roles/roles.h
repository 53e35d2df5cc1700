/* Duties that one controller holds at a time: renting machines, returning them, cleaning stored
 * keys. Each is a key in the state service, attached to one lease of its holder; its fencing token
 * is the revision at which the holder took it.
 *
 * Keys:
 *
 * - p/duty/NAME  {holder, boot, lease}: under the holder's lease
 * - p/drain/NAME {token}: an operator asks the holder of that token to give the duty up
 * - p/intent/... see intent.h */
#ifndef PM_ROLES_ROLES_H
#define PM_ROLES_ROLES_H

#include "base/settings.h"
#include "roles/intent.h"
#include "store/store.h"

#include <stdbool.h>
#include <stdint.h>

#define PM_ROLE_KEY_PREFIX "p/duty/"
#define PM_ROLE_DRAIN_KEY_PREFIX "p/drain/"

struct pm_roles;
struct pm_links_trace;
struct pm_audit_log;

struct pm_roles_hooks {
    void (*acquired)(void *arg); /* a duty was taken: what is open can be finished */
    /* An operator asked for it, and it was given up. */
    void (*drained)(void *arg, enum pm_role duty);
    void *arg;
};

/* What this controller's hold on duties rests on. */
struct pm_roles_conditions {
    bool is_supported;       /* every controller knows duties and intents */
    bool is_leader;          /* renting and returning follow the lead */
    uint64_t epoch_revision; /* of p/epoch, while leading */
};

/* `boot` names this process; it, `trace` and `record` outlive the duties; the latter may be NULL.
 */
struct pm_roles *pm_roles_new(struct pm_store *store, const struct pm_settings *settings,
                              const struct pm_roles_setting *setting, const char *boot,
                              struct pm_links_trace *trace, struct pm_audit_log *record,
                              const struct pm_roles_hooks *hooks);
void pm_roles_free(struct pm_roles *duties);

/* ---- the replica's feed ---- */

/* False: the key is none of ours. */
bool pm_roles_apply_put(struct pm_roles *duties, const char *key, const cbor_item_t *value,
                        uint64_t revision);
void pm_roles_apply_delete(struct pm_roles *duties, const char *key, uint64_t revision);
/* A new listing begins, and has ended: what it did not tell is gone. */
void pm_roles_snapshot_begin(struct pm_roles *duties);
void pm_roles_snapshot_end(struct pm_roles *duties);

/* ---- holding ---- */

/* Takes, renews and gives up what is due; at least every PM_ROLES_TICK_S. */
#define PM_ROLES_TICK_S 0.5
void pm_roles_tick(struct pm_roles *duties, const struct pm_roles_conditions *grounds, double now);
/* Whether machines are rented and returned under duties and intents: as the settings say, or
 * because another controller has begun to. */
bool pm_roles_are_active(const struct pm_roles *duties);
bool pm_roles_holds(const struct pm_roles *duties, enum pm_role duty, double now);
/* Steady time up to which an action under the duty may leave; 0: it is not held. */
double pm_roles_valid_until(const struct pm_roles *duties, enum pm_role duty);
/* 0: not held. */
uint64_t pm_roles_token(const struct pm_roles *duties, enum pm_role duty);

/* ---- intents ---- */

/* The intent is durable: `name` is its name, which stays valid during the call; or it could not be
 * written, `name` NULL. */
typedef void pm_intent_written(void *arg, const char *name);
/* Writes the intent, and consumes it. False: it can't be written now, and `done` is not called. */
bool pm_roles_write_intent(struct pm_roles *duties, struct pm_intent *intent,
                           pm_intent_written *done, void *arg, double now);
/* The open intents of the duty, oldest first; the array is the caller's, the intents are not, and
 * last until the next event. */
GPtrArray *pm_roles_open_intents(const struct pm_roles *duties, enum pm_role duty);
/* NULL: not open any more. */
struct pm_intent *pm_roles_find_intent(const struct pm_roles *duties, const char *name);
/* The cloud has said what became of it: its key goes. */
void pm_roles_close_intent(struct pm_roles *duties, const char *name, double now);
/* On taking or losing the lead: no call is under way any more. */
void pm_roles_forget_calls(struct pm_roles *duties);

/* ---- telling ---- */

/* For the record and the trace: what was sent for an intent, and what became of it. */
void pm_roles_log_action(struct pm_roles *duties, enum pm_role duty, const char *event,
                         const char *name, const char *detail);
/* Holders, tokens and open intents as a list of CBOR maps, for the operators' tool. */
void pm_roles_encode_status(const struct pm_roles *duties, struct pm_buf *out, double now);

#endif
