/* What the files of the shards slice share; no other slice includes it. */
#ifndef PM_SHARDS_INTERNAL_H
#define PM_SHARDS_INTERNAL_H

#include "shards/shards.h"

#include <protobuf-c/protobuf-c.h>

#include <string.h>

enum { PM_SHARD_INCARNATION_MAX = 24 }; /* of an incarnation id, with its NUL */

enum { PM_SHARD_HTTP_OK = 200, PM_SHARD_HTTP_BAD_REQUEST = 400 };

/* Ordered: a machine of a later state than PM_SHARD_MACHINE_OWNED is on its way back. */
enum pm_shard_machine_state {
    PM_SHARD_MACHINE_ADDING,   /* assigned, but no write that lists it is known to be durable */
    PM_SHARD_MACHINE_OWNED,    /* in the stored shard */
    PM_SHARD_MACHINE_REVOKING, /* the owner is asked to drain it */
    PM_SHARD_MACHINE_REMOVING  /* drained: the leader's once a write without it is durable */
};

/* A machine of a shard, as the leader wants it. */
struct pm_shard_machine {
    int index; /* of the machine */
    enum pm_shard_machine_state state;
    bool preempt;          /* while it is being revoked: the owner is to stop its tasks */
    uint64_t write_serial; /* of the write that adds or removes it, 0: not written yet */
    double idle_since;     /* monotonic: without tasks on it or to come, 0: it has some */
};

/* A job of a shard, as the state service has it. */
struct pm_shard_stored_job {
    char id[PM_ID_MAX];
    uint32_t parallelism;
};

/* A machine of a shard, as the state service has it, without its name. */
struct pm_shard_stored_machine {
    char endpoint[64];
    int type, zone; /* -1: unknown */
    bool spot;
    uint64_t incarnation; /* of its worker */
};

/* A shard as the replica has it. Written by shards.c and by the codec, shard_value.c. */
struct pm_shard_stored {
    uint64_t revision; /* 0: there is no such key */
    uint64_t serial;
    char incarnation_id[PM_SHARD_INCARNATION_MAX]; /* of the owner that it was assigned to */
    GArray *machines;                              /* of int: machine indices */
    GArray *jobs;                                  /* of struct pm_shard_stored_job */
};

/* A shard as the leader wants it. Written by the assignment and, on a response, owner_request.c. */
struct pm_shard_target {
    GArray *machines; /* of struct pm_shard_machine */
    GPtrArray *jobs;  /* of struct pm_job, borrowed */
    bool needs_write; /* differs from what was last written */
};

/* The leader's writes of a shard. Written by shard_write.c. */
struct pm_shard_write {
    bool in_flight;
    uint64_t serial;   /* of the last write */
    uint64_t revision; /* that the last write made; the replica may not have it yet */
    /* The epoch of a write with an unknown outcome, which may yet be applied; 0: there is none. */
    uint64_t unknown_outcome_epoch;
    /* Monotonic: the last write was sent; later than that after a rejection, to delay the next. */
    double sent_at;
};

/* The owner, as its responses to the leader show it. Written by owner_request.c. */
struct pm_shard_owner {
    char incarnation_id[PM_SHARD_INCARNATION_MAX]; /* "": not known yet */
    bool is_ready;                                 /* it serves, and may own machines */
    bool request_in_flight;
    double requested_at;     /* monotonic; 0: a request is due at once */
    double last_response_at; /* monotonic: it last responded, while it reached its workers */
};

/* Deletion of a shard whose owner is lost. Written by revocation.c and shards.c. */
struct pm_shard_revocation {
    bool in_progress;
    bool deleted;        /* the replica has the deletion of the key */
    double requested_at; /* monotonic */
};

struct pm_shard {
    const char *owner_name; /* of the controller, borrowed from the settings */
    char key[PM_NAME_MAX + 8];
    struct pm_shard_stored stored;
    /* On the leader alone. */
    struct pm_shard_target target;
    struct pm_shard_write write;
    struct pm_shard_owner owner;
    struct pm_shard_revocation revocation;
};

struct pm_shards {
    struct pm_name_tables *tables;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    struct pm_scheduler *scheduler;
    struct pm_store *store;
    struct pm_http_client *http;
    struct pm_election *election;
    struct pm_shards_hooks hooks;
    int peer_count;
    struct pm_shard shard[PM_PEERS_MAX + 1]; /* the peers', then this controller's */
    bool is_leading;
    uint64_t term; /* counts elections and step-downs: results from an earlier one are dropped */
    bool has_unknown_launch; /* a launch of an owner had an unknown outcome: advance the epoch */
    /* This controller's working state as an owner: another id after each loss of that state. */
    char incarnation_id[PM_SHARD_INCARNATION_MAX];
    bool is_owner; /* not leading, and this controller's shard has machines or jobs */
};

/* The revision that the shard's key has by now, as far as this controller knows; 0: no key. */
static inline uint64_t pm_shard_revision(const struct pm_shard *shard)
{
    return MAX(shard->stored.revision, shard->write.revision);
}

/* This controller's own shard. */
static inline struct pm_shard *pm_shards_own(struct pm_shards *shards)
{
    return &shards->shard[shards->peer_count];
}

