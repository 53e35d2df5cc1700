/* Machines, their workers' reports, the orders to them, and what is proven gone.
 *
 * A place is freed only by proof (safety invariant 3): a newer report of a worker that has seen our
 * epoch, a later session, a confirmed release, or a lease that nobody can have renewed. */
#ifndef PM_WORKERS_WORKERS_H
#define PM_WORKERS_WORKERS_H

#include "base/http.h"
#include "jobs/jobs.h"

enum pm_machine_state {
    PM_MACHINE_BOOTING,  /* rented, not reported yet */
    PM_MACHINE_UP,       /* reports */
    PM_MACHINE_RELEASING /* being returned: never used again */
};

enum pm_task_exit {
    PM_TASK_EXIT_NONE,
    PM_TASK_EXIT_DONE,
    PM_TASK_EXIT_STOPPED,
    PM_TASK_EXIT_ERROR,
    PM_TASK_EXIT_REFUSED,
    PM_TASK_EXIT_GANG,
    PM_TASK_EXIT_LOST
};

enum { PM_CACHED_IMAGES_MAX = 32 };

struct pm_failure_record { /* a job whose tasks failed on a machine since the last that succeeded */
    const struct pm_job *job;
    unsigned failures;
};

/* Resources of a machine that no placement holds. */
struct pm_machine_capacity {
    double cpus, gpus, ram_gb;
};

/* What the worker's heartbeats and replies say. Written by heartbeat.c. */
struct pm_machine_heartbeat {
    uint64_t incarnation;     /* of the worker: rises each time its lease expires */
    uint64_t min_incarnation; /* earlier ones are proven to be over */
    uint64_t sequence;        /* of the latest message within the incarnation */
    uint64_t fencing_token;   /* the highest that the worker has seen */
    bool is_known;            /* a heartbeat has reached this controller since it became active */
    double last_message_at;   /* monotonic: the latest message of any sort */
    double last_at;           /* monotonic: the latest heartbeat, or since when one is awaited */
    double last_stale_at;     /* monotonic: a message last came that was older than one before it */
    double spot_interruption_at; /* monotonic: the provider takes the machine then, 0: no notice */
    GArray *exited_tasks;        /* of struct pm_task_ref: exited there, to be forgotten */
    GArray *orphan_tasks; /* of struct pm_task_ref: run there without a placement, to be killed */
};

/* Whether what we send arrives: that a heartbeat comes is no sign that its answer does. A failure
 * is a command or a token that a later heartbeat shows no trace of, or a push without an answer. */
struct pm_machine_delivery {
    uint32_t failures;               /* so far, without a success between */
    double failing_since, failed_at; /* monotonic: the first and the last of them */
    uint64_t acked_epoch;            /* of the last heartbeat that was answered with 200, */
    uint64_t acked_sequence;         /* and its sequence number */
};

/* What is known of the worker's lease: when it began at the earliest and was last renewed. */
struct pm_machine_lease {
    double
        lower_bound; /* monotonic: since then no other controller can have renewed it, 0: unknown */
    uint64_t reclaimed_epoch; /* the epoch that took the machine back from a shard, 0: none did */
    double
        incarnation_seen_at; /* monotonic: first message of its incarnation, which began no later */
    double last_acked_at;    /* monotonic: this controller last answered a heartbeat with 200 */
};

/* Commands that are pushed to the worker with POST /do, one request at a time. */
struct pm_machine_push {
    bool has_answered;              /* the worker has answered one */
    uint64_t in_flight;             /* the number of the request that has no answer yet, 0: none */
    bool has_launches;              /* it carries launches */
    double retry_at;                /* monotonic: no request is sent before */
    double failed_at;               /* monotonic: one last failed */
    uint64_t unknown_outcome_epoch; /* of one with launches that got no answer, 0: none */
    uint64_t unknown_outcome_incarnation;
};

