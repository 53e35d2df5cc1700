/* Machines and their workers: heartbeats, commands, placements, and proof that tasks have ended.
 *
 * Owns all machines and placements of a controller. Called from the event-loop thread and the
 * planner thread with the controller's lock held. Does no I/O; the time is an argument. Stores
 * nothing: after a change of leader, placements are recovered from the chunks of the jobs slice,
 * and the rest from heartbeats.
 *
 * A placement is freed only when its task provably no longer runs (safety invariant 3). The proof
 * is a newer message from a worker that has seen the current epoch, a later incarnation of the
 * worker, a confirmed termination of the machine, or a lease that has expired and that no
 * controller can have renewed. */
#ifndef PM_WORKERS_WORKERS_H
#define PM_WORKERS_WORKERS_H

#include "base/fencing.h"
#include "base/http.h"
#include "jobs/jobs.h"
#include "workers/exited_tasks.h"

enum pm_machine_state {
    PM_MACHINE_BOOTING,    /* rented; no message from its worker yet */
    PM_MACHINE_UP,         /* its worker has reported */
    PM_MACHINE_TERMINATING /* being terminated; it is never used again */
};

/* Why a placement ended. */
enum pm_task_exit {
    PM_TASK_EXIT_NONE,
    PM_TASK_EXIT_DONE,            /* the task completed */
    PM_TASK_EXIT_STOPPED,         /* the task was killed */
    PM_TASK_EXIT_ERROR,           /* the task failed */
    PM_TASK_EXIT_REFUSED,         /* the worker refused to launch the task */
    PM_TASK_EXIT_GANG_INCOMPLETE, /* other tasks of its gang did not start, or have ended */
    PM_TASK_EXIT_LOST             /* the task provably no longer runs, but no exit was reported */
};

enum { PM_CACHED_IMAGES_MAX = 32 };

/* Failures of one job's tasks on a machine since a task last succeeded on that machine. */
struct pm_failure_record {
    const struct pm_job *job;
    unsigned failures;
};

/* Resources of a machine that are not allocated to a placement. Written by placements.c, and by
 * machines.c once the machine's type is known. */
struct pm_machine_capacity {
    double cpus, gpus, ram_gb;
};

/* State reported by the worker's heartbeats and its replies to pushes. Written by heartbeat.c and
 * placements.c. When the machine changes between the leader and a shard, the shards slice resets
 * parts of it. */
struct pm_machine_heartbeat {
    /* The worker's incarnation. The worker increases it each time its lease expires. */
    uint64_t incarnation;
    uint64_t min_incarnation; /* tasks of lower incarnations are proven to have ended */
    uint64_t sequence;        /* of the latest message within the incarnation */
    uint64_t fencing_token;   /* highest token that the worker has seen */
    /* A message has reached this controller since it became active, or since the machine last
     * returned from a shard. */
    bool has_reported;
    double last_message_at; /* monotonic: time of the latest message of any kind */
    /* Monotonic: time of the latest heartbeat. Until the first one, time of the first message. */
    double last_heartbeat_at;
    double last_stale_at; /* monotonic: when a duplicate or outdated report last arrived */
    /* Monotonic: when the provider will reclaim the spot machine. 0 if it gave no notice. */
    double spot_interruption_at;
    struct pm_exited_tasks exited; /* tasks that exited there, and that the worker is to forget */
    /* Of struct pm_task_ref: tasks that run there without a placement, and are to be killed. */
    GArray *orphan_tasks;
};

/* Whether messages of this controller reach the worker. A heartbeat that arrives does not show that
 * its answer does. A delivery failure is recorded when a push gets no answer, or when a later
 * heartbeat shows no trace of a command or a fencing token that an earlier answer carried. Written
 * by machine_health.c; heartbeat.c resets the failures. */
struct pm_machine_delivery {
    uint32_t failures;               /* failures since the worker last answered a push */
    double failing_since, failed_at; /* monotonic: the first and the last of these failures */
    /* First token of the epoch under which a heartbeat was last answered with 200. */
    uint64_t acked_first_token;
    uint64_t acked_sequence; /* sequence number of that heartbeat */
};

