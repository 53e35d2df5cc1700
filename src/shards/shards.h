/* Leasing machine blocks, with the jobs to place in them, to the other controllers.
 *
 * Key:  p/b/CONTROLLER  {boot, serial, hosts, jobs}: written by the leader only, on the condition
 * of the epoch's key. Its holder writes every placement on the condition of this key's revision
 * too, so the leader takes a block back by one compare-and-set.
 *
 * The leader keeps services, gangs and whatever spans blocks to itself, and leases whole machines
 * to the holders of array jobs. A machine comes back when its holder says that it is clean; a
 * holder that is not heard of loses its block, and the epoch is raised in the same transaction, so
 * that whatever it still had under way dies (safety invariants 1, 3 and 5). */
#ifndef PM_SHARDS_SHARDS_H
#define PM_SHARDS_SHARDS_H

#include "leadership/election.h"
#include "scheduler/scheduler.h"
#include "store/store.h"
#include "workers/workers.h"

struct pm_shards;

struct pm_shards_hooks {
    void (*changed)(void *arg);                          /* plan again */
    void (*job_returned)(void *arg, struct pm_job *job); /* a job came back with a lost block */
    void (*machine_quarantined)(
        void *arg, struct pm_machine *machine); /* its holder says that tasks fail there */
    /* Holder: this controller's block as it now is; `granted` false: none. */
    void (*owned)(void *arg, bool granted);
    void *arg;
};

struct pm_shards *pm_shards_new(struct pm_name_tables *tables, struct pm_jobs *jobs,
                                struct pm_workers *workers, struct pm_scheduler *plan,
                                struct pm_store *store, struct pm_http_client *http,
                                struct pm_election *lead, const struct pm_shards_hooks *hooks);
void pm_shards_free(struct pm_shards *blocks);

/* The replica's feed, for p/b. */
void pm_shards_apply_put(struct pm_shards *blocks, const char *key, const cbor_item_t *value,
                         uint64_t revision);
void pm_shards_apply_delete(struct pm_shards *blocks, const char *key, uint64_t revision);
void pm_shards_snapshot_begin(struct pm_shards *blocks);
/* All changes up to some store revision are in: completes what waited for that. */
void pm_shards_caught_up(struct pm_shards *blocks);

/* The controller that holds the machine's block, NULL: the leader. */
const char *pm_shards_owner_of(const struct pm_shards *blocks, const char *machine);

/* Leader. On taking the lead: adopts the blocks that are out. */
void pm_shards_adopt(struct pm_shards *blocks, double now);
void pm_shards_step_down(struct pm_shards *blocks);
/* Leader, planner: gives new array jobs to holders, before placing... */
void pm_shards_assign_jobs(struct pm_shards *blocks, double now);
/* ...and machines to the holders' jobs after it; what is missing is added to the plan's wants. */
void pm_shards_assign_machines(struct pm_shards *blocks, double now);
/* Leader, loop: writes what changed, asks the holders. */
void pm_shards_exchange(struct pm_shards *blocks, double now);

/* Holder. The revision of this controller's block, 0: holds none. */
uint64_t pm_shards_owned_revision(const struct pm_shards *blocks);
/* POST /block on the back address. */
void pm_shards_handle_peer_request(struct pm_shards *blocks, struct pm_http_request *req);

#endif
