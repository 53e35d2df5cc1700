/* Leader election, and the fencing token (the epoch) under which controllers command workers.
 *
 * Owns who leads, in which epoch, until when that counts as confirmed, and which protocol version
 * all controllers run. Exchanges these with the other controllers by POST /peer.
 *
 * Called by the controller (src/cmd/pumicemount), by the shards and by the API, in the event-loop
 * thread or the planner thread, always under struct pm_controller.lock. A timer of its own drives
 * it in the event-loop thread. No function blocks: requests are queued, and answers arrive in the
 * event-loop thread.
 *
 * Keys, all read from the replica's feed and written by the transactions of this slice:
 *   p/epoch        the epoch, and who advanced it. Changes by compare-and-set only. Its number is
 *                  the fencing token that workers obey, and every placement is written on the
 *                  condition of its revision.
 *   p/lead         the leader's lock, attached to a lease: while it exists, the others do not
 *                  campaign. It only saves needless campaigns; all safety rests on p/epoch.
 *   p/speaks/NAME  the protocol version of the controller NAME
 *   p/speaks       the protocol version that every controller runs at least
 * Deletes p/b/NAME, this controller's own shard, when it is elected.
 *
 * All times are monotonic seconds (pm_clock_monotonic). */
#ifndef PM_LEADERSHIP_ELECTION_H
#define PM_LEADERSHIP_ELECTION_H

#include "base/http.h"
#include "base/settings.h"
#include "store/store.h"

#include <stdbool.h>
#include <stdint.h>

struct ev_loop;
struct pm_election;
struct pm_cancellation; /* jobs slice */

/* What the controller does upon changes. All are called in the event-loop thread; those of the term
 * also within the function that causes them (step down, advance epoch). */
struct pm_election_hooks {
    /* This controller leads, and its replica includes the write that made it the leader. */
    void (*elected)(void *arg, uint64_t epoch);
    /* It leads no more. */
    void (*stepped_down)(void *arg);
    /* It still leads, in this later epoch. */
    void (*epoch_advanced)(void *arg, uint64_t epoch);
    /* The first confirmation since this controller was given a shard, which may be used now. */
    void (*epoch_confirmed)(void *arg);
    /* A peer knows that this job's cancellation is durable, at that revision of the job's key; `id`
     * is borrowed, and not yet checked. */
    void (*cancelled)(void *arg, const char *id, uint64_t revision);
    /* The jobs known to be cancelled after `revision`, as pm_jobs_list_cancellations returns them:
     * borrowed until the jobs change, `count` of them, about `most` at most, `more` if some are
     * left. */
    const struct pm_cancellation *(*list_cancellations)(void *arg, uint64_t revision, size_t most,
                                                        size_t *count, bool *more);
    /* The replica of the peer with this index has reached `store_revision`. */
    void (*peer_reached_revision)(void *arg, int peer, uint64_t store_revision);
    void *arg;
};

/* What the links slice adds: it observes which controllers and workers reach one another, sends its
 * views along with the answers to peers, and lets controllers with worse links campaign later. */
struct pm_election_links {
    double poll_interval_s; /* peers are polled at least so often */
    /* The views for an answer to a peer; the caller frees them with g_free. */
    unsigned char *(*encode_views)(void *arg, size_t *size);
    /* The views in the answer of the peer with this index, to a request sent at `asked_at`;
     * borrowed. */
    void (*decode_views)(void *arg, int peer, const unsigned char *data, size_t size,
                         double asked_at);
    /* A request of the peer with this index has arrived. */
    void (*peer_request_received)(void *arg, int peer);
    /* How many seconds longer than others this controller waits before it campaigns. */
    double (*candidate_wait_s)(void *arg);
    void *arg;
};

/* Starts its timer on `loop`. All pointers but `hooks`, which is copied, are borrowed and must
 * outlive it. Never NULL; the caller frees it with pm_election_free. */
struct pm_election *pm_election_new(struct ev_loop *loop, struct pm_store *store,
                                    struct pm_http_client *http, const struct pm_settings *settings,
                                    const struct pm_operator_settings *operator_settings,
                                    const struct pm_election_hooks *hooks);
/* Stops the timer and frees it. No request of it may be in flight: their answers would reach freed
 * memory. */
void pm_election_free(struct pm_election *election);
/* From now on peers are polled for the sake of `links` too, and carry its views. Copies `links`. */
void pm_election_attach_links(struct pm_election *election, const struct pm_election_links *links);

/* The replica's feed: a put of p/epoch, p/lead, p/speaks or p/speaks/NAME; other keys, and values
 * that can't be read, change nothing. A put older than what is known changes nothing either. */
void pm_election_apply_put(struct pm_election *election, const char *key, const cbor_item_t *value,
                           uint64_t revision);
