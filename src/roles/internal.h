/* What the parts of the duties slice share; nobody else includes it. */
#ifndef PM_ROLES_INTERNAL_H
#define PM_ROLES_INTERNAL_H

#include "roles/roles.h"

enum {
    PROCESS_SIZE = 24,
    CLOSED_AT_ONCE = 8, /* intents that are dropped together, unless the clock comes first */
    CLOSING_MOST = 32   /* that wait for room in the write budget */
};

/* One duty: as the replica knows it, and what we have of it. */
struct duty {
    uint64_t revision; /* 0: nobody holds it */
    char holder[PM_NAME_MAX], boot[PROCESS_SIZE];
    uint64_t drain_revision, drain_token;
    uint64_t token; /* ours, 0: not held */
    bool taking, draining, unreadable;
    double vacant_since, stand_back_until; /* steady */
    double held_since;                     /* steady: since when the holder is as it is */
};

struct pm_roles {
    struct pm_store *store;
    const struct pm_settings *settings;
    const struct pm_roles_setting *setting;
    const char *boot;
    struct pm_links_trace *trace;
    struct pm_audit_log *record;
    struct pm_roles_hooks hooks;
    struct pm_roles_conditions grounds;
    struct duty duty[PM_ROLE_COUNT];
    uint64_t lease_id; /* 0: none */
    double lease_sent, renew_at, valid_until;
    bool hold_busy, renew_busy;
    GHashTable *intents; /* name to struct pm_intent: open */
    GHashTable *writing; /* name to struct writing */
    GHashTable *listed;  /* names that the listing under way has told, NULL: none is */
    uint64_t last_number;
    bool closing_busy[PM_ROLE_COUNT];
};

/* duties.c */
/* For the log, the record and the trace: a duty was taken or lost. */
void pm_roles_log_change(struct pm_roles *d, enum pm_role duty, const char *event, uint64_t token,
                         const char *why);

/* holding.c: the lease, and who holds what */
void pm_role_key(enum pm_role duty, char *out, size_t size);
void pm_role_drain_key(enum pm_role duty, char *out, size_t size);
/* Whether the duty is the leader's, and can't be anybody else's. */
bool pm_roles_follows_lead(enum pm_role duty);
/* Whether the key, as the replica has it, was written by this process. */
bool pm_roles_is_ours(const struct pm_roles *d, const struct duty *duty);
void pm_roles_acquire(struct pm_roles *d, enum pm_role duty, uint64_t token);
void pm_roles_lose(struct pm_roles *d, enum pm_role duty, const char *why);
/* An operator asked for the duty, and its key has gone. */
void pm_roles_drained(struct pm_roles *d, enum pm_role duty);
void pm_roles_keep_lease_alive(struct pm_roles *d, double now);
/* The leader takes what follows the lead from whoever has it: the epoch says that it may. */
void pm_roles_acquire_as_leader(struct pm_roles *d);
void pm_roles_acquire_if_vacant(struct pm_roles *d, enum pm_role duty, double now);
/* The duty and the request for it go in one transaction. */
void pm_roles_drain_if_asked(struct pm_roles *d, enum pm_role duty);

/* intents.c */
/* How many intents of the duty are open; with `closing`, of those that the cloud has answered. */
unsigned pm_roles_count(const struct pm_roles *d, enum pm_role duty, bool closing);
void pm_roles_apply_intent_put(struct pm_roles *d, const char *key, const cbor_item_t *value,
                               uint64_t revision);
/* Drops what is closing, as many as one transaction takes. It can wait for room in the write
 * budget, though not for ever. */
void pm_roles_delete_closed_intents(struct pm_roles *d, enum pm_role duty, double now);

#endif
