/* The state of an election, grouped by the file that writes it, and the functions that the files of
 * the leadership slice share. No other slice includes this header.
 *
 * Everything here is guarded by struct pm_controller.lock; timers and response callbacks run in the
 * event-loop thread. All times are monotonic seconds; a time of 0 means "never". */
#ifndef PM_LEADERSHIP_INTERNAL_H
#define PM_LEADERSHIP_INTERNAL_H

#include "leadership/election.h"
#include "leadership/quorum.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { PM_INCARNATION_ID_SIZE = 24, PM_SHARD_KEY_SIZE = PM_NAME_MAX + 8 };

/* Interval of the election's timer. */
#define PM_ELECTION_TICK_S 0.1
/* A 503 of the state service is evidence of an outage only while it is at most this old. */
#define PM_ELECTION_REFUSAL_MAX_AGE_S 1.0

/* p/epoch and p/lead as the replica has them. Written by replica_feed.c, and by campaign.c and
 * epoch.c, which record this controller's own writes before the watch reports them. */
struct pm_election_replica {
    uint64_t epoch;
    uint64_t first_token; /* of the epoch */
    uint64_t epoch_revision;
    uint64_t lock_revision; /* of p/lead; 0 while the lock is free */
    char lock_holder[PM_NAME_MAX];
    char lock_incarnation_id[PM_INCARNATION_ID_SIZE];
};

/* The state of a controller that does not lead and may campaign. Written by campaign.c and timer.c;
 * election.c sets `backoff_until`, and resets `lock_free_since` at the end of a term. */
struct pm_election_candidacy {
    bool campaign_in_flight;
    double lock_free_since; /* start of the wait before a campaign; 0 while the lock is held */
    double backoff_until;   /* set when this controller stepped down voluntarily */
};

/* The state of a controller that leads. campaign.c begins a term and election.c ends it; epoch.c
 * and timer.c write what changes during the term. */
struct pm_election_term {
    bool is_leader;
    uint64_t lease_id;           /* of the leader's lock */
    uint64_t epoch;              /* the latest that this controller wrote */
    uint64_t first_token;        /* of that epoch */
    uint64_t epoch_revision;     /* revision of p/epoch after that write */
    uint64_t catch_up_revision;  /* the replica must reach it before we act; 0 once reached */
    double epoch_advanced_at;    /* when the current epoch began */
    double advance_attempted_at; /* when we last tried to advance the epoch because of its age */
    bool advance_in_flight;
    double lease_renewed_at;
    bool lease_renewal_in_flight;
};

/* How long the epoch counts as confirmed and the replica as fresh. Written by confirmation.c; also
 * by campaign.c at the start of a term, by election.c at its end, and by outage.c when a majority
 * has voted. */
struct pm_election_confirmation {
    double confirmed_at; /* when the latest request that confirmed our epoch was sent */
    /* When the latest check was sent, or the term began. 0 if it does not delay the next check. */
    double check_sent_at;
    bool check_in_flight;
    /* Since this time the epoch has been confirmed without interruption and the state service has
     * not refused us. While the service refuses us, outage.c sets it to the current time. */
    double continuous_since;
    /* The replica includes every cancellation that was confirmed to a user before this time. */
    double fresh_as_of;
    /* Once the replica reaches `awaited_revision`, `fresh_as_of` becomes `awaited_sent_at`.
     * `awaited_revision` is 0 when no revision is awaited. */
    uint64_t awaited_revision;
    double awaited_sent_at;
};

/* Which peers know the current epoch of the term. Written by epoch_acks.c. */
struct pm_election_acks {
    bool has_acked[PM_PEERS_MAX];
    uint64_t epoch;
    double quorum_at;       /* when a majority knew this epoch; 0 until it does */
    double first_quorum_at; /* the same for the first epoch of the term that a majority knew */
};

/* The latest round of requests to all peers. Written by peer_poll.c and peer_endpoint.c.
 * epoch_acks.c resets `sent_at`, so that the peers learn of a new epoch at once; outage.c counts
 * `votes`. */
struct pm_election_poll {
    double sent_at;
    int round;
    uint64_t epoch;              /* sent in this round */
    int votes;                   /* to confirm that epoch, our own included */
    uint64_t highest_epoch;      /* the highest that any peer has ever reported */
    double leader_answered_at;   /* when the holder of the leader's lock last responded */
    double store_served_peer_at; /* when a peer last reported that the state service serves it */
};

