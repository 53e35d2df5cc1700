/* Types and functions shared by the files of this directory that manage the singleton roles. Not
 * included anywhere else. */
#ifndef PM_ROLES_INTERNAL_H
#define PM_ROLES_INTERNAL_H

#include "roles/roles.h"

enum { PM_ROLES_INCARNATION_ID_SIZE = 24 }; /* bytes, including the terminating NUL */

/* The role's holder as stored under its key. Updated by replica.c, and by acquisition.c when this
 * controller's own transaction has written the key. */
struct pm_role_holder {
    uint64_t revision; /* the key's revision, 0 if there is no holder */
    char name[PM_NAME_MAX];
    char incarnation_id[PM_ROLES_INCARNATION_ID_SIZE];
    bool is_unreadable; /* the stored value is malformed; the key is neither replaced nor deleted */
    double changed_at;  /* monotonic time of the last change of holder, 0 if none was seen */
};

/* An operator's request to drain the role, as stored under its key. Updated by replica.c. */
struct pm_role_drain_request {
    uint64_t revision; /* the key's revision, 0 if there is no request */
    /* The fencing token of the holder that is to release the role. 0 if there is no request, or its
     * value is malformed. */
    uint64_t token;
};

/* This controller's own claim on the role. Updated by acquisition.c; drain.c updates the fields
 * marked (drain.c). */
struct pm_role_claim {
    uint64_t token;         /* own fencing token, 0 if this controller does not hold the role */
    bool acquire_in_flight; /* a transaction to acquire the role is in flight */
    bool drain_in_flight;   /* a transaction to release the role is in flight (drain.c) */
    double vacant_since;    /* monotonic time since which the role is vacant, 0 if it is not */
    double backoff_until;   /* monotonic time before which the role is not acquired (drain.c) */
};

struct pm_role_state {
    struct pm_role_holder holder;
    struct pm_role_drain_request drain_request;
    struct pm_role_claim claim;
};

/* The lease to which the keys of this controller's roles are attached. Updated by lease.c. All
 * times are in monotonic seconds. */
struct pm_roles_lease {
    uint64_t id;        /* 0 if this controller has no lease */
    double sent_at;     /* when the last grant or keep-alive request was sent */
    double renew_at;    /* when the next grant or keep-alive request is due */
    double valid_until; /* the lease does not expire before this time, 0 if it has expired */
    bool grant_in_flight, keep_alive_in_flight;
};

/* Open intents of all controllers. Updated by intent_log.c and intent_closing.c, and by replica.c
 * for deletes and snapshots. */
struct pm_roles_intents {
    GHashTable *open;           /* name to struct pm_intent, owned */
    GHashTable *writes;         /* name to struct intent_write, for each write in flight */
    GHashTable *snapshot_names; /* names in the snapshot being read, NULL between snapshots */
    uint64_t last_number;       /* number in the name of this controller's last intent */
    /* For each role, whether a transaction that deletes the keys of closing intents is in flight.
     * An intent is closing once all its calls to the provider are settled. */
    bool close_in_flight[PM_ROLE_COUNT];
};

struct pm_roles {
    /* Set by pm_roles_new and never changed. */
    struct pm_store *store;
    const struct pm_settings *settings;     /* the platform's, of the whole controller */
    const struct pm_roles_setting *setting; /* the operators', of this slice */
    const char *incarnation_id;
    struct pm_links_trace *trace;   /* NULL if no trace is written */
    struct pm_audit_log *audit_log; /* NULL if no audit log is written */
    struct pm_roles_hooks hooks;

    struct pm_roles_conditions conditions; /* as passed to the last tick */
    struct pm_role_state states[PM_ROLE_COUNT];
    struct pm_roles_lease lease;
    struct pm_roles_intents intents;
};

/* ---- event_log.c ---- */

/* Writes the acquisition or loss of the role to the log, the audit log and the trace. `event` and
 * `reason` are stored unchanged in the audit log and the trace; `reason` may be "". */
void pm_roles_log_change(struct pm_roles *roles, enum pm_role role, const char *event,
                         uint64_t token, const char *reason);

/* ---- lease.c ---- */

/* Requests a lease, or keeps the existing one alive, if that is due at `now` (monotonic seconds)
 * and no such request is in flight. */
void pm_roles_keep_lease_alive(struct pm_roles *roles, double now);

/* ---- acquisition.c ---- */

/* Whether the holder is this process: it has this controller's name and incarnation id. */
bool pm_roles_is_own_holder(const struct pm_roles *roles, const struct pm_role_holder *holder);
/* Marks the role as held by this controller under `token`. Does nothing if it is already held under
 * this or a later token. */
void pm_roles_mark_acquired(struct pm_roles *roles, enum pm_role role, uint64_t token);
/* Marks the role as no longer held by this controller. Does nothing if the controller did not hold
 * it. `reason` is stored unchanged in the audit log and the trace. */
void pm_roles_mark_lost(struct pm_roles *roles, enum pm_role role, const char *reason);
/* Acquires the roles that are bound to the leader, even if another controller holds them. The
 * transaction compares the epoch, so it fails if this controller no longer leads. */
void pm_roles_acquire_as_leader(struct pm_roles *roles);
/* Acquires the role if at `now` (monotonic seconds) it has been vacant for long enough and is not
 * in back-off after a drain. */
void pm_roles_acquire_if_vacant(struct pm_roles *roles, enum pm_role role, double now);

/* ---- drain.c ---- */

/* Marks the role as released at an operator's request, starts its back-off and calls the hook
 * `drained`. */
void pm_roles_mark_drained(struct pm_roles *roles, enum pm_role role);
/* Releases the role if a drain request names this controller's fencing token. One transaction
 * deletes the holder's key and the request. */
void pm_roles_drain_if_requested(struct pm_roles *roles, enum pm_role role);

/* ---- intent_log.c ---- */

/* Applies a put of an intent's key. */
void pm_roles_apply_intent_put(struct pm_roles *roles, const char *key, const cbor_item_t *value,
                               uint64_t revision);
/* Returns the number of the role's open intents, those of all controllers. */
unsigned pm_roles_count_open_intents(const struct pm_roles *roles, enum pm_role role);

/* ---- intent_closing.c ---- */

/* Deletes the keys of closing intents in one transaction: as many as the write budget allows, or if
 * many intents are closing, as many as fit into a transaction. Does nothing if this controller does
 * not hold the role at `now` (monotonic seconds), or if such a transaction is in flight. */
void pm_roles_delete_closing_intents(struct pm_roles *roles, enum pm_role role, double now);

#endif