/* The machine's part in shards. Written by the shards slice. */
struct pm_machine_shard {
    int owner; /* on the leader: 1 + the index of the peer that owns it, 0: the leader itself */
    double reported_silent_at; /* monotonic, on the leader: the owner last missed its heartbeats, */
    double silent_since;       /* and has missed them ever since */
    bool revoking;             /* on the owner: the leader has asked for the machine back */
    bool returned; /* on the owner: given back, though the stored shard still lists it */
};

/* What the machine is kept free for. Written by the scheduler. */
struct pm_machine_reservation {
    const struct pm_job *gang; /* a gang that waits for capacity here, NULL: none */
    const struct pm_job *job;  /* tasks are being preempted here for this job, NULL: none */
    double until;              /* monotonic: of the latter */
    bool draining;             /* being emptied, to be terminated */
};

/* The machine as the provider knows it. Written by the autoscaler. */
struct pm_machine_provider {
    double rented_at;          /* monotonic */
    double idle_since;         /* monotonic, 0: it is not idle */
    double absent_since;       /* monotonic: missing from the inventory, 0: it is listed */
    double running_since;      /* monotonic: first listed as running, 0: never */
    bool is_listed;            /* the inventory has named it */
    bool has_failed;           /* it stopped by itself */
    double terminate_retry_at; /* monotonic: no request to terminate it is sent before */
};

/* What failed tasks say of the machine (failures.h). */
struct pm_machine_failures {
    GArray *records;           /* of struct pm_failure_record, NULL: none */
    bool quarantined_by_owner; /* the owner of its shard found it faulty */
};

/* Images on the machine, latest use first, as far as is known. */
struct pm_machine_images {
    int count;
    struct pm_cached_image {
        int image;
        double gb;
    } cached[PM_CACHED_IMAGES_MAX];
};

/* A machine and its worker. Each embedded structure is written by one part of the program, which
 * its comment names. What every plan reads comes first, what is large comes last. */
struct pm_machine {
    int index, type, zone; /* dense indices; type and zone are -1 until known */
    bool spot;
    enum pm_machine_state state;
    GPtrArray *placements; /* of struct pm_placement, owned */
    struct pm_machine_capacity free;
    struct pm_machine_heartbeat heartbeat;
    struct pm_machine_delivery delivery;
    struct pm_machine_reservation reservation;
    struct pm_machine_shard shard;
    struct pm_machine_lease lease;
    struct pm_machine_push push;
    struct pm_machine_provider provider;
    struct pm_machine_failures failures;
    struct pm_machine_images images;
    char name[PM_NAME_MAX];
    char endpoint[64];
};

struct pm_task_ref {
    struct pm_job *job;
    uint32_t task_index, attempt;
};

struct pm_workers;

struct pm_workers_hooks {
    /* A place's task ended or is proven gone. It holds nothing any more, and is itself gone after
     * this call. */
    void (*placement_ended)(void *arg, struct pm_placement *place, enum pm_task_exit end,
                            bool saved, double now);
    void (*placement_running)(void *arg, struct pm_placement *place,
                              double now); /* first seen running */
    void *arg;
};

struct pm_workers *pm_workers_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                  const struct pm_workers_hooks *hooks);
void pm_workers_free(struct pm_workers *workers);
/* All machines, by index; entries may be NULL. */
GPtrArray *pm_workers_all(struct pm_workers *workers);
struct pm_machine *pm_workers_find(struct pm_workers *workers, const char *name);
struct pm_machine *pm_workers_at(struct pm_workers *workers, int index); /* NULL: none */
struct pm_machine *pm_workers_add(struct pm_workers *workers, const char *name);
void pm_workers_remove(struct pm_workers *workers, struct pm_machine *machine);
/* Forgets all places and what was heard: on taking or losing the lead. */
void pm_workers_reset(struct pm_workers *workers);

