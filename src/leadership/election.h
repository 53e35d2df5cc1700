/* Leader election, and the epoch, which owns the fencing tokens under which controllers command
 * workers.
 *
 * Owns who leads, in which epoch, how long that counts as confirmed, and which protocol version all
 * controllers run. Controllers exchange this by POST /peer.
 *
 * Called by the controller (src/cmd/pumicemount), the shards and the API, in the event-loop thread
 * or the planner thread, always under struct pm_controller.lock. The election's own timer runs in
 * the event-loop thread. No function blocks: requests are queued, and their responses arrive in the
 * event-loop thread.
 *
 * Keys, all read from the replica's feed and written by the transactions of this slice:
 *   p/epoch        the epoch, and the controller that advanced it. Changes only by
 *                  compare-and-swap. Workers obey its fencing tokens (base/fencing.h), and every
 *                  placement is written on the condition of its revision.
 *   p/lead         the leader's lock, attached to a lease: while it exists, the other controllers
 *                  do not campaign. It only avoids needless campaigns; safety depends on p/epoch
 *                  alone.
 *   p/speaks/NAME  the protocol version of the controller NAME
 *   p/speaks       a lower bound of the protocol versions that the controllers run
 * A controller that is elected also deletes p/b/NAME, its own shard.
 *
 * All times are monotonic seconds (pm_clock_monotonic). */
#ifndef PM_LEADERSHIP_ELECTION_H
#define PM_LEADERSHIP_ELECTION_H

#include "base/fencing.h"
#include "base/http.h"
#include "base/settings.h"
#include "store/store.h"

#include <stdbool.h>
#include <stdint.h>

struct ev_loop;
struct pm_election;
struct pm_cancellation; /* jobs slice */

/* Callbacks to the controller, all called in the event-loop thread. `stepped_down` and
 * `epoch_advanced` are also called from inside the function that causes them, such as
 * pm_election_step_down. */
struct pm_election_hooks {
    /* This controller leads, and its replica includes the write that made it the leader. */
    void (*elected)(void *arg, uint64_t epoch);
    /* This controller no longer leads. */
    void (*stepped_down)(void *arg);
    /* This controller still leads, and its epoch is now `epoch`. */
    void (*epoch_advanced)(void *arg, uint64_t epoch);
    /* The epoch was confirmed for the first time since this controller became the owner of a shard.
     * From now on it may use the shard. */
    void (*epoch_confirmed)(void *arg);
    /* A peer knows that the cancellation of job `id` is durable, at this revision of the job's key.
     * `id` is borrowed and not yet validated. */
    void (*cancelled)(void *arg, const char *id, uint64_t revision);
    /* Returns the jobs known to be cancelled after `revision`, as pm_jobs_list_cancellations does:
     * `count` of them, at most about `limit`; `has_more` tells whether some are left. Borrowed
     * until the jobs change. */
    const struct pm_cancellation *(*list_cancellations)(void *arg, uint64_t revision, size_t limit,
                                                        size_t *count, bool *has_more);
    /* The replica of the peer with this index has reached `store_revision`. */
    void (*peer_reached_revision)(void *arg, int peer, uint64_t store_revision);
    void *arg;
};

/* Callbacks to the links slice, which observes which controllers and workers reach one another. It
 * adds its views to responses to peers, and lets controllers with worse links campaign later. */
struct pm_election_links {
    double poll_interval_s; /* peers are polled at least this often */
    /* Returns the views for a response to a peer; the caller frees them with g_free. */
    unsigned char *(*encode_views)(void *arg, size_t *size);
    /* Receives the views, borrowed, from the response of the peer with this index to a request that
     * was sent at `sent_at`. */
    void (*decode_views)(void *arg, int peer, const unsigned char *data, size_t size,
                         double sent_at);
    /* A request of the peer with this index has arrived. */
    void (*peer_request_received)(void *arg, int peer);
    /* Returns how many seconds longer than others this controller waits before it campaigns. */
    double (*extra_campaign_delay_s)(void *arg);
    void *arg;
};

/* Creates an election and starts its timer on `loop`. `hooks` is copied; all other pointers are
 * borrowed and must outlive the election. Never returns NULL; the caller frees the result with
 * pm_election_free. */
struct pm_election *pm_election_new(struct ev_loop *loop, struct pm_store *store,
                                    struct pm_http_client *http, const struct pm_settings *settings,
                                    const struct pm_operator_settings *operator_settings,
                                    const struct pm_election_hooks *hooks);
/* Stops the timer and frees the election. No request of it may be in flight: the response would
 * reach freed memory. */
void pm_election_free(struct pm_election *election);
/* From now on polls the peers at least every `links->poll_interval_s`, and exchanges the views of
 * the links in the responses. Copies `links`. */
void pm_election_attach_links(struct pm_election *election, const struct pm_election_links *links);

/* ---- the replica's feed ---- */

/* Applies a put of p/epoch, p/lead, p/speaks or p/speaks/NAME. Ignores other keys, values that
 * can't be decoded, and puts older than what is known. */
void pm_election_apply_put(struct pm_election *election, const char *key, const cbor_item_t *value,
                           uint64_t revision);
/* Applies a delete of p/lead; ignores other keys. */
void pm_election_apply_delete(struct pm_election *election, const char *key, uint64_t revision);
/* Begins a new listing of the replica. p/lead counts as free unless the listing has it. */
void pm_election_snapshot_begin(struct pm_election *election);