/* A machine of the target, by its position; valid until the list changes. */
static inline struct pm_shard_machine *pm_shard_machine_at(const struct pm_shard *shard,
                                                           guint position)
{
    return &g_array_index(shard->target.machines, struct pm_shard_machine, position);
}

/* Whether the stored shard was assigned to an earlier incarnation of its owner. */
static inline bool pm_shard_is_owner_replaced(const struct pm_shard *shard)
{
    return shard->stored.revision && shard->stored.revision >= shard->write.revision &&
           shard->owner.incarnation_id[0] &&
           strcmp(shard->owner.incarnation_id, shard->stored.incarnation_id) != 0;
}

/* How many tasks of the job fit into the capacity. */
static inline uint32_t pm_shard_tasks_that_fit(const struct pm_machine_capacity *capacity,
                                               const struct pm_spec *spec)
{
    return pm_spec_tasks_that_fit(spec, capacity->cpus, capacity->gpus, capacity->ram_gb);
}

/* job_assignment.c */

/* Whether the owner may be given anything: it is ready, and responded shortly before `now`. */
bool pm_shard_is_owner_available(const struct pm_shard *shard, double now);
/* Whether the shard's value stays below the size limit with one more job and so many machines. */
bool pm_shard_has_value_space(const struct pm_shards *shards, const struct pm_shard *shard,
                              unsigned machine_count);

/* machine_revocation.c; `used` holds, by machine index, whether a waiting task is to run there. */

/* Whether a machine is being revoked whose tasks are to be preempted. */
bool pm_shards_is_preempting(const struct pm_shards *shards);
/* Revokes machines that run only work beyond its team's guarantee, until `task_count` tasks of the
 * job, which are within their team's, have capacity. */
void pm_shards_revoke_for_guarantee(struct pm_shards *shards, const struct pm_job *job,
                                    uint32_t task_count, const bool *used);
/* Revokes machines that have been idle for a while; `task_counts` by machine index. */
void pm_shards_revoke_idle_machines(struct pm_shards *shards, const uint32_t *task_counts,
                                    const bool *used, double now);

/* revocation.c */

/* Deletes the shard's key from an owner that is lost and advances the epoch with it. Does nothing
 * while a write is in flight, shortly after the last attempt, or when there is no key. */
void pm_shard_revoke(struct pm_shards *shards, struct pm_shard *shard, const char *reason,
                     double now);
/* Revokes the shard of an owner that stopped responding, or, when it was never written, returns its
 * machines and jobs to the leader. */
void pm_shard_revoke_unresponsive(struct pm_shards *shards, struct pm_shard *shard, double now);
/* Returns the machines and jobs of all shards whose deletion is in the replica to the leader. */
void pm_shards_reclaim_revoked(struct pm_shards *shards);
/* Forgets what the leader wanted the shard to be, and its writes. */
void pm_shard_reset(struct pm_shard *shard);

/* shard_value.c: the stored value */

/* Reads the value, which may come from anyone: what is malformed is left out. Interns the names of
 * the machines. Keeps the revision, and the serial when the value has none. */
void pm_shard_value_decode(struct pm_name_tables *tables, const cbor_item_t *value,
                           struct pm_shard_stored *stored);
/* The list of the value's machines, borrowed; NULL: it has none. */
const cbor_item_t *pm_shard_value_machines(const cbor_item_t *value);
/* Reads the name of one of them; false when malformed. */
bool pm_shard_value_machine_name(const cbor_item_t *machine, char name[PM_NAME_MAX]);
/* Reads the rest of it; what is absent or unknown has its default. */
void pm_shard_value_decode_machine(const struct pm_name_tables *tables, const cbor_item_t *machine,
                                   struct pm_shard_stored_machine *out);
/* Writes the shard as the leader wants it, without the machines that are being removed. */
void pm_shard_value_encode(const struct pm_shards *shards, const struct pm_shard *shard,
                           struct pm_buffer *out);

/* shard_message.c: the messages between the leader and the owners */

/* The encoded message, owned by the caller (g_free); never NULL. */
unsigned char *pm_shard_message_pack(const ProtobufCMessage *message, size_t *size);
/* Appends the name, borrowed, to a repeated field; the caller frees the list (g_free). */
void pm_shard_message_add_name(char ***names, size_t *count, const char *name);
/* Whether a repeated field has the name. */
bool pm_shard_message_has_name(char *const *names, size_t count, const char *name);

/* shard_write.c */

/* Writes the shard if it needs it, unless a write is in flight, one was sent just before, or the
 * write budget is used up. */
void pm_shard_write_if_due(struct pm_shards *shards, struct pm_shard *shard, double now);

/* owner_request.c */

/* Sends the owner a request if one is due and none is in flight; the response is applied when it
 * arrives, and followed by pm_shards_exchange. */
void pm_shard_request_if_due(struct pm_shards *shards, struct pm_shard *shard, double now);

/* ownership.c */

/* Owner: the stored shard, just decoded from `value`, is this controller's to use. Adds its
 * machines to the workers, and removes those that are not listed. */
void pm_shards_adopt_owned(struct pm_shards *shards, const cbor_item_t *value, double now);
/* Owner: applies the shard's jobs to those that the replica has by now. */
void pm_shards_adopt_owned_jobs(struct pm_shards *shards);
/* Owner: this controller has no shard any more. */
void pm_shards_give_up_owned(struct pm_shards *shards);

#endif
