/* Declarations shared by the files of the shards slice; no other slice includes this header. */
#ifndef PM_SHARDS_INTERNAL_H
#define PM_SHARDS_INTERNAL_H

#include "shards/shards.h"

#include <protobuf-c/protobuf-c.h>

#include <string.h>

enum { PM_SHARD_INCARNATION_MAX = 24 }; /* size of an incarnation id, including the NUL */

enum { PM_SHARD_HTTP_OK = 200, PM_SHARD_HTTP_BAD_REQUEST = 400 };

/* The states are ordered: a machine in a state after PM_SHARD_MACHINE_OWNED is being returned to
 * the leader. */
enum pm_shard_machine_state {
    PM_SHARD_MACHINE_ADDING,   /* assigned; no write that lists it is known to be durable yet */
    PM_SHARD_MACHINE_OWNED,    /* listed in the stored shard */
    PM_SHARD_MACHINE_REVOKING, /* the owner is asked to drain it */
    PM_SHARD_MACHINE_REMOVING  /* drained or missing; returned once a write without it is durable */
};

/* A machine of a shard's target. */
struct pm_shard_machine {
    int index; /* dense index of the machine in the workers slice */
    enum pm_shard_machine_state state;
    bool preempt;          /* during revocation the owner must preempt the machine's tasks */
    uint64_t write_serial; /* serial of the write that adds or removes it; 0 before that write */
    /* Monotonic time at which the machine became idle (it has no placed tasks, and no capacity of
     * it is reserved for waiting ones); 0 if it is not idle. */
    double idle_since;
};

/* A job of a stored shard. */
struct pm_shard_stored_job {
    char id[PM_ID_MAX];
    uint32_t parallelism; /* how many of its tasks may run at once */
};

/* A machine of a stored shard, without its name. */
struct pm_shard_stored_machine {
    char endpoint[64];
    int type, zone; /* dense indices; -1 if unknown */
    bool spot;
    uint64_t incarnation; /* incarnation of its worker */
};

/* The shard in the replica. Written by shards.c and by the codec, shard_value.c. */
struct pm_shard_stored {
    uint64_t revision; /* revision of the shard's key; 0 if the key does not exist */
    uint64_t serial;   /* serial of the write that stored it */
    char incarnation_id[PM_SHARD_INCARNATION_MAX]; /* the owner's, when it was assigned the shard */
    GArray *machines;                              /* array of int: machine indices */
    GArray *jobs;                                  /* array of struct pm_shard_stored_job */
};

/* The shard's desired state, which the leader writes to the state service. The leader's plan and
 * the owner's responses change it. */
struct pm_shard_target {
    GArray *machines; /* array of struct pm_shard_machine */
    GPtrArray *jobs;  /* array of struct pm_job, borrowed from the jobs slice */
    bool needs_write; /* the target has changed since the last write */
};

/* State of the leader's writes of a shard. Written by shard_write.c. */
struct pm_shard_write {
    bool in_flight;
    uint64_t serial;   /* serial of the last write */
    uint64_t revision; /* revision of the last durable write; the replica may not have it yet */
    /* Epoch of a write whose outcome is unknown, so that it may still be applied; 0 if there is no
     * such write. */
    uint64_t unknown_outcome_epoch;
    /* Monotonic time at which the last write was sent. After a rejection it is set to a time in the
     * future, which delays the next write. */
    double sent_at;
};

/* What the leader knows of the owner from its responses. Written by owner_request.c. */
struct pm_shard_owner {
    char incarnation_id[PM_SHARD_INCARNATION_MAX]; /* empty until it is known */
    bool is_ready;                                 /* the owner may be assigned machines and jobs */
    bool request_in_flight;
    double requested_at; /* monotonic time of the last request; 0 if one is due at once */
    /* Monotonic time of the last response, other than those in which the owner reports that it
     * can't reach its workers. */
    double last_response_at;
};

