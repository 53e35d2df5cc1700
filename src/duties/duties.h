/* Duties that one controller holds at a time: renting machines, returning them, cleaning stored
 * keys. Each is a key in the state service, attached to one lease of its holder; its fencing token
 * is the revision at which the holder took it.
 *
 * Keys:
 *
 * - p/duty/NAME  {holder, boot, lease}: under the holder's lease
 * - p/drain/NAME {token}: an operator asks the holder of that token to give the duty up
 * - p/intent/... see intent.h */
#ifndef PM_DUTIES_DUTIES_H
#define PM_DUTIES_DUTIES_H

#include "base/settings.h"
#include "duties/intent.h"
#include "store/store.h"

#include <stdbool.h>
#include <stdint.h>

#define PM_DUTY_PREFIX "p/duty/"
#define PM_DRAIN_PREFIX "p/drain/"

struct pm_duties;
struct pm_links_trace;
struct pm_record;

struct pm_duties_hooks {
    void (*taken)(void *arg); /* a duty was taken: what is open can be finished */
    /* An operator asked for it, and it was given up. */
    void (*drained)(void *arg, enum pm_single_duty duty);
    void *arg;
};

/* What this controller's hold on duties rests on. */
struct pm_duties_grounds {
    bool supported;          /* every controller knows duties and intents */
    bool leads;              /* renting and returning follow the lead */
    uint64_t epoch_revision; /* of p/epoch, while leading */
};

/* `boot` names this process; it, `trace` and `record` outlive the duties; the latter may be NULL.
 */
struct pm_duties *pm_duties_new(struct pm_store *store, const struct pm_settings *settings,
                                const struct pm_duties_setting *setting, const char *boot,
                                struct pm_links_trace *trace, struct pm_record *record,
                                const struct pm_duties_hooks *hooks);
void pm_duties_free(struct pm_duties *duties);

/* ---- the replica's feed ---- */

/* False: the key is none of ours. */
bool pm_duties_put(struct pm_duties *duties, const char *key, const cbor_item_t *value,
                   uint64_t revision);
void pm_duties_drop(struct pm_duties *duties, const char *key, uint64_t revision);
/* A new listing begins, and has ended: what it did not tell is gone. */
void pm_duties_relist(struct pm_duties *duties);
void pm_duties_listed(struct pm_duties *duties);

/* ---- holding ---- */

/* Takes, renews and gives up what is due; at least every PM_DUTIES_TICK_S. */
#define PM_DUTIES_TICK_S 0.5
void pm_duties_tick(struct pm_duties *duties, const struct pm_duties_grounds *grounds, double now);
/* Whether machines are rented and returned under duties and intents: as the settings say, or
 * because another controller has begun to. */
bool pm_duties_active(const struct pm_duties *duties);
bool pm_duties_holds(const struct pm_duties *duties, enum pm_single_duty duty, double now);
/* Steady time up to which an action under the duty may leave; 0: it is not held. */
double pm_duties_valid_until(const struct pm_duties *duties, enum pm_single_duty duty);
/* 0: not held. */
uint64_t pm_duties_token(const struct pm_duties *duties, enum pm_single_duty duty);

/* ---- intents ---- */

/* The intent is durable: `name` is its name, which stays valid during the call; or it could not be
 * written, `name` NULL. */
typedef void pm_intended(void *arg, const char *name);
/* Writes the intent, and consumes it. False: it can't be written now, and `done` is not called. */
bool pm_duties_intend(struct pm_duties *duties, struct pm_intent *intent, pm_intended *done,
                      void *arg, double now);
/* The open intents of the duty, oldest first; the array is the caller's, the intents are not, and
 * last until the next event. */
GPtrArray *pm_duties_open(const struct pm_duties *duties, enum pm_single_duty duty);
/* NULL: not open any more. */
struct pm_intent *pm_duties_find(const struct pm_duties *duties, const char *name);
/* The cloud has said what became of it: its key goes. */
void pm_duties_close(struct pm_duties *duties, const char *name, double now);
/* On taking or losing the lead: no call is under way any more. */
void pm_duties_forget_calls(struct pm_duties *duties);

/* ---- telling ---- */

/* For the record and the trace: what was sent for an intent, and what became of it. */
void pm_duties_note(struct pm_duties *duties, enum pm_single_duty duty, const char *event,
                    const char *name, const char *detail);
/* Holders, tokens and open intents as a list of CBOR maps, for the operators' tool. */
void pm_duties_put_status(const struct pm_duties *duties, struct pm_buf *out, double now);

#endif