/* Renewing workers' leases in place of the leader during an outage of the state service. Written by
 * outage.c. */
struct pm_election_outage {
    double refused_since; /* when the state service began to refuse us; 0 while it does not */
    int votes;            /* to let this follower renew leases, our own included */
    double confirmed_at;  /* when the latest round with a majority of such votes was sent */
};

/* Protocol versions. Written by versions.c, from the replica's feed and the peers' messages. */
struct pm_election_versions {
    /* Indexed by peer: the highest version that it has reported; 0 if it has reported none. */
    unsigned peer[PM_PEERS_MAX];
    unsigned common;   /* of all controllers, from p/speaks; 0 until that is written */
    bool is_published; /* our own version is stored in the state service */
    bool write_in_flight;
    double written_at;
};

/* The shard that this follower owns; `revision` is 0 if it owns none. Written by confirmation.c,
 * and by campaign.c when this controller is elected. */
struct pm_election_owned_shard {
    char key[PM_SHARD_KEY_SIZE];
    uint64_t revision;
};

struct pm_election {
    struct ev_loop *loop;
    struct pm_store *store;
    struct pm_http_client *http;
    const struct pm_settings *settings;
    const struct pm_operator_settings *operator_settings;
    struct pm_election_hooks hooks;
    struct pm_election_links links; /* callbacks; all NULL until pm_election_attach_links */
    char incarnation_id[PM_INCARNATION_ID_SIZE];
    ev_timer timer;
    struct pm_election_replica replica;
    struct pm_election_candidacy candidacy;
    struct pm_election_term term;
    struct pm_election_confirmation confirmation;
    struct pm_election_acks acks;
    struct pm_election_poll poll;
    struct pm_election_outage outage;
    struct pm_election_versions versions;
    struct pm_election_owned_shard shard;
};

/* A transaction in flight that creates, advances or checks the epoch. Its callback frees it. */
struct pm_epoch_txn {
    struct pm_election *election;
    uint64_t epoch;
    uint64_t first_token; /* of the epoch; not set for a check */
    uint64_t lease_id;    /* of the leader's lock; set only for a campaign */
    double sent_at;
    bool sent_as_leader; /* whether this controller led when it sent the transaction */
};

/* ---- inline helpers ---- */

/* Whether this controller may have workers to command. */
static inline bool pm_election_leads_or_owns_shard(const struct pm_election *election)
{
    return election->term.is_leader || election->shard.revision;
}

/* ---- election.c ---- */

/* Ends the term and calls the hook `stepped_down`; does nothing when not leading. `reason` is only
 * logged. */
void pm_election_end_term(struct pm_election *election, const char *reason);

/* ---- timer.c ---- */

/* Starts the timer that triggers all periodic work of the election; see timer.c. */
void pm_election_start_timer(struct pm_election *election);

/* ---- campaign.c ---- */

/* Whether, according to the replica, no running process holds the leader's lock: p/lead does not
 * exist, or its holder is an earlier process of this controller, which has the same name but
 * another incarnation and so is dead. */
bool pm_election_is_lock_free(const struct pm_election *election);
/* Requests a lease, then writes p/epoch and p/lead under it. The outcome is recorded in `candidacy`
 * and `term`. */
void pm_election_campaign(struct pm_election *election);

/* ---- epoch.c ---- */

/* Returns the tokens of the epoch that follows `epoch` and all that any peer has reported. */
struct pm_fencing_range pm_election_next_tokens(const struct pm_election *election, uint64_t epoch);
/* Continues the term in the epoch with these tokens, which this controller has durably written at
 * this revision of p/epoch, and calls the hook `epoch_advanced`. */
void pm_election_adopt_epoch(struct pm_election *election, struct pm_fencing_range tokens,
                             uint64_t revision);

/* ---- epoch_acks.c ---- */

/* Begins a new term with this epoch: does what pm_election_reset_epoch_acks does, and also forgets
 * `first_quorum_at` of the term before. */
void pm_election_reset_term_acks(struct pm_election *election, uint64_t epoch, double now);
/* Begins a new epoch of the term: forgets all acknowledgements, and has the timer poll the peers at
 * once. */