/* The replica's feed: a delete of p/lead; other keys change nothing. */
void pm_election_apply_delete(struct pm_election *election, const char *key, uint64_t revision);
/* The replica's feed: a new listing begins. p/lead counts as free unless the listing has it. */
void pm_election_snapshot_begin(struct pm_election *election);

/* The epoch that this controller acts in: its own as the leader, else the latest that its replica
 * has; 0: none. */
uint64_t pm_election_epoch(const struct pm_election *election);
/* The revision of p/epoch that belongs to pm_election_epoch, to be compared in transactions. */
uint64_t pm_election_epoch_revision(const struct pm_election *election);
/* The name of this process, unlike that of any other that has run or will run; borrowed, constant
 * for its life. */
const char *pm_election_incarnation_id(const struct pm_election *election);
/* The name of the controller that leads as far as the replica knows, borrowed until the next change
 * of p/lead; NULL when nobody does or it is this one. */
const char *pm_election_other_leader(const struct pm_election *election);
/* The protocol version (base/protocol.h) that every controller named in the settings is known to
 * run; it never falls. The leader writes it once each has published its own. A controller that has
 * not done so counts as the first version, since an earlier program may still run there. */
unsigned pm_election_protocol_version(const struct pm_election *election);

/* Whether this controller may answer workers with 200: it leads or owns a shard, the epoch was
 * confirmed less than operator_settings.confirm_s ago, and its replica has every cancellation that
 * was confirmed to a user before about the same time (safety invariants 5 and 7). */
bool pm_election_is_confirmed(const struct pm_election *election, double now);
/* The time at which pm_election_is_confirmed ends unless the epoch is confirmed anew. What was
 * decided on the strength of it must not be sent later: the process may have been suspended in
 * between. */
double pm_election_confirmation_deadline(const struct pm_election *election);
/* A transaction that compared the epoch's revision succeeded: it was sent at `sent_at`, and the
 * state service had `store_revision` then. Changes nothing unless this controller leads or owns a
 * shard. */
void pm_election_confirm_epoch(struct pm_election *election, double sent_at,
                               uint64_t store_revision);
/* As the leader, checks p/epoch at the state service at once: a transaction conflicted on it, or a
 * peer knows a later epoch. Nothing if that is under way already. */
void pm_election_recheck_epoch(struct pm_election *election);
/* For how many seconds after a cancellation was confirmed to its user a controller that does not
 * know it may still renew the lease of the job's worker. From then on the task ends within a
 * lease. */
double pm_election_staleness_bound_s(const struct pm_settings *settings,
                                     const struct pm_operator_settings *operator_settings);
/* The time since when no other controller can have answered workers in this one's stead: ever since
 * it was confirmed without a gap and not refused by the state service. */
double pm_election_exclusive_since(const struct pm_election *election);
/* The time since when every renewal of a worker's lease was by a controller that knew `epoch`:
 * operator_settings.confirm_s, with the clocks' drift, after a majority acknowledged that epoch.
 * `epoch` 0 stands for the first epoch of this term. INFINITY while no majority has acknowledged
 * it, and when this controller does not lead. */
double pm_election_lease_lower_bound(const struct pm_election *election, uint64_t epoch);

/* As the leader, advances the epoch, so that workers refuse what is still under way with the old
 * one. With `key`, the same transaction deletes that key if it still has `revision`. Nothing when
 * not leading, not caught up yet, or while another advance is in flight; failures are not reported,
 * success is by the hook epoch_advanced. */
void pm_election_advance_epoch(struct pm_election *election, const char *key, uint64_t revision);
/* As the leader, revokes the lease of the lock, and does not campaign for a while unless nobody
 * else does. `why` is for the log. Nothing when not leading. */
void pm_election_step_down(struct pm_election *election, const char *why);
/* As a follower: this controller owns the shard that stands under `key` with `revision`; 0: none.
 * The epoch is from now on confirmed together with that revision. Nothing when leading. */
void pm_election_set_owned_shard(struct pm_election *election, const char *key, uint64_t revision);

/* Whether the state service refuses this controller while it lately served a peer. */
bool pm_election_is_refused_alone(const struct pm_election *election, double now);
/* Whether this follower may answer workers, with the epoch but without commands, so that their
 * leases do not expire: the state service is out and the leader does not answer. Takes a majority
 * of controllers that have a replica, know no later epoch and are refused themselves: one that is
 * refused alone never finds that. */
bool pm_election_may_renew_in_outage(const struct pm_election *election, double now);
/* The time at which pm_election_may_renew_in_outage ends unless a majority confirms it anew. */
double pm_election_outage_renewal_deadline(const struct pm_election *election);

/* POST /peer on the peers' listen address. Answers `request` before it returns: 200, or 400 when it
 * can't be read or its sender is not in the settings. */
void pm_election_handle_peer_request(struct pm_election *election, struct pm_http_request *request);

#endif