/* Bounds on when the worker's lease was last renewed. This controller's own messages are recorded
 * by heartbeat.c and machine_health.c, the bound on other controllers by the shards slice and the
 * daemon. */
struct pm_machine_lease {
    /* Monotonic: since then no other controller can have renewed the lease. 0 if not known. */
    double exclusive_since;
    /* The epoch under which the leader reclaimed the machine from the revoked shard of a lost
     * owner, 0 if it never did. `exclusive_since` is derived from this epoch once a majority has
     * acknowledged it. */
    uint64_t reclaimed_epoch;
    /* Monotonic: first message of the incarnation, and so an upper bound for its start. */
    double incarnation_seen_at;
    double last_acked_at; /* monotonic: this controller last answered a heartbeat with 200 */
};

/* Pushes: commands that are sent to the worker with POST /do, one request at a time. Written by
 * the files of this slice; the daemon sets the times. */
struct pm_machine_push {
    bool has_answered;         /* the worker has answered a push */
    uint64_t in_flight_number; /* of the push without an answer yet, 0 if there is none */
    bool has_launches;         /* the push in flight carries launches */
    double retry_at;           /* monotonic: no push is sent before this */
    double failed_at;          /* monotonic: when a push last failed */
    uint64_t issued_token;     /* highest fencing token in any message to the worker */
    /* No copy of a launch that has been pushed has a higher fencing token. */
    uint64_t launch_token;
    /* Fencing token and incarnation of a push that carried launches and got no answer. The token is
     * 0 if there is none. */
    uint64_t unknown_outcome_token;
    uint64_t unknown_outcome_incarnation;
};

/* Which shard the machine is in. Written by the shards slice. */
struct pm_machine_shard {
    /* On the leader: 1 + the index of the peer to whose shard the machine is assigned, 0 if it is
     * in no shard. Always 0 on other controllers. */
    int assigned_to;
    /* Monotonic, on the leader: when the owner last reported the worker silent or unreachable. */
    double reported_silent_at;
    /* Monotonic, on the leader: when the current unbroken series of such reports began. */
    double silent_since;
    bool revoking; /* on the owner: the leader has asked for the machine back */
    /* On the owner: reported to the leader as drained, though the stored shard still lists it. */
    bool returned_to_leader;
};

/* What the machine's capacity is reserved for. Written by the scheduler. */
struct pm_machine_reservation {
    const struct pm_job *gang; /* a gang that waits for capacity here, or NULL */
    const struct pm_job *job;  /* the job for which tasks are being preempted here, or NULL */
    double until;              /* monotonic: when the reservation for `job` ends */
    bool draining;             /* being emptied, so that it can be terminated */
};

/* The machine as the provider knows it. Written by the autoscaler; placements.c resets
 * `idle_since`, and heartbeat.c `absent_since`. On a shard's owner the shards slice fills it in. */
struct pm_machine_provider {
    double rented_at;          /* monotonic, 0 if not known */
    double idle_since;         /* monotonic, 0 if the machine is not idle */
    double absent_since;       /* monotonic: missing from the inventory since, 0 if it is listed */
    double running_since;      /* monotonic: first listed as running, 0 if it never was */
    bool is_listed;            /* the inventory has listed the machine */
    bool has_failed;           /* the provider has listed the machine as failed */
    double terminate_retry_at; /* monotonic: no request to terminate it is sent before this */
};

/* Failures of tasks on the machine (failures.h). Written by failures.c. */
struct pm_machine_failures {
    GArray *records;           /* of struct pm_failure_record, NULL if there are none */
    bool quarantined_by_owner; /* the owner of the machine's shard reported it as faulty */
};

/* The images that are known to be cached on the machine, most recently used first. Written by
 * heartbeat.c; after a change of leader the scheduler restores them from the ledger. */
struct pm_machine_images {
    int count;
    struct pm_cached_image {
        int image;
        double gb;
    } cached[PM_CACHED_IMAGES_MAX];
};

/* A machine and its worker. The comment of each embedded structure names the parts of the program
 * that write it. Fields that every plan reads come first, large fields last. */
