/* Shared by the files of this directory that manage the singleton roles; not included elsewhere. */
#ifndef PM_ROLES_INTERNAL_H
#define PM_ROLES_INTERNAL_H

#include "roles/roles.h"

enum { PM_ROLES_INCARNATION_ID_SIZE = 24 }; /* bytes, with the NUL at its end */

/* The holder's key, as the replica has it. Written by replica.c, and by acquisition.c when a
 * transaction of this controller has written the key. */
struct pm_role_holder {
    uint64_t revision; /* 0: there is no holder */
    char name[PM_NAME_MAX];
    char incarnation_id[PM_ROLES_INCARNATION_ID_SIZE];
    bool is_unreadable; /* the value is malformed: the key is left in place */
    double changed_at;  /* monotonic seconds: the last change of holder; 0: none was seen */
};

/* An operator's request to drain the role, as the replica has it. Written by replica.c. */
struct pm_role_drain_request {
    uint64_t revision; /* 0: there is no request */
    uint64_t token;    /* of the holder that is to release the role; 0: none, or malformed */
};

/* This controller's own claim on the role. Written by acquisition.c, but for what names another
 * file. */
struct pm_role_claim {
    uint64_t token;          /* its fencing token; 0: this controller does not have the role */
    bool acquire_in_flight;  /* acquisition.c */
    bool drain_in_flight;    /* drain.c */
    double vacant_at;        /* monotonic seconds: seen without a holder since; 0: it has one */
    double backoff_until_at; /* monotonic seconds: not acquired before this time (drain.c) */
};

struct pm_role_state {
    struct pm_role_holder holder;
    struct pm_role_drain_request drain_request;
    struct pm_role_claim claim;
};

/* The lease to which the keys of this controller's roles are attached. Written by lease.c. */
struct pm_roles_lease {
    uint64_t id;        /* 0: none */
    double sent_at;     /* monotonic seconds: when the last grant or keep-alive was sent */
    double renew_at;    /* monotonic seconds: the next grant or keep-alive is due */
    double valid_until; /* monotonic seconds: lower bound of its expiry; 0: it has expired */
    bool grant_in_flight, keep_alive_in_flight;
};

/* Open intents of all controllers. Written by intent_log.c and intent_closing.c, and by replica.c
 * for deletes and snapshots. */
struct pm_roles_intents {
    GHashTable *open;           /* name to struct pm_intent, owned */
    GHashTable *writes;         /* name to struct intent_write: transactions in flight */
    GHashTable *snapshot_names; /* names in the snapshot that is being read; NULL: none is */
    uint64_t last_number;       /* of an intent that this controller wrote */
    bool close_in_flight[PM_ROLE_COUNT];
};

struct pm_roles {
    /* Fixed when it is made. */
    struct pm_store *store;
    const struct pm_settings *settings;
    const struct pm_roles_setting *setting;
    const char *incarnation_id;
    struct pm_links_trace *trace;   /* NULL: none is written */
    struct pm_audit_log *audit_log; /* NULL: none is written */
    struct pm_roles_hooks hooks;

    struct pm_roles_conditions conditions; /* of the last tick */
    struct pm_role_state states[PM_ROLE_COUNT];
    struct pm_roles_lease lease;
    struct pm_roles_intents intents;
};

/* ---- event_log.c ---- */

/* Writes an acquisition or a loss of the role to the log, the audit log and the trace. `event` and
 * `reason` ("": none) are stored in the audit log as they are. */
void pm_roles_log_change(struct pm_roles *roles, enum pm_role role, const char *event,
                         uint64_t token, const char *reason);

/* ---- lease.c ---- */

/* Sends a grant, or a keep-alive, when one is due at `now` (monotonic seconds) and none is in
 * flight. */
void pm_roles_keep_lease_alive(struct pm_roles *roles, double now);

/* ---- acquisition.c ---- */

/* Whether the holder's key, as the replica has it, was written by this incarnation. */
bool pm_roles_is_own_holder(const struct pm_roles *roles, const struct pm_role_holder *holder);
/* Notes that this controller has the role under `token`; does nothing when it is known already. */
void pm_roles_mark_acquired(struct pm_roles *roles, enum pm_role role, uint64_t token);
/* Notes that this controller does not have the role any more; does nothing when it did not.
 * `reason` is stored in the audit log. */
void pm_roles_mark_lost(struct pm_roles *roles, enum pm_role role, const char *reason);
/* Acquires the roles that are bound to the leader, whoever has them: the compared epoch proves that
 * this controller leads. */
void pm_roles_acquire_as_leader(struct pm_roles *roles);
/* Acquires the role once it has had no holder for long enough at `now` (monotonic seconds). */
void pm_roles_acquire_if_vacant(struct pm_roles *roles, enum pm_role role, double now);

/* ---- drain.c ---- */

/* Notes that this controller released the role at an operator's request, and calls the hook. */
void pm_roles_mark_drained(struct pm_roles *roles, enum pm_role role);
/* Releases the role if a request to drain names this controller's token. The holder's key and the
 * request are deleted in one transaction. */
void pm_roles_drain_if_requested(struct pm_roles *roles, enum pm_role role);

/* ---- intent_log.c ---- */

/* Applies a put of an intent's key from the replica. */
void pm_roles_apply_intent_put(struct pm_roles *roles, const char *key, const cbor_item_t *value,
                               uint64_t revision);
/* How many intents of the role are open. */
unsigned pm_roles_count_open_intents(const struct pm_roles *roles, enum pm_role role);

/* ---- intent_closing.c ---- */

/* Deletes the keys of closing intents, as many as one transaction takes. Below a certain number of
 * them it waits for room in the write budget. `now` in monotonic seconds. */
void pm_roles_delete_closed_intents(struct pm_roles *roles, enum pm_role role, double now);

#endif
