/* The state of an election, grouped by the part that writes it, and what the files of the election
 * call in one another. No other slice includes this header.
 *
 * All of it is guarded by struct pm_controller.lock; timers and answers run in the event-loop
 * thread. Times are monotonic seconds; 0 stands for never. */
#ifndef PM_LEADERSHIP_INTERNAL_H
#define PM_LEADERSHIP_INTERNAL_H

#include "leadership/election.h"
#include "leadership/quorum.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { PM_INCARNATION_ID_SIZE = 24, PM_SHARD_KEY_SIZE = PM_NAME_MAX + 8 };

/* How often the timer runs. */
#define PM_ELECTION_TICK_S 0.1
/* A 503 of the state service counts as an outage's only if it is no older. */
#define PM_ELECTION_REFUSAL_MAX_AGE_S 1.0

/* p/epoch and p/lead as the replica has them. Written by replica_feed.c, and by campaign.c and
 * epoch.c, whose own writes count before the watch reports them. */
struct pm_election_replica {
    uint64_t epoch;
    uint64_t epoch_revision;
    uint64_t lock_revision; /* of p/lead; 0: it is free */
    char lock_holder[PM_NAME_MAX];
    char lock_incarnation_id[PM_INCARNATION_ID_SIZE];
};

/* Becoming the leader. Written by campaign.c and timer.c; `backoff_until`, and `lock_free_since` at
 * the end of a term, by election.c. */
struct pm_election_candidacy {
    bool is_in_flight;
    double lock_free_since; /* the replica has shown a free lock since; 0: it does not */
    double backoff_until;   /* after stepping down of one's own accord */
};

/* Being the leader. Begun by campaign.c, ended by election.c; what changes during the term is
 * written by epoch.c and timer.c. */
struct pm_election_term {
    bool is_leader;
    uint64_t lease_id;           /* of the lock */
    uint64_t epoch;              /* as this controller wrote it */
    uint64_t epoch_revision;     /* of that write */
    uint64_t catch_up_revision;  /* the replica has to reach it before the term begins; 0: it has */
    double epoch_advanced_at;    /* this epoch is that old */
    double advance_attempted_at; /* for the sake of the epoch's age */
    bool advance_in_flight;
    double lease_renewed_at;
    bool lease_renewal_in_flight;
};

/* Until when the epoch counts as confirmed, and the replica as fresh. Written by confirmation.c, by
 * campaign.c at the start of a term, election.c at its end, and by outage.c upon a majority of
 * votes. */
struct pm_election_confirmation {
    double confirmed_at; /* the epoch was in force then */
    double checked_at;
    bool check_in_flight;
    double gapless_since; /* confirmed without a gap, and not refused; by outage.c while refused */
    /* The replica includes every cancellation confirmed to a user before `fresh_at`. */
    double fresh_at;
    uint64_t awaited_revision; /* the replica has to reach it for `awaited_sent_at`; 0: none */
    double awaited_sent_at;    /* becomes `fresh_at` then */
};

/* Which peers know the epoch of the term. Written by epoch_acks.c. */
struct pm_election_acks {
    bool has_acked[PM_PEERS_MAX];
    uint64_t epoch;
    double quorum_at;       /* a majority knew this epoch; 0: not yet */
    double first_quorum_at; /* the same for the first epoch of the term */
};

/* The latest round of questions to the peers. Written by peer_poll.c, peer_endpoint.c; `sent_at`
 * also by epoch_acks.c, so that a new epoch is made known at once; `votes` by outage.c. */
struct pm_election_poll {
    double sent_at;
    int round;
    uint64_t epoch;              /* as asked in this round */
    int votes;                   /* for that epoch, ours included */
    uint64_t highest_epoch;      /* the highest that any peer knew, ever */
    double leader_answered_at;   /* the holder of the lock answered */
    double store_served_peer_at; /* a peer responded that the state service serves it */
};

/* Answering workers in the leader's stead while the state service is out. Written by outage.c. */
struct pm_election_outage {
    double refused_since; /* the state service refuses us since then; 0: it does not */
    int votes;            /* of those refused themselves, ours included */
    double confirmed_at;
};

/* Protocol versions. Written by versions.c, from the feed and the peers' messages. */
struct pm_election_versions {
    unsigned peer[PM_PEERS_MAX]; /* as each peer named it; 0: it has not */
    unsigned common;             /* of all controllers, as p/speaks says; 0: not written yet */
    bool is_published;           /* our own is in the state service */
    bool write_in_flight;
    double written_at;
};

/* The shard that this follower owns; revision 0: none. Written by confirmation.c, and by campaign.c
 * when it is elected. */
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
    struct pm_election_links links; /* no functions: none are attached */
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

/* A transaction in flight that creates, advances or checks the epoch; its callback frees it. */
struct pm_epoch_txn {
    struct pm_election *election;
    uint64_t epoch;
    uint64_t lease_id; /* of the lock, for a campaign */
    double sent_at;
    bool as_leader; /* this controller led when it was sent */
};

/* ---- here ---- */

/* Whether this controller may have workers to command: it leads, or owns a shard. */
static inline bool pm_election_may_act(const struct pm_election *election)
{
    return election->term.is_leader || election->shard.revision;
}

