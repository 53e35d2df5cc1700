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

struct pm_machine {
    /* What every plan looks at comes first, the texts and the images last. */
    int index, type, zone;
    bool spot;
    enum pm_machine_state state;
    GPtrArray *placements;                    /* of struct pm_placement, owned */
    double free_cpus, free_gpus, free_ram_gb; /* free */
    /* From the worker. */
    uint64_t incarnation, sequence, fencing_token;
    uint64_t min_incarnation; /* earlier ones are proven over */
    bool has_heartbeat;       /* at least once to this leader */
    double last_message_at;   /* steady: its latest message */
    double last_heartbeat_at; /* steady: its latest report, or since when one is awaited */
    double stale_message_at;  /* steady: last came a message that was older than one before it */
    bool has_answered_push;   /* it answered a /do of ours */
    /* That a report comes is no sign that the answer arrives. Signs that it did not: an order or a
     * token that a later report shows no trace of, a /do without an answer. */
    uint32_t delivery_failures;
    double delivery_failing_since, delivery_failed_at; /* steady: the first and the last of them */
    uint64_t acked_epoch, acked_sequence; /* the epoch, and the sequence number of the report, last
                                     answered with 200 */
    double spot_interruption_at;          /* steady: when the cloud takes it, 0: no notice */
    GArray *exited_tasks;                 /* of struct pm_task_ref: ended there, to be forgotten */
    GArray *orphan_tasks; /* of struct pm_task_ref: there, but not by our replica: to be killed */
    const struct pm_job
        *reserved_for_gang; /* a gang whose room is being cleared here (placement) */
    /* Tasks are being stopped here for this job; until then the room is kept for it (placement). */
    const struct pm_job *reserved_for;
    double reserved_until; /* steady */
    /* Blocks. */
    int shard_owner; /* leader: 1 + the peer that holds it, 0: nobody */
    double owner_reported_silent_at,
        owner_silent_since;  /* leader: its holder says that it does not hear it */
    bool revoking, returned; /* holder: called back; given back, though the block still lists it */
    bool draining;           /* being emptied, to go back */
    /* Leases. */
    double lease_lower_bound;   /* steady: since when no other controller can have answered it, 0:
                                   unknown */
    uint64_t reclaimed_epoch;   /* the epoch that took it back from a holder, 0: none did */
    double incarnation_seen_at; /* steady: first message of its session, which cannot have begun
                                   later */
    double last_acked_at;       /* steady: when this leader last answered a report of it with 200 */
    /* Direct commands. */
    uint64_t push_in_flight; /* number of the /do that is open, 0: none */
    bool push_has_launches;  /* it carries launches */
    double push_retry_at;
    double push_failed_at;          /* steady: a /do to it last failed */
    uint64_t unknown_outcome_epoch; /* epoch of a /do with launches that got no answer, 0: none */
    uint64_t unknown_outcome_incarnation;
    /* Cloud (fleet slice). */
    double rented_at, idle_since, absent_since;
    double listed_running_since; /* steady: first listed as running, 0: never */
    bool listed, failed;
    double terminate_retry_at;
    GArray *failure_records;   /* of struct pm_failure_record (workers/faults.h), NULL: none */
    bool quarantined_by_owner; /* found faulty by its holder */
    int cached_image_count;    /* images that it holds, latest use first, as far as we know */
    struct pm_cached_image {
        int image;
        double gb;
    } cached_images[PM_CACHED_IMAGES_MAX];
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
