/* Machines and their workers: heartbeats, commands, placements, and what is proven gone.
 *
 * Owns all machines and placements of a controller. Called from the event-loop thread and the
 * planner's, with the controller's lock; no I/O, and the time is an argument. Stores nothing: after
 * a change of leader placements are recovered from the chunks of the jobs slice, and the rest from
 * heartbeats.
 *
 * A placement is freed only by proof (safety invariant 3): a newer message of a worker that has
 * seen our epoch, a later incarnation, a confirmed termination, or a lease that nobody can have
 * renewed. */
#ifndef PM_WORKERS_WORKERS_H
#define PM_WORKERS_WORKERS_H

#include "base/http.h"
#include "jobs/jobs.h"

enum pm_machine_state {
    PM_MACHINE_BOOTING,  /* rented, no heartbeat yet */
    PM_MACHINE_UP,       /* its worker has reported */
    PM_MACHINE_RELEASING /* being terminated: never used again */
};

/* Why a placement ended. */
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

/* A task and its attempt, as a worker names it. */
struct pm_task_ref {
    struct pm_job *job;
    uint32_t task_index, attempt;
};

struct pm_workers;

struct pm_workers_hooks {
    /* A placement's task has ended or is proven gone. The placement holds nothing any more, and is
     * freed after this call. `saved`: its progress was checkpointed. */
    void (*placement_ended)(void *arg, struct pm_placement *placement, enum pm_task_exit end,
                            bool saved, double now);
    /* A placement's task was first seen running. */
    void (*placement_running)(void *arg, struct pm_placement *placement, double now);
    void *arg;
};

/* ---- machines.c: the table of machines ---- */

/* An empty table; `tables` and `jobs` are borrowed, `hooks` are copied. */
struct pm_workers *pm_workers_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                  const struct pm_workers_hooks *hooks);
/* Frees all machines and placements; no hook is called. */
void pm_workers_free(struct pm_workers *workers);
/* All machines, by index; entries may be NULL. Owned by the table. */
GPtrArray *pm_workers_all(struct pm_workers *workers);
/* The machine of that name, NULL: none. */
struct pm_machine *pm_workers_find(struct pm_workers *workers, const char *name);
/* The machine of that index, NULL: none. */
struct pm_machine *pm_workers_at(struct pm_workers *workers, int index);
/* The machine of that name, made when missing: booting, and of unknown type and zone. */
struct pm_machine *pm_workers_add(struct pm_workers *workers, const char *name);
/* Frees the machine with its placements; no hook is called. */
void pm_workers_remove(struct pm_workers *workers, struct pm_machine *machine);
/* Frees all machines and placements: on becoming active, or no longer being it. */
void pm_workers_reset(struct pm_workers *workers);
/* Sets the machine's type, and adds the capacity that goes with it, once. An unknown type changes
 * nothing. */
void pm_workers_set_type(struct pm_workers *workers, struct pm_machine *machine, int type);

/* ---- machine_health.c: what messages and silence say of a machine ---- */

/* Whether the machine is known to be there: rented by us or listed, or its worker has answered a
 * push. A heartbeat alone may be a copy that comes long after its machine is gone. */
bool pm_machine_is_verified(const struct pm_machine *machine);
/* Whether our answers and commands do not arrive there though its heartbeats do: a one-way
 * partition. */
bool pm_machine_is_unreachable(const struct pm_machine *machine, double now);
/* Notes a sign that something we sent did not arrive; `why` is for the log. */
void pm_machine_note_delivery_failure(struct pm_machine *machine, const char *why, double now);
/* Notes that a heartbeat was answered with 200, under that epoch. */
void pm_machine_note_ack(struct pm_machine *machine, uint64_t epoch, double now);
/* Whether the worker answers pushes while its heartbeats do not arrive here: nothing renews its
 * lease. */
bool pm_machine_is_not_reporting(const struct pm_machine *machine,
                                 const struct pm_settings *settings, double now);
/* Whether nothing came from the worker for longer than heartbeats ever take. */
bool pm_machine_missed_heartbeat(const struct pm_machine *machine,
                                 const struct pm_settings *settings, double now);
/* Whether nothing is on the machine, and no command to it is under way or of unknown outcome. */
bool pm_machine_is_drained(const struct pm_machine *machine, uint64_t epoch);
/* Whether the worker's lease has expired for certain, so that its tasks are killed. `lower_bound`
 * is the monotonic time since when no other controller can have renewed it, INFINITY if that is not
 * known. */
bool pm_workers_is_lease_expired(const struct pm_machine *machine, double lower_bound,
                                 double lease_s, double now);

/* ---- placements.c ---- */

/* Makes a placement of the task on the machine, in that state, and takes its capacity. Owned by the
 * machine, and freed when it ends or is removed. */
struct pm_placement *pm_workers_add_placement(struct pm_workers *workers, struct pm_job *job,
                                              uint32_t task_index, struct pm_machine *machine,
                                              uint32_t attempt, uint64_t incarnation,
                                              enum pm_placement_state state, double now);
/* Frees a placement that has ended, or that was proposed and never became durable. */
void pm_workers_remove_placement(struct pm_workers *workers, struct pm_placement *placement);
/* Ends all placements on the machine as lost: its lease has expired, or it was terminated. */
void pm_workers_mark_lost(struct pm_workers *workers, struct pm_machine *machine, double now);
/* Has the task killed with that grace period, in seconds; a longer one than before changes nothing.
 */
void pm_placement_stop(struct pm_placement *placement, double grace_s);

/* ---- heartbeat.c ---- */

/* What carries a worker's list of tasks: a heartbeat, or its answer to a push. */
enum pm_task_list_source { PM_SOURCE_HEARTBEAT, PM_SOURCE_PUSH };

/* Applies a worker's report. Returns its machine, made when missing, or NULL when the report is
 * malformed. `fresh` tells whether it was newer than what is known; if it was not, nothing of it
 * was applied. `epoch` is the one in force. */
struct pm_machine *pm_workers_apply_heartbeat(struct pm_workers *workers, const cbor_item_t *item,
                                              enum pm_task_list_source source, uint64_t epoch,
                                              double now, bool *fresh);

/* ---- commands.c, push.c ---- */

/* Encodes the commands that are due for the machine as a CBOR list, and returns how many. With
 * `push`, launches and kills that were not sent yet, and the placements concerned are marked as
 * sent by the push in flight; else all that the answer to a heartbeat is to carry. */
int pm_workers_encode_commands(struct pm_machine *machine, bool push, uint64_t epoch,
                               struct pm_buffer *out);
/* Encodes a kill for each task in the report whose job is known to be cancelled, by the attempt
 * reported, and nothing else: a list that is safe to send whoever may command the worker. */
void pm_workers_encode_cancel_kills(struct pm_workers *workers, const cbor_item_t *report,
                                    struct pm_buffer *out);
/* Whether a push would carry any command. */
bool pm_worker_push_is_due(const struct pm_machine *machine);
/* Begins a push; its number is never 0, and never the same twice, also after a reset. Called before
 * pm_workers_encode_commands. */
uint64_t pm_worker_push_begin(struct pm_workers *workers, struct pm_machine *machine);
/* Settles the push of that number, sent at `epoch`; `status` is that of HTTP, PM_HTTP_NO_ANSWER
 * (its launches have an unknown outcome) or PM_HTTP_NOT_SENT. False: it is not the one in flight,
 * but from before a reset. */
bool pm_worker_push_done(struct pm_machine *machine, uint64_t number, uint64_t epoch, int status);

#endif
