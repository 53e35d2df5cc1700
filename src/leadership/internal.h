/* What the parts of the leadership slice share; nobody else includes it. */
#ifndef PM_LEADERSHIP_INTERNAL_H
#define PM_LEADERSHIP_INTERNAL_H

#include "leadership/election.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define PM_ELECTION_REFUSAL_MAX_AGE_S 1.0 /* how old a refusal may be to speak of an outage */

struct pm_election {
    struct ev_loop *loop;
    struct pm_store *store;
    struct pm_http_client *http;
    const struct pm_settings *settings;
    const struct pm_operator_settings *op;
    struct pm_election_hooks hooks;
    char boot[24]; /* tells this process from its predecessors of the same name */
    ev_timer tick;
    /* From the replica. */
    uint64_t epoch, epoch_revision;
    uint64_t lead_revision; /* 0: nobody holds p/lead */
    char holder[PM_NAME_MAX], holder_boot[24];
    uint64_t heard; /* the highest epoch a peer spoke of */
    /* Trying, leading. */
    bool candidate, leads, raising;
    uint64_t lease_id, mine, mine_revision;
    uint64_t reach; /* store revision of the transaction that made us leader */
    double vacant_since, renewed, checked, confirmed, asked;
    bool renew_busy, check_busy;
    /* Peers' words on our epoch: for the acknowledgement, and for confirmation in an outage. */
    bool acked[PM_PEERS_MAX];
    double ack_at, first_ack_at; /* of the epoch in force; of the term's first */
    uint64_t ack_epoch;
    /* Holding a block instead of leading. */
    char block_key[PM_NAME_MAX + 8];
    uint64_t block_revision;
    double standing_back_until;
    double peer_served; /* steady: a peer last said that the state service answers it */
    int ask_round, ask_yes;
    uint64_t ask_epoch;
    /* Renewing the leases of workers in an outage whose leader is not reached; see
     * pm_election_may_renew_in_outage. */
    int renewal_votes;
    double refused_since, renewal_confirmed, leader_heard;
    double sure_since; /* see pm_election_exclusive_since */
    /* Protocol versions: of each peer as far as it said so, and of all controllers (p/speaks). */
    unsigned peer_version[PM_PEERS_MAX], common_version;
    bool version_busy;
    bool version_announced; /* our own is in the state service */
    double announced_at;
    /* Our replica holds every cancellation that was confirmed to a user before `caught_up_at`. */
    double caught_up_at, reaching_sent;
    uint64_t reaching; /* the store revision that they have to reach for a later one, 0: none */
    struct pm_election_links links; /* no functions: none are carried */
    double epoch_at, raise_at;      /* steady: our epoch is that old; a raise was last tried */
};

/* A transaction under way that takes, raises or confirms the epoch. */
struct attempt {
    struct pm_election *lead;
    uint64_t epoch, lease_id;
    double sent;
    bool leads;
};

/* Whether this controller has any say over workers, and in which epoch. */
static inline bool pm_election_may_act(const struct pm_election *l)
{
    return l->leads || l->block_revision;
}

static inline uint64_t pm_election_acting_epoch(const struct pm_election *l)
{
    return l->leads ? l->mine : l->epoch;
}

static inline int pm_election_quorum(const struct pm_election *l)
{
    return l->settings->cluster_size / 2 + 1;
}

/* Answered 503 so lately that it counts as a word on the present. Who is cut off says nothing. */
static inline bool pm_election_is_refused_now(const struct pm_election *l, double now)
{
    return pm_store_is_refusing(l->store) &&
           now - pm_store_last_refused_at(l->store) < PM_ELECTION_REFUSAL_MAX_AGE_S;
}

/* leadership.c */
/* The epoch held at `sent`. */
void pm_election_note_confirmed(struct pm_election *l, double sent);
/* Leads no more. */
void pm_election_lose_leadership(struct pm_election *l, const char *why);
/* Asks the state service whether the epoch, and a holder's block, are still the ones known. */
void pm_election_check_epoch(struct pm_election *l, double now);

/* take.c */
/* Whether nobody leads: p/lead is free, or its holder is a dead predecessor of this process. */
bool pm_election_is_lock_free(const struct pm_election *l);
/* Tries to take the lead. */
void pm_election_campaign(struct pm_election *l);
/* Our own raise of the epoch is durable. */
void pm_election_adopt_epoch(struct pm_election *l, uint64_t epoch, uint64_t revision);

/* peers.c */
/* Asks all other controllers what they know; their answers confirm the epoch in an outage. */
void pm_election_poll_peers(struct pm_election *l, double now);

/* versions.c */
/* Writes our own protocol version, for those whom our messages do not reach; and, as the leader,
 * the one that all controllers are known to run, for good. */
void pm_election_publish_version(struct pm_election *l, double now);

#endif
