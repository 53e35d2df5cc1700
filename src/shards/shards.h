/* Shards: machines, and the array jobs to place on them, that the leader assigns to other
 * controllers. The controller that a shard is assigned to owns it, and schedules the shard's jobs
 * on the shard's machines without asking the leader.
 *
 * Key: p/b/CONTROLLER, one for each owner. The format of its value is described in shard_value.c.
 * Only the leader writes the key, in a transaction that compares the revision of the epoch's key.
 * The owner compares the revision of its shard's key in every transaction that writes placements,
 * so a single compare-and-swap on that key revokes the shard.
 *
 * The leader itself schedules services, gangs and all other work that spans shards, and assigns
 * whole machines to the owners of array jobs. A machine returns to the leader when its owner
 * reports it as drained. The leader deletes the shard of an owner that stops responding, and
 * advances the epoch in the same transaction, so that no write or command that the owner still has
 * in flight takes effect (safety invariants 1, 3 and 5).
 *
 * Threads: struct pm_controller.lock guards all state of this slice. The planner thread calls
 * pm_shards_assign_jobs and pm_shards_assign_machines, which do no I/O; the event-loop thread calls
 * all other functions. */
#ifndef PM_SHARDS_SHARDS_H
#define PM_SHARDS_SHARDS_H

#include "leadership/election.h"
#include "scheduler/scheduler.h"
#include "store/store.h"
#include "workers/workers.h"

struct pm_shards;

/* Callbacks, made on the event-loop thread while the controller's lock is held. */
struct pm_shards_hooks {
    /* On the leader: machines or jobs were returned to it, so a new plan is due. */
    void (*plan_due)(void *arg);
    /* On the leader: the job was returned with a revoked shard; the leader now places its tasks. */
    void (*job_returned)(void *arg, struct pm_job *job);
    /* On the leader: the machine's owner reports that tasks keep failing on it. */
    void (*machine_quarantined)(void *arg, struct pm_machine *machine);
    /* On an owner: this controller's shard has changed, or, if `has_shard` is false, this
     * controller owns no shard any more. */
    void (*ownership_changed)(void *arg, bool has_shard);
    void *arg;
};

/* Creates the shards: one for each peer in the settings and one for this controller. The caller
 * frees the result with pm_shards_free. `hooks` is copied; all other arguments are borrowed and
 * must outlive the result. Never returns NULL. */
struct pm_shards *pm_shards_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                struct pm_workers *workers, struct pm_scheduler *scheduler,
                                struct pm_store *store, struct pm_http_client *http,
                                struct pm_election *election, const struct pm_shards_hooks *hooks);
/* Frees the shards. No write or request that they sent may be in flight. */
void pm_shards_free(struct pm_shards *shards);

/* Applies a change of the replica: `key`, which begins with p/b/, has this value since `revision`.
 * `value` is borrowed for the call. Ignores the key of a controller that is not in the settings,
 * and a revision that is not later than the one already applied. */
void pm_shards_apply_put(struct pm_shards *shards, const char *key, const cbor_item_t *value,
                         uint64_t revision);
/* Applies a change of the replica: `key`, which begins with p/b/, was deleted at `revision`. */
void pm_shards_apply_delete(struct pm_shards *shards, const char *key, uint64_t revision);
/* Called when a new snapshot of the state service begins. Clears the stored shards, because a key
 * that the snapshot does not list no longer exists. An owner gives up its shard, because the state
 * of its own placements is lost with the old replica. */
void pm_shards_snapshot_begin(struct pm_shards *shards);
/* Called when the replica has all changes up to some store revision. Completes the work that waited
 * for them: on the leader the revocation of shards, on an owner the adoption of its jobs. */
void pm_shards_caught_up(struct pm_shards *shards);

/* Returns the name of the controller whose stored shard lists the machine, borrowed from the
 * settings, or NULL if the machine is in no shard, so that the leader places tasks on it. */
const char *pm_shards_owner_of(const struct pm_shards *shards, const char *machine);

/* Called once this controller is elected leader. Adopts the stored shards with their machines and
 * jobs. The timeout for each owner's next response starts at `now` (monotonic seconds). */
void pm_shards_adopt(struct pm_shards *shards, double now);
/* Called when this controller stops leading. Discards the targets of all shards. */
void pm_shards_step_down(struct pm_shards *shards);
/* On the leader, in a plan, before tasks are placed: assigns array jobs to owners. `now` is in
 * monotonic seconds. */
void pm_shards_assign_jobs(struct pm_shards *shards, double now);
/* On the leader, in a plan, after tasks are placed: assigns idle machines to the owners' jobs, and
 * chooses machines to revoke from owners. Adds the tasks for which the idle machines do not suffice
 * to the scheduler's unmet demand. */
void pm_shards_assign_machines(struct pm_shards *shards, double now);
/* On the leader, after a plan and after each response: sends the requests and writes that are due,
 * and revokes the shards of owners that stopped responding. Does nothing unless the epoch is
 * confirmed. */
void pm_shards_exchange(struct pm_shards *shards, double now);

/* On an owner: returns the revision of this controller's shard, which a transaction that writes
 * placements compares. Returns 0 if this controller owns no shard, or leads. */
uint64_t pm_shards_owned_revision(const struct pm_shards *shards);
/* On any controller: replies to the leader's request, POST /block on the peer address. Replies
 * before returning, with status 400 if the body can't be decoded. */
void pm_shards_handle_peer_request(struct pm_shards *shards, struct pm_http_request *req);

#endif