/* Gives it its type, and the room that goes with it, once. */
void pm_workers_set_type(struct pm_workers *workers, struct pm_machine *machine, int type);
/* Whether it is known to be there: rented by us or listed, or it answered. A report alone may be a
 * copy that comes long after its machine is gone. */
bool pm_machine_is_verified(const struct pm_machine *machine);
/* Whether our answers and commands do not arrive there, though its reports do. */
bool pm_machine_is_unreachable(const struct pm_machine *machine, double now);
/* A sign that something we sent did not arrive. */
void pm_machine_note_delivery_failure(struct pm_machine *machine, const char *why, double now);
/* A report was answered with 200. */
void pm_machine_note_ack(struct pm_machine *machine, uint64_t epoch, double now);
/* Whether it answers commands but reports to nobody here: nothing renews its lease. */
bool pm_machine_is_not_reporting(const struct pm_machine *machine,
                                 const struct pm_settings *settings, double now);
/* Whether it has missed a report, by how they come on a quiet day. */
bool pm_machine_missed_heartbeat(const struct pm_machine *machine,
                                 const struct pm_settings *settings, double now);
/* Whether nothing is there, and nothing to it is under way or in doubt. */
bool pm_machine_is_drained(const struct pm_machine *machine, uint64_t epoch);

/* The replica' record of a place: an intent of ours, or one found in the state service. */
struct pm_placement *pm_workers_add_placement(struct pm_workers *workers, struct pm_job *job,
                                              uint32_t index, struct pm_machine *machine,
                                              uint32_t attempt, uint64_t session,
                                              enum pm_placement_state state, double now);
/* Removes a place that is ended, or was an intent that never became durable. */
void pm_workers_remove_placement(struct pm_workers *workers, struct pm_placement *place);

/* What sort of message carries the worker's task list. */
enum pm_task_list_source { PM_SOURCE_HEARTBEAT, PM_SOURCE_PUSH };

/* Takes in a worker's report. Returns NULL when malformed. `fresh` tells whether it was newer than
 * what we had. `epoch` is the one in force. */
struct pm_machine *pm_workers_apply_heartbeat(struct pm_workers *workers, const cbor_item_t *report,
                                              enum pm_task_list_source kind, uint64_t epoch,
                                              double now, bool *fresh);
/* Writes the orders due for a machine as a CBOR list. With `direct`, launches and kills only; the
 * places told to launch are marked. Returns how many orders. */
int pm_workers_encode_commands(struct pm_machine *machine, bool direct, uint64_t epoch,
                               struct pm_buf *out);
/* Writes a kill for each task in the report whose job is known cancelled, by the attempt reported,
 * and nothing else: a list that is safe to send whoever may command the worker. */
void pm_workers_encode_cancel_kills(struct pm_workers *workers, const cbor_item_t *report,
                                    struct pm_buf *out);
/* Whether /do would carry something. */
bool pm_worker_push_is_due(const struct pm_machine *machine);
/* A /do is about to be sent: its number, under which pm_workers_encode_commands notes what it
 * carries. Never 0, and never the same twice, also after a reset. */
uint64_t pm_worker_push_begin(struct pm_workers *workers, struct pm_machine *machine);
/* That /do, sent at `epoch`, came to this; on no answer, launches it carried stay in doubt. False:
 * it is not the one that is open, but from before a reset. */
bool pm_worker_push_done(struct pm_machine *machine, uint64_t number, uint64_t epoch, int status);
/* Everything on the machine is gone, its session over: the lease lapsed, or it was released. */
void pm_workers_mark_lost(struct pm_workers *workers, struct pm_machine *machine, double now);
/* Whether the lease of what is on the machine has lapsed for certain. `floor` is the steady time
 * since when no other controller can have answered it, INFINITY if that is not known. */
bool pm_workers_is_lease_expired(const struct pm_machine *machine, double floor, double lease_s,
                                 double now);
void pm_placement_stop(struct pm_placement *place, double leave_s);

#endif