void pm_election_reset_epoch_acks(struct pm_election *election, uint64_t epoch, double now);
/* Records that the peer with this index knows the current epoch of the term. */
void pm_election_note_epoch_acked(struct pm_election *election, int peer);

/* ---- confirmation.c ---- */

/* Records that a request that was sent at `sent_at` has confirmed the epoch. Leaves the freshness
 * of the replica unchanged. */
void pm_election_note_confirmed(struct pm_election *election, double sent_at);
/* Sends a transaction that checks whether p/epoch, and for a follower the key of its shard, still
 * have the revisions that we know. Must not be called while a check is in flight. */
void pm_election_check_epoch(struct pm_election *election, double now);

/* ---- outage.c ---- */

/* The fields of a peer's response that make it a vote, and the request that it responds to. */
struct pm_election_vote {
    int round;      /* of the request */
    double sent_at; /* of the request */
    uint64_t highest_epoch;
    bool has_replica; /* the peer has read the state since it started */
    /* The peer has sent every cancellation that it knows whose revision is later than that of our
     * replica. */
    bool has_cancellations;
    bool is_refused; /* the state service refuses the peer */
};

/* Whether the state service's last response was a 503, no older than PM_ELECTION_REFUSAL_MAX_AGE_S.
 * A controller that gets no response at all does not count as refused: it may be the only one that
 * is cut off. */
bool pm_election_is_refused_now(const struct pm_election *election, double now);
/* Tracks since when the state service refuses us. Called by the timer. */
void pm_election_track_refusals(struct pm_election *election, double now);
/* Resets the vote counts for a round of requests that is sent at `now`. Our own vote for
 * confirmation counts at once, our own vote for renewal if we have read the state and the state
 * service refuses us. */
void pm_election_reset_votes(struct pm_election *election, double now);
/* Counts a peer's vote if it is valid and of the current round. While the state service refuses us,
 * a majority of votes has the effects that outage.c describes. */
void pm_election_count_vote(struct pm_election *election, const struct pm_election_vote *vote);

/* ---- peer_poll.c ---- */

/* Sends a PeerRequest (peer.proto) to every peer, as a new round. */
void pm_election_poll_peers(struct pm_election *election, double now);

/* ---- versions.c ---- */

/* Applies a put of p/speaks/NAME from the replica's feed; `controller` is NAME. */
void pm_election_apply_version(struct pm_election *election, const char *controller,
                               const cbor_item_t *value);
/* Applies a put of p/speaks from the replica's feed. */
void pm_election_apply_common_version(struct pm_election *election, const cbor_item_t *value);
/* Records the protocol version that the peer with this index has reported, in a message or in the
 * state service; 0 if its message names none. */
void pm_election_note_peer_version(struct pm_election *election, int peer, unsigned version);
/* Writes our own protocol version to the state service, for controllers that our messages do not
 * reach. Once it is stored, the leader writes the version that all controllers are known to run.
 * Does nothing when no write is due. */
void pm_election_publish_version(struct pm_election *election, double now);

/* ---- records.c ---- */

/* Adds a put of p/epoch to `txn`, for the epoch with these tokens and with this process as its
 * author. */
void pm_election_put_epoch(const struct pm_election *election, struct pm_txn *txn,
                           struct pm_fencing_range tokens);
/* Adds a put of p/lead to `txn`, with this process as the holder, attached to that lease. */
void pm_election_put_lock(const struct pm_election *election, struct pm_txn *txn,
                          uint64_t lease_id);
/* Adds a put of `key`, which is p/speaks or p/speaks/NAME, to `txn`. */
void pm_election_put_version(struct pm_txn *txn, const char *key, unsigned version);
/* Decodes p/epoch: the tokens of the epoch, and the incarnation of the process that advanced it (""
 * if that can't be read). Returns false when the value has no epoch. */
bool pm_election_decode_epoch(const cbor_item_t *value, struct pm_fencing_range *tokens,
                              char incarnation_id[PM_INCARNATION_ID_SIZE]);
/* Decodes p/lead: name and incarnation of the holder, each "" if it can't be read. */
void pm_election_decode_lock(const cbor_item_t *value, char holder[PM_NAME_MAX],
                             char incarnation_id[PM_INCARNATION_ID_SIZE]);
/* Decodes p/speaks or p/speaks/NAME. Returns false when the value has no version. */
bool pm_election_decode_version(const cbor_item_t *value, uint64_t *version);

#endif
