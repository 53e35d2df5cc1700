/* Applying the replica's feed to the epoch, the leader's lock and the protocol versions. */
#include "base/keys.h"
#include "base/clock.h"
#include "leadership/internal.h"

#include <string.h>

static void apply_epoch(struct pm_election *election, const cbor_item_t *value, uint64_t revision)
{
    struct pm_election_replica *replica = &election->replica;
    char incarnation_id[PM_INCARNATION_ID_SIZE];
    struct pm_fencing_range tokens;
    bool is_ours;

    if (revision < replica->epoch_revision ||
        !pm_election_decode_epoch(value, &tokens, incarnation_id))
        return;
    is_ours = !strcmp(incarnation_id, election->incarnation_id);
    replica->epoch = tokens.last;
    replica->first_token = tokens.first;
    replica->epoch_revision = revision;
    if (election->term.is_leader && tokens.last > election->term.epoch) {
        if (is_ours) /* written by a transaction whose response was lost */
            pm_election_adopt_epoch(election, tokens, revision);
        else
            pm_election_end_term(election, "another controller has advanced the epoch and leads");
        return;
    }
    if (!election->term.is_leader && election->shard.revision &&
        !election->confirmation.check_in_flight)
        pm_election_check_epoch(election, pm_clock_monotonic());
}

static void apply_lock(struct pm_election *election, const cbor_item_t *value, uint64_t revision)
{
    struct pm_election_replica *replica = &election->replica;

    if (revision < replica->lock_revision)
        return;
    replica->lock_revision = revision;
    pm_election_decode_lock(value, replica->lock_holder, replica->lock_incarnation_id);
}

/* Leaves `lock_incarnation_id` unchanged: it is used only while the lock has a holder. */
static void note_lock_free(struct pm_election *election)
{
    election->replica.lock_revision = 0;
    election->replica.lock_holder[0] = 0;
}

void pm_election_apply_put(struct pm_election *election, const char *key, const cbor_item_t *value,
                           uint64_t revision)
{
    const size_t prefix_size = strlen(PM_KEY_VERSION_PREFIX);

    if (!strncmp(key, PM_KEY_VERSION_PREFIX, prefix_size))
        pm_election_apply_version(election, key + prefix_size, value);
    else if (!strcmp(key, PM_KEY_COMMON_VERSION))
        pm_election_apply_common_version(election, value);
    else if (!strcmp(key, PM_KEY_EPOCH))
        apply_epoch(election, value, revision);
    else if (!strcmp(key, PM_KEY_LEADER_LOCK))
        apply_lock(election, value, revision);
}

void pm_election_apply_delete(struct pm_election *election, const char *key, uint64_t revision)
{
    if (!strcmp(key, PM_KEY_LEADER_LOCK) && revision >= election->replica.lock_revision)
        note_lock_free(election);
}

void pm_election_snapshot_begin(struct pm_election *election)
{
    note_lock_free(election);
}