/* Revocation of a shard whose owner is lost, by deletion of its key. Written by revocation.c and
 * shards.c. */
struct pm_shard_revocation {
    bool in_progress;
    bool deleted;        /* the replica shows that the key is deleted, or it was never written */
    double requested_at; /* monotonic time of the last attempt to delete the key */
};

struct pm_shard {
    const char *owner_name; /* the owning controller's name, borrowed from the settings */
    char key[PM_NAME_MAX + 8];
    struct pm_shard_stored stored;
    /* The members below are used only on the leader. */
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
    struct pm_shard shard[PM_PEERS_MAX + 1]; /* the peers' shards, then this controller's own */
    bool is_leader;
    /* Number of elections and step-downs. A result of a write or request from an earlier term is
     * ignored. */
    uint64_t term;
    /* An owner reports a launch whose outcome is unknown: the epoch must advance. */
    bool has_unknown_launch_outcome;
    /* Identifies this controller as an owner. Replaced when the controller drops its replica,
     * because it then no longer knows which tasks it placed and which of its commands are in
     * flight. */
    char incarnation_id[PM_SHARD_INCARNATION_MAX];
    bool is_owner; /* this controller does not lead, and its shard has machines or jobs */
};

/* Returns the latest known revision of the shard's key, or 0 if the key does not exist. */
static inline uint64_t pm_shard_revision(const struct pm_shard *shard)
{
    return MAX(shard->stored.revision, shard->write.revision);
}

/* Returns the shard that this controller is the owner of. */
static inline struct pm_shard *pm_shards_own_shard(struct pm_shards *shards)
{
    return &shards->shard[shards->peer_count];
}

/* Returns the machine at that position of the target. The pointer is valid until a machine is added
 * or removed. */
static inline struct pm_shard_machine *pm_shard_machine_at(const struct pm_shard *shard,
                                                           guint position)
{
    return &g_array_index(shard->target.machines, struct pm_shard_machine, position);
}

/* Whether the owner was replaced by a new incarnation after the stored shard was assigned: the
 * incarnation id in the last response differs from the stored one. False while the replica lacks
 * the leader's last write of the shard. */
static inline bool pm_shard_is_owner_replaced(const struct pm_shard *shard)
{
    return shard->stored.revision && shard->stored.revision >= shard->write.revision &&
           shard->owner.incarnation_id[0] &&
           strcmp(shard->owner.incarnation_id, shard->stored.incarnation_id) != 0;
}

/* Returns how many tasks of that spec fit into the capacity. */
static inline uint32_t pm_shard_tasks_that_fit(const struct pm_machine_capacity *capacity,
                                               const struct pm_spec *spec)
{
    return pm_spec_tasks_that_fit(spec, capacity->cpus, capacity->gpus, capacity->ram_gb);
}

/* job_assignment.c */

/* Whether jobs and machines may be assigned to the owner at `now`: it is ready, has responded
 * recently, and its shard is not being revoked. */
bool pm_shard_is_owner_available(const struct pm_shard *shard, double now);
/* Whether the shard's value stays below the size limit when one job and `machine_count` machines
 * are added. */
bool pm_shard_has_value_space(const struct pm_shards *shards, const struct pm_shard *shard,
                              unsigned machine_count);

/* machine_revocation.c. `is_reserved` tells, by machine index, whether capacity on the machine is
 * reserved for a waiting task. */

/* Whether any machine is being revoked with preemption of its tasks. */
bool pm_shards_has_preempting_revocation(const struct pm_shards *shards);
/* Revokes machines, with preemption of their tasks, until there is capacity for `task_count` tasks
 * of the job. These tasks must be within the guarantee of the job's team; all tasks on the revoked
 * machines are beyond the guarantees of theirs. */
void pm_shards_revoke_for_guarantee(struct pm_shards *shards, const struct pm_job *job,
                                    uint32_t task_count, const bool *is_reserved);
/* Revokes machines that have been idle for some time. `task_counts` holds the number of placed
 * tasks by machine index. */