struct pm_machine {
    int index, type, zone; /* dense indices; `type` and `zone` are -1 until known */
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

struct pm_workers;

struct pm_workers_hooks {
    /* The placement's task has ended, or provably no longer runs. The placement's capacity has been
     * released, and the placement is freed after this call. `checkpointed` tells whether the task's
     * progress was saved by a checkpoint. */
    void (*placement_ended)(void *arg, struct pm_placement *placement, enum pm_task_exit end,
                            bool checkpointed, double now);
    /* The worker has reported the placement's task as running for the first time. */
    void (*placement_running)(void *arg, struct pm_placement *placement, double now);
    void *arg;
};

/* ---- machines.c: the table of machines ---- */

/* Creates an empty table. `tables` and `jobs` are borrowed, `hooks` is copied. */
struct pm_workers *pm_workers_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                  const struct pm_workers_hooks *hooks);
/* Frees the table with its machines and placements. Calls no hook. */
void pm_workers_free(struct pm_workers *workers);
/* Returns all machines by index, owned by the table. Entries may be NULL. */
GPtrArray *pm_workers_all(struct pm_workers *workers);
/* Returns the machine of that name, or NULL. */
struct pm_machine *pm_workers_find(struct pm_workers *workers, const char *name);
/* Returns the machine at that index, or NULL. */
struct pm_machine *pm_workers_at(struct pm_workers *workers, int index);
/* Returns the machine of that name. A machine that is not in the table is added as booting, with
 * unknown type and zone. */
struct pm_machine *pm_workers_find_or_add(struct pm_workers *workers, const char *name);
/* Frees the machine with its placements. Calls no hook. */
void pm_workers_remove(struct pm_workers *workers, struct pm_machine *machine);
/* Frees all machines and placements, when the controller becomes active or ceases to be. Calls no
 * hook. */
void pm_workers_reset(struct pm_workers *workers);
/* Sets the machine's type and adds the type's capacity to its free capacity. Does nothing if the
 * machine has a type already, or if `type` is unknown. */
void pm_workers_set_type(struct pm_workers *workers, struct pm_machine *machine, int type);

/* ---- machine_health.c: the state of a machine's connection and lease ---- */

/* Whether the machine is known to exist, because this cluster rented it, the inventory has listed
 * it, or its worker has answered a push. A heartbeat is no proof, since a delayed copy may arrive
 * long after its machine was terminated. */
bool pm_machine_is_known_to_exist(const struct pm_machine *machine);
/* Whether there is a one-way partition: the worker's heartbeats arrive here, but answers and
 * commands do not reach the worker. */
bool pm_machine_is_unreachable(const struct pm_machine *machine, double now);
/* Records a sign that an answer or a command did not reach the worker. `why` is logged. */
void pm_machine_note_delivery_failure(struct pm_machine *machine, const char *why, double now);
/* Records that the latest heartbeat was answered with 200 under the epoch with these tokens, which
 * renews the worker's lease. */
void pm_machine_note_heartbeat_ack(struct pm_machine *machine, struct pm_fencing_range tokens,
                                   double now);
/* Whether the worker answers pushes but its heartbeats do not arrive here, so that its lease is not
 * renewed. */
bool pm_machine_only_answers_pushes(const struct pm_machine *machine,
                                    const struct pm_settings *settings, double now);
/* Whether no message of the worker has arrived for longer than the longest heartbeat interval. */
bool pm_machine_missed_heartbeat(const struct pm_machine *machine,
                                 const struct pm_settings *settings, double now);
/* Whether the machine is empty and stays so: it has no placements, its worker has seen the epoch
 * with these tokens and reports no tasks, and no command to it is in flight or has an unknown
 * outcome. */
bool pm_machine_is_drained(const struct pm_machine *machine, struct pm_fencing_range tokens);
/* Whether the worker's lease has certainly expired, so that the worker has killed its tasks.
 * `exclusive_since` is the monotonic time after which no other controller can have renewed the
 * lease, INFINITY if that is not known. */
bool pm_workers_is_lease_expired(const struct pm_machine *machine, double exclusive_since,
                                 double lease_s, double now);

/* ---- placements.c ---- */

