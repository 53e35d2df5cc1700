/* What the parts of the blocks slice share; nobody else includes it. */
#ifndef PM_SHARDS_INTERNAL_H
#define PM_SHARDS_INTERNAL_H

#include "shards/shards.h"

#define EPS 1e-6

enum entry_state { ADDING, HELD, LEAVING, REMOVING };

struct entry { /* a machine of a block, as the leader wants it */
    int machine;
    enum entry_state state;
    bool stop;
    uint64_t serial; /* of the write that adds or removes it */
    double idle_since;
};

struct block {
    const char *name; /* the holder's */
    char key[PM_NAME_MAX + 8], boot[24];
    /* As the state service has it. */
    uint64_t revision, serial_seen;
    uint64_t wrote;   /* revision of our own last write: the watch may not have told it yet */
    GArray *machines; /* of int: machine indices */
    GArray *jobs;     /* of struct seen_job */
    char boot_seen[24];
    /* Leader. */
    GArray *entries;  /* of struct entry */
    GPtrArray *given; /* of struct pm_job */
    uint64_t serial;
    bool dirty, in_flight, losing, lost;
    uint64_t unsure; /* epoch of a write without an answer, which may yet be carried out; 0: none */
    double written, asked, alive, losing_at;
    bool asking, ready;
};

struct seen_job { /* a job of a block, as the state service has it */
    char id[PM_ID_MAX];
    uint32_t parallelism;
};

struct pm_shards {
    struct pm_name_tables *tables;
    struct pm_jobs *jobs;
    struct pm_workers *workers;
    struct pm_scheduler *plan;
    struct pm_store *store;
    struct pm_http_client *http;
    struct pm_election *lead;
    struct pm_shards_hooks hooks;
    int n;
    struct block block[PM_PEERS_MAX + 1]; /* the peers', and last our own */
    char boot[24]; /* tells this holder's working state from those before it */
    uint64_t round;
    bool leading, doubt;
    bool mine_granted;
};

/* The revision that the block's key has by now, as far as we know. */
static inline uint64_t pm_shards_revision(const struct block *k)
{
    return MAX(k->revision, k->wrote);
}

/* Our own. */
static inline struct block *pm_shards_own(struct pm_shards *b)
{
    return &b->block[b->n - 1];
}

/* hold.c */
void pm_shards_join(struct pm_shards *b, const cbor_item_t *value, double now);
void pm_shards_join_jobs(struct pm_shards *b);
void pm_shards_leave_all(struct pm_shards *b);

#endif