/* ---- election.c ---- */

/* Ends the term, if there is one, and calls the hook. `why` is for the log. */
void pm_election_end_term(struct pm_election *election, const char *why);

/* ---- timer.c ---- */

/* Starts the timer that does everything that falls due by time. */
void pm_election_start_timer(struct pm_election *election);

/* ---- campaign.c ---- */

/* Whether nobody leads as far as the replica knows: p/lead is free, or a predecessor of this
 * process, of the same name and dead, holds it. */
bool pm_election_is_lock_free(const struct pm_election *election);
/* Asks for a lease, then writes p/epoch and p/lead under it. The outcome is in `candidacy` and
 * `term`. */
void pm_election_campaign(struct pm_election *election);

/* ---- epoch.c ---- */

/* Our own advance of the epoch is durable, with that revision of p/epoch: the term goes on in it,
 * and the hook is called. */
void pm_election_adopt_epoch(struct pm_election *election, uint64_t epoch, uint64_t revision);

/* ---- epoch_acks.c ---- */

/* A new term begins with this epoch: as pm_election_reset_epoch_acks, and no epoch of the term has
 * been acknowledged by a majority yet. */
void pm_election_reset_term_acks(struct pm_election *election, uint64_t epoch, double now);
/* A new epoch of the term: no peer has acknowledged it, and all are asked at once. */
void pm_election_reset_epoch_acks(struct pm_election *election, uint64_t epoch, double now);
/* The peer with this index knows the epoch of the term. */
void pm_election_note_epoch_acked(struct pm_election *election, int peer);

/* ---- confirmation.c ---- */

/* The epoch was in force at `sent_at`; whether the replica is fresh is another matter. */
void pm_election_note_confirmed(struct pm_election *election, double sent_at);
/* Checks at the state service that p/epoch, and an owner's shard, still have the known revisions.
 * None may be in flight. */
void pm_election_check_epoch(struct pm_election *election, double now);

/* ---- outage.c ---- */

/* A peer's answer, as far as it is a vote. */
struct pm_election_vote {
    int round; /* of the question */
    double sent_at;
    uint64_t highest_epoch;
    bool has_replica;       /* it has read the state since it started */
    bool has_cancellations; /* and sent all that it knows after our replica's revision */
    bool is_refused;        /* the state service refuses it */
};

/* Whether the state service answered 503 within PM_ELECTION_REFUSAL_MAX_AGE_S. A controller that
 * gets no answer at all does not count as refused: it may be cut off alone. */
bool pm_election_is_refused_now(const struct pm_election *election, double now);
/* Follows whether the state service refuses us; by the timer. */
void pm_election_track_refusals(struct pm_election *election, double now);
/* A new round of questions begins, sent at `now`: our own votes are in. */
void pm_election_reset_votes(struct pm_election *election, double now);
/* Counts a vote of the present round; a majority confirms the epoch while the state service
 * refuses us. */
void pm_election_count_vote(struct pm_election *election, const struct pm_election_vote *vote);

/* ---- peer_poll.c ---- */

/* Asks all peers what they know; see peer.proto. */
void pm_election_poll_peers(struct pm_election *election, double now);

/* ---- versions.c ---- */

/* The replica's feed: p/speaks/NAME, with NAME in `controller`. */
void pm_election_apply_version(struct pm_election *election, const char *controller,
                               const cbor_item_t *value);
/* The replica's feed: p/speaks. */
void pm_election_apply_common_version(struct pm_election *election, const cbor_item_t *value);
/* The peer with this index names its version in a message; 0: it does not. */
void pm_election_note_peer_version(struct pm_election *election, int peer, unsigned version);
/* Writes our own protocol version, for those whom our messages do not reach; and, as the leader,
 * the one that all controllers are known to run. Nothing when neither is due. */
void pm_election_publish_version(struct pm_election *election, double now);

/* ---- records.c ---- */

/* Adds a put of p/epoch to `txn`, with this process as its author. */
void pm_election_put_epoch(const struct pm_election *election, struct pm_txn *txn, uint64_t epoch);
/* Adds a put of p/lead to `txn`, held by this process under that lease. */
void pm_election_put_lock(const struct pm_election *election, struct pm_txn *txn,
                          uint64_t lease_id);
/* Adds a put of p/speaks or p/speaks/NAME to `txn`. */
void pm_election_put_version(struct pm_txn *txn, const char *key, unsigned version);
/* Reads p/epoch: the epoch, and in `incarnation_id` the process that advanced it ("" if that can't
 * be read). False when it has no epoch. */
bool pm_election_decode_epoch(const cbor_item_t *value, uint64_t *epoch,
                              char incarnation_id[PM_INCARNATION_ID_SIZE]);
/* Reads p/lead: name and incarnation of the holder, "" for what can't be read. */
void pm_election_decode_lock(const cbor_item_t *value, char holder[PM_NAME_MAX],
                             char incarnation_id[PM_INCARNATION_ID_SIZE]);
/* Reads p/speaks or p/speaks/NAME. False when it has no version. */
bool pm_election_decode_version(const cbor_item_t *value, uint64_t *version);

#endif