/* ---- who leads, in which epoch ---- */

/* The epoch that this controller acts in: the leader's own, or for others the latest in the
 * replica; 0 if there is none. */
uint64_t pm_election_epoch(const struct pm_election *election);
/* The fencing tokens of that epoch. */
struct pm_fencing_range pm_election_tokens(const struct pm_election *election);
/* The revision of p/epoch that belongs to pm_election_epoch, for comparison in transactions. */
uint64_t pm_election_epoch_revision(const struct pm_election *election);
/* The id of this process, different from that of any other process that has run or will run.
 * Borrowed; constant until pm_election_free. */
const char *pm_election_incarnation_id(const struct pm_election *election);
/* The name of the controller that leads according to the replica, borrowed until p/lead changes
 * next. NULL if nobody leads or this controller does. */
const char *pm_election_other_leader(const struct pm_election *election);
/* The protocol version (base/protocol.h) that every controller named in the settings is known to
 * run. It never falls. The leader writes it once every controller has published its own; until
 * then the result is the first version, since an earlier program may still run somewhere. */
unsigned pm_election_protocol_version(const struct pm_election *election);

/* ---- confirmation of the epoch ---- */

/* Whether this controller may answer workers with 200: it leads or owns a shard, the epoch was
 * confirmed less than operator_settings.confirm_s ago, and it knows every cancellation that was
 * confirmed to a user more than pm_election_staleness_bound_s ago (safety invariants 5 and 7). */
bool pm_election_is_confirmed(const struct pm_election *election, double now);
/* The time at which pm_election_is_confirmed turns false unless the epoch is confirmed again. A
 * response that was decided while it was true must not be sent after this time: the process may
 * have been suspended between deciding and sending. */
double pm_election_confirmation_deadline(const struct pm_election *election);
/* Confirms the epoch: a transaction that compared its revision succeeded. The transaction was sent
 * at `sent_at`, and the state service had `store_revision` after it. Does nothing unless this
 * controller leads or owns a shard. */
void pm_election_confirm_epoch(struct pm_election *election, double sent_at,
                               uint64_t store_revision);
/* As the leader, checks p/epoch at the state service at once, after a transaction conflicted on it
 * or when a peer knows a later epoch. Does nothing while a check or an advance is in flight. */
void pm_election_recheck_epoch(struct pm_election *election);
/* For at most this many seconds after a cancellation was confirmed to its user, a controller that
 * does not know the cancellation may still renew the lease of the job's worker. After that the task
 * ends within one lease. */
double pm_election_staleness_bound_s(const struct pm_settings *settings,
                                     const struct pm_operator_settings *operator_settings);
/* The time since which no other controller can have answered workers in place of this one. It
 * follows from how long this controller has been confirmed without interruption and has not been
 * refused by the state service. */
double pm_election_exclusive_since(const struct pm_election *election);
/* The time since which no controller that knows only epochs before `epoch` renews workers' leases:
 * when a majority had acknowledged `epoch`, plus operator_settings.confirm_s and an allowance for
 * clock drift, since confirmations of earlier epochs stay valid for that long. `epoch` 0 means the
 * first epoch of this term that a majority acknowledged. INFINITY until a majority has acknowledged
 * the epoch, and when this controller does not lead. */
double pm_election_epoch_exclusive_since(const struct pm_election *election, uint64_t epoch);

/* ---- changing the epoch, the term or the shard ---- */

/* As the leader, advances the epoch, so that workers refuse commands of the old one that are still
 * in flight. If `key` is not NULL, the same transaction deletes that key, on the condition that it
 * still has `revision`. Does nothing when not leading, before the replica has caught up, or while
 * another advance is in flight. Success is reported by the hook `epoch_advanced`; failure is not
 * reported. */
void pm_election_advance_epoch(struct pm_election *election, const char *key, uint64_t revision);
/* As the leader, ends the term and revokes the lease of the leader's lock. This controller then
 * does not campaign for a while, unless the lock stays free because no other controller campaigns.
 * `reason` is only logged. Does nothing when not leading. */
void pm_election_step_down(struct pm_election *election, const char *reason);
/* As a follower, records that this controller owns the shard stored under `key` at `revision`, or
 * none if `revision` is 0. Checks of the epoch compare that revision too from now on. Does nothing
 * when leading. */
void pm_election_set_owned_shard(struct pm_election *election, const char *key, uint64_t revision);

/* ---- outages of the state service ---- */

/* Whether the state service refuses this controller although it recently served a peer. */
bool pm_election_is_refused_alone(const struct pm_election *election, double now);
/* Whether this follower may answer workers, with the epoch but without commands, so that their
 * leases do not expire while the state service is out and the leader does not respond. It needs the
 * votes of a majority of controllers that have a replica, know no later epoch and are refused
 * themselves. A controller that is the only one refused never gets them. */
bool pm_election_may_renew_in_outage(const struct pm_election *election, double now);
/* The time at which pm_election_may_renew_in_outage turns false unless a majority votes again. */
double pm_election_outage_renewal_deadline(const struct pm_election *election);

/* ---- peers ---- */

/* Handles POST /peer on the peers' listen address. Responds to `request` before it returns: with
 * 200, or with 400 if the request can't be decoded or its sender is not in the settings. */
void pm_election_handle_peer_request(struct pm_election *election, struct pm_http_request *request);

#endif
