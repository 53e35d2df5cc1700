/* Who leads: the epoch, its confirmation, and what controllers tell one another.
 *
 * Keys:  p/epoch  {epoch, leader, boot}: raised by compare-and-set only; its number is the token
 *                 that workers obey, and every placement is written on the condition of its
 * revision p/lead   {leader, boot} under a hold: while it is there, the others don't try
 *        p/speaks/NAME {version}: the protocol version of that controller, if it is not the first
 *        p/speaks {version}: every controller of the settings runs this protocol version, or a
 *                later one; what an earlier one would misread is used only from then on
 *
 * p/lead only saves contests; all safety rests on p/epoch. */
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

struct pm_election_hooks {
    void (*elected)(void *arg, uint64_t epoch); /* leads, and the replica has caught up with that */
    void (*stepped_down)(void *arg);
    void (*epoch_advanced)(void *arg, uint64_t epoch); /* still leads, with a higher epoch */
    void (*epoch_confirmed)(void *arg);                /* a block newly held may be used */
    /* A peer says that this job's cancellation is durable. */
    void (*cancelled)(void *arg, const char *id, uint64_t revision);
    /* Writes the jobs known cancelled after `revision`, as pm_jobs_list_cancellations. */
    const struct pm_cancellation *(*list_cancellations)(void *arg, uint64_t revision, size_t most,
                                                        size_t *n, bool *more);
    void (*peer_reached_revision)(void *arg, int peer,
                                  uint64_t store_revision); /* a peer's replica goes to here */
    void *arg;
};

/* What the links slice has to do with the messages between controllers, and with who leads. */
struct pm_election_links {
    double poll_interval_s; /* peers are asked at least so often */
    /* The views to be told in an answer to a peer; owned by the caller. */
    unsigned char *(*encode_views)(void *arg, size_t *size);
    /* A peer's answer, to what was sent at `asked_at`, told its views. */
    void (*decode_views)(void *arg, int peer, const unsigned char *data, size_t size,
                         double asked_at);
    void (*peer_heard)(void *arg, int peer); /* a peer's request has arrived */
    /* How much longer than others this controller waits before it takes a vacant lead. */
    double (*candidate_wait_s)(void *arg);
    void *arg;
};

struct pm_election *pm_election_new(struct ev_loop *loop, struct pm_store *store,
                                    struct pm_http_client *http, const struct pm_settings *settings,
                                    const struct pm_operator_settings *op,
                                    const struct pm_election_hooks *hooks);
void pm_election_free(struct pm_election *lead);
/* From now on views of links travel with the messages between controllers. */
void pm_election_attach_links(struct pm_election *lead, const struct pm_election_links *links);
/* The replica's feed, for p/epoch and p/lead. */
void pm_election_apply_put(struct pm_election *lead, const char *key, const cbor_item_t *value,
                           uint64_t revision);
void pm_election_apply_delete(struct pm_election *lead, const char *key, uint64_t revision);
/* A new listing begins: p/lead is free unless it tells otherwise. */
void pm_election_snapshot_begin(struct pm_election *lead);

uint64_t pm_election_epoch(const struct pm_election *lead);
uint64_t
pm_election_epoch_revision(const struct pm_election *lead); /* of p/epoch, as we wrote it */
/* Whether the epoch was confirmed recently enough to answer a worker, and the replica knows of
 * every cancellation that a user heard of before about the same time (safety invariants 5 and 7).
 */
bool pm_election_is_confirmed(const struct pm_election *lead, double now);
/* Steady time from which on that ends, if nothing confirms it anew: whatever rests on it is not to
 * be written later, should the process have stood still since it was decided. */
double pm_election_confirmation_deadline(const struct pm_election *lead);
/* The same for an answer that pm_election_may_renew_in_outage allowed. */
double pm_election_outage_renewal_deadline(const struct pm_election *lead);
/* A conditional transaction succeeded that was sent at `sent`: a confirmation. The state service
 * was at `store_revision` then. */
void pm_election_confirm_epoch(struct pm_election *lead, double sent, uint64_t store_revision);
/* How long after a cancellation was confirmed to its user somebody may still renew the lease of a
 * worker without knowing it. From then on it takes a lease until its tasks are gone. */
double pm_election_staleness_bound_s(const struct pm_settings *settings,
                                     const struct pm_operator_settings *op);
/* Raises the epoch while leading, so that commands under way with the old one die. With `key`,
 * drops that key in the same transaction, on the condition of its revision. */
void pm_election_advance_epoch(struct pm_election *lead, const char *key, uint64_t revision);
/* Not leading, but holding a block: the key and revision that stand for it, revision 0: none. The
 * epoch is then confirmed together with that revision. */
void pm_election_set_owned_shard(struct pm_election *lead, const char *key, uint64_t revision);
/* Whether the state service refuses us while it serves another controller. */
bool pm_election_is_refused_alone(const struct pm_election *lead, double now);
/* The name of this process, unlike that of any other that has run or will run. */
const char *pm_election_incarnation_id(const struct pm_election *lead);
/* Leaves the lead to the others, and does not try for it itself for a while. */
void pm_election_step_down(struct pm_election *lead, const char *why);
/* A transaction failed on the epoch's revision. */
void pm_election_recheck_epoch(struct pm_election *lead);
/* The name of the controller that leads as far as known, NULL when nobody does or it is us. */
const char *pm_election_other_leader(const struct pm_election *lead);
/* Steady time since when nobody who did not know `epoch` can have answered a worker with 200: A
 * after a majority acknowledged it; INFINITY until then. Epoch 0: the first one of this term. */
double pm_election_lease_lower_bound(const struct pm_election *lead, uint64_t epoch);
/* In an outage of the state service whose leader is not reached: whether this controller may answer
 * workers in its stead, with the epoch and no orders, so that their leases do not run out. A
 * majority that has read the state, knows no higher epoch and is refused itself confirms it, which
 * one controller that is refused alone never finds. */
bool pm_election_may_renew_in_outage(const struct pm_election *lead, double now);
/* Steady time since when nobody can have answered a worker in our stead: we were confirmed without
 * a gap, and not refused, ever since. */
double pm_election_exclusive_since(const struct pm_election *lead);
/* The protocol version (base/protocol.h) that every controller named in the settings is known to
 * run, for good: written by the leader once each has said so. A controller that was not heard yet
 * counts as the first version; none that ran a later one comes back with an earlier one. */
unsigned pm_election_protocol_version(const struct pm_election *lead);
/* POST /peer on the back address. */
void pm_election_handle_peer_request(struct pm_election *lead, struct pm_http_request *req);

#endif