/* Adds a placement of the task on the machine, in that state, and allocates its capacity. The
 * machine owns the placement, which is freed when it ends or is removed. */
struct pm_placement *pm_workers_add_placement(struct pm_workers *workers, struct pm_job *job,
                                              uint32_t task_index, struct pm_machine *machine,
                                              uint32_t attempt, uint64_t incarnation,
                                              enum pm_placement_state state, double now);
/* Frees a placement that has ended, or that never became durable. Calls no hook. */
void pm_workers_remove_placement(struct pm_workers *workers, struct pm_placement *placement);
/* Ends all placements on the machine as lost: its lease has expired, or it was terminated. */
void pm_workers_mark_lost(struct pm_workers *workers, struct pm_machine *machine, double now);
/* Whether the placement's task is still to run: it is not to be killed, it is not done, its job has
 * not ended, and no later attempt of its gang has begun. Only then may the task be launched. */
bool pm_placement_is_wanted(const struct pm_placement *placement);
/* Marks the placement's task to be killed with a grace period of `grace_s` seconds. A later call
 * can shorten the grace period, but not extend it. */
void pm_placement_stop(struct pm_placement *placement, double grace_s);

/* ---- heartbeat.c ---- */

/* The message that carries a worker's report: a heartbeat, or the reply to a push. */
enum pm_report_source { PM_REPORT_HEARTBEAT, PM_REPORT_PUSH_REPLY };

/* Applies a worker's report. Returns the worker's machine, which is added if it is not in the
 * table, or NULL if the report is malformed; a malformed report may have added the machine too.
 * `*is_newest` is set to whether the report is newer than all earlier ones; if not, its tasks and
 * its header are not applied. `tokens` are those of the current epoch. */
struct pm_machine *pm_workers_apply_report(struct pm_workers *workers, const cbor_item_t *item,
                                           enum pm_report_source source,
                                           struct pm_fencing_range tokens, double now,
                                           bool *is_newest);

/* ---- commands.c, push.c ---- */

/* A message that carries commands to a worker: a push, or the answer to a heartbeat. */
enum pm_command_message { PM_COMMAND_PUSH, PM_COMMAND_REPLY };

/* Returns the fencing token for such a message in the epoch with these tokens. An answer to a
 * heartbeat gets a token above those of all launches that were pushed before and have an outcome,
 * if the range has one, so that the worker refuses late copies of them. A push gets the highest
 * token so far: if it had a higher one and overtook an answer, the worker would drop the answer. */
uint64_t pm_machine_issue_token(struct pm_machine *machine, enum pm_command_message message,
                                struct pm_fencing_range tokens);
/* Encodes the commands that are due for the machine as a CBOR list, and returns their number. In a
 * push, these are the launches and kills that were not sent yet, and their placements are marked as
 * sent by the push in flight. In an answer to a heartbeat, these are all that are due. `token` was
 * issued for the message. */
int pm_workers_encode_commands(struct pm_machine *machine, enum pm_command_message message,
                               struct pm_fencing_range tokens, uint64_t token,
                               struct pm_buffer *out);
/* Encodes a kill of the reported attempt for each task in the report whose job is known to be
 * cancelled, and no other command. Even a controller that does not own the machine may send this
 * list. */
void pm_workers_encode_cancel_kills(struct pm_workers *workers, const cbor_item_t *report,
                                    struct pm_buffer *out);
/* Whether a push would carry at least one command. */
bool pm_worker_push_is_due(const struct pm_machine *machine);
/* Begins a push and returns its number, which is never 0 and never reused, not even after a reset.
 * Called before pm_workers_encode_commands. */
uint64_t pm_worker_push_begin(struct pm_workers *workers, struct pm_machine *machine);
/* Records the result of the push of that number, which carried `token`. `status` is the HTTP
 * status, PM_HTTP_NO_RESPONSE (its launches have an unknown outcome) or PM_HTTP_NOT_SENT. Returns
 * false and does nothing if the push is not the one in flight, but from before a reset. */
bool pm_worker_push_done(struct pm_machine *machine, uint64_t number, uint64_t token, int status);

#endif
