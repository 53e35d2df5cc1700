/* Acknowledging through the state service which revision this controller's replica has reached, and
 * reading the acknowledgements of the peers.
 *
 * The value of p/seen/CONTROLLER is a CBOR map. Its field `edition` is the store revision that the
 * replica of that controller has reached. */
#include "base/keys.h"
#include "base/clock.h"
#include "leadership/cancellation_internal.h"

#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define STORE_REVISION_FIELD "edition"

/* How long after reading a cancellation to wait for a peer to publish it, before acknowledging it
 * through the state service. */
#define PUBLICATION_GRACE_S 0.6
#define WRITE_INTERVAL_S 1.5

static bool decode_record(const cbor_item_t *value, uint64_t *store_revision)
{
    return pm_cbor_read_uint(pm_cbor_get(value, STORE_REVISION_FIELD), store_revision);
}

static void put_record(struct pm_txn *txn, const char *controller, uint64_t store_revision)
{
    char key[PM_NAME_MAX + sizeof PM_KEY_ACKED_REVISION_PREFIX];

    snprintf(key, sizeof key, PM_KEY_ACKED_REVISION_PREFIX "%s", controller);
    pm_txn_put_begin(txn, key);
    pm_cbor_put_map(&txn->writes);
    pm_cbor_put_pair_uint(&txn->writes, STORE_REVISION_FIELD, store_revision);
    pm_cbor_put_end(&txn->writes);
    pm_txn_put_end(txn, 0);
}

void pm_cancel_quorum_apply_put(struct pm_cancel_quorum *quorum, const char *key,
                                const cbor_item_t *value)
{
    const size_t prefix_size = strlen(PM_KEY_ACKED_REVISION_PREFIX);
    uint64_t store_revision;
    int peer;

    if (strncmp(key, PM_KEY_ACKED_REVISION_PREFIX, prefix_size))
        return;
    peer = pm_settings_find_peer(quorum->settings, key + prefix_size);
    if (peer < 0 || !decode_record(value, &store_revision))
        return;
    pm_cancel_quorum_note_peer_revision(quorum, peer, store_revision);
    pm_cancel_quorum_complete_settled(quorum, pm_clock_monotonic());
}

void pm_cancel_quorum_note_cancellation_read(struct pm_cancel_quorum *quorum, uint64_t revision)
{
    struct pm_replica_acknowledgement *acknowledgement = &quorum->acknowledgement;

    if (!quorum->settings->peer_count || revision <= acknowledgement->unpublished_revision)
        return;
    if (!acknowledgement->unpublished_revision)
        acknowledgement->unpublished_since = pm_clock_monotonic();
    acknowledgement->unpublished_revision = revision;
    ev_timer_again(quorum->loop, &quorum->timer);
}

void pm_cancel_quorum_note_published(struct pm_cancel_quorum *quorum, uint64_t revision)
{
    struct pm_replica_acknowledgement *acknowledgement = &quorum->acknowledgement;

    if (revision >= acknowledgement->unpublished_revision)
        acknowledgement->unpublished_revision = 0;
}

static void on_committed(void *arg, enum pm_store_result result, uint64_t store_revision,
                         const cbor_item_t *conflicting_keys)
{
    struct pm_replica_acknowledgement *acknowledgement =
        &((struct pm_cancel_quorum *)arg)->acknowledgement;

    (void)store_revision;
    (void)conflicting_keys;
    acknowledgement->write_in_flight = false;
    /* After a failure the write is due again. Any revision other than 0 makes it due: the value
     * written is the revision that the replica has reached at that time. */
    if (result != PM_STORE_OK)
        acknowledgement->unpublished_revision = MAX(acknowledgement->unpublished_revision, 1);
}

static bool is_due(const struct pm_replica_acknowledgement *acknowledgement, double now)
{
    return acknowledgement->unpublished_revision && !acknowledgement->write_in_flight &&
           now - acknowledgement->unpublished_since >= PUBLICATION_GRACE_S &&
           now - acknowledgement->written_at >= WRITE_INTERVAL_S;
}

static bool may_write(struct pm_store *store, double now)
{
    return pm_store_is_ready(store) && !pm_store_is_refusing(store) &&
           pm_store_write_budget(store, now) >= 1;
}

void pm_cancel_quorum_acknowledge_if_due(struct pm_cancel_quorum *quorum, double now)
{
    struct pm_replica_acknowledgement *acknowledgement = &quorum->acknowledgement;
    struct pm_txn txn = {0};

    if (!is_due(acknowledgement, now) || !may_write(quorum->store, now))
        return;
    acknowledgement->unpublished_revision = 0;
    acknowledgement->write_in_flight = true;
    acknowledgement->written_at = now;
    put_record(&txn, quorum->settings->name, pm_store_revision(quorum->store));
    pm_store_commit(quorum->store, &txn, on_committed, quorum);
}

bool pm_cancel_quorum_has_pending_acknowledgement(const struct pm_cancel_quorum *quorum)
{
    return quorum->acknowledgement.unpublished_revision || quorum->acknowledgement.write_in_flight;
}