void pm_shards_revoke_idle_machines(struct pm_shards *shards, const uint32_t *task_counts,
                                    const bool *is_reserved, double now);

/* revocation.c */

/* Revokes the shard of a lost owner: deletes its key and advances the epoch in one transaction.
 * Does nothing while a write is in flight, shortly after the last attempt, or if the key does not
 * exist. `reason` is logged with the first attempt. */
void pm_shard_revoke(struct pm_shards *shards, struct pm_shard *shard, const char *reason,
                     double now);
/* Revokes the shard of an owner that stopped responding. If the shard was never written, returns
 * its machines and jobs to the leader without a transaction. */
void pm_shard_revoke_unresponsive(struct pm_shards *shards, struct pm_shard *shard, double now);
/* Returns the machines and jobs of each revoked shard to the leader, once the replica shows that
 * the shard's key is deleted. */
void pm_shards_reclaim_revoked(struct pm_shards *shards);
/* Discards the shard's target, and the state of its writes and of its revocation. */
void pm_shard_reset(struct pm_shard *shard);

/* shard_value.c: the stored value */

/* Decodes an untrusted value into `stored`; malformed parts are skipped. Interns the machines'
 * names. Leaves the revision unchanged, and also the serial if the value has none. */
void pm_shard_value_decode(struct pm_name_tables *tables, const cbor_item_t *value,
                           struct pm_shard_stored *stored);
/* Returns the value's list of machines, borrowed, or NULL if the value has none. */
const cbor_item_t *pm_shard_value_machines(const cbor_item_t *value);
/* Decodes the name of one machine of that list. Returns false if it is malformed. */
bool pm_shard_value_machine_name(const cbor_item_t *machine, char name[PM_NAME_MAX]);
/* Decodes the other fields of one machine of that list. An absent or unknown field is set to its
 * default. */
void pm_shard_value_decode_machine(const struct pm_name_tables *tables, const cbor_item_t *machine,
                                   struct pm_shard_stored_machine *out);
/* Appends the encoded target of the shard to `out`, without the machines that are being removed. */
void pm_shard_value_encode(const struct pm_shards *shards, const struct pm_shard *shard,
                           struct pm_buffer *out);

/* shard_message.c: the messages between the leader and the owners */

/* Returns the encoded message, which the caller frees with g_free. Never returns NULL. */
unsigned char *pm_shard_message_pack(const ProtobufCMessage *message, size_t *size);
/* Appends a borrowed name to a repeated field. The caller frees the list with g_free. */
void pm_shard_message_add_name(char ***names, size_t *count, const char *name);
/* Whether a repeated field contains the name. */
bool pm_shard_message_has_name(char *const *names, size_t count, const char *name);

/* shard_write.c */

/* Writes the shard if its target has changed, unless a write is in flight or was sent very
 * recently, or the write budget is used up. */
void pm_shard_write_if_due(struct pm_shards *shards, struct pm_shard *shard, double now);

/* owner_request.c */

/* Sends the owner a request if one is due and none is in flight. When the response arrives, it is
 * applied, and pm_shards_exchange is called to send the writes and requests that are then due. */
void pm_shard_request_if_due(struct pm_shards *shards, struct pm_shard *shard, double now);

/* ownership.c */

/* On an owner: applies the stored shard, which was just decoded from `value` and must be assigned
 * to the current incarnation of this controller. Adds the shard's machines to the workers slice,
 * and removes machines that are not listed. */
void pm_shards_apply_ownership(struct pm_shards *shards, const cbor_item_t *value, double now);
/* On an owner: lets this controller place the tasks of the shard's jobs, and sets the jobs' stored
 * parallelism. Skips jobs that the replica does not have yet. */
void pm_shards_apply_owned_jobs(struct pm_shards *shards);
/* On an owner: ends this controller's use of its shard, which it has lost or given up. */
void pm_shards_end_ownership(struct pm_shards *shards);

#endif
