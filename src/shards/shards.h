/* Shards: machines, and the array jobs to place on them, that the leader assigns to other
 * controllers. The controller that has one is its owner, and schedules within it by itself.
 *
 * Key:  p/b/CONTROLLER, one for each owner; the value is described at its codec, shard_value.c.
 * Only the leader writes it, on the condition of the epoch's key. The owner writes every placement
 * on the condition of this key's revision too, so that one compare-and-set revokes the shard.
 *
 * The leader keeps services, gangs and whatever spans shards to itself, and assigns whole machines
 * to the owners of array jobs. A machine returns when its owner reports that it is drained. An
 * owner that stops responding loses its shard, and the epoch advances in the same transaction, so
 * that nothing the owner still has in flight takes effect (safety invariants 1, 3 and 5).
 *
 * Threads: all of this is guarded by struct pm_controller.lock. The planner thread calls
 * pm_shards_assign_jobs and pm_shards_assign_machines, which do no I/O; the event-loop thread calls
 * everything else. */
#ifndef PM_SHARDS_SHARDS_H
#define PM_SHARDS_SHARDS_H

#include "leadership/election.h"
#include "scheduler/scheduler.h"
#include "store/store.h"
#include "workers/workers.h"

struct pm_shards;

/* Called from the event-loop thread, under the lock. */
struct pm_shards_hooks {
    /* Leader: machines or jobs have returned; a new plan is due. */
    void (*changed)(void *arg);
    /* Leader: the job has returned with a revoked shard, and is the leader's to place. */
    void (*job_returned)(void *arg, struct pm_job *job);
    /* Leader: the machine's owner reports that tasks fail there. */
    void (*machine_quarantined)(void *arg, struct pm_machine *machine);
    /* Owner: this controller's shard has changed; `granted` false: it has none. */
    void (*ownership_changed)(void *arg, bool granted);
    void *arg;
};

/* A new instance, owned by the caller (pm_shards_free). It has a shard for each peer of the
 * settings and one for this controller. The other modules are borrowed and must outlive it; `hooks`
 * is copied. Never NULL. */
struct pm_shards *pm_shards_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                struct pm_workers *workers, struct pm_scheduler *scheduler,
                                struct pm_store *store, struct pm_http_client *http,
                                struct pm_election *election, const struct pm_shards_hooks *hooks);
/* Frees it. No write or request of its may be in flight. */
void pm_shards_free(struct pm_shards *shards);

/* The replica has a value for `key`, which begins with p/b/. `value` is borrowed for the call. A
 * key of a controller that the settings do not name, or an older revision, is ignored. */
void pm_shards_apply_put(struct pm_shards *shards, const char *key, const cbor_item_t *value,
                         uint64_t revision);
/* The key, which begins with p/b/, was deleted at `revision`. */
void pm_shards_apply_delete(struct pm_shards *shards, const char *key, uint64_t revision);
/* A new snapshot of the state service begins: keys that it does not name are gone. An owner gives
 * up its shard, because the state of its own placements is lost with the old replica. */
void pm_shards_snapshot_begin(struct pm_shards *shards);
/* The replica has all changes up to some store revision: completes what waited for that, which is
 * the revocation of shards on the leader and the adoption of jobs on an owner. */
void pm_shards_caught_up(struct pm_shards *shards);

/* The name of the controller whose stored shard lists the machine, borrowed from the settings;
 * NULL: the leader places on it. */
const char *pm_shards_owner_of(const struct pm_shards *shards, const char *machine);

/* Leader, once elected: adopts the stored shards, with their machines and jobs, and gives each
 * owner its full time to respond from `now` (monotonic seconds). */
void pm_shards_adopt(struct pm_shards *shards, double now);
/* This controller leads no more: forgets what it wanted the shards to be. */
void pm_shards_step_down(struct pm_shards *shards);
/* Leader, in a plan, before placing: assigns array jobs to owners. `now` in monotonic seconds. */
void pm_shards_assign_jobs(struct pm_shards *shards, double now);
/* Leader, in a plan, after placing: assigns machines to the owners' jobs and chooses those to
 * revoke. What the idle machines do not cover is added to the scheduler's unmet demand. */
void pm_shards_assign_machines(struct pm_shards *shards, double now);
/* Leader, after a plan and after each response: sends the requests and the writes that are due, and
 * revokes the shards of owners that do not respond. Does nothing unless the epoch is confirmed. */
void pm_shards_exchange(struct pm_shards *shards, double now);

/* Owner: the revision of this controller's shard, which placements are conditioned on; 0: none. */
uint64_t pm_shards_owned_revision(const struct pm_shards *shards);
/* Owner: answers the leader's request, POST /block on the peer address. Replies at once, with 400
 * when the body can't be decoded. */
void pm_shards_handle_peer_request(struct pm_shards *shards, struct pm_http_request *req);

#endif
