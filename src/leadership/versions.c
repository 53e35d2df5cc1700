/* Which protocol version every controller runs. */
#include "base/clock.h"
#include "base/log.h"
#include "base/protocol.h"
#include "leadership/internal.h"

#include <stdio.h>

#define ANNOUNCE_PACE_S 0.7 /* between two writes of a version */

static void on_version_written(void *arg, enum pm_store_result result, uint64_t store_revision,
                               const cbor_item_t *failed)
{
    (void)result;
    (void)store_revision;
    (void)failed;
    ((struct pm_election *)arg)->version_busy = false;
}

static void put_version(struct pm_election *l, struct pm_txn *txn, const char *key,
                        unsigned version, double now)
{
    l->version_busy = true;
    l->announced_at = now;
    pm_txn_put(txn, key);
    pm_put_map(&txn->writes);
    pm_put_pair_count(&txn->writes, "version", version);
    pm_put_end(&txn->writes);
    pm_txn_put_end(txn, 0);
    pm_store_commit(l->store, txn, on_version_written, l);
}

/* The lowest version of all controllers. */
static unsigned lowest_version(const struct pm_election *l)
{
    unsigned lowest = PM_PROTOCOL_VERSION;

    for (int i = 0; i < l->settings->peer_count; i++)
        lowest = MIN(lowest, l->peer_version[i]);
    return lowest;
}

/* Writes our own version, for those whom our messages do not reach; and, as the leader, the one
 * that all controllers are known to run, for good. */
void pm_election_publish_version(struct pm_election *l, double now)
{
    struct pm_txn txn = {0};
    unsigned version;
    char key[PM_NAME_MAX + 16];

    if (l->version_busy || now - l->announced_at < ANNOUNCE_PACE_S ||
        !pm_store_is_ready(l->store) || pm_store_is_refusing(l->store))
        return;
    if (!l->version_announced) {
        snprintf(key, sizeof key, "p/speaks/%s", l->settings->name);
        put_version(l, &txn, key, PM_PROTOCOL_VERSION, now);
        return;
    }
    version = lowest_version(l);
    if (!l->leads || l->reach || version <= pm_election_protocol_version(l))
        return;
    pm_txn_compare(&txn, "p/epoch", l->mine_revision);
    put_version(l, &txn, "p/speaks", version, now);
}

unsigned pm_election_protocol_version(const struct pm_election *l)
{
    return MAX(l->common_version, PM_PROTOCOL_FIRST);
}
