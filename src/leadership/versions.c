/* Agreeing on a protocol version: each controller publishes its own, in its messages and under
 * p/speaks/NAME. Once the leader knows the versions of all controllers, it writes the lowest to
 * p/speaks. */
#include "base/keys.h"
#include "base/log.h"
#include "base/protocol.h"
#include "leadership/internal.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define WRITE_INTERVAL_S 0.7

/* ---- reading versions ---- */

void pm_election_apply_version(struct pm_election *election, const char *controller,
                               const cbor_item_t *value)
{
    struct pm_election_versions *versions = &election->versions;
    uint64_t version;
    int peer;

    if (!pm_election_decode_version(value, &version))
        return;
    if (!strcmp(controller, election->settings->name) && version >= PM_PROTOCOL_VERSION)
        versions->is_published = true;
    peer = pm_settings_find_peer(election->settings, controller);
    if (peer >= 0) /* a version later than ours counts as ours */
        pm_election_note_peer_version(election, peer, (unsigned)MIN(version, PM_PROTOCOL_VERSION));
}

void pm_election_apply_common_version(struct pm_election *election, const cbor_item_t *value)
{
    struct pm_election_versions *versions = &election->versions;
    uint64_t version;

    if (!pm_election_decode_version(value, &version) || version <= versions->common)
        return;
    versions->common = (unsigned)MIN(version, PM_PROTOCOL_VERSION);
    pm_info("election.protocol_version", "every controller runs protocol version %u",
            versions->common);
}

void pm_election_note_peer_version(struct pm_election *election, int peer, unsigned version)
{
    unsigned *known = &election->versions.peer[peer];

    *known = MAX(*known, version);
}

unsigned pm_election_protocol_version(const struct pm_election *election)
{
    return MAX(election->versions.common, PM_PROTOCOL_FIRST);
}

/* The lowest version of all controllers, ours included; 0 until every peer has reported its own. */
static unsigned find_lowest_version(const struct pm_election *election)
{
    unsigned lowest = PM_PROTOCOL_VERSION;

    for (int i = 0; i < election->settings->peer_count; i++)
        lowest = MIN(lowest, election->versions.peer[i]);
    return lowest;
}

/* ---- writing versions ---- */

static void on_version_committed(void *arg, enum pm_store_result result, uint64_t store_revision,
                                 const cbor_item_t *conflicting_keys)
{
    struct pm_election *election = arg;

    (void)result; /* a success is seen by the watch; a failed write is due again */
    (void)store_revision;
    (void)conflicting_keys;
    election->versions.write_in_flight = false;
}

static void commit_version(struct pm_election *election, struct pm_txn *txn, double now)
{
    election->versions.write_in_flight = true;
    election->versions.written_at = now;
    pm_store_commit(election->store, txn, on_version_committed, election);
}

static void publish_own_version(struct pm_election *election, double now)
{
    struct pm_txn txn = {0};
    char key[PM_NAME_MAX + sizeof PM_KEY_VERSION_PREFIX];

    snprintf(key, sizeof key, PM_KEY_VERSION_PREFIX "%s", election->settings->name);
    pm_election_put_version(&txn, key, PM_PROTOCOL_VERSION);
    commit_version(election, &txn, now);
}

static void publish_common_version(struct pm_election *election, double now)
{
    const struct pm_election_term *term = &election->term;
    struct pm_txn txn = {0};
    unsigned version = find_lowest_version(election);

    if (!term->is_leader || term->catch_up_revision ||
        version <= pm_election_protocol_version(election))
        return;
    pm_txn_compare(&txn, PM_KEY_EPOCH, term->epoch_revision);
    pm_election_put_version(&txn, PM_KEY_COMMON_VERSION, version);
    commit_version(election, &txn, now);
}

void pm_election_publish_version(struct pm_election *election, double now)
{
    const struct pm_election_versions *versions = &election->versions;

    if (versions->write_in_flight || now - versions->written_at < WRITE_INTERVAL_S ||
        !pm_store_is_ready(election->store) || pm_store_is_refusing(election->store))
        return;
    if (versions->is_published)
        publish_common_version(election, now);
    else
        publish_own_version(election, now);
}
